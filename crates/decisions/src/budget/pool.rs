//! A pool of bytes with a cap, shared by accounts.
//!
//! An account may borrow bytes that others do not use, except for their reserves. If a reservation is
//! rejected although it keeps its account within its fair share, bytes that others have borrowed are
//! reclaimed.

use super::error::{PoolError, PoolRejection, PoolRejectionReason};
use super::fair_share::{allocate, Claim};
use crate::interface::{TimeDelta, Timestamp};

/// Time that borrowers have to release reclaimed bytes.
pub const RECLAIM_NOTICE: TimeDelta = TimeDelta::from_millis(250);
/// Retry-After for an account that already uses its fair share.
const FULL_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(500);

/// Index of an account in its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountId(pub usize);

/// Limits of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountLimits {
    /// Weight of the account in the division of the bytes beyond the reserves; 0 counts as 1.
    pub weight: u32,
    /// Bytes that other accounts never borrow.
    pub reserve: u64,
}

/// Bytes that an account has to release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reclaim {
    /// The account.
    pub account: AccountId,
    /// Bytes to release.
    pub bytes: u64,
    /// Time by which the bytes have to be released; from then on they may be taken from the account.
    pub due: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct PendingBytes {
    bytes: u64,
    due: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    limits: AccountLimits,
    used: u64,
    /// Bytes that the account has been asked to release.
    pending: Option<PendingBytes>,
}

/// A pool of bytes shared by accounts.
#[derive(Clone, Debug)]
pub struct Pool {
    cap: u64,
    used: u64,
    accounts: Vec<Account>,
}

impl Pool {
    /// Returns a pool that no account uses yet.
    ///
    /// # Errors
    /// Returns an error if the reserves add up to more than the cap.
    pub fn new(cap: u64, limits: &[AccountLimits]) -> Result<Self, PoolError> {
        let account = |limits: &AccountLimits| Account { limits: *limits, used: 0, pending: None };
        let pool = Self { cap, used: 0, accounts: limits.iter().map(account).collect() };
        pool.check_reserves(cap)?;
        Ok(pool)
    }

    fn check_reserves(&self, cap: u64) -> Result<(), PoolError> {
        let reserves = self.accounts.iter().map(|account| account.limits.reserve);
        let reserves = reserves.fold(0, u64::saturating_add);
        if reserves > cap {
            return Err(PoolError { reserves, cap });
        }
        Ok(())
    }

    /// Returns the cap in bytes.
    pub fn cap(&self) -> u64 {
        self.cap
    }

    /// Returns the bytes that all accounts use.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Returns the bytes that an account uses.
    pub fn used_by(&self, account: AccountId) -> u64 {
        self.accounts.get(account.0).map_or(0, |account| account.used)
    }

    /// Returns the bytes that an account could reserve now.
    pub fn available(&self, account: AccountId) -> u64 {
        self.cap.saturating_sub(self.used).saturating_sub(self.unused_reserves_of_others(account))
    }

    fn unused_reserves_of_others(&self, account: AccountId) -> u64 {
        let others = self.accounts.iter().enumerate().filter(|(index, _)| *index != account.0);
        others.map(|(_, other)| other.limits.reserve.saturating_sub(other.used)).sum()
    }

    /// Returns the fair share of each account, given that `account` demands `more` bytes in addition to those
    /// it uses.
    fn fair_shares(&self, account: AccountId, more: u64) -> Vec<u64> {
        let claim = |(index, other): (usize, &Account)| Claim {
            weight: other.limits.weight,
            reserve: other.limits.reserve,
            demand: other.used + if index == account.0 { more } else { 0 },
        };
        let claims: Vec<Claim> = self.accounts.iter().enumerate().map(claim).collect();
        // Reserves that others do not use cannot be shared.
        allocate(self.cap.saturating_sub(self.unused_reserves_of_others(account)), &claims)
    }

    /// Reserves bytes for an account. If the account is entitled to more bytes than are available, new
    /// reclaims are appended to `reclaims`.
    ///
    /// # Errors
    /// Returns the reason for the rejection and when to retry.
    pub fn reserve(
        &mut self,
        account: AccountId,
        bytes: u64,
        now: Timestamp,
        reclaims: &mut Vec<Reclaim>,
    ) -> Result<(), PoolRejection> {
        let available = self.available(account);
        if bytes <= available {
            self.restore(account, bytes);
            return Ok(());
        }
        if bytes > self.cap {
            return Err(PoolRejection { reason: PoolRejectionReason::TooLarge, retry_after: None });
        }
        let shares = self.fair_shares(account, bytes);
        let is_entitled = shares.get(account.0).is_some_and(|share| *share >= self.used_by(account) + bytes);
        if !is_entitled {
            let retry_after = Some(FULL_RETRY_AFTER);
            return Err(PoolRejection { reason: PoolRejectionReason::Full, retry_after });
        }
        let due = self.reclaim(&shares, bytes - available, now, reclaims);
        let retry_after = Some(TimeDelta((due - now).0.max(1)));
        Err(PoolRejection { reason: PoolRejectionReason::ReclaimPending, retry_after })
    }

