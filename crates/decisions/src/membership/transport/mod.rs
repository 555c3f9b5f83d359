//! What goes between members, as letters in sealed envelopes: who is spoken with, what is taken and what is dropped, and
//! where letters go. No sockets: bytes and a moment go in, letters and parcels come out.
//!
//! A process is spoken with once it has shown that it incarnations now: whoever comes with a boot number that is not known is asked
//! for a number that nobody could have foreseen. So nothing that was recorded is taken, also by a process that has just
//! started and remembers nobody.

mod address_table;
mod authentication;
mod replay_window;

pub use address_table::AddressTable;
pub use authentication::{
    Authenticator, Key, KeyError, MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES, PROTOCOL_VERSION,
};
pub use replay_window::{Arrival, ReplayWindow};

use super::member::MemberMessage;
use super::{Identity, Name};
use crate::interface::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// What stands in an envelope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Between members.
    Member(MemberMessage),
    /// Who speaks there: the number is wanted back.
    Challenge {
        /// Foreseen by nobody.
        nonce: u64,
    },
    /// The number, back.
    ChallengeResponse {
        /// As it was asked.
        nonce: u64,
    },
    /// Where is a member of that name?
    AddressQuery(Name),
    /// There.
    AddressAnswer(Name, SocketAddr),
}

/// A letter, who sends it and who is to have it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Who sends it.
    pub from: Identity,
    /// Who is to have it: that incarnation alone, or any of the name where its number is 0.
    pub to: Identity,
    /// The sender's process: another one after each start.
    pub incarnation_nonce: u64,
    /// Its number among all that the process has sent.
    pub sequence: u64,
    /// What it says.
    pub message: Message,
}

/// Why a message was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DropReason {
    /// Not a message of this protocol.
    Garbage,
    /// Of another version of it.
    Version,
    /// Of another fleet.
    Fleet,
    /// Not sealed with a key of the fleet.
    Forged,
    /// For somebody else.
    Astray,
    /// It has come before, or was overtaken by too many.
    Replayed,
    /// Its sender has yet to show that it incarnations now.
    Unproved,
    /// Longer than any may be.
    Oversized,
    /// Nobody knows where its receiver is.
    Unknown,
}

/// All reasons, in their order.
pub const ALL_DROP_REASONS: [DropReason; 9] = [
    DropReason::Garbage,
    DropReason::Version,
    DropReason::Fleet,
    DropReason::Forged,
    DropReason::Astray,
    DropReason::Replayed,
    DropReason::Unproved,
    DropReason::Oversized,
    DropReason::Unknown,
];

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Garbage => "garbage",
            Self::Version => "version",
            Self::Fleet => "fleet",
            Self::Forged => "forged",
            Self::Astray => "astray",
            Self::Replayed => "replayed",
            Self::Unproved => "unproved",
            Self::Oversized => "oversized",
            Self::Unknown => "unknown",
        })
    }
}

/// Bytes to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundDatagram {
    /// To where.
    pub address: SocketAddr,
    /// Sealed.
    pub bytes: Vec<u8>,
}

impl OutboundDatagram {
    /// Whether it is too long for a datagram.
    pub fn is_long(&self) -> bool {
        self.bytes.len() > MAX_DATAGRAM_BYTES
    }
}

/// What came of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// For the member, with who sends it.
    pub message: Option<(Identity, MemberMessage)>,
    /// At most one answer, never longer than what it answers by more than a few bytes.
    pub reply: Option<OutboundDatagram>,
}

/// Senders who were asked and have not answered; whoever is asked longest goes for another one.
const MAX_CHALLENGED: usize = 64;
/// Processes that are spoken with.
const MAX_SESSIONS: usize = 4_096;
/// A question is asked anew after so long, in microseconds.
const RETRY_INTERVAL_US: i64 = 200_000;
/// Members that are asked where another one is.
const MEMBERS_QUERIED: usize = 2;
/// Names that were asked for lately.
const MAX_ADDRESS_QUERIES: usize = 64;

struct Challenged {
    nonce: u64,
    at: Timestamp,
    /// What it came with: taken once it has shown that it incarnations.
    pending: Option<(Identity, MemberMessage)>,
}

struct Session {
    replay_window: ReplayWindow,
    heard: Timestamp,
}

