//! `wheelpier-testbench soak`: randomly drawn deployments on real processes of the proxy, under random
//! faults, operator calls and signals, with clients that use each connection until it is closed. All requests
//! and answers are checked on one clock.

mod client;
mod ledger;
mod plan;
mod process;
mod run_queue;

use crate::{runtime, TestbenchError};
use clap::Args;
use ledger::{Findings, ProcessEnd, ProcessRun, SoakChecker};
use plan::{Fault, Order, Plan, Scenario, FAULTS, PAUSE_LENGTH};
use process::{Process, ProcessConfig};
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

/// Requests that are drawn for each second of a run: more than the clients can send.
const DRAWN_PER_SECOND: f64 = 3_000.0;
const ENOUGH_REQUESTS: &str = "more requests are drawn than clients send";
/// The time after an order to stop during which the simulated load balancer still picks the process.
const BALANCER_DELAY: Duration = Duration::from_millis(300);
/// The earliest SIGKILL after SIGTERM comes after the longest deadline of a class plus this time.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// The upper limit of the longest deadline in the time before SIGKILL.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// Tolerance before a process counts as late: its exit is noticed by polling, which is delayed on a busy
/// machine.
const POLL_SLACK: Duration = Duration::from_millis(100);
/// The time after a call to quiesce at which a process may hold no connection.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// The time within which a process has to serve after its start.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// The length of the timer that measures how late timers fire.
const TIMER_INTERVAL: Duration = Duration::from_millis(5);

