//! Fault scripts (`fleets/*.yaml`): timed faults of a fleet and the outcomes that are allowed. A script runs
//! both on real processes and in virtual time, and the same checker verifies the histories of both.

use crate::history::{check_rules, evicted_members, Event};
use crate::members::{FleetFault, VirtualFleet};
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

/// A fault script.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Purpose of the script, in a sentence.
    pub about: String,
    /// Number of processes. They are numbered from 0.
    pub proxies: usize,
    /// Number of founders, which are the first processes; all if absent. The other processes start in a step.
    pub founders: Option<usize>,
    /// Steps in the order of their times.
    pub steps: Vec<Step>,
    /// Length of the run, in milliseconds, before the fleet has to settle.
    pub watched_ms: u64,
    /// Processes that may be evicted as gone or cut off. Apart from `must_be_out`, no others may be.
    #[serde(default)]
    pub may_be_out: BTreeSet<usize>,
    /// Processes that must be evicted as gone or cut off.
    #[serde(default)]
    pub must_be_out: BTreeSet<usize>,
    /// Time after the run, in milliseconds, within which all running processes must be in one view and hold
    /// their leases.
    pub settled_within_ms: u64,
}

/// An action at a point in time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Time from the start of the script, in milliseconds.
    pub at_ms: u64,
    /// The action.
    pub what: Action,
}

/// An action on a fleet.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Kills a process.
    Kill(usize),
    /// Starts a process unless it is running.
    Start(usize),
    /// Pauses a process for a time.
    Pause(Pause),
    /// Asks a process to leave the fleet.
    Leave(usize),
    /// Cuts the link from the first process to the second, in this direction only.
    Cut(usize, usize),
    /// Cuts all links from a process. It still receives all messages.
    Mute(usize),
    /// Cuts all links between these processes and the others, in both directions.
    Split(Vec<usize>),
    /// Makes these processes and the others receive each other's messages with another protocol version.
    OtherVersion(Vec<usize>),
    /// Sets all links. Messages are not replayed in virtual time, which has no transport that would drop the
    /// replays.
    Links(Link),
    /// Sets all links of one process, in both directions.
    LinksOf(LinksOf),
    /// Restores all links.
    Heal(bool),
}

/// A pause of a process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pause {
    /// The process.
    pub process: usize,
    /// Length of the pause, in milliseconds.
    pub ms: u64,
}

/// A setting for all links of one process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinksOf {
    /// The process.
    pub process: usize,
    /// The setting.
    pub link: Link,
}

/// The result of running a script.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptResult {
    /// All membership events and actions of the test rig.
    pub history: Vec<Event>,
    /// Time from the end of the run until all running processes agreed on a view, in milliseconds; `None` if
    /// they did not agree in time.
    pub settled_ms: Option<u64>,
}

impl Script {
    /// Reads a script from a YAML file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, is not a valid script or names a process that does not
    /// exist.
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

    /// Returns the number of founders.
    pub fn founders(&self) -> usize {
        self.founders.unwrap_or(self.proxies)
    }

    /// Returns the processes that run at the end of the script.
    pub fn running(&self) -> Vec<usize> {
        let mut running: BTreeSet<usize> = (0..self.founders()).collect();
        for step in &self.steps {
            match &step.what {
                Action::Kill(n) | Action::Leave(n) => _ = running.remove(n),
                Action::Start(n) => _ = running.insert(*n),
                _ => {}
            }
        }
        running.into_iter().collect()
    }

    /// Returns the processes that an action affects. Suspicions of them are expected.
    pub fn affected(&self) -> BTreeSet<usize> {
        self.steps.iter().flat_map(|step| step.what.processes()).collect()
    }

    /// Returns the processes that were evicted although the script does not allow it.
    pub fn wrongly_evicted(&self, history: &[Event]) -> Vec<usize> {
        let may = |n: &usize| self.may_be_out.contains(n) || self.must_be_out.contains(n);
        evicted_processes(history).into_iter().filter(|n| !may(n)).collect()
    }

    /// Describes each breach of a membership rule and each deviation from the allowed outcomes.
    pub fn violations(&self, result: &ScriptResult) -> Vec<String> {
        let report = check_rules(&result.history);
        let mut violations: Vec<String> = report.broken.iter().map(ToString::to_string).collect();
        let out = evicted_processes(&result.history);
        let wrongly = self.wrongly_evicted(&result.history);
        violations.extend(
            wrongly.iter().map(|n| format!("process {n} was evicted, though nothing was wrong with it")),
        );
        let missing = self.must_be_out.difference(&out);
        violations.extend(missing.map(|n| format!("process {n} was not evicted")));
        if result.settled_ms.is_none() {
            violations.push(format!(
                "the running processes were not in one view within {} ms of the end",
                self.settled_within_ms
            ));
        }
        violations
    }

    /// Runs the script in virtual time.
    pub fn run_virtually(&self, seed: u64) -> ScriptResult {
        let mut fleet = VirtualFleet::recorded(self.proxies, self.founders(), seed);
        fleet.run_until_settled(60 * SECOND);
        fleet.run_until(fleet.now + 2 * SECOND);
        let steps = self.steps.iter().flat_map(|step| {
            let at = step.at_ms as i64 * MS;
            step.what.as_virtual_faults(self.proxies).into_iter().map(move |fault| (at, fault))
        });
        fleet.play(steps.collect(), self.watched_ms as i64 * MS);
        let (ended, within) = (fleet.now, self.settled_within_ms as i64 * MS);
        while fleet.settled().is_none() && fleet.now - ended < within {
            fleet.run_until(fleet.now + 50 * MS);
        }
        let settled_ms = fleet.settled().is_some().then_some(((fleet.now - ended) / MS) as u64);
        ScriptResult { history: fleet.history, settled_ms }
    }

