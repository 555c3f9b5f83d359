//! The module's actor: it alone owns the router, the request table and the router's timers.

use super::clock::Clock;
use super::memory::Memory;
use super::messages::{
    Answer, Arrival, AttemptEnd, ClientMessage, CoreEvent, HealthCheckResult, InvalidRequest, Request,
    Statement,
};
use super::rejections::Rejections;
use super::socket::PeerLiveness;
use super::upstream::{self, Command, Peer};
use crate::budget::Reservation;
use crate::config::Config;
use crate::counters::{Counters, Ended};
use crate::endpoint_list::{EndpointList, ListedEndpoint};
use crate::interface::{
    Action, AttemptResult, EndpointEntry, EndpointUpdate, Event as Told, Freshness, HostId, HostState,
    Idempotency, KeyScope, LoadReport, LogPosition, Outcome, ReadRequirement, RequestId, Role, SettingsError,
    TimeDelta, Timestamp,
};
use crate::rejection_reason::RejectionReason;
use crate::state::host_clock::{HostClock, Sample};
use crate::Router;
use std::collections::{HashMap, HashSet, VecDeque};
use std::future::poll_fn;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::time::{delay_queue::Key, DelayQueue};

/// An answer must be with its client before the time that the client gave: this much is kept for the way
/// there and back and for the timers' own lateness.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);
/// A request that has no answer by then gets one from here, so long before its client leaves.
const FINAL_REPLY_MARGIN: Duration = Duration::from_millis(5);
/// A host that the list does not name any more is remembered so long: most come back sooner, if at all.
const REMOVED_HOST_TTL: Duration = Duration::from_secs(30);

/// A request that has no answer yet, or attempts still out.
struct Held {
    /// What its client calls it.
    name: String,
    statement: Statement,
    deadline: Instant,
    /// Where the answer goes; none once it went.
    client: Option<mpsc::Sender<ClientMessage>>,
    presence: PeerLiveness,
    last_call: Option<Key>,
    /// Its answer is due before its own deadline, since others behind it on its connection wait for it.
    is_tightened: bool,
    /// The host of each attempt.
    sent: Vec<HostId>,
    /// What an answer to it must be from.
    recent: ReadRequirement,
    out: u32,
    write: bool,
    /// Its class, by number, as the settings at its arrival had it.
    class: usize,
    /// What it costs to hold.
    _room: Reservation,
}

/// A ledger host's actor, and what keeps it.
struct Member {
    peer: Peer,
    /// Attempts and probes that it has not brought back.
    out: u32,
    /// Since when the list does not name it.
    gone: Option<Instant>,
    /// What the list last said of it.
    entry: EndpointEntry,
}

enum Due {
    Ring(u64),
    LastCall(RequestId),
}

pub(crate) struct Core {
    router: Router,
    clock: Clock,
    /// What positions, starts and the times of writes are told in.
    host_clock: HostClock,
    events: mpsc::Sender<CoreEvent>,
    members: HashMap<HostId, Member>,
    /// How many hosts there ever were: numbers are not used again.
    hosts: u32,
    numbers: HashMap<String, HostId>,
    groups: HashSet<u32>,
    table: HashMap<RequestId, Held>,
    open: usize,
    /// What the clients call the requests that are open.
    names: HashSet<String>,
    timers: DelayQueue<Due>,
    pool: upstream::Pool,
    ready: watch::Sender<bool>,
    counters: Arc<Counters>,
    rejections: Rejections,
    memory: Memory,
    config: Config,
    actions: Vec<Action>,
    /// Told to the router once the actions in hand are carried out.
    next: VecDeque<Told>,
}

impl Core {
    pub fn new(
        config: Config,
        clock: Clock,
        events: mpsc::Sender<CoreEvent>,
        ready: watch::Sender<bool>,
        counters: Arc<Counters>,
        rejections: Rejections,
        memory: Memory,
    ) -> Result<Self, SettingsError> {
        Ok(Self {
            router: Router::new(config.settings.clone(), config.seed)?,
            clock,
            host_clock: HostClock::default(),
            events,
            members: HashMap::new(),
            hosts: 0,
            numbers: HashMap::new(),
            groups: HashSet::new(),
            table: HashMap::new(),
            open: 0,
            names: HashSet::new(),
            timers: DelayQueue::new(),
            pool: upstream::Pool::new(
                &config,
                Arc::clone(&counters),
                rejections.clone(),
                upstream::LargeAnswers::new(memory.clone()),
            ),
            ready,
            counters,
            rejections,
            memory,
            config,
            actions: Vec::new(),
            next: VecDeque::new(),
        })
    }

