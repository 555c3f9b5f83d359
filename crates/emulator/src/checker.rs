//! Checker of the rules that proxies have to keep. It judges only what hosts, discovery and clients observe,
//! and is independent of the proxy's decisions.

use crate::spec::{Discovery, Spec};
use crate::world::{Reply, Status};
use crate::{Micros, MS, SECOND};
use std::collections::{HashMap, HashSet};
use std::fmt;

/// Tolerance added to each time limit, for the delays of real sockets.
const TIME_TOLERANCE: Micros = 50 * MS;

/// Time after its publication from which a change in discovery counts as known to each proxy.
const DISCOVERY_KNOWN_AFTER: Micros = 6 * SECOND;

/// Time after an answer was written from which its information counts as known to the proxy.
const ANSWER_KNOWN_AFTER: Micros = 100 * MS;

/// Rule that proxies have to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets exactly one final answer, in time.
    Answer,
    /// A served value is the one that was made for the request.
    Value,
    /// No new request is sent to a host that drains or was removed once the drain grace is over.
    Drain,
    /// No cold host crashes because it is sent too much.
    Cold,
    /// No read is answered from data older than its class allows.
    Stale,
    /// No idempotency key is recorded twice.
    Key,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answer => "one final answer",
            Self::Value => "the value made for it",
            Self::Drain => "drains kept",
            Self::Cold => "no cold host pushed over",
            Self::Stale => "no stale read",
            Self::Key => "no key twice",
        })
    }
}

/// All rules.
pub const RULES: [Rule; 6] = [Rule::Answer, Rule::Value, Rule::Drain, Rule::Cold, Rule::Stale, Rule::Key];

/// Violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The rule that was broken.
    pub rule: Rule,
    /// A description of the violation.
    pub description: String,
}

/// One run of a proxy process, from its start to its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProxyIncarnation {
    /// The number of the process.
    pub process: usize,
    /// The number of this run of the process.
    pub incarnation: u32,
}

impl fmt::Display for ProxyIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "p{}.{}", self.process, self.incarnation)
    }
}

/// Freshness of the answers that hosts gave to the attempts of one read.
#[derive(Clone, Debug, Default)]
struct ReadAnswers {
    /// Whether at least one answer was fresh enough.
    has_fresh: bool,
    /// The host of an answer that was too old, and by how much.
    stale: Option<(usize, Micros)>,
}

/// Checker of the proxies of one deployment.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    /// Whether several proxies share the deployment.
    is_shared: bool,
    /// The time after a host started to drain or was removed from which it may not get new requests.
    drain_grace: Micros,
    /// For each host that drains or was removed, the time at which discovery told the proxy.
    leaving: HashMap<usize, Micros>,
    /// For each open request, the time at which its client stops waiting.
    open: HashMap<String, Micros>,
    answered: HashMap<String, u32>,
    /// The process to which each request's client sent it. Used if several proxies share the deployment.
    proxies: HashMap<String, ProxyIncarnation>,
    /// The hosts that have been primary.
    known_primaries: HashSet<usize>,
    /// The time at which a former primary first told a process that it no longer is the primary.
    demotions: HashMap<(ProxyIncarnation, usize), Micros>,
    /// The longest pause of each process that is paused now and then. A process cannot read messages during a
    /// pause.
    pauses: HashMap<usize, Micros>,
    /// The freshness of the answers to each open read.
    reads: HashMap<String, ReadAnswers>,
    /// The number of times that each rule was checked.
    checks: HashMap<Rule, u64>,
    breaches: Vec<Breach>,
}

impl Checker {
    /// Creates a checker for a single proxy, with the rules of a deployment.
    pub fn new(spec: &Spec) -> Self {
        Self { drain_grace: spec.drain_grace, ..Self::default() }
    }

