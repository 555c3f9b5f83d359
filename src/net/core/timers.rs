//! Timers of the core actor: those that the router sets, and one for the final reply to each open request.

use crate::interface::RequestId;
use std::future::poll_fn;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::time::{delay_queue::Key, DelayQueue};

/// Part of a request's timeout that is reserved for the network round trip to the client and for late timers;
/// a tenth of the timeout, if that is less.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);
/// Time before a reply is due at which the proxy itself answers a request that has no answer; a twentieth of
/// the time left, if that is less.
const FINAL_REPLY_MARGIN: Duration = Duration::from_millis(5);

/// Event of a timer that has expired.
#[derive(Debug)]
pub(super) enum ScheduledEvent {
    /// A timer that the router has set, with its token.
    RouterTimer(u64),
    /// The request must be answered now, even if the router has not decided on it.
    FinalReply(RequestId),
    /// The processes at this proxy's address are to be counted.
    ProcessCheck,
}

impl ScheduledEvent {
    /// Returns the event's name in log lines.
    pub fn name(&self) -> &'static str {
        match self {
            Self::RouterTimer(_) => "router timer",
            Self::FinalReply(_) => "final reply",
            Self::ProcessCheck => "process check",
        }
    }
}

/// Identifies the timer of a final reply.
#[derive(Debug)]
pub(super) struct FinalReplyTimer(Key);

/// Owns the timers that are set.
#[derive(Debug, Default)]
pub(super) struct Timers {
    queue: DelayQueue<ScheduledEvent>,
}

impl Timers {
    /// Sets a timer of the router.
    pub fn set_router_timer(&mut self, at: Instant, token: u64) {
        self.queue.insert_at(ScheduledEvent::RouterTimer(token), at);
    }

    /// Sets the timer of a request's final reply.
    pub fn set_final_reply(&mut self, at: Instant, id: RequestId) -> FinalReplyTimer {
        FinalReplyTimer(self.queue.insert_at(ScheduledEvent::FinalReply(id), at))
    }

    /// Sets the timer of the next count of processes.
    pub fn set_process_check(&mut self, at: Instant) {
        self.queue.insert_at(ScheduledEvent::ProcessCheck, at);
    }

    /// Moves a final reply forward to `at` if it is due later. Returns whether it was.
    pub fn bring_forward(&mut self, timer: &FinalReplyTimer, at: Instant) -> bool {
        let is_later = self.queue.deadline(&timer.0) > at;
        if is_later {
            self.queue.reset_at(&timer.0, at);
        }
        is_later
    }

    /// Removes the timer of a request that has been answered.
    pub fn cancel(&mut self, timer: FinalReplyTimer) {
        self.queue.remove(&timer.0);
    }

    /// Returns whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Waits for the next event. Returns `None` at once if no timer is set. Cancel safe.
    pub async fn next(&mut self) -> Option<ScheduledEvent> {
        let expired = poll_fn(|context| self.queue.poll_expired(context)).await;
        expired.map(|expired| expired.into_inner())
    }
}

/// Returns the deadline for attempts of a request that was read at `arrived_at`: early enough for the answer
/// to reach the client before the client's timeout.
pub(super) fn request_deadline(arrived_at: Instant, timeout: Duration) -> Instant {
    arrived_at + timeout.saturating_sub(RESPONSE_MARGIN.min(timeout / 10))
}

/// Returns the time at which the proxy itself answers a request whose reply is due at `reply_due`. `since` is
/// when the request arrived or its reply was brought forward.
pub(super) fn final_reply_at(since: Instant, reply_due: Instant) -> Instant {
    reply_due - FINAL_REPLY_MARGIN.min(reply_due.saturating_duration_since(since) / 20)
}
