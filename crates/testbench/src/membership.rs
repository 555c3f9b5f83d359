//! What a fleet of real processes does under each fault and under load: how fast a death is seen and agreed on, who was put out
//! wrongly, how long before another one may act a member was fenced, and what it costs.

use crate::fault_script::{Played, Script};
use crate::history::{judge, put_out, Broken, Event, Judged, What};
use crate::load::{self, ClassResult, Target};
use crate::processes::{Ground, Processes};
use crate::{runtime, table, TestbenchError};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};
use wheelpier_emulator::net::{Clock, Installation, Options, Wire};
use wheelpier_emulator::schedule::plan;
use wheelpier_emulator::script::Script as Calm;
use wheelpier_emulator::spec::Spec;
use wheelpier_emulator::SECOND;

/// Processes, seed and time.
#[derive(Debug, clap::Args)]
pub struct Membership {
    /// Processes of the fleet that is under load.
    #[arg(long, default_value_t = 7)]
    proxies: usize,
    /// All that is drawn comes from it.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// How long its members are killed, one after the other, in seconds; a sixth of that it is left in peace first.
    #[arg(long, default_value_t = 120)]
    seconds: u64,
    /// Requests a second in all.
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    /// Scripts of faults, each played on a fleet of its own.
    #[arg(long, default_value = "crates/testbench/fleets")]
    scripts: PathBuf,
    /// Where the history of the fleet under load goes, a line an event.
    #[arg(long)]
    history: Option<PathBuf>,
}

/// A kill is to be agreed on within this time, in milliseconds, in 99 of 100 cases.
const GOAL_MS: u64 = 2_500;
/// A state that does not come within this time will not come.
const PATIENCE: Duration = Duration::from_secs(40);
/// Scripts that are played at once.
const AT_ONCE: usize = 4;

/// What came of one fault.
struct Line {
    name: String,
    /// From each kill to the first that thought the victim gone, and to the first view without it; in milliseconds.
    detected_ms: Vec<u64>,
    agreed_ms: Vec<u64>,
    /// Suspicions of members that nothing was wrong with.
    suspected: usize,
    evicted: usize,
    judged: Judged,
    faults: Vec<String>,
}

/// What the fleet in peace costs a member.
struct Cost {
    bytes: f64,
    cpu: f64,
}

impl Membership {
    /// Plays all; whether everything is as it has to be.
    ///
    /// # Errors
    /// When a process or a file cannot be had.
    pub fn run(&self) -> Result<bool, TestbenchError> {
        let runtime = runtime()?;
        let local = LocalSet::new();
        local.block_on(&runtime, self.play())
    }

    async fn play(&self) -> Result<bool, TestbenchError> {
        println!("membership: {} processes, seed {}, {} s of kills", self.proxies, self.seed, self.seconds);
        let (kills, cost, classes) = self.kills().await?;
        for class in &classes {
            let (served, late) = (class.served, class.served - class.in_time);
            println!(
                "load: {:<14} {} asked, {served} served ({late} late), {} refused, {} failed",
                class.name, class.offered, class.refused, class.failed
            );
        }
        let mut lines = vec![kills];
        lines.extend(self.scripts().await?);
        print!("{}", lay_out(&lines, &cost));
        lines.iter().flat_map(|line| line.faults.iter().map(move |fault| (line, fault))).for_each(
            |(line, fault)| {
                println!("broken: {}: {fault}; play it again with --seed {}", line.name, self.seed);
            },
        );
        Ok(verdict(&lines, &cost))
    }

