//! Failure detector: suspects members quickly and sometimes wrongly.
//!
//! Implements SWIM with the Lifeguard extensions. Members are probed in random order, directly and through
//! others. A suspected member can refute the suspicion, and is told of it first. Independent confirmations
//! shorten a suspicion. A prober that has signs of being unhealthy itself waits longer.
//!
//! A [`Suspicion`] is not safe to act on. It can only cause a proposal in [`crate::membership::consensus`].

mod config;
mod gossip;
mod message;
mod probing;

pub use config::FailureDetectorConfig;
pub use message::{GossipUpdate, Message, Output, Suspicion};

use super::view::{Identity, Name};
use crate::interface::Timestamp;
use gossip::QueuedUpdate;
use probing::{CurrentProbe, IndirectProbe};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Number of members that are told directly when this one leaves.
const LEAVE_ANNOUNCEMENTS: usize = 6;
/// Maximum health penalty. A penalty of n makes probe intervals and timeouts n + 1 times as long.
const MAX_HEALTH_PENALTY: u32 = 8;
/// The interval between exchanges of the full state is the configured one times the number of full groups of
/// this many members, at least one. The size of an exchange grows with the fleet, so this keeps the traffic
/// of each member constant.
const MEMBERS_PER_SYNC_INTERVAL: i64 = 32;

/// The state of another member.
#[derive(Clone, Debug)]
struct MemberState {
    suspicion: Suspicion,
    refutations: u32,
    /// When the suspicion last changed, or the member was added.
    since: Timestamp,
    /// When the last message came from the member itself, not through others.
    last_heard_at: Option<Timestamp>,
    /// The members that suspect this one.
    accusers: BTreeSet<Name>,
    /// When the member is declared gone, if it is suspected.
    suspicion_expires_at: Timestamp,
}

/// One member's beliefs about the liveness of the others.
pub struct FailureDetector {
    me: Identity,
    config: FailureDetectorConfig,
    random: ChaCha8Rng,
    members: BTreeMap<Identity, MemberState>,
    /// Members to probe next, the last one first.
    probe_order: Vec<Identity>,
    current_probe: Option<CurrentProbe>,
    /// Probes sent on behalf of other members, by the sequence number that this process used.
    indirect_probes: BTreeMap<u32, IndirectProbe>,
    sequence: u32,
    refutations: u32,
    health_penalty: u32,
    queued_updates: Vec<QueuedUpdate>,
    next_probe_at: Timestamp,
    next_sync_at: Timestamp,
    leaving: bool,
}

