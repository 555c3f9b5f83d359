//! Accepts clients, whatever protocol they speak; an actor for each of them.

mod cancel;
mod client;
mod close_reason;
mod connections;
mod conversation;
mod fault;
mod postgres;
mod request;
mod tds;

pub(crate) use cancel::Cancellations;
pub(crate) use connections::{report_drains, ConnectionRegistry};

use super::clock::Clock;
use super::console::AdminState;
use super::local_faults;
use super::memory::{Memory, Reclaim};
use super::messages::CoreEvent;
use super::rejections::Rejections;
use crate::config::{Config, Names, OVERFLOW};
use crate::counters::Counters;
use crate::drain::connection::{ActiveDrain, ConnectionSpans};
use crate::drain::Drain;
use crate::interface::{RequestId, TimeDelta};
use crate::pipeline::Limits;
use crate::protocol::Protocol;
use crate::rejection_reason::RejectionReason;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Weak};
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{yield_now, JoinSet};
use tokio::time::{sleep_until, Instant};

/// One in so many seats may go to connections that have not said yet who they are: crowds that say nothing
/// must not keep out those that do.
const UNAUTHENTICATED_SHARE: usize = 2;
/// Who means to ask has said so after this time; when all seats are taken others have to go.
const STARTUP_GRACE: Duration = Duration::from_millis(200);
/// From this share of the seats on, who has been idle for long has to make room: some ask once and stay for
/// good, and who comes when all is taken is refused.
const PRESSURE_THRESHOLD: (usize, usize) = (3, 4);
/// To make room is asked of all at once, and so no more often than this: crowds come by the hundred.
const PRESSURE_INTERVAL: Duration = Duration::from_millis(100);
/// When no descriptor is to be had, accepting rests this long.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// What every client's actor needs.
#[derive(Clone, Debug)]
pub(crate) struct Acceptor {
    pub clock: Clock,
    pub events: mpsc::Sender<CoreEvent>,
    /// What of the settings concerns clients; new at SIGHUP.
    pub terms: watch::Receiver<Arc<FrontendSettings>>,
    /// Whether the empty query hears yes, and since when the console drains.
    pub desk: AdminState,
    /// When SIGTERM came.
    pub draining: watch::Receiver<Option<Instant>>,
    pub counters: Arc<Counters>,
    pub rejections: Rejections,
    pub memory: Memory,
    pub reclaims: watch::Receiver<Vec<Arc<Reclaim>>>,
    pub limit: usize,
    /// What one connection may have in its pipeline.
    pub pipeline: Limits,
    /// The keys by which clients call off what runs on other connections.
    pub cancellations: Cancellations,
    /// The open connections, as the log shows them.
    pub connections: ConnectionRegistry,
}

/// What of the settings concerns clients.
#[derive(Clone, Debug)]
pub(crate) struct FrontendSettings {
    /// What classes and tenants are called.
    pub names: Names,
    /// When a drain does what.
    pub drain: Drain,
    /// When clients that find no seat may come back.
    pub retry_after: Option<TimeDelta>,
}

impl FrontendSettings {
    /// The terms in a configuration. Classes that take no more requests have no part in the drain's spans.
    pub fn of(config: &Config) -> Self {
        let classes = config.names.classes.iter().zip(&config.settings.classes);
        let longest = classes.filter(|(name, _)| name.open).map(|(_, class)| class.deadline.0).max();
        Self {
            names: config.names.clone(),
            drain: Drain::of(Duration::from_micros(longest.unwrap_or(0).max(0) as u64)),
            retry_after: config.settings.retry_after_allowed.then_some(config.settings.max_retry_after),
        }
    }
}

impl Acceptor {
    /// The spans of the drain, once it has begun, and when that was.
    fn drain(&self) -> Option<(Instant, Drain)> {
        self.draining.borrow().map(|since| (since, self.terms.borrow().drain))
    }

    /// The drains that have begun, as connections see them.
    fn active_drains(&self) -> impl Iterator<Item = ActiveDrain> {
        let quiesced = self.desk.quiesced.borrow().map(|since| ActiveDrain {
            since: self.clock.timestamp(since),
            spans: ConnectionSpans::QUIESCE,
            is_final: false,
        });
        let terminated = self.drain().map(|(since, drain)| ActiveDrain {
            since: self.clock.timestamp(since),
            spans: drain.into(),
            is_final: true,
        });
        quiesced.into_iter().chain(terminated)
    }

