//! Counters of clients, requests, attempts and hosts since the start of the process.
//!
//! The names in the output are part of the interface (`docs/operate/console.md`). The methods are named after
//! the events that they count.

use crate::interface::Outcome;
use crate::peer_metrics::PeerMetrics;
use crate::rejection_reason::{RejectionReason, REJECTION_REASONS};
use std::fmt;
use std::fmt::Write as _;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

#[cfg(test)]
mod tests;

/// Final state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A host's answer was sent.
    Served,
    /// The request was rejected: a retry is harmless.
    Rejected,
    /// The request failed without an answer of a host.
    Failed,
    /// The client disconnected before the answer.
    Disconnected,
}

/// Names of request ends in the line of totals, in the order of [`RequestEnd`].
const END_NAMES: [&str; 4] = ["served", "refused", "failed", "left"];
/// Names of request ends in the counters by class, in the order of [`RequestEnd`]. Disconnects are not
/// counted by class.
const CLASS_END_NAMES: [&str; 3] = ["succeeded", "declined", "aborted"];
/// Names of attempt outcomes in the line of totals, in the order of [`Outcome`].
const OUTCOME_NAMES: [&str; 10] =
    ["ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot", "miss", "stale"];

/// Counters of the requests of one class, by how they ended.
#[derive(Clone, Debug)]
struct ClassCounters {
    name: String,
    /// In the order of [`CLASS_END_NAMES`].
    ends: [u64; CLASS_END_NAMES.len()],
}

/// Counters since the start of the process, shared by all actors.
#[derive(Debug, Default)]
pub struct Counters {
    clients: AtomicU64,
    accepted_requests: AtomicU64,
    malformed_statements: AtomicU64,
    rejections: [AtomicU64; REJECTION_REASONS.len()],
    request_ends: [AtomicU64; END_NAMES.len()],
    sent_attempts: AtomicU64,
    outcomes: [AtomicU64; OUTCOME_NAMES.len()],
    upstream_connects: AtomicU64,
    health_checks: AtomicU64,
    endpoint_lists: AtomicU64,
    written_attempts: AtomicU64,
    pipelined_requests: AtomicU64,
    /// Counters by class index. Indices stay the same when the configuration is reloaded; new classes are
    /// appended.
    classes: Mutex<Vec<ClassCounters>>,
    listed_hosts: AtomicU64,
    ejected_hosts: AtomicU64,
    reloaded_configurations: AtomicU64,
    rejected_configurations: AtomicU64,
    /// Set in a process with peers.
    peers: OnceLock<Arc<PeerMetrics>>,
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Relaxed);
}

fn load(counter: &AtomicU64) -> u64 {
    counter.load(Relaxed)
}

impl Counters {
    /// Counts a client connection.
    pub fn client_connected(&self) {
        increment(&self.clients);
    }

    /// Counts a request that was accepted.
    pub fn request_accepted(&self) {
        increment(&self.accepted_requests);
    }

    /// Counts a statement that was answered with an error because it is not a valid request.
    pub fn statement_malformed(&self) {
        increment(&self.malformed_statements);
    }

    /// Counts a request that was started before earlier requests of its connection were answered.
    pub fn request_pipelined(&self) {
        increment(&self.pipelined_requests);
    }

    /// Counts a rejection of a request or connection.
    pub fn rejected(&self, reason: RejectionReason) {
        increment(&self.rejections[reason as usize]);
    }

    /// Counts the end of a request of the class with this index. If the class has no name, only the totals
    /// count it.
    pub fn request_ended(&self, end: RequestEnd, class: usize) {
        let end_index = end as usize;
        increment(&self.request_ends[end_index]);
        if let Some(class) = self.classes().get_mut(class) {
            if let Some(count) = class.ends.get_mut(end_index) {
                *count += 1;
            }
        }
    }

