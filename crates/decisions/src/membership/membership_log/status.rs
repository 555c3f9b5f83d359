//! Status of the fleet as known to one process, which `GET /admin/fleet` returns. The names in the JSON are
//! fixed; fields that are named differently here are renamed by serde.

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
    /// Time since the change, in milliseconds.
    pub ms_ago: i64,
    /// The epoch of the latest view when the change was recorded.
    pub epoch: u64,
    /// The name and incarnation of the member concerned.
    #[serde(rename = "who")]
    pub member: String,
    /// The reason for the change.
    pub cause: Cause,
}

/// A member of the view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The name and incarnation of the member.
    pub member: String,
    /// Whether the member votes on the next view.
    pub votes: bool,
    /// The state according to the failure detector; `None` if it does not know the member.
    #[serde(rename = "advice")]
    pub suspicion: Option<Suspicion>,
    /// Time since the last message from the member itself, in milliseconds.
    pub heard_ms_ago: Option<i64>,
    /// The address of the member, if known.
    pub address: Option<String>,
}

/// The links towards one voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterLinks {
    /// The voter.
    pub voter: String,
    /// Members that the voter does not hear: their links are broken in the direction of the voter.
    #[serde(rename = "deaf_to")]
    pub unheard: Vec<String>,
    /// Whether the voter has no lease.
    pub fenced: bool,
}

/// The status of the fleet as known to one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The name of the fleet.
    pub fleet: String,
    /// The name and incarnation of the answering process.
    pub me: String,
    /// The epoch of the latest view that the process knows; 0 before the fleet is founded.
    pub epoch: u64,
    /// Whether the process is a member of that view.
    pub member: bool,
    /// Whether the process must not act as a member.
    pub fenced: bool,
    /// Remaining duration of the lease of the process, in milliseconds; 0 while it is fenced.
    pub lease_left_ms: i64,
    /// The health penalty of the process: 0 is healthy.
    #[serde(rename = "unwell")]
    pub health_penalty: u32,
    /// The members of the view, the earliest admitted first.
    pub members: Vec<MemberStatus>,
    /// The links that the voters report, if this process votes.
    pub links: Vec<VoterLinks>,
    /// The last changes, the latest first.
    pub changes: Vec<ChangeStatus>,
}

impl MembershipLog {
    /// Returns the status of the fleet as known to `member`. `address` looks up the address of a member.
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
