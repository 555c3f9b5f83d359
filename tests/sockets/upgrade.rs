//! A second process takes over the address of the first one while clients keep connecting: each connection is
//! answered by one of the two.

use crate::scenario::{client_message, settings, settings_with, Program, SteppedScenario};
use rstest::rstest;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::Duration;

const CLIENTS: usize = 6;
/// Pause between a client's connect and its startup message, as on a network.
const ROUND_TRIP: Duration = Duration::from_millis(5);
/// How long a client waits for the first byte of the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Outcome of a connection as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    Answered,
    ClosedWithoutByte,
    Reset,
    Refused,
    Silent,
}

/// Connects, sends a startup message and waits for the first byte of the response.
fn connect_once(address: SocketAddr) -> Outcome {
    let mut stream = match TcpStream::connect(address) {
        Ok(stream) => stream,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => return Outcome::Refused,
        Err(_) => return Outcome::Reset,
    };
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).unwrap();
    sleep(ROUND_TRIP);
    let first_read = stream.write_all(&client_message("startup")).and_then(|()| stream.read(&mut [0]));
    match first_read {
        Ok(0) => Outcome::ClosedWithoutByte,
        Ok(_) => Outcome::Answered,
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Outcome::Silent,
        Err(_) => Outcome::Reset,
    }
}

/// Clients that connect over and over.
struct ConnectionFlood {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<Vec<Outcome>>>,
}

impl ConnectionFlood {
    fn start(address: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let client = |_| {
            let stop = Arc::clone(&stop);
            spawn(move || {
                let mut outcomes = Vec::new();
                while !stop.load(Relaxed) {
                    outcomes.push(connect_once(address));
                }
                outcomes
            })
        };
        let clients = (0..CLIENTS).map(client).collect();
        Self { stop, clients }
    }

    /// Stops the clients and returns the number of connections by outcome.
    fn stop(self) -> BTreeMap<Outcome, usize> {
        self.stop.store(true, Relaxed);
        let outcomes = self.clients.into_iter().flat_map(|client| client.join().unwrap());
        outcomes.fold(BTreeMap::new(), |mut counts, outcome| {
            *counts.entry(outcome).or_default() += 1;
            counts
        })
    }
}

/// Upgrades while clients keep connecting. The old process has these faults and must exit as `end` says (`by
/// MS`). Each connection has to be answered.
fn upgrade_under_flood(settings: &str, faults: &str, end: &str) {
    let mut steps = SteppedScenario::start_with_faults(settings, faults);
    steps.play("new send start\nnew expect log console listener");
    let flood = ConnectionFlood::start(steps.address());
    steps.play(&format!("wait 100\nproxy send TERM\nproxy expect exit 0 {end}\nwait 100"));
    let outcomes = flood.stop();
    assert!(outcomes.len() == 1 && outcomes.contains_key(&Outcome::Answered), "{outcomes:?}");
}

/// Guards against an old process that accepts connections as long as clients connect, and then closes them
/// without a response.
#[rstest]
fn clients_that_keep_coming_are_answered_during_an_upgrade(#[values(0.3, 1.0, 3.0)] deadline: f64) {
    let settings = settings_with(|all| {
        all["grades"].as_array_mut().unwrap().iter_mut().for_each(|grade| {
            grade["deadline"] = json!(deadline);
            grade["onTime"] = json!(deadline / 2.0);
        });
    });
    upgrade_under_flood(&settings, "", "by 3700");
}

/// Guards against connections that are reset because they wait in the accept queue of a listener when it is
/// closed. The old process is held up between its last accept and that close.
#[test]
fn connections_that_come_as_the_listener_closes_are_answered() {
    upgrade_under_flood(&settings(), "close_listener::hold=300:1/1", "by 4000");
}

/// Guards against a handover to a process that listens but accepts no connections.
#[test]
fn a_process_that_accepts_nothing_takes_nothing_over() {
    let mut steps = SteppedScenario::start_with_faults(&settings(), "");
    steps.play("new send start\nnew expect log console listener\nnew send STOP\nproxy send TERM\nwait 600");
    let address = steps.address();
    let clients: Vec<_> = (0..20).map(|_| spawn(move || connect_once(address))).collect();
    let outcomes: Vec<Outcome> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    assert!(outcomes.contains(&Outcome::Answered), "{outcomes:?}");
}

/// Guards against a second listener that is not handed over, and against one whose protocol hides the other
/// process.
#[test]
fn each_port_is_handed_over() {
    let free = || std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let (listen, tds) = (free(), free());
    let operator =
        format!("hosts: {{types: {{m9: tds}}}}\nlisteners: [{{protocol: tds, address: '{tds}'}}]\n");
    let config = json!({"settings": serde_json::from_str::<serde_json::Value>(&settings()).unwrap()});
    let start = || {
        let program =
            Program::start_with_operator_file(&config.to_string(), &listen, "127.0.0.1:9", Some(&operator));
        program.log("listener for clients bound");
        program.log("listener for clients bound");
        program
    };
    let (mut old, _new) = (start(), start());
    old.signal("TERM");
    old.log("listener handed over");
    old.log("listener handed over");
    assert_eq!(old.exit(), 0);
}
