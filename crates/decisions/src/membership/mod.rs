//! Membership of the fleet, and the schedule of a proxy's calls to discovery.
//!
//! Two kinds of knowledge about other members are separate types. [`consensus`] decides who is a member, by
//! numbered views and leases; its decisions are safe to act on. [`failure_detector`] suspects members quickly
//! and may be wrong; a suspicion can only cause [`reconfiguration`] to propose another view. [`member`]
//! combines the three into one state machine, [`transport`] carries its messages, and [`membership_log`]
//! records for operators what changed and why. None of these modules does I/O.

pub mod consensus;
mod discovery_retry;
pub mod failure_detector;
mod lease;
pub mod member;
pub mod membership_log;
pub mod reconfiguration;
pub mod transport;
mod view;

pub use consensus::{Consensus, DurableState};
pub use discovery_retry::DiscoveryRetry;
pub use failure_detector::{FailureDetector, FailureDetectorConfig, Suspicion};
pub use lease::LeaseTerms;
pub use member::{FleetConfig, Member, MemberMessage, Output};
pub use membership_log::{Cause, FleetStatus, MembershipChange, MembershipLog};
pub use reconfiguration::{FlapDamping, ReachabilityRow, ReconfigurationPolicy};
pub use transport::{DropReason, Transport};
pub use view::{Identity, Name, View, ViewChange, MAX_VOTERS};
