use super::*;
use crate::membership::view::View;

fn matrix<'a>(view: &'a View, rows: &'a BTreeMap<Identity, ReachabilityRow>) -> ReachabilityMatrix<'a> {
    ReachabilityMatrix { view, rows }
}

fn policy<'a>(
    view: &'a View,
    me: &'a Identity,
    rows: &'a BTreeMap<Identity, ReachabilityRow>,
) -> ReconfigurationPolicy<'a> {
    ReconfigurationPolicy { me, matrix: matrix(view, rows) }
}

/// Returns the change that a voter proposes if every unheard member is confirmed and none has been removed
/// before.
fn proposed_change(view: &View, me: &Identity, rows: &BTreeMap<Identity, ReachabilityRow>) -> ViewChange {
    policy(view, me, rows).propose(&FlapDamping::default(), |_| true, Timestamp(0))
}

fn view(members: usize) -> View {
    let name = |n: usize| Identity::new(&format!("m{n}"), 1);
    View { epoch: 3, members: (0..members).map(name).collect() }
}

/// Returns the reports of all voters in a reachability graph given by `hears(voter, member)`.
fn rows(view: &View, hears: impl Fn(usize, usize) -> bool) -> BTreeMap<Identity, ReachabilityRow> {
    let row = |voter: usize| ReachabilityRow {
        epoch: view.epoch,
        hears: (0..view.members.len()).map(|m| m == voter || hears(voter, m)).collect(),
        ..ReachabilityRow::default()
    };
    view.voters().iter().enumerate().map(|(n, voter)| (voter.clone(), row(n))).collect()
}

/// Checks all reachability graphs of up to five members. Exactly the members that no quorum hears are
/// removed. A removal may change which voters are a quorum and so cause another one, but the fleet converges
/// within one view per member.
#[test]
fn all_graphs_of_up_to_five_members_converge() {
    for members in 1..=5usize {
        let links: Vec<(usize, usize)> =
            (0..members).flat_map(|a| (0..members).filter(move |b| *b != a).map(move |b| (a, b))).collect();
        for graph in 0..1u32 << links.len() {
            let linked = |a: usize, b: usize| {
                a == b || links.iter().position(|l| *l == (a, b)).is_some_and(|at| graph >> at & 1 == 1)
            };
            assert_converges(members, linked);
        }
    }
}

/// Checks that repeated proposals by the first member reach a view that needs no further change.
fn assert_converges(members: usize, linked: impl Fn(usize, usize) -> bool) {
    let first = view(members);
    let position = |member: &Identity| first.members.iter().position(|m| m == member).unwrap_or(usize::MAX);
    let mut current = first.clone();
    for step in 0..=members {
        let positions: Vec<usize> = current.members.iter().map(position).collect();
        let rows = rows(&current, |a, b| linked(positions[a], positions[b]));
        let proposed = proposed_change(&current, &current.members[0], &rows);
        let heard = matrix(&current, &rows).heard_by_quorum();
        assert_eq!(proposed.evict, current.members.iter().filter(|m| !heard.contains(*m)).cloned().collect());
        // In a fleet, the change is decided only if a majority of the voters can communicate with the
        // proposer.
        let Some(next) = current.next(&proposed) else { return };
        assert!(next.members.len() < current.members.len() && step < members, "{next:?}");
        current = next;
    }
}

#[test]
fn a_broken_link_evicts_nobody_while_a_majority_hears_each_member() {
    let five = view(5);
    for (a, b) in [(0, 1), (1, 0), (4, 0), (2, 3)] {
        let rows = rows(&five, |voter, member| (voter, member) != (a, b));
        assert_eq!(proposed_change(&five, &five.members[0], &rows), ViewChange::default());
    }
}

