//! Probes: when each member is probed, and the consequences of an answer or its absence.

use super::{FailureDetector, GossipUpdate, Message, Output, Suspicion};
use crate::interface::Timestamp;
use crate::membership::view::Identity;

/// Number of members that are asked to probe a member that did not answer.
const INDIRECT_PROBES: usize = 3;

/// The probe whose answer this process waits for.
pub(super) struct CurrentProbe {
    target: Identity,
    sequence: u32,
    /// When other members are asked to probe the target; `None` once they were asked or the probe was
    /// answered.
    pub(super) help_at: Option<Timestamp>,
    /// Helpers that have sent neither an ack nor a nack. If any remain silent, the prober itself may be cut
    /// off.
    silent_helpers: usize,
    answered: bool,
}

/// A probe sent on behalf of another member.
pub(super) struct IndirectProbe {
    requester: Identity,
    /// The sequence number that the requester uses.
    requester_sequence: u32,
    pub(super) expires_at: Timestamp,
}

impl FailureDetector {
    /// Probes the next member. Every member is probed once in a random order before a new order is drawn, so
    /// two probes of one member are at most two rounds apart.
    pub(super) fn start_probe(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let slowdown = i64::from(self.health_penalty) + 1;
        self.next_probe_at = Timestamp(now.0 + self.config.probe_interval_us * slowdown);
        let Some(target) = self.next_probe_target() else { return };
        self.sequence += 1;
        let sequence = self.sequence;
        self.current_probe = Some(CurrentProbe {
            target: target.clone(),
            sequence,
            help_at: Some(Timestamp(now.0 + self.config.answer_timeout_us * slowdown)),
            silent_helpers: 0,
            answered: false,
        });
        let updates = self.take_updates(Some(&target));
        out.push(Output::Send(target, Message::Probe { sequence, updates }));
    }

    fn next_probe_target(&mut self) -> Option<Identity> {
        loop {
            let Some(target) = self.probe_order.pop() else {
                self.probe_order = self.random_members(usize::MAX, None);
                return self.probe_order.pop();
            };
            if self.suspicion(&target).is_some_and(Suspicion::is_live) {
                return Some(target);
            }
        }
    }

    /// Asks other members to probe the target of the current probe.
    pub(super) fn request_indirect_probes(&mut self, out: &mut Vec<Output>) {
        let unanswered = self.current_probe.as_ref().filter(|probe| !probe.answered);
        let Some(target) = unanswered.map(|probe| probe.target.clone()) else { return };
        let helpers = self.random_members(INDIRECT_PROBES, Some(&target));
        let Some(probe) = self.current_probe.as_mut() else { return };
        probe.help_at = None;
        probe.silent_helpers = helpers.len();
        let sequence = probe.sequence;
        for helper in helpers {
            let updates = self.take_updates(Some(&helper));
            let request = Message::IndirectProbe { sequence, target: target.clone(), updates };
            out.push(Output::Send(helper, request));
        }
    }

    /// Probes `target` on behalf of `requester`.
    pub(super) fn probe_for(
        &mut self,
        now: Timestamp,
        requester: &Identity,
        requester_sequence: u32,
        target: Identity,
        out: &mut Vec<Output>,
    ) {
        self.sequence += 1;
        let expires_at = Timestamp(now.0 + self.config.answer_timeout_us);
        let probe = IndirectProbe { requester: requester.clone(), requester_sequence, expires_at };
        self.indirect_probes.insert(self.sequence, probe);
        let updates = self.take_updates(Some(&target));
        out.push(Output::Send(target, Message::Probe { sequence: self.sequence, updates }));
    }

    /// Handles the answer to a probe of this process, or forwards it to the member on whose behalf the probe
    /// was sent.
    pub(super) fn handle_ack(&mut self, from: &Identity, sequence: u32, out: &mut Vec<Output>) {
        if let Some(IndirectProbe { requester, requester_sequence, .. }) =
            self.indirect_probes.remove(&sequence)
        {
            let updates = self.take_updates(Some(&requester));
            let ack = Message::Ack { sequence: requester_sequence, updates };
            return out.push(Output::Send(requester, ack));
        }
        let Some(probe) = self.current_probe.as_mut().filter(|probe| probe.sequence == sequence) else {
            return;
        };
        probe.answered = true;
        probe.help_at = None;
        if probe.target == *from {
            self.health_penalty = self.health_penalty.saturating_sub(1);
        }
    }

    /// Records that a helper is reachable although the target did not answer it.
    pub(super) fn handle_nack(&mut self, sequence: u32) {
        if let Some(probe) = self.current_probe.as_mut().filter(|probe| probe.sequence == sequence) {
            probe.silent_helpers = probe.silent_helpers.saturating_sub(1);
        }
    }

    /// Ends expired indirect probes, and tells their requesters that the target did not answer.
    pub(super) fn expire_indirect_probes(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let expired: Vec<u32> = self
            .indirect_probes
            .iter()
            .filter(|(_, probe)| probe.expires_at <= now)
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in expired {
            if let Some(probe) = self.indirect_probes.remove(&sequence) {
                let nack = Message::Nack { sequence: probe.requester_sequence };
                out.push(Output::Send(probe.requester, nack));
            }
        }
    }

    /// Ends the current probe, and suspects the target if it has not answered.
    pub(super) fn finish_probe(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let Some(probe) = self.current_probe.take().filter(|probe| !probe.answered) else { return };
        if probe.silent_helpers > 0 {
            self.increase_health_penalty();
        }
        let refutations = self.members.get(&probe.target).map_or(0, |state| state.refutations);
        let update = GossipUpdate {
            subject: probe.target,
            suspicion: Suspicion::Suspect,
            refutations,
            reporter: self.me.name.clone(),
        };
        self.apply_update(now, update, out);
    }
}
