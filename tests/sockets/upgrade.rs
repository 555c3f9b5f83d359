//! A new process beside the old one at the same address, while clients keep coming: each connection is answered by one of
//! the two.

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
/// Between a client's connect and its startup, as on a network.
const ROUND_TRIP: Duration = Duration::from_millis(5);
/// How long a client waits for its first answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// How a connection ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Ending {
    Answered,
    ClosedWithoutByte,
    Reset,
    Refused,
    Silent,
}

/// Connects, sends a startup and waits for the first byte of its answer.
fn connect_once(address: SocketAddr) -> Ending {
    let mut stream = match TcpStream::connect(address) {
        Ok(stream) => stream,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => return Ending::Refused,
        Err(_) => return Ending::Reset,
    };
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    sleep(ROUND_TRIP);
    let heard = stream.write_all(&client_message("startup")).and_then(|()| stream.read(&mut [0]));
    match heard {
        Ok(0) => Ending::ClosedWithoutByte,
        Ok(_) => Ending::Answered,
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ending::Silent,
        Err(_) => Ending::Reset,
    }
}

/// Clients that connect again and again.
struct Flood {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<Vec<Ending>>>,
}

impl Flood {
    fn start(address: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let client = |_| {
            let stop = Arc::clone(&stop);
            spawn(move || {
                let mut endings = Vec::new();
                while !stop.load(Relaxed) {
                    endings.push(connect_once(address));
                }
                endings
            })
        };
        let clients = (0..CLIENTS).map(client).collect();
        Self { stop, clients }
    }

    /// How many connections ended how.
    fn stop(self) -> BTreeMap<Ending, usize> {
        self.stop.store(true, Relaxed);
        let endings = self.clients.into_iter().flat_map(|client| client.join().unwrap());
        endings.fold(BTreeMap::new(), |mut counts, ending| {
            *counts.entry(ending).or_default() += 1;
            counts
        })
    }
}

/// Upgrades under a flood; the old process has these faults and ends by then. Each connection has to be answered.
fn upgrade_under_flood(settings: &str, faults: &str, end: &str) {
    let mut steps = SteppedScenario::start_with_faults(settings, faults);
    steps.play("new send start\nnew expect log console listener");
    let flood = Flood::start(steps.address());
    steps.play(&format!("wait 100\nproxy send TERM\nproxy expect exit 0 {end}\nwait 100"));
    let endings = flood.stop();
    assert!(endings.len() == 1 && endings.contains_key(&Ending::Answered), "{endings:?}");
}

/// Guards against an old process that takes connections as long as clients come, and then closes them without a byte.
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

/// Guards against connections that are reset because they wait in the queue of a listener as it closes: the old process is
/// held up between its last accept and that close.
#[test]
fn connections_that_come_as_the_listener_closes_are_answered() {
    upgrade_under_flood(&settings(), "close_listener::hold=300:1/1", "by 4000");
}

/// Guards against a handover to a process that listens and accepts nothing.
#[test]
fn a_process_that_accepts_nothing_takes_nothing_over() {
    let mut steps = SteppedScenario::start_with_faults(&settings(), "");
    steps.play("new send start\nnew expect log console listener\nnew send STOP\nproxy send TERM\nwait 600");
    let address = steps.address();
    let clients: Vec<_> = (0..20).map(|_| spawn(move || connect_once(address))).collect();
    let endings: Vec<Ending> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    assert!(endings.contains(&Ending::Answered), "{endings:?}");
}

/// Guards against a second port that is not handed over, or whose protocol keeps the other process from being seen.
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
