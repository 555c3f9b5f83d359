//! Description of an emulated deployment: request classes, groups of hosts, and the delays of the simulation.

use crate::{Micros, MS, SECOND};
use serde_json::{json, Value};

/// Freshness that a request class requires of the data it reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The request is a write; only the primary accepts it.
    Write,
    /// The read must see the acknowledged writes of its session.
    Session,
    /// The data may be at most this old when the read is sent.
    Bounded(Micros),
    /// The data may be of any age.
    Any,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The name, as requests state it.
    pub name: &'static str,
    /// The share of all requests, from 0 to 1.
    pub share: f64,
    /// The minimum and maximum service time of a request on one core of a warm host.
    pub work: (Micros, Micros),
    /// The time within which an answer earns the full priority weight.
    pub latency_objective: Micros,
    /// The time after which a client stops waiting.
    pub deadline: Micros,
    /// The priority weight of an answer within the latency objective.
    pub priority_weight: f64,
    /// The fraction of the priority weight that a late answer earns.
    pub late_priority_weight: f64,
    /// The required freshness.
    pub freshness: Freshness,
}

/// Behaviour of a host towards a read that needs a newer log position than the host has applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenBehind {
    /// The host answers from the data it has; the proxy is responsible for having chosen it.
    Answer,
    /// The host waits up to this long for the log, then rejects the read.
    Wait(Micros),
}

/// Way in which a proxy obtains the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// An agent on the proxy's machine answers at once.
    Pushed,
    /// One central service answers the polls of all proxies, one call at a time.
    Polled {
        /// The time that the service takes for a call.
        call_duration: Micros,
        /// The longest time that a call waits for its turn; then it fails with status 503.
        max_wait: Micros,
    },
}

/// Costs in the score of a deployment, as fractions of the value of a first attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prices {
    /// The cost of sending an attempt to another zone.
    pub cross_zone: f64,
    /// The cost of a health check.
    pub probe: f64,
    /// The cost of work whose result is not used.
    pub waste: f64,
}

/// A complete emulated deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// The name on the command line.
    pub name: &'static str,
    /// The zones. Hosts of a group are assigned to them in rotation, and so are the proxies.
    pub zones: Vec<&'static str>,
    /// The one-way latency between zones, in addition to the latency within a zone.
    pub cross_zone_latency: Micros,
    /// The type of the hosts, without the protocol.
    pub host_type: &'static str,
    /// Whether hosts answer requests for load reports.
    pub reports: bool,
    /// Whether a host drops queued requests that are cancelled.
    pub cancels: bool,
    /// The time for which a host keeps an idle connection.
    pub idle_timeout: Micros,
    /// The time after a host started to drain or was removed from which no new request may be sent to it.
    pub drain_grace: Micros,
    /// The maximum number of attempts of a request.
    pub max_attempts: u32,
    /// The longest retry delay that a rejection may state.
    pub max_retry_after: Micros,
    /// The share of a session's requests that go to a random proxy instead of the session's own.
    pub roaming_share: f64,
    /// The way in which proxies obtain the endpoint list.
    pub discovery: Discovery,
    /// The costs in the score.
    pub prices: Prices,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants, as names and shares of the requests. May be empty.
    pub tenants: Vec<(&'static str, f64)>,
    /// The number of groups; each holds its own data.
    pub groups: usize,
    /// The number of hosts in a group.
    pub members: usize,
    /// The number of cores of a host, which is the number of requests that it processes at a time.
    pub cores: usize,
    /// The number of requests that may queue at a host.
    pub queue_limit: usize,
    /// The fraction of its full capacity that a host has just after its start.
    pub slow_start_initial_fraction: f64,
    /// The time from a host's start until it has its full capacity.
    pub slow_start_window: Micros,
    /// The multiple of its present capacity beyond which a cold host crashes if it is sent that much within
    /// [`Self::slow_start_budget_window`].
    pub slow_start_budget_multiple: f64,
    /// The period over which [`Self::slow_start_budget_multiple`] is measured.
    pub slow_start_budget_window: Micros,
    /// The minimum and maximum delay of the log on its way to a replica.
    pub replication_delay: (Micros, Micros),
    /// The minimum and maximum share of the time that a replica spends on applying the log.
    pub apply_utilization: (f64, f64),
    /// The behaviour of hosts towards reads that need a newer log position than they have applied.
    pub when_behind: WhenBehind,
    /// The time for which a group recognizes a repeated idempotency key.
    pub key_window: Micros,
    /// The minimum and maximum time until a group notices that its primary is silent or gone.
    pub detection_delay: (Micros, Micros),
    /// The minimum and maximum time from then until a replica becomes the primary.
    pub election_delay: (Micros, Micros),
    /// The minimum and maximum time until a draining primary has handed over its role.
    pub handover_delay: (Micros, Micros),
    /// The minimum and maximum time until discovery publishes a change.
    pub discovery_delay: (Micros, Micros),
    /// The age of the data in a load report.
    pub load_report_age: Micros,
}

