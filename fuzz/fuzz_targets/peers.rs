//! Whatever comes as a datagram or on a stream is taken or dropped with a reason, costs one answer at the most, and no
//! stranger's bytes become a message. What is decoded behind a good mark is fed as well, as a member that lies could send it.
#![no_main]

use libfuzzer_sys::fuzz_target;
use std::net::SocketAddr;
use wheelpier_decisions::membership::failure_detector::Tempo;
use wheelpier_decisions::membership::consensus::Durable;
use wheelpier_decisions::membership::member::{Member, Message, Rules};
use wheelpier_decisions::membership::transport::{Book, Key, Post, Seal};
use wheelpier_decisions::membership::{Identity, Terms};
use wheelpier_decisions::Timestamp;

fuzz_target!(|bytes: &[u8]| {
    let me = Identity::new("a", 1);
    let seal = Seal::new("fleet", &Key::read(&"5e".repeat(32)).expect("64 digits"), None);
    let mut post = Post::new(me.name.clone(), seal, Book::default(), 7);
    let source: SocketAddr = ([127, 0, 0, 1], 9).into();
    for source in [Some(source), None] {
        if let Ok(opened) = post.open(Timestamp(0), &me, bytes, source) {
            assert!(opened.message.is_none());
        }
    }
    let rules = Rules {
        seeds: vec!["a".into(), "b".into(), "c".into()],
        terms: Terms::default(),
        tempo: Tempo::default(),
    };
    let mut member = Member::new(me, rules, Durable::default(), 7, Timestamp(0));
    let (mut rest, mut now, mut out) = (bytes, 0, Vec::new());
    while let Ok((message, left)) = postcard::take_from_bytes::<Message>(rest) {
        if left.len() == rest.len() {
            break;
        }
        now += 100_000;
        member.heard(Timestamp(now), &Identity::new("b", 1 + left.len() as u64 % 3), message, &mut out);
        member.timer(Timestamp(now), &mut out);
        out.clear();
        rest = left;
    }
});
