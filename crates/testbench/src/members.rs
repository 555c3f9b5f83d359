//! Simulation of the members of a fleet in virtual time. Each direction of a link can lose, delay or block
//! messages; processes can be killed, paused, resumed and restarted; each member's clock has its own offset
//! and rate. Two rules are checked during the run: there is at most one view for each epoch, and no member
//! can be taken over while it still acts.

use crate::history::{Event as HistoryEvent, EventKind};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use wheelpier_decisions::membership::consensus::{DurableState, Event};
use wheelpier_decisions::membership::failure_detector::{
    self, FailureDetectorConfig, GossipUpdate, Suspicion,
};
use wheelpier_decisions::membership::member::{FleetConfig, Member, MemberMessage, Output};
use wheelpier_decisions::membership::membership_log::{MembershipChange, MembershipLog};
use wheelpier_decisions::membership::reconfiguration::ReachabilityRow;
use wheelpier_decisions::membership::{Identity, LeaseTerms, Name, View};
use wheelpier_decisions::Timestamp;
use wheelpier_emulator::link::Link;
use wheelpier_emulator::{MS, SECOND};

/// Bytes of a datagram in addition to its message: IP and UDP headers (28), and sender, sequence number and
/// authentication tag (48).
const DATAGRAM_OVERHEAD: u64 = 76;

/// A fault or an action on the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetFault {
    /// Kills a process.
    Kill(usize),
    /// Starts a process unless it is running.
    Start(usize),
    /// Pauses a process for the given time in microseconds.
    Pause(usize, i64),
    /// Cuts the link from the first process to the second, in this direction only.
    Cut(usize, usize),
    /// Cuts all links between these processes and the others, in both directions.
    Split(Vec<usize>),
    /// Restores all links.
    Heal,
    /// Sets the probability that a message is lost, on all links.
    Loss(f64),
    /// Sets the probability that a message is lost, on all links of one member in both directions.
    LossAt(usize, f64),
    /// Sets the minimum and maximum delay of all links, in microseconds.
    Delay(i64, i64),
    /// Makes a member leave the fleet.
    Leave(usize),
    /// Sets all links, in addition to the other faults.
    Links(Link),
    /// Sets all links of one member, in both directions.
    LinksOf(usize, Link),
    /// Makes a member report that it hears none of the others and that they are gone.
    Lies(usize),
}

/// A running process.
struct Process {
    member: Member,
    /// Reading of its clock at true time 0, in microseconds.
    clock_offset: i64,
    /// Rate of its clock relative to true time.
    clock_rate: f64,
    start_number: u64,
    paused_until: i64,
    membership_log: MembershipLog,
}

/// Something that happens at a point in virtual time.
enum Due {
    /// A message arrives at a process. Fields: the process, the incarnation that it is for (0 for any), the
    /// sender and the message.
    Deliver(usize, u64, Identity, MemberMessage),
    /// The timer of a process fires. Fields: the process and its start number.
    Timer(usize, u64),
    /// A fault is injected.
    Fault(FleetFault),
}

/// A simulated fleet.
pub struct VirtualFleet {
    /// True time, in microseconds.
    pub now: i64,
    /// Names of the members.
    pub names: Vec<Name>,
    seeds: Vec<Name>,
    processes: Vec<Option<Process>>,
    saved_states: HashMap<Name, (Identity, DurableState)>,
    persistent: bool,
    starts: u64,
    random: ChaCha8Rng,
    due_queue: BinaryHeap<Reverse<(i64, u64)>>,
    due_items: HashMap<u64, Due>,
    sequence: u64,
    cut: BTreeSet<(usize, usize)>,
    loss: f64,
    loss_at: BTreeMap<usize, f64>,
    delay: (i64, i64),
    /// Link settings by sender and receiver.
    links: BTreeMap<(usize, usize), Link>,
    lying_members: BTreeSet<usize>,
    record_history: bool,
    /// Membership events and actions, if they are recorded.
    pub history: Vec<HistoryEvent>,
    /// Each adopted view by epoch.
    pub views: BTreeMap<u64, View>,
    /// Time at which each view was first adopted, by epoch.
    pub view_adopted_at: BTreeMap<u64, i64>,
    /// Number of bytes sent, including the overhead of the datagrams.
    pub bytes: u64,
    /// Number of messages sent.
    pub messages: u64,
    /// Members that have left.
    pub left: BTreeSet<usize>,
    /// Time at which each member first adopted each view, by epoch and member.
    pub member_adopted_at: BTreeMap<(u64, usize), i64>,
}

