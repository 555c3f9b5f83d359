//! An upgrade while sessions write and read: see claim.txt.

#[path = "../rig.rs"]
mod rig;

use rig::*;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

/// Sessions, each a client with a connection of its own.
const SESSIONS: usize = 16;
/// How far the two replicas trail the log. The site names copies that are 2 to 7.9 s old.
const REPLICA_LAG_MS: i64 = 2500;
/// Work of a request at a host.
const WORK: Duration = Duration::from_millis(20);
/// Pause between a session's write and its read: the site names 170 to 640 ms in the mean.
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
    record: Record,
}

impl Ledger for Group {
    fn answer(&self, host: usize, query: &Query, stream: &mut TcpStream) -> io::Result<()> {
        let role = if host == 0 { "primary" } else { "replica" };
        let lag = if host == 0 { 0 } else { REPLICA_LAG_MS };
        if query.is_write && host != 0 {
            return stream.write_all(&error_answer("25006", role, unix_ms() - lag));
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
            let applied_ms = unix_ms() - lag;
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
        let group = Arc::new(Group { log: Mutex::new(Vec::new()), record: record.clone() });
        let hosts: Vec<Host> = (0..3).map(|index| Host::start(index, Arc::clone(&group) as Arc<dyn Ledger>)).collect();
        let endpoints = hosts.iter().enumerate().map(|(index, host)| Endpoint {
            name: format!("h{index}"), address: host.address, zone: "batha", group: 0, status: "up", since_ms: 0,
        });
        let discovery = Discovery::start(record, endpoints.collect());
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
                sleep(ms(30 * number as u64));
                while !stop.load(SeqCst) {
                    version += 1;
                    let id = session.id();
                    let sql = write_sql(&key, &format!("{version:02x}"), &id, "tip-write", 3000, &format!(",k=k{id}"));
                    let answer = session.ask(&sql, ms(4000));
                    record.line(&format!("session {number} (connection {}): write {id} of {version:02x}: {answer:?}", session.generation));
                    if matches!(answer, Answer::Value(_)) {
                        acknowledged = version;
                    }
                    sleep(GAP);
                    // Without the disruption the session only opens another connection at the same moment.
                    if reconnect.load(SeqCst) && !has_reconnected {
                        has_reconnected = true;
                        session.client = None;
                    }
                    let id = session.id();
                    let answer = session.ask(&read_sql(&key, &id, "own-read", 750, ""), ms(2000));
                    match &answer {
                        Answer::Value(value) => {
                            let read = u32::from_str_radix(&String::from_utf8_lossy(value), 16).unwrap();
                            checked.fetch_add(1, SeqCst);
                            if read < acknowledged {
                                stale.fetch_add(1, SeqCst);
                                record.line(&format!("BROKEN: session {number} (connection {}): read {id} got {read:02x}, write {acknowledged:02x} was acknowledged before", session.generation));
                            }
                        }
                        other => {
                            unserved.fetch_add(1, SeqCst);
                            record.line(&format!("session {number}: read {id}: {other:?}"));
                        }
                    }
                    sleep(GAP);
                }
            })
        }).collect();

        sleep(ms(5000));
        let mut new = None;
        if trouble() {
            let console = free_address();
            new = Some(start("new", console));
            await_health(record, console);
            old.signal(SIGTERM);
        } else {
            reconnect.store(true, SeqCst);
        }
        sleep(ms(6000));
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
