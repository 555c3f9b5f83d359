//! Answers that do not end.

use super::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// A NoticeResponse without fields.
const NOTICE: [u8; 6] = [b'N', 0, 0, 0, 5, 0];

/// Starts a host that answers a query with notices without end, as fast as they are read.
fn endless_host() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut startup = BytesMut::new();
        wheelpier_pgwire::startup_reply(&mut startup, 0, (1, 1));
        let _ = stream.read(&mut [0; 512]);
        stream.write_all(&startup).unwrap();
        let _ = stream.read(&mut [0; 512]);
        let notices = NOTICE.repeat(10_000);
        while stream.write_all(&notices).is_ok() {}
    });
    address
}

/// Guards against an answer that is read for as long as bytes arrive: its timer was polled only when none
/// did, and neither was the attempt's deadline.
#[tokio::test]
async fn an_answer_that_never_pauses_ends_in_time() {
    let address = HostAddress { address: endless_host(), protocol: Protocol::Postgres };
    let permit = Arc::new(Semaphore::new(1)).acquire_owned().await.unwrap();
    let deadline = Instant::now() + Duration::from_secs(5);
    let mut connection = Connection::open(address, permit, deadline).await.unwrap();
    let mut exchange = Exchange::default();
    let query = connection.query(&Query::Ping, &mut exchange, || {});
    let status = timeout(4 * ANSWER_COMPLETION_TIMEOUT, query).await;
    assert_eq!(status.expect("the answer ends"), ConnectionStatus::Unusable);
    assert_eq!(exchange.outcome(), Outcome::Error);
}
