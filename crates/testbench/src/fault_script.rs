//! Scripts of faults (`fleets/*.yaml`): what happens to a fleet and when, and what may come of it. One script is played on
//! two stages, real processes and virtual time, and what both say goes to one checker.

use crate::history::{judge, put_out, Event};
use crate::members::{Fleet, FleetFault};
use crate::processes::Processes;
use crate::TestbenchError;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};
use wheelpier::membership::transport::PROTOCOL_VERSION;
use wheelpier_emulator::link::Link;
use wheelpier_emulator::{MS, SECOND};

/// A script.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// What it shows, in a sentence.
    pub about: String,
    /// So many processes; they are numbered from 0.
    pub proxies: usize,
    /// So many of them found the fleet, the first; all, where nothing is said. The others begin as the steps say.
    pub founders: Option<usize>,
    /// What happens, in its order.
    pub steps: Vec<Step>,
    /// How long it is watched, from its beginning.
    pub watched_ms: u64,
    /// Those that may be put out as gone or cut off, and no others.
    #[serde(default)]
    pub may_be_out: BTreeSet<usize>,
    /// Those that have to be put out so.
    #[serde(default)]
    pub must_be_out: BTreeSet<usize>,
    /// From the end on all that run have to be in one view, with their leases, within this time.
    pub settled_within_ms: u64,
}

/// What happens at a moment.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// From the beginning.
    pub at_ms: u64,
    /// What.
    pub what: Action,
}

/// Something that is done to a fleet.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// A process ends at once.
    Kill(usize),
    /// It begins, if it does not run.
    Start(usize),
    /// It stands still for a time.
    Pause(Pause),
    /// It is asked to leave.
    Leave(usize),
    /// From the first to the second nothing gets through.
    Cut(usize, usize),
    /// Nobody hears it; it hears all.
    Mute(usize),
    /// Those hear the others no more, nor the others them.
    Split(Vec<usize>),
    /// Those speak another version of the protocol than the others.
    OtherVersion(Vec<usize>),
    /// All links are so. Virtual time has no post, which drops what is replayed: there it does not happen.
    Links(Link),
    /// All links of one process are so, both ways.
    LinksOf(LinksOf),
    /// All links are well.
    Heal(bool),
}

/// Who stands still, and for how long.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pause {
    /// The process.
    pub process: usize,
    /// For so long.
    pub ms: u64,
}

/// Whose links are how.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinksOf {
    /// The process.
    pub process: usize,
    /// How.
    pub link: Link,
}

/// What came of a script.
#[derive(Clone, Debug, PartialEq)]
pub struct Played {
    /// All that was said and done.
    pub history: Vec<Event>,
    /// From its end until all were in one view, in milliseconds; none if they were not in time.
    pub settled_ms: Option<u64>,
}

