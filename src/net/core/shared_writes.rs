//! The core actor's use of the session log: what other processes of the same proxy have written counts before
//! a session's read is decided on, and they learn of each write before it is sent and before it is answered.

use super::Core;
use crate::interface::{Event, Freshness, LogPosition, SessionWrite, WriteProgress};
use crate::net::messages::Request;
use crate::net::session_log::LogEntry;

impl Core {
    /// Appends a write to the session log, with positions on the hosts' clock.
    pub(super) fn share_write(&mut self, write: SessionWrite) {
        let Some(log) = &mut self.session_log else { return };
        let write = with_position(write, |position| self.host_clock.to_host_commit(position));
        if let Err(error) = log.append(write) {
            tracing::error!(%error, "write of a session not shared with other processes");
        }
    }

    /// Notifies the router of what other processes have written, if the request is a session's read.
    pub(super) async fn follow_shared_writes(&mut self, request: &Request) {
        let class = self.config.settings.classes.get(request.class);
        let depends_on_session = class.is_some_and(|class| class.freshness == Freshness::Session);
        let Some(log) = self.session_log.as_mut().filter(|_| depends_on_session) else { return };
        let mut entries = Vec::new();
        if let Err(error) = log.read_new(&mut entries) {
            tracing::error!(%error, "writes of other processes could not be read");
            entries.push(LogEntry::AllMissed);
        }
        for entry in entries {
            let event = self.shared_write_event(entry);
            self.notify_router(event).await;
        }
    }

    fn shared_write_event(&self, entry: LogEntry) -> Event {
        let to_local = |position| self.host_clock.to_local_commit(position);
        match entry {
            LogEntry::Write(write) => Event::WriteShared(with_position(write, to_local)),
            LogEntry::Missed(position) => Event::SharedWritesMissed(to_local(position)),
            LogEntry::AllMissed => Event::SharedWritesMissed(LogPosition(self.clock.now().0)),
        }
    }
}

/// Returns the write with its position converted to another clock.
fn with_position(write: SessionWrite, convert: impl FnOnce(LogPosition) -> LogPosition) -> SessionWrite {
    let progress = match write.progress {
        WriteProgress::Committed(position) => WriteProgress::Committed(convert(position)),
        progress => progress,
    };
    SessionWrite { progress, ..write }
}
