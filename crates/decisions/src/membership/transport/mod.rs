//! Transport between members, without sockets: sessions with other processes, which messages are accepted,
//! and to which addresses messages are sent. Received bytes and the current time go in, messages and encoded
//! frames come out (`docs/protocol/peers.md`).

mod address_table;
mod authentication;
mod drop_reason;
mod frame;
mod replay_window;
mod session_table;
#[cfg(test)]
mod tests;

pub use address_table::AddressTable;
pub use authentication::{
    Authenticator, Key, KeyError, MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES, PROTOCOL_VERSION,
};
pub use drop_reason::DropReason;
pub use frame::{Frame, Message};
pub use replay_window::{Arrival, ReplayWindow};

use super::member::MemberMessage;
use super::{Identity, Name};
use crate::interface::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use session_table::{ProcessId, SessionTable};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Minimum time between two queries for the address of a name.
const ADDRESS_QUERY_INTERVAL_US: i64 = 200_000;
/// Number of members that are asked for the address of another one.
const MEMBERS_QUERIED: usize = 2;
/// Maximum number of names whose address was queried recently.
const MAX_ADDRESS_QUERIES: usize = 64;

/// An encoded frame to be sent as a datagram or, if it is too long, on a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundFrame {
    /// The receiver's address.
    pub address: SocketAddr,
    /// The encoded frame.
    pub bytes: Vec<u8>,
}

impl OutboundFrame {
    /// Returns whether the frame is too long for a datagram and has to be sent on a stream.
    pub fn needs_stream(&self) -> bool {
        self.bytes.len() > MAX_DATAGRAM_BYTES
    }
}

/// The result of received bytes that were accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// A message for the member, with its sender.
    pub message: Option<(Identity, MemberMessage)>,
    /// At most one reply, at most a few bytes longer than the frame that it answers.
    pub reply: Option<OutboundFrame>,
}

/// The origin of a received frame.
struct Origin {
    process: ProcessId,
    member: Identity,
    /// The source address of a datagram; `None` on a stream.
    source: Option<SocketAddr>,
}

/// The transport of one process.
pub struct Transport {
    name: Name,
    /// Drawn at the start of the process; distinguishes it from other processes of its name.
    incarnation_nonce: u64,
    /// The sequence number of the last frame sent.
    sequence: u64,
    authenticator: Authenticator,
    addresses: AddressTable,
    session_table: SessionTable,
    /// Names whose address was queried, each with the time of the last query.
    address_queries: BTreeMap<Name, Timestamp>,
    random: ChaCha8Rng,
}

impl Transport {
    /// Creates the transport of a process that starts. `seed` must be unpredictable and different at each
    /// start.
    pub fn new(name: Name, authenticator: Authenticator, addresses: AddressTable, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        Self {
            name,
            incarnation_nonce: random.random(),
            sequence: 0,
            authenticator,
            addresses,
            session_table: SessionTable::default(),
            address_queries: BTreeMap::new(),
            random,
        }
    }

    /// Returns the table of the members' addresses.
    pub fn addresses(&self) -> &AddressTable {
        &self.addresses
    }

    /// Encodes a message of this process, whose identity is `from`, to `to`. If the address of the receiver
    /// is not known, returns address queries to other members instead, and the message is lost.
    ///
    /// # Errors
    /// [`DropReason::Unknown`] if the address is not known and nobody can be asked now;
    /// [`DropReason::Oversized`] if the message is too long.
    pub fn send(
        &mut self,
        now: Timestamp,
        from: &Identity,
        to: &Identity,
        message: MemberMessage,
    ) -> Result<Vec<OutboundFrame>, DropReason> {
        match self.addresses.address(to) {
            Some(address) => Ok(vec![self.encode(from, to, address, Message::Member(message))?]),
            None => self.query_address(now, from, &to.name),
        }
    }

    fn encode(
        &mut self,
        from: &Identity,
        to: &Identity,
        address: SocketAddr,
        message: Message,
    ) -> Result<OutboundFrame, DropReason> {
        self.sequence += 1;
        let frame = Frame {
            from: from.clone(),
            to: to.clone(),
            incarnation_nonce: self.incarnation_nonce,
            sequence: self.sequence,
            message,
        };
        let bytes = self.authenticator.encode(&frame).filter(|bytes| bytes.len() <= MAX_STREAM_BYTES);
        Ok(OutboundFrame { address, bytes: bytes.ok_or(DropReason::Oversized)? })
    }

    /// Asks the members heard most recently for the address of a name.
    fn query_address(
        &mut self,
        now: Timestamp,
        from: &Identity,
        name: &Name,
    ) -> Result<Vec<OutboundFrame>, DropReason> {
        self.address_queries.retain(|_, at| now.0 - at.0 < ADDRESS_QUERY_INTERVAL_US);
        if self.address_queries.contains_key(name) || self.address_queries.len() >= MAX_ADDRESS_QUERIES {
            return Err(DropReason::Unknown);
        }
        let others = self.addresses.by_recency().into_iter().filter(|member| member.name != *name);
        let queried: Vec<Identity> = others.take(MEMBERS_QUERIED).cloned().collect();
        if queried.is_empty() {
            return Err(DropReason::Unknown);
        }
        self.address_queries.insert(Name::clone(name), now);
        let mut frames = Vec::new();
        for member in queried {
            let Some(address) = self.addresses.address(&member) else { continue };
            let query = Message::AddressQuery(Name::clone(name));
            frames.push(self.encode(from, &any_incarnation(&member), address, query)?);
        }
        Ok(frames)
    }

