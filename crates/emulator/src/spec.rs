//! What a world is made of: classes of requests, ledger sets, hosts and the times that things take.

use crate::{Micros, MS, SECOND};
use serde_json::{json, Value};

/// How fresh the data behind a read has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// No read: only the primary takes it.
    Write,
    /// Sees the acknowledged writes of its session.
    Session,
    /// No older than this when it is sent.
    Bounded(Micros),
    /// Any data.
    Any,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Its share of the requests.
    pub share: f64,
    /// The least and the most work of a request, on one core.
    pub work: (Micros, Micros),
    /// Answered within this time it is worth all.
    pub latency_objective: Micros,
    /// How long its clients wait.
    pub deadline: Micros,
    /// What it is worth.
    pub worth: f64,
    /// What of that a late answer is worth.
    pub late_worth: f64,
    /// How fresh its data has to be.
    pub freshness: Freshness,
}

/// What a host does with a read that it is too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenBehind {
    /// Answers from what it has: whoever sent it there is answerable.
    Answer,
    /// Waits so long for the log, then turns it away.
    Wait(Micros),
}

/// How a proxy comes by the list of ledger hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// An agent beside it answers at once.
    Pushed,
    /// One service answers all proxies, one call after the other.
    Asked {
        /// What a call takes there.
        call: Micros,
        /// A call that has waited longer fails.
        patience: Micros,
    },
}

/// What costs points, in parts of a first try's worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prices {
    /// Crossing zones.
    pub cross_zone: f64,
    /// A probe.
    pub probe: f64,
    /// Work in vain.
    pub waste: f64,
}

/// A whole installation.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// What it is called at the command line.
    pub name: &'static str,
    /// Its zones: the members of a set stand in them by turns, and so do the proxies.
    pub zones: Vec<&'static str>,
    /// What a way between zones takes beyond one inside.
    pub cross_zone_latency: Micros,
    /// The type of its hosts.
    pub host_type: &'static str,
    /// Whether its hosts report their load to probes.
    pub reports: bool,
    /// Whether a host drops waiting work that is cancelled.
    pub cancels: bool,
    /// How long a host keeps an idle connection.
    pub idle: Micros,
    /// After this nothing new goes to a host that drains or is gone.
    pub drain_grace: Micros,
    /// Attempts of a request at most.
    pub max_attempts: u32,
    /// The longest that a client may be asked to stay away.
    pub max_retry_after: Micros,
    /// Share of a session's requests that come to any proxy.
    pub roams: f64,
    /// How proxies come by the list.
    pub discovery: Discovery,
    /// What costs points.
    pub prices: Prices,
    /// The classes.
    pub classes: Vec<Class>,
    /// Tenants: names and shares; an installation may have none.
    pub tenants: Vec<(&'static str, f64)>,
    /// Ledger sets.
    pub groups: usize,
    /// Hosts of each.
    pub members: usize,
    /// Cores of a host.
    pub cores: usize,
    /// Requests that may wait at a host.
    pub queue: usize,
    /// Of a host's capacity when it has just started.
    pub slow_start_initial_fraction: f64,
    /// Until it has all of it.
    pub slow_start_window: Micros,
    /// Sent more than this multiple of what it can do, for [`Self::slow_start_budget_window`], a cold host goes down.
    pub slow_start_budget_multiple: f64,
    /// See [`Self::slow_start_budget_multiple`].
    pub slow_start_budget_window: Micros,
    /// How long the log takes to a replica, at least and at most.
    pub ship: (Micros, Micros),
    /// Share of the time that a replica applies, at least and at most.
    pub apply_use: (f64, f64),
    /// What a host does with a read that it is too far behind for.
    pub when_behind: WhenBehind,
    /// How long a ledger set drops repeats of a key.
    pub key_window: Micros,
    /// Until a primary that is silent or gone is given up.
    pub detect: (Micros, Micros),
    /// And until a replica takes over from then on.
    pub elect: (Micros, Micros),
    /// Until one that drains has handed over.
    pub switch: (Micros, Micros),
    /// Until discovery knows of a change.
    pub roster: (Micros, Micros),
    /// How late a load report is.
    pub report_age: Micros,
}

