//! A fleet of members in virtual time: lossy, slow and cut links, each direction by itself; processes that are killed,
//! stopped, continued and come back; clocks that run at speeds and from moments of their own. The rules are looked at
//! on the way: one view with each number, and nobody free to be replaced that still acts.

use crate::history::{Event as Said, What};
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

/// What a datagram costs beside its message: addresses and lengths (28), who sends, the sequence and the fleet's mark (48).
const AROUND: u64 = 76;

/// What happens to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetFault {
    /// A process ends at once.
    Kill(usize),
    /// It begins, if it does not run.
    Start(usize),
    /// It stands still for so many microseconds.
    Pause(usize, i64),
    /// From the first to the second only.
    Cut(usize, usize),
    /// Those hear the others no more, nor the others them.
    Split(Vec<usize>),
    /// All links are well again.
    Heal,
    /// Of all links.
    Loss(f64),
    /// Of one member's links, both ways.
    LossAt(usize, f64),
    /// Of all links, at least and at most.
    Delay(i64, i64),
    /// It takes its leave.
    Leave(usize),
    /// All links are so, beside all else.
    Links(Link),
    /// All links of one member are so, both ways.
    LinksOf(usize, Link),
    /// It says of all others that it does not hear them and that they are gone.
    Lies(usize),
}

struct Node {
    member: Member,
    /// Its clock: what it showed at the start, and how fast it runs.
    zero: i64,
    rate: f64,
    boot: u64,
    paused_until: i64,
    membership_log: MembershipLog,
}

enum Due {
    /// To a process, for one life of it or, where that is 0, for any; from whom.
    Deliver(usize, u64, Identity, MemberMessage),
    Timer(usize, u64),
    FleetFault(FleetFault),
}

/// The fleet.
pub struct Fleet {
    /// True time, in microseconds.
    pub now: i64,
    /// What members are called.
    pub names: Vec<Name>,
    seeds: Vec<Name>,
    nodes: Vec<Option<Node>>,
    disks: HashMap<Name, (Identity, DurableState)>,
    keeps: bool,
    boots: u64,
    random: ChaCha8Rng,
    due: BinaryHeap<Reverse<(i64, u64)>>,
    what: HashMap<u64, Due>,
    sequence: u64,
    cut: BTreeSet<(usize, usize)>,
    loss: f64,
    loss_at: BTreeMap<usize, f64>,
    delay: (i64, i64),
    /// What scripts say of links, by direction.
    links: BTreeMap<(usize, usize), Link>,
    liars: BTreeSet<usize>,
    records: bool,
    /// What members say of the fleet, where it is recorded.
    pub history: Vec<Said>,
    /// Each view that was adopted, by number.
    pub views: BTreeMap<u64, View>,
    /// When each was first adopted.
    pub view_adopted_at: BTreeMap<u64, i64>,
    /// Bytes sent, with what goes round each message.
    pub bytes: u64,
    /// Messages sent.
    pub messages: u64,
    /// Who has taken its leave.
    pub left: BTreeSet<usize>,
    /// When each member first had each view.
    pub member_adopted_at: BTreeMap<(u64, usize), i64>,
}

fn what(change: MembershipChange, lease_until: i64) -> What {
    What::Change {
        epoch: change.epoch,
        who: change.member,
        cause: format!("{:?}", change.cause),
        lease_until,
    }
}

impl Fleet {
    /// So many members, of which the first are the seeds; `keeps` says whether they have disks. All start at once.
    pub fn new(members: usize, seeds: usize, keeps: bool, seed: u64) -> Self {
        let mut fleet = Self::unstarted(members, seeds, keeps, seed);
        (0..members).for_each(|n| fleet.start(n));
        fleet
    }

    /// So many members without disks, of which a history is kept; the first are the seeds, and the others begin when they
    /// are told to.
    pub fn recorded(members: usize, seeds: usize, seed: u64) -> Self {
        let mut fleet = Self { records: true, ..Self::unstarted(members, seeds, false, seed) };
        (0..seeds).for_each(|n| fleet.start(n));
        fleet
    }

