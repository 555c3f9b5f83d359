//! Clients that connect again at full speed, or never stop sending: the proxy's memory, its shutdown and its
//! other clients must not depend on when they pause.

use crate::scenario::{client_message, settings, SteppedScenario};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// Number of clients of a storm, of which each has one connection at a time.
const CLIENTS: usize = 320;
/// Number of callers of a storm at the console.
const CALLERS: usize = 200;
/// Duration of a storm during which memory is measured.
const STORM: Duration = Duration::from_secs(8);
/// The memory limit of the operators' smallest deployments, in KiB. The proxy is killed above its limit.
const MEMORY_LIMIT_KIB: u64 = 48 * 1024;
/// Time that a client waits for the end of its connection.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(4);
/// Time from connecting within which a client that sends no request gets an error or a close.
const CLOSE_LIMIT: Duration = Duration::from_secs(3);
/// Time within which each call to the console is answered.
const CONSOLE_LIMIT: Duration = Duration::from_secs(1);
/// A startup message that asks for encryption, which is answered by one byte.
const ENCRYPTION_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];
/// A Sync message, which is answered but requests nothing.
const SYNC: [u8; 5] = [b'S', 0, 0, 0, 4];

/// Behavior of the clients of a storm.
#[derive(Clone, Copy, Debug)]
enum Behavior {
    /// Sends what cannot be read.
    Garbage,
    /// Sends nothing.
    Silent,
}

/// Connects, behaves badly until the connection ends, and returns.
fn misbehave(address: SocketAddr, behavior: Behavior) {
    let Ok(mut stream) = TcpStream::connect(address) else { return sleep(Duration::from_millis(5)) };
    let _ = stream.set_read_timeout(Some(CLIENT_TIMEOUT));
    if matches!(behavior, Behavior::Garbage) {
        let _ = stream.write_all(b"what cannot be read, at all\n");
    }
    while matches!(stream.read(&mut [0; 512]), Ok(1..)) {}
}

/// Clients that connect again as soon as their connection ends.
struct Storm {
    stop: Arc<AtomicBool>,
    connections: Arc<AtomicUsize>,
    clients: Vec<JoinHandle<()>>,
}

impl Storm {
    fn start(address: SocketAddr, behavior: Behavior, clients: usize) -> Self {
        let (stop, connections) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
        let client = |_| {
            let (stop, connections) = (Arc::clone(&stop), Arc::clone(&connections));
            spawn(move || {
                while !stop.load(Relaxed) {
                    misbehave(address, behavior);
                    connections.fetch_add(1, Relaxed);
                }
            })
        };
        let clients = (0..clients).map(client).collect();
        Self { stop, connections, clients }
    }

    /// Stops the clients and returns the number of connections that ended.
    fn stop(self) -> usize {
        self.stop.store(true, Relaxed);
        self.clients.into_iter().for_each(|client| client.join().unwrap());
        self.connections.load(Relaxed)
    }
}

/// Guards against memory that grows with each client that was turned away, for as long as others come: the
/// tasks of ended clients were kept until the accept loop had time to collect them.
#[rstest]
fn memory_does_not_grow_with_clients_that_were_turned_away(
    #[values(Behavior::Garbage, Behavior::Silent)] behavior: Behavior,
) {
    let steps = SteppedScenario::start_with_faults(&settings(), "");
    let storm = Storm::start(steps.address(), behavior, CLIENTS);
    sleep(STORM);
    let peak = steps.peak_memory_kib();
    let connections = storm.stop();
    assert!(peak < MEMORY_LIMIT_KIB, "{peak} KiB after {connections} connections");
    assert!(connections > CLIENTS, "{connections} connections");
}

/// Guards against a SIGTERM that is noticed only once clients pause: the shutdown is later than the platform
/// allows (the longest deadline and 0.7 s), and open requests are lost.
#[rstest]
fn a_shutdown_ends_in_time_while_clients_keep_coming(
    #[values(Behavior::Garbage, Behavior::Silent)] behavior: Behavior,
) {
    let mut steps = SteppedScenario::start_with_faults(&settings(), "");
    let storm = Storm::start(steps.address(), behavior, CLIENTS);
    sleep(Duration::from_secs(1));
    steps.play("proxy send TERM\nproxy expect exit 0 by 3700");
    storm.stop();
}