impl Spec {
    /// A scaled-down version of the first reference deployment: its classes, latency objectives and faults.
    pub fn sapporo() -> Self {
        Self {
            name: "sapporo",
            zones: vec!["sapporo-1"],
            cross_zone_latency: 0,
            host_type: "std-5core",
            reports: true,
            cancels: true,
            idle_timeout: 15 * SECOND,
            drain_grace: 2 * SECOND,
            max_attempts: 8,
            max_retry_after: 500 * MS,
            roaming_share: 0.0,
            discovery: Discovery::Pushed,
            prices: Prices { cross_zone: 0.027, probe: 0.038, waste: 0.05 },
            classes: vec![
                class("price-lookup", 0.39, (44, 77), 300, 1_200, 3.0, 0.2, Freshness::Bounded(200 * MS)),
                class("own-sales", 0.33, (44, 77), 300, 1_200, 1.0, 0.0, Freshness::Session),
                class("daily-report", 0.16, (66, 110), 400, 1_000, 1.0, 0.2, Freshness::Any),
                class("sale-write", 0.12, (44, 77), 500, 5_000, 6.0, 0.3, Freshness::Write),
            ],
            tenants: vec![("kitakaze-ichiba", 0.57), ("minato-asaichi", 0.26), ("yuki-hama-market", 0.17)],
            groups: 2,
            members: 5,
            cores: 5,
            queue_limit: 20,
            slow_start_initial_fraction: 0.15,
            slow_start_window: 18 * SECOND,
            slow_start_budget_multiple: 3.0,
            slow_start_budget_window: 3 * SECOND,
            replication_delay: (3_300, 13 * MS),
            apply_utilization: (0.3, 0.59),
            when_behind: WhenBehind::Answer,
            key_window: 3 * SECOND,
            detection_delay: (1_300 * MS, 2_900 * MS),
            election_delay: (SECOND, 4 * SECOND),
            handover_delay: (410 * MS, 960 * MS),
            discovery_delay: (500 * MS, 2 * SECOND),
            load_report_age: 150 * MS,
        }
    }

    /// A scaled-down version of the second reference deployment: no tenants, no load reports, hosts that do
    /// not check the freshness of reads, three zones, sessions that change proxies, polled discovery, and a
    /// drain grace of 500 ms.
    pub fn tip_ledger() -> Self {
        Self {
            name: "tip-ledger",
            zones: vec!["batha", "saiss", "zouagha"],
            cross_zone_latency: 2 * MS,
            host_type: "std-5c",
            reports: false,
            cancels: false,
            idle_timeout: 30 * SECOND,
            drain_grace: 500 * MS,
            max_attempts: 10,
            max_retry_after: SECOND,
            roaming_share: 0.4,
            discovery: Discovery::Polled { call_duration: 300 * MS, max_wait: 2 * SECOND },
            prices: Prices { cross_zone: 0.02, probe: 0.02, waste: 0.08 },
            classes: vec![
                class("pool-read", 0.59, (37, 64), 300, 1_200, 2.0, 0.0, Freshness::Bounded(500 * MS)),
                class("own-read", 0.29, (37, 64), 250, 750, 2.0, 0.0, Freshness::Session),
                class("tip-write", 0.12, (62, 110), 750, 3_000, 4.0, 0.3, Freshness::Write),
            ],
            tenants: Vec::new(),
            groups: 3,
            members: 3,
            cores: 5,
            queue_limit: 85,
            slow_start_initial_fraction: 0.22,
            slow_start_window: 16 * SECOND,
            slow_start_budget_multiple: 2.5,
            slow_start_budget_window: 1_500 * MS,
            replication_delay: (2_700, 14 * MS),
            apply_utilization: (0.33, 0.52),
            when_behind: WhenBehind::Answer,
            key_window: 3 * SECOND,
            detection_delay: (1_100 * MS, 2_900 * MS),
            election_delay: (SECOND, 4 * SECOND),
            handover_delay: (450 * MS, 920 * MS),
            discovery_delay: (800 * MS, 2 * SECOND),
            load_report_age: 0,
        }
    }

    /// Returns all deployments that [`Self::named`] knows.
    pub fn all() -> [Self; 2] {
        [Self::sapporo(), Self::tip_ledger()]
    }

    /// Returns the deployment with the given name.
    ///
    /// # Errors
    /// Fails if there is none; the message lists the known names.
    pub fn named(name: &str) -> Result<Self, String> {
        let all = Self::all();
        let names = all.iter().map(|spec| spec.name).collect::<Vec<_>>().join(", ");
        all.into_iter().find(|spec| spec.name == name).ok_or(format!("no spec `{name}`: there are {names}"))
    }

    /// Returns the index of the zone of a group's member.
    pub fn zone(&self, member: usize) -> usize {
        member % self.zones.len().max(1)
    }

    /// Returns the index of the class with the given name.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// Returns the requests per second that all hosts together can serve when warm.
    pub fn capacity(&self) -> f64 {
        (self.groups * self.members * self.cores) as f64 * SECOND as f64 / self.mean_work()
    }

