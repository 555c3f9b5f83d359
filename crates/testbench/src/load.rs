//! Open-loop load: each request goes out at its time, whatever became of those before. A latency counts from
//! the time at which the request was to go out, so that a late sender hides nothing (coordinated omission).

use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{sleep_until, timeout, Instant};
use wheelpier_emulator::checker::ProxyIncarnation;
use wheelpier_emulator::net::client::{Answer, Client};
use wheelpier_emulator::net::{Clock, Wire, WorldMessage};
use wheelpier_emulator::schedule::Planned;
use wheelpier_emulator::spec::{Freshness, Spec};
use wheelpier_emulator::Micros;

/// Beyond its deadline a client waits so long for an answer that breaks the rule.
const PATIENCE: Duration = Duration::from_millis(500);
/// The longest latency that is told apart, in microseconds.
const LONGEST: u64 = 60_000_000;

/// How the requests of a class fared.
#[derive(Clone, Debug)]
pub struct ClassResult {
    /// The class.
    pub name: &'static str,
    /// Requests sent.
    pub offered: u64,
    /// Requests answered with a value.
    pub served: u64,
    /// Served within the class's latency objective.
    pub in_time: u64,
    /// Requests rejected.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Sent once more because an idle connection ended under it.
    pub resent: u64,
    /// Of those that were served, in microseconds.
    pub latency: Histogram<u64>,
}

impl ClassResult {
    fn new(name: &'static str) -> Self {
        // Fails only where the bounds make no sense.
        let latency =
            Histogram::new_with_max(LONGEST, 3).unwrap_or_else(|_| Histogram::new(3).expect("3 digits"));
        Self { name, offered: 0, served: 0, in_time: 0, refused: 0, failed: 0, resent: 0, latency }
    }

    /// A percentile in milliseconds.
    pub fn percentile(&self, percent: f64) -> f64 {
        self.latency.value_at_quantile(percent / 100.0) as f64 / 1e3
    }
}

/// Where the load goes.
#[derive(Clone, Debug)]
pub struct Target {
    /// The protocol that clients speak.
    pub wire: Wire,
    /// The proxy's client port.
    pub address: SocketAddr,
    /// The installation.
    pub spec: Rc<Spec>,
    /// The emulator's clock.
    pub clock: Clock,
    /// The emulated hosts, which are notified of each request.
    pub world: mpsc::Sender<WorldMessage>,
}

/// Why a request has no answer.
enum Failure {
    /// It had no connection to go out on.
    Door,
    /// Its connection ended before the answer.
    Lost,
}

struct Load {
    target: Target,
    idle: RefCell<Vec<Client>>,
    results: RefCell<Vec<ClassResult>>,
}

/// Sends what is planned and waits for all answers.
pub async fn run(target: Target, plan: Vec<Planned>) -> Vec<ClassResult> {
    let results = target.spec.classes.iter().map(|class| ClassResult::new(class.name)).collect();
    let load = Rc::new(Load { target, idle: RefCell::default(), results: RefCell::new(results) });
    let local = LocalSet::new();
    local.run_until(send_all(Rc::clone(&load), plan)).await;
    let results = load.results.borrow().clone();
    results
}

async fn send_all(load: Rc<Load>, plan: Vec<Planned>) {
    let start = Instant::now();
    let mut open = JoinSet::new();
    for planned in plan {
        let at = start + Duration::from_micros(planned.at as u64);
        sleep_until(at).await;
        while open.try_join_next().is_some() {}
        let load = Rc::clone(&load);
        open.spawn_local(async move { load.one(planned, at).await });
    }
    while open.join_next().await.is_some() {}
}

impl Load {
    async fn one(&self, planned: Planned, at: Instant) {
        let Target { spec, clock, world, .. } = &self.target;
        let class = planned.class;
        let patience = Duration::from_micros(spec.classes[class].deadline as u64);
        self.results.borrow_mut()[class].offered += 1;
        let until = clock.now() + patience.as_micros() as Micros;
        let (id, session) = (planned.id.clone(), planned.session.clone());
        let _ =
            world.send(WorldMessage::Asked { id, session, proxy: ProxyIncarnation::default(), until }).await;
        let answer = timeout(patience + PATIENCE, self.ask(&planned, patience)).await;
        let told = match &answer {
            Ok(Ok(Answer::Served(value))) => {
                let writes = spec.classes[class].freshness == Freshness::Write;
                let wrote = writes.then(|| planned.session.clone());
                WorldMessage::Answered { id: planned.id, value: Some(value.clone()), wrote }
            }
            Ok(Ok(_)) => WorldMessage::Answered { id: planned.id, value: None, wrote: None },
            // Closed at the door, with nothing said: it was never taken.
            Ok(Err(Failure::Door)) => WorldMessage::Withdrawn(planned.id),
            _ => WorldMessage::Lost(planned.id),
        };
        let _ = world.send(told).await;
        self.count(class, at.elapsed(), answer.ok().and_then(Result::ok));
    }

    /// Asks on an idle connection, or on a new one. A proxy may close a connection between requests: if that crosses
    /// a request, its client sends it once more on a new one.
    async fn ask(&self, planned: &Planned, patience: Duration) -> Result<Answer, Failure> {
        let Target { wire, address, spec, .. } = &self.target;
        let wait = patience.as_micros() as Micros;
        let idle = self.idle.borrow_mut().pop();
        if let Some(mut client) = idle {
            if let Ok(answer) = client.ask(planned, spec, wait).await {
                self.idle.borrow_mut().push(client);
                return Ok(answer);
            }
            self.results.borrow_mut()[planned.class].resent += 1;
        }
        let mut client = Client::connect(*wire, *address).await.map_err(|_| Failure::Door)?;
        let answer = client.ask(planned, spec, wait).await.map_err(|e| match e.kind() {
            io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset if client.silent() => Failure::Door,
            _ => Failure::Lost,
        })?;
        self.idle.borrow_mut().push(client);
        Ok(answer)
    }

    fn count(&self, class: usize, latency: Duration, answer: Option<Answer>) {
        let latency_objective = self.target.spec.classes[class].latency_objective;
        let mut results = self.results.borrow_mut();
        let result = &mut results[class];
        match answer {
            Some(Answer::Served(_)) => {
                result.served += 1;
                result.in_time += u64::from(latency.as_micros() as Micros <= latency_objective);
                result.latency.saturating_record(latency.as_micros() as u64);
            }
            Some(Answer::Refused(_)) => result.refused += 1,
            Some(Answer::Failed(_)) | None => result.failed += 1,
        }
    }
}

/// How many requests were sent once more.
pub fn resent(results: &[ClassResult]) -> u64 {
    results.iter().map(|class| class.resent).sum()
}
