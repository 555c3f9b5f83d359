//! Every decision of the router. Its types, events and actions stand in `src/interface.rs`.
//!
//! The ordinary path: a read goes to the replica, among those whose applied position has reached what the
//! read needs, that has the fewest own requests in flight; failing that to the primary. Every send passes
//! `Router::fit`, which alone keeps the rules; the choice after it only ranks what it allows.

mod health;
mod rebase;

use crate::interface::*;
use crate::load::{CircuitBreaker, DecayingAverage, GroupLatency, GroupTraffic, LatencyEstimate};
use crate::settings::validate;
use crate::state::host_clock::MAX_POSITION_LEAD;
use crate::state::session_positions::SessionPositions;
use std::collections::{BTreeMap, BTreeSet};

/// Held requests are looked at this often: a small part of any aim, and cheap.
const LOOK_US: i64 = 10_000;
/// An attempt out for so many means of its class is late enough for a copy, or its host is silent.
const LATE: f64 = 3.0;
const SILENT: f64 = 6.0;
/// A held request is answered this long before its client leaves: two looks and the way back.
const MARGIN_US: i64 = 25_000;
/// Added to every token: positions travel in whole milliseconds, so one may have been rounded away.
const ROUNDING_US: i64 = 1_000;
/// A primary heard of longer ago than this is asked again before a write: failovers take longer than that.
const EVIDENCE_US: i64 = 1_000_000;
/// The same host is not probed again for a need sooner than this: reports are not renewed much faster. Where
/// routers are many the gap grows with them.
const PROBE_GAP_US: i64 = 100_000;
/// A host that was heard of as not what a request needs is guessed at again after this.
const GUESS_US: i64 = 300_000;
/// A host that failed rests this long, doubled with each further failure up to the second figure.
const REST_US: (i64, i64) = (300_000, 3_000_000);
/// A host that errs in more than this part of its answers, and so much oftener than the others, goes last.
const ERRING: (f64, f64) = (0.15, 3.0);
const ERRORS_FADE_US: f64 = 3e6;
/// A host that turned a write away gets none for so long: a handover takes longer than all attempts together.
const DECLINED_US: i64 = 120_000;
/// Weight of a new sample in any mean: some ten are remembered.
const GAIN: f64 = 0.1;
/// An answer later than this part of its aim is a sign that its host holds too much.
const CROWDED: f64 = 0.4;
/// A host that the list names no more is forgotten after this: where all are replaced all day they add up.
const FORGOTTEN_US: i64 = 30_000_000;
/// Own attempts allowed at a host at first and at the least, shared between the routers.
const LIMIT: (f64, f64) = (16.0, 3.0);
/// A limit is cut by this factor on a crowded answer and raised by the second figure on a good one.
const LIMIT_STEP: (f64, f64) = (0.8, 1.05);
/// Latency, in parts of the aim, from which on requests are let in by chance only, by many routers and by a
/// few; a primary is spared reads; and any host is left out by chance by many (`docs/measurements/003-*`).
const FULL_AT: (f64, f64) = (1.5, 0.5);
const SPARED_AT: f64 = 0.5;
const OVERFULL_AT: f64 = 0.2;
const LATE_FADES_US: f64 = 3e6;
/// Without new samples that latency is forgotten in this time.
const CROWD_FADES_US: f64 = 6e6;
/// The least weight of a new sample of it.
const CROWD_GAIN: f64 = 0.25;
/// Further attempts for each first one, and the most saved up: retries must not double a load.
const RETRY_BUDGET: (f64, f64) = (0.1, 10.0);
/// Part of the cold budget that is used: other routers' chance and the odd costly request need the rest.
const COLD_SAFETY: f64 = 0.75;
/// Requests of a class that find no host before the others wait for the next look: queues must not eat CPU.
const STUCK: u32 = 16;
/// Session tokens remembered; older ones are folded into one for each group that stands for them all.
const SESSIONS: usize = 20_000;
/// At most one in so many replicas of a group takes reads that freeze it.
const FROZEN_PART: usize = 3;

/// Whether a host may take a request, and on what evidence. The order is the order of preference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fit {
    /// A replica known to be fresh enough.
    Proven,
    /// A replica that checks reads itself and is likely to have caught up.
    Likely,
    Primary,
    /// Nothing speaks for it, but its answer, which turns a wrong guess away untouched, will tell.
    Guess,
}

#[derive(Debug, Default)]
struct Host {
    group: u32,
    zone: u32,
    listed: HostState,
    seen_stopping: bool,
    /// Since when the list does not name it.
    gone: Option<Timestamp>,
    leader: bool,
    started: Option<Timestamp>,
    /// Whether that is what the list says.
    start_is_listed: bool,
    /// What it has applied at the least, and when that was last heard.
    known: LogPosition,
    heard: Option<Timestamp>,
    role: Option<(Role, Timestamp)>,
    /// When it last answered anything: a report's age tells nothing of that.
    alive: Option<Timestamp>,
    in_flight: u32,
    limit: f64,
    /// Latency against the mean of the class; 1 is a host like the others.
    slowness: f64,
    /// When it last turned a write away.
    declined: Option<Timestamp>,
    /// Latency in parts of the aim.
    late: DecayingAverage,
    /// Part of its answers that were errors.
    errs: DecayingAverage,
    rest: CircuitBreaker,
    probed: Option<Timestamp>,
    probing: bool,
    wanted: bool,
}

