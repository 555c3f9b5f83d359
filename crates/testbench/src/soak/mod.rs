//! `wheelpier-testbench soak`: drawn deployments on real processes of the program, under drawn faults, orders and signals, with
//! clients that use their connections until they are ended. What was asked and answered is judged on one clock.

mod client;
mod ledger;
mod plan;
mod process;
mod run_queue;

use crate::{runtime, TestbenchError};
use clap::Args;
use ledger::{Boot, End, Findings, Ledger};
use plan::{Fault, Order, Plan, Scenario, FAULTS, PAUSE};
use process::{Place, Process};
use run_queue::{DelayBaseline, Delays, TimerLateness};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};
use wheelpier_emulator::checker::Rule;
use wheelpier_emulator::net::{Clock, Installation, Options, Wire, WorldMessage};
use wheelpier_emulator::schedule::{self, Planned};
use wheelpier_emulator::spec::Freshness;

/// Requests that are drawn for a second of a run: more than clients ask for.
const DRAWN_A_SECOND: f64 = 3_000.0;
const REQUESTS_SUFFICE: &str = "as many requests as clients ask for";
/// The front knows of an order so much later.
const FRONT_LATER: Duration = Duration::from_millis(300);
/// SIGKILL comes so long after the longest deadline, which counts as so much at the most.
const KILLED: Duration = Duration::from_millis(700);
const LONGEST: Duration = Duration::from_secs(3);
/// What a busy machine adds before a process counts as too late: ends are looked at from outside.
const LOOKED_LATER: Duration = Duration::from_millis(100);
/// After a call to drain nothing may be held from then on.
const HELD: Duration = Duration::from_secs(4);
/// A process serves so long after its start at the latest.
const READY: Duration = Duration::from_secs(10);

/// How often a timer is set to see how late it fires.
const TIMER_INTERVAL: Duration = Duration::from_millis(5);

/// Drawn deployments under drawn faults, one for each seed. Exit status 0 if no rule is broken.
#[derive(Debug, Args)]
pub struct SoakArguments {
    /// Seeds from the first to the last, as 1..50.
    #[arg(long, value_parser = seeds)]
    seeds: Seeds,
    /// Seconds of each run before all processes are told to end.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(3..=600))]
    seconds: u64,
    /// Processes of each run instead of what the seed draws.
    #[arg(long, value_parser = clap::value_parser!(u16).range(1..=30))]
    processes: Option<u16>,
    /// Only faults of these kinds.
    #[arg(long, value_delimiter = ',', value_enum)]
    faults: Vec<Fault>,
    /// Plays this instead of what the seeds draw.
    #[arg(long, value_enum, conflicts_with = "faults")]
    scenario: Option<Scenario>,
    /// Writes what each process logs into files there, by seed and process.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Writes the findings of each seed there.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// A range of seeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Seeds(u64, u64);

fn seeds(text: &str) -> Result<Seeds, String> {
    let wrong = || format!("`{text}` is no range of seeds; allowed are two numbers, as 1..50");
    let (first, last) = text.split_once("..").ok_or_else(wrong)?;
    let (first, last) = (first.parse().map_err(|_| wrong())?, last.parse().map_err(|_| wrong())?);
    if first <= last {
        Ok(Seeds(first, last))
    } else {
        Err(wrong())
    }
}

impl SoakArguments {
    fn plan(&self, seed: u64) -> Plan {
        let (processes, span) = (self.processes.map(usize::from), Duration::from_secs(self.seconds));
        let faults = if self.faults.is_empty() { &FAULTS } else { self.faults.as_slice() };
        match self.scenario {
            Some(scenario) => Plan::of(scenario, seed, processes, span),
            None => Plan::draw(seed, processes, span, faults),
        }
    }

