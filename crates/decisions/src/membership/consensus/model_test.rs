//! All runs of a small fleet, within bounds: messages lost, doubled and out of order, processes that stand still, come back
//! as another incarnation, or from their disk. Two faults are planted, which it has to find.

use super::*;
use crate::membership::view::ViewChange;
use stateright::{Checker, HasDiscoveries, Model, Property};

/// One process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    consensus: Consensus,
    /// What its disk has.
    durable: DurableState,
}

/// What is in the code, or planted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    None,
    /// A lease counts from the answer instead of the asking.
    LeaseFromReceipt,
    /// A process that has lost what it voted for votes on under its old identity.
    IncarnationKeptOverRestart,
}

/// What a restart finds on its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Disk {
    Lost,
    Kept,
}

struct Fleet {
    members: usize,
    fault: Fault,
    disk: Disk,
    /// Who may open ballots, and whom they wish out.
    wishes: Vec<(usize, usize)>,
    /// How far the clock goes, in units of half a lease.
    ticks: i64,
    /// Who may come back, once each.
    restarts: Vec<usize>,
    /// Whose lease is followed; the others' are left out, to keep the number of states down.
    renews: Option<usize>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Timestamp,
    nodes: Vec<Node>,
    /// All that was ever sent: it may come at any time and any number of times, or never.
    net: BTreeSet<(Identity, Identity, Message)>,
    /// Each view that was adopted, by number.
    views: BTreeMap<u64, View>,
    forked: bool,
    wished: BTreeSet<usize>,
    restarted: BTreeSet<usize>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Deliver(Identity, Identity, Message),
    Wish(usize),
    Timer(usize),
    Restart(usize),
    Tick,
}

const TERMS: LeaseTerms =
    LeaseTerms { lease_us: 2, drift_ppm: 0, renew_interval_us: 1, ballot_timeout_us: 100 };
const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

impl Fleet {
    fn new(members: usize, wishes: &[(usize, usize)]) -> Self {
        let wishes = wishes.to_vec();
        Self {
            members,
            fault: Fault::None,
            disk: Disk::Lost,
            wishes,
            ticks: 0,
            restarts: Vec::new(),
            renews: None,
        }
    }

    /// Takes in what a node does.
    fn carry_out(&self, state: &mut State, node: usize, out: Vec<Output>) {
        let me = state.nodes[node].consensus.me.clone();
        for output in out {
            match output {
                Output::Persist(durable) => state.nodes[node].durable = durable,
                Output::Send(to, message) => {
                    let lease = matches!(message, Message::LeaseRequest { .. } | Message::LeaseGrant { .. });
                    let followed =
                        self.renews.is_some_and(|n| [&me, &to].iter().any(|id| *id.name == *NAMES[n]));
                    if !lease || followed {
                        state.net.insert((me.clone(), to, message));
                    }
                }
                Output::Event(Event::View(view)) => {
                    let first = state.views.entry(view.epoch).or_insert_with(|| view.clone());
                    state.forked |= *first != view;
                }
                Output::Event(Event::ConflictingView(_)) => state.forked = true,
                Output::Event(_) => {}
            }
        }
    }