impl FailureDetector {
    /// Creates the failure detector of a member that knows no other member yet. `seed` determines its random
    /// choices.
    pub fn new(me: Identity, config: FailureDetectorConfig, seed: u64, now: Timestamp) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let first_due = |interval_us: i64, random: &mut ChaCha8Rng| {
            Timestamp(now.0 + random.random_range(0..interval_us.max(1)))
        };
        let next_probe_at = first_due(config.probe_interval_us, &mut random);
        let next_sync_at = first_due(config.sync_interval_us, &mut random);
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
            health_penalty: 0,
            queued_updates: Vec::new(),
            next_probe_at,
            next_sync_at,
            leaving: false,
        }
    }

    /// Returns the state of a member, or `None` if the member is not known.
    pub fn suspicion(&self, member: &Identity) -> Option<Suspicion> {
        self.members.get(member).map(|state| state.suspicion)
    }

    /// Returns all known members with their states.
    pub fn suspicions(&self) -> impl Iterator<Item = (&Identity, Suspicion)> + '_ {
        self.members.iter().map(|(member, state)| (member, state.suspicion))
    }

    /// Returns when the last message came from a member itself, not through others.
    pub fn last_heard_at(&self, member: &Identity) -> Option<Timestamp> {
        self.members.get(member).and_then(|state| state.last_heard_at)
    }

    /// Returns the health penalty of this process: 0 is healthy, 8 the worst.
    pub fn health_penalty(&self) -> u32 {
        self.health_penalty
    }

    /// Returns the number of members that are alive or suspected, including this one.
    fn live_members(&self) -> usize {
        1 + self.members.values().filter(|state| state.suspicion.is_live()).count()
    }

    /// Adds a member as alive. Has no effect if the member is known already.
    pub fn add_member(&mut self, now: Timestamp, member: &Identity, out: &mut Vec<Output>) {
        let update = GossipUpdate {
            subject: member.clone(),
            suspicion: Suspicion::Alive,
            refutations: 0,
            reporter: self.me.name.clone(),
        };
        self.apply_update(now, update, out);
    }

    /// Records that a message of any kind came from a member itself.
    pub fn record_contact(&mut self, now: Timestamp, from: &Identity, out: &mut Vec<Output>) {
        self.add_member(now, from, out);
        if let Some(state) = self.members.get_mut(from) {
            state.last_heard_at = Some(now);
        }
    }

    /// Handles a message from the failure detector of another member.
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
                self.probe_for(now, from, sequence, target, out);
            }
            Message::Nack { sequence } => self.handle_nack(sequence),
            Message::StateSync { known, wanted } => {
                self.apply_updates(now, known, out);
                if wanted {
                    let state = Message::StateSync { known: self.full_state(), wanted: false };
                    out.push(Output::Send(from.clone(), state));
                }
            }
        }
    }

    /// Returns when [`Self::handle_timeout`] has to be called at the latest.
    pub fn next_timeout(&self) -> Timestamp {
        let help = self.current_probe.as_ref().and_then(|probe| probe.help_at);
        let indirect = self.indirect_probes.values().map(|probe| probe.expires_at).min();
        let suspicion = self
            .members
            .values()
            .filter(|state| state.suspicion == Suspicion::Suspect)
            .map(|state| state.suspicion_expires_at)
            .min();
        let optional = [help, indirect, suspicion].into_iter().flatten();
        optional.fold(self.next_probe_at.min(self.next_sync_at), Timestamp::min)
    }

    /// Handles what is due at this time: a stall, expired probes and suspicions, the next probe and state
    /// exchange.
    pub fn handle_timeout(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let late_us = now.0 - self.next_timeout().0;
        if late_us > self.config.stall_threshold_us {
            self.recover_from_stall(now, late_us, out);
        }
        self.expire_indirect_probes(now, out);
        if self.current_probe.as_ref().and_then(|probe| probe.help_at).is_some_and(|at| now >= at) {
            self.request_indirect_probes(out);
        }
        self.expire_suspicions(now, out);
        if now >= self.next_probe_at {
            self.finish_probe(now, out);
            self.start_probe(now, out);
        }
        if now >= self.next_sync_at {
            self.sync_state(now, out);
        }
    }

    /// Announces to some members, which gossip it, that this one leaves.
    pub fn leave(&mut self, out: &mut Vec<Output>) {
        self.leaving = true;
        let update = self.own_update(Suspicion::Left);
        for to in self.random_members(LEAVE_ANNOUNCEMENTS, None) {
            self.sequence += 1;
            let updates = vec![update.clone()];
            out.push(Output::Send(to, Message::Probe { sequence: self.sequence, updates }));
        }
    }

    /// Discards what was observed before the process was paused: answers may still be waiting in its sockets,
    /// so no member is accused of not having answered.
    fn recover_from_stall(&mut self, now: Timestamp, stall_us: i64, out: &mut Vec<Output>) {
        self.current_probe = None;
        self.indirect_probes.clear();
        self.health_penalty = MAX_HEALTH_PENALTY;
        for state in self.members.values_mut() {
            state.suspicion_expires_at = Timestamp(state.suspicion_expires_at.0 + stall_us);
            state.last_heard_at = state.last_heard_at.map(|_| now);
        }
        // Others may have suspected this process meanwhile: a higher count supersedes their suspicion.
        self.refutations += 1;
        let update = self.own_update(Suspicion::Alive);
        self.enqueue_update(update);
        out.push(Output::Stalled(stall_us));
    }

    fn increase_health_penalty(&mut self) {
        self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
    }

    /// Returns up to `count` live members other than `except`, in random order.
    fn random_members(&mut self, count: usize, except: Option<&Identity>) -> Vec<Identity> {
        let mut candidates: Vec<Identity> = self
            .members
            .iter()
            .filter(|(member, state)| state.suspicion.is_live() && Some(*member) != except)
            .map(|(member, _)| member.clone())
            .collect();
        let count = count.min(candidates.len());
        for n in 0..count {
            let other = self.random.random_range(n..candidates.len());
            candidates.swap(n, other);
        }
        candidates.truncate(count);
        candidates
    }
}
