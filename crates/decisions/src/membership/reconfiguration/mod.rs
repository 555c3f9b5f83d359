//! Which change of the view to wish for, and whose turn it is to wish: policy above the agreement, without state of its own
//! beyond what flap_damping. A wrong wish costs a ballot; it can make nobody act twice.
//!
//! Who stays is judged by what the voters hear themselves (a row of the link matrix from each): a member that most
//! voters hear stays, however many other links to it are broken; one that most do not hear, or that says for long that it
//! cannot get its lease, goes. Links have a direction, and what counts is the one towards the voters.

use crate::interface::Timestamp;
use crate::membership::view::{Change, Identity, Name, View};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What one voter says of itself and of the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachabilityRow {
    /// The view that it speaks of.
    pub epoch: u64,
    /// Whom it hears itself, by place in the view's members.
    pub hears: Vec<bool>,
    /// Whether it has no lease.
    pub fenced: bool,
    /// Members that told it that they have had no lease for long.
    pub lease_starved: BTreeSet<Identity>,
    /// Who asks to be let in.
    pub joining: BTreeSet<Identity>,
    /// Who takes its leave.
    pub leaving: BTreeSet<Identity>,
}

/// Whoever was put out lately waits this long before it is let in once more; doubled with each time, up to the second.
/// The first time counts for nothing: most are out once.
const FIRST_HOLD_OFF_US: i64 = 10_000_000;
/// The longest hold-off.
const MAX_HOLD_OFF_US: i64 = 300_000_000;
/// After so long without being put out that is forgotten.
const FLAP_MEMORY_US: i64 = 600_000_000;

/// How often members were put out: one whose presence makes the views flap stays out for a growing time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FlapDamping(BTreeMap<Name, (u32, Timestamp)>);

impl FlapDamping {
    /// A view has followed another one: who is out by it, and not because another incarnation took its place or because it
    /// left, is counted.
    pub fn changed(&mut self, now: Timestamp, old: &View, new: &View, left: impl Fn(&Identity) -> bool) {
        self.0.retain(|_, (_, at)| now.0 - at.0 < FLAP_MEMORY_US);
        let gone = old
            .members
            .iter()
            .filter(|m| m.incarnation > 0 && new.member_named(&m.name).is_none() && !left(m));
        for member in gone {
            let (times, at) = self.0.entry(member.name.clone()).or_insert((0, now));
            (*times, *at) = (*times + 1, now);
        }
    }

    /// Until when that name is kept out.
    pub fn held_off_until(&self, name: &str) -> Option<Timestamp> {
        let (times, at) = self.0.get(name).filter(|(times, _)| *times > 1)?;
        let span = FIRST_HOLD_OFF_US.saturating_mul(1 << (times - 2).min(20)).min(MAX_HOLD_OFF_US);
        Some(Timestamp(at.0 + span))
    }
}

/// Whom most voters hear, by what their rows say: those of this view only. A voter hears itself. Voters without a row
/// hear nobody: their silence is no voice for anybody.
pub fn heard_by_quorum(view: &View, rows: &BTreeMap<Identity, ReachabilityRow>) -> BTreeSet<Identity> {
    let members = view.members.iter().enumerate();
    let heard = members.filter(|(place, member)| voters_hearing(view, rows, *place, member) >= view.quorum());
    heard.map(|(_, member)| member.clone()).collect()
}

/// How many voters say that they hear the member in that place. A voter hears itself.
fn voters_hearing(
    view: &View,
    rows: &BTreeMap<Identity, ReachabilityRow>,
    place: usize,
    member: &Identity,
) -> usize {
    let hears = |voter: &&Identity| {
        report_of(view, rows, voter)
            .is_some_and(|row| *voter == member || row.hears.get(place) == Some(&true))
    };
    view.voters().iter().filter(hears).count()
}

/// What a voter has said under this view.
fn report_of<'a>(
    view: &View,
    rows: &'a BTreeMap<Identity, ReachabilityRow>,
    voter: &Identity,
) -> Option<&'a ReachabilityRow> {
    rows.get(voter).filter(|row| row.epoch == view.epoch)
}

