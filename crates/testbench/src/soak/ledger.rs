//! Records what clients saw and what processes did, on one monotonic clock, and checks the rules that need
//! nothing else: each request that a process has read gets one answer in time, and a process that was told to
//! drain or to end holds no connection beyond the time allowed.

use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;
use wheelpier_emulator::checker::ProxyIncarnation;

/// The delay beyond its deadline after which an answer counts as lost.
const MAX_DELAY: Duration = Duration::from_millis(500);
/// A connection counts as held despite an outstanding request if it sent something later than this after the
/// order to drain.
const LAST_SEND_ALLOWED: Duration = Duration::from_secs(2);

/// One run of a process, from its start to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessRun {
    pub process: usize,
    pub number: u32,
}

impl From<ProcessRun> for ProxyIncarnation {
    fn from(run: ProcessRun) -> Self {
        Self { process: run.process, incarnation: run.number }
    }
}

/// A client's connection.
#[derive(Clone, Debug)]
pub struct Connection {
    pub run: ProcessRun,
    pub last_sent: Instant,
    /// Requests that were written completely and have no answer yet.
    pub outstanding: usize,
}

/// The way in which a process ended, or failed to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProcessEnd {
    /// It exited in time with status 0. Its log reports these counts: requests that it has taken and
    /// answered.
    Exited { taken: u64, answered: u64 },
    /// It was still running when an operator's SIGKILL would have been due.
    Late,
    /// It was killed by the soak, without a SIGTERM first.
    Killed,
    /// It exited with a status other than 0, was ended by a signal, or did not report its counts.
    Crashed(String),
}

/// The violations found, by rule.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    pub requests: u64,
    pub lost: Vec<String>,
    pub duplicated: Vec<String>,
    pub stale: Vec<String>,
    pub held: Vec<String>,
    pub crashes: Vec<String>,
    pub broken: Vec<String>,
}

impl Findings {
    /// Returns all findings, each with the name of its rule.
    pub fn all(&self) -> impl Iterator<Item = (&'static str, &String)> {
        let rules = [
            ("lost", &self.lost),
            ("duplicated", &self.duplicated),
            ("stale", &self.stale),
            ("held", &self.held),
            ("crash", &self.crashes),
            ("broken", &self.broken),
        ];
        rules.into_iter().flat_map(|(rule, found)| found.iter().map(move |what| (rule, what)))
    }

    /// Returns whether there are no findings.
    pub fn is_clean(&self) -> bool {
        self.all().next().is_none()
    }

    /// Adds the findings of another seed.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.lost.extend(other.lost);
        self.duplicated.extend(other.duplicated);
        self.stale.extend(other.stale);
        self.held.extend(other.held);
        self.crashes.extend(other.crashes);
        self.broken.extend(other.broken);
    }
}

/// Records the events of a soak and checks them against its rules.
#[derive(Debug, Default)]
pub struct SoakChecker {
    connections: BTreeMap<u64, Connection>,
    last_connection: u64,
    /// Answers that clients received from each process run.
    answers: BTreeMap<ProcessRun, u64>,
    /// Answers without a value, of those in `answers`.
    refusals: BTreeMap<ProcessRun, u64>,
    pub findings: Findings,
}

impl SoakChecker {
    /// Records that a client has opened a session. Returns the number of its connection.
    pub fn opened(&mut self, run: ProcessRun, now: Instant) -> u64 {
        self.last_connection += 1;
        self.connections.insert(self.last_connection, Connection { run, last_sent: now, outstanding: 0 });
        self.last_connection
    }

    /// Records a request that is written completely.
    pub fn sent(&mut self, connection: u64, now: Instant) {
        self.findings.requests += 1;
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.last_sent = now;
            connection.outstanding += 1;
        }
    }

    /// Records that a client writes something other than a valid request.
    pub fn sent_other(&mut self, connection: u64, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.last_sent = now;
        }
    }

    /// Records an answer. Returns whether it came too late.
    pub fn answered(&mut self, connection: u64, id: &str, due: Instant, now: Instant) -> bool {
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.outstanding = connection.outstanding.saturating_sub(1);
            *self.answers.entry(connection.run).or_default() += 1;
        }
        let is_late = now > due + MAX_DELAY;
        if is_late {
            self.findings
                .lost
                .push(format!("{id} was answered {} ms after its deadline", (now - due).as_millis()));
        }
        is_late
    }

    /// Records an answer without a value.
    pub fn record_refusal(&mut self, run: ProcessRun) {
        *self.refusals.entry(run).or_default() += 1;
    }

    /// Checks that each process run has served at least half of the requests that it answered. This applies
    /// only to scenarios in which nothing keeps a process from serving.
    pub fn check_served_half(&mut self) {
        for (run, answers) in &self.answers {
            let refusals = self.refusals.get(run).copied().unwrap_or(0);
            if 2 * refusals > *answers {
                let ProcessRun { process, number } = run;
                let what = format!("p{process}.{number} did not serve {refusals} of {answers} reads");
                self.findings.broken.push(what);
            }
        }
    }

    /// Records that a connection ended with these requests unanswered. They count as lost, except if the
    /// process was told to drain or end, or died: then it may never have read them, and a request that it did
    /// read shows in the counts that it reports as it ends.
    pub fn closed(&mut self, connection: u64, unanswered: &[String], is_interrupted: bool) {
        let Some(closed) = self.connections.remove(&connection) else { return };
        if !is_interrupted {
            let (process, number) = (closed.run.process, closed.run.number);
            let lost = unanswered.iter().map(|id| format!("{id}: p{process}.{number} closed its connection"));
            self.findings.lost.extend(lost);
        }
    }

    /// Checks that a process holds no connection that it should have closed. It is called when the time
    /// allowed after the order to drain is over.
    pub fn check_nothing_held(&mut self, run: ProcessRun, ordered: Instant) {
        let is_held = |c: &Connection| c.outstanding == 0 || c.last_sent > ordered + LAST_SEND_ALLOWED;
        let held = self.connections.iter().filter(|(_, c)| c.run == run && is_held(c));
        let held = held.map(|(number, c)| {
            let since = c.last_sent.saturating_duration_since(ordered).as_millis();
            let ProcessRun { process, number: run_number } = run;
            format!(
                "p{process}.{run_number} holds connection {number}, {} requests outstanding, \
                 last used {since} ms after the order",
                c.outstanding
            )
        });
        self.findings.held.extend(held);
    }

    /// Records that a process run has ended.
    pub fn ended(&mut self, run: ProcessRun, end: &ProcessEnd) {
        let ProcessRun { process, number } = run;
        match end {
            ProcessEnd::Killed => {}
            ProcessEnd::Late => {
                self.findings.held.push(format!("p{process}.{number} still ran when SIGKILL was due"))
            }
            ProcessEnd::Crashed(how) => self.findings.crashes.push(format!("p{process}.{number}: {how}")),
            ProcessEnd::Exited { taken, answered } => {
                let received = self.answers.get(&run).copied().unwrap_or(0);
                if taken != answered {
                    let what = format!("p{process}.{number} took {taken} requests and answered {answered}");
                    self.findings.lost.push(what);
                } else if received != *answered {
                    let what =
                        format!("p{process}.{number} answered {answered} requests, clients got {received}");
                    self.findings.lost.push(what);
                }
            }
        }
    }

    /// Records that a process was not ready in time after its start.
    pub fn not_ready(&mut self, run: ProcessRun) {
        self.findings.broken.push(format!("p{}.{} was not ready in time", run.process, run.number));
    }
}

#[cfg(test)]
mod tests;
