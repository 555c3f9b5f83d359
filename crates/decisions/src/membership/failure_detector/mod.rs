//! FailureDetector: who seems to be gone, told quickly and sometimes wrongly. Probes in random turns, indirect ones through others,
//! suspicion that the accused can refute (SWIM), and Lifeguard's three additions: a prober that is unwell itself waits
//! longer, accusers that agree shorten a suspicion, and the accused hears of it first.
//!
//! It guards nothing: an [`Suspicion`] may be wrong at any time and only makes somebody open a ballot. Whatever must
//! happen once needs [`super::agreement`], which has another type for who is in and who is out.

use crate::interface::Timestamp;
use crate::membership::view::{Identity, Name};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The times of the advice, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureDetectorConfig {
    /// A member probes another one so often.
    pub probe_interval_us: i64,
    /// A probe that is not answered by then goes through others as well; nothing by the next probe makes a suspect.
    pub answer_timeout_us: i64,
    /// The shortest suspicion in a fleet of ten or fewer; it grows with the logarithm of their number.
    pub min_suspicion_us: i64,
    /// A timer that is late by more than this means that the process stood still.
    pub stall_threshold_us: i64,
    /// The whole state is exchanged with somebody so often, in a small fleet.
    pub sync_interval_us: i64,
}

impl Default for FailureDetectorConfig {
    /// A probe each 300 ms, an answer within 120 ms, suspected for at least 700 ms, stood still from 250 ms on.
    fn default() -> Self {
        Self {
            probe_interval_us: 300_000,
            answer_timeout_us: 120_000,
            min_suspicion_us: 700_000,
            stall_threshold_us: 250_000,
            sync_interval_us: 10_000_000,
        }
    }
}

/// Members that are asked to probe for another.
const INDIRECT_PROBES: usize = 3;
/// Accusers beyond the first that bring a suspicion down to its shortest.
const MAX_CONFIRMATIONS: usize = 3;
/// A suspicion that nobody confirms lasts so many times its shortest.
const MAX_SUSPICION_MULTIPLE: f64 = 3.0;
/// How unwell a prober can think itself.
const MAX_LOCAL_HEALTH: u32 = 8;
/// GossipUpdate in one message at the most.
const MAX_UPDATES_PER_MESSAGE: usize = 6;
/// How often a piece of news is passed on, times the logarithm of the number of members.
const RETRANSMIT_MULTIPLE: f64 = 3.0;
/// For each so many members the whole state is exchanged the more seldom.
const MEMBERS_PER_SYNC_INTERVAL: i64 = 32;
/// Whoever is gone is remembered so long: older news must not bring it back.
const REMOVED_RETENTION_US: i64 = 60_000_000;

/// What is thought of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Suspicion {
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
pub struct GossipUpdate {
    /// Of whom.
    pub subject: Identity,
    /// What of it.
    pub suspicion: Suspicion,
    /// How often the member had refuted a suspicion when this was so.
    pub refutations: u32,
    /// Who says so, of a suspicion.
    pub reporter: Name,
}

/// What members say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// An answer is wanted.
    Probe {
        /// Its number at who asks.
        sequence: u32,
        /// GossipUpdate.
        updates: Vec<GossipUpdate>,
    },
    /// The answer.
    Ack {
        /// The number that was asked.
        sequence: u32,
        /// GossipUpdate.
        updates: Vec<GossipUpdate>,
    },
    /// Somebody else is to be probed.
    IndirectProbe {
        /// Its number at who asks.
        sequence: u32,
        /// Who is to be probed.
        target: Identity,
        /// GossipUpdate.
        updates: Vec<GossipUpdate>,
    },
    /// The other one did not answer, but who was asked to ask is there.
    Nack {
        /// The number that was asked.
        sequence: u32,
    },
    /// All that is known.
    StateSync {
        /// What is known.
        known: Vec<GossipUpdate>,
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
    Changed(Identity, Suspicion),
    /// This process stood still for so many microseconds: what it knows is old.
    Stalled(i64),
}

#[derive(Clone, Debug)]
struct MemberState {
    suspicion: Suspicion,
    refutations: u32,
    since: Timestamp,
    /// When it was last heard itself.
    last_heard_at: Option<Timestamp>,
    /// Who suspects it, and from when on it is gone.
    accusers: BTreeSet<Name>,
    removed_at: Timestamp,
}

