//! An upgrade while sessions write and read: see claim.txt.

#[path = "../rig.rs"]
mod rig;

use rig::*;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

/// Sessions, each a client with a connection of its own.
const SESSIONS: usize = 60;
/// Reads of a session between two of its writes.
const READS: usize = 3;
/// How far ordinary replicas trail the log: the site names 2.7 to 14 ms.
const REPLICA_LAG_MS: i64 = 10;
/// A new host starts from a copy of this age; the site names 2 to 7.9 s.
const COPY_AGE_MS: i64 = 7500;
/// How much faster than it grows the new host applies the log: its thread is busy half of the time at full
/// load (33 to 52 %), so that it catches up one second in a second.
const CATCH_UP: i64 = 2;
/// The host that is new.
const NEW_HOST: usize = 3;
/// Work of a request at a host.
const WORK: Duration = Duration::from_millis(20);
/// Pause between two requests of a session: the site names 170 to 640 ms in the mean from a write to a read.
const GAP: Duration = Duration::from_millis(200);

struct Commit {
    at_ms: i64,
    key: String,
    value: String,
    idempotency_key: String,
}

/// One group: host 0 is the primary and stands at the present, the others trail it. A read is answered from
/// what the host has, a write at a replica is turned away untouched.
struct Group {
    log: Mutex<Vec<Commit>>,
    /// When the new host started, in Unix milliseconds.
    new_since_ms: AtomicI64,
    record: Record,
}

impl Group {
    /// Up to which a host has applied the log.
    fn applied_ms(&self, host: usize) -> i64 {
        let now = unix_ms();
        let since = self.new_since_ms.load(SeqCst);
        match host {
            0 => now,
            NEW_HOST => (now - REPLICA_LAG_MS).min(since - COPY_AGE_MS + CATCH_UP * (now - since)),
            _ => now - REPLICA_LAG_MS,
        }
    }
}

impl Ledger for Group {
    fn answer(&self, host: usize, query: &Query, stream: &mut TcpStream) -> io::Result<()> {
        let role = if host == 0 { "primary" } else { "replica" };
        if query.is_write && host != 0 {
            return stream.write_all(&error_answer("25006", role, self.applied_ms(host)));
        }
        sleep(WORK);
        if query.is_write {
            let mut log = self.log.lock().unwrap();
            // A repeat of a key is dropped; the run is too short for a key to expire.
            let found = log.iter().find(|commit| commit.idempotency_key == query.field("k")).map(|commit| commit.at_ms);
            let at_ms = found.unwrap_or_else(|| {
                let (key, value) = (query.key.clone(), query.value.clone());
                let commit = Commit { at_ms: unix_ms() + 1, key, value, idempotency_key: query.field("k").to_owned() };
                log.push(commit);
                log.last().unwrap().at_ms
            });
            drop(log);
            // The answer is written once the clock has reached the commit, which was rounded up.
            sleep(Duration::from_millis(1));
            return stream.write_all(&value_answer(query.value.as_bytes(), true, role, at_ms));
        }
        let (value, applied_ms) = {
            let log = self.log.lock().unwrap();
            let applied_ms = self.applied_ms(host);
            let seen = log.iter().filter(|commit| commit.key == query.key && (host == 0 || commit.at_ms <= applied_ms));
            (seen.last().map_or("00".to_owned(), |commit| commit.value.clone()), applied_ms)
        };
        self.record.line(&format!("host h{host} answers read {} of {}: value {value}, position {applied_ms}", query.field("id"), query.key));
        stream.write_all(&value_answer(value.as_bytes(), false, role, applied_ms))
    }
}

/// One session: writes a higher number each time, and reads it a moment later.
struct Session {
    number: usize,
    address: SocketAddr,
    record: Record,
    client: Option<Client>,
    generation: usize,
    requests: usize,
}

impl Session {
    /// Sends a statement and returns the answer. A connection that was closed between requests is replaced,
    /// and the request sent once more.
    fn ask(&mut self, sql: &str, limit: Duration) -> Answer {
        for _ in 0..2 {
            if self.client.is_none() {
                self.client = Client::connect(self.address).ok();
                self.generation += 1;
                self.record.line(&format!("session {}: connection {}", self.number, self.generation));
            }
            let Some(client) = &mut self.client else { continue };
            match client.ask(sql, limit) {
                Answer::Closed(how) => {
                    self.record.line(&format!("session {}: connection ended: {how}", self.number));
                    self.client = None;
                }
                answer => return answer,
            }
        }
        Answer::Closed("twice".to_owned())
    }

    fn id(&mut self) -> String {
        self.requests += 1;
        format!("s{:02}x{:04}", self.number, self.requests)
    }
}

