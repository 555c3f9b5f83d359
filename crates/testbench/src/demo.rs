//! The whole thing on one machine, to be seen: ledger sets, discovery, a proxy with a port for each protocol,
//! and a trickle of load.

use crate::load::{self, Target};
use crate::rig::Rig;
use crate::{runtime, span, TestbenchError};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{interval_at, sleep, Instant};
use wheelpier_emulator::net::{Options, Wire};
use wheelpier_emulator::schedule::{plan, Planned};
use wheelpier_emulator::script::Script;
use wheelpier_emulator::spec::{Freshness, Spec};
use wheelpier_emulator::SECOND;

/// Without an end of its own the load is planned so far ahead.
const LONGEST: Duration = Duration::from_secs(3_600);

/// How long and how much.
#[derive(Debug, clap::Args)]
pub struct Demo {
    /// Ends by itself after this time; else with Ctrl-C, or after an hour.
    #[arg(long = "for", value_name = "SPAN", value_parser = span)]
    span: Option<Duration>,
    /// Requests a second, over each protocol.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// What is shown: sapporo, or tip-ledger, the second deployment.
    #[arg(long, default_value = "sapporo", value_parser = named)]
    spec: Box<Spec>,
    /// Arrivals and the world are drawn from it.
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

impl Demo {
    /// Runs until its time is over or Ctrl-C.
    pub fn run(&self) -> Result<(), TestbenchError> {
        runtime()?.block_on(self.show())
    }

    async fn show(&self) -> Result<(), TestbenchError> {
        let spec = (*self.spec).clone();
        let wires = vec![Wire::Postgres, Wire::Tds];
        let options =
            Options { spec: spec.clone(), seed: self.seed, wires, script: Script::empty(), proxies: 1 };
        let rig = Rig::start(options, self.rate * 2.0).await?;
        self.greet(&rig, &spec)?;
        let span = self.span.unwrap_or(LONGEST);
        let loads = async {
            let one = |wire, seed| self.load(&rig, &spec, wire, seed, span);
            let both = (one(Wire::Postgres, self.seed), one(Wire::Tds, self.seed + 1));
            let (postgres, tds) = tokio::join!(both.0, both.1);
            postgres.and(tds)
        };
        tokio::select! {
            done = loads => done?,
            () = watch(&rig) => {}
            () = sleep(span) => {}
            interrupted = tokio::signal::ctrl_c() => interrupted?,
        }
        println!("ends: {}", rig.proxy.counters);
        rig.proxy.end().await
    }

    fn greet(&self, rig: &Rig, spec: &Spec) -> Result<(), TestbenchError> {
        for wire in [Wire::Postgres, Wire::Tds] {
            println!("{wire} {}", rig.port(wire)?);
        }
        for (n, class) in spec.classes.iter().enumerate() {
            let key = (class.freshness == Freshness::Write).then(|| "5c0f".to_owned());
            let (id, session) = (format!("demo-{}", n + 1), "till-1".to_owned());
            let value = vec![0x9f, 0x03];
            let shown =
                Planned { at: 0, id, class: n, tenant: 0, roams: None, group: 0, session, key, value };
            println!("{}", shown.statement(spec, class.deadline));
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

/// Says each second what the proxy has done so far.
async fn watch(rig: &Rig) {
    let second = Duration::from_secs(1);
    let mut ticks = interval_at(Instant::now() + second, second);
    loop {
        ticks.tick().await;
        println!("{}", rig.proxy.counters);
    }
}

fn named(name: &str) -> Result<Box<Spec>, String> {
    Spec::named(name).map(Box::new)
}
