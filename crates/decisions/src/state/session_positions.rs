//! The log position of each session's last write, in bounded memory.
//!
//! The sessions are stored in generations of open-addressing tables with 16 bytes per slot; an entry needs no
//! allocation. When the newest generation is full, the oldest is evicted as a whole, and the eviction floor
//! of each replication group rises to the latest commit that was evicted for it. An unknown session is
//! treated as if it had last written at the eviction floor.
//!
//! Invariant: the position returned for a session is never lower than that of its last write. Eviction can
//! only raise it.

use super::unconfirmed_writes::UnconfirmedWrites;
use crate::interface::{LogPosition, SessionId, TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Maximum number of generations. With more of them an eviction loses fewer entries, but a lookup takes
/// longer.
const MAX_GENERATIONS: usize = 4;
/// Maximum number of entries per eight slots of a table.
const MAX_ENTRIES_PER_8_SLOTS: usize = 5;
/// Position in an empty slot; no commit has it.
const NO_POSITION: i64 = i64::MIN;

#[derive(Clone, Copy, Debug)]
struct Slot {
    session: u64,
    position: i64,
}

impl Slot {
    const EMPTY: Self = Self { session: 0, position: NO_POSITION };

    fn is_empty(&self) -> bool {
        self.position == NO_POSITION
    }
}

#[derive(Clone, Debug)]
struct Generation {
    /// Slots of the table; their number is a power of two.
    slots: Box<[Slot]>,
    entries: usize,
    /// Position of the latest commit in each replication group among the entries.
    latest_commits: BTreeMap<u32, i64>,
}

impl Generation {
    fn new(slots: usize) -> Self {
        Self { slots: vec![Slot::EMPTY; slots].into(), entries: 0, latest_commits: BTreeMap::new() }
    }

    fn clear(&mut self) {
        self.slots.fill(Slot::EMPTY);
        self.entries = 0;
        self.latest_commits = BTreeMap::new();
    }

    /// Returns the index of a session's slot, or of the empty slot for it if it has none.
    fn slot_index(&self, session: u64) -> usize {
        let mask = self.slots.len() - 1;
        // Session identifiers are hashes already. The upper half is mixed in because small tables use few
        // bits.
        let mut index = (session ^ (session >> 32)) as usize & mask;
        while !self.slots[index].is_empty() && self.slots[index].session != session {
            index = (index + 1) & mask;
        }
        index
    }

    fn get(&self, session: u64) -> Option<i64> {
        let slot = self.slots[self.slot_index(session)];
        (!slot.is_empty()).then_some(slot.position)
    }

    /// Stores a session's position unless a higher one is stored.
    fn raise(&mut self, session: u64, group: u32, position: i64) {
        let index = self.slot_index(session);
        let slot = &mut self.slots[index];
        if slot.is_empty() {
            *slot = Slot { session, position };
            self.entries += 1;
        }
        slot.position = slot.position.max(position);
        let latest = self.latest_commits.entry(group).or_insert(position);
        *latest = (*latest).max(position);
    }

    fn shift(&mut self, delta: TimeDelta) {
        for slot in self.slots.iter_mut().filter(|slot| !slot.is_empty()) {
            slot.position = slot.position.saturating_add(delta.0);
        }
        for position in self.latest_commits.values_mut() {
            *position = position.saturating_add(delta.0);
        }
    }
}

/// The positions of the sessions' last writes, and their unconfirmed writes.
#[derive(Clone, Debug)]
pub struct SessionPositions {
    /// Generations from newest to oldest; at least one, at most [`MAX_GENERATIONS`].
    generations: Vec<Generation>,
    entries_per_generation: usize,
    /// Position of the latest evicted commit of each replication group.
    eviction_floors: BTreeMap<u32, i64>,
    unconfirmed_writes: UnconfirmedWrites,
    /// Unconfirmed writes that other processes of the same proxy took.
    remote_unconfirmed_writes: UnconfirmedWrites,
    /// Position up to which any session may have made a write that is not in the table.
    floor: i64,
    /// Time until which any session may make writes of which nothing is recorded.
    unknown_writes_until: Timestamp,
}

impl SessionPositions {
    /// Returns an empty table for up to `capacity` sessions. An eviction removes at most a quarter of them.
    pub fn new(capacity: usize) -> Self {
        let entries_per_generation = (capacity / MAX_GENERATIONS).max(1);
        let slots = (entries_per_generation * 8 / MAX_ENTRIES_PER_8_SLOTS + 1).next_power_of_two();
        Self {
            generations: vec![Generation::new(slots)],
            entries_per_generation,
            eviction_floors: BTreeMap::new(),
            unconfirmed_writes: UnconfirmedWrites::default(),
            remote_unconfirmed_writes: UnconfirmedWrites::default(),
            floor: NO_POSITION,
            unknown_writes_until: Timestamp(i64::MIN),
        }
    }

    /// Records the commit of a session's write in a group.
    pub fn record_commit(&mut self, session: SessionId, group: u32, position: LogPosition) {
        let mut position = position.0.max(NO_POSITION + 1);
        if self.generations[0].get(session.0).is_none() {
            // Responses may arrive out of order, and an earlier write must not replace a later one.
            position = position.max(self.last_commit(session, group).0);
            if self.generations[0].entries >= self.entries_per_generation {
                self.start_generation();
            }
        }
        self.generations[0].raise(session.0, group, position);
    }

    /// Adds an empty generation as the newest. It reuses the memory of the evicted generation, if any.
    fn start_generation(&mut self) {
        let slots = self.generations[0].slots.len();
        let is_full = self.generations.len() == MAX_GENERATIONS;
        let evicted = if is_full { self.evict_generation() } else { None };
        let mut generation = evicted.unwrap_or_else(|| Generation::new(slots));
        generation.clear();
        self.generations.insert(0, generation);
    }

    /// Removes the oldest generation, raises the eviction floors to its commits and returns it.
    fn evict_generation(&mut self) -> Option<Generation> {
        let oldest = self.generations.pop()?;
        for (group, position) in &oldest.latest_commits {
            let floor = self.eviction_floors.entry(*group).or_insert(*position);
            *floor = (*floor).max(*position);
        }
        Some(oldest)
    }

    /// Evicts the oldest generation, unless it is the only one, and frees its memory. Returns the number of
    /// evicted entries.
    pub fn evict_oldest(&mut self) -> usize {
        if self.generations.len() < 2 {
            return 0;
        }
        self.evict_generation().map_or(0, |generation| generation.entries)
    }

    /// Returns the position of a session's last known commit, or the group's eviction floor for an unknown
    /// session.
    pub fn last_commit(&self, session: SessionId, group: u32) -> LogPosition {
        let known = self.generations.iter().find_map(|generation| generation.get(session.0));
        known.map_or_else(|| self.eviction_floor(group), |position| LogPosition(position.max(self.floor)))
    }

    /// Records that an attempt of a session's write was sent to a group.
    pub fn write_sent(&mut self, session: SessionId, group: u32, now: Timestamp) {
        self.unconfirmed_writes.write_sent(session, group, now);
    }

    /// Records the end of an attempt of a session's write, with the position of its commit if a response
    /// arrived. Without a response, the write may still commit until `may_commit_until`; `None` means that it
    /// was never executed.
    pub fn write_ended(
        &mut self,
        session: SessionId,
        group: u32,
        commit: Option<LogPosition>,
        may_commit_until: Option<Timestamp>,
    ) {
        if let Some(commit) = commit {
            self.record_commit(session, group, commit);
        }
        let may_commit_until = may_commit_until.filter(|_| commit.is_none());
        self.unconfirmed_writes.write_ended(session, group, may_commit_until);
    }

    /// Records that another process of the same proxy sent an attempt of a session's write to a group. The
    /// write may commit until `until`, even if its end is never recorded.
    pub fn remote_write_sent(&mut self, session: SessionId, group: u32, now: Timestamp, until: Timestamp) {
        self.remote_unconfirmed_writes.write_sent_until(session, group, now, until);
    }

    /// Records the end of an attempt of a session's write by another process. It may still commit until
    /// `may_commit_until`; `None` means that its commit was recorded, or that it was never executed.
    pub fn remote_write_ended(
        &mut self,
        session: SessionId,
        group: u32,
        may_commit_until: Option<Timestamp>,
    ) {
        self.remote_unconfirmed_writes.write_ended(session, group, may_commit_until);
    }

    /// Records that any session may have written up to `position` without an entry.
    pub fn raise_floor(&mut self, position: LogPosition) {
        self.floor = self.floor.max(position.0);
    }

    /// Records that any session may write until `until` without an entry. Reads until then have to see all
    /// commits, and later ones those up to `now`.
    pub fn expect_unknown_writes(&mut self, now: Timestamp, until: Timestamp) {
        self.raise_floor(LogPosition(now.0));
        self.unknown_writes_until = self.unknown_writes_until.max(until);
    }

    /// Returns the position that the data for a read arriving at `now` must include. If a write of the
    /// session is unconfirmed, that is `now`, so that the read sees all commits before it.
    pub fn required_position(&self, session: Option<SessionId>, group: u32, now: Timestamp) -> LogPosition {
        if now < self.unknown_writes_until {
            return LogPosition(now.0);
        }
        let Some(session) = session else { return self.eviction_floor(group) };
        let unconfirmed = [&self.unconfirmed_writes, &self.remote_unconfirmed_writes];
        if unconfirmed.iter().any(|writes| writes.is_unconfirmed(session, group, now)) {
            return LogPosition(now.0);
        }
        self.last_commit(session, group)
    }

    /// Adds a span to all positions, after the offset of the clock that they are based on has changed.
    pub fn shift(&mut self, delta: TimeDelta) {
        self.generations.iter_mut().for_each(|generation| generation.shift(delta));
        self.eviction_floors.values_mut().for_each(|floor| *floor = floor.saturating_add(delta.0));
        if self.floor != NO_POSITION {
            self.floor = self.floor.saturating_add(delta.0);
        }
    }

    /// Returns the position of the latest commit in a group that is not in the table, or the lowest position
    /// if there is none.
    pub fn eviction_floor(&self, group: u32) -> LogPosition {
        let evicted = self.eviction_floors.get(&group).copied().unwrap_or(NO_POSITION);
        LogPosition(evicted.max(self.floor))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.generations.iter().map(|generation| generation.entries).sum()
    }

    /// Returns whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the size of the tables in bytes.
    pub fn size_in_bytes(&self) -> usize {
        self.generations.iter().map(|generation| generation.slots.len() * size_of::<Slot>()).sum()
    }
}
