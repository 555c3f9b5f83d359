//! Lease arithmetic: how long a holder may rely on a lease, and how long other members wait before they treat
//! it as expired. Each process reads its own monotonic clock, whose rate is exact to within a configured
//! drift; readings of two clocks are never compared.

use crate::interface::Timestamp;

const PARTS_PER_MILLION: i64 = 1_000_000;

/// Terms of all leases in a fleet, identical for all its members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// Duration of a lease, in microseconds of true time.
    pub lease_us: i64,
    /// Maximum deviation of a clock's rate from true time, in parts per million.
    pub drift_ppm: i64,
    /// Interval between two lease requests of a holder, in microseconds.
    pub renew_interval_us: i64,
    /// Time after which a proposer gives up a ballot, in microseconds.
    pub ballot_timeout_us: i64,
}

impl Default for LeaseTerms {
    fn default() -> Self {
        Self {
            lease_us: 3_000_000,
            drift_ppm: 1_000,
            renew_interval_us: 1_000_000,
            ballot_timeout_us: 400_000,
        }
    }
}

impl LeaseTerms {
    /// Returns the time on the holder's clock until which it may rely on a lease that it requested at
    /// `sent_at`. A slow clock shows less time than has passed, so the span is shortened by the drift.
    pub fn holder_valid_until(&self, sent_at: Timestamp) -> Timestamp {
        Timestamp(sent_at.0 + self.lease_us * (PARTS_PER_MILLION - self.drift_ppm) / PARTS_PER_MILLION)
    }

    /// Returns the time on any other process's clock from which a lease that was granted no later than
    /// `granted_at` has certainly expired. A fast clock shows more time than has passed, so the span is
    /// lengthened by the drift, rounded up.
    pub fn grantor_expired_at(&self, granted_at: Timestamp) -> Timestamp {
        let drift_us = (self.lease_us * self.drift_ppm + PARTS_PER_MILLION - 1) / PARTS_PER_MILLION;
        Timestamp(granted_at.0 + self.lease_us + drift_us)
    }
}

#[cfg(test)]
mod tests;
