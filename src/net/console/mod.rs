//! The operators' console: HTTP/1.1, one call a connection, on a port of its own (`docs/operate/console.md`).
//!
//! - `call`: what a call asks for
//! - `admin_state`: what the console reads and sets
//!
//! Each connection is a task with a timer of its own, a bounded number of them at once, and no call waits for the core actor
//! or a host.

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

/// How long a caller may take to send the complete head of its request. Every answer is due within 1 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a connection may last, whatever it does.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(950);
/// How long the next caller waits while as many connections as allowed are open, before the oldest is closed. A complete call
/// takes much less, so that callers that send nothing keep no other out.
const EVICTION_DELAY: Duration = Duration::from_millis(10);
/// How long accepting rests after it has failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Binds the console's address. Waits for what this machine lacks for up to [`PROCESS_STARTUP_TIMEOUT`].
///
/// # Errors
/// When the address cannot be bound.
pub(crate) async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let until = Instant::now() + PROCESS_STARTUP_TIMEOUT;
    let listener = retry_local_faults(until, || TcpListener::bind(address)).await;
    let listener = listener.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()));
    listener.map_err(|error| io::Error::new(error.kind(), format!("console {address}: {error}")))
}

/// Answers callers until the task is aborted, at most `max_connections` at once: each takes a descriptor.
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
    /// The oldest first. May hold finished ones.
    handles: VecDeque<AbortHandle>,
}

impl Connections {
    fn start(&mut self, stream: TcpStream, state: AdminState) {
        self.handles.retain(|handle| !handle.is_finished());
        self.handles.push_back(self.tasks.spawn(answer(stream, state)));
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

/// Answers one caller, or closes the connection at [`CONNECTION_TIMEOUT`].
async fn answer(stream: TcpStream, state: AdminState) {
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