fn main() {
    run_case(|record| {
        let folder = Folder::new();
        let group = Arc::new(Group { log: Mutex::new(Vec::new()), new_since_ms: AtomicI64::new(0), record: record.clone() });
        let hosts: Vec<Host> = (0..4).map(|index| Host::start(index, Arc::clone(&group) as Arc<dyn Ledger>)).collect();
        let endpoint = |index: usize, since_ms| Endpoint {
            name: format!("h{index}"), address: hosts[index].address, zone: "batha", group: 0, status: "up", since_ms,
        };
        let discovery = Discovery::start(record, (0..NEW_HOST).map(|index| endpoint(index, 0)).collect());
        let listen = free_address();
        let settings = fes_settings(3);
        let start = |name: &str, console: SocketAddr| {
            let config = config(listen, console, discovery.address, &discovery.list(), 192, &settings);
            Program::start(record, &folder, name, &config)
        };
        let old_console = free_address();
        let mut old = start("old", old_console);
        await_health(record, old_console);
        sleep(ms(500));

        let stop = Arc::new(AtomicBool::new(false));
        let reconnect = Arc::new(AtomicBool::new(false));
        let stale = Arc::new(AtomicUsize::new(0));
        let checked = Arc::new(AtomicUsize::new(0));
        let unserved = Arc::new(AtomicUsize::new(0));
        let sessions: Vec<_> = (0..SESSIONS).map(|number| {
            let (record, stop, reconnect) = (record.clone(), Arc::clone(&stop), Arc::clone(&reconnect));
            let (stale, checked, unserved) = (Arc::clone(&stale), Arc::clone(&checked), Arc::clone(&unserved));
            thread::spawn(move || {
                let mut session = Session { number, address: listen, record: record.clone(), client: None, generation: 0, requests: 0 };
                let key = format!("till-{number:02}");
                // The number of the latest write that was acknowledged.
                let mut acknowledged = 0u32;
                let mut version = 0u32;
                let mut has_reconnected = false;
                sleep(ms(17 * number as u64));
                while !stop.load(SeqCst) {
                    version += 1;
                    let id = session.id();
                    let sql = write_sql(&key, &format!("{version:02x}"), &id, "tip-write", 3000, &format!(",k=k{id}"));
                    let answer = session.ask(&sql, ms(4000));
                    record.line(&format!("session {number} (connection {}): write {id} of {version:02x}: {answer:?}", session.generation));
                    if matches!(answer, Answer::Value(_)) {
                        acknowledged = version;
                    }
                    for _ in 0..READS {
                        sleep(GAP);
                        // Without the disruption the session only opens another connection at the same moment.
                        if reconnect.load(SeqCst) && !has_reconnected {
                            has_reconnected = true;
                            session.client = None;
                        }
                        let id = session.id();
                        let answer = session.ask(&read_sql(&key, &id, "own-read", 750, ""), ms(2000));
                        let Answer::Value(value) = &answer else {
                            unserved.fetch_add(1, SeqCst);
                            record.line(&format!("session {number}: read {id}: {answer:?}"));
                            continue;
                        };
                        let read = u32::from_str_radix(&String::from_utf8_lossy(value), 16).unwrap();
                        checked.fetch_add(1, SeqCst);
                        if read < acknowledged {
                            stale.fetch_add(1, SeqCst);
                            record.line(&format!("BROKEN: session {number} (connection {}): read {id} got {read:02x}, write {acknowledged:02x} was acknowledged before", session.generation));
                        }
                    }
                    sleep(GAP);
                }
            })
        }).collect();

        sleep(ms(5000));
        // One more host is switched on, with and without the upgrade.
        let since_ms = unix_ms();
        group.new_since_ms.store(since_ms, SeqCst);
        discovery.change(record, endpoint(NEW_HOST, since_ms));
        sleep(ms(300));
        let mut new = None;
        if trouble() {
            let console = free_address();
            new = Some(start("new", console));
            await_health(record, console);
            old.signal(SIGTERM);
            sleep(ms(6000));
        } else {
            // The old process closes idle connections some 2.5 s after SIGTERM.
            sleep(ms(2500));
            reconnect.store(true, SeqCst);
            sleep(ms(3500));
        }
        stop.store(true, SeqCst);
        for session in sessions {
            session.join().expect("a session");
        }
        if let Some(new) = &mut new {
            assert!(old.has_ended(), "the old process is still there");
            assert!(!new.has_ended(), "the new process has ended");
        }
        let (stale, checked) = (stale.load(SeqCst), checked.load(SeqCst));
        record.line(&format!("{stale} of {checked} served reads of sessions miss a write that was acknowledged; {} reads were not served", unserved.load(SeqCst)));
        assert!(checked > SESSIONS * 10, "too few reads were served");
        if stale > 0 { Verdict::Broken } else { Verdict::Held }
    })
}
