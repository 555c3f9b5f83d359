//! From an installation's figures to the terms of each purpose: how the whole is divided where the operator says
//! nothing, and what of what he says cannot hold.

use super::{AccountId, AccountLimits, Budget, BudgetError, Purpose, PurposeLimits, PURPOSES};
use std::collections::BTreeMap;

/// Parts of the whole that a purpose may use at the most, and that the others never borrow, in hundredths.
const PARTS: [(u64, u64); PURPOSES.len()] =
    [(20, 10), (60, 20), (25, 10), (40, 15), (15, 10), (10, 0), (5, 2)];
/// Of a purpose's cap, what is never lent of it: so much in hundredths, for those classes that are worth most.
const RESERVED: u64 = 25;
/// Weights are whole numbers: worth and share are told apart as finely as this.
const FINENESS: f64 = 1_000.0;

/// A class, as far as memory goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassWeight {
    /// What a request of it is worth.
    pub worth: f64,
    /// Whether it writes: what clients have recorded must not be kept out by what they look up.
    pub write: bool,
}

/// What the operator sets of one purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Override {
    /// The most that it may use, in bytes.
    pub cap: Option<u64>,
    /// Bytes that the others never borrow.
    pub reserve: Option<u64>,
}

/// What an installation gives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanInputs {
    /// All bytes that are accounted for.
    pub total: u64,
    /// The classes, in the module's order.
    pub classes: Vec<ClassWeight>,
    /// The tenants' shares, in the module's order; one more account takes those that are not named.
    pub tenants: Vec<f64>,
    /// What the operator sets.
    pub overrides: BTreeMap<Purpose, Override>,
}

/// The terms of each purpose, and which account is whose.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// All bytes that are accounted for.
    pub total: u64,
    /// In the order of [`PURPOSES`].
    pub terms: [PurposeLimits; PURPOSES.len()],
    classes: usize,
    tenants: usize,
}

impl Plan {
    /// Divides the whole.
    ///
    /// # Errors
    /// When what the operator sets does not fit.
    pub fn new(figures: &PlanInputs) -> Result<Self, BudgetError> {
        let (classes, tenants) = (figures.classes.len(), figures.tenants.len() + 1);
        let terms = PURPOSES.map(|purpose| {
            let (cap, reserve) = PARTS[purpose as usize];
            let set = figures.overrides.get(&purpose).copied().unwrap_or_default();
            let cap = set.cap.unwrap_or(part(figures.total, cap)).min(figures.total);
            let reserve = set.reserve.unwrap_or(part(figures.total, reserve)).min(cap);
            PurposeLimits { cap, reserve, weight: 1, accounts: accounts(purpose, cap, figures) }
        });
        let plan = Self { total: figures.total, terms, classes, tenants };
        plan.budget().map(|_| plan.clone())
    }

    /// A budget by these terms that nobody uses yet.
    ///
    /// # Errors
    /// When reserves do not fit.
    pub fn budget(&self) -> Result<Budget, BudgetError> {
        Budget::new(self.total, &self.terms)
    }

    /// The account of a class and a tenant, where a purpose is shared between these.
    pub fn account(&self, class: usize, tenant: usize) -> AccountId {
        AccountId(class.min(self.classes.saturating_sub(1)) * self.tenants + tenant.min(self.tenants - 1))
    }

    /// The account of those who have not said yet what they want.
    pub fn unidentified_clients(&self) -> AccountId {
        AccountId(self.classes * self.tenants)
    }
}

/// The account of a purpose that is not shared.
pub const ONLY_ACCOUNT: AccountId = AccountId(0);

fn part(total: u64, hundredths: u64) -> u64 {
    (u128::from(total) * u128::from(hundredths) / 100) as u64
}

fn accounts(purpose: Purpose, cap: u64, figures: &PlanInputs) -> Vec<AccountLimits> {
    if !matches!(purpose, Purpose::ClientBuffers | Purpose::Requests | Purpose::UpstreamBuffers) {
        return vec![AccountLimits { weight: 1, reserve: 0 }];
    }
    let writes = figures.classes.iter().filter(|class| class.write).count().max(1) as u64;
    let tenants = figures.tenants.iter().copied().chain([0.0]);
    let shares: Vec<f64> = tenants.map(|share| share.max(0.05)).collect();
    let sum: f64 = shares.iter().sum();
    let mut accounts = Vec::with_capacity(figures.classes.len() * shares.len() + 1);
    for class in &figures.classes {
        let reserve = if class.write { part(cap, RESERVED) / writes } else { 0 };
        for share in &shares {
            let part = share / sum;
            let weight = (class.worth.max(0.01) * part * FINENESS).round().clamp(1.0, 1e6) as u32;
            accounts.push(AccountLimits { weight, reserve: (reserve as f64 * part) as u64 });
        }
    }
    // Strangers together weigh as much as the least account.
    let least = accounts.iter().map(|terms| terms.weight).min().unwrap_or(1);
    accounts.push(AccountLimits { weight: least, reserve: 0 });
    accounts
}
