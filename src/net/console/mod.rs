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
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout, Instant};

/// Time within which a client must send the complete head of its HTTP request. Every response is due within
/// one second.
const HEAD_TIMEOUT: Duration = Duration::from_millis(800);
/// The maximum duration of a connection, whatever the client does.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(950);
/// Time that the next client waits while the maximum number of connections is open, before the oldest one is
/// closed. A complete call takes much less, so clients that send nothing cannot lock others out.
const EVICTION_DELAY: Duration = Duration::from_millis(10);
/// Pause in accepting after accept(2) has failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Binds the console's address. Retries local faults for up to [`PROCESS_STARTUP_TIMEOUT`].
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub(crate) async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let until = Instant::now() + PROCESS_STARTUP_TIMEOUT;
    let listener = retry_local_faults(until, || TcpListener::bind(address)).await;
    let listener = listener.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()));
    listener.map_err(|error| io::Error::new(error.kind(), format!("console {address}: {error}")))
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
    /// The handles of the tasks, the oldest first. Finished tasks may be among them.
    handles: VecDeque<AbortHandle>,
}

impl Connections {
    fn start(&mut self, stream: TcpStream, state: AdminState) {
        self.handles.retain(|handle| !handle.is_finished());
        self.handles.push_back(self.tasks.spawn(serve_connection(stream, state)));
    }

    /// Waits for a connection to end, and closes the oldest if none does within [`EVICTION_DELAY`].
    async fn wait_or_evict(&mut self) {
        if timeout(EVICTION_DELAY, self.tasks.join_next()).await.is_err() {
            self.handles.retain(|handle| !handle.is_finished());
            if let Some(oldest) = self.handles.pop_front() {
                oldest.abort();
            }
        }
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
