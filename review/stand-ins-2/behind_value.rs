//! Requests behind a long value on one connection, whose host resets its connection in the middle of the value.

use crate::stand_ins::*;
use crate::{grade, settings};
use std::path::Path;
use std::sync::{Arc, Mutex};

const SIZE: usize = 1 << 20;
const BEHIND: usize = 4;

pub fn play(folder: &Path) -> Verdict {
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let state = Arc::clone(&runs);
    let handler = move |host: &Host, connection: &mut Connection, query: &Query| {
        sleep(5);
        let id = query.field("id");
        let mut value = id.as_bytes().to_vec();
        if query.name == "large" {
            value.resize(SIZE, b'x');
        }
        let answer = host.answer(query, &value);
        if query.name == "large" && trouble() {
            connection.send(&answer[..SIZE / 2])?;
            // The requests behind have long been answered to the proxy by then.
            sleep(400);
            note(format!("{}: resets the connection in the middle of the value for {id}", host.name));
            connection.reset();
            return Ok(false);
        }
        connection.send(&answer)?;
        note(format!("{}: ran and answered {} {id}", host.name, if query.is_write { "the write" } else { "the read" }));
        state.lock().unwrap().push(id.to_owned());
        Ok(true)
    };
    let host = Host::start("s-1", HostOptions::default(), Arc::new(handler));
    let discovery = Discovery::start(vec![host.entry(2)]);
    let write = r#""repeat":"side_effect""#;
    let grades = [grade("price", 0.3, 1.2, r#""repeat":"pure""#), grade("sale", 0.5, 5.0, write)];
    let settings = settings(&grades, r#"["any","write"]"#, "[0.0,0.0]", "wait");
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
    // Lets the proxy meet the primary.
    let mut first = Client::connect(proxy.listen).unwrap();
    let before = first.ask(&write_statement(&new_id(), "sale", "before", b"before", None, 5_000));
    if !matches!(before, Reply::Served(_)) {
        return Verdict::NotRun(format!("the write before was not served: {}", before.text()));
    }
    let mut client = Client::connect(proxy.listen).unwrap();
    let mut ids = vec![new_id()];
    let mut text = vec![read_statement(&ids[0], "price", "large", 1_200)];
    for number in 1..=BEHIND {
        let id = new_id();
        text.push(match number {
            BEHIND => write_statement(&id, "sale", "7f3a9c21", b"one sale", None, 5_000),
            _ => read_statement(&id, "price", &format!("small{number}"), 1_200),
        });
        ids.push(id);
    }
    note(format!("client: sends {} requests at once on one connection: a long value, then {BEHIND} more", ids.len()));
    let bytes: Vec<u8> = text.iter().flat_map(|text| message(b'Q', format!("{text}\0").as_bytes())).collect();
    std::io::Write::write_all(&mut client.stream, &bytes).unwrap();
    let mut unanswered = Vec::new();
    for (number, id) in ids.iter().enumerate() {
        let reply = client.receive(|_| {});
        note(format!("client: answer {number}, to {id}: {}", reply.text()));
        // The value that was begun has failed: the client can tell. It is not counted.
        if number > 0 && matches!(reply, Reply::Broken(..)) {
            unanswered.push(id.clone());
        }
    }
    sleep(200);
    let runs = runs.lock().unwrap();
    let run = unanswered.iter().filter(|id| runs.contains(id)).count();
    if unanswered.is_empty() {
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "{} requests that were read got no answer: the proxy ended their connection; {run} of them had run",
        unanswered.len()
    ))
}
