//! The last write of each session, in bounded memory.
//!
//! Generations of open-addressing tables: 16 bytes a slot, no allocation for an entry. When the newest is full the
//! oldest is forgotten whole, and the floor of each set rises to the latest commit forgotten there: a session that is
//! not known is held to have written then. So a read is never sent to a replica that lacks its session's write; at
//! worst it waits for, or goes to, one that has more than it needs.

use super::unconfirmed_writes::UnconfirmedWrites;
use crate::interface::{LogPosition, SessionId, Timestamp};
use std::collections::BTreeMap;

/// Generations that are kept. More forget more exactly, and make a look-up longer.
const GENERATIONS: usize = 4;
/// Slots for each entry, in eighths: tables are at most five eighths full.
const SLOTS_PER_ENTRY: (usize, usize) = (8, 5);
/// No commit stands at this position: a slot that has it is empty.
const NOWHERE: i64 = i64::MIN;

#[derive(Clone, Copy, Debug)]
struct Slot {
    session: u64,
    position: i64,
}

const EMPTY: Slot = Slot { session: 0, position: NOWHERE };

#[derive(Clone, Debug)]
struct Generation {
    slots: Box<[Slot]>,
    entries: usize,
    /// The latest commit of each set among its entries.
    latest: BTreeMap<u32, i64>,
}

impl Generation {
    fn new(slots: usize) -> Self {
        Self { slots: vec![EMPTY; slots].into(), entries: 0, latest: BTreeMap::new() }
    }

    /// Where a session stands, or where it would.
    fn place(&self, session: u64) -> usize {
        let mask = self.slots.len() - 1;
        // Sessions are hashes already; the upper half is mixed in for the small tables.
        let mut at = (session ^ (session >> 32)) as usize & mask;
        while self.slots[at].position != NOWHERE && self.slots[at].session != session {
            at = (at + 1) & mask;
        }
        at
    }

    fn get(&self, session: u64) -> Option<i64> {
        let slot = self.slots[self.place(session)];
        (slot.position != NOWHERE).then_some(slot.position)
    }

    fn set(&mut self, session: u64, set: u32, position: i64) {
        let at = self.place(session);
        let slot = &mut self.slots[at];
        if slot.position == NOWHERE {
            *slot = Slot { session, position };
            self.entries += 1;
        }
        slot.position = slot.position.max(position);
        let latest = self.latest.entry(set).or_insert(position);
        *latest = (*latest).max(position);
    }
}

/// The sessions' last writes.
#[derive(Clone, Debug)]
pub struct SessionPositions {
    /// The newest first; at most [`GENERATIONS`].
    generations: Vec<Generation>,
    /// Entries that a generation takes.
    each: usize,
    /// Sets' floors: the latest commit forgotten there.
    floors: BTreeMap<u32, i64>,
    unsure: UnconfirmedWrites,
}

impl SessionPositions {
    /// Remembers at least three quarters of so many sessions, and never more than all of them.
    pub fn new(entries: usize) -> Self {
        let each = (entries / GENERATIONS).max(1);
        let slots = (each * SLOTS_PER_ENTRY.0 / SLOTS_PER_ENTRY.1 + 1).next_power_of_two();
        let generations = vec![Generation::new(slots)];
        Self { generations, each, floors: BTreeMap::new(), unsure: UnconfirmedWrites::default() }
    }

    /// A session's write has been committed in a set.
    pub fn remember(&mut self, session: SessionId, set: u32, position: LogPosition) {
        let key = session.0;
        let mut position = position.0.max(NOWHERE + 1);
        if self.generations[0].get(key).is_none() {
            // Answers may come out of turn: an earlier write must not take the place of a later one.
            position = position.max(self.token(session, set).0);
            if self.generations[0].entries >= self.each {
                self.begin();
            }
        }
        self.generations[0].set(key, set, position);
    }

    fn begin(&mut self) {
        let slots = self.generations[0].slots.len();
        // The table that is forgotten is the one that begins anew: nothing is allocated in the long run.
        let mut next = if self.generations.len() == GENERATIONS { self.forget() } else { None }
            .unwrap_or_else(|| Generation::new(slots));
        next.slots.fill(EMPTY);
        (next.entries, next.latest) = (0, BTreeMap::new());
        self.generations.insert(0, next);
    }

    fn forget(&mut self) -> Option<Generation> {
        let oldest = self.generations.pop()?;
        for (set, position) in &oldest.latest {
            let floor = self.floors.entry(*set).or_insert(*position);
            *floor = (*floor).max(*position);
        }
        Some(oldest)
    }

    /// Forgets the oldest entries, to make room elsewhere; how many. The newest generation stays.
    pub fn shrink(&mut self) -> usize {
        if self.generations.len() < 2 {
            return 0;
        }
        self.forget().map_or(0, |generation| generation.entries)
    }

    /// What a read of a session in a set must see.
    pub fn token(&self, session: SessionId, set: u32) -> LogPosition {
        let known = self.generations.iter().find_map(|generation| generation.get(session.0));
        match known {
            Some(position) => LogPosition(position),
            None => self.floor(set),
        }
    }

    /// A session's write is sent to a set: until it has ended its reads must see all there is.
    pub fn sent(&mut self, session: SessionId, set: u32, now: Timestamp) {
        self.unsure.sent(session, set, now);
    }

    /// It has ended: with a commit that is known, or without one, and may come to count until `later` if it is not known
    /// that it never ran.
    pub fn ended(
        &mut self,
        session: SessionId,
        set: u32,
        commit: Option<LogPosition>,
        later: Option<Timestamp>,
    ) {
        commit.into_iter().for_each(|commit| self.remember(session, set, commit));
        self.unsure.ended(session, set, later.filter(|_| commit.is_none()));
    }

    /// What a read that comes now must see: all there is where a write of its session may have been committed unheard.
    pub fn need(&self, session: Option<SessionId>, set: u32, now: Timestamp) -> LogPosition {
        match session {
            Some(session) if self.unsure.is_in_doubt(session, set, now) => LogPosition(now.0),
            Some(session) => self.token(session, set),
            None => self.floor(set),
        }
    }

    /// Positions turn out to be later than they were taken to be, by so many microseconds.
    pub fn shift(&mut self, later_us: i64) {
        let later = |position: &mut i64| *position = position.saturating_add(later_us);
        for generation in &mut self.generations {
            let taken = generation.slots.iter_mut().filter(|slot| slot.position != NOWHERE);
            taken.for_each(|slot| later(&mut slot.position));
            generation.latest.values_mut().for_each(later);
        }
        self.floors.values_mut().for_each(later);
    }

    /// What a session that is not known is held to have written in a set.
    pub fn floor(&self, set: u32) -> LogPosition {
        LogPosition(self.floors.get(&set).copied().unwrap_or(i64::MIN))
    }

    /// Sessions remembered.
    pub fn len(&self) -> usize {
        self.generations.iter().map(|generation| generation.entries).sum()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes that the tables take.
    pub fn bytes(&self) -> usize {
        self.generations.iter().map(|generation| generation.slots.len() * size_of::<Slot>()).sum()
    }
}
