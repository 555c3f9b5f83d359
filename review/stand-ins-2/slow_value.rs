//! A value a little beyond 64 KiB that its hosts write slowly, in pieces.

use crate::stand_ins::*;
use crate::{grade, settings};
use std::path::Path;
use std::sync::{Arc, Mutex};

/// Beyond 64 KiB, far below 4 MiB.
const VALUE_BYTES: usize = 70_000;
const PIECE_BYTES: usize = 4_096;
/// Pause between two pieces, in milliseconds: the whole answer takes 0.7 s.
const PAUSE: u64 = 40;
const DEADLINE_MS: u64 = 3_000;

pub fn play(folder: &Path) -> Verdict {
    let cut_off: Arc<Mutex<Vec<String>>> = Arc::default();
    let state = Arc::clone(&cut_off);
    let handler = move |host: &Host, connection: &mut Connection, query: &Query| {
        sleep(5);
        let id = query.field("id");
        let mut value = id.as_bytes().to_vec();
        value.resize(VALUE_BYTES, b'x');
        let answer = host.answer(query, &value);
        for (index, piece) in answer.chunks(PIECE_BYTES).enumerate() {
            if trouble() && index > 0 {
                sleep(PAUSE);
            }
            if let Err(error) = connection.send(piece) {
                let written = index * PIECE_BYTES;
                note(format!("{}: the answer to {id} was cut off, {written} of {} bytes: {error}", host.name, answer.len()));
                state.lock().unwrap().push(id.to_owned());
                return Err(error);
            }
        }
        note(format!("{}: the answer to {id} is written whole, {} bytes", host.name, answer.len()));
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
    let settings = settings(&[grade("price", 0.3, 3.0, r#""repeat":"pure""#)], r#"["any"]"#, "[0.0]", "wait");
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
    let mut lost = 0;
    for _ in 0..5 {
        let id = new_id();
        let reply = client.ask(&read_statement(&id, "price", "large", DEADLINE_MS));
        note(format!("client: {id}: {}", reply.text()));
        // A host that is cut off notices it with its next pieces.
        sleep(4 * PAUSE);
        let is_served =
            matches!(&reply, Reply::Served(value) if value.len() == VALUE_BYTES && value.starts_with(id.as_bytes()));
        lost += u32::from(!is_served && cut_off.lock().unwrap().contains(&id));
    }
    match lost {
        0 => Verdict::Held,
        lost => Verdict::Broken(format!("{lost} of 5 requests: what hosts still gave was cut off, and no value came")),
    }
}
