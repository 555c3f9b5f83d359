//! Memory by purpose: who may take how much, who has to give back, and who comes again later. No I/O and no clock;
//! what is measured in bytes is the caller's account of them.

mod fair;
pub mod plan;
mod pool;

pub use fair::{allocate, Claim};
pub use pool::{AccountId, AccountLimits, Pool, PoolError, PoolRejection, Reason, Recall, RECALL};

use crate::interface::Timestamp;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What memory is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Purpose {
    /// Client connections: actors and sockets.
    Connections,
    /// What clients have sent and not been answered, or been sent and not taken.
    ClientBuffers,
    /// The request table.
    Requests,
    /// Requests and answers on their way to and from ledger hosts.
    UpstreamBuffers,
    /// Sessions, hosts, the module's own tables.
    Routing,
    /// Attempts beyond a request's first one.
    Copies,
    /// Log lines and series that are kept.
    Logs,
}

/// All purposes, in their order.
pub const PURPOSES: [Purpose; 7] = [
    Purpose::Connections,
    Purpose::ClientBuffers,
    Purpose::Requests,
    Purpose::UpstreamBuffers,
    Purpose::Routing,
    Purpose::Copies,
    Purpose::Logs,
];

impl fmt::Display for Purpose {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connections => "connections",
            Self::ClientBuffers => "client-buffers",
            Self::Requests => "requests",
            Self::UpstreamBuffers => "upstream-buffers",
            Self::Routing => "routing",
            Self::Copies => "copies",
            Self::Logs => "logs",
        })
    }
}

/// What a purpose is given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PurposeLimits {
    /// The most that it may use, in bytes.
    pub cap: u64,
    /// Bytes that the other purposes never borrow.
    pub reserve: u64,
    /// Its part of what is left beyond the reserves.
    pub weight: u32,
    /// The accounts that share it.
    pub accounts: Vec<AccountLimits>,
}

/// Settings of a budget that cannot work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BudgetError {
    /// The purposes' reserves are more than the whole.
    #[error("all purposes: {0}")]
    Whole(PoolError),
    /// The accounts' reserves are more than their purpose's cap.
    #[error("{0}: {1}")]
    Purpose(Purpose, PoolError),
}

/// A reservation that is refused: where room is lacking, why, and when to come again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no room for {purpose}")]
pub struct BudgetExceeded {
    /// What for.
    pub purpose: Purpose,
    /// Whether the purpose itself has room, and the whole has none.
    pub whole: bool,
    /// Why, and when to come again.
    pub rejection: PoolRejection,
}

/// Something to give back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingRecall {
    /// Of which purpose.
    pub purpose: Purpose,
    /// Of which of its accounts; none where any of the purpose's will do.
    pub account: Option<AccountId>,
    /// Bytes.
    pub bytes: u64,
    /// By when.
    pub by: Timestamp,
}

#[derive(Debug)]
struct Tree {
    /// The purposes as accounts of the whole.
    whole: Pool,
    pools: Vec<Pool>,
    refusals: [u64; PURPOSES.len()],
    peak: u64,
}

/// The budget; copies share it.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Mutex<Tree>>);

/// Reserved bytes, given back when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    purpose: Purpose,
    account: AccountId,
    bytes: u64,
}

fn account(purpose: Purpose) -> AccountId {
    AccountId(purpose as usize)
}

impl Budget {
    /// A budget of so many bytes in all, with the terms of each purpose in the order of [`PURPOSES`].
    ///
    /// # Errors
    /// When reserves do not fit into their cap.
    pub fn new(cap: u64, terms: &[PurposeLimits; PURPOSES.len()]) -> Result<Self, BudgetError> {
        let top: Vec<AccountLimits> =
            terms.iter().map(|t| AccountLimits { weight: t.weight, reserve: t.reserve.min(t.cap) }).collect();
        let whole = Pool::new(cap, &top).map_err(BudgetError::Whole)?;
        let pools = PURPOSES.iter().zip(terms).map(|(purpose, terms)| {
            Pool::new(terms.cap, &terms.accounts).map_err(|e| BudgetError::Purpose(*purpose, e))
        });
        let pools = pools.collect::<Result<_, _>>()?;
        let tree = Tree { whole, pools, refusals: [0; PURPOSES.len()], peak: 0 };
        Ok(Self(Arc::new(Mutex::new(tree))))
    }

    /// What a thread that has panicked left is still in order: each change is made whole or not at all.
    fn tree(&self) -> MutexGuard<'_, Tree> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves bytes of a purpose for one of its accounts.
    ///
    /// # Errors
    /// When there is no room for them.
    pub fn reserve(
        &self,
        purpose: Purpose,
        account: AccountId,
        bytes: u64,
        now: Timestamp,
    ) -> Result<Reservation, BudgetExceeded> {
        self.tree().take(purpose, account, bytes, now)?;
        Ok(Reservation { budget: self.clone(), purpose, account, bytes })
    }

    /// Bytes in use for a purpose.
    pub fn used(&self, purpose: Purpose) -> u64 {
        self.tree().pools[purpose as usize].used()
    }

