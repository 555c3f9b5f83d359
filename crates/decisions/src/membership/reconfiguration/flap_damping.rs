//! Flap damping: a member that is removed repeatedly is kept out of the fleet for increasing times.

use crate::interface::Timestamp;
use crate::membership::view::{Identity, Name, View};
use std::collections::BTreeMap;

/// Time for which a member is kept out after its second removal; doubled with each further one. The first
/// removal has no consequence.
const FIRST_HOLD_OFF_US: i64 = 10_000_000;
/// Maximum time for which a member is kept out.
const MAX_HOLD_OFF_US: i64 = 300_000_000;
/// Removals are forgotten after this time without another one.
const FLAP_MEMORY_US: i64 = 600_000_000;
/// Maximum number of doublings that are computed; more would exceed [`MAX_HOLD_OFF_US`] in any case.
const MAX_DOUBLINGS: u32 = 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Removals {
    count: u32,
    last_at: Timestamp,
}

/// Recent removals of members, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FlapDamping(BTreeMap<Name, Removals>);

impl FlapDamping {
    /// Counts a removal of each member that a new view removes. A member that left, or was replaced by
    /// another incarnation, does not count.
    pub fn record_view_change(
        &mut self,
        now: Timestamp,
        old: &View,
        new: &View,
        has_left: impl Fn(&Identity) -> bool,
    ) {
        self.0.retain(|_, removals| now.0 - removals.last_at.0 < FLAP_MEMORY_US);
        let is_removed = |member: &&Identity| {
            member.incarnation > 0 && new.member_named(&member.name).is_none() && !has_left(member)
        };
        for member in old.members.iter().filter(is_removed) {
            let entry = self.0.entry(member.name.clone());
            let removals = entry.or_insert(Removals { count: 0, last_at: now });
            removals.count += 1;
            removals.last_at = now;
        }
    }

    /// Returns the time until which a name is kept out of the fleet, or `None` if it is not.
    pub fn held_off_until(&self, name: &str) -> Option<Timestamp> {
        let removals = self.0.get(name).filter(|removals| removals.count > 1)?;
        let doublings = (removals.count - 2).min(MAX_DOUBLINGS);
        let hold_off_us = FIRST_HOLD_OFF_US.saturating_mul(1 << doublings).min(MAX_HOLD_OFF_US);
        Some(Timestamp(removals.last_at.0 + hold_off_us))
    }
}
