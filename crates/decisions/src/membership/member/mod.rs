//! One member of the fleet as a state machine: its failure detector, its state in the consensus, and the
//! policy that connects them. Events and the current time go in, [`Output`]s come out. The caller owns
//! sockets, addresses and keys.

mod admission;
mod message;
mod reconfigure;

pub use message::{FleetConfig, MemberMessage, Output};

use super::consensus::{self, Consensus, DurableState, Event};
use super::failure_detector::{self, FailureDetector, Suspicion};
use super::reconfiguration::{FlapDamping, ReachabilityRow};
use super::view::Identity;
use crate::interface::Timestamp;
use admission::JoinProgress;
use reconfigure::QuorumHistory;
use std::collections::{BTreeMap, BTreeSet};

/// A voter's report and when it was received.
#[derive(Clone, Debug)]
struct ReceivedRow {
    row: ReachabilityRow,
    received_at: Timestamp,
}

/// One member of the fleet.
pub struct Member {
    me: Identity,
    config: FleetConfig,
    consensus: Consensus,
    failure_detector: FailureDetector,
    random_seed: u64,
    /// The latest report of each voter, about the current view.
    rows: BTreeMap<Identity, ReceivedRow>,
    /// Members that no quorum hears, each with the time since which it is unheard.
    unheard_since: BTreeMap<Identity, Timestamp>,
    /// Processes that requested admission, each with the time of its last request.
    joining: BTreeMap<Identity, Timestamp>,
    /// Members that reported a missing lease, each with the time of its last report.
    lease_starved: BTreeMap<Identity, Timestamp>,
    /// Members that are leaving.
    leaving_members: BTreeSet<Identity>,
    flap_damping: FlapDamping,
    quorum_history: QuorumHistory,
    /// When this process next reports to the voters and checks whether to propose a change of the view.
    next_check_at: Timestamp,
    /// Time since which this process has no lease, restarted at its admission; `None` while it has one.
    fenced_since: Option<Timestamp>,
    /// When this process first noticed a proposal that it has accepted and whose outcome it does not know.
    undecided_since: Option<Timestamp>,
    /// When this process was admitted.
    joined_at: Timestamp,
    join: JoinProgress,
    leaving: bool,
}

impl Member {
    /// Starts a process as an incarnation with its stored state. `random_seed` determines its random choices.
    pub fn new(
        me: Identity,
        config: FleetConfig,
        durable: DurableState,
        random_seed: u64,
        now: Timestamp,
    ) -> Self {
        let consensus = Consensus::new(me.clone(), config.terms, &config.founders, durable, now);
        let failure_detector = FailureDetector::new(me.clone(), config.failure_detector, random_seed, now);
        let join = JoinProgress::new(Timestamp(now.0 + config.terms.ballot_timeout_us));
        Self {
            me,
            config,
            consensus,
            failure_detector,
            random_seed,
            rows: BTreeMap::new(),
            unheard_since: BTreeMap::new(),
            joining: BTreeMap::new(),
            lease_starved: BTreeMap::new(),
            leaving_members: BTreeSet::new(),
            flap_damping: FlapDamping::default(),
            quorum_history: QuorumHistory::new(now),
            next_check_at: now,
            fenced_since: Some(now),
            undecided_since: None,
            joined_at: Timestamp(i64::MIN / 2),
            join,
            leaving: false,
        }
    }

    /// Returns the current incarnation of this process.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// Returns the consensus, which is safe to act on.
    pub fn consensus(&self) -> &Consensus {
        &self.consensus
    }

    /// Returns the failure detector, which may be wrong.
    pub fn failure_detector(&self) -> &FailureDetector {
        &self.failure_detector
    }

