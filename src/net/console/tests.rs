use super::*;
use crate::net::console::call::Call;
use hyper::StatusCode;
use std::sync::Arc;
use tokio::sync::watch;

#[test]
fn each_path_accepts_its_method_only() {
    assert_eq!(Call::new(&Method::GET, "/admin/health"), Call::Health);
    assert_eq!(Call::new(&Method::HEAD, "/admin/health"), Call::Health);
    assert_eq!(Call::new(&Method::GET, "/admin/stats"), Call::Stats);
    assert_eq!(Call::new(&Method::POST, "/admin/quiesce"), Call::Quiesce);
    assert_eq!(Call::new(&Method::POST, "/admin/resume"), Call::Resume);
    assert_eq!(Call::new(&Method::GET, "/admin/quiesce"), Call::WrongMethod);
    assert_eq!(Call::new(&Method::HEAD, "/admin/resume"), Call::WrongMethod);
    assert_eq!(Call::new(&Method::POST, "/admin/health"), Call::WrongMethod);
    assert_eq!(Call::new(&Method::GET, "/admin/healthz"), Call::UnknownPath);
    assert_eq!(Call::new(&Method::GET, "/"), Call::UnknownPath);
}

fn admin_state(ready: bool) -> AdminState {
    AdminState {
        counters: Arc::default(),
        ready: watch::channel(ready).1,
        quiesced: Arc::new(watch::channel(None).0),
        drain_changes: Arc::new(watch::channel(()).0),
        draining: watch::channel(None).1,
        fleet: None,
    }
}

#[tokio::test]
async fn health_is_503_before_ready_and_while_quiesced_and_200_after_resume() {
    let state = admin_state(false);
    assert_eq!(state.carry_out(Call::Health).await.status, StatusCode::SERVICE_UNAVAILABLE);
    let state = AdminState { ready: watch::channel(true).1, ..state };
    assert_eq!(state.carry_out(Call::Health).await.status, StatusCode::OK);
    assert_eq!(state.carry_out(Call::Quiesce).await.status, StatusCode::OK);
    let first = *state.quiesced.borrow();
    assert_eq!(state.carry_out(Call::Quiesce).await.status, StatusCode::OK);
    assert_eq!(*state.quiesced.borrow(), first, "a second quiesce keeps the first one's time");
    assert_eq!(state.carry_out(Call::Health).await.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(state.carry_out(Call::Resume).await.status, StatusCode::OK);
    assert_eq!(state.carry_out(Call::Resume).await.status, StatusCode::OK);
    assert_eq!(state.carry_out(Call::Health).await.status, StatusCode::OK);
}

mod sockets {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    async fn console(ready: bool) -> (std::net::SocketAddr, AdminState) {
        let listener = bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let (address, state) = (listener.local_addr().unwrap(), admin_state(ready));
        tokio::spawn(serve(listener, state.clone(), 6));
        (address, state)
    }

    /// Sends bytes. Returns the response, and the time from connecting to the end of the connection.
    async fn exchange(address: std::net::SocketAddr, bytes: &[u8]) -> (String, Duration) {
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

    /// Makes a complete call with this method and path. Returns the response.
    async fn call(address: std::net::SocketAddr, method: &str, path: &str) -> String {
        let call = format!("{method} {path} HTTP/1.1\r\nHost: p\r\nContent-Length: 0\r\n\r\n");
        exchange(address, call.as_bytes()).await.0
    }

    #[tokio::test]
    async fn calls_are_answered_with_their_status_and_the_counters() {
        let (address, state) = console(true).await;
        state.counters.set_classes(["price-lookup"]);
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
    async fn invalid_calls_are_answered_with_an_error() {
        let (address, _) = console(true).await;
        assert_eq!(status(&call(address, "GET", "/admin/nothing").await), "404");
        assert_eq!(status(&call(address, "DELETE", "/admin/stats").await), "405");
        let (garbage, _) = exchange(address, b"\x16\x03\x01 nothing of HTTP\r\n\r\n").await;
        assert_eq!(status(&garbage), "400");
    }

    #[tokio::test]
    async fn a_silent_or_incomplete_call_is_closed_within_a_second_and_delays_no_other() {
        let (address, _) = console(false).await;
        let silent = tokio::spawn(exchange(address, b""));
        let incomplete = tokio::spawn(exchange(address, b"GET /admin/hea"));
        // Meanwhile a complete call is answered at once.
        let (health, elapsed) = exchange(address, b"GET /admin/health HTTP/1.1\r\nHost: p\r\n\r\n").await;
        assert_eq!(status(&health), "503");
        assert!(elapsed < Duration::from_millis(200), "{elapsed:?}");
        for caller in [silent, incomplete] {
            let (_, elapsed) = caller.await.unwrap();
            assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
        }
    }

    #[tokio::test]
    async fn many_silent_connections_do_not_lock_others_out() {
        let (address, _) = console(true).await;
        let silent: Vec<_> = (0..40).map(|_| tokio::spawn(exchange(address, b""))).collect();
        tokio::time::sleep(Duration::from_millis(20)).await;
        let (health, elapsed) = exchange(address, b"GET /admin/health HTTP/1.1\r\nHost: p\r\n\r\n").await;
        assert_eq!(status(&health), "200");
        assert!(elapsed < Duration::from_millis(700), "{elapsed:?}");
        for caller in silent {
            let (_, elapsed) = caller.await.unwrap();
            assert!(elapsed < Duration::from_millis(1_500), "{elapsed:?}");
        }
    }

    /// Guards against calls that are closed without an answer when more arrive than are served at once.
    #[tokio::test]
    async fn many_calls_at_once_are_all_answered() {
        let (address, _) = console(true).await;
        let calls: Vec<_> = (0..100).map(|_| tokio::spawn(call(address, "GET", "/admin/health"))).collect();
        for call in calls {
            assert_eq!(status(&call.await.unwrap()), "200");
        }
    }
}
