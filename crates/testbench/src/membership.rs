//! Experiment on a fleet of real processes under load and under each fault script. It measures how fast a
//! crash is detected and agreed on, wrong evictions, the time from the fencing of a member until another may
//! take over, and the cost of the membership.

use crate::fault_script::{Script, ScriptResult};
use crate::history::{check_rules, evicted_members, Event, EventKind, RuleBreach, RuleReport};
use crate::load::{self, ClassResult, Target};
use crate::processes::{Backend, Processes};
use crate::{runtime, table, TestbenchError};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};
use wheelpier_emulator::net::{Clock, Installation, Options, Wire};
use wheelpier_emulator::schedule::plan;
use wheelpier_emulator::script::Script as EmulatorScript;
use wheelpier_emulator::spec::Spec;
use wheelpier_emulator::SECOND;

/// Arguments of the membership experiment.
#[derive(Debug, clap::Args)]
pub struct Membership {
    /// Number of processes of the fleet under load.
    #[arg(long, default_value_t = 7)]
    proxies: usize,
    /// Seed of all random numbers.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Time during which members of the fleet under load are killed one after the other, in seconds. Before
    /// that, the fleet runs undisturbed for a sixth of this time.
    #[arg(long, default_value_t = 120)]
    seconds: u64,
    /// Requests per second at all processes together.
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    /// Directory of the fault scripts. Each runs on its own fleet.
    #[arg(long, default_value = "crates/testbench/fleets")]
    scripts: PathBuf,
    /// File to which the history of the fleet under load is written, one event per line.
    #[arg(long)]
    history: Option<PathBuf>,
}

/// Maximum of the 99th percentile of the time from a kill to the first view without the victim, in
/// milliseconds.
const MAX_EVICTION_P99_MS: u64 = 2_500;
/// Maximum wait for an expected state of a fleet.
const MAX_WAIT: Duration = Duration::from_secs(40);
/// Number of scripts that run at the same time.
const CONCURRENT_SCRIPTS: usize = 4;

/// Measurements of the kills under load or of one fault script.
struct FaultResult {
    name: String,
    /// Times from each kill until the first process suspected the victim to be gone, in milliseconds.
    detected_ms: Vec<u64>,
    /// Times from each kill until the first view without the victim, or from the end of a script until all
    /// running processes were in one view, in milliseconds.
    agreed_ms: Vec<u64>,
    /// Number of suspicions of healthy members.
    suspected: usize,
    /// Number of wrong evictions.
    evicted: usize,
    report: RuleReport,
    faults: Vec<String>,
}

/// Cost of the membership for one member of an undisturbed fleet: bytes sent per second and share of a core.
struct IdleCost {
    bytes: f64,
    cpu: f64,
}

impl Membership {
    /// Runs the experiment and returns whether all goals were met.
    ///
    /// # Errors
    /// Returns an error if a process cannot be started or a file cannot be read or written.
    pub fn run(&self) -> Result<bool, TestbenchError> {
        let runtime = runtime()?;
        let local = LocalSet::new();
        local.block_on(&runtime, self.run_all())
    }

    async fn run_all(&self) -> Result<bool, TestbenchError> {
        println!("membership: {} processes, seed {}, {} s of kills", self.proxies, self.seed, self.seconds);
        let (kills, cost, classes) = self.run_kills_under_load().await?;
        for class in &classes {
            let (served, late) = (class.served, class.served - class.in_time);
            println!(
                "load: {:<14} {} asked, {served} served ({late} late), {} refused, {} failed",
                class.name, class.offered, class.refused, class.failed
            );
        }
        let mut lines = vec![kills];
        lines.extend(self.run_scripts().await?);
        print!("{}", format_report(&lines, &cost));
        lines.iter().flat_map(|line| line.faults.iter().map(move |fault| (line, fault))).for_each(
            |(line, fault)| {
                println!("broken: {}: {fault}; play it again with --seed {}", line.name, self.seed);
            },
        );
        Ok(verdict(&lines, &cost))
    }

