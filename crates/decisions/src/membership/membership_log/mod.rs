//! What is told of the fleet to people: who is in, who says so, what changed and why. It is read from the two layers and
//! decides nothing.

use crate::interface::Timestamp;
use crate::membership::consensus::{Consensus, Event};
use crate::membership::failure_detector::{FailureDetector, Suspicion};
use crate::membership::member::{Member, Output};
use crate::membership::view::{Identity, View};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Changes that are remembered.
const MOST_CHANGES: usize = 64;

/// Why somebody is in or out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// It founded the fleet with the others.
    Founded,
    /// It asked to be let in.
    Joined,
    /// It took its leave.
    Left,
    /// It answered nobody.
    Gone,
    /// Another process of its name took its place.
    Replaced,
    /// Most voters did not hear it, or it could not renew its lease, though it seemed alive.
    CutOff,
    /// This process has got its lease.
    LeaseHeld,
    /// This process has lost its lease, or is out: it acts as no member.
    Fenced,
    /// This process stood still.
    Stood,
    /// It is out, and knows it by now: somebody else may act in its place.
    Free,
}

/// Something that changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changed {
    /// How long ago, in milliseconds.
    pub ms_ago: i64,
    /// The view's number since.
    pub epoch: u64,
    /// Whom it is about.
    pub who: String,
    /// Why.
    pub cause: Cause,
}

/// A member as this process knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its name and incarnation.
    pub member: String,
    /// Whether it votes on the next view.
    pub votes: bool,
    /// What the advice thinks of it; none of one that this process has not met.
    pub advice: Option<Suspicion>,
    /// How long ago it was heard here itself, in milliseconds.
    pub heard_ms_ago: Option<i64>,
    /// Where it is.
    pub address: Option<String>,
}

/// Whom a voter hears itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Links {
    /// The voter.
    pub voter: String,
    /// Members of the view that it does not hear: links that are broken in its direction.
    pub deaf_to: Vec<String>,
    /// Whether it says that it has no lease.
    pub fenced: bool,
}

/// The fleet as one process knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// The fleet's name.
    pub fleet: String,
    /// Who says all this.
    pub me: String,
    /// The number of the latest view that it knows; 0 before there is one.
    pub epoch: u64,
    /// Whether it is a member by that view.
    pub member: bool,
    /// Whether it must not act as a member.
    pub fenced: bool,
    /// How long its lease still lasts, in milliseconds.
    pub lease_left_ms: i64,
    /// How unwell it thinks itself: 0 is well.
    pub unwell: u32,
    /// The members of the view, the longest-standing first.
    pub members: Vec<Row>,
    /// What the voters say of the links, where this process votes.
    pub links: Vec<Links>,
    /// What changed lately, the last first.
    pub changes: Vec<Changed>,
}

/// A change as it is told: the view's number since, whom it is about, and why.
pub type MembershipChange = (u64, String, Cause);

/// What changed, and when.
#[derive(Clone, Debug)]
pub struct MembershipLog {
    view: View,
    changes: VecDeque<(Timestamp, MembershipChange)>,
    /// What was thought last of those who may be out by now.
    thought: BTreeMap<Identity, Suspicion>,
    /// Who is out and was not yet told to be free.
    out: Vec<Identity>,
}

impl Default for MembershipLog {
    fn default() -> Self {
        Self { view: View::genesis(&[]), changes: VecDeque::new(), thought: BTreeMap::new(), out: Vec::new() }
    }
}

impl MembershipLog {
    /// Takes in what a member puts out; what is new comes back, for the log.
    pub fn note(&mut self, now: Timestamp, me: &Identity, output: &Output) -> Vec<MembershipChange> {
        let news = match output {
            Output::SuspicionChanged(who, opinion) => {
                self.thought.insert(who.clone(), *opinion);
                Vec::new()
            }
            Output::Consensus(Event::View(view)) => self.view_changed(view),
            Output::Consensus(Event::Fenced) => vec![(self.view.epoch, me.to_string(), Cause::Fenced)],
            Output::Consensus(Event::Unfenced) => vec![(self.view.epoch, me.to_string(), Cause::LeaseHeld)],
            Output::Stalled(_) => vec![(self.view.epoch, me.to_string(), Cause::Stood)],
            _ => Vec::new(),
        };
        self.remember(now, news)
    }

    fn remember(&mut self, now: Timestamp, news: Vec<MembershipChange>) -> Vec<MembershipChange> {
        news.iter().for_each(|told| self.changes.push_front((now, told.clone())));
        self.changes.truncate(MOST_CHANGES);
        news
    }

    fn view_changed(&mut self, view: &View) -> Vec<MembershipChange> {
        let old = std::mem::replace(&mut self.view, view.clone());
        let out = || old.members.iter().filter(|m| m.incarnation > 0 && !view.members.contains(m));
        let gone = out().map(|m| {
            let cause = match self.thought.get(m) {
                Some(Suspicion::Left) => Cause::Left,
                _ if view.member_named(&m.name).is_some() => Cause::Replaced,
                Some(Suspicion::Gone) => Cause::Gone,
                _ => Cause::CutOff,
            };
            (view.epoch, m.to_string(), cause)
        });
        let first = if view.epoch == 1 { Cause::Founded } else { Cause::Joined };
        let come = view.members.iter().filter(|m| !old.members.contains(m));
        let news = gone.chain(come.map(|m| (view.epoch, m.to_string(), first))).collect();
        self.thought.retain(|who, _| view.contains(who));
        self.out.extend(out().cloned());
        // Whoever is left over from long ago is told of no more.
        self.out.drain(..self.out.len().saturating_sub(MOST_CHANGES));
        news
    }

