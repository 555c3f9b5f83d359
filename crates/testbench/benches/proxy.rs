//! What the proxy costs: requests a second through one proxy core against the same client directly at the
//! stand-in, over both protocols, and the median latency that the proxy adds at half of that load. The stand-in's
//! work takes no time, so that all that is seen is what the way costs.

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
const SPAN: Duration = Duration::from_secs(2);
const ROUNDS: usize = 3;

/// Hosts that take no time over anything.
fn spec() -> Spec {
    let mut spec = Spec { groups: 1, cores: 64, queue: 1_000, ..Spec::sapporo() };
    spec.classes.iter_mut().for_each(|class| class.work = (0, 1));
    // Any host will do for it, the first as well.
    spec.classes.retain(|class| class.name == "daily-report");
    spec.classes[0].share = 1.0;
    spec
}

struct Stand {
    direct: SocketAddr,
    proxied: SocketAddr,
    end: oneshot::Sender<()>,
}

/// Ledger hosts on one thread, the proxy on another.
fn stand(wire: Wire) -> Stand {
    let (started, stand) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        runtime().expect("a runtime").block_on(async {
            let options =
                Options { spec: spec(), seed: 7, wires: vec![wire], script: Script::empty(), proxies: 1 };
            let rig = Rig::start(options, 1e6).await.expect("a rig");
            let (end, ended) = oneshot::channel();
            let stand =
                Stand { direct: rig.installation.hosts[1], proxied: rig.port(wire).expect("a port"), end };
            started.send(stand).expect("somebody waits");
            let _ = ended.await;
        });
    });
    stand.recv().expect("a stand")
}

/// Requests a second, each client asking again as soon as it is answered.
fn closed_loop(wire: Wire, address: SocketAddr) -> f64 {
    runtime().expect("a runtime").block_on(LocalSet::new().run_until(async {
        let spec = Rc::new(spec());
        let until = Instant::now() + SPAN;
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
        served as f64 / SPAN.as_secs_f64()
    }))
}

/// The median latency in microseconds at a rate a second, counted from when each request was to go out. The
/// sender spins: the runtime's timers are a millisecond apart, and would send in bursts.
fn median(wire: Wire, address: SocketAddr, rate: f64, seed: u64) -> f64 {
    let spec = Rc::new(spec());
    let plan = plan(&spec, seed, rate, SPAN.as_micros() as Micros);
    runtime().expect("a runtime").block_on(LocalSet::new().run_until(async move {
        let idle = Rc::new(RefCell::new(Vec::new()));
        for _ in 0..CLIENTS * 4 {
            let client = Client::connect(wire, address).await.expect("a connection");
            idle.borrow_mut().push(client);
        }
        let latencies = Rc::new(RefCell::new(Vec::with_capacity(plan.len())));
        let (start, mut open) = (Instant::now(), JoinSet::new());
        for planned in plan {
            let at = start + Duration::from_micros(planned.at as u64);
            while Instant::now() < at {
                yield_now().await;
            }
            let Some(mut client) = idle.borrow_mut().pop() else { continue };
            let (idle, latencies, spec) = (Rc::clone(&idle), Rc::clone(&latencies), Rc::clone(&spec));
            open.spawn_local(async move {
                let answer = client.ask(&planned, &spec, SECOND).await;
                assert!(matches!(answer, Ok(Answer::Served(_))), "{answer:?}");
                latencies.borrow_mut().push(at.elapsed());
                idle.borrow_mut().push(client);
            });
        }
        while open.join_next().await.is_some() {}
        let mut latencies = latencies.take();
        latencies.sort_unstable();
        latencies[latencies.len() / 2].as_nanos() as f64 / 1e3
    }))
}

fn main() {
    // Under `cargo test` only that it starts is of interest.
    if std::env::args().any(|argument| argument == "--test") {
        return;
    }
    println!("{CLIENTS} clients, {ROUNDS} rounds of {} s each, the best of each", SPAN.as_secs());
    println!("| over | direct, 1/s | through the proxy, 1/s | median direct, us | through the proxy, us | added, us |");
    println!("| --- | ---: | ---: | ---: | ---: | ---: |");
    let stands = [Wire::Postgres, Wire::Tds].map(|wire| (wire, stand(wire)));
    let mut best = [[0.0_f64; 2]; 2];
    for _ in 0..ROUNDS {
        // In turn, so that what else the machine does weighs on all.
        for (n, (wire, stand)) in stands.iter().enumerate() {
            best[n][0] = best[n][0].max(closed_loop(*wire, stand.direct));
            best[n][1] = best[n][1].max(closed_loop(*wire, stand.proxied));
        }
    }
    // The same load for both protocols.
    let half = best[0][1].min(best[1][1]) / 2.0;
    let mut least = [[f64::INFINITY; 2]; 2];
    for round in 0..ROUNDS {
        for (n, (wire, stand)) in stands.iter().enumerate() {
            for (k, address) in [stand.direct, stand.proxied].into_iter().enumerate() {
                let seed = (round * 4 + n * 2 + k) as u64;
                least[n][k] = least[n][k].min(median(*wire, address, half, seed));
            }
        }
    }
    for (n, (wire, _)) in stands.iter().enumerate() {
        let ([direct, proxied], [near, far]) = (best[n], least[n]);
        println!("| {wire} | {direct:.0} | {proxied:.0} | {near:.0} | {far:.0} | {:.0} |", far - near);
    }
    println!(
        "half load: {half:.0} requests a second; TDS through the proxy at {:.1}% of PostgreSQL",
        100.0 * best[1][1] / best[0][1]
    );
    for (_, stand) in stands {
        let _ = stand.end.send(());
    }
}