fn change_event(change: MembershipChange, lease_until: i64) -> EventKind {
    EventKind::Change {
        epoch: change.epoch,
        who: change.member,
        cause: format!("{:?}", change.cause),
        lease_until,
    }
}

impl VirtualFleet {
    /// Creates a fleet and starts all of its members. The first `seeds` members are the founders, and
    /// `persistent` tells whether members keep their state over a restart.
    pub fn new(members: usize, seeds: usize, persistent: bool, seed: u64) -> Self {
        let mut fleet = Self::unstarted(members, seeds, persistent, seed);
        (0..members).for_each(|n| fleet.start(n));
        fleet
    }

    /// Creates a fleet without persistent state that records its history. Only the founders, which are the
    /// first `seeds` members, are started.
    pub fn recorded(members: usize, seeds: usize, seed: u64) -> Self {
        let mut fleet = Self { record_history: true, ..Self::unstarted(members, seeds, false, seed) };
        (0..seeds).for_each(|n| fleet.start(n));
        fleet
    }

    fn unstarted(members: usize, seeds: usize, persistent: bool, seed: u64) -> Self {
        let names: Vec<Name> = (0..members).map(|n| format!("p{n:03}").as_str().into()).collect();
        Self {
            now: 0,
            seeds: names[..seeds].to_vec(),
            names,
            processes: (0..members).map(|_| None).collect(),
            saved_states: HashMap::new(),
            persistent,
            starts: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            due_queue: BinaryHeap::new(),
            due_items: HashMap::new(),
            sequence: 0,
            cut: BTreeSet::new(),
            loss: 0.0,
            loss_at: BTreeMap::new(),
            delay: (200, 2 * MS),
            links: BTreeMap::new(),
            lying_members: BTreeSet::new(),
            record_history: false,
            history: Vec::new(),
            views: BTreeMap::new(),
            view_adopted_at: BTreeMap::new(),
            bytes: 0,
            messages: 0,
            left: BTreeSet::new(),
            member_adopted_at: BTreeMap::new(),
        }
    }

    fn start(&mut self, n: usize) {
        if self.processes[n].is_some() {
            return;
        }
        self.starts += 1;
        let name = self.names[n].clone();
        let config = FleetConfig {
            founders: self.seeds.clone(),
            terms: LeaseTerms::default(),
            failure_detector: FailureDetectorConfig::default(),
        };
        let fresh = (Identity { name: name.clone(), incarnation: self.starts }, DurableState::default());
        let (me, state) = match self.saved_states.get(&name).filter(|_| self.persistent) {
            Some(state) => state.clone(),
            None => fresh,
        };
        let clock_reading = self.random.random_range(-3_600 * SECOND..3_600 * SECOND);
        let clock_rate = self.random.random_range(0.9995..1.0005);
        let seed = self.random.random();
        let member = Member::new(me, config, state, seed, Timestamp(clock_reading));
        // The clock reads `clock_reading` at the current true time.
        let clock_offset = clock_reading - (self.now as f64 * clock_rate) as i64;
        self.processes[n] = Some(Process {
            member,
            clock_offset,
            clock_rate,
            start_number: self.starts,
            paused_until: 0,
            membership_log: MembershipLog::default(),
        });
        self.with_member(n, |member, now, out| member.handle_timeout(now, out));
    }

    fn local_time(process: &Process, now: i64) -> Timestamp {
        Timestamp(process.clock_offset + (now as f64 * process.clock_rate) as i64)
    }

    fn schedule(&mut self, when: i64, due: Due) {
        self.sequence += 1;
        self.due_items.insert(self.sequence, due);
        self.due_queue.push(Reverse((when, self.sequence)));
    }

    fn with_member(&mut self, n: usize, act: impl FnOnce(&mut Member, Timestamp, &mut Vec<Output>)) {
        let Some(process) = self.processes[n].as_mut() else { return };
        let (now, mut outputs) = (Self::local_time(process, self.now), Vec::new());
        act(&mut process.member, now, &mut outputs);
        for output in outputs {
            if self.record_history {
                self.record(n, &output);
            }
            self.apply_output(n, output);
        }
        if self.record_history {
            self.record_freed(n);
        }
        if let Some(process) = self.processes[n].as_ref() {
            let (local, clock_rate, start_number) =
                (Self::local_time(process, self.now), process.clock_rate, process.start_number);
            let wait =
                ((process.member.next_timeout().0 - local.0) as f64 / clock_rate).ceil().max(0.0) as i64;
            self.schedule(self.now + wait + 20, Due::Timer(n, start_number));
        }
    }