    /// One fleet under load, at first in peace, and then its members die one after the other.
    async fn kills(&self) -> Result<(Line, Cost, Vec<ClassResult>), TestbenchError> {
        let (spec, clock) = (Spec::sapporo(), Clock::start());
        let options = Options {
            spec: spec.clone(),
            seed: self.seed,
            wires: vec![Wire::Postgres],
            script: Calm::default(),
            proxies: 1,
        };
        let installation = Installation::start(options, clock).await?;
        let ground =
            Ground { discovery: installation.discovery, known: installation.known.clone(), rate: self.rate };
        let mut fleet = Processes::start_on(
            Processes::own_program()?,
            (self.proxies, self.proxies),
            self.seed,
            Some(ground),
        )
        .await?;
        let all: Vec<usize> = (0..self.proxies).collect();
        fleet.until("all found the fleet", PATIENCE, |fleet| fleet.agree(&all)).await;
        installation.begin().await;
        let span = (self.seconds as f64 * 7.0 / 6.0 * SECOND as f64) as i64;
        let spec = Rc::new(spec);
        let loads: Vec<_> = (0..self.proxies)
            .map(|n| {
                let address = fleet.clients(n);
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
        let cost = peace(&fleet, self.proxies, Duration::from_secs(self.seconds / 6)).await?;
        let line = self.one_after_the_other(&mut fleet, &all).await?;
        let mut classes: Vec<ClassResult> = Vec::new();
        for load in loads {
            add(&mut classes, load.await.map_err(|_| TestbenchError::Ended)?);
        }
        Ok((line, cost, classes))
    }

    async fn one_after_the_other(
        &self,
        fleet: &mut Processes,
        all: &[usize],
    ) -> Result<Line, TestbenchError> {
        let (began, mut killed) = (Instant::now(), Vec::new());
        let mut victim = self.seed as usize % self.proxies;
        while began.elapsed() < Duration::from_secs(self.seconds) {
            let others: Vec<usize> = all.iter().copied().filter(|n| *n != victim).collect();
            killed.push((fleet.now(), fleet.life(victim)));
            fleet.kill(victim);
            fleet.until("the dead one is out", PATIENCE, |fleet| fleet.agree(&others)).await;
            fleet.begin(victim)?;
            fleet.until("it is back", PATIENCE, |fleet| fleet.agree(all)).await;
            // Not with its very first probes: a turn later.
            sleep(Duration::from_millis(500)).await;
            victim = (victim + 3) % self.proxies;
        }
        let history = fleet.history();
        if let Some(file) = &self.history {
            let lines: Vec<String> = history.iter().map(ToString::to_string).collect();
            std::fs::write(file, lines.join("\n"))?;
        }
        let first = |(at, who): &(i64, String), cause: fn(&What, &str) -> bool| {
            let mut seen =
                history.iter().filter(|event| event.at >= *at && cause(&event.what, who)).map(|e| e.at);
            let first = seen.next().map(|first| seen.fold(first, i64::min));
            first.map(|first| ((first - at) / 1_000) as u64)
        };
        let gone = |what: &What, who: &str| matches!(what, What::Advice { who: of, opinion } if of == who && opinion == "Gone");
        let out = |what: &What, who: &str| matches!(what, What::Change { who: of, cause, .. } if of == who && cause == "Gone");
        let victims: Vec<&String> = killed.iter().map(|(_, who)| who).collect();
        let mut evicted = put_out(&history);
        evicted.retain(|who| !victims.iter().any(|victim| victim == who));
        let judged = judge(&history);
        let mut faults: Vec<String> = judged.broken.iter().map(ToString::to_string).collect();
        faults
            .extend(evicted.iter().map(|who| format!("{who} was put out, though nothing was wrong with it")));
        Ok(Line {
            name: format!("{} kills under load", killed.len()),
            detected_ms: killed.iter().filter_map(|kill| first(kill, gone)).collect(),
            agreed_ms: killed.iter().filter_map(|kill| first(kill, out)).collect(),
            suspected: suspected(&history, |who| victims.iter().any(|victim| *victim == who)),
            evicted: evicted.len(),
            judged,
            faults,
        })
    }

    /// Each script on a fleet of its own, some at once.
    async fn scripts(&self) -> Result<Vec<Line>, TestbenchError> {
        let mut paths: Vec<PathBuf> =
            std::fs::read_dir(&self.scripts)?.filter_map(|entry| Some(entry.ok()?.path())).collect();
        paths.retain(|path| path.extension().is_some_and(|kind| kind == "yaml"));
        paths.sort();
        let mut lines = Vec::new();
        for some in paths.chunks(AT_ONCE) {
            let played: Vec<_> =
                some.iter().map(|path| tokio::task::spawn_local(script(path.clone(), self.seed))).collect();
            for one in played {
                lines.push(one.await.map_err(|_| TestbenchError::Ended)??);
            }
            eprintln!("membership: {} of {} scripts played", lines.len(), paths.len());
        }
        Ok(lines)
    }
}

async fn script(path: PathBuf, seed: u64) -> Result<Line, TestbenchError> {
    let script = Script::from_file(&path)?;
    let members = (script.proxies, script.founders());
    let mut fleet = Processes::start_on(Processes::own_program()?, members, seed, None).await?;
    let all: Vec<usize> = (0..script.founders()).collect();
    fleet.until("all found the fleet", PATIENCE, |fleet| fleet.agree(&all)).await;
    let played = script.play(&mut fleet).await?;
    let faults = script.faults(&played);
    if !faults.is_empty() {
        eprintln!("{}\n{}", path.display(), fleet.recent_output());
    }
    let name = path.file_stem().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
    Ok(line(name, &script, &played, faults))
}

fn line(name: String, script: &Script, played: &Played, faults: Vec<String>) -> Line {
    let affected = |who: &str| script.affected().iter().any(|n| who.starts_with(&format!("p{n}#")));
    Line {
        name,
        detected_ms: Vec::new(),
        agreed_ms: played.settled_ms.into_iter().collect(),
        suspected: suspected(&played.history, affected),
        evicted: script.wrongly_out(&played.history).len(),
        judged: judge(&played.history),
        faults,
    }
}

fn suspected(history: &[Event], but: impl Fn(&str) -> bool) -> usize {
    let suspects =
        |what: &What| matches!(what, What::Advice { who, opinion } if opinion == "Suspect" && !but(who));
    history.iter().filter(|event| suspects(&event.what)).count()
}

/// What a member sends and how much of a core it takes while nothing happens to the fleet.
async fn peace(fleet: &Processes, members: usize, span: Duration) -> Result<Cost, TestbenchError> {
    let before = fleet.spent().await?;
    let began = Instant::now();
    sleep(span).await;
    let (after, seconds) = (fleet.spent().await?, began.elapsed().as_secs_f64() * members as f64);
    Ok(Cost { bytes: (after.0 - before.0) as f64 / seconds, cpu: (after.1 - before.1) / seconds })
}

fn add(all: &mut Vec<ClassResult>, more: Vec<ClassResult>) {
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

fn lay_out(lines: &[Line], cost: &Cost) -> String {
    let told = |value: Option<u64>| value.map_or("-".to_owned(), |ms| ms.to_string());
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
    let row = |line: &Line| {
        vec![
            line.name.clone(),
            told(percentile(&line.detected_ms, 0.5)),
            told(percentile(&line.detected_ms, 0.99)),
            told(percentile(&line.agreed_ms, 0.5)),
            told(percentile(&line.agreed_ms, 0.99)),
            line.suspected.to_string(),
            line.evicted.to_string(),
            line.judged.least_gap.map_or("-".to_owned(), |us| (us / 1_000).to_string()),
            line.faults.len().to_string(),
        ]
    };
    let rows: Vec<Vec<String>> = lines.iter().map(row).collect();
    let table = table::lay_out(&head, &rows);
    let note = "all times in ms; of scripts: from the end of the script to one view with all; gap: from a member's own end to the\n\
                first moment at which another one might have acted for it";
    format!(
        "{table}{note}\nin peace a member sends {:.0} bytes a second and takes {:.2}% of a core\n",
        cost.bytes,
        cost.cpu * 100.0
    )
}

fn verdict(lines: &[Line], cost: &Cost) -> bool {
    let p99 = percentile(&lines[0].agreed_ms, 0.99).unwrap_or(u64::MAX);
    let evicted: usize = lines.iter().map(|line| line.evicted).sum();
    let split = lines.iter().flat_map(|line| &line.judged.broken);
    let split = split.filter(|broken| matches!(broken, Broken::TwoViews(_))).count();
    let broken: usize = lines.iter().map(|line| line.faults.len()).sum();
    println!(
        "membership: detected p99 {p99} ms, false evictions {evicted}, split views {split}, traffic {:.0} bytes a member a second, rules broken {broken}",
        cost.bytes
    );
    p99 <= GOAL_MS && evicted == 0 && split == 0 && broken == 0
}

#[cfg(test)]
mod tests {
    use super::*;

    fn kills(agreed_ms: Vec<u64>, faults: &[&str], evicted: usize) -> Vec<Line> {
        let faults = faults.iter().map(|fault| (*fault).to_owned()).collect();
        let (detected_ms, judged) = (Vec::new(), Judged::default());
        vec![Line { name: String::new(), detected_ms, agreed_ms, suspected: 3, evicted, judged, faults }]
    }

    #[test]
    fn only_a_fleet_that_is_fast_and_breaks_nothing_passes() {
        let cost = Cost { bytes: 1.0, cpu: 0.0 };
        assert!(verdict(&kills(vec![1_900, 2_500], &[], 0), &cost));
        assert!(!verdict(&kills(vec![1_900, 2_501], &[], 0), &cost));
        assert!(!verdict(&kills(vec![1_900], &[], 1), &cost));
        assert!(!verdict(&kills(vec![1_900], &["anything"], 0), &cost));
        assert!(!verdict(&kills(vec![], &[], 0), &cost), "nothing was measured");
    }

    #[test]
    fn percentiles_are_of_what_was_measured() {
        let values: Vec<u64> = (1..=100).rev().collect();
        assert_eq!((percentile(&values, 0.5), percentile(&values, 0.99)), (Some(50), Some(99)));
        assert_eq!(percentile(&[], 0.5), None);
    }
}
