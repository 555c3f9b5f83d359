//! Drains against clients in every state that can keep a connection open. Whatever starts the drain, each
//! connection is closed in time, and each request that was read gets exactly one response, whether hosts
//! answer or hang.

use crate::habits::{self, Behavior, Outcome, Protocol};
use crate::scenario::{settings_with, SteppedScenario};
use rstest::rstest;
use serde_json::json;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// How much later than the proxy a client may see the end of its connection: it checks ten times a second.
/// The exit of the process is checked on the process itself.
const CLIENT_POLL_DELAY: Duration = Duration::from_millis(150);
/// Clients that read their responses, so that the responses can be counted.
const READERS: [Behavior; 11] = [
    Behavior::SteadyRequests,
    Behavior::BackToBack,
    Behavior::Bursts,
    Behavior::SlowStatement,
    Behavior::SplitStatements,
    Behavior::InvalidStatements,
    Behavior::OnlySync,
    Behavior::EmptyQueries,
    Behavior::IdleAfterRequest,
    Behavior::IdleAfterLogin,
    Behavior::SlowStartup,
];
/// Clients that read nothing, or have shut down the sending side of their connection.
const NON_READERS: [Behavior; 3] = [Behavior::NeverReads, Behavior::Garbage, Behavior::HalfClosed];
/// Clients that speak TDS, which have one request open at a time.
const TDS_CLIENTS: [Behavior; 8] = [
    Behavior::BackToBack,
    Behavior::NeverReads,
    Behavior::SlowStatement,
    Behavior::SplitStatements,
    Behavior::InvalidStatements,
    Behavior::IdleAfterRequest,
    Behavior::IdleAfterLogin,
    Behavior::SlowStartup,
];

/// Event that starts the drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trigger {
    /// A quiesce at the console.
    Quiesce,
    /// A quiesce that was resumed, and a second quiesce.
    QuiesceAgain,
    /// SIGTERM.
    Term,
    /// SIGTERM a second into a quiesce.
    QuiesceThenTerm,
    /// Two reloads of the configuration, and SIGTERM right after them.
    HupHupTerm,
}

impl Trigger {
    fn ends_the_process(self) -> bool {
        matches!(self, Self::Term | Self::QuiesceThenTerm | Self::HupHupTerm)
    }

    /// Returns the scenario lines that precede the event from which the time is counted.
    fn preceding_steps(self) -> &'static str {
        match self {
            Self::QuiesceAgain => "operator send quiesce\nwait 100\noperator send resume\nwait 100",
            Self::QuiesceThenTerm => "operator send quiesce\nwait 1000",
            Self::HupHupTerm => "proxy send HUP\nproxy send HUP",
            Self::Quiesce | Self::Term => "",
        }
    }
}

/// Returns the default settings with this longest deadline for all request classes.
fn with_max_deadline(max_deadline_ms: u64) -> String {
    settings_with(|all| {
        for grade in all["grades"].as_array_mut().unwrap() {
            grade["deadline"] = json!(max_deadline_ms as f64 / 1e3);
            grade["onTime"] = json!(max_deadline_ms as f64 / 1.1e3);
        }
    })
}

/// Behavior of the ledger hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hosts {
    /// They answer after 30 ms with a value of this number of bytes.
    Serve(usize),
    /// They accept requests and never answer.
    Hang,
}

struct Case {
    protocol: Protocol,
    behaviors: &'static [Behavior],
    trigger: Trigger,
    max_deadline_ms: u64,
    hosts: Hosts,
}

/// Runs the clients of a case at the same time. Returns how each ended, the counters if the process has
/// exited, and a description of where the time went until its exit.
fn play(case: &Case) -> (Vec<Outcome>, Option<String>, String) {
    let settings = with_max_deadline(case.max_deadline_ms);
    let mut steps = match case.protocol {
        Protocol::Postgres => SteppedScenario::start_with_faults(&settings, ""),
        Protocol::Tds => SteppedScenario::start_tds(&settings),
    };
    if let Hosts::Serve(bytes) = case.hosts {
        steps.play(&format!("h1 send serve 30 {bytes}"));
    }
    let address = if case.protocol == Protocol::Tds { steps.tds_address() } else { steps.address() };
    let triggered_at = Arc::new(OnceLock::new());
    let clients: Vec<_> = case
        .behaviors
        .iter()
        .map(|behavior| habits::start(address, case.protocol, *behavior, case.max_deadline_ms, &triggered_at))
        .collect();
    std::thread::sleep(Duration::from_millis(400));
    steps.play(case.trigger.preceding_steps());
    triggered_at.set(Instant::now()).unwrap();
    let exit_limit = case.max_deadline_ms.min(3_000) + 700;
    let counters = if case.trigger.ends_the_process() {
        steps.play(&format!("proxy send TERM\nproxy expect exit 0 by {exit_limit}"));
        Some(steps.last_log_line("counters totals="))
    } else {
        steps.play("operator send quiesce\noperator expect 200");
        None
    };
    let end = triggered_at.get().map(|at| steps.exit_timing(*at)).unwrap_or_default();
    (clients.into_iter().map(|client| client.join().unwrap()).collect(), counters, end)
}

