//! Tests of a fleet of members in virtual time under the faults that it must tolerate.

use proptest::prelude::*;
use rstest::rstest;
use wheelpier_emulator::{MS, SECOND};
use wheelpier_testbench::members::{FleetFault, VirtualFleet};

#[rstest]
fn founders_form_the_fleet_and_the_others_join(#[values(1, 2, 3, 5, 7, 20)] members: usize) {
    for seed in 0..3 {
        let mut fleet = VirtualFleet::new(members, members.min(5), false, seed);
        let took = fleet.run_until_settled(20 * SECOND);
        println!("{members} members, seed {seed}: settled after {} ms in view {}", took / MS, fleet.epoch());
    }
}

/// A killed member is detected and evicted in a single view, and no other member is.
#[test]
fn a_killed_member_is_evicted_in_time() {
    let mut took = Vec::new();
    for seed in 0..60 {
        let mut fleet = VirtualFleet::founded(7, false, seed);
        let (epoch, begin) = (fleet.epoch(), fleet.now);
        let victim = seed as usize % 7;
        let gone = fleet.names[victim].clone();
        fleet.play(vec![(0, FleetFault::Kill(victim))], 6 * SECOND);
        let out = fleet.views.range(epoch + 1..).find(|(_, view)| view.member_named(&gone).is_none());
        let (at, view) = out.expect("the killed member is evicted within 6 s");
        assert_eq!((*at, view.members.len()), (epoch + 1, 6), "seed {seed}: no other member is evicted");
        took.push(fleet.view_adopted_at[at] - begin);
        fleet.run_until_settled(6 * SECOND);
    }
    took.sort_unstable();
    println!("a kill of one of 7 to the view without it: p50 {} ms, p99 {} ms", took[30] / MS, took[59] / MS);
    assert!(took[59] <= 2_500 * MS, "{} ms", took[59] / MS);
}

/// Network faults that a healthy member can live with must not lead to its eviction.
#[rstest]
#[case::a_fifth_is_lost(vec![FleetFault::Loss(0.2)])]
#[case::half_of_one_members_is_lost(vec![FleetFault::LossAt(3, 0.5)])]
#[case::long_delays(vec![FleetFault::Delay(5 * MS, 300 * MS)])]
#[case::one_way(vec![FleetFault::Cut(1, 4)])]
#[case::two_members_without_a_direct_link(vec![FleetFault::Cut(0, 1), FleetFault::Cut(1, 0)])]
fn healthy_members_stay(#[case] faults: Vec<FleetFault>) {
    for seed in 0..4 {
        let mut fleet = VirtualFleet::founded(5, false, seed);
        let epoch = fleet.epoch();
        let script = faults.iter().map(|fault| (0, fault.clone())).collect();
        fleet.play(script, 60 * SECOND);
        assert_eq!(fleet.epoch(), epoch, "seed {seed}: {:?}", fleet.views.values().next_back());
    }
}

#[test]
fn a_one_way_cut_between_any_two_of_five_evicts_nobody() {
    for (a, b) in (0..5).flat_map(|a| (0..5).map(move |b| (a, b))).filter(|(a, b)| a != b) {
        let mut fleet = VirtualFleet::founded(5, false, 7);
        let epoch = fleet.epoch();
        fleet.play(vec![(0, FleetFault::Cut(a, b))], 20 * SECOND);
        assert_eq!(fleet.epoch(), epoch, "from {a} to {b}");
        fleet.play(vec![(0, FleetFault::Heal)], SECOND);
        fleet.run_until_settled(5 * SECOND);
    }
}