    /// Creates a checker for several proxies that share a deployment. Each attempt is attributed to the
    /// process that [`Self::request_sent_to`] named for its request; without a name, a read is excused at a
    /// host that has been primary. The checker does not know which process was told of a drain: if proxies
    /// poll for changes, a drain counts as known only after the time within which each proxy must know it.
    pub fn shared(spec: &Spec) -> Self {
        let is_polled = matches!(spec.discovery, Discovery::Polled { .. });
        let known_after = if is_polled { DISCOVERY_KNOWN_AFTER } else { 0 };
        Self { is_shared: true, drain_grace: spec.drain_grace + known_after, ..Self::default() }
    }

    fn check(&mut self, rule: Rule, is_kept: bool, description: impl FnOnce() -> String) {
        *self.checks.entry(rule).or_default() += 1;
        if !is_kept {
            self.breaches.push(Breach { rule, description: description() });
        }
    }

    /// Records that discovery has written a host's status to the proxy.
    pub fn status_reported(&mut self, now: Micros, host: usize, status: Status) {
        match status {
            Status::Up => drop(self.leaving.remove(&host)),
            Status::Draining | Status::Removed => drop(self.leaving.entry(host).or_insert(now)),
        }
    }

    /// Records that an attempt has arrived at a host, and checks the drain rule.
    pub fn sent(&mut self, now: Micros, host: usize, id: &str) {
        let late =
            self.leaving.get(&host).is_some_and(|since| now - since > self.drain_grace + TIME_TOLERANCE);
        self.check(Rule::Drain, !late, || format!("{id} was sent to host {host} after its drain grace"));
    }

    /// Records that a cold host has crashed because it was sent too much.
    pub fn cold_host_crashed(&mut self, host: usize) {
        self.check(Rule::Cold, false, || format!("cold host {host} crashed"));
    }

    /// Records an attempt at a cold host, which counts as a check of [`Rule::Cold`].
    pub fn cold_host_checked(&mut self) {
        self.check(Rule::Cold, true, String::new);
    }

    /// Records that a key was recorded again.
    pub fn key_recorded_again(&mut self, key: &str) {
        self.check(Rule::Key, false, || format!("key {key} is recorded twice"));
    }

    /// Records that a host is the primary of its group. Earlier reports that it is not the primary no longer
    /// count.
    pub fn seen_as_primary(&mut self, host: usize) {
        self.known_primaries.insert(host);
        self.demotions.retain(|(_, demoted), _| *demoted != host);
    }

    /// Records the process to which a request's client sends it.
    pub fn request_sent_to(&mut self, id: &str, proxy: ProxyIncarnation) {
        self.proxies.insert(id.to_owned(), proxy);
    }

    /// Records that a process is paused for up to `span` now and then.
    pub fn process_pauses(&mut self, process: usize, span: Micros) {
        self.pauses.insert(process, span);
    }

    /// Returns the process that makes the attempts of a request, if it is known.
    fn proxy_of(&self, id: &str) -> Option<ProxyIncarnation> {
        match self.is_shared {
            true => self.proxies.get(id).copied(),
            false => Some(ProxyIncarnation::default()),
        }
    }

    /// Records that a host has stated its role in an answer to the process that attempts the request, whether
    /// or not the answer arrives.
    pub fn role_reported(&mut self, now: Micros, host: usize, id: &str, is_primary: bool) {
        let Some(proxy) = self.proxy_of(id).filter(|_| !is_primary && self.known_primaries.contains(&host))
        else {
            return;
        };
        self.demotions.entry((proxy, host)).or_insert(now);
    }

    /// Returns whether an attempt that arrived at a host at the time `arrived` may rely on the host's former
    /// role: the host has been the primary, and the process had not been told otherwise in time.
    fn is_excused(&self, host: usize, arrived: Micros, id: &str) -> bool {
        let known_at = self.proxy_of(id).and_then(|proxy| {
            let pause = self.pauses.get(&proxy.process).copied().unwrap_or(0);
            Some(self.demotions.get(&(proxy, host))? + ANSWER_KNOWN_AFTER + pause)
        });
        self.known_primaries.contains(&host) && known_at.is_none_or(|at| arrived < at)
    }

