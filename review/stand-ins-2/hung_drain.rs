//! A client with many writes at once at a primary that hangs, while the proxy is drained from the console.

use crate::stand_ins::*;
use crate::{grade, settings};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Number of writes that the client sends at once.
const AT_ONCE: usize = 100;
/// When it sends them, after the call to the console, in milliseconds.
const WRITES_AT: u64 = 200;
/// When it sends one more, on the connection that is still open.
const ONE_MORE_AT: u64 = 3_400;
/// What the client waits for each write.
const DEADLINE_MS: u64 = 5_000;

pub fn play(folder: &Path) -> Verdict {
    let hangs: Arc<AtomicBool> = Arc::default();
    let state = Arc::clone(&hangs);
    let handler = move |host: &Host, connection: &mut Connection, query: &Query| {
        if !host.is_primary {
            return connection.send(&host.end(error("25006", "read only"))).map(|()| true);
        }
        if state.load(SeqCst) {
            sleep(8_000);
        }
        sleep(5);
        connection.send(&host.answer(query, query.field("id").as_bytes())).map(|()| true)
    };
    let handler = Arc::new(handler);
    let hosts: Vec<_> = (1..=6)
        .map(|number| {
            let options = HostOptions { is_primary: number == 1, ..HostOptions::default() };
            Host::start(&format!("s-{number}"), options, handler.clone())
        })
        .collect();
    let discovery = Discovery::start(hosts.iter().map(|host| host.entry(2)).collect());
    let write = r#""repeat":"token","group":"cell","window":3.0"#;
    let settings = settings(&[grade("sale", 0.5, DEADLINE_MS as f64 / 1e3, write)], r#"["write"]"#, "[0.0]", "wait");
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
    let write = |id: &str| write_statement(id, "sale", "7f3a9c21", b"sale", Some(id), DEADLINE_MS);
    for _ in 0..5 {
        let reply = client.ask(&write(&new_id()));
        note(format!("client: a write before: {}", reply.text()));
        if !matches!(reply, Reply::Served(_)) {
            return Verdict::NotRun("a write before the drain was not served".to_owned());
        }
    }
    hangs.store(trouble(), SeqCst);
    if trouble() {
        note("the primary hangs from now on");
    }
    let started = Instant::now();
    let at = |after: u64| thread::sleep((started + Duration::from_millis(after)).saturating_duration_since(Instant::now()));
    if trouble() {
        let status = http(proxy.console, "POST", "/admin/quiesce").map(|(status, _)| status);
        note(format!("console: POST /admin/quiesce, {status:?}"));
    }
    at(WRITES_AT);
    let ids: Vec<String> = (0..AT_ONCE).map(|_| new_id()).collect();
    let bytes: Vec<u8> = ids.iter().flat_map(|id| message(b'Q', format!("{}\0", write(id)).as_bytes())).collect();
    client.send_bytes(&bytes).unwrap();
    note(format!("client: sends {AT_ONCE} writes at once, {} to {}", ids[0], ids[AT_ONCE - 1]));
    sleep(1_000);
    note(format!("client: {} bytes are not acknowledged a second later", client.unacknowledged()));
    let acknowledged = client.unacknowledged() == 0;
    let mut copy = client.stream.try_clone().unwrap();
    let more = write(&new_id());
    let sender = thread::spawn(move || {
        thread::sleep((started + Duration::from_millis(ONE_MORE_AT)).saturating_duration_since(Instant::now()));
        let sent = std::io::Write::write_all(&mut copy, &message(b'Q', format!("{more}\0").as_bytes()));
        note(format!("client: sends one more write: {sent:?}"));
    });
    let mut answers: Vec<String> = Vec::new();
    for id in &ids {
        let reply = client.receive(|_| {});
        if matches!(reply, Reply::Broken(..)) {
            note(format!("client: {id}: {}, {} ms after the call", reply.text(), started.elapsed().as_millis()));
            break;
        }
        answers.push(reply.text());
    }
    let mut kinds = answers.clone();
    kinds.sort();
    kinds.dedup_by(|a, b| a[..6] == b[..6]);
    note(format!("client: {} answers, {kinds:?}; {} writes have none", answers.len(), AT_ONCE - answers.len()));
    let _ = sender.join();
    if !acknowledged {
        return Verdict::NotRun("the writes had not all come to the proxy's machine".to_owned());
    }
    match AT_ONCE - answers.len() {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("{count} of {AT_ONCE} writes that were sent 3.3 s before got no answer")),
    }
}
