//! Two or three processes that send to each other, with all traffic recorded and replayed.

use super::authentication::tests::key;
use super::*;
use crate::membership::failure_detector;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

struct Process {
    me: Identity,
    port: u16,
    transport: Transport,
}

/// Creates a process that is configured with the given names and ports.
fn process(name: &str, port: u16, seed: u64, configured: &[(&str, u16)]) -> Process {
    let configured = configured.iter().map(|(name, port)| ((*name).into(), address(*port))).collect();
    let me = Identity::new(name, seed);
    let transport = Transport::new(
        me.name.clone(),
        Authenticator::new("north", &key(1), None),
        AddressTable::new(configured),
        seed,
    );
    Process { me, port, transport }
}

fn probe(number: u32) -> MemberMessage {
    MemberMessage::FailureDetector(failure_detector::Message::Probe { sequence: number, updates: Vec::new() })
}

impl Process {
    fn send(&mut self, to: &Identity, number: u32) -> Vec<OutboundFrame> {
        let me = self.me.clone();
        self.transport.send(Timestamp(0), &me, to, probe(number)).unwrap()
    }

    fn receive(&mut self, bytes: &[u8], source: u16) -> Result<Received, DropReason> {
        let me = self.me.clone();
        self.transport.receive(Timestamp(0), &me, bytes, Some(address(source)))
    }
}

/// All frames sent, each with the port of its sender.
type Traffic = Vec<(u16, OutboundFrame)>;

/// Delivers frames and the replies to them until there are none. Returns the number of each probe that was
/// received, with the port of its receiver, and all frames sent.
fn deliver(
    processes: &mut [&mut Process],
    from: u16,
    frames: Vec<OutboundFrame>,
) -> (Vec<(u16, u32)>, Traffic) {
    let mut in_flight: Vec<(u16, OutboundFrame)> = frames.into_iter().map(|frame| (from, frame)).collect();
    let (mut probes, mut traffic) = (Vec::new(), Vec::new());
    while let Some((source, frame)) = in_flight.pop() {
        traffic.push((source, frame.clone()));
        let Some(to) = processes.iter_mut().find(|p| address(p.port) == frame.address) else { continue };
        let Ok(received) = to.receive(&frame.bytes, source) else { continue };
        if let Some((
            _,
            MemberMessage::FailureDetector(failure_detector::Message::Probe { sequence: number, .. }),
        )) = received.message
        {
            probes.push((to.port, number));
        }
        in_flight.extend(received.reply.map(|reply| (to.port, reply)));
    }
    (probes, traffic)
}

const CONFIGURED: [(&str, u16); 2] = [("a", 1), ("b", 2)];

#[test]
fn a_first_message_is_accepted_once_its_sender_has_answered_a_challenge() {
    let (mut a, mut b) = (process("a", 1, 10, &CONFIGURED), process("b", 2, 20, &CONFIGURED));
    let first = a.send(&b.me, 7);
    let (probes, traffic) = deliver(&mut [&mut a, &mut b], 1, first);
    assert_eq!((probes, traffic.len()), (vec![(2, 7)], 3), "the message, the challenge, the response");
    let second = a.send(&b.me, 8);
    let (probes, traffic) = deliver(&mut [&mut a, &mut b], 1, second);
    assert_eq!((probes, traffic.len()), (vec![(2, 8)], 1));
}

#[test]
fn a_recorded_message_is_not_accepted_again_even_by_a_restarted_process() {
    let (mut a, mut b) = (process("a", 1, 10, &CONFIGURED), process("b", 2, 20, &CONFIGURED));
    let mut traffic = Vec::new();
    for number in 0..5 {
        let frames = a.send(&b.me, number);
        traffic.extend(deliver(&mut [&mut a, &mut b], 1, frames).1);
    }
    for seed in [20, 21] {
        // The same process, and one that has started since, receive recorded messages from another address.
        let mut restarted = process("b", 2, seed, &CONFIGURED);
        let b = if seed == 20 { &mut b } else { &mut restarted };
        for (_, frame) in traffic.iter().filter(|(_, frame)| frame.address == address(2)) {
            let received = b.receive(&frame.bytes, 66);
            assert!(received.is_err() || received.is_ok_and(|received| received.message.is_none()));
        }
    }
    // The process with a session still sends to the address of its peer.
    let frames = b.send(&a.me, 9);
    assert_eq!(frames[0].address, address(1), "a replay from another address does not change the address");
}