/// Whom most voters do not hear, as far as a voter can tell: one that it hears itself, and that has yet to speak under this
/// view, may hear everybody.
pub fn unheard_by_quorum(
    view: &View,
    me: &Identity,
    rows: &BTreeMap<Identity, ReachabilityRow>,
) -> BTreeSet<Identity> {
    let own = report_of(view, rows, me);
    let voters = view.voters().iter().enumerate();
    let silent = voters.filter(|(place, voter)| {
        report_of(view, rows, voter).is_none() && own.is_some_and(|own| own.hears.get(*place) == Some(&true))
    });
    let silent = silent.count();
    let members = view.members.iter().enumerate();
    let unheard =
        members.filter(|(place, member)| voters_hearing(view, rows, *place, member) + silent < view.quorum());
    unheard.map(|(_, member)| member.clone()).collect()
}

/// Whose turn it is to wish, as a voter sees it: the first one that it hears and that has its lease, or itself. Two may
/// think that it is theirs: the ballots see to it.
pub fn proposer<'a>(
    view: &'a View,
    me: &Identity,
    rows: &BTreeMap<Identity, ReachabilityRow>,
) -> Option<&'a Identity> {
    let own = rows.get(me)?;
    view.voters().iter().enumerate().find_map(|(place, voter)| {
        let heard = own.hears.get(place) == Some(&true);
        let able = report_of(view, rows, voter).is_some_and(|row| !row.fenced);
        (voter == me || (heard && able)).then_some(voter)
    })
}

/// Whether enough voters have spoken for the rows to say anything: without most of them nobody would be heard by most.
pub fn quorum_reports(view: &View, rows: &BTreeMap<Identity, ReachabilityRow>) -> bool {
    let speaks = |voter: &&Identity| report_of(view, rows, voter).is_some();
    view.voters().iter().filter(speaks).count() >= view.quorum()
}

/// The change that the rows ask for. `confirmed` says of a member that most do not hear whether that is no passing matter.
pub fn propose(
    view: &View,
    me: &Identity,
    rows: &BTreeMap<Identity, ReachabilityRow>,
    flap_damping: &FlapDamping,
    confirmed: impl Fn(&Identity) -> bool,
    now: Timestamp,
) -> Change {
    let unheard = unheard_by_quorum(view, me, rows);
    let all = |of: fn(&ReachabilityRow) -> &BTreeSet<Identity>| -> BTreeMap<&Identity, usize> {
        let mut counts = BTreeMap::new();
        rows.values().flat_map(of).for_each(|who| *counts.entry(who).or_insert(0) += 1);
        counts
    };
    let lease_starved = all(|row| &row.lease_starved);
    let leaving = all(|row| &row.leaving);
    let goes = |member: &&Identity| {
        (unheard.contains(*member) && confirmed(member))
            || leaving.contains_key(*member)
            || lease_starved.get(*member).is_some_and(|voters| *voters >= view.quorum())
    };
    let out: BTreeSet<Identity> = view.members.iter().filter(goes).cloned().collect();
    let comes = |who: &&Identity| {
        // A incarnation that is heard, and has not said that it is starved of its lease, is not replaced: it would be a second process of one name.
        let twin = view.member_named(&who.name).is_some_and(|there| there != *who && !out.contains(there));
        let held = flap_damping.held_off_until(&who.name).is_some_and(|until| now < until);
        !view.contains(who) && !twin && !held
    };
    let join = all(|row| &row.joining).into_keys().filter(comes).cloned().collect();
    Change { out, join }
}

/// The incarnation of a member that makes a joiner of the same name a twin: it is there, and is not put out.
pub fn name_conflict<'a>(
    view: &'a View,
    joiner: &Identity,
    rows: &BTreeMap<Identity, ReachabilityRow>,
) -> Option<&'a Identity> {
    let there = view.member_named(&joiner.name).filter(|there| *there != joiner)?;
    heard_by_quorum(view, rows).contains(there).then_some(there)
}