    /// Returns the reports of the voters, if this process is one.
    pub fn rows(&self) -> impl Iterator<Item = (&Identity, &ReachabilityRow)> + '_ {
        self.rows.iter().map(|(voter, received)| (voter, &received.row))
    }

    /// Returns whether this process is leaving the fleet.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns when [`Self::handle_timeout`] has to be called at the latest.
    pub fn next_timeout(&self) -> Timestamp {
        let next = self.failure_detector.next_timeout().min(self.next_check_at);
        self.consensus.next_timeout().map_or(next, |at| at.min(next))
    }

    /// Handles what is due at this time in the failure detector, the consensus and the periodic check.
    pub fn handle_timeout(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.with_failure_detector(now, out, |detector, now, outputs| {
            if detector.next_timeout() <= now {
                detector.handle_timeout(now, outputs);
            }
        });
        self.with_consensus(now, out, |consensus, outputs| consensus.handle_timeout(now, outputs));
        if now >= self.next_check_at {
            self.next_check_at = Timestamp(now.0 + self.check_interval_us());
            self.check(now, out);
        }
    }

    /// Handles a message. Ignores messages from another process of this name or another incarnation of this
    /// process.
    pub fn handle_message(
        &mut self,
        now: Timestamp,
        from: &Identity,
        message: MemberMessage,
        out: &mut Vec<Output>,
    ) {
        if from.name == self.me.name && *from != self.me {
            return;
        }
        self.with_failure_detector(now, out, |detector, now, outputs| {
            detector.record_contact(now, from, outputs);
        });
        match message {
            MemberMessage::FailureDetector(message) => {
                self.with_failure_detector(now, out, |detector, now, outputs| {
                    detector.handle_message(now, from, message, outputs);
                });
            }
            MemberMessage::Consensus(message) => {
                self.record_founding(&message);
                self.with_consensus(now, out, |consensus, outputs| {
                    consensus.handle_message(now, from, message, outputs);
                });
            }
            MemberMessage::Reachability(row) => self.handle_reachability(now, from, row, out),
            MemberMessage::JoinRequest => self.handle_join_request(now, from, out),
            MemberMessage::JoinRejected(namesake) => self.handle_join_rejected(now, namesake, out),
            MemberMessage::LeaseStarved => _ = self.lease_starved.insert(from.clone(), now),
            MemberMessage::Leaving => self.record_leave(from, out),
        }
    }

    /// Starts to leave the fleet. [`Output::Left`] follows once a view without this process is decided.
    pub fn leave(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.leaving = true;
        let me = self.me.clone();
        self.record_leave(&me, out);
        self.with_failure_detector(now, out, |detector, _, outputs| detector.leave(outputs));
        self.next_check_at = now;
    }

    /// Runs an action of the failure detector and applies its outputs.
    fn with_failure_detector(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Output>,
        action: impl FnOnce(&mut FailureDetector, Timestamp, &mut Vec<failure_detector::Output>),
    ) {
        let mut outputs = Vec::new();
        action(&mut self.failure_detector, now, &mut outputs);
        for output in outputs {
            match output {
                failure_detector::Output::Send(to, message) => {
                    out.push(Output::Send(to, MemberMessage::FailureDetector(message)));
                }
                failure_detector::Output::Changed(member, suspicion) => {
                    if suspicion == Suspicion::Gone {
                        self.next_check_at = now;
                    }
                    out.push(Output::SuspicionChanged(member, suspicion));
                }
                failure_detector::Output::Stalled(stall_us) => {
                    self.forget_observations();
                    out.push(Output::Stalled(stall_us));
                }
            }
        }
    }

    /// Discards the reports of voters and members: they are outdated after a stall, and concern another view
    /// after a change of the view.
    fn forget_observations(&mut self) {
        self.rows.clear();
        self.unheard_since.clear();
        self.lease_starved.clear();
    }

    /// Runs an action of the consensus and applies its outputs.
    fn with_consensus(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Output>,
        action: impl FnOnce(&mut Consensus, &mut Vec<consensus::Output>),
    ) {
        let epoch = self.consensus.view().epoch;
        let mut outputs = Vec::new();
        action(&mut self.consensus, &mut outputs);
        for output in outputs {
            match output {
                consensus::Output::Send(to, message) => {
                    out.push(Output::Send(to, MemberMessage::Consensus(message)));
                }
                consensus::Output::Persist(durable) => out.push(Output::Persist(self.me.clone(), durable)),
                consensus::Output::Event(event) => self.handle_consensus_event(now, event, out),
            }
        }
        if self.consensus.view().epoch > epoch {
            self.handle_view_change(now, out);
        }
    }

    fn handle_consensus_event(&mut self, now: Timestamp, event: Event, out: &mut Vec<Output>) {
        match event {
            Event::Fenced => self.fenced_since = Some(now),
            Event::Unfenced => self.fenced_since = None,
            Event::View(_) | Event::ConflictingView(_) => {}
        }
        out.push(Output::Consensus(event));
    }

    /// Applies a newly adopted view to the state of this member.
    fn handle_view_change(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let (old, view) = (self.consensus.previous_view().clone(), self.consensus.view().clone());
        let has_left = |member: &Identity| {
            self.leaving_members.contains(member)
                || self.failure_detector.suspicion(member) == Some(Suspicion::Left)
        };
        self.flap_damping.record_view_change(now, &old, &view, has_left);
        self.forget_observations();
        self.leaving_members.retain(|member| view.contains(member));
        self.joining.retain(|member, _| !view.contains(member));
        let me = self.me.clone();
        for member in view.members.iter().filter(|member| **member != me) {
            self.with_failure_detector(now, out, |detector, now, outputs| {
                detector.add_member(now, member, outputs);
            });
        }
        self.update_own_membership(now, &old, &view, out);
        self.next_check_at = now;
    }
}
