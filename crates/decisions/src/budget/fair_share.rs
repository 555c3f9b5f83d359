//! Weighted max-min fair shares with reserves, in whole bytes.

/// Bisection steps of the search for the highest level: enough to resolve single bytes for any size of
/// memory.
const BISECTION_STEPS: u32 = 64;

/// The claim of an account on the bytes of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Weight of the account in the division of the bytes beyond the reserves; 0 counts as 1.
    pub weight: u32,
    /// Bytes that the account gets whatever the others demand, up to its own demand.
    pub reserve: u64,
    /// Bytes that the account demands.
    pub demand: u64,
}

impl Claim {
    /// Returns the bytes that the claim gets at this level, in bytes per unit of weight.
    fn granted_at(&self, level: f64) -> u64 {
        let weighted = (f64::from(self.weight.max(1)) * level) as u64;
        self.demand.min(self.reserve.max(weighted))
    }
}

/// Divides `cap` bytes between claims, and returns the share of each.
///
/// Each claim gets its demand, but at most the larger of its reserve and its weight times a level. The level
/// is the same for all claims and as high as the cap allows. The reserves must not add up to more than the
/// cap.
pub fn allocate(cap: u64, claims: &[Claim]) -> Vec<u64> {
    let demanded = claims.iter().map(|claim| claim.demand).fold(0, u64::saturating_add);
    if demanded <= cap {
        return claims.iter().map(|claim| claim.demand).collect();
    }
    let level = highest_level(cap, claims);
    claims.iter().map(|claim| claim.granted_at(level)).collect()
}

/// Returns the highest level at which the granted bytes fit into the cap. Bisection applies because their sum
/// never falls as the level grows.
fn highest_level(cap: u64, claims: &[Claim]) -> f64 {
    let (mut low, mut high) = (0.0_f64, cap as f64);
    for _ in 0..BISECTION_STEPS {
        let level = (low + high) / 2.0;
        let granted = claims.iter().map(|claim| claim.granted_at(level)).fold(0, u64::saturating_add);
        if granted <= cap {
            low = level;
        } else {
            high = level;
        }
    }
    low
}