    /// Plays all seeds. Whether no rule was broken.
    pub fn run(&self) -> Result<bool, TestbenchError> {
        let Seeds(first, last) = self.seeds;
        let mut all = Findings::default();
        let mut written = Vec::new();
        for seed in first..=last {
            let plan = self.plan(seed);
            let (findings, logs) = play(&plan, self.logs.as_deref())?;
            let count = findings.all().count();
            println!("seed {seed}: {} requests, {count} findings", findings.requests);
            written.push(json!({"seed": seed, "requests": findings.requests,
                "findings": findings.all().collect::<Vec<_>>()}));
            if count > 0 {
                println!("{plan}");
                findings.all().for_each(|(rule, what)| println!("  {rule}: {what}"));
                logs.iter().flatten().for_each(|line| println!("  | {line}"));
            }
            all.add(findings);
        }
        if let Some(file) = &self.json {
            std::fs::write(file, serde_json::Value::Array(written).to_string())?;
        }
        let Findings { requests, lost, duplicated, stale, held, crashes, broken } = &all;
        println!(
            "soak: seeds {}, requests {requests}, lost {}, duplicated {}, stale {}, held {}, crashes {}, broken {}",
            last - first + 1,
            lost.len(),
            duplicated.len(),
            stale.len(),
            held.len(),
            crashes.len(),
            broken.len()
        );
        Ok(all.is_clean())
    }
}

/// Plays one plan; what was found, and the last lines of each process. All of them go into files there, if one is named.
fn play(plan: &Plan, logs: Option<&Path>) -> Result<(Findings, Vec<Vec<String>>), TestbenchError> {
    runtime()?.block_on(LocalSet::new().run_until(run(plan.clone(), logs)))
}

/// What a process is doing, as the front and the clients know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It serves.
    Serving,
    /// It was told to drain or to end, at that moment.
    Ordered(Instant),
    /// It does not run, or not yet.
    Away,
}

/// A run, shared by its clients.
struct Soak {
    plan: Plan,
    clock: Clock,
    world: mpsc::Sender<WorldMessage>,
    ledger: RefCell<Ledger>,
    addresses: Vec<SocketAddr>,
    states: RefCell<Vec<(State, u32)>>,
    /// What the system calls each process's last boot.
    process_ids: RefCell<Vec<u32>>,
    /// How late this program's own timers are.
    timers: TimerLateness,
    requests: RefCell<std::vec::IntoIter<Planned>>,
    /// Boots whose connections may end with what was not read: told to go, or dead.
    excused: RefCell<Vec<Boot>>,
    /// How often a process has become ready.
    starts: Cell<usize>,
    over: Cell<bool>,
}

impl Soak {
    fn is_over(&self) -> bool {
        self.over.get()
    }

    /// Whether all processes have become ready once: clients that came before would all stay with the first.
    fn has_started(&self) -> bool {
        self.starts.get() >= self.plan.processes
    }

    /// Where the front sends a new connection now.
    fn front(&self, at: usize) -> Option<Boot> {
        let states = self.states.borrow();
        (0..states.len()).map(|n| (at + n) % states.len()).find_map(|process| {
            let (state, number) = states[process];
            let takes = match state {
                State::Serving => true,
                State::Ordered(at) => at.elapsed() < FRONT_LATER,
                State::Away => false,
            };
            takes.then_some(Boot { process, number })
        })
    }

    fn address(&self, boot: Boot) -> SocketAddr {
        self.addresses[boot.process]
    }

    fn is_excused(&self, boot: Boot) -> bool {
        self.excused.borrow().contains(&boot)
    }

    /// The next request; its session is of that boot alone, as sessions stay with their proxy.
    fn next_request(&self, boot: Boot) -> Planned {
        let mut requests = self.requests.borrow_mut();
        let mut planned = requests.find(|planned| self.is_asked(planned)).expect(REQUESTS_SUFFICE);
        planned.session += &format!("p{}b{}", boot.process, boot.number);
        planned
    }

    fn is_asked(&self, planned: &Planned) -> bool {
        let freshness = self.plan.spec.classes[planned.class].freshness;
        !self.plan.bounded_reads_only || matches!(freshness, Freshness::Bounded(_))
    }

    fn boot(&self, process: usize) -> Boot {
        Boot { process, number: self.states.borrow()[process].1 }
    }

    /// The start of what is judged of a process from now on.
    fn start_of(&self, process: usize) -> DelayBaseline {
        DelayBaseline::now(self.process_ids.borrow()[process], &self.timers)
    }

    fn set(&self, process: usize, state: State) {
        self.states.borrow_mut()[process].0 = state;
        if state != State::Serving {
            self.excused.borrow_mut().push(self.boot(process));
        }
    }
}