#[derive(Debug, Default)]
struct Open {
    class: usize,
    group: u32,
    token: LogPosition,
    arrived: Timestamp,
    deadline: Timestamp,
    worth: f64,
    session: Option<SessionId>,
    attempts: u32,
    /// Own chance, drawn once at the arrival.
    draw: u64,
    out: u32,
    /// When a replica was asked how far it is, for this read.
    asked: Option<Timestamp>,
    /// Whether a host has had it whole, though it may not have run it.
    written: bool,
    /// When the first attempt that may have run was sent, and the zone of its host.
    may_have_run: Option<(Timestamp, u32)>,
    missed: Vec<HostId>,
    /// Hosts that answered it with an error.
    erred: Vec<HostId>,
    /// No further attempt is allowed.
    spent: bool,
}

#[derive(Debug)]
struct Attempt {
    host: HostId,
    class: usize,
    sent: Timestamp,
    dropped: bool,
    /// The session whose write it is, and its group.
    writes: Option<(SessionId, u32)>,
}

/// The decisions of one router.
#[derive(Debug)]
pub struct Router {
    s: Settings,
    rng: u64,
    now: Timestamp,
    hosts: BTreeMap<HostId, Host>,
    /// The hosts of each group, so that no event walks the fleet.
    groups: BTreeMap<u32, Vec<HostId>>,
    open: BTreeMap<RequestId, Open>,
    out: BTreeMap<(RequestId, u32), Attempt>,
    pace: Vec<LatencyEstimate>,
    /// What each customer asked of late.
    asked: Vec<f64>,
    /// Latency in parts of the aim, by group, at its primary (true) or its replicas.
    crowd: GroupLatency,
    /// What each group has had of members and of requests.
    loads: BTreeMap<u32, GroupTraffic>,
    /// The usual priority of reads, and of writes.
    usual: [f64; 2],
    sessions: SessionPositions,
    retry_budget: f64,
    /// When a host that serves us last took no further connection.
    squeezed: Option<Timestamp>,
    look_at: Option<Timestamp>,
    watch_again: Option<Timestamp>,
    started: bool,
}

