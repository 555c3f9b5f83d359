//! The emulated discovery service: the endpoint list, and watches that stream its changes.

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

/// Interval of the empty lines that a watch receives while nothing changes.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);

/// The endpoint list, with the version of each entry.
#[derive(Clone, Debug)]
pub(super) struct EndpointList {
    index: u64,
    entries: Vec<Entry>,
    host_type: &'static str,
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

impl EndpointList {
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
            host_type: world.spec().host_type,
        }
    }

    pub fn change(&mut self, host: usize, status: Status, since: Option<Micros>) {
        self.index += 1;
        let entry = &mut self.entries[host];
        (entry.status, entry.since, entry.changed) = (status, since, self.index);
    }

    /// Returns the entries that changed after a version, or all entries if none is given.
    fn after(&self, since: Option<u64>) -> impl Iterator<Item = (usize, &Entry)> {
        let since = since.unwrap_or(0);
        self.entries.iter().enumerate().filter(move |(_, entry)| entry.changed > since)
    }

    /// Returns the whole list, in the form of a proxy's configuration.
    pub fn known(&self) -> Value {
        self.json(None)
    }

    fn line(&self, since: Option<u64>) -> String {
        format!("{}\n", self.json(since))
    }

    fn json(&self, since: Option<u64>) -> Value {
        let endpoints: Vec<Value> =
            self.after(since).map(|(host, entry)| entry.json(host, self.host_type)).collect();
        json!({"index": self.index, "snapshot": since.is_none(), "endpoints": endpoints})
    }
}

impl Entry {
    fn json(&self, host: usize, host_type: &str) -> Value {
        let status = match self.status {
            Status::Up => "up",
            Status::Draining => "draining",
            Status::Removed => "removed",
        };
        json!({
            "name": format!("ledger-{host}"), "address": self.address.to_string(), "zone": self.zone,
            "type": format!("{host_type}-{}", self.wire), "group": self.group, "status": status,
            "weight": 1.0, "since_ms": self.since.map_or(0, |since| since / MS),
        })
    }
}

pub(super) async fn serve(
    address: SocketAddr,
    list: watch::Receiver<EndpointList>,
    mailbox: mpsc::Sender<WorldMessage>,
    mode: Discovery,
    mut shutdown: watch::Receiver<()>,
) -> io::Result<SocketAddr> {
    let call_permit = Arc::new(Semaphore::new(1));
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        loop {
            tokio::select! {
                accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                    let (list, mailbox, mut shutdown) = (list.clone(), mailbox.clone(), shutdown.clone());
                    let call_permit = Arc::clone(&call_permit);
                    let service = service_fn(move |request| {
                        let (list, mailbox) = (list.clone(), mailbox.clone());
                        let call_permit = Arc::clone(&call_permit);
                        async move {
                            let is_admitted = wait_for_turn(mode, &call_permit).await;
                            Ok::<_, Infallible>(match is_admitted {
                                true => answer(&request, list, mailbox),
                                false => empty_response(StatusCode::SERVICE_UNAVAILABLE),
                            })
                        }
                    });
                    let connection = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service);
                    tokio::spawn(async move {
                        tokio::select! {
                            _ = connection => {}
                            Err(_) = shutdown.changed() => {}
                        }
                    });
                },
                Err(_) = shutdown.changed() => return,
            }
        }
    });
    Ok(address)
}

type Body = BoxBody<Bytes, Infallible>;

/// Waits for the turn of a call if discovery is polled, as its service answers one call at a time. Returns
/// false if the wait was too long.
async fn wait_for_turn(mode: Discovery, call_permit: &Semaphore) -> bool {
    let Discovery::Polled { call_duration, max_wait } = mode else { return true };
    let span = |micros: Micros| Duration::from_micros(micros.max(0) as u64);
    match timeout(span(max_wait), call_permit.acquire()).await {
        Ok(Ok(_turn)) => {
            sleep(span(call_duration)).await;
            true
        }
        _ => false,
    }
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Full::default().boxed());
    *response.status_mut() = status;
    response
}

fn answer(
    request: &Request<hyper::body::Incoming>,
    list: watch::Receiver<EndpointList>,
    mailbox: mpsc::Sender<WorldMessage>,
) -> Response<Body> {
    if request.uri().path() != "/catalog/members" {
        return empty_response(StatusCode::NOT_FOUND);
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

/// Sends the list and its changes to a watch until it shutdown.
async fn follow(
    mut since: Option<u64>,
    mut list: watch::Receiver<EndpointList>,
    mailbox: mpsc::Sender<WorldMessage>,
    lines: mpsc::Sender<Result<Frame<Bytes>, Infallible>>,
) {
    loop {
        let endpoint_list = list.borrow_and_update().clone();
        let changes: Vec<(usize, Status)> =
            endpoint_list.after(since).map(|(host, entry)| (host, entry.status)).collect();
        let line =
            if changes.is_empty() && since.is_some() { "\n".to_owned() } else { endpoint_list.line(since) };
        if lines.send(Ok(Frame::data(Bytes::from(line)))).await.is_err() {
            return;
        }
        since = Some(endpoint_list.index);
        for (host, status) in changes {
            if mailbox.send(WorldMessage::Written(host, status)).await.is_err() {
                return;
            }
        }
        let changed = tokio::select! {
            changed = timeout(EMPTY_LINE_INTERVAL, list.changed()) => changed,
            () = lines.closed() => return,
        };
        if matches!(changed, Ok(Err(_))) {
            return;
        }
    }
}
