//! A call to discovery and the watch that it opens.

use super::error::DiscoveryError;
use super::SILENCE_TIMEOUT;
use crate::endpoint_list::RawListing;
use crate::net::json_stream::{JsonStream, StreamItem};
use crate::net::messages::CoreEvent;
use crate::net::socket::Socket;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{timeout_at, Instant};

/// An open watch. Closes its connection when dropped.
#[derive(Debug)]
pub(super) struct Watch {
    body: Incoming,
    stream: JsonStream,
    /// Time at which the last complete object or empty line was received.
    last_received_at: Instant,
    _connection: AbortOnDrop,
}

impl Watch {
    /// Opens a watch for changes since `version`; if that is `None` the watch starts with the complete list.
    ///
    /// # Errors
    /// Returns an error if the call fails or discovery rejects it.
    pub async fn open(address: SocketAddr, version: Option<u64>) -> Result<Self, DiscoveryError> {
        let stream = Socket::connect(address).await?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        let connection = AbortOnDrop(tokio::spawn(connection).abort_handle());
        let path = match version {
            Some(version) => format!("/catalog/members?follow=1&since={version}"),
            None => "/catalog/members?follow=1".to_owned(),
        };
        let request = hyper::Request::get(path).header("host", address.to_string());
        let response = sender.send_request(request.body(Empty::<Bytes>::new())?).await?;
        if !response.status().is_success() {
            return Err(DiscoveryError::Status(response.status()));
        }
        Ok(Self {
            body: response.into_body(),
            stream: JsonStream::default(),
            last_received_at: Instant::now(),
            _connection: connection,
        })
    }

    /// Sends each endpoint list to the core actor, and sets `version` to the latest that was sent. Returns
    /// `Ok` only once the core actor has ended.
    ///
    /// # Errors
    /// Returns an error when the watch ends, falls silent or cannot be read.
    pub async fn forward_lists(
        mut self,
        zones: &[String],
        version: &mut Option<u64>,
        events: &mpsc::Sender<CoreEvent>,
    ) -> Result<(), DiscoveryError> {
        loop {
            let frame = timeout_at(self.last_received_at + SILENCE_TIMEOUT, self.body.frame()).await;
            let frame = frame.map_err(|_| DiscoveryError::Silent)?.ok_or(DiscoveryError::Ended)??;
            self.stream.push(frame.data_ref().map_or(&[], |data| &data[..]));
            while let Some(item) = self.stream.next()? {
                if let StreamItem::Object(text) = item {
                    let (list, problems) = serde_json::from_slice::<RawListing>(&text)?.into_list(zones);
                    // An invalid entry must not end the watch: the next watch would fail at the same entry
                    // again.
                    for problem in problems {
                        tracing::warn!(%problem, "entry of the endpoint list ignored");
                    }
                    // The version is set only once the mailbox has capacity: this future may be dropped while
                    // it waits, and the list must then be requested again.
                    let Ok(permit) = events.reserve().await else { return Ok(()) };
                    *version = Some(list.index);
                    permit.send(CoreEvent::EndpointList(list));
                }
                self.last_received_at = Instant::now();
            }
        }
    }
}

/// Aborts a task when dropped.
#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