    /// Lives that became free to be replaced since it was asked last, as [`Self::note`] tells changes.
    pub fn freed(&mut self, now: Timestamp, consensus: &Consensus) -> Vec<MembershipChange> {
        if self.out.is_empty() {
            return Vec::new();
        }
        let (freed, out): (Vec<_>, Vec<_>) =
            self.out.drain(..).partition(|who| consensus.can_take_over(who, now));
        self.out = out;
        let epoch = consensus.view().epoch;
        let news = freed.iter().map(|who| (epoch, who.to_string(), Cause::Free)).collect();
        self.remember(now, news)
    }

    /// The fleet as that member knows it at that moment.
    pub fn told(
        &self,
        now: Timestamp,
        fleet: &str,
        member: &Member,
        address: impl Fn(&Identity) -> Option<std::net::SocketAddr>,
    ) -> Fleet {
        let (consensus, detector) = (member.consensus(), member.failure_detector());
        let view = consensus.view();
        Fleet {
            fleet: fleet.to_owned(),
            me: member.me().to_string(),
            epoch: view.epoch,
            member: view.contains(member.me()),
            fenced: consensus.fenced(now),
            lease_left_ms: consensus.lease_left(now) / 1_000,
            unwell: detector.local_health(),
            members: members(now, view, member.me(), detector, address),
            links: member.rows().map(|(voter, row)| links(view, voter, row)).collect(),
            changes: self.changes.iter().map(|change| changed(now, change)).collect(),
        }
    }
}

fn changed(now: Timestamp, (at, (epoch, who, cause)): &(Timestamp, MembershipChange)) -> Changed {
    Changed { ms_ago: (now.0 - at.0) / 1_000, epoch: *epoch, who: who.clone(), cause: *cause }
}

fn members(
    now: Timestamp,
    view: &View,
    me: &Identity,
    detector: &FailureDetector,
    address: impl Fn(&Identity) -> Option<std::net::SocketAddr>,
) -> Vec<Row> {
    let row = |who: &Identity| Row {
        member: who.to_string(),
        votes: view.is_voter(who),
        advice: if who == me { Some(Suspicion::Alive) } else { detector.suspicion(who) },
        heard_ms_ago: detector.last_heard_at(who).map(|at| (now.0 - at.0) / 1_000),
        address: address(who).map(|address| address.to_string()),
    };
    view.members.iter().filter(|who| who.incarnation > 0).map(row).collect()
}

fn links(view: &View, voter: &Identity, row: &crate::membership::reconfiguration::ReachabilityRow) -> Links {
    let deaf = view.members.iter().zip(&row.hears).filter(|(_, hears)| !**hears);
    let same = row.epoch == view.epoch;
    Links {
        voter: voter.to_string(),
        deaf_to: deaf.filter(|_| same).map(|(who, _)| who.to_string()).collect(),
        fenced: row.fenced,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn view(epoch: u64, members: &[(&str, u64)]) -> Output {
        let members = members.iter().map(|(name, incarnation)| Identity::new(name, *incarnation)).collect();
        Output::Consensus(Event::View(View { epoch, members }))
    }

    fn note(membership_log: &mut MembershipLog, output: Output) -> Vec<(String, Cause)> {
        let me = Identity::new("a", 1);
        let news = membership_log.note(Timestamp(0), &me, &output);
        news.into_iter().map(|(_, who, cause)| (who, cause)).collect()
    }

    #[test]
    fn each_change_has_its_cause() {
        let mut membership_log = MembershipLog::default();
        let all = [("a", 1), ("b", 1), ("c", 1), ("d", 1), ("e", 1)];
        let founded = note(&mut membership_log, view(1, &all));
        assert!(founded.len() == 5 && founded.iter().all(|(_, cause)| *cause == Cause::Founded));
        note(&mut membership_log, Output::SuspicionChanged(Identity::new("b", 1), Suspicion::Gone));
        note(&mut membership_log, Output::SuspicionChanged(Identity::new("c", 1), Suspicion::Left));
        note(&mut membership_log, Output::SuspicionChanged(Identity::new("e", 1), Suspicion::Suspect));
        let changed = note(&mut membership_log, view(2, &[("a", 1), ("d", 2), ("f", 1)]));
        let of = |name: &str| {
            changed.iter().filter(|(who, _)| who.starts_with(name)).map(|(_, c)| *c).collect::<Vec<_>>()
        };
        assert_eq!((of("b"), of("c"), of("e")), (vec![Cause::Gone], vec![Cause::Left], vec![Cause::CutOff]));
        assert_eq!((of("d"), of("f")), (vec![Cause::Replaced, Cause::Joined], vec![Cause::Joined]));
    }

    #[test]
    fn the_last_change_stands_first_and_few_are_remembered() {
        let mut membership_log = MembershipLog::default();
        for _ in 0..100 {
            note(&mut membership_log, Output::Consensus(Event::Fenced));
            note(&mut membership_log, Output::Consensus(Event::Unfenced));
        }
        assert_eq!(membership_log.changes.len(), MOST_CHANGES);
        assert_eq!(membership_log.changes[0].1 .2, Cause::LeaseHeld);
    }
}