impl Spec {
    /// The brief's deployment in small: its classes, aims and faults.
    pub fn sapporo() -> Self {
        Self {
            name: "sapporo",
            zones: vec!["sapporo-1"],
            cross_zone_latency: 0,
            host_type: "std-5core",
            reports: true,
            cancels: true,
            idle: 15 * SECOND,
            drain_grace: 2 * SECOND,
            max_attempts: 8,
            max_retry_after: 500 * MS,
            roams: 0.0,
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
            queue: 20,
            slow_start_initial_fraction: 0.15,
            slow_start_window: 18 * SECOND,
            slow_start_budget_multiple: 3.0,
            slow_start_budget_window: 3 * SECOND,
            ship: (3_300, 13 * MS),
            apply_use: (0.3, 0.59),
            when_behind: WhenBehind::Answer,
            key_window: 3 * SECOND,
            detect: (1_300 * MS, 2_900 * MS),
            elect: (SECOND, 4 * SECOND),
            switch: (410 * MS, 960 * MS),
            roster: (500 * MS, 2 * SECOND),
            report_age: 150 * MS,
        }
    }

    /// The second deployment in small: no tenants, no load reports, no checks of reads, three zones, sessions that
    /// roam, discovery that has to be asked, drains within half a second.
    pub fn tip_ledger() -> Self {
        Self {
            name: "tip-ledger",
            zones: vec!["batha", "saiss", "zouagha"],
            cross_zone_latency: 2 * MS,
            host_type: "std-5c",
            reports: false,
            cancels: false,
            idle: 30 * SECOND,
            drain_grace: 500 * MS,
            max_attempts: 10,
            max_retry_after: SECOND,
            roams: 0.4,
            discovery: Discovery::Asked { call: 300 * MS, patience: 2 * SECOND },
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
            queue: 85,
            slow_start_initial_fraction: 0.22,
            slow_start_window: 16 * SECOND,
            slow_start_budget_multiple: 2.5,
            slow_start_budget_window: 1_500 * MS,
            ship: (2_700, 14 * MS),
            apply_use: (0.33, 0.52),
            when_behind: WhenBehind::Answer,
            key_window: 3 * SECOND,
            detect: (1_100 * MS, 2_900 * MS),
            elect: (SECOND, 4 * SECOND),
            switch: (450 * MS, 920 * MS),
            roster: (800 * MS, 2 * SECOND),
            report_age: 0,
        }
    }

    /// All that are known by name.
    pub fn all() -> [Self; 2] {
        [Self::sapporo(), Self::tip_ledger()]
    }

    /// The one of that name.
    ///
    /// # Errors
    /// When there is none; the text says which there are.
    pub fn named(name: &str) -> Result<Self, String> {
        let all = Self::all();
        let names = all.iter().map(|spec| spec.name).collect::<Vec<_>>().join(", ");
        all.into_iter().find(|spec| spec.name == name).ok_or(format!("no spec `{name}`: there are {names}"))
    }

    /// The zone of a member of a set, by number.
    pub fn zone(&self, member: usize) -> usize {
        member % self.zones.len().max(1)
    }

    /// The number of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// Requests a second that all hosts can serve when warm.
    pub fn capacity(&self) -> f64 {
        (self.groups * self.members * self.cores) as f64 * SECOND as f64 / self.mean_work()
    }

    /// Work of a request in the mean, in microseconds of one core.
    pub fn mean_work(&self) -> f64 {
        self.classes.iter().map(|c| c.share * (c.work.0 + c.work.1) as f64 / 2.0).sum::<f64>()
    }

