//! Writes of sessions, as the processes of one proxy tell each other about them.

use super::freshness::LogPosition;
use super::id::SessionId;
use crate::time::TimeDelta;

/// The progress of one attempt of a session's write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionWrite {
    /// The session.
    pub session: SessionId,
    /// The replication group that holds its data.
    pub group: u32,
    /// How far the attempt has come.
    pub progress: WriteProgress,
}

/// How far an attempt of a write has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteProgress {
    /// It is about to be sent.
    Sent {
        /// Time for which it may still be committed, even if its end is never told.
        may_commit_for: TimeDelta,
    },
    /// It was committed at this position. Told before the client gets its answer.
    Committed(LogPosition),
    /// It has ended without a known commit.
    Ended {
        /// Time for which it may still be committed; `None` if it was never executed.
        may_commit_for: Option<TimeDelta>,
    },
}
