//! The other proxies of the fleet: one actor that owns this process's membership, its post and its datagrams. What it
//! means is decided in [`crate::membership`]; here are sockets, timers, the log and the counters. Nothing of it runs
//! where the operator's file has no `peers`.
//!
//! Mailboxes: streams that have come (bounded; what finds no room is dropped and counted, as any message may get lost) and
//! questions of the console (bounded). The actor waits for nobody: datagrams that the socket does not take are lost,
//! streams are written by tasks of their own, a bounded number at once.

mod streams;

use super::clock::Clock;
use crate::config::Peers;
use crate::membership::chronicle::{Cause, Chronicle, Fleet};
use crate::membership::member::{Member, Output, Rules};
use crate::membership::post::{Book, Dropped, Opened, Parcel, Post, Seal, LONGEST_DATAGRAM};
use crate::membership::{advice, agreement, Identity, Name, Terms};
use crate::peer_metrics::PeerMetrics;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use streams::Streams;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep_until, Instant};

/// MembershipQueries that may wait.
const QUESTIONS: usize = 16;

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
    pub tally: Arc<PeerMetrics>,
    pub draining: watch::Receiver<Option<Instant>>,
}

/// Starts the actor. It ends once it has taken its leave, which it does when the proxy drains.
///
/// # Errors
/// When the system has no random numbers.
pub(crate) fn start(
    station: PeerListener,
    start: Start,
) -> io::Result<(MembershipQueries, tokio::task::JoinHandle<()>)> {
    let (questions, asked) = mpsc::channel(QUESTIONS);
    let actor = Actor::new(&station, &start)?;
    let run = tokio::spawn(actor.run(station, asked, start.draining));
    let tally = start.tally;
    // A proxy without its fleet serves on: it is out of it, and says so.
    let watched = async move {
        if let Err(problem) = run.await {
            tally.stands(0, 0, true);
            tracing::error!("this proxy goes on without its fleet: {problem}");
        }
    };
    Ok((questions, tokio::spawn(watched)))
}

struct Actor {
    fleet: String,
    clock: Clock,
    member: Member,
    post: Post,
    chronicle: Chronicle,
    tally: Arc<PeerMetrics>,
    streams: Streams,
    /// The messages that the present turn has for others.
    out: Vec<Parcel>,
    parted: bool,
}

impl Actor {
    fn new(station: &PeerListener, start: &Start) -> io::Result<Self> {
        let random = || getrandom::u64().map_err(|e| io::Error::other(format!("random numbers: {e}")));
        let peers = &start.peers;
        // Without what an earlier process has voted for, this one must be another life. Its number only has to differ:
        // whoever has a higher one in the view is asked in as the next after that.
        let me = Identity::new(&start.name, 1 + (random()? >> 32));
        let seeds: Vec<Name> = peers.founders.keys().cloned().collect();
        let rules = Rules { seeds, terms: Terms::default(), tempo: advice::Tempo::default() };
        let now = start.clock.now();
        let fixed = peers.founders.iter().chain(&peers.members).map(|(name, at)| (Name::clone(name), *at));
        let seal = Seal::new(&peers.fleet, &peers.key, peers.second_key.as_ref());
        let post = Post::new(me.name.clone(), seal, Book::new(fixed.collect()), random()?);
        let address = station.datagrams.local_addr()?;
        tracing::info!(fleet = peers.fleet, member = %me, %address, "looks for its peers");
        Ok(Self {
            fleet: peers.fleet.clone(),
            clock: start.clock,
            member: Member::new(me, rules, agreement::Durable::default(), random()?, now),
            post,
            chronicle: Chronicle::default(),
            tally: Arc::clone(&start.tally),
            streams: Streams::new(start.streams, Arc::clone(&start.tally)),
            out: Vec::new(),
            parted: false,
        })
    }

