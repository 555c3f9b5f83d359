//! History of a fleet: the membership events that several processes log and the actions of the test rig, on
//! one clock. A checker verifies the rules of the membership from the history alone.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// An event that a process logged, or an action of the test rig on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Time of the event, in Unix microseconds.
    pub at: i64,
    /// Index of the process in the fleet.
    pub process: usize,
    /// Name and incarnation of the process at that time; empty for actions of the test rig.
    pub me: String,
    /// Kind of the event, with its details.
    pub kind: EventKind,
}

/// A kind of event with its details.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// The process adopted a view.
    View {
        /// Epoch of the view.
        epoch: u64,
        /// Members of the view, each with name and incarnation.
        members: Vec<String>,
    },
    /// The status of a member, or of the process itself, changed.
    Change {
        /// Epoch of the view.
        epoch: u64,
        /// The member whose status changed.
        who: String,
        /// Cause of the change, by its name in [`wheelpier::membership::membership_log::Cause`].
        cause: String,
        /// End of the logging process's own lease, as far as it knows.
        lease_until: i64,
    },
    /// The process's failure detector changed its suspicion of a member. The suspicion may be wrong.
    Advice {
        /// The suspected member.
        who: String,
        /// The suspicion, by its name in [`wheelpier::membership::failure_detector::Suspicion`].
        opinion: String,
    },
    /// The process continues under a new incarnation.
    Life,
    /// Another process uses the same name.
    Twin,
    /// The process received a view that differs from its own view of the same epoch.
    Forked,
    /// The test rig performed this action on the process.
    Done(&'static str),
}

impl Event {
    /// Parses a line of the program's JSON log. Returns `None` if it is not a membership event.
    pub fn from_log_line(process: usize, line: &str) -> Option<Self> {
        let line: Value = serde_json::from_str(line).ok()?;
        let fields = line.get("fields")?;
        let text = |key: &str| Some(fields.get(key)?.as_str()?.to_owned());
        let number = |key: &str| fields.get(key)?.as_i64();
        let kind = match text("event")?.as_str() {
            "view" => {
                let members = text("members")?.split(' ').map(str::to_owned).collect();
                EventKind::View { epoch: number("epoch")? as u64, members }
            }
            "change" => EventKind::Change {
                epoch: number("epoch")? as u64,
                who: text("who")?,
                cause: text("cause")?,
                lease_until: number("lease_until_us")?,
            },
            "advice" => EventKind::Advice { who: text("who")?, opinion: text("suspicion")? },
            "life" => EventKind::Life,
            "twin" => EventKind::Twin,
            "forked" => EventKind::Forked,
            _ => return None,
        };
        Some(Self { at: number("at_us")?, process, me: text("me")?, kind })
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>17} process {} {:<20} {:?}", self.at, self.process, self.me, self.kind)
    }
}

/// A breach of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RuleBreach {
    /// Two different views have the same epoch.
    ConflictingViews(u64),
    /// A member could be taken over while it still acted.
    TakenOverWhileActing {
        /// Name and incarnation of the member.
        who: String,
        /// Time until which it acted, by its own log.
        acted_until: i64,
        /// Time from which another member considered it free to be taken over.
        free_at: i64,
    },
}

impl fmt::Display for RuleBreach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConflictingViews(epoch) => write!(f, "two different views have the epoch {epoch}"),
            Self::TakenOverWhileActing { who, acted_until, free_at } => {
                write!(f, "{who} acted until {acted_until}, but could be taken over from {free_at} on")
            }
        }
    }
}

/// Returns the members that were evicted as gone or cut off.
pub fn evicted_members(history: &[Event]) -> BTreeSet<&str> {
    let evicted = history.iter().filter_map(|event| match &event.kind {
        EventKind::Change { who, cause, .. } if cause == "Gone" || cause == "CutOff" => Some(who.as_str()),
        _ => None,
    });
    evicted.collect()
}

/// The result of checking a history.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuleReport {
    /// Breaches of the rules.
    pub broken: Vec<RuleBreach>,
    /// The shortest time from the end of a member's acting until another member could take it over, in
    /// microseconds.
    pub least_gap: Option<i64>,
}

/// Checks a history for breaches of the rules.
pub fn check_rules(history: &[Event]) -> RuleReport {
    let mut sorted: Vec<&Event> = history.iter().collect();
    sorted.sort_by_key(|event| event.at);
    let mut report = RuleReport { broken: conflicting_views(&sorted), least_gap: None };
    let acted = acted_until(&sorted);
    for event in &sorted {
        let EventKind::Change { who, cause, .. } = &event.kind else { continue };
        let Some(acted_until) = acted.get(who).copied().filter(|_| cause == "Free") else { continue };
        let gap = event.at.saturating_sub(acted_until);
        report.least_gap = Some(report.least_gap.map_or(gap, |least| least.min(gap)));
        if gap < 0 {
            report.broken.push(RuleBreach::TakenOverWhileActing {
                who: who.clone(),
                acted_until,
                free_at: event.at,
            });
        }
    }
    report
}

