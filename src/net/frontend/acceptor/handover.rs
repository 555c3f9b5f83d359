//! Handover of listeners during a shutdown, as in an upgrade: another process listens at the same addresses
//! and takes over.
//!
//! New connections are directed to the other process, as long as probes show that it accepts them. After
//! [`HANDSHAKE_TIME`], when handshakes that began earlier are complete, the accept queue is emptied and the
//! listener is closed: closing it with connections in the queue would reset them. A process that is alone at
//! its address keeps its listeners.

use super::Acceptor;
use crate::net::frontend::port_group::{self, Member};
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::time::{sleep, Instant};

/// Time between two checks whether the other process still accepts connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two searches for another process, while there is none that accepts connections. Each search
/// directs new connections to the candidates, where they may wait for the duration of the probe.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);
/// Time between directing new connections to the other process and closing the listener.
const HANDSHAKE_TIME: Duration = Duration::from_millis(400);
/// Time within which the other process must accept and close the probe's connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// The redirection of new connections from a listener to another process.
#[derive(Clone, Copy, Debug)]
pub(in crate::net::frontend) struct Redirection {
    /// The socket of the other process.
    member: Member,
    /// Time at which the redirection began.
    since: Instant,
}

/// Process that accepted a connection to the address of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AcceptedBy {
    ThisProcess,
    AnotherProcess,
    Nobody,
}

impl Acceptor {
    /// Takes the next step of the handover of each listener, unless answers are due soon.
    pub(super) async fn advance_handover(&mut self) {
        self.handover_due = None;
        if !self.has_time_for_handover() {
            return;
        }
        let mut is_redirecting = false;
        for index in (0..self.listeners.all.len()).rev() {
            let redirection = self.direct_to_another(index).await.unwrap_or_else(|error| {
                tracing::debug!(error = %error, "listener not handed over");
                let _ = port_group::distribute(&self.listeners.all[index].socket);
                None
            });
            is_redirecting |= redirection.is_some();
            self.listeners.all[index].redirection = redirection;
            if redirection.is_some_and(|redirection| redirection.since.elapsed() >= HANDSHAKE_TIME) {
                self.close_listener(index).await;
            }
        }
        if !self.listeners.all.is_empty() {
            let pause = if is_redirecting { CHECK_INTERVAL } else { SEARCH_INTERVAL };
            self.handover_due = Some(Instant::now() + pause);
        }
    }

    /// Returns whether a step of the handover would be over before answers are due.
    fn has_time_for_handover(&self) -> bool {
        let shutdown = self.context.shutdown();
        shutdown.is_some_and(|(started_at, schedule)| {
            started_at.elapsed() + PROBE_TIMEOUT <= schedule.answers_due_after
        })
    }

    /// Returns the time at which the next step of the handover is due; `None` unless a listener is being
    /// handed over.
    pub(super) fn handover_continues_at(&self) -> Option<Instant> {
        let is_handing_over = self.listeners.all.iter().any(|listener| listener.redirection.is_some());
        self.handover_due.filter(|_| is_handing_over)
    }

    /// Directs the new connections at a listener's address to another process that accepts them, preferably
    /// to the one of the current redirection. Returns `None` if no other process listens at the address.
    ///
    /// # Errors
    /// Returns an error if no other process accepts a connection, or a system call fails.
    async fn direct_to_another(&mut self, index: usize) -> io::Result<Option<Redirection>> {
        let address = self.listeners.all[index].socket.local_addr()?;
        let members: Vec<Member> = port_group::members(address)?.collect();
        if members.len() < 2 {
            return Ok(None);
        }
        let current =
            self.listeners.all[index].redirection.filter(|current| members.contains(&current.member));
        let others =
            members.into_iter().filter(|member| current.is_none_or(|current| current.member != *member));
        let now = Instant::now();
        let candidates = others.map(|member| Redirection { member, since: now });
        for redirection in current.into_iter().chain(candidates) {
            port_group::direct_to(&self.listeners.all[index].socket, redirection.member)?;
            if self.probe(index, address).await? == AcceptedBy::AnotherProcess {
                if current.is_none() {
                    tracing::info!(%address, "new connections directed to another process");
                }
                return Ok(Some(redirection));
            }
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, "no other process accepts connections"))
    }

    /// Connects to the address of a listener and returns which process accepts the connection. The probe
    /// shuts down its sending half at once; another process shows that it has accepted the connection by
    /// closing it in response. Other connections that reach this listener during the probe are served.
    ///
    /// # Errors
    /// Returns an error if the socket of the probe cannot be created or bound.
    async fn probe(&mut self, index: usize, address: SocketAddr) -> io::Result<AcceptedBy> {
        let target = SocketAddr::new(reachable_ip(address), address.port());
        let socket = if target.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.bind(SocketAddr::new(target.ip(), 0))?;
        let probe_address = socket.local_addr()?;
        let ended_by_peer = async {
            let mut probe = socket.connect(target).await?;
            probe.shutdown().await?;
            probe.read(&mut [0]).await
        };
        tokio::pin!(ended_by_peer);
        let timeout = sleep(PROBE_TIMEOUT);
        tokio::pin!(timeout);
        loop {
            tokio::select! {
                accepted = self.listeners.all[index].socket.accept() => match accepted {
                    Ok((_, peer)) if peer == probe_address => return Ok(AcceptedBy::ThisProcess),
                    Ok((stream, _)) => {
                        let protocol = self.listeners.all[index].protocol;
                        self.start_client(protocol, stream).await;
                    }
                    Err(_) => return Ok(AcceptedBy::Nobody),
                },
                ended = &mut ended_by_peer => {
                    return Ok(if ended.is_ok() { AcceptedBy::AnotherProcess } else { AcceptedBy::Nobody });
                }
                () = &mut timeout => return Ok(AcceptedBy::Nobody),
            }
        }
    }

    /// Serves the connections in the accept queue of a listener and closes it: new ones go to another
    /// process. Keeps the listener open if this machine runs out of file descriptors or buffers before the
    /// queue is empty.
    async fn close_listener(&mut self, index: usize) {
        let listener = &self.listeners.all[index];
        let protocol = listener.protocol;
        let mut accepted = Vec::new();
        match listener.accept_queue(&mut accepted) {
            Ok(()) => {
                let address =
                    listener.socket.local_addr().map_or_else(|_| String::new(), |at| at.to_string());
                self.listeners.all.remove(index);
                tracing::info!(address, "listener handed over");
            }
            Err(error) => self.handle_accept_error(&error),
        }
        for stream in accepted {
            self.start_client(protocol, stream).await;
        }
    }
}

/// Returns the IP address at which this machine reaches its own listener: the loopback address if the
/// listener is bound to the unspecified address.
fn reachable_ip(address: SocketAddr) -> IpAddr {
    match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => Ipv4Addr::LOCALHOST.into(),
        IpAddr::V6(ip) if ip.is_unspecified() => Ipv6Addr::LOCALHOST.into(),
        ip => ip,
    }
}
