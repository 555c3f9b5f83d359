//! The world's actor: it alone owns the world and the checker, and what the script has left.

use super::discovery::Roster;
use super::{Clock, Verdict};
use crate::checker::{Checker, ProxyIncarnation, RULES};
use crate::host::{Delivery, State};
use crate::script::Script;
use crate::world::{Effect, Query, Reply, Status, Ticket, World};
use crate::Micros;
use std::collections::HashMap;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep_until;

/// What a host writes, and what becomes of it.
pub type Answer<T> = (T, Delivery);

/// What the world's actor is told.
#[derive(Debug)]
pub enum WorldMessage {
    /// The script's time begins.
    Begin,
    /// A proxy process is stopped or held up for that long now and then.
    ProcessPauses(usize, Micros),
    /// Somebody connects to a host; no answer is one that says nothing.
    Greet(usize, oneshot::Sender<()>),
    /// A request has come to a host.
    Query(usize, Ticket, Query, oneshot::Sender<Answer<Reply>>),
    /// An attempt's connection is gone.
    Cancel(Ticket),
    /// A host is asked for its load report, on a connection that carried that request last.
    Load(usize, Option<String>, oneshot::Sender<Answer<String>>),
    /// Discovery has written a host's status to a proxy.
    Written(usize, Status),
    /// A client is about to send a request of a session, whose answer it awaits until then.
    Asked {
        /// The request.
        id: String,
        /// Its session.
        session: String,
        /// The process that it goes to.
        proxy: ProxyIncarnation,
        /// When it stops waiting.
        until: Micros,
    },
    /// A client has its answer: the value, if it was served one, and the session that has written, if it has.
    Answered {
        /// The request.
        id: String,
        /// The value.
        value: Option<Vec<u8>>,
        /// The session that has to see this write from now on.
        wrote: Option<String>,
    },
    /// A client's connection has ended without an answer.
    Lost(String),
    /// A client had no connection to send it on: it has failed and is not lost.
    Withdrawn(String),
    /// How the rules fared, once nothing more comes.
    Judge(oneshot::Sender<Verdict>),
}

/// An attempt that a host has not answered yet.
struct Open {
    id: String,
    host: usize,
    came: Micros,
    answer: oneshot::Sender<Answer<Reply>>,
}

pub(super) struct Actor {
    world: World,
    checker: Checker,
    script: Script,
    clock: Clock,
    began: Option<Micros>,
    /// Whether each host takes connections.
    links: Vec<watch::Sender<bool>>,
    roster: watch::Sender<Roster>,
    open: HashMap<Ticket, Open>,
    /// The commit of each write that has been answered by a host, until its client has it.
    commits: HashMap<String, Micros>,
    attempts: u64,
}

impl Actor {
    pub fn new(
        world: World,
        script: Script,
        clock: Clock,
        links: Vec<watch::Sender<bool>>,
        roster: watch::Sender<Roster>,
        is_shared: bool,
    ) -> Self {
        Self {
            checker: if is_shared { Checker::shared(world.spec()) } else { Checker::new(world.spec()) },
            world,
            script,
            clock,
            began: None,
            links,
            roster,
            open: HashMap::new(),
            commits: HashMap::new(),
            attempts: 0,
        }
    }

    pub async fn run(mut self, mut mailbox: mpsc::Receiver<WorldMessage>, mut ends: watch::Receiver<()>) {
        loop {
            let due = [self.world.next(), self.began.zip(self.script.next()).map(|(b, at)| b + at)];
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
                Err(_) = ends.changed() => return,
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
        // What was due before comes first.
        self.advance();
        let now = self.clock.now();
        match message {
            WorldMessage::Begin => self.began = Some(now),
            WorldMessage::ProcessPauses(process, span) => self.checker.process_pauses(process, span),
            WorldMessage::Greet(host, answer) => {
                if matches!(self.world.state(host), State::Up | State::Draining) {
                    let _ = answer.send(());
                }
            }
            WorldMessage::Load(host, id, answer) => {
                if matches!(self.world.state(host), State::Up | State::Draining) {
                    self.note_role(now, host, id.as_deref().unwrap_or_default(), self.world.is_primary(host));
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
                self.open.insert(ticket, Open { id: query.id.clone(), host, came: now, answer });
                let effects = self.world.arrive(now, ticket, host, query);
                self.carry_out(effects);
            }
            WorldMessage::Cancel(ticket) => {
                self.open.remove(&ticket);
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
                let made = World::content(&id);
                self.checker.answered(now, &id, value.as_deref().map(|value| (value, made.as_str())));
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
            WorldMessage::Judge(answer) => {
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
                    self.links[host].send_replace(false);
                }
                Effect::ConnectionsAccepted(host) => {
                    self.links[host].send_replace(true);
                }
                Effect::StatusPublished(host, status, since) => {
                    self.roster.send_modify(|roster| roster.change(host, status, since));
                }
                Effect::ColdHostCrashed(host) => self.checker.cold_host_crashed(host),
                Effect::KeyRecordedAgain(key) => self.checker.key_recorded_again(&key),
            }
        }
    }

    fn reply(&mut self, ticket: Ticket, reply: Reply) {
        let Some(Open { id, host, came, answer }) = self.open.remove(&ticket) else { return };
        self.checker.replied(host, came, &id, &reply);
        match &reply {
            Reply::Served { primary, .. } => self.note_role(self.clock.now(), host, &id, *primary),
            Reply::ReadOnly => self.note_role(self.clock.now(), host, &id, false),
            Reply::Behind | Reply::Full | Reply::Error => {}
        }
        if let Reply::Served { position, needed: None, .. } = &reply {
            self.commits.insert(id, *position);
        }
        let _ = answer.send((reply, self.world.delivery(host)));
    }

    /// A host states its role in an answer.
    fn note_role(&mut self, now: Micros, host: usize, id: &str, is_primary: bool) {
        if is_primary {
            self.checker.seen_as_primary(host);
        }
        self.checker.role_reported(now, host, id, is_primary);
    }

    fn verdict(&self) -> Verdict {
        let rule = |rule| {
            let (tried, broken) = self.checker.verdict(rule);
            (rule, tried, broken)
        };
        let groups = self.world.spec().groups;
        Verdict {
            rules: RULES.into_iter().map(rule).collect(),
            breaches: self.checker.breaches().to_vec(),
            attempts: self.attempts,
            keys: (0..groups).map(|group| self.world.keys(group).len()).sum(),
        }
    }
}