    /// Handles the bytes of a datagram from `source`, or of a stream if there is no source.
    ///
    /// # Errors
    /// The reason if the bytes are dropped.
    pub fn receive(
        &mut self,
        now: Timestamp,
        me: &Identity,
        bytes: &[u8],
        source: Option<SocketAddr>,
    ) -> Result<Received, DropReason> {
        let max_bytes = if source.is_some() { MAX_DATAGRAM_BYTES } else { MAX_STREAM_BYTES };
        if bytes.len() > max_bytes {
            return Err(DropReason::Oversized);
        }
        let frame = self.authenticator.decode(bytes)?;
        if !self.is_addressed_here(me, &frame) {
            return Err(DropReason::Astray);
        }
        let Frame { from, incarnation_nonce, sequence, message, .. } = frame;
        let process = ProcessId { name: from.name.clone(), incarnation_nonce };
        let origin = Origin { process, member: from, source };
        match message {
            Message::Challenge { nonce } => self.answer_challenge(me, &origin, nonce),
            Message::ChallengeResponse { nonce } => self.complete_challenge(now, origin, nonce, sequence),
            message => self.receive_in_session(now, me, origin, sequence, message),
        }
    }

    /// Returns whether a frame is for this process: it is addressed to this name and incarnation, or to any
    /// incarnation of the name, and was not sent by this process.
    fn is_addressed_here(&self, me: &Identity, frame: &Frame) -> bool {
        let is_other_incarnation = frame.to.incarnation != 0 && frame.to.incarnation != me.incarnation;
        let is_own = frame.from.name == self.name && frame.incarnation_nonce == self.incarnation_nonce;
        frame.to.name == self.name && !is_other_incarnation && !is_own
    }

    /// Returns the nonce to any process that sends a challenge, with one reply per challenge.
    fn answer_challenge(
        &mut self,
        me: &Identity,
        origin: &Origin,
        nonce: u64,
    ) -> Result<Received, DropReason> {
        let address = origin.source.or_else(|| self.addresses.address(&origin.member));
        let receiver = any_incarnation(&origin.member);
        let response = Message::ChallengeResponse { nonce };
        let reply = address.map(|address| self.encode(me, &receiver, address, response)).transpose()?;
        Ok(Received { message: None, reply })
    }

    /// Opens a session with a process that has answered its challenge.
    fn complete_challenge(
        &mut self,
        now: Timestamp,
        origin: Origin,
        nonce: u64,
        sequence: u64,
    ) -> Result<Received, DropReason> {
        let pending = self.session_table.complete_challenge(now, origin.process, nonce, sequence)?;
        if let Some(address) = origin.source {
            self.addresses.record_seen(&origin.member, address, now);
        }
        Ok(Received { message: pending, reply: None })
    }

    /// Handles a message from a process with a session; challenges any other process.
    fn receive_in_session(
        &mut self,
        now: Timestamp,
        me: &Identity,
        origin: Origin,
        sequence: u64,
        message: Message,
    ) -> Result<Received, DropReason> {
        let Some(arrival) = self.session_table.accept(now, &origin.process, sequence) else {
            return self.challenge(now, me, origin, message);
        };
        if let (Arrival::Latest, Some(address)) = (arrival?, origin.source) {
            self.addresses.record_seen(&origin.member, address, now);
        }
        self.handle_message(me, origin.member, message)
    }

    fn handle_message(
        &mut self,
        me: &Identity,
        from: Identity,
        message: Message,
    ) -> Result<Received, DropReason> {
        let mut received = Received { message: None, reply: None };
        match message {
            Message::Member(message) => received.message = Some((from, message)),
            Message::AddressQuery(name) => {
                let known = self.addresses.shared_address(&name).zip(self.addresses.address(&from));
                if let Some((queried_address, reply_to)) = known {
                    let answer = Message::AddressAnswer(name, queried_address);
                    received.reply = Some(self.encode(me, &any_incarnation(&from), reply_to, answer)?);
                }
            }
            Message::AddressAnswer(name, address) => self.addresses.record_reported(&name, address),
            Message::Challenge { .. } | Message::ChallengeResponse { .. } => {}
        }
        Ok(received)
    }

    /// Challenges a process without a session, and holds its message until the answer.
    fn challenge(
        &mut self,
        now: Timestamp,
        me: &Identity,
        origin: Origin,
        message: Message,
    ) -> Result<Received, DropReason> {
        if self.session_table.is_challenged(now, &origin.process) {
            return Err(DropReason::Unproved);
        }
        let address = origin.source.or_else(|| self.addresses.address(&origin.member));
        let address = address.ok_or(DropReason::Unproved)?;
        let nonce = self.random.random();
        let receiver = any_incarnation(&origin.member);
        let pending = match message {
            Message::Member(message) => Some((origin.member, message)),
            _ => None,
        };
        self.session_table.open_challenge(now, origin.process, nonce, pending);
        let reply = self.encode(me, &receiver, address, Message::Challenge { nonce })?;
        Ok(Received { message: None, reply: Some(reply) })
    }
}

/// Returns the identity that stands for any incarnation of the member's name. Challenges and address queries
/// are exchanged between processes, not members.
fn any_incarnation(member: &Identity) -> Identity {
    Identity { incarnation: 0, ..member.clone() }
}
