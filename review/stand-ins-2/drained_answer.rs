//! A client that reads a value slowly, and sends on, while the proxy is told to end.

use crate::stand_ins::*;
use crate::{grade, settings};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const VALUE_BYTES: usize = 60_000;
/// The client reads this much, then pauses.
const READ_BYTES: usize = 8 * 1024;
const READ_PAUSE: u64 = 100;
/// The longest deadline. SIGKILL would follow 0.7 s after it, 1.9 s after SIGTERM; the case is over before.
const DEADLINE_MS: u64 = 1_200;
/// When the client sends the read of the long value, after SIGTERM, in milliseconds.
const LONG_AT: u64 = 600;
/// The short reads behind it, and the time between them.
const BEHIND: usize = 3;
const BEHIND_PAUSE: u64 = 200;

pub fn play(folder: &Path) -> Verdict {
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let state = Arc::clone(&runs);
    let handler = move |host: &Host, connection: &mut Connection, query: &Query| {
        state.lock().unwrap().push(query.field("id").to_owned());
        sleep(30);
        let mut value = query.field("id").as_bytes().to_vec();
        if query.name == "long" {
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
    let settings = settings(&[grade("price", 0.3, DEADLINE_MS as f64 / 1e3, r#""repeat":"pure""#)], r#"["any"]"#, "[0.0]", "wait");
    let proxy = Start {
        folder,
        label: "1",
        listen: free_address(),
        discovery: discovery.address,
        limits: r#"{"cores":1.0,"memory_mb":96,"sockets":512}"#,
        settings: &settings,
    }
    .start();
    proxy.await_ready();
    // Segments and a buffer like those of a link that is no loopback.
    let mut client = Client::connect_with(proxy.listen, 1_448, 16_384).unwrap();
    let reply = client.ask(&read_statement(&new_id(), "price", "before", DEADLINE_MS));
    note(format!("client: a read before: {}", reply.text()));
    let started = Instant::now();
    let at = |after: u64| thread::sleep((started + Duration::from_millis(after)).saturating_duration_since(Instant::now()));
    if trouble() {
        proxy.signal(SIGTERM);
    }
    at(LONG_AT);
    let ids: Vec<String> = (0..=BEHIND).map(|_| new_id()).collect();
    let mut sender = client.stream.try_clone().unwrap();
    let to_send = ids.clone();
    thread::spawn(move || {
        use std::io::Write;
        for (number, id) in to_send.iter().enumerate() {
            let name = if number == 0 { "long" } else { "short" };
            let statement = read_statement(id, "price", name, DEADLINE_MS);
            let sent = sender.write_all(&message(b'Q', format!("{statement}\0").as_bytes()));
            note(format!("client: sends {id}, {name}: {sent:?}"));
            if sent.is_err() {
                break;
            }
            sleep(BEHIND_PAUSE);
        }
    });
    let mut lost = Vec::new();
    for (number, id) in ids.iter().enumerate() {
        let mut next = READ_BYTES;
        let reply = client.receive(|read| {
            if read >= next {
                next += READ_BYTES;
                sleep(READ_PAUSE);
            }
        });
        let has_run = runs.lock().unwrap().contains(id);
        note(format!("client: {id}: {}{}", reply.text(), if has_run { ", a host has run it" } else { "" }));
        if matches!(reply, Reply::Broken(..)) {
            let ids = &ids[number..];
            lost = ids.iter().filter(|id| runs.lock().unwrap().contains(*id)).cloned().collect();
            break;
        }
    }
    note(format!("{:.1} s after SIGTERM", started.elapsed().as_secs_f64()));
    match lost.len() {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("{count} requests that hosts had run got no whole answer")),
    }
}
