//! The memory budget: fair shares against a reference implementation, random sequences of operations, and all
//! states of a small pool.

use proptest::prelude::*;
use std::collections::{HashSet, VecDeque};
use wheelpier_decisions::budget::*;
use wheelpier_decisions::{TimeDelta, Timestamp};

fn claims() -> impl Strategy<Value = Vec<Claim>> {
    let claim = (1u32..9, 0u64..40, 0u64..400);
    prop::collection::vec(claim.prop_map(|(weight, reserve, demand)| Claim { weight, reserve, demand }), 1..8)
}

/// Reference implementation of max-min fair shares: allocates one byte at a time to the unsatisfied claim
/// that has the least in proportion to its weight.
fn allocate_byte_by_byte(cap: u64, claims: &[Claim]) -> Vec<u64> {
    let mut shares: Vec<u64> = claims.iter().map(|claim| claim.reserve.min(claim.demand)).collect();
    let mut remaining = cap - shares.iter().sum::<u64>();
    while remaining > 0 {
        let unsatisfied = (0..claims.len()).filter(|index| shares[*index] < claims[*index].demand);
        let next = unsatisfied.min_by(|a, b| {
            let level = |index: usize| (shares[index] + 1) as f64 / f64::from(claims[index].weight);
            level(*a).total_cmp(&level(*b))
        });
        let Some(next) = next else { break };
        shares[next] += 1;
        remaining -= 1;
    }
    shares
}

proptest! {
    #[test]
    fn shares_match_the_reference_implementation(claims in claims(), extra in 0u64..900) {
        let cap = claims.iter().map(|claim| claim.reserve).sum::<u64>() + extra;
        let (shares, expected) = (allocate(cap, &claims), allocate_byte_by_byte(cap, &claims));
        prop_assert!(shares.iter().sum::<u64>() <= cap);
        for ((share, expected), claim) in shares.iter().zip(&expected).zip(&claims) {
            // Shares are rounded down to whole bytes, so up to one byte per claim stays unallocated.
            prop_assert!(share.abs_diff(*expected) <= claims.len() as u64, "{share}, expected {expected}");
            prop_assert!(*share <= claim.demand && *share >= claim.reserve.min(claim.demand));
        }
    }
}

#[derive(Clone, Debug)]
enum Operation {
    Reserve { purpose: usize, account: usize, bytes: u64 },
    Resize { reservation: usize, bytes: u64 },
    Assign { reservation: usize, account: usize },
    Drop { reservation: usize },
    SetCap { purpose: usize, cap: u64 },
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        4 => (0..7usize, 0..3usize, 0u64..60)
            .prop_map(|(purpose, account, bytes)| Operation::Reserve { purpose, account, bytes }),
        2 => (any::<usize>(), 0u64..60)
            .prop_map(|(reservation, bytes)| Operation::Resize { reservation, bytes }),
        1 => (any::<usize>(), 0..3usize)
            .prop_map(|(reservation, account)| Operation::Assign { reservation, account }),
        2 => any::<usize>().prop_map(|reservation| Operation::Drop { reservation }),
        1 => (0..7usize, 40u64..160).prop_map(|(purpose, cap)| Operation::SetCap { purpose, cap }),
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
    fn any_sequence_respects_caps_and_releases_all_bytes(
        operations in prop::collection::vec(operation(), 1..120),
    ) {
        let budget = budget();
        let mut caps = [100u64; 7];
        let mut reservations: Vec<(usize, usize, Reservation)> = Vec::new();
        for (step, operation) in operations.into_iter().enumerate() {
            let now = Timestamp(step as i64 * 10_000);
            let used_before = PURPOSES.map(|purpose| budget.used(purpose));
            match operation {
                Operation::Reserve { purpose, account, bytes } => {
                    let reserved = budget.reserve(PURPOSES[purpose], AccountId(account), bytes, now);
                    if let Ok(reservation) = reserved {
                        reservations.push((purpose, account, reservation));
                    }
                }
                Operation::Resize { reservation, bytes } if !reservations.is_empty() => {
                    let index = reservation % reservations.len();
                    let shrinks = bytes <= reservations[index].2.bytes();
                    prop_assert!(reservations[index].2.resize(bytes, now).is_ok() || !shrinks);
                }
                Operation::Assign { reservation, account } if !reservations.is_empty() => {
                    let index = reservation % reservations.len();
                    if reservations[index].2.assign(AccountId(account), now).is_ok() {
                        reservations[index].1 = account;
                    }
                }
                Operation::Drop { reservation } if !reservations.is_empty() => {
                    drop(reservations.swap_remove(reservation % reservations.len()))
                }
                Operation::SetCap { purpose, cap } => {
                    budget.set_cap(PURPOSES[purpose], cap, now).unwrap();
                    caps[purpose] = cap;
                }
                _ => {}
            }
            // The bytes that an account uses are the sum of its reservations.
            for (index, purpose) in PURPOSES.into_iter().enumerate() {
                for account in 0..3 {
                    let reserved = reservations
                        .iter()
                        .filter(|(purpose, of, _)| (*purpose, *of) == (index, account))
                        .map(|(_, _, reservation)| reservation.bytes());
                    prop_assert_eq!(budget.used_by(purpose, AccountId(account)), reserved.sum::<u64>());
                }
                let used = budget.used(purpose);
                // Use exceeds a cap only after the cap has been lowered, and then does not grow.
                prop_assert!(used <= caps[index] || used <= used_before[index]);
            }
            prop_assert!(budget.total_used() <= 400);
        }
        drop(reservations);
        prop_assert_eq!(budget.total_used(), 0);
    }

