//! What one seed stands for: a deployment, faults of system calls for each process, orders to processes, faults at hosts
//! and clients with their habits. Drawn ahead, so that a seed can be played again alone.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::time::Duration;
use wheelpier_emulator::host::Delivery;
use wheelpier_emulator::script::Script;
use wheelpier_emulator::spec::Spec;
use wheelpier_emulator::world::HostFault;
use wheelpier_emulator::{Micros, SECOND};

/// A kind of fault that may be left out, to make a failing seed smaller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Fault {
    /// System calls of the processes fail.
    Calls,
    /// The wall clock of a process is off, or steps.
    Clock,
    /// Processes are held up after writes, or stopped for a moment.
    Pauses,
    /// Operators' calls and signals.
    Orders,
    /// Processes are killed without a warning.
    Kills,
    /// Hosts die, hang, drain, lag and fail.
    Hosts,
    /// Hosts are cut off and return, and answers are lost on the way.
    Network,
    /// A crowd of idle clients.
    Crowd,
}

/// All of them.
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

/// A run with fixed faults: only the requests differ from seed to seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Scenario {
    /// Groups lose their primaries for two seconds while their replicas stand still. They return as replicas that stand still
    /// too, some of whose answers are lost, and for long no other takes over. Clients ask seldom.
    FormerPrimary,
    /// No fault but clocks that are off, and clients that only read with a bound: each process has to serve them.
    ClockOffReadsOnly,
    /// Processes whose clocks are some seconds behind are started anew when replicas lag by just as much.
    LagLikeTheClock,
}

/// What is done to one process, one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// A drain by the console; 4 s later nothing may be held. Then back to work.
    Quiesce,
    /// The same, taken back at once and made again.
    QuiesceAgain,
    /// Two new configurations and SIGTERM in a row, SIGKILL at the earliest that it may come, and a new start.
    HupHupTerm,
    /// SIGTERM a second into a drain by the console, and as above.
    QuiesceThenTerm,
    /// SIGTERM, and as above.
    Term,
    /// SIGSTOP and SIGCONT 0.15 s later.
    Pause,
    /// SIGKILL, and a new start.
    Kill,
}

/// How a client uses its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// Asks, waits for the answer and thinks for some milliseconds.
    Steady,
    /// Asks about once in a second: between its requests nothing tells its process of the hosts.
    Seldom,
    /// Asks again as soon as it has its answer.
    NoGap,
    /// Asks every 15 ms, whatever has been answered.
    AlwaysOneMore,
    /// Writes each statement in two pieces and the first of the next with the second.
    Pieces,
    /// Asks once and rests for as long as it is let.
    Rests,
    /// Sends what makes no sense, or empty queries, and takes no answer.
    Rude,
}

/// One seed's run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub spec: Spec,
    pub processes: usize,
    pub span: Duration,
    /// The faults of each process, as `crates/faults` words them.
    pub calls: Vec<String>,
    /// When the orders to each process begin, and which.
    pub orders: Vec<(Duration, Vec<Order>)>,
    pub script: Script,
    pub clients: Vec<Habit>,
    /// Whether clients only read with a bound on the age of data, and have to be served.
    pub bounded_reads_only: bool,
}

const CALLS: [&str; 10] = [
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

/// By how much a wall clock is off, or steps, in milliseconds: from what two machines differ by to an hour.
const CLOCK_STEPS_MS: [i64; 9] = [-3_600_000, -5_000, -2_000, -1_500, -20, 20, 2_000, 5_000, 3_600_000];
/// The same in the scenario of clocks that are off, process by process.
const SCENARIO_CLOCK_STEPS_MS: [i64; 6] = [-20, 20, -1_500, -5_000, 5_000, 0];
/// How many times more slowly replicas apply the log that are to stand still.
const STANDSTILL: f64 = 1_000.0;
/// How long a pause of a process is, and each of the rarer hold-ups after its writes.
pub const PAUSE: Duration = Duration::from_millis(150);
const LONG_HOLD: &str = "write:client:hold=150:1/400";
/// Clients of each process, besides a crowd.
pub const CLIENTS: usize = 6;
/// Longer than any run: such a fault does not end.
const FOREVER: Micros = 3_600 * SECOND;

impl Plan {
    /// The run of a seed. Only faults that are named come.
    pub fn draw(seed: u64, processes: Option<usize>, span: Duration, faults: &[Fault]) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let has = |fault: Fault| faults.contains(&fault);
        let spec = if random.random_bool(0.5) { Spec::sapporo() } else { Spec::tip_ledger() };
        let drawn = random.random_range(3..=5);
        let processes = processes.unwrap_or(drawn);
        let calls = (0..processes).map(|_| draw_calls(&mut random, &has)).collect();
        let orders = (0..processes).map(|n| draw_orders(&mut random, n, span, &has)).collect();
        let mut script = draw_script(&mut random, &spec, span, has(Fault::Hosts));
        let crowd = has(Fault::Crowd) && random.random_bool(0.25);
        let habits =
            [Habit::Steady, Habit::NoGap, Habit::AlwaysOneMore, Habit::Pieces, Habit::Rests, Habit::Rude];
        let mut clients: Vec<Habit> = habits.iter().copied().cycle().take(CLIENTS * processes).collect();
        if has(Fault::Network) && random.random_bool(0.6) {
            script = draw_former_primaries(&mut random, script, &spec, span);
            if random.random_bool(0.5) {
                clients.fill(Habit::Seldom);
            }
        }
        clients.extend(std::iter::repeat_n(Habit::Rests, if crowd { 20 * processes } else { 0 }));
        Self { seed, spec, processes, span, calls, orders, script, clients, bounded_reads_only: false }
    }
}

