use super::*;

#[test]
fn the_first_estimate_is_a_quarter_of_the_objective() {
    let expected = LatencyEstimate { mean_us: 20_000.0, service_time_us: 10_000.0 };
    assert_eq!(LatencyEstimate::from_objective(TimeDelta(80_000)), expected);
}
