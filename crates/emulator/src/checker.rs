//! The rules, judged by what crossed the stand-ins' sockets. It knows nothing of how a proxy decides.

use crate::spec::{Discovery, Spec};
use crate::world::{Reply, Status};
use crate::{Micros, MS, SECOND};
use std::collections::{HashMap, HashSet};
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

/// One run of a proxy process, from its start to its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ProxyIncarnation {
    /// Number of the process.
    pub process: usize,
    /// Number of this run of it.
    pub incarnation: u32,
}

impl fmt::Display for ProxyIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "p{}.{}", self.process, self.incarnation)
    }
}

/// How old the data were that hosts answered the attempts of one read from.
#[derive(Clone, Debug, Default)]
struct ReadAnswers {
    /// Whether any answer was recent enough.
    has_fresh: bool,
    /// The host of an answer that was not, and by how much.
    stale: Option<(usize, Micros)>,
}

/// Judges the proxies of one installation.
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
    /// Where several proxies share the installation, the process to which each request's client sent it.
    proxies: HashMap<String, ProxyIncarnation>,
    /// Hosts that have been primary.
    led: HashSet<usize>,
    /// When a host that had been primary first notified a process that it no longer is.
    demotions: HashMap<(ProxyIncarnation, usize), Micros>,
    /// For how long processes are stopped or held up now and then: what they are told meanwhile they cannot read.
    hold_ups: HashMap<usize, Micros>,
    /// What each open read was answered from.
    reads: HashMap<String, ReadAnswers>,
    /// How often each rule was tried.
    checks: HashMap<Rule, u64>,
    breaches: Vec<Breach>,
}

impl Checker {
    /// By the rules of an installation, with nothing told yet.
    pub fn new(spec: &Spec) -> Self {
        Self { grace: spec.drain_grace, ..Self::default() }
    }

    /// The same where several proxies share the installation. Each attempt belongs to the process named by
    /// [`Self::asked_of`]; one of a request that was never named is excused at a host that has been primary. Which process
    /// was told of a drain is not known: where proxies ask for changes it counts as told to all only once it has to be
    /// known to each.
    pub fn shared(spec: &Spec) -> Self {
        let is_asked = matches!(spec.discovery, Discovery::Polled { .. });
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
    pub fn status_reported(&mut self, now: Micros, host: usize, status: Status) {
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
    pub fn cold_host_crashed(&mut self, host: usize) {
        self.check(Rule::Cold, false, || format!("host {host} fell"));
    }

    /// A host that was cold has got an attempt and stands.
    pub fn stood(&mut self) {
        self.check(Rule::Cold, true, String::new);
    }

    /// A key has been recorded once more than once.
    pub fn key_recorded_again(&mut self, key: &str) {
        self.check(Rule::Key, false, || format!("key {key} is recorded twice"));
    }

    /// A host is its set's primary: what it notified anyone of before does not count any more.
    pub fn seen_as_primary(&mut self, host: usize) {
        self.led.insert(host);
        self.demotions.retain(|(_, demoted), _| *demoted != host);
    }

    /// A request's client sends it to that process.
    pub fn asked_of(&mut self, id: &str, proxy: ProxyIncarnation) {
        self.proxies.insert(id.to_owned(), proxy);
    }

    /// A process is stopped or held up for that long now and then.
    pub fn held_up(&mut self, process: usize, span: Micros) {
        self.hold_ups.insert(process, span);
    }

    /// The process that makes the attempts of a request, if it is known.
    fn proxy_of(&self, id: &str) -> Option<ProxyIncarnation> {
        match self.is_shared {
            true => self.proxies.get(id).copied(),
            false => Some(ProxyIncarnation::default()),
        }
    }

    /// A host has written its role in an answer to the process that attempts that request, whether or not the bytes arrive.
    pub fn role_reported(&mut self, now: Micros, host: usize, id: &str, primary: bool) {
        let Some(proxy) = self.proxy_of(id).filter(|_| !primary && self.led.contains(&host)) else { return };
        self.demotions.entry((proxy, host)).or_insert(now);
    }

    /// Whether an attempt that came to a host then may rely on its having been the primary: it has been, and the process
    /// was not notified of the contrary in time.
    fn is_excused(&self, host: usize, came: Micros, id: &str) -> bool {
        let known_at = self.proxy_of(id).and_then(|proxy| {
            let held_up = self.hold_ups.get(&proxy.process).copied().unwrap_or(0);
            Some(self.demotions.get(&(proxy, host))? + KNOWN + held_up)
        });
        self.led.contains(&host) && known_at.is_none_or(|at| came < at)
    }

    /// A read's last byte has come to a host that has applied the log up to `position`, where the read needs `needed`. The
    /// send is judged by itself: the answer may never get back.
    pub fn read_sent(&mut self, now: Micros, host: usize, id: &str, position: Micros, needed: Micros) {
        let excused = self.is_excused(host, now, id);
        let sender = self.proxy_of(id).unwrap_or_default();
        self.check(Rule::Stale, excused || position + SLACK >= needed, || {
            format!("{id} was sent by {sender} at {now} to host {host}, {} us too old", needed - position)
        });
    }

    /// A host has answered an attempt that came to it then. What went to one that has been primary is excused
    /// until the proxy could know that it is none.
    pub fn replied(&mut self, host: usize, came: Micros, id: &str, reply: &Reply) {
        let Reply::Served { position, needed, .. } = reply else { return };
        let Some(needed) = needed else { return self.check(Rule::Key, true, String::new) };
        let answers = self.reads.entry(id.to_owned()).or_default();
        match position + SLACK >= *needed {
            true => answers.has_fresh = true,
            false => answers.stale = Some((host, needed - position)),
        }
        let excused = self.is_excused(host, came, id);
        // Among several processes an attempt is dated by its arrival at a busy host, after its last byte was sent.
        let slack = if self.is_shared { SLACK } else { 0 };
        self.check(Rule::Stale, excused || position + slack >= *needed, || {
            format!("{id} was read at host {host}, {} us too old", needed - position)
        });
    }

    /// A client was served a read. Each answer states its position and role, so that no belief in a role excuses it. Which of
    /// several answers was served is not known: one that was recent enough does.
    fn read_served(&mut self, id: &str) {
        let Some(ReadAnswers { has_fresh, stale }) = self.reads.remove(id) else { return };
        let sender = self.proxy_of(id).unwrap_or_default();
        self.check(Rule::Stale, has_fresh || stale.is_none(), || {
            let (host, age) = stale.unwrap_or_default();
            format!("{id} was served by {sender} from host {host}, {age} us too old")
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
        if served.is_some() {
            self.read_served(id);
        }
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