/// Checks that each connection was closed in time and, if the process has exited, that each request that was
/// read was answered once.
fn check(case: &Case) {
    let (outcomes, counters, end) = play(case);
    let exit_limit = Duration::from_millis(case.max_deadline_ms.min(3_000) + 700);
    let allowed =
        if case.trigger.ends_the_process() { exit_limit + CLIENT_POLL_DELAY } else { Duration::from_secs(4) };
    for outcome in &outcomes {
        assert!(
            !outcome.is_held_open(allowed),
            "{:?}, {} ms, {:?}: {:?} closed after {:?}; the client's thread waited {:?} for a processor, its \
             pauses ended {:?} late; {end}",
            case.trigger,
            case.max_deadline_ms,
            case.hosts,
            outcome.behavior,
            outcome.closed_after,
            outcome.cpu_wait,
            outcome.timers_late
        );
    }
    let Some(counters) = counters else { return };
    let count = |name: &str| {
        let found = counters.split(' ').find_map(|figure| figure.strip_prefix(name)?.strip_prefix('='));
        found.and_then(|figure| figure.parse::<u64>().ok()).expect(name)
    };
    let ended: u64 = ["served", "refused", "failed", "left"].iter().map(|name| count(name)).sum();
    assert_eq!(count("taken"), ended, "{counters}");
    if case
        .behaviors
        .iter()
        .all(|behavior| !matches!(behavior, Behavior::NeverReads | Behavior::Garbage | Behavior::HalfClosed))
    {
        let answers: u64 = outcomes.iter().map(|outcome| outcome.answers).sum();
        let by_behavior: Vec<_> =
            outcomes.iter().map(|outcome| (outcome.behavior, outcome.answers)).collect();
        assert_eq!(answers, ended, "each request that was read is answered: {counters} {by_behavior:?}");
    }
}

#[rstest]
fn clients_that_read_their_responses_are_closed_in_time(
    #[values(
        Trigger::Quiesce,
        Trigger::QuiesceAgain,
        Trigger::Term,
        Trigger::QuiesceThenTerm,
        Trigger::HupHupTerm
    )]
    trigger: Trigger,
    #[values(200, 1_000, 10_000)] max_deadline_ms: u64,
    #[values(Hosts::Serve(8), Hosts::Hang)] hosts: Hosts,
) {
    check(&Case { protocol: Protocol::Postgres, behaviors: &READERS, trigger, max_deadline_ms, hosts });
}

#[rstest]
fn clients_that_read_nothing_are_closed_in_time(
    #[values(
        Trigger::Quiesce,
        Trigger::QuiesceAgain,
        Trigger::Term,
        Trigger::QuiesceThenTerm,
        Trigger::HupHupTerm
    )]
    trigger: Trigger,
    #[values(200, 1_000, 10_000)] max_deadline_ms: u64,
) {
    check(&Case {
        protocol: Protocol::Postgres,
        behaviors: &NON_READERS,
        trigger,
        max_deadline_ms,
        hosts: Hosts::Serve(60_000),
    });
}

#[rstest]
fn clients_that_speak_tds_are_closed_in_time(
    #[values(
        Trigger::Quiesce,
        Trigger::QuiesceAgain,
        Trigger::Term,
        Trigger::QuiesceThenTerm,
        Trigger::HupHupTerm
    )]
    trigger: Trigger,
    #[values(200, 1_000, 10_000)] max_deadline_ms: u64,
    #[values(Hosts::Serve(8), Hosts::Hang)] hosts: Hosts,
) {
    check(&Case { protocol: Protocol::Tds, behaviors: &TDS_CLIENTS, trigger, max_deadline_ms, hosts });
}