impl Router {
    /// A router that knows nothing yet.
    ///
    /// # Errors
    /// When a setting is not sensible; the error names it.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        validate(&settings)?;
        Ok(Self {
            pace: settings
                .classes
                .iter()
                .map(|c| LatencyEstimate::from_objective(c.latency_objective))
                .collect(),
            asked: settings.tenant_quotas.clone(),
            crowd: GroupLatency::new(CROWD_FADES_US, CROWD_GAIN),
            loads: BTreeMap::new(),
            usual: [0.0; 2],
            rng: seed ^ 0x9E37_79B9_7F4A_7C15,
            now: Timestamp(0),
            hosts: BTreeMap::new(),
            groups: BTreeMap::new(),
            open: BTreeMap::new(),
            out: BTreeMap::new(),
            sessions: SessionPositions::new(SESSIONS),
            retry_budget: RETRY_BUDGET.1,
            squeezed: None,
            look_at: None,
            watch_again: None,
            started: false,
            s: settings,
        })
    }

    /// Takes settings read anew, checked as at the start; classes and customers keep their numbers, new ones
    /// come behind.
    pub fn retune(&mut self, settings: Settings) {
        self.pace.extend(
            settings
                .classes
                .iter()
                .skip(self.pace.len())
                .map(|c| LatencyEstimate::from_objective(c.latency_objective)),
        );
        self.asked.extend(settings.tenant_quotas.iter().skip(self.asked.len()));
        self.s = settings;
    }

    /// Takes one event and adds what is to be done to `actions`.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.rng = self.rng.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        match event {
            Event::EndpointList(kind, entries) => self.on_hosts(kind, entries, actions),
            Event::RequestArrived(request) => self.on_arrival(request, actions),
            Event::AttemptEnded(reply) => self.on_reply(reply, actions),
            Event::HealthChecked { host, report, .. } => self.on_probed(host, report, actions),
            Event::ClientDisconnected(id) => self.close(id, actions),
            // An answer that has begun belongs to the client: no copy of it, and no calling off.
            Event::ResponseStarted { id, attempt } => {
                self.out.entry((id, attempt)).and_modify(|a| a.dropped = true);
            }
            Event::PeerMessage { .. } => {}
            Event::Timer(_) => self.on_timer(actions),
        }
        let held = self.open.values().any(|open| open.out == 0);
        // What is out is looked after at leisure: hundreds of routers must not live on timers.
        let after = if held { LOOK_US } else { self.s.shortest_latency_objective().0 / 8 };
        let at = Timestamp(now.0 + after.max(self.s.timer_resolution.0));
        if (!self.open.is_empty() || self.watch_again.is_some()) && self.look_at.is_none_or(|old| at < old) {
            self.look_at = Some(at);
            actions.push(Action::SetTimer { at, token: 0 });
        }
    }

    // ---- Events ----------------------------------------------------------------------------------------

    fn on_hosts(&mut self, kind: EndpointUpdate, entries: Vec<EndpointEntry>, actions: &mut Vec<Action>) {
        if self.s.discovery_is_polled && kind == EndpointUpdate::Unavailable {
            self.watch_again = Some(Timestamp(self.now.0 + REST_US.0));
        } else if self.s.discovery_is_polled && !self.started {
            actions.push(Action::WatchEndpoints(true));
        }
        if matches!(kind, EndpointUpdate::Snapshot | EndpointUpdate::Cached) {
            let kept: BTreeSet<HostId> = entries.iter().map(|e| e.host).collect();
            let lost = self.hosts.iter_mut().filter(|(id, _)| !kept.contains(id));
            lost.for_each(|(_, host)| host.listed = HostState::Removed);
        }
        let start_limit = (LIMIT.0 / f64::from(self.s.router_count)).max(2.0);
        for e in entries {
            let new = !self.hosts.contains_key(&e.host);
            let fresh = || Host { limit: start_limit, slowness: 1.0, ..Host::default() };
            let host = self.hosts.entry(e.host).or_insert_with(fresh);
            if new || host.group != e.group {
                let old = std::mem::replace(&mut host.group, e.group);
                self.groups.entry(old).or_default().retain(|id| *id != e.host);
                self.groups.entry(e.group).or_default().push(e.host);
            }
            (host.zone, host.listed) = (e.zone, e.state);
            host.seen_stopping =
                e.state == HostState::Draining || (host.seen_stopping && e.state != HostState::Running);
            let since = e.started_at.filter(|at| at.0 > 0);
            // A host first seen after the first list has just been started, whatever its entry says.
            let started = if new && self.started { Some(since.unwrap_or(self.now)) } else { since };
            host.start_is_listed = since.is_some();
            if started != host.started {
                host.started = started;
                host.rest = CircuitBreaker::default();
            }
            // The list is the weakest evidence of a role: it only makes us ask.
            host.wanted |= !new && e.listed_as_primary && !host.leader;
            host.leader = e.listed_as_primary;
        }
        self.started = true;
        for (group, ids) in &self.groups {
            let listed = ids.iter().filter(|id| self.hosts[id].listed != HostState::Removed).count();
            self.loads.entry(*group).or_default().record_members(listed);
        }
        self.forget_gone();
        self.dispatch_all(actions);
    }

    fn forget_gone(&mut self) {
        let now = self.now;
        self.hosts.values_mut().filter(|h| h.listed == HostState::Running).for_each(|h| h.gone = None);
        let away = |h: &Host| h.listed == HostState::Removed && h.in_flight == 0 && !h.probing;
        self.hosts.values_mut().filter(|h| away(h)).for_each(|h| _ = h.gone.get_or_insert(now));
        if !self.s.removal_is_advisory {
            self.hosts.retain(|_, h| !away(h) || h.gone.is_none_or(|at| now.0 - at.0 < FORGOTTEN_US));
            let hosts = &self.hosts;
            self.groups.values_mut().for_each(|ids| ids.retain(|id| hosts.contains_key(id)));
            self.groups.retain(|_, ids| !ids.is_empty());
            self.loads.retain(|group, _| self.groups.contains_key(group));
        }
    }

    fn on_arrival(&mut self, r: Request, actions: &mut Vec<Action>) {
        if r.class >= self.s.classes.len() {
            actions.push(Action::Reject { id: r.id, retry_after: None });
            return;
        }
        let class = &self.s.classes[r.class];
        let token = match class.freshness {
            Freshness::Fresh => LogPosition(self.now.0),
            Freshness::Session if self.s.write_positions_tracked => {
                self.sessions.required_position(r.session, r.group, self.now)
            }
            Freshness::Session => match r.time_since_write {
                Some(ago) if ago.0 > 0 => LogPosition(self.now.0 - ago.0 + ROUNDING_US),
                _ => LogPosition(i64::MIN),
            },
            _ => LogPosition(i64::MIN),
        };
        self.loads.entry(r.group).or_default().record_arrival(
            role_of(class.freshness.needs_primary()),
            self.now,
            self.s.slow_start_budget_window,
        );
        let worth = class.priority_weight * self.share(r.tenant);
        self.retry_budget = (self.retry_budget + RETRY_BUDGET.0).min(RETRY_BUDGET.1);
        let open = Open {
            class: r.class,
            group: r.group,
            token,
            arrived: self.now,
            deadline: Timestamp(self.now.0 + r.timeout.0),
            worth,
            session: r.session,
            draw: self.rng,
            ..Open::default()
        };
        let admitted = self.admits(&open);
        self.open.insert(r.id, open);
        if !admitted {
            return self.refuse(r.id, actions);
        }
        self.dispatch(r.group, actions);
        // What comes with no time left is not held for the next look, which would be too late.
        self.settle(r.id, actions);
    }

    fn on_reply(&mut self, r: AttemptResult, actions: &mut Vec<Action>) {
        let Some(attempt) = self.out.remove(&(r.id, r.attempt)) else { return };
        self.learn(r.host, r.position, r.role, self.now);
        if let Some(report) = r.report {
            self.learn_report(r.host, report);
        }
        self.judge(&attempt, &r);
        self.make_room(&r, actions);
        let group = self.hosts.get(&r.host).map(|h| h.group);
        let unrun = matches!(
            r.outcome,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Misdirected
        );
        if let Some((key, group)) = attempt.writes {
            // No commit is ahead of the clock, but a session must not lose its token for such a one either.
            let commit = r.position.map(|commit| commit.min(LogPosition(self.now.0 + MAX_POSITION_LEAD.0)));
            let later = Timestamp(self.now.0 + self.s.classes[attempt.class].deadline.0);
            let commit = commit.filter(|_| r.outcome == Outcome::Ok);
            self.sessions.write_ended(key, group, commit, (!unrun).then_some(later));
        }
        if let Some(open) = self.open.get_mut(&r.id) {
            open.out -= 1;
            if !unrun && open.may_have_run.is_none_or(|(sent, _)| attempt.sent < sent) {
                open.may_have_run = Some((attempt.sent, self.hosts.get(&r.host).map_or(0, |h| h.zone)));
            }
            open.written |= !matches!(r.outcome, Outcome::ConnectFailed | Outcome::NotSent);
            if matches!(r.outcome, Outcome::Misdirected | Outcome::Stale) {
                open.missed.push(r.host);
            }
            // What errs everywhere is no host's fault, and full hosts are not helped by more of the same.
            if r.outcome == Outcome::Error {
                open.erred.push(r.host);
            }
            // One whose time is over asks for no further attempt.
            let bad =
                matches!(r.outcome, Outcome::Error | Outcome::Overloaded | Outcome::Reset | Outcome::Timeout);
            if bad && self.now.0 < open.deadline.0 - MARGIN_US {
                open.spent = open.erred.len() > 1 || self.retry_budget < 1.0;
                self.retry_budget = (self.retry_budget - 1.0).max(0.0);
            }
        }
        if r.request_closed || r.outcome == Outcome::Ok {
            self.close(r.id, actions);
        } else {
            self.settle(r.id, actions);
        }
        group.into_iter().for_each(|group| self.dispatch(group, actions));
    }

    fn on_probed(&mut self, id: HostId, report: Option<LoadReport>, actions: &mut Vec<Action>) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        host.probing = false;
        let (group, before) = (host.group, host.known);
        report.into_iter().for_each(|report| self.learn_report(id, report));
        // A host that hangs still answers probes, but its position stands; a late report moves all the same.
        if let Some(host) = self.hosts.get_mut(&id).filter(|h| h.known > before) {
            host.alive = Some(self.now);
        }
        self.dispatch(group, actions);
    }

    fn on_timer(&mut self, actions: &mut Vec<Action>) {
        if self.look_at.is_some_and(|at| at > self.now) {
            return;
        }
        self.look_at = None;
        if self.watch_again.is_some_and(|at| at <= self.now) {
            self.watch_again = None;
            actions.push(Action::WatchEndpoints(true));
        }
        self.watch_silence();
        let ids: Vec<RequestId> = self.open.keys().copied().collect();
        for id in ids {
            self.settle(id, actions);
            self.try_again(id, actions);
        }
        self.dispatch_all(actions);
    }

    /// Forgets a request that has its answer and calls off what is still out for it.
    fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.open.remove(&id).is_some() && self.s.cancellation_allowed {
            for (&(id, attempt), _) in self.out.range((id, 0)..=(id, u32::MAX)) {
                actions.push(Action::CancelAttempt { id, attempt });
            }
        }
    }

    // ---- Knowledge: positions and roles ----------------------------------------------------------------

    /// Takes what an answer says. A position is a lower bound that only rises; of roles the newest wins.
    fn learn(&mut self, id: HostId, position: Option<LogPosition>, role: Option<Role>, at: Timestamp) {
        let Some(host) = self.hosts.get_mut(&id) else { return };
        if let Some(position) = position.filter(|p| p.0 <= self.now.0 + MAX_POSITION_LEAD.0) {
            (host.heard, host.known) = (Some(self.now), host.known.max(position));
        }
        let group = host.group;
        let Some(role) = role.filter(|_| host.role.is_none_or(|(_, seen)| seen <= at)) else { return };
        host.role = Some((role, at));
        // There is one primary: whoever was seen as such before is it no longer.
        let others = self.groups.get(&group).into_iter().flatten().filter(|other| **other != id);
        for other in others.filter(|_| role == Role::Primary) {
            let other = self.hosts.get_mut(other);
            if let Some(other) = other.filter(|h| h.role.is_some_and(|(r, t)| r == role && t < at)) {
                other.role = Some((Role::Replica, at));
            }
        }
    }

    /// A report is as old as the position in it.
    fn learn_report(&mut self, id: HostId, report: LoadReport) {
        let at = Timestamp(report.position.map_or(i64::MIN, |position| position.0));
        if at.0 > self.now.0 + MAX_POSITION_LEAD.0 {
            return;
        }
        self.learn(id, report.position, report.role, at);
    }

    /// Where the host's position probably is by now.
    fn likely(&self, host: &Host) -> LogPosition {
        let Some(heard) = host.heard else { return host.known };
        LogPosition(host.known.0.saturating_add(self.now.0 - heard.0))
    }

    fn members(&self, group: u32) -> impl Iterator<Item = (HostId, &Host)> + '_ {
        self.groups.get(&group).into_iter().flatten().filter_map(|id| Some((*id, self.hosts.get(id)?)))
    }

    /// The member last shown as primary; before any evidence, the one that the list names.
    fn primary(&self, group: u32) -> Option<HostId> {
        let seen = |h: &Host| h.role.filter(|(role, _)| *role == Role::Primary).map(|(_, at)| at);
        let members = || self.members(group).filter(|(_, h)| self.usable(h));
        let shown = members().filter_map(|(id, h)| seen(h).map(|at| (at, id))).max();
        let listed = || members().find(|(_, h)| h.leader && h.role.is_none()).map(|(id, _)| id);
        shown.map(|(_, id)| id).or_else(listed)
    }

    // ---- Eligibility: every send passes here -----------------------------------------------------------

    /// Not draining and not gone. We stop at once, so the grace is never needed.
    fn usable(&self, host: &Host) -> bool {
        let dropped = host.listed == HostState::Removed && !host.seen_stopping;
        host.listed == HostState::Running || (dropped && self.s.removal_is_advisory)
    }

    /// How recent the data must be that this read is answered from.
    fn recent(&self, open: &Open) -> ReadRequirement {
        ReadRequirement::for_class(self.s.classes[open.class].freshness, open.token)
    }

    /// Whether the rules let this host take this request now, and on what evidence.
    fn fit(&self, id: HostId, open: &Open) -> Option<Fit> {
        let host = self.hosts.get(&id)?;
        let class = &self.s.classes[open.class];
        let over = self.now >= open.deadline || open.attempts >= self.s.max_attempts;
        let allowed = host.group == open.group && self.usable(host) && !over;
        if !allowed || !self.may_repeat(open, Some(host.zone)) || !self.cold_room(id, host, open) {
            return None;
        }
        // What can be repeated needs no proof that its host answers; where nobody can be asked there is none.
        let unproven = class.idempotency != Idempotency::NotIdempotent || !self.s.can_health_check();
        let recent = unproven || host.alive.is_some_and(|at| self.now.0 - at.0 <= EVIDENCE_US);
        match (host.role, class.freshness) {
            // While a primary hands over it turns writes away and still calls itself the primary.
            (_, Freshness::Write) if host.declined.is_some_and(|at| self.now.0 - at.0 < DECLINED_US) => {
                return None
            }
            (Some((Role::Primary, _)), _) if recent => return Some(Fit::Primary),
            // Where nobody can be asked, the next member is tried: a miss costs a write nothing.
            (_, Freshness::Write) if !self.s.can_health_check() => return self.guess(id, host, open),
            (_, Freshness::Write) => return None,
            _ => {}
        }
        let need = self.recent(open).required_position(self.now);
        if class.freshness == Freshness::Any
            || need.0 == i64::MIN
            || (host.known >= need && !self.is_primary(host))
        {
            return Some(Fit::Proven);
        }
        let wait = self.s.replica_lag_wait()?;
        // An old host that was never heard of is as likely as any: a wrong guess costs a miss.
        let unheard = host.heard.is_none() && host.started.is_none();
        let likely = unheard || self.likely(host).0.saturating_add(wait.0 / 2) >= need.0;
        match likely && !self.is_primary(host) {
            true => Some(Fit::Likely),
            false if self.s.can_health_check() => None,
            false => self.guess(id, host, open),
        }
    }

    /// Instead of a probe, the request itself: a wrong guess is turned away untouched, and its answer tells.
    /// Not where a primary is known that may answer, nor where the same was heard just now.
    fn guess(&self, id: HostId, host: &Host, open: &Open) -> Option<Fit> {
        let write = self.needs_primary(open);
        let known = write && self.primary(open.group).is_some_and(|p| !self.hosts[&p].rest.is_open(self.now));
        let told = if write { host.role.map(|(_, at)| at) } else { host.heard };
        let lag = told.filter(|_| !write).map_or(0, |at| at.0 - host.known.0);
        let due = match told {
            Some(at) => self.now.0 - at.0 >= GUESS_US.max(lag / 2) && (write || open.missed.len() < 2),
            None => !open.missed.contains(&id),
        };
        (due && !known).then_some(Fit::Guess)
    }

    fn needs_primary(&self, open: &Open) -> bool {
        self.s.classes[open.class].freshness.needs_primary()
    }

    fn is_primary(&self, host: &Host) -> bool {
        matches!(host.role, Some((Role::Primary, _)))
    }

    /// Rule 2: what may have run goes out again only where its repeat does no harm, and only while the hosts
    /// still drop a repeat of what was first sent.
    fn may_repeat(&self, open: &Open, zone: Option<u32>) -> bool {
        let class = &self.s.classes[open.class];
        if open.out > 0 && (!self.s.hedging_allowed || class.idempotency == Idempotency::NotIdempotent) {
            return false;
        }
        // What is still out may have run since the arrival, in a zone that is not looked up.
        let out = (open.out > 0).then_some((open.arrived, None));
        let first = out.or(open.may_have_run.map(|(sent, zone)| (sent, Some(zone))));
        match (class.idempotency, first) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::NotIdempotent, Some(_)) => false,
            (Idempotency::WithKey(scope), Some((sent, first))) => {
                let same = scope != KeyScope::Zone || zone.is_none() || zone == first;
                same && self.now.0 + ROUNDING_US < sent.0 + class.idempotency_key_window.0
            }
        }
    }

    // ---- Choice: ranks what is allowed -----------------------------------------------------------------

    /// The best host that may take this request now; none means that it is held.
    fn pick(&mut self, id: RequestId) -> Option<HostId> {
        let open = self.open.get(&id)?;
        let class = &self.s.classes[open.class];
        let write = class.freshness == Freshness::Write;
        // A group is never shut out whole: when all its members are sick, reads go to them all the same.
        let able = |h: &Host| self.usable(h) && !h.rest.is_open(self.now);
        let healthy = self.members(open.group).any(|(_, h)| able(h));
        // Reads that freeze a replica stay on some, so that the others apply. The list is sorted alike at all
        // routers: they set the same ones aside. Harms where such reads are most of the traffic.
        let freezes = self.freezes(open.class);
        let replicas = self.members(open.group).filter(|(_, h)| freezes && able(h) && !self.is_primary(h));
        let mut aside: Vec<HostId> = replicas.map(|(id, _)| id).collect();
        aside.sort_unstable();
        aside.truncate((aside.len() / FROZEN_PART).max(1));
        let errs = self.usual_errors(open.group);
        let mut best: Option<(_, HostId)> = None;
        let mut behind = Vec::new();
        for (host_id, host) in self.members(open.group) {
            let Some(fit) = self.fit(host_id, open) else {
                behind.push(host_id);
                continue;
            };
            let sick = host.rest.is_open(self.now);
            let spared = fit == Fit::Primary && !self.needs_primary(open);
            let tried = (fit == Fit::Likely && open.missed.contains(&host_id))
                || self.out.range((id, 0)..=(id, u32::MAX)).any(|(_, a)| a.host == host_id);
            if tried
                || (sick && (write || healthy))
                || f64::from(host.in_flight) >= host.limit.max(1.0)
                || (spared && self.spares_primary(open))
                || (!write && self.overfull(host_id, host, open))
                || !(aside.is_empty() || aside.contains(&host_id))
            {
                continue;
            }
            let near = host.zone == self.s.zone;
            let cross = if near { 0.0 } else { self.s.price_cross_zone * class.latency_objective.0 as f64 };
            let chance = 0.75 + 0.5 * Self::luck(open, host_id.0, 1 + u64::from(open.attempts));
            let cost = self.pace[open.class].mean_us * host.slowness * chance + cross;
            let last = sick || self.errs(host) > errs || open.erred.contains(&host_id);
            // A cold host has its share by chance already: what it was drawn for is not drawn for again.
            let drawn = self.warmth(host) < 1.0;
            let key = (last, fit, !drawn, host.in_flight, cost);
            if best.as_ref().is_none_or(|(other, _)| key < *other) {
                best = Some((key, host_id));
            }
        }
        // For a write the member last shown as primary is asked, and if that is sick everyone. For a read,
        // where hosts check reads and nobody is proven, one that was short: the longest unasked.
        let proven = best.as_ref().is_some_and(|((_, fit, ..), _)| write || *fit == Fit::Proven);
        let primary = self.primary(open.group).filter(|p| write && !self.hosts[p].rest.is_failing());
        if !write {
            behind.sort_by_key(|id| self.hosts[id].probed);
            behind.truncate(usize::from(self.s.replica_lag_wait().is_some()));
        }
        for id in primary.map_or(behind, |p| vec![p]).into_iter().filter(|_| !proven) {
            self.hosts.entry(id).and_modify(|host| host.wanted = true);
        }
        best.map(|(_, host)| host)
    }

    /// Where one request of each router is too much for a host: by chance, the more the later it was.
    fn overfull(&self, id: HostId, host: &Host, open: &Open) -> bool {
        let late = host.late.value_at(self.now, LATE_FADES_US) / OVERFULL_AT;
        self.s.is_large_fleet() && Self::luck(open, id.0, 2) * late * late > 1.0
    }

    /// The primary is for the writes: by chance, it takes the fewer reads the later it answers, and half of
    /// them while nothing is known of it, until they have waited for a replica in vain.
    fn spares_primary(&self, open: &Open) -> bool {
        let unknown = 1.0 - self.crowd.confidence(open.group, Role::Primary, self.now);
        let waited = (self.now.0 - open.arrived.0) as f64 * 4.0
            / self.s.classes[open.class].latency_objective.0 as f64;
        // Work takes its time at an idle host too: only what comes on top is a sign that the primary is full.
        let idle =
            self.pace[open.class].service_time_us / self.s.classes[open.class].latency_objective.0 as f64;
        let late = (self.lateness(open.group, true) - idle) / (SPARED_AT - idle).max(SPARED_AT / 2.0);
        Self::luck(open, 0, 0) < late + unknown * (0.5 - waited).max(0.0)
    }

    /// Part of its capacity that a host had at the least when the cold budget began; 1 once it is warm.
    fn warmth(&self, host: &Host) -> f64 {
        let began = self.now.0 - self.s.slow_start_budget_window.0;
        host.started.map_or(1.0, |started| self.s.slow_start_fraction(TimeDelta(began - started.0)))
    }

    /// A read that any data will do for and that is given far more time than others is long, and a replica
    /// applies nothing while it holds one. Presumed: a router that sees one a minute cannot wait for proof.
    fn freezes(&self, class: usize) -> bool {
        let class = &self.s.classes[class];
        class.freshness == Freshness::Any
            && class.latency_objective.0 / 4 > self.s.shortest_latency_objective().0
    }

    /// Sends what is held for a group, the most worth for its work first.
    fn dispatch(&mut self, group: u32, actions: &mut Vec<Action>) {
        let held = self.open.iter().filter(|(_, open)| open.group == group && open.out == 0);
        let mut held: Vec<(f64, RequestId)> = held.map(|(id, open)| (-self.priority(open), *id)).collect();
        held.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut stuck = vec![0; self.s.classes.len()];
        for (_, id) in held {
            let class = self.open[&id].class;
            if stuck[class] >= STUCK || self.awaits_probe(id, actions) {
                continue;
            }
            match self.pick(id) {
                Some(host) => self.send(id, host, actions),
                None => stuck[class] += 1,
            }
        }
        let wanted: Vec<HostId> = self.members(group).filter(|(_, h)| h.wanted).map(|(id, _)| id).collect();
        for id in wanted {
            self.probe(id, actions);
        }
    }

    fn dispatch_all(&mut self, actions: &mut Vec<Action>) {
        let groups: BTreeSet<u32> =
            self.open.values().filter(|open| open.out == 0).map(|o| o.group).collect();
        groups.into_iter().for_each(|group| self.dispatch(group, actions));
    }

    /// Where replicas do not check reads, one that may have caught up is asked first and the read held.
    fn awaits_probe(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(open) = self.open.get(&id) else { return false };
        let need = self.recent(open).required_position(self.now);
        let asks =
            self.s.can_health_check() && self.s.replica_lag_wait().is_none() && !self.needs_primary(open);
        if need.0 == i64::MIN || !asks {
            return false;
        }
        let members = || self.members(open.group).filter(|(_, h)| !self.is_primary(h));
        if members().any(|(id, _)| self.fit(id, open) == Some(Fit::Proven)) {
            return false;
        }
        let able = members().filter(|(_, h)| self.usable(h) && !h.rest.is_failing());
        // Of those never heard of any one: all routers asking the same would all send there.
        let first = |id: &HostId, h: &Host| (self.likely(h), Self::luck(open, id.0, 0).to_bits());
        let Some((host, h)) = able.max_by_key(|(id, h)| first(id, h)) else { return false };
        if let Some(asked) = open.asked {
            return h.probing && self.now.0 - asked.0 < LOOK_US * 2;
        }
        if let Some(open) = self.open.get_mut(&id) {
            open.asked = Some(self.now);
        }
        self.probe(host, actions)
    }

    fn send(&mut self, id: RequestId, host_id: HostId, actions: &mut Vec<Action>) {
        let Some(recent) = self.open.get(&id).map(|open| self.recent(open)) else { return };
        let (Some(open), Some(host)) = (self.open.get_mut(&id), self.hosts.get_mut(&host_id)) else { return };
        // A connection may take long to open, and no host is bound to keep up meanwhile.
        let checks = self.s.replica_lag_wait().is_some();
        let checked = checks || matches!(host.role, Some((Role::Primary, _)));
        let until = if checked { None } else { recent.latest_write(host.known) };
        let number = open.attempts;
        open.attempts += 1;
        open.out += 1;
        host.in_flight += 1;
        host.rest.probe_started(self.now, TimeDelta(REST_US.0));
        let write =
            self.s.write_positions_tracked && self.s.classes[open.class].freshness == Freshness::Write;
        let writes = open.session.filter(|_| write).map(|key| (key, open.group));
        if let Some((key, group)) = writes.filter(|_| !checks) {
            self.sessions.write_sent(key, group, self.now);
        }
        let attempt = Attempt { host: host_id, class: open.class, sent: self.now, dropped: false, writes };
        self.out.insert((id, number), attempt);
        actions.push(Action::Forward {
            id,
            host: host_id,
            timeout: None,
            requirement: recent,
            write_by: until,
        });
    }

    // ---- Admission -------------------------------------------------------------------------------------

    /// Worth still to be had for the work it takes.
    fn priority(&self, open: &Open) -> f64 {
        let class = &self.s.classes[open.class];
        let work = self.pace[open.class].service_time_us.max(1.0);
        // Of equals the one that surely makes it goes first: a long queue must not make every answer late.
        let left = (open.arrived.0 + class.latency_objective.0 - self.now.0).max(0) as f64;
        let chance = 1.0 - (-left / work).exp();
        open.worth * (chance + class.late_priority_weight * (1.0 - chance)) / work
    }

    /// Own limits cannot fall under one request at a host, which hundreds of routers together do not feel.
    /// So requests are let in by chance, the less the later the answers of their kind were, the least worth
    /// first. Covers overload, shared slowdowns and storms of clients; harms where few hosts are slow.
    fn admits(&mut self, open: &Open) -> bool {
        let write = self.needs_primary(open);
        let priority = self.priority(open);
        let usual = &mut self.usual[usize::from(write)];
        *usual += GAIN * (priority - *usual);
        let usual = usual.max(1e-9);
        let late = self.lateness(open.group, write) / self.full_at(write);
        late <= 1.0 || Self::luck(open, 0, 0) * late * late < priority / usual
    }

    /// A few routers hold back by their limits; many leave out single hosts, and a group is late beyond that.
    fn full_at(&self, primary: bool) -> f64 {
        match self.s.is_large_fleet() && !primary {
            true => FULL_AT.0,
            false => FULL_AT.1 * (1.0 + f64::from(SMALL_FLEET_MAX_ROUTERS) / f64::from(self.s.router_count)),
        }
    }

    /// Latency of late at a group's primary or replicas, in parts of the aims.
    fn lateness(&self, group: u32, primary: bool) -> f64 {
        self.crowd.latency_ratio(group, role_of(primary), self.now)
    }

    /// Part of the worth that a request of this customer has: the whole within its share. A router knows its
    /// own traffic only, however large a part of all that is: shares are told by what each asks here.
    fn share(&mut self, tenant: usize) -> f64 {
        let Some(quota) = self.s.tenant_quotas.get(tenant) else { return 1.0 };
        self.asked.iter_mut().for_each(|asked| *asked *= 1.0 - GAIN / 5.0);
        self.asked[tenant] += 1.0;
        let fair = quota / self.s.tenant_quotas.iter().sum::<f64>().max(1e-9);
        let within = (fair * self.asked.iter().sum::<f64>() / self.asked[tenant]).min(1.0);
        within + (1.0 - within) * self.s.over_quota_weight
    }

    /// Ends a request that is not out, once nothing good can come of holding it.
    fn settle(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id).filter(|open| open.out == 0) else { return };
        let class = &self.s.classes[open.class];
        let aim_left = (open.arrived.0 + class.latency_objective.0 - self.now.0) as f64;
        let hopeless =
            class.late_priority_weight <= 0.0 && aim_left < self.pace[open.class].service_time_us / 2.0;
        let over =
            self.now.0 >= open.deadline.0 - MARGIN_US || open.attempts >= self.s.max_attempts || open.spent;
        // What no host took in half its time had better be asked again: its client is told when. A write that
        // was turned away may wait for the next primary.
        let half = (open.arrived.0 + open.deadline.0) / 2 - 2 * LOOK_US;
        let tried = if self.needs_primary(open) { open.written } else { open.may_have_run.is_some() };
        let idle = !tried && self.now.0 >= half;
        if !hopeless && !over && !idle && self.may_repeat(open, None) {
            return;
        }
        let harmless =
            matches!(class.idempotency, Idempotency::Idempotent | Idempotency::WithKey(KeyScope::All));
        if harmless || open.may_have_run.is_none() {
            return self.refuse(id, actions);
        }
        actions.push(Action::Fail { id });
        self.close(id, actions);
    }

    /// Tells the client when to come back: soon while there is time left for a good answer, else late.
    fn refuse(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let half = self.s.classes[open.class].latency_objective.0 / 2;
        let soon = self.now.0 < open.arrived.0 + half;
        let wait = if soon { self.s.max_retry_after.min(TimeDelta(half)) } else { self.s.max_retry_after };
        actions.push(Action::Reject { id, retry_after: self.s.retry_after_allowed.then_some(wait) });
        self.close(id, actions);
    }

    // ---- Further attempts ------------------------------------------------------------------------------

    /// Looks after a request that is out for longer than nearly all of its class.
    fn try_again(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id).filter(|open| open.out == 1) else { return };
        let Some((_, attempt)) = self.out.range((id, 0)..=(id, u32::MAX)).next() else { return };
        let host = self.hosts.get(&attempt.host);
        let silent = host.is_some_and(|h| h.rest.is_failing());
        // Where all is late a copy only adds to it, and many routers each see too little to tell.
        let primary = host.is_some_and(|h| self.is_primary(h));
        let calm = self.full_at(primary) / self.s.fleet_size_factor();
        let calm = self.lateness(open.group, primary) < calm;
        let late = calm && (self.now.0 - attempt.sent.0) as f64 > LATE * self.pace[open.class].mean_us;
        let may =
            self.s.hedging_allowed && self.s.classes[open.class].idempotency != Idempotency::NotIdempotent;
        if !may || attempt.dropped || !(late || silent) || self.retry_budget < 1.0 {
            return;
        }
        if let Some(host) = self.pick(id) {
            self.retry_budget -= 1.0;
            self.send(id, host, actions);
        }
    }

    // ---- Cold and drain budgets ------------------------------------------------------------------------

    /// Rule 4: a cold host gets a fraction of what a warm one would, by chance, so that it holds summed over
    /// routers that each send next to nothing. One draw for a request and host: looks do not add up. Covers a
    /// whole group that is cold and writes to a cold primary; harms where others would have time to spare.
    fn cold_room(&self, id: HostId, host: &Host, open: &Open) -> bool {
        let part = self.warmth(host);
        if part >= 1.0 {
            return true;
        }
        // Of what hosts serve, not of what comes again after refusals; further attempts would add to that.
        let load = self.loads.get(&open.group).copied().unwrap_or_default();
        let able = self.s.slow_start_budget_multiple
            * part
            * load.served_fraction_per_host(role_of(self.needs_primary(open)));
        open.attempts == 0 && Self::luck(open, id.0, 0) < COLD_SAFETY * able
    }

    /// A number from 0 to 1: the same for one request, host and salt however often it is looked at.
    fn luck(open: &Open, host: u32, salt: u64) -> f64 {
        let seed = open.draw ^ u64::from(host).wrapping_mul(0xD134_2543_DE82_EF95) ^ salt;
        let mixed = (seed ^ (seed >> 31)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        ((mixed ^ (mixed >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9) >> 40) as f64 / (1u64 << 24) as f64
    }

    // ---- Probes and timers -----------------------------------------------------------------------------

    /// Asks a member by need; whether its answer is now awaited. Many routers together ask no more often than
    /// a few do, or a failover costs a storm of probes; but once an aim while no primary is known, and soon
    /// the one that is or where only a proof lets a read go: what waits longer is lost all the same.
    fn probe(&mut self, id: HostId, actions: &mut Vec<Action>) -> bool {
        let Some(host) = self.hosts.get(&id).filter(|h| self.s.can_health_check() && self.usable(h)) else {
            return false;
        };
        let gap = (PROBE_GAP_US as f64 * self.s.fleet_size_factor()) as i64;
        let gap = match self.primary(host.group) {
            Some(primary) if primary == id || self.s.replica_lag_wait().is_none() => PROBE_GAP_US,
            Some(_) => gap,
            None => gap.min(self.s.shortest_latency_objective().0),
        };
        let now = self.now;
        let early = host.heard == Some(now) || host.probed.is_some_and(|at| now.0 - at.0 < gap);
        if let Some(host) = self.hosts.get_mut(&id).filter(|h| !h.probing && !early) {
            (host.probing, host.wanted, host.probed) = (true, false, Some(now));
            actions.push(Action::HealthCheck { host: id });
        }
        self.hosts[&id].probing
    }
}

/// The role that serves a request, or that a host has.
fn role_of(primary: bool) -> Role {
    if primary {
        Role::Primary
    } else {
        Role::Replica
    }
}