impl Plan {
    /// For how long a process is stopped or held up at most: what it is told meanwhile it cannot read.
    pub fn hold_up(&self, process: usize) -> Duration {
        let is_stopped = self.orders[process].1.contains(&Order::Pause);
        let is_held_up = self.calls[process].contains(LONG_HOLD);
        PAUSE * (u32::from(is_stopped) + u32::from(is_held_up))
    }

    /// A scenario's run; the seed draws the requests.
    pub fn of(scenario: Scenario, seed: u64, processes: Option<usize>, span: Duration) -> Self {
        let calm = Self::empty(seed, processes.unwrap_or(SCENARIO_PROCESSES), span);
        match scenario {
            Scenario::FormerPrimary => calm.with_former_primaries(),
            Scenario::ClockOffReadsOnly => calm.with_clocks_off(),
            Scenario::LagLikeTheClock => calm.with_lag_like_the_clock(),
        }
    }

    fn empty(seed: u64, processes: usize, span: Duration) -> Self {
        Self {
            seed,
            spec: Spec::tip_ledger(),
            processes,
            span,
            calls: vec![format!("seed={seed}"); processes],
            orders: vec![(Duration::ZERO, Vec::new()); processes],
            script: Script::empty(),
            clients: vec![Habit::Seldom; CLIENTS * processes],
            bounded_reads_only: false,
        }
    }

    fn with_former_primaries(self) -> Self {
        let spec = Spec { detect: (SECOND, SECOND), elect: NO_PRIMARY_FOR, ..self.spec };
        Self { script: former_primary_script(&spec), spec, ..self }
    }

    fn with_clocks_off(mut self) -> Self {
        for (calls, step_ms) in self.calls.iter_mut().zip(SCENARIO_CLOCK_STEPS_MS.iter().cycle()) {
            *calls += &format!(";clock::step={step_ms}@0:1/1");
        }
        Self { spec: Spec::sapporo(), bounded_reads_only: true, ..self }
    }

    fn with_lag_like_the_clock(mut self) -> Self {
        for (process, calls) in self.calls.iter_mut().enumerate() {
            let behind = LEAST_BEHIND + LAG_STEP * process as u32;
            *calls += &format!(";clock::step=-{}@0:1/1", behind.as_millis());
        }
        let all = 0..self.spec.groups;
        let script = all.fold(Script::empty(), |script, group| stand_still(script, &self.spec, group, 0.0));
        let orders = vec![(RESTART_AT, vec![Order::Kill]); self.processes];
        let clients = vec![Habit::Steady; self.clients.len()];
        Self { script, orders, clients, ..self }
    }
}

fn draw_calls(random: &mut ChaCha8Rng, has: &impl Fn(Fault) -> bool) -> String {
    let mut rules = vec![format!("seed={}", random.next_u64() >> 1)];
    if random.random_bool(0.7) && has(Fault::Calls) {
        rules.push(CALLS[random.random_range(0..CALLS.len())].to_owned());
    }
    if random.random_bool(0.4) && has(Fault::Clock) {
        let step_ms = CLOCK_STEPS_MS[random.random_range(0..CLOCK_STEPS_MS.len())];
        let from = [0, 2_000][random.random_range(0..2)];
        rules.push(format!("clock::step={step_ms}@{from}:1/1"));
    }
    if random.random_bool(0.4) && has(Fault::Pauses) {
        rules.push(["write:client:hold=1:1/2", LONG_HOLD][random.random_range(0..2)].to_owned());
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
        // One process is always there.
        _ if process == 0 => vec![Order::Pause],
        0 => vec![Order::Quiesce],
        1 => vec![Order::QuiesceAgain],
        2 => vec![Order::HupHupTerm],
        3 => vec![Order::QuiesceThenTerm],
        4 => vec![Order::Term],
        5 => vec![Order::Kill],
        _ => vec![Order::Pause, Order::Pause, Order::Quiesce],
    };
    let kept = orders.into_iter().filter(|order| match order {
        Order::Pause => has(Fault::Pauses),
        Order::Kill => has(Fault::Kills),
        _ => has(Fault::Orders),
    });
    (at, kept.collect())
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
        let begins = random.random_range(0.2..span.as_secs_f64() * 0.3);
        let seconds = random.random_range(3.0..8.0);
        script = lose_primary(script, spec, group, begins, seconds);
    }
    script
}

