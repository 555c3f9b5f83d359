//! The operators' console: HTTP/1.1, one call a connection, on a port of its own (`docs/operate/console.md`).
//!
//! It guards its own callers only: each connection is its own task with its own timer, a bounded number of
//! them at once, and nothing that it does waits for the module or a ledger host. What a call means is decided
//! by [`call`], without I/O; the figures are the counters' and the drain's state is the door's.

use super::local_faults;
use super::peers::MembershipQueries;
use super::socket::Socket;
use crate::counters::Counters;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout, Instant};

/// A caller has brought its whole head within this time, or is closed on: every answer is due within 1 s.
const HEAD: Duration = Duration::from_millis(800);
/// And is answered, or closed on, within this time of connecting, whatever it does.
const WHOLE: Duration = Duration::from_millis(950);
/// When all callers that may be served at once are there, the next waits so long in the listen queue for one of them to
/// be done, and then the one that came first is closed on: a whole call takes much less, so that callers that send
/// nothing keep no other out.
const MAKES_ROOM: Duration = Duration::from_millis(10);

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Call {
    /// `GET /admin/health`: 200 while ready and not drained, else 503.
    Health,
    /// `GET /admin/stats`: the figures, `gw.NAME=VALUE` a line.
    Stats,
    /// `GET /admin/fleet`: the fleet as this proxy knows it, in JSON; 404 where it is of none.
    Fleet,
    /// `POST /admin/quiesce`: drain, without ending.
    Quiesce,
    /// `POST /admin/resume`: back to work.
    Resume,
    /// A known path with another method: 405.
    WrongMethod,
    /// Any other path: 404.
    Unknown,
}

/// What a method and a path ask for (RFC 9110, sections 15.5.5 and 15.5.6 for the refusals).
pub(crate) fn call(method: &Method, path: &str) -> Call {
    let (wanted, call) = match path {
        "/admin/health" => (Method::GET, Call::Health),
        "/admin/stats" => (Method::GET, Call::Stats),
        "/admin/fleet" => (Method::GET, Call::Fleet),
        "/admin/quiesce" => (Method::POST, Call::Quiesce),
        "/admin/resume" => (Method::POST, Call::Resume),
        _ => return Call::Unknown,
    };
    // HEAD is GET without a body (RFC 9110, section 9.3.2).
    let head = *method == Method::HEAD && wanted == Method::GET;
    if *method == wanted || head {
        call
    } else {
        Call::WrongMethod
    }
}

/// What the console reads and sets.
#[derive(Clone, Debug)]
pub(crate) struct AdminState {
    pub counters: Arc<Counters>,
    /// Whether the proxy can serve.
    pub ready: watch::Receiver<bool>,
    /// Since when it is drained by call; none while it works.
    pub quiesced: Arc<watch::Sender<Option<Instant>>>,
    /// Told whenever a drain begins or is taken back, of whichever kind.
    pub drain_changes: Arc<watch::Sender<()>>,
    /// Since when SIGTERM drains it.
    pub draining: watch::Receiver<Option<Instant>>,
    /// Where the fleet is asked for, if there is one.
    pub fleet: Option<MembershipQueries>,
}

impl AdminState {
    /// Whether the empty query, the front's check, is to hear yes: ready, and not quiesced. During a drain by
    /// SIGTERM clients that still come are served.
    pub fn serving(&self) -> bool {
        *self.ready.borrow() && self.quiesced.borrow().is_none()
    }

    /// Whether the health call is to hear yes: serving, and not draining after SIGTERM.
    pub fn healthy(&self) -> bool {
        self.serving() && self.draining.borrow().is_none()
    }

    fn answer(&self, call: Call) -> (StatusCode, String) {
        match call {
            Call::Health if self.healthy() => (StatusCode::OK, "ok\n".to_owned()),
            Call::Health => (StatusCode::SERVICE_UNAVAILABLE, "drained or not ready\n".to_owned()),
            Call::Stats => (StatusCode::OK, self.counters.figures()),
            Call::Quiesce => {
                super::clock::record_drain_start(&self.quiesced);
                self.drain_changes.send_replace(());
                tracing::info!("quiesced by the console");
                (StatusCode::OK, "quiesced\n".to_owned())
            }
            Call::Resume => {
                self.quiesced.send_if_modified(|since| since.take().is_some());
                self.drain_changes.send_replace(());
                tracing::info!("resumed by the console");
                (StatusCode::OK, "resumed\n".to_owned())
            }
            Call::Fleet => (StatusCode::NOT_FOUND, "this proxy is of no fleet\n".to_owned()),
            Call::WrongMethod => (StatusCode::METHOD_NOT_ALLOWED, "wrong method\n".to_owned()),
            Call::Unknown => (StatusCode::NOT_FOUND, "no such call\n".to_owned()),
        }
    }
}

