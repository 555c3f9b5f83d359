//! What goes between members, as letters in sealed envelopes: who is spoken with, what is taken and what is dropped, and
//! where letters go. No sockets: bytes and a moment go in, letters and parcels come out.
//!
//! A process is spoken with once it has shown that it lives now: whoever comes with a boot number that is not known is asked
//! for a number that nobody could have foreseen. So nothing that was recorded is taken, also by a process that has just
//! started and remembers nobody.

mod address_table;
mod authentication;
mod replay_window;

pub use address_table::Book;
pub use authentication::{Key, KeyError, Seal, LONGEST_DATAGRAM, LONGEST_STREAM, VERSION};
pub use replay_window::{Order, Window};

use super::member::Message;
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
pub enum Letter {
    /// Between members.
    Member(Message),
    /// Who speaks there: the number is wanted back.
    Who {
        /// Foreseen by nobody.
        nonce: u64,
    },
    /// The number, back.
    Here {
        /// As it was asked.
        nonce: u64,
    },
    /// Where is a member of that name?
    Where(Name),
    /// There.
    There(Name, SocketAddr),
}

/// A letter, who sends it and who is to have it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Who sends it.
    pub from: Identity,
    /// Who is to have it: that life alone, or any of the name where its number is 0.
    pub to: Identity,
    /// The sender's process: another one after each start.
    pub boot: u64,
    /// Its number among all that the process has sent.
    pub number: u64,
    /// What it says.
    pub letter: Letter,
}

/// Why a message was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Dropped {
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
    /// Its sender has yet to show that it lives now.
    Unproved,
    /// Longer than any may be.
    Oversized,
    /// Nobody knows where its receiver is.
    Unknown,
}

/// All reasons, in their order.
pub const DROPPED: [Dropped; 9] = [
    Dropped::Garbage,
    Dropped::Version,
    Dropped::Fleet,
    Dropped::Forged,
    Dropped::Astray,
    Dropped::Replayed,
    Dropped::Unproved,
    Dropped::Oversized,
    Dropped::Unknown,
];

impl fmt::Display for Dropped {
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
pub struct Parcel {
    /// To where.
    pub address: SocketAddr,
    /// Sealed.
    pub bytes: Vec<u8>,
}

impl Parcel {
    /// Whether it is too long for a datagram.
    pub fn is_long(&self) -> bool {
        self.bytes.len() > LONGEST_DATAGRAM
    }
}

/// What came of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opened {
    /// For the member, with who sends it.
    pub message: Option<(Identity, Message)>,
    /// At most one answer, never longer than what it answers by more than a few bytes.
    pub reply: Option<Parcel>,
}

/// Senders who were asked and have not answered; whoever is asked longest goes for another one.
const MOST_ASKED: usize = 64;
/// Processes that are spoken with.
const MOST_KNOWN: usize = 4_096;
/// A question is asked anew after so long, in microseconds.
const ASK_AGAIN_US: i64 = 200_000;
/// Members that are asked where another one is.
const GUIDES: usize = 2;
/// Names that were asked for lately.
const MOST_SOUGHT: usize = 64;

struct Asked {
    nonce: u64,
    at: Timestamp,
    /// What it came with: taken once it has shown that it lives.
    held: Option<(Identity, Message)>,
}

struct Known {
    window: Window,
    heard: Timestamp,
}

/// A process's part in the post.
pub struct Post {
    me: Name,
    boot: u64,
    number: u64,
    seal: Seal,
    book: Book,
    known: BTreeMap<(Name, u64), Known>,
    asked: BTreeMap<(Name, u64), Asked>,
    sought: BTreeMap<Name, Timestamp>,
    random: ChaCha8Rng,
}

impl Post {
    /// Of a process of that name which begins now; `seed` must be foreseen by nobody and another one at each start.
    pub fn new(me: Name, seal: Seal, book: Book, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        Self {
            me,
            boot: random.random(),
            number: 0,
            seal,
            book,
            known: BTreeMap::new(),
            asked: BTreeMap::new(),
            sought: BTreeMap::new(),
            random,
        }
    }

    /// Where members are.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Another key goes before, or goes.
    pub fn reseal(&mut self, seal: Seal) {
        self.seal = seal;
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
        message: Message,
    ) -> Result<Vec<Parcel>, Dropped> {
        match self.book.address(to) {
            Some(address) => {
                let parcel = self.parcel(from, to, address, Letter::Member(message))?;
                Ok(vec![parcel])
            }
            None => self.seek(now, from, &to.name),
        }
    }

    fn parcel(
        &mut self,
        from: &Identity,
        to: &Identity,
        address: SocketAddr,
        letter: Letter,
    ) -> Result<Parcel, Dropped> {
        self.number += 1;
        let (boot, number) = (self.boot, self.number);
        let envelope = Envelope { from: from.clone(), to: to.clone(), boot, number, letter };
        let bytes = self.seal.seal(&envelope).filter(|bytes| bytes.len() <= LONGEST_STREAM);
        Ok(Parcel { address, bytes: bytes.ok_or(Dropped::Oversized)? })
    }

