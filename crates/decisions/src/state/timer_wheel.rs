//! A hierarchical timing wheel (Varghese, Lauck 1987) for waits of which most are cancelled: those of open requests.
//!
//! Six levels of 64 slots, each 64 times as coarse as the one below; entries in a slab, linked in both directions, so
//! that setting and cancelling take the same time whatever the number of waits. Timestamp is an argument.

use crate::interface::Timestamp;

const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
const LEVELS: usize = 6;
const NONE: u32 = u32::MAX;

/// A wait that has been set; good for one cancelling.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerKey {
    entry: u32,
    /// Tells a slab entry's successive uses apart.
    epoch: u32,
}

#[derive(Clone, Debug)]
struct Entry<T> {
    /// None while the entry is free.
    value: Option<T>,
    at: u64,
    slot: u16,
    epoch: u32,
    before: u32,
    /// The next one of the slot, or of the free entries.
    after: u32,
}

/// The wheel.
#[derive(Clone, Debug)]
pub struct TimerWheel<T> {
    entries: Vec<Entry<T>>,
    free: u32,
    /// The first entry of each slot, level by level.
    slots: Box<[u32]>,
    /// Which slots of a level hold anything.
    held: [u64; LEVELS],
    /// Length of a tick in microseconds.
    tick: i64,
    /// Ticks that have passed.
    now: u64,
    length: usize,
}

impl<T> TimerWheel<T> {
    /// An empty wheel whose waits are exact to a tick of so many microseconds: they end late by up to one, never early.
    pub fn new(tick: Timestamp, start: Timestamp) -> Self {
        let tick = tick.0.max(1);
        Self {
            entries: Vec::new(),
            free: NONE,
            slots: vec![NONE; SLOTS * LEVELS].into(),
            held: [0; LEVELS],
            tick,
            now: (start.0 / tick).max(0) as u64,
            length: 0,
        }
    }

    /// Waits that are set.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Sets a wait that ends then.
    pub fn set(&mut self, at: Timestamp, value: T) -> TimerKey {
        let at = (at.0.max(0) as u64).div_ceil(self.tick as u64).max(self.now + 1);
        let entry = match self.free {
            NONE => {
                self.entries.push(Entry { value: None, at, slot: 0, epoch: 0, before: NONE, after: NONE });
                (self.entries.len() - 1) as u32
            }
            free => {
                self.free = self.entries[free as usize].after;
                free
            }
        };
        let one = &mut self.entries[entry as usize];
        (one.value, one.at) = (Some(value), at);
        let epoch = one.epoch;
        self.link(entry);
        self.length += 1;
        TimerKey { entry, epoch }
    }

    /// Cancels a wait; its value, unless it has ended.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        let entry = self.entries.get(key.entry as usize)?;
        if entry.epoch != key.epoch || entry.value.is_none() {
            return None;
        }
        self.unlink(key.entry);
        self.release(key.entry)
    }

    fn release(&mut self, entry: u32) -> Option<T> {
        let free = self.free;
        let one = &mut self.entries[entry as usize];
        one.epoch = one.epoch.wrapping_add(1);
        one.after = free;
        self.free = entry;
        self.length -= 1;
        one.value.take()
    }

    /// The slot of a tick: on the lowest level whose turn, counted from now, reaches it.
    fn slot(&self, at: u64) -> usize {
        let differs = at ^ self.now;
        let level = (63 - (differs | 1).leading_zeros()) / BITS;
        let level = (level as usize).min(LEVELS - 1);
        let shift = BITS * level as u32;
        // What lies beyond the last level waits in its farthest slot, and is set again from there.
        let reach = self.now.saturating_add((SLOTS as u64 - 1) << shift);
        let at = if level == LEVELS - 1 { at.min(reach) } else { at };
        level * SLOTS + (at >> shift) as usize % SLOTS
    }

    fn link(&mut self, entry: u32) {
        let slot = self.slot(self.entries[entry as usize].at);
        let first = std::mem::replace(&mut self.slots[slot], entry);
        let one = &mut self.entries[entry as usize];
        (one.slot, one.before, one.after) = (slot as u16, NONE, first);
        if first != NONE {
            self.entries[first as usize].before = entry;
        }
        self.held[slot / SLOTS] |= 1 << (slot % SLOTS);
    }

    fn unlink(&mut self, entry: u32) {
        let Entry { slot, before, after, .. } = self.entries[entry as usize];
        if after != NONE {
            self.entries[after as usize].before = before;
        }
        match before {
            NONE => self.slots[usize::from(slot)] = after,
            before => self.entries[before as usize].after = after,
        }
        if self.slots[usize::from(slot)] == NONE {
            self.held[usize::from(slot) / SLOTS] &= !(1 << (slot as usize % SLOTS));
        }
    }

    /// A moment by which nothing ends before; none if nothing is set. It may be earlier than the first end: at that
    /// moment waits come nearer.
    pub fn next(&self) -> Option<Timestamp> {
        let nearest = (0..LEVELS).filter_map(|level| self.turn(level)).min()?;
        Some(Timestamp(nearest as i64 * self.tick))
    }

    /// The tick at which a level's next slot with anything in it begins.
    fn turn(&self, level: usize) -> Option<u64> {
        let held = self.held[level];
        if held == 0 {
            return None;
        }
        let shift = BITS * level as u32;
        let here = self.now >> shift;
        // The slots in the order in which they come: the one behind the present first.
        let ahead = held.rotate_right(((here + 1) % SLOTS as u64) as u32).trailing_zeros();
        Some((here + 1 + u64::from(ahead)) << shift)
    }

    /// Ends the waits up to a moment, in the order of their ticks.
    pub fn advance(&mut self, to: Timestamp, ended: &mut Vec<T>) {
        let to = (to.0 / self.tick).max(0) as u64;
        while let Some(turn) =
            (0..LEVELS).filter_map(|level| self.turn(level)).min().filter(|turn| *turn <= to)
        {
            self.now = turn;
            // The coarse levels first: what comes down from them may be due now.
            for level in (0..LEVELS).rev() {
                let shift = BITS * level as u32;
                if turn & ((1 << shift) - 1) == 0 {
                    self.empty(level * SLOTS + (turn >> shift) as usize % SLOTS, ended);
                }
            }
        }
        self.now = self.now.max(to);
    }

    fn empty(&mut self, slot: usize, ended: &mut Vec<T>) {
        let mut entry = std::mem::replace(&mut self.slots[slot], NONE);
        self.held[slot / SLOTS] &= !(1 << (slot % SLOTS));
        while entry != NONE {
            let Entry { at, after, .. } = self.entries[entry as usize];
            if at <= self.now {
                ended.extend(self.release(entry));
            } else {
                self.link(entry);
            }
            entry = after;
        }
    }
}