fn conflicting_views(sorted: &[&Event]) -> Vec<RuleBreach> {
    let mut views: BTreeMap<u64, &[String]> = BTreeMap::new();
    let mut broken = Vec::new();
    for event in sorted {
        match &event.kind {
            EventKind::View { epoch, members }
                if *views.entry(*epoch).or_insert(members) != members.as_slice() =>
            {
                broken.push(RuleBreach::ConflictingViews(*epoch));
            }
            EventKind::Forked => broken.push(RuleBreach::ConflictingViews(0)),
            _ => {}
        }
    }
    broken
}

/// Returns the time until which each member acted: the end of its lease or the time at which it logged that
/// it is fenced, whichever was earlier; or the time at which it was killed. A member that still acts has
/// `i64::MAX`.
fn acted_until(sorted: &[&Event]) -> BTreeMap<String, i64> {
    let mut acted: BTreeMap<String, i64> = BTreeMap::new();
    let mut acting: BTreeMap<usize, String> = BTreeMap::new();
    for event in sorted {
        let acting_ended_at = match &event.kind {
            EventKind::Change { cause, .. } if cause == "LeaseHeld" => {
                acting.insert(event.process, event.me.clone());
                acted.insert(event.me.clone(), i64::MAX);
                continue;
            }
            EventKind::Change { cause, lease_until, .. } if cause == "Fenced" => match lease_until {
                // The member was evicted while it runs, so it has no lease left.
                0 => event.at,
                until => event.at.min(*until),
            },
            EventKind::Life | EventKind::Done("killed") => event.at,
            _ => continue,
        };
        if let Some(who) = acting.remove(&event.process) {
            acted.insert(who, acting_ended_at);
        }
    }
    acted
}

#[cfg(test)]
mod tests {
    use super::*;

    fn change(at: i64, process: usize, me: &str, who: &str, cause: &str, lease_until: i64) -> Event {
        let kind = EventKind::Change { epoch: 1, who: who.into(), cause: cause.into(), lease_until };
        Event { at, process, me: me.into(), kind }
    }

    fn view(at: i64, process: usize, epoch: u64, members: &[&str]) -> Event {
        let members = members.iter().map(|m| (*m).to_owned()).collect();
        Event { at, process, me: format!("p{process}#1"), kind: EventKind::View { epoch, members } }
    }

    #[test]
    fn a_member_that_is_fenced_before_its_takeover_breaks_no_rule_and_the_gap_is_reported() {
        let history = [
            change(0, 0, "a#1", "a#1", "LeaseHeld", 3_000),
            // The process was paused and logs the fencing late, after the end of its lease.
            change(9_000, 0, "a#1", "a#1", "Fenced", 4_000),
            change(4_500, 1, "b#1", "a#1", "Free", 8_000),
        ];
        assert_eq!(check_rules(&history), RuleReport { broken: vec![], least_gap: Some(500) });
    }

    #[test]
    fn breaches_in_a_history_are_found() {
        let acting = change(0, 0, "a#1", "a#1", "LeaseHeld", 3_000);
        let free = change(4_500, 1, "b#1", "a#1", "Free", 8_000);
        let late = change(5_000, 0, "a#1", "a#1", "Fenced", 4_800);
        let broken = |acted_until| {
            vec![RuleBreach::TakenOverWhileActing { who: "a#1".into(), acted_until, free_at: 4_500 }]
        };
        assert_eq!(check_rules(&[acting.clone(), free.clone(), late]).broken, broken(4_800));
        assert_eq!(check_rules(&[acting.clone(), free.clone()]).broken, broken(i64::MAX));
        let killed = Event { at: 1_000, process: 0, me: String::new(), kind: EventKind::Done("killed") };
        assert_eq!(check_rules(&[acting, killed, free]).broken, []);
        let views = [view(1, 0, 4, &["a", "b"]), view(2, 1, 4, &["a", "b"]), view(3, 2, 4, &["a", "c"])];
        assert_eq!(check_rules(&views[..2]).broken, []);
        assert_eq!(check_rules(&views).broken, [RuleBreach::ConflictingViews(4)]);
    }

    #[test]
    fn membership_events_are_parsed_and_other_lines_ignored() {
        let line = r#"{"timestamp":"x","level":"INFO","fields":{"message":"fleet","event":"view","at_us":7,"me":"a#1","epoch":2,"members":"a#1 b#1"}}"#;
        assert_eq!(
            Event::from_log_line(0, line),
            Some(Event { me: "a#1".into(), ..view(7, 0, 2, &["a#1", "b#1"]) })
        );
        assert_eq!(Event::from_log_line(0, r#"{"fields":{"message":"graceful shutdown started"}}"#), None);
        assert_eq!(Event::from_log_line(0, "no JSON"), None);
    }
}
