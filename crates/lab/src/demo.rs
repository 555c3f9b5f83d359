//! The whole thing on one machine, to be seen: ledger sets, discovery, a proxy with a port for each protocol,
//! and a trickle of load.

use crate::load::{self, Target};
use crate::rig::Rig;
use crate::{runtime, span, LabError};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{interval_at, sleep, Instant};
use wheelpier_standin::net::{Options, Wire};
use wheelpier_standin::schedule::plan;
use wheelpier_standin::script::Script;
use wheelpier_standin::spec::Spec;
use wheelpier_standin::SECOND;

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
    /// Arrivals and the world are drawn from it.
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

impl Demo {
    /// Runs until its time is over or Ctrl-C.
    pub fn run(&self) -> Result<(), LabError> {
        runtime()?.block_on(self.show())
    }

    async fn show(&self) -> Result<(), LabError> {
        let spec = Spec::sapporo();
        let wires = vec![Wire::Postgres, Wire::Tds];
        let options = Options { spec: spec.clone(), seed: self.seed, wires, script: Script::calm() };
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

    fn greet(&self, rig: &Rig, spec: &Spec) -> Result<(), LabError> {
        for wire in [Wire::Postgres, Wire::Tds] {
            println!("{wire} {}", rig.port(wire)?);
        }
        let read = "SELECT content FROM kv WHERE name = 'till-1'";
        let write = "INSERT INTO kv (name, content) VALUES ('till-1', '\\x9f03') RETURNING content";
        let tenant = spec.tenants[0].0;
        println!("{read} /* id=demo-1,c=price-lookup,t={tenant},d=1200,cluster=0 */");
        println!("{write} /* id=demo-2,c=sale-write,t={tenant},d=5000,k=5c0f,cluster=0 */");
        Ok(())
    }

    async fn load(
        &self,
        rig: &Rig,
        spec: &Spec,
        wire: Wire,
        seed: u64,
        span: Duration,
    ) -> Result<(), LabError> {
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
