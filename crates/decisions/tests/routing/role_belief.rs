//! Random sequences of responses, lost responses, failures, restarts and endpoint lists in one group of three
//! hosts. Guards against two failures: a fresh read relies on a role whose end a lost response may have
//! reported, and fresh reads are never forwarded again.
//!
//! Hosts do not check reads and health checks are not allowed, so that only responses report roles and
//! positions.

use crate::world::*;
use proptest::prelude::*;
use proptest::sample::Index;
use std::collections::{BTreeMap, BTreeSet};
use wheelpier_decisions::*;

const HOSTS: u32 = 3;
const SESSION: usize = 1;
const BOUNDED: usize = 2;
const FRESH: usize = 4;
const KEYED_WRITE: usize = 5;
const FRESH_READ_CLASSES: [usize; 3] = [SESSION, BOUNDED, FRESH];
const REQUEST_TIMEOUT: TimeDelta = TimeDelta(2_000 * MS);
/// Time within which a responding primary gets a read of each fresh class, whatever happened before.
const RECOVERY_MS: i64 = 12_000;

/// A read relies on a role that was reported within this time; after that it may also be a role query.
const RECENT_REPORT_WINDOW: TimeDelta = TimeDelta(1_000 * MS);
/// Time after which a read may query the role of a host that has restarted, unless a response was lost since.
const ROLE_QUERY_INTERVAL: TimeDelta = TimeDelta(3_000 * MS);
/// Idle time after which only its role makes a host suitable for a fresh read.
const IDLE_MS: i64 = 2_000;
/// Replica lag that is too long for any fresh read.
const REPLICA_LAG_MS: i64 = 1_500;

/// One step of a generated sequence.
#[derive(Clone, Debug)]
enum Step {
    /// A request arrives, this long after the last write of its session.
    Request { class: usize, written_ms_ago: i64 },
    /// The client of a pending request disconnects.
    Leave(Index),
    /// An attempt in flight ends.
    End(Index, End),
    /// A host restarts.
    Started(u32),
    /// A host is removed from the endpoint list and returns.
    ListedAgain(u32),
    /// A host drains and returns.
    Drained(u32),
    /// A full endpoint list arrives.
    FullList,
    /// Time passes.
    Pass { ms: i64 },
}

/// How an attempt ends.
#[derive(Clone, Copy, Debug)]
enum End {
    /// The complete response arrived with a role and perhaps a position.
    Responded(Role, Position),
    /// The complete response arrived and reported no role.
    WithoutRole(Outcome),
    /// The request was written, and the part of the response that reports the role did not arrive.
    Lost(Outcome),
    /// The request was not written.
    Unwritten(Outcome),
}

/// The position that a response reports, by its age.
#[derive(Clone, Copy, Debug)]
enum Position {
    None,
    Old { ms: i64 },
}

fn step() -> impl Strategy<Value = Step> {
    let request = (0..6usize, 1..3_000i64);
    prop_oneof![
        6 => request.prop_map(|(class, written_ms_ago)| Step::Request { class, written_ms_ago }),
        8 => (any::<Index>(), end()).prop_map(|(which, end)| Step::End(which, end)),
        1 => any::<Index>().prop_map(Step::Leave),
        1 => (0..HOSTS).prop_map(Step::Started),
        1 => (0..HOSTS).prop_map(Step::ListedAgain),
        1 => (0..HOSTS).prop_map(Step::Drained),
        1 => Just(Step::FullList),
        4 => (1..150i64).prop_map(|ms| Step::Pass { ms }),
        2 => (900..4_000i64).prop_map(|ms| Step::Pass { ms }),
    ]
}

