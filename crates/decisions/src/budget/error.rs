//! Errors from the limits of a budget and from reservations.

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

/// Reason why a pool rejects a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolRejectionReason {
    /// The reservation is larger than the pool's cap.
    TooLarge,
    /// The account is entitled to the bytes; they are being reclaimed from the accounts that borrowed them.
    ReclaimPending,
    /// The account uses its fair share or more, and no bytes are available.
    Full,
}

/// A reservation that a pool rejects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolRejection {
    /// Reason for the rejection.
    pub reason: PoolRejectionReason,
    /// Time to wait before a retry; `None` if a retry cannot succeed.
    pub retry_after: Option<TimeDelta>,
}

/// The limit that a reservation exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExceededLimit {
    /// The cap of the reservation's purpose.
    Purpose,
    /// The cap of the whole budget; the purpose still has bytes available.
    Total,
}

/// A reservation that the budget rejects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("memory budget exceeded for {purpose}")]
pub struct BudgetExceeded {
    /// The purpose of the reservation.
    pub purpose: Purpose,
    /// The limit that the reservation exceeds.
    pub limit: ExceededLimit,
    /// Reason for the rejection, and when to retry.
    pub rejection: PoolRejection,
}
