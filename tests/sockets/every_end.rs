//! Each state that a client can keep its connection in, against each order that ends it: the connection is let go in time,
//! and what was read of it has its one answer, whether hosts answer or hang.

use crate::habits::{self, Ending, Habit, Wire};
use crate::scenario::{settings_with, SteppedScenario};
use rstest::rstest;
use serde_json::json;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// A client sees the end of its connection so much later at the most: it looks ten times a second. That the process has
/// ended in time is asked of the process itself.
const SEEN_LATER: Duration = Duration::from_millis(150);
/// Clients that take their answers, so that what was read of them can be counted.
const READERS: [Habit; 11] = [
    Habit::AlwaysOneMore,
    Habit::NoGap,
    Habit::Bursts,
    Habit::OneByOne,
    Habit::HalfBehindWhole,
    Habit::Senseless,
    Habit::OnlySync,
    Habit::EmptyQueries,
    Habit::Rests,
    Habit::NeverAsks,
    Habit::Startup,
];
/// Clients that take nothing, or have ended their side.
const OTHERS: [Habit; 3] = [Habit::TakesNothing, Habit::Garbage, Habit::HalfClosed];
/// Clients of TDS, which ask for one thing at a time.
const TDS: [Habit; 8] = [
    Habit::NoGap,
    Habit::TakesNothing,
    Habit::OneByOne,
    Habit::HalfBehindWhole,
    Habit::Senseless,
    Habit::Rests,
    Habit::NeverAsks,
    Habit::Startup,
];

/// What ends the connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Order {
    /// A call at the console.
    Quiesce,
    /// One that was taken back, and made again.
    QuiesceAgain,
    /// SIGTERM.
    Term,
    /// SIGTERM a second into a quiesce.
    QuiesceThenTerm,
    /// Two new configurations and SIGTERM in a row.
    HupHupTerm,
}

impl Order {
    fn ends_the_process(self) -> bool {
        matches!(self, Self::Term | Self::QuiesceThenTerm | Self::HupHupTerm)
    }

    /// What comes before the order that counts.
    fn before(self) -> &'static str {
        match self {
            Self::QuiesceAgain => "operator send quiesce\nwait 100\noperator send resume\nwait 100",
            Self::QuiesceThenTerm => "operator send quiesce\nwait 1000",
            Self::HupHupTerm => "proxy send HUP\nproxy send HUP",
            Self::Quiesce | Self::Term => "",
        }
    }
}

/// The scenarios' settings with that longest deadline, in milliseconds.
fn within(longest: u64) -> String {
    settings_with(|all| {
        for grade in all["grades"].as_array_mut().unwrap() {
            grade["deadline"] = json!(longest as f64 / 1e3);
            grade["onTime"] = json!(longest as f64 / 1.1e3);
        }
    })
}

/// Whether hosts answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Hosts {
    /// With a value of so many bytes, after 30 ms.
    Serve(usize),
    /// They take requests and say nothing.
    Hang,
}

struct Case {
    wire: Wire,
    habits: &'static [Habit],
    order: Order,
    longest: u64,
    hosts: Hosts,
}

/// Plays the clients of a case beside each other; how each ended, the counters if the process has, and where the time went
/// until then.
fn play(case: &Case) -> (Vec<Ending>, Option<String>, String) {
    let settings = within(case.longest);
    let mut steps = match case.wire {
        Wire::Postgres => SteppedScenario::start_with_faults(&settings, ""),
        Wire::Tds => SteppedScenario::start_tds(&settings),
    };
    if let Hosts::Serve(bytes) = case.hosts {
        steps.play(&format!("h1 send serve 30 {bytes}"));
    }
    let address = if case.wire == Wire::Tds { steps.tds_address() } else { steps.address() };
    let ordered = Arc::new(OnceLock::new());
    let clients: Vec<_> = case
        .habits
        .iter()
        .map(|habit| habits::start(address, case.wire, *habit, case.longest, &ordered))
        .collect();
    std::thread::sleep(Duration::from_millis(400));
    steps.play(case.order.before());
    ordered.set(Instant::now()).unwrap();
    let killed = case.longest.min(3_000) + 700;
    let counters = if case.order.ends_the_process() {
        steps.play(&format!("proxy send TERM\nproxy expect exit 0 by {killed}"));
        Some(steps.last_log_line("counters totals="))
    } else {
        steps.play("operator send quiesce\noperator expect 200");
        None
    };
    let end = ordered.get().map(|at| steps.exit_timing(*at)).unwrap_or_default();
    (clients.into_iter().map(|client| client.join().unwrap()).collect(), counters, end)
}

fn check(case: &Case) {
    let (endings, counters, end) = play(case);
    let killed = Duration::from_millis(case.longest.min(3_000) + 700);
    let most = if case.order.ends_the_process() { killed + SEEN_LATER } else { Duration::from_secs(4) };
    for ending in &endings {
        assert!(
            !ending.is_held(most),
            "{:?}, {} ms, {:?}: {:?} after {:?}; its client's thread waited {:?} for a processor, its \
             pauses ended {:?} late; {end}",
            case.order,
            case.longest,
            case.hosts,
            ending.habit,
            ending.after,
            ending.queued,
            ending.timers_late
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
        .habits
        .iter()
        .all(|habit| !matches!(habit, Habit::TakesNothing | Habit::Garbage | Habit::HalfClosed))
    {
        let answers: u64 = endings.iter().map(|ending| ending.answers).sum();
        let by_habit: Vec<_> = endings.iter().map(|ending| (ending.habit, ending.answers)).collect();
        assert_eq!(answers, ended, "each request that was read is answered: {counters} {by_habit:?}");
    }
}

#[rstest]
fn clients_that_take_their_answers_are_let_go(
    #[values(Order::Quiesce, Order::QuiesceAgain, Order::Term, Order::QuiesceThenTerm, Order::HupHupTerm)]
    order: Order,
    #[values(200, 1_000, 10_000)] longest: u64,
    #[values(Hosts::Serve(8), Hosts::Hang)] hosts: Hosts,
) {
    check(&Case { wire: Wire::Postgres, habits: &READERS, order, longest, hosts });
}

#[rstest]
fn clients_that_take_nothing_are_let_go(
    #[values(Order::Quiesce, Order::QuiesceAgain, Order::Term, Order::QuiesceThenTerm, Order::HupHupTerm)]
    order: Order,
    #[values(200, 1_000, 10_000)] longest: u64,
) {
    check(&Case { wire: Wire::Postgres, habits: &OTHERS, order, longest, hosts: Hosts::Serve(60_000) });
}

#[rstest]
fn clients_of_tds_are_let_go(
    #[values(Order::Quiesce, Order::QuiesceAgain, Order::Term, Order::QuiesceThenTerm, Order::HupHupTerm)]
    order: Order,
    #[values(200, 1_000, 10_000)] longest: u64,
    #[values(Hosts::Serve(8), Hosts::Hang)] hosts: Hosts,
) {
    check(&Case { wire: Wire::Tds, habits: &TDS, order, longest, hosts });
}
