//! Whatever comes as a datagram or on a stream is taken or dropped with a reason, costs one answer at the most, and no
//! stranger's bytes become a message. What is decoded behind a good mark is fed as well, as a member that lies could send it.
#![no_main]

use libfuzzer_sys::fuzz_target;
use std::net::SocketAddr;
use wheelpier_decisions::membership::failure_detector::FailureDetectorConfig;
use wheelpier_decisions::membership::consensus::DurableState;
use wheelpier_decisions::membership::member::{Member, MemberMessage, FleetConfig};
use wheelpier_decisions::membership::transport::{AddressTable, Key, Transport, Authenticator};
use wheelpier_decisions::membership::{Identity, LeaseTerms};
use wheelpier_decisions::Timestamp;

fuzz_target!(|bytes: &[u8]| {
    let me = Identity::new("a", 1);
    let authenticator = Authenticator::new("fleet", &Key::from_hex(&"5e".repeat(32)).expect("64 digits"), None);
    let mut transport = Transport::new(me.name.clone(), authenticator, AddressTable::default(), 7);
    let source: SocketAddr = ([127, 0, 0, 1], 9).into();
    for source in [Some(source), None] {
        if let Ok(received) = transport.receive(Timestamp(0), &me, bytes, source) {
            assert!(received.message.is_none());
        }
    }
    let config = FleetConfig {
        seeds: vec!["a".into(), "b".into(), "c".into()],
        terms: LeaseTerms::default(),
        failure_detector: FailureDetectorConfig::default(),
    };
    let mut member = Member::new(me, config, DurableState::default(), 7, Timestamp(0));
    let (mut rest, mut now, mut out) = (bytes, 0, Vec::new());
    while let Ok((message, left)) = postcard::take_from_bytes::<MemberMessage>(rest) {
        if left.len() == rest.len() {
            break;
        }
        now += 100_000;
        member.handle_message(Timestamp(now), &Identity::new("b", 1 + left.len() as u64 % 3), message, &mut out);
        member.handle_timeout(Timestamp(now), &mut out);
        out.clear();
        rest = left;
    }
});