fn end() -> impl Strategy<Value = End> {
    let position = prop_oneof![
        1 => Just(Position::None),
        3 => (0..30i64).prop_map(|ms| Position::Old { ms }),
        2 => (300..5_000i64).prop_map(|ms| Position::Old { ms }),
    ];
    let role = prop_oneof![2 => Just(Role::Primary), 1 => Just(Role::Replica)];
    prop_oneof![
        5 => (role, position).prop_map(|(role, position)| End::Responded(role, position)),
        1 => prop::sample::select(vec![Outcome::Overloaded, Outcome::Error, Outcome::Ok])
            .prop_map(End::WithoutRole),
        3 => prop::sample::select(vec![Outcome::Reset, Outcome::Timeout, Outcome::Cancelled, Outcome::Error])
            .prop_map(End::Lost),
        1 => prop::sample::select(vec![Outcome::ConnectFailed, Outcome::NotSent]).prop_map(End::Unwritten),
    ]
}

/// The state of a host as its responses have reported it.
#[derive(Clone, Copy, Debug)]
struct HostReports {
    role: Option<Role>,
    role_reported_at: Timestamp,
    /// Earliest time at which the report may have been written.
    written_at: Timestamp,
    /// When a response was lost; `None` once a response that was written later has been received.
    response_lost_at: Option<Timestamp>,
    /// When the host restarted; `None` once a response that was written later has been received.
    restarted_at: Option<Timestamp>,
    position: LogPosition,
}

impl HostReports {
    const NONE: Self = Self {
        role: None,
        role_reported_at: Timestamp(0),
        written_at: Timestamp(0),
        response_lost_at: None,
        restarted_at: None,
        position: LogPosition(i64::MIN),
    };

    /// Returns whether a fresh read may rely on the host being the primary. A lost response prevents this
    /// until a later response; after a restart a role query is allowed in time.
    fn is_primary(&self, now: Timestamp) -> bool {
        let may_query = self.restarted_at.is_none_or(|at| now - at >= ROLE_QUERY_INTERVAL);
        self.role == Some(Role::Primary) && self.response_lost_at.is_none() && may_query
    }
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    id: RequestId,
    attempt: u32,
    host: u32,
    class: usize,
    sent_at: Timestamp,
    /// Whether only a recently reported role makes the host suitable.
    relies_on_role: bool,
    /// Whether the router has withdrawn the attempt, so that it is not written if it still waits for a
    /// connection.
    is_withdrawn: bool,
}

/// A router, the attempts in flight at its group of hosts, and the state that their responses have reported.
struct Group {
    world: World,
    reports: [HostReports; HOSTS as usize],
    in_flight: Vec<InFlight>,
    attempts: BTreeMap<RequestId, u32>,
    classes: BTreeMap<RequestId, usize>,
    closed: BTreeSet<RequestId>,
}

impl Group {
    fn new() -> Self {
        let settings = Settings {
            health_checks_allowed: false,
            lag_policy: LagPolicy::ServeStale,
            slow_start_initial_fraction: 1.0,
            ..settings()
        };
        Self {
            world: World::new(settings, HOSTS),
            reports: [HostReports::NONE; HOSTS as usize],
            in_flight: Vec::new(),
            attempts: BTreeMap::new(),
            classes: BTreeMap::new(),
            closed: BTreeSet::new(),
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.world.now)
    }

    fn apply_step(&mut self, step: &Step) {
        match step {
            Step::Request { class, written_ms_ago } => drop(self.request(*class, *written_ms_ago)),
            Step::Leave(which) => self.disconnect_client(which),
            Step::End(which, end) => {
                if !self.in_flight.is_empty() {
                    let ended = self.in_flight.remove(which.index(self.in_flight.len()));
                    self.end(ended, *end);
                }
            }
            Step::Started(host) => {
                // Start times must differ.
                self.world.now += 1;
                self.relist_host(*host, Some(self.now()));
            }
            Step::ListedAgain(host) => {
                self.list(EndpointUpdate::Delta, vec![entry(*host, HostState::Removed)]);
                self.relist_host(*host, None);
            }
            Step::Drained(host) => {
                self.list(EndpointUpdate::Delta, vec![entry(*host, HostState::Draining)]);
                self.relist_host(*host, None);
            }
            Step::FullList => self.send_full_list(),
            Step::Pass { ms } => self.advance_ms(*ms),
        }
    }

