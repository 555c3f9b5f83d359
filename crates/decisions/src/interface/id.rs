//! Identifiers of hosts, requests and client sessions.

/// Identifier of a database host, assigned by the caller; it never changes for one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u32);

/// Identifier of a request, assigned by the caller and never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifier of a client session: a hash of its key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

impl SessionId {
    /// Returns the identifier of the session with this key: its FNV-1a hash, the same in every process.
    pub fn of(key: &str) -> Self {
        Self(fnv1a(key.as_bytes()))
    }
}

/// Returns the 64-bit FNV-1a hash of `bytes`, the same in every process.
pub fn fnv1a(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(FNV_OFFSET_BASIS, step)
}
