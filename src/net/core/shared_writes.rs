//! The core actor's exchange of session writes with the other processes of the same proxy: what they have
//! written counts before a session's read is decided on, and they learn of each write before it is sent and
//! before it is answered.
//!
//! A process that listens at the proxy's address and does not share the session log may take any write: one of
//! an earlier version during an upgrade, or any process if the log is not available. While there is one, a
//! session's read has to see all commits.

use super::Core;
use crate::interface::{Event, Freshness, LogPosition, SessionWrite, TimeDelta, WriteProgress};
use crate::net::frontend::port_group;
use crate::net::messages::Request;
use crate::net::session_log::{LogEntry, SessionLog};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two counts of the processes at the proxy's address.
const PROCESS_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after a count for which a process that shares nothing is taken into account: the next count may be
/// late.
const UNSHARED_SPAN: TimeDelta = TimeDelta::from_millis(1_000);

/// The exchange of session writes with other processes.
#[derive(Debug)]
pub(crate) struct SharedWrites {
    /// The log; `None` if it is not available.
    log: Option<SessionLog>,
    /// The address of the proxy's first listener, which all its processes have in common.
    address: SocketAddr,
    /// Whether the last count found a process that does not share the log.
    has_unshared: bool,
}

impl SharedWrites {
    /// Returns the exchange of a proxy at this address.
    pub fn new(log: Option<SessionLog>, address: SocketAddr) -> Self {
        Self { log, address, has_unshared: false }
    }

    /// Returns whether another process listens at the address and does not share the log.
    ///
    /// # Errors
    /// Returns an error if the processes cannot be counted.
    fn find_unshared(&self) -> io::Result<bool> {
        let listening = port_group::members(self.address)?.count();
        // Each process has one listener there. Locks are examined only if there is another one.
        if listening < 2 {
            return Ok(false);
        }
        let sharing = self.log.as_ref().map_or(Ok(0), SessionLog::other_processes)?;
        Ok(listening > 1 + sharing)
    }
}

impl Core {
    /// Appends a write to the session log, with positions on the hosts' clock.
    pub(super) fn share_write(&mut self, write: SessionWrite) {
        let Some(log) = self.shared_writes.as_mut().and_then(|shared| shared.log.as_mut()) else { return };
        let write = with_position(write, |position| self.host_clock.to_host_commit(position));
        if let Err(error) = log.append(write) {
            tracing::error!(%error, "write of a session not shared with other processes");
        }
    }

    /// Notifies the router of what other processes have written, if the request is a session's read.
    pub(super) async fn follow_shared_writes(&mut self, request: &Request) {
        let class = self.config.settings.classes.get(request.class);
        let depends_on_session = class.is_some_and(|class| class.freshness == Freshness::Session);
        if depends_on_session {
            self.read_shared_writes().await;
        }
    }

    /// Notifies the router of what other processes have written since the last call.
    async fn read_shared_writes(&mut self) {
        let Some(log) = self.shared_writes.as_mut().and_then(|shared| shared.log.as_mut()) else { return };
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
            LogEntry::AllMissed => self.all_writes_missed(),
        }
    }

    fn all_writes_missed(&self) -> Event {
        Event::SharedWritesMissed(LogPosition(self.clock.now().0))
    }

    /// Counts the processes at the proxy's address, notifies the router if one of them shares no writes, and
    /// sets the timer for the next count. Reads the log too, so that no read has to catch up with much of it.
    /// Does nothing if the proxy does not track writes.
    pub(super) async fn check_processes(&mut self) {
        self.read_shared_writes().await;
        let Some(shared) = &mut self.shared_writes else { return };
        let has_unshared = shared.find_unshared().unwrap_or_else(|error| {
            tracing::debug!(%error, "processes at the address not counted");
            false
        });
        let had_unshared = std::mem::replace(&mut shared.has_unshared, has_unshared);
        if has_unshared != had_unshared {
            let address = shared.address;
            tracing::warn!(%address, has_unshared, "another process shares no writes of sessions");
        }
        if has_unshared {
            self.notify_router(Event::UnsharedWrites(UNSHARED_SPAN)).await;
        } else if had_unshared {
            let event = self.all_writes_missed();
            self.notify_router(event).await;
        }
        self.timers.set_process_check(Instant::now() + PROCESS_CHECK_INTERVAL);
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
