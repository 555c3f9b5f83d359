use super::*;

const TIME_CONSTANT_US: f64 = 6e6;

fn at(ms: i64) -> Timestamp {
    Timestamp(1_000_000_000 + ms * 1_000)
}

/// Returns the latency of twenty groups with one fast response each every two seconds.
fn sparse() -> GroupLatency {
    let mut latency = GroupLatency::new(TIME_CONSTANT_US, 0.25);
    (0..100).for_each(|n| latency.record(n as u32 % 20, Role::Primary, at(100 * n), 0.2));
    latency
}

#[test]
fn the_other_groups_outweigh_one_slow_response_of_a_group_with_few() {
    let (mut latency, mut own) = (sparse(), DecayingAverage::default());
    own.record(at(8_300), 0.2, 0.25, TIME_CONSTANT_US);
    own.record(at(10_000), 2.0, 0.25, TIME_CONSTANT_US);
    latency.record(3, Role::Primary, at(10_000), 2.0);
    (1..8).for_each(|n| latency.record(10 + n as u32, Role::Primary, at(10_000 + 100 * n), 0.2));
    let combined_ratio = latency.latency_ratio(3, Role::Primary, at(10_700));
    let own_ratio = own.value_at(at(10_700), TIME_CONSTANT_US);
    assert!(combined_ratio < own_ratio * 0.75, "{combined_ratio} with the other groups, {own_ratio} without");
    // Several consecutive slow responses count whatever the other groups' ratios are.
    for n in 1..8 {
        latency.record(3, Role::Primary, at(11_000 + 300 * n), 2.0);
        (0..4).for_each(|other| latency.record(10 + other, Role::Primary, at(11_100 + 300 * n), 0.2));
    }
    assert!(latency.latency_ratio(3, Role::Primary, at(13_200)) > 1.0);
}

#[test]
fn the_other_groups_hardly_count_for_a_group_with_many_responses() {
    let mut latency = GroupLatency::new(TIME_CONSTANT_US, 0.25);
    (0..400).for_each(|n| latency.record(0, Role::Replica, at(10 * n), 1.0));
    (0..400).for_each(|n| latency.record(1, Role::Replica, at(10 * n), 0.0));
    let ratio = |group| latency.latency_ratio(group, Role::Replica, at(4_000));
    assert!(ratio(0) > 0.95 && ratio(1) < 0.05);
}

#[test]
fn a_group_without_a_response_has_a_ratio_of_zero() {
    let latency = sparse();
    let (ratio, confidence) = (
        latency.latency_ratio(99, Role::Primary, at(10_000)),
        latency.confidence(99, Role::Primary, at(10_000)),
    );
    assert_eq!((ratio, confidence), (0.0, 0.0));
    let replicas = latency.latency_ratio(3, Role::Replica, at(10_000));
    assert_eq!(replicas, 0.0, "primaries and replicas are counted separately");
}
