//! A proxy as one of many: how it learns which hosts there are, and who its peers are.
//!
//! Of peers there are two kinds of knowledge, told apart by type. *Agreement* ([`agreement`]) says who is in the fleet by
//! numbered views and leases; it may be built on. *Advice* says who seems to be gone, quickly and sometimes wrongly; it
//! only makes somebody open a ballot.

pub mod advice;
pub mod agreement;
pub mod chronicle;
mod discovery_retry;
mod lease;
pub mod member;
pub mod post;
pub mod steward;
mod view;

pub use discovery_retry::DiscoveryRetry;
pub use lease::Terms;
pub use view::{Change, Identity, Name, View, ELECTORS};
