//! The memory budget: caps and reserves by purpose and account, reclaims of borrowed memory, and retry times
//! of rejected reservations.
//!
//! A [`Budget`] divides all accounted memory between [`Purpose`]s, and the [`Pool`] of each purpose divides
//! its memory between accounts. Unused memory may be borrowed, except for reserves; borrowed memory is
//! reclaimed when an account that is entitled to it needs it. The module does no I/O and reads no clock; the
//! caller measures the bytes.

mod error;
mod fair_share;
pub mod plan;
mod pool;
mod purpose;
mod reservation;

pub use error::{BudgetError, BudgetExceeded, ExceededLimit, PoolError, PoolRejection, PoolRejectionReason};
pub use fair_share::{allocate, Claim};
pub use pool::{AccountId, AccountLimits, Pool, Reclaim, RECLAIM_NOTICE};
pub use purpose::{Purpose, PURPOSES};
pub use reservation::Reservation;

use crate::interface::Timestamp;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Limits of a purpose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PurposeLimits {
    /// Maximum number of bytes that the purpose may use.
    pub cap: u64,
    /// Bytes that the other purposes never borrow.
    pub reserve: u64,
    /// Weight of the purpose in the division of the bytes beyond the reserves.
    pub weight: u32,
    /// Limits of the accounts that share the purpose's bytes.
    pub accounts: Vec<AccountLimits>,
}

/// Memory that a purpose or an account has to release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingReclaim {
    /// The purpose that uses the memory.
    pub purpose: Purpose,
    /// The account that has to release the memory; `None` if any account of the purpose may.
    pub account: Option<AccountId>,
    /// Bytes to release.
    pub bytes: u64,
    /// Time by which the bytes have to be released; from then on they may be taken.
    pub due: Timestamp,
}

/// The memory budget of the process. Clones share the same budget.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Mutex<Pools>>);

impl Budget {
    /// Returns an unused budget of `cap` bytes, with the limits of each purpose in the order of [`PURPOSES`].
    ///
    /// # Errors
    /// Returns an error if the reserves of all purposes, or of the accounts of one, add up to more than their
    /// cap.
    pub fn new(cap: u64, limits: &[PurposeLimits; PURPOSES.len()]) -> Result<Self, BudgetError> {
        Ok(Self(Arc::new(Mutex::new(Pools::new(cap, limits)?))))
    }

    /// Locks the pools. A poisoned lock is used all the same: every change under the lock is made completely
    /// or not at all, so a panic elsewhere leaves the pools consistent.
    fn pools(&self) -> MutexGuard<'_, Pools> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves bytes of a purpose for one of its accounts.
    ///
    /// # Errors
    /// Returns the limit that is exceeded, and when to retry.
    pub fn reserve(
        &self,
        purpose: Purpose,
        account: AccountId,
        bytes: u64,
        now: Timestamp,
    ) -> Result<Reservation, BudgetExceeded> {
        self.pools().reserve(purpose, account, bytes, now)?;
        Ok(Reservation::new(self.clone(), purpose, account, bytes))
    }

    /// Returns the bytes in use for a purpose.
    pub fn used(&self, purpose: Purpose) -> u64 {
        self.pools().purpose(purpose).used()
    }

    /// Returns the bytes that an account of a purpose uses.
    pub fn used_by(&self, purpose: Purpose, account: AccountId) -> u64 {
        self.pools().purpose(purpose).used_by(account)
    }

    /// Returns the bytes in use for all purposes.
    pub fn total_used(&self) -> u64 {
        self.pools().total.used()
    }

    /// Returns the largest number of bytes that was ever in use at once.
    pub fn peak_used(&self) -> u64 {
        self.pools().peak_used
    }

    /// Returns the size of the budget in bytes.
    pub fn cap(&self) -> u64 {
        self.pools().total.cap()
    }

    /// Returns the number of rejected reservations of a purpose.
    pub fn rejections(&self, purpose: Purpose) -> u64 {
        self.pools().rejections[purpose as usize]
    }

    /// Returns when the next reclaim from an account of a purpose is due.
    pub fn next_reclaim_due(&self, purpose: Purpose) -> Option<Timestamp> {
        self.pools().purpose(purpose).next_reclaim_due()
    }

    /// Returns the memory that has to be released, whether due or not.
    pub fn pending_reclaims(&self) -> Vec<PendingReclaim> {
        self.overdue_reclaims(Timestamp(i64::MAX))
    }

