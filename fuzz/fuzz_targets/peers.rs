//! Any bytes received as a datagram or on a stream are accepted or dropped with a reason, cause at most one
//! answer, and are never delivered as a message without a valid authentication tag. Input that decodes as
//! messages is also handled by a member directly, as a faulty or malicious member could send them.
#![no_main]

use libfuzzer_sys::fuzz_target;
use std::net::SocketAddr;
use wheelpier_decisions::membership::transport::{AddressTable, Authenticator, Key};
use wheelpier_decisions::membership::{
    DurableState, FailureDetectorConfig, FleetConfig, Identity, LeaseTerms, Member, MemberMessage, Transport,
};
use wheelpier_decisions::Timestamp;

fuzz_target!(|bytes: &[u8]| {
    let identity = Identity::new("a", 1);
    let key = Key::from_hex(&"5e".repeat(32)).expect("64 digits");
    let authenticator = Authenticator::new("fleet", &key, None);
    let mut transport = Transport::new(identity.name.clone(), authenticator, AddressTable::default(), 7);
    let source: SocketAddr = ([127, 0, 0, 1], 9).into();
    for source in [Some(source), None] {
        if let Ok(received) = transport.receive(Timestamp(0), &identity, bytes, source) {
            assert!(received.message.is_none());
        }
    }
    let config = FleetConfig {
        founders: vec!["a".into(), "b".into(), "c".into()],
        terms: LeaseTerms::default(),
        failure_detector: FailureDetectorConfig::default(),
    };
    let mut member = Member::new(identity, config, DurableState::default(), 7, Timestamp(0));
    let (mut remaining, mut now, mut outputs) = (bytes, 0, Vec::new());
    while let Ok((message, rest)) = postcard::take_from_bytes::<MemberMessage>(remaining) {
        // A message that consumes no bytes would be decoded without end.
        if rest.len() == remaining.len() {
            break;
        }
        now += 100_000;
        let sender = Identity::new("b", 1 + rest.len() as u64 % 3);
        member.handle_message(Timestamp(now), &sender, message, &mut outputs);
        member.handle_timeout(Timestamp(now), &mut outputs);
        outputs.clear();
        remaining = rest;
    }
});
