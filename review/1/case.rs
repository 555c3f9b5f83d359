//! Bad clients that come again as soon as they are turned away: see claim.txt.

#[path = "../rig.rs"]
mod rig;

use rig::*;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// The largest memory limit that the pages name, in MB.
const MEMORY_MB: u64 = 192;
/// Bad clients, each with one connection at a time.
const BAD_CLIENTS: usize = 100;
/// Usual clients, each with a read all 40 ms.
const CLIENTS: usize = 8;
/// How long the bad clients are there at most.
const DURATION: Duration = Duration::from_secs(30);
const WORK: Duration = Duration::from_millis(20);

struct Group;

impl Ledger for Group {
    fn report(&self, host: usize) -> Option<String> {
        Some(format!("x0={:.3},x1={},cpu=0.2", unix_ms() as f64 / 1000.0, u8::from(host == 0)))
    }

    fn answer(&self, host: usize, query: &Query, stream: &mut TcpStream) -> io::Result<()> {
        let role = if host == 0 { "primary" } else { "replica" };
        if query.is_write && host != 0 {
            return stream.write_all(&error_answer("25006", role, unix_ms()));
        }
        sleep(WORK);
        stream.write_all(&value_answer(b"v", query.is_write, role, unix_ms()))
    }
}

/// One bad client: sends what can't be read, reads what it is sent up to the end, and does the same again.
fn misbehave(proxy: SocketAddr, stop: &AtomicBool, turned_away: &AtomicUsize) {
    while !stop.load(SeqCst) {
        let Ok(mut stream) = TcpStream::connect(proxy) else {
            sleep(ms(5));
            continue;
        };
        let _ = stream.set_read_timeout(Some(ms(3000)));
        let _ = stream.write_all(b"what cannot be read, at all\n");
        let mut buffer = [0; 512];
        while matches!(stream.read(&mut buffer), Ok(1..)) {}
        turned_away.fetch_add(1, SeqCst);
    }
}

/// Resident memory of a process, in KiB.
fn resident_kib(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn main() {
    run_case(|record| {
        let folder = Folder::new();
        let group: Arc<dyn Ledger> = Arc::new(Group);
        let hosts: Vec<Host> = (0..3).map(|index| Host::start(index, Arc::clone(&group))).collect();
        let endpoints = hosts.iter().enumerate().map(|(index, host)| Endpoint {
            name: format!("h{index}"), address: host.address, zone: "sapporo-1", group: 0, status: "up", since_ms: 0,
        });
        let discovery = Discovery::start(record, endpoints.collect());
        let (listen, console) = (free_address(), free_address());
        let config = config(listen, console, discovery.address, &discovery.list(), MEMORY_MB as u32, &sapporo_settings(1));
        let mut proxy = Program::start(record, &folder, "proxy", &config);
        await_health(record, console);

        let stop = Arc::new(AtomicBool::new(false));
        let (served, unserved) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        for number in 0..CLIENTS {
            let (stop, served, unserved) = (Arc::clone(&stop), Arc::clone(&served), Arc::clone(&unserved));
            thread::spawn(move || {
                let mut client = None;
                let mut requests = 0;
                while !stop.load(SeqCst) {
                    requests += 1;
                    if client.is_none() {
                        client = Client::connect(listen).ok();
                    }
                    if let Some(connected) = &mut client {
                        let sql = read_sql("k", &format!("u{number}x{requests}"), "daily-report", 1000, ",t=kitakaze-ichiba");
                        match connected.ask(&sql, ms(1500)) {
                            Answer::Value(_) => drop(served.fetch_add(1, SeqCst)),
                            answer => {
                                unserved.fetch_add(1, SeqCst);
                                if matches!(answer, Answer::Closed(_) | Answer::Silent) {
                                    client = None;
                                }
                            }
                        }
                    }
                    sleep(ms(40));
                }
            });
        }
        sleep(ms(2000));
        let turned_away = Arc::new(AtomicUsize::new(0));
        if trouble() {
            record.line(&format!("{BAD_CLIENTS} bad clients come"));
            for _ in 0..BAD_CLIENTS {
                let (stop, turned_away) = (Arc::clone(&stop), Arc::clone(&turned_away));
                thread::spawn(move || misbehave(listen, &stop, &turned_away));
            }
        }
        // The platform: over `memory_mb` the proxy is killed.
        let until = Instant::now() + DURATION;
        let mut next_line = Instant::now();
        let mut killed = false;
        let mut peak = 0;
        while Instant::now() < until && !killed && !proxy.has_ended() {
            let resident = resident_kib(proxy.pid()).unwrap_or(0);
            peak = peak.max(resident);
            killed = resident > MEMORY_MB * 1024;
            if killed || Instant::now() >= next_line {
                next_line += ms(500);
                record.line(&format!(
                    "memory {resident} KiB; bad clients were turned away {} times; usual requests: {} served, {} not",
                    turned_away.load(SeqCst), served.load(SeqCst), unserved.load(SeqCst)
                ));
            }
            if killed {
                record.line(&format!("BROKEN: over {MEMORY_MB} MB; the platform kills the proxy"));
                proxy.signal(SIGKILL);
            }
            sleep(ms(20));
        }
        stop.store(true, SeqCst);
        record.line(&format!("peak memory {peak} KiB, limit {} KiB", MEMORY_MB * 1024));
        if killed || proxy.has_ended() {
            return Verdict::Broken;
        }
        assert!(served.load(SeqCst) > 100, "too few usual requests were served");
        Verdict::Held
    })
}
