//! The actor of the fleet: owns this process's membership, its transport and its datagrams. What a message
//! means is decided in [`crate::membership`]; here are sockets, timers, the log and the counters. Does not
//! run unless the operator's file has `peers`.
//!
//! Mailboxes: messages from streams (bounded; what does not fit is dropped and counted, as any message may
//! get lost) and queries of the console (bounded). The actor never blocks: datagrams that the socket does not
//! take are dropped, and a bounded number of tasks writes to streams.

mod streams;

use super::clock::Clock;
use crate::config::Peers;
use crate::membership::consensus::Event;
use crate::membership::transport::{
    AddressTable, Authenticator, DropReason, OutboundFrame, Received, Transport, MAX_DATAGRAM_BYTES,
};
use crate::membership::{
    DurableState, FailureDetectorConfig, FleetConfig, FleetStatus, Identity, LeaseTerms, Member,
    MembershipChange, MembershipLog, Name, Output,
};
use crate::peer_metrics::PeerMetrics;
use crate::Timestamp;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use streams::Streams;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep_until, Instant};

/// Bound on the queries that wait for the actor.
const QUERY_CAPACITY: usize = 16;

/// Bound sockets of the fleet's port.
#[derive(Debug)]
pub(crate) struct PeerListener {
    datagrams: UdpSocket,
    streams: TcpListener,
}

impl PeerListener {
    /// Binds one port for datagrams and streams.
    ///
    /// # Errors
    /// When the address cannot be bound; the error names the setting and the address.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let with_address =
            |error: io::Error| io::Error::new(error.kind(), format!("peers.listen {address}: {error}"));
        let streams = TcpListener::bind(address).await.map_err(with_address)?;
        let datagrams = UdpSocket::bind(streams.local_addr()?).await.map_err(with_address)?;
        Ok(Self { datagrams, streams })
    }
}

/// Where the console asks for the status of the fleet.
pub(crate) type MembershipQueries = mpsc::Sender<oneshot::Sender<FleetStatus>>;

/// What the actor is started with.
pub(crate) struct Start {
    pub name: String,
    pub peers: Peers,
    /// Bound on the streams that are open at a time, in each direction.
    pub streams: usize,
    pub clock: Clock,
    pub metrics: Arc<PeerMetrics>,
    pub draining: watch::Receiver<Option<Instant>>,
}

/// Starts the actor. It leaves the fleet when the proxy drains, and ends then. If it fails the proxy
/// continues without its fleet.
///
/// # Errors
/// When the system has no random numbers, or the address of the listener is not known.
pub(crate) fn start(
    listener: PeerListener,
    start: Start,
) -> io::Result<(MembershipQueries, tokio::task::JoinHandle<()>)> {
    let (queries, received_queries) = mpsc::channel(QUERY_CAPACITY);
    let actor = Actor::new(&listener, &start)?;
    let run = tokio::spawn(actor.run(listener, received_queries, start.draining));
    let metrics = start.metrics;
    let supervised = async move {
        if let Err(error) = run.await {
            metrics.stands(0, 0, true);
            tracing::error!(%error, "fleet actor failed, continuing without the fleet");
        }
    };
    Ok((queries, tokio::spawn(supervised)))
}

fn random_number() -> io::Result<u64> {
    getrandom::u64().map_err(|error| io::Error::other(format!("random numbers: {error}")))
}

struct Actor {
    fleet: String,
    clock: Clock,
    member: Member,
    transport: Transport,
    membership_log: MembershipLog,
    metrics: Arc<PeerMetrics>,
    streams: Streams,
    /// Messages to be sent at the end of the present turn.
    outbound: Vec<OutboundFrame>,
    has_left: bool,
}

impl Actor {
    fn new(listener: &PeerListener, start: &Start) -> io::Result<Self> {
        let peers = &start.peers;
        // The votes of earlier processes are not stored, so this one must be another incarnation. Any number
        // that differs will do: if the view has a higher one, the process continues as the incarnation after
        // that.
        let me = Identity::new(&start.name, 1 + (random_number()? >> 32));
        let config = FleetConfig {
            founders: peers.founders.keys().cloned().collect(),
            terms: LeaseTerms::default(),
            failure_detector: FailureDetectorConfig::default(),
        };
        let now = start.clock.now();
        let configured = peers.founders.iter().chain(&peers.members);
        let addresses = AddressTable::new(configured.map(|(name, at)| (Name::clone(name), *at)).collect());
        let authenticator = Authenticator::new(&peers.fleet, &peers.key, peers.second_key.as_ref());
        let transport = Transport::new(me.name.clone(), authenticator, addresses, random_number()?);
        let address = listener.datagrams.local_addr()?;
        tracing::info!(fleet = peers.fleet, member = %me, %address, "joining the fleet");
        Ok(Self {
            fleet: peers.fleet.clone(),
            clock: start.clock,
            member: Member::new(me, config, DurableState::default(), random_number()?, now),
            transport,
            membership_log: MembershipLog::default(),
            metrics: Arc::clone(&start.metrics),
            streams: Streams::new(start.streams, Arc::clone(&start.metrics)),
            outbound: Vec::new(),
            has_left: false,
        })
    }

