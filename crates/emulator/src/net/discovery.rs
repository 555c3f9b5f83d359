//! Discovery: the list, and watches that are told its changes.

use super::actor::WorldMessage;
use super::Wire;
use crate::spec::Discovery;
use crate::world::{Status, World};
use crate::{Micros, MS};
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::time::{sleep, timeout};
use tokio_stream::wrappers::ReceiverStream;

/// While nothing changes an empty line comes so often.
const IDLE: Duration = Duration::from_secs(2);

/// The list, with the version of each entry.
#[derive(Clone, Debug)]
pub(super) struct Roster {
    index: u64,
    entries: Vec<Entry>,
    kind: &'static str,
}

#[derive(Clone, Debug)]
struct Entry {
    zone: &'static str,
    address: SocketAddr,
    group: usize,
    wire: Wire,
    status: Status,
    since: Option<Micros>,
    changed: u64,
}

impl Roster {
    pub fn new(world: &World, hosts: &[SocketAddr], wires: &[Wire]) -> Self {
        let entry = |(host, address): (usize, &SocketAddr)| Entry {
            zone: world.spec().zones.get(world.zone(host)).copied().unwrap_or_default(),
            address: *address,
            group: world.group(host),
            wire: wires[host],
            status: Status::Up,
            since: None,
            changed: 1,
        };
        Self {
            index: 1,
            entries: hosts.iter().enumerate().map(entry).collect(),
            kind: world.spec().host_type,
        }
    }

    pub fn change(&mut self, host: usize, status: Status, since: Option<Micros>) {
        self.index += 1;
        let entry = &mut self.entries[host];
        (entry.status, entry.since, entry.changed) = (status, since, self.index);
    }

    /// What has changed after a version; all of it if there is none.
    fn after(&self, since: Option<u64>) -> impl Iterator<Item = (usize, &Entry)> {
        let since = since.unwrap_or(0);
        self.entries.iter().enumerate().filter(move |(_, entry)| entry.changed > since)
    }

    /// The whole list, as a configuration has it.
    pub fn known(&self) -> Value {
        self.json(None)
    }

    fn line(&self, since: Option<u64>) -> String {
        format!("{}\n", self.json(since))
    }

    fn json(&self, since: Option<u64>) -> Value {
        let endpoints: Vec<Value> =
            self.after(since).map(|(host, entry)| entry.json(host, self.kind)).collect();
        json!({"index": self.index, "snapshot": since.is_none(), "endpoints": endpoints})
    }
}

impl Entry {
    fn json(&self, host: usize, kind: &str) -> Value {
        let status = match self.status {
            Status::Up => "up",
            Status::Draining => "draining",
            Status::Removed => "removed",
        };
        json!({
            "name": format!("ledger-{host}"), "address": self.address.to_string(), "zone": self.zone,
            "type": format!("{kind}-{}", self.wire), "group": self.group, "status": status, "weight": 1.0,
            "since_ms": self.since.map_or(0, |since| since / MS),
        })
    }
}

pub(super) async fn serve(
    address: SocketAddr,
    list: watch::Receiver<Roster>,
    mailbox: mpsc::Sender<WorldMessage>,
    terms: Discovery,
    mut ends: watch::Receiver<()>,
) -> io::Result<SocketAddr> {
    let gate = Arc::new(Semaphore::new(1));
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        loop {
            tokio::select! {
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    let (list, mailbox, mut ends) = (list.clone(), mailbox.clone(), ends.clone());
                    let gate = Arc::clone(&gate);
                    let answer = service_fn(move |request| {
                        let (list, mailbox, gate) = (list.clone(), mailbox.clone(), Arc::clone(&gate));
                        async move {
                            let turn = wait_turn(terms, &gate).await;
                            Ok::<_, Infallible>(match turn {
                                true => answer(&request, list, mailbox),
                                false => refused(StatusCode::SERVICE_UNAVAILABLE),
                            })
                        }
                    });
                    let connection =
                        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), answer);
                    tokio::spawn(async move {
                        tokio::select! {
                            _ = connection => {}
                            Err(_) = ends.changed() => {}
                        }
                    });
                },
                Err(_) = ends.changed() => return,
            }
        }
    });
    Ok(address)
}

type Body = BoxBody<Bytes, Infallible>;

/// Where discovery is one service for all, calls come one after the other; false once one has waited too long.
async fn wait_turn(terms: Discovery, gate: &Semaphore) -> bool {
    let Discovery::Polled { call_duration, max_wait } = terms else { return true };
    let span = |micros: Micros| Duration::from_micros(micros.max(0) as u64);
    match timeout(span(max_wait), gate.acquire()).await {
        Ok(Ok(_turn)) => {
            sleep(span(call_duration)).await;
            true
        }
        _ => false,
    }
}

fn refused(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Full::default().boxed());
    *response.status_mut() = status;
    response
}

fn answer(
    request: &Request<hyper::body::Incoming>,
    list: watch::Receiver<Roster>,
    mailbox: mpsc::Sender<WorldMessage>,
) -> Response<Body> {
    if request.uri().path() != "/catalog/members" {
        return refused(StatusCode::NOT_FOUND);
    }
    let query = request.uri().query().unwrap_or_default();
    let value = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    if value("follow") != Some("1") {
        let line = list.borrow().line(None);
        return Response::new(Full::from(line).boxed());
    }
    let since = value("since").and_then(|since| since.parse().ok());
    let (lines, body) = mpsc::channel(16);
    tokio::spawn(follow(since, list, mailbox, lines));
    Response::new(StreamBody::new(ReceiverStream::new(body)).boxed())
}

/// Tells one watch what changes, until it ends.
async fn follow(
    mut since: Option<u64>,
    mut list: watch::Receiver<Roster>,
    mailbox: mpsc::Sender<WorldMessage>,
    lines: mpsc::Sender<Result<Frame<Bytes>, Infallible>>,
) {
    loop {
        let roster = list.borrow_and_update().clone();
        let news: Vec<(usize, Status)> =
            roster.after(since).map(|(host, entry)| (host, entry.status)).collect();
        let line = if news.is_empty() && since.is_some() { "\n".to_owned() } else { roster.line(since) };
        if lines.send(Ok(Frame::data(Bytes::from(line)))).await.is_err() {
            return;
        }
        since = Some(roster.index);
        for (host, status) in news {
            if mailbox.send(WorldMessage::Written(host, status)).await.is_err() {
                return;
            }
        }
        let changed = tokio::select! {
            changed = timeout(IDLE, list.changed()) => changed,
            () = lines.closed() => return,
        };
        if matches!(changed, Ok(Err(_))) {
            return;
        }
    }
}
