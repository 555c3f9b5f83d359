//! Advice: who seems to be gone, told quickly and sometimes wrongly. Probes in random turns, indirect ones through others,
//! suspicion that the accused can refute (SWIM), and Lifeguard's three additions: a prober that is unwell itself waits
//! longer, accusers that agree shorten a suspicion, and the accused hears of it first.
//!
//! It guards nothing: an [`Opinion`] may be wrong at any time and only makes somebody open a ballot. Whatever must
//! happen once needs [`super::agreement`], which has another type for who is in and who is out.

use crate::interface::Timestamp;
use crate::membership::view::{Identity, Name};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The times of the advice, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tempo {
    /// A member probes another one so often.
    pub probe: i64,
    /// A probe that is not answered by then goes through others as well; nothing by the next probe makes a suspect.
    pub answer: i64,
    /// The shortest suspicion in a fleet of ten or fewer; it grows with the logarithm of their number.
    pub suspicion: i64,
    /// A timer that is late by more than this means that the process stood still.
    pub stood: i64,
    /// The whole state is exchanged with somebody so often, in a small fleet.
    pub sync: i64,
}

impl Default for Tempo {
    /// A probe each 300 ms, an answer within 120 ms, suspected for at least 700 ms, stood still from 250 ms on.
    fn default() -> Self {
        Self { probe: 300_000, answer: 120_000, suspicion: 700_000, stood: 250_000, sync: 10_000_000 }
    }
}

/// Members that are asked to probe for another.
const HELPERS: usize = 3;
/// Accusers beyond the first that bring a suspicion down to its shortest.
const CONFIRMATIONS: usize = 3;
/// A suspicion that nobody confirms lasts so many times its shortest.
const LONGEST: f64 = 3.0;
/// How unwell a prober can think itself.
const UNWELL: u32 = 8;
/// News in one message at the most.
const NEWS: usize = 6;
/// How often a piece of news is passed on, times the logarithm of the number of members.
const PASSES: f64 = 3.0;
/// For each so many members the whole state is exchanged the more seldom.
const SYNC_MEMBERS: i64 = 32;
/// Whoever is gone is remembered so long: older news must not bring it back.
const REMEMBERED_US: i64 = 60_000_000;

/// What is thought of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Opinion {
    /// It answers.
    Alive,
    /// It did not answer; it may still say that it is there.
    Suspect,
    /// It did not say so in time.
    Gone,
    /// It took its leave.
    Left,
}

/// A piece of news.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct News {
    /// Of whom.
    pub who: Identity,
    /// What of it.
    pub opinion: Opinion,
    /// How often the member had refuted a suspicion when this was so.
    pub refuted: u32,
    /// Who says so, of a suspicion.
    pub by: Name,
}

/// What members say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// An answer is wanted.
    Probe {
        /// Its number at who asks.
        number: u32,
        /// News.
        news: Vec<News>,
    },
    /// The answer.
    Answer {
        /// The number that was asked.
        number: u32,
        /// News.
        news: Vec<News>,
    },
    /// Somebody else is to be probed.
    ProbeFor {
        /// Its number at who asks.
        number: u32,
        /// Who is to be probed.
        whom: Identity,
        /// News.
        news: Vec<News>,
    },
    /// The other one did not answer, but who was asked to ask is there.
    NoAnswer {
        /// The number that was asked.
        number: u32,
    },
    /// All that is known.
    State {
        /// What is known.
        known: Vec<News>,
        /// Whether the other side's state is wanted in return.
        wanted: bool,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// To be sent.
    Send(Identity, Message),
    /// What is thought of a member has changed.
    Changed(Identity, Opinion),
    /// This process stood still for so many microseconds: what it knows is old.
    Stood(i64),
}

#[derive(Clone, Debug)]
struct Known {
    opinion: Opinion,
    refuted: u32,
    since: Timestamp,
    /// When it was last heard itself.
    heard: Option<Timestamp>,
    /// Who suspects it, and from when on it is gone.
    accusers: BTreeSet<Name>,
    gone_at: Timestamp,
}

struct Probing {
    whom: Identity,
    number: u32,
    /// When others are asked to help; none once they were.
    help_at: Option<Timestamp>,
    /// Helpers that have said nothing at all: if all are silent it is the prober that is unwell.
    silent: usize,
    answered: bool,
}

