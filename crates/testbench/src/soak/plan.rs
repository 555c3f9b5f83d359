//! The plan of one seed: a deployment, system-call faults for each process, orders to processes (signals and
//! operator calls), faults of hosts, and clients with their workloads. A plan is drawn before its run starts,
//! so that each seed can be replayed by itself.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::time::Duration;
use wheelpier_emulator::host::Delivery;
use wheelpier_emulator::script::Script;
use wheelpier_emulator::spec::Spec;
use wheelpier_emulator::world::HostFault;
use wheelpier_emulator::{Micros, SECOND};

/// A kind of fault. Kinds can be left out, to reduce a failing seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Fault {
    /// System calls of the processes fail.
    Calls,
    /// The wall clock of a process is wrong, or steps.
    Clock,
    /// Processes are delayed after writes, or stopped for a moment.
    Pauses,
    /// Processes get operator calls and signals.
    Orders,
    /// Processes are killed with SIGKILL, without a SIGTERM first.
    Kills,
    /// Hosts die, hang, drain, lag and answer with errors.
    Hosts,
    /// Hosts are isolated and return, and answers get lost in the network.
    Network,
    /// Many idle clients are connected.
    Crowd,
}

/// All kinds of faults.
pub const FAULTS: [Fault; 8] = [
    Fault::Calls,
    Fault::Clock,
    Fault::Pauses,
    Fault::Orders,
    Fault::Kills,
    Fault::Hosts,
    Fault::Network,
    Fault::Crowd,
];

/// A run with fixed faults. Only the requests differ from seed to seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Scenario {
    /// Each group loses its primary for two seconds while its replicas stop applying the log. The primary
    /// returns as a replica that applies nothing either and loses some of its answers; no new primary is
    /// elected for 30 s. Clients send requests rarely.
    FormerPrimary,
    /// The only fault is wrong clocks. Clients send only bounded reads, and each process has to serve them.
    ClockOffReadsOnly,
    /// Processes whose clocks are some seconds behind are restarted when the replicas lag by the same amount.
    LagLikeTheClock,
}

/// An order to a process: a signal or an operator call. The orders of a process are carried out one after the
/// other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Quiesces the process by the console, checks 4 s later that it holds no connection, and resumes it.
    Quiesce,
    /// Quiesces and resumes the process at once, then continues as `Quiesce`.
    QuiesceAgain,
    /// Sends SIGHUP twice (two configuration reloads) and SIGTERM, then SIGKILL at the earliest time at which
    /// an operator may send it, and restarts the process.
    HupHupTerm,
    /// Quiesces the process by the console, sends SIGTERM a second later, and continues as `HupHupTerm`.
    QuiesceThenTerm,
    /// Sends SIGTERM, and continues as `HupHupTerm`.
    Term,
    /// Sends SIGSTOP, and SIGCONT 0.15 s later.
    Pause,
    /// Sends SIGKILL and restarts the process.
    Kill,
}

/// The way in which a client uses its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// Sends a request, waits for the answer, and pauses for some milliseconds.
    Steady,
    /// Sends about one request a second, so that its process learns nothing about the hosts in between.
    Infrequent,
    /// Sends the next request as soon as it has the answer.
    BackToBack,
    /// Sends a request every 15 ms without waiting for answers.
    Pipelined,
    /// Writes each statement in two pieces: the second piece of one is followed at once by the first of the
    /// next.
    SplitStatements,
    /// Sends one request and stays idle until the process closes the connection.
    Idle,
    /// Sends invalid statements or empty queries, and reads no answers.
    Malformed,
}

/// The run of one seed.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub spec: Spec,
    pub processes: usize,
    pub span: Duration,
    /// The system-call faults of each process, in the language of `WHEELPIER_FAULTS` (see `crates/faults`).
    pub syscall_faults: Vec<String>,
    /// For each process, the time of its first order and all its orders.
    pub orders: Vec<(Duration, Vec<Order>)>,
    pub script: Script,
    pub clients: Vec<Workload>,
    /// Whether clients send only bounded reads, which have to be served.
    pub bounded_reads_only: bool,
}

/// The sets of system-call faults that a process may get, one of which is drawn.
const SYSCALL_FAULTS: [&str; 10] = [
    "wait::EINTR:1/4",
    "read::EINTR:1/5;write::EINTR:1/5",
    "read:client:short:1/3;write:client:short:1/5",
    "read:host:short:1/3;write:host:short:1/5",
    "read:discovery:short:1/3;read:console:short:1/3",
    "accept4:client:ECONNABORTED:1/4;accept4:client:EPROTO:1/5",
    "accept4:client:ENFILE:1/5;accept4:console:EMFILE:1/5",
    "connect:host:EADDRNOTAVAIL:1/6;connect:discovery:ENOBUFS:1/3",
    "connect:host:ECONNREFUSED:1/12;connect:host:EHOSTUNREACH:1/12",
    "read:host:ETIMEDOUT:1/400;write:host:EPIPE:1/400",
];

