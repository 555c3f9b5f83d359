//! Sessions with other processes, and open challenges.
//!
//! A process is identified by its name and incarnation nonce. It gets a session once it has answered a
//! challenge, so a recorded message is never accepted, not even by a process that has just started.

use super::replay_window::{Arrival, ReplayWindow};
use super::DropReason;
use crate::interface::Timestamp;
use crate::membership::member::MemberMessage;
use crate::membership::view::{Identity, Name};
use std::collections::BTreeMap;

/// Maximum number of open challenges; the oldest one is dropped for a new one.
pub(super) const MAX_CHALLENGES: usize = 64;
/// Maximum number of sessions; the one with the process silent for longest is dropped for a new one.
const MAX_SESSIONS: usize = 4_096;
/// Minimum time between two challenges to one process.
const CHALLENGE_INTERVAL_US: i64 = 200_000;

/// The identity of a process: its name and incarnation nonce.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ProcessId {
    pub name: Name,
    pub incarnation_nonce: u64,
}

/// A message held until its sender answers a challenge; `None` if the frame that caused the challenge had no
/// message for the member.
pub(super) type PendingMessage = Option<(Identity, MemberMessage)>;

/// A challenge that was not answered yet.
struct OpenChallenge {
    nonce: u64,
    sent_at: Timestamp,
    /// The message that caused the challenge.
    pending: PendingMessage,
}

/// A process that has answered a challenge.
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
    /// Accepts a sequence number from a process with a session. Returns `None` if there is no session.
    ///
    /// # Errors
    /// [`DropReason::Replayed`] if the number was received before or is too old to be tracked.
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

    /// Returns whether a process was challenged so recently that it is not challenged again yet.
    pub fn is_challenged(&self, now: Timestamp, process: &ProcessId) -> bool {
        let challenge = self.challenges.get(process);
        challenge.is_some_and(|challenge| now.0 - challenge.sent_at.0 < CHALLENGE_INTERVAL_US)
    }

    /// Records a new challenge in place of an earlier one to the same process.
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

    /// Opens a session with a process that has answered its challenge. Returns the message held until then.
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
