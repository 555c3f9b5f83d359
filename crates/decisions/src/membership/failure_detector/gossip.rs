//! Gossip: how updates about members are compared, disseminated and refuted, and how long a suspicion lasts.

use super::{
    FailureDetector, GossipUpdate, MemberState, Message, Output, Suspicion, MEMBERS_PER_SYNC_INTERVAL,
};
use crate::interface::Timestamp;
use crate::membership::view::Identity;
use rand::RngExt;
use std::collections::BTreeSet;

/// Number of accusers beyond the first that reduce a suspicion to its minimum duration.
const MAX_CONFIRMATIONS: usize = 3;
/// Duration of a suspicion without confirmation, as a multiple of its minimum duration.
const UNCONFIRMED_SUSPICION_MULTIPLE: f64 = 3.0;
/// Maximum number of updates in one message.
const MAX_UPDATES_PER_MESSAGE: usize = 6;
/// Number of times that an update is sent, as a multiple of the binary logarithm of the number of members.
const RETRANSMIT_MULTIPLE: f64 = 3.0;
/// Time for which a member that is gone is remembered, so that older updates do not add it again.
const REMOVED_RETENTION_US: i64 = 60_000_000;

/// An update that is still being disseminated.
pub(super) struct QueuedUpdate {
    update: GossipUpdate,
    transmissions: u32,
}

/// The effect of an update on the state of its subject.
enum Precedence {
    /// The update replaces the state.
    Supersedes,
    /// The update is a further accusation of a suspected member.
    Confirms,
    /// The update is older than the state.
    Stale,
}

impl Precedence {
    /// Compares an update with the state of its subject. A suspicion applies to the refutation count that it
    /// names; only the subject itself raises that count.
    fn of(update: &GossipUpdate, state: &MemberState) -> Self {
        let supersedes = match (state.suspicion, update.suspicion) {
            (Suspicion::Suspect, Suspicion::Suspect) => return Self::Confirms,
            (Suspicion::Left, _) => false,
            (_, Suspicion::Left) => true,
            (Suspicion::Alive, Suspicion::Suspect)
            | (Suspicion::Alive | Suspicion::Suspect, Suspicion::Gone) => {
                update.refutations >= state.refutations
            }
            (Suspicion::Suspect | Suspicion::Gone, Suspicion::Alive) => {
                update.refutations > state.refutations
            }
            (Suspicion::Alive, Suspicion::Alive) => false,
            (Suspicion::Gone, Suspicion::Gone | Suspicion::Suspect) => false,
        };
        if supersedes {
            Self::Supersedes
        } else {
            Self::Stale
        }
    }
}

impl FailureDetector {
    pub(super) fn apply_updates(
        &mut self,
        now: Timestamp,
        updates: Vec<GossipUpdate>,
        out: &mut Vec<Output>,
    ) {
        updates.into_iter().for_each(|update| self.apply_update(now, update, out));
    }

    /// Applies an update, and queues it for gossip if it changed anything.
    pub(super) fn apply_update(&mut self, now: Timestamp, update: GossipUpdate, out: &mut Vec<Output>) {
        if update.subject == self.me {
            return self.refute(&update);
        }
        let Some(state) = self.members.get_mut(&update.subject) else {
            return self.apply_to_unknown(now, update, out);
        };
        match Precedence::of(&update, state) {
            Precedence::Confirms => self.confirm_suspicion(now, update),
            Precedence::Stale => {
                if update.suspicion == Suspicion::Alive && update.refutations > state.refutations {
                    state.refutations = update.refutations;
                }
            }
            Precedence::Supersedes => {
                state.suspicion = update.suspicion;
                state.refutations = update.refutations;
                state.since = now;
                state.accusers = [update.reporter.clone()].into();
                // The timeout depends on the number of live members, which the new state may have changed.
                let expires_at = Timestamp(now.0 + self.suspicion_timeout_us(0));
                if let Some(state) = self.members.get_mut(&update.subject) {
                    state.suspicion_expires_at = expires_at;
                }
                out.push(Output::Changed(update.subject.clone(), update.suspicion));
                self.enqueue_update(update);
            }
        }
    }

