//! Reservations of memory.

use super::error::BudgetExceeded;
use super::pool::AccountId;
use super::purpose::Purpose;
use super::Budget;
use crate::interface::Timestamp;

/// Bytes reserved in a [`Budget`]; dropping it releases them.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    purpose: Purpose,
    account: AccountId,
    bytes: u64,
}

impl Reservation {
    /// Returns a handle for bytes that have already been reserved in the budget.
    pub(super) fn new(budget: Budget, purpose: Purpose, account: AccountId, bytes: u64) -> Self {
        Self { budget, purpose, account, bytes }
    }

    /// Returns the account whose bytes are reserved.
    pub fn account(&self) -> AccountId {
        self.account
    }

    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Changes the number of reserved bytes. Fewer bytes are always granted.
    ///
    /// # Errors
    /// Returns an error if not enough bytes are available; the reservation is then unchanged.
    pub fn resize(&mut self, bytes: u64, now: Timestamp) -> Result<(), BudgetExceeded> {
        let mut pools = self.budget.pools();
        match bytes.checked_sub(self.bytes) {
            Some(more) => pools.reserve(self.purpose, self.account, more, now)?,
            None => pools.release(self.purpose, self.account, self.bytes - bytes),
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Moves the reservation to another account of its purpose, for example once a client has been
    /// identified.
    ///
    /// # Errors
    /// Returns an error if that account cannot reserve the bytes; the reservation is then unchanged.
    pub fn assign(&mut self, account: AccountId, now: Timestamp) -> Result<(), BudgetExceeded> {
        if account == self.account {
            return Ok(());
        }
        let mut pools = self.budget.pools();
        pools.release(self.purpose, self.account, self.bytes);
        if let Err(error) = pools.reserve(self.purpose, account, self.bytes, now) {
            pools.restore(self.purpose, self.account, self.bytes);
            return Err(error);
        }
        self.account = account;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.pools().release(self.purpose, self.account, self.bytes);
    }
}