struct CurrentProbe {
    target: Identity,
    sequence: u32,
    /// When others are asked to help; none once they were.
    help_at: Option<Timestamp>,
    /// Helpers that have said nothing at all: if all are silent it is the prober that is unwell.
    silent_helpers: usize,
    answered: bool,
}

/// What one member thinks of the others.
pub struct FailureDetector {
    me: Identity,
    config: FailureDetectorConfig,
    random: ChaCha8Rng,
    members: BTreeMap<Identity, MemberState>,
    /// Whose turn it is to be probed.
    probe_order: Vec<Identity>,
    current_probe: Option<CurrentProbe>,
    /// Probes for others: their number there, who asked, and until when they are waited for.
    indirect_probes: BTreeMap<u32, (Identity, u32, Timestamp)>,
    sequence: u32,
    refutations: u32,
    local_health: u32,
    /// GossipUpdate and how often each was passed on.
    queued_updates: Vec<(GossipUpdate, u32)>,
    next_probe_at: Timestamp,
    next_sync_at: Timestamp,
    leaving: bool,
}

impl FailureDetector {
    /// Of a member that knows nobody yet.
    pub fn new(me: Identity, config: FailureDetectorConfig, seed: u64, now: Timestamp) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let first =
            |span: i64, random: &mut ChaCha8Rng| Timestamp(now.0 + random.random_range(0..span.max(1)));
        let (next_probe_at, next_sync_at) =
            (first(config.probe_interval_us, &mut random), first(config.sync_interval_us, &mut random));
        Self {
            me,
            config,
            random,
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            current_probe: None,
            indirect_probes: BTreeMap::new(),
            sequence: 0,
            refutations: 0,
            local_health: 0,
            queued_updates: Vec::new(),
            next_probe_at,
            next_sync_at,
            leaving: false,
        }
    }

    // ---- What is thought ------------------------------------------------------------------------------

    /// What is thought of a member; none of one that was never heard of.
    pub fn suspicion(&self, who: &Identity) -> Option<Suspicion> {
        self.members.get(who).map(|known| known.suspicion)
    }

    /// All that are known, and what is thought of each.
    pub fn suspicions(&self) -> impl Iterator<Item = (&Identity, Suspicion)> + '_ {
        self.members.iter().map(|(who, known)| (who, known.suspicion))
    }

    /// When a member was last heard itself, not through others.
    pub fn last_heard_at(&self, who: &Identity) -> Option<Timestamp> {
        self.members.get(who).and_then(|known| known.last_heard_at)
    }

    /// How unwell this process thinks itself: 0 is well.
    pub fn local_health(&self) -> u32 {
        self.local_health
    }

    /// Members that are not thought gone, this one among them.
    fn live_members(&self) -> usize {
        1 + self
            .members
            .values()
            .filter(|k| matches!(k.suspicion, Suspicion::Alive | Suspicion::Suspect))
            .count()
    }

    // ---- What it is told -------------------------------------------------------------------------------

    /// Somebody is there of whom nothing was known.
    pub fn add_member(&mut self, now: Timestamp, who: &Identity, out: &mut Vec<Output>) {
        let updates = GossipUpdate {
            subject: who.clone(),
            suspicion: Suspicion::Alive,
            refutations: 0,
            reporter: self.me.name.clone(),
        };
        self.apply_update(now, updates, out);
    }

    /// Anything at all has come from a member itself, whatever its kind.
    pub fn record_contact(&mut self, now: Timestamp, from: &Identity, out: &mut Vec<Output>) {
        self.add_member(now, from, out);
        if let Some(known) = self.members.get_mut(from) {
            known.last_heard_at = Some(now);
        }
    }

    /// A message has come.
    pub fn handle_message(
        &mut self,
        now: Timestamp,
        from: &Identity,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        self.record_contact(now, from, out);
        match message {
            Message::Probe { sequence, updates } => {
                self.apply_updates(now, updates, out);
                let updates = self.take_updates(Some(from));
                out.push(Output::Send(from.clone(), Message::Ack { sequence, updates }));
            }
            Message::Ack { sequence, updates } => {
                self.apply_updates(now, updates, out);
                self.handle_ack(from, sequence, out);
            }
            Message::IndirectProbe { sequence, target, updates } => {
                self.apply_updates(now, updates, out);
                self.sequence += 1;
                self.indirect_probes.insert(
                    self.sequence,
                    (from.clone(), sequence, Timestamp(now.0 + self.config.answer_timeout_us)),
                );
                let probe =
                    Message::Probe { sequence: self.sequence, updates: self.take_updates(Some(&target)) };
                out.push(Output::Send(target, probe));
            }
            Message::Nack { sequence } => {
                if let Some(probing) = self.current_probe.as_mut().filter(|p| p.sequence == sequence) {
                    probing.silent_helpers = probing.silent_helpers.saturating_sub(1);
                }
            }
            Message::StateSync { known, wanted } => {
                self.apply_updates(now, known, out);
                if wanted {
                    let state = Message::StateSync { known: self.full_state(), wanted: false };
                    out.push(Output::Send(from.clone(), state));
                }
            }
        }
    }

    /// When [`Self::handle_timeout`] has to be called at the latest.
    pub fn next_timeout(&self) -> Timestamp {
        let help = self.current_probe.as_ref().and_then(|probing| probing.help_at);
        let errand = self.indirect_probes.values().map(|(.., until)| *until).min();
        let suspects =
            self.members.values().filter(|k| k.suspicion == Suspicion::Suspect).map(|k| k.removed_at).min();
        let all = [help, errand, suspects].into_iter().flatten();
        all.fold(self.next_probe_at.min(self.next_sync_at), Timestamp::min)
    }

    /// Timestamp has passed.
    pub fn handle_timeout(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let late = now.0 - self.next_timeout().0;
        if late > self.config.stall_threshold_us {
            self.recover_from_stall(now, late, out);
        }
        self.expire_indirect_probes(now, out);
        if self.current_probe.as_ref().and_then(|p| p.help_at).is_some_and(|at| now >= at) {
            self.request_indirect_probes(out);
        }
        self.expire_suspicions(now, out);
        if now >= self.next_probe_at {
            self.finish_probe(now, out);
            self.start_probe(now, out);
        }
        if now >= self.next_sync_at {
            // The state is as long as there are members: what it costs each of them is to stay the same.
            let size = (self.live_members() as i64 / MEMBERS_PER_SYNC_INTERVAL).max(1);
            self.next_sync_at = Timestamp(now.0 + self.config.sync_interval_us * size);
            if let Some(with) = self.random_members(1, None).pop() {
                let state = Message::StateSync { known: self.full_state(), wanted: true };
                out.push(Output::Send(with, state));
            }
        }
    }

    /// This process takes its leave: it says so to some, who pass it on.
    pub fn leave(&mut self, out: &mut Vec<Output>) {
        self.leaving = true;
        let updates = GossipUpdate {
            subject: self.me.clone(),
            suspicion: Suspicion::Left,
            refutations: self.refutations,
            reporter: self.me.name.clone(),
        };
        for to in self.random_members(INDIRECT_PROBES * 2, None) {
            self.sequence += 1;
            let updates = vec![updates.clone()];
            out.push(Output::Send(to, Message::Probe { sequence: self.sequence, updates }));
        }
    }

    /// After a stand-still all that was to be heard meanwhile may still lie there: nobody is accused for it.
    fn recover_from_stall(&mut self, now: Timestamp, span: i64, out: &mut Vec<Output>) {
        self.current_probe = None;
        self.indirect_probes.clear();
        self.local_health = MAX_LOCAL_HEALTH;
        for known in self.members.values_mut() {
            known.removed_at = Timestamp(known.removed_at.0 + span);
            known.last_heard_at = known.last_heard_at.map(|_| now);
        }
        // Others may have suspected this process: a later word goes before theirs.
        self.refutations += 1;
        self.enqueue_update(GossipUpdate {
            subject: self.me.clone(),
            suspicion: Suspicion::Alive,
            refutations: self.refutations,
            reporter: self.me.name.clone(),
        });
        out.push(Output::Stalled(span));
    }

    // ---- Probes ----------------------------------------------------------------------------------------

    /// Each member once in a random order, then in another: nobody waits longer than two rounds.
    fn start_probe(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let slowdown = i64::from(self.local_health) + 1;
        self.next_probe_at = Timestamp(now.0 + self.config.probe_interval_us * slowdown);
        let target = loop {
            let Some(target) = self.probe_order.pop() else {
                self.probe_order = self.random_members(usize::MAX, None);
                match self.probe_order.pop() {
                    Some(target) => break target,
                    None => return,
                }
            };
            if self
                .members
                .get(&target)
                .is_some_and(|k| matches!(k.suspicion, Suspicion::Alive | Suspicion::Suspect))
            {
                break target;
            }
        };
        self.sequence += 1;
        let help_at = Some(Timestamp(now.0 + self.config.answer_timeout_us * slowdown));
        let sequence = self.sequence;
        self.current_probe = Some(CurrentProbe {
            target: target.clone(),
            sequence,
            help_at,
            silent_helpers: 0,
            answered: false,
        });
        let updates = self.take_updates(Some(&target));
        out.push(Output::Send(target, Message::Probe { sequence, updates }));
    }

    fn request_indirect_probes(&mut self, out: &mut Vec<Output>) {
        let Some(target) = self.current_probe.as_ref().filter(|p| !p.answered).map(|p| p.target.clone())
        else {
            return;
        };
        let helpers = self.random_members(INDIRECT_PROBES, Some(&target));
        let Some(probing) = self.current_probe.as_mut() else { return };
        (probing.help_at, probing.silent_helpers) = (None, helpers.len());
        let sequence = probing.sequence;
        for helper in helpers {
            let updates = self.take_updates(Some(&helper));
            out.push(Output::Send(
                helper,
                Message::IndirectProbe { sequence, target: target.clone(), updates },
            ));
        }
    }

    fn handle_ack(&mut self, from: &Identity, sequence: u32, out: &mut Vec<Output>) {
        if let Some((for_whom, their_sequence, _)) = self.indirect_probes.remove(&sequence) {
            let updates = self.take_updates(Some(&for_whom));
            out.push(Output::Send(for_whom, Message::Ack { sequence: their_sequence, updates }));
        } else if let Some(probing) = self.current_probe.as_mut().filter(|p| p.sequence == sequence) {
            (probing.answered, probing.help_at) = (true, None);
            if probing.target == *from {
                self.local_health = self.local_health.saturating_sub(1);
            }
        }
    }

    /// Those who asked hear that there was no answer: they know then that at least this one is there.
    fn expire_indirect_probes(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let over: Vec<u32> =
            self.indirect_probes.iter().filter(|(_, (.., until))| *until <= now).map(|(n, _)| *n).collect();
        for sequence in over {
            if let Some((for_whom, their_sequence, _)) = self.indirect_probes.remove(&sequence) {
                out.push(Output::Send(for_whom, Message::Nack { sequence: their_sequence }));
            }
        }
    }

    fn finish_probe(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let Some(probing) = self.current_probe.take().filter(|p| !p.answered) else { return };
        // Where helpers that should have answered did not, this process may be the one that is cut off.
        if probing.silent_helpers > 0 {
            self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
        }
        let refutations = self.members.get(&probing.target).map_or(0, |known| known.refutations);
        let reporter = self.me.name.clone();
        self.apply_update(
            now,
            GossipUpdate { subject: probing.target, suspicion: Suspicion::Suspect, refutations, reporter },
            out,
        );
    }

    // ---- Suspicions ------------------------------------------------------------------------------------

    /// How long a suspicion lasts that so many others have confirmed.
    fn suspicion_timeout_us(&self, confirmations: usize) -> i64 {
        let size = (self.live_members() as f64).log10().max(1.0);
        let least = self.config.min_suspicion_us as f64 * size * f64::from(self.local_health + 1).sqrt();
        let confirmed =
            (confirmations.min(MAX_CONFIRMATIONS) as f64 + 1.0).ln() / (MAX_CONFIRMATIONS as f64 + 1.0).ln();
        // A few members can have no more accusers than there are.
        let possible = self.live_members().saturating_sub(2);
        let part = if possible < MAX_CONFIRMATIONS { 1.0 } else { confirmed };
        (least * (MAX_SUSPICION_MULTIPLE - (MAX_SUSPICION_MULTIPLE - 1.0) * part)) as i64
    }

    fn expire_suspicions(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let over = |known: &MemberState| known.suspicion == Suspicion::Suspect && now >= known.removed_at;
        let gone: Vec<(Identity, u32)> = self
            .members
            .iter()
            .filter(|(_, k)| over(k))
            .map(|(who, k)| (who.clone(), k.refutations))
            .collect();
        for (who, refutations) in gone {
            let reporter = self.me.name.clone();
            self.apply_update(
                now,
                GossipUpdate { subject: who, suspicion: Suspicion::Gone, refutations, reporter },
                out,
            );
        }
        self.members.retain(|_, known| {
            matches!(known.suspicion, Suspicion::Alive | Suspicion::Suspect)
                || now.0 - known.since.0 < REMOVED_RETENTION_US
        });
    }

    // ---- GossipUpdate ------------------------------------------------------------------------------------------

    fn apply_updates(&mut self, now: Timestamp, all: Vec<GossipUpdate>, out: &mut Vec<Output>) {
        all.into_iter().for_each(|updates| self.apply_update(now, updates, out));
    }

    /// Takes a piece of news in and passes on what is new.
    fn apply_update(&mut self, now: Timestamp, update: GossipUpdate, out: &mut Vec<Output>) {
        if update.subject == self.me {
            return self.refute(&update);
        }
        let Some(known) = self.members.get_mut(&update.subject) else {
            // Whoever was never heard of is not first heard of as gone.
            if matches!(update.suspicion, Suspicion::Alive | Suspicion::Suspect) {
                let accusers = BTreeSet::new();
                let removed_at = Timestamp(now.0 + self.suspicion_timeout_us(0));
                let known = MemberState {
                    suspicion: Suspicion::Alive,
                    refutations: update.refutations,
                    since: now,
                    last_heard_at: None,
                    accusers,
                    removed_at,
                };
                self.members.insert(update.subject.clone(), known);
                let at = self.random.random_range(0..=self.probe_order.len());
                self.probe_order.insert(at, update.subject.clone());
                out.push(Output::Changed(update.subject.clone(), Suspicion::Alive));
                // Views tell all members who is there: that is no news.
                if update.suspicion == Suspicion::Suspect {
                    self.apply_update(now, update, out);
                }
            }
            return;
        };
        let goes_before = match (known.suspicion, update.suspicion) {
            (Suspicion::Left, _) => false,
            (_, Suspicion::Left) => true,
            (Suspicion::Alive | Suspicion::Suspect, Suspicion::Gone) => {
                update.refutations >= known.refutations
            }
            (Suspicion::Gone, Suspicion::Gone) | (Suspicion::Alive, Suspicion::Alive) => false,
            (Suspicion::Gone, Suspicion::Suspect) => false,
            (Suspicion::Alive, Suspicion::Suspect) => update.refutations >= known.refutations,
            (Suspicion::Suspect, Suspicion::Suspect) => {
                return self.confirm_suspicion(now, update);
            }
            // Only the accused itself can have said so.
            (Suspicion::Suspect | Suspicion::Gone, Suspicion::Alive) => {
                update.refutations > known.refutations
            }
        };
        if !goes_before {
            if update.suspicion == Suspicion::Alive && update.refutations > known.refutations {
                known.refutations = update.refutations;
            }
            return;
        }
        (known.suspicion, known.refutations, known.since) = (update.suspicion, update.refutations, now);
        known.accusers = [update.reporter.clone()].into();
        let removed_at = Timestamp(now.0 + self.suspicion_timeout_us(0));
        if let Some(known) = self.members.get_mut(&update.subject) {
            known.removed_at = removed_at;
        }
        out.push(Output::Changed(update.subject.clone(), update.suspicion));
        self.enqueue_update(update);
    }

    /// One more accuser: the suspicion is the shorter, and is passed on as long as that makes a difference.
    fn confirm_suspicion(&mut self, now: Timestamp, update: GossipUpdate) {
        let shortest = [0, 1, 2, 3].map(|confirmations| self.suspicion_timeout_us(confirmations));
        let Some(known) =
            self.members.get_mut(&update.subject).filter(|k| update.refutations >= k.refutations)
        else {
            return;
        };
        known.refutations = update.refutations;
        if known.accusers.len() <= MAX_CONFIRMATIONS && known.accusers.insert(update.reporter.clone()) {
            let span = shortest[(known.accusers.len() - 1).min(MAX_CONFIRMATIONS)];
            known.removed_at = known.removed_at.min(Timestamp(known.since.0 + span)).max(now);
            self.enqueue_update(update);
        }
    }

    /// Somebody thinks this process gone: it says that it is there, louder.
    fn refute(&mut self, update: &GossipUpdate) {
        let accused = matches!(update.suspicion, Suspicion::Suspect | Suspicion::Gone)
            && update.refutations >= self.refutations;
        if !accused || self.leaving {
            return;
        }
        self.refutations = update.refutations + 1;
        self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
        let (subject, reporter) = (self.me.clone(), self.me.name.clone());
        self.enqueue_update(GossipUpdate {
            subject,
            suspicion: Suspicion::Alive,
            refutations: self.refutations,
            reporter,
        });
    }

    /// To be passed on; older news of the same member is dropped, but for other accusers'.
    fn enqueue_update(&mut self, update: GossipUpdate) {
        let same = |old: &GossipUpdate| {
            old.subject == update.subject
                && !(old.suspicion == Suspicion::Suspect
                    && update.suspicion == Suspicion::Suspect
                    && old.reporter != update.reporter)
        };
        self.queued_updates.retain(|(old, _)| !same(old));
        self.queued_updates.push((update, 0));
    }

    /// What goes along with a message: what was passed on least, and whatever is held against its receiver.
    fn take_updates(&mut self, to: Option<&Identity>) -> Vec<GossipUpdate> {
        let most = (RETRANSMIT_MULTIPLE * (self.live_members() as f64 + 1.0).log2()).ceil() as u32;
        self.queued_updates.sort_by_key(|(_, passed)| *passed);
        let mut picked: Vec<GossipUpdate> = Vec::with_capacity(MAX_UPDATES_PER_MESSAGE);
        if let Some((who, known)) = to.and_then(|to| self.members.get_key_value(to)) {
            if known.suspicion == Suspicion::Suspect || known.suspicion == Suspicion::Gone {
                let reporter = known.accusers.first().cloned().unwrap_or_else(|| self.me.name.clone());
                picked.push(GossipUpdate {
                    subject: who.clone(),
                    suspicion: known.suspicion,
                    refutations: known.refutations,
                    reporter,
                });
            }
        }
        for (updates, passed) in self.queued_updates.iter_mut().take(MAX_UPDATES_PER_MESSAGE - picked.len()) {
            picked.push(updates.clone());
            *passed += 1;
        }
        self.queued_updates.retain(|(_, passed)| *passed < most);
        picked
    }

    fn full_state(&self) -> Vec<GossipUpdate> {
        let own = GossipUpdate {
            subject: self.me.clone(),
            suspicion: if self.leaving { Suspicion::Left } else { Suspicion::Alive },
            refutations: self.refutations,
            reporter: self.me.name.clone(),
        };
        let others = self.members.iter().map(|(who, known)| GossipUpdate {
            subject: who.clone(),
            suspicion: known.suspicion,
            refutations: known.refutations,
            reporter: known.accusers.first().cloned().unwrap_or_else(|| self.me.name.clone()),
        });
        std::iter::once(own).chain(others).collect()
    }

    /// So many that are not thought gone, by chance.
    fn random_members(&mut self, count: usize, but: Option<&Identity>) -> Vec<Identity> {
        let there = |(who, known): &(&Identity, &MemberState)| {
            matches!(known.suspicion, Suspicion::Alive | Suspicion::Suspect) && Some(*who) != but
        };
        let mut all: Vec<Identity> = self.members.iter().filter(there).map(|(who, _)| who.clone()).collect();
        let count = count.min(all.len());
        for n in 0..count {
            let other = self.random.random_range(n..all.len());
            all.swap(n, other);
        }
        all.truncate(count);
        all
    }
}
