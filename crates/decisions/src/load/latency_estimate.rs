//! How long a class's answers take, as a router learns it.

use crate::interface::TimeDelta;

/// Mean latencies of one class, in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Pace {
    /// Mean latency of all answers.
    pub mean: f64,
    /// Mean latency of the answers that did not wait: what the class takes by itself.
    pub work: f64,
}

impl Pace {
    /// What a class is thought to take before anything is heard: a quarter of its aim, and an eighth of it
    /// without waiting.
    pub fn of(aim: TimeDelta) -> Self {
        let aim = aim.0 as f64;
        Self { mean: aim / 4.0, work: aim / 8.0 }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_class_is_first_thought_to_take_a_quarter_of_its_aim() {
        assert_eq!(Pace::of(TimeDelta(80_000)), Pace { mean: 20_000.0, work: 10_000.0 });
    }
}