/// Steps of a process's wall clock in milliseconds, from a usual difference between two machines to an hour.
const CLOCK_STEPS_MS: [i64; 9] = [-3_600_000, -5_000, -2_000, -1_500, -20, 20, 2_000, 5_000, 3_600_000];
/// Clock steps of the processes in `Scenario::ClockOffReadsOnly`, in milliseconds.
const SCENARIO_CLOCK_STEPS_MS: [i64; 6] = [-20, 20, -1_500, -5_000, 5_000, 0];
/// The factor by which a stalled replica applies the log more slowly.
const STALLED_LAG_FACTOR: f64 = 1_000.0;
/// The length of a pause of a process. `LONG_WRITE_DELAY` delays one write in 400 by the same 150 ms.
pub const PAUSE_LENGTH: Duration = Duration::from_millis(150);
/// A system-call fault that delays a few writes to clients for long.
const LONG_WRITE_DELAY: &str = "write:client:hold=150:1/400";
/// Clients for each process, apart from additional idle clients.
pub const CLIENTS_PER_PROCESS: usize = 6;
/// A duration longer than any run, for faults that do not end.
const FOREVER: Micros = 3_600 * SECOND;

impl Plan {
    /// Draws the plan of a seed, with faults of the given kinds only.
    pub fn draw(seed: u64, processes: Option<usize>, span: Duration, faults: &[Fault]) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let has = |fault: Fault| faults.contains(&fault);
        let spec = if random.random_bool(0.5) { Spec::sapporo() } else { Spec::tip_ledger() };
        let drawn = random.random_range(3..=5);
        let processes = processes.unwrap_or(drawn);
        let syscall_faults = (0..processes).map(|_| draw_syscall_faults(&mut random, &has)).collect();
        let orders = (0..processes).map(|n| draw_orders(&mut random, n, span, &has)).collect();
        let mut script = draw_script(&mut random, &spec, span, has(Fault::Hosts));
        let crowd = has(Fault::Crowd) && random.random_bool(0.25);
        let workloads = [
            Workload::Steady,
            Workload::BackToBack,
            Workload::Pipelined,
            Workload::SplitStatements,
            Workload::Idle,
            Workload::Malformed,
        ];
        let mut clients: Vec<Workload> =
            workloads.iter().copied().cycle().take(CLIENTS_PER_PROCESS * processes).collect();
        if has(Fault::Network) && random.random_bool(0.6) {
            script = draw_former_primaries(&mut random, script, &spec, span);
            if random.random_bool(0.5) {
                clients.fill(Workload::Infrequent);
            }
        }
        clients.extend(std::iter::repeat_n(Workload::Idle, if crowd { 20 * processes } else { 0 }));
        Self {
            seed,
            spec,
            processes,
            span,
            syscall_faults,
            orders,
            script,
            clients,
            bounded_reads_only: false,
        }
    }
}

impl Plan {
    /// Returns the longest time for which a process is stopped or delayed, and cannot read what it receives.
    pub fn max_pause(&self, process: usize) -> Duration {
        let is_stopped = self.orders[process].1.contains(&Order::Pause);
        let is_delayed = self.syscall_faults[process].contains(LONG_WRITE_DELAY);
        PAUSE_LENGTH * (u32::from(is_stopped) + u32::from(is_delayed))
    }

    /// Returns the plan of a scenario. The seed draws only the requests.
    pub fn for_scenario(scenario: Scenario, seed: u64, processes: Option<usize>, span: Duration) -> Self {
        let base = Self::empty(seed, processes.unwrap_or(SCENARIO_PROCESSES), span);
        match scenario {
            Scenario::FormerPrimary => base.with_former_primaries(),
            Scenario::ClockOffReadsOnly => base.with_clocks_off(),
            Scenario::LagLikeTheClock => base.with_lag_like_the_clock(),
        }
    }

    fn empty(seed: u64, processes: usize, span: Duration) -> Self {
        Self {
            seed,
            spec: Spec::tip_ledger(),
            processes,
            span,
            syscall_faults: vec![format!("seed={seed}"); processes],
            orders: vec![(Duration::ZERO, Vec::new()); processes],
            script: Script::empty(),
            clients: vec![Workload::Infrequent; CLIENTS_PER_PROCESS * processes],
            bounded_reads_only: false,
        }
    }

