//! Runs the same load twice, without and with a crowd of slow clients: the crowd must not impair sale-writes.

use crate::load::{self, ClassResult, Target};
use crate::rig::Rig;
use crate::{runtime, table, TestbenchError};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use wheelpier_emulator::net::client::Client;
use wheelpier_emulator::net::{Options, Verdict, Wire};
use wheelpier_emulator::schedule::plan;
use wheelpier_emulator::script::Script;
use wheelpier_emulator::spec::{Freshness, Spec};
use wheelpier_emulator::world::LARGE_ID_PREFIX;
use wheelpier_emulator::SECOND;

/// The head of a query message of nearly 128 KiB, close to the longest that a proxy accepts. A slow writer
/// sends its content at one byte per second.
const QUERY_HEAD: [u8; 5] = [b'Q', 0, 1, 0xff, 0xff];
/// The bytes of a query that a slow writer sends at once, so that the proxy has to buffer them.
const INITIAL_BYTES: usize = 8 * 1024;
/// The pause after which a client of the crowd connects again when its connection was closed.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);
/// The largest decrease of sale-writes served in time with the crowd, in percentage points.
const MAX_LOSS_PERCENT: f64 = 1.0;

/// The arguments of `starve`.
#[derive(Debug, clap::Args)]
pub struct Starve {
    /// Seed of the requests and of the emulated hosts.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Seconds of load in each run.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Requests per second.
    #[arg(long, default_value_t = 240.0)]
    rate: f64,
    /// Clients that send one byte per second.
    #[arg(long, default_value_t = 500)]
    writers: usize,
    /// Clients that request 64 KiB and never read the answer.
    #[arg(long, default_value_t = 500)]
    readers: usize,
}

struct Outcome {
    classes: Vec<ClassResult>,
    verdict: Verdict,
    /// The peak of the memory that the proxy's budget accounts for, and the budget's cap, in bytes.
    memory: (u64, u64),
}

impl Starve {
    /// Runs both loads and prints the results. Returns whether sale-writes were served as well with the crowd
    /// as without.
    pub fn run(&self) -> Result<bool, TestbenchError> {
        let (seed, seconds, rate) = (self.seed, self.seconds, self.rate);
        let mut outcomes = Vec::with_capacity(2);
        for crowd in [(0, 0), (self.writers, self.readers)] {
            let run = thread::spawn(move || runtime()?.block_on(play(seed, seconds, rate, crowd)));
            outcomes.push(run.join().map_err(|_| TestbenchError::Ended)??);
        }
        Ok(report(&outcomes))
    }
}

async fn play(seed: u64, seconds: f64, rate: f64, crowd: (usize, usize)) -> Result<Outcome, TestbenchError> {
    let spec = Spec::sapporo();
    let wires = vec![Wire::Postgres];
    let options = Options { spec: spec.clone(), seed, wires, script: Script::empty(), proxies: 1 };
    let rig = Rig::start(options, rate).await?;
    let (world, clock, address) = (rig.installation.mailbox(), rig.clock, rig.port(Wire::Postgres)?);
    // A thread of its own, so that the crowd does not slow down the clients of the load.
    let (stop, stopped) = tokio::sync::watch::channel(());
    let tenant = spec.tenants.first().map_or("", |(name, _)| name);
    let crowd_thread = thread::spawn(move || runtime()?.block_on(run_crowd(address, crowd, tenant, stopped)));
    sleep(Duration::from_secs(1)).await;
    let planned = plan(&spec, seed, rate, (seconds * SECOND as f64) as i64);
    let wire = Wire::Postgres;
    let classes = load::run(Target { wire, address, spec: Rc::new(spec), clock, world }, planned).await;
    drop(stop);
    let verdict = rig.installation.verdict().await?;
    let memory = (rig.proxy.budget.peak_used(), rig.proxy.budget.cap());
    rig.proxy.end().await?;
    crowd_thread.join().map_err(|_| TestbenchError::Ended)??;
    Ok(Outcome { classes, verdict, memory })
}

