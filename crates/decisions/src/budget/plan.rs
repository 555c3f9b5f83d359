//! The division of memory: from an installation's figures to the limits of each purpose.
//!
//! Defaults apply where the operator sets nothing; limits of the operator that contradict each other are errors.

use super::{AccountId, AccountLimits, Budget, BudgetError, Purpose, PurposeLimits, PURPOSES};
use std::collections::BTreeMap;

/// The only account of a purpose that is not divided.
pub const SOLE_ACCOUNT: AccountId = AccountId(0);

/// Percentage of a purpose's cap that is reserved for classes that write.
const WRITE_RESERVE_PERCENT: u64 = 25;
/// Weights are whole numbers: the factor sets how finely priority weights and quotas are told apart.
const WEIGHT_SCALE: f64 = 1_000.0;
const MAX_WEIGHT: f64 = 1e6;
/// Smallest priority weight that a class counts with.
const MIN_PRIORITY_WEIGHT: f64 = 0.01;
/// Smallest share that a tenant counts with; the unnamed tenants together have it too.
const MIN_TENANT_SHARE: f64 = 0.05;

/// Percentages of all memory that a purpose has by default.
struct DefaultLimits {
    cap_percent: u64,
    reserve_percent: u64,
}

impl DefaultLimits {
    const fn new(cap_percent: u64, reserve_percent: u64) -> Self {
        Self { cap_percent, reserve_percent }
    }

    const fn of(purpose: Purpose) -> Self {
        match purpose {
            Purpose::Connections => Self::new(20, 10),
            Purpose::ClientBuffers => Self::new(60, 20),
            Purpose::Requests => Self::new(25, 10),
            Purpose::UpstreamBuffers => Self::new(40, 15),
            Purpose::Routing => Self::new(15, 10),
            Purpose::Copies => Self::new(10, 0),
            Purpose::Logs => Self::new(5, 2),
        }
    }
}

/// What the division takes into account of a request class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassWeight {
    /// Weight of one of its requests, without a unit.
    pub priority_weight: f64,
    /// Whether its requests write: writes have a reserve that reads cannot use up.
    pub is_write: bool,
}

/// What the operator sets for one purpose; defaults apply to the rest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitOverride {
    /// Bytes that it may use at most.
    pub cap: Option<u64>,
    /// Bytes that the other purposes never borrow.
    pub reserve: Option<u64>,
}

/// The figures of an installation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanInputs {
    /// Bytes of all accounted memory.
    pub total: u64,
    /// The request classes, in the order of the settings.
    pub classes: Vec<ClassWeight>,
    /// The tenants' shares, in the order of the settings; one account more is for tenants without a name.
    pub tenant_shares: Vec<f64>,
    /// What the operator sets.
    pub overrides: BTreeMap<Purpose, LimitOverride>,
}

/// The limits of each purpose, and which account belongs to whom.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Bytes of all accounted memory.
    pub total: u64,
    /// In the order of [`PURPOSES`].
    pub limits: [PurposeLimits; PURPOSES.len()],
    classes: usize,
    /// Those without a name count as one.
    tenants: usize,
}

impl Plan {
    /// Divides the memory of an installation.
    ///
    /// # Errors
    /// Returns an error if reserves that the operator sets do not fit.
    pub fn new(inputs: &PlanInputs) -> Result<Self, BudgetError> {
        let plan = Self {
            total: inputs.total,
            limits: PURPOSES.map(|purpose| purpose_limits(purpose, inputs)),
            classes: inputs.classes.len(),
            tenants: inputs.tenant_shares.len() + 1,
        };
        plan.budget()?;
        Ok(plan)
    }

    /// Returns a budget with these limits that nobody uses yet.
    ///
    /// # Errors
    /// Returns an error if reserves do not fit.
    pub fn budget(&self) -> Result<Budget, BudgetError> {
        Budget::new(self.total, &self.limits)
    }

    /// Returns the account of a class and a tenant in the purposes that are divided between these.
    pub fn account(&self, class: usize, tenant: usize) -> AccountId {
        AccountId(class.min(self.classes.saturating_sub(1)) * self.tenants + tenant.min(self.tenants - 1))
    }

    /// Returns the account of clients that have not sent a request yet.
    pub fn unidentified_clients(&self) -> AccountId {
        AccountId(self.classes * self.tenants)
    }
}

fn percentage(total: u64, percent: u64) -> u64 {
    (u128::from(total) * u128::from(percent) / 100) as u64
}

fn purpose_limits(purpose: Purpose, inputs: &PlanInputs) -> PurposeLimits {
    let defaults = DefaultLimits::of(purpose);
    let set = inputs.overrides.get(&purpose).copied().unwrap_or_default();
    let cap = set.cap.unwrap_or(percentage(inputs.total, defaults.cap_percent)).min(inputs.total);
    let reserve = set.reserve.unwrap_or(percentage(inputs.total, defaults.reserve_percent)).min(cap);
    PurposeLimits { cap, reserve, weight: 1, accounts: accounts(purpose, cap, inputs) }
}

fn is_divided(purpose: Purpose) -> bool {
    matches!(purpose, Purpose::ClientBuffers | Purpose::Requests | Purpose::UpstreamBuffers)
}

fn accounts(purpose: Purpose, cap: u64, inputs: &PlanInputs) -> Vec<AccountLimits> {
    if !is_divided(purpose) {
        return vec![AccountLimits { weight: 1, reserve: 0 }];
    }
    let write_classes = inputs.classes.iter().filter(|class| class.is_write).count().max(1) as u64;
    let write_reserve = percentage(cap, WRITE_RESERVE_PERCENT) / write_classes;
    let tenant_shares = inputs.tenant_shares.iter().copied().chain([0.0]);
    let tenant_shares: Vec<f64> = tenant_shares.map(|share| share.max(MIN_TENANT_SHARE)).collect();
    let sum_of_shares: f64 = tenant_shares.iter().sum();
    let mut accounts = Vec::with_capacity(inputs.classes.len() * tenant_shares.len() + 1);
    for class in &inputs.classes {
        for share in &tenant_shares {
            accounts.push(account_limits(class, write_reserve, share / sum_of_shares));
        }
    }
    // All unidentified clients together weigh as much as the smallest account.
    let smallest = accounts.iter().map(|limits| limits.weight).min().unwrap_or(1);
    accounts.push(AccountLimits { weight: smallest, reserve: 0 });
    accounts
}

/// Returns the limits of a class for a tenant with this fraction of all shares.
fn account_limits(class: &ClassWeight, write_reserve: u64, fraction: f64) -> AccountLimits {
    let priority_weight = class.priority_weight.max(MIN_PRIORITY_WEIGHT);
    let weight = (priority_weight * fraction * WEIGHT_SCALE).round().clamp(1.0, MAX_WEIGHT) as u32;
    let reserve = if class.is_write { write_reserve } else { 0 };
    AccountLimits { weight, reserve: (reserve as f64 * fraction) as u64 }
}
