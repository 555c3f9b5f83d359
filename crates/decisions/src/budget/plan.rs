//! The division of an installation's memory into limits for each purpose and account.
//!
//! Defaults apply to limits that the operator does not set; contradictory limits are errors.

use super::{AccountId, AccountLimits, Budget, BudgetError, Purpose, PurposeLimits, PURPOSES};
use std::collections::BTreeMap;

/// The only account of a purpose that is not divided between classes and tenants.
pub const SOLE_ACCOUNT: AccountId = AccountId(0);

/// Percentage of a purpose's cap that is reserved for write classes.
const WRITE_RESERVE_PERCENT: u64 = 25;
/// Factor from fractional weights to the whole numbers of [`AccountLimits::weight`]; it sets their
/// resolution.
const WEIGHT_SCALE: f64 = 1_000.0;
/// Maximum weight of an account.
const MAX_WEIGHT: f64 = 1e6;
/// Lower bound of a class's priority weight.
const MIN_PRIORITY_WEIGHT: f64 = 0.01;
/// Lower bound of a tenant's share; also the share of all tenants without a name together.
const MIN_TENANT_SHARE: f64 = 0.05;

/// Default limits of a purpose, as percentages of all memory.
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

/// The properties of a request class that its share of memory depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassWeight {
    /// Weight of one request of the class, without a unit.
    pub priority_weight: f64,
    /// Whether the class writes: writes have a reserve that reads cannot use.
    pub is_write: bool,
}

/// The operator's limits for one purpose; defaults apply to those that are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitOverride {
    /// Maximum number of bytes that the purpose may use.
    pub cap: Option<u64>,
    /// Bytes that the other purposes never borrow.
    pub reserve: Option<u64>,
}

/// The inputs of a plan, from the settings of an installation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanInputs {
    /// Bytes of all accounted memory.
    pub total: u64,
    /// The request classes, in the order of the settings.
    pub classes: Vec<ClassWeight>,
    /// The tenants' shares, in the order of the settings. Tenants without a name share one further account.
    pub tenant_shares: Vec<f64>,
    /// The operator's limits.
    pub overrides: BTreeMap<Purpose, LimitOverride>,
}

/// The limits of each purpose, and the mapping of classes and tenants to accounts.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Bytes of all accounted memory.
    pub total: u64,
    /// Limits of each purpose, in the order of [`PURPOSES`].
    pub limits: [PurposeLimits; PURPOSES.len()],
    class_count: usize,
    /// Number of tenants; all those without a name count as one.
    tenant_count: usize,
}

impl Plan {
    /// Divides the memory of an installation.
    ///
    /// # Errors
    /// Returns an error if reserves set by the operator add up to more than their cap.
    pub fn new(inputs: &PlanInputs) -> Result<Self, BudgetError> {
        let plan = Self {
            total: inputs.total,
            limits: PURPOSES.map(|purpose| purpose_limits(purpose, inputs)),
            class_count: inputs.classes.len(),
            tenant_count: inputs.tenant_shares.len() + 1,
        };
        plan.budget()?;
        Ok(plan)
    }

    /// Returns an unused budget with these limits.
    ///
    /// # Errors
    /// Returns an error if reserves add up to more than their cap.
    pub fn budget(&self) -> Result<Budget, BudgetError> {
        Budget::new(self.total, &self.limits)
    }

    /// Returns the account of a class and a tenant in the purposes that are divided between classes and
    /// tenants.
    pub fn account(&self, class: usize, tenant: usize) -> AccountId {
        AccountId(
            class.min(self.class_count.saturating_sub(1)) * self.tenant_count
                + tenant.min(self.tenant_count - 1),
        )
    }

    /// Returns the account of clients that have not sent a request yet.
    pub fn unidentified_clients(&self) -> AccountId {
        AccountId(self.class_count * self.tenant_count)
    }
}

fn percentage(total: u64, percent: u64) -> u64 {
    (u128::from(total) * u128::from(percent) / 100) as u64
}

fn purpose_limits(purpose: Purpose, inputs: &PlanInputs) -> PurposeLimits {
    let defaults = DefaultLimits::of(purpose);
    let overrides = inputs.overrides.get(&purpose).copied().unwrap_or_default();
    let cap = overrides.cap.unwrap_or(percentage(inputs.total, defaults.cap_percent)).min(inputs.total);
    let reserve = overrides.reserve.unwrap_or(percentage(inputs.total, defaults.reserve_percent)).min(cap);
    PurposeLimits { cap, reserve, weight: 1, accounts: accounts(purpose, cap, inputs) }
}

/// Returns whether a purpose is divided between classes and tenants.
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
    let total_share: f64 = tenant_shares.iter().sum();
    let mut accounts = Vec::with_capacity(inputs.classes.len() * tenant_shares.len() + 1);
    for class in &inputs.classes {
        for share in &tenant_shares {
            accounts.push(account_limits(class, write_reserve, share / total_share));
        }
    }
    // All unidentified clients together have the weight of the account with the lowest.
    let lowest_weight = accounts.iter().map(|limits| limits.weight).min().unwrap_or(1);
    accounts.push(AccountLimits { weight: lowest_weight, reserve: 0 });
    accounts
}

/// Returns the limits of the account of a class and a tenant with this fraction of all tenants' shares.
fn account_limits(class: &ClassWeight, write_reserve: u64, tenant_fraction: f64) -> AccountLimits {
    let priority_weight = class.priority_weight.max(MIN_PRIORITY_WEIGHT);
    let weight = (priority_weight * tenant_fraction * WEIGHT_SCALE).round().clamp(1.0, MAX_WEIGHT) as u32;
    let reserve = if class.is_write { write_reserve } else { 0 };
    AccountLimits { weight, reserve: (reserve as f64 * tenant_fraction) as u64 }
}