    /// Runs the script on processes that have founded their fleet.
    ///
    /// # Errors
    /// Returns an error if a process cannot be started.
    pub async fn run(&self, fleet: &mut Processes) -> Result<ScriptResult, TestbenchError> {
        let mut due: Vec<(u64, ProcessAction)> = self.steps.iter().flat_map(process_actions).collect();
        due.sort_by_key(|(at, _)| *at);
        let began = Instant::now();
        for (at, action) in due {
            sleep_until(began + Duration::from_millis(at)).await;
            action.apply(fleet)?;
        }
        sleep_until(began + Duration::from_millis(self.watched_ms)).await;
        let (ended, within, running) =
            (Instant::now(), Duration::from_millis(self.settled_within_ms), self.running());
        while !fleet.agree_on_view(&running) && ended.elapsed() < within {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let settled_ms = fleet.agree_on_view(&running).then(|| ended.elapsed().as_millis() as u64);
        Ok(ScriptResult { history: fleet.history(), settled_ms })
    }
}

/// Returns the processes that were evicted as gone or cut off.
fn evicted_processes(history: &[Event]) -> BTreeSet<usize> {
    evicted_members(history).into_iter().filter_map(process_index).collect()
}

/// Returns the index of the process in a member's name like `p003#7`.
fn process_index(member: &str) -> Option<usize> {
    member.split('#').next()?.strip_prefix('p')?.parse().ok()
}

impl Action {
    /// Returns the processes that the action affects, without those of all links.
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

    /// Translates the action into faults of the fleet in virtual time.
    fn as_virtual_faults(&self, proxies: usize) -> Vec<FleetFault> {
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

/// An action on real processes. The end of a pause is an action of its own.
enum ProcessAction {
    Apply(Action),
    Resume(usize),
}

/// Returns the actions of a step with their times in milliseconds from the start of the script.
fn process_actions(step: &Step) -> Vec<(u64, ProcessAction)> {
    let mut all = vec![(step.at_ms, ProcessAction::Apply(step.what.clone()))];
    if let Action::Pause(pause) = &step.what {
        all.push((step.at_ms + pause.ms, ProcessAction::Resume(pause.process)));
    }
    all
}

impl ProcessAction {
    fn apply(self, fleet: &mut Processes) -> Result<(), TestbenchError> {
        let cut = Link { cut: true, ..Link::default() };
        match self {
            Self::Resume(n) => fleet.resume(n),
            Self::Apply(action) => match action {
                Action::Kill(n) => fleet.kill(n),
                Action::Start(n) => fleet.start_process(n)?,
                Action::Pause(pause) => fleet.pause(pause.process),
                Action::Leave(n) => fleet.ask_to_leave(n),
                Action::Cut(a, b) => fleet.set_link(a, b, &cut),
                Action::Mute(n) => fleet.others(n).for_each(|other| fleet.set_link(n, other, &cut)),
                Action::Split(side) => fleet.set_links_between(&side, &cut),
                Action::OtherVersion(side) => {
                    let version = Some(PROTOCOL_VERSION + 1);
                    fleet.set_links_between(&side, &Link { version, ..Link::default() });
                }
                Action::Links(link) => fleet.set_all_links(&link),
                Action::LinksOf(of) => fleet.others(of.process).for_each(|other| {
                    fleet.set_link(of.process, other, &of.link);
                    fleet.set_link(other, of.process, &of.link);
                }),
                Action::Heal(_) => fleet.set_all_links(&Link::default()),
            },
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::history::EventKind;

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

    fn result(cause: &str) -> ScriptResult {
        let kind = EventKind::Change { epoch: 2, who: "p001#9".into(), cause: cause.into(), lease_until: 0 };
        ScriptResult {
            history: vec![Event { at: 0, process: 0, me: "p000#1".into(), kind }],
            settled_ms: Some(3),
        }
    }

    #[test]
    fn only_the_processes_that_the_script_allows_may_be_evicted() {
        assert_eq!(
            script(&[], &[]).violations(&result("Gone")),
            ["process 1 was evicted, though nothing was wrong with it"]
        );
        assert_eq!(script(&[1], &[]).violations(&result("Gone")), [""; 0]);
        assert_eq!(script(&[], &[1]).violations(&result("CutOff")), [""; 0]);
        assert_eq!(script(&[], &[1]).violations(&result("Left")), ["process 1 was not evicted"]);
        let late = ScriptResult { settled_ms: None, ..result("Gone") };
        assert_eq!(
            script(&[1], &[]).violations(&late),
            ["the running processes were not in one view within 1000 ms of the end"]
        );
    }

    #[test]
    fn processes_that_are_killed_or_leave_do_not_run_at_the_end() {
        assert_eq!(script(&[], &[]).running(), [0]);
        let mut back = script(&[], &[]);
        back.steps.push(Step { at_ms: 2, what: Action::Start(1) });
        assert_eq!(back.running(), [0, 1]);
    }
}