#[test]
fn a_member_that_a_majority_does_not_hear_is_evicted_although_it_hears_all() {
    let five = view(5);
    let rows = rows(&five, |voter, member| member != 4 || voter == 0);
    let evicted = proposed_change(&five, &five.members[0], &rows).evict;
    assert_eq!(evicted, [five.members[4].clone()].into());
}

#[test]
fn the_first_voter_that_is_heard_and_has_its_lease_proposes() {
    let three = view(3);
    let mut rows = rows(&three, |_, _| true);
    assert_eq!(policy(&three, &three.members[2], &rows).proposer(), Some(&three.members[0]));
    rows.get_mut(&three.members[0]).unwrap().fenced = true;
    assert_eq!(policy(&three, &three.members[2], &rows).proposer(), Some(&three.members[1]));
    rows.get_mut(&three.members[2]).unwrap().hears = vec![true, false, true];
    assert_eq!(policy(&three, &three.members[2], &rows).proposer(), Some(&three.members[2]));
}

#[test]
fn an_incarnation_that_is_heard_is_not_replaced_by_a_second_process_of_its_name() {
    let three = view(3);
    let joiner = Identity::new("m2", 9);
    let mut rows = rows(&three, |_, _| true);
    rows.get_mut(&three.members[0]).unwrap().joining.insert(joiner.clone());
    assert_eq!(proposed_change(&three, &three.members[0], &rows), ViewChange::default());
    assert_eq!(matrix(&three, &rows).name_conflict(&joiner), Some(&three.members[2]));
    for voter in &three.members[..2] {
        rows.get_mut(voter).unwrap().hears[2] = false;
    }
    let proposed = proposed_change(&three, &three.members[0], &rows);
    assert_eq!((proposed.evict.len(), proposed.join), (1, [joiner.clone()].into()));
    assert_eq!(matrix(&three, &rows).name_conflict(&joiner), None);
}

/// After a change of the view, reports arrive one by one: a voter that has not reported yet may hear all
/// members.
#[test]
fn nobody_is_evicted_while_voters_that_are_heard_have_not_reported() {
    let five = view(5);
    // The last voter has just joined and hears no member.
    let mut partial_rows = rows(&five, |voter, _| voter != 4);
    partial_rows.remove(&five.members[1]);
    partial_rows.remove(&five.members[2]);
    let proposed =
        |rows: &BTreeMap<Identity, ReachabilityRow>| proposed_change(&five, &five.members[0], rows).evict;
    assert_eq!(proposed(&partial_rows), BTreeSet::new());
    // Missing reports of two voters that are not heard do not prevent their removal.
    partial_rows.values_mut().for_each(|row| row.hears = vec![true, false, false, true, true]);
    assert_eq!(proposed(&partial_rows), five.members[1..3].iter().cloned().collect());
}

#[test]
fn a_member_that_is_evicted_repeatedly_is_kept_out_longer_each_time() {
    let (with, without) = (view(4), View { epoch: 4, ..view(3) });
    let mut flap_damping = FlapDamping::default();
    let mut hold_offs_us = Vec::new();
    for n in 0..8 {
        flap_damping.record_view_change(Timestamp(n), &with, &without, |_| false);
        hold_offs_us.push(flap_damping.held_off_until("m3").map_or(0, |until| until.0 - n));
    }
    assert_eq!(hold_offs_us[..4], [0, 10_000_000, 20_000_000, 40_000_000]);
    assert_eq!(hold_offs_us[7], 300_000_000);
    assert_eq!(flap_damping.held_off_until("m0"), None);
    let replaced = View { epoch: 5, members: [&view(3).members[..], &[Identity::new("m3", 2)]].concat() };
    let mut not_counted = FlapDamping::default();
    (0..5).for_each(|n| not_counted.record_view_change(Timestamp(n), &with, &replaced, |_| false));
    (0..5).for_each(|n| {
        not_counted.record_view_change(Timestamp(n), &with, &without, |member| *member.name == *"m3")
    });
    assert_eq!(not_counted.held_off_until("m3"), None);
}