    fn with_former_primaries(self) -> Self {
        let spec = Spec { detection_delay: (SECOND, SECOND), election_delay: NO_PRIMARY_FOR, ..self.spec };
        Self { script: former_primary_script(&spec), spec, ..self }
    }

    fn with_clocks_off(mut self) -> Self {
        for (syscall_faults, step_ms) in
            self.syscall_faults.iter_mut().zip(SCENARIO_CLOCK_STEPS_MS.iter().cycle())
        {
            *syscall_faults += &format!(";clock::step={step_ms}@0:1/1");
        }
        Self { spec: Spec::sapporo(), bounded_reads_only: true, ..self }
    }

    fn with_lag_like_the_clock(mut self) -> Self {
        for (process, syscall_faults) in self.syscall_faults.iter_mut().enumerate() {
            let clock_lag = MIN_CLOCK_LAG + CLOCK_LAG_STEP * process as u32;
            *syscall_faults += &format!(";clock::step=-{}@0:1/1", clock_lag.as_millis());
        }
        let groups = 0..self.spec.groups;
        let script =
            groups.fold(Script::empty(), |script, group| stall_replication(script, &self.spec, group, 0.0));
        let orders = vec![(RESTART_AT, vec![Order::Kill]); self.processes];
        let clients = vec![Workload::Steady; self.clients.len()];
        Self { script, orders, clients, ..self }
    }
}

fn draw_syscall_faults(random: &mut ChaCha8Rng, has: &impl Fn(Fault) -> bool) -> String {
    let mut rules = vec![format!("seed={}", random.next_u64() >> 1)];
    if random.random_bool(0.7) && has(Fault::Calls) {
        rules.push(SYSCALL_FAULTS[random.random_range(0..SYSCALL_FAULTS.len())].to_owned());
    }
    if random.random_bool(0.4) && has(Fault::Clock) {
        let step_ms = CLOCK_STEPS_MS[random.random_range(0..CLOCK_STEPS_MS.len())];
        let from = [0, 2_000][random.random_range(0..2)];
        rules.push(format!("clock::step={step_ms}@{from}:1/1"));
    }
    if random.random_bool(0.4) && has(Fault::Pauses) {
        rules.push(["write:client:hold=1:1/2", LONG_WRITE_DELAY][random.random_range(0..2)].to_owned());
    }
    rules.join(";")
}

fn draw_orders(
    random: &mut ChaCha8Rng,
    process: usize,
    span: Duration,
    has: &impl Fn(Fault) -> bool,
) -> (Duration, Vec<Order>) {
    let at = Duration::from_millis(500 + random.random_range(0..(span.as_millis() as u64 / 3).max(1)));
    let choice = random.random_range(0..7);
    let orders = match choice {
        // The first process always stays up, so that clients find one that serves.
        _ if process == 0 => vec![Order::Pause],
        0 => vec![Order::Quiesce],
        1 => vec![Order::QuiesceAgain],
        2 => vec![Order::HupHupTerm],
        3 => vec![Order::QuiesceThenTerm],
        4 => vec![Order::Term],
        5 => vec![Order::Kill],
        _ => vec![Order::Pause, Order::Pause, Order::Quiesce],
    };
    let allowed = orders.into_iter().filter(|order| match order {
        Order::Pause => has(Fault::Pauses),
        Order::Kill => has(Fault::Kills),
        _ => has(Fault::Orders),
    });
    (at, allowed.collect())
}

fn draw_script(random: &mut ChaCha8Rng, spec: &Spec, span: Duration, wanted: bool) -> Script {
    let mut script = Script::empty();
    if !wanted {
        return script;
    }
    for _ in 0..random.random_range(1..=3) {
        let host = random.random_range(0..spec.groups * spec.members);
        let seconds = random.random_range(0.2..span.as_secs_f64() * 0.6);
        let length = (random.random_range(0.5..3.0) * SECOND as f64) as i64;
        let fault = match random.random_range(0..5) {
            0 => HostFault::Death { host, span: length },
            1 => HostFault::Hang { host, span: length },
            2 => HostFault::Drain { host, span: length },
            3 => HostFault::Lag { host, times: 8.0, span: length },
            _ => HostFault::FastErrors { host, share: 0.3, span: length },
        };
        script = script.then(seconds, fault);
    }
    if random.random_bool(0.3) {
        let group = random.random_range(0..spec.groups);
        let start_s = random.random_range(0.2..span.as_secs_f64() * 0.3);
        let seconds = random.random_range(3.0..8.0);
        script = stop_primary(script, spec, group, start_s, seconds);
    }
    script
}

