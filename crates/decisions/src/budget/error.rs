//! Why a budget cannot be made, and why a reservation is rejected.

use super::purpose::Purpose;
use crate::interface::TimeDelta;
use thiserror::Error;

/// A pool whose reserves do not fit into it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the reserves add up to {reserves} bytes, the cap is {cap}")]
pub struct PoolError {
    /// The sum of the accounts' reserves in bytes.
    pub reserves: u64,
    /// The cap in bytes.
    pub cap: u64,
}

/// Limits of a budget that contradict each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BudgetError {
    /// The reserves of all purposes do not fit into the budget.
    #[error("all purposes: {0}")]
    AllPurposes(PoolError),
    /// The reserves of a purpose's accounts do not fit into its cap.
    #[error("{0}: {1}")]
    Purpose(Purpose, PoolError),
}

/// Why a pool rejects a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolRejectionReason {
    /// It is larger than the pool.
    TooLarge,
    /// The account is entitled to the bytes; they are being reclaimed from those that borrowed them.
    ReclaimPending,
    /// The account uses its fair share or more, and no bytes are available.
    Full,
}

/// A reservation that a pool rejects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolRejection {
    /// Why.
    pub reason: PoolRejectionReason,
    /// How long to wait before a retry; `None` if a retry is pointless.
    pub retry_after: Option<TimeDelta>,
}

/// Which limit a reservation exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExceededLimit {
    /// The cap of its purpose.
    Purpose,
    /// The whole budget; its purpose has bytes available.
    Total,
}

/// A reservation that the budget rejects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no room for {purpose}")]
pub struct BudgetExceeded {
    /// The purpose of the reservation.
    pub purpose: Purpose,
    /// The limit that it exceeds.
    pub limit: ExceededLimit,
    /// Why, and when to retry.
    pub rejection: PoolRejection,
}
