use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

#[test]
fn what_was_sent_before_the_first_that_is_known_is_not_taken() {
    let mut window = ReplayWindow::starting_at(5_000);
    assert_eq!([4_999, 5_000, 4_000, 0].map(|n| window.accept(n)), [None; 4]);
    assert_eq!(window.accept(5_001), Some(Arrival::Latest));
}

proptest! {
    /// Held against a plain set: each number above the first is taken once at the most, and always while it is
    /// within the width.
    #[test]
    fn each_number_is_taken_once(first in 0u64..5_000, steps in proptest::collection::vec(-1_500i64..1_500, 1..400)) {
        let (mut window, mut seen, mut highest) = (ReplayWindow::starting_at(first), BTreeSet::from([first]), first);
        for step in steps {
            let number = highest.saturating_add_signed(step);
            let due = number > first && highest.saturating_sub(number) < WIDTH && !seen.contains(&number);
            let order = if number > highest { Arrival::Latest } else { Arrival::Overtaken };
            prop_assert_eq!(window.accept(number), due.then_some(order), "{}", number);
            if due {
                seen.insert(number);
                highest = highest.max(number);
            }
        }
    }
}
