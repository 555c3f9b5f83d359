//! A new file that lacks a key, at a deployment whose hosts answer reads from what they have.

use crate::stand_ins::*;
use crate::{grade, settings};
use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;

const SESSIONS: u64 = 30;
/// The key that the new file lacks.
const KEY: &str = r#","writeMarks":"remembered""#;
/// Age of the copies from which the replicas started, in milliseconds: two long ago, and one that was just switched on.
const COPY_AGES_MS: [f64; 3] = [0.0, 0.0, 7_900.0];
/// How far a replica trails that has caught up, in milliseconds.
const TRAIL_MS: f64 = 10.0;
/// When the new file comes, and how long the sessions go on, in milliseconds.
const NEW_FILE_AT: u64 = 2_000;
const GOES_ON: u64 = 6_000;
/// When a session reads, after its write, in milliseconds.
const READS_AFTER: [u64; 3] = [170, 340, 510];

/// What was committed: for each session its numbers with their times.
type Commits = Mutex<HashMap<String, Vec<(f64, u64)>>>;

#[derive(Default)]
struct Counts {
    is_over: AtomicBool,
    reads: AtomicU32,
    stale: AtomicU32,
    unserved: AtomicU32,
}

fn number_in(query: &Query) -> u64 {
    let digits = query.text.split("\\x").nth(1).and_then(|rest| rest.split('\'').next()).unwrap_or("");
    u64::from_str_radix(digits, 16).unwrap_or(0)
}

/// One session on one connection: it writes a number and reads it back.
fn session(number: u64, listen: std::net::SocketAddr, counts: &Counts) -> std::io::Result<()> {
    let name = format!("{:016x}", 0x7f3a_9c21_0000_0000 + number);
    let mut client = Client::connect(listen)?;
    for value in 1u64.. {
        let id = new_id();
        let reply = client.ask(&write_statement(&id, "tip-write", &name, &value.to_be_bytes(), Some(&id), 3_000));
        if matches!(reply, Reply::Broken(..)) {
            return Ok(());
        }
        note(format!("session {name}: {id} write {value}, {}", if matches!(reply, Reply::Served(_)) { "served" } else { "not served" }));
        if !matches!(reply, Reply::Served(_)) {
            counts.unserved.fetch_add(1, SeqCst);
            note(format!("session {name}: write {value}: {}", reply.text()));
            continue;
        }
        let mut at = 0;
        for after in READS_AFTER {
            sleep(after - at);
            at = after;
            if counts.is_over.load(SeqCst) {
                return Ok(());
            }
            let id = new_id();
            let reply = client.ask(&read_statement(&id, "own-read", &name, 750));
            counts.reads.fetch_add(1, SeqCst);
            match &reply {
                Reply::Served(bytes) if bytes.len() == 8 => {
                    let read = u64::from_be_bytes(bytes[..].try_into().unwrap());
                    note(format!("session {name}: {id} read {read}, served"));
                    if read < value {
                        counts.stale.fetch_add(1, SeqCst);
                        note(format!("session {name}: STALE, {id} read {read}, {after} ms after its write of {value} was served"));
                    }
                }
                _ => drop(counts.unserved.fetch_add(1, SeqCst)),
            }
        }
    }
    Ok(())
}

pub fn play(folder: &Path) -> Verdict {
    let commits: Arc<Commits> = Arc::default();
    let state = Arc::clone(&commits);
    let handler = move |host: &Host, connection: &mut Connection, query: &Query| {
        sleep(10);
        let mut commits = state.lock().unwrap();
        let (value, position) = if query.is_write {
            if !host.is_primary {
                return connection.send(&host.end(error("25006", "read only"))).map(|()| true);
            }
            let (at, number) = (unix_ms(), number_in(query));
            commits.entry(query.name.clone()).or_default().push((at, number));
            (number, at.ceil())
        } else {
            // What was committed up to the applied position.
            let position = host.position_ms().floor();
            let known = commits.get(&query.name).and_then(|list| list.iter().rev().find(|(at, _)| *at <= position));
            (known.map_or(0, |(_, number)| *number), position)
        };
        drop(commits);
        let (id, name) = (query.field("id"), &host.name);
        let what = if query.is_write { "commits" } else { "reads" };
        note(format!("{name}: {id} {what} {value} of {}, at {:.1} s", query.name, position / 1e3));
        let tag = if query.is_write { "INSERT 0 1" } else { "SELECT 1" };
        connection.send(&host.end_at(row(&value.to_be_bytes(), tag), position)).map(|()| true)
    };
    let handler = Arc::new(handler);
    let mut hosts = vec![Host::start("s-1", HostOptions::default(), handler.clone())];
    for (copy_age_ms, number) in COPY_AGES_MS.into_iter().zip(2..) {
        let options = HostOptions { is_primary: false, trail_ms: TRAIL_MS, copy_age_ms, ..HostOptions::default() };
        hosts.push(Host::start(&format!("s-{number}"), options, handler.clone()));
    }
    let mut entries: Vec<_> = hosts.iter().map(|host| host.entry(2)).collect();
    entries[3].since_ms = unix_ms() as u64;
    let discovery = Discovery::start(entries);
    let grades = [
        grade("own-read", 0.25, 0.75, r#""repeat":"pure""#),
        grade("tip-write", 0.75, 3.0, r#""repeat":"token","group":"cell","window":3.0"#),
    ];
    let whole = settings(&grades, r#"["session","write"]"#, "[0.0,0.0]", "off")
        .replace(r#""fields":["x0","x1","cpu"],"how":"on_probe""#, r#""fields":[],"how":"off""#);
    assert!(whole.contains(KEY));
    let lacking = whole.replace(KEY, "");
    let mut start = Start {
        folder,
        label: "1",
        listen: free_address(),
        discovery: discovery.address,
        limits: r#"{"cores":1.0,"memory_mb":96,"sockets":512}"#,
        settings: &whole,
    };
    let proxy = start.start();
    proxy.await_ready();
    let counts: Arc<Counts> = Arc::default();
    let listen = proxy.listen;
    for number in 0..SESSIONS {
        let counts = Arc::clone(&counts);
        thread::spawn(move || session(number, listen, &counts));
    }
    sleep(NEW_FILE_AT);
    let (reads, stale) = (counts.reads.load(SeqCst), counts.stale.load(SeqCst));
    note(format!("before the new file: {reads} reads, {stale} of them stale"));
    if trouble() {
        start.settings = &lacking;
    }
    start.rewrite(&proxy);
    note(format!("new file, {}", if trouble() { "lacks `familyInfo.writeMarks`" } else { "whole" }));
    proxy.signal(SIGHUP);
    sleep(GOES_ON);
    counts.is_over.store(true, SeqCst);
    proxy.stats().lines().filter(|line| line.starts_with("gw.sighup")).for_each(|line| note(line));
    let (all, stale_after) = (counts.reads.load(SeqCst), counts.stale.load(SeqCst) - stale);
    let unserved = counts.unserved.load(SeqCst);
    note(format!("after it: {} reads, {stale_after} of them stale; not served in all: {unserved}", all - reads));
    if stale > 0 || reads < 50 {
        return Verdict::NotRun(format!("before the new file: {reads} reads, {stale} of them stale"));
    }
    match stale_after {
        0 => Verdict::Held,
        _ => Verdict::Broken(format!("{stale_after} of {} reads of sessions miss their own writes", all - reads)),
    }
}
