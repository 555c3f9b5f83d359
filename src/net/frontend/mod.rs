//! Requests and answers, whatever protocol they come in by; and the door through which clients come.

mod postgres;

use super::clock::Clock;
use super::core::Event;
use crate::config::Names;
use crate::counters::Counters;
use crate::interface::{RequestId, SessionId, Time};
use bytes::Bytes;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

/// After SIGTERM clients still come for a while: the proxy stays at least so long, and so long after the last.
const STAYS: Duration = Duration::from_millis(750);
const QUIET: Duration = Duration::from_millis(350);
/// Connections above the limit that are told so instead of being cut off.
const OVERFLOW: usize = 8;
/// When no descriptor is to be had, accepting rests this long.
const ACCEPT_REST: Duration = Duration::from_millis(10);

/// A statement as the client wrote it, and where in it the remaining time stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The whole text.
    pub text: Bytes,
    /// The place of the client's wait in milliseconds.
    pub wait_at: Range<usize>,
}

impl Statement {
    /// The statement with another wait, all else unchanged.
    pub fn with_wait(&self, wait: Duration) -> Vec<u8> {
        let wait = wait.as_millis().max(1).to_string();
        [&self.text[..self.wait_at.start], wait.as_bytes(), &self.text[self.wait_at.end..]].concat()
    }
}

/// What a client asks.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The class, by number.
    pub class: usize,
    /// The tenant, by number.
    pub tenant: usize,
    /// The group that holds the data.
    pub group: u32,
    /// The session, if the statement names one.
    pub session: Option<SessionId>,
    /// Whether the client marks it as a retry.
    pub again: bool,
    /// How long ago the session's last write was, where the client tells.
    pub since_write: Option<Time>,
    /// How long the client waits.
    pub wait: Duration,
    /// What goes to the ledger host.
    pub statement: Statement,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A ledger host's value, as it wrote it.
    Served(Bytes),
    /// Turned away: trying again is harmless, after that time if there is one.
    Refused {
        /// How long the client should stay away.
        retry_after: Option<Time>,
    },
    /// No value could be had; it may have had an effect.
    Failed,
    /// The request itself makes no sense.
    Invalid(String),
}

/// What a client's actor is sent.
#[derive(Debug)]
pub(crate) enum Mail {
    /// The answer to its request.
    Answer(RequestId, Answer),
}

/// What every client's actor needs.
#[derive(Clone, Debug)]
pub(crate) struct Door {
    pub clock: Clock,
    pub events: mpsc::Sender<Event>,
    pub names: Arc<Names>,
    pub ready: watch::Receiver<bool>,
    pub draining: watch::Receiver<bool>,
    pub counters: Arc<Counters>,
    pub limit: usize,
}

/// Listens on the address, and on no other.
///
/// # Errors
/// When it cannot be had.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Takes clients in; ends after SIGTERM, once all are answered and no more come.
pub(crate) async fn accept(listener: TcpListener, door: Door) {
    let ids = Arc::new(AtomicU64::new(0));
    let seats = Arc::new(());
    let (squeeze, squeezed) = watch::channel(());
    let mut draining = door.draining.clone();
    let mut leave_at: Option<Instant> = None;
    let mut clients = JoinSet::new();
    loop {
        let leave = async {
            match leave_at {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            // Before leaving, whoever has come is taken in.
            biased;
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    door.counters.client();
                    if let Some(at) = &mut leave_at {
                        *at = (*at).max(Instant::now() + QUIET);
                    }
                    let taken = Arc::strong_count(&seats) - 1;
                    if taken >= door.limit {
                        squeeze.send_replace(());
                    }
                    if taken < door.limit + OVERFLOW {
                        let ids = Arc::clone(&ids);
                        let id = move || RequestId(ids.fetch_add(1, Relaxed));
                        let seat = Arc::clone(&seats);
                        clients.spawn(postgres::serve(stream, door.clone(), id, squeezed.clone(), seat));
                    }
                }
                Err(problem) => {
                    eprintln!("accept: {problem}");
                    squeeze.send_replace(());
                    sleep(ACCEPT_REST).await;
                }
            },
            Some(_) = clients.join_next() => {}
            Ok(()) = draining.changed(), if leave_at.is_none() => leave_at = Some(Instant::now() + STAYS),
            () = leave, if clients.is_empty() => return,
        }
    }
}
