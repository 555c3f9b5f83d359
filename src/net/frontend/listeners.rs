//! The listening sockets, each with its protocol.

use super::acceptor::Redirection;
use super::port_group;
use crate::net::local_faults;
use crate::protocol::Protocol;
use socket2::SockRef;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::task::Poll;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Maximum number of connections in a listener's accept queue.
const BACKLOG: i32 = 1024;

/// A listening socket.
#[derive(Debug)]
pub(super) struct Listener {
    pub socket: TcpListener,
    /// The protocol that its clients speak.
    pub protocol: Protocol,
    /// Redirection of new connections while the listener is handed over to another process; `None` otherwise.
    pub redirection: Option<Redirection>,
}

impl Listener {
    /// Accepts all connections in the accept queue, whether or not the runtime has seen them, and appends
    /// them to `accepted`.
    ///
    /// # Errors
    /// Returns an error if further connections may be left in the queue: this machine has run out of file
    /// descriptors or buffers, or connections still arrive at this listener ([`io::ErrorKind::ResourceBusy`]).
    pub fn accept_queue(&self, accepted: &mut Vec<TcpStream>) -> io::Result<()> {
        let socket = SockRef::from(&self.socket);
        // A queue holds one connection more than its limit (listen(2)).
        for _ in 0..=BACKLOG + 1 {
            match socket.accept() {
                Ok((connection, _)) => {
                    connection.set_nonblocking(true)?;
                    accepted.push(TcpStream::from_std(connection.into())?);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if local_faults::is_exhausted(&error) => return Err(error),
                // Concerns a connection that failed before it was accepted: others may wait behind it
                // (accept(2), "Error handling").
                Err(_) => {}
            }
        }
        Err(io::ErrorKind::ResourceBusy.into())
    }
}

/// The listening sockets of this process.
#[derive(Debug)]
pub(crate) struct Listeners {
    /// The open listeners.
    pub(super) all: Vec<Listener>,
    /// Index of the listener that is polled first, modulo the number of listeners. It advances with each
    /// call, so that no listener starves another.
    next: usize,
}

impl Listeners {
    /// Listens on these addresses. Retries local faults for up to [`local_faults::PROCESS_STARTUP_TIMEOUT`].
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound; the message names the address.
    pub async fn bind(addresses: &[(Protocol, SocketAddr)]) -> io::Result<Self> {
        let mut all = Vec::with_capacity(addresses.len());
        for (protocol, address) in addresses {
            let until = Instant::now() + local_faults::PROCESS_STARTUP_TIMEOUT;
            let bound = local_faults::retry_local_faults(until, || async { bind_shared(*address) }).await;
            let bound = bound.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()));
            let with_address = |error: io::Error| io::Error::new(error.kind(), format!("{address}: {error}"));
            all.push(Listener {
                socket: bound.map_err(with_address)?,
                protocol: *protocol,
                redirection: None,
            });
        }
        Ok(Self { all, next: 0 })
    }

    /// Returns the protocol and the address of each open listener.
    ///
    /// # Errors
    /// Returns the errors of getsockname(2).
    pub fn addresses(&self) -> io::Result<Vec<(Protocol, SocketAddr)>> {
        self.all.iter().map(|listener| Ok((listener.protocol, listener.socket.local_addr()?))).collect()
    }

    /// Accepts the next connection at any listener; waits forever if no listener is open. Cancel safe: no
    /// accepted connection is lost.
    ///
    /// # Errors
    /// Returns the errors of accept(2).
    pub(super) async fn accept(&mut self) -> io::Result<(Protocol, TcpStream)> {
        self.next = self.next.wrapping_add(1);
        let Self { all, next } = self;
        poll_fn(|context| {
            for offset in 0..all.len() {
                let listener = &all[next.wrapping_add(offset) % all.len()];
                if let Poll::Ready(accepted) = listener.socket.poll_accept(context) {
                    return Poll::Ready(accepted.map(|(stream, _)| (listener.protocol, stream)));
                }
            }
            Poll::Pending
        })
        .await
    }
}

/// Returns a listener whose address a second process of the same user may share (SO_REUSEPORT, Linux
/// socket(7)). During an upgrade the new process listens beside the old one, and the system distributes new
/// connections over both.
///
/// # Errors
/// Returns an error if the address cannot be bound, for example because a process that doesn't share it
/// listens there.
fn bind_shared(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    let listener = TcpListener::from_std(socket.into())?;
    distribute_if_shared(&listener);
    Ok(listener)
}

/// Removes a redirection that an earlier handover left in force at a shared address. Failures are only
/// logged, since the listener works without this.
fn distribute_if_shared(listener: &TcpListener) {
    let distribute = || {
        let is_shared = port_group::members(listener.local_addr()?)?.count() > 1;
        if is_shared {
            port_group::distribute(listener)?;
        }
        Ok::<(), io::Error>(())
    };
    if let Err(error) = distribute() {
        tracing::debug!(error = %error, "redirection of a shared address not removed");
    }
}

#[cfg(test)]
mod tests;