#[rstest]
#[case::three_and_two(vec![vec![0, 1]], 2)]
#[case::two_two_and_one(vec![vec![0, 1], vec![2, 3]], 0)]
fn a_split_fleet_merges_again(#[case] sides: Vec<Vec<usize>>, #[case] most: u64) {
    for seed in 0..5 {
        let mut fleet = VirtualFleet::founded(5, false, seed);
        let epoch = fleet.epoch();
        let script = sides.iter().map(|side| (0, FleetFault::Split(side.clone()))).collect();
        fleet.play(script, 30 * SECOND);
        assert!(fleet.epoch() - epoch <= most, "seed {seed}: {:?}", fleet.views);
        assert_eq!(fleet.fenced(), if most > 0 { 2 } else { 5 }, "seed {seed}");
        fleet.play(vec![(0, FleetFault::Heal)], SECOND);
        let took = fleet.run_until_settled(15 * SECOND);
        println!("seed {seed}: one view {} ms after the links were restored", 1_000 + took / MS);
    }
}

/// A process that resumes after a pause must doubt its own state before that of the others, and a pause of up
/// to 0.9 s must not lead to an eviction.
#[rstest]
fn a_fleet_settles_after_a_pause_of_any_member(#[values(100, 900, 1_900, 2_100, 5_000, 20_000)] ms: i64) {
    for victim in 0..5 {
        let mut fleet = VirtualFleet::founded(5, false, victim as u64);
        let epoch = fleet.epoch();
        fleet.play(vec![(0, FleetFault::Pause(victim, ms * MS))], ms * MS + 500 * MS);
        if ms <= 900 {
            assert_eq!(fleet.epoch(), epoch, "a healthy member was evicted");
        }
        fleet.run_until_settled(15 * SECOND);
    }
}

#[test]
fn a_fleet_settles_after_a_pause_of_its_majority() {
    for seed in 0..5 {
        let mut fleet = VirtualFleet::founded(5, false, seed);
        let script = (0..3).map(|n| (n * 100 * MS, FleetFault::Pause(n as usize, 8 * SECOND))).collect();
        fleet.play(script, 9 * SECOND);
        fleet.run_until_settled(15 * SECOND);
    }
}

/// Each member in turn is killed and restarted before the others detect it, without and with persistent
/// state.
#[rstest]
fn a_fleet_settles_after_a_restart_faster_than_the_detection(#[values(false, true)] persistent: bool) {
    for victim in 0..5 {
        let mut fleet = VirtualFleet::founded(5, persistent, victim as u64);
        let script = vec![(0, FleetFault::Kill(victim)), (300 * MS, FleetFault::Start(victim))];
        fleet.play(script, SECOND);
        fleet.run_until_settled(15 * SECOND);
    }
}

/// If votes are persistent, a fleet recovers even after all processes were killed at once.
#[test]
fn a_fleet_with_persistent_state_recovers_from_the_loss_of_all_processes() {
    let mut fleet = VirtualFleet::founded(5, true, 3);
    let epoch = fleet.epoch();
    let kills = (0..5).map(|n| (0, FleetFault::Kill(n)));
    let starts = (0..5).map(|n| ((1 + n as i64) * SECOND, FleetFault::Start(n)));
    fleet.play(kills.chain(starts).collect(), 7 * SECOND);
    fleet.run_until_settled(20 * SECOND);
    assert!(fleet.epoch() >= epoch);
}

#[test]
fn fifty_members_can_join_at_once() {
    let mut fleet = VirtualFleet::new(55, 5, false, 9);
    let took = fleet.run_until_settled(30 * SECOND);
    println!("55 members settled after {} ms in view {}", took / MS, fleet.epoch());
}

#[test]
fn a_leaving_member_is_removed_at_once_and_no_other_is() {
    let mut fleet = VirtualFleet::founded(5, false, 4);
    let epoch = fleet.epoch();
    fleet.play(vec![(0, FleetFault::Leave(2))], SECOND);
    assert_eq!((fleet.epoch(), fleet.left.len()), (epoch + 1, 1));
    fleet.run_until_settled(5 * SECOND);
}

