//! The actor that follows the list of ledger hosts: one watch after another, each until it ends or shows no sign of life.

use super::json_stream::{Value, ValueError, Values};
use super::messages::CoreEvent;
use super::socket::Socket;
use crate::endpoint_list::RawEndpointList;
use crate::membership::DiscoveryRetry;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout_at, Instant};

/// The watch sends an empty line every 2 s; without an empty line or a whole value for so long it is held to be
/// dead, though single bytes may still come. What discovery has to tell counts as told after 6 s at the latest, so a
/// call that hangs and one more must fit in.
const SILENCE: Duration = Duration::from_millis(2_500);
/// A watch that stood for so long has shown that discovery works, though it had nothing to tell.
const STOOD: Duration = Duration::from_secs(1);
/// Before another address is asked: calls and a watch that are dropped have closed their connections by then, so that
/// those of both addresses never count together.
const CLOSES: Duration = Duration::from_millis(1);

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
    #[error("{0}")]
    Value(#[from] ValueError),
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
    mut asking: DiscoveryRetry,
    events: mpsc::Sender<CoreEvent>,
) {
    let mut wait = asking.first();
    loop {
        let before = since;
        let at = *address.borrow_and_update();
        let attempt = async {
            sleep(wait).await;
            let began = Instant::now();
            let (problem, stood, lasted) = match open(at, since, &asking).await {
                Ok(watch) => {
                    let opened = Instant::now();
                    let Err(problem) = watch.read(&zones, &mut since, &events).await else { return false };
                    // All that came before a watch ended has been heard; before it fell silent, nothing since.
                    let lasted = if matches!(problem, ListError::Silent) { SILENCE } else { Duration::ZERO };
                    (problem, opened.elapsed() >= STOOD, lasted)
                }
                Err(problem) => (problem, false, began.elapsed()),
            };
            wait = asking.after_failure(since != before || stood, lasted);
            if asking.notable() {
                tracing::warn!("discovery: {problem}");
            }
            true
        };
        // A new address goes before whatever the old one does, its silence included: what it has to tell
        // counts as told 4 s later.
        tokio::select! {
            goes_on = attempt => if !goes_on { return },
            Ok(()) = address.changed() => {
                wait = asking.anew().max(CLOSES);
            }
        }
    }
}

/// Opens a watch from that version on. A call that is not answered has others beside it, as many as `asking` allows:
/// the first answer counts.
async fn open(address: SocketAddr, since: Option<u64>, asking: &DiscoveryRetry) -> Result<Watch, ListError> {
    let mut calls = JoinSet::new();
    for _ in 0..asking.calls() {
        calls.spawn(call(address, since));
        let asked = Instant::now();
        while let Ok(Some(answered)) = timeout_at(asked + asking.patience(), calls.join_next()).await {
            match answered {
                Ok(Ok(watch)) => return Ok(watch),
                // One that is turned away says nothing of those that still wait.
                Ok(Err(problem)) if calls.is_empty() => return Err(problem),
                Err(problem) => tracing::error!("discovery: {problem}"),
                Ok(Err(_)) => {}
            }
        }
    }
    Err(ListError::Silent)
}

/// One call, until the head of its answer has come.
async fn call(address: SocketAddr, since: Option<u64>) -> Result<Watch, ListError> {
    let stream = Socket::connect(address).await?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    let guard = AbortOnDrop(connection.abort_handle());
    let path = match since {
        Some(index) => format!("/catalog/members?follow=1&since={index}"),
        None => "/catalog/members?follow=1".to_owned(),
    };
    let request = hyper::Request::get(path).header("host", address.to_string());
    let request = request.body(Empty::<Bytes>::new()).map_err(|_| ListError::Ended)?;
    let answer = sender.send_request(request).await?;
    if !answer.status().is_success() {
        return Err(ListError::Status(answer.status()));
    }
    Ok(Watch {
        body: answer.into_body(),
        values: Values::default(),
        alive: Instant::now(),
        _connection: guard,
    })
}

/// A watch that is open.
struct Watch {
    body: Incoming,
    values: Values,
    /// Its last sign of life.
    alive: Instant,
    _connection: AbortOnDrop,
}

impl Watch {
    /// Tells what it says until it fails; well only when nobody listens.
    async fn read(
        mut self,
        zones: &[String],
        since: &mut Option<u64>,
        events: &mpsc::Sender<CoreEvent>,
    ) -> Result<(), ListError> {
        loop {
            let frame = timeout_at(self.alive + SILENCE, self.body.frame()).await;
            let frame = frame.map_err(|_| ListError::Silent)?.ok_or(ListError::Ended)??;
            self.values.push(frame.data_ref().map_or(&[], |data| &data[..]));
            while let Some(value) = self.values.next()? {
                if let Value::Object(text) = value {
                    let (listing, problems) = serde_json::from_slice::<RawEndpointList>(&text)?.check(zones);
                    // One bad entry must not cost the others: the watch would be resumed before it again and again.
                    problems.iter().for_each(|problem| tracing::warn!("discovery: {problem}"));
                    // A watch that is dropped here, for another address, has not told this: the version stays behind.
                    let Ok(room) = events.reserve().await else { return Ok(()) };
                    *since = Some(listing.index);
                    room.send(CoreEvent::EndpointList(listing));
                }
                self.alive = Instant::now();
            }
        }
    }
}

struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
