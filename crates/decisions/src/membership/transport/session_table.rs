//! The processes that this one speaks with, and those that it has challenged.
//!
//! A process is known by its name and incarnation nonce. It is spoken with once it has answered a challenge, so a
//! recording is never accepted, also not by a process that has just started.

use super::replay_window::{Arrival, ReplayWindow};
use super::DropReason;
use crate::interface::Timestamp;
use crate::membership::member::MemberMessage;
use crate::membership::view::{Identity, Name};
use std::collections::BTreeMap;

/// Bound on the processes that were challenged and have not answered; the oldest challenge is dropped for a new one.
pub(super) const MAX_CHALLENGES: usize = 64;
/// Bound on the processes that are spoken with; the one that was silent for longest is dropped for a new one.
const MAX_SESSIONS: usize = 4_096;
/// A process is challenged again after this time.
const CHALLENGE_INTERVAL_US: i64 = 200_000;

/// A process by its name and incarnation nonce.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ProcessId {
    pub name: Name,
    pub incarnation_nonce: u64,
}

/// A message that waits for its sender to answer a challenge.
pub(super) type PendingMessage = Option<(Identity, MemberMessage)>;

struct OpenChallenge {
    nonce: u64,
    sent_at: Timestamp,
    /// The message that caused the challenge.
    pending: PendingMessage,
}

struct Session {
    replay_window: ReplayWindow,
    last_heard_at: Timestamp,
}

/// Sessions and open challenges.
#[derive(Default)]
pub(super) struct SessionTable {
    sessions: BTreeMap<ProcessId, Session>,
    challenges: BTreeMap<ProcessId, OpenChallenge>,
}

impl SessionTable {
    /// Accepts a sequence number of a process with a session. Returns `None` if there is no session.
    ///
    /// # Errors
    /// [`DropReason::Replayed`] if the number was received before or is too old to tell.
    pub fn accept(
        &mut self,
        now: Timestamp,
        process: &ProcessId,
        sequence: u64,
    ) -> Option<Result<Arrival, DropReason>> {
        let session = self.sessions.get_mut(process)?;
        let Some(arrival) = session.replay_window.accept(sequence) else {
            return Some(Err(DropReason::Replayed));
        };
        session.last_heard_at = now;
        Some(Ok(arrival))
    }

    /// Returns whether a process was challenged so lately that it is not challenged again.
    pub fn is_challenged(&self, now: Timestamp, process: &ProcessId) -> bool {
        let challenge = self.challenges.get(process);
        challenge.is_some_and(|challenge| now.0 - challenge.sent_at.0 < CHALLENGE_INTERVAL_US)
    }

    /// Opens a challenge, in place of an earlier one to the same process.
    pub fn open_challenge(
        &mut self,
        now: Timestamp,
        process: ProcessId,
        nonce: u64,
        pending: PendingMessage,
    ) {
        evict_oldest(&mut self.challenges, MAX_CHALLENGES, |challenge| challenge.sent_at);
        self.challenges.insert(process, OpenChallenge { nonce, sent_at: now, pending });
    }

    /// Opens a session with a process that answers its challenge. Returns the message that waited for that.
    ///
    /// # Errors
    /// [`DropReason::Replayed`] if the nonce is not that of an open challenge.
    pub fn complete_challenge(
        &mut self,
        now: Timestamp,
        process: ProcessId,
        nonce: u64,
        sequence: u64,
    ) -> Result<PendingMessage, DropReason> {
        if self.challenges.get(&process).is_none_or(|challenge| challenge.nonce != nonce) {
            return Err(DropReason::Replayed);
        }
        let pending = self.challenges.remove(&process).and_then(|challenge| challenge.pending);
        evict_oldest(&mut self.sessions, MAX_SESSIONS, |session| session.last_heard_at);
        let replay_window = ReplayWindow::starting_at(sequence);
        self.sessions.insert(process, Session { replay_window, last_heard_at: now });
        Ok(pending)
    }

    #[cfg(test)]
    pub fn challenge_count(&self) -> usize {
        self.challenges.len()
    }

    #[cfg(test)]
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }
}

/// Removes the entry with the earliest time if there are `capacity` of them.
pub(super) fn evict_oldest<K: Ord + Clone, V>(
    entries: &mut BTreeMap<K, V>,
    capacity: usize,
    time_of: impl Fn(&V) -> Timestamp,
) {
    if entries.len() >= capacity {
        let oldest = entries.iter().min_by_key(|(_, entry)| time_of(entry)).map(|(key, _)| key.clone());
        oldest.map(|key| entries.remove(&key));
    }
}