    /// Records the events that the program would log for an output.
    fn record(&mut self, n: usize, output: &Output) {
        let Some(process) = self.processes[n].as_mut() else { return };
        let (me, local) = (process.member.me().clone(), Self::local_time(process, self.now));
        // The end of a lease is a time on the member's own clock.
        let until = process.member.consensus().lease_until();
        let until =
            until.map_or(0, |until| self.now + ((until.0 - local.0) as f64 / process.clock_rate) as i64);
        let mut events: Vec<EventKind> = process
            .membership_log
            .record(local, &me, output)
            .into_iter()
            .map(|change| change_event(change, until))
            .collect();
        match output {
            Output::Consensus(Event::View(view)) => {
                let members = view.members.iter().map(ToString::to_string).collect();
                events.push(EventKind::View { epoch: view.epoch, members });
            }
            Output::SuspicionChanged(who, opinion) => {
                events.push(EventKind::Advice { who: who.to_string(), opinion: format!("{opinion:?}") });
            }
            Output::IncarnationChanged(_) => events.push(EventKind::Life),
            Output::NameConflict(_) => events.push(EventKind::Twin),
            _ => {}
        }
        let (at, me) = (self.now, me.to_string());
        self.history.extend(events.into_iter().map(|kind| HistoryEvent {
            at,
            process: n,
            me: me.clone(),
            kind,
        }));
    }

    fn record_freed(&mut self, n: usize) {
        let Some(process) = self.processes[n].as_mut() else { return };
        let (local, me) = (Self::local_time(process, self.now), process.member.me().to_string());
        let freed = process.membership_log.record_takeovers(local, process.member.consensus());
        let at = self.now;
        let events = freed.into_iter().map(|change| HistoryEvent {
            at,
            process: n,
            me: me.clone(),
            kind: change_event(change, 0),
        });
        self.history.extend(events);
    }

    fn record_action(&mut self, n: usize, action: &'static str) {
        if self.record_history {
            self.history.push(HistoryEvent {
                at: self.now,
                process: n,
                me: String::new(),
                kind: EventKind::Done(action),
            });
        }
    }

    fn apply_output(&mut self, n: usize, output: Output) {
        match output {
            Output::Send(to, message) => self.send(n, &to, message),
            Output::Persist(me, state) => _ = self.saved_states.insert(self.names[n].clone(), (me, state)),
            Output::Consensus(Event::View(view)) => {
                let first = self.views.entry(view.epoch).or_insert_with(|| view.clone());
                assert_eq!(*first, view, "two views with one epoch");
                self.view_adopted_at.entry(view.epoch).or_insert(self.now);
                self.member_adopted_at.entry((view.epoch, n)).or_insert(self.now);
            }
            Output::Consensus(Event::ConflictingView(view)) => panic!("conflicting view: {view:?}"),
            Output::Left => {
                self.left.insert(n);
                self.processes[n] = None;
            }
            Output::Consensus(_)
            | Output::SuspicionChanged(..)
            | Output::IncarnationChanged(_)
            | Output::NameConflict(_)
            | Output::Stalled(_) => {}
        }
    }

    fn send(&mut self, n: usize, to: &Identity, message: MemberMessage) {
        let message = match self.lying_members.contains(&n) {
            true => self.falsify(n, to, message),
            false => message,
        };
        self.messages += 1;
        self.bytes +=
            DATAGRAM_OVERHEAD + postcard::to_allocvec(&message).map_or(0, |bytes| bytes.len() as u64);
        let Some(other) = self.names.iter().position(|name| *name == to.name) else { return };
        let loss =
            [n, other].iter().filter_map(|end| self.loss_at.get(end)).fold(self.loss, |a, b| a.max(*b));
        if self.cut.contains(&(n, other)) || (loss > 0.0 && self.random.random_bool(loss)) {
            return;
        }
        let Some(from) = self.processes[n].as_ref().map(|process| process.member.me().clone()) else {
            return;
        };
        let latency = self.random.random_range(self.delay.0..=self.delay.1);
        let Some(link) = self.links.get(&(n, other)).filter(|link| **link != Link::default()) else {
            return self.schedule(self.now + latency, Due::Deliver(other, to.incarnation, from, message));
        };
        let bytes = postcard::to_allocvec(&message).map_or(0, |bytes| bytes.len());
        // Truncated messages are dropped.
        let copies: Vec<_> =
            link.carry(bytes, &mut self.random).into_iter().filter(|c| c.bytes == bytes).collect();
        for copy in copies {
            self.schedule(
                self.now + latency + copy.after,
                Due::Deliver(other, to.incarnation, from.clone(), message.clone()),
            );
        }
    }

