use super::*;

/// With the slowest clock at the holder and the fastest one elsewhere, the lease still ends at the holder
/// before another process treats it as expired.
#[test]
fn a_lease_ends_at_its_holder_before_others_treat_it_as_expired() {
    for drift_ppm in [0, 1, 1_000, 50_000] {
        let terms = LeaseTerms { drift_ppm, ..LeaseTerms::default() };
        let drift = drift_ppm as f64 / 1e6;
        let true_end_at_holder = terms.holder_valid_until(Timestamp(0)).0 as f64 / (1.0 - drift);
        let true_expiry_elsewhere = terms.grantor_expired_at(Timestamp(0)).0 as f64 / (1.0 + drift);
        assert!(true_end_at_holder <= terms.lease_us as f64 + 1.0, "{drift_ppm}");
        assert!(true_expiry_elsewhere >= terms.lease_us as f64 - 1.0, "{drift_ppm}");
        assert!(true_end_at_holder <= true_expiry_elsewhere + 1.0, "{drift_ppm}");
    }
}