impl AdminState {
    async fn hear(&self, call: Call) -> (StatusCode, String) {
        match &self.fleet {
            Some(fleet) if call == Call::Fleet => {
                let (question, answer) = oneshot::channel();
                let told = match fleet.try_send(question) {
                    Ok(()) => answer.await.ok(),
                    Err(_) => None,
                };
                match told.and_then(|fleet| serde_json::to_string(&fleet).ok()) {
                    Some(json) => (StatusCode::OK, json + "\n"),
                    None => (StatusCode::SERVICE_UNAVAILABLE, "left, or too many ask at once\n".to_owned()),
                }
            }
            _ => self.answer(call),
        }
    }
}

/// Listens where the configuration says.
///
/// # Errors
/// When the address cannot be had.
pub(crate) async fn bind(address: std::net::SocketAddr) -> io::Result<TcpListener> {
    let until = Instant::now() + local_faults::STARTUP_TIMEOUT;
    let listener = local_faults::retry_local_faults(until, || TcpListener::bind(address)).await;
    let listener = listener.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()));
    listener.map_err(|e| io::Error::new(e.kind(), format!("console {address}: {e}")))
}

fn kind(call: Call, status: StatusCode) -> &'static str {
    match call {
        Call::Fleet if status == StatusCode::OK => "application/json",
        _ => "text/plain; charset=utf-8",
    }
}

/// Answers callers until the task is ended, so many at once: each holds a descriptor.
pub(crate) async fn serve(listener: TcpListener, desk: AdminState, callers: usize) {
    let mut served = JoinSet::new();
    // Those who are served, the longest here first.
    let mut handles: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        while served.len() >= callers {
            if timeout(MAKES_ROOM, served.join_next()).await.is_err() {
                handles.retain(|handle| !handle.is_finished());
                if let Some(first) = handles.pop_front() {
                    first.abort();
                }
            }
        }
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    handles.retain(|handle| !handle.is_finished());
                    handles.push_back(served.spawn(answer(stream, desk.clone())));
                }
                // Out of descriptors: who waits is taken a moment later.
                Err(problem) => {
                    tracing::warn!("console: accept: {problem}");
                    sleep(Duration::from_millis(10)).await;
                }
            },
            Some(_) = served.join_next() => {}
        }
    }
}

