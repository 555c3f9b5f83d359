//! The records of the session log as bytes.
//!
//! A record has [`RECORD_BYTES`] bytes, little-endian: its number, the session, a value (a position, or a
//! span of time), the Unix time of writing, the floor, the group, the kind, and a checksum of all that. A
//! record that was never written, is partly overwritten or belongs to another number is not valid.

use crate::interface::{fnv1a, LogPosition, SessionId, SessionWrite, TimeDelta, WriteProgress};

/// Length of a record. No record crosses a page.
pub(super) const RECORD_BYTES: usize = 64;
/// Number of bytes at the front of a record that its checksum covers.
const CHECKED_BYTES: usize = 48;

/// Kinds of records.
mod kind {
    pub const SENT: u32 = 1;
    pub const COMMITTED: u32 = 2;
    /// Ended without a known commit; the write may still be committed.
    pub const UNKNOWN_END: u32 = 3;
    /// Ended without having been executed.
    pub const NOT_EXECUTED: u32 = 4;
}

/// A record of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Record {
    /// Number of the record in its region, from 1.
    pub number: u64,
    /// The write. Positions are on the hosts' clock.
    pub write: SessionWrite,
    /// Time of writing, in microseconds since the Unix epoch.
    pub written_at_us: i64,
    /// Position by which every write was committed whose record is not in the region any more, on the hosts'
    /// clock.
    pub floor: LogPosition,
}

impl Record {
    /// Returns the record as bytes.
    pub fn encode(&self) -> [u8; RECORD_BYTES] {
        let (kind, value) = match self.write.progress {
            WriteProgress::Sent { may_commit_for } => (kind::SENT, may_commit_for.0),
            WriteProgress::Committed(position) => (kind::COMMITTED, position.0),
            WriteProgress::Ended { may_commit_for: Some(span) } => (kind::UNKNOWN_END, span.0),
            WriteProgress::Ended { may_commit_for: None } => (kind::NOT_EXECUTED, 0),
        };
        let fields = [
            self.number.to_le_bytes(),
            self.write.session.0.to_le_bytes(),
            value.to_le_bytes(),
            self.written_at_us.to_le_bytes(),
            self.floor.0.to_le_bytes(),
            (u64::from(kind) << 32 | u64::from(self.write.group)).to_le_bytes(),
        ];
        let mut bytes = [0; RECORD_BYTES];
        bytes[..CHECKED_BYTES].copy_from_slice(fields.as_flattened());
        let checksum = fnv1a(&bytes[..CHECKED_BYTES]).to_le_bytes();
        bytes[CHECKED_BYTES..CHECKED_BYTES + checksum.len()].copy_from_slice(&checksum);
        bytes
    }

    /// Returns the record in `bytes`; `None` if there is no valid one with this number.
    pub fn decode(bytes: &[u8; RECORD_BYTES], number: u64) -> Option<Self> {
        let (fields, _) = bytes.as_chunks::<8>();
        let field = |index: usize| u64::from_le_bytes(fields[index]);
        let checksum_index = CHECKED_BYTES / size_of::<u64>();
        if field(0) != number || field(checksum_index) != fnv1a(&bytes[..CHECKED_BYTES]) {
            return None;
        }
        let (value, group_and_kind) = (field(2) as i64, field(5));
        let may_commit_for = TimeDelta(value);
        let progress = match (group_and_kind >> 32) as u32 {
            kind::SENT => WriteProgress::Sent { may_commit_for },
            kind::COMMITTED => WriteProgress::Committed(LogPosition(value)),
            kind::UNKNOWN_END => WriteProgress::Ended { may_commit_for: Some(may_commit_for) },
            kind::NOT_EXECUTED => WriteProgress::Ended { may_commit_for: None },
            _ => return None,
        };
        let write = SessionWrite { session: SessionId(field(1)), group: group_and_kind as u32, progress };
        Some(Self { number, write, written_at_us: field(3) as i64, floor: LogPosition(field(4) as i64) })
    }

    /// Returns the write with the time for which it may still be committed as of `now_us`, in microseconds
    /// since the Unix epoch. If the wall clock was set back the whole time counts.
    pub fn write_at(&self, now_us: i64) -> SessionWrite {
        let age = now_us.saturating_sub(self.written_at_us).max(0);
        let remaining = |span: TimeDelta| TimeDelta(span.0.saturating_sub(age).max(0));
        let progress = match self.write.progress {
            WriteProgress::Sent { may_commit_for } => {
                WriteProgress::Sent { may_commit_for: remaining(may_commit_for) }
            }
            WriteProgress::Ended { may_commit_for } => {
                WriteProgress::Ended { may_commit_for: may_commit_for.map(remaining) }
            }
            WriteProgress::Committed(_) => self.write.progress,
        };
        SessionWrite { progress, ..self.write }
    }
}