#[test]
fn a_restarted_sender_is_challenged_again_and_its_old_messages_are_dropped() {
    let (mut a, mut b) = (process("a", 1, 10, &CONFIGURED), process("b", 2, 20, &CONFIGURED));
    let late = a.send(&b.me, 1);
    let first = a.send(&b.me, 2);
    deliver(&mut [&mut a, &mut b], 1, first);
    let mut a = process("a", 1, 11, &CONFIGURED);
    let frames = a.send(&b.me, 3);
    assert_eq!(deliver(&mut [&mut a, &mut b], 1, frames).0, [(2, 3)]);
    assert_eq!(b.receive(&late[0].bytes, 1), Err(DropReason::Replayed));
}

#[test]
fn messages_for_others_or_from_the_process_itself_are_dropped() {
    let (mut a, mut b) = (process("a", 1, 10, &CONFIGURED), process("b", 2, 20, &CONFIGURED));
    let frames = a.send(&b.me, 1);
    let mut c = process("c", 3, 30, &CONFIGURED);
    assert_eq!(c.receive(&frames[0].bytes, 1), Err(DropReason::Astray));
    let next_incarnation = a.send(&Identity::new("b", 21), 2);
    assert_eq!(
        b.receive(&next_incarnation[0].bytes, 1),
        Err(DropReason::Astray),
        "addressed to another incarnation"
    );
    let own = b.send(&Identity::new("b", 0), 1);
    assert_eq!(b.receive(&own[0].bytes, 2), Err(DropReason::Astray), "sent by this process itself");
}

#[test]
fn an_unknown_address_is_queried_from_the_member_heard_last() {
    let (mut a, mut b) = (process("a", 1, 10, &CONFIGURED), process("b", 2, 20, &CONFIGURED));
    let mut c = process("c", 3, 30, &[("b", 2)]);
    // c joins through b; a does not know the address of c.
    for (from, to) in [(3, 2), (1, 2), (2, 1)] {
        let to = Identity::new(if to == 1 { "a" } else { "b" }, if to == 1 { 10 } else { 20 });
        let sender = [&mut a, &mut b, &mut c].into_iter().find(|p| p.port == from).unwrap();
        let frames = sender.send(&to, 1);
        deliver(&mut [&mut a, &mut b, &mut c], from, frames);
    }
    let queries = a.send(&c.me, 2);
    assert_eq!(queries[0].address, address(2));
    assert_eq!(
        a.transport.send(Timestamp(1), &a.me.clone(), &c.me, probe(2)),
        Err(DropReason::Unknown),
        "a second query is too early"
    );
    deliver(&mut [&mut a, &mut b, &mut c], 1, queries);
    let frames = a.send(&c.me, 3);
    assert_eq!(deliver(&mut [&mut a, &mut b, &mut c], 1, frames).0, [(3, 3)]);
}

#[test]
fn one_message_causes_one_reply_and_the_state_is_bounded() {
    let mut b = process("b", 2, 20, &CONFIGURED);
    let mut replies = 0;
    for n in 0..10_000u64 {
        let mut stranger = process(&format!("s{n}"), 9, n, &CONFIGURED);
        let frames = stranger.send(&b.me, 1);
        replies += usize::from(b.receive(&frames[0].bytes, 9).is_ok_and(|received| received.reply.is_some()));
        // A repeated message is not answered.
        assert_eq!(b.receive(&frames[0].bytes, 9), Err(DropReason::Unproved));
    }
    assert_eq!(
        (replies, b.transport.session_table.challenge_count(), b.transport.session_table.session_count()),
        (10_000, session_table::MAX_CHALLENGES, 0)
    );
}

#[test]
fn datagrams_and_streams_have_maximum_lengths() {
    let mut b = process("b", 2, 20, &CONFIGURED);
    assert_eq!(b.receive(&vec![0; MAX_DATAGRAM_BYTES + 1], 1), Err(DropReason::Oversized));
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