    /// Runs until the given true time and checks the rules on the way.
    pub fn run_until(&mut self, end: i64) {
        while let Some(Reverse((when, number))) =
            self.due_queue.peek().copied().filter(|Reverse((when, _))| *when <= end)
        {
            self.due_queue.pop();
            self.now = when;
            let Some(due) = self.due_items.remove(&number) else { continue };
            self.handle_due(due);
        }
        self.now = end;
        self.assert_no_takeover_of_acting_members();
    }

    /// Replaces a message of a lying member by one that reports that it hears nobody and that all others are
    /// gone.
    fn falsify(&self, n: usize, to: &Identity, message: MemberMessage) -> MemberMessage {
        let others = self.processes.iter().flatten().map(|process| process.member.me().clone());
        let gone = |who: Identity| GossipUpdate {
            subject: who,
            suspicion: Suspicion::Gone,
            refutations: u32::MAX / 2,
            reporter: self.names[n].clone(),
        };
        let updates =
            || others.clone().filter(|who| who.name != self.names[n] && who != to).map(gone).collect();
        match message {
            MemberMessage::Reachability(row) => {
                MemberMessage::Reachability(ReachabilityRow { hears: vec![false; row.hears.len()], ..row })
            }
            MemberMessage::FailureDetector(failure_detector::Message::Probe { sequence, .. }) => {
                MemberMessage::FailureDetector(failure_detector::Message::Probe {
                    sequence,
                    updates: updates(),
                })
            }
            MemberMessage::FailureDetector(failure_detector::Message::Ack { sequence, .. }) => {
                MemberMessage::FailureDetector(failure_detector::Message::Ack {
                    sequence,
                    updates: updates(),
                })
            }
            other => other,
        }
    }

    fn incarnation(&self, n: usize) -> Option<u64> {
        self.processes[n].as_ref().map(|process| process.member.me().incarnation)
    }

    fn handle_due(&mut self, due: Due) {
        let paused = |fleet: &Self, n: usize| {
            fleet.processes[n].as_ref().map(|process| process.paused_until).filter(|until| *until > fleet.now)
        };
        match due {
            Due::Deliver(n, incarnation, ..)
                if incarnation != 0 && self.incarnation(n).is_some_and(|own| own != incarnation) => {}
            Due::Deliver(n, incarnation, from, message) => match paused(self, n) {
                Some(until) => self.schedule(until + 1, Due::Deliver(n, incarnation, from, message)),
                None => {
                    self.with_member(n, |member, now, out| member.handle_message(now, &from, message, out))
                }
            },
            Due::Timer(n, start_number) => {
                if self.processes[n].as_ref().is_none_or(|process| process.start_number != start_number) {
                    return;
                }
                match paused(self, n) {
                    Some(until) => self.schedule(until, Due::Timer(n, start_number)),
                    None => {
                        let due = self.processes[n].as_ref().is_some_and(|process| {
                            process.member.next_timeout() <= Self::local_time(process, self.now)
                        });
                        if due {
                            self.with_member(n, |member, now, out| member.handle_timeout(now, out));
                        }
                    }
                }
            }
            Due::Fault(fault) => self.inject(fault),
        }
        // The check compares all pairs of members, so it is less frequent in large fleets.
        let every = (self.names.len() * self.names.len() / 8).max(64) as u64;
        if self.sequence.is_multiple_of(every) {
            self.assert_no_takeover_of_acting_members();
        }
    }