    pub async fn run(mut self, mut mailbox: mpsc::Receiver<CoreEvent>) {
        if let Some(known) = self.config.known.take() {
            self.list(known, EndpointUpdate::Cached).await;
        }
        loop {
            tokio::select! {
                event = mailbox.recv() => match event {
                    Some(event) => self.event(event).await,
                    None => return,
                },
                Some(due) = poll_fn(|cx| self.timers.poll_expired(cx)), if !self.timers.is_empty() => {
                    match due.into_inner() {
                        Due::Ring(token) => self.tell(Told::Timer(token)).await,
                        Due::LastCall(id) => self.last_call(id).await,
                    }
                }
            }
        }
    }

    async fn event(&mut self, event: CoreEvent) {
        match event {
            CoreEvent::RequestArrived(arrival) => self.arrival(*arrival).await,
            CoreEvent::ClientDisconnected(id) => {
                if self.close(id, Ended::Left).is_some() {
                    self.tell(Told::ClientDisconnected(id)).await;
                }
                self.withdraw(id).await;
                self.forget(id);
            }
            CoreEvent::DeadlineShortened { id, reply_due: due } => self.tighten(id, due),
            CoreEvent::AttemptEnded(end) => self.ended(*end).await,
            CoreEvent::HealthChecked(HealthCheckResult { host, outcome, latency, report }) => {
                self.back(host);
                let report = report.map(|report| self.in_local_time(host, report));
                self.tell(Told::HealthChecked { host, outcome, latency, report }).await;
            }
            CoreEvent::Reconfigured(config) => {
                self.router.retune(config.settings.clone());
                self.config = *config;
            }
            CoreEvent::DrainStarted(by) => {
                for key in self.table.values().filter_map(|held| held.last_call.as_ref()) {
                    bring_forward(&mut self.timers, key, by);
                }
            }
            CoreEvent::EndpointList(list) => {
                let kind = if list.whole { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta };
                self.list(list, kind).await;
            }
        }
    }

    // ---- Requests --------------------------------------------------------------------------------------

    async fn arrival(&mut self, arrival: Arrival) {
        let Arrival { id, request, arrived_at: arrived, reply_due: due, client, client_liveness: presence } =
            arrival;
        self.counters.request_accepted();
        let class = request.class;
        let settings = &self.config.settings;
        let retry_after = settings.retry_after_allowed.then_some(settings.max_retry_after);
        // Before the first list no group is known, but any may come.
        let refused = if self.groups.is_empty() {
            Some((RejectionReason::NotReady, "the list of ledger hosts has not come yet"))
        } else if self.open >= self.config.most_held {
            Some((RejectionReason::Held, "as many requests are held as may be"))
        } else {
            None
        };
        if let Some((reason, what)) = refused {
            self.rejections.record(reason, what);
            self.counters.ended(Ended::Rejected, class);
            return mail(&client, id, Answer::Rejected { retry_after });
        }
        // The module would hold a request of a group that does not exist until its client leaves.
        if !self.groups.contains(&request.group) {
            self.counters.ended(Ended::Failed, class);
            return mail(&client, id, Answer::Invalid(InvalidRequest::UnknownGroup(request.group)));
        }
        // Ledger hosts know a request by this name: with two of one name neither answer would be sure.
        if !self.names.insert(request.name.clone()) {
            self.counters.ended(Ended::Failed, class);
            return mail(&client, id, Answer::Invalid(InvalidRequest::DuplicateId));
        }
        let room = self.memory.request(request.class, request.tenant, request.statement.text.len());
        let room = match room {
            Ok(room) => room,
            Err(refused) => {
                self.names.remove(&request.name);
                self.rejections.record(RejectionReason::Memory, "there is no room for a request");
                self.counters.ended(Ended::Rejected, class);
                let retry_after = retry_after.and(refused.rejection.retry_after);
                return mail(&client, id, Answer::Rejected { retry_after });
            }
        };
        let deadline = arrived + request.timeout.saturating_sub(RESPONSE_MARGIN.min(request.timeout / 10));
        let last_call = last_call(arrived, due.min(arrived + request.timeout));
        let last_call = Some(self.timers.insert_at(Due::LastCall(id), last_call));
        let is_tightened = due < deadline;
        let ttl = micros(deadline.saturating_duration_since(Instant::now()));
        let Request {
            tenant,
            group,
            session,
            is_client_retry: again,
            last_write_at: last_write,
            name,
            statement,
            ..
        } = request;
        // One that stands ahead of the clock was made just now.
        let since_write = last_write
            .map(|at| TimeDelta((self.clock.timestamp(arrived).0 - self.host_clock.to_local(at).0).max(1)));
        let write = self.config.settings.classes[class].freshness == Freshness::Write;
        let held = Held {
            name,
            statement,
            deadline,
            client: Some(client),
            presence,
            last_call,
            is_tightened,
            sent: Vec::new(),
            recent: ReadRequirement::Any,
            out: 0,
            write,
            class,
            _room: room,
        };
        self.table.insert(id, held);
        self.open += 1;
        let request = crate::interface::Request {
            id,
            class,
            group,
            tenant,
            time_since_write: since_write,
            is_client_retry: again,
            timeout: ttl,
            session,
        };
        self.tell(Told::RequestArrived(request)).await;
    }

