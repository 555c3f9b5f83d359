//! At the end of the process: its listeners are handed over to another process that listens at the same addresses, as at
//! an upgrade.
//!
//! New connections are directed to the other process as soon as it has been seen to accept one. The listener is closed
//! [`HANDSHAKE_TIME`] later, once handshakes that had begun before are complete and its queue is empty: a connection that
//! waits there as the listener closes would be reset. A process that is alone at its address keeps its listeners.

use super::Acceptor;
use crate::net::frontend::port_group::{self, Member};
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::time::{sleep, Instant};

/// How often the process looks whether the other one still accepts connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How often it looks for another one where there was none, or none that accepts connections: new connections wait there
/// during each look.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);
/// Between the moment from which on new connections go to the other process and the close of the listener.
const HANDSHAKE_TIME: Duration = Duration::from_millis(400);
/// How long the other process may take to accept a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Where the new connections of a listener's address are directed.
#[derive(Clone, Copy, Debug)]
pub(in crate::net::frontend) struct Directed {
    /// The socket of the other process.
    member: Member,
    /// Since when.
    since: Instant,
}

/// Who accepted a connection to the address of a listener.
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
        let mut is_directed = false;
        for index in (0..self.listeners.all.len()).rev() {
            let directed = self.direct_to_another(index).await.unwrap_or_else(|error| {
                tracing::debug!(error = %error, "listener not handed over");
                let _ = port_group::distribute(&self.listeners.all[index].socket);
                None
            });
            is_directed |= directed.is_some();
            self.listeners.all[index].directed = directed;
            if directed.is_some_and(|directed| directed.since.elapsed() >= HANDSHAKE_TIME) {
                self.close_listener(index).await;
            }
        }
        if !self.listeners.all.is_empty() {
            let pause = if is_directed { CHECK_INTERVAL } else { SEARCH_INTERVAL };
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

    /// Returns when the handover goes on; `None` unless a listener is being handed over.
    pub(super) fn handover_continues_at(&self) -> Option<Instant> {
        let is_handing_over = self.listeners.all.iter().any(|listener| listener.directed.is_some());
        self.handover_due.filter(|_| is_handing_over)
    }

    /// Directs the new connections of a listener's address to another process that accepts them: to the same one as
    /// before, if there was one. Returns `None` if no other process listens there.
    ///
    /// # Errors
    /// When no other process accepts a connection, or a system call fails.
    async fn direct_to_another(&mut self, index: usize) -> io::Result<Option<Directed>> {
        let address = self.listeners.all[index].socket.local_addr()?;
        let members: Vec<Member> = port_group::members(address)?.collect();
        if members.len() < 2 {
            return Ok(None);
        }
        let before = self.listeners.all[index].directed.filter(|before| members.contains(&before.member));
        let others =
            members.into_iter().filter(|member| before.is_none_or(|before| before.member != *member));
        let now = Instant::now();
        let candidates = others.map(|member| Directed { member, since: now });
        for directed in before.into_iter().chain(candidates) {
            port_group::direct_to(&self.listeners.all[index].socket, directed.member)?;
            if self.probe(index, address).await? == AcceptedBy::AnotherProcess {
                if before.is_none() {
                    tracing::info!(%address, "new connections directed to another process");
                }
                return Ok(Some(directed));
            }
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, "no other process accepts connections"))
    }

    /// Finds out who accepts a connection to the address of a listener. A process that reads the end of a connection
    /// closes it. Other connections that come meanwhile are served.
    ///
    /// # Errors
    /// When the connection cannot be prepared.
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

    /// Closes a listener whose new connections go to another process, and serves those that still wait in its queue. Keeps
    /// it open while this machine lacks what accepting them takes.
    async fn close_listener(&mut self, index: usize) {
        let listener = &self.listeners.all[index];
        let protocol = listener.protocol;
        let mut waiting = Vec::new();
        match listener.accept_queue(&mut waiting) {
            Ok(()) => {
                let address =
                    listener.socket.local_addr().map_or_else(|_| String::new(), |at| at.to_string());
                self.listeners.all.remove(index);
                tracing::info!(address, "listener handed over");
            }
            Err(error) => self.handle_accept_error(&error),
        }
        for stream in waiting {
            self.start_client(protocol, stream).await;
        }
    }
}

/// Returns the IP address by which this machine reaches a listener of its own.
fn reachable_ip(address: SocketAddr) -> IpAddr {
    match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => Ipv4Addr::LOCALHOST.into(),
        IpAddr::V6(ip) if ip.is_unspecified() => Ipv6Addr::LOCALHOST.into(),
        ip => ip,
    }
}
