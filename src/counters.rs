//! What the proxy has taken in, sent and answered.

use crate::interface::Outcome;
use crate::peer_metrics::PeerMetrics;
use crate::rejection_reason::{RejectionReason, REJECTION_REASONS};
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, OnceLock};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With a ledger host's value.
    Served,
    /// Refused; trying again is harmless.
    Rejected,
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
    rejected: [AtomicU64; REJECTION_REASONS.len()],
    ended: [AtomicU64; 4],
    sent: AtomicU64,
    outcomes: [AtomicU64; 10],
    connects: AtomicU64,
    probes: AtomicU64,
    lists: AtomicU64,
    /// Attempts whose last byte was written to a ledger host.
    forwards: AtomicU64,
    /// Requests that ran while others ahead of them on their connection had no answer yet.
    pipelined: AtomicU64,
    /// Served, refused and failed requests by the number of their class, with its name: numbers stay at
    /// SIGHUP, and new classes come behind.
    classes: Mutex<Vec<(String, [u64; 3])>>,
    /// Ledger hosts in the list, and those of them that are avoided.
    discovered: AtomicU64,
    ejected: AtomicU64,
    /// Configuration files taken, and turned down, at SIGHUP.
    sighup: [AtomicU64; 2],
    /// Of the fleet, where this proxy is of one.
    fleet: OnceLock<Arc<PeerMetrics>>,
}

/// The operators' names of the ends that are counted by class, in the order of [`Ended`].
const DISPOSITIONS: [&str; 3] = ["succeeded", "declined", "aborted"];

const ENDS: [&str; 4] = ["served", "refused", "failed", "left"];
const OUTCOMES: [&str; 10] =
    ["ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss", "stale"];

fn add(counter: &AtomicU64) {
    counter.fetch_add(1, Relaxed);
}

impl Counters {
    /// A client has connected.
    pub fn client(&self) {
        add(&self.clients);
    }

    /// A request has been taken.
    pub fn request_accepted(&self) {
        add(&self.taken);
    }

    /// A statement was answered with an error because it cannot be a request.
    pub fn malformed(&self) {
        add(&self.malformed);
    }

    /// A request was started behind others on its connection.
    pub fn pipelined(&self) {
        add(&self.pipelined);
    }

    /// Something was turned away for that reason.
    pub fn rejected(&self, reason: RejectionReason) {
        add(&self.rejected[reason as usize]);
    }

    /// A request of the class of this number has ended; a class that was never named counts in the totals
    /// alone.
    pub fn ended(&self, how: Ended, class: usize) {
        add(&self.ended[how as usize]);
        // Who left may stand under any count, or none: here under none.
        let column = how as usize;
        let mut classes = self.classes.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if let Some((_, counts)) = classes.get_mut(class).filter(|_| column < DISPOSITIONS.len()) {
            counts[column] += 1;
        }
    }

