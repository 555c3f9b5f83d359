//! When to say something that happens often: each kind at most once in a span, and the next word counts all that
//! came between. It guards the log against a crowd of like faults, and operators against silence; what is said is
//! for others.

use crate::interface::Timestamp;
use std::collections::BTreeMap;

/// Counts by kind what has not been said yet. As large as there are kinds.
#[derive(Clone, Debug)]
pub struct RateLimitedLog<K> {
    span: Timestamp,
    kinds: BTreeMap<K, Kind>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    untold: u64,
    last: Option<Timestamp>,
}

impl<K: Ord> RateLimitedLog<K> {
    /// Each kind is said once in that span at the most.
    pub fn new(span: Timestamp) -> Self {
        Self { span, kinds: BTreeMap::new() }
    }

    /// So many more of a kind have happened: how many there are to be told of now, if it is time to say so.
    pub fn note(&mut self, now: Timestamp, kind: K, more: u64) -> Option<u64> {
        let kind = self.kinds.entry(kind).or_default();
        kind.untold += more;
        let due = kind.last.is_none_or(|at| now.0 - at.0 >= self.span.0);
        (due && kind.untold > 0).then(|| {
            kind.last = Some(now);
            std::mem::take(&mut kind.untold)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SPAN: Timestamp = Timestamp(1_000_000);

    #[test]
    fn the_first_of_a_kind_is_told_at_once_and_the_others_are_counted() {
        let mut telling = RateLimitedLog::new(SPAN);
        assert_eq!(telling.note(Timestamp(5), "a", 1), Some(1));
        assert_eq!(telling.note(Timestamp(6), "a", 1), None);
        assert_eq!(telling.note(Timestamp(7), "b", 1), Some(1));
        assert_eq!(telling.note(Timestamp(1_000_004), "a", 2), None);
        assert_eq!(telling.note(Timestamp(1_000_005), "a", 1), Some(4));
        assert_eq!(telling.note(Timestamp(3_000_000), "a", 0), None);
    }

    #[test]
    fn however_many_come_a_kind_is_told_once_in_a_span_and_none_is_forgotten() {
        let mut telling = RateLimitedLog::new(SPAN);
        let told: Vec<u64> = (0..10_000).filter_map(|n| telling.note(Timestamp(n * 1_000), (), 1)).collect();
        assert_eq!(told.len(), 10);
        assert_eq!(told.iter().sum::<u64>() + telling.note(Timestamp(20_000_000), (), 1).unwrap(), 10_001);
    }
}
