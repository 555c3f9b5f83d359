//! Memory accounting for the actors: reservations by purpose and account, and the reclaim of client buffers
//! that were recalled and not released in time. The rules of the budget are in [`crate::budget`].

use super::clock::Clock;
use crate::budget::plan::{Plan, SOLE_ACCOUNT};
use crate::budget::{AccountId, Budget, BudgetExceeded, PendingReclaim, Purpose, Reservation, PURPOSES};
use crate::interface::{TimeDelta, Timestamp};
use crate::pgwire;
use crate::state::rate_limited_log::RateLimitedLog;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, sleep_until, Instant};

/// Memory that a connection takes in addition to its buffers, in bytes: the actor, its timers, its task in
/// the runtime and the socket's bookkeeping.
pub(crate) const CONNECTION_BYTES: u64 = 6 * 1024;
/// Memory that a request in flight takes in addition to its statement, in bytes: its entries in the request
/// table and the router, its timer and its place in mailboxes.
pub(crate) const REQUEST_BYTES: u64 = 1024;
/// Minimum time between two reclaims while recalled buffers stay overdue.
const RECLAIM_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between two log lines for the same purpose. Each line counts the rejections since the
/// previous one.
const LOG_INTERVAL: TimeDelta = TimeDelta::from_secs(1);

/// An amount of buffer memory that the clients of an account have to release. Each client that releases its
/// buffers claims a part of the amount until nothing is left.
#[derive(Debug)]
pub(crate) struct Reclaim {
    account: AccountId,
    remaining_bytes: AtomicU64,
}

impl Reclaim {
    /// Claims up to `bytes` for a client with this account. Returns whether the client has to release its
    /// buffers: it does if the accounts match and a part of the amount is left.
    pub fn claim(&self, account: AccountId, bytes: u64) -> bool {
        let claim = |remaining: u64| (remaining > 0).then(|| remaining.saturating_sub(bytes));
        account == self.account && self.remaining_bytes.fetch_update(Relaxed, Relaxed, claim).is_ok()
    }
}

/// The memory budget with its plan. Copies share it.
#[derive(Clone, Debug)]
pub(crate) struct Memory {
    budget: Budget,
    plan: Arc<Plan>,
    clock: Clock,
    /// Notified when a reservation is rejected.
    rejected: Arc<Notify>,
}

impl Memory {
    /// Returns the accounting for a budget that was made from `plan`.
    pub fn new(budget: Budget, plan: Plan, clock: Clock) -> Self {
        Self { budget, plan: Arc::new(plan), clock, rejected: Arc::default() }
    }

    /// Returns the account of a class and a tenant.
    pub fn account(&self, class: usize, tenant: usize) -> AccountId {
        self.plan.account(class, tenant)
    }

    /// Returns the account of clients that have not sent a request yet.
    pub fn unidentified_clients(&self) -> AccountId {
        self.plan.unidentified_clients()
    }

    /// Reserves the memory of one more connection.
    ///
    /// # Errors
    /// Returns an error if the budget has too little left.
    pub fn reserve_connection(&self) -> Result<Reservation, BudgetExceeded> {
        self.reserve(Purpose::Connections, SOLE_ACCOUNT, CONNECTION_BYTES)
    }

    /// Returns an empty reservation for a client's buffers, to be resized as the buffers grow.
    ///
    /// # Errors
    /// Returns no error: zero bytes always fit.
    pub fn reserve_client_buffers(&self) -> Result<Reservation, BudgetExceeded> {
        self.reserve(Purpose::ClientBuffers, self.unidentified_clients(), 0)
    }

    /// Assigns a reservation to an account and resizes it.
    ///
    /// # Errors
    /// Returns an error if the budget has too little left. The reservation is not enlarged then, but may
    /// already be smaller or belong to the new account.
    pub fn resize_reservation(
        &self,
        reservation: &mut Reservation,
        account: AccountId,
        bytes: u64,
    ) -> Result<(), BudgetExceeded> {
        if reservation.bytes() == bytes && reservation.account() == account {
            return Ok(());
        }
        let now = self.clock.now();
        // Shrink first, so that the new account needs no more than the new size.
        if bytes < reservation.bytes() {
            self.notify_rejection(reservation.resize(bytes, now))?;
        }
        self.notify_rejection(reservation.assign(account, now))?;
        self.notify_rejection(reservation.resize(bytes, now))
    }

    /// Reserves the memory of a request whose statement has a length of `statement_bytes`.
    ///
    /// # Errors
    /// Returns an error if the budget has too little left.
    pub fn reserve_request(
        &self,
        class: usize,
        tenant: usize,
        statement_bytes: usize,
    ) -> Result<Reservation, BudgetExceeded> {
        let bytes = statement_bytes as u64 + REQUEST_BYTES;
        self.reserve(Purpose::Requests, self.account(class, tenant), bytes)
    }

