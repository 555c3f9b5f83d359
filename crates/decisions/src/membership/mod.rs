//! A proxy as one of many: how it learns which hosts there are, and who its peers are.
//!
//! Of peers there are two kinds of knowledge, told apart by type. *Consensus* ([`consensus`]) says who is in the fleet by
//! numbered views and leases; it may be built on. *FailureDetector* says who seems to be gone, quickly and sometimes wrongly; it
//! only makes somebody open a ballot.

pub mod consensus;
mod discovery_retry;
pub mod failure_detector;
mod lease;
pub mod member;
pub mod membership_log;
pub mod reconfiguration;
pub mod transport;
mod view;

pub use discovery_retry::DiscoveryRetry;
pub use lease::LeaseTerms;
pub use view::{Change, Identity, Name, View, MAX_VOTERS};
