//! Two and three processes that write to each other, and one that has recorded all of it.

use super::authentication::tests::key;
use super::*;
use crate::membership::failure_detector;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

struct Process {
    me: Identity,
    port: u16,
    transport: Transport,
}

/// Everybody knows where everybody is, but for those who are not in the file.
fn process(name: &str, port: u16, seed: u64, file: &[(&str, u16)]) -> Process {
    let fixed = file.iter().map(|(name, port)| ((*name).into(), at(*port))).collect();
    let me = Identity::new(name, seed);
    let transport = Transport::new(
        me.name.clone(),
        Authenticator::new("north", &key(1), None),
        AddressTable::new(fixed),
        seed,
    );
    Process { me, port, transport }
}

fn probe(number: u32) -> MemberMessage {
    MemberMessage::FailureDetector(failure_detector::Message::Probe { sequence: number, updates: Vec::new() })
}

impl Process {
    fn write(&mut self, to: &Identity, number: u32) -> Vec<OutboundDatagram> {
        let me = self.me.clone();
        self.transport.send(Timestamp(0), &me, to, probe(number)).unwrap()
    }

    fn open(&mut self, bytes: &[u8], source: u16) -> Result<Received, DropReason> {
        let me = self.me.clone();
        self.transport.receive(Timestamp(0), &me, bytes, Some(at(source)))
    }
}

/// All that went over the wire, each with where it came from.
type Wire = Vec<(u16, OutboundDatagram)>;

/// Carries parcels to and fro until there is none; what was read, by whom, and all that went over the wire.
fn carry(all: &mut [&mut Process], from: u16, datagrams: Vec<OutboundDatagram>) -> (Vec<(u16, u32)>, Wire) {
    let mut under_way: Vec<(u16, OutboundDatagram)> =
        datagrams.into_iter().map(|datagram| (from, datagram)).collect();
    let (mut read, mut wire) = (Vec::new(), Vec::new());
    while let Some((source, datagram)) = under_way.pop() {
        wire.push((source, datagram.clone()));
        let Some(to) = all.iter_mut().find(|p| at(p.port) == datagram.address) else { continue };
        let Ok(received) = to.open(&datagram.bytes, source) else { continue };
        if let Some((
            _,
            MemberMessage::FailureDetector(failure_detector::Message::Probe { sequence: number, .. }),
        )) = received.message
        {
            read.push((to.port, number));
        }
        under_way.extend(received.reply.map(|reply| (to.port, reply)));
    }
    (read, wire)
}

const FILE: [(&str, u16); 2] = [("a", 1), ("b", 2)];

#[test]
fn a_first_message_is_read_once_its_sender_has_shown_that_it_lives() {
    let (mut a, mut b) = (process("a", 1, 10, &FILE), process("b", 2, 20, &FILE));
    let first = a.write(&b.me, 7);
    let (read, wire) = carry(&mut [&mut a, &mut b], 1, first);
    assert_eq!((read, wire.len()), (vec![(2, 7)], 3), "the message, who, here");
    let second = a.write(&b.me, 8);
    let (read, wire) = carry(&mut [&mut a, &mut b], 1, second);
    assert_eq!((read, wire.len()), (vec![(2, 8)], 1));
}

#[test]
fn nothing_that_was_recorded_is_read_again_also_by_a_process_that_remembers_nobody() {
    let (mut a, mut b) = (process("a", 1, 10, &FILE), process("b", 2, 20, &FILE));
    let mut wire = Vec::new();
    for number in 0..5 {
        let datagrams = a.write(&b.me, number);
        wire.extend(carry(&mut [&mut a, &mut b], 1, datagrams).1);
    }
    for seed in [20, 21] {
        // The same process, and one that has started since: yesterday's messages, from anywhere.
        let mut fresh = process("b", 2, seed, &FILE);
        let b = if seed == 20 { &mut b } else { &mut fresh };
        for (_, datagram) in wire.iter().filter(|(_, datagram)| datagram.address == at(2)) {
            let received = b.open(&datagram.bytes, 66);
            assert!(received.is_err() || received.is_ok_and(|received| received.message.is_none()));
        }
    }
    // And the one that knows its peer still speaks with it where it is.
    let datagrams = b.write(&a.me, 9);
    assert_eq!(datagrams[0].address, at(1), "a recording played from elsewhere moves nobody");
}

