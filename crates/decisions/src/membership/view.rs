//! Who is in the fleet, as agreed on: identities, numbered views, and how one view becomes the next. Nothing here decides
//! when a view changes; [`super::agreement`] sees to it that there is only one with each number.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

/// Members that vote: the longest-standing ones. More would cost each vote and each lease more messages, and a fleet of
/// 300 would spend its traffic on them; fewer would be lost together too easily.
pub const MAX_VOTERS: usize = 7;

/// What a proxy is called, whichever of its processes it is.
pub type Name = Arc<str>;

/// One incarnation of a proxy: its name and the number of its vote. A process that comes back without what it had voted for is
/// another incarnation: it must not vote in the place of the one that it replaces, nor be answered for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    /// Its name.
    pub name: Name,
    /// The number of this incarnation; 0 stands for any incarnation of the name, before there is a view.
    pub incarnation: u64,
}

impl Identity {
    /// A incarnation of a name.
    pub fn new(name: &str, incarnation: u64) -> Self {
        Self { name: name.into(), incarnation }
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.name, self.incarnation)
    }
}

/// A numbered view: the members in the order in which they were let in.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct View {
    /// Its number: there is one view with each.
    pub epoch: u64,
    /// Its members, the longest-standing first.
    pub members: Vec<Identity>,
}

impl View {
    /// What stands before the first view: the names of the seeds, all of which have to agree on that.
    pub fn genesis(seeds: &[Name]) -> Self {
        let members = seeds.iter().map(|name| Identity { name: Arc::clone(name), incarnation: 0 }).collect();
        Self { epoch: 0, members }
    }

    /// Whether that incarnation is a member. Before the first view nobody is.
    pub fn contains(&self, who: &Identity) -> bool {
        self.epoch > 0 && self.members.contains(who)
    }

    /// The member of that name.
    pub fn member_named(&self, name: &str) -> Option<&Identity> {
        self.members.iter().find(|member| *member.name == *name)
    }

    /// Who votes on the next view and grants leases under this one.
    pub fn voters(&self) -> &[Identity] {
        // All seeds found the fleet: a part of them might not know that it has been founded already.
        let most = if self.epoch == 0 { self.members.len() } else { MAX_VOTERS };
        &self.members[..self.members.len().min(most)]
    }

    /// Whether that incarnation votes. Before the first view any incarnation of a seed does: nothing that it may have lost was
    /// decided without all the others.
    pub fn is_voter(&self, who: &Identity) -> bool {
        match self.epoch {
            0 => self.member_named(&who.name).is_some(),
            _ => self.voters().contains(who),
        }
    }

    /// So many votes decide: two such sets have a voter in common. The first view takes all.
    pub fn quorum(&self) -> usize {
        match self.epoch {
            0 => self.members.len().max(1),
            _ => self.voters().len() / 2 + 1,
        }
    }

    /// The next view, if a change makes any difference. Whoever comes takes the place of an older incarnation of its
    /// name, at the end; who is to go and to come at once comes.
    pub fn next(&self, change: &Change) -> Option<Self> {
        let replaced = |member: &Identity| {
            change
                .join
                .iter()
                .any(|comes| comes.name == member.name && comes.incarnation > member.incarnation)
        };
        let stays = |member: &&Identity| self.epoch > 0 && !change.out.contains(*member) && !replaced(member);
        let mut members: Vec<Identity> = self.members.iter().filter(stays).cloned().collect();
        let latest = |comes: &&Identity| {
            !change.join.iter().any(|o| o.name == comes.name && o.incarnation > comes.incarnation)
        };
        for comes in change.join.iter().filter(latest) {
            if !members.iter().any(|member| member.name == comes.name) {
                members.push(comes.clone());
            }
        }
        (members != self.members && !members.is_empty()).then_some(Self { epoch: self.epoch + 1, members })
    }
}

/// What is wished for: who has to go and who comes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Change {
    /// Who has to go.
    pub out: BTreeSet<Identity>,
    /// Who comes, or comes back as another incarnation.
    pub join: BTreeSet<Identity>,
}

#[cfg(test)]
mod tests {
    use super::*;

    fn view(members: &[(&str, u64)]) -> View {
        View {
            epoch: 4,
            members: members.iter().map(|(name, incarnation)| Identity::new(name, *incarnation)).collect(),
        }
    }

    fn change(out: &[(&str, u64)], join: &[(&str, u64)]) -> Change {
        let all = |of: &[(&str, u64)]| {
            of.iter().map(|(name, incarnation)| Identity::new(name, *incarnation)).collect()
        };
        Change { out: all(out), join: all(join) }
    }

    #[test]
    fn who_goes_is_gone_and_who_comes_stands_last() {
        let next = view(&[("a", 1), ("b", 1), ("c", 1)]).next(&change(&[("a", 1)], &[("d", 9)]));
        assert_eq!(next, Some(View { epoch: 5, ..view(&[("b", 1), ("c", 1), ("d", 9)]) }));
    }

    #[test]
    fn a_later_life_replaces_an_earlier_one_and_never_the_other_way_round() {
        let now = view(&[("a", 3), ("b", 1)]);
        assert_eq!(
            now.next(&change(&[], &[("a", 4)])).map(|v| v.members),
            Some(view(&[("b", 1), ("a", 4)]).members)
        );
        assert_eq!(now.next(&change(&[], &[("a", 2)])), None);
        assert_eq!(now.next(&change(&[], &[("a", 3)])), None);
    }

    #[test]
    fn nothing_to_change_is_no_view_and_nobody_left_is_none_either() {
        let now = view(&[("a", 1)]);
        assert_eq!(now.next(&Change::default()), None);
        assert_eq!(now.next(&change(&[("x", 1)], &[])), None);
        assert_eq!(now.next(&change(&[("a", 1)], &[])), None);
    }

    #[test]
    fn the_longest_standing_vote_and_a_majority_of_them_decides() {
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
    fn before_the_first_view_all_seeds_vote_in_any_life_and_nobody_is_a_member() {
        let seeds: Vec<Name> = ["a", "b", "c"].map(Name::from).to_vec();
        let genesis = View::genesis(&seeds);
        assert_eq!(genesis.quorum(), 3);
        assert!(genesis.is_voter(&Identity::new("b", 77)) && !genesis.is_voter(&Identity::new("d", 77)));
        assert!(!genesis.contains(&Identity::new("b", 0)));
        let first = genesis.next(&change(&[], &[("a", 5), ("b", 6), ("c", 7)]));
        assert_eq!(first.map(|v| (v.epoch, v.members.len())), Some((1, 3)));
    }
}