    /// Bytes that an account of a purpose uses.
    pub fn used_by(&self, purpose: Purpose, account: AccountId) -> u64 {
        self.tree().pools[purpose as usize].used_by(account)
    }

    /// Bytes in use in all, and the most there ever were.
    pub fn total(&self) -> (u64, u64) {
        let tree = self.tree();
        (tree.whole.used(), tree.peak)
    }

    /// All bytes that there are.
    pub fn cap(&self) -> u64 {
        self.tree().whole.cap()
    }

    /// When the next recall is overdue.
    pub fn next_due(&self) -> Option<Timestamp> {
        let tree = self.tree();
        tree.pools.iter().chain([&tree.whole]).filter_map(Pool::next_due).min()
    }

    /// How many reservations of a purpose have been refused.
    pub fn refusals(&self, purpose: Purpose) -> u64 {
        self.tree().refusals[purpose as usize]
    }

    /// What has to be given back, by whatever time.
    pub fn recalls(&self) -> Vec<PendingRecall> {
        self.overdue(Timestamp(i64::MAX))
    }

    /// What was to be given back by now and was not: it may be taken.
    pub fn overdue(&self, now: Timestamp) -> Vec<PendingRecall> {
        let tree = self.tree();
        let top = tree.whole.overdue(now).into_iter().map(|recall| {
            let purpose = PURPOSES[recall.account.0];
            PendingRecall { purpose, account: None, bytes: recall.bytes, by: recall.by }
        });
        let within = PURPOSES.into_iter().zip(&tree.pools).flat_map(|(purpose, pool)| {
            let due = move |recall: Recall| PendingRecall {
                purpose,
                account: Some(recall.account),
                bytes: recall.bytes,
                by: recall.by,
            };
            pool.overdue(now).into_iter().map(due)
        });
        top.chain(within).collect()
    }

    /// Changes the cap of a purpose, also below what is in use.
    ///
    /// # Errors
    /// When its reserves do not fit; the cap then stays.
    pub fn resize(&self, purpose: Purpose, cap: u64, now: Timestamp) -> Result<(), BudgetError> {
        let mut recalls = Vec::new();
        let mut tree = self.tree();
        let resized = tree.pools[purpose as usize].resize(cap, now, &mut recalls);
        resized.map_err(|e| BudgetError::Purpose(purpose, e))
    }
}

impl Tree {
    fn take(
        &mut self,
        purpose: Purpose,
        of: AccountId,
        bytes: u64,
        now: Timestamp,
    ) -> Result<(), BudgetExceeded> {
        let mut recalls = Vec::new();
        let pool = &mut self.pools[purpose as usize];
        if let Err(rejection) = pool.take(of, bytes, now, &mut recalls) {
            self.refusals[purpose as usize] += 1;
            return Err(BudgetExceeded { purpose, whole: false, rejection });
        }
        if let Err(rejection) = self.whole.take(account(purpose), bytes, now, &mut recalls) {
            self.pools[purpose as usize].give(of, bytes);
            self.refusals[purpose as usize] += 1;
            return Err(BudgetExceeded { purpose, whole: true, rejection });
        }
        self.peak = self.peak.max(self.whole.used());
        Ok(())
    }

    fn give(&mut self, purpose: Purpose, of: AccountId, bytes: u64) {
        self.pools[purpose as usize].give(of, bytes);
        self.whole.give(account(purpose), bytes);
    }
}

impl Reservation {
    /// Whose it is.
    pub fn account(&self) -> AccountId {
        self.account
    }

    /// Bytes that it stands for.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Makes it stand for so many bytes. Less is always granted.
    ///
    /// # Errors
    /// When there is no room for more; it then stays as it is.
    pub fn resize(&mut self, bytes: u64, now: Timestamp) -> Result<(), BudgetExceeded> {
        let mut tree = self.budget.tree();
        match bytes.checked_sub(self.bytes) {
            Some(more) => tree.take(self.purpose, self.account, more, now)?,
            None => tree.give(self.purpose, self.account, self.bytes - bytes),
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Moves it to another account of its purpose, as when a client has said who it is.
    ///
    /// # Errors
    /// When that account has no room for it; it then stays where it is.
    pub fn assign(&mut self, account: AccountId, now: Timestamp) -> Result<(), BudgetExceeded> {
        if account == self.account {
            return Ok(());
        }
        let mut tree = self.budget.tree();
        tree.give(self.purpose, self.account, self.bytes);
        match tree.take(self.purpose, account, self.bytes, now) {
            Ok(()) => {
                self.account = account;
                Ok(())
            }
            Err(refused) => {
                // What was given back a moment ago, under the same lock, is still there.
                tree.put_back(self.purpose, self.account, self.bytes);
                Err(refused)
            }
        }
    }
}

impl Tree {
    /// Takes back what was given back in the same breath, whatever the reserves say by now.
    fn put_back(&mut self, purpose: Purpose, of: AccountId, bytes: u64) {
        self.pools[purpose as usize].force(of, bytes);
        self.whole.force(account(purpose), bytes);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.tree().give(self.purpose, self.account, self.bytes);
    }
}
