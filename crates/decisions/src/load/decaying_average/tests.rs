use super::*;

const TIME_CONSTANT_US: f64 = 3e6;

/// Returns the average after this many samples of value 1 at this interval.
fn average_of_ones(interval_us: i64, samples: i64) -> f64 {
    let mut average = DecayingAverage::default();
    (1..=samples)
        .for_each(|n| average.record(Timestamp(1_000_000_000 + n * interval_us), 1.0, 0.1, TIME_CONSTANT_US));
    average.value_at(Timestamp(1_000_000_000 + samples * interval_us), TIME_CONSTANT_US)
}

#[test]
fn a_rare_sample_weighs_much_and_a_frequent_one_little() {
    assert!(average_of_ones(4_000_000, 1) > 0.7);
    let mut average = DecayingAverage::default();
    average.record(Timestamp(1_000_000_000), 0.0, 0.1, TIME_CONSTANT_US);
    average.record(Timestamp(1_000_010_000), 1.0, 0.1, TIME_CONSTANT_US);
    assert!(average.value_at(Timestamp(1_000_010_000), TIME_CONSTANT_US) < 0.11);
}

#[test]
fn without_samples_the_average_decays() {
    let mut average = DecayingAverage::default();
    average.record(Timestamp(1_000_000_000), 1.0, 0.1, TIME_CONSTANT_US);
    assert!(average.value_at(Timestamp(1_009_000_000), TIME_CONSTANT_US) < 0.06);
}
