//! What the proxy has taken in, sent and answered.

use crate::interface::Outcome;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With a ledger host's value.
    Served,
    /// Turned away; trying again is harmless.
    Refused,
    /// Without an answer from a ledger host.
    Failed,
    /// The client left before.
    Left,
}

/// Running totals since the start.
#[derive(Debug, Default)]
pub struct Counters {
    clients: AtomicU64,
    taken: AtomicU64,
    malformed: AtomicU64,
    ended: [AtomicU64; 4],
    sent: AtomicU64,
    outcomes: [AtomicU64; 9],
    connects: AtomicU64,
    probes: AtomicU64,
    lists: AtomicU64,
}

const ENDS: [&str; 4] = ["served", "refused", "failed", "left"];
const OUTCOMES: [&str; 9] =
    ["ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss"];

fn add(counter: &AtomicU64) {
    counter.fetch_add(1, Relaxed);
}

impl Counters {
    /// A client has connected.
    pub fn client(&self) {
        add(&self.clients);
    }

    /// A request has been taken.
    pub fn taken(&self) {
        add(&self.taken);
    }

    /// A statement was answered with an error because it cannot be a request.
    pub fn malformed(&self) {
        add(&self.malformed);
    }

    /// A request has ended.
    pub fn ended(&self, how: Ended) {
        add(&self.ended[how as usize]);
    }

    /// An attempt has been handed to a ledger host.
    pub fn sent(&self) {
        add(&self.sent);
    }

    /// An attempt has ended.
    pub fn outcome(&self, outcome: Outcome) {
        add(&self.outcomes[outcome as usize]);
    }

    /// A connection to a ledger host is being opened.
    pub fn connect(&self) {
        add(&self.connects);
    }

    /// A ledger host is being probed.
    pub fn probe(&self) {
        add(&self.probes);
    }

    /// Discovery has told something.
    pub fn list(&self) {
        add(&self.lists);
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let get = |counter: &AtomicU64| counter.load(Relaxed);
        write!(
            f,
            "clients={} taken={} malformed={}",
            get(&self.clients),
            get(&self.taken),
            get(&self.malformed)
        )?;
        for (name, counter) in ENDS.iter().zip(&self.ended) {
            write!(f, " {name}={}", get(counter))?;
        }
        write!(f, " sent={}", get(&self.sent))?;
        for (name, counter) in OUTCOMES.iter().zip(&self.outcomes) {
            write!(f, " {name}={}", get(counter))?;
        }
        let (connects, probes, lists) = (get(&self.connects), get(&self.probes), get(&self.lists));
        write!(f, " connects={connects} probes={probes} lists={lists}")
    }
}
