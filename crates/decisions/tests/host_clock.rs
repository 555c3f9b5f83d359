//! The offset of the hosts' clock: found whatever it is, and changed by no host alone.

use proptest::prelude::*;
use wheelpier_decisions::interface::{HostId, LogPosition, Role, Timestamp};
use wheelpier_decisions::state::host_clock::{HostClock, Sample, MAX_POSITION_LEAD};

const SECOND: i64 = 1_000_000;
const START: i64 = 1_700_000_000 * SECOND;

/// An answer of a host that stands `lag` behind, which took `latency`, where the hosts' clock is `ahead` of this one.
fn answer(role: Role, at: i64, ahead: i64, lag: i64, latency: i64) -> Sample {
    Sample {
        position: LogPosition(at + ahead - lag),
        role: Some(role),
        sent: Some(Timestamp(at)),
        received: Timestamp(at + latency),
    }
}

fn primary(at: i64, ahead: i64) -> Sample {
    answer(Role::Primary, at + 200, ahead, 0, 400)
}

#[test]
fn the_offset_of_equal_clocks_stays_zero() {
    let mut clock = HostClock::default();
    for n in 0..1_000 {
        let at = START + n * SECOND / 10;
        assert_eq!(clock.record(HostId(0), answer(Role::Primary, at, 0, 0, n * 100)), None);
        assert_eq!(clock.record(HostId(1), answer(Role::Replica, at, 0, n * 10_000, 400)), None);
    }
    assert_eq!(clock.offset().0, 0);
}

#[test]
fn three_consistent_answers_of_the_only_host_set_the_offset() {
    for ahead in [3_600 * SECOND, -3_600 * SECOND, 2 * SECOND, -2 * SECOND] {
        let mut clock = HostClock::default();
        assert_eq!(clock.record(HostId(0), primary(START, ahead)), None);
        assert_eq!(clock.record(HostId(0), primary(START + SECOND, ahead)), None);
        let shift = clock.record(HostId(0), primary(START + 2 * SECOND, ahead)).expect("the offset changes");
        assert!((shift.0 - ahead).abs() < MAX_POSITION_LEAD.0, "{shift:?} of {ahead}");
    }
}

#[test]
fn random_positions_change_nothing() {
    let mut clock = HostClock::default();
    for n in 0..100 {
        let wild = (n * 7_919 % 100) * 60 * SECOND;
        assert_eq!(clock.record(HostId(0), primary(START + n * SECOND / 10, wild)), None);
    }
}

/// A host that says it is primary and stands still, as one that was cut off does.
#[test]
fn a_frozen_primary_changes_nothing() {
    let mut clock = HostClock::default();
    for n in 0..200 {
        let at = START + n * SECOND / 10;
        clock.record(HostId(1), answer(Role::Replica, at, 0, SECOND / 50, 400));
        clock.record(HostId(2), answer(Role::Replica, at, 0, SECOND / 40, 400));
        let frozen = answer(Role::Primary, at, -n * SECOND / 10, 0, 400);
        assert_eq!(clock.record(HostId(0), frozen), None);
    }
}

proptest! {
    /// Whatever the offset, it is found, and never too small: replicas do not look fresher than they are.
    #[test]
    fn any_offset_is_found_and_never_too_small(
        ahead in -5_000 * SECOND..5_000 * SECOND,
        latencies in proptest::collection::vec((0..20_000i64, 0..20_000i64), 12),
        lag in 0..SECOND,
    ) {
        let mut clock = HostClock::default();
        for (n, (there, back)) in latencies.iter().enumerate() {
            let at = START + n as i64 * SECOND / 5;
            let taken = Sample {
                position: LogPosition(at + there + ahead),
                role: Some(Role::Primary),
                sent: Some(Timestamp(at)),
                received: Timestamp(at + there + back),
            };
            clock.record(HostId(0), taken);
            clock.record(HostId(1), answer(Role::Replica, at, ahead, lag, 500));
        }
        if ahead.abs() > 200_000 {
            prop_assert!((clock.offset().0 - ahead).abs() <= 20_000, "{} of {}", clock.offset().0, ahead);
            prop_assert!(clock.offset().0 >= ahead);
        }
    }

    /// One host of three that is wrong, however consistently, is outvoted.
    #[test]
    fn one_host_of_three_changes_nothing(wrong in prop_oneof![-5_000 * SECOND..-SECOND, SECOND..5_000 * SECOND]) {
        let mut clock = HostClock::default();
        for n in 0..100 {
            let at = START + n * SECOND / 10;
            clock.record(HostId(1), answer(Role::Replica, at, 0, SECOND / 50, 400));
            clock.record(HostId(2), primary(at, 0));
            clock.record(HostId(0), primary(at, wrong));
        }
        prop_assert_eq!(clock.offset().0, 0);
    }
}
