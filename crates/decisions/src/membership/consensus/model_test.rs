//! All runs of a small fleet, within bounds: messages lost, doubled and out of order, processes that stand still, come back
//! as another life, or from their disk. Two faults are planted, which it has to find.

use super::*;
use stateright::{Checker, HasDiscoveries, Model, Property};

/// One process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    agreement: Agreement,
    /// What its disk has.
    kept: Durable,
}

/// What is in the code, or planted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    None,
    /// A lease counts from the answer instead of the asking.
    LeaseFromReceipt,
    /// A process that has lost what it voted for votes on under its old identity.
    LifeKeptOverRestart,
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

const TERMS: Terms = Terms { lease: 2, drift_ppm: 0, renew: 1, ballot: 100 };
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
        let me = state.nodes[node].agreement.me.clone();
        for output in out {
            match output {
                Output::Keep(kept) => state.nodes[node].kept = kept,
                Output::Send(to, message) => {
                    let lease = matches!(message, Message::Renew { .. } | Message::Granted { .. });
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
                Output::Event(Event::Forked(_)) => state.forked = true,
                Output::Event(_) => {}
            }
        }
    }

    fn restarted(&self, old: &Node, now: Timestamp) -> Node {
        let (me, view) = (old.agreement.me.clone(), old.kept.view.clone());
        let seeds: Vec<Name> = NAMES[..self.members].iter().map(|name| (*name).into()).collect();
        let (me, kept) = match (self.fault, self.disk) {
            (Fault::LifeKeptOverRestart, _) => (me, Durable { view, ..Durable::default() }),
            (_, Disk::Kept) => (me, old.kept.clone()),
            (_, Disk::Lost) => (Identity { life: me.life + 1, ..me }, Durable { view, ..Durable::default() }),
        };
        Node { agreement: Agreement::new(me, TERMS, &seeds, kept.clone(), now), kept }
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
        let kept = Durable { view: Some(view.clone()), ..Durable::default() };
        let before = Timestamp(-TERMS.lease);
        let node = |me: Identity| Node {
            agreement: Agreement::new(me, TERMS, &[], kept.clone(), before),
            kept: kept.clone(),
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
            if state.nodes.iter().any(|node| node.agreement.me == *to) {
                actions.push(Step::Deliver(from.clone(), to.clone(), message.clone()));
            }
        }
        actions.extend((0..self.wishes.len()).filter(|n| !state.wished.contains(n)).map(Step::Wish));
        if let Some(node) = self.renews {
            let renews = &state.nodes[node].agreement;
            if renews.next_timer().is_some_and(|at| at <= state.now) {
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
                let node = state.nodes.iter().position(|node| node.agreement.me == to)?;
                let agreement = &mut state.nodes[node].agreement;
                let lease = agreement.lease;
                agreement.heard(now, &from, message, &mut out);
                if self.fault == Fault::LeaseFromReceipt && agreement.lease != lease {
                    agreement.lease = Some(TERMS.held(now));
                }
                node
            }
            Step::Wish(n) => {
                let (node, whom) = self.wishes[n];
                let gone = state.nodes[node].agreement.view.named(NAMES[whom]).cloned();
                let wish = Change { out: gone.into_iter().collect(), ..Change::default() };
                state.wished.insert(n);
                state.nodes[node].agreement.propose(now, wish, &mut out);
                node
            }
            Step::Timer(node) => {
                state.nodes[node].agreement.timer(now, &mut out);
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
                let acts = |node: &&Node| !node.agreement.fenced(state.now);
                let free = |id: &Identity| state.nodes.iter().any(|node| node.agreement.free(id, state.now));
                !state.nodes.iter().filter(acts).any(|node| free(&node.agreement.me))
            }),
            Property::sometimes("a wish becomes a view", |_, state: &State| state.views.len() > 1),
            Property::sometimes("who is out is free", |_, state: &State| {
                let gone = &state.views[&1].members;
                state.nodes.iter().any(|node| gone.iter().any(|id| node.agreement.free(id, state.now)))
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
const HAPPENS: [&str; 2] = ["a wish becomes a view", "who is out is free"];

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
    let fault = Fault::LifeKeptOverRestart;
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