    /// Sets the names of the classes by index. Classes that exist keep their counts.
    pub fn set_classes<'a>(&self, names: impl IntoIterator<Item = &'a str>) {
        let mut classes = self.classes();
        for (index, name) in names.into_iter().enumerate() {
            match classes.get_mut(index) {
                Some(class) => name.clone_into(&mut class.name),
                None => classes.push(ClassCounters { name: name.to_owned(), ends: Default::default() }),
            }
        }
    }

    fn classes(&self) -> MutexGuard<'_, Vec<ClassCounters>> {
        self.classes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an attempt whose query was completely written to a host.
    pub fn attempt_written(&self) {
        increment(&self.written_attempts);
    }

    /// Sets the number of hosts in the endpoint list.
    pub fn set_listed_hosts(&self, hosts: usize) {
        self.listed_hosts.store(hosts as u64, Relaxed);
    }

    /// Sets the number of listed hosts that are ejected.
    pub fn set_ejected_hosts(&self, hosts: usize) {
        self.ejected_hosts.store(hosts as u64, Relaxed);
    }

    /// Counts a configuration that was applied at SIGHUP.
    pub fn configuration_reloaded(&self) {
        increment(&self.reloaded_configurations);
    }

    /// Counts a configuration that was rejected at SIGHUP.
    pub fn configuration_rejected(&self) {
        increment(&self.rejected_configurations);
    }

    /// Adds the metrics of the messages between peers; only the first call has an effect.
    pub fn set_peer_metrics(&self, metrics: Arc<PeerMetrics>) {
        let _ = self.peers.set(metrics);
    }

    /// Counts an attempt that was handed to a host's actor.
    pub fn attempt_sent(&self) {
        increment(&self.sent_attempts);
    }

    /// Counts the end of an attempt.
    pub fn attempt_ended(&self, outcome: Outcome) {
        increment(&self.outcomes[outcome as usize]);
    }

    /// Counts an attempt to connect to a host.
    pub fn upstream_connect_started(&self) {
        increment(&self.upstream_connects);
    }

    /// Counts a health check that is sent.
    pub fn health_check_sent(&self) {
        increment(&self.health_checks);
    }

    /// Counts an endpoint list, or an update of one, that was applied.
    pub fn endpoint_list_applied(&self) {
        increment(&self.endpoint_lists);
    }

    /// Returns the number of requests that were accepted and have not ended.
    pub fn outstanding(&self) -> u64 {
        let ended: u64 = self.request_ends.iter().map(load).sum();
        load(&self.accepted_requests).saturating_sub(ended)
    }

    /// Formats the metrics for the console: one line `gw.NAME=VALUE` each (see `docs/operate/console.md`).
    pub fn format_metrics(&self) -> String {
        let mut lines = String::new();
        self.write_class_metrics(&mut lines);
        let metrics = [
            ("forwards", load(&self.written_attempts)),
            ("pipelined", load(&self.pipelined_requests)),
            ("outstanding", self.outstanding()),
            ("discovered", load(&self.listed_hosts)),
            ("ejected", load(&self.ejected_hosts)),
            ("sighup_applied", load(&self.reloaded_configurations)),
            ("sighup_rejected", load(&self.rejected_configurations)),
        ];
        for (name, value) in metrics {
            let _ = writeln!(lines, "gw.{name}={value}");
        }
        for (reason, counter) in REJECTION_REASONS.iter().zip(&self.rejections) {
            let _ = writeln!(lines, "gw.turned.{reason}={}", load(counter));
        }
        if let Some(peers) = self.peers.get() {
            peers.write_metrics(&mut lines);
        }
        lines
    }

    fn write_class_metrics(&self, lines: &mut String) {
        // Several classes have the same name after a reload that changed its effect.
        let mut by_name: Vec<ClassCounters> = Vec::new();
        for class in self.classes().iter() {
            match by_name.iter_mut().find(|other| other.name == class.name) {
                Some(other) => other.ends.iter_mut().zip(class.ends).for_each(|(sum, count)| *sum += count),
                None => by_name.push(class.clone()),
            }
        }
        for ClassCounters { name: class, ends } in by_name {
            for (name, count) in CLASS_END_NAMES.iter().zip(ends) {
                let _ = writeln!(lines, "gw.results.{class}.{name}={count}");
            }
        }
    }
}

/// Formats the line of totals for the log: `NAME=VALUE` pairs separated by spaces.
impl fmt::Display for Counters {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "clients={} taken={} malformed={}",
            load(&self.clients),
            load(&self.accepted_requests),
            load(&self.malformed_statements)
        )?;
        for (name, counter) in END_NAMES.iter().zip(&self.request_ends) {
            write!(formatter, " {name}={}", load(counter))?;
        }
        write!(
            formatter,
            " pipelined={} sent={}",
            load(&self.pipelined_requests),
            load(&self.sent_attempts)
        )?;
        for (name, counter) in OUTCOME_NAMES.iter().zip(&self.outcomes) {
            write!(formatter, " {name}={}", load(counter))?;
        }
        write!(
            formatter,
            " connects={} probes={} lists={}",
            load(&self.upstream_connects),
            load(&self.health_checks),
            load(&self.endpoint_lists)
        )?;
        for (reason, counter) in REJECTION_REASONS.iter().zip(&self.rejections) {
            let count = load(counter);
            if count > 0 {
                write!(formatter, " turned_{reason}={count}")?;
            }
        }
        Ok(())
    }
}
