//! The actor that owns the simulated world, the checker and the remaining fault script.

use super::discovery::EndpointList;
use super::{Clock, Verdict};
use crate::checker::{Checker, ProxyIncarnation, RULES};
use crate::host::{Delivery, State};
use crate::script::Script;
use crate::world::{Effect, Query, Reply, Status, Ticket, World};
use crate::Micros;
use std::collections::HashMap;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep_until;

/// A host's answer and its fate.
pub type Answer<T> = (T, Delivery);

/// Message to the world's actor.
#[derive(Debug)]
pub enum WorldMessage {
    /// Starts the fault script.
    Begin,
    /// Reports that a proxy process is paused for up to the given time now and then.
    ProcessPauses(usize, Micros),
    /// Asks a host to respond to a handshake message. The sender is dropped unused if the host does not
    /// respond.
    Handshake(usize, oneshot::Sender<()>),
    /// Reports a request that has arrived at a host. The host's reply is sent when it is due.
    Query(usize, Ticket, Query, oneshot::Sender<Answer<Reply>>),
    /// Reports that an attempt's connection is gone.
    Cancel(Ticket),
    /// Asks a host for its load report, on a connection whose last request had the given id.
    Load(usize, Option<String>, oneshot::Sender<Answer<String>>),
    /// Reports that discovery has written a host's status to a proxy.
    Written(usize, Status),
    /// Reports that a client is about to send a request.
    Asked {
        /// The request id.
        id: String,
        /// The request's session.
        session: String,
        /// The proxy process to which it is sent.
        proxy: ProxyIncarnation,
        /// The time at which the client stops waiting.
        until: Micros,
    },
    /// Reports that a client has received an answer.
    Answered {
        /// The request id.
        id: String,
        /// The value, if one was served.
        value: Option<Vec<u8>>,
        /// The session that has to see the write from now on, if the request was a write that succeeded.
        wrote: Option<String>,
    },
    /// Reports that a client's connection has ended without an answer to the request with the given id.
    Lost(String),
    /// Reports that the request with the given id was never sent for lack of a connection, so that no answer
    /// is due.
    Withdrawn(String),
    /// Ends the run and asks for its results.
    Finish(oneshot::Sender<Verdict>),
}

/// Attempt that a host has not answered yet.
struct OpenAttempt {
    id: String,
    host: usize,
    arrived: Micros,
    answer: oneshot::Sender<Answer<Reply>>,
}

pub(super) struct Actor {
    world: World,
    checker: Checker,
    script: Script,
    clock: Clock,
    began: Option<Micros>,
    /// For each host, whether it accepts connections.
    accepts_connections: Vec<watch::Sender<bool>>,
    endpoint_list: watch::Sender<EndpointList>,
    open_attempts: HashMap<Ticket, OpenAttempt>,
    /// The commit position of each write that a host has answered, until its client has received the answer.
    commits: HashMap<String, Micros>,
    attempts: u64,
}

impl Actor {
    pub fn new(
        world: World,
        script: Script,
        clock: Clock,
        accepts_connections: Vec<watch::Sender<bool>>,
        endpoint_list: watch::Sender<EndpointList>,
        is_shared: bool,
    ) -> Self {
        Self {
            checker: if is_shared { Checker::shared(world.spec()) } else { Checker::new(world.spec()) },
            world,
            script,
            clock,
            began: None,
            accepts_connections,
            endpoint_list,
            open_attempts: HashMap::new(),
            commits: HashMap::new(),
            attempts: 0,
        }
    }