#[cfg(test)]
mod tests {
    use super::*;

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
            let links: Vec<(usize, usize)> = (0..members)
                .flat_map(|a| (0..members).filter(move |b| *b != a).map(move |b| (a, b)))
                .collect();
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
            let proposed =
                propose(&now, &now.members[0], &rows, &FlapDamping::default(), |_| true, Timestamp(0));
            let heard = heard_by_quorum(&now, &rows);
            assert_eq!(proposed.out, now.members.iter().filter(|m| !heard.contains(*m)).cloned().collect());
            // It comes to a view only if most of the voters can speak with each other through its steward.
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
            assert_eq!(
                propose(&five, &five.members[0], &rows, &FlapDamping::default(), |_| true, Timestamp(0)),
                Change::default()
            );
        }
    }

    #[test]
    fn a_member_that_most_do_not_hear_goes_though_it_hears_all() {
        let five = view(5);
        let rows = rows(&five, |voter, member| member != 4 || voter == 0);
        let out =
            propose(&five, &five.members[0], &rows, &FlapDamping::default(), |_| true, Timestamp(0)).out;
        assert_eq!(out, [five.members[4].clone()].into());
    }

    #[test]
    fn the_first_voter_that_is_heard_and_has_its_lease_wishes() {
        let three = view(3);
        let mut rows = rows(&three, |_, _| true);
        assert_eq!(proposer(&three, &three.members[2], &rows), Some(&three.members[0]));
        rows.get_mut(&three.members[0]).unwrap().fenced = true;
        assert_eq!(proposer(&three, &three.members[2], &rows), Some(&three.members[1]));
        rows.get_mut(&three.members[2]).unwrap().hears = vec![true, false, true];
        assert_eq!(proposer(&three, &three.members[2], &rows), Some(&three.members[2]));
    }

    #[test]
    fn a_life_that_is_heard_is_not_replaced_by_a_second_process_of_its_name() {
        let three = view(3);
        let joiner = Identity::new("m2", 9);
        let mut rows = rows(&three, |_, _| true);
        rows.get_mut(&three.members[0]).unwrap().joining.insert(joiner.clone());
        assert_eq!(
            propose(&three, &three.members[0], &rows, &FlapDamping::default(), |_| true, Timestamp(0)),
            Change::default()
        );
        assert_eq!(name_conflict(&three, &joiner, &rows), Some(&three.members[2]));
        for voter in &three.members[..2] {
            rows.get_mut(voter).unwrap().hears[2] = false;
        }
        let proposed =
            propose(&three, &three.members[0], &rows, &FlapDamping::default(), |_| true, Timestamp(0));
        assert_eq!((proposed.out.len(), proposed.join), (1, [joiner.clone()].into()));
        assert_eq!(name_conflict(&three, &joiner, &rows), None);
    }

    /// Right after a view rows come one by one: whoever has yet to speak may hear everybody.
    #[test]
    fn voters_that_are_heard_and_have_yet_to_speak_put_nobody_out() {
        let five = view(5);
        // The last one has just come in and hears nobody.
        let mut some = rows(&five, |voter, _| voter != 4);
        some.remove(&five.members[1]);
        some.remove(&five.members[2]);
        let proposed = |rows: &BTreeMap<Identity, ReachabilityRow>| {
            propose(&five, &five.members[0], rows, &FlapDamping::default(), |_| true, Timestamp(0)).out
        };
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
            flap_damping.changed(Timestamp(n), &with, &without, |_| false);
            waits.push(flap_damping.held_off_until("m3").map_or(0, |until| until.0 - n));
        }
        assert_eq!(waits[..4], [0, 10_000_000, 20_000_000, 40_000_000]);
        assert_eq!(waits[7], 300_000_000);
        assert_eq!(flap_damping.held_off_until("m0"), None);
        let replaced = View { epoch: 5, members: [&view(3).members[..], &[Identity::new("m3", 2)]].concat() };
        let mut calm = FlapDamping::default();
        (0..5).for_each(|n| calm.changed(Timestamp(n), &with, &replaced, |_| false));
        (0..5).for_each(|n| calm.changed(Timestamp(n), &with, &without, |who| *who.name == *"m3"));
        assert_eq!(calm.held_off_until("m3"), None);
    }
}