    fn restarted(&self, old: &Node, now: Timestamp) -> Node {
        let (me, view) = (old.consensus.me.clone(), old.durable.view.clone());
        let seeds: Vec<Name> = NAMES[..self.members].iter().map(|name| (*name).into()).collect();
        let (me, durable) = match (self.fault, self.disk) {
            (Fault::IncarnationKeptOverRestart, _) => (me, DurableState { view, ..DurableState::default() }),
            (_, Disk::Kept) => (me, old.durable.clone()),
            (_, Disk::Lost) => (
                Identity { incarnation: me.incarnation + 1, ..me },
                DurableState { view, ..DurableState::default() },
            ),
        };
        Node { consensus: Consensus::new(me, TERMS, &seeds, durable.clone(), now), durable }
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    /// All are members of the first view, and no lease is out yet.
    fn init_states(&self) -> Vec<State> {
        let members: Vec<Identity> =
            NAMES[..self.members].iter().map(|name| Identity::new(name, 1)).collect();
        let view = View { epoch: 1, members: members.clone() };
        let durable = DurableState { view: Some(view.clone()), ..DurableState::default() };
        let before = Timestamp(-TERMS.lease_us);
        let node = |me: Identity| Node {
            consensus: Consensus::new(me, TERMS, &[], durable.clone(), before),
            durable: durable.clone(),
        };
        let views = BTreeMap::from([(1, view)]);
        let nodes = members.into_iter().map(node).collect();
        let (net, wished) = (BTreeSet::new(), BTreeSet::new());
        vec![State {
            now: Timestamp(0),
            nodes,
            net,
            views,
            forked: false,
            wished,
            restarted: BTreeSet::new(),
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for (from, to, message) in &state.net {
            if state.nodes.iter().any(|node| node.consensus.me == *to) {
                actions.push(Step::Deliver(from.clone(), to.clone(), message.clone()));
            }
        }
        actions.extend((0..self.wishes.len()).filter(|n| !state.wished.contains(n)).map(Step::Wish));
        if let Some(node) = self.renews {
            let renews = &state.nodes[node].consensus;
            if renews.next_timeout().is_some_and(|at| at <= state.now) {
                actions.push(Step::Timer(node));
            }
        }
        actions
            .extend(self.restarts.iter().filter(|n| !state.restarted.contains(n)).map(|n| Step::Restart(*n)));
        if state.now.0 < self.ticks {
            actions.push(Step::Tick);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        let (now, mut out) = (state.now, Vec::new());
        let node = match step {
            Step::Tick => {
                state.now.0 += 1;
                return Some(state);
            }
            Step::Restart(node) => {
                state.nodes[node] = self.restarted(&state.nodes[node], now);
                state.restarted.insert(node);
                return Some(state);
            }
            Step::Deliver(from, to, message) => {
                let node = state.nodes.iter().position(|node| node.consensus.me == to)?;
                let consensus = &mut state.nodes[node].consensus;
                let lease = consensus.lease_until;
                consensus.handle_message(now, &from, message, &mut out);
                if self.fault == Fault::LeaseFromReceipt && consensus.lease_until != lease {
                    consensus.lease_until = Some(TERMS.holder_valid_until(now));
                }
                node
            }
            Step::Wish(n) => {
                let (node, whom) = self.wishes[n];
                let gone = state.nodes[node].consensus.view.member_named(NAMES[whom]).cloned();
                let change = ViewChange { evict: gone.into_iter().collect(), ..ViewChange::default() };
                state.wished.insert(n);
                state.nodes[node].consensus.propose(now, change, &mut out);
                node
            }
            Step::Timer(node) => {
                state.nodes[node].consensus.handle_timeout(now, &mut out);
                node
            }
        };
        self.carry_out(&mut state, node, out);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one view with each number", |_, state: &State| !state.forked),
            Property::always("who is replaced has known before", |_, state: &State| {
                let acts = |node: &&Node| !node.consensus.is_fenced(state.now);
                let free = |id: &Identity| {
                    state.nodes.iter().any(|node| node.consensus.can_take_over(id, state.now))
                };
                !state.nodes.iter().filter(acts).any(|node| free(&node.consensus.me))
            }),
            Property::sometimes("a change becomes a view", |_, state: &State| state.views.len() > 1),
            Property::sometimes("who is out is free", |_, state: &State| {
                let gone = &state.views[&1].members;
                state
                    .nodes
                    .iter()
                    .any(|node| gone.iter().any(|id| node.consensus.can_take_over(id, state.now)))
            }),
        ]
    }
}

/// Looks at so many states at the most; which properties were found broken, or happened, and the number of states.
fn explore(fleet: Fleet, states: usize) -> (BTreeSet<&'static str>, usize) {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let checker = fleet.checker().threads(threads).target_state_count(states);
    let checker = checker.finish_when(HasDiscoveries::AllFailures).spawn_bfs().join();
    let found: BTreeSet<&'static str> = checker.discoveries().into_keys().collect();
    println!(
        "{} states, {} unique, depth {}: {found:?}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth()
    );
    (found, checker.unique_state_count())
}

const ONE_VIEW: &str = "one view with each number";
const KNOWN_BEFORE: &str = "who is replaced has known before";
const HAPPENS: [&str; 2] = ["a change becomes a view", "who is out is free"];

/// Two voters wish each other out at once, and the one that both need loses all that it knew, or finds it on its disk.
#[test]
fn three_members_have_one_view_with_each_number_whoever_is_restarted() {
    for disk in [Disk::Lost, Disk::Kept] {
        let fleet = Fleet { restarts: vec![1], disk, ..Fleet::new(3, &[(0, 2), (2, 0)]) };
        let (found, _) = explore(fleet, 120_000);
        assert!(found.contains(HAPPENS[0]) && !found.contains(ONE_VIEW), "{disk:?}: {found:?}");
    }
}

#[test]
fn five_members_have_one_view_with_each_number() {
    let (found, _) = explore(Fleet::new(5, &[(0, 4), (1, 0)]), 100_000);
    assert!(found.contains(HAPPENS[0]) && !found.contains(ONE_VIEW), "{found:?}");
}

/// The last member is wished out while its lease is asked for, granted late or not at all, and time passes at any step.
#[test]
fn whoever_is_out_knows_before_another_acts_in_its_place() {
    let fleet = Fleet { ticks: 5, renews: Some(2), ..Fleet::new(3, &[(0, 2)]) };
    let (found, _) = explore(fleet, 250_000);
    assert_eq!(found, HAPPENS.into_iter().collect());
}

#[test]
fn the_model_finds_a_lease_that_counts_from_the_receipt() {
    let fleet =
        Fleet { ticks: 5, renews: Some(2), fault: Fault::LeaseFromReceipt, ..Fleet::new(3, &[(0, 2)]) };
    assert!(explore(fleet, 600_000).0.contains(KNOWN_BEFORE));
}

#[test]
fn the_model_finds_a_life_that_is_kept_over_a_restart() {
    let fault = Fault::IncarnationKeptOverRestart;
    let fleet = Fleet { restarts: vec![1], fault, ..Fleet::new(3, &[(0, 2), (2, 0)]) };
    assert!(explore(fleet, 2_000_000).0.contains(ONE_VIEW));
}

/// The same with bounds that take minutes: `cargo test --release -p wheelpier-decisions --lib model -- --ignored`.
#[test]
#[ignore = "takes minutes and gigabytes"]
fn larger_bounds_show_nothing_else() {
    let all = Fleet { restarts: vec![0, 1, 2], ..Fleet::new(3, &[(0, 2), (1, 0), (2, 1)]) };
    assert!(!explore(all, 6_000_000).0.contains(ONE_VIEW));
    assert!(!explore(Fleet { restarts: vec![2], ..Fleet::new(5, &[(0, 4), (1, 0)]) }, 3_000_000)
        .0
        .contains(ONE_VIEW));
    let leases = Fleet { ticks: 7, restarts: vec![1], renews: Some(2), ..Fleet::new(3, &[(0, 2), (1, 2)]) };
    assert!(!explore(leases, 6_000_000).0.contains(KNOWN_BEFORE));
}
