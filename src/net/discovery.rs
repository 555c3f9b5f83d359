//! The actor that follows the list of ledger hosts.

use super::messages::Event;
use crate::listing::RawListing;
use crate::membership::Asking;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

/// The watch sends an empty line every 2 s; after this silence it is held to be dead. What discovery has to
/// tell counts as told after 6 s at the latest, so one more try must fit in.
const SILENCE: Duration = Duration::from_millis(3_000);
/// A longer line is no list of hosts.
const MOST_LINE: usize = 4 << 20;

/// What is wrong with a list or a call.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)]
pub enum ListError {
    #[error("not a list: {0}")]
    Json(#[from] serde_json::Error),
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("the answer's status is {0}")]
    Status(hyper::StatusCode),
    #[error("a line is too long")]
    TooLong,
    #[error("the watch is silent")]
    Silent,
    #[error("the watch has ended")]
    Ended,
}

/// Follows the list for ever, from a version on, at whatever address holds at the time; ends when nobody
/// listens any more. When it asks is for `asking` to say.
pub(crate) async fn follow(
    mut address: watch::Receiver<SocketAddr>,
    zones: Vec<String>,
    mut since: Option<u64>,
    mut asking: Asking,
    events: mpsc::Sender<Event>,
) {
    // Whoever holds no list yet asks at once.
    let mut wait = since.map_or(Duration::ZERO, |_| asking.first());
    loop {
        let before = since;
        let at = *address.borrow_and_update();
        let attempt = async {
            sleep(wait).await;
            let Err(problem) = watch(at, &zones, &mut since, asking.patience(), &events).await else {
                return false;
            };
            tracing::warn!("discovery: {problem}");
            wait = asking.after_failure(since != before);
            true
        };
        // A new address goes before whatever the old one does, its silence included: what it has to tell
        // counts as told 4 s later.
        tokio::select! {
            goes_on = attempt => if !goes_on { return },
            Ok(()) = address.changed() => {
                asking.anew();
                wait = Duration::ZERO;
            }
        }
    }
}

/// One watch, until it fails; well only when nobody listens.
async fn watch(
    address: SocketAddr,
    zones: &[String],
    since: &mut Option<u64>,
    patience: Duration,
    events: &mpsc::Sender<Event>,
) -> Result<(), ListError> {
    let silent = |_| ListError::Silent;
    let stream = timeout(patience, TcpStream::connect(address)).await.map_err(silent)??;
    stream.set_nodelay(true)?;
    let (mut sender, connection) =
        timeout(patience, hyper::client::conn::http1::handshake(TokioIo::new(stream)))
            .await
            .map_err(silent)??;
    let connection = tokio::spawn(connection);
    let _guard = AbortOnDrop(connection.abort_handle());
    let path = match since {
        Some(index) => format!("/catalog/members?follow=1&since={index}"),
        None => "/catalog/members?follow=1".to_owned(),
    };
    let request = hyper::Request::get(path).header("host", address.to_string());
    let request = request.body(Empty::<Bytes>::new()).map_err(|_| ListError::Ended)?;
    let answer = timeout(patience, sender.send_request(request)).await.map_err(silent)??;
    if !answer.status().is_success() {
        return Err(ListError::Status(answer.status()));
    }
    let mut body = answer.into_body();
    let mut held: Vec<u8> = Vec::new();
    loop {
        let frame = timeout(SILENCE, body.frame()).await.map_err(silent)?.ok_or(ListError::Ended)??;
        held.extend_from_slice(frame.data_ref().map_or(&[], |data| &data[..]));
        while let Some(end) = held.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = held.drain(..=end).collect();
            if line.trim_ascii().is_empty() {
                continue;
            }
            let (listing, problems) = serde_json::from_slice::<RawListing>(&line)?.check(zones);
            // One bad entry must not cost the others: the watch would be resumed before it again and again.
            problems.iter().for_each(|problem| tracing::warn!("discovery: {problem}"));
            // A watch that is dropped here, for another address, has not told this: the version stays behind.
            let Ok(room) = events.reserve().await else { return Ok(()) };
            *since = Some(listing.index);
            room.send(Event::List(listing));
        }
        if held.len() > MOST_LINE {
            return Err(ListError::TooLong);
        }
    }
}

struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
