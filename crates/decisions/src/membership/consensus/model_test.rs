//! Model check of the consensus: explores all runs of a small fleet within bounds. Messages are lost,
//! duplicated and reordered; processes pause, and restart as another incarnation or with their stored state.
//! Two faults are injected, which the check has to find.

use super::*;
use crate::membership::view::ViewChange;
use stateright::{Checker, HasDiscoveries, Model, Property};

/// One process and its disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    consensus: Consensus,
    /// The state on its disk.
    durable: DurableState,
}

/// A fault injected into the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    None,
    /// A lease counts from the receipt of the grant instead of from the request.
    LeaseFromReceipt,
    /// A process that has lost its votes continues to vote under its old identity.
    IncarnationKeptOverRestart,
}

/// Availability of a process's stored state after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Disk {
    Lost,
    Kept,
}

/// The configuration of one model check.
struct Fleet {
    members: usize,
    fault: Fault,
    disk: Disk,
    /// Pairs of a node that may open one ballot and the member that it proposes to remove.
    proposals: Vec<(usize, usize)>,
    /// Number of clock ticks in a run, each half a lease long.
    ticks: i64,
    /// The nodes that may restart, once each.
    restarts: Vec<usize>,
    /// The member whose lease is simulated. The leases of other members are left out to limit the number of
    /// states.
    lease_member: Option<usize>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Timestamp,
    nodes: Vec<Node>,
    /// All messages ever sent, with sender and receiver. Each may arrive at any time and any number of times,
    /// or never.
    network: BTreeSet<(Identity, Identity, Message)>,
    /// The first view adopted in each epoch.
    views: BTreeMap<u64, View>,
    has_conflicting_views: bool,
    proposed: BTreeSet<usize>,
    restarted: BTreeSet<usize>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Deliver(Identity, Identity, Message),
    Propose(usize),
    Timer(usize),
    Restart(usize),
    Tick,
}

const TERMS: LeaseTerms =
    LeaseTerms { lease_us: 2, drift_ppm: 0, renew_interval_us: 1, ballot_timeout_us: 100 };
const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

impl Fleet {
    fn new(members: usize, proposals: &[(usize, usize)]) -> Self {
        let proposals = proposals.to_vec();
        Self {
            members,
            fault: Fault::None,
            disk: Disk::Lost,
            proposals,
            ticks: 0,
            restarts: Vec::new(),
            lease_member: None,
        }
    }

    /// Applies the outputs of a node to the state.
    fn apply_outputs(&self, state: &mut State, node: usize, out: Vec<Output>) {
        let me = state.nodes[node].consensus.me.clone();
        for output in out {
            match output {
                Output::Persist(durable) => state.nodes[node].durable = durable,
                Output::Send(to, message) => {
                    let is_lease_message =
                        matches!(message, Message::LeaseRequest { .. } | Message::LeaseGrant { .. });
                    let is_simulated =
                        self.lease_member.is_some_and(|n| [&me, &to].iter().any(|id| *id.name == *NAMES[n]));
                    if !is_lease_message || is_simulated {
                        state.network.insert((me.clone(), to, message));
                    }
                }
                Output::Event(Event::View(view)) => {
                    let first = state.views.entry(view.epoch).or_insert_with(|| view.clone());
                    state.has_conflicting_views |= *first != view;
                }
                Output::Event(Event::ConflictingView(_)) => state.has_conflicting_views = true,
                Output::Event(_) => {}
            }
        }
    }