    /// Runs one fleet under load, first undisturbed, then with its members killed one after the other.
    async fn run_kills_under_load(
        &self,
    ) -> Result<(FaultResult, IdleCost, Vec<ClassResult>), TestbenchError> {
        let (spec, clock) = (Spec::sapporo(), Clock::start());
        let options = Options {
            spec: spec.clone(),
            seed: self.seed,
            wires: vec![Wire::Postgres],
            script: EmulatorScript::default(),
            proxies: 1,
        };
        let installation = Installation::start(options, clock).await?;
        let backend =
            Backend { discovery: installation.discovery, known: installation.known.clone(), rate: self.rate };
        let mut fleet = Processes::start_on(
            Processes::own_program()?,
            (self.proxies, self.proxies),
            self.seed,
            Some(backend),
        )
        .await?;
        let all: Vec<usize> = (0..self.proxies).collect();
        fleet.wait_until("all found the fleet", MAX_WAIT, |fleet| fleet.agree_on_view(&all)).await;
        installation.begin().await;
        let span = (self.seconds as f64 * 7.0 / 6.0 * SECOND as f64) as i64;
        let spec = Rc::new(spec);
        let loads: Vec<_> = (0..self.proxies)
            .map(|n| {
                let address = fleet.client_address(n);
                let target = Target {
                    wire: Wire::Postgres,
                    address,
                    spec: Rc::clone(&spec),
                    clock,
                    world: installation.mailbox(),
                };
                let planned = plan(&spec, self.seed + n as u64, self.rate / self.proxies as f64, span);
                tokio::task::spawn_local(load::run(target, planned))
            })
            .collect();
        let cost = measure_idle_cost(&fleet, self.proxies, Duration::from_secs(self.seconds / 6)).await?;
        let line = self.kill_in_turn(&mut fleet, &all).await?;
        let mut classes: Vec<ClassResult> = Vec::new();
        for load in loads {
            add_class_results(&mut classes, load.await.map_err(|_| TestbenchError::Ended)?);
        }
        Ok((line, cost, classes))
    }

    async fn kill_in_turn(
        &self,
        fleet: &mut Processes,
        all: &[usize],
    ) -> Result<FaultResult, TestbenchError> {
        let (began, mut killed) = (Instant::now(), Vec::new());
        let mut victim = self.seed as usize % self.proxies;
        while began.elapsed() < Duration::from_secs(self.seconds) {
            let others: Vec<usize> = all.iter().copied().filter(|n| *n != victim).collect();
            killed.push((fleet.now(), fleet.latest_identity(victim)));
            fleet.kill(victim);
            fleet
                .wait_until("the view without the killed process", MAX_WAIT, |fleet| {
                    fleet.agree_on_view(&others)
                })
                .await;
            fleet.start_process(victim)?;
            fleet
                .wait_until("the view with the restarted process", MAX_WAIT, |fleet| fleet.agree_on_view(all))
                .await;
            // Gives the restarted member time for more than its first probes.
            sleep(Duration::from_millis(500)).await;
            victim = (victim + 3) % self.proxies;
        }
        let history = fleet.history();
        if let Some(file) = &self.history {
            let lines: Vec<String> = history.iter().map(ToString::to_string).collect();
            std::fs::write(file, lines.join("\n"))?;
        }
        let first = |(at, who): &(i64, String), cause: fn(&EventKind, &str) -> bool| {
            let mut seen =
                history.iter().filter(|event| event.at >= *at && cause(&event.kind, who)).map(|e| e.at);
            let first = seen.next().map(|first| seen.fold(first, i64::min));
            first.map(|first| ((first - at) / 1_000) as u64)
        };
        let gone = |kind: &EventKind, who: &str| matches!(kind, EventKind::Advice { who: of, opinion } if of == who && opinion == "Gone");
        let evicted_as_gone = |kind: &EventKind, who: &str| matches!(kind, EventKind::Change { who: of, cause, .. } if of == who && cause == "Gone");
        let victims: Vec<&String> = killed.iter().map(|(_, who)| who).collect();
        let mut evicted = evicted_members(&history);
        evicted.retain(|who| !victims.iter().any(|victim| victim == who));
        let report = check_rules(&history);
        let mut faults: Vec<String> = report.broken.iter().map(ToString::to_string).collect();
        faults
            .extend(evicted.iter().map(|who| format!("{who} was evicted, though nothing was wrong with it")));
        Ok(FaultResult {
            name: format!("{} kills under load", killed.len()),
            detected_ms: killed.iter().filter_map(|kill| first(kill, gone)).collect(),
            agreed_ms: killed.iter().filter_map(|kill| first(kill, evicted_as_gone)).collect(),
            suspected: count_false_suspicions(&history, |who| victims.iter().any(|victim| *victim == who)),
            evicted: evicted.len(),
            report,
            faults,
        })
    }

