//! Admission control: which requests are admitted under overload, and the priority density of a request.

use super::context::{serving_role, Context};
use super::load_estimates::SAMPLE_WEIGHT;
use super::request::{PendingRequest, ANY_HOST, SHARED_SALT};
use crate::interface::{Role, Settings, SMALL_FLEET_MAX_ROUTERS};
use crate::load::ByRole;

/// Latency ratio from which on a large fleet sheds reads. It is higher than [`SHEDDING_RATIO`] because the
/// routers of a large fleet skip single overloaded hosts first.
const LARGE_FLEET_READ_SHEDDING_RATIO: f64 = 1.5;
/// Latency ratio from which on a very large fleet sheds writes. A small fleet, which also has concurrency
/// limits, sheds from a multiple of it on.
const SHEDDING_RATIO: f64 = 0.5;
/// Fraction of every tenant's recorded usage that decays with each request of any tenant.
const TENANT_USAGE_DECAY: f64 = SAMPLE_WEIGHT / 5.0;
/// Minimum of a divisor that may be zero.
const SMALLEST_DIVISOR: f64 = 1e-9;

/// Decision on the admission of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// The request may be forwarded.
    Admit,
    /// The request is rejected immediately, because its group is overloaded.
    ShedLoad,
}

/// State of admission control.
#[derive(Debug)]
pub(super) struct Admission {
    /// Recent requests of each tenant at this router, with exponential decay.
    tenant_usage: Vec<f64>,
    /// Moving average of the priority densities of arriving requests.
    mean_priority: ByRole<f64>,
}

impl Admission {
    /// Returns the state for tenants with these quotas, which also serve as the initial usage.
    pub fn new(tenant_quotas: &[f64]) -> Self {
        Self { tenant_usage: tenant_quotas.to_vec(), mean_priority: ByRole::default() }
    }

    /// Adds the tenants that are new in `tenant_quotas`; the others keep their recorded usage.
    pub fn add_tenants(&mut self, tenant_quotas: &[f64]) {
        self.tenant_usage.extend(tenant_quotas.iter().skip(self.tenant_usage.len()));
    }

    /// Records a request of a tenant and returns the factor for its priority, from `over_quota_weight` to 1;
    /// 1 while the tenant is within its quota. A router knows only its own traffic, so it compares each
    /// tenant's share of that with its share of all quotas.
    pub fn tenant_weight(&mut self, settings: &Settings, tenant: usize) -> f64 {
        let Some(quota) = settings.tenant_quotas.get(tenant) else { return 1.0 };
        self.tenant_usage.iter_mut().for_each(|usage| *usage *= 1.0 - TENANT_USAGE_DECAY);
        self.tenant_usage[tenant] += 1.0;
        let all_quotas = settings.tenant_quotas.iter().sum::<f64>().max(SMALLEST_DIVISOR);
        let fair_share = quota / all_quotas;
        let all_usage = self.tenant_usage.iter().sum::<f64>();
        let within_quota = (fair_share * all_usage / self.tenant_usage[tenant]).min(1.0);
        within_quota + (1.0 - within_quota) * settings.over_quota_weight
    }

    /// Decides whether a request that has arrived is admitted. Above the shedding threshold requests are
    /// admitted by chance: the less often the slower the recent responses are, and the lower the priority
    /// density of the request is compared with the mean.
    ///
    /// A concurrency limit cannot fall below one attempt per host, which is still too much if many routers
    /// share the host. Shedding covers this case, overload of a whole group and retry storms of clients.
    pub fn decide(&mut self, context: Context<'_>, request: &PendingRequest) -> Decision {
        let role = serving_role(context.class(request));
        let priority = priority_density(context, request);
        let mean = self.mean_priority.get_mut(role);
        *mean += SAMPLE_WEIGHT * (priority - *mean);
        let mean = mean.max(SMALLEST_DIVISOR);
        let overload = context.latency_ratio(request.group, role) / shedding_ratio(context.settings, role);
        let is_admitted = overload <= 1.0
            || request.hash_fraction(ANY_HOST, SHARED_SALT) * overload * overload < priority / mean;
        match is_admitted {
            true => Decision::Admit,
            false => Decision::ShedLoad,
        }
    }
}

/// Returns the priority weight that a request is expected to yield per microsecond of work. Of requests with
/// equal weight the one that is more likely to meet its latency objective comes first, so that a long queue
/// does not make every response late.
pub(super) fn priority_density(context: Context<'_>, request: &PendingRequest) -> f64 {
    let class = context.class(request);
    let service_time_us = context.latency(request).service_time_us.max(1.0);
    let time_left = request.arrived_at + class.latency_objective - context.now;
    let time_left_us = time_left.0.max(0) as f64;
    let on_time_chance = 1.0 - (-time_left_us / service_time_us).exp();
    let expected_weight = on_time_chance + class.late_priority_weight * (1.0 - on_time_chance);
    request.priority_weight * expected_weight / service_time_us
}

/// Returns the latency ratio from which on requests for this role are shed.
pub(super) fn shedding_ratio(settings: &Settings, role: Role) -> f64 {
    if settings.is_large_fleet() && role == Role::Replica {
        return LARGE_FLEET_READ_SHEDDING_RATIO;
    }
    SHEDDING_RATIO * (1.0 + f64::from(SMALL_FLEET_MAX_ROUTERS) / f64::from(settings.router_count))
}