/// What one member thinks of the others.
pub struct Advice {
    me: Identity,
    tempo: Tempo,
    random: ChaCha8Rng,
    known: BTreeMap<Identity, Known>,
    /// Whose turn it is to be probed.
    turns: Vec<Identity>,
    probing: Option<Probing>,
    /// Probes for others: their number there, who asked, and until when they are waited for.
    errands: BTreeMap<u32, (Identity, u32, Timestamp)>,
    number: u32,
    refuted: u32,
    unwell: u32,
    /// News and how often each was passed on.
    news: Vec<(News, u32)>,
    probe_at: Timestamp,
    sync_at: Timestamp,
    leaving: bool,
}

impl Advice {
    /// Of a member that knows nobody yet.
    pub fn new(me: Identity, tempo: Tempo, seed: u64, now: Timestamp) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let first =
            |span: i64, random: &mut ChaCha8Rng| Timestamp(now.0 + random.random_range(0..span.max(1)));
        let (probe_at, sync_at) = (first(tempo.probe, &mut random), first(tempo.sync, &mut random));
        Self {
            me,
            tempo,
            random,
            known: BTreeMap::new(),
            turns: Vec::new(),
            probing: None,
            errands: BTreeMap::new(),
            number: 0,
            refuted: 0,
            unwell: 0,
            news: Vec::new(),
            probe_at,
            sync_at,
            leaving: false,
        }
    }

    // ---- What is thought ------------------------------------------------------------------------------

    /// What is thought of a member; none of one that was never heard of.
    pub fn opinion(&self, who: &Identity) -> Option<Opinion> {
        self.known.get(who).map(|known| known.opinion)
    }

    /// All that are known, and what is thought of each.
    pub fn opinions(&self) -> impl Iterator<Item = (&Identity, Opinion)> + '_ {
        self.known.iter().map(|(who, known)| (who, known.opinion))
    }

    /// When a member was last heard itself, not through others.
    pub fn heard_at(&self, who: &Identity) -> Option<Timestamp> {
        self.known.get(who).and_then(|known| known.heard)
    }

    /// How unwell this process thinks itself: 0 is well.
    pub fn unwell(&self) -> u32 {
        self.unwell
    }

    /// Members that are not thought gone, this one among them.
    fn count(&self) -> usize {
        1 + self.known.values().filter(|k| matches!(k.opinion, Opinion::Alive | Opinion::Suspect)).count()
    }

    // ---- What it is told -------------------------------------------------------------------------------

    /// Somebody is there of whom nothing was known.
    pub fn met(&mut self, now: Timestamp, who: &Identity, out: &mut Vec<Output>) {
        let news = News { who: who.clone(), opinion: Opinion::Alive, refuted: 0, by: self.me.name.clone() };
        self.learn(now, news, out);
    }

    /// Anything at all has come from a member itself, whatever its kind.
    pub fn heard_from(&mut self, now: Timestamp, from: &Identity, out: &mut Vec<Output>) {
        self.met(now, from, out);
        if let Some(known) = self.known.get_mut(from) {
            known.heard = Some(now);
        }
    }

    /// A message has come.
    pub fn heard(&mut self, now: Timestamp, from: &Identity, message: Message, out: &mut Vec<Output>) {
        self.heard_from(now, from, out);
        match message {
            Message::Probe { number, news } => {
                self.learn_all(now, news, out);
                let news = self.pick_news(Some(from));
                out.push(Output::Send(from.clone(), Message::Answer { number, news }));
            }
            Message::Answer { number, news } => {
                self.learn_all(now, news, out);
                self.answered(from, number, out);
            }
            Message::ProbeFor { number, whom, news } => {
                self.learn_all(now, news, out);
                self.number += 1;
                self.errands
                    .insert(self.number, (from.clone(), number, Timestamp(now.0 + self.tempo.answer)));
                let probe = Message::Probe { number: self.number, news: self.pick_news(Some(&whom)) };
                out.push(Output::Send(whom, probe));
            }
            Message::NoAnswer { number } => {
                if let Some(probing) = self.probing.as_mut().filter(|p| p.number == number) {
                    probing.silent = probing.silent.saturating_sub(1);
                }
            }
            Message::State { known, wanted } => {
                self.learn_all(now, known, out);
                if wanted {
                    let state = Message::State { known: self.state(), wanted: false };
                    out.push(Output::Send(from.clone(), state));
                }
            }
        }
    }

    /// When [`Self::timer`] has to be called at the latest.
    pub fn next_timer(&self) -> Timestamp {
        let help = self.probing.as_ref().and_then(|probing| probing.help_at);
        let errand = self.errands.values().map(|(.., until)| *until).min();
        let suspects = self.known.values().filter(|k| k.opinion == Opinion::Suspect).map(|k| k.gone_at).min();
        let all = [help, errand, suspects].into_iter().flatten();
        all.fold(self.probe_at.min(self.sync_at), Timestamp::min)
    }

    /// Timestamp has passed.
    pub fn timer(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let late = now.0 - self.next_timer().0;
        if late > self.tempo.stood {
            self.stood(now, late, out);
        }
        self.errands_over(now, out);
        if self.probing.as_ref().and_then(|p| p.help_at).is_some_and(|at| now >= at) {
            self.ask_help(out);
        }
        self.suspicions_over(now, out);
        if now >= self.probe_at {
            self.probe_ends(now, out);
            self.probe_next(now, out);
        }
        if now >= self.sync_at {
            // The state is as long as there are members: what it costs each of them is to stay the same.
            let size = (self.count() as i64 / SYNC_MEMBERS).max(1);
            self.sync_at = Timestamp(now.0 + self.tempo.sync * size);
            if let Some(with) = self.pick(1, None).pop() {
                let state = Message::State { known: self.state(), wanted: true };
                out.push(Output::Send(with, state));
            }
        }
    }

    /// This process takes its leave: it says so to some, who pass it on.
    pub fn leave(&mut self, out: &mut Vec<Output>) {
        self.leaving = true;
        let news = News {
            who: self.me.clone(),
            opinion: Opinion::Left,
            refuted: self.refuted,
            by: self.me.name.clone(),
        };
        for to in self.pick(HELPERS * 2, None) {
            self.number += 1;
            let news = vec![news.clone()];
            out.push(Output::Send(to, Message::Probe { number: self.number, news }));
        }
    }

    /// After a stand-still all that was to be heard meanwhile may still lie there: nobody is accused for it.
    fn stood(&mut self, now: Timestamp, span: i64, out: &mut Vec<Output>) {
        self.probing = None;
        self.errands.clear();
        self.unwell = UNWELL;
        for known in self.known.values_mut() {
            known.gone_at = Timestamp(known.gone_at.0 + span);
            known.heard = known.heard.map(|_| now);
        }
        // Others may have suspected this process: a later word goes before theirs.
        self.refuted += 1;
        self.spread(News {
            who: self.me.clone(),
            opinion: Opinion::Alive,
            refuted: self.refuted,
            by: self.me.name.clone(),
        });
        out.push(Output::Stood(span));
    }

    // ---- Probes ----------------------------------------------------------------------------------------

    /// Each member once in a random order, then in another: nobody waits longer than two rounds.
    fn probe_next(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let unwell = i64::from(self.unwell) + 1;
        self.probe_at = Timestamp(now.0 + self.tempo.probe * unwell);
        let whom = loop {
            let Some(whom) = self.turns.pop() else {
                self.turns = self.pick(usize::MAX, None);
                match self.turns.pop() {
                    Some(whom) => break whom,
                    None => return,
                }
            };
            if self.known.get(&whom).is_some_and(|k| matches!(k.opinion, Opinion::Alive | Opinion::Suspect)) {
                break whom;
            }
        };
        self.number += 1;
        let help_at = Some(Timestamp(now.0 + self.tempo.answer * unwell));
        let number = self.number;
        self.probing = Some(Probing { whom: whom.clone(), number, help_at, silent: 0, answered: false });
        let news = self.pick_news(Some(&whom));
        out.push(Output::Send(whom, Message::Probe { number, news }));
    }

    fn ask_help(&mut self, out: &mut Vec<Output>) {
        let Some(whom) = self.probing.as_ref().filter(|p| !p.answered).map(|p| p.whom.clone()) else {
            return;
        };
        let helpers = self.pick(HELPERS, Some(&whom));
        let Some(probing) = self.probing.as_mut() else { return };
        (probing.help_at, probing.silent) = (None, helpers.len());
        let number = probing.number;
        for helper in helpers {
            let news = self.pick_news(Some(&helper));
            out.push(Output::Send(helper, Message::ProbeFor { number, whom: whom.clone(), news }));
        }
    }

    fn answered(&mut self, from: &Identity, number: u32, out: &mut Vec<Output>) {
        if let Some((for_whom, theirs, _)) = self.errands.remove(&number) {
            let news = self.pick_news(Some(&for_whom));
            out.push(Output::Send(for_whom, Message::Answer { number: theirs, news }));
        } else if let Some(probing) = self.probing.as_mut().filter(|p| p.number == number) {
            (probing.answered, probing.help_at) = (true, None);
            if probing.whom == *from {
                self.unwell = self.unwell.saturating_sub(1);
            }
        }
    }

    /// Those who asked hear that there was no answer: they know then that at least this one is there.
    fn errands_over(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let over: Vec<u32> =
            self.errands.iter().filter(|(_, (.., until))| *until <= now).map(|(n, _)| *n).collect();
        for number in over {
            if let Some((for_whom, theirs, _)) = self.errands.remove(&number) {
                out.push(Output::Send(for_whom, Message::NoAnswer { number: theirs }));
            }
        }
    }

    fn probe_ends(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let Some(probing) = self.probing.take().filter(|p| !p.answered) else { return };
        // Where helpers that should have answered did not, this process may be the one that is cut off.
        if probing.silent > 0 {
            self.unwell = (self.unwell + 1).min(UNWELL);
        }
        let refuted = self.known.get(&probing.whom).map_or(0, |known| known.refuted);
        let by = self.me.name.clone();
        self.learn(now, News { who: probing.whom, opinion: Opinion::Suspect, refuted, by }, out);
    }

    // ---- Suspicions ------------------------------------------------------------------------------------

    /// How long a suspicion lasts that so many others have confirmed.
    fn suspicion(&self, confirmations: usize) -> i64 {
        let size = (self.count() as f64).log10().max(1.0);
        let least = self.tempo.suspicion as f64 * size * f64::from(self.unwell + 1).sqrt();
        let confirmed =
            (confirmations.min(CONFIRMATIONS) as f64 + 1.0).ln() / (CONFIRMATIONS as f64 + 1.0).ln();
        // A few members can have no more accusers than there are.
        let possible = self.count().saturating_sub(2);
        let part = if possible < CONFIRMATIONS { 1.0 } else { confirmed };
        (least * (LONGEST - (LONGEST - 1.0) * part)) as i64
    }

    fn suspicions_over(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let over = |known: &Known| known.opinion == Opinion::Suspect && now >= known.gone_at;
        let gone: Vec<(Identity, u32)> =
            self.known.iter().filter(|(_, k)| over(k)).map(|(who, k)| (who.clone(), k.refuted)).collect();
        for (who, refuted) in gone {
            let by = self.me.name.clone();
            self.learn(now, News { who, opinion: Opinion::Gone, refuted, by }, out);
        }
        self.known.retain(|_, known| {
            matches!(known.opinion, Opinion::Alive | Opinion::Suspect)
                || now.0 - known.since.0 < REMEMBERED_US
        });
    }

    // ---- News ------------------------------------------------------------------------------------------

    fn learn_all(&mut self, now: Timestamp, all: Vec<News>, out: &mut Vec<Output>) {
        all.into_iter().for_each(|news| self.learn(now, news, out));
    }

    /// Takes a piece of news in and passes on what is new.
    fn learn(&mut self, now: Timestamp, news: News, out: &mut Vec<Output>) {
        if news.who == self.me {
            return self.refute(&news);
        }
        let Some(known) = self.known.get_mut(&news.who) else {
            // Whoever was never heard of is not first heard of as gone.
            if matches!(news.opinion, Opinion::Alive | Opinion::Suspect) {
                let accusers = BTreeSet::new();
                let gone_at = Timestamp(now.0 + self.suspicion(0));
                let known = Known {
                    opinion: Opinion::Alive,
                    refuted: news.refuted,
                    since: now,
                    heard: None,
                    accusers,
                    gone_at,
                };
                self.known.insert(news.who.clone(), known);
                let at = self.random.random_range(0..=self.turns.len());
                self.turns.insert(at, news.who.clone());
                out.push(Output::Changed(news.who.clone(), Opinion::Alive));
                // Views tell all members who is there: that is no news.
                if news.opinion == Opinion::Suspect {
                    self.learn(now, news, out);
                }
            }
            return;
        };
        let goes_before = match (known.opinion, news.opinion) {
            (Opinion::Left, _) => false,
            (_, Opinion::Left) => true,
            (Opinion::Alive | Opinion::Suspect, Opinion::Gone) => news.refuted >= known.refuted,
            (Opinion::Gone, Opinion::Gone) | (Opinion::Alive, Opinion::Alive) => false,
            (Opinion::Gone, Opinion::Suspect) => false,
            (Opinion::Alive, Opinion::Suspect) => news.refuted >= known.refuted,
            (Opinion::Suspect, Opinion::Suspect) => {
                return self.confirm(now, news);
            }
            // Only the accused itself can have said so.
            (Opinion::Suspect | Opinion::Gone, Opinion::Alive) => news.refuted > known.refuted,
        };
        if !goes_before {
            if news.opinion == Opinion::Alive && news.refuted > known.refuted {
                known.refuted = news.refuted;
            }
            return;
        }
        (known.opinion, known.refuted, known.since) = (news.opinion, news.refuted, now);
        known.accusers = [news.by.clone()].into();
        let gone_at = Timestamp(now.0 + self.suspicion(0));
        if let Some(known) = self.known.get_mut(&news.who) {
            known.gone_at = gone_at;
        }
        out.push(Output::Changed(news.who.clone(), news.opinion));
        self.spread(news);
    }

    /// One more accuser: the suspicion is the shorter, and is passed on as long as that makes a difference.
    fn confirm(&mut self, now: Timestamp, news: News) {
        let shortest = [0, 1, 2, 3].map(|confirmations| self.suspicion(confirmations));
        let Some(known) = self.known.get_mut(&news.who).filter(|k| news.refuted >= k.refuted) else { return };
        known.refuted = news.refuted;
        if known.accusers.len() <= CONFIRMATIONS && known.accusers.insert(news.by.clone()) {
            let span = shortest[(known.accusers.len() - 1).min(CONFIRMATIONS)];
            known.gone_at = known.gone_at.min(Timestamp(known.since.0 + span)).max(now);
            self.spread(news);
        }
    }

    /// Somebody thinks this process gone: it says that it is there, louder.
    fn refute(&mut self, news: &News) {
        let accused =
            matches!(news.opinion, Opinion::Suspect | Opinion::Gone) && news.refuted >= self.refuted;
        if !accused || self.leaving {
            return;
        }
        self.refuted = news.refuted + 1;
        self.unwell = (self.unwell + 1).min(UNWELL);
        let (who, by) = (self.me.clone(), self.me.name.clone());
        self.spread(News { who, opinion: Opinion::Alive, refuted: self.refuted, by });
    }

    /// To be passed on; older news of the same member is dropped, but for other accusers'.
    fn spread(&mut self, news: News) {
        let same = |old: &News| {
            old.who == news.who
                && !(old.opinion == Opinion::Suspect && news.opinion == Opinion::Suspect && old.by != news.by)
        };
        self.news.retain(|(old, _)| !same(old));
        self.news.push((news, 0));
    }

    /// What goes along with a message: what was passed on least, and whatever is held against its receiver.
    fn pick_news(&mut self, to: Option<&Identity>) -> Vec<News> {
        let most = (PASSES * (self.count() as f64 + 1.0).log2()).ceil() as u32;
        self.news.sort_by_key(|(_, passed)| *passed);
        let mut picked: Vec<News> = Vec::with_capacity(NEWS);
        if let Some((who, known)) = to.and_then(|to| self.known.get_key_value(to)) {
            if known.opinion == Opinion::Suspect || known.opinion == Opinion::Gone {
                let by = known.accusers.first().cloned().unwrap_or_else(|| self.me.name.clone());
                picked.push(News { who: who.clone(), opinion: known.opinion, refuted: known.refuted, by });
            }
        }
        for (news, passed) in self.news.iter_mut().take(NEWS - picked.len()) {
            picked.push(news.clone());
            *passed += 1;
        }
        self.news.retain(|(_, passed)| *passed < most);
        picked
    }

    fn state(&self) -> Vec<News> {
        let own = News {
            who: self.me.clone(),
            opinion: if self.leaving { Opinion::Left } else { Opinion::Alive },
            refuted: self.refuted,
            by: self.me.name.clone(),
        };
        let others = self.known.iter().map(|(who, known)| News {
            who: who.clone(),
            opinion: known.opinion,
            refuted: known.refuted,
            by: known.accusers.first().cloned().unwrap_or_else(|| self.me.name.clone()),
        });
        std::iter::once(own).chain(others).collect()
    }

    /// So many that are not thought gone, by chance.
    fn pick(&mut self, count: usize, but: Option<&Identity>) -> Vec<Identity> {
        let there = |(who, known): &(&Identity, &Known)| {
            matches!(known.opinion, Opinion::Alive | Opinion::Suspect) && Some(*who) != but
        };
        let mut all: Vec<Identity> = self.known.iter().filter(there).map(|(who, _)| who.clone()).collect();
        let count = count.min(all.len());
        for n in 0..count {
            let other = self.random.random_range(n..all.len());
            all.swap(n, other);
        }
        all.truncate(count);
        all
    }
}
