//! The other proxies of the fleet: one actor that owns this process's membership, its transport and its datagrams. What it
//! means is decided in [`crate::membership`]; here are sockets, timers, the log and the counters. Nothing of it runs
//! where the operator's file has no `peers`.
//!
//! Mailboxes: streams that have come (bounded; what finds no room is dropped and counted, as any message may get lost) and
//! queries of the console (bounded). The actor waits for nobody: datagrams that the socket does not take are lost,
//! streams are written by tasks of their own, a bounded number at once.

mod streams;

use super::clock::Clock;
use crate::config::Peers;
use crate::membership::member::{FleetConfig, Member, Output};
use crate::membership::membership_log::{Cause, Fleet, MembershipLog};
use crate::membership::transport::{
    AddressTable, Authenticator, DropReason, OutboundDatagram, Received, Transport, MAX_DATAGRAM_BYTES,
};
use crate::membership::{consensus, failure_detector, Identity, LeaseTerms, Name};
use crate::peer_metrics::PeerMetrics;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use streams::Streams;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep_until, Instant};

/// Fleet status queries that may wait.
const QUERY_CAPACITY: usize = 16;

/// The sockets, before anything is said on them.
#[derive(Debug)]
pub(crate) struct PeerListener {
    datagrams: UdpSocket,
    streams: TcpListener,
}

impl PeerListener {
    /// Listens for datagrams and streams on one port.
    ///
    /// # Errors
    /// When it cannot be had.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let named = |e: io::Error| io::Error::new(e.kind(), format!("peers.listen {address}: {e}"));
        let streams = TcpListener::bind(address).await.map_err(named)?;
        let datagrams = UdpSocket::bind(streams.local_addr()?).await.map_err(named)?;
        Ok(Self { datagrams, streams })
    }
}

/// Where the console asks for the fleet.
pub(crate) type MembershipQueries = mpsc::Sender<oneshot::Sender<Fleet>>;

/// What the actor is given.
pub(crate) struct Start {
    pub name: String,
    pub peers: Peers,
    /// Streams at once, in each direction.
    pub streams: usize,
    pub clock: Clock,
    pub metrics: Arc<PeerMetrics>,
    pub draining: watch::Receiver<Option<Instant>>,
}

/// Starts the actor. It ends once it has taken its leave, which it does when the proxy drains.
///
/// # Errors
/// When the system has no random numbers.
pub(crate) fn start(
    listener: PeerListener,
    start: Start,
) -> io::Result<(MembershipQueries, tokio::task::JoinHandle<()>)> {
    let (queries, received_queries) = mpsc::channel(QUERY_CAPACITY);
    let actor = Actor::new(&listener, &start)?;
    let run = tokio::spawn(actor.run(listener, received_queries, start.draining));
    let metrics = start.metrics;
    // A proxy without its fleet serves on: it is out of it, and says so.
    let watched = async move {
        if let Err(problem) = run.await {
            metrics.stands(0, 0, true);
            tracing::error!("this proxy goes on without its fleet: {problem}");
        }
    };
    Ok((queries, tokio::spawn(watched)))
}

struct Actor {
    fleet: String,
    clock: Clock,
    member: Member,
    transport: Transport,
    membership_log: MembershipLog,
    metrics: Arc<PeerMetrics>,
    streams: Streams,
    /// The messages that the present turn has for others.
    out: Vec<OutboundDatagram>,
    left: bool,
}

impl Actor {
    fn new(listener: &PeerListener, start: &Start) -> io::Result<Self> {
        let random = || getrandom::u64().map_err(|e| io::Error::other(format!("random numbers: {e}")));
        let peers = &start.peers;
        // Without what an earlier process has voted for, this one must be another life. Its number only has to differ:
        // whoever has a higher one in the view is queries in as the next after that.
        let me = Identity::new(&start.name, 1 + (random()? >> 32));
        let seeds: Vec<Name> = peers.founders.keys().cloned().collect();
        let config = FleetConfig {
            seeds,
            terms: LeaseTerms::default(),
            failure_detector: failure_detector::FailureDetectorConfig::default(),
        };
        let now = start.clock.now();
        let fixed = peers.founders.iter().chain(&peers.members).map(|(name, at)| (Name::clone(name), *at));
        let authenticator = Authenticator::new(&peers.fleet, &peers.key, peers.second_key.as_ref());
        let transport =
            Transport::new(me.name.clone(), authenticator, AddressTable::new(fixed.collect()), random()?);
        let address = listener.datagrams.local_addr()?;
        tracing::info!(fleet = peers.fleet, member = %me, %address, "looks for its peers");
        Ok(Self {
            fleet: peers.fleet.clone(),
            clock: start.clock,
            member: Member::new(me, config, consensus::DurableState::default(), random()?, now),
            transport,
            membership_log: MembershipLog::default(),
            metrics: Arc::clone(&start.metrics),
            streams: Streams::new(start.streams, Arc::clone(&start.metrics)),
            out: Vec::new(),
            left: false,
        })
    }

