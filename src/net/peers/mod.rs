//! The fleet actor: owns this process's membership state, its transport and its datagram socket.
//! [`crate::membership`] decides what messages mean; this module has the sockets, timers, log lines and
//! metrics. It runs only if the operator's file has `peers`.
//!
//! Mailboxes: messages from streams (bounded; those that do not fit are dropped and counted, since any
//! message may get lost) and queries of the console (bounded). The actor never blocks: datagrams that the
//! socket does not accept are dropped, and a bounded number of tasks writes to streams.

mod streams;

use super::clock::Clock;
use crate::config::PeerSettings;
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

/// Maximum number of queries that wait for the actor.
const QUERY_CAPACITY: usize = 16;

/// The bound sockets on which messages of other members arrive.
#[derive(Debug)]
pub(crate) struct PeerListener {
    datagrams: UdpSocket,
    streams: TcpListener,
}

impl PeerListener {
    /// Binds one port for datagrams and streams.
    ///
    /// # Errors
    /// If the address cannot be bound; the error names the setting and the address.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let with_address =
            |error: io::Error| io::Error::new(error.kind(), format!("peers.listen {address}: {error}"));
        let streams = TcpListener::bind(address).await.map_err(with_address)?;
        let datagrams = UdpSocket::bind(streams.local_addr()?).await.map_err(with_address)?;
        Ok(Self { datagrams, streams })
    }
}

/// The channel on which the console requests the status of the fleet.
pub(crate) type MembershipQueries = mpsc::Sender<oneshot::Sender<FleetStatus>>;

/// The arguments of [`start`].
pub(crate) struct Start {
    pub name: String,
    pub peers: PeerSettings,
    /// Maximum number of open streams in each direction.
    pub streams: usize,
    pub clock: Clock,
    pub metrics: Arc<PeerMetrics>,
    pub draining: watch::Receiver<Option<Instant>>,
}

/// Starts the actor, which leaves the fleet and ends when the proxy drains. If the actor fails, the proxy
/// continues without the fleet.
///
/// # Errors
/// If the system provides no random numbers, or the address of the listener cannot be determined.
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
            metrics.set_membership(0, 0, true);
            tracing::error!(%error, "fleet actor failed, continuing without the fleet");
        }
    };
    Ok((queries, tokio::spawn(supervised)))
}

fn random_number() -> io::Result<u64> {
    getrandom::u64()
        .map_err(|error| io::Error::other(format!("the system provides no random numbers: {error}")))
}

struct Actor {
    fleet: String,
    clock: Clock,
    member: Member,
    transport: Transport,
    membership_log: MembershipLog,
    metrics: Arc<PeerMetrics>,
    streams: Streams,
    /// Frames to be sent after the current event was handled.
    outbound: Vec<OutboundFrame>,
    has_left: bool,
}

impl Actor {
    fn new(listener: &PeerListener, start: &Start) -> io::Result<Self> {
        let peers = &start.peers;
        // The votes of earlier processes are not stored, so this process must be another incarnation. Any
        // different number will do: if the view has a higher one, the process continues as the incarnation
        // after that.
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
        // One byte more than allowed reveals a datagram that is too long.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        while !self.has_left {
            let timeout_at = self.clock.instant(self.member.next_timeout());
            tokio::select! {
                received = datagrams.recv_from(&mut buffer) => match received {
                    Ok((length, source)) => self.receive(&buffer[..length], Some(source)),
                    Err(error) => tracing::debug!(%error, "receiving a datagram failed"),
                },
                Some(bytes) = stream_messages.recv() => self.receive(&bytes, None),
                () = sleep_until(timeout_at) => self.handle_due_timeout(),
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

    /// Handles a timeout that is due. Has to be called before handling anything received, so that a process
    /// that was paused notices the pause first.
    fn handle_due_timeout(&mut self) {
        if self.member.next_timeout() <= self.clock.now() {
            self.with_member(Member::handle_timeout);
        }
        self.log_takeovers();
    }

    fn receive(&mut self, bytes: &[u8], source: Option<SocketAddr>) {
        self.handle_due_timeout();
        self.metrics.record_received(bytes.len());
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
        self.metrics.record_dropped(reason);
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
        self.metrics.set_membership(view.epoch, view.members.len(), consensus.is_fenced(now));
    }

    fn apply_output(&mut self, now: Timestamp, output: Output) {
        let me = self.member.me().clone();
        for change in self.membership_log.record(now, &me, &output) {
            self.log_change(now, &change);
        }
        match output {
            Output::Send(to, message) => match self.transport.send(now, &me, &to, message) {
                Ok(frames) => self.outbound.extend(frames),
                Err(reason) => self.record_drop(reason),
            },
            Output::Left => self.has_left = true,
            // Nothing is stored, since each process is another incarnation.
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
        for frame in self.outbound.drain(..) {
            self.metrics.record_sent(frame.bytes.len());
            if frame.needs_stream() {
                self.streams.send(frame);
            } else if datagrams.try_send_to(&frame.bytes, frame.address).is_err() {
                self.metrics.record_unsent();
            }
        }
    }
}

/// Logs an output of the member that needs no action. The field `event` identifies the output for tools.
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
            // `me` is the new incarnation. The old one was (or may have been) removed, or its number is taken.
            tracing::info!(event = "life", at_us, %me,
                "current incarnation can no longer be a member: requesting admission under a new incarnation");
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