    pub async fn run(mut self, mut mailbox: mpsc::Receiver<WorldMessage>, mut shutdown: watch::Receiver<()>) {
        loop {
            let due = [self.world.next(), self.began.zip(self.script.next()).map(|(began, at)| began + at)];
            let due = due.into_iter().flatten().min().map(|at| self.clock.instant(at));
            let wait = async {
                match due {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                message = mailbox.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = wait => self.advance(),
                Err(_) = shutdown.changed() => return,
            }
        }
    }

    fn advance(&mut self) {
        let now = self.clock.now();
        let effects = self.world.advance(now);
        self.carry_out(effects);
        while let Some(fault) = self.began.and_then(|began| self.script.due(now - began)) {
            let effects = self.world.inject(now, &fault);
            self.carry_out(effects);
        }
    }

    #[expect(clippy::too_many_lines)]
    fn handle(&mut self, message: WorldMessage) {
        // Events that were due before the message come first.
        self.advance();
        let now = self.clock.now();
        match message {
            WorldMessage::Begin => self.began = Some(now),
            WorldMessage::ProcessPauses(process, span) => self.checker.process_pauses(process, span),
            WorldMessage::Handshake(host, answer) => {
                if matches!(self.world.state(host), State::Up | State::Draining) {
                    let _ = answer.send(());
                }
            }
            WorldMessage::Load(host, id, answer) => {
                if matches!(self.world.state(host), State::Up | State::Draining) {
                    self.record_role(
                        now,
                        host,
                        id.as_deref().unwrap_or_default(),
                        self.world.is_primary(host),
                    );
                    let _ = answer.send((self.world.report(host, now), self.world.delivery(host)));
                }
            }
            WorldMessage::Query(host, ticket, query, answer) => {
                self.attempts += 1;
                self.checker.sent(now, host, &query.id);
                if let Some(needed) = self.world.needed(now, &query).filter(|_| self.world.runs(host)) {
                    let position = self.world.position(host, now);
                    self.checker.read_sent(now, host, &query.id, position, needed);
                }
                if self.world.warmth(host, now) < 1.0 {
                    self.checker.cold_host_checked();
                }
                if self.world.is_primary(host) {
                    self.checker.seen_as_primary(host);
                }
                self.open_attempts
                    .insert(ticket, OpenAttempt { id: query.id.clone(), host, arrived: now, answer });
                let effects = self.world.arrive(now, ticket, host, query);
                self.carry_out(effects);
            }
            WorldMessage::Cancel(ticket) => {
                self.open_attempts.remove(&ticket);
                self.world.cancel(ticket);
            }
            WorldMessage::Written(host, status) => self.checker.status_reported(now, host, status),
            WorldMessage::Asked { id, session, proxy, until } => {
                self.world.ask(&id, &session);
                self.checker.request_sent_to(&id, proxy);
                self.checker.asked(&id, until);
            }
            WorldMessage::Answered { id, value, wrote } => {
                self.world.answered(&id);
                let expected = World::content(&id);
                self.checker.answered(now, &id, value.as_deref().map(|value| (value, expected.as_str())));
                if let Some((session, commit)) = wrote.zip(self.commits.remove(&id)) {
                    self.world.acknowledge(&session, commit);
                }
            }
            WorldMessage::Lost(id) => {
                self.world.answered(&id);
                self.checker.lost(&id);
            }
            WorldMessage::Withdrawn(id) => {
                self.world.answered(&id);
                self.checker.withdrawn(&id);
            }
            WorldMessage::Finish(answer) => {
                self.checker.end();
                let _ = answer.send(self.verdict());
            }
        }
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Reply(ticket, reply) => self.reply(ticket, reply),
                Effect::ConnectionsBroken(host) => {
                    self.accepts_connections[host].send_replace(false);
                }
                Effect::ConnectionsAccepted(host) => {
                    self.accepts_connections[host].send_replace(true);
                }
                Effect::StatusPublished(host, status, since) => {
                    self.endpoint_list.send_modify(|endpoint_list| endpoint_list.change(host, status, since));
                }
                Effect::ColdHostCrashed(host) => self.checker.cold_host_crashed(host),
                Effect::KeyRecordedAgain(key) => self.checker.key_recorded_again(&key),
            }
        }
    }

    fn reply(&mut self, ticket: Ticket, reply: Reply) {
        let Some(OpenAttempt { id, host, arrived, answer }) = self.open_attempts.remove(&ticket) else {
            return;
        };
        self.checker.replied(host, arrived, &id, &reply);
        match &reply {
            Reply::Served { primary, .. } => self.record_role(self.clock.now(), host, &id, *primary),
            Reply::ReadOnly => self.record_role(self.clock.now(), host, &id, false),
            Reply::Behind | Reply::Full | Reply::Error => {}
        }
        if let Reply::Served { position, needed: None, .. } = &reply {
            self.commits.insert(id, *position);
        }
        let _ = answer.send((reply, self.world.delivery(host)));
    }

    /// Records the role that a host states in an answer.
    fn record_role(&mut self, now: Micros, host: usize, id: &str, is_primary: bool) {
        if is_primary {
            self.checker.seen_as_primary(host);
        }
        self.checker.role_reported(now, host, id, is_primary);
    }

    fn verdict(&self) -> Verdict {
        let result = |rule| {
            let (checked, broken) = self.checker.verdict(rule);
            (rule, checked, broken)
        };
        let groups = self.world.spec().groups;
        Verdict {
            rules: RULES.into_iter().map(result).collect(),
            breaches: self.checker.breaches().to_vec(),
            attempts: self.attempts,
            keys: (0..groups).map(|group| self.world.keys(group).len()).sum(),
        }
    }
}