    fn request(&mut self, class: usize, written_ms_ago: i64) -> RequestId {
        // The class must be recorded before the actions are checked.
        let (id, actions) = self.world.request(class, Some(written_ms_ago * MS));
        self.classes.insert(id, class);
        self.apply_actions(actions);
        id
    }

    fn disconnect_client(&mut self, which: &Index) {
        let open: Vec<RequestId> =
            self.classes.keys().filter(|id| !self.closed.contains(id)).copied().collect();
        if !open.is_empty() {
            let id = open[which.index(open.len())];
            self.closed.insert(id);
            self.event(Event::ClientDisconnected(id));
        }
    }

    fn list(&mut self, update: EndpointUpdate, entries: Vec<EndpointEntry>) {
        self.event(Event::EndpointList(update, entries));
    }

    /// Lists a host as restarted or returned: its earlier reports no longer count. This is recorded before
    /// the router acts on the list.
    fn relist_host(&mut self, host: u32, started_at: Option<Timestamp>) {
        self.reports[host as usize].restarted_at = Some(self.now());
        let entry = EndpointEntry { started_at, ..entry(host, HostState::Running) };
        self.list(EndpointUpdate::Delta, vec![entry]);
    }

    /// Sends a full list without start times.
    fn send_full_list(&mut self) {
        let entries = (0..HOSTS).map(|host| entry(host, HostState::Running)).collect();
        self.list(EndpointUpdate::Snapshot, entries);
    }

    /// Advances the clock; attempts past their timeout end without a response.
    fn advance_ms(&mut self, ms: i64) {
        let until = self.world.now + ms * MS;
        while self.world.now < until {
            self.world.now = until.min(self.world.now + 10 * MS);
            self.end_timed_out_attempts();
            self.event(Event::Timer(0));
        }
    }

    fn end_timed_out_attempts(&mut self) {
        let now = self.now();
        let is_over = |attempt: &InFlight| now >= attempt.sent_at + REQUEST_TIMEOUT;
        while let Some(at) = self.in_flight.iter().position(is_over) {
            let ended = self.in_flight.remove(at);
            self.end(ended, End::Lost(Outcome::Timeout));
        }
    }

    fn end(&mut self, ended: InFlight, end: End) {
        let (outcome, role, position, answer_lost) = match end {
            End::Responded(role, position) => (outcome_of(ended.class, role), Some(role), position, false),
            End::WithoutRole(outcome) => (outcome, None, Position::None, false),
            End::Lost(outcome) => (outcome, None, Position::None, true),
            End::Unwritten(outcome) => (outcome, None, Position::None, false),
        };
        let position = match position {
            Position::None => None,
            Position::Old { ms } => Some(LogPosition(self.world.now - ms * MS)),
        };
        self.record_end(ended, role, position, answer_lost);
        if outcome == Outcome::Ok {
            self.closed.insert(ended.id);
        }
        self.event(Event::AttemptEnded(AttemptResult {
            id: ended.id,
            attempt: ended.attempt,
            host: HostId(ended.host),
            outcome,
            latency: self.now() - ended.sent_at,
            request_closed: self.closed.contains(&ended.id),
            position,
            role,
            report: None,
            answer_lost,
        }));
    }

    /// Returns whether another host was the primary after `written_at`.
    fn has_newer_primary(&self, host: u32, written_at: Timestamp) -> bool {
        let others = (0..HOSTS).zip(&self.reports).filter(|(other, _)| *other != host);
        others
            .into_iter()
            .any(|(_, other)| other.role == Some(Role::Primary) && other.written_at > written_at)
    }