#[expect(clippy::too_many_lines)]
async fn run(plan: Plan, logs: Option<&Path>) -> Result<(Findings, Vec<Vec<String>>), TestbenchError> {
    let clock = Clock::start();
    let options = Options {
        spec: plan.spec.clone(),
        seed: plan.seed,
        wires: vec![Wire::Postgres],
        script: plan.script.clone(),
        proxies: plan.processes,
    };
    let installation = Installation::start(options, clock).await?;
    let mut places = places(&plan, &installation)?;
    for (n, place) in places.iter_mut().enumerate() {
        place.log = logs.map(|logs| logs.join(format!("seed-{}-p{n}.log", plan.seed)));
    }
    let drawn = plan.span + Duration::from_secs(5);
    let requests = schedule::plan(&plan.spec, plan.seed, DRAWN_A_SECOND, drawn.as_micros() as i64);
    let soak = Rc::new(Soak {
        clock,
        world: installation.mailbox(),
        ledger: RefCell::default(),
        addresses: places.iter().map(|place| place.clients).collect(),
        states: RefCell::new(vec![(State::Away, 0); plan.processes]),
        process_ids: RefCell::new(vec![0; plan.processes]),
        timers: TimerLateness::default(),
        requests: RefCell::new(requests.into_iter()),
        excused: RefCell::default(),
        starts: Cell::new(0),
        over: Cell::new(false),
        plan,
    });
    for process in 0..soak.plan.processes {
        let span = soak.plan.hold_up(process).as_micros() as i64;
        let _ = soak.world.send(WorldMessage::ProcessPauses(process, span)).await;
    }
    installation.begin().await;
    let ends_at = Instant::now() + soak.plan.span;
    let mut lives = Vec::new();
    for (process, place) in places.iter().enumerate() {
        let (soak, place) = (Rc::clone(&soak), place.clone());
        lives.push(tokio::task::spawn_local(live(soak, process, place, ends_at)));
    }
    let timers = tokio::task::spawn_local(watch_timers(Rc::clone(&soak)));
    let mut clients = Vec::new();
    for (n, habit) in soak.plan.clients.iter().enumerate() {
        clients.push(tokio::task::spawn_local(client::live(Rc::clone(&soak), *habit, n)));
    }
    let mut logs = Vec::new();
    for life in lives {
        logs.push(life.await.map_err(|_| TestbenchError::Ended)??);
    }
    soak.over.set(true);
    for client in clients {
        client.await.map_err(|_| TestbenchError::Ended)?;
    }
    timers.abort();
    let verdict = installation.verdict().await?;
    if soak.plan.bounded_reads_only {
        soak.ledger.borrow_mut().most_served();
    }
    let mut findings = std::mem::take(&mut soak.ledger.borrow_mut().findings);
    for breach in verdict.breaches {
        match breach.rule {
            Rule::Key => findings.duplicated.push(breach.what),
            Rule::Stale => findings.stale.push(breach.what),
            // Judged by the ledger.
            Rule::Answer => {}
            _ => findings.broken.push(format!("{}: {}", breach.rule, breach.what)),
        }
    }
    for place in places {
        let _ = std::fs::remove_file(place.file);
    }
    Ok((findings, logs))
}

/// Ports, files and faults of each process.
fn places(plan: &Plan, installation: &Installation) -> Result<Vec<Place>, TestbenchError> {
    let program =
        std::env::var_os("WHEELPIER_LAB").map_or_else(std::env::current_exe, |path| Ok(path.into()))?;
    let lacks = "libwheelpier_faults.so is not beside this program: build the whole workspace";
    let library = process::library(&program).ok_or_else(|| TestbenchError::Script(lacks.to_owned()))?;
    let rate = 200.0 * plan.processes as f64;
    let mut settings = plan.spec.settings(rate);
    settings["balancers"] = json!(plan.processes);
    // An address of this program's own: at 127.0.0.1 an outgoing connection may take a port that was just let go.
    let [.., high, low] = std::process::id().to_be_bytes();
    let own = [127, 32 | (high & 15), low, (plan.seed % 250 + 1) as u8];
    let held: Vec<TcpListener> = (0..2 * plan.processes)
        .map(|_| TcpListener::bind(SocketAddr::from((own, 0))))
        .collect::<Result<_, _>>()?;
    let ports: Vec<SocketAddr> = held.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
    let place = |(n, ports): (usize, &[SocketAddr])| {
        let config = json!({
            "name": format!("p{n}"), "listen": ports[0].to_string(), "console": ports[1].to_string(),
            "discovery": installation.discovery.to_string(), "known": installation.known,
            "seed": format!("{:x}", plan.seed + n as u64), "settings": settings,
            "limits": {"sockets": 512, "memory_mb": 192},
        });
        let name = format!("wheelpier-soak-{}-{}-{n}.json", std::process::id(), ports[0].port());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, config.to_string())?;
        Ok(Place {
            program: program.clone(),
            library: library.clone(),
            file,
            clients: ports[0],
            console: ports[1],
            discovery: installation.discovery,
            calls: plan.calls[n].clone(),
            log: None,
        })
    };
    ports.chunks_exact(2).enumerate().map(place).collect()
}