/// Stops a group's first primary for a while, during which its replicas apply no log. It returns as a
/// replica.
fn stop_primary(mut script: Script, spec: &Spec, group: usize, start_s: f64, seconds: f64) -> Script {
    let length = (seconds * SECOND as f64) as i64;
    let primary = group * spec.members;
    for host in primary + 1..primary + spec.members {
        script = script.then(start_s, HostFault::Lag { host, times: STALLED_LAG_FACTOR, span: length });
    }
    script.then(start_s, HostFault::Death { host: primary, span: length })
}

/// Draws faults in which groups lose their first primary for some seconds while their replicas apply no log.
/// The former primary returns as a replica that applies no log either, and some of its answers get lost in
/// the network.
fn draw_former_primaries(random: &mut ChaCha8Rng, mut script: Script, spec: &Spec, span: Duration) -> Script {
    for group in 0..spec.groups {
        let start_s = random.random_range(1.0..span.as_secs_f64() * 0.4);
        let lost = (random.random_range(0.3..3.5) * SECOND as f64) as Micros;
        let share = [0.3, 0.7, 1.0][random.random_range(0..3)];
        let delivery = [Delivery::Silence, Delivery::Reset][random.random_range(0..2)];
        let hangs = random.random_bool(0.3);
        if random.random_bool(0.7) {
            let host = group * spec.members;
            let outage = match hangs {
                true => HostFault::Hang { host, span: lost },
                false => HostFault::Isolation { host, span: lost },
            };
            let losses = HostFault::LostAnswers { host, share, delivery, span: FOREVER };
            script =
                stall_replication(script, spec, group, start_s).then(start_s, outage).then(start_s, losses);
        }
    }
    script
}

/// The time at which the scenario's primaries are lost, in seconds from the start of the run, and for how
/// long.
const PRIMARY_LOST_AT_S: f64 = 1.0;
const PRIMARY_LOST_FOR: Micros = 2 * SECOND;
/// Each process probes the hosts by itself: more processes make it more likely that one meets the fault.
const SCENARIO_PROCESSES: usize = 6;
/// The time after their start at which all processes of a scenario are killed and restarted.
const RESTART_AT: Duration = Duration::from_secs(4);
/// The lag of the first process's clock behind the hosts' clock, and the additional lag of each further
/// process. The lags differ so that one of them equals that of the replicas when the processes are restarted.
const MIN_CLOCK_LAG: Duration = Duration::from_millis(3_600);
const CLOCK_LAG_STEP: Duration = Duration::from_millis(150);
/// The shortest and the longest time for which a group of the scenario has no primary.
const NO_PRIMARY_FOR: (Micros, Micros) = (30 * SECOND, 31 * SECOND);

fn former_primary_script(spec: &Spec) -> Script {
    let mut script = Script::empty();
    for group in 0..spec.groups {
        let host = group * spec.members;
        let outage = match group % 3 {
            2 => HostFault::Hang { host, span: PRIMARY_LOST_FOR },
            _ => HostFault::Isolation { host, span: PRIMARY_LOST_FOR },
        };
        let (share, delivery) = [(1.0, Delivery::Silence), (0.5, Delivery::Reset)][group % 2];
        let losses = HostFault::LostAnswers { host, share, delivery, span: FOREVER };
        script = stall_replication(script, spec, group, PRIMARY_LOST_AT_S);
        script = script.then(PRIMARY_LOST_AT_S, outage).then(PRIMARY_LOST_AT_S, losses);
    }
    script
}

/// Makes all members of a group apply almost none of the log from `start_s` on.
fn stall_replication(mut script: Script, spec: &Spec, group: usize, start_s: f64) -> Script {
    for host in group * spec.members..(group + 1) * spec.members {
        script = script.then(start_s, HostFault::Lag { host, times: STALLED_LAG_FACTOR, span: FOREVER });
    }
    script
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (crowd, span) = (self.clients.len() - CLIENTS_PER_PROCESS * self.processes, self.span.as_secs());
        writeln!(
            f,
            "seed {}: {} on {} processes, {span} s, {crowd} additional idle clients",
            self.seed, self.spec.name, self.processes
        )?;
        for (n, (at, orders)) in self.orders.iter().enumerate() {
            writeln!(
                f,
                "  p{n}: {orders:?} from {} ms on; calls {}",
                at.as_millis(),
                self.syscall_faults[n]
            )?;
        }
        write!(f, "  hosts: {:?}", self.script)
    }
}
