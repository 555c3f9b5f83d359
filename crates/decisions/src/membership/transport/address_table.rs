//! Addresses of members: from the configuration, from datagrams received, and from other members. A wrong address costs
//! messages that nobody accepts.

use super::session_table::evict_oldest;
use crate::interface::Timestamp;
use crate::membership::{Identity, Name};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Bound on the incarnations whose address was seen, and on the names whose address is known from others.
const MAX_ADDRESSES: usize = 4_096;

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
    hearsay: BTreeMap<Name, SocketAddr>,
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

    /// Records what another member says of the address of a name.
    pub fn record_hearsay(&mut self, name: &Name, address: SocketAddr) {
        if self.hearsay.contains_key(name) || self.hearsay.len() < MAX_ADDRESSES {
            self.hearsay.insert(Name::clone(name), address);
        }
    }

    /// Returns the address of a member: where this incarnation was last seen, else the configured address of the name,
    /// else where any incarnation was last seen, else what other members say.
    pub fn address(&self, member: &Identity) -> Option<SocketAddr> {
        let exact = self.seen.get(member).map(|seen| seen.address);
        exact
            .or_else(|| self.configured.get(&member.name).copied())
            .or_else(|| self.last_seen(&member.name))
            .or_else(|| self.hearsay.get(&member.name).copied())
    }

    /// Returns the address of a name that is told to others; never hearsay.
    pub fn shared_address(&self, name: &Name) -> Option<SocketAddr> {
        self.last_seen(name).or_else(|| self.configured.get(name).copied())
    }

    fn last_seen(&self, name: &Name) -> Option<SocketAddr> {
        let incarnations = self.seen.iter().filter(|(member, _)| member.name == *name);
        incarnations.max_by_key(|(_, seen)| seen.at).map(|(_, seen)| seen.address)
    }

    /// Returns the members that were seen, the latest first.
    pub fn latest(&self) -> Vec<&Identity> {
        let mut members: Vec<_> = self.seen.iter().collect();
        members.sort_by_key(|(_, seen)| std::cmp::Reverse(seen.at));
        members.into_iter().map(|(member, _)| member).collect()
    }
}

#[cfg(test)]
mod tests;
