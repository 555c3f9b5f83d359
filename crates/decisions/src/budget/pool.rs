//! One pool: a cap, and the accounts that share it. See the design note 002 for the rules.

use super::fair::{allocate, Claim};
use crate::interface::{TimeDelta, Timestamp};

/// An account of a pool, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountId(pub usize);

/// What an account is entitled to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountLimits {
    /// Its part of what is left beyond the reserves; at least 1.
    pub weight: u32,
    /// Bytes that are never lent.
    pub reserve: u64,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    terms: AccountLimits,
    used: u64,
    /// Bytes that it has been told to give back, and by when.
    recalled: Option<(u64, Timestamp)>,
}

/// Why a reservation is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// More than the pool can ever hold.
    TooLarge,
    /// The account is within its fair share; what others have borrowed has been recalled.
    Recalled,
    /// The account has its fair share or more, and there is no room.
    Full,
}

/// A reservation that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolRejection {
    /// Why.
    pub reason: Reason,
    /// When to come again, counted from now; none where that is of no use.
    pub retry_after: Option<TimeDelta>,
}

/// An account that has to give back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recall {
    /// Who.
    pub account: AccountId,
    /// Bytes.
    pub bytes: u64,
    /// By when; from then on they may be taken.
    pub by: Timestamp,
}

/// Settings of a pool that cannot work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the reserves add up to {reserves} bytes, the cap is {cap}")]
pub struct PoolError {
    /// The sum of the reserves.
    pub reserves: u64,
    /// The cap.
    pub cap: u64,
}

/// How long borrowers have to give back.
pub const RECALL: TimeDelta = TimeDelta(250_000);
/// What a pool that is full tells to stay away.
const AWAY: TimeDelta = TimeDelta(500_000);

/// A pool of bytes.
#[derive(Clone, Debug)]
pub struct Pool {
    cap: u64,
    used: u64,
    accounts: Vec<Account>,
}

impl Pool {
    /// A pool that nobody uses yet.
    ///
    /// # Errors
    /// When the reserves do not fit into the cap.
    pub fn new(cap: u64, terms: &[AccountLimits]) -> Result<Self, PoolError> {
        let reserves = terms.iter().map(|t| t.reserve).fold(0, u64::saturating_add);
        if reserves > cap {
            return Err(PoolError { reserves, cap });
        }
        let account = |terms: &AccountLimits| Account { terms: *terms, used: 0, recalled: None };
        Ok(Self { cap, used: 0, accounts: terms.iter().map(account).collect() })
    }

    /// The cap in bytes.
    pub fn cap(&self) -> u64 {
        self.cap
    }

    /// Bytes in use, by all.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Bytes that an account uses.
    pub fn used_by(&self, account: AccountId) -> u64 {
        self.accounts.get(account.0).map_or(0, |a| a.used)
    }

    /// Bytes that an account could take now without touching the others' reserves.
    pub fn room(&self, account: AccountId) -> u64 {
        self.cap.saturating_sub(self.used).saturating_sub(self.kept_from(account))
    }

    /// What each account would have in fairness if this one had so many more bytes.
    fn shares(&self, account: AccountId, more: u64) -> Vec<u64> {
        let claim = |(n, a): (usize, &Account)| Claim {
            weight: a.terms.weight,
            reserve: a.terms.reserve,
            demand: a.used + if n == account.0 { more } else { 0 },
        };
        let claims: Vec<Claim> = self.accounts.iter().enumerate().map(claim).collect();
        // What others have reserved and do not use is not there to be shared.
        allocate(self.cap.saturating_sub(self.kept_from(account)), &claims)
    }

    /// The reserves that the others do not use.
    fn kept_from(&self, account: AccountId) -> u64 {
        let others = self.accounts.iter().enumerate().filter(|(n, _)| *n != account.0);
        others.map(|(_, a)| a.terms.reserve.saturating_sub(a.used)).sum()
    }

