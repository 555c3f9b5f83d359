//! A crowd of slow clients beside the usual load: the sale-writes must not notice. The same arrivals twice, without the
//! crowd and with it.

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

/// The head of a query as long as the longest, of which a byte a second comes.
const BEGUN: [u8; 5] = [b'Q', 0, 1, 0xff, 0xff];
/// Slow writers begin with so much, so that there is something to hold.
const BEFORE: usize = 8 * 1024;
/// Whoever is cut off comes again after this time.
const AGAIN: Duration = Duration::from_millis(500);
/// With the crowd sale-writes may fare worse by so much, in per cent.
const WORSE: f64 = 1.0;

/// How large a crowd, and how long.
#[derive(Debug, clap::Args)]
pub struct Starve {
    /// Arrivals and the world are drawn from it.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Seconds of load.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Requests a second.
    #[arg(long, default_value_t = 240.0)]
    rate: f64,
    /// Clients that send a byte a second.
    #[arg(long, default_value_t = 500)]
    writers: usize,
    /// Clients that ask for 64 KiB and never read them.
    #[arg(long, default_value_t = 500)]
    readers: usize,
}

struct Outcome {
    classes: Vec<ClassResult>,
    verdict: Verdict,
    /// The most that was accounted for, and what there was.
    memory: (u64, u64),
}

impl Starve {
    /// Whether the sale-writes fare as well with the crowd as without it.
    pub fn run(&self) -> Result<bool, TestbenchError> {
        let (seed, seconds, rate) = (self.seed, self.seconds, self.rate);
        let mut outcomes = Vec::with_capacity(2);
        for crowd in [(0, 0), (self.writers, self.readers)] {
            let one = thread::spawn(move || runtime()?.block_on(play(seed, seconds, rate, crowd)));
            outcomes.push(one.join().map_err(|_| TestbenchError::Ended)??);
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
    // On a thread of its own: it must not slow the load's clients down.
    let (end, ended) = tokio::sync::watch::channel(());
    let tenant = spec.tenants.first().map_or("", |(name, _)| name);
    let slow = thread::spawn(move || runtime()?.block_on(mill_about(address, crowd, tenant, ended)));
    sleep(Duration::from_secs(1)).await;
    let planned = plan(&spec, seed, rate, (seconds * SECOND as f64) as i64);
    let wire = Wire::Postgres;
    let classes = load::run(Target { wire, address, spec: Rc::new(spec), clock, world }, planned).await;
    drop(end);
    let verdict = rig.installation.verdict().await?;
    let memory = (rig.proxy.budget.peak_used(), rig.proxy.budget.cap());
    rig.proxy.end().await?;
    slow.join().map_err(|_| TestbenchError::Ended)??;
    Ok(Outcome { classes, verdict, memory })
}

/// The crowd, until the other side of `ended` is dropped.
async fn mill_about(
    address: SocketAddr,
    (writers, readers): (usize, usize),
    tenant: &'static str,
    mut ended: tokio::sync::watch::Receiver<()>,
) -> io::Result<()> {
    let mut crowd = JoinSet::new();
    for _ in 0..writers {
        crowd.spawn(async move {
            loop {
                let _ = write_slowly(address).await;
                sleep(AGAIN).await;
            }
        });
    }
    for number in 0..readers {
        crowd.spawn(async move {
            for turn in 0_u64.. {
                let _ = never_read(address, tenant, number, turn).await;
                sleep(AGAIN).await;
            }
        });
    }
    let _ = ended.changed().await;
    crowd.shutdown().await;
    Ok(())
}

async fn write_slowly(address: SocketAddr) -> io::Result<()> {
    let mut stream = Client::connect(Wire::Postgres, address).await?.into_stream();
    stream.write_all(&BEGUN).await?;
    stream.write_all(&[b' '; BEFORE]).await?;
    loop {
        sleep(Duration::from_secs(1)).await;
        stream.write_all(b" ").await?;
    }
}

async fn never_read(address: SocketAddr, tenant: &str, number: usize, turn: u64) -> io::Result<()> {
    let mut stream: TcpStream = Client::connect(Wire::Postgres, address).await?.into_stream();
    let id = format!("{LARGE_ID_PREFIX}{number}x{turn}");
    let text = format!(
        "SELECT content FROM kv WHERE name = 'k{number}' /* id={id},c=daily-report,t={tenant},d=1000,cluster=0 */\0"
    );
    stream.write_all(b"Q").await?;
    stream.write_all(&(text.len() as u32 + 4).to_be_bytes()).await?;
    stream.write_all(text.as_bytes()).await?;
    // Stays until the proxy closes, or half a minute: the answer fills the way.
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
        println!("{}: {}", breach.rule, breach.what);
    }
    for (name, outcome) in [("alone", alone), ("crowd", crowded)] {
        println!("{name}: {} requests sent once more on a new connection", load::resent(&outcome.classes));
    }
    let written = |outcome: &Outcome| {
        let spec = Spec::sapporo();
        let write = spec.classes.iter().position(|class| class.freshness == Freshness::Write).unwrap_or(0);
        let class = &outcome.classes[write];
        100.0 * class.in_time as f64 / class.offered.max(1) as f64
    };
    let (with, without) = (written(crowded), written(alone));
    let broken = alone.verdict.breaches.len() + crowded.verdict.breaches.len();
    let (peak, cap) = (alone.memory.0.max(crowded.memory.0), crowded.memory.1);
    let mb = |bytes: u64| bytes as f64 / f64::from(1 << 20);
    println!(
        "starve: sale-write served in time {with:.1}% against {without:.1}%, rules broken {broken}, peak memory {:.1} of {:.1} MB",
        mb(peak),
        mb(cap)
    );
    with >= without - WORSE && broken == 0 && peak <= cap
}
