//! What several processes of the program say of their fleet, in one history on one clock, and the rules it is held against.
//! The checker reads the history and nothing else.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Something that a process said, or that was done to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// When, in Unix microseconds.
    pub at: i64,
    /// Which process it was, by its place in the fleet.
    pub process: usize,
    /// Who it was then: name and life; empty where the event is the rig's own.
    pub me: String,
    /// What.
    pub what: What,
}

/// What a process said, or what was done to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// It knows this view.
    View {
        /// Its number.
        epoch: u64,
        /// Its members.
        members: Vec<String>,
    },
    /// A member's standing changed, or its own.
    Change {
        /// The view's number.
        epoch: u64,
        /// Whose.
        who: String,
        /// Why, as [`wheelpier::membership::membership_log::Cause`] names it.
        cause: String,
        /// Until when the process that says it believes in its own lease.
        lease_until: i64,
    },
    /// What it thinks of a member, which may be wrong.
    Advice {
        /// Of whom.
        who: String,
        /// What, as [`wheelpier::membership::failure_detector::Opinion`] names it.
        opinion: String,
    },
    /// It goes on as another life.
    Life,
    /// Another process has its name.
    Twin,
    /// Two views with one number.
    Forked,
    /// The rig did this to it.
    Done(&'static str),
}

impl Event {
    /// What a line of the program's log in JSON tells of the fleet; none of any other line.
    pub fn read(process: usize, line: &str) -> Option<Self> {
        let line: Value = serde_json::from_str(line).ok()?;
        let fields = line.get("fields")?;
        let text = |key: &str| Some(fields.get(key)?.as_str()?.to_owned());
        let number = |key: &str| fields.get(key)?.as_i64();
        let what = match text("event")?.as_str() {
            "view" => {
                let members = text("members")?.split(' ').map(str::to_owned).collect();
                What::View { epoch: number("epoch")? as u64, members }
            }
            "change" => What::Change {
                epoch: number("epoch")? as u64,
                who: text("who")?,
                cause: text("cause")?,
                lease_until: number("lease_until_us")?,
            },
            "advice" => What::Advice { who: text("who")?, opinion: text("suspicion")? },
            "life" => What::Life,
            "twin" => What::Twin,
            "forked" => What::Forked,
            _ => return None,
        };
        Some(Self { at: number("at_us")?, process, me: text("me")?, what })
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>17} process {} {:<20} {:?}", self.at, self.process, self.me, self.what)
    }
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Two views have one number.
    TwoViews(u64),
    /// Somebody may have acted in the place of a life that still acted.
    ActedFor {
        /// The life.
        who: String,
        /// Until when it acted by its own clock.
        acted_until: i64,
        /// From when on another one thought it free.
        free_at: i64,
    },
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TwoViews(epoch) => write!(f, "two views have the number {epoch}"),
            Self::ActedFor { who, acted_until, free_at } => write!(
                f,
                "{who} acted until {acted_until}, and another might have acted for it from {free_at} on"
            ),
        }
    }
}

/// Lives that were put out as gone or cut off.
pub fn put_out(history: &[Event]) -> BTreeSet<&str> {
    let out = history.iter().filter_map(|event| match &event.what {
        What::Change { who, cause, .. } if cause == "Gone" || cause == "CutOff" => Some(who.as_str()),
        _ => None,
    });
    out.collect()
}

/// What a history comes to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Judged {
    /// Rules broken.
    pub broken: Vec<Broken>,
    /// The shortest time between the end of a life's acting and the first moment at which another one might have acted in
    /// its place, in microseconds.
    pub least_gap: Option<i64>,
}

/// Holds a history against the rules.
pub fn judge(history: &[Event]) -> Judged {
    let mut sorted: Vec<&Event> = history.iter().collect();
    sorted.sort_by_key(|event| event.at);
    let mut judged = Judged { broken: two_views(&sorted), least_gap: None };
    let acted = acted_until(&sorted);
    for event in &sorted {
        let What::Change { who, cause, .. } = &event.what else { continue };
        let Some(acted_until) = acted.get(who).copied().filter(|_| cause == "Free") else { continue };
        let gap = event.at.saturating_sub(acted_until);
        judged.least_gap = Some(judged.least_gap.map_or(gap, |least| least.min(gap)));
        if gap < 0 {
            judged.broken.push(Broken::ActedFor { who: who.clone(), acted_until, free_at: event.at });
        }
    }
    judged
}