    async fn run(
        mut self,
        station: PeerListener,
        mut asked: mpsc::Receiver<oneshot::Sender<Fleet>>,
        mut draining: watch::Receiver<Option<Instant>>,
    ) {
        let PeerListener { datagrams, streams } = station;
        let mut arrived = self.streams.listen(streams);
        // One byte more than may come shows what is too long.
        let mut room = [0; LONGEST_DATAGRAM + 1];
        while !self.parted {
            let due = self.clock.instant(self.member.next_timer());
            tokio::select! {
                received = datagrams.recv_from(&mut room) => match received {
                    Ok((length, source)) => self.heard(&room[..length], Some(source)),
                    Err(problem) => tracing::debug!("peers: {problem}"),
                },
                Some(bytes) = arrived.recv() => self.heard(&bytes, None),
                () = sleep_until(due) => self.catch_up(),
                Some(question) = asked.recv() => {
                    self.catch_up();
                    let _ = question.send(self.told());
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
        if self.member.next_timer() <= self.clock.now() {
            self.act(Member::timer);
        }
        self.freed();
    }

    fn heard(&mut self, bytes: &[u8], source: Option<SocketAddr>) {
        self.catch_up();
        self.tally.received(bytes.len());
        let (now, me) = (self.clock.now(), self.member.me().clone());
        match self.post.open(now, &me, bytes, source) {
            Ok(Opened { message, reply }) => {
                self.out.extend(reply);
                if let Some((from, message)) = message {
                    self.act(|member, now, out| member.heard(now, &from, message, out));
                }
            }
            Err(reason) => self.dropped(reason),
        }
    }

    fn dropped(&self, reason: Dropped) {
        self.tally.dropped(reason);
        tracing::trace!("peers: dropped a message: {reason}");
    }

    fn act(&mut self, act: impl FnOnce(&mut Member, crate::Timestamp, &mut Vec<Output>)) {
        let (now, mut outputs) = (self.clock.now(), Vec::new());
        act(&mut self.member, now, &mut outputs);
        for output in outputs {
            self.carry_out(now, output);
        }
        let agreement = self.member.agreement();
        self.tally.stands(agreement.view().epoch, agreement.view().members.len(), agreement.fenced(now));
    }

    fn carry_out(&mut self, now: crate::Timestamp, output: Output) {
        let me = self.member.me().clone();
        for (epoch, who, cause) in self.chronicle.note(now, &me, &output) {
            self.tell(now, epoch, &who, cause);
        }
        match output {
            Output::Send(to, message) => match self.post.send(now, &me, &to, message) {
                Ok(parcels) => self.out.extend(parcels),
                Err(reason) => self.dropped(reason),
            },
            Output::Agreed(agreement::Event::View(view)) => {
                let members: Vec<String> = view.members.iter().map(ToString::to_string).collect();
                let members = members.join(" ");
                tracing::info!(event = "view", at_us = now.0, me = %me, epoch = view.epoch, members, "fleet");
            }
            Output::Agreed(agreement::Event::Forked(view)) => {
                tracing::error!(event = "forked", at_us = now.0, me = %me, epoch = view.epoch, "two views with one number");
            }
            Output::Twin(there) => {
                tracing::error!(event = "twin", at_us = now.0, me = %me, %there,
                    "another process of this name is a member and alive: this one is not let in; give it another name or end one of the two");
            }
            Output::Life(me) => tracing::info!(event = "life", at_us = now.0, me = %me, "fleet"),
            Output::Advised(who, opinion) => {
                tracing::info!(event = "advice", at_us = now.0, me = %me, %who, ?opinion, "fleet");
            }
            Output::Parted => self.parted = true,
            // Kept nowhere: without a disk each process is another life.
            Output::Keep(..) | Output::Agreed(_) | Output::Stood(_) => {}
        }
    }

    fn freed(&mut self) {
        let now = self.clock.now();
        for (epoch, who, cause) in self.chronicle.freed(now, self.member.agreement()) {
            self.tell(now, epoch, &who, cause);
        }
    }

    fn tell(&self, now: crate::Timestamp, epoch: u64, who: &str, cause: Cause) {
        let lease_until_us = self.member.agreement().lease_until().map_or(0, |until| until.0);
        let me = self.member.me();
        tracing::info!(event = "change", at_us = now.0, %me, epoch, who, ?cause, lease_until_us, "fleet");
    }

    fn told(&self) -> Fleet {
        let book = self.post.book();
        self.chronicle.told(self.clock.now(), &self.fleet, &self.member, |who| book.address(who))
    }

    fn send(&mut self, datagrams: &UdpSocket) {
        for parcel in self.out.drain(..) {
            self.tally.sent(parcel.bytes.len());
            if parcel.is_long() {
                self.streams.send(parcel);
            } else if datagrams.try_send_to(&parcel.bytes, parcel.address).is_err() {
                self.tally.unsent();
            }
        }
    }
}
