//! How many descriptors each part of the process may hold, counted from the settings: all parts at their bounds together
//! never hold more than `limits.sockets`.

use super::Limits;
use crate::membership::DiscoveryRetry;

/// Standard input, output and error.
const STANDARD: usize = 3;
/// The runtime's poller, its copy, its waker, and three sockets by which signals reach it.
const RUNTIME: usize = 6;
/// The first client listener and the console's.
const LISTENERS: usize = 2;
/// What is open within one turn only: a connection that is accepted and closed at once, or the file read at SIGHUP.
const TRANSIENT: usize = 1;
/// Calls to discovery, and the watch before them that is about to close.
const DISCOVERY: usize = DiscoveryRetry::MAX_CONCURRENT_CALLS + 1;
/// Client connections above their limit that are answered instead of being closed unread.
pub const OVERFLOW: usize = 8;
/// Callers of the console served at once where descriptors are few.
const CALLERS: usize = 6;
/// One that was inherited from whoever started the process.
const SPARE: usize = 1;
/// What is no connection of a client within its limit and none to a ledger host.
pub(super) const RESERVED: usize =
    STANDARD + RUNTIME + LISTENERS + TRANSIENT + DISCOVERY + OVERFLOW + CALLERS + SPARE;

/// From here on the console has one caller more for each so many descriptors, up to a bound.
const MORE_CALLERS: (usize, usize, usize) = (256, 32, 58);
/// One in so many descriptors is for messages to other members, and as many for messages from them, within bounds.
const STREAMS: (usize, usize, usize) = (64, 2, 16);
/// The members' two listeners.
const STATION: usize = 2;

/// Share of the connections that goes to ledger hosts: each is used by many clients in turn.
pub(super) const UPSTREAM_SHARE: f64 = 0.3;

/// Divides the descriptors among clients, ledger hosts and the console.
pub(super) fn divide(sockets: usize) -> Limits {
    let connections = sockets.saturating_sub(RESERVED) as f64;
    let (from, each, most) = MORE_CALLERS;
    let more_callers = (sockets.saturating_sub(from) / each).min(most);
    Limits {
        clients: ((connections * (1.0 - UPSTREAM_SHARE)) as usize).saturating_sub(more_callers),
        upstream: (connections * UPSTREAM_SHARE) as usize,
        callers: CALLERS + more_callers,
        streams: 0,
    }
}

/// The same with further client listeners, and with other members to speak with.
pub(super) fn divide_with(sockets: usize, more_listeners: usize, peers: bool) -> Limits {
    let limits = divide(sockets);
    let (each, least, most) = STREAMS;
    let streams = if peers { (sockets / each).clamp(least, most) } else { 0 };
    let station = if peers { STATION + 2 * streams } else { 0 };
    Limits { clients: limits.clients.saturating_sub(more_listeners + station), streams, ..limits }
}