    /// Reserves memory for the longest answer to a pipelined request, which is held until the requests ahead
    /// of it on the same connection are answered.
    ///
    /// # Errors
    /// Returns an error if the budget has too little left.
    pub fn reserve_pending_answer(&self, class: usize, tenant: usize) -> Result<Reservation, BudgetExceeded> {
        let bytes = pgwire::MAX_HOST_MESSAGE_BYTES as u64;
        self.reserve(Purpose::UpstreamBuffers, self.account(class, tenant), bytes)
    }

    /// Returns the memory that all large answers together may take, in bytes: half of the cap for upstream
    /// buffers.
    pub fn max_large_answers_bytes(&self) -> u64 {
        self.plan.limits[Purpose::UpstreamBuffers as usize].cap / 2
    }

    /// Returns the bytes that other purposes never borrow from `purpose`.
    pub fn reserve_of(&self, purpose: Purpose) -> u64 {
        self.plan.limits[purpose as usize].reserve
    }

    /// Reserves the memory of all buffers for answers beyond the usual length.
    ///
    /// # Errors
    /// Returns an error if the budget has too little left.
    pub fn reserve_answer_buffers(&self, bytes: usize) -> Result<Reservation, BudgetExceeded> {
        self.reserve(Purpose::UpstreamBuffers, self.unidentified_clients(), bytes as u64)
    }

    /// Reserves memory for the buffered part of a large answer. All large answers share the account of the
    /// least weight, so that they never displace answers of ordinary length.
    ///
    /// # Errors
    /// Returns an error if the budget has too little left.
    pub fn reserve_large_answer(&self, bytes: usize) -> Result<Reservation, BudgetExceeded> {
        self.reserve(Purpose::UpstreamBuffers, self.unidentified_clients(), bytes as u64)
    }

    fn reserve(
        &self,
        purpose: Purpose,
        account: AccountId,
        bytes: u64,
    ) -> Result<Reservation, BudgetExceeded> {
        self.notify_rejection(self.budget.reserve(purpose, account, bytes, self.clock.now()))
    }

    /// Notifies [`Self::watch`] if a reservation was rejected. Returns the result unchanged.
    fn notify_rejection<T>(&self, result: Result<T, BudgetExceeded>) -> Result<T, BudgetExceeded> {
        if result.is_err() {
            self.rejected.notify_one();
        }
        result
    }

    /// Logs rejected reservations and publishes which client buffers are reclaimed, until the task is
    /// aborted.
    pub async fn watch(self, reclaims: watch::Sender<Vec<Arc<Reclaim>>>) {
        let mut log = RejectionLog::new();
        loop {
            self.rejected.notified().await;
            log.record(&self.budget, self.clock.now());
            self.reclaim_overdue(&reclaims, &mut log).await;
        }
    }

    /// Publishes overdue recalls until none is pending.
    async fn reclaim_overdue(&self, reclaims: &watch::Sender<Vec<Arc<Reclaim>>>, log: &mut RejectionLog) {
        loop {
            let overdue = self.budget.overdue_reclaims(self.clock.now());
            let due: Vec<Arc<Reclaim>> = overdue.iter().filter_map(reclaim).collect();
            if !due.is_empty() {
                reclaims.send_replace(due);
            }
            // Only client buffers are reclaimed: memory of other purposes is released when work ends.
            let Some(next) = self.budget.next_reclaim_due(Purpose::ClientBuffers) else { return };
            let wake_at = self.clock.instant(next).max(Instant::now() + RECLAIM_RETRY_INTERVAL);
            tokio::select! {
                () = sleep_until(wake_at) => {}
                () = self.rejected.notified() => {
                    log.record(&self.budget, self.clock.now());
                    sleep(RECLAIM_RETRY_INTERVAL).await;
                }
            }
        }
    }
}

/// Returns the reclaim for an overdue recall; `None` if the recall is not for an account of client buffers.
fn reclaim(recall: &PendingReclaim) -> Option<Arc<Reclaim>> {
    let account = recall.account.filter(|_| recall.purpose == Purpose::ClientBuffers)?;
    Some(Arc::new(Reclaim { account, remaining_bytes: AtomicU64::new(recall.bytes) }))
}

/// Logs rejected reservations by purpose, at a bounded rate.
struct RejectionLog {
    /// Number of rejections of each purpose that were recorded so far.
    recorded: [u64; PURPOSES.len()],
    rate_limit: RateLimitedLog<Purpose>,
}

impl RejectionLog {
    fn new() -> Self {
        Self { recorded: [0; PURPOSES.len()], rate_limit: RateLimitedLog::new(LOG_INTERVAL) }
    }

    /// Records the rejections since the previous call, and logs them where the rate limit allows.
    fn record(&mut self, budget: &Budget, now: Timestamp) {
        for purpose in PURPOSES {
            let total = budget.rejections(purpose);
            let recorded = std::mem::replace(&mut self.recorded[purpose as usize], total);
            let Some(rejected) = self.rate_limit.record(now, purpose, total - recorded) else { continue };
            let used_bytes = budget.used(purpose);
            tracing::warn!(%purpose, rejected, used_bytes, "memory reservations rejected");
        }
    }
}
