//! A write that is under way while its class vanishes and appears again with another effect.

use crate::stand_ins::*;
use crate::{grade, settings};
use std::path::Path;
use std::sync::{Arc, Mutex};

/// How long after the write came whole its connection is reset.
const RESET_AFTER: u64 = 3_400;

pub fn play(folder: &Path) -> Verdict {
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let state = Arc::clone(&runs);
    let handler = move |host: &Host, connection: &mut Connection, query: &Query| {
        let id = query.field("id").to_owned();
        let is_first = {
            let mut runs = state.lock().unwrap();
            runs.push(id.clone());
            runs.iter().filter(|run| **run == id).count() == 1
        };
        note(format!("{}: RUN {id}, key '{}'", host.name, query.field("k")));
        if is_first && query.field("d").parse::<u64>().is_ok_and(|left| left > 9_000) {
            sleep(RESET_AFTER);
            note(format!("{}: the connection is reset under {id}", host.name));
            connection.reset();
            return Ok(false);
        }
        sleep(5);
        connection.send(&host.answer(query, id.as_bytes()))?;
        Ok(true)
    };
    let handler = Arc::new(handler);
    let hosts: Vec<_> = (1..=3)
        .map(|number| {
            let options = HostOptions { is_primary: number == 1, ..HostOptions::default() };
            Host::start(&format!("s-{number}"), options, handler.clone())
        })
        .collect();
    let discovery = Discovery::start(hosts.iter().map(|host| host.entry(2)).collect());
    let read = grade("price", 0.3, 3.0, r#""repeat":"pure""#);
    let once = grade("order", 0.9, 10.0, r#""repeat":"side_effect""#);
    let keyed = grade("order", 0.9, 10.0, r#""repeat":"token","group":"all","window":6.0"#);
    let with = |grades: &[String]| settings(grades, r#"["any","write"]"#, "[0.0,0.0]", "wait");
    let before = with(&[read.clone(), once]);
    let without = settings(&[read.clone()], r#"["any"]"#, "[0.0]", "wait");
    let after = with(&[read, keyed]);
    let mut start = Start {
        folder,
        label: "1",
        listen: free_address(),
        discovery: discovery.address,
        limits: r#"{"cores":1.0,"memory_mb":96,"sockets":512}"#,
        settings: &before,
    };
    let proxy = start.start();
    proxy.await_ready();
    let mut client = Client::connect(proxy.listen).unwrap();
    let reply = client.ask(&write_statement(&new_id(), "order", "first", b"one", None, 3_000));
    note(format!("client: a write before: {}", reply.text()));
    let id = new_id();
    client.send(&write_statement(&id, "order", "second", b"two", None, 10_000)).unwrap();
    note(format!("client: sends the write {id}, class order, no key"));
    sleep(300);
    if trouble() {
        for (settings, what) in [(&without, "without the class"), (&after, "the class again, with keys")] {
            note(format!("new settings: {what}"));
            start.settings = settings;
            start.rewrite(&proxy);
            proxy.signal(SIGHUP);
            sleep(1_300);
        }
    }
    let reply = client.receive(|_| ());
    note(format!("client: {id}: {}", reply.text()));
    note(proxy.stats().lines().filter(|line| line.contains("config")).collect::<Vec<_>>().join(" "));
    sleep(200);
    let count = runs.lock().unwrap().iter().filter(|run| **run == id).count();
    match count {
        0 => Verdict::NotRun("the write never came".to_owned()),
        1 => Verdict::Held,
        count => Verdict::Broken(format!("the write was run {count} times")),
    }
}