    /// Runs each script on its own fleet, several at the same time.
    async fn run_scripts(&self) -> Result<Vec<FaultResult>, TestbenchError> {
        let mut paths: Vec<PathBuf> =
            std::fs::read_dir(&self.scripts)?.filter_map(|entry| Some(entry.ok()?.path())).collect();
        paths.retain(|path| path.extension().is_some_and(|kind| kind == "yaml"));
        paths.sort();
        let mut lines = Vec::new();
        for some in paths.chunks(CONCURRENT_SCRIPTS) {
            let running: Vec<_> = some
                .iter()
                .map(|path| tokio::task::spawn_local(run_script(path.clone(), self.seed)))
                .collect();
            for one in running {
                lines.push(one.await.map_err(|_| TestbenchError::Ended)??);
            }
            eprintln!("membership: {} of {} scripts played", lines.len(), paths.len());
        }
        Ok(lines)
    }
}

async fn run_script(path: PathBuf, seed: u64) -> Result<FaultResult, TestbenchError> {
    let script = Script::from_file(&path)?;
    let members = (script.proxies, script.founders());
    let mut fleet = Processes::start_on(Processes::own_program()?, members, seed, None).await?;
    let all: Vec<usize> = (0..script.founders()).collect();
    fleet.wait_until("all found the fleet", MAX_WAIT, |fleet| fleet.agree_on_view(&all)).await;
    let result = script.run(&mut fleet).await?;
    let faults = script.violations(&result);
    if !faults.is_empty() {
        eprintln!("{}\n{}", path.display(), fleet.recent_output());
    }
    let name = path.file_stem().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
    Ok(script_result(name, &script, &result, faults))
}

fn script_result(name: String, script: &Script, result: &ScriptResult, faults: Vec<String>) -> FaultResult {
    let affected = |who: &str| script.affected().iter().any(|n| who.starts_with(&format!("p{n}#")));
    FaultResult {
        name,
        detected_ms: Vec::new(),
        agreed_ms: result.settled_ms.into_iter().collect(),
        suspected: count_false_suspicions(&result.history, affected),
        evicted: script.wrongly_evicted(&result.history).len(),
        report: check_rules(&result.history),
        faults,
    }
}

fn count_false_suspicions(history: &[Event], is_expected: impl Fn(&str) -> bool) -> usize {
    let suspects = |kind: &EventKind| {
        matches!(
            kind,
            EventKind::Advice { who, opinion }
                if opinion == "Suspect" && !is_expected(who)
        )
    };
    history.iter().filter(|event| suspects(&event.kind)).count()
}

/// Measures the cost of the membership for one member while the fleet is undisturbed.
async fn measure_idle_cost(
    fleet: &Processes,
    members: usize,
    span: Duration,
) -> Result<IdleCost, TestbenchError> {
    let before = fleet.resource_usage().await?;
    let began = Instant::now();
    sleep(span).await;
    let (after, seconds) = (fleet.resource_usage().await?, began.elapsed().as_secs_f64() * members as f64);
    Ok(IdleCost { bytes: (after.0 - before.0) as f64 / seconds, cpu: (after.1 - before.1) / seconds })
}