#[test]
fn a_restarted_sender_is_asked_anew_and_its_old_messages_are_dropped() {
    let (mut a, mut b) = (process("a", 1, 10, &FILE), process("b", 2, 20, &FILE));
    let late = a.write(&b.me, 1);
    let first = a.write(&b.me, 2);
    carry(&mut [&mut a, &mut b], 1, first);
    let mut a = process("a", 1, 11, &FILE);
    let datagrams = a.write(&b.me, 3);
    assert_eq!(carry(&mut [&mut a, &mut b], 1, datagrams).0, [(2, 3)]);
    assert_eq!(b.open(&late[0].bytes, 1), Err(DropReason::Replayed));
}

#[test]
fn what_is_for_somebody_else_or_of_this_very_process_is_dropped() {
    let (mut a, mut b) = (process("a", 1, 10, &FILE), process("b", 2, 20, &FILE));
    let datagrams = a.write(&b.me, 1);
    let mut c = process("c", 3, 30, &FILE);
    assert_eq!(c.open(&datagrams[0].bytes, 1), Err(DropReason::Astray));
    let next_incarnation = a.write(&Identity::new("b", 21), 2);
    assert_eq!(
        b.open(&next_incarnation[0].bytes, 1),
        Err(DropReason::Astray),
        "nobody answers for another incarnation"
    );
    let own = b.write(&Identity::new("b", 0), 1);
    assert_eq!(b.open(&own[0].bytes, 2), Err(DropReason::Astray), "reflected");
}

#[test]
fn another_ones_place_is_asked_of_whoever_was_heard_last() {
    let (mut a, mut b) = (process("a", 1, 10, &FILE), process("b", 2, 20, &FILE));
    let mut c = process("c", 3, 30, &[("b", 2)]);
    // c joins through b; a has never heard of it.
    for (from, to) in [(3, 2), (1, 2), (2, 1)] {
        let to = Identity::new(if to == 1 { "a" } else { "b" }, if to == 1 { 10 } else { 20 });
        let writer = [&mut a, &mut b, &mut c].into_iter().find(|p| p.port == from).unwrap();
        let datagrams = writer.write(&to, 1);
        carry(&mut [&mut a, &mut b, &mut c], from, datagrams);
    }
    let asks = a.write(&c.me, 2);
    assert_eq!(asks[0].address, at(2));
    assert_eq!(
        a.transport.send(Timestamp(1), &a.me.clone(), &c.me, probe(2)),
        Err(DropReason::Unknown),
        "not too often"
    );
    carry(&mut [&mut a, &mut b, &mut c], 1, asks);
    let datagrams = a.write(&c.me, 3);
    assert_eq!(carry(&mut [&mut a, &mut b, &mut c], 1, datagrams).0, [(3, 3)]);
}

#[test]
fn one_message_costs_one_answer_and_no_more_is_remembered_than_may_be() {
    let mut b = process("b", 2, 20, &FILE);
    let mut answers = 0;
    for n in 0..10_000u64 {
        let mut stranger = process(&format!("s{n}"), 9, n, &FILE);
        let datagrams = stranger.write(&b.me, 1);
        answers += usize::from(b.open(&datagrams[0].bytes, 9).is_ok_and(|received| received.reply.is_some()));
        // The same once more is not answered.
        assert_eq!(b.open(&datagrams[0].bytes, 9), Err(DropReason::Unproved));
    }
    assert_eq!(
        (answers, b.transport.session_table.challenge_count(), b.transport.session_table.session_count()),
        (10_000, session_table::MAX_CHALLENGES, 0)
    );
}

#[test]
fn datagrams_and_streams_have_their_bounds() {
    let mut b = process("b", 2, 20, &FILE);
    assert_eq!(b.open(&vec![0; MAX_DATAGRAM_BYTES + 1], 1), Err(DropReason::Oversized));
    let me = b.me.clone();
    assert_eq!(
        b.transport.receive(Timestamp(0), &me, &vec![0; MAX_STREAM_BYTES + 1], None),
        Err(DropReason::Oversized)
    );
    assert_eq!(
        b.transport.receive(Timestamp(0), &me, &vec![0; MAX_STREAM_BYTES], None),
        Err(DropReason::Garbage)
    );
}
