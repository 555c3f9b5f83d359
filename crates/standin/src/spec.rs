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
    pub aim: Micros,
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

/// A whole installation.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// The classes.
    pub classes: Vec<Class>,
    /// Tenants: names and shares.
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
    pub cold_from: f64,
    /// Until it has all of it.
    pub cold: Micros,
    /// Sent more than this multiple of what it can do, for [`Self::fall`], a cold host goes down.
    pub fall_multiple: f64,
    /// See [`Self::fall_multiple`].
    pub fall: Micros,
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
    /// The brief's deployment in small: its classes, aims and troubles.
    pub fn sapporo() -> Self {
        let class = |name, share, work: (i64, i64), aim, deadline, worth, late_worth, freshness| Class {
            name,
            share,
            work: (work.0 * MS, work.1 * MS),
            aim: aim * MS,
            deadline: deadline * MS,
            worth,
            late_worth,
            freshness,
        };
        Self {
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
            cold_from: 0.15,
            cold: 18 * SECOND,
            fall_multiple: 3.0,
            fall: 3 * SECOND,
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

    /// The number of a class.
    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// Requests a second that all hosts can serve when warm.
    pub fn capacity(&self) -> f64 {
        let work: f64 =
            self.classes.iter().map(|c| c.share * (c.work.0 + c.work.1) as f64 / 2.0).sum::<f64>();
        (self.groups * self.members * self.cores) as f64 * SECOND as f64 / work
    }

    /// The settings object that a proxy of this installation is given.
    pub fn settings(&self, rate: f64) -> Value {
        let seconds = |span: Micros| span as f64 / SECOND as f64;
        let grade = |class: &Class| {
            let write = class.freshness == Freshness::Write;
            json!({
                "name": class.name, "credit": class.worth, "onTime": seconds(class.aim),
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
        json!({
            "areas": ["sapporo-1"], "balancers": 1, "locality": 0, "me": 0, "tick": 0.005,
            "discovery": "pushed", "overShareWorth": 0.1,
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
                "answerSlack": 0.02, "askWithin": 10.0, "cold": seconds(self.cold), "coldFrom": self.cold_from,
                "drainGrace": 2.0, "fall": seconds(self.fall), "fallMultiple": self.fall_multiple,
            },
            "limits": {
                "connectTimeout": 0.25, "keepalive": 15.0, "maxAttempts": 8, "maxRetryAfter": 0.5,
                "mayCancel": true, "mostHeld": 30_000, "probes": true, "retryAfter": true, "secondCopies": true,
            },
            "prices": {"crossZone": 0.027, "probe": 0.038, "waste": 0.05},
            "report": {"fields": ["x0", "x1", "cpu"], "how": "on_probe"},
        })
    }
}