fn faults() -> impl Strategy<Value = Vec<(i64, FleetFault)>> {
    let n = 0..5usize;
    let one = prop_oneof![
        n.clone().prop_map(FleetFault::Kill),
        n.clone().prop_map(FleetFault::Start),
        (n.clone(), 100..8_000i64).prop_map(|(n, ms)| FleetFault::Pause(n, ms * MS)),
        (n.clone(), n.clone()).prop_map(|(a, b)| FleetFault::Cut(a, b)),
        prop::collection::vec(n.clone(), 1..3).prop_map(FleetFault::Split),
        Just(FleetFault::Heal),
        (0.0..0.4).prop_map(FleetFault::Loss),
        (0..200i64, 0..400i64).prop_map(|(least, more)| FleetFault::Delay(least * MS, (least + more) * MS)),
    ];
    prop::collection::vec((0..40i64, one).prop_map(|(s, fault)| (s * SECOND / 2, fault)), 1..14)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// After any sequence of faults, once the links are restored and all processes run, the members are in
    /// one view within 15 s, or within 5 more minutes if a member was evicted repeatedly. The rules hold
    /// during the run.
    #[test]
    fn any_script_ends_in_one_view(script in faults(), seed in 0..1_000u64) {
        let mut fleet = VirtualFleet::founded(5, true, seed);
        fleet.play(script, 21 * SECOND);
        let starts = (0..5).map(|n| (10 * MS, FleetFault::Start(n)));
        let heal = std::iter::once((0, FleetFault::Heal)).chain(starts);
        fleet.play(heal.collect(), 9 * SECOND);
        fleet.run_until_settled(315 * SECOND);
    }
}

/// Regression test for a fault that random scripts found: a member that had been kept out for long reported,
/// right after it was admitted, that it had had no lease for long, and was evicted for that again and again.
#[test]
fn members_that_were_kept_out_for_long_are_admitted_and_stay() {
    let mut fleet = VirtualFleet::founded(5, true, 953);
    let script = vec![
        (500 * MS, FleetFault::Loss(0.25)),
        (3_500 * MS, FleetFault::Heal),
        (6_000 * MS, FleetFault::Pause(0, 7_623 * MS)),
        (7_500 * MS, FleetFault::Pause(3, 7_719 * MS)),
        (11_500 * MS, FleetFault::Delay(76 * MS, 472 * MS)),
        (12_500 * MS, FleetFault::Delay(161 * MS, 493 * MS)),
        (15_500 * MS, FleetFault::Split(vec![3])),
        (17_000 * MS, FleetFault::Split(vec![0, 1])),
    ];
    fleet.play(script, 30 * SECOND);
    fleet.play(vec![(0, FleetFault::Heal)], SECOND);
    fleet.run_until_settled(315 * SECOND);
    let epoch = fleet.epoch();
    fleet.play(Vec::new(), 60 * SECOND);
    assert_eq!(fleet.epoch(), epoch);
}

/// The member whose turn it is to propose is paused at each moment of a ballot and of the detection before
/// it.
#[test]
fn a_proposer_that_is_paused_at_any_step_blocks_nobody() {
    for ms in (0..3_000).step_by(10) {
        let mut fleet = VirtualFleet::founded(5, false, 1_000 + ms as u64);
        fleet.play(vec![(0, FleetFault::Kill(4)), (ms * MS, FleetFault::Pause(0, 5_000 * MS))], 9 * SECOND);
        fleet.run_until_settled(30 * SECOND);
        assert!(fleet.settled().is_some_and(|view| view.members.len() == 4), "{ms} ms");
    }
}

/// One member reports that it hears none of the others and that they are gone. The report of a single member
/// must not lead to an eviction.
#[test]
fn false_reports_of_one_member_evict_nobody() {
    for seed in 0..20 {
        let mut fleet = VirtualFleet::founded(5, false, seed);
        let epoch = fleet.epoch();
        fleet.play(vec![(0, FleetFault::Lies(seed as usize % 5))], 30 * SECOND);
        assert_eq!(fleet.epoch(), epoch, "seed {seed}");
        fleet.run_until_settled(SECOND);
    }
}

/// Reachability rows of a new view arrive one by one. Evaluating each of them separately created one view for
/// every few joining members, and each view is sent to all members.
#[test]
fn many_joining_members_are_admitted_in_few_views() {
    let fleet = VirtualFleet::founded(300, false, 7);
    assert!(fleet.epoch() <= 8, "{} views", fleet.epoch());
}