    fn unstarted(members: usize, seeds: usize, keeps: bool, seed: u64) -> Self {
        let names: Vec<Name> = (0..members).map(|n| format!("p{n:03}").as_str().into()).collect();
        Self {
            now: 0,
            seeds: names[..seeds].to_vec(),
            names,
            nodes: (0..members).map(|_| None).collect(),
            disks: HashMap::new(),
            keeps,
            boots: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            due: BinaryHeap::new(),
            what: HashMap::new(),
            sequence: 0,
            cut: BTreeSet::new(),
            loss: 0.0,
            loss_at: BTreeMap::new(),
            delay: (200, 2 * MS),
            links: BTreeMap::new(),
            liars: BTreeSet::new(),
            records: false,
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
        if self.nodes[n].is_some() {
            return;
        }
        self.boots += 1;
        let name = self.names[n].clone();
        let rules = FleetConfig {
            founders: self.seeds.clone(),
            terms: LeaseTerms::default(),
            failure_detector: FailureDetectorConfig::default(),
        };
        let fresh = (Identity { name: name.clone(), incarnation: self.boots }, DurableState::default());
        let (me, kept) = match self.disks.get(&name).filter(|_| self.keeps) {
            Some(kept) => kept.clone(),
            None => fresh,
        };
        let zero = self.random.random_range(-3_600 * SECOND..3_600 * SECOND);
        let rate = self.random.random_range(0.9995..1.0005);
        let seed = self.random.random();
        let member = Member::new(me, rules, kept, seed, Timestamp(zero));
        // The clock shows `zero` at this moment of true time.
        let zero = zero - (self.now as f64 * rate) as i64;
        self.nodes[n] = Some(Node {
            member,
            zero,
            rate,
            boot: self.boots,
            paused_until: 0,
            membership_log: MembershipLog::default(),
        });
        self.act(n, |member, now, out| member.handle_timeout(now, out));
    }

    fn local(node: &Node, now: i64) -> Timestamp {
        Timestamp(node.zero + (now as f64 * node.rate) as i64)
    }

    fn at(&mut self, when: i64, due: Due) {
        self.sequence += 1;
        self.what.insert(self.sequence, due);
        self.due.push(Reverse((when, self.sequence)));
    }

    fn act(&mut self, n: usize, act: impl FnOnce(&mut Member, Timestamp, &mut Vec<Output>)) {
        let Some(node) = self.nodes[n].as_mut() else { return };
        let (now, mut out) = (Self::local(node, self.now), Vec::new());
        act(&mut node.member, now, &mut out);
        for output in out {
            if self.records {
                self.record(n, &output);
            }
            self.carry_out(n, output);
        }
        if self.records {
            self.record_freed(n);
        }
        if let Some(node) = self.nodes[n].as_ref() {
            let (local, rate, boot) = (Self::local(node, self.now), node.rate, node.boot);
            let wait = ((node.member.next_timeout().0 - local.0) as f64 / rate).ceil().max(0.0) as i64;
            self.at(self.now + wait + 20, Due::Timer(n, boot));
        }
    }

    /// As the program logs it.
    fn record(&mut self, n: usize, output: &Output) {
        let Some(node) = self.nodes[n].as_mut() else { return };
        let (me, local) = (node.member.me().clone(), Self::local(node, self.now));
        // A lease's end is by the member's own clock.
        let until = node.member.consensus().lease_until();
        let until = until.map_or(0, |until| self.now + ((until.0 - local.0) as f64 / node.rate) as i64);
        let mut said: Vec<What> = node
            .membership_log
            .record(local, &me, output)
            .into_iter()
            .map(|change| what(change, until))
            .collect();
        match output {
            Output::Consensus(Event::View(view)) => {
                let members = view.members.iter().map(ToString::to_string).collect();
                said.push(What::View { epoch: view.epoch, members });
            }
            Output::SuspicionChanged(who, opinion) => {
                said.push(What::Advice { who: who.to_string(), opinion: format!("{opinion:?}") });
            }
            Output::IncarnationChanged(_) => said.push(What::Life),
            Output::NameConflict(_) => said.push(What::Twin),
            _ => {}
        }
        let (at, me) = (self.now, me.to_string());
        self.history.extend(said.into_iter().map(|what| Said { at, process: n, me: me.clone(), what }));
    }

    fn record_freed(&mut self, n: usize) {
        let Some(node) = self.nodes[n].as_mut() else { return };
        let (local, me) = (Self::local(node, self.now), node.member.me().to_string());
        let freed = node.membership_log.record_takeovers(local, node.member.consensus());
        let at = self.now;
        let said =
            freed.into_iter().map(|change| Said { at, process: n, me: me.clone(), what: what(change, 0) });
        self.history.extend(said);
    }

    fn did(&mut self, n: usize, what: &'static str) {
        if self.records {
            self.history.push(Said { at: self.now, process: n, me: String::new(), what: What::Done(what) });
        }
    }

    fn carry_out(&mut self, n: usize, output: Output) {
        match output {
            Output::Send(to, message) => self.send(n, &to, message),
            Output::Persist(me, kept) => _ = self.disks.insert(self.names[n].clone(), (me, kept)),
            Output::Consensus(Event::View(view)) => {
                let first = self.views.entry(view.epoch).or_insert_with(|| view.clone());
                assert_eq!(*first, view, "two views with one number");
                self.view_adopted_at.entry(view.epoch).or_insert(self.now);
                self.member_adopted_at.entry((view.epoch, n)).or_insert(self.now);
            }
            Output::Consensus(Event::ConflictingView(view)) => panic!("forked: {view:?}"),
            Output::Left => {
                self.left.insert(n);
                self.nodes[n] = None;
            }
            Output::Consensus(_)
            | Output::SuspicionChanged(..)
            | Output::IncarnationChanged(_)
            | Output::NameConflict(_)
            | Output::Stalled(_) => {}
        }
    }

    fn send(&mut self, n: usize, to: &Identity, message: MemberMessage) {
        let message = match self.liars.contains(&n) {
            true => self.lie(n, to, message),
            false => message,
        };
        self.messages += 1;
        self.bytes += AROUND + postcard::to_allocvec(&message).map_or(0, |bytes| bytes.len() as u64);
        let Some(other) = self.names.iter().position(|name| *name == to.name) else { return };
        let lossy =
            [n, other].iter().filter_map(|end| self.loss_at.get(end)).fold(self.loss, |a, b| a.max(*b));
        if self.cut.contains(&(n, other)) || (lossy > 0.0 && self.random.random_bool(lossy)) {
            return;
        }
        let Some(from) = self.nodes[n].as_ref().map(|node| node.member.me().clone()) else { return };
        let way = self.random.random_range(self.delay.0..=self.delay.1);
        let Some(link) = self.links.get(&(n, other)).filter(|link| **link != Link::default()) else {
            return self.at(self.now + way, Due::Deliver(other, to.incarnation, from, message));
        };
        let bytes = postcard::to_allocvec(&message).map_or(0, |bytes| bytes.len());
        // What lacks its end is nobody's message.
        let copies: Vec<_> =
            link.carry(bytes, &mut self.random).into_iter().filter(|c| c.bytes == bytes).collect();
        for copy in copies {
            self.at(
                self.now + way + copy.after,
                Due::Deliver(other, to.incarnation, from.clone(), message.clone()),
            );
        }
    }

    /// Plays on until that moment; the rules are looked at with every event.
    pub fn until(&mut self, end: i64) {
        while let Some(Reverse((when, number))) =
            self.due.peek().copied().filter(|Reverse((when, _))| *when <= end)
        {
            self.due.pop();
            self.now = when;
            let Some(due) = self.what.remove(&number) else { continue };
            self.happens(due);
        }
        self.now = end;
        self.nobody_acts_for_one_that_acts();
    }

    /// What a member that lies says instead: it does not hear anybody, and all others are gone.
    fn lie(&self, n: usize, to: &Identity, message: MemberMessage) -> MemberMessage {
        let others = self.nodes.iter().flatten().map(|node| node.member.me().clone());
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

    fn life(&self, n: usize) -> Option<u64> {
        self.nodes[n].as_ref().map(|node| node.member.me().incarnation)
    }

    fn happens(&mut self, due: Due) {
        let paused = |fleet: &Self, n: usize| {
            fleet.nodes[n].as_ref().map(|node| node.paused_until).filter(|until| *until > fleet.now)
        };
        match due {
            Due::Deliver(n, life, ..) if life != 0 && self.life(n).is_some_and(|own| own != life) => {}
            Due::Deliver(n, life, from, message) => match paused(self, n) {
                Some(until) => self.at(until + 1, Due::Deliver(n, life, from, message)),
                None => self.act(n, |member, now, out| member.handle_message(now, &from, message, out)),
            },
            Due::Timer(n, boot) => {
                if self.nodes[n].as_ref().is_none_or(|node| node.boot != boot) {
                    return;
                }
                match paused(self, n) {
                    Some(until) => self.at(until, Due::Timer(n, boot)),
                    None => {
                        let due = self.nodes[n]
                            .as_ref()
                            .is_some_and(|node| node.member.next_timeout() <= Self::local(node, self.now));
                        if due {
                            self.act(n, |member, now, out| member.handle_timeout(now, out));
                        }
                    }
                }
            }
            Due::FleetFault(fault) => self.inject(fault),
        }
        // Each member is held against each: large fleets are looked at more seldom.
        let every = (self.names.len() * self.names.len() / 8).max(64) as u64;
        if self.sequence.is_multiple_of(every) {
            self.nobody_acts_for_one_that_acts();
        }
    }

    fn inject(&mut self, fault: FleetFault) {
        match fault {
            FleetFault::Kill(n) => {
                self.nodes[n] = None;
                self.did(n, "killed");
            }
            FleetFault::Start(n) => self.start(n),
            FleetFault::Pause(n, span) => {
                let until = self.now + span;
                if let Some(node) = self.nodes[n].as_mut() {
                    node.paused_until = until;
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
            FleetFault::Lies(n) => _ = self.liars.insert(n),
            FleetFault::LinksOf(n, link) => {
                for other in (0..self.names.len()).filter(|other| *other != n) {
                    self.links.insert((n, other), link.clone());
                    self.links.insert((other, n), link.clone());
                }
            }
            FleetFault::Leave(n) => self.act(n, |member, now, out| member.leave(now, out)),
        }
    }

    /// Plays faults at their times from now on, and on until the end, counted from now.
    pub fn play(&mut self, script: Vec<(i64, FleetFault)>, end: i64) {
        let begin = self.now;
        script.into_iter().for_each(|(at, fault)| self.at(begin + at, Due::FleetFault(fault)));
        self.until(begin + end);
    }

    /// Also of those that stand still: they act the moment they go on, by what their clock says then.
    fn nobody_acts_for_one_that_acts(&self) {
        let nodes = || self.nodes.iter().flatten();
        for acts in nodes().filter(|n| !n.member.consensus().is_fenced(Self::local(n, self.now))) {
            let me = acts.member.me();
            for other in nodes() {
                let free = other.member.consensus().can_take_over(me, Self::local(other, self.now));
                assert!(!free, "{me} acts, and {} may act for it at {}", other.member.me(), self.now);
            }
        }
    }

    /// The one view in which all that live are, with their leases; none if it is not so.
    pub fn settled(&self) -> Option<&View> {
        let living: BTreeSet<Identity> = self.nodes.iter().flatten().map(|n| n.member.me().clone()).collect();
        let first = self.nodes.iter().flatten().next()?.member.consensus().view();
        let same = |n: &Node| {
            let consensus = n.member.consensus();
            consensus.view() == first && !consensus.is_fenced(Self::local(n, self.now))
        };
        let members: BTreeSet<Identity> = first.members.iter().cloned().collect();
        (members == living && self.nodes.iter().flatten().all(same)).then_some(first)
    }

    /// Plays until all that run are in one view, and how long that took.
    ///
    /// # Panics
    /// When it takes longer.
    pub fn run_until_settled(&mut self, span: i64) -> i64 {
        let begin = self.now;
        while self.settled().is_none() {
            assert!(self.now - begin < span, "not settled after {} s: {}", span / SECOND, self.told());
            let next = self.now + 50 * MS;
            self.until(next);
        }
        self.now - begin
    }

    /// Members that do not act, of those that run.
    pub fn fenced(&self) -> usize {
        let fenced = |n: &&Node| n.member.consensus().is_fenced(Self::local(n, self.now));
        self.nodes.iter().flatten().filter(fenced).count()
    }

    /// The fleet as it stands once all are in, and have been for a while.
    pub fn founded(members: usize, keeps: bool, seed: u64) -> Self {
        let mut fleet = Self::new(members, members.min(5), keeps, seed);
        fleet.run_until_settled(60 * SECOND);
        fleet.until(fleet.now + 2 * SECOND);
        fleet
    }

    fn told(&self) -> String {
        let one = |n: &Node| {
            let a = n.member.consensus();
            let members: Vec<String> = a.view().members.iter().map(ToString::to_string).collect();
            format!(
                "{} at {} of {members:?}, fenced {}, undecided {}",
                n.member.me(),
                a.view().epoch,
                a.is_fenced(Self::local(n, self.now)),
                a.has_undecided_proposal()
            )
        };
        self.nodes.iter().flatten().map(one).collect::<Vec<_>>().join("; ")
    }

    /// The latest view's number.
    pub fn epoch(&self) -> u64 {
        self.views.keys().next_back().copied().unwrap_or(0)
    }
}