    /// The answer to a request is due earlier than was said before.
    fn tighten(&mut self, id: RequestId, due: Instant) {
        let Some(held) = self.table.get_mut(&id) else { return };
        let Some(key) = &held.last_call else { return };
        let at = last_call(Instant::now(), due);
        held.is_tightened |= bring_forward(&mut self.timers, key, at);
    }

    /// Takes the way to the client of a request that ends now.
    fn close(&mut self, id: RequestId, how: Ended) -> Option<mpsc::Sender<ClientMessage>> {
        let held = self.table.get_mut(&id)?;
        let client = held.client.take()?;
        if let Some(key) = held.last_call.take() {
            self.timers.remove(&key);
        }
        self.open -= 1;
        self.names.remove(&held.name);
        self.counters.ended(how, held.class);
        Some(client)
    }

    fn answer(&mut self, id: RequestId, how: Ended, answer: Answer) {
        if let Some(client) = self.close(id, how) {
            mail(&client, id, answer);
        }
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        if self.table.get(&id).is_some_and(|held| held.client.is_none() && held.out == 0) {
            self.table.remove(&id);
        }
    }

    /// The net under the rule that every request is answered in time, whatever the module does.
    async fn last_call(&mut self, id: RequestId) {
        let mut harmless = true;
        if let Some(held) = self.table.get_mut(&id) {
            held.last_call = None;
            let Held { sent, out, class, is_tightened, .. } = held;
            let repeat = self.config.settings.classes.get(*class).map(|class| class.idempotency);
            // What no host ever had may be tried again, and what does no harm twice.
            harmless = sent.is_empty()
                || matches!(repeat, Some(Idempotency::Idempotent | Idempotency::WithKey(KeyScope::All)));
            if *is_tightened {
                let what = format_args!("a request without an answer, sent {} times", sent.len());
                self.rejections.record(RejectionReason::Order, what);
            } else {
                tracing::warn!("request {}: no answer by its deadline; sent to {sent:?}, {out} out", id.0);
            }
        }
        let retry_after =
            self.config.settings.retry_after_allowed.then_some(self.config.settings.max_retry_after);
        let (how, answer) = match harmless {
            true => (Ended::Rejected, Answer::Rejected { retry_after }),
            false => (Ended::Failed, Answer::Failed),
        };
        if let Some(client) = self.close(id, how) {
            mail(&client, id, answer);
            self.tell(Told::ClientDisconnected(id)).await;
        }
        self.withdraw(id).await;
        self.forget(id);
    }

