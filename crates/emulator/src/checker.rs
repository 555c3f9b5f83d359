//! The rules, judged by what crossed the stand-ins' sockets. It knows nothing of how a proxy decides.

use crate::spec::{Discovery, Spec};
use crate::world::{Reply, Status};
use crate::{Micros, MS, SECOND};
use std::collections::HashMap;
use std::fmt;

/// Every time limit is so much longer on sockets.
const SLACK: Micros = 50 * MS;

/// Whatever discovery has to tell counts as told to each proxy so long after it could be had.
const KNOWN_TO_ALL: Micros = 6 * SECOND;

/// What an answer tells counts as known so long after it was written.
const KNOWN: Micros = 100 * MS;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets one final answer in time.
    Answer,
    /// What is served is the value made for the request.
    Value,
    /// Nothing new goes to a host that drains or is gone.
    Drain,
    /// No cold host is pushed over.
    Cold,
    /// No read is answered from data older than its class allows.
    Stale,
    /// No key is recorded twice.
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

/// A rule broken, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// How.
    pub what: String,
}

/// Judges one proxy in one installation.
#[derive(Clone, Debug, Default)]
pub struct Checker {
    /// Whether several proxies share the installation.
    is_shared: bool,
    /// After this a host that drains or is gone gets nothing new.
    grace: Micros,
    /// Since when the proxy has been told that a host drains or is gone.
    left: HashMap<usize, Micros>,
    /// When the client of each open request stops waiting.
    open: HashMap<String, Micros>,
    answered: HashMap<String, u32>,
    /// Hosts that have been primary, and when the proxy was first told that they are not any more.
    led: HashMap<usize, Option<Micros>>,
    /// How often each rule was tried.
    checks: HashMap<Rule, u64>,
    breaches: Vec<Breach>,
}

impl Checker {
    /// By the rules of an installation, with nothing told yet.
    pub fn new(spec: &Spec) -> Self {
        Self { grace: spec.drain_grace, ..Self::default() }
    }

    /// The same where several proxies share the installation. It is not known which of them was told what: an attempt at a
    /// host that has been primary is excused, and where proxies ask for changes a drain counts as told to all only once it
    /// has to be known to each.
    pub fn shared(spec: &Spec) -> Self {
        let is_asked = matches!(spec.discovery, Discovery::Asked { .. });
        let known = if is_asked { KNOWN_TO_ALL } else { 0 };
        Self { is_shared: true, grace: spec.drain_grace + known, ..Self::default() }
    }

    fn check(&mut self, rule: Rule, kept: bool, what: impl FnOnce() -> String) {
        *self.checks.entry(rule).or_default() += 1;
        if !kept {
            self.breaches.push(Breach { rule, what: what() });
        }
    }

    /// Discovery has written a host's status to the proxy.
    pub fn told(&mut self, now: Micros, host: usize, status: Status) {
        match status {
            Status::Up => drop(self.left.remove(&host)),
            Status::Draining | Status::Removed => drop(self.left.entry(host).or_insert(now)),
        }
    }

    /// An attempt's first byte has come to a host.
    pub fn sent(&mut self, now: Micros, host: usize, id: &str) {
        let late = self.left.get(&host).is_some_and(|since| now - since > self.grace + SLACK);
        self.check(Rule::Drain, !late, || format!("{id} went to host {host} after it had left"));
    }

    /// A cold host has been pushed over.
    pub fn fell(&mut self, host: usize) {
        self.check(Rule::Cold, false, || format!("host {host} fell"));
    }

    /// A host that was cold has got an attempt and stands.
    pub fn stood(&mut self) {
        self.check(Rule::Cold, true, String::new);
    }

    /// A key has been recorded once more than once.
    pub fn doubled(&mut self, key: &str) {
        self.check(Rule::Key, false, || format!("key {key} is recorded twice"));
    }

    /// A host is its set's primary.
    pub fn leads(&mut self, host: usize) {
        self.led.insert(host, None);
    }

    /// A host has told the proxy its role.
    pub fn told_role(&mut self, now: Micros, host: usize, primary: bool) {
        if let Some(since) = self.led.get_mut(&host).filter(|_| !primary) {
            since.get_or_insert(now);
        }
    }

    /// A host has answered an attempt that came to it then. What went to one that has been primary is excused
    /// until the proxy could know that it is none.
    pub fn replied(&mut self, host: usize, came: Micros, id: &str, reply: &Reply) {
        let Reply::Served { position, needed, .. } = reply else { return };
        let Some(needed) = needed else { return self.check(Rule::Key, true, String::new) };
        let is_told = |at: Micros| !self.is_shared && came >= at + KNOWN;
        let excused = self.led.get(&host).is_some_and(|told| !told.is_some_and(is_told));
        self.check(Rule::Stale, excused || position >= needed, || {
            format!("{id} was read at host {host}, {} us too old", needed - position)
        });
    }

    /// A client has sent a request whose answer it awaits until then.
    pub fn asked(&mut self, id: &str, until: Micros) {
        self.open.insert(id.to_owned(), until);
    }

    /// A client has its answer, and the value if it was served.
    pub fn answered(&mut self, now: Micros, id: &str, served: Option<(&[u8], &str)>) {
        let times = self.answered.entry(id.to_owned()).or_default();
        *times += 1;
        let times = *times;
        let until = self.open.remove(id);
        let in_time = until.is_some_and(|until| now <= until + SLACK);
        self.check(Rule::Answer, in_time && times == 1, || match until {
            Some(until) => format!("{id} was answered {} us late", now - until),
            None => format!("{id} was answered {times} times, or never asked"),
        });
        if let Some((value, made)) = served {
            self.check(Rule::Value, value == made.as_bytes(), || format!("{id} was served another's value"));
        }
    }

    /// A client's connection has ended without an answer.
    pub fn lost(&mut self, id: &str) {
        self.open.remove(id);
        self.check(Rule::Answer, false, || format!("{id} has no answer"));
    }

    /// A request never went out: nobody owes it an answer.
    pub fn withdrawn(&mut self, id: &str) {
        self.open.remove(id);
    }

    /// Nothing more comes: what is still open has no answer.
    pub fn end(&mut self) {
        let mut open: Vec<String> = self.open.keys().cloned().collect();
        open.sort();
        open.iter().for_each(|id| self.lost(id));
    }

    /// How often a rule was tried, and how often it was broken.
    pub fn verdict(&self, rule: Rule) -> (u64, usize) {
        let broken = self.breaches.iter().filter(|breach| breach.rule == rule).count();
        (self.checks.get(&rule).copied().unwrap_or(0), broken)
    }

    /// What was broken, in its order.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }
}