    /// Adds an unknown member as alive, then applies the update if it is a suspicion. A member that is
    /// already gone is not added. The addition is not gossiped, since every member learns the others from the
    /// views.
    fn apply_to_unknown(&mut self, now: Timestamp, update: GossipUpdate, out: &mut Vec<Output>) {
        if !update.suspicion.is_live() {
            return;
        }
        let state = MemberState {
            suspicion: Suspicion::Alive,
            refutations: update.refutations,
            since: now,
            last_heard_at: None,
            accusers: BTreeSet::new(),
            suspicion_expires_at: Timestamp(now.0 + self.suspicion_timeout_us(0)),
        };
        self.members.insert(update.subject.clone(), state);
        let at = self.random.random_range(0..=self.probe_order.len());
        self.probe_order.insert(at, update.subject.clone());
        out.push(Output::Changed(update.subject.clone(), Suspicion::Alive));
        if update.suspicion == Suspicion::Suspect {
            self.apply_update(now, update, out);
        }
    }

    /// Adds an accuser, which shortens the suspicion. Gossips the accusation unless the suspicion already has
    /// its minimum duration.
    fn confirm_suspicion(&mut self, now: Timestamp, update: GossipUpdate) {
        let timeouts_us: [i64; MAX_CONFIRMATIONS + 1] =
            std::array::from_fn(|confirmations| self.suspicion_timeout_us(confirmations));
        let Some(state) =
            self.members.get_mut(&update.subject).filter(|state| update.refutations >= state.refutations)
        else {
            return;
        };
        state.refutations = update.refutations;
        if state.accusers.len() <= MAX_CONFIRMATIONS && state.accusers.insert(update.reporter.clone()) {
            let timeout_us = timeouts_us[(state.accusers.len() - 1).min(MAX_CONFIRMATIONS)];
            let expires_at = Timestamp(state.since.0 + timeout_us);
            state.suspicion_expires_at = state.suspicion_expires_at.min(expires_at).max(now);
            self.enqueue_update(update);
        }
    }

    /// Refutes a suspicion of this process with a higher refutation count.
    fn refute(&mut self, update: &GossipUpdate) {
        let is_accusation = matches!(update.suspicion, Suspicion::Suspect | Suspicion::Gone);
        if !is_accusation || update.refutations < self.refutations || self.leaving {
            return;
        }
        self.refutations = update.refutations + 1;
        self.increase_health_penalty();
        let refutation = self.own_update(Suspicion::Alive);
        self.enqueue_update(refutation);
    }

    /// Returns a statement of this process about itself.
    pub(super) fn own_update(&self, suspicion: Suspicion) -> GossipUpdate {
        GossipUpdate {
            subject: self.me.clone(),
            suspicion,
            refutations: self.refutations,
            reporter: self.me.name.clone(),
        }
    }

    /// Queues an update in place of older ones about the same member. Suspicions by different accusers are
    /// all kept, since each counts as a confirmation.
    pub(super) fn enqueue_update(&mut self, update: GossipUpdate) {
        let is_replaced = |old: &GossipUpdate| {
            let are_confirmations = old.suspicion == Suspicion::Suspect
                && update.suspicion == Suspicion::Suspect
                && old.reporter != update.reporter;
            old.subject == update.subject && !are_confirmations
        };
        self.queued_updates.retain(|queued| !is_replaced(&queued.update));
        self.queued_updates.push(QueuedUpdate { update, transmissions: 0 });
    }

