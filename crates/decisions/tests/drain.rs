//! What drains let a connection do, for any connection and any settings.

use proptest::prelude::*;
use std::time::Duration;
use wheelpier_decisions::drain::connection::{
    cuts, verdict, write_ends, ActiveDrain, ConnectionSpans, ConnectionState, Permission, Verdict,
};
use wheelpier_decisions::drain::Drain;
use wheelpier_decisions::interface::Timestamp;

const SECOND: i64 = 1_000_000;

fn quiesce(since: i64) -> ActiveDrain {
    ActiveDrain { since: Timestamp(since), spans: ConnectionSpans::QUIESCE, is_final: false }
}

fn termination(since: i64, longest_ms: u64) -> ActiveDrain {
    let spans = Drain::of(Duration::from_millis(longest_ms)).into();
    ActiveDrain { since: Timestamp(since), spans, is_final: true }
}

fn drains() -> impl Strategy<Value = Vec<ActiveDrain>> {
    let quiesced = proptest::option::of((0..5 * SECOND).prop_map(quiesce));
    let terminated =
        proptest::option::of((0..5 * SECOND, 50..20_000u64).prop_map(|(at, ms)| termination(at, ms)));
    (quiesced, terminated).prop_map(|(a, b)| a.into_iter().chain(b).collect())
}

fn states() -> impl Strategy<Value = ConnectionState> {
    (0..12 * SECOND, any::<bool>(), any::<bool>()).prop_map(|(quiet, asked, begun)| ConnectionState {
        quiet: Timestamp(quiet),
        asked,
        begun,
    })
}

/// The rule that operators set: a request that is taken later than 2 s after the call might be held 4 s after it.
#[test]
fn a_quiesced_connection_stops_to_read_in_time_and_ends_in_time() {
    let spans = ConnectionSpans::QUIESCE;
    let held_up = Duration::from_millis(150);
    assert!(spans.closes < spans.stops && spans.stops + held_up < Duration::from_secs(2), "{spans:?}");
    assert!(spans.stops < spans.ends && spans.ends + held_up < Duration::from_secs(4), "{spans:?}");
}

#[test]
fn without_a_drain_a_connection_is_open_for_good() {
    let state = ConnectionState { quiet: Timestamp(0), asked: true, begun: false };
    assert_eq!(verdict([], state, Timestamp(i64::MAX)), Verdict::OPEN);
    assert_eq!(write_ends([], Timestamp(0), Duration::from_secs(1)), None);
}

proptest! {
    /// However its client goes on, what has asked before stops to read at a moment that nothing moves.
    #[test]
    fn nothing_that_a_client_sends_moves_the_end(drains in drains(), state in states(), now in 0..12 * SECOND) {
        let now = Timestamp(now);
        let asked = ConnectionState { asked: true, ..state };
        let verdict_now = verdict(drains.clone(), asked, now);
        for drain in &drains {
            let at = |span: Duration| Timestamp(drain.since.0 + span.as_micros() as i64);
            prop_assert!(now < at(drain.spans.stops) || verdict_now.permission >= Permission::Finishing);
            prop_assert!(now < at(drain.spans.ends) || verdict_now.permission == Permission::Overdue);
            prop_assert!(verdict_now.closes.is_some_and(|closes| closes <= at(drain.spans.stops)));
        }
    }

    /// Timestamp only makes it stricter, and so does a further drain.
    #[test]
    fn a_permission_is_never_given_back(drains in drains(), state in states(), a in 0..12 * SECOND, b in 0..12 * SECOND) {
        let (early, late) = (Timestamp(a.min(b)), Timestamp(a.max(b)));
        let permission = |drains: &[ActiveDrain], now| verdict(drains.iter().copied(), state, now).permission;
        prop_assert!(permission(&drains, early) <= permission(&drains, late));
        if let Some((_, fewer)) = drains.split_last() {
            prop_assert!(permission(fewer, early) <= permission(&drains, early));
        }
    }

    /// Whoever asks again at `until` misses no change.
    #[test]
    fn a_verdict_holds_until_it_says(drains in drains(), state in states(), now in 0..12 * SECOND, later in 0..12 * SECOND) {
        let first = verdict(drains.clone(), state, Timestamp(now));
        let later = Timestamp(later.max(now));
        prop_assert!(first.until.is_none_or(|until| until > Timestamp(now)));
        if first.until.is_none_or(|until| later < until) {
            prop_assert_eq!(first.permission, verdict(drains, state, later).permission);
        }
    }

    /// Who has asked for nothing yet is heard for as long as the process stays.
    #[test]
    fn a_new_connection_may_ask_while_the_process_stays(since in 0..SECOND, quiet in 0..12 * SECOND, now in 0..12 * SECOND) {
        let state = ConnectionState { quiet: Timestamp(quiet), asked: false, begun: false };
        let new = verdict([quiesce(since)], state, Timestamp(now));
        prop_assert_eq!(new.permission, Permission::Open);
        prop_assert!(new.closes.is_some_and(|closes| closes.0 >= quiet + ConnectionSpans::QUIESCE.first.as_micros() as i64));
    }

    /// However little its client takes.
    #[test]
    fn a_write_is_over_before_the_process_is_killed(since in 0..SECOND, taken in 0..12 * SECOND, longest in 50..20_000u64) {
        let drain = termination(since, longest);
        let killed = since + Drain::of(Duration::from_millis(longest)).killed.as_micros() as i64;
        let by = write_ends([drain], Timestamp(taken), Duration::from_secs(1)).expect("a drain");
        prop_assert!(by.0 < killed);
        prop_assert!(cuts([drain]).is_some_and(|cuts| by <= cuts && cuts.0 < killed));
    }

    /// A client that takes what is written is not cut off, and one that takes nothing is, soon after the drain's end.
    #[test]
    fn a_write_is_given_up_only_once_it_stalls(since in 0..SECOND, taken in 0..12 * SECOND) {
        let stalled = Duration::from_secs(1);
        let by = write_ends([quiesce(since)], Timestamp(taken), stalled).expect("a drain");
        let ends = since + ConnectionSpans::QUIESCE.ends.as_micros() as i64;
        prop_assert_eq!(by, Timestamp(ends.max(taken + SECOND)));
    }
}