    /// Nobody waits for what is still out for a request that has ended: what a host has not had whole yet is not
    /// sent on. That needs no leave to cancel: it never ran.
    async fn withdraw(&mut self, id: RequestId) {
        let Some(held) = self.table.get(&id).filter(|held| held.out > 0) else { return };
        for (attempt, host) in held.sent.iter().enumerate() {
            if let Some(member) = self.members.get(host) {
                member.peer.tell(Command::Withdraw { id, attempt: attempt as u32 }).await;
            }
        }
    }

    async fn ended(&mut self, end: AttemptEnd) {
        let outcome = if self.stale(&end) { Outcome::Stale } else { end.outcome };
        let AttemptEnd { id, attempt, host, latency, position, role, value, written_at: written, .. } = end;
        self.counters.outcome(outcome);
        self.back(host);
        let mut served = None;
        let mut closed = true;
        if let Some(held) = self.table.get_mut(&id) {
            held.out -= 1;
            closed = held.client.is_none();
        }
        if outcome == Outcome::Ok && !closed {
            served = self.close(id, Ended::Served).zip(value);
            closed = true;
        }
        let position = position.map(|p| p.rounded(outcome == Outcome::Ok && self.writes(id)));
        if let Some(position) = position {
            let sent = written.map(|at| self.clock.timestamp(at));
            self.note_clock(host, position, role, sent);
        }
        let position = position.map(|position| self.host_clock.to_local_position(position));
        let reply = AttemptResult {
            id,
            attempt,
            host,
            outcome,
            latency,
            request_closed: closed,
            position,
            role,
            report: None,
        };
        // The module first: its client's next read must find the commit known.
        self.tell(Told::AttemptEnded(reply)).await;
        if let Some((client, value)) = served {
            mail(&client, id, Answer::Served(value));
            self.withdraw(id).await;
        }
        self.forget(id);
    }

    /// A report in this machine's time. What a host tells of its position is left out while it contradicts the clock; who
    /// it is still counts.
    fn in_local_time(&mut self, host: HostId, report: LoadReport) -> LoadReport {
        let Some(position) = report.position else { return report };
        self.note_clock(host, position, report.role, None);
        let position = Some(self.host_clock.to_local_position(position));
        LoadReport { position: position.filter(|_| !self.host_clock.distrusts(host)), ..report }
    }

    /// Looks at what a position tells of the hosts' clock, and moves what is known by it if it has to be set anew.
    fn note_clock(
        &mut self,
        host: HostId,
        position: LogPosition,
        role: Option<Role>,
        sent: Option<Timestamp>,
    ) {
        let received = self.clock.now();
        let Some(shift) = self.host_clock.record(host, Sample { position, role, sent, received }) else {
            return;
        };
        tracing::warn!(
            "the hosts' clock is {} ms ahead of this machine's as it was read at the start; positions are taken in theirs",
            self.host_clock.offset().0 / 1000
        );
        for member in self.members.values_mut() {
            let since = &mut member.entry.started_at;
            *since = since.map(|since| Timestamp(since.0.saturating_sub(shift.0)));
        }
        self.router.rebase(received, shift.0);
    }

    /// Whether an answer is too old for its request, where hosts leave that to us. The bound runs from the last byte of
    /// the query, which may have waited for its connection for long after the decision; a primary stands at the present.
    fn stale(&self, end: &AttemptEnd) -> bool {
        let checked = self.config.settings.responses_verified && end.outcome == Outcome::Ok;
        let held = self.table.get(&end.id).filter(|held| checked && !held.write);
        let Some((held, written)) = held.zip(end.written_at) else { return false };
        let told = end.position.map(|stamp| self.host_clock.to_local_position(stamp.rounded(false)));
        end.role != Some(Role::Primary) && !held.recent.is_met_by(told, self.clock.timestamp(written))
    }

    fn writes(&self, id: RequestId) -> bool {
        self.table.get(&id).is_some_and(|held| held.write)
    }

    // ---- The list --------------------------------------------------------------------------------------

