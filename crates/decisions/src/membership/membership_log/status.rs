//! The fleet as one process knows it: what `GET /admin/fleet` answers. The names in that answer are fixed; serde maps them.

use super::{Cause, LoggedChange, MembershipLog};
use crate::interface::Timestamp;
use crate::membership::failure_detector::{FailureDetector, Suspicion};
use crate::membership::member::Member;
use crate::membership::reconfiguration::ReachabilityRow;
use crate::membership::view::{Identity, View};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeStatus {
    /// How long ago, in milliseconds.
    pub ms_ago: i64,
    /// The view since.
    pub epoch: u64,
    /// The member that it is about.
    #[serde(rename = "who")]
    pub member: String,
    /// Why.
    pub cause: Cause,
}

/// A member of the view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name and incarnation.
    pub member: String,
    /// Whether it votes on the next view.
    pub votes: bool,
    /// What the failure detector says; `None` of a member that this process has not met.
    #[serde(rename = "advice")]
    pub suspicion: Option<Suspicion>,
    /// How long ago a message last came from it, in milliseconds.
    pub heard_ms_ago: Option<i64>,
    /// Its address.
    pub address: Option<String>,
}

/// The links to one voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterLinks {
    /// The voter.
    pub voter: String,
    /// Members that it does not hear: links that are broken in its direction.
    #[serde(rename = "deaf_to")]
    pub unheard: Vec<String>,
    /// Whether it has no lease.
    pub fenced: bool,
}

/// The fleet as one process knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The fleet's name.
    pub fleet: String,
    /// The process that answers.
    pub me: String,
    /// The latest view that it knows; 0 before the fleet is founded.
    pub epoch: u64,
    /// Whether it is a member of that view.
    pub member: bool,
    /// Whether it must not act as a member.
    pub fenced: bool,
    /// How long its lease still lasts, in milliseconds.
    pub lease_left_ms: i64,
    /// How far it distrusts its own health: 0 is healthy.
    #[serde(rename = "unwell")]
    pub health_penalty: u32,
    /// The members of the view, the longest-standing first.
    pub members: Vec<MemberStatus>,
    /// What the voters report of their links, if this process votes.
    pub links: Vec<VoterLinks>,
    /// The last changes, the latest first.
    pub changes: Vec<ChangeStatus>,
}

impl MembershipLog {
    /// Returns the fleet as that member knows it. `address` looks up where a member is.
    pub fn status(
        &self,
        now: Timestamp,
        fleet: &str,
        member: &Member,
        address: impl Fn(&Identity) -> Option<SocketAddr>,
    ) -> FleetStatus {
        let consensus = member.consensus();
        let view = consensus.view();
        let members = view.members.iter().filter(|listed| listed.incarnation > 0);
        FleetStatus {
            fleet: fleet.to_owned(),
            me: member.me().to_string(),
            epoch: view.epoch,
            member: view.contains(member.me()),
            fenced: consensus.is_fenced(now),
            lease_left_ms: consensus.lease_left_us(now) / 1_000,
            health_penalty: member.failure_detector().health_penalty(),
            members: members.map(|listed| member_status(now, member, listed, address(listed))).collect(),
            links: member.rows().map(|(voter, row)| voter_links(view, voter, row)).collect(),
            changes: self.changes.iter().map(|logged| change_status(now, logged)).collect(),
        }
    }
}

fn member_status(
    now: Timestamp,
    observer: &Member,
    member: &Identity,
    address: Option<SocketAddr>,
) -> MemberStatus {
    let detector: &FailureDetector = observer.failure_detector();
    let suspicion = match member == observer.me() {
        true => Some(Suspicion::Alive),
        false => detector.suspicion(member),
    };
    MemberStatus {
        member: member.to_string(),
        votes: observer.consensus().view().is_voter(member),
        suspicion,
        heard_ms_ago: detector.last_heard_at(member).map(|at| (now.0 - at.0) / 1_000),
        address: address.map(|address| address.to_string()),
    }
}

fn voter_links(view: &View, voter: &Identity, row: &ReachabilityRow) -> VoterLinks {
    let is_current = row.epoch == view.epoch;
    let unheard = view.members.iter().zip(&row.hears).filter(|(_, hears)| is_current && !**hears);
    VoterLinks {
        voter: voter.to_string(),
        unheard: unheard.map(|(member, _)| member.to_string()).collect(),
        fenced: row.fenced,
    }
}

fn change_status(now: Timestamp, LoggedChange { at, change }: &LoggedChange) -> ChangeStatus {
    ChangeStatus {
        ms_ago: (now.0 - at.0) / 1_000,
        epoch: change.epoch,
        member: change.member.clone(),
        cause: change.cause,
    }
}
