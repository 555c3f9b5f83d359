//! A repeat of a keyed write whose last byte is written after the window in which hosts know its key.

use crate::stand_ins::*;
use crate::{grade, settings};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const WINDOW: Duration = ms_const(1_500);
/// Shorter than the time after which a group gives its primary up (1.3 to 2.9 s).
const HANG: Duration = ms_const(2_500);
/// What the pages allow beyond a time limit: 50 ms on sockets, 150 ms for a proxy that is held up.
const SLACK: Duration = ms_const(200);
/// Number of writes before the disruption.
const BEFORE: u32 = 5;
const KEY: &str = "5c0f6e1a2b3d4c59";

const fn ms_const(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[derive(Default)]
struct Group {
    /// When the last byte of each statement with the key had come, and whether it was run.
    arrivals: Vec<(Instant, bool)>,
    hangs_until: Option<Instant>,
}

pub fn play(folder: &Path) -> Verdict {
    let group: Arc<Mutex<Group>> = Arc::default();
    let hanging = Arc::clone(&group);
    let pace = move |_: u64, _: usize| {
        let until = hanging.lock().unwrap().hangs_until;
        if let Some(left) = until.and_then(|until| until.checked_duration_since(Instant::now())) {
            thread::sleep(left);
        }
    };
    let state = Arc::clone(&group);
    let handler = move |host: &Host, connection: &mut Connection, query: &Query| {
        if query.field("k") != KEY {
            sleep(5);
            connection.send(&host.answer(query, query.field("id").as_bytes()))?;
            return Ok(true);
        }
        let now = Instant::now();
        let (is_run, is_first) = {
            let mut state = state.lock().unwrap();
            // The group drops a repeat for the window, from the first run on.
            let first = state.arrivals.iter().find(|(_, is_run)| *is_run).map(|(at, _)| *at);
            let is_run = first.is_none_or(|first| now - first > WINDOW);
            let is_first = state.arrivals.is_empty();
            state.arrivals.push((now, is_run));
            (is_run, is_first)
        };
        note(format!(
            "host: the whole write has come on connection {}, d={}: {}",
            connection.number,
            query.field("d"),
            if is_run { "RUN" } else { "a repeat, dropped" }
        ));
        if is_first && trouble() {
            sleep(300);
            note("host: the connection is reset under the request, and the host hangs");
            state.lock().unwrap().hangs_until = Some(Instant::now() + HANG);
            connection.reset();
            return Ok(false);
        }
        sleep(20);
        connection.send(&host.answer(query, query.field("id").as_bytes()))?;
        Ok(true)
    };
    // The segments of an ordinary network, and a small buffer.
    let options = HostOptions { segments: Some((1_448, 4_096)), pace: Arc::new(pace), ..HostOptions::default() };
    let mut hosts = vec![Host::start("s-1", options, Arc::new(handler))];
    for number in 2..=6 {
        // A replica turns a write away untouched.
        let handler = move |host: &Host, connection: &mut Connection, _: &Query| {
            connection.send(&host.end(error("25006", "read only"))).map(|()| true)
        };
        let options = HostOptions { is_primary: false, ..HostOptions::default() };
        hosts.push(Host::start(&format!("s-{number}"), options, Arc::new(handler)));
    }
    let discovery = Discovery::start(hosts.iter().map(|host| host.entry(2)).collect());
    let write = r#""repeat":"token","group":"cell","window":1.5"#;
    let settings = settings(&[grade("note-write", 0.9, 10.0, write)], r#"["write"]"#, "[0.0]", "off")
        .replace(r#""maxAttempts":8"#, r#""maxAttempts":3"#)
        .replace(r#""secondCopies":true"#, r#""secondCopies":false"#)
        .replace(r#""keepalive":15.0"#, r#""keepalive":60.0"#)
        .replace(r#""drainGrace":2.0"#, r#""drainGrace":1.0"#);
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
    let mut client = Client::connect(proxy.listen).unwrap();
    for _ in 0..BEFORE {
        let id = new_id();
        let reply = client.ask(&write_statement(&id, "note-write", "7f3a9c21", b"before", Some(&id), 10_000));
        note(format!("client: a write before, {}", reply.text()));
        if !matches!(reply, Reply::Served(_)) {
            return Verdict::NotRun("a write before the disruption was not served".to_owned());
        }
    }
    let id = new_id();
    let value = vec![0x9f; 64 * 1024];
    note("client: sends the write of 64 KiB once, with its key");
    let stats = {
        let console = proxy.console;
        thread::spawn(move || {
            sleep(2_200);
            let body = http(console, "GET", "/admin/stats").map(|(_, body)| body).unwrap_or_default();
            let line = body.lines().find(|line| line.starts_with("gw.forwards")).unwrap_or("").to_owned();
            note(format!("proxy, 2.2 s after the write: {line} attempts written whole so far"));
            line.split('=').nth(1).and_then(|count| count.parse::<u32>().ok()).unwrap_or(0)
        })
    };
    let reply = client.ask(&write_statement(&id, "note-write", "7f3a9c21", &value, Some(KEY), 10_000));
    note(format!("client: {}", reply.text()));
    let forwards = stats.join().unwrap_or(0);
    sleep(300);
    let arrivals = group.lock().unwrap().arrivals.clone();
    let Some((first, _)) = arrivals.first().copied() else {
        return Verdict::NotRun("the write never came".to_owned());
    };
    let runs = arrivals.iter().filter(|(_, is_run)| *is_run).count();
    let late = arrivals.iter().map(|(at, _)| *at - first).find(|after| *after > WINDOW + SLACK);
    if trouble() && forwards > BEFORE + 1 {
        // Then it is the system that held the end of the repeat back.
        return Verdict::NotRun("the system's buffers took the whole repeat within the window".to_owned());
    }
    match late {
        Some(after) => Verdict::Broken(format!(
            "a repeat came whole {} ms after the write that had run, the window is {} ms; the write was run {runs} times",
            after.as_millis(),
            WINDOW.as_millis()
        )),
        None => Verdict::Held,
    }
}