    async fn list(&mut self, list: EndpointList, kind: EndpointUpdate) {
        self.counters.endpoint_list();
        let now = Instant::now();
        let mut entries = Vec::with_capacity(list.entries.len());
        let mut named = HashSet::new();
        for listed in list.entries {
            let host = self.number(&listed);
            named.insert(host);
            self.groups.insert(listed.group);
            let ListedEndpoint { group, zone, weight, state, since, .. } = listed;
            let since = since.map(|since| self.host_clock.to_local(since));
            let entry = EndpointEntry {
                host,
                group,
                zone,
                weight,
                listed_as_primary: false,
                state,
                started_at: since,
            };
            if let Some(member) = self.members.get_mut(&host) {
                member.entry = entry.clone();
                member.gone = (listed.state == HostState::Removed).then(|| member.gone.unwrap_or(now));
                // A host's actor hears of it before any send that the module decides on from now on.
                let protocol = self.config.operator.hosts.protocol(&listed.kind);
                let ListedEndpoint { address, state, .. } = listed;
                member.peer.tell(Command::ListedEndpoint { address, protocol, state }).await;
            }
            entries.push(entry);
        }
        // A whole list that says of a host what cannot be read still names it: all stays as it was.
        let unread = list.unread.iter().filter_map(|name| self.numbers.get(name));
        for member in
            unread.filter_map(|host| self.members.get(host)).filter(|_| kind != EndpointUpdate::Delta)
        {
            if named.insert(member.entry.host) {
                entries.push(member.entry.clone());
            }
        }
        if kind != EndpointUpdate::Delta {
            for (_, member) in self.members.iter_mut().filter(|(host, _)| !named.contains(*host)) {
                member.gone.get_or_insert(now);
                member.peer.tell(Command::Gone).await;
            }
        }
        self.retire(now);
        self.counters.discovered(self.members.values().filter(|m| m.gone.is_none()).count());
        let serves = entries.iter().any(|e| e.state == HostState::Running);
        self.tell(Told::EndpointList(kind, entries)).await;
        if serves {
            self.ready.send_replace(true);
        }
    }

    /// Lets go of hosts that are gone for long: where hosts are replaced all day, each under a new name, they
    /// would add up. An actor ends once nobody can tell it anything any more.
    fn retire(&mut self, now: Instant) {
        self.members.retain(|_, m| m.out > 0 || m.gone.is_none_or(|since| now - since < REMOVED_HOST_TTL));
        let Self { numbers, members, .. } = self;
        numbers.retain(|_, host| members.contains_key(host));
    }

    /// Something that was out at a host has come back.
    fn back(&mut self, host: HostId) {
        if let Some(member) = self.members.get_mut(&host) {
            member.out = member.out.saturating_sub(1);
        }
    }

    /// The number of a host: one for each name, though its address may change, until it is let go.
    fn number(&mut self, listed: &ListedEndpoint) -> HostId {
        if let Some(host) = self.numbers.get(&listed.name) {
            return *host;
        }
        let host = HostId(self.hosts);
        self.hosts += 1;
        self.numbers.insert(listed.name.clone(), host);
        let protocol = self.config.operator.hosts.protocol(&listed.kind);
        let peer = Peer::start(host, listed.address, protocol, self.pool.clone(), self.events.clone());
        let entry = EndpointEntry::new(host, listed.group, listed.state);
        self.members.insert(host, Member { peer, out: 0, gone: None, entry });
        host
    }

    // ---- The router ------------------------------------------------------------------------------------