    /// Asks the accounts that use more than their fair share to release `lacking` bytes in total, the largest
    /// excess first. Returns the time by which all of these bytes have to be released.
    fn reclaim(
        &mut self,
        shares: &[u64],
        lacking: u64,
        now: Timestamp,
        reclaims: &mut Vec<Reclaim>,
    ) -> Timestamp {
        let mut remaining = lacking;
        let mut last_due = now;
        for (account, excess) in self.accounts_by_excess(shares) {
            let bytes = excess.min(remaining);
            remaining -= bytes;
            last_due = last_due.max(self.reclaim_from(account, bytes, now, reclaims));
            if remaining == 0 {
                break;
            }
        }
        last_due
    }

    /// Returns the accounts that use more than their share, each with its excess in bytes, the largest excess
    /// first.
    fn accounts_by_excess(&self, shares: &[u64]) -> Vec<(AccountId, u64)> {
        let accounts = self.accounts.iter().zip(shares).enumerate();
        let excesses =
            accounts.map(|(index, (account, share))| (AccountId(index), account.used.saturating_sub(*share)));
        let mut by_excess: Vec<(AccountId, u64)> = excesses.filter(|(_, excess)| *excess > 0).collect();
        by_excess.sort_by_key(|(account, excess)| std::cmp::Reverse((*excess, *account)));
        by_excess
    }

    /// Asks an account to release bytes and returns when they are due. If a reclaim is pending, a further one
    /// for more bytes keeps its due time.
    fn reclaim_from(
        &mut self,
        id: AccountId,
        bytes: u64,
        now: Timestamp,
        reclaims: &mut Vec<Reclaim>,
    ) -> Timestamp {
        let account = &mut self.accounts[id.0];
        let pending_bytes = account.pending.map_or(0, |pending| pending.bytes);
        let due = account.pending.map_or(now + RECLAIM_NOTICE, |pending| pending.due);
        if bytes > pending_bytes {
            account.pending = Some(PendingBytes { bytes, due });
            reclaims.push(Reclaim { account: id, bytes, due });
        }
        due
    }

    /// Counts bytes as used by an account without checking limits, for example to undo a release.
    pub(super) fn restore(&mut self, account: AccountId, bytes: u64) {
        if let Some(account) = self.accounts.get_mut(account.0) {
            account.used += bytes;
            self.used += bytes;
        }
    }

    /// Releases bytes of an account, at most those that it uses.
    pub fn release(&mut self, account: AccountId, bytes: u64) {
        let Some(account) = self.accounts.get_mut(account.0) else { return };
        let bytes = bytes.min(account.used);
        account.used -= bytes;
        self.used -= bytes;
        account.pending = account.pending.and_then(|pending| {
            let remaining = pending.bytes.saturating_sub(bytes);
            (remaining > 0).then_some(PendingBytes { bytes: remaining, due: pending.due })
        });
    }

    /// Returns the reclaims that are due by `now`: their bytes may be taken from the accounts.
    pub fn overdue_reclaims(&self, now: Timestamp) -> Vec<Reclaim> {
        let overdue = |(index, account): (usize, &Account)| {
            let pending = account.pending.filter(|pending| pending.due <= now)?;
            let bytes = pending.bytes.min(account.used);
            Some(Reclaim { account: AccountId(index), bytes, due: pending.due })
        };
        self.accounts.iter().enumerate().filter_map(overdue).collect()
    }

    /// Returns when the next reclaim is due.
    pub fn next_reclaim_due(&self) -> Option<Timestamp> {
        let pending = self.accounts.iter().filter_map(|account| account.pending);
        pending.map(|pending| pending.due).min()
    }

    /// Changes the cap. If more than the new cap is in use, the excess is reclaimed, and no reservation is
    /// granted until enough is released. New reclaims are appended to `reclaims`.
    ///
    /// # Errors
    /// Returns an error if the reserves add up to more than the new cap; the cap is then unchanged.
    pub fn set_cap(
        &mut self,
        cap: u64,
        now: Timestamp,
        reclaims: &mut Vec<Reclaim>,
    ) -> Result<(), PoolError> {
        self.check_reserves(cap)?;
        self.cap = cap;
        let excess = self.used.saturating_sub(cap);
        if excess > 0 {
            let no_account = AccountId(usize::MAX);
            let shares = self.fair_shares(no_account, 0);
            self.reclaim(&shares, excess, now, reclaims);
        }
        Ok(())
    }
}