fn two_views(sorted: &[&Event]) -> Vec<Broken> {
    let mut views: BTreeMap<u64, &[String]> = BTreeMap::new();
    let mut broken = Vec::new();
    for event in sorted {
        match &event.what {
            What::View { epoch, members }
                if *views.entry(*epoch).or_insert(members) != members.as_slice() =>
            {
                broken.push(Broken::TwoViews(*epoch));
            }
            What::Forked => broken.push(Broken::TwoViews(0)),
            _ => {}
        }
    }
    broken
}

/// Until when each life acted: until its lease ran out or it said that it is fenced, whichever was first; until it was
/// killed; or still.
fn acted_until(sorted: &[&Event]) -> BTreeMap<String, i64> {
    let mut acted: BTreeMap<String, i64> = BTreeMap::new();
    let mut acts: BTreeMap<usize, String> = BTreeMap::new();
    for event in sorted {
        let ends = match &event.what {
            What::Change { cause, .. } if cause == "LeaseHeld" => {
                acts.insert(event.process, event.me.clone());
                acted.insert(event.me.clone(), i64::MAX);
                continue;
            }
            What::Change { cause, lease_until, .. } if cause == "Fenced" => match lease_until {
                // It was put out and runs: what it had of a lease is gone.
                0 => event.at,
                until => event.at.min(*until),
            },
            What::Life | What::Done("killed") => event.at,
            _ => continue,
        };
        if let Some(who) = acts.remove(&event.process) {
            acted.insert(who, ends);
        }
    }
    acted
}

#[cfg(test)]
mod tests {
    use super::*;

    fn change(at: i64, process: usize, me: &str, who: &str, cause: &str, lease_until: i64) -> Event {
        let what = What::Change { epoch: 1, who: who.into(), cause: cause.into(), lease_until };
        Event { at, process, me: me.into(), what }
    }

    fn view(at: i64, process: usize, epoch: u64, members: &[&str]) -> Event {
        let members = members.iter().map(|m| (*m).to_owned()).collect();
        Event { at, process, me: format!("p{process}#1"), what: What::View { epoch, members } }
    }

    #[test]
    fn a_life_that_is_fenced_before_another_may_act_is_well_and_the_gap_is_told() {
        let history = [
            change(0, 0, "a#1", "a#1", "LeaseHeld", 3_000),
            // It stood still and says so late; its lease had run out long before.
            change(9_000, 0, "a#1", "a#1", "Fenced", 4_000),
            change(4_500, 1, "b#1", "a#1", "Free", 8_000),
        ];
        assert_eq!(judge(&history), Judged { broken: vec![], least_gap: Some(500) });
    }

    #[test]
    fn planted_faults_are_found() {
        let acts = change(0, 0, "a#1", "a#1", "LeaseHeld", 3_000);
        let free = change(4_500, 1, "b#1", "a#1", "Free", 8_000);
        let late = change(5_000, 0, "a#1", "a#1", "Fenced", 4_800);
        let broken = |acted_until| vec![Broken::ActedFor { who: "a#1".into(), acted_until, free_at: 4_500 }];
        assert_eq!(judge(&[acts.clone(), free.clone(), late]).broken, broken(4_800));
        assert_eq!(judge(&[acts.clone(), free.clone()]).broken, broken(i64::MAX));
        let killed = Event { at: 1_000, process: 0, me: String::new(), what: What::Done("killed") };
        assert_eq!(judge(&[acts, killed, free]).broken, []);
        let views = [view(1, 0, 4, &["a", "b"]), view(2, 1, 4, &["a", "b"]), view(3, 2, 4, &["a", "c"])];
        assert_eq!(judge(&views[..2]).broken, []);
        assert_eq!(judge(&views).broken, [Broken::TwoViews(4)]);
    }

    #[test]
    fn lines_of_the_log_are_read_and_others_passed_over() {
        let line = r#"{"timestamp":"x","level":"INFO","fields":{"message":"fleet","event":"view","at_us":7,"me":"a#1","epoch":2,"members":"a#1 b#1"}}"#;
        assert_eq!(Event::read(0, line), Some(Event { me: "a#1".into(), ..view(7, 0, 2, &["a#1", "b#1"]) }));
        assert_eq!(Event::read(0, r#"{"fields":{"message":"graceful shutdown started"}}"#), None);
        assert_eq!(Event::read(0, "no JSON"), None);
    }
}
