//! Runs the same requests and faults over PostgreSQL and over TDS side by side. The results have to agree.

use crate::load::{self, ClassResult, Target};
use crate::rig::Rig;
use crate::{runtime, table, TestbenchError};
use std::rc::Rc;
use std::thread;
use wheelpier_emulator::net::{Options, Verdict, Wire};
use wheelpier_emulator::schedule::plan;
use wheelpier_emulator::script::Script;
use wheelpier_emulator::spec::Spec;
use wheelpier_emulator::SECOND;

/// The largest difference of a figure between the protocols, in per cent.
const MAX_DIFFERENCE_PERCENT: f64 = 5.0;

/// The arguments of `parity`.
#[derive(Debug, clap::Args)]
pub struct Parity {
    /// Seed of the requests, the faults and the emulated hosts.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Seconds of load.
    #[arg(long, default_value_t = 30.0)]
    seconds: f64,
    /// Requests per second over each protocol.
    #[arg(long, default_value_t = 2_400.0)]
    rate: f64,
    /// Replicated groups, of five hosts each.
    #[arg(long, default_value_t = 24)]
    sets: usize,
    /// Uses PostgreSQL on both sides, to show how much two runs of the same protocol differ.
    #[arg(long)]
    control: bool,
    /// Runs without faults.
    #[arg(long)]
    calm: bool,
}

struct Outcome {
    wire: Wire,
    classes: Vec<ClassResult>,
    verdict: Verdict,
}

impl Parity {
    /// Runs both protocols and prints the results. Returns whether they agree and no rule is broken.
    pub fn run(&self) -> Result<bool, TestbenchError> {
        let start = |wire| {
            let options = self.options(wire);
            let (seed, rate, seconds) = (self.seed, self.rate, self.seconds);
            thread::spawn(move || runtime()?.block_on(play(options, wire, seed, rate, seconds)))
        };
        // Both at the same time, so that other load on the machine affects them equally.
        let other = if self.control { Wire::Postgres } else { Wire::Tds };
        let running = [Wire::Postgres, other].map(start);
        let mut outcomes = Vec::with_capacity(running.len());
        for thread in running {
            outcomes.push(thread.join().map_err(|_| TestbenchError::Ended)??);
        }
        Ok(report(&outcomes))
    }

    fn options(&self, wire: Wire) -> Options {
        let spec = Spec { groups: self.sets, ..Spec::sapporo() };
        let script = match self.calm {
            true => Script::empty(),
            false => Script::parity(self.seconds, spec.members),
        };
        Options { spec, seed: self.seed, wires: vec![wire], script, proxies: 1 }
    }
}

async fn play(
    options: Options,
    wire: Wire,
    seed: u64,
    rate: f64,
    seconds: f64,
) -> Result<Outcome, TestbenchError> {
    let spec = Rc::new(options.spec.clone());
    let rig = Rig::start(options, rate).await?;
    let plan = plan(&spec, seed, rate, (seconds * SECOND as f64) as i64);
    let (world, clock, address) = (rig.installation.mailbox(), rig.clock, rig.port(wire)?);
    rig.installation.begin().await;
    let classes = load::run(Target { wire, address, spec, clock, world }, plan).await;
    let verdict = rig.installation.verdict().await?;
    rig.proxy.end().await?;
    Ok(Outcome { wire, classes, verdict })
}

/// Returns the compared figures of a class: the percentage served, p50 and p99. Higher percentiles
/// are printed only: they stem from the few requests that met a takeover, and differ as much between two runs
/// of the same protocol (`--control`) as between the protocols.
fn compared_figures(class: &ClassResult) -> [f64; 3] {
    let share = 100.0 * class.served as f64 / class.offered.max(1) as f64;
    [share, class.percentile(50.0), class.percentile(99.0)]
}

/// Returns the difference between two figures, in per cent of the first.
fn difference(first: f64, second: f64) -> f64 {
    if first == second {
        0.0
    } else {
        100.0 * (second - first).abs() / first.abs().max(f64::EPSILON)
    }
}

/// Prints the results. Returns whether they agree and no rule is broken.
fn report(outcomes: &[Outcome]) -> bool {
    let [first, second] = outcomes else { return false };
    let mut rows = Vec::new();
    let mut worst = 0.0_f64;
    for (one, other) in first.classes.iter().zip(&second.classes) {
        for (outcome, class) in [(first, one), (second, other)] {
            rows.push(vec![
                class.name.to_owned(),
                outcome.wire.to_string(),
                class.offered.to_string(),
                class.served.to_string(),
                class.refused.to_string(),
                class.failed.to_string(),
                format!("{:.1}", class.percentile(50.0)),
                format!("{:.1}", class.percentile(99.0)),
                format!("{:.0}", class.percentile(99.9)),
            ]);
        }
        for (one, other) in compared_figures(one).into_iter().zip(compared_figures(other)) {
            worst = worst.max(difference(one, other));
        }
    }
    let head = ["class", "over", "offered", "served", "refused", "failed", "p50 ms", "p99 ms", "p99.9 ms"];
    println!("{}", table::lay_out(&head, &rows));
    let mut rules = Vec::new();
    let mut broken = 0;
    for (one, other) in first.verdict.rules.iter().zip(&second.verdict.rules) {
        broken += one.2 + other.2;
        let cells = [one.1.to_string(), one.2.to_string(), other.1.to_string(), other.2.to_string()];
        rules.push([vec![one.0.to_string()], cells.to_vec()].concat());
    }
    let tried = [first, second].map(|outcome| format!("{}: tried", outcome.wire));
    let head = ["rule", &tried[0], "broken", &tried[1], "broken"];
    println!("{}", table::lay_out(&head, &rules));
    for outcome in outcomes {
        match load::resent(&outcome.classes) {
            0 => {}
            resent => println!("{}: {resent} requests sent again on a new connection", outcome.wire),
        }
        for breach in outcome.verdict.breaches.iter().take(5) {
            println!("{}: {}: {}", outcome.wire, breach.rule, breach.description);
        }
    }
    println!("parity: worst difference {worst:.1}%, rules broken {broken}");
    worst <= MAX_DIFFERENCE_PERCENT && broken == 0
}
