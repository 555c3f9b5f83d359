//! Where members are: what the operator's file says, what was seen of them, and what others say. It guards nothing; a wrong
//! address costs messages that nobody opens.

use crate::interface::Timestamp;
use crate::membership::{Identity, Name};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Lives of which the address is remembered, and names of which others told.
const MOST: usize = 4_096;

/// The addresses of members.
#[derive(Clone, Debug, Default)]
pub struct AddressTable {
    fixed: BTreeMap<Name, SocketAddr>,
    seen: BTreeMap<Identity, (SocketAddr, Timestamp)>,
    told: BTreeMap<Name, SocketAddr>,
}

impl AddressTable {
    /// With what the file says.
    pub fn new(fixed: BTreeMap<Name, SocketAddr>) -> Self {
        Self { fixed, ..Self::default() }
    }

    /// A message of that incarnation has come from there.
    pub fn seen(&mut self, who: &Identity, address: SocketAddr, now: Timestamp) {
        if !self.seen.contains_key(who) {
            super::evict_oldest(&mut self.seen, MOST, |(_, at)| *at);
        }
        self.seen.insert(who.clone(), (address, now));
    }

    /// Another member says that it is there.
    pub fn told(&mut self, name: &Name, address: SocketAddr) {
        if self.told.contains_key(name) || self.told.len() < MOST {
            self.told.insert(Name::clone(name), address);
        }
    }

    /// Where that incarnation is: where it was seen, else where the file has its name, else where a incarnation of the name was seen last,
    /// else where others say.
    pub fn address(&self, who: &Identity) -> Option<SocketAddr> {
        let exact = self.seen.get(who).map(|(address, _)| *address);
        exact
            .or_else(|| self.fixed.get(&who.name).copied())
            .or_else(|| self.last_seen(&who.name))
            .or_else(|| self.told.get(&who.name).copied())
    }

    /// Where a incarnation of that name was seen last, or the file has it: what is told to others.
    pub fn known(&self, name: &Name) -> Option<SocketAddr> {
        self.last_seen(name).or_else(|| self.fixed.get(name).copied())
    }

    fn last_seen(&self, name: &Name) -> Option<SocketAddr> {
        let incarnations = self.seen.iter().filter(|(who, _)| who.name == *name);
        incarnations.max_by_key(|(_, (_, at))| *at).map(|(_, (address, _))| *address)
    }

    /// Lives that were seen, the latest first.
    pub fn latest(&self) -> Vec<&Identity> {
        let mut all: Vec<_> = self.seen.iter().collect();
        all.sort_by_key(|(_, (_, at))| std::cmp::Reverse(*at));
        all.into_iter().map(|(who, _)| who).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    #[test]
    fn what_was_seen_of_a_life_goes_before_the_file_and_that_before_hearsay() {
        let (old, new) = (Identity::new("a", 1), Identity::new("a", 2));
        let mut addresses = AddressTable::default();
        assert_eq!(addresses.address(&old), None);
        addresses.told(&old.name, at(1));
        assert_eq!(addresses.address(&old), Some(at(1)));
        addresses.seen(&old, at(2), Timestamp(5));
        assert_eq!(addresses.address(&new), Some(at(2)), "another incarnation may be in the same place");
        let mut addresses = AddressTable { fixed: [("a".into(), at(3))].into(), ..addresses };
        assert_eq!((addresses.address(&old), addresses.address(&new)), (Some(at(2)), Some(at(3))));
        // Two processes of one name are told apart.
        addresses.seen(&new, at(4), Timestamp(6));
        assert_eq!((addresses.address(&old), addresses.address(&new)), (Some(at(2)), Some(at(4))));
        assert_eq!(addresses.known(&new.name), Some(at(4)));
    }

    #[test]
    fn it_is_bounded_and_forgets_whom_it_has_not_heard_for_longest() {
        let mut addresses = AddressTable::default();
        for n in 0..2 * MOST as u64 {
            addresses.seen(&Identity::new("a", n), at(1), Timestamp(n as i64));
            addresses.told(&format!("n{n}").as_str().into(), at(1));
        }
        assert_eq!((addresses.seen.len(), addresses.told.len()), (MOST, MOST));
        assert!(!addresses.seen.contains_key(&Identity::new("a", 0)));
    }
}
