//! The kind of peer at the other end of each descriptor, by the port that it was accepted at or connected to.

use crate::plan::{CONSOLE, DISCOVERY};
use std::sync::atomic::{AtomicU8, Ordering::Relaxed};
use std::sync::OnceLock;

/// The kind of peer at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Kind {
    /// A client.
    Client = 1,
    /// An operator, at the console.
    Console = 2,
    /// A ledger host.
    Host = 3,
    /// The discovery service.
    Discovery = 4,
}

impl Kind {
    pub(crate) fn parse(name: &str) -> Option<Self> {
        Some(match name {
            "client" => Self::Client,
            "console" => Self::Console,
            "host" => Self::Host,
            "discovery" => Self::Discovery,
            _ => return None,
        })
    }
}

/// The number of descriptors whose kind is kept. Higher ones have no kind.
const MAX_DESCRIPTORS: usize = 4096;

/// The kinds by descriptor; 0 if unknown.
static KINDS: [AtomicU8; MAX_DESCRIPTORS] = [const { AtomicU8::new(0) }; MAX_DESCRIPTORS];

/// Returns the kind of a descriptor, if it is known.
pub(crate) fn kind(descriptor: i32) -> Option<Kind> {
    let kind = KINDS.get(usize::try_from(descriptor).ok()?)?.load(Relaxed);
    [Kind::Client, Kind::Console, Kind::Host, Kind::Discovery].into_iter().find(|known| *known as u8 == kind)
}

/// Records the kind of a descriptor; `None` forgets it.
pub(crate) fn set(descriptor: i32, kind: Option<Kind>) {
    if let Some(entry) = usize::try_from(descriptor).ok().and_then(|at| KINDS.get(at)) {
        entry.store(kind.map_or(0, |kind| kind as u8), Relaxed);
    }
}

/// Returns the kind of a connection that was accepted at this port.
pub(crate) fn accepted_at(port: u16) -> Kind {
    if port_in(CONSOLE) == Some(port) {
        Kind::Console
    } else {
        Kind::Client
    }
}

/// Returns the kind of a connection to this port.
pub(crate) fn connected_to(port: u16) -> Kind {
    if port_in(DISCOVERY) == Some(port) {
        Kind::Discovery
    } else {
        Kind::Host
    }
}

/// Returns the port of the address in an environment variable: [`CONSOLE`] or [`DISCOVERY`]. Read once.
fn port_in(variable: &'static str) -> Option<u16> {
    static PORTS: OnceLock<[Option<u16>; 2]> = OnceLock::new();
    let read = |name: &str| std::env::var(name).ok()?.rsplit_once(':')?.1.parse().ok();
    let ports = PORTS.get_or_init(|| [read(CONSOLE), read(DISCOVERY)]);
    ports[usize::from(variable == DISCOVERY)]
}
