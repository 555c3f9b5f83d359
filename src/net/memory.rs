//! Memory by purpose, as the actors use it: the budget, whose account is whose, and what is taken back when it was
//! not given back in time.

use super::clock::Clock;
use crate::budget::plan::{Plan, ONLY_ACCOUNT};
use crate::budget::{AccountId, Budget, BudgetExceeded, PendingRecall, Purpose, Reservation, PURPOSES};
use crate::interface::Timestamp;
use crate::pgwire;
use crate::state::rate_limited_log::RateLimitedLog;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, Instant};

/// What a connection costs beside its buffers, in bytes: the actor, its timers, its entry in the runtime and the
/// socket's own bookkeeping.
pub(crate) const CONNECTION: u64 = 6 * 1024;
/// And an open request beside its statement: its entries in both tables, its timer, its mailbox.
pub(crate) const REQUEST: u64 = 1024;
/// What is still overdue after it was taken back is asked for again after this time.
const PAUSE: Duration = Duration::from_millis(100);
/// A refusal is written to the log no more often than this, by purpose; the next line counts those between.
const LOGGED: Timestamp = Timestamp(1_000_000);

/// Buffers of an account that are to be taken back: whoever of it can spare something claims a part.
#[derive(Debug)]
pub(crate) struct Reclaim {
    account: AccountId,
    left: AtomicU64,
}

impl Reclaim {
    /// Whether a client of this account that holds so much has to go.
    pub fn claims(&self, account: AccountId, bytes: u64) -> bool {
        let claim = |left: u64| (left > 0).then(|| left.saturating_sub(bytes));
        account == self.account && self.left.fetch_update(Relaxed, Relaxed, claim).is_ok()
    }
}

/// The budget and what goes with it; copies share it.
#[derive(Clone, Debug)]
pub(crate) struct Memory {
    budget: Budget,
    plan: Arc<Plan>,
    clock: Clock,
    refused: Arc<Notify>,
}

impl Memory {
    pub fn new(budget: Budget, plan: Plan, clock: Clock) -> Self {
        Self { budget, plan: Arc::new(plan), clock, refused: Arc::default() }
    }

    /// The account of a class and a tenant.
    pub fn account(&self, class: usize, tenant: usize) -> AccountId {
        self.plan.account(class, tenant)
    }

    /// The account of those who have not said what they want.
    pub fn unidentified_clients(&self) -> AccountId {
        self.plan.unidentified_clients()
    }

    fn told<T>(&self, taken: Result<T, BudgetExceeded>) -> Result<T, BudgetExceeded> {
        if taken.is_err() {
            self.refused.notify_one();
        }
        taken
    }

    /// Room for one more connection.
    ///
    /// # Errors
    /// When there is none.
    pub fn connection(&self) -> Result<Reservation, BudgetExceeded> {
        self.told(self.budget.reserve(Purpose::Connections, ONLY_ACCOUNT, CONNECTION, self.clock.now()))
    }

    /// Room for a client's buffers, of which none are there yet.
    ///
    /// # Errors
    /// Never: nothing always fits.
    pub fn buffers(&self) -> Result<Reservation, BudgetExceeded> {
        self.budget.reserve(Purpose::ClientBuffers, self.unidentified_clients(), 0, self.clock.now())
    }

    /// Makes a ticket stand for so many bytes of an account.
    ///
    /// # Errors
    /// When there is no room; the ticket then stands for what it did.
    pub fn hold(
        &self,
        ticket: &mut Reservation,
        account: AccountId,
        bytes: u64,
    ) -> Result<(), BudgetExceeded> {
        if ticket.bytes() == bytes && ticket.account() == account {
            return Ok(());
        }
        let now = self.clock.now();
        // Less before another account is asked, so that it is asked for no more than is needed.
        if bytes < ticket.bytes() {
            self.told(ticket.resize(bytes, now))?;
        }
        self.told(ticket.assign(account, now))?;
        self.told(ticket.resize(bytes, now))
    }

    /// Room for a request whose statement has so many bytes.
    ///
    /// # Errors
    /// When there is none.
    pub fn request(
        &self,
        class: usize,
        tenant: usize,
        statement: usize,
    ) -> Result<Reservation, BudgetExceeded> {
        let (account, bytes) = (self.account(class, tenant), statement as u64 + REQUEST);
        self.told(self.budget.reserve(Purpose::Requests, account, bytes, self.clock.now()))
    }

    /// Room for the answer to a request that has to wait for those ahead of it on its connection, at its longest.
    ///
    /// # Errors
    /// When there is none.
    pub fn answer(&self, class: usize, tenant: usize) -> Result<Reservation, BudgetExceeded> {
        let account = self.account(class, tenant);
        let bytes = pgwire::MOST_ANSWER as u64;
        self.told(self.budget.reserve(Purpose::UpstreamBuffers, account, bytes, self.clock.now()))
    }

    /// The most that answers beyond the usual length may take together: half of what is for ledger hosts' buffers.
    pub fn large_answers(&self) -> u64 {
        self.plan.terms[Purpose::UpstreamBuffers as usize].cap / 2
    }

    /// Room for what is held of an answer beyond the usual length. All of them share the account of least weight: none is
    /// there to keep out the many usual ones.
    ///
    /// # Errors
    /// When there is none.
    pub fn large_answer(&self, bytes: usize) -> Result<Reservation, BudgetExceeded> {
        let now = self.clock.now();
        self.told(self.budget.reserve(
            Purpose::UpstreamBuffers,
            self.unidentified_clients(),
            bytes as u64,
            now,
        ))
    }

    /// Watches the recalls for ever: what is not given back in time is taken from clients' buffers.
    pub async fn watch(self, reclaims: watch::Sender<Vec<Arc<Reclaim>>>) {
        let mut log = Refusals::new();
        loop {
            self.refused.notified().await;
            log.note(&self.budget, self.clock.now());
            loop {
                let dues = self.budget.overdue(self.clock.now());
                let taken: Vec<Arc<Reclaim>> = dues.iter().filter_map(reclaim).collect();
                if !taken.is_empty() {
                    reclaims.send_replace(taken);
                }
                let Some(next) = self.budget.next_due() else { break };
                let at = self.clock.moment(next).max(Instant::now() + PAUSE);
                tokio::select! {
                    () = tokio::time::sleep_until(at) => {}
                    () = self.refused.notified() => {
                        log.note(&self.budget, self.clock.now());
                        sleep(PAUSE).await;
                    }
                }
            }
        }
    }
}

fn reclaim(due: &PendingRecall) -> Option<Arc<Reclaim>> {
    let account = due.account.filter(|_| due.purpose == Purpose::ClientBuffers)?;
    Some(Arc::new(Reclaim { account, left: AtomicU64::new(due.bytes) }))
}

/// Refusals as the log has them.
struct Refusals {
    seen: [u64; PURPOSES.len()],
    telling: RateLimitedLog<Purpose>,
}

impl Refusals {
    fn new() -> Self {
        Self { seen: [0; PURPOSES.len()], telling: RateLimitedLog::new(LOGGED) }
    }

    fn note(&mut self, budget: &Budget, now: Timestamp) {
        for purpose in PURPOSES {
            let seen = &mut self.seen[purpose as usize];
            let refused = budget.refusals(purpose);
            let more = refused - std::mem::replace(seen, refused);
            if let Some(more) = self.telling.note(now, purpose, more) {
                let used = budget.used(purpose);
                tracing::warn!("memory: no room for {purpose}: {more} refused, {used} bytes in use");
            }
        }
    }
}