    /// Returns the updates to send with a message and counts their transmission: an accusation of the
    /// receiver, then those sent least often.
    pub(super) fn take_updates(&mut self, to: Option<&Identity>) -> Vec<GossipUpdate> {
        let max_transmissions =
            (RETRANSMIT_MULTIPLE * (self.live_members() as f64 + 1.0).log2()).ceil() as u32;
        self.queued_updates.sort_by_key(|queued| queued.transmissions);
        let mut updates: Vec<GossipUpdate> = Vec::with_capacity(MAX_UPDATES_PER_MESSAGE);
        updates.extend(to.and_then(|receiver| self.accusation_of(receiver)));
        for queued in self.queued_updates.iter_mut().take(MAX_UPDATES_PER_MESSAGE - updates.len()) {
            updates.push(queued.update.clone());
            queued.transmissions += 1;
        }
        self.queued_updates.retain(|queued| queued.transmissions < max_transmissions);
        updates
    }

    fn accusation_of(&self, member: &Identity) -> Option<GossipUpdate> {
        let state = self.members.get(member)?;
        let is_accused = matches!(state.suspicion, Suspicion::Suspect | Suspicion::Gone);
        is_accused.then(|| self.statement_about(member, state))
    }

    fn statement_about(&self, member: &Identity, state: &MemberState) -> GossipUpdate {
        GossipUpdate {
            subject: member.clone(),
            suspicion: state.suspicion,
            refutations: state.refutations,
            reporter: state.accusers.first().cloned().unwrap_or_else(|| self.me.name.clone()),
        }
    }

    /// Returns a statement about each member, this process first.
    pub(super) fn full_state(&self) -> Vec<GossipUpdate> {
        let own = self.own_update(if self.leaving { Suspicion::Left } else { Suspicion::Alive });
        let others = self.members.iter().map(|(member, state)| self.statement_about(member, state));
        std::iter::once(own).chain(others).collect()
    }

    /// Exchanges the full state with a random member.
    pub(super) fn sync_state(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let intervals = (self.live_members() as i64 / MEMBERS_PER_SYNC_INTERVAL).max(1);
        self.next_sync_at = Timestamp(now.0 + self.config.sync_interval_us * intervals);
        if let Some(member) = self.random_members(1, None).pop() {
            let state = Message::StateSync { known: self.full_state(), wanted: true };
            out.push(Output::Send(member, state));
        }
    }

    /// Returns the duration of a suspicion with a number of confirmations, in microseconds.
    fn suspicion_timeout_us(&self, confirmations: usize) -> i64 {
        let size_factor = (self.live_members() as f64).log10().max(1.0);
        let min_us =
            self.config.min_suspicion_us as f64 * size_factor * f64::from(self.health_penalty + 1).sqrt();
        let confirmed_fraction =
            (confirmations.min(MAX_CONFIRMATIONS) as f64 + 1.0).ln() / (MAX_CONFIRMATIONS as f64 + 1.0).ln();
        // With too few members to confirm a suspicion, the minimum duration applies at once.
        let possible_accusers = self.live_members().saturating_sub(2);
        let fraction = if possible_accusers < MAX_CONFIRMATIONS { 1.0 } else { confirmed_fraction };
        let multiple = UNCONFIRMED_SUSPICION_MULTIPLE - (UNCONFIRMED_SUSPICION_MULTIPLE - 1.0) * fraction;
        (min_us * multiple) as i64
    }

    /// Declares suspects gone that did not refute in time, and forgets those that have been gone for long.
    pub(super) fn expire_suspicions(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let is_expired =
            |state: &MemberState| state.suspicion == Suspicion::Suspect && now >= state.suspicion_expires_at;
        let expired: Vec<GossipUpdate> = self
            .members
            .iter()
            .filter(|(_, state)| is_expired(state))
            .map(|(member, state)| GossipUpdate {
                subject: member.clone(),
                suspicion: Suspicion::Gone,
                refutations: state.refutations,
                reporter: self.me.name.clone(),
            })
            .collect();
        self.apply_updates(now, expired, out);
        self.members
            .retain(|_, state| state.suspicion.is_live() || now.0 - state.since.0 < REMOVED_RETENTION_US);
    }
}
