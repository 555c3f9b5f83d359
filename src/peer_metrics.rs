//! What is counted of the fleet's messages.

use crate::membership::DropReason;
use std::fmt::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

/// Running totals since the start, and where this process stands.
#[derive(Debug, Default)]
pub struct PeerMetrics {
    sent: [AtomicU64; 2],
    received: [AtomicU64; 2],
    dropped: [AtomicU64; DropReason::ALL.len()],
    unsent: AtomicU64,
    crowded: AtomicU64,
    epoch: AtomicU64,
    members: AtomicU64,
    fenced: AtomicBool,
}

fn count(pair: &[AtomicU64; 2], bytes: usize) {
    pair[0].fetch_add(1, Relaxed);
    pair[1].fetch_add(bytes as u64, Relaxed);
}

impl PeerMetrics {
    /// A message of so many bytes goes out.
    pub fn sent(&self, bytes: usize) {
        count(&self.sent, bytes);
    }

    /// One has come.
    pub fn received(&self, bytes: usize) {
        count(&self.received, bytes);
    }

    /// One was dropped for that reason.
    pub fn dropped(&self, reason: DropReason) {
        self.dropped[reason as usize].fetch_add(1, Relaxed);
    }

    /// One could not be sent.
    pub fn unsent(&self) {
        self.unsent.fetch_add(1, Relaxed);
    }

    /// One found no room here.
    pub fn crowded(&self) {
        self.crowded.fetch_add(1, Relaxed);
    }

    /// Where this process stands.
    pub fn stands(&self, epoch: u64, members: usize, fenced: bool) {
        self.epoch.store(epoch, Relaxed);
        self.members.store(members as u64, Relaxed);
        self.fenced.store(fenced, Relaxed);
    }

    /// The figures, `gw.fleet.NAME=VALUE` a line.
    pub fn write_metrics(&self, out: &mut String) {
        let get = |counter: &AtomicU64| counter.load(Relaxed);
        let mut line = |name: &str, value: u64| _ = writeln!(out, "gw.fleet.{name}={value}");
        line("epoch", get(&self.epoch));
        line("members", get(&self.members));
        line("fenced", u64::from(self.fenced.load(Relaxed)));
        line("sent", get(&self.sent[0]));
        line("sent_bytes", get(&self.sent[1]));
        line("received", get(&self.received[0]));
        line("received_bytes", get(&self.received[1]));
        line("unsent", get(&self.unsent));
        line("crowded", get(&self.crowded));
        for (reason, counter) in DropReason::ALL.iter().zip(&self.dropped) {
            line(&format!("dropped.{reason}"), get(counter));
        }
    }
}
