use super::*;

const TIME_CONSTANT: TimeDelta = TimeDelta::from_secs(3);

#[test]
fn retries_of_rejected_requests_lower_the_served_fraction() {
    let mut traffic = GroupTraffic::default();
    let serve = |traffic: &mut GroupTraffic, requests: i64, arrivals_per_request: i64| {
        for at in (0..requests).map(|n| Timestamp(1_000_000_000 + n * 100_000)) {
            (0..arrivals_per_request).for_each(|_| traffic.record_arrival(Role::Replica, at, TIME_CONSTANT));
            traffic.record_served(Role::Replica, at, TIME_CONSTANT);
        }
    };
    serve(&mut traffic, 100, 1);
    assert!(traffic.served_fraction(Role::Replica) > 0.95);
    serve(&mut traffic, 100, 4);
    let served = traffic.served_fraction(Role::Replica);
    assert!((0.2..0.35).contains(&served), "{served}");
    assert!(traffic.served_fraction(Role::Primary) == 1.0, "writes are counted separately");
}

#[test]
fn the_peak_number_of_members_is_kept() {
    let mut traffic = GroupTraffic::default();
    assert_eq!(traffic.peak_members(), 1);
    traffic.record_members(6);
    traffic.record_members(2);
    assert_eq!(traffic.peak_members(), 6);
}
