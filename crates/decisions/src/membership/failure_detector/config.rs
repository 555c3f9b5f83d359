//! Intervals and timeouts of the failure detector.

/// Intervals and timeouts of the failure detector, in microseconds; the same for all members of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureDetectorConfig {
    /// Interval between two probes of one member.
    pub probe_interval_us: i64,
    /// Time after which a probe without an answer is also sent through other members. A member that has not answered by
    /// the next probe is suspected.
    pub answer_timeout_us: i64,
    /// Shortest suspicion in a fleet of up to ten members. It grows with the logarithm of their number.
    pub min_suspicion_us: i64,
    /// A timeout that is handled later than this shows that the process was stopped.
    pub stall_threshold_us: i64,
    /// Interval between two full exchanges of state in a fleet of up to 63 members.
    pub sync_interval_us: i64,
}

impl Default for FailureDetectorConfig {
    fn default() -> Self {
        Self {
            probe_interval_us: 300_000,
            answer_timeout_us: 120_000,
            min_suspicion_us: 700_000,
            stall_threshold_us: 250_000,
            sync_interval_us: 10_000_000,
        }
    }
}