    fn inject(&mut self, fault: FleetFault) {
        match fault {
            FleetFault::Kill(n) => {
                self.processes[n] = None;
                self.record_action(n, "killed");
            }
            FleetFault::Start(n) => self.start(n),
            FleetFault::Pause(n, span) => {
                let until = self.now + span;
                if let Some(process) = self.processes[n].as_mut() {
                    process.paused_until = until;
                }
            }
            FleetFault::Cut(a, b) => _ = self.cut.insert((a, b)),
            FleetFault::Split(side) => {
                for a in 0..self.names.len() {
                    for b in (0..self.names.len()).filter(|b| side.contains(&a) != side.contains(b)) {
                        self.cut.insert((a, b));
                    }
                }
            }
            FleetFault::Heal => {
                self.cut.clear();
                self.loss_at.clear();
                self.links.clear();
                (self.loss, self.delay) = (0.0, (200, 2 * MS));
            }
            FleetFault::Loss(part) => self.loss = part,
            FleetFault::LossAt(n, part) => _ = self.loss_at.insert(n, part),
            FleetFault::Delay(least, most) => self.delay = (least, most),
            FleetFault::Links(link) => {
                let all = self.names.len();
                let pairs = (0..all).flat_map(|a| (0..all).map(move |b| (a, b))).filter(|(a, b)| a != b);
                self.links = pairs.map(|pair| (pair, link.clone())).collect();
            }
            FleetFault::Lies(n) => _ = self.lying_members.insert(n),
            FleetFault::LinksOf(n, link) => {
                for other in (0..self.names.len()).filter(|other| *other != n) {
                    self.links.insert((n, other), link.clone());
                    self.links.insert((other, n), link.clone());
                }
            }
            FleetFault::Leave(n) => self.with_member(n, |member, now, out| member.leave(now, out)),
        }
    }

    /// Applies faults at their times and runs until `end`. All times are relative to now.
    pub fn play(&mut self, script: Vec<(i64, FleetFault)>, end: i64) {
        let begin = self.now;
        script.into_iter().for_each(|(at, fault)| self.schedule(begin + at, Due::Fault(fault)));
        self.run_until(begin + end);
    }

    /// Checks that no member considers an acting member free to be taken over. Paused members count as
    /// acting, as they act as soon as they resume while their clocks say that their leases are valid.
    fn assert_no_takeover_of_acting_members(&self) {
        let processes = || self.processes.iter().flatten();
        for acting in processes().filter(|n| !n.member.consensus().is_fenced(Self::local_time(n, self.now))) {
            let me = acting.member.me();
            for other in processes() {
                let free = other.member.consensus().can_take_over(me, Self::local_time(other, self.now));
                assert!(!free, "{me} acts, but {} may take it over at {}", other.member.me(), self.now);
            }
        }
    }

    /// Returns the view that all running members share and are the only members of, if all of them hold their
    /// leases.
    pub fn settled(&self) -> Option<&View> {
        let running: BTreeSet<Identity> =
            self.processes.iter().flatten().map(|n| n.member.me().clone()).collect();
        let first = self.processes.iter().flatten().next()?.member.consensus().view();
        let same = |n: &Process| {
            let consensus = n.member.consensus();
            consensus.view() == first && !consensus.is_fenced(Self::local_time(n, self.now))
        };
        let members: BTreeSet<Identity> = first.members.iter().cloned().collect();
        (members == running && self.processes.iter().flatten().all(same)).then_some(first)
    }

    /// Runs until [`Self::settled`] returns a view, and returns how long that took in microseconds.
    ///
    /// # Panics
    /// Panics if it takes longer than `span`.
    pub fn run_until_settled(&mut self, span: i64) -> i64 {
        let begin = self.now;
        while self.settled().is_none() {
            assert!(self.now - begin < span, "not settled after {} s: {}", span / SECOND, self.describe());
            let next = self.now + 50 * MS;
            self.run_until(next);
        }
        self.now - begin
    }

    /// Returns the number of running members that are fenced.
    pub fn fenced(&self) -> usize {
        let fenced = |n: &&Process| n.member.consensus().is_fenced(Self::local_time(n, self.now));
        self.processes.iter().flatten().filter(fenced).count()
    }

    /// Returns a fleet that has settled and then run for two more seconds.
    pub fn founded(members: usize, persistent: bool, seed: u64) -> Self {
        let mut fleet = Self::new(members, members.min(5), persistent, seed);
        fleet.run_until_settled(60 * SECOND);
        fleet.run_until(fleet.now + 2 * SECOND);
        fleet
    }

    fn describe(&self) -> String {
        let describe_member = |n: &Process| {
            let a = n.member.consensus();
            let members: Vec<String> = a.view().members.iter().map(ToString::to_string).collect();
            format!(
                "{} in view {} of {members:?}, fenced {}, undecided {}",
                n.member.me(),
                a.view().epoch,
                a.is_fenced(Self::local_time(n, self.now)),
                a.has_undecided_proposal()
            )
        };
        self.processes.iter().flatten().map(describe_member).collect::<Vec<_>>().join("; ")
    }

    /// Returns the epoch of the latest view.
    pub fn epoch(&self) -> u64 {
        self.views.keys().next_back().copied().unwrap_or(0)
    }
}