    /// Records what the end of an attempt reports. A response was written no earlier than its request was
    /// sent, and no earlier than its position.
    fn record_end(
        &mut self,
        ended: InFlight,
        role: Option<Role>,
        position: Option<LogPosition>,
        answer_lost: bool,
    ) {
        let now = self.now();
        let written_at = position.map_or(ended.sent_at, |position| ended.sent_at.max(Timestamp(position.0)));
        let has_newer_primary = self.has_newer_primary(ended.host, written_at);
        let reports = &mut self.reports[ended.host as usize];
        reports.position = reports.position.max(position.unwrap_or(reports.position));
        if answer_lost {
            reports.response_lost_at = Some(now);
        }
        let Some(reported_role) = role else { return };
        let role = if has_newer_primary { Role::Replica } else { reported_role };
        // The host may have been the primary before it was observed as a replica.
        if role == Role::Primary
            && reports.role == Some(Role::Replica)
            && reports.role_reported_at > written_at
        {
            return;
        }
        reports.role = Some(role);
        reports.role_reported_at = now;
        reports.written_at = reports.written_at.max(written_at);
        reports.response_lost_at = reports.response_lost_at.filter(|at| *at >= reports.written_at);
        reports.restarted_at = reports.restarted_at.filter(|at| *at >= reports.written_at);
        if role == Role::Primary {
            // A group has only one primary: the hosts that were the primary before are now replicas.
            let others = (0..HOSTS).zip(&mut self.reports).filter(|(host, _)| *host != ended.host);
            let former = others
                .filter(|(_, other)| other.role == Some(Role::Primary) && other.written_at < written_at);
            for (_, other) in former {
                other.role = Some(Role::Replica);
                other.role_reported_at = written_at;
                other.written_at = written_at;
            }
        }
    }

    fn event(&mut self, event: Event) {
        let actions = self.world.event(event);
        self.apply_actions(actions);
        self.check_withdrawn();
    }

    fn mark_withdrawn(&mut self, id: RequestId, attempt: u32) {
        let mut attempts = self.in_flight.iter_mut();
        if let Some(withdrawn) = attempts.find(|other| (other.id, other.attempt) == (id, attempt)) {
            withdrawn.is_withdrawn = true;
        }
    }

    /// Checks that no fresh read still relies on a role that is in doubt: it may wait for a connection, and
    /// must not be written then.
    fn check_withdrawn(&self) {
        let now = self.now();
        let is_not_withdrawn = |attempt: &&InFlight| {
            let reports = self.reports[attempt.host as usize];
            attempt.relies_on_role && !attempt.is_withdrawn && !reports.is_primary(now)
        };
        let not_withdrawn = self.in_flight.iter().find(is_not_withdrawn);
        assert!(not_withdrawn.is_none(), "not withdrawn at {now:?}: {not_withdrawn:?}, {:?}", self.reports);
    }

    fn apply_actions(&mut self, actions: Vec<Action>) {
        let mut cancelled = Vec::new();
        for action in actions {
            match action {
                Action::Forward { id, host, requirement, .. } => {
                    self.record_forwarded(id, host.0, requirement)
                }
                Action::Reject { id, .. } | Action::Fail { id } => drop(self.closed.insert(id)),
                Action::CancelAttempt { id, attempt } => cancelled.push((id, attempt)),
                Action::WithdrawAttempt { id, attempt } => self.mark_withdrawn(id, attempt),
                _ => {}
            }
        }
        for (id, attempt) in cancelled {
            let at = self.in_flight.iter().position(|other| (other.id, other.attempt) == (id, attempt));
            if let Some(at) = at {
                let ended = self.in_flight.remove(at);
                self.end(ended, End::Lost(Outcome::Cancelled));
            }
        }
    }

