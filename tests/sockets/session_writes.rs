//! A session's reads see its acknowledged writes whichever process of the proxy took them: during an upgrade
//! two processes serve at one address, and a session may reach either.
//!
//! Hosts answer reads from what they have. h1 is the primary; what h2 has applied is not known, so that it must
//! not get a read of a session that has written. Six sessions are used, since a process that knows nothing of
//! their writes sends only some of the reads to h2. Clients c1 to c6 are served by the first process, c11 to
//! c16 by the second.

use crate::scenario::{settings_with, SteppedScenario};
use serde_json::json;
use std::ops::RangeInclusive;

const FIRST: RangeInclusive<usize> = 1..=6;
const SECOND: RangeInclusive<usize> = 11..=16;
/// A client that is used only to learn which host is the primary: of the first process, and of the second.
const FIRST_SCOUT: usize = 8;
const SECOND_SCOUT: usize = 9;

/// Two hosts, one or two processes, and their clients.
struct Sessions {
    steps: SteppedScenario,
    requests: usize,
}

impl Sessions {
    /// Starts one process. Its hosts neither check reads nor report positions in health checks.
    fn start() -> Self {
        let settings = settings_with(|all| {
            all["familyInfo"]["whenBehind"] = json!("off");
            all["report"] = json!({"how": "off", "fields": []});
            all["grades"].as_array_mut().unwrap().iter_mut().for_each(|grade| grade["onTime"] = json!(2.9));
        });
        let mut sessions = Self { steps: SteppedScenario::start_with_hosts(&settings, 2), requests: 0 };
        sessions.connect(FIRST_SCOUT..=FIRST_SCOUT);
        sessions.find_primary(FIRST_SCOUT);
        sessions
    }

    fn play(&mut self, text: &str) {
        self.steps.play(text);
    }

    /// Opens connections, on which a request is served so that they stay open.
    fn connect(&mut self, clients: RangeInclusive<usize>) {
        for client in clients {
            self.play(&format!("c{client} start\nc{client} send text ;\nc{client} expect empty"));
        }
    }

    /// Returns an id that was not used before.
    fn next_id(&mut self) -> String {
        self.requests += 1;
        format!("q{:03}", self.requests)
    }

    /// Serves a write of a client whose process may not know the primary: h2 rejects the write.
    fn find_primary(&mut self, client: usize) {
        let id = self.next_id();
        self.play(&format!("c{client} send write {id} 2900 scout{client}\nany expect id={id}"));
        if self.steps.any_host() != 1 {
            self.play(&format!("any send error 25006\nh1 expect id={id}"));
        }
        self.play(&format!("h1 answer c{client} done primary"));
    }

    /// Sends a write of session `key` through each client, which reaches h1.
    fn send_writes(&mut self, clients: RangeInclusive<usize>, key: &str) {
        for (number, client) in clients.enumerate() {
            let id = self.next_id();
            self.play(&format!("c{client} send write {id} 2900 {key}{number}\nh1 expect id={id}"));
        }
    }

    /// Serves a write of session `key` through each client.
    fn write(&mut self, clients: RangeInclusive<usize>, key: &str) {
        for (number, client) in clients.enumerate() {
            let id = self.next_id();
            self.play(&format!("h1 serve c{client} write {id} 2900 {key}{number} = done primary"));
        }
    }

    /// Sends a read of session `key` through each client at the same time; h1 has to get all of them.
    fn read_at_primary(&mut self, clients: RangeInclusive<usize>, key: &str) {
        let reads: Vec<_> = clients.enumerate().map(|read| (read, self.next_id())).collect();
        for ((number, client), id) in &reads {
            self.play(&format!("c{client} send own {id} 2900 {key}{number}"));
        }
        self.play(&"h1 expect FROM kv\n".repeat(reads.len()));
    }

    /// Starts the second process.
    fn start_second(&mut self) {
        self.play("new send start\nnew expect log console listener");
    }