/// A group loses its first primary, which returns as a replica, while its replicas stand still.
fn lose_primary(mut script: Script, spec: &Spec, group: usize, begins: f64, seconds: f64) -> Script {
    let length = (seconds * SECOND as f64) as i64;
    let primary = group * spec.members;
    for host in primary + 1..primary + spec.members {
        script = script.then(begins, HostFault::Lag { host, times: STANDSTILL, span: length });
    }
    script.then(begins, HostFault::Death { host: primary, span: length })
}

/// Groups lose their first primary for some seconds while their replicas stand still, and it goes on as a replica that does
/// so too, of whose answers some are lost on the way.
fn draw_former_primaries(random: &mut ChaCha8Rng, mut script: Script, spec: &Spec, span: Duration) -> Script {
    for group in 0..spec.groups {
        let begins = random.random_range(1.0..span.as_secs_f64() * 0.4);
        let lost = (random.random_range(0.3..3.5) * SECOND as f64) as Micros;
        let share = [0.3, 0.7, 1.0][random.random_range(0..3)];
        let delivery = [Delivery::Silence, Delivery::Reset][random.random_range(0..2)];
        let hangs = random.random_bool(0.3);
        if random.random_bool(0.7) {
            let host = group * spec.members;
            let first = match hangs {
                true => HostFault::Hang { host, span: lost },
                false => HostFault::Isolation { host, span: lost },
            };
            let losses = HostFault::LostAnswers { host, share, delivery, span: FOREVER };
            script = stand_still(script, spec, group, begins).then(begins, first).then(begins, losses);
        }
    }
    script
}

/// When the scenario's primaries are lost, in seconds of the run, and for how long.
const PRIMARY_LOST_AT_S: f64 = 1.0;
const PRIMARY_LOST_FOR: Micros = 2 * SECOND;
/// Each process asks by itself, so that more of them make it likelier that one runs into the fault.
const SCENARIO_PROCESSES: usize = 6;
/// When all processes of a scenario are killed and started anew, counted from their start.
const RESTART_AT: Duration = Duration::from_secs(4);
/// By how much the clock of its first process is behind the hosts', and by how much more that of each further one: one of
/// them lags as the replicas do when it is started anew.
const LEAST_BEHIND: Duration = Duration::from_millis(3_600);
const LAG_STEP: Duration = Duration::from_millis(150);
/// How long the scenario's groups have no primary.
const NO_PRIMARY_FOR: (Micros, Micros) = (30 * SECOND, 31 * SECOND);

fn former_primary_script(spec: &Spec) -> Script {
    let mut script = Script::empty();
    for group in 0..spec.groups {
        let host = group * spec.members;
        let first = match group % 3 {
            2 => HostFault::Hang { host, span: PRIMARY_LOST_FOR },
            _ => HostFault::Isolation { host, span: PRIMARY_LOST_FOR },
        };
        let (share, delivery) = [(1.0, Delivery::Silence), (0.5, Delivery::Reset)][group % 2];
        let losses = HostFault::LostAnswers { host, share, delivery, span: FOREVER };
        script = stand_still(script, spec, group, PRIMARY_LOST_AT_S);
        script = script.then(PRIMARY_LOST_AT_S, first).then(PRIMARY_LOST_AT_S, losses);
    }
    script
}

/// All members of a group apply next to nothing of the log from then on.
fn stand_still(mut script: Script, spec: &Spec, group: usize, begins: f64) -> Script {
    for host in group * spec.members..(group + 1) * spec.members {
        script = script.then(begins, HostFault::Lag { host, times: STANDSTILL, span: FOREVER });
    }
    script
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (crowd, span) = (self.clients.len() - CLIENTS * self.processes, self.span.as_secs());
        writeln!(
            f,
            "seed {}: {} on {} processes, {span} s, {crowd} more at rest",
            self.seed, self.spec.name, self.processes
        )?;
        for (n, (at, orders)) in self.orders.iter().enumerate() {
            writeln!(f, "  p{n}: {orders:?} from {} ms on; calls {}", at.as_millis(), self.calls[n])?;
        }
        write!(f, "  hosts: {:?}", self.script)
    }
}
