//! Open-loop load: each request is sent at its scheduled time, whether earlier ones were answered or not. A
//! latency is measured from the scheduled time, so that a late sender does not hide delays (coordinated
//! omission).

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

/// The time after its deadline for which a client still waits for an answer, to see that it is late.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// The largest latency that the histograms record, in microseconds. Larger ones count as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// The results of the requests of one class.
#[derive(Clone, Debug)]
pub struct ClassResult {
    /// The name of the class.
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
    /// Requests sent a second time because their idle connection had been closed.
    pub resent: u64,
    /// Latencies of the served requests, in microseconds.
    pub latency: Histogram<u64>,
}

impl ClassResult {
    fn new(name: &'static str) -> Self {
        // Fails only for invalid bounds.
        let latency = Histogram::new_with_max(MAX_LATENCY_US, 3)
            .unwrap_or_else(|_| Histogram::new(3).expect("3 digits"));
        Self { name, offered: 0, served: 0, in_time: 0, refused: 0, failed: 0, resent: 0, latency }
    }

    /// Returns a percentile of the latency in milliseconds.
    pub fn percentile(&self, percent: f64) -> f64 {
        self.latency.value_at_quantile(percent / 100.0) as f64 / 1e3
    }
}

/// The proxy that the load is sent to, and the emulated installation behind it.
#[derive(Clone, Debug)]
pub struct Target {
    /// The protocol that clients speak.
    pub wire: Wire,
    /// The proxy's client port.
    pub address: SocketAddr,
    /// The specification of the installation.
    pub spec: Rc<Spec>,
    /// The emulator's clock.
    pub clock: Clock,
    /// The mailbox of the emulated hosts, which are notified of each request.
    pub world: mpsc::Sender<WorldMessage>,
}

/// The reason why a request has no answer.
enum Failure {
    /// No connection could be opened, or it was closed before the proxy sent anything.
    NotAccepted,
    /// The connection failed before the answer arrived.
    Lost,
}

struct Load {
    target: Target,
    idle: RefCell<Vec<Client>>,
    results: RefCell<Vec<ClassResult>>,
}

/// Sends the planned requests and waits for all answers. Returns the results of each class.
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
    let mut running = JoinSet::new();
    for planned in plan {
        let due = start + Duration::from_micros(planned.at as u64);
        sleep_until(due).await;
        while running.try_join_next().is_some() {}
        let load = Rc::clone(&load);
        running.spawn_local(async move { load.run_request(planned, due).await });
    }
    while running.join_next().await.is_some() {}
}

impl Load {
    async fn run_request(&self, planned: Planned, due: Instant) {
        let Target { spec, clock, world, .. } = &self.target;
        let class = planned.class;
        let deadline = Duration::from_micros(spec.classes[class].deadline as u64);
        self.results.borrow_mut()[class].offered += 1;
        let until = clock.now() + deadline.as_micros() as Micros;
        let (id, session) = (planned.id.clone(), planned.session.clone());
        let _ =
            world.send(WorldMessage::Asked { id, session, proxy: ProxyIncarnation::default(), until }).await;
        let answer = timeout(deadline + ANSWER_GRACE, self.send(&planned, deadline)).await;
        let message = match &answer {
            Ok(Ok(Answer::Served(value))) => {
                let writes = spec.classes[class].freshness == Freshness::Write;
                let wrote = writes.then(|| planned.session.clone());
                WorldMessage::Answered { id: planned.id, value: Some(value.clone()), wrote }
            }
            Ok(Ok(_)) => WorldMessage::Answered { id: planned.id, value: None, wrote: None },
            // The connection was refused or closed before it was served: the proxy never took the request.
            Ok(Err(Failure::NotAccepted)) => WorldMessage::Withdrawn(planned.id),
            _ => WorldMessage::Lost(planned.id),
        };
        let _ = world.send(message).await;
        self.count(class, due.elapsed(), answer.ok().and_then(Result::ok));
    }

    /// Sends a request on an idle connection, or on a new one. A proxy may close a connection between
    /// requests; if a request is on its way then, it is sent a second time on a new connection.
    async fn send(&self, planned: &Planned, deadline: Duration) -> Result<Answer, Failure> {
        let Target { wire, address, spec, .. } = &self.target;
        let wait = deadline.as_micros() as Micros;
        let idle = self.idle.borrow_mut().pop();
        if let Some(mut client) = idle {
            if let Ok(answer) = client.ask(planned, spec, wait).await {
                self.idle.borrow_mut().push(client);
                return Ok(answer);
            }
            self.results.borrow_mut()[planned.class].resent += 1;
        }
        let mut client = Client::connect(*wire, *address).await.map_err(|_| Failure::NotAccepted)?;
        let answer = client.ask(planned, spec, wait).await.map_err(|error| match error.kind() {
            io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset
                if client.has_no_unprocessed_bytes() =>
            {
                Failure::NotAccepted
            }
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

/// Returns the number of requests that were sent a second time.
pub fn resent(results: &[ClassResult]) -> u64 {
    results.iter().map(|class| class.resent).sum()
}