    /// Returns the memory that was due for release by `now` and is still in use: it may be taken.
    pub fn overdue_reclaims(&self, now: Timestamp) -> Vec<PendingReclaim> {
        let pools = self.pools();
        let of_purposes = pools.total.overdue_reclaims(now).into_iter().map(|reclaim| {
            let purpose = PURPOSES[reclaim.account.0];
            PendingReclaim { purpose, account: None, bytes: reclaim.bytes, due: reclaim.due }
        });
        let of_accounts = PURPOSES.into_iter().zip(&pools.by_purpose).flat_map(|(purpose, pool)| {
            let reclaims = pool.overdue_reclaims(now).into_iter();
            reclaims.map(move |Reclaim { account, bytes, due }| PendingReclaim {
                purpose,
                account: Some(account),
                bytes,
                due,
            })
        });
        of_purposes.chain(of_accounts).collect()
    }

    /// Changes the cap of a purpose, possibly to less than is in use.
    ///
    /// # Errors
    /// Returns an error if the reserves of its accounts add up to more than the new cap; the cap is then
    /// unchanged.
    pub fn set_cap(&self, purpose: Purpose, cap: u64, now: Timestamp) -> Result<(), BudgetError> {
        let result = self.pools().by_purpose[purpose as usize].set_cap(cap, now, &mut Vec::new());
        result.map_err(|error| BudgetError::Purpose(purpose, error))
    }
}

/// The pools of a budget. Invariant: the bytes that a purpose uses in `total` are the sum of those that its
/// accounts use.
#[derive(Debug)]
struct Pools {
    /// The pool of all memory, whose accounts are the purposes.
    total: Pool,
    /// The pool of each purpose, in the order of [`PURPOSES`].
    by_purpose: Vec<Pool>,
    rejections: [u64; PURPOSES.len()],
    peak_used: u64,
}

/// Returns the account of a purpose in the pool of all memory.
fn account_of(purpose: Purpose) -> AccountId {
    AccountId(purpose as usize)
}

impl Pools {
    fn new(cap: u64, limits: &[PurposeLimits; PURPOSES.len()]) -> Result<Self, BudgetError> {
        let account_limits = |limits: &PurposeLimits| AccountLimits {
            weight: limits.weight,
            reserve: limits.reserve.min(limits.cap),
        };
        let purposes: Vec<AccountLimits> = limits.iter().map(account_limits).collect();
        let total = Pool::new(cap, &purposes).map_err(BudgetError::AllPurposes)?;
        let pools = PURPOSES.iter().zip(limits).map(|(purpose, limits)| {
            Pool::new(limits.cap, &limits.accounts).map_err(|error| BudgetError::Purpose(*purpose, error))
        });
        let by_purpose = pools.collect::<Result<_, _>>()?;
        Ok(Self { total, by_purpose, rejections: [0; PURPOSES.len()], peak_used: 0 })
    }

    fn purpose(&self, purpose: Purpose) -> &Pool {
        &self.by_purpose[purpose as usize]
    }

    fn reserve(
        &mut self,
        purpose: Purpose,
        account: AccountId,
        bytes: u64,
        now: Timestamp,
    ) -> Result<(), BudgetExceeded> {
        let mut reclaims = Vec::new();
        let pool = &mut self.by_purpose[purpose as usize];
        if let Err(rejection) = pool.reserve(account, bytes, now, &mut reclaims) {
            self.rejections[purpose as usize] += 1;
            return Err(BudgetExceeded { purpose, limit: ExceededLimit::Purpose, rejection });
        }
        if let Err(rejection) = self.total.reserve(account_of(purpose), bytes, now, &mut reclaims) {
            self.by_purpose[purpose as usize].release(account, bytes);
            self.rejections[purpose as usize] += 1;
            return Err(BudgetExceeded { purpose, limit: ExceededLimit::Total, rejection });
        }
        self.peak_used = self.peak_used.max(self.total.used());
        Ok(())
    }

    fn release(&mut self, purpose: Purpose, account: AccountId, bytes: u64) {
        self.by_purpose[purpose as usize].release(account, bytes);
        self.total.release(account_of(purpose), bytes);
    }

    /// Undoes a release made under the same lock, without checking limits.
    fn restore(&mut self, purpose: Purpose, account: AccountId, bytes: u64) {
        self.by_purpose[purpose as usize].restore(account, bytes);
        self.total.restore(account_of(purpose), bytes);
    }
}