    #[test]
    fn a_reserve_is_always_available(others in prop::collection::vec((0..3usize, 1u64..50), 0..60)) {
        let budget = budget();
        let reservations: Vec<_> = others
            .into_iter()
            .filter(|(account, _)| *account != 2)
            .filter_map(|(account, bytes)| {
                budget.reserve(Purpose::ClientBuffers, AccountId(account), bytes, Timestamp(0)).ok()
            })
            .collect();
        // The other accounts have not borrowed the 20 bytes that the third one has in reserve.
        prop_assert!(budget.reserve(Purpose::ClientBuffers, AccountId(2), 20, Timestamp(0)).is_ok());
        drop(reservations);
    }
}

#[test]
fn reserves_above_a_purposes_cap_are_rejected() {
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
    let due = Timestamp(RECLAIM_NOTICE.0);
    assert_eq!(reclaims, [Reclaim { account: AccountId(0), bytes: 30, due }]);
    let rejection = pool.reserve(AccountId(1), 30, Timestamp(100_000), &mut reclaims).unwrap_err();
    assert_eq!(rejection.retry_after, Some(TimeDelta(RECLAIM_NOTICE.0 - 100_000)));
    assert_eq!(reclaims.len(), 1);
    assert_eq!(
        (pool.overdue_reclaims(Timestamp(due.0 - 1)), pool.overdue_reclaims(due)),
        (vec![], reclaims.clone())
    );
    pool.release(AccountId(0), 30);
    assert!(pool.overdue_reclaims(due).is_empty());
    pool.reserve(AccountId(1), 30, due, &mut reclaims).unwrap();
    // The account's fair share is half of the pool, and it is not entitled to more.
    let rejection = pool.reserve(AccountId(1), 21, due, &mut reclaims).unwrap_err();
    assert_eq!(rejection.reason, PoolRejectionReason::Full);
}

#[test]
fn a_cap_below_the_bytes_in_use_reclaims_the_excess() {
    let mut pool =
        Pool::new(100, &[AccountLimits { weight: 1, reserve: 10 }, AccountLimits { weight: 3, reserve: 0 }])
            .unwrap();
    let mut reclaims = Vec::new();
    pool.reserve(AccountId(0), 50, Timestamp(0), &mut reclaims).unwrap();
    pool.reserve(AccountId(1), 40, Timestamp(0), &mut reclaims).unwrap();
    pool.set_cap(40, Timestamp(0), &mut reclaims).unwrap();
    let reclaimed: u64 = reclaims.iter().map(|reclaim| reclaim.bytes).sum();
    assert!((50..=52).contains(&reclaimed), "{reclaims:?}");
    assert!(pool.reserve(AccountId(0), 1, Timestamp(0), &mut reclaims).is_err());
    assert!(pool.set_cap(9, Timestamp(0), &mut reclaims).is_err());
}

/// Visits every state of a pool of 6 bytes with three accounts that reserve and release one or two bytes. An
/// account within its fair share must get its bytes once the borrowers have released the reclaimed ones, and
/// only other accounts may have to release bytes.
#[test]
fn borrowed_bytes_are_reclaimed_in_all_states_of_a_small_pool() {
    let limits = [(1, 1), (1, 0), (2, 2)].map(|(weight, reserve)| AccountLimits { weight, reserve });
    let mut visited = HashSet::from([[0u64; 3]]);
    let mut queue = VecDeque::from([Pool::new(6, &limits).unwrap()]);
    let (mut rejected, mut reclaimed) = (0, 0);
    let state = |pool: &Pool| [0, 1, 2].map(|index| pool.used_by(AccountId(index)));
    while let Some(pool) = queue.pop_front() {
        for (account, bytes) in (0..3).flat_map(|index| [(AccountId(index), 1), (AccountId(index), 2)]) {
            let (mut next, mut reclaims) = (pool.clone(), Vec::new());
            match next.reserve(account, bytes, Timestamp(0), &mut reclaims) {
                Ok(()) => assert!(reclaims.is_empty() && next.used() <= 6),
                Err(PoolRejection { reason: PoolRejectionReason::ReclaimPending, .. }) => {
                    reclaimed += 1;
                    let total: u64 = reclaims.iter().map(|reclaim| reclaim.bytes).sum();
                    assert!(
                        total >= bytes - pool.available(account)
                            && reclaims.iter().all(|reclaim| reclaim.account != account)
                    );
                    reclaims.iter().for_each(|reclaim| next.release(reclaim.account, reclaim.bytes));
                    next.reserve(account, bytes, Timestamp(0), &mut Vec::new())
                        .expect("the account is entitled to it");
                }
                Err(_) => rejected += 1,
            }
            let mut released = pool.clone();
            released.release(account, bytes);
            for pool in [next, released] {
                if visited.insert(state(&pool)) {
                    queue.push_back(pool);
                }
            }
        }
    }
    assert!(
        visited.len() > 30 && rejected > 10 && reclaimed > 10,
        "{} {rejected} {reclaimed}",
        visited.len()
    );
}