impl Script {
    /// Reads a file.
    ///
    /// # Errors
    /// When it cannot be read or is no script.
    pub fn from_file(path: &Path) -> Result<Self, TestbenchError> {
        let wrong = |problem: String| TestbenchError::Script(format!("{}: {problem}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|e| wrong(e.to_string()))?;
        let script: Self = serde_saphyr::from_str(&text).map_err(|e| wrong(e.to_string()))?;
        let named = script.steps.iter().flat_map(|step| step.what.processes());
        match named.chain(script.may_be_out.iter().copied()).find(|n| *n >= script.proxies) {
            Some(n) => Err(wrong(format!("there is no process {n}; they are numbered from 0"))),
            None => Ok(script),
        }
    }

    /// So many found the fleet.
    pub fn founders(&self) -> usize {
        self.founders.unwrap_or(self.proxies)
    }

    /// Those that run at its end.
    pub fn living(&self) -> Vec<usize> {
        let mut living: BTreeSet<usize> = (0..self.founders()).collect();
        for step in &self.steps {
            match &step.what {
                Action::Kill(n) | Action::Leave(n) => _ = living.remove(n),
                Action::Start(n) => _ = living.insert(*n),
                _ => {}
            }
        }
        living.into_iter().collect()
    }

    /// Those with which something is done, and of which suspicions are no wonder.
    pub fn affected(&self) -> BTreeSet<usize> {
        self.steps.iter().flat_map(|step| step.what.processes()).collect()
    }

    /// Those that were put out though they may not be.
    pub fn wrongly_out(&self, history: &[Event]) -> Vec<usize> {
        let may = |n: &usize| self.may_be_out.contains(n) || self.must_be_out.contains(n);
        processes_out(history).into_iter().filter(|n| !may(n)).collect()
    }

    /// What of its history, or of its end, is not as the script says; none if all is.
    pub fn faults(&self, played: &Played) -> Vec<String> {
        let judged = judge(&played.history);
        let mut faults: Vec<String> = judged.broken.iter().map(ToString::to_string).collect();
        let out = processes_out(&played.history);
        let wrongly = self.wrongly_out(&played.history);
        faults.extend(
            wrongly.iter().map(|n| format!("process {n} was put out, though nothing was wrong with it")),
        );
        let missing = self.must_be_out.difference(&out);
        faults.extend(missing.map(|n| format!("process {n} was not put out")));
        if played.settled_ms.is_none() {
            faults.push(format!("not in one view within {} ms of its end", self.settled_within_ms));
        }
        faults
    }

    /// Plays it in virtual time.
    pub fn play_virtually(&self, seed: u64) -> Played {
        let mut fleet = Fleet::recorded(self.proxies, self.founders(), seed);
        fleet.run_until_settled(60 * SECOND);
        fleet.until(fleet.now + 2 * SECOND);
        let steps = self.steps.iter().flat_map(|step| {
            let at = step.at_ms as i64 * MS;
            step.what.faults(self.proxies).into_iter().map(move |fault| (at, fault))
        });
        fleet.play(steps.collect(), self.watched_ms as i64 * MS);
        let (ended, within) = (fleet.now, self.settled_within_ms as i64 * MS);
        while fleet.settled().is_none() && fleet.now - ended < within {
            fleet.until(fleet.now + 50 * MS);
        }
        let settled_ms = fleet.settled().is_some().then_some(((fleet.now - ended) / MS) as u64);
        Played { history: fleet.history, settled_ms }
    }

    /// Plays it on processes that have founded their fleet.
    ///
    /// # Errors
    /// When a process cannot be started.
    pub async fn play(&self, fleet: &mut Processes) -> Result<Played, TestbenchError> {
        let mut due: Vec<(u64, Did)> = self.steps.iter().flat_map(did).collect();
        due.sort_by_key(|(at, _)| *at);
        let began = Instant::now();
        for (at, what) in due {
            sleep_until(began + Duration::from_millis(at)).await;
            what.to(fleet)?;
        }
        sleep_until(began + Duration::from_millis(self.watched_ms)).await;
        let (ended, within, living) =
            (Instant::now(), Duration::from_millis(self.settled_within_ms), self.living());
        while !fleet.agree(&living) && ended.elapsed() < within {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let settled_ms = fleet.agree(&living).then(|| ended.elapsed().as_millis() as u64);
        Ok(Played { history: fleet.history(), settled_ms })
    }
}

/// Processes that were put out as gone or cut off.
fn processes_out(history: &[Event]) -> BTreeSet<usize> {
    put_out(history).into_iter().filter_map(process).collect()
}

/// The number in a name like `p003#7`.
fn process(who: &str) -> Option<usize> {
    who.split('#').next()?.strip_prefix('p')?.parse().ok()
}

impl Action {
    fn processes(&self) -> Vec<usize> {
        match self {
            Self::Kill(n) | Self::Start(n) | Self::Leave(n) | Self::Mute(n) => vec![*n],
            Self::Pause(pause) => vec![pause.process],
            Self::LinksOf(links) => vec![links.process],
            Self::Cut(a, b) => vec![*a, *b],
            Self::Split(side) | Self::OtherVersion(side) => side.clone(),
            Self::Links(_) | Self::Heal(_) => Vec::new(),
        }
    }

    fn faults(&self, proxies: usize) -> Vec<FleetFault> {
        match self {
            Self::Kill(n) => vec![FleetFault::Kill(*n)],
            Self::Start(n) => vec![FleetFault::Start(*n)],
            Self::Pause(pause) => vec![FleetFault::Pause(pause.process, pause.ms as i64 * MS)],
            Self::Leave(n) => vec![FleetFault::Leave(*n)],
            Self::Cut(a, b) => vec![FleetFault::Cut(*a, *b)],
            Self::Mute(n) => {
                (0..proxies).filter(|other| other != n).map(|other| FleetFault::Cut(*n, other)).collect()
            }
            Self::Split(side) | Self::OtherVersion(side) => vec![FleetFault::Split(side.clone())],
            Self::Links(link) => vec![FleetFault::Links(link.clone())],
            Self::LinksOf(of) => vec![FleetFault::LinksOf(of.process, of.link.clone())],
            Self::Heal(_) => vec![FleetFault::Heal],
        }
    }
}

/// What is done to processes: a pause has an end of its own.
enum Did {
    Does(Action),
    GoesOn(usize),
}

fn did(step: &Step) -> Vec<(u64, Did)> {
    let mut all = vec![(step.at_ms, Did::Does(step.what.clone()))];
    if let Action::Pause(pause) = &step.what {
        all.push((step.at_ms + pause.ms, Did::GoesOn(pause.process)));
    }
    all
}

impl Did {
    fn to(self, fleet: &mut Processes) -> Result<(), TestbenchError> {
        let cut = Link { cut: true, ..Link::default() };
        match self {
            Self::GoesOn(n) => fleet.go_on(n),
            Self::Does(action) => match action {
                Action::Kill(n) => fleet.kill(n),
                Action::Start(n) => fleet.begin(n)?,
                Action::Pause(pause) => fleet.stop(pause.process),
                Action::Leave(n) => fleet.ask_to_leave(n),
                Action::Cut(a, b) => fleet.link(a, b, &cut),
                Action::Mute(n) => fleet.others(n).for_each(|other| fleet.link(n, other, &cut)),
                Action::Split(side) => fleet.between(&side, &cut),
                Action::OtherVersion(side) => {
                    let version = Some(PROTOCOL_VERSION + 1);
                    fleet.between(&side, &Link { version, ..Link::default() });
                }
                Action::Links(link) => fleet.links(&link),
                Action::LinksOf(of) => fleet.others(of.process).for_each(|other| {
                    fleet.link(of.process, other, &of.link);
                    fleet.link(other, of.process, &of.link);
                }),
                Action::Heal(_) => fleet.links(&Link::default()),
            },
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::history::What;

    fn script(may_be_out: &[usize], must_be_out: &[usize]) -> Script {
        Script {
            about: String::new(),
            proxies: 3,
            founders: None,
            steps: vec![Step { at_ms: 0, what: Action::Kill(1) }, Step { at_ms: 1, what: Action::Leave(2) }],
            watched_ms: 0,
            may_be_out: may_be_out.iter().copied().collect(),
            must_be_out: must_be_out.iter().copied().collect(),
            settled_within_ms: 1_000,
        }
    }

    fn played(cause: &str) -> Played {
        let what = What::Change { epoch: 2, who: "p001#9".into(), cause: cause.into(), lease_until: 0 };
        Played { history: vec![Event { at: 0, process: 0, me: "p000#1".into(), what }], settled_ms: Some(3) }
    }

    #[test]
    fn who_is_put_out_has_to_be_one_of_those_that_may() {
        assert_eq!(
            script(&[], &[]).faults(&played("Gone")),
            ["process 1 was put out, though nothing was wrong with it"]
        );
        assert_eq!(script(&[1], &[]).faults(&played("Gone")), [""; 0]);
        assert_eq!(script(&[], &[1]).faults(&played("CutOff")), [""; 0]);
        assert_eq!(script(&[], &[1]).faults(&played("Left")), ["process 1 was not put out"]);
        let late = Played { settled_ms: None, ..played("Gone") };
        assert_eq!(script(&[1], &[]).faults(&late), ["not in one view within 1000 ms of its end"]);
    }

    #[test]
    fn whoever_is_killed_or_leaves_does_not_run_at_the_end() {
        assert_eq!(script(&[], &[]).living(), [0]);
        let mut back = script(&[], &[]);
        back.steps.push(Step { at_ms: 2, what: Action::Start(1) });
        assert_eq!(back.living(), [0, 1]);
    }
}
