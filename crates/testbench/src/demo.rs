//! A demonstration on one machine: emulated hosts, discovery, a proxy with a port for each protocol, and
//! light load.

use crate::load::{self, Target};
use crate::rig::Rig;
use crate::{parse_duration, runtime, TestbenchError};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{interval_at, sleep, Instant};
use wheelpier_emulator::net::{Options, Wire};
use wheelpier_emulator::schedule::{plan, Planned};
use wheelpier_emulator::script::Script;
use wheelpier_emulator::spec::{Freshness, Spec};
use wheelpier_emulator::SECOND;

/// The duration of a demonstration that no option limits, since the load is planned in advance.
const MAX_DURATION: Duration = Duration::from_secs(3_600);

/// The arguments of `demo`.
#[derive(Debug, clap::Args)]
pub struct Demo {
    /// Ends after this time; otherwise at Ctrl-C, or after an hour.
    #[arg(long = "for", value_name = "SPAN", value_parser = parse_duration)]
    span: Option<Duration>,
    /// Requests per second over each protocol.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// The emulated deployment: sapporo or tip-ledger.
    #[arg(long, default_value = "sapporo", value_parser = parse_spec)]
    spec: Box<Spec>,
    /// Seed of the requests and of the emulated hosts.
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

impl Demo {
    /// Runs until the time is over or Ctrl-C is pressed.
    pub fn run(&self) -> Result<(), TestbenchError> {
        runtime()?.block_on(self.play())
    }

    async fn play(&self) -> Result<(), TestbenchError> {
        let spec = (*self.spec).clone();
        let wires = vec![Wire::Postgres, Wire::Tds];
        let options =
            Options { spec: spec.clone(), seed: self.seed, wires, script: Script::empty(), proxies: 1 };
        let rig = Rig::start(options, self.rate * 2.0).await?;
        self.print_instructions(&rig, &spec)?;
        let span = self.span.unwrap_or(MAX_DURATION);
        let loads = async {
            let load = |wire, seed| self.load(&rig, &spec, wire, seed, span);
            let (postgres, tds) = (load(Wire::Postgres, self.seed), load(Wire::Tds, self.seed + 1));
            let (postgres, tds) = tokio::join!(postgres, tds);
            postgres.and(tds)
        };
        tokio::select! {
            result = loads => result?,
            () = print_counters(&rig) => {}
            () = sleep(span) => {}
            interrupted = tokio::signal::ctrl_c() => interrupted?,
        }
        println!("final counters: {}", rig.proxy.counters);
        rig.proxy.end().await
    }

    /// Prints the address for each protocol and an example statement of each class.
    fn print_instructions(&self, rig: &Rig, spec: &Spec) -> Result<(), TestbenchError> {
        for wire in [Wire::Postgres, Wire::Tds] {
            println!("{wire} {}", rig.port(wire)?);
        }
        for (n, class) in spec.classes.iter().enumerate() {
            let key = (class.freshness == Freshness::Write).then(|| "5c0f".to_owned());
            let (id, session) = (format!("demo-{}", n + 1), "till-1".to_owned());
            let value = vec![0x9f, 0x03];
            let example =
                Planned { at: 0, id, class: n, tenant: 0, roams: None, group: 0, session, key, value };
            println!("{}", example.statement(spec, class.deadline));
        }
        Ok(())
    }

    async fn load(
        &self,
        rig: &Rig,
        spec: &Spec,
        wire: Wire,
        seed: u64,
        span: Duration,
    ) -> Result<(), TestbenchError> {
        let plan = plan(spec, seed, self.rate, (span.as_secs_f64() * SECOND as f64) as i64);
        let (world, clock, address) = (rig.installation.mailbox(), rig.clock, rig.port(wire)?);
        let spec = Rc::new(spec.clone());
        load::run(Target { wire, address, spec, clock, world }, plan).await;
        Ok(())
    }
}

/// Prints the counters of the proxy each second.
async fn print_counters(rig: &Rig) {
    let second = Duration::from_secs(1);
    let mut ticks = interval_at(Instant::now() + second, second);
    loop {
        ticks.tick().await;
        println!("{}", rig.proxy.counters);
    }
}

fn parse_spec(name: &str) -> Result<Box<Spec>, String> {
    Spec::named(name).map(Box::new)
}