/// A process's part in the post.
pub struct Transport {
    me: Name,
    incarnation_nonce: u64,
    sequence: u64,
    authenticator: Authenticator,
    addresses: AddressTable,
    sessions: BTreeMap<(Name, u64), Session>,
    challenged: BTreeMap<(Name, u64), Challenged>,
    address_queries: BTreeMap<Name, Timestamp>,
    random: ChaCha8Rng,
}

impl Transport {
    /// Of a process of that name which begins now; `seed` must be foreseen by nobody and another one at each start.
    pub fn new(me: Name, authenticator: Authenticator, addresses: AddressTable, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        Self {
            me,
            incarnation_nonce: random.random(),
            sequence: 0,
            authenticator,
            addresses,
            sessions: BTreeMap::new(),
            challenged: BTreeMap::new(),
            address_queries: BTreeMap::new(),
            random,
        }
    }

    /// Where members are.
    pub fn addresses(&self) -> &AddressTable {
        &self.addresses
    }

    /// Another key goes before, or goes.
    pub fn set_authenticator(&mut self, authenticator: Authenticator) {
        self.authenticator = authenticator;
    }

    /// A message of this process as `from` for `to`. Where nobody knows where that is, others are asked instead.
    ///
    /// # Errors
    /// When it cannot go.
    pub fn send(
        &mut self,
        now: Timestamp,
        from: &Identity,
        to: &Identity,
        message: MemberMessage,
    ) -> Result<Vec<OutboundDatagram>, DropReason> {
        match self.addresses.address(to) {
            Some(address) => {
                let datagram = self.datagram(from, to, address, Message::Member(message))?;
                Ok(vec![datagram])
            }
            None => self.query_address(now, from, &to.name),
        }
    }

    fn datagram(
        &mut self,
        from: &Identity,
        to: &Identity,
        address: SocketAddr,
        message: Message,
    ) -> Result<OutboundDatagram, DropReason> {
        self.sequence += 1;
        let (incarnation_nonce, sequence) = (self.incarnation_nonce, self.sequence);
        let frame = Frame { from: from.clone(), to: to.clone(), incarnation_nonce, sequence, message };
        let bytes = self.authenticator.encode(&frame).filter(|bytes| bytes.len() <= MAX_STREAM_BYTES);
        Ok(OutboundDatagram { address, bytes: bytes.ok_or(DropReason::Oversized)? })
    }

    /// Asks whoever was heard last where that name is, and not too often.
    fn query_address(
        &mut self,
        now: Timestamp,
        from: &Identity,
        name: &Name,
    ) -> Result<Vec<OutboundDatagram>, DropReason> {
        self.address_queries.retain(|_, at| now.0 - at.0 < RETRY_INTERVAL_US);
        if self.address_queries.contains_key(name) || self.address_queries.len() >= MAX_ADDRESS_QUERIES {
            return Err(DropReason::Unknown);
        }
        let guides: Vec<Identity> = self
            .addresses
            .latest()
            .into_iter()
            .filter(|who| who.name != *name)
            .take(MEMBERS_QUERIED)
            .cloned()
            .collect();
        if guides.is_empty() {
            return Err(DropReason::Unknown);
        }
        self.address_queries.insert(Name::clone(name), now);
        let mut datagrams = Vec::new();
        for guide in guides {
            let Some(address) = self.addresses.address(&guide) else { continue };
            datagrams.push(self.datagram(
                from,
                &any_incarnation(&guide),
                address,
                Message::AddressQuery(Name::clone(name)),
            )?);
        }
        Ok(datagrams)
    }