/// Runs the crowd until the sender of `stopped` is dropped.
async fn run_crowd(
    address: SocketAddr,
    (writers, readers): (usize, usize),
    tenant: &'static str,
    mut stopped: tokio::sync::watch::Receiver<()>,
) -> io::Result<()> {
    let mut crowd = JoinSet::new();
    for _ in 0..writers {
        crowd.spawn(async move {
            loop {
                let _ = write_slowly(address).await;
                sleep(RECONNECT_DELAY).await;
            }
        });
    }
    for number in 0..readers {
        crowd.spawn(async move {
            for attempt in 0_u64.. {
                let _ = never_read(address, tenant, number, attempt).await;
                sleep(RECONNECT_DELAY).await;
            }
        });
    }
    let _ = stopped.changed().await;
    crowd.shutdown().await;
    Ok(())
}

async fn write_slowly(address: SocketAddr) -> io::Result<()> {
    let mut stream = Client::connect(Wire::Postgres, address).await?.into_stream();
    stream.write_all(&QUERY_HEAD).await?;
    stream.write_all(&[b' '; INITIAL_BYTES]).await?;
    loop {
        sleep(Duration::from_secs(1)).await;
        stream.write_all(b" ").await?;
    }
}

async fn never_read(address: SocketAddr, tenant: &str, number: usize, attempt: u64) -> io::Result<()> {
    let mut stream: TcpStream = Client::connect(Wire::Postgres, address).await?.into_stream();
    let id = format!("{LARGE_ID_PREFIX}{number}x{attempt}");
    let text = format!(
        "SELECT content FROM kv WHERE name = 'k{number}' \
         /* id={id},c=daily-report,t={tenant},d=1000,cluster=0 */\0"
    );
    stream.write_all(b"Q").await?;
    stream.write_all(&(text.len() as u32 + 4).to_be_bytes()).await?;
    stream.write_all(text.as_bytes()).await?;
    // Waits half a minute at most for the answer, which is never read and fills the buffers on the way.
    let _ = timeout(Duration::from_secs(30), stream.readable()).await;
    sleep(Duration::from_secs(8)).await;
    Ok(())
}

fn report(outcomes: &[Outcome]) -> bool {
    let [alone, crowded] = outcomes else { return false };
    let mut rows = Vec::new();
    for (name, outcome) in [("alone", alone), ("crowd", crowded)] {
        for class in &outcome.classes {
            rows.push(vec![
                class.name.to_owned(),
                name.to_owned(),
                class.offered.to_string(),
                class.in_time.to_string(),
                class.refused.to_string(),
                class.failed.to_string(),
                format!("{:.1}", class.percentile(50.0)),
                format!("{:.1}", class.percentile(99.0)),
            ]);
        }
    }
    let head = ["class", "with", "offered", "in time", "refused", "failed", "p50 ms", "p99 ms"];
    println!("{}", table::lay_out(&head, &rows));
    for breach in alone.verdict.breaches.iter().chain(&crowded.verdict.breaches).take(5) {
        println!("{}: {}", breach.rule, breach.description);
    }
    for (name, outcome) in [("alone", alone), ("crowd", crowded)] {
        println!("{name}: {} requests sent again on a new connection", load::resent(&outcome.classes));
    }
    let served_percent = |outcome: &Outcome| {
        let spec = Spec::sapporo();
        let write = spec.classes.iter().position(|class| class.freshness == Freshness::Write).unwrap_or(0);
        let class = &outcome.classes[write];
        100.0 * class.in_time as f64 / class.offered.max(1) as f64
    };
    let (with, without) = (served_percent(crowded), served_percent(alone));
    let broken = alone.verdict.breaches.len() + crowded.verdict.breaches.len();
    let (peak, cap) = (alone.memory.0.max(crowded.memory.0), crowded.memory.1);
    let mb = |bytes: u64| bytes as f64 / f64::from(1 << 20);
    println!(
        "starve: sale-write served in time {with:.1}% against {without:.1}%, rules broken {broken}, \
         peak memory {:.1} of {:.1} MB",
        mb(peak),
        mb(cap)
    );
    with >= without - MAX_LOSS_PERCENT && broken == 0 && peak <= cap
}