    async fn run(
        mut self,
        listener: PeerListener,
        mut queries: mpsc::Receiver<oneshot::Sender<FleetStatus>>,
        mut draining: watch::Receiver<Option<Instant>>,
    ) {
        let PeerListener { datagrams, streams } = listener;
        let mut stream_messages = self.streams.listen(streams);
        // One byte more than allowed shows that a datagram is too long.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        while !self.has_left {
            let due = self.clock.instant(self.member.next_timeout());
            tokio::select! {
                received = datagrams.recv_from(&mut buffer) => match received {
                    Ok((length, source)) => self.receive(&buffer[..length], Some(source)),
                    Err(error) => tracing::debug!(%error, "receiving a datagram failed"),
                },
                Some(bytes) = stream_messages.recv() => self.receive(&bytes, None),
                () = sleep_until(due) => self.handle_due_timeout(),
                Some(query) = queries.recv() => {
                    self.handle_due_timeout();
                    // The console may have given up waiting.
                    let _ = query.send(self.status());
                }
                Ok(_) = draining.wait_for(Option::is_some), if !self.member.is_leaving() => {
                    self.with_member(|member, now, outputs| member.leave(now, outputs));
                }
            }
            self.send_outbound(&datagrams);
        }
        tracing::info!(member = %self.member.me(), "left the fleet");
    }

    /// Handles a timeout that is due before anything that was received: a process that was stopped has to
    /// notice it first.
    fn handle_due_timeout(&mut self) {
        if self.member.next_timeout() <= self.clock.now() {
            self.with_member(Member::handle_timeout);
        }
        self.log_takeovers();
    }

    fn receive(&mut self, bytes: &[u8], source: Option<SocketAddr>) {
        self.handle_due_timeout();
        self.metrics.received(bytes.len());
        let (now, me) = (self.clock.now(), self.member.me().clone());
        match self.transport.receive(now, &me, bytes, source) {
            Ok(Received { message, reply }) => {
                self.outbound.extend(reply);
                if let Some((from, message)) = message {
                    self.with_member(|member, now, outputs| {
                        member.handle_message(now, &from, message, outputs);
                    });
                }
            }
            Err(reason) => self.record_drop(reason),
        }
    }

    fn record_drop(&self, reason: DropReason) {
        self.metrics.dropped(reason);
        tracing::trace!(%reason, "peer message dropped");
    }

    /// Runs an action of the member and applies its outputs.
    fn with_member(&mut self, action: impl FnOnce(&mut Member, Timestamp, &mut Vec<Output>)) {
        let (now, mut outputs) = (self.clock.now(), Vec::new());
        action(&mut self.member, now, &mut outputs);
        for output in outputs {
            self.apply_output(now, output);
        }
        let consensus = self.member.consensus();
        let view = consensus.view();
        self.metrics.stands(view.epoch, view.members.len(), consensus.is_fenced(now));
    }

    fn apply_output(&mut self, now: Timestamp, output: Output) {
        let me = self.member.me().clone();
        for change in self.membership_log.record(now, &me, &output) {
            self.log_change(now, &change);
        }
        match output {
            Output::Send(to, message) => match self.transport.send(now, &me, &to, message) {
                Ok(datagrams) => self.outbound.extend(datagrams),
                Err(reason) => self.record_drop(reason),
            },
            Output::Left => self.has_left = true,
            // Nothing is stored: each process is another incarnation.
            Output::Persist(..) => {}
            event => log_event(now, &me, &event),
        }
    }

    fn log_takeovers(&mut self) {
        let now = self.clock.now();
        for change in self.membership_log.record_takeovers(now, self.member.consensus()) {
            self.log_change(now, &change);
        }
    }

    fn log_change(&self, now: Timestamp, change: &MembershipChange) {
        let lease_until_us = self.member.consensus().lease_until().map_or(0, |until| until.0);
        tracing::info!(event = "change", at_us = now.0, me = %self.member.me(), epoch = change.epoch,
            who = change.member, cause = ?change.cause, lease_until_us, "membership changed");
    }

    fn status(&self) -> FleetStatus {
        let addresses = self.transport.addresses();
        let address = |member: &Identity| addresses.address(member);
        self.membership_log.status(self.clock.now(), &self.fleet, &self.member, address)
    }

    fn send_outbound(&mut self, datagrams: &UdpSocket) {
        for datagram in self.outbound.drain(..) {
            self.metrics.sent(datagram.bytes.len());
            if datagram.needs_stream() {
                self.streams.send(datagram);
            } else if datagrams.try_send_to(&datagram.bytes, datagram.address).is_err() {
                self.metrics.unsent();
            }
        }
    }
}

/// Logs an output of the member that only informs. The field `event` tells tools which one it is.
fn log_event(now: Timestamp, me: &Identity, output: &Output) {
    let at_us = now.0;
    match output {
        Output::Consensus(Event::View(view)) => {
            let members: Vec<String> = view.members.iter().map(ToString::to_string).collect();
            let members = members.join(" ");
            tracing::info!(event = "view", at_us, %me, epoch = view.epoch, members, "view adopted");
        }
        Output::Consensus(Event::ConflictingView(view)) => {
            tracing::error!(event = "forked", at_us, %me, epoch = view.epoch, "two views with one epoch");
        }
        Output::NameConflict(there) => {
            tracing::error!(event = "twin", at_us, %me, %there,
                "not admitted: another process of this name is a member");
        }
        Output::IncarnationChanged(me) => {
            tracing::info!(event = "life", at_us, %me, "continuing as another incarnation");
        }
        Output::SuspicionChanged(who, suspicion) => {
            tracing::info!(event = "advice", at_us, %me, %who, ?suspicion, "suspicion changed");
        }
        Output::Consensus(Event::Fenced | Event::Unfenced)
        | Output::Stalled(_)
        | Output::Send(..)
        | Output::Persist(..)
        | Output::Left => {}
    }
}
