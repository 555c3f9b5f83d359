//! Configuration of the failure detector.

/// Intervals and timeouts of the failure detector, in microseconds; identical for all members of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureDetectorConfig {
    /// Interval between two probes of one member.
    pub probe_interval_us: i64,
    /// Time after which an unanswered probe is also sent through other members. A member that has not
    /// answered by the next probe is suspected.
    pub answer_timeout_us: i64,
    /// Minimum duration of a suspicion in a fleet of up to ten members. It grows with the logarithm of the
    /// number of members.
    pub min_suspicion_us: i64,
    /// Lateness above which the handling of a timeout shows that the process was paused.
    pub stall_threshold_us: i64,
    /// Interval between two exchanges of the full state in a fleet of up to 63 members.
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