    /// Returns the mean service time of a request, in microseconds of one core.
    pub fn mean_work(&self) -> f64 {
        self.classes.iter().map(|c| c.share * (c.work.0 + c.work.1) as f64 / 2.0).sum::<f64>()
    }

    /// Returns the number of requests with mean service time that a cold host may be sent within
    /// [`Self::slow_start_budget_window`] while it has the fraction `warmth` of its capacity.
    pub fn cold_allowance(&self, warmth: f64) -> f64 {
        let capacity = self.capacity() / (self.groups * self.members) as f64 * warmth;
        self.slow_start_budget_multiple * capacity * self.slow_start_budget_window as f64 / SECOND as f64
    }

    /// Returns the operators' bound on the number of requests with mean service time that a cold host is
    /// sent: the allowance, plus the random excess of many proxies that send independently.
    pub fn cold_bound(allowance: f64) -> f64 {
        allowance + 2.0 * allowance.sqrt() + 2.0
    }

    /// Returns the settings object for a proxy of this deployment, for a total of `rate` requests per second.
    #[expect(clippy::too_many_lines)]
    pub fn settings(&self, rate: f64) -> Value {
        let seconds = |span: Micros| span as f64 / SECOND as f64;
        let class_settings = |class: &Class| {
            let is_write = class.freshness == Freshness::Write;
            json!({
                "name": class.name, "credit": class.priority_weight,
                "onTime": seconds(class.latency_objective), "deadline": seconds(class.deadline),
                "lateWorth": class.late_priority_weight, "streamed": false,
                "repeat": if is_write { "token" } else { "pure" },
                "group": if is_write { "cell" } else { "all" },
                "window": seconds(self.key_window),
            })
        };
        let freshness_name = |class: &Class| match class.freshness {
            Freshness::Write => "write",
            Freshness::Session => "session",
            Freshness::Bounded(_) => "bounded",
            Freshness::Any => "any",
        };
        let staleness_bound = |class: &Class| match class.freshness {
            Freshness::Bounded(bound) => seconds(bound),
            _ => 0.0,
        };
        let (lag_policy, lag_wait) = match self.when_behind {
            WhenBehind::Answer => ("off", 0.0),
            WhenBehind::Wait(wait) => ("wait", seconds(wait)),
        };
        let tenant_settings = |(name, share): &(&str, f64)| {
            json!({
                "name": name, "share": share, "quotaPerS": rate * 2.0 * share,
            })
        };
        let is_polled = matches!(self.discovery, Discovery::Polled { .. });
        let load_report = match self.reports {
            true => json!({"fields": ["x0", "x1", "cpu"], "how": "on_probe"}),
            false => json!({"fields": [], "how": "off"}),
        };
        json!({
            "areas": self.zones, "balancers": 1, "locality": 0, "me": 0, "tick": 0.005,
            "discovery": if is_polled { "on_request" } else { "pushed" }, "overShareWorth": 0.1,
            "customers": self.tenants.iter().map(tenant_settings).collect::<Vec<_>>(),
            "grades": self.classes.iter().map(class_settings).collect::<Vec<_>>(),
            "familyInfo": {
                "answersStamped": true, "baseTime": 0.0, "writeMarks": "remembered", "roleInList": "off",
                "classBound": self.classes.iter().map(staleness_bound).collect::<Vec<_>>(),
                "freshness": self.classes.iter().map(freshness_name).collect::<Vec<_>>(),
                "whenBehind": lag_policy, "wait": lag_wait,
            },
            "goal": {"whole": 0.45, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.25},
            "guarantees": {
                "answerSlack": 0.02, "askWithin": 10.0, "cold": seconds(self.slow_start_window),
                "coldFrom": self.slow_start_initial_fraction,
                "drainGrace": seconds(self.drain_grace), "fall": seconds(self.slow_start_budget_window),
                "fallMultiple": self.slow_start_budget_multiple,
            },
            "limits": {
                "connectTimeout": 0.25, "keepalive": seconds(self.idle_timeout),
                "maxAttempts": self.max_attempts, "maxRetryAfter": seconds(self.max_retry_after),
                "mayCancel": true, "mostHeld": 30_000, "probes": true, "retryAfter": true,
                "secondCopies": true,
            },
            "prices": {
                "crossZone": self.prices.cross_zone, "probe": self.prices.probe, "waste": self.prices.waste,
            },
            "report": load_report,
        })
    }
}

#[allow(clippy::too_many_arguments)]
fn class(
    name: &'static str,
    share: f64,
    work: (i64, i64),
    latency_objective: i64,
    deadline: i64,
    priority_weight: f64,
    late_priority_weight: f64,
    freshness: Freshness,
) -> Class {
    let work = (work.0 * MS, work.1 * MS);
    Class {
        name,
        share,
        work,
        latency_objective: latency_objective * MS,
        deadline: deadline * MS,
        priority_weight,
        late_priority_weight,
        freshness,
    }
}
