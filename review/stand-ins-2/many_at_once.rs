//! Clients that send several commands with long values at once, as many clients as may have a third of the
//! descriptors: the memory of the process.

use crate::stand_ins::*;
use crate::{grade, settings};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const MEMORY_MB: u64 = 48;
const DESCRIPTORS: u64 = 512;
/// For requests, clients hold at most a third of the descriptors.
const CLIENTS: u64 = DESCRIPTORS / 3;
/// A little less than the longest value, 64 KiB.
const VALUE_BYTES: usize = 64_000;
const SECONDS: u64 = 6;

/// What the clients do.
#[derive(Clone, Copy)]
struct Habits {
    /// Commands that a client sends before it reads the first answer.
    at_once: u64,
    /// Every second client reads long values; else all write.
    half_read: bool,
    /// Pause of a client for each 8 KiB that it reads, in milliseconds.
    read_pause: u64,
    /// Time that a host takes for a request, in milliseconds.
    host_time: u64,
}

#[derive(Default)]
struct Totals {
    is_over: AtomicBool,
    unanswered: AtomicU64,
    replies: Mutex<BTreeMap<String, u64>>,
}

struct Run {
    peak_kib: u64,
    has_ended: bool,
}

/// One client: rounds of commands and their answers until its time is over.
fn client(number: u64, listen: std::net::SocketAddr, habits: Habits, totals: &Totals) -> std::io::Result<()> {
    while !totals.is_over.load(SeqCst) {
        let mut client = Client::connect_with(listen, 1_448, 4_096)?;
        let mut is_open = true;
        while is_open && !totals.is_over.load(SeqCst) {
            let mut sent = Vec::new();
            for _ in 0..habits.at_once {
                let id = new_id();
                let text = match habits.half_read && number % 2 == 0 {
                    true => read_statement(&id, "price", "large", 5_000),
                    false => write_statement(&id, "sale", &format!("k{id}"), &vec![0x9f; VALUE_BYTES], Some(&id), 5_000),
                };
                if client.send(&text).is_err() {
                    // Not written whole: not taken.
                    break;
                }
                sent.push(id);
            }
            let mut next = 0;
            for id in &sent {
                let reply = client.receive(|read| {
                    if habits.read_pause > 0 && read >= next {
                        next = read + 8_192;
                        sleep(habits.read_pause);
                    }
                });
                if totals.is_over.load(SeqCst) {
                    return Ok(());
                }
                let kind = match &reply {
                    Reply::Served(_) => "served".to_owned(),
                    Reply::Broken(why, _) => {
                        is_open = false;
                        // The end of the stream, and every byte was received there: a close with unread bytes
                        // would have reset the connection.
                        let is_read = !why.contains("reset") && !why.contains("pipe") && client.unacknowledged() == 0;
                        if is_read {
                            totals.unanswered.fetch_add(1, SeqCst);
                            note(format!("client {number}: {id} was sent and received whole, and got no answer: {why}"));
                        }
                        format!("no answer, received whole {is_read}")
                    }
                    other => other.text(),
                };
                *totals.replies.lock().unwrap().entry(kind).or_insert(0) += 1;
            }
        }
    }
    Ok(())
}

fn run(folder: &Path, habits: Habits) -> Run {
    let handler = move |host: &Host, connection: &mut Connection, query: &Query| {
        sleep(habits.host_time);
        let mut value = query.field("id").as_bytes().to_vec();
        if query.name == "large" {
            value.resize(VALUE_BYTES, b'x');
        }
        connection.send(&host.answer(query, &value)).map(|()| true)
    };
    let handler = Arc::new(handler);
    let hosts: Vec<_> = (1..=3)
        .map(|number| {
            let options = HostOptions { is_primary: number == 1, ..HostOptions::default() };
            Host::start(&format!("s-{number}"), options, handler.clone())
        })
        .collect();
    let discovery = Discovery::start(hosts.iter().map(|host| host.entry(2)).collect());
    let grades = [
        grade("price", 1.0, 5.0, r#""repeat":"pure""#),
        grade("sale", 1.0, 5.0, r#""repeat":"token","group":"cell","window":3.0"#),
    ];
    let settings = settings(&grades, r#"["any","write"]"#, "[0.0,0.0]", "wait");
    let limits = format!(r#"{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":{DESCRIPTORS}}}"#);
    let mut proxy = Start {
        folder,
        label: "1",
        listen: free_address(),
        discovery: discovery.address,
        limits: &limits,
        settings: &settings,
    }
    .start();
    proxy.await_ready();
    note(format!("at rest: {} KiB of anonymous memory", proxy.status_kib("RssAnon")));
    note(format!("{CLIENTS} clients, each sends {} commands at once; values of {VALUE_BYTES} bytes", habits.at_once));
    let totals: Arc<Totals> = Arc::default();
    let listen = proxy.listen;
    for number in 0..CLIENTS {
        let totals = Arc::clone(&totals);
        thread::spawn(move || client(number, listen, habits, &totals));
    }
    let (started, mut peak_kib, mut has_ended, mut noted) = (Instant::now(), 0, false, 0);
    while started.elapsed().as_secs() < SECONDS && !has_ended {
        peak_kib = peak_kib.max(proxy.status_kib("RssAnon"));
        if started.elapsed().as_millis() as u64 / 500 > noted {
            noted += 1;
            note(format!("anonymous memory: {} KiB, at most {peak_kib} KiB", proxy.status_kib("RssAnon")));
        }
        has_ended = proxy.child.try_wait().unwrap().is_some();
        sleep(20);
    }
    totals.is_over.store(true, SeqCst);
    note(format!("answers: {:?}", totals.replies.lock().unwrap()));
    proxy.stats().lines().filter(|line| !line.ends_with("=0")).for_each(|line| note(line));
    Run { peak_kib, has_ended }
}

/// The process must stay within `limits.memory_mb`, or the platform kills it.
pub fn play_memory_limit(folder: &Path) -> Verdict {
    let at_once = if trouble() { 8 } else { 1 };
    let run = run(folder, Habits { at_once, half_read: true, read_pause: 100, host_time: 5 });
    let limit_kib = MEMORY_MB * 1024;
    if run.has_ended {
        return Verdict::Broken("the process ended".to_owned());
    }
    note(format!("at most {} KiB of anonymous memory, the limit is {limit_kib} KiB", run.peak_kib));
    match run.peak_kib > limit_kib {
        true => Verdict::Broken(format!(
            "{} KiB of anonymous memory alone, the platform kills a proxy over {limit_kib} KiB",
            run.peak_kib
        )),
        false => Verdict::Held,
    }
}
