//! The arithmetic of leases: for how long a holder believes in one, and how long everybody else waits before acting as if
//! it had run out. Clocks are monotonic and each runs at its own speed, within a stated drift; nothing compares the
//! readings of two of them.

use crate::interface::Timestamp;

/// The terms of all leases in a fleet; the same for all its members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// How long a lease lasts, in microseconds of true time.
    pub lease_us: i64,
    /// By how much a clock may be fast or slow, in parts per million.
    pub drift_ppm: i64,
    /// How often a holder asks for it anew, in microseconds.
    pub renew_interval_us: i64,
    /// How long a ballot may take before its proposer tries again, in microseconds.
    pub ballot_timeout_us: i64,
}

impl Default for LeaseTerms {
    /// 3 s, asked for anew each second: what the fleet sends is mostly this. Clocks that are fast or slow by 1 in 1,000
    /// at the most.
    fn default() -> Self {
        Self {
            lease_us: 3_000_000,
            drift_ppm: 1_000,
            renew_interval_us: 1_000_000,
            ballot_timeout_us: 400_000,
        }
    }
}

const MILLION: i64 = 1_000_000;

impl LeaseTerms {
    /// Until when its holder may believe in a lease, by its own clock: counted from the moment at which it asked. A
    /// clock that is slow shows less time than has passed.
    pub fn holder_valid_until(&self, sent: Timestamp) -> Timestamp {
        Timestamp(sent.0 + self.lease_us * (MILLION - self.drift_ppm) / MILLION)
    }

    /// From when on a lease that was granted no later than `since` has run out for sure, by another clock. One that is
    /// fast shows more time than has passed.
    pub fn grantor_expired_at(&self, since: Timestamp) -> Timestamp {
        Timestamp(since.0 + self.lease_us + (self.lease_us * self.drift_ppm + MILLION - 1) / MILLION)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A holder's slow clock and another's fast one: the lease is over at the holder before the other acts.
    #[test]
    fn the_slowest_holder_knows_before_the_fastest_waiter_acts() {
        for drift_ppm in [0, 1, 1_000, 50_000] {
            let terms = LeaseTerms { drift_ppm, ..LeaseTerms::default() };
            let drift = drift_ppm as f64 / 1e6;
            let true_end_at_holder = terms.holder_valid_until(Timestamp(0)).0 as f64 / (1.0 - drift);
            let true_start_elsewhere = terms.grantor_expired_at(Timestamp(0)).0 as f64 / (1.0 + drift);
            assert!(true_end_at_holder <= terms.lease_us as f64 + 1.0, "{drift_ppm}");
            assert!(true_start_elsewhere >= terms.lease_us as f64 - 1.0, "{drift_ppm}");
            assert!(true_end_at_holder <= true_start_elsewhere + 1.0, "{drift_ppm}");
        }
    }
}