    /// Takes bytes for an account. Where they are refused to one that is entitled to them, `recalls` says who has to
    /// give back.
    ///
    /// # Errors
    /// When there is no room: why, and when to come again.
    pub fn take(
        &mut self,
        account: AccountId,
        bytes: u64,
        now: Timestamp,
        recalls: &mut Vec<Recall>,
    ) -> Result<(), PoolRejection> {
        if bytes <= self.room(account) {
            if let Some(a) = self.accounts.get_mut(account.0) {
                a.used += bytes;
                self.used += bytes;
            }
            return Ok(());
        }
        if bytes > self.cap {
            return Err(PoolRejection { reason: Reason::TooLarge, retry_after: None });
        }
        let shares = self.shares(account, bytes);
        let entitled = shares.get(account.0).is_some_and(|s| *s >= self.used_by(account) + bytes);
        if !entitled {
            return Err(PoolRejection { reason: Reason::Full, retry_after: Some(AWAY) });
        }
        let lacking = bytes - self.room(account);
        let by = self.recall(&shares, lacking, now, recalls);
        let retry_after = Some(TimeDelta((by.0 - now.0).max(1)));
        Err(PoolRejection { reason: Reason::Recalled, retry_after })
    }

    /// Tells those over their shares to give back so much in all, the furthest over first; by when all is back.
    fn recall(
        &mut self,
        shares: &[u64],
        lacking: u64,
        now: Timestamp,
        recalls: &mut Vec<Recall>,
    ) -> Timestamp {
        let mut over: Vec<(u64, usize)> = (self.accounts.iter().zip(shares).enumerate())
            .filter_map(|(n, (a, share))| {
                Some((a.used.checked_sub(*share)?, n)).filter(|(over, _)| *over > 0)
            })
            .collect();
        over.sort_by(|a, b| b.cmp(a));
        let (mut left, mut latest) = (lacking, now);
        for (over, n) in over {
            let wanted = over.min(left);
            left -= wanted;
            let account = &mut self.accounts[n];
            let asked = account.recalled.map_or(0, |(bytes, _)| bytes);
            let by = account.recalled.map_or(Timestamp(now.0 + RECALL.0), |(_, by)| by);
            if wanted > asked {
                // The time that was given first holds: asking again must not put it off.
                account.recalled = Some((wanted, by));
                recalls.push(Recall { account: AccountId(n), bytes: wanted, by });
            }
            latest = latest.max(by);
            if left == 0 {
                break;
            }
        }
        latest
    }

    /// Counts bytes that an account holds in any case.
    pub(super) fn force(&mut self, account: AccountId, bytes: u64) {
        if let Some(a) = self.accounts.get_mut(account.0) {
            a.used += bytes;
            self.used += bytes;
        }
    }

    /// Gives bytes of an account back.
    pub fn give(&mut self, account: AccountId, bytes: u64) {
        let Some(a) = self.accounts.get_mut(account.0) else { return };
        let bytes = bytes.min(a.used);
        a.used -= bytes;
        self.used -= bytes;
        a.recalled = a.recalled.and_then(|(asked, by)| {
            let left = asked.saturating_sub(bytes);
            (left > 0).then_some((left, by))
        });
    }

    /// Recalls whose time is over: these bytes may be taken from their accounts.
    pub fn overdue(&self, now: Timestamp) -> Vec<Recall> {
        let due = |(n, a): (usize, &Account)| {
            let (bytes, by) = a.recalled.filter(|(_, by)| *by <= now)?;
            Some(Recall { account: AccountId(n), bytes: bytes.min(a.used), by })
        };
        self.accounts.iter().enumerate().filter_map(due).collect()
    }

    /// When the next recall is overdue.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.accounts.iter().filter_map(|a| a.recalled.map(|(_, by)| by)).min()
    }

    /// Changes the cap, also to less than is in use: nothing is granted then until there is room, and what is too
    /// much is recalled.
    ///
    /// # Errors
    /// When the reserves do not fit into it; the cap then stays.
    pub fn resize(&mut self, cap: u64, now: Timestamp, recalls: &mut Vec<Recall>) -> Result<(), PoolError> {
        let reserves = self.accounts.iter().map(|a| a.terms.reserve).fold(0, u64::saturating_add);
        if reserves > cap {
            return Err(PoolError { reserves, cap });
        }
        self.cap = cap;
        if let Some(lacking) = self.used.checked_sub(cap).filter(|lacking| *lacking > 0) {
            let shares = self.shares(AccountId(usize::MAX), 0);
            self.recall(&shares, lacking, now, recalls);
        }
        Ok(())
    }
}