fn add_class_results(all: &mut Vec<ClassResult>, more: Vec<ClassResult>) {
    if all.is_empty() {
        *all = more;
        return;
    }
    for (sum, one) in all.iter_mut().zip(more) {
        sum.offered += one.offered;
        sum.served += one.served;
        sum.in_time += one.in_time;
        sum.refused += one.refused;
        sum.failed += one.failed;
    }
}

fn percentile(values: &[u64], part: f64) -> Option<u64> {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let rank = (sorted.len() as f64 * part).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied()
}

fn format_report(lines: &[FaultResult], cost: &IdleCost) -> String {
    let format_ms = |value: Option<u64>| value.map_or("-".to_owned(), |ms| ms.to_string());
    let head = [
        "trouble",
        "gone p50",
        "p99",
        "view p50",
        "p99",
        "suspected",
        "put out wrongly",
        "least gap",
        "broken",
    ];
    let row = |line: &FaultResult| {
        vec![
            line.name.clone(),
            format_ms(percentile(&line.detected_ms, 0.5)),
            format_ms(percentile(&line.detected_ms, 0.99)),
            format_ms(percentile(&line.agreed_ms, 0.5)),
            format_ms(percentile(&line.agreed_ms, 0.99)),
            line.suspected.to_string(),
            line.evicted.to_string(),
            line.report.least_gap.map_or("-".to_owned(), |us| (us / 1_000).to_string()),
            line.faults.len().to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = lines.iter().map(row).collect();
    let table = table::lay_out(&head, &rows);
    let note = "all times in ms; of scripts: from the end of the script to one view with all; \
                gap: from a member's own end to the\n\
                first moment at which another one might have acted for it";
    format!(
        "{table}{note}\nin peace a member sends {:.0} bytes a second and takes {:.2}% of a core\n",
        cost.bytes,
        cost.cpu * 100.0
    )
}

fn verdict(lines: &[FaultResult], cost: &IdleCost) -> bool {
    let p99 = percentile(&lines[0].agreed_ms, 0.99).unwrap_or(u64::MAX);
    let evicted: usize = lines.iter().map(|line| line.evicted).sum();
    let split = lines.iter().flat_map(|line| &line.report.broken);
    let split = split.filter(|broken| matches!(broken, RuleBreach::ConflictingViews(_))).count();
    let broken: usize = lines.iter().map(|line| line.faults.len()).sum();
    println!(
        "membership: detected p99 {p99} ms, false evictions {evicted}, split views {split}, \
         traffic {:.0} bytes a member a second, rules broken {broken}",
        cost.bytes
    );
    p99 <= MAX_EVICTION_P99_MS && evicted == 0 && split == 0 && broken == 0
}

#[cfg(test)]
mod tests {
    use super::*;

    fn kills(agreed_ms: Vec<u64>, faults: &[&str], evicted: usize) -> Vec<FaultResult> {
        let faults = faults.iter().map(|fault| (*fault).to_owned()).collect();
        let (detected_ms, report) = (Vec::new(), RuleReport::default());
        vec![FaultResult {
            name: String::new(),
            detected_ms,
            agreed_ms,
            suspected: 3,
            evicted,
            report,
            faults,
        }]
    }

    #[test]
    fn only_fast_evictions_without_breaches_pass() {
        let cost = IdleCost { bytes: 1.0, cpu: 0.0 };
        assert!(verdict(&kills(vec![1_900, 2_500], &[], 0), &cost));
        assert!(!verdict(&kills(vec![1_900, 2_501], &[], 0), &cost));
        assert!(!verdict(&kills(vec![1_900], &[], 1), &cost));
        assert!(!verdict(&kills(vec![1_900], &["anything"], 0), &cost));
        assert!(!verdict(&kills(vec![], &[], 0), &cost), "nothing was measured");
    }

    #[test]
    fn percentiles_are_measured_values() {
        let values: Vec<u64> = (1..=100).rev().collect();
        assert_eq!((percentile(&values, 0.5), percentile(&values, 0.99)), (Some(50), Some(99)));
        assert_eq!(percentile(&[], 0.5), None);
    }
}
