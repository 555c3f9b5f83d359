//! The operators' console: HTTP/1.1 with one call per connection, on a separate port
//! (`docs/operate/console.md`).
//!
//! - `call`: the calls, by method and path
//! - `admin_state`: the state that calls read and change
//!
//! Each connection is served by a task with a timeout, and the number of open connections is bounded. No call
//! waits for the core actor or a host.

mod admin_state;
mod call;

use super::clock::sleep_until_some;
use super::local_faults::{retry_local_faults, PROCESS_STARTUP_TIMEOUT};
use super::socket::Socket;
pub(crate) use admin_state::AdminState;
use bytes::Bytes;
use call::Call;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout, Instant};

/// Time within which a client must send the complete head of its HTTP request. Every response is due within
/// one second.
const HEAD_TIMEOUT: Duration = Duration::from_millis(800);
/// The maximum duration of a connection, whatever the client does.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(950);
/// Age from which the oldest connection is closed while the maximum number is open and others wait. A complete
/// call takes much less, so clients that send nothing cannot lock others out, however many they are.
const EVICTION_AGE: Duration = Duration::from_millis(10);
/// Maximum number of connections in the accept queue. A call that finds it full is repeated by the caller's
/// system after 1 s only, when its answer is overdue.
const BACKLOG: u32 = 1024;
/// Pause in accepting after accept(2) has failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Binds the console's address. Retries local faults for up to [`PROCESS_STARTUP_TIMEOUT`].
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub(crate) async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let until = Instant::now() + PROCESS_STARTUP_TIMEOUT;
    let listener = retry_local_faults(until, || async { listen(address) }).await;
    let listener = listener.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()));
    listener.map_err(|error| io::Error::new(error.kind(), format!("console {address}: {error}")))
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves connections until the task is aborted, at most `max_connections` at once, since each takes a file
/// descriptor.
pub(crate) async fn serve(listener: TcpListener, state: AdminState, max_connections: usize) {
    let mut connections = Connections::default();
    loop {
        while connections.tasks.len() >= max_connections {
            connections.wait_or_evict().await;
        }
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => connections.start(stream, state.clone()),
                Err(error) => {
                    tracing::warn!(%error, "console could not accept a connection");
                    sleep(ACCEPT_BACKOFF).await;
                }
            },
            Some(_) = connections.tasks.join_next() => {}
        }
    }
}

/// The open connections.
#[derive(Debug, Default)]
struct Connections {
    tasks: JoinSet<()>,
    /// The handles of the tasks with the times of their start, the oldest first. Finished tasks may be among
    /// them.
    handles: VecDeque<(Instant, AbortHandle)>,
}

impl Connections {
    fn start(&mut self, stream: TcpStream, state: AdminState) {
        self.remove_finished();
        self.handles.push_back((Instant::now(), self.tasks.spawn(serve_connection(stream, state))));
    }

    /// Waits for a connection to end, and closes the oldest if none does until it has reached
    /// [`EVICTION_AGE`].
    async fn wait_or_evict(&mut self) {
        self.remove_finished();
        let evict_at = self.handles.front().map(|(started_at, _)| *started_at + EVICTION_AGE);
        tokio::select! {
            biased;
            _ = self.tasks.join_next() => {}
            () = sleep_until_some(evict_at) => {
                if let Some((_, oldest)) = self.handles.pop_front() {
                    oldest.abort();
                }
            }
        }
    }

    fn remove_finished(&mut self) {
        self.handles.retain(|(_, handle)| !handle.is_finished());
    }
}

/// Serves one call and closes its connection, after [`CONNECTION_TIMEOUT`] at the latest.
async fn serve_connection(stream: TcpStream, state: AdminState) {
    let service = hyper::service::service_fn(move |request: Request<Incoming>| {
        let call = Call::new(request.method(), request.uri().path());
        let is_head = request.method() == Method::HEAD;
        let state = state.clone();
        async move { Ok::<_, Infallible>(respond(&state, call, is_head).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .keep_alive(false)
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(Socket::from(stream)), service);
    let _ = timeout(CONNECTION_TIMEOUT, connection).await;
}

/// Carries out a call and returns the response, without a body if the method is HEAD.
async fn respond(state: &AdminState, call: Call, is_head: bool) -> Response<Full<Bytes>> {
    let reply = state.carry_out(call).await;
    let body = if is_head { String::new() } else { reply.body };
    let response = Response::builder()
        .status(reply.status)
        .header("content-type", reply.content_type)
        .header("connection", "close")
        .body(Full::new(Bytes::from(body)));
    response.unwrap_or_default()
}

#[cfg(test)]
mod tests;
