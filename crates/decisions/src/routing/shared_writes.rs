//! Writes of sessions that are shared with the other processes of the same proxy, as during an upgrade: a
//! session's read must see its acknowledged writes whichever process took them.
//!
//! The router tells of each attempt of a tracked write before it is sent, and of its end before the client is
//! answered. What other processes tell counts like its own writes.

use super::freshness;
use super::request::{Attempt, TrackedWrite};
use super::{retry, Router};
use crate::interface::{
    Action, AttemptResult, LogPosition, Outcome, SessionWrite, TimeDelta, Timestamp, WriteProgress,
};

impl Router {
    /// Tells that an attempt of a write is about to be sent, for a request with this deadline.
    pub(super) fn share_sent_write(
        &self,
        write: TrackedWrite,
        class: usize,
        deadline: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let may_commit_for = (deadline - self.now).0 + self.settings.classes[class].deadline.0;
        let progress = WriteProgress::Sent { may_commit_for: TimeDelta(may_commit_for) };
        actions.push(share(write, progress));
    }

    /// Records the commit position of a tracked write, or that it may still be committed because no response
    /// came, and tells the other processes. A position ahead of the clock is capped at the latest plausible
    /// one, so that the session still has to see its write.
    pub(super) fn record_write_end(
        &mut self,
        attempt: &Attempt,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(write) = attempt.tracked_write else { return };
        let position = result.position.filter(|_| result.outcome == Outcome::Ok);
        let committed = position.map(|position| self.plausible_commit(position));
        let deadline = self.settings.classes[attempt.class].deadline;
        let may_commit_for = retry::may_have_executed(result.outcome).then_some(deadline);
        let may_commit_until = may_commit_for.map(|span| self.now + span);
        self.sessions.write_ended(write.session, write.group, committed, may_commit_until);
        let progress = position.map_or(WriteProgress::Ended { may_commit_for }, WriteProgress::Committed);
        actions.push(share(write, progress));
    }

    /// Records what another process tells of a session's write.
    pub(super) fn on_shared_write(&mut self, write: &SessionWrite) {
        let SessionWrite { session, group, progress } = *write;
        match progress {
            WriteProgress::Sent { may_commit_for } => {
                self.sessions.remote_write_sent(session, group, self.now, self.now + may_commit_for);
            }
            WriteProgress::Committed(position) => {
                let commit = self.plausible_commit(position);
                self.sessions.record_commit(session, group, commit);
                self.sessions.remote_write_ended(session, group, None);
            }
            WriteProgress::Ended { may_commit_for } => {
                let until = may_commit_for.map(|span| self.now + span);
                self.sessions.remote_write_ended(session, group, until);
            }
        }
    }

    /// Records that writes up to `position` were missed: any session may have made them.
    pub(super) fn on_shared_writes_missed(&mut self, position: LogPosition) {
        let position = self.plausible_commit(position);
        self.sessions.raise_floor(position);
    }

    /// Caps the position of a commit at the latest plausible one.
    fn plausible_commit(&self, position: LogPosition) -> LogPosition {
        position.min(LogPosition(freshness::latest_plausible_time(self.now).0))
    }
}

fn share(write: TrackedWrite, progress: WriteProgress) -> Action {
    Action::ShareWrite(SessionWrite { session: write.session, group: write.group, progress })
}