    /// Checks that the host is suitable for the request, and records the attempt.
    fn record_forwarded(&mut self, id: RequestId, host: u32, requirement: ReadRequirement) {
        let class = self.classes[&id];
        let reports = self.reports[host as usize];
        let is_proven = requirement == ReadRequirement::Any
            || reports.position >= requirement.required_position(self.now());
        assert!(
            is_proven || reports.is_primary(self.now()),
            "a read of class {class} that needs {requirement:?} goes to host {host} at {:?}: {reports:?}",
            self.now()
        );
        let attempt = self.attempts.entry(id).or_insert(0);
        let sent_at = Timestamp(self.world.now);
        let is_recent =
            sent_at - reports.role_reported_at <= RECENT_REPORT_WINDOW && reports.restarted_at.is_none();
        self.in_flight.push(InFlight {
            id,
            attempt: *attempt,
            host,
            class,
            sent_at,
            relies_on_role: !is_proven && is_recent,
            is_withdrawn: false,
        });
        *attempt += 1;
    }

    /// Lets one host be the primary and the others its replicas; all respond at once, and writes keep
    /// arriving. Checks that each class of fresh reads is served in time.
    fn check_recovery(&mut self, primary: u32) {
        self.send_full_list();
        let mut served: BTreeSet<usize> = BTreeSet::new();
        let mut reads = BTreeMap::new();
        for ms in 0..RECOVERY_MS / 10 {
            if ms % 20 == 0 {
                self.request(KEYED_WRITE, 1);
                for class in FRESH_READ_CLASSES {
                    reads.insert(self.request(class, 50), class);
                }
            }
            self.advance_ms(10);
            let served_now = self.respond_to_all(primary);
            served.extend(served_now.iter().filter_map(|id| reads.get(id)));
        }
        assert_eq!(served, BTreeSet::from(FRESH_READ_CLASSES), "{:?}", self.reports);
    }

    /// Lets each host respond to its attempts in flight. Returns the requests that the primary has served.
    fn respond_to_all(&mut self, primary: u32) -> Vec<RequestId> {
        let mut served = Vec::new();
        for ended in std::mem::take(&mut self.in_flight) {
            let is_primary = ended.host == primary;
            let role = if is_primary { Role::Primary } else { Role::Replica };
            let ms = if is_primary { 0 } else { REPLICA_LAG_MS };
            self.end(ended, End::Responded(role, Position::Old { ms }));
            served.extend(
                Some(ended.id).filter(|_| is_primary && outcome_of(ended.class, role) == Outcome::Ok),
            );
        }
        served
    }

    /// Lets the group idle until no position is recent enough for a fresh read, and checks that such a read
    /// goes to the primary.
    fn check_fresh_read_after_idle_time(&mut self, primary: u32) {
        while !self.in_flight.is_empty() {
            self.respond_to_all(primary);
        }
        self.advance_ms(IDLE_MS);
        self.request(FRESH, 1);
        let hosts: Vec<u32> = self.in_flight.iter().map(|attempt| attempt.host).collect();
        assert_eq!(hosts, [primary], "{:?}", self.reports);
    }
}

fn entry(host: u32, state: HostState) -> EndpointEntry {
    EndpointEntry::new(HostId(host), 0, state)
}

/// Returns the outcome of a request of this class at a host of this role.
fn outcome_of(class: usize, role: Role) -> Outcome {
    let is_write = settings().classes[class].freshness == Freshness::Write;
    if is_write && role == Role::Replica {
        Outcome::Misdirected
    } else {
        Outcome::Ok
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    #[test]
    fn a_fresh_read_relies_on_a_role_only_after_a_response_as_the_primary(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut group = Group::new();
        steps.iter().for_each(|step| group.apply_step(step));
    }

    #[test]
    fn fresh_reads_are_eventually_served_by_a_primary_that_responds(
        steps in prop::collection::vec(step(), 1..40),
        primary in 0..HOSTS,
    ) {
        let mut group = Group::new();
        steps.iter().for_each(|step| group.apply_step(step));
        group.check_recovery(primary);
        group.check_fresh_read_after_idle_time(primary);
    }
}
