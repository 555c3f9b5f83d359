//! Metrics of the messages between members of the fleet.

use crate::membership::DropReason;
use std::fmt::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

/// Message counters since the start of the process, and its current membership.
#[derive(Debug, Default)]
pub struct PeerMetrics {
    /// Number of messages sent, and their bytes.
    sent: [AtomicU64; 2],
    /// Number of messages received, and their bytes.
    received: [AtomicU64; 2],
    /// Number of dropped messages by [`DropReason`].
    dropped: [AtomicU64; DropReason::ALL.len()],
    unsent: AtomicU64,
    over_capacity: AtomicU64,
    epoch: AtomicU64,
    members: AtomicU64,
    fenced: AtomicBool,
}

fn count(messages_and_bytes: &[AtomicU64; 2], bytes: usize) {
    messages_and_bytes[0].fetch_add(1, Relaxed);
    messages_and_bytes[1].fetch_add(bytes as u64, Relaxed);
}

impl PeerMetrics {
    /// Counts a message of `bytes` bytes that is sent.
    pub fn record_sent(&self, bytes: usize) {
        count(&self.sent, bytes);
    }

    /// Counts a message of `bytes` bytes that was received.
    pub fn record_received(&self, bytes: usize) {
        count(&self.received, bytes);
    }

    /// Counts a message that was dropped for a reason.
    pub fn record_dropped(&self, reason: DropReason) {
        self.dropped[reason as usize].fetch_add(1, Relaxed);
    }

    /// Counts a message that could not be sent.
    pub fn record_unsent(&self) {
        self.unsent.fetch_add(1, Relaxed);
    }

    /// Counts a received message that was dropped because too many streams were open or too many messages
    /// waited.
    pub fn record_over_capacity(&self) {
        self.over_capacity.fetch_add(1, Relaxed);
    }

    /// Sets the epoch and size of the current view, and whether this process is fenced.
    pub fn set_membership(&self, epoch: u64, members: usize, fenced: bool) {
        self.epoch.store(epoch, Relaxed);
        self.members.store(members as u64, Relaxed);
        self.fenced.store(fenced, Relaxed);
    }

    /// Appends one line `gw.fleet.NAME=VALUE` for each metric to `lines`.
    pub fn write_metrics(&self, lines: &mut String) {
        let get = |counter: &AtomicU64| counter.load(Relaxed);
        let mut line = |name: &str, value: u64| _ = writeln!(lines, "gw.fleet.{name}={value}");
        line("epoch", get(&self.epoch));
        line("members", get(&self.members));
        line("fenced", u64::from(self.fenced.load(Relaxed)));
        line("sent", get(&self.sent[0]));
        line("sent_bytes", get(&self.sent[1]));
        line("received", get(&self.received[0]));
        line("received_bytes", get(&self.received[1]));
        line("unsent", get(&self.unsent));
        line("crowded", get(&self.over_capacity));
        for (reason, counter) in DropReason::ALL.iter().zip(&self.dropped) {
            line(&format!("dropped.{reason}"), get(counter));
        }
    }
}