/// Guards against a handover that does not begin, so that the old process still takes connections when it has
/// no time left to serve them.
#[rstest]
fn listeners_are_handed_over_while_clients_keep_coming(
    #[values(Behavior::Garbage, Behavior::Silent)] behavior: Behavior,
) {
    let mut steps = SteppedScenario::start_with_faults(&settings(), "");
    steps.play("new send start\nnew expect log console listener");
    let storm = Storm::start(steps.address(), behavior, CLIENTS);
    sleep(Duration::from_secs(1));
    steps.play("proxy send TERM\nproxy expect log listener handed over\nproxy expect exit 0 by 3700");
    storm.stop();
}

/// Guards against hundreds of silent clients that lock out those that send requests, and against a client
/// with a request that is evicted in their place.
#[test]
fn requests_are_served_while_silent_clients_keep_coming() {
    let mut steps = SteppedScenario::start_with_faults(&settings(), "");
    steps.play("h1 send serve 5 10\nc1 start\nc1 send read a 2900\nc1 expect value vvvvvvvvvv");
    let storm = Storm::start(steps.address(), Behavior::Silent, CLIENTS);
    sleep(Duration::from_secs(1));
    for number in 0..10 {
        steps.play(&format!("c1 send read b{number} 2900\nc1 expect within 1000 value vvvvvvvvvv"));
        steps.play(&format!(
            "c2 start\nc2 send read c{number} 2900\nc2 expect within 1000 value vvvvvvvvvv\nc2 close"
        ));
    }
    storm.stop();
}

/// Guards against callers that come without a pause and keep the operators' calls from an answer, which is due
/// within 1 s, or whose ended connections fill memory.
#[rstest]
fn the_console_answers_while_callers_keep_coming(
    #[values(Behavior::Garbage, Behavior::Silent)] behavior: Behavior,
) {
    let mut steps = SteppedScenario::start_with_faults(&settings(), "");
    let storm = Storm::start(steps.console_address(), behavior, CALLERS);
    sleep(Duration::from_secs(1));
    for _ in 0..10 {
        let called_at = Instant::now();
        steps.play("operator send stats\noperator expect gw.outstanding=0");
        assert!(called_at.elapsed() < CONSOLE_LIMIT, "{:?}", called_at.elapsed());
        sleep(Duration::from_millis(300));
    }
    let peak = steps.peak_memory_kib();
    let connections = storm.stop();
    assert!(peak < MEMORY_LIMIT_KIB, "{peak} KiB after {connections} connections");
}

/// Sends `messages` without a pause, and returns how long the connection stayed open.
fn flood(address: SocketAddr, first: &[u8], messages: &[u8]) -> Duration {
    let connected_at = Instant::now();
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_write_timeout(Some(CLIENT_TIMEOUT)).unwrap();
    let mut replies = stream.try_clone().unwrap();
    let reader = spawn(move || {
        replies.set_read_timeout(Some(CLIENT_TIMEOUT)).unwrap();
        while matches!(replies.read(&mut [0; 4096]), Ok(1..)) {}
    });
    stream.write_all(first).unwrap();
    while stream.write_all(messages).is_ok() && connected_at.elapsed() < 2 * CLOSE_LIMIT {}
    let open_for = connected_at.elapsed();
    drop(stream);
    reader.join().unwrap();
    open_for
}

/// Guards against deadlines that never fire while bytes keep arriving: a client that requests nothing keeps
/// its connection.
#[rstest]
#[case::in_its_startup(&[], &ENCRYPTION_REQUEST)]
#[case::in_an_open_session(&client_message("startup"), &SYNC)]
fn a_client_that_floods_without_a_request_is_closed_in_time(#[case] first: &[u8], #[case] message: &[u8]) {
    let steps = SteppedScenario::start_with_faults(&settings(), "");
    let open_for = flood(steps.address(), first, &message.repeat(1000));
    assert!(open_for < CLOSE_LIMIT, "open for {open_for:?}");
}
