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