/// Runs one randomly drawn deployment with random faults for each seed. Exits with status 0 if no rule is
/// broken.
#[derive(Debug, Args)]
pub struct SoakArguments {
    /// The first and the last seed, as 1..50 (both included).
    #[arg(long, value_parser = seeds)]
    seeds: Seeds,
    /// Seconds of each run before all processes get SIGTERM.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(3..=600))]
    seconds: u64,
    /// Processes of each run, instead of the number that the seed draws.
    #[arg(long, value_parser = clap::value_parser!(u16).range(1..=30))]
    processes: Option<u16>,
    /// Draws only faults of these kinds.
    #[arg(long, value_delimiter = ',', value_enum)]
    faults: Vec<Fault>,
    /// Runs this scenario of fixed faults instead of drawn ones.
    #[arg(long, value_enum, conflicts_with = "faults")]
    scenario: Option<Scenario>,
    /// Writes the log of each process to this folder, one file for each seed and process.
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Writes the findings of each seed to this file.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// The first and the last seed of a range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Seeds(u64, u64);

fn seeds(text: &str) -> Result<Seeds, String> {
    let wrong = || format!("`{text}` is not a range of seeds; expected two numbers, as in 1..50");
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
            Some(scenario) => Plan::for_scenario(scenario, seed, processes, span),
            None => Plan::draw(seed, processes, span, faults),
        }
    }

    /// Runs all seeds. Returns whether no rule was broken.
    pub fn run(&self) -> Result<bool, TestbenchError> {
        let Seeds(first, last) = self.seeds;
        let mut all = Findings::default();
        let mut reports = Vec::new();
        for seed in first..=last {
            let plan = self.plan(seed);
            let (findings, logs) = play(&plan, self.logs.as_deref())?;
            let count = findings.all().count();
            println!("seed {seed}: {} requests, {count} findings", findings.requests);
            reports.push(json!({"seed": seed, "requests": findings.requests,
                "findings": findings.all().collect::<Vec<_>>()}));
            if count > 0 {
                println!("{plan}");
                findings.all().for_each(|(rule, what)| println!("  {rule}: {what}"));
                logs.iter().flatten().for_each(|line| println!("  | {line}"));
            }
            all.add(findings);
        }
        if let Some(file) = &self.json {
            std::fs::write(file, serde_json::Value::Array(reports).to_string())?;
        }
        let Findings { requests, lost, duplicated, stale, held, crashes, broken } = &all;
        println!(
            "soak: seeds {}, requests {requests}, lost {}, duplicated {}, stale {}, held {}, \
             crashes {}, broken {}",
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

/// Runs one plan. Returns its findings and the last log lines of each process. If a folder is given, the
/// whole logs are reports to it.
fn play(plan: &Plan, logs: Option<&Path>) -> Result<(Findings, Vec<Vec<String>>), TestbenchError> {
    runtime()?.block_on(LocalSet::new().run_until(run(plan.clone(), logs)))
}

/// The state of a process as the simulated load balancer and the clients see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It serves requests.
    Serving,
    /// It was told to drain or to end at this time.
    Stopping(Instant),
    /// It is not running or not ready yet.
    Down,
}

/// The state of one seed's run, shared by its tasks.
struct Soak {
    plan: Plan,
    clock: Clock,
    world: mpsc::Sender<WorldMessage>,
    checker: RefCell<SoakChecker>,
    addresses: Vec<SocketAddr>,
    /// The state of each process, and the number of its current run.
    states: RefCell<Vec<(State, u32)>>,
    /// The system's process id of each process's current run.
    process_ids: RefCell<Vec<u32>>,
    /// The delays of this program's own timers.
    timers: TimerLateness,
    requests: RefCell<std::vec::IntoIter<Planned>>,
    /// Process runs that were told to drain or end, or have died. Their connections may close with requests
    /// that were never read.
    interrupted: RefCell<Vec<ProcessRun>>,
    /// The number of times that a process became ready.
    starts: Cell<usize>,
    over: Cell<bool>,
}

impl Soak {
    fn is_over(&self) -> bool {
        self.over.get()
    }

    /// Returns whether all processes have started. Clients wait for it, since earlier ones would all stay
    /// with the first process.
    fn all_started(&self) -> bool {
        self.starts.get() >= self.plan.processes
    }

    /// Picks the process for a new connection, as a load balancer would: the first that seems to serve,
    /// counted from the process `first`.
    fn pick_run(&self, first: usize) -> Option<ProcessRun> {
        let states = self.states.borrow();
        (0..states.len()).map(|n| (first + n) % states.len()).find_map(|process| {
            let (state, number) = states[process];
            let accepts = match state {
                State::Serving => true,
                State::Stopping(since) => since.elapsed() < BALANCER_DELAY,
                State::Down => false,
            };
            accepts.then_some(ProcessRun { process, number })
        })
    }

    fn address(&self, run: ProcessRun) -> SocketAddr {
        self.addresses[run.process]
    }

    fn is_interrupted(&self, run: ProcessRun) -> bool {
        self.interrupted.borrow().contains(&run)
    }

    /// Takes the next request. Its session belongs to this process run alone, since a session stays with its
    /// proxy.
    fn next_request(&self, run: ProcessRun) -> Planned {
        let mut requests = self.requests.borrow_mut();
        let mut planned = requests.find(|planned| self.is_sent(planned)).expect(ENOUGH_REQUESTS);
        planned.session += &format!("p{}b{}", run.process, run.number);
        planned
    }

    fn is_sent(&self, planned: &Planned) -> bool {
        let freshness = self.plan.spec.classes[planned.class].freshness;
        !self.plan.bounded_reads_only || matches!(freshness, Freshness::Bounded(_))
    }

    fn current_run(&self, process: usize) -> ProcessRun {
        ProcessRun { process, number: self.states.borrow()[process].1 }
    }

    /// Takes the baseline for the delays of an operation on a process.
    fn delay_baseline(&self, process: usize) -> DelayBaseline {
        DelayBaseline::now(self.process_ids.borrow()[process], &self.timers)
    }

    fn set_state(&self, process: usize, state: State) {
        self.states.borrow_mut()[process].0 = state;
        if state != State::Serving {
            self.interrupted.borrow_mut().push(self.current_run(process));
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
    let mut process_configs = process_configs(&plan, &installation)?;
    for (n, config) in process_configs.iter_mut().enumerate() {
        config.log_file = logs.map(|logs| logs.join(format!("seed-{}-p{n}.log", plan.seed)));
    }
    let drawn = plan.span + Duration::from_secs(5);
    let requests = schedule::plan(&plan.spec, plan.seed, DRAWN_PER_SECOND, drawn.as_micros() as i64);
    let soak = Rc::new(Soak {
        clock,
        world: installation.mailbox(),
        checker: RefCell::default(),
        addresses: process_configs.iter().map(|config| config.listen).collect(),
        states: RefCell::new(vec![(State::Down, 0); plan.processes]),
        process_ids: RefCell::new(vec![0; plan.processes]),
        timers: TimerLateness::default(),
        requests: RefCell::new(requests.into_iter()),
        interrupted: RefCell::default(),
        starts: Cell::new(0),
        over: Cell::new(false),
        plan,
    });
    for process in 0..soak.plan.processes {
        let span = soak.plan.max_pause(process).as_micros() as i64;
        let _ = soak.world.send(WorldMessage::ProcessPauses(process, span)).await;
    }
    installation.begin().await;
    let ends_at = Instant::now() + soak.plan.span;
    let mut processes = Vec::new();
    for (process, config) in process_configs.iter().enumerate() {
        let (soak, config) = (Rc::clone(&soak), config.clone());
        processes.push(tokio::task::spawn_local(run_process(soak, process, config, ends_at)));
    }
    let timers = tokio::task::spawn_local(measure_timers(Rc::clone(&soak)));
    let mut clients = Vec::new();
    for (n, workload) in soak.plan.clients.iter().enumerate() {
        clients.push(tokio::task::spawn_local(client::run_client(Rc::clone(&soak), *workload, n)));
    }
    let mut logs = Vec::new();
    for process in processes {
        logs.push(process.await.map_err(|_| TestbenchError::Ended)??);
    }
    soak.over.set(true);
    for client in clients {
        client.await.map_err(|_| TestbenchError::Ended)?;
    }
    timers.abort();
    let verdict = installation.verdict().await?;
    if soak.plan.bounded_reads_only {
        soak.checker.borrow_mut().check_served_half();
    }
    let mut findings = std::mem::take(&mut soak.checker.borrow_mut().findings);
    for breach in verdict.breaches {
        match breach.rule {
            Rule::Key => findings.duplicated.push(breach.description),
            Rule::Stale => findings.stale.push(breach.description),
            // Checked by `SoakChecker`.
            Rule::Answer => {}
            _ => findings.broken.push(format!("{}: {}", breach.rule, breach.description)),
        }
    }
    for config in process_configs {
        let _ = std::fs::remove_dir_all(config.temporary_folder());
        let _ = std::fs::remove_file(config.config_file);
    }
    Ok((findings, logs))
}

/// Chooses the ports of each process, writes its configuration file and sets its faults.
fn process_configs(plan: &Plan, installation: &Installation) -> Result<Vec<ProcessConfig>, TestbenchError> {
    let program =
        std::env::var_os("WHEELPIER_LAB").map_or_else(std::env::current_exe, |path| Ok(path.into()))?;
    let missing_library = "libwheelpier_faults.so is not beside this program: build the whole workspace";
    let library =
        process::fault_library(&program).ok_or_else(|| TestbenchError::Script(missing_library.to_owned()))?;
    let rate = 200.0 * plan.processes as f64;
    let mut settings = plan.spec.settings(rate);
    settings["balancers"] = json!(plan.processes);
    // A loopback address that only this program uses: at 127.0.0.1 an outgoing connection could take one of
    // these ports between their release here and the start of the process.
    let [.., high, low] = std::process::id().to_be_bytes();
    let address = [127, 32 | (high & 15), low, (plan.seed % 250 + 1) as u8];
    let listeners: Vec<TcpListener> = (0..2 * plan.processes)
        .map(|_| TcpListener::bind(SocketAddr::from((address, 0))))
        .collect::<Result<_, _>>()?;
    let addresses: Vec<SocketAddr> =
        listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
    let process_config = |(n, addresses): (usize, &[SocketAddr])| {
        let config = json!({
            "name": format!("p{n}"), "listen": addresses[0].to_string(), "console": addresses[1].to_string(),
            "discovery": installation.discovery.to_string(), "known": installation.known,
            "seed": format!("{:x}", plan.seed + n as u64), "settings": settings,
            "limits": {"sockets": 512, "memory_mb": 192},
        });
        let name = format!("wheelpier-soak-{}-{}-{n}.json", std::process::id(), addresses[0].port());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, config.to_string())?;
        let config = ProcessConfig {
            program: program.clone(),
            fault_library: library.clone(),
            config_file: file,
            listen: addresses[0],
            console: addresses[1],
            discovery: installation.discovery,
            syscall_faults: plan.syscall_faults[n].clone(),
            log_file: None,
        };
        std::fs::create_dir_all(config.temporary_folder())?;
        Ok(config)
    };
    addresses.chunks_exact(2).enumerate().map(process_config).collect()
}

/// Measures how late timers fire, until the task is aborted.
async fn measure_timers(soak: Rc<Soak>) {
    loop {
        soak.timers.timer_set(TIMER_INTERVAL);
        sleep(TIMER_INTERVAL).await;
        soak.timers.timer_fired();
    }
}

/// Runs one process slot until the end of the soak and carries out its orders. Returns the last log lines of
/// all its process runs.
async fn run_process(
    soak: Rc<Soak>,
    process: usize,
    config: ProcessConfig,
    ends_at: Instant,
) -> Result<Vec<String>, TestbenchError> {
    let mut lines = Vec::new();
    let mut running = start_process(&soak, process, &config).await?;
    let (at, orders) = soak.plan.orders[process].clone();
    sleep(at).await;
    for order in orders {
        carry_out_order(&soak, process, &config, order, &mut running, &mut lines).await?;
    }
    sleep_until(ends_at).await;
    lines.extend(stop_process(&soak, process, &mut running).await);
    Ok(lines)
}

/// Starts a process and waits until it is ready. One that is not ready in time is a finding.
async fn start_process(
    soak: &Soak,
    process: usize,
    config: &ProcessConfig,
) -> Result<Process, TestbenchError> {
    soak.states.borrow_mut()[process].1 += 1;
    let mut started = Process::start(config)?;
    soak.process_ids.borrow_mut()[process] = started.id();
    let (until, baseline) = (Instant::now() + START_TIMEOUT, soak.delay_baseline(process));
    while !is_ready(config.listen).await {
        if Instant::now() >= until || !started.is_running() {
            let mut checker = soak.checker.borrow_mut();
            let process_run = soak.current_run(process);
            checker.not_ready(process_run);
            append_delays(&mut checker.findings.broken, process_run, &baseline.delays(&soak.timers));
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    soak.states.borrow_mut()[process].0 = State::Serving;
    soak.starts.set(soak.starts.get() + 1);
    Ok(started)
}

/// Returns whether an empty query succeeds, as in the health check of a load balancer.
async fn is_ready(address: SocketAddr) -> bool {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let query = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let mut bytes = bytes::BytesMut::new();
        wheelpier_pgwire::startup(&mut bytes, "backend", "store");
        wheelpier_pgwire::query(&mut bytes, b"");
        stream.write_all(&bytes).await.ok()?;
        let mut received = bytes::BytesMut::new();
        loop {
            match client::take_message(&mut received) {
                Some((b'I', _)) => return Some(()),
                Some((b'E', _)) => return None,
                Some(_) => {}
                None if stream.read_buf(&mut received).await.ok()? == 0 => return None,
                None => {}
            }
        }
    };
    timeout(Duration::from_millis(500), query).await.is_ok_and(|ready| ready.is_some())
}

async fn carry_out_order(
    soak: &Soak,
    process: usize,
    config: &ProcessConfig,
    order: Order,
    running: &mut Process,
    lines: &mut Vec<String>,
) -> Result<(), TestbenchError> {
    match order {
        Order::Pause => {
            running.pause(PAUSE_LENGTH).await;
        }
        Order::Quiesce => quiesce(soak, process, running).await,
        Order::QuiesceAgain => {
            running.console_call("quiesce").await;
            sleep(Duration::from_millis(50)).await;
            running.console_call("resume").await;
            quiesce(soak, process, running).await;
        }
        Order::Kill => {
            soak.set_state(process, State::Down);
            lines.extend(running.kill());
            soak.checker.borrow_mut().ended(soak.current_run(process), &ProcessEnd::Killed);
            *running = start_process(soak, process, config).await?;
        }
        Order::Term | Order::HupHupTerm | Order::QuiesceThenTerm => {
            if order == Order::HupHupTerm {
                running.signal("HUP").await;
                running.signal("HUP").await;
            }
            if order == Order::QuiesceThenTerm {
                soak.set_state(process, State::Stopping(Instant::now()));
                running.console_call("quiesce").await;
                sleep(Duration::from_secs(1)).await;
            }
            lines.extend(stop_process(soak, process, running).await);
            *running = start_process(soak, process, config).await?;
        }
    }
    Ok(())
}

/// Quiesces a process by its console, checks 4 s later that it holds no connection, and resumes it.
async fn quiesce(soak: &Soak, process: usize, running: &Process) {
    let ordered_at = Instant::now();
    soak.set_state(process, State::Stopping(ordered_at));
    if !running.console_call("quiesce").await {
        let failure = format!("p{process}: the call to quiesce failed");
        soak.checker.borrow_mut().findings.broken.push(failure);
    }
    sleep_until(ordered_at + DRAIN_TIME).await;
    soak.checker.borrow_mut().check_nothing_held(soak.current_run(process), ordered_at);
    running.console_call("resume").await;
    soak.states.borrow_mut()[process].0 = State::Serving;
}

/// Sends SIGTERM, and SIGKILL at the earliest time at which an operator may send it. Returns the last log
/// lines.
async fn stop_process(soak: &Soak, process: usize, running: &mut Process) -> Vec<String> {
    let max_deadline = soak.plan.spec.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    let max_deadline = Duration::from_micros(max_deadline as u64).min(MAX_DEADLINE);
    let ordered_at = Instant::now();
    soak.set_state(process, State::Stopping(ordered_at));
    let baseline = soak.delay_baseline(process);
    running.signal("TERM").await;
    let deadline = ordered_at + max_deadline + KILL_DELAY + POLL_SLACK;
    let (end, delays, lines) = running.wait_for_exit(deadline, &baseline, &soak.timers).await;
    let process_run = soak.current_run(process);
    soak.states.borrow_mut()[process].0 = State::Down;
    // Clients still read the last answers.
    sleep(Duration::from_millis(200)).await;
    let mut checker = soak.checker.borrow_mut();
    checker.ended(process_run, &end);
    if end == ProcessEnd::Late {
        append_delays(&mut checker.findings.held, process_run, &delays);
    }
    lines
}

/// Appends the measured delays to the last finding.
fn append_delays(found: &mut [String], run: ProcessRun, delays: &Delays) {
    if let Some(last) = found.last_mut() {
        *last += &format!("; p{}.{}, {delays}", run.process, run.number);
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

    /// Guards against a scenario that leaves out a group or loses no answers.
    #[test]
    fn former_primary_scenario_loses_each_primary_and_some_of_its_answers() {
        let plan = Plan::for_scenario(Scenario::FormerPrimary, 1, None, Duration::from_secs(10));
        let script = format!("{:?}", plan.script);
        for group in 0..plan.spec.groups {
            let host = group * plan.spec.members;
            assert!(script.contains(&format!("LostAnswers {{ host: {host},")), "{script}");
            let lost = ["Isolation", "Hang"].map(|fault| format!("{fault} {{ host: {host},"));
            assert!(lost.iter().any(|fault| script.contains(fault)), "{script}");
        }
    }

    /// Guards against pauses and delays that the checker is not told about.
    #[test]
    fn max_pause_counts_stops_and_long_write_delays() {
        let mut plan = Plan::for_scenario(Scenario::FormerPrimary, 1, Some(4), Duration::from_secs(10));
        plan.orders[1].1.push(Order::Pause);
        plan.syscall_faults[2] += ";write:client:hold=150:1/400";
        let spans: Vec<u128> = (0..4).map(|process| plan.max_pause(process).as_millis()).collect();
        assert_eq!(spans, [0, 150, 150, 0]);
    }
}
