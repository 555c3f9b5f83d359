//! A TCP connection with the semantics of recv(2) and send(2) as Linux documents them.
//!
//! Calls that a signal interrupts are repeated, up to [`MAX_INTERRUPTIONS`] times before the task yields. A
//! short read or write does not show that the socket is empty or full: only a call that would block makes the
//! task wait for the next edge of epoll(7). (Tokio's own stream takes a short read for an empty socket, and
//! waits for that edge.)

use std::future::Future;
use std::io::{self, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::ops::Deref;
use std::pin::Pin;
use std::sync::{Arc, Weak};
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::unconstrained;

/// Maximum number of times that a call is made in one poll of its task while signals interrupt it.
const MAX_INTERRUPTIONS: u32 = 16;

/// A TCP connection.
#[derive(Debug)]
pub(crate) struct Socket(Arc<TcpStream>);

impl Socket {
    /// Connects, and sets TCP_NODELAY so that small writes are sent at once.
    ///
    /// # Errors
    /// Returns an error if the connection cannot be established.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self(Arc::new(stream)))
    }

    /// Returns a handle that tells whether the peer is still connected.
    pub fn liveness(&self) -> PeerLiveness {
        PeerLiveness(Arc::downgrade(&self.0))
    }
}

/// A handle that tells whether the peer of a connection is still connected. It does not keep the connection
/// open.
#[derive(Clone, Debug)]
pub(crate) struct PeerLiveness(Weak<TcpStream>);

impl PeerLiveness {
    /// Returns whether the peer has shut down its sending half, or the connection is closed. Checks the
    /// socket itself, since the task that owns the connection may not have run yet.
    pub async fn has_closed(&self) -> bool {
        let Some(stream) = self.0.upgrade() else { return true };
        matches!(peek(&stream), Ok(0)) || is_ready(peer_closed(&stream)).await
    }
}

impl From<TcpStream> for Socket {
    fn from(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }
}

impl Deref for Socket {
    type Target = TcpStream;

    fn deref(&self) -> &TcpStream {
        &self.0
    }
}

/// Makes a call again while a signal interrupts it, [`MAX_INTERRUPTIONS`] times in all.
///
/// # Errors
/// Returns the errors of the call; `Interrupted` if it was interrupted each time.
fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_INTERRUPTIONS {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
    call()
}

/// Returns `Pending` and wakes the task at once, so that other tasks run before it is polled again.
fn yield_to_others<T>(context: &Context<'_>) -> Poll<T> {
    context.waker().wake_by_ref();
    Poll::Pending
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = &self.0;
        loop {
            ready!(stream.poll_read_ready(context))?;
            let socket = socket2::SockRef::from(stream.as_ref());
            let unfilled = buffer.initialize_unfilled();
            match stream.try_io(Interest::READABLE, || retry_interrupted(|| (&*socket).read(unfilled))) {
                Ok(length) => {
                    buffer.advance(length);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => return yield_to_others(context),
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let stream = &self.0;
        loop {
            ready!(stream.poll_write_ready(context))?;
            let socket = socket2::SockRef::from(stream.as_ref());
            match stream.try_io(Interest::WRITABLE, || retry_interrupted(|| (&*socket).write(bytes))) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => return yield_to_others(context),
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(self.0.as_ref()).shutdown(Shutdown::Write))
    }
}

/// Returns 1 if a socket has unread bytes, or 0 at the end of the stream. Makes a system call, since the
/// runtime may not have polled the socket yet.
///
/// # Errors
/// Returns `WouldBlock` if there is nothing to read, or the connection's error.
pub(crate) fn peek(stream: &TcpStream) -> io::Result<usize> {
    socket2::SockRef::from(stream).peek(&mut [MaybeUninit::uninit()])
}

/// Returns whether a socket has unread bytes. To be checked before a timer closes a connection: a request may
/// have arrived that the runtime has not seen yet.
pub(crate) fn has_unread_bytes(stream: &TcpStream) -> bool {
    matches!(peek(stream), Ok(1..))
}

/// Returns once the peer has shut down its sending half, even if earlier bytes are still unread. Tokio's
/// priority readiness reports that shutdown and is not set by ordinary bytes.
pub(crate) async fn peer_closed(stream: &TcpStream) {
    loop {
        match stream.ready(Interest::PRIORITY).await {
            Ok(ready) if !ready.is_read_closed() => {
                // Urgent data, which the protocols do not use: clear the readiness.
                let _ = stream.try_io(Interest::PRIORITY, || -> io::Result<()> {
                    Err(io::ErrorKind::WouldBlock.into())
                });
            }
            _ => return,
        }
    }
}

/// Polls a future once, outside of Tokio's cooperative budget. Returns whether it is ready.
pub(crate) async fn is_ready(future: impl Future<Output = ()>) -> bool {
    tokio::select! {
        biased;
        () = unconstrained(future) => true,
        () = std::future::ready(()) => false,
    }
}