    /// Returns a node after a restart.
    fn restart(&self, old: &Node, now: Timestamp) -> Node {
        let (me, view) = (old.consensus.me.clone(), old.durable.view.clone());
        let founders: Vec<Name> = NAMES[..self.members].iter().map(|name| (*name).into()).collect();
        let (me, durable) = match (self.fault, self.disk) {
            (Fault::IncarnationKeptOverRestart, _) => (me, DurableState { view, ..DurableState::default() }),
            (_, Disk::Kept) => (me, old.durable.clone()),
            (_, Disk::Lost) => (
                Identity { incarnation: me.incarnation + 1, ..me },
                DurableState { view, ..DurableState::default() },
            ),
        };
        Node { consensus: Consensus::new(me, TERMS, &founders, durable.clone(), now), durable }
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    /// Returns the initial state: all nodes are members of the first view, and no lease has been granted yet.
    fn init_states(&self) -> Vec<State> {
        let members: Vec<Identity> =
            NAMES[..self.members].iter().map(|name| Identity::new(name, 1)).collect();
        let view = View { epoch: 1, members: members.clone() };
        let durable = DurableState { view: Some(view.clone()), ..DurableState::default() };
        let started_at = Timestamp(-TERMS.lease_us);
        let node = |me: Identity| Node {
            consensus: Consensus::new(me, TERMS, &[], durable.clone(), started_at),
            durable: durable.clone(),
        };
        let views = BTreeMap::from([(1, view)]);
        let nodes = members.into_iter().map(node).collect();
        let (network, proposed) = (BTreeSet::new(), BTreeSet::new());
        vec![State {
            now: Timestamp(0),
            nodes,
            network,
            views,
            has_conflicting_views: false,
            proposed,
            restarted: BTreeSet::new(),
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        for (from, to, message) in &state.network {
            if state.nodes.iter().any(|node| node.consensus.me == *to) {
                actions.push(Step::Deliver(from.clone(), to.clone(), message.clone()));
            }
        }
        actions.extend((0..self.proposals.len()).filter(|n| !state.proposed.contains(n)).map(Step::Propose));
        if let Some(node) = self.lease_member {
            let consensus = &state.nodes[node].consensus;
            if consensus.next_timeout().is_some_and(|at| at <= state.now) {
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
                state.nodes[node] = self.restart(&state.nodes[node], now);
                state.restarted.insert(node);
                return Some(state);
            }
            Step::Deliver(from, to, message) => {
                let node = state.nodes.iter().position(|node| node.consensus.me == to)?;
                let consensus = &mut state.nodes[node].consensus;
                let old_lease_until = consensus.lease_until;
                consensus.handle_message(now, &from, message, &mut out);
                if self.fault == Fault::LeaseFromReceipt && consensus.lease_until != old_lease_until {
                    consensus.lease_until = Some(TERMS.holder_valid_until(now));
                }
                node
            }
            Step::Propose(n) => {
                let (node, target) = self.proposals[n];
                let evicted = state.nodes[node].consensus.view.member_named(NAMES[target]).cloned();
                let change = ViewChange { evict: evicted.into_iter().collect(), ..ViewChange::default() };
                state.proposed.insert(n);
                state.nodes[node].consensus.propose(now, change, &mut out);
                node
            }
            Step::Timer(node) => {
                state.nodes[node].consensus.handle_timeout(now, &mut out);
                node
            }
        };
        self.apply_outputs(&mut state, node, out);
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_VIEW_PER_EPOCH, |_, state: &State| !state.has_conflicting_views),
            Property::always(FENCED_BEFORE_REPLACED, |_, state: &State| {
                let may_act = |node: &&Node| !node.consensus.is_fenced(state.now);
                let can_be_replaced = |id: &Identity| {
                    state.nodes.iter().any(|node| node.consensus.can_take_over(id, state.now))
                };
                !state.nodes.iter().filter(may_act).any(|node| can_be_replaced(&node.consensus.me))
            }),
            Property::sometimes(REACHED[0], |_, state: &State| state.views.len() > 1),
            Property::sometimes(REACHED[1], |_, state: &State| {
                let members = &state.views[&1].members;
                state
                    .nodes
                    .iter()
                    .any(|node| members.iter().any(|id| node.consensus.can_take_over(id, state.now)))
            }),
        ]
    }
}

/// Explores up to `max_states` states. Returns the properties of kind "always" that were violated and those
/// of kind "sometimes" that occurred, and the number of distinct states.
fn explore(fleet: Fleet, max_states: usize) -> (BTreeSet<&'static str>, usize) {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let checker = fleet.checker().threads(threads).target_state_count(max_states);
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

const ONE_VIEW_PER_EPOCH: &str = "each epoch has one view";
const FENCED_BEFORE_REPLACED: &str = "a member is fenced before it can be replaced";
/// Properties that have to occur in some state, to show that the exploration gets that far.
const REACHED: [&str; 2] = ["a change is decided", "a removed member can be replaced"];

/// Two voters propose to remove each other at once. The third voter, which both need, restarts without its
/// stored state, or with it.
#[test]
fn three_members_have_one_view_per_epoch_when_one_restarts() {
    for disk in [Disk::Lost, Disk::Kept] {
        let fleet = Fleet { restarts: vec![1], disk, ..Fleet::new(3, &[(0, 2), (2, 0)]) };
        let (found, _) = explore(fleet, 120_000);
        assert!(found.contains(REACHED[0]) && !found.contains(ONE_VIEW_PER_EPOCH), "{disk:?}: {found:?}");
    }
}

#[test]
fn five_members_have_one_view_per_epoch() {
    let (found, _) = explore(Fleet::new(5, &[(0, 4), (1, 0)]), 100_000);
    assert!(found.contains(REACHED[0]) && !found.contains(ONE_VIEW_PER_EPOCH), "{found:?}");
}

/// The last member is proposed for removal while its lease is requested and granted late or not at all, and
/// time passes at any step.
#[test]
fn a_removed_member_is_fenced_before_it_can_be_replaced() {
    let fleet = Fleet { ticks: 5, lease_member: Some(2), ..Fleet::new(3, &[(0, 2)]) };
    let (found, _) = explore(fleet, 250_000);
    assert_eq!(found, REACHED.into_iter().collect());
}

#[test]
fn the_model_finds_a_lease_that_counts_from_receipt_of_the_grant() {
    let fleet =
        Fleet { ticks: 5, lease_member: Some(2), fault: Fault::LeaseFromReceipt, ..Fleet::new(3, &[(0, 2)]) };
    assert!(explore(fleet, 600_000).0.contains(FENCED_BEFORE_REPLACED));
}

#[test]
fn the_model_finds_an_incarnation_kept_after_its_votes_are_lost() {
    let fault = Fault::IncarnationKeptOverRestart;
    let fleet = Fleet { restarts: vec![1], fault, ..Fleet::new(3, &[(0, 2), (2, 0)]) };
    assert!(explore(fleet, 2_000_000).0.contains(ONE_VIEW_PER_EPOCH));
}

/// Checks the same properties with larger bounds, which take minutes: `cargo test --release -p
/// wheelpier-decisions --lib model -- --ignored`.
#[test]
#[ignore = "takes minutes and gigabytes of memory"]
fn larger_bounds_show_no_violation() {
    let all = Fleet { restarts: vec![0, 1, 2], ..Fleet::new(3, &[(0, 2), (1, 0), (2, 1)]) };
    assert!(!explore(all, 6_000_000).0.contains(ONE_VIEW_PER_EPOCH));
    assert!(!explore(Fleet { restarts: vec![2], ..Fleet::new(5, &[(0, 4), (1, 0)]) }, 3_000_000)
        .0
        .contains(ONE_VIEW_PER_EPOCH));
    let leases =
        Fleet { ticks: 7, restarts: vec![1], lease_member: Some(2), ..Fleet::new(3, &[(0, 2), (1, 2)]) };
    assert!(!explore(leases, 6_000_000).0.contains(FENCED_BEFORE_REPLACED));
}
