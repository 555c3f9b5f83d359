//! The order of the reasons.

use super::*;

#[test]
fn each_reason_stands_at_its_own_place() {
    for (index, reason) in REJECTION_REASONS.into_iter().enumerate() {
        assert_eq!(reason as usize, index);
    }
}
