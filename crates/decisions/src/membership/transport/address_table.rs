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
pub struct Book {
    fixed: BTreeMap<Name, SocketAddr>,
    seen: BTreeMap<Identity, (SocketAddr, Timestamp)>,
    told: BTreeMap<Name, SocketAddr>,
}

impl Book {
    /// With what the file says.
    pub fn new(fixed: BTreeMap<Name, SocketAddr>) -> Self {
        Self { fixed, ..Self::default() }
    }

    /// A message of that life has come from there.
    pub fn seen(&mut self, who: &Identity, address: SocketAddr, now: Timestamp) {
        if !self.seen.contains_key(who) {
            super::make_room(&mut self.seen, MOST, |(_, at)| *at);
        }
        self.seen.insert(who.clone(), (address, now));
    }

    /// Another member says that it is there.
    pub fn told(&mut self, name: &Name, address: SocketAddr) {
        if self.told.contains_key(name) || self.told.len() < MOST {
            self.told.insert(Name::clone(name), address);
        }
    }

    /// Where that life is: where it was seen, else where the file has its name, else where a life of the name was seen last,
    /// else where others say.
    pub fn address(&self, who: &Identity) -> Option<SocketAddr> {
        let exact = self.seen.get(who).map(|(address, _)| *address);
        exact
            .or_else(|| self.fixed.get(&who.name).copied())
            .or_else(|| self.last_seen(&who.name))
            .or_else(|| self.told.get(&who.name).copied())
    }

    /// Where a life of that name was seen last, or the file has it: what is told to others.
    pub fn known(&self, name: &Name) -> Option<SocketAddr> {
        self.last_seen(name).or_else(|| self.fixed.get(name).copied())
    }

    fn last_seen(&self, name: &Name) -> Option<SocketAddr> {
        let lives = self.seen.iter().filter(|(who, _)| who.name == *name);
        lives.max_by_key(|(_, (_, at))| *at).map(|(_, (address, _))| *address)
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
        let mut book = Book::default();
        assert_eq!(book.address(&old), None);
        book.told(&old.name, at(1));
        assert_eq!(book.address(&old), Some(at(1)));
        book.seen(&old, at(2), Timestamp(5));
        assert_eq!(book.address(&new), Some(at(2)), "another life may be in the same place");
        let mut book = Book { fixed: [("a".into(), at(3))].into(), ..book };
        assert_eq!((book.address(&old), book.address(&new)), (Some(at(2)), Some(at(3))));
        // Two processes of one name are told apart.
        book.seen(&new, at(4), Timestamp(6));
        assert_eq!((book.address(&old), book.address(&new)), (Some(at(2)), Some(at(4))));
        assert_eq!(book.known(&new.name), Some(at(4)));
    }

    #[test]
    fn it_is_bounded_and_forgets_whom_it_has_not_heard_for_longest() {
        let mut book = Book::default();
        for n in 0..2 * MOST as u64 {
            book.seen(&Identity::new("a", n), at(1), Timestamp(n as i64));
            book.told(&format!("n{n}").as_str().into(), at(1));
        }
        assert_eq!((book.seen.len(), book.told.len()), (MOST, MOST));
        assert!(!book.seen.contains_key(&Identity::new("a", 0)));
    }
}
