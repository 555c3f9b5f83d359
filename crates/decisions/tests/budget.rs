//! The budget against a reference implementation, over random sequences, and over all states of a small pool.

use proptest::prelude::*;
use std::collections::{HashSet, VecDeque};
use wheelpier_decisions::budget::*;
use wheelpier_decisions::{TimeDelta, Timestamp};

fn claims() -> impl Strategy<Value = Vec<Claim>> {
    let claim = (1u32..9, 0u64..40, 0u64..400);
    prop::collection::vec(claim.prop_map(|(weight, reserve, demand)| Claim { weight, reserve, demand }), 1..8)
}

/// Max-min fairness by filling one unit at a time: always to the claim that has least in proportion to its weight.
fn allocate_unit_by_unit(cap: u64, claims: &[Claim]) -> Vec<u64> {
    let mut given: Vec<u64> = claims.iter().map(|c| c.reserve.min(c.demand)).collect();
    let mut left = cap - given.iter().sum::<u64>();
    while left > 0 {
        let unsatisfied = (0..claims.len()).filter(|n| given[*n] < claims[*n].demand);
        let next = unsatisfied.min_by(|a, b| {
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
    fn shares_are_those_of_the_reference(claims in claims(), extra in 0u64..900) {
        let cap = claims.iter().map(|c| c.reserve).sum::<u64>() + extra;
        let (fast, plain) = (allocate(cap, &claims), allocate_unit_by_unit(cap, &claims));
        prop_assert!(fast.iter().sum::<u64>() <= cap);
        for ((fast, plain), claim) in fast.iter().zip(&plain).zip(&claims) {
            // Whole bytes: the level may leave one for each claim undealt.
            prop_assert!(fast.abs_diff(*plain) <= claims.len() as u64, "{fast} against {plain}");
            prop_assert!(*fast <= claim.demand && *fast >= claim.reserve.min(claim.demand));
        }
    }
}

#[derive(Clone, Debug)]
enum Operation {
    Reserve { purpose: usize, account: usize, bytes: u64 },
    Resize { reservation: usize, bytes: u64 },
    Assign { reservation: usize, account: usize },
    Drop { reservation: usize },
    Cap { purpose: usize, cap: u64 },
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        4 => (0..7usize, 0..3usize, 0u64..60)
            .prop_map(|(purpose, account, bytes)| Operation::Reserve { purpose, account, bytes }),
        2 => (any::<usize>(), 0u64..60).prop_map(|(reservation, bytes)| Operation::Resize { reservation, bytes }),
        1 => (any::<usize>(), 0..3usize).prop_map(|(reservation, account)| Operation::Assign { reservation, account }),
        2 => any::<usize>().prop_map(|reservation| Operation::Drop { reservation }),
        1 => (0..7usize, 40u64..160).prop_map(|(purpose, cap)| Operation::Cap { purpose, cap }),
    ]
}

fn budget() -> Budget {
    let accounts: Vec<AccountLimits> =
        [(1, 10), (2, 0), (4, 20)].map(|(weight, reserve)| AccountLimits { weight, reserve }).to_vec();
    let limits =
        PURPOSES.map(|_| PurposeLimits { cap: 100, reserve: 30, weight: 1, accounts: accounts.clone() });
    Budget::new(400, &limits).unwrap()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn any_sequence_keeps_the_caps_and_the_reserves_and_ends_at_zero(operations in prop::collection::vec(operation(), 1..120)) {
        let budget = budget();
        let mut caps = [100u64; 7];
        let mut reservations: Vec<(usize, usize, Reservation)> = Vec::new();
        for (now, operation) in operations.into_iter().enumerate() {
            let now = Timestamp(now as i64 * 10_000);
            let before = PURPOSES.map(|purpose| budget.used(purpose));
            match operation {
                Operation::Reserve { purpose, account, bytes } => {
                    if let Ok(reservation) = budget.reserve(PURPOSES[purpose], AccountId(account), bytes, now) {
                        reservations.push((purpose, account, reservation));
                    }
                }
                Operation::Resize { reservation, bytes } if !reservations.is_empty() => {
                    let at = reservation % reservations.len();
                    let less = bytes <= reservations[at].2.bytes();
                    prop_assert!(reservations[at].2.resize(bytes, now).is_ok() || !less);
                }
                Operation::Assign { reservation, account } if !reservations.is_empty() => {
                    let at = reservation % reservations.len();
                    if reservations[at].2.assign(AccountId(account), now).is_ok() {
                        reservations[at].1 = account;
                    }
                }
                Operation::Drop { reservation } if !reservations.is_empty() => drop(reservations.swap_remove(reservation % reservations.len())),
                Operation::Cap { purpose, cap } => {
                    budget.resize(PURPOSES[purpose], cap, now).unwrap();
                    caps[purpose] = cap;
                }
                _ => {}
            }
            // What is in use is the sum of the reservations, account by account.
            for (n, purpose) in PURPOSES.into_iter().enumerate() {
                for account in 0..3 {
                    let held = reservations.iter().filter(|t| (t.0, t.1) == (n, account)).map(|t| t.2.bytes());
                    prop_assert_eq!(budget.used_by(purpose, AccountId(account)), held.sum::<u64>());
                }
                let used = budget.used(purpose);
                // Beyond a cap only what was there before it fell.
                prop_assert!(used <= caps[n] || used <= before[n]);
            }
            prop_assert!(budget.total_used() <= 400);
        }
        drop(reservations);
        prop_assert_eq!(budget.total_used(), 0);
    }

    #[test]
    fn a_reserve_is_always_available(others in prop::collection::vec((0..3usize, 1u64..50), 0..60)) {
        let budget = budget();
        let held: Vec<_> = others
            .into_iter()
            .filter(|(account, _)| *account != 2)
            .filter_map(|(account, bytes)| {
                budget.reserve(Purpose::ClientBuffers, AccountId(account), bytes, Timestamp(0)).ok()
            })
            .collect();
        // The third account's 20 bytes have not been lent.
        prop_assert!(budget.reserve(Purpose::ClientBuffers, AccountId(2), 20, Timestamp(0)).is_ok());
        drop(held);
    }
}

#[test]
fn reserves_that_do_not_fit_are_rejection_by_name() {
    let accounts = vec![AccountLimits { weight: 1, reserve: 101 }];
    let mut limits =
        PURPOSES.map(|_| PurposeLimits { cap: 100, reserve: 0, weight: 1, accounts: Vec::new() });
    limits[Purpose::Copies as usize].accounts = accounts;
    let error = Budget::new(1_000, &limits).unwrap_err();
    assert_eq!(error.to_string(), "copies: the reserves add up to 101 bytes, the cap is 100");
}

#[test]
fn a_reservation_larger_than_the_cap_gets_no_retry_after() {
    let rejection = budget().reserve(Purpose::Logs, AccountId(0), 101, Timestamp(0)).unwrap_err();
    assert_eq!(
        rejection.rejection,
        PoolRejection { reason: PoolRejectionReason::TooLarge, retry_after: None }
    );
}

#[test]
fn a_reclaim_is_reported_once_and_keeps_its_first_due_time() {
    let limits = [AccountLimits { weight: 1, reserve: 0 }; 2];
    let mut pool = Pool::new(100, &limits).unwrap();
    let mut reclaims = Vec::new();
    pool.reserve(AccountId(0), 100, Timestamp(0), &mut reclaims).unwrap();
    let rejection = pool.reserve(AccountId(1), 30, Timestamp(0), &mut reclaims).unwrap_err();
    assert_eq!(
        rejection,
        PoolRejection { reason: PoolRejectionReason::ReclaimPending, retry_after: Some(RECLAIM_NOTICE) }
    );
    let by = Timestamp(RECLAIM_NOTICE.0);
    assert_eq!(reclaims, [Reclaim { account: AccountId(0), bytes: 30, due: by }]);
    let rejection = pool.reserve(AccountId(1), 30, Timestamp(100_000), &mut reclaims).unwrap_err();
    assert_eq!(rejection.retry_after, Some(TimeDelta(RECLAIM_NOTICE.0 - 100_000)));
    assert_eq!(reclaims.len(), 1);
    assert_eq!(
        (pool.overdue_reclaims(Timestamp(by.0 - 1)), pool.overdue_reclaims(by)),
        (vec![], reclaims.clone())
    );
    pool.release(AccountId(0), 30);
    assert!(pool.overdue_reclaims(by).is_empty());
    pool.reserve(AccountId(1), 30, by, &mut reclaims).unwrap();
    // Beyond its half it is not entitled to anything.
    let rejection = pool.reserve(AccountId(1), 21, by, &mut reclaims).unwrap_err();
    assert_eq!(rejection.reason, PoolRejectionReason::Full);
}

#[test]
fn a_cap_below_what_is_in_use_reclaims_the_excess() {
    let mut pool =
        Pool::new(100, &[AccountLimits { weight: 1, reserve: 10 }, AccountLimits { weight: 3, reserve: 0 }])
            .unwrap();
    let mut reclaims = Vec::new();
    pool.reserve(AccountId(0), 50, Timestamp(0), &mut reclaims).unwrap();
    pool.reserve(AccountId(1), 40, Timestamp(0), &mut reclaims).unwrap();
    pool.resize(40, Timestamp(0), &mut reclaims).unwrap();
    let back: u64 = reclaims.iter().map(|reclaim| reclaim.bytes).sum();
    assert!((50..=52).contains(&back), "{reclaims:?}");
    assert!(pool.reserve(AccountId(0), 1, Timestamp(0), &mut reclaims).is_err());
    assert!(pool.resize(9, Timestamp(0), &mut reclaims).is_err());
}

/// Every state of a pool of 6 bytes with three accounts that reserve and release one or two bytes: an account within its
/// fair share gets what it reserves once the borrowers have released what was reclaimed; no other account has to release.
#[test]
fn in_all_states_of_a_small_pool_borrowed_bytes_are_reclaimed() {
    let limits = [(1, 1), (1, 0), (2, 2)].map(|(weight, reserve)| AccountLimits { weight, reserve });
    let mut seen = HashSet::from([[0u64; 3]]);
    let mut todo = VecDeque::from([Pool::new(6, &limits).unwrap()]);
    let (mut rejection, mut returned) = (0, 0);
    let state = |pool: &Pool| [0, 1, 2].map(|n| pool.used_by(AccountId(n)));
    while let Some(pool) = todo.pop_front() {
        for (account, bytes) in (0..3).flat_map(|n| [(AccountId(n), 1), (AccountId(n), 2)]) {
            let (mut next, mut reclaims) = (pool.clone(), Vec::new());
            match next.reserve(account, bytes, Timestamp(0), &mut reclaims) {
                Ok(()) => assert!(reclaims.is_empty() && next.used() <= 6),
                Err(PoolRejection { reason: PoolRejectionReason::ReclaimPending, .. }) => {
                    returned += 1;
                    let total: u64 = reclaims.iter().map(|reclaim| reclaim.bytes).sum();
                    assert!(
                        total >= bytes - pool.available(account)
                            && reclaims.iter().all(|r| r.account != account)
                    );
                    reclaims.iter().for_each(|reclaim| next.release(reclaim.account, reclaim.bytes));
                    next.reserve(account, bytes, Timestamp(0), &mut Vec::new())
                        .expect("the account is entitled to it");
                }
                Err(_) => rejection += 1,
            }
            let mut less = pool.clone();
            less.release(account, bytes);
            for pool in [next, less] {
                if seen.insert(state(&pool)) {
                    todo.push_back(pool);
                }
            }
        }
    }
    assert!(seen.len() > 30 && rejection > 10 && returned > 10, "{} {rejection} {returned}", seen.len());
}