/// Notes how late timers fire, until it is ended.
async fn watch_timers(soak: Rc<Soak>) {
    loop {
        soak.timers.timer_set(TIMER_INTERVAL);
        sleep(TIMER_INTERVAL).await;
        soak.timers.timer_fired();
    }
}

/// One process from its first start to the end of the run, under its orders; the last lines of all its boots.
async fn live(
    soak: Rc<Soak>,
    process: usize,
    place: Place,
    ends_at: Instant,
) -> Result<Vec<String>, TestbenchError> {
    let mut lines = Vec::new();
    let mut running = begin(&soak, process, &place).await?;
    let (at, orders) = soak.plan.orders[process].clone();
    sleep(at).await;
    for order in orders {
        carry_out(&soak, process, &place, order, &mut running, &mut lines).await?;
    }
    sleep_until(ends_at).await;
    lines.extend(leave(&soak, process, &mut running).await);
    Ok(lines)
}

async fn begin(soak: &Soak, process: usize, place: &Place) -> Result<Process, TestbenchError> {
    soak.states.borrow_mut()[process].1 += 1;
    let mut started = Process::start(place)?;
    soak.process_ids.borrow_mut()[process] = started.id();
    let (until, start) = (Instant::now() + READY, soak.start_of(process));
    while !is_ready(place.clients).await {
        if Instant::now() >= until || !started.runs() {
            let mut ledger = soak.ledger.borrow_mut();
            let boot = soak.boot(process);
            ledger.not_ready(boot);
            add_evidence(&mut ledger.findings.broken, boot, &start.delays(&soak.timers));
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    soak.states.borrow_mut()[process].0 = State::Serving;
    soak.starts.set(soak.starts.get() + 1);
    Ok(started)
}

/// Whether the empty query, the front's check, hears yes.
async fn is_ready(address: SocketAddr) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let check = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let mut bytes = bytes::BytesMut::new();
        wheelpier_pgwire::startup(&mut bytes, "backend", "store");
        wheelpier_pgwire::query(&mut bytes, b"");
        stream.write_all(&bytes).await.ok()?;
        let mut heard = bytes::BytesMut::new();
        loop {
            match client::take_message(&mut heard) {
                Some((b'I', _)) => return Some(()),
                Some((b'E', _)) => return None,
                Some(_) => {}
                None if stream.read_buf(&mut heard).await.ok()? == 0 => return None,
                None => {}
            }
        }
    };
    timeout(Duration::from_millis(500), check).await.is_ok_and(|ready| ready.is_some())
}

async fn carry_out(
    soak: &Soak,
    process: usize,
    place: &Place,
    order: Order,
    running: &mut Process,
    lines: &mut Vec<String>,
) -> Result<(), TestbenchError> {
    match order {
        Order::Pause => {
            running.pause(PAUSE).await;
        }
        Order::Quiesce => quiesce(soak, process, running).await,
        Order::QuiesceAgain => {
            running.call("quiesce").await;
            sleep(Duration::from_millis(50)).await;
            running.call("resume").await;
            quiesce(soak, process, running).await;
        }
        Order::Kill => {
            soak.set(process, State::Away);
            lines.extend(running.kill());
            soak.ledger.borrow_mut().ended(soak.boot(process), &End::Killed);
            *running = begin(soak, process, place).await?;
        }
        Order::Term | Order::HupHupTerm | Order::QuiesceThenTerm => {
            if order == Order::HupHupTerm {
                running.signal("HUP").await;
                running.signal("HUP").await;
            }
            if order == Order::QuiesceThenTerm {
                soak.set(process, State::Ordered(Instant::now()));
                running.call("quiesce").await;
                sleep(Duration::from_secs(1)).await;
            }
            lines.extend(leave(soak, process, running).await);
            *running = begin(soak, process, place).await?;
        }
    }
    Ok(())
}

