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

/// The change that a voter proposes if every unheard member is confirmed and none has flapped.
fn proposed_change(view: &View, me: &Identity, rows: &BTreeMap<Identity, ReachabilityRow>) -> ViewChange {
    policy(view, me, rows).propose(&FlapDamping::default(), |_| true, Timestamp(0))
}

fn view(members: usize) -> View {
    let name = |n: usize| Identity::new(&format!("m{n}"), 1);
    View { epoch: 3, members: (0..members).map(name).collect() }
}

/// Rows of a graph: `hears(voter, member)`.
fn rows(view: &View, hears: impl Fn(usize, usize) -> bool) -> BTreeMap<Identity, ReachabilityRow> {
    let row = |voter: usize| ReachabilityRow {
        epoch: view.epoch,
        hears: (0..view.members.len()).map(|m| m == voter || hears(voter, m)).collect(),
        ..ReachabilityRow::default()
    };
    view.voters().iter().enumerate().map(|(n, voter)| (voter.clone(), row(n))).collect()
}

/// All graphs of up to five members: what stays is heard by most voters, nothing else goes, and one view later nothing
/// more changes for those that are left, unless their own majority has become another one: at most one view a member.
#[test]
fn all_graphs_of_up_to_five_members_come_to_rest() {
    for members in 1..=5usize {
        let links: Vec<(usize, usize)> =
            (0..members).flat_map(|a| (0..members).filter(move |b| *b != a).map(move |b| (a, b))).collect();
        for graph in 0..1u32 << links.len() {
            let linked = |a: usize, b: usize| {
                a == b || links.iter().position(|l| *l == (a, b)).is_some_and(|at| graph >> at & 1 == 1)
            };
            comes_to_rest(members, linked);
        }
    }
}

fn comes_to_rest(members: usize, linked: impl Fn(usize, usize) -> bool) {
    let first = view(members);
    let place = |who: &Identity| first.members.iter().position(|m| m == who).unwrap_or(usize::MAX);
    let mut now = first.clone();
    for step in 0..=members {
        let places: Vec<usize> = now.members.iter().map(place).collect();
        let rows = rows(&now, |a, b| linked(places[a], places[b]));
        let proposed = proposed_change(&now, &now.members[0], &rows);
        let heard = matrix(&now, &rows).heard_by_quorum();
        assert_eq!(proposed.evict, now.members.iter().filter(|m| !heard.contains(*m)).cloned().collect());
        // It comes to a view only if most of the voters can speak with each other through its proposer.
        let Some(next) = now.next(&proposed) else { return };
        assert!(next.members.len() < now.members.len() && step < members, "{next:?}");
        now = next;
    }
}

#[test]
fn a_broken_link_puts_nobody_out_as_long_as_most_hear() {
    let five = view(5);
    for (a, b) in [(0, 1), (1, 0), (4, 0), (2, 3)] {
        let rows = rows(&five, |voter, member| (voter, member) != (a, b));
        assert_eq!(proposed_change(&five, &five.members[0], &rows), ViewChange::default());
    }
}

#[test]
fn a_member_that_most_do_not_hear_goes_though_it_hears_all() {
    let five = view(5);
    let rows = rows(&five, |voter, member| member != 4 || voter == 0);
    let evicted = proposed_change(&five, &five.members[0], &rows).evict;
    assert_eq!(evicted, [five.members[4].clone()].into());
}

#[test]
fn the_first_voter_that_is_heard_and_has_its_lease_wishes() {
    let three = view(3);
    let mut rows = rows(&three, |_, _| true);
    assert_eq!(policy(&three, &three.members[2], &rows).proposer(), Some(&three.members[0]));
    rows.get_mut(&three.members[0]).unwrap().fenced = true;
    assert_eq!(policy(&three, &three.members[2], &rows).proposer(), Some(&three.members[1]));
    rows.get_mut(&three.members[2]).unwrap().hears = vec![true, false, true];
    assert_eq!(policy(&three, &three.members[2], &rows).proposer(), Some(&three.members[2]));
}

#[test]
fn a_life_that_is_heard_is_not_replaced_by_a_second_process_of_its_name() {
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

/// Right after a view rows come one by one: whoever has yet to speak may hear everybody.
#[test]
fn voters_that_are_heard_and_have_yet_to_speak_put_nobody_out() {
    let five = view(5);
    // The last one has just come in and hears nobody.
    let mut some = rows(&five, |voter, _| voter != 4);
    some.remove(&five.members[1]);
    some.remove(&five.members[2]);
    let proposed =
        |rows: &BTreeMap<Identity, ReachabilityRow>| proposed_change(&five, &five.members[0], rows).evict;
    assert_eq!(proposed(&some), BTreeSet::new());
    // Two that are not heard either have no say.
    some.values_mut().for_each(|row| row.hears = vec![true, false, false, true, true]);
    assert_eq!(proposed(&some), five.members[1..3].iter().cloned().collect());
}

#[test]
fn whoever_is_put_out_again_and_again_stays_out_longer_each_time() {
    let (with, without) = (view(4), View { epoch: 4, ..view(3) });
    let mut flap_damping = FlapDamping::default();
    let mut waits = Vec::new();
    for n in 0..8 {
        flap_damping.record_view_change(Timestamp(n), &with, &without, |_| false);
        waits.push(flap_damping.held_off_until("m3").map_or(0, |until| until.0 - n));
    }
    assert_eq!(waits[..4], [0, 10_000_000, 20_000_000, 40_000_000]);
    assert_eq!(waits[7], 300_000_000);
    assert_eq!(flap_damping.held_off_until("m0"), None);
    let replaced = View { epoch: 5, members: [&view(3).members[..], &[Identity::new("m3", 2)]].concat() };
    let mut calm = FlapDamping::default();
    (0..5).for_each(|n| calm.record_view_change(Timestamp(n), &with, &replaced, |_| false));
    (0..5).for_each(|n| calm.record_view_change(Timestamp(n), &with, &without, |who| *who.name == *"m3"));
    assert_eq!(calm.held_off_until("m3"), None);
}