    async fn run(
        mut self,
        listener: PeerListener,
        mut queries: mpsc::Receiver<oneshot::Sender<Fleet>>,
        mut draining: watch::Receiver<Option<Instant>>,
    ) {
        let PeerListener { datagrams, streams } = listener;
        let mut arrived = self.streams.listen(streams);
        // One byte more than may come shows what is too long.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        while !self.left {
            let due = self.clock.moment(self.member.next_timeout());
            tokio::select! {
                received = datagrams.recv_from(&mut buffer) => match received {
                    Ok((length, source)) => self.heard(&buffer[..length], Some(source)),
                    Err(problem) => tracing::debug!("peers: {problem}"),
                },
                Some(bytes) = arrived.recv() => self.heard(&bytes, None),
                () = sleep_until(due) => self.catch_up(),
                Some(query) = queries.recv() => {
                    self.catch_up();
                    let _ = query.send(self.told());
                }
                Ok(_) = draining.wait_for(Option::is_some), if !self.member.leaving() => {
                    self.act(|member, now, out| member.leave(now, out));
                }
            }
            self.send(&datagrams);
        }
        tracing::info!(member = %self.member.me(), "has left the fleet");
    }

    // ---- What happens ----------------------------------------------------------------------------------

    /// Timers that are due go before whatever has come: a process that stood still learns so before all else.
    fn catch_up(&mut self) {
        if self.member.next_timeout() <= self.clock.now() {
            self.act(Member::handle_timeout);
        }
        self.freed();
    }

    fn heard(&mut self, bytes: &[u8], source: Option<SocketAddr>) {
        self.catch_up();
        self.metrics.received(bytes.len());
        let (now, me) = (self.clock.now(), self.member.me().clone());
        match self.transport.receive(now, &me, bytes, source) {
            Ok(Received { message, reply }) => {
                self.out.extend(reply);
                if let Some((from, message)) = message {
                    self.act(|member, now, out| member.handle_message(now, &from, message, out));
                }
            }
            Err(reason) => self.dropped(reason),
        }
    }

    fn dropped(&self, reason: DropReason) {
        self.metrics.dropped(reason);
        tracing::trace!("peers: dropped a message: {reason}");
    }

    fn act(&mut self, act: impl FnOnce(&mut Member, crate::Timestamp, &mut Vec<Output>)) {
        let (now, mut outputs) = (self.clock.now(), Vec::new());
        act(&mut self.member, now, &mut outputs);
        for output in outputs {
            self.apply_output(now, output);
        }
        let consensus = self.member.consensus();
        self.metrics.stands(consensus.view().epoch, consensus.view().members.len(), consensus.fenced(now));
    }

    fn apply_output(&mut self, now: crate::Timestamp, output: Output) {
        let me = self.member.me().clone();
        for (epoch, who, cause) in self.membership_log.note(now, &me, &output) {
            self.tell(now, epoch, &who, cause);
        }
        match output {
            Output::Send(to, message) => match self.transport.send(now, &me, &to, message) {
                Ok(datagrams) => self.out.extend(datagrams),
                Err(reason) => self.dropped(reason),
            },
            Output::Consensus(consensus::Event::View(view)) => {
                let members: Vec<String> = view.members.iter().map(ToString::to_string).collect();
                let members = members.join(" ");
                tracing::info!(event = "view", at_us = now.0, me = %me, epoch = view.epoch, members, "fleet");
            }
            Output::Consensus(consensus::Event::ConflictingView(view)) => {
                tracing::error!(event = "forked", at_us = now.0, me = %me, epoch = view.epoch, "two views with one number");
            }
            Output::NameConflict(there) => {
                tracing::error!(event = "twin", at_us = now.0, me = %me, %there,
                    "another process of this name is a member and alive: this one is not let in; give it another name or end one of the two");
            }
            Output::IncarnationChanged(me) => {
                tracing::info!(event = "life", at_us = now.0, me = %me, "fleet")
            }
            Output::SuspicionChanged(who, suspicion) => {
                tracing::info!(event = "advice", at_us = now.0, me = %me, %who, ?suspicion, "fleet");
            }
            Output::Left => self.left = true,
            // Kept nowhere: without a disk each process is another life.
            Output::Persist(..) | Output::Consensus(_) | Output::Stalled(_) => {}
        }
    }

    fn freed(&mut self) {
        let now = self.clock.now();
        for (epoch, who, cause) in self.membership_log.freed(now, self.member.consensus()) {
            self.tell(now, epoch, &who, cause);
        }
    }

    fn tell(&self, now: crate::Timestamp, epoch: u64, who: &str, cause: Cause) {
        let lease_until_us = self.member.consensus().lease_until().map_or(0, |until| until.0);
        let me = self.member.me();
        tracing::info!(event = "change", at_us = now.0, %me, epoch, who, ?cause, lease_until_us, "fleet");
    }

    fn told(&self) -> Fleet {
        let addresses = self.transport.addresses();
        self.membership_log.told(self.clock.now(), &self.fleet, &self.member, |who| addresses.address(who))
    }

    fn send(&mut self, datagrams: &UdpSocket) {
        for datagram in self.out.drain(..) {
            self.metrics.sent(datagram.bytes.len());
            if datagram.is_long() {
                self.streams.send(datagram);
            } else if datagrams.try_send_to(&datagram.bytes, datagram.address).is_err() {
                self.metrics.unsent();
            }
        }
    }
}
