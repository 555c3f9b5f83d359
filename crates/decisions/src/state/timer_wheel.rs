//! A hierarchical timing wheel (Varghese, Lauck 1987) for timers that are mostly cancelled, such as those of
//! requests.
//!
//! It has six levels of 64 slots, each level 64 times as coarse as the one below. Entries are stored in a
//! slab and linked in both directions, so that setting and cancelling a timer take constant time.

use crate::interface::{TimeDelta, Timestamp};

/// Binary logarithm of [`SLOTS`].
const SLOT_BITS: u32 = 6;
/// Number of slots per level.
const SLOTS: usize = 1 << SLOT_BITS;
/// Number of levels.
const LEVELS: usize = 6;
/// The end of a linked list.
const NIL: u32 = u32::MAX;

/// Key of a timer that has been set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerKey {
    entry: u32,
    /// Generation of the slab entry, which changes each time the entry is freed.
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
    /// The next entry of the slot, or of the free list.
    next: u32,
}

/// A set of timers that each hold a value until they expire or are cancelled.
#[derive(Clone, Debug)]
pub struct TimerWheel<T> {
    entries: Vec<Entry<T>>,
    first_free: u32,
    /// The first entry of each slot, level by level.
    slots: Box<[u32]>,
    /// For each level, a bit mask of the slots that have entries.
    occupied: [u64; LEVELS],
    /// Length of a tick in microseconds.
    tick: i64,
    /// Tick up to which the wheel has advanced.
    current_tick: u64,
    length: usize,
}

impl<T> TimerWheel<T> {
    /// Returns an empty wheel. Timers expire up to one tick late, but never early.
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

    /// Sets a timer that expires at `expiry`, or at the next tick if `expiry` has passed.
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

    /// Cancels a timer and returns its value, or `None` if it has already expired or been cancelled.
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

    /// Returns the slot of a tick, on the lowest level whose current rotation covers it.
    fn slot_of(&self, tick: u64) -> usize {
        let differing_bits = tick ^ self.current_tick;
        let level = (63 - (differing_bits | 1).leading_zeros()) / SLOT_BITS;
        let level = (level as usize).min(LEVELS - 1);
        let shift = SLOT_BITS * level as u32;
        // A tick beyond the range of the last level goes to its farthest slot and is linked again from there.
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

    /// Returns a point in time before which no timer expires, or `None` if none is set. It may be earlier
    /// than the first expiry, if timers move to a finer level at that time.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.next_occupied_tick().map(|tick| Timestamp(tick as i64 * self.tick))
    }

    /// Returns the tick at which the next occupied slot of any level begins.
    fn next_occupied_tick(&self) -> Option<u64> {
        (0..LEVELS).filter_map(|level| self.next_occupied_tick_of_level(level)).min()
    }

    /// Returns the tick at which the next occupied slot of a level begins.
    fn next_occupied_tick_of_level(&self, level: usize) -> Option<u64> {
        let occupied = self.occupied[level];
        if occupied == 0 {
            return None;
        }
        let shift = SLOT_BITS * level as u32;
        let current_slot = self.current_tick >> shift;
        // The search starts at the slot after the current one.
        let first = ((current_slot + 1) % SLOTS as u64) as u32;
        let distance = occupied.rotate_right(first).trailing_zeros();
        Some((current_slot + 1 + u64::from(distance)) << shift)
    }

    /// Advances the wheel to `now` and appends the values of expired timers to `expired`, in the order of
    /// their ticks.
    pub fn advance(&mut self, now: Timestamp, expired: &mut Vec<T>) {
        let target = (now.0 / self.tick).max(0) as u64;
        while let Some(tick) = self.next_occupied_tick().filter(|tick| *tick <= target) {
            self.current_tick = tick;
            // Coarse levels first, because timers that move down from them may expire now.
            for level in (0..LEVELS).rev() {
                let shift = SLOT_BITS * level as u32;
                if tick & ((1 << shift) - 1) == 0 {
                    self.process_slot(level * SLOTS + (tick >> shift) as usize % SLOTS, expired);
                }
            }
        }
        self.current_tick = self.current_tick.max(target);
    }

    /// Removes all timers from a slot: expires those that are due and links the others again.
    fn process_slot(&mut self, slot: usize, expired: &mut Vec<T>) {
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