    /// Names the classes by number, as the settings do; those that were counted before keep their counts, and
    /// new ones start at zero.
    pub fn classes<'a>(&self, names: impl IntoIterator<Item = &'a str>) {
        let mut classes = self.classes.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        for (number, name) in names.into_iter().enumerate() {
            match classes.get_mut(number) {
                Some((named, _)) => name.clone_into(named),
                None => classes.push((name.to_owned(), [0; 3])),
            }
        }
    }

    /// The last byte of an attempt has been written to a ledger host.
    pub fn forwarded(&self) {
        add(&self.forwards);
    }

    /// The list now names so many ledger hosts.
    pub fn discovered(&self, hosts: usize) {
        self.discovered.store(hosts as u64, Relaxed);
    }

    /// So many of them are avoided.
    pub fn ejected(&self, hosts: usize) {
        self.ejected.store(hosts as u64, Relaxed);
    }

    /// A configuration file was taken at SIGHUP, or turned down.
    pub fn sighup(&self, applied: bool) {
        add(&self.sighup[usize::from(!applied)]);
    }

    /// This proxy is of a fleet, of which that is counted.
    pub fn fleet(&self, tally: Arc<PeerMetrics>) {
        let _ = self.fleet.set(tally);
    }

    /// Requests that were taken and have not ended.
    pub fn outstanding(&self) -> u64 {
        let ended: u64 = self.ended.iter().map(|count| count.load(Relaxed)).sum();
        self.taken.load(Relaxed).saturating_sub(ended)
    }

    /// The figures in the operators' form, `gw.NAME=VALUE` a line (see `docs/operate/console.md`).
    pub fn figures(&self) -> String {
        use fmt::Write;
        let get = |counter: &AtomicU64| counter.load(Relaxed);
        let mut out = String::new();
        let classes = self.classes.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        for (class, counts) in classes.iter() {
            for (name, count) in DISPOSITIONS.iter().zip(counts) {
                let _ = writeln!(out, "gw.results.{class}.{name}={count}");
            }
        }
        drop(classes);
        let outstanding = self.outstanding();
        let [applied, rejected] = [get(&self.sighup[0]), get(&self.sighup[1])];
        let _ = writeln!(out, "gw.forwards={}", get(&self.forwards));
        let _ = writeln!(out, "gw.pipelined={}", get(&self.pipelined));
        let _ = writeln!(out, "gw.outstanding={outstanding}");
        let _ = writeln!(out, "gw.discovered={}", get(&self.discovered));
        let _ = writeln!(out, "gw.ejected={}", get(&self.ejected));
        let _ = writeln!(out, "gw.sighup_applied={applied}");
        let _ = writeln!(out, "gw.sighup_rejected={rejected}");
        for (reason, counter) in REJECTION_REASONS.iter().zip(&self.rejected) {
            let _ = writeln!(out, "gw.turned.{reason}={}", get(counter));
        }
        if let Some(fleet) = self.fleet.get() {
            fleet.figures(&mut out);
        }
        out
    }

    /// An attempt has been handed to a ledger host.
    pub fn attempt_sent(&self) {
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
    pub fn health_check(&self) {
        add(&self.probes);
    }

    /// Discovery has told something.
    pub fn endpoint_list(&self) {
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
        write!(f, " pipelined={} sent={}", get(&self.pipelined), get(&self.sent))?;
        for (name, counter) in OUTCOMES.iter().zip(&self.outcomes) {
            write!(f, " {name}={}", get(counter))?;
        }
        let (connects, probes, lists) = (get(&self.connects), get(&self.probes), get(&self.lists));
        write!(f, " connects={connects} probes={probes} lists={lists}")?;
        let turned =
            REJECTION_REASONS.iter().zip(&self.rejected).map(|(reason, counter)| (reason, get(counter)));
        turned.filter(|(_, n)| *n > 0).try_for_each(|(reason, n)| write!(f, " turned_{reason}={n}"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn figure(counters: &Counters, name: &str) -> Option<u64> {
        let text = counters.figures();
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("gw.{name}=")))?;
        line.parse().ok()
    }

    #[test]
    fn each_class_counts_its_own_ends_under_the_operators_names() {
        let counters = Counters::default();
        counters.classes(["read", "write"]);
        for (how, class) in [(Ended::Served, 0), (Ended::Served, 0), (Ended::Rejected, 1)] {
            counters.request_accepted();
            counters.ended(how, class);
        }
        counters.classes(["read", "write", "report"]);
        counters.request_accepted();
        counters.ended(Ended::Failed, 2);
        assert_eq!(figure(&counters, "results.read.succeeded"), Some(2));
        assert_eq!(figure(&counters, "results.read.declined"), Some(0));
        assert_eq!(figure(&counters, "results.write.declined"), Some(1));
        assert_eq!(figure(&counters, "results.write.succeeded"), Some(0));
        assert_eq!(figure(&counters, "results.report.aborted"), Some(1));
        assert_eq!(figure(&counters, "outstanding"), Some(0));
    }

    #[test]
    fn what_is_taken_and_not_ended_is_outstanding_and_who_left_is_under_no_class() {
        let counters = Counters::default();
        for _ in 0..3 {
            counters.request_accepted();
        }
        counters.classes(["read"]);
        counters.ended(Ended::Left, 0);
        assert_eq!(figure(&counters, "outstanding"), Some(2));
        assert_eq!(figure(&counters, "results.read.succeeded"), Some(0));
        assert_eq!(figure(&counters, "results.read.aborted"), Some(0));
    }

    #[test]
    fn forwards_list_and_sighup_are_told_as_they_stand() {
        let counters = Counters::default();
        counters.forwarded();
        counters.discovered(12);
        counters.discovered(10);
        counters.ejected(1);
        counters.sighup(true);
        counters.sighup(false);
        counters.sighup(false);
        let figures: Vec<_> = ["forwards", "discovered", "ejected", "sighup_applied", "sighup_rejected"]
            .map(|n| figure(&counters, n))
            .into();
        assert_eq!(figures, [Some(1), Some(10), Some(1), Some(1), Some(2)]);
    }
}