    /// Starts a second process that shares no writes with the first one, which notices that.
    fn start_second_apart(&mut self) {
        self.play("new send start apart\nproxy expect log shares no writes\nnew expect log shares no writes");
    }

    /// The first process, told to end, hands its listener over; its clients stay connected for a while.
    fn hand_over(&mut self) {
        self.play("proxy send TERM\nproxy expect log listener handed over");
        self.connect_second();
    }

    fn connect_second(&mut self) {
        self.connect(SECOND);
        self.connect(SECOND_SCOUT..=SECOND_SCOUT);
        self.find_primary(SECOND_SCOUT);
    }
}

/// Guards against reads that miss a write which the old process acknowledged before the new one started.
#[test]
fn a_read_after_an_upgrade_sees_writes_from_before_it() {
    let mut sessions = Sessions::start();
    sessions.connect(FIRST);
    sessions.write(FIRST, "k");
    sessions.start_second();
    sessions.hand_over();
    sessions.read_at_primary(SECOND, "k");
}

/// Guards against a floor at the start of the new process, which does not cover what the old one still takes.
#[test]
fn a_read_through_the_new_process_sees_writes_that_the_old_one_took_meanwhile() {
    let mut sessions = Sessions::start();
    sessions.connect(FIRST);
    sessions.start_second();
    sessions.hand_over();
    sessions.write(FIRST, "k");
    sessions.read_at_primary(SECOND, "k");
}

/// Guards against a write that is in flight in the old process: it may be committed already.
#[test]
fn a_read_through_the_new_process_sees_a_write_that_has_no_answer_yet() {
    let mut sessions = Sessions::start();
    sessions.connect(FIRST);
    sessions.send_writes(FIRST, "k");
    sessions.start_second();
    sessions.hand_over();
    sessions.read_at_primary(SECOND, "k");
}

/// Guards against an old process that knows nothing of what the new one takes beside it.
#[test]
fn a_read_through_the_old_process_sees_writes_that_the_new_one_took() {
    let mut sessions = Sessions::start();
    sessions.connect(FIRST);
    sessions.start_second();
    sessions.hand_over();
    sessions.write(SECOND, "k");
    sessions.read_at_primary(FIRST, "k");
}

/// Guards against reads that miss acknowledged writes after the process was killed and started again.
#[test]
fn a_read_after_a_crash_sees_acknowledged_writes() {
    let mut sessions = Sessions::start();
    sessions.connect(FIRST);
    sessions.write(FIRST, "k");
    sessions.play("proxy send KILL\nc1-6 expect gone");
    sessions.start_second();
    sessions.connect_second();
    sessions.read_at_primary(SECOND, "k");
}

/// Guards against an upgrade from or to a version that shares no writes, and against a log that is not
/// available: each process has to expect that the other one takes any write.
#[test]
fn reads_beside_a_process_that_shares_nothing_see_all_commits() {
    let mut sessions = Sessions::start();
    sessions.connect(FIRST);
    sessions.start_second_apart();
    sessions.hand_over();
    sessions.write(FIRST, "k");
    sessions.read_at_primary(SECOND, "k");
}

/// As above, for the first process.
#[test]
fn a_process_notices_that_another_one_shares_nothing() {
    let mut sessions = Sessions::start();
    sessions.connect(FIRST);
    sessions.start_second_apart();
    sessions.hand_over();
    sessions.write(SECOND, "k");
    sessions.read_at_primary(FIRST, "k");
}

/// Guards against a cost for sessions of which nothing is known, as after a first start: any host may serve
/// their reads, also h2.
#[test]
fn reads_of_sessions_without_writes_may_go_to_any_host() {
    let mut sessions = Sessions::start();
    sessions.connect(FIRST);
    let mut hosts = Vec::new();
    for client in FIRST {
        let id = sessions.next_id();
        sessions.play(&format!("c{client} send own {id} 2900 k{client}\nany expect id={id}"));
        hosts.push(sessions.steps.any_host());
    }
    assert!(hosts.contains(&2), "{hosts:?}");
}
