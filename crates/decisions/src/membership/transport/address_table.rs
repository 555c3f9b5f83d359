//! Addresses of members, known from the configuration, from received datagrams, and from reports of other
//! members. A wrong address only costs messages that no process accepts.

use super::session_table::evict_oldest;
use crate::interface::Timestamp;
use crate::membership::{Identity, Name};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of incarnations whose address was seen, and of names whose address was reported by other
/// members.
const MAX_ADDRESSES: usize = 4_096;

/// The source address of the last datagram from a member, and when it was received.
#[derive(Clone, Copy, Debug)]
struct SeenAddress {
    address: SocketAddr,
    at: Timestamp,
}

/// The addresses of members.
#[derive(Clone, Debug, Default)]
pub struct AddressTable {
    configured: BTreeMap<Name, SocketAddr>,
    seen: BTreeMap<Identity, SeenAddress>,
    /// Addresses reported by other members.
    reported: BTreeMap<Name, SocketAddr>,
}

impl AddressTable {
    /// Creates a table with the configured addresses.
    pub fn new(configured: BTreeMap<Name, SocketAddr>) -> Self {
        Self { configured, ..Self::default() }
    }

    /// Records the source address of a datagram that was accepted from a member.
    pub fn record_seen(&mut self, member: &Identity, address: SocketAddr, now: Timestamp) {
        if !self.seen.contains_key(member) {
            evict_oldest(&mut self.seen, MAX_ADDRESSES, |seen| seen.at);
        }
        self.seen.insert(member.clone(), SeenAddress { address, at: now });
    }

    /// Records the address of a name as reported by another member.
    pub fn record_reported(&mut self, name: &Name, address: SocketAddr) {
        if self.reported.contains_key(name) || self.reported.len() < MAX_ADDRESSES {
            self.reported.insert(Name::clone(name), address);
        }
    }

    /// Returns the address of a member: where this incarnation was last seen, else the configured address of
    /// the name, else where any incarnation was last seen, else the address that another member reported.
    pub fn address(&self, member: &Identity) -> Option<SocketAddr> {
        let exact = self.seen.get(member).map(|seen| seen.address);
        exact
            .or_else(|| self.configured.get(&member.name).copied())
            .or_else(|| self.last_seen(&member.name))
            .or_else(|| self.reported.get(&member.name).copied())
    }

    /// Returns the address of a name to report to other members; never one that is only reported itself.
    pub fn shared_address(&self, name: &Name) -> Option<SocketAddr> {
        self.last_seen(name).or_else(|| self.configured.get(name).copied())
    }

    /// Returns where any incarnation of a name was last seen.
    fn last_seen(&self, name: &Name) -> Option<SocketAddr> {
        let incarnations = self.seen.iter().filter(|(member, _)| member.name == *name);
        incarnations.max_by_key(|(_, seen)| seen.at).map(|(_, seen)| seen.address)
    }

    /// Returns the members whose address was seen, the most recently seen first.
    pub fn by_recency(&self) -> Vec<&Identity> {
        let mut members: Vec<_> = self.seen.iter().collect();
        members.sort_by_key(|(_, seen)| std::cmp::Reverse(seen.at));
        members.into_iter().map(|(member, _)| member).collect()
    }
}

#[cfg(test)]
mod tests;
