//! The budget against a plain reference, over random sequences, and over all states of a small pool.

use proptest::prelude::*;
use std::collections::{HashSet, VecDeque};
use wheelpier_decisions::budget::*;
use wheelpier_decisions::{TimeDelta, Timestamp};

fn claims() -> impl Strategy<Value = Vec<Claim>> {
    let claim = (1u32..9, 0u64..40, 0u64..400);
    prop::collection::vec(claim.prop_map(|(weight, reserve, demand)| Claim { weight, reserve, demand }), 1..8)
}

/// Max-min fairness by filling one unit at a time: always to the claim that has least in proportion to its weight.
fn one_by_one(cap: u64, claims: &[Claim]) -> Vec<u64> {
    let mut given: Vec<u64> = claims.iter().map(|c| c.reserve.min(c.demand)).collect();
    let mut left = cap - given.iter().sum::<u64>();
    while left > 0 {
        let hungry = (0..claims.len()).filter(|n| given[*n] < claims[*n].demand);
        let next = hungry.min_by(|a, b| {
            let level = |n: usize| (given[n] + 1) as f64 / f64::from(claims[n].weight);
            level(*a).total_cmp(&level(*b))
        });
        let Some(next) = next else { break };
        given[next] += 1;
        left -= 1;
    }
    given
}

proptest! {
    #[test]
    fn shares_are_those_of_the_plain_reference(claims in claims(), extra in 0u64..900) {
        let cap = claims.iter().map(|c| c.reserve).sum::<u64>() + extra;
        let (fast, plain) = (allocate(cap, &claims), one_by_one(cap, &claims));
        prop_assert!(fast.iter().sum::<u64>() <= cap);
        for ((fast, plain), claim) in fast.iter().zip(&plain).zip(&claims) {
            // Whole bytes: the level may leave one for each claim undealt.
            prop_assert!(fast.abs_diff(*plain) <= claims.len() as u64, "{fast} against {plain}");
            prop_assert!(*fast <= claim.demand && *fast >= claim.reserve.min(claim.demand));
        }
    }
}

#[derive(Clone, Debug)]
enum Act {
    Reserve { purpose: usize, account: usize, bytes: u64 },
    Resize { ticket: usize, bytes: u64 },
    Assign { ticket: usize, account: usize },
    Drop { ticket: usize },
    Cap { purpose: usize, cap: u64 },
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        4 => (0..7usize, 0..3usize, 0u64..60)
            .prop_map(|(purpose, account, bytes)| Act::Reserve { purpose, account, bytes }),
        2 => (any::<usize>(), 0u64..60).prop_map(|(ticket, bytes)| Act::Resize { ticket, bytes }),
        1 => (any::<usize>(), 0..3usize).prop_map(|(ticket, account)| Act::Assign { ticket, account }),
        2 => any::<usize>().prop_map(|ticket| Act::Drop { ticket }),
        1 => (0..7usize, 40u64..160).prop_map(|(purpose, cap)| Act::Cap { purpose, cap }),
    ]
}

fn budget() -> Budget {
    let accounts: Vec<AccountLimits> =
        [(1, 10), (2, 0), (4, 20)].map(|(weight, reserve)| AccountLimits { weight, reserve }).to_vec();
    let terms =
        PURPOSES.map(|_| PurposeLimits { cap: 100, reserve: 30, weight: 1, accounts: accounts.clone() });
    Budget::new(400, &terms).unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn any_sequence_keeps_the_caps_and_the_reserves_and_ends_at_zero(acts in prop::collection::vec(act(), 1..120)) {
        let budget = budget();
        let mut caps = [100u64; 7];
        let mut tickets: Vec<(usize, usize, Reservation)> = Vec::new();
        for (now, act) in acts.into_iter().enumerate() {
            let now = Timestamp(now as i64 * 10_000);
            let before = PURPOSES.map(|purpose| budget.used(purpose));
            match act {
                Act::Reserve { purpose, account, bytes } => {
                    if let Ok(ticket) = budget.reserve(PURPOSES[purpose], AccountId(account), bytes, now) {
                        tickets.push((purpose, account, ticket));
                    }
                }
                Act::Resize { ticket, bytes } if !tickets.is_empty() => {
                    let at = ticket % tickets.len();
                    let less = bytes <= tickets[at].2.bytes();
                    prop_assert!(tickets[at].2.resize(bytes, now).is_ok() || !less);
                }
                Act::Assign { ticket, account } if !tickets.is_empty() => {
                    let at = ticket % tickets.len();
                    if tickets[at].2.assign(AccountId(account), now).is_ok() {
                        tickets[at].1 = account;
                    }
                }
                Act::Drop { ticket } if !tickets.is_empty() => drop(tickets.swap_remove(ticket % tickets.len())),
                Act::Cap { purpose, cap } => {
                    budget.resize(PURPOSES[purpose], cap, now).unwrap();
                    caps[purpose] = cap;
                }
                _ => {}
            }
            // What is counted is what the tickets hold, account by account.
            for (n, purpose) in PURPOSES.into_iter().enumerate() {
                for account in 0..3 {
                    let held = tickets.iter().filter(|t| (t.0, t.1) == (n, account)).map(|t| t.2.bytes());
                    prop_assert_eq!(budget.used_by(purpose, AccountId(account)), held.sum::<u64>());
                }
                let used = budget.used(purpose);
                // Beyond a cap only what was there before it fell.
                prop_assert!(used <= caps[n] || used <= before[n]);
            }
            prop_assert!(budget.total().0 <= 400);
        }
        drop(tickets);
        prop_assert_eq!(budget.total().0, 0);
    }

    #[test]
    fn a_reserve_is_always_there(others in prop::collection::vec((0..3usize, 1u64..50), 0..60)) {
        let budget = budget();
        let held: Vec<_> = others
            .into_iter()
            .filter(|(account, _)| *account != 2)
            .filter_map(|(account, bytes)| {
                budget.reserve(Purpose::ClientBuffers, AccountId(account), bytes, Timestamp(0)).ok()
            })
            .collect();
        // The third account's 20 bytes have not been lent to anybody.
        prop_assert!(budget.reserve(Purpose::ClientBuffers, AccountId(2), 20, Timestamp(0)).is_ok());
        drop(held);
    }
}

