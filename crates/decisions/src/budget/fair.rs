//! Weighted max-min fairness with reserves, in whole bytes.

/// What an account asks of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Its part of what is left beyond the reserves, in proportion to the others'; at least 1.
    pub weight: u32,
    /// Bytes that it gets in any case, if it wants them.
    pub reserve: u64,
    /// Bytes that it wants.
    pub demand: u64,
}

/// What each claim is given of `cap` bytes: its demand, or the larger of its reserve and its weight times one level
/// that is the same for all and as high as the cap allows. Reserves must not add up to more than the cap.
pub fn allocate(cap: u64, claims: &[Claim]) -> Vec<u64> {
    let given = |level: f64| {
        claims.iter().map(move |c| c.demand.min(c.reserve.max((f64::from(c.weight.max(1)) * level) as u64)))
    };
    let wanted: u64 = claims.iter().map(|claim| claim.demand).fold(0, u64::saturating_add);
    if wanted <= cap {
        return claims.iter().map(|claim| claim.demand).collect();
    }
    // The sum grows with the level: the highest that fits is found by halving.
    let (mut low, mut high) = (0.0_f64, cap as f64);
    for _ in 0..HALVINGS {
        let level = (low + high) / 2.0;
        let sum = given(level).fold(0, u64::saturating_add);
        if sum <= cap {
            low = level
        } else {
            high = level
        }
    }
    given(low).collect()
}

/// Enough to tell single bytes apart in any memory that a machine has.
const HALVINGS: u32 = 64;