    /// Until when a connection that comes now, or is here as a drain begins, may take to say who it is.
    fn opens(&self) -> Option<Instant> {
        let drained =
            self.drain().map(|(since, drain)| (Instant::now() + drain.first).min(since + drain.shuts));
        let quiesced = self.desk.quiesced.borrow().map(|_| Instant::now() + ConnectionSpans::QUIESCE.first);
        drained.into_iter().chain(quiesced).min()
    }

    /// Until when a request that comes now has to be answered, if a drain limits that.
    fn answers(&self) -> Option<Instant> {
        self.drain().map(|(since, drain)| since + drain.answers)
    }

    /// Whether a drain has begun, by the console or by SIGTERM.
    fn is_draining(&self) -> bool {
        self.draining.borrow().is_some() || self.desk.quiesced.borrow().is_some()
    }

    fn retry_after(&self) -> Option<TimeDelta> {
        self.terms.borrow().retry_after
    }
}

/// The ports at which clients come, each with its protocol.
#[derive(Debug)]
pub(crate) struct Listeners {
    all: Vec<(Protocol, TcpListener)>,
    /// Which is asked first: none keeps the others waiting.
    first: usize,
}

impl Listeners {
    /// Listens on these addresses, and on no other.
    ///
    /// # Errors
    /// When one cannot be had; the message names it.
    pub async fn bind(addresses: &[(Protocol, SocketAddr)]) -> io::Result<Self> {
        let mut all = Vec::with_capacity(addresses.len());
        for (protocol, address) in addresses {
            let until = Instant::now() + local_faults::STARTUP_TIMEOUT;
            let listener = local_faults::retry_local_faults(until, || async { shared(*address) }).await;
            let listener = listener.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()));
            let listener = listener.map_err(|e| io::Error::new(e.kind(), format!("{address}: {e}")))?;
            all.push((*protocol, listener));
        }
        Ok(Self { all, first: 0 })
    }

    /// Where clients connect, and what is spoken there.
    ///
    /// # Errors
    /// When the system does not tell.
    pub fn addresses(&self) -> io::Result<Vec<(Protocol, SocketAddr)>> {
        self.all.iter().map(|(protocol, listener)| Ok((*protocol, listener.local_addr()?))).collect()
    }

    async fn accept(&mut self) -> io::Result<(Protocol, TcpStream)> {
        self.first = (self.first + 1) % self.all.len();
        let Self { all, first } = self;
        poll_fn(|cx| {
            for n in 0..all.len() {
                let (protocol, listener) = &all[(*first + n) % all.len()];
                if let Poll::Ready(accepted) = listener.poll_accept(cx) {
                    return Poll::Ready(accepted.map(|(stream, _)| (*protocol, stream)));
                }
            }
            Poll::Pending
        })
        .await
    }
}

/// Connections that the system holds for a listener before they are accepted.
const BACKLOG: i32 = 1024;