    /// Asks whoever was heard last where that name is, and not too often.
    fn seek(&mut self, now: Timestamp, from: &Identity, name: &Name) -> Result<Vec<Parcel>, Dropped> {
        self.sought.retain(|_, at| now.0 - at.0 < ASK_AGAIN_US);
        if self.sought.contains_key(name) || self.sought.len() >= MOST_SOUGHT {
            return Err(Dropped::Unknown);
        }
        let guides: Vec<Identity> =
            self.book.latest().into_iter().filter(|who| who.name != *name).take(GUIDES).cloned().collect();
        if guides.is_empty() {
            return Err(Dropped::Unknown);
        }
        self.sought.insert(Name::clone(name), now);
        let mut parcels = Vec::new();
        for guide in guides {
            let Some(address) = self.book.address(&guide) else { continue };
            parcels.push(self.parcel(from, &any(&guide), address, Letter::Where(Name::clone(name)))?);
        }
        Ok(parcels)
    }

    /// A message has come, as a datagram from `source`, or on a stream.
    ///
    /// # Errors
    /// Why it is dropped.
    pub fn open(
        &mut self,
        now: Timestamp,
        me: &Identity,
        bytes: &[u8],
        source: Option<SocketAddr>,
    ) -> Result<Opened, Dropped> {
        let most = if source.is_some() { LONGEST_DATAGRAM } else { LONGEST_STREAM };
        if bytes.len() > most {
            return Err(Dropped::Oversized);
        }
        let Envelope { from, to, boot, number, letter } = self.seal.open(bytes)?;
        let other_life = to.life != 0 && to.life != me.life;
        if to.name != self.me || other_life || (from.name == self.me && boot == self.boot) {
            return Err(Dropped::Astray);
        }
        let process = (from.name.clone(), boot);
        // Whoever asks gets its number back, known or not: one answer for one question.
        if let Letter::Who { nonce } = letter {
            let back = source.or_else(|| self.book.address(&from));
            let reply = back
                .map(|address| self.parcel(me, &any(&from), address, Letter::Here { nonce }))
                .transpose()?;
            return Ok(Opened { message: None, reply });
        }
        if let Letter::Here { nonce } = letter {
            return self.answered(now, process, from, nonce, number, source);
        }
        let Some(known) = self.known.get_mut(&process) else {
            return self.ask(now, me, process, from, letter, source);
        };
        let order = known.window.take(number).ok_or(Dropped::Replayed)?;
        known.heard = now;
        if let (Order::Latest, Some(address)) = (order, source) {
            self.book.seen(&from, address, now);
        }
        self.read(me, from, letter)
    }

    fn read(&mut self, me: &Identity, from: Identity, letter: Letter) -> Result<Opened, Dropped> {
        let mut opened = Opened { message: None, reply: None };
        match letter {
            Letter::Member(message) => opened.message = Some((from, message)),
            Letter::Where(name) => {
                if let (Some(there), Some(address)) = (self.book.known(&name), self.book.address(&from)) {
                    opened.reply = Some(self.parcel(me, &any(&from), address, Letter::There(name, there))?);
                }
            }
            Letter::There(name, address) => self.book.told(&name, address),
            Letter::Who { .. } | Letter::Here { .. } => {}
        }
        Ok(opened)
    }

    /// Whoever is not known has to show that it lives now; what it came with waits for that.
    fn ask(
        &mut self,
        now: Timestamp,
        me: &Identity,
        process: (Name, u64),
        from: Identity,
        letter: Letter,
        source: Option<SocketAddr>,
    ) -> Result<Opened, Dropped> {
        if self.asked.get(&process).is_some_and(|asked| now.0 - asked.at.0 < ASK_AGAIN_US) {
            return Err(Dropped::Unproved);
        }
        let address = source.or_else(|| self.book.address(&from)).ok_or(Dropped::Unproved)?;
        make_room(&mut self.asked, MOST_ASKED, |asked| asked.at);
        let nonce = self.random.random();
        let held = match letter {
            Letter::Member(message) => Some((from.clone(), message)),
            _ => None,
        };
        self.asked.insert(process, Asked { nonce, at: now, held });
        let reply = self.parcel(me, &any(&from), address, Letter::Who { nonce })?;
        Ok(Opened { message: None, reply: Some(reply) })
    }

    fn answered(
        &mut self,
        now: Timestamp,
        process: (Name, u64),
        from: Identity,
        nonce: u64,
        number: u64,
        source: Option<SocketAddr>,
    ) -> Result<Opened, Dropped> {
        if self.asked.get(&process).is_none_or(|asked| asked.nonce != nonce) {
            return Err(Dropped::Replayed);
        }
        let held = self.asked.remove(&process).and_then(|asked| asked.held);
        make_room(&mut self.known, MOST_KNOWN, |known| known.heard);
        self.known.insert(process, Known { window: Window::from(number), heard: now });
        if let Some(address) = source {
            self.book.seen(&from, address, now);
        }
        Ok(Opened { message: held, reply: None })
    }
}

/// Where there are as many as may be, the one with the earliest moment goes for the next.
fn make_room<K: Ord + Clone, V>(all: &mut BTreeMap<K, V>, most: usize, at: impl Fn(&V) -> Timestamp) {
    if all.len() >= most {
        let oldest = all.iter().min_by_key(|(_, one)| at(one)).map(|(key, _)| key.clone());
        oldest.map(|key| all.remove(&key));
    }
}

/// The process of that name, whichever life it is: of processes, not of members.
fn any(who: &Identity) -> Identity {
    Identity { life: 0, ..who.clone() }
}

#[cfg(test)]
mod tests;
