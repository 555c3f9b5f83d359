use super::*;

fn view(members: &[(&str, u64)]) -> View {
    View {
        epoch: 4,
        members: members.iter().map(|(name, incarnation)| Identity::new(name, *incarnation)).collect(),
    }
}

fn change(evict: &[(&str, u64)], join: &[(&str, u64)]) -> ViewChange {
    let identities = |members: &[(&str, u64)]| {
        members.iter().map(|(name, incarnation)| Identity::new(name, *incarnation)).collect()
    };
    ViewChange { evict: identities(evict), join: identities(join) }
}

#[test]
fn evicted_members_are_removed_and_joining_ones_appended() {
    let next = view(&[("a", 1), ("b", 1), ("c", 1)]).next(&change(&[("a", 1)], &[("d", 9)]));
    assert_eq!(next, Some(View { epoch: 5, ..view(&[("b", 1), ("c", 1), ("d", 9)]) }));
}

#[test]
fn a_later_incarnation_replaces_an_earlier_one_but_not_vice_versa() {
    let current = view(&[("a", 3), ("b", 1)]);
    assert_eq!(
        current.next(&change(&[], &[("a", 4)])).map(|v| v.members),
        Some(view(&[("b", 1), ("a", 4)]).members)
    );
    assert_eq!(current.next(&change(&[], &[("a", 2)])), None);
    assert_eq!(current.next(&change(&[], &[("a", 3)])), None);
}

#[test]
fn a_change_without_effect_or_remaining_members_gives_no_view() {
    let current = view(&[("a", 1)]);
    assert_eq!(current.next(&ViewChange::default()), None);
    assert_eq!(current.next(&change(&[("x", 1)], &[])), None);
    assert_eq!(current.next(&change(&[("a", 1)], &[])), None);
}

#[test]
fn the_members_admitted_earliest_vote_and_a_majority_of_them_decides() {
    let names: Vec<String> = (0..20).map(|n| format!("m{n:02}")).collect();
    let many = View { epoch: 9, members: names.iter().map(|name| Identity::new(name, 1)).collect() };
    assert_eq!((many.voters().len(), many.quorum()), (7, 4));
    assert!(many.is_voter(&many.members[6]) && !many.is_voter(&many.members[7]));
    for (members, quorum) in [(1, 1), (2, 2), (3, 2), (4, 3), (5, 3)] {
        let few = View { epoch: 1, members: many.members[..members].to_vec() };
        assert_eq!(few.quorum(), quorum);
    }
}

#[test]
fn before_the_first_view_any_incarnation_of_a_founder_votes_and_nobody_is_a_member() {
    let founders: Vec<Name> = ["a", "b", "c"].map(Name::from).to_vec();
    let genesis = View::genesis(&founders);
    assert_eq!(genesis.quorum(), 3);
    assert!(genesis.is_voter(&Identity::new("b", 77)) && !genesis.is_voter(&Identity::new("d", 77)));
    assert!(!genesis.contains(&Identity::new("b", 0)));
    let first = genesis.next(&change(&[], &[("a", 5), ("b", 6), ("c", 7)]));
    assert_eq!(first.map(|v| (v.epoch, v.members.len())), Some((1, 3)));
}
