//! The listening sockets, each with its protocol.

use crate::net::local_faults;
use crate::protocol::Protocol;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::task::Poll;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Connections that the system holds for a listener before they are accepted.
const BACKLOG: i32 = 1024;

/// The listening sockets, each with the protocol that is spoken there.
#[derive(Debug)]
pub(crate) struct Listeners {
    all: Vec<(Protocol, TcpListener)>,
    /// The listener that is polled first. It advances with each call, so that no listener starves another.
    next: usize,
}

impl Listeners {
    /// Listens on these addresses, and on no other.
    ///
    /// # Errors
    /// When the system refuses one of them; the message names the address.
    pub async fn bind(addresses: &[(Protocol, SocketAddr)]) -> io::Result<Self> {
        let mut all = Vec::with_capacity(addresses.len());
        for (protocol, address) in addresses {
            let until = Instant::now() + local_faults::PROCESS_STARTUP_TIMEOUT;
            let bound = local_faults::retry_local_faults(until, || async { bind_shared(*address) }).await;
            let bound = bound.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()));
            let named = |error: io::Error| io::Error::new(error.kind(), format!("{address}: {error}"));
            all.push((*protocol, bound.map_err(named)?));
        }
        Ok(Self { all, next: 0 })
    }

    /// Returns where clients connect, and what is spoken there.
    ///
    /// # Errors
    /// When the system does not say.
    pub fn addresses(&self) -> io::Result<Vec<(Protocol, SocketAddr)>> {
        self.all.iter().map(|(protocol, listener)| Ok((*protocol, listener.local_addr()?))).collect()
    }

    /// Accepts the next connection of any listener. Cancel safe: no accepted connection is lost.
    ///
    /// # Errors
    /// Those of accept(2).
    pub(super) async fn accept(&mut self) -> io::Result<(Protocol, TcpStream)> {
        self.next = (self.next + 1) % self.all.len();
        let Self { all, next } = self;
        poll_fn(|cx| {
            for offset in 0..all.len() {
                let (protocol, listener) = &all[(*next + offset) % all.len()];
                if let Poll::Ready(accepted) = listener.poll_accept(cx) {
                    return Poll::Ready(accepted.map(|(stream, _)| (*protocol, stream)));
                }
            }
            Poll::Pending
        })
        .await
    }
}

/// Returns a listener whose address a second process of the same user may share (SO_REUSEPORT, Linux socket(7)). During an
/// upgrade the new process listens beside the old one, and the system distributes new connections over both.
///
/// # Errors
/// When the system refuses the address, also because a process that doesn't share it listens there.
fn bind_shared(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

#[cfg(test)]
mod tests;
