//! The order of [`REJECTION_REASONS`].

use super::*;

/// Guards against counters that are indexed by one reason and printed under the name of another.
#[test]
fn each_reason_is_at_the_index_of_its_discriminant() {
    for (index, reason) in REJECTION_REASONS.into_iter().enumerate() {
        assert_eq!(reason as usize, index);
    }
}