/// A listener that a second process of the same user may share (SO_REUSEPORT, Linux socket(7)): at an upgrade
/// the new process listens beside the old one, and the system deals new connections out to both.
///
/// # Errors
/// When the address cannot be had, also when a process that did not ask for sharing holds it.
fn shared(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Asks whoever has been here longest to leave.
fn evict(all: &mut VecDeque<(Instant, Weak<Notify>)>) {
    if let Some(one) = all.pop_front().and_then(|(_, one)| one.upgrade()) {
        one.notify_one();
    }
}

/// Takes clients in; ends after SIGTERM, once all are answered and no more come.
pub(crate) async fn accept(mut listeners: Listeners, acceptor: Acceptor) {
    let ids = Arc::new(AtomicU64::new(0));
    let seats = Arc::new(());
    let (pressure, connection_pressure) = watch::channel(());
    let mut draining = acceptor.draining.clone();
    let mut leave_at: Option<Instant> = None;
    let mut looked = false;
    // Until when nobody is accepted, since this machine lacks what it takes.
    let mut rests_until: Option<Instant> = None;
    let mut clients = JoinSet::new();
    let mut asked = Instant::now();
    // Those who have not said who they are, the longest here first.
    let mut unauthenticated: VecDeque<(Instant, Weak<Notify>)> = VecDeque::new();
    // Those who have not asked for anything, likewise.
    let mut idle_new_connections: VecDeque<(Instant, Weak<Notify>)> = VecDeque::new();
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
            accepted = listeners.accept(), if rests_until.is_none() => match accepted {
                Ok((protocol, stream)) => {
                    looked = false;
                    acceptor.counters.client();
                    if let (Some(at), Some((since, drain))) = (&mut leave_at, acceptor.drain()) {
                        *at = (*at).max(Instant::now() + drain.quiet).min(since + drain.answers);
                    }
                    let taken = Arc::strong_count(&seats) - 1;
                    unauthenticated.retain(|(_, connection)| connection.strong_count() > 0);
                    idle_new_connections.retain(|(_, connection)| connection.strong_count() > 0);
                    let crowded = taken >= acceptor.limit;
                    let slow = |all: &VecDeque<(Instant, _)>| {
                        all.front().is_some_and(|(came, _)| came.elapsed() >= STARTUP_GRACE)
                    };
                    if unauthenticated.len() >= acceptor.limit / UNAUTHENTICATED_SHARE || (crowded && slow(&unauthenticated)) {
                        evict(&mut unauthenticated);
                    } else if crowded && slow(&idle_new_connections) {
                        evict(&mut idle_new_connections);
                    }
                    if taken >= acceptor.limit * PRESSURE_THRESHOLD.0 / PRESSURE_THRESHOLD.1 && asked.elapsed() >= PRESSURE_INTERVAL {
                        asked = Instant::now();
                        pressure.send_replace(());
                    }
                    let room = match taken < acceptor.limit + OVERFLOW {
                        true => {
                            let room = acceptor.memory.connection().ok().zip(acceptor.memory.client_buffers().ok());
                            room.ok_or(RejectionReason::Memory)
                        }
                        false => Err(RejectionReason::Seat),
                    };
                    if let Err(reason) = room {
                        acceptor.rejections.record(reason, "a connection is closed at the acceptor");
                    }
                    if let Ok((connection, buffers)) = room {
                        let ids = Arc::clone(&ids);
                        let id = move || RequestId(ids.fetch_add(1, Relaxed));
                        let evict_unauthenticated = Arc::new(Notify::new());
                        unauthenticated.push_back((Instant::now(), Arc::downgrade(&evict_unauthenticated)));
                        let evict_idle = Arc::new(Notify::new());
                        idle_new_connections.push_back((Instant::now(), Arc::downgrade(&evict_idle)));
                        let admission = client::Admission {
                            seat: Arc::clone(&seats),
                            unauthenticated: Some(evict_unauthenticated),
                            idle_new_connection: Some(evict_idle),
                            _connection: connection,
                            buffers,
                            entry: acceptor.connections.enter(protocol, stream.peer_addr().ok()),
                            reclaims: acceptor.reclaims.clone(),
                        };
                        clients.spawn(client::serve(stream, protocol, acceptor.clone(), id, connection_pressure.clone(), admission));
                    }
                    if crowded {
                        // Who was shown out has to go before the next is counted.
                        yield_now().await;
                    }
                }
                Err(problem) if local_faults::is_exhausted(&problem) => {
                    acceptor.rejections.record(RejectionReason::Local, format_args!("accept: {problem}"));
                    pressure.send_replace(());
                    rests_until = Some(Instant::now() + ACCEPT_BACKOFF);
                }
                // The connection was gone before it was accepted: others may wait behind it (accept(2), "Error handling").
                Err(problem) => tracing::debug!("accept: {problem}"),
            },
            () = sleep_until(rests_until.unwrap_or_else(Instant::now)), if rests_until.is_some() => {
                rests_until = None;
            }
            Some(_) = clients.join_next() => {}
            Ok(()) = draining.changed(), if leave_at.is_none() => {
                leave_at = acceptor.drain().map(|(since, drain)| since + drain.stays);
            }
            () = leave, if clients.is_empty() => {
                if looked {
                    return;
                }
                // The runtime may not have looked at the listeners since the timer was due: it does so now, and whoever
                // waits there is taken in first.
                looked = true;
                yield_now().await;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn a_second_process_can_listen_beside_the_first() {
        let first = Listeners::bind(&[(Protocol::Postgres, "127.0.0.1:0".parse().unwrap())]).await.unwrap();
        let (_, address) = first.addresses().unwrap()[0];
        let second = Listeners::bind(&[(Protocol::Postgres, address)]).await;
        assert_eq!(second.unwrap().addresses().unwrap()[0].1, address);
    }

    #[tokio::test]
    async fn a_listener_that_does_not_share_keeps_its_address() {
        let alone = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = alone.local_addr().unwrap();
        let refused = Listeners::bind(&[(Protocol::Postgres, address)]).await.unwrap_err();
        assert_eq!(refused.kind(), io::ErrorKind::AddrInUse);
        assert!(refused.to_string().contains(&address.to_string()));
    }
}