    /// Requests of mean work that a cold host may get in [`Self::slow_start_budget_window`], where it has that share of its capacity.
    pub fn cold_allowance(&self, warmth: f64) -> f64 {
        let able = self.capacity() / (self.groups * self.members) as f64 * warmth;
        self.slow_start_budget_multiple * able * self.slow_start_budget_window as f64 / SECOND as f64
    }

    /// The most requests of mean work that a cold host bears: the allowance, and what many proxies that each send by
    /// chance may exceed it by.
    pub fn cold_bound(allowance: f64) -> f64 {
        allowance + 2.0 * allowance.sqrt() + 2.0
    }

    /// The settings object that a proxy of this installation is given.
    #[expect(clippy::too_many_lines)]
    pub fn settings(&self, rate: f64) -> Value {
        let seconds = |span: Micros| span as f64 / SECOND as f64;
        let grade = |class: &Class| {
            let write = class.freshness == Freshness::Write;
            json!({
                "name": class.name, "credit": class.worth, "onTime": seconds(class.latency_objective),
                "deadline": seconds(class.deadline), "lateWorth": class.late_worth, "streamed": false,
                "repeat": if write { "token" } else { "pure" },
                "group": if write { "cell" } else { "all" },
                "window": seconds(self.key_window),
            })
        };
        let freshness = |class: &Class| match class.freshness {
            Freshness::Write => "write",
            Freshness::Session => "session",
            Freshness::Bounded(_) => "bounded",
            Freshness::Any => "any",
        };
        let bound = |class: &Class| match class.freshness {
            Freshness::Bounded(bound) => seconds(bound),
            _ => 0.0,
        };
        let (behind, wait) = match self.when_behind {
            WhenBehind::Answer => ("off", 0.0),
            WhenBehind::Wait(wait) => ("wait", seconds(wait)),
        };
        let tenant = |(name, share): &(&str, f64)| json!({"name": name, "share": share, "quotaPerS": rate * 2.0 * share});
        let asked = matches!(self.discovery, Discovery::Asked { .. });
        let report = match self.reports {
            true => json!({"fields": ["x0", "x1", "cpu"], "how": "on_probe"}),
            false => json!({"fields": [], "how": "off"}),
        };
        json!({
            "areas": self.zones, "balancers": 1, "locality": 0, "me": 0, "tick": 0.005,
            "discovery": if asked { "on_request" } else { "pushed" }, "overShareWorth": 0.1,
            "customers": self.tenants.iter().map(tenant).collect::<Vec<_>>(),
            "grades": self.classes.iter().map(grade).collect::<Vec<_>>(),
            "familyInfo": {
                "answersStamped": true, "baseTime": 0.0, "writeMarks": "remembered", "roleInList": "off",
                "classBound": self.classes.iter().map(bound).collect::<Vec<_>>(),
                "freshness": self.classes.iter().map(freshness).collect::<Vec<_>>(),
                "whenBehind": behind, "wait": wait,
            },
            "goal": {"whole": 0.45, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.25},
            "guarantees": {
                "answerSlack": 0.02, "askWithin": 10.0, "cold": seconds(self.slow_start_window), "coldFrom": self.slow_start_initial_fraction,
                "drainGrace": seconds(self.drain_grace), "fall": seconds(self.slow_start_budget_window), "fallMultiple": self.slow_start_budget_multiple,
            },
            "limits": {
                "connectTimeout": 0.25, "keepalive": seconds(self.idle), "maxAttempts": self.max_attempts,
                "maxRetryAfter": seconds(self.max_retry_after), "mayCancel": true, "mostHeld": 30_000, "probes": true, "retryAfter": true, "secondCopies": true,
            },
            "prices": {
                "crossZone": self.prices.cross_zone, "probe": self.prices.probe, "waste": self.prices.waste,
            },
            "report": report,
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
    worth: f64,
    late_worth: f64,
    freshness: Freshness,
) -> Class {
    let work = (work.0 * MS, work.1 * MS);
    Class {
        name,
        share,
        work,
        latency_objective: latency_objective * MS,
        deadline: deadline * MS,
        worth,
        late_worth,
        freshness,
    }
}