#[test]
fn reserves_that_do_not_fit_are_refused_by_name() {
    let accounts = vec![AccountLimits { weight: 1, reserve: 101 }];
    let mut terms = PURPOSES.map(|_| PurposeLimits { cap: 100, reserve: 0, weight: 1, accounts: Vec::new() });
    terms[Purpose::Copies as usize].accounts = accounts;
    let error = Budget::new(1_000, &terms).unwrap_err();
    assert_eq!(error.to_string(), "copies: the reserves add up to 101 bytes, the cap is 100");
}

#[test]
fn what_is_larger_than_the_cap_is_told_never_to_come_again() {
    let refused = budget().reserve(Purpose::Logs, AccountId(0), 101, Timestamp(0)).unwrap_err();
    assert_eq!(refused.rejection, PoolRejection { reason: Reason::TooLarge, retry_after: None });
}

#[test]
fn borrowers_are_told_once_and_by_the_time_that_was_given_first() {
    let terms = [AccountLimits { weight: 1, reserve: 0 }; 2];
    let mut pool = Pool::new(100, &terms).unwrap();
    let mut recalls = Vec::new();
    pool.take(AccountId(0), 100, Timestamp(0), &mut recalls).unwrap();
    let refused = pool.take(AccountId(1), 30, Timestamp(0), &mut recalls).unwrap_err();
    assert_eq!(refused, PoolRejection { reason: Reason::Recalled, retry_after: Some(RECALL) });
    let by = Timestamp(RECALL.0);
    assert_eq!(recalls, [Recall { account: AccountId(0), bytes: 30, by }]);
    let refused = pool.take(AccountId(1), 30, Timestamp(100_000), &mut recalls).unwrap_err();
    assert_eq!(refused.retry_after, Some(TimeDelta(RECALL.0 - 100_000)));
    assert_eq!(recalls.len(), 1);
    assert_eq!((pool.overdue(Timestamp(by.0 - 1)), pool.overdue(by)), (vec![], recalls.clone()));
    pool.give(AccountId(0), 30);
    assert!(pool.overdue(by).is_empty());
    pool.take(AccountId(1), 30, by, &mut recalls).unwrap();
    // Beyond its half it is not entitled to anything.
    let refused = pool.take(AccountId(1), 21, by, &mut recalls).unwrap_err();
    assert_eq!(refused.reason, Reason::Full);
}

#[test]
fn a_cap_below_what_is_in_use_recalls_the_rest() {
    let mut pool =
        Pool::new(100, &[AccountLimits { weight: 1, reserve: 10 }, AccountLimits { weight: 3, reserve: 0 }])
            .unwrap();
    let mut recalls = Vec::new();
    pool.take(AccountId(0), 50, Timestamp(0), &mut recalls).unwrap();
    pool.take(AccountId(1), 40, Timestamp(0), &mut recalls).unwrap();
    pool.resize(40, Timestamp(0), &mut recalls).unwrap();
    let back: u64 = recalls.iter().map(|recall| recall.bytes).sum();
    assert!((50..=52).contains(&back), "{recalls:?}");
    assert!(pool.take(AccountId(0), 1, Timestamp(0), &mut recalls).is_err());
    assert!(pool.resize(9, Timestamp(0), &mut recalls).is_err());
}

/// Every state of a pool of 6 bytes with three accounts that take and give one or two bytes: whoever stays within its
/// fair share and asks gets it, once the borrowers have given back what they were told to; nobody else has to give.
#[test]
fn all_states_of_a_small_pool_return_what_is_borrowed() {
    let terms = [(1, 1), (1, 0), (2, 2)].map(|(weight, reserve)| AccountLimits { weight, reserve });
    let mut seen = HashSet::from([[0u64; 3]]);
    let mut todo = VecDeque::from([Pool::new(6, &terms).unwrap()]);
    let (mut refused, mut returned) = (0, 0);
    let state = |pool: &Pool| [0, 1, 2].map(|n| pool.used_by(AccountId(n)));
    while let Some(pool) = todo.pop_front() {
        for (account, bytes) in (0..3).flat_map(|n| [(AccountId(n), 1), (AccountId(n), 2)]) {
            let (mut next, mut recalls) = (pool.clone(), Vec::new());
            match next.take(account, bytes, Timestamp(0), &mut recalls) {
                Ok(()) => assert!(recalls.is_empty() && next.used() <= 6),
                Err(PoolRejection { reason: Reason::Recalled, .. }) => {
                    returned += 1;
                    let total: u64 = recalls.iter().map(|recall| recall.bytes).sum();
                    assert!(
                        total >= bytes - pool.room(account) && recalls.iter().all(|r| r.account != account)
                    );
                    recalls.iter().for_each(|recall| next.give(recall.account, recall.bytes));
                    next.take(account, bytes, Timestamp(0), &mut Vec::new()).expect("it was its own");
                }
                Err(_) => refused += 1,
            }
            let mut less = pool.clone();
            less.give(account, bytes);
            for pool in [next, less] {
                if seen.insert(state(&pool)) {
                    todo.push_back(pool);
                }
            }
        }
    }
    assert!(seen.len() > 30 && refused > 10 && returned > 10, "{} {refused} {returned}", seen.len());
}
