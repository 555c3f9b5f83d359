//! Requests that are received whole and thrown away, because memory for buffers is short.

use crate::stand_ins::*;
use crate::{grade, settings};
use std::io::Write;
use std::path::Path;
use std::sync::Arc;

/// Clients that stop in the middle of a request and stay.
const BAD_CLIENTS: usize = 165;
/// What they send of a statement of 128 KiB.
const SENT_BYTES: usize = 120_000;
/// Requests that the usual client sends behind a long one.
const BEHIND: usize = 4;

pub fn play(folder: &Path) -> Verdict {
    let handler = move |host: &Host, connection: &mut Connection, query: &Query| {
        sleep(20);
        note(format!("{}: ran {}", host.name, query.field("id")));
        connection.send(&host.answer(query, query.field("id").as_bytes())).map(|()| true)
    };
    let host = Host::start("s-1", HostOptions::default(), Arc::new(handler));
    let discovery = Discovery::start(vec![host.entry(2)]);
    let grades = [
        grade("price", 0.3, 1.2, r#""repeat":"pure""#),
        grade("sale", 0.5, 5.0, r#""repeat":"token","group":"cell","window":3.0"#),
    ];
    let settings = settings(&grades, r#"["any","write"]"#, "[0.0,0.0]", "wait");
    let proxy = Start {
        folder,
        label: "1",
        listen: free_address(),
        discovery: discovery.address,
        limits: r#"{"cores":1.0,"memory_mb":48,"sockets":512}"#,
        settings: &settings,
    }
    .start();
    proxy.await_ready();
    let mut client = Client::connect(proxy.listen).unwrap();
    let id = new_id();
    let before = client.ask(&read_statement(&id, "price", "before", 1_200));
    note(format!("client: a read before, {}", before.text()));
    if !matches!(before, Reply::Served(_)) {
        return Verdict::NotRun("the read before the disruption was not served".to_owned());
    }
    let mut bad = Vec::new();
    if trouble() {
        for _ in 0..BAD_CLIENTS {
            let Ok(mut client) = Client::connect(proxy.listen) else { continue };
            let part = &message(b'Q', &vec![b'S'; 131_072])[..SENT_BYTES];
            let _ = client.stream.write_all(part);
            bad.push(client);
        }
        note(format!("{} clients have sent {SENT_BYTES} bytes of a request, and stay", bad.len()));
    }
    sleep(500);
    let id = new_id();
    let mut ids = vec![id.clone()];
    let mut text = vec![write_statement(&id, "sale", "7f3a9c21", &vec![0x9f; 60_000], Some(&id), 5_000)];
    for number in 1..=BEHIND {
        let id = new_id();
        text.push(read_statement(&id, "price", &format!("small{number}"), 1_200));
        ids.push(id);
    }
    note(format!("client: sends {} requests at once on its connection: a long write, then {BEHIND} short reads", ids.len()));
    let bytes: Vec<u8> = text.iter().flat_map(|text| message(b'Q', format!("{text}\0").as_bytes())).collect();
    if let Err(error) = client.stream.write_all(&bytes) {
        return Verdict::NotRun(format!("the requests could not be written whole: {error}"));
    }
    let mut unanswered = 0;
    for (number, id) in ids.iter().enumerate() {
        let reply = client.receive(|_| {});
        let unacknowledged = client.unacknowledged();
        note(format!("client: answer {number}, to {id}: {}; bytes not received there: {unacknowledged}", reply.text()));
        // The end of the stream without a reset: the other side had read all.
        unanswered += u32::from(matches!(&reply, Reply::Broken(why, _) if !why.contains("reset")) && unacknowledged == 0);
    }
    proxy.stats().lines().filter(|line| line.contains("turned.memory")).for_each(|line| note(line));
    drop(bad);
    match unanswered {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("{count} requests that were received whole got no answer")),
    }
}
