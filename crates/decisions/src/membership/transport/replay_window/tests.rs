use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

#[test]
fn numbers_up_to_the_start_of_the_window_are_not_accepted() {
    let mut window = ReplayWindow::starting_at(5_000);
    assert_eq!([4_999, 5_000, 4_000, 0].map(|n| window.accept(n)), [None; 4]);
    assert_eq!(window.accept(5_001), Some(Arrival::Latest));
}

proptest! {
    /// Compares the window with a plain set: each number above the first is accepted at most once, and always
    /// while it is within the width of the window.
    #[test]
    fn each_number_is_accepted_once(
        first in 0u64..5_000,
        steps in proptest::collection::vec(-1_500i64..1_500, 1..400),
    ) {
        let (mut window, mut seen, mut highest) =
            (ReplayWindow::starting_at(first), BTreeSet::from([first]), first);
        for step in steps {
            let number = highest.saturating_add_signed(step);
            let is_expected =
                number > first && highest.saturating_sub(number) < WIDTH && !seen.contains(&number);
            let arrival = if number > highest { Arrival::Latest } else { Arrival::Overtaken };
            prop_assert_eq!(window.accept(number), is_expected.then_some(arrival), "{}", number);
            if is_expected {
                seen.insert(number);
                highest = highest.max(number);
            }
        }
    }
}