    /// Records that a read has arrived completely at a host that has applied the log up to `position`, while
    /// the read needs `needed`. The send is checked on its own, as the answer may never arrive.
    pub fn read_sent(&mut self, now: Micros, host: usize, id: &str, position: Micros, needed: Micros) {
        let excused = self.is_excused(host, now, id);
        let sender = self.proxy_of(id).unwrap_or_default();
        self.check(Rule::Stale, excused || position + TIME_TOLERANCE >= needed, || {
            format!("{id} was sent by {sender} at {now} to host {host}, {} us too old", needed - position)
        });
    }

    /// Records a host's reply to an attempt that arrived at the time `arrived`. A read at a former primary is
    /// excused until the proxy could know of the change of role.
    pub fn replied(&mut self, host: usize, arrived: Micros, id: &str, reply: &Reply) {
        let Reply::Served { position, needed, .. } = reply else { return };
        let Some(needed) = needed else { return self.check(Rule::Key, true, String::new) };
        let answers = self.reads.entry(id.to_owned()).or_default();
        match position + TIME_TOLERANCE >= *needed {
            true => answers.has_fresh = true,
            false => answers.stale = Some((host, needed - position)),
        }
        let excused = self.is_excused(host, arrived, id);
        // With several processes, the time of an attempt is its arrival at a busy host, after its last byte
        // was sent.
        let slack = if self.is_shared { TIME_TOLERANCE } else { 0 };
        self.check(Rule::Stale, excused || position + slack >= *needed, || {
            format!("{id} was read at host {host}, {} us too old", needed - position)
        });
    }

    /// Checks a read whose answer a client was served. Each answer states the host's position and role, so a
    /// former role does not excuse it. The checker does not know which of several answers was served; one
    /// fresh answer suffices.
    fn read_served(&mut self, id: &str) {
        let Some(ReadAnswers { has_fresh, stale }) = self.reads.remove(id) else { return };
        let sender = self.proxy_of(id).unwrap_or_default();
        self.check(Rule::Stale, has_fresh || stale.is_none(), || {
            let (host, excess) = stale.unwrap_or_default();
            format!("{id} was served by {sender} from host {host}, {excess} us too old")
        });
    }

    /// Records that a client has sent a request and waits for the answer until the given time.
    pub fn asked(&mut self, id: &str, until: Micros) {
        self.open.insert(id.to_owned(), until);
    }

    /// Records that a client has received its answer. `served` holds the received value and the expected
    /// value, if a value was served.
    pub fn answered(&mut self, now: Micros, id: &str, served: Option<(&[u8], &str)>) {
        let times = self.answered.entry(id.to_owned()).or_default();
        *times += 1;
        let times = *times;
        let until = self.open.remove(id);
        let in_time = until.is_some_and(|until| now <= until + TIME_TOLERANCE);
        self.check(Rule::Answer, in_time && times == 1, || match until {
            Some(until) => format!("{id} was answered {} us late", now - until),
            None => format!("{id} was answered {times} times, or was never sent"),
        });
        if served.is_some() {
            self.read_served(id);
        }
        if let Some((value, expected)) = served {
            self.check(Rule::Value, value == expected.as_bytes(), || {
                format!("{id} was served another's value")
            });
        }
    }

    /// Records that a client's connection has ended without an answer.
    pub fn lost(&mut self, id: &str) {
        self.open.remove(id);
        self.check(Rule::Answer, false, || format!("{id} has no answer"));
    }

    /// Records that a request was never sent, so that no answer is due.
    pub fn withdrawn(&mut self, id: &str) {
        self.open.remove(id);
    }

    /// Ends the run: requests that are still open count as unanswered.
    pub fn end(&mut self) {
        let mut open: Vec<String> = self.open.keys().cloned().collect();
        open.sort();
        open.iter().for_each(|id| self.lost(id));
    }

    /// Returns how often a rule was checked, and how often it was broken.
    pub fn verdict(&self, rule: Rule) -> (u64, usize) {
        let broken = self.breaches.iter().filter(|breach| breach.rule == rule).count();
        (self.checks.get(&rule).copied().unwrap_or(0), broken)
    }

    /// Returns the violations, in the order in which they were found.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }
}
