//! Measures the cost of the proxy over both protocols: requests per second through one proxy core and
//! directly at an emulated host, and the median latency that the proxy adds at half of that load. The
//! emulated host spends no time on a request, so that only the transport and the proxy are measured.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::task::{yield_now, JoinSet, LocalSet};
use wheelpier_emulator::net::client::{Answer, Client};
use wheelpier_emulator::net::{Options, Wire};
use wheelpier_emulator::schedule::plan;
use wheelpier_emulator::script::Script;
use wheelpier_emulator::spec::Spec;
use wheelpier_emulator::{Micros, SECOND};
use wheelpier_testbench::rig::Rig;
use wheelpier_testbench::runtime;

const CLIENTS: usize = 24;
/// The length of one measurement.
const ROUND_LENGTH: Duration = Duration::from_secs(2);
/// The number of measurements of each figure, of which the best counts.
const ROUNDS: usize = 3;

/// Returns a specification of hosts that spend no time on requests.
fn spec() -> Spec {
    let mut spec = Spec { groups: 1, cores: 64, queue_limit: 1_000, ..Spec::sapporo() };
    spec.classes.iter_mut().for_each(|class| class.work = (0, 1));
    // Keeps only the class whose reads any host may serve, the primary included.
    spec.classes.retain(|class| class.name == "daily-report");
    spec.classes[0].share = 1.0;
    spec
}

/// The addresses of a running rig.
struct Endpoints {
    /// An emulated host.
    direct: SocketAddr,
    /// The proxy.
    proxied: SocketAddr,
    /// Ends the rig.
    stop: oneshot::Sender<()>,
}

/// Starts the emulated hosts on one thread and the proxy on another.
fn start_rig(wire: Wire) -> Endpoints {
    let (started, endpoints) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        runtime().expect("a runtime").block_on(async {
            let options =
                Options { spec: spec(), seed: 7, wires: vec![wire], script: Script::empty(), proxies: 1 };
            let rig = Rig::start(options, 1e6).await.expect("a rig");
            let (stop, stopped) = oneshot::channel();
            let endpoints = Endpoints {
                direct: rig.installation.hosts[1],
                proxied: rig.port(wire).expect("a port"),
                stop,
            };
            started.send(endpoints).expect("the receiver waits");
            let _ = stopped.await;
        });
    });
    endpoints.recv().expect("a rig")
}

/// Measures requests per second, with clients that send the next request as soon as they have an answer.
fn closed_loop(wire: Wire, address: SocketAddr) -> f64 {
    runtime().expect("a runtime").block_on(LocalSet::new().run_until(async {
        let spec = Rc::new(spec());
        let until = Instant::now() + ROUND_LENGTH;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let spec = Rc::clone(&spec);
                tokio::task::spawn_local(async move {
                    let mut client = Client::connect(wire, address).await.expect("a connection");
                    let mut planned = plan(&spec, n as u64, 10.0, SECOND).remove(0);
                    let mut served = 0u64;
                    while Instant::now() < until {
                        planned.id = format!("{n}x{served}");
                        let answer = client.ask(&planned, &spec, SECOND).await;
                        assert!(matches!(answer, Ok(Answer::Served(_))), "{answer:?}");
                        served += 1;
                    }
                    served
                })
            })
            .collect();
        let mut served = 0;
        for client in clients {
            served += client.await.expect("a client");
        }
        served as f64 / ROUND_LENGTH.as_secs_f64()
    }))
}

/// Measures the median latency in microseconds at a rate of requests per second, from the scheduled time of
/// each request. The sender spins, since the runtime's timers have a resolution of a millisecond and would
/// send bursts.
fn median(wire: Wire, address: SocketAddr, rate: f64, seed: u64) -> f64 {
    let spec = Rc::new(spec());
    let plan = plan(&spec, seed, rate, ROUND_LENGTH.as_micros() as Micros);
    runtime().expect("a runtime").block_on(LocalSet::new().run_until(async move {
        let idle = Rc::new(RefCell::new(Vec::new()));
        for _ in 0..CLIENTS * 4 {
            let client = Client::connect(wire, address).await.expect("a connection");
            idle.borrow_mut().push(client);
        }
        let latencies = Rc::new(RefCell::new(Vec::with_capacity(plan.len())));
        let (start, mut running) = (Instant::now(), JoinSet::new());
        for planned in plan {
            let due = start + Duration::from_micros(planned.at as u64);
            while Instant::now() < due {
                yield_now().await;
            }
            let Some(mut client) = idle.borrow_mut().pop() else { continue };
            let (idle, latencies, spec) = (Rc::clone(&idle), Rc::clone(&latencies), Rc::clone(&spec));
            running.spawn_local(async move {
                let answer = client.ask(&planned, &spec, SECOND).await;
                assert!(matches!(answer, Ok(Answer::Served(_))), "{answer:?}");
                latencies.borrow_mut().push(due.elapsed());
                idle.borrow_mut().push(client);
            });
        }
        while running.join_next().await.is_some() {}
        let mut latencies = latencies.take();
        latencies.sort_unstable();
        latencies[latencies.len() / 2].as_nanos() as f64 / 1e3
    }))
}

fn main() {
    // Under `cargo test` the benchmark only has to start.
    if std::env::args().any(|argument| argument == "--test") {
        return;
    }
    println!("{CLIENTS} clients, {ROUNDS} rounds of {} s each, the best of each", ROUND_LENGTH.as_secs());
    println!(
        "| over | direct, 1/s | through the proxy, 1/s | median direct, us \
         | through the proxy, us | added, us |"
    );
    println!("| --- | ---: | ---: | ---: | ---: | ---: |");
    let rigs = [Wire::Postgres, Wire::Tds].map(|wire| (wire, start_rig(wire)));
    let mut best = [[0.0_f64; 2]; 2];
    for _ in 0..ROUNDS {
        // Alternates between the protocols, so that other load on the machine affects all figures.
        for (n, (wire, endpoints)) in rigs.iter().enumerate() {
            best[n][0] = best[n][0].max(closed_loop(*wire, endpoints.direct));
            best[n][1] = best[n][1].max(closed_loop(*wire, endpoints.proxied));
        }
    }
    // Both protocols get the same load.
    let half = best[0][1].min(best[1][1]) / 2.0;
    let mut lowest = [[f64::INFINITY; 2]; 2];
    for round in 0..ROUNDS {
        for (n, (wire, endpoints)) in rigs.iter().enumerate() {
            for (k, address) in [endpoints.direct, endpoints.proxied].into_iter().enumerate() {
                let seed = (round * 4 + n * 2 + k) as u64;
                lowest[n][k] = lowest[n][k].min(median(*wire, address, half, seed));
            }
        }
    }
    for (n, (wire, _)) in rigs.iter().enumerate() {
        let ([direct, proxied], [direct_us, proxied_us]) = (best[n], lowest[n]);
        println!(
            "| {wire} | {direct:.0} | {proxied:.0} | {direct_us:.0} | {proxied_us:.0} | {:.0} |",
            proxied_us - direct_us
        );
    }
    println!(
        "half load: {half:.0} requests a second; TDS through the proxy at {:.1}% of PostgreSQL",
        100.0 * best[1][1] / best[0][1]
    );
    for (_, endpoints) in rigs {
        let _ = endpoints.stop.send(());
    }
}