/// Answers one caller, or closes on it in time.
async fn answer(stream: TcpStream, desk: AdminState) {
    let service = hyper::service::service_fn(move |request: hyper::Request<Incoming>| {
        let (call, head) = (call(request.method(), request.uri().path()), request.method() == Method::HEAD);
        let desk = desk.clone();
        async move {
            let (status, body) = desk.hear(call).await;
            let body = if head { String::new() } else { body };
            let answer = Response::builder()
                .status(status)
                .header("content-type", kind(call, status))
                .header("connection", "close")
                .body(Full::new(Bytes::from(body)));
            Ok::<_, Infallible>(answer.unwrap_or_default())
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .keep_alive(false)
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD)
        .serve_connection(TokioIo::new(Socket::from(stream)), service);
    let _ = timeout(WHOLE, connection).await;
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_path_has_its_method() {
        assert_eq!(call(&Method::GET, "/admin/health"), Call::Health);
        assert_eq!(call(&Method::HEAD, "/admin/health"), Call::Health);
        assert_eq!(call(&Method::GET, "/admin/stats"), Call::Stats);
        assert_eq!(call(&Method::POST, "/admin/quiesce"), Call::Quiesce);
        assert_eq!(call(&Method::POST, "/admin/resume"), Call::Resume);
        assert_eq!(call(&Method::GET, "/admin/quiesce"), Call::WrongMethod);
        assert_eq!(call(&Method::HEAD, "/admin/resume"), Call::WrongMethod);
        assert_eq!(call(&Method::POST, "/admin/health"), Call::WrongMethod);
        assert_eq!(call(&Method::GET, "/admin/healthz"), Call::Unknown);
        assert_eq!(call(&Method::GET, "/"), Call::Unknown);
    }

    fn desk(ready: bool) -> AdminState {
        AdminState {
            counters: Arc::default(),
            ready: watch::channel(ready).1,
            quiesced: Arc::new(watch::channel(None).0),
            drain_changes: Arc::new(watch::channel(()).0),
            draining: watch::channel(None).1,
            fleet: None,
        }
    }

    #[test]
    fn health_says_no_before_ready_and_while_quiesced_and_yes_after_resume() {
        let desk = desk(false);
        assert_eq!(desk.answer(Call::Health).0, StatusCode::SERVICE_UNAVAILABLE);
        let desk = AdminState { ready: watch::channel(true).1, ..desk };
        assert_eq!(desk.answer(Call::Health).0, StatusCode::OK);
        assert_eq!(desk.answer(Call::Quiesce).0, StatusCode::OK);
        let first = *desk.quiesced.borrow();
        assert_eq!(desk.answer(Call::Quiesce).0, StatusCode::OK);
        assert_eq!(*desk.quiesced.borrow(), first, "a second quiesce keeps the first one's time");
        assert_eq!(desk.answer(Call::Health).0, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(desk.answer(Call::Resume).0, StatusCode::OK);
        assert_eq!(desk.answer(Call::Resume).0, StatusCode::OK);
        assert_eq!(desk.answer(Call::Health).0, StatusCode::OK);
    }

    mod sockets {
        use super::*;
        use tokio::io::{AsyncReadExt, AsyncWriteExt};

        async fn console(ready: bool) -> (std::net::SocketAddr, AdminState) {
            let listener = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
            let (address, desk) = (listener.local_addr().unwrap(), desk(ready));
            tokio::spawn(serve(listener, desk.clone(), 6));
            (address, desk)
        }

        /// What comes back, and when the connection ended, from connecting.
        async fn ask(address: std::net::SocketAddr, bytes: &[u8]) -> (String, Duration) {
            let started = Instant::now();
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(bytes).await.unwrap();
            let mut answer = Vec::new();
            let _ = timeout(Duration::from_secs(5), stream.read_to_end(&mut answer)).await;
            (String::from_utf8_lossy(&answer).into_owned(), started.elapsed())
        }

        fn status(answer: &str) -> &str {
            answer.split(' ').nth(1).unwrap_or("none")
        }

        /// A whole call of this method and path; its answer.
        async fn call(address: std::net::SocketAddr, method: &str, path: &str) -> String {
            let call = format!("{method} {path} HTTP/1.1\r\nHost: p\r\nContent-Length: 0\r\n\r\n");
            ask(address, call.as_bytes()).await.0
        }

        #[tokio::test]
        async fn calls_are_answered_with_their_status_and_the_figures() {
            let (address, desk) = console(true).await;
            desk.counters.classes(["price-lookup"]);
            assert_eq!(status(&call(address, "GET", "/admin/health").await), "200");
            let stats = call(address, "GET", "/admin/stats").await;
            assert!(stats.contains("\r\n\r\ngw.results.price-lookup.succeeded=0\n"), "{stats}");
            assert!(stats.contains("\ngw.sighup_rejected=0\n"), "{stats}");
            assert_eq!(status(&call(address, "POST", "/admin/quiesce").await), "200");
            assert_eq!(status(&call(address, "GET", "/admin/health").await), "503");
            assert_eq!(status(&call(address, "POST", "/admin/resume").await), "200");
            assert_eq!(status(&call(address, "GET", "/admin/health").await), "200");
        }

        #[tokio::test]
        async fn wrong_calls_hear_no() {
            let (address, _) = console(true).await;
            assert_eq!(status(&call(address, "GET", "/admin/nothing").await), "404");
            assert_eq!(status(&call(address, "DELETE", "/admin/stats").await), "405");
            let (garbage, _) = ask(address, b"\x16\x03\x01 nothing of HTTP\r\n\r\n").await;
            assert_eq!(status(&garbage), "400");
        }

        #[tokio::test]
        async fn who_sends_nothing_or_half_a_call_is_closed_within_a_second_and_keeps_nobody_waiting() {
            let (address, _) = console(false).await;
            let silent = tokio::spawn(ask(address, b""));
            let half = tokio::spawn(ask(address, b"GET /admin/hea"));
            // Meanwhile a whole call is answered at once.
            let (health, took) = ask(address, b"GET /admin/health HTTP/1.1\r\nHost: p\r\n\r\n").await;
            assert_eq!(status(&health), "503");
            assert!(took < Duration::from_millis(200), "{took:?}");
            for caller in [silent, half] {
                let (_, took) = caller.await.unwrap();
                assert!(took < Duration::from_secs(1), "{took:?}");
            }
        }

        #[tokio::test]
        async fn many_who_send_nothing_keep_nobody_out() {
            let (address, _) = console(true).await;
            let silent: Vec<_> = (0..40).map(|_| tokio::spawn(ask(address, b""))).collect();
            tokio::time::sleep(Duration::from_millis(20)).await;
            let (health, took) = ask(address, b"GET /admin/health HTTP/1.1\r\nHost: p\r\n\r\n").await;
            assert_eq!(status(&health), "200");
            assert!(took < Duration::from_millis(700), "{took:?}");
            for caller in silent {
                let (_, took) = caller.await.unwrap();
                assert!(took < Duration::from_millis(1_500), "{took:?}");
            }
        }

        /// As many calls at once as may come: each is answered, though few are served at once.
        #[tokio::test]
        async fn many_calls_at_once_are_all_answered() {
            let (address, _) = console(true).await;
            let calls: Vec<_> =
                (0..100).map(|_| tokio::spawn(call(address, "GET", "/admin/health"))).collect();
            for call in calls {
                assert_eq!(status(&call.await.unwrap()), "200");
            }
        }
    }
}