    /// A message has come, as a datagram from `source`, or on a stream.
    ///
    /// # Errors
    /// Why it is dropped.
    pub fn receive(
        &mut self,
        now: Timestamp,
        me: &Identity,
        bytes: &[u8],
        source: Option<SocketAddr>,
    ) -> Result<Received, DropReason> {
        let most = if source.is_some() { MAX_DATAGRAM_BYTES } else { MAX_STREAM_BYTES };
        if bytes.len() > most {
            return Err(DropReason::Oversized);
        }
        let Frame { from, to, incarnation_nonce, sequence, message } = self.authenticator.open(bytes)?;
        let other_incarnation = to.incarnation != 0 && to.incarnation != me.incarnation;
        if to.name != self.me
            || other_incarnation
            || (from.name == self.me && incarnation_nonce == self.incarnation_nonce)
        {
            return Err(DropReason::Astray);
        }
        let process = (from.name.clone(), incarnation_nonce);
        // Whoever asks gets its number back, known or not: one answer for one question.
        if let Message::Challenge { nonce } = message {
            let back = source.or_else(|| self.addresses.address(&from));
            let reply = back
                .map(|address| {
                    self.datagram(me, &any_incarnation(&from), address, Message::ChallengeResponse { nonce })
                })
                .transpose()?;
            return Ok(Received { message: None, reply });
        }
        if let Message::ChallengeResponse { nonce } = message {
            return self.handle_challenge_response(now, process, from, nonce, sequence, source);
        }
        let Some(session) = self.sessions.get_mut(&process) else {
            return self.challenge(now, me, process, from, message, source);
        };
        let order = session.replay_window.take(sequence).ok_or(DropReason::Replayed)?;
        session.heard = now;
        if let (Arrival::Latest, Some(address)) = (order, source) {
            self.addresses.seen(&from, address, now);
        }
        self.handle_message(me, from, message)
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
                if let (Some(there), Some(address)) =
                    (self.addresses.known(&name), self.addresses.address(&from))
                {
                    received.reply = Some(self.datagram(
                        me,
                        &any_incarnation(&from),
                        address,
                        Message::AddressAnswer(name, there),
                    )?);
                }
            }
            Message::AddressAnswer(name, address) => self.addresses.told(&name, address),
            Message::Challenge { .. } | Message::ChallengeResponse { .. } => {}
        }
        Ok(received)
    }

    /// Whoever is not known has to show that it incarnations now; what it came with waits for that.
    fn challenge(
        &mut self,
        now: Timestamp,
        me: &Identity,
        process: (Name, u64),
        from: Identity,
        message: Message,
        source: Option<SocketAddr>,
    ) -> Result<Received, DropReason> {
        if self.challenged.get(&process).is_some_and(|asked| now.0 - asked.at.0 < RETRY_INTERVAL_US) {
            return Err(DropReason::Unproved);
        }
        let address = source.or_else(|| self.addresses.address(&from)).ok_or(DropReason::Unproved)?;
        evict_oldest(&mut self.challenged, MAX_CHALLENGED, |asked| asked.at);
        let nonce = self.random.random();
        let pending = match message {
            Message::Member(message) => Some((from.clone(), message)),
            _ => None,
        };
        self.challenged.insert(process, Challenged { nonce, at: now, pending });
        let reply = self.datagram(me, &any_incarnation(&from), address, Message::Challenge { nonce })?;
        Ok(Received { message: None, reply: Some(reply) })
    }

    fn handle_challenge_response(
        &mut self,
        now: Timestamp,
        process: (Name, u64),
        from: Identity,
        nonce: u64,
        sequence: u64,
        source: Option<SocketAddr>,
    ) -> Result<Received, DropReason> {
        if self.challenged.get(&process).is_none_or(|asked| asked.nonce != nonce) {
            return Err(DropReason::Replayed);
        }
        let pending = self.challenged.remove(&process).and_then(|asked| asked.pending);
        evict_oldest(&mut self.sessions, MAX_SESSIONS, |known| known.heard);
        self.sessions.insert(process, Session { replay_window: ReplayWindow::from(sequence), heard: now });
        if let Some(address) = source {
            self.addresses.seen(&from, address, now);
        }
        Ok(Received { message: pending, reply: None })
    }
}

/// Where there are as many as may be, the one with the earliest moment goes for the next.
fn evict_oldest<K: Ord + Clone, V>(all: &mut BTreeMap<K, V>, most: usize, at: impl Fn(&V) -> Timestamp) {
    if all.len() >= most {
        let oldest = all.iter().min_by_key(|(_, one)| at(one)).map(|(key, _)| key.clone());
        oldest.map(|key| all.remove(&key));
    }
}

/// The process of that name, whichever incarnation it is: of processes, not of members.
fn any_incarnation(who: &Identity) -> Identity {
    Identity { incarnation: 0, ..who.clone() }
}

#[cfg(test)]
mod tests;
