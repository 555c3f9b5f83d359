//! A hierarchical timing wheel (Varghese, Lauck 1987) for timers of which most are cancelled, as those of requests are.
//!
//! Six levels of 64 slots, each level 64 times as coarse as the one below. Entries are in a slab and linked in both
//! directions, so that setting and cancelling a timer take the same time whatever the number of timers.

use crate::interface::{TimeDelta, Timestamp};

/// Binary logarithm of the slots of a level.
const SLOT_BITS: u32 = 6;
const SLOTS: usize = 1 << SLOT_BITS;
const LEVELS: usize = 6;
/// The end of a linked list.
const NIL: u32 = u32::MAX;

/// A timer that has been set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerKey {
    entry: u32,
    /// Which use of the slab entry the key stands for.
    generation: u32,
}

#[derive(Clone, Debug)]
struct Entry<T> {
    /// `None` while the entry is free.
    value: Option<T>,
    expiry_tick: u64,
    slot: u16,
    generation: u32,
    previous: u32,
    /// The next entry of the slot, or of the free entries.
    next: u32,
}

/// Timers that each hold a value until they expire or are cancelled.
#[derive(Clone, Debug)]
pub struct TimerWheel<T> {
    entries: Vec<Entry<T>>,
    first_free: u32,
    /// The first entry of each slot, level by level.
    slots: Box<[u32]>,
    /// A bit for each slot of a level that has entries.
    occupied: [u64; LEVELS],
    /// Microseconds of a tick.
    tick: i64,
    /// The tick up to which timers have expired.
    current_tick: u64,
    length: usize,
}

impl<T> TimerWheel<T> {
    /// Returns an empty wheel. Its timers expire late by up to one tick and never early.
    pub fn new(tick: TimeDelta, start: Timestamp) -> Self {
        let tick = tick.0.max(1);
        Self {
            entries: Vec::new(),
            first_free: NIL,
            slots: vec![NIL; SLOTS * LEVELS].into(),
            occupied: [0; LEVELS],
            tick,
            current_tick: (start.0 / tick).max(0) as u64,
            length: 0,
        }
    }

    /// Returns the number of timers that are set.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Sets a timer that expires at `expiry`, or at the next tick if that is past.
    pub fn set(&mut self, expiry: Timestamp, value: T) -> TimerKey {
        let expiry_tick = (expiry.0.max(0) as u64).div_ceil(self.tick as u64).max(self.current_tick + 1);
        let index = self.allocate();
        let entry = &mut self.entries[index as usize];
        entry.value = Some(value);
        entry.expiry_tick = expiry_tick;
        let generation = entry.generation;
        self.link(index);
        self.length += 1;
        TimerKey { entry: index, generation }
    }

    /// Cancels a timer; returns its value, or `None` if it has expired or been cancelled before.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        let entry = self.entries.get(key.entry as usize)?;
        if entry.generation != key.generation || entry.value.is_none() {
            return None;
        }
        self.unlink(key.entry);
        self.free(key.entry)
    }

    fn allocate(&mut self) -> u32 {
        if self.first_free != NIL {
            let index = self.first_free;
            self.first_free = self.entries[index as usize].next;
            return index;
        }
        self.entries.push(Entry {
            value: None,
            expiry_tick: 0,
            slot: 0,
            generation: 0,
            previous: NIL,
            next: NIL,
        });
        (self.entries.len() - 1) as u32
    }

    fn free(&mut self, index: u32) -> Option<T> {
        let entry = &mut self.entries[index as usize];
        entry.generation = entry.generation.wrapping_add(1);
        entry.next = std::mem::replace(&mut self.first_free, index);
        self.length -= 1;
        entry.value.take()
    }

    /// Returns the slot of a tick: on the lowest level whose current turn reaches it.
    fn slot_of(&self, tick: u64) -> usize {
        let differing_bits = tick ^ self.current_tick;
        let level = (63 - (differing_bits | 1).leading_zeros()) / SLOT_BITS;
        let level = (level as usize).min(LEVELS - 1);
        let shift = SLOT_BITS * level as u32;
        // A tick beyond the last level goes to its farthest slot, and is linked anew from there.
        let farthest = self.current_tick.saturating_add((SLOTS as u64 - 1) << shift);
        let tick = if level == LEVELS - 1 { tick.min(farthest) } else { tick };
        level * SLOTS + (tick >> shift) as usize % SLOTS
    }

    fn link(&mut self, index: u32) {
        let slot = self.slot_of(self.entries[index as usize].expiry_tick);
        let first = std::mem::replace(&mut self.slots[slot], index);
        let entry = &mut self.entries[index as usize];
        entry.slot = slot as u16;
        entry.previous = NIL;
        entry.next = first;
        if first != NIL {
            self.entries[first as usize].previous = index;
        }
        self.occupied[slot / SLOTS] |= 1 << (slot % SLOTS);
    }

    fn unlink(&mut self, index: u32) {
        let Entry { slot, previous, next, .. } = self.entries[index as usize];
        let slot = usize::from(slot);
        if next != NIL {
            self.entries[next as usize].previous = previous;
        }
        match previous {
            NIL => self.slots[slot] = next,
            previous => self.entries[previous as usize].next = next,
        }
        if self.slots[slot] == NIL {
            self.occupied[slot / SLOTS] &= !(1 << (slot % SLOTS));
        }
    }

    /// Returns a point in time before which no timer expires, or `None` if none is set. It may be earlier than the first
    /// expiry: timers move to a finer level then.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.next_turn().map(|tick| Timestamp(tick as i64 * self.tick))
    }

    /// Returns the tick at which the next occupied slot of any level begins.
    fn next_turn(&self) -> Option<u64> {
        (0..LEVELS).filter_map(|level| self.next_turn_of(level)).min()
    }

    /// Returns the tick at which a level's next occupied slot begins.
    fn next_turn_of(&self, level: usize) -> Option<u64> {
        let occupied = self.occupied[level];
        if occupied == 0 {
            return None;
        }
        let shift = SLOT_BITS * level as u32;
        let current_slot = self.current_tick >> shift;
        // The slot after the current one comes first.
        let first = ((current_slot + 1) % SLOTS as u64) as u32;
        let distance = occupied.rotate_right(first).trailing_zeros();
        Some((current_slot + 1 + u64::from(distance)) << shift)
    }

    /// Moves the wheel to `now` and appends the values of the timers that expire, in the order of their ticks.
    pub fn advance(&mut self, now: Timestamp, expired: &mut Vec<T>) {
        let target = (now.0 / self.tick).max(0) as u64;
        while let Some(turn) = self.next_turn().filter(|turn| *turn <= target) {
            self.current_tick = turn;
            // The coarse levels first: timers that move down from them may expire now.
            for level in (0..LEVELS).rev() {
                let shift = SLOT_BITS * level as u32;
                if turn & ((1 << shift) - 1) == 0 {
                    self.empty_slot(level * SLOTS + (turn >> shift) as usize % SLOTS, expired);
                }
            }
        }
        self.current_tick = self.current_tick.max(target);
    }

    /// Expires the timers of a slot that are due and links the others anew.
    fn empty_slot(&mut self, slot: usize, expired: &mut Vec<T>) {
        let mut index = std::mem::replace(&mut self.slots[slot], NIL);
        self.occupied[slot / SLOTS] &= !(1 << (slot % SLOTS));
        while index != NIL {
            let Entry { expiry_tick, next, .. } = self.entries[index as usize];
            if expiry_tick <= self.current_tick {
                expired.extend(self.free(index));
            } else {
                self.link(index);
            }
            index = next;
        }
    }
}