/// A drain by the console and back; nothing may be held 4 s after the call.
async fn quiesce(soak: &Soak, process: usize, running: &Process) {
    let ordered = Instant::now();
    soak.set(process, State::Ordered(ordered));
    if !running.call("quiesce").await {
        soak.ledger.borrow_mut().findings.broken.push(format!("p{process} does not answer its console"));
    }
    sleep_until(ordered + HELD).await;
    soak.ledger.borrow_mut().nothing_held(soak.boot(process), ordered);
    running.call("resume").await;
    soak.states.borrow_mut()[process].0 = State::Serving;
}

/// SIGTERM, and SIGKILL at the earliest that it may come; its last lines.
async fn leave(soak: &Soak, process: usize, running: &mut Process) -> Vec<String> {
    let longest = soak.plan.spec.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    let longest = Duration::from_micros(longest as u64).min(LONGEST);
    let ordered = Instant::now();
    soak.set(process, State::Ordered(ordered));
    let start = soak.start_of(process);
    running.signal("TERM").await;
    let latest = ordered + longest + KILLED + LOOKED_LATER;
    let (end, delays, lines) = running.leaves(latest, &start, &soak.timers).await;
    let boot = soak.boot(process);
    soak.states.borrow_mut()[process].0 = State::Away;
    // What it has answered is on its way to the clients that still read.
    sleep(Duration::from_millis(200)).await;
    let mut ledger = soak.ledger.borrow_mut();
    ledger.ended(boot, &end);
    if end == End::Late {
        add_evidence(&mut ledger.findings.held, boot, &delays);
    }
    lines
}

/// Says of the last finding where the time went.
fn add_evidence(found: &mut [String], boot: Boot, delays: &Delays) {
    if let Some(last) = found.last_mut() {
        *last += &format!("; p{}.{}, {delays}", boot.process, boot.number);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn seeds_are_a_range() {
        assert_eq!(seeds("1..50"), Ok(Seeds(1, 50)));
        for wrong in ["", "5", "9..1", "a..b", "1..2..3"] {
            assert!(seeds(wrong).is_err(), "{wrong}");
        }
    }

    #[test]
    fn a_seed_draws_the_same_run() {
        let drawn = |faults: &[Fault]| format!("{:?}", Plan::draw(7, None, Duration::from_secs(5), faults));
        assert_eq!(drawn(&FAULTS), drawn(&FAULTS));
        assert_ne!(drawn(&FAULTS), drawn(&[]));
        let calm = Plan::draw(7, None, Duration::from_secs(5), &[]);
        assert!(calm.orders.iter().all(|(_, orders)| orders.is_empty()) && calm.script.next().is_none());
        assert_eq!(calm.clients.len(), 6 * calm.processes);
    }

    /// Guards against a scenario that misses a group, or whose answers all arrive.
    #[test]
    fn the_scenario_loses_the_primary_of_each_group_and_answers_of_it() {
        let plan = Plan::of(Scenario::FormerPrimary, 1, None, Duration::from_secs(10));
        let script = format!("{:?}", plan.script);
        for group in 0..plan.spec.groups {
            let host = group * plan.spec.members;
            assert!(script.contains(&format!("LostAnswers {{ host: {host},")), "{script}");
            let lost = ["Isolation", "Hang"].map(|fault| format!("{fault} {{ host: {host},"));
            assert!(lost.iter().any(|fault| script.contains(fault)), "{script}");
        }
    }

    /// Guards against hold-ups that the checker does not know of.
    #[test]
    fn stops_and_long_hold_ups_are_named() {
        let mut plan = Plan::of(Scenario::FormerPrimary, 1, Some(4), Duration::from_secs(10));
        plan.orders[1].1.push(Order::Pause);
        plan.calls[2] += ";write:client:hold=150:1/400";
        let spans: Vec<u128> = (0..4).map(|process| plan.hold_up(process).as_millis()).collect();
        assert_eq!(spans, [0, 150, 150, 0]);
    }
}