    /// Tells the router something and carries out what it decides, and what follows from that.
    async fn tell(&mut self, told: Told) {
        self.next.push_back(told);
        while let Some(told) = self.next.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            let now = self.clock.now();
            tracing::trace!(at = now.0, "told {told:?}");
            // Which hosts are avoided changes with the list and with time: looked at when either is told.
            let looks = matches!(told, Told::EndpointList(..) | Told::Timer(_));
            self.router.handle(now, told, &mut actions);
            if looks {
                self.counters.ejected(self.router.avoided());
            }
            for action in actions.drain(..) {
                tracing::trace!(at = now.0, "does {action:?}");
                self.act(action).await;
            }
            self.actions = actions;
        }
    }

    async fn act(&mut self, action: Action) {
        match action {
            Action::Forward { id, host, timeout, requirement, write_by } => {
                let write_by = write_by.map(|at| self.clock.instant(at));
                self.send(id, host, timeout, requirement, write_by).await;
            }
            Action::Reject { id, retry_after } => {
                if let Some(held) = self.table.get(&id) {
                    let class = self.config.names.classes.get(held.class).map_or("", |c| c.name.as_str());
                    let sent = held.sent.len();
                    self.rejections.record(
                        RejectionReason::Policy,
                        format_args!("a request of `{class}`, sent {sent} times"),
                    );
                }
                self.answer(id, Ended::Rejected, Answer::Rejected { retry_after });
            }
            Action::Fail { id } => self.answer(id, Ended::Failed, Answer::Failed),
            Action::CancelAttempt { id, attempt } => {
                let host = self.table.get(&id).and_then(|held| held.sent.get(attempt as usize));
                if let Some(member) = host.and_then(|host| self.members.get(host)) {
                    member.peer.tell(Command::Cancel { id, attempt }).await;
                }
            }
            Action::HealthCheck { host } => {
                self.counters.health_check();
                if let Some(member) = self.members.get_mut(&host) {
                    member.out += 1;
                    member.peer.tell(Command::Probe { sent: Instant::now() }).await;
                }
            }
            Action::CloseIdleConnections { host } => {
                if let Some(member) = self.members.get(&host) {
                    member.peer.tell(Command::LetGo).await;
                }
            }
            Action::SetTimer { at, token } => {
                self.timers.insert_at(Due::Ring(token), self.clock.instant(at));
            }
            Action::Log(line) => tracing::info!("{line}"),
            // The list is pushed here: the watch is always on.
            Action::WatchEndpoints(_) | Action::FetchEndpoints => {}
        }
    }

    async fn send(
        &mut self,
        id: RequestId,
        host: HostId,
        timeout: Option<TimeDelta>,
        recent: ReadRequirement,
        until: Option<Instant>,
    ) {
        let now = Instant::now();
        let limit = self.config.max_attempts;
        let Some(held) = self.table.get_mut(&id) else {
            return tracing::error!("request {}: sent after its end", id.0);
        };
        let attempt = held.sent.len() as u32;
        held.sent.push(host);
        held.recent = recent;
        held.out += 1;
        let member = self.members.get_mut(&host);
        let moot = held.client.is_none() || now >= held.deadline || attempt >= limit;
        let Some(member) = member.filter(|_| !moot) else {
            held.out -= 1;
            let closed = held.client.is_none();
            self.counters.outcome(Outcome::NotSent);
            let (latency, outcome) = (TimeDelta(0), Outcome::NotSent);
            let (position, role, report) = (None, None, None);
            let reply = AttemptResult {
                id,
                attempt,
                host,
                outcome,
                latency,
                request_closed: closed,
                position,
                role,
                report,
            };
            return self.next.push_back(Told::AttemptEnded(reply));
        };
        let timeout = timeout.map(|t| now + Duration::from_micros(t.0.max(0) as u64));
        let deadline = timeout.map_or(held.deadline, |at| at.min(held.deadline));
        self.counters.attempt_sent();
        let (statement, presence) = (held.statement.clone(), held.presence.clone());
        member.out += 1;
        let attempt = upstream::Attempt { id, attempt, statement, presence, sent: now, deadline, until };
        member.peer.tell(Command::Attempt(attempt)).await;
    }
}

/// Makes a timer that is due later due at that moment; whether it was.
fn bring_forward(timers: &mut DelayQueue<Due>, key: &Key, to: Instant) -> bool {
    let is_later = timers.deadline(key) > to;
    if is_later {
        timers.reset_at(key, to);
    }
    is_later
}

/// When a request gets an answer at the latest that came, or whose time was cut, at `since` and whose answer is due at `due`.
fn last_call(since: Instant, due: Instant) -> Instant {
    due - FINAL_REPLY_MARGIN.min(due.saturating_duration_since(since) / 20)
}

fn mail(client: &mpsc::Sender<ClientMessage>, id: RequestId, answer: Answer) {
    // Fails only when the client has left: each request has one answer, and the mailbox holds those of all that run.
    let _ = client.try_send(ClientMessage::Answer(id, answer));
}

fn micros(span: Duration) -> TimeDelta {
    TimeDelta(span.as_micros() as i64)
}
