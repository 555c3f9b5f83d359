//! One request or answer in a pipeline.

use super::{Access, PipelinedRequest};
use crate::interface::{RequestId, TimeDelta, Timestamp};

/// Time reserved for writing one answer: encoding a value and one system call.
const ANSWER_WRITE_TIME: TimeDelta = TimeDelta(100);

/// State of an entry; `R` is a request, `A` an answer.
#[derive(Debug)]
pub(super) enum EntryState<R, A> {
    /// The request was read, but not started.
    Waiting(R),
    /// The request was started and has to be answered by this effective deadline.
    Running {
        /// The effective deadline as last reported.
        effective_deadline: Timestamp,
    },
    /// The answer is known, but not yet taken from the pipeline.
    Answered(A),
}

/// One request or answer in a pipeline.
#[derive(Debug)]
pub(super) struct Entry<R, A> {
    /// Identifier of the request; `None` for an answer without a request.
    pub id: Option<RequestId>,
    /// The key that the request reads or writes, if it names one.
    pub access: Option<Access>,
    /// Time at which the client stops waiting for the answer.
    pub deadline: Timestamp,
    /// Size of the request in bytes while it waits to run.
    pub bytes: usize,
    /// State of the entry.
    pub state: EntryState<R, A>,
}

impl<R, A> Entry<R, A> {
    /// Returns an entry for a request that waits to run.
    pub fn waiting(pipelined: PipelinedRequest, request: R) -> Self {
        Self {
            id: Some(pipelined.id),
            access: pipelined.access,
            deadline: pipelined.deadline,
            bytes: pipelined.bytes,
            state: EntryState::Waiting(request),
        }
    }

    /// Returns an entry for an answer without a request.
    pub fn answered(answer: A, deadline: Timestamp) -> Self {
        Self { id: None, access: None, deadline, bytes: 0, state: EntryState::Answered(answer) }
    }

    /// Returns whether the request waits to run.
    pub fn is_waiting(&self) -> bool {
        matches!(self.state, EntryState::Waiting(_))
    }

    /// Returns whether the request was started and has no answer yet.
    pub fn is_running(&self) -> bool {
        matches!(self.state, EntryState::Running { .. })
    }

    /// Returns whether the answer is known.
    pub fn is_answered(&self) -> bool {
        matches!(self.state, EntryState::Answered(_))
    }

    /// Returns the effective deadline of the entry, given that of the entry behind it.
    pub fn effective_deadline(&self, deadline_behind: Timestamp) -> Timestamp {
        self.deadline.min(Timestamp(deadline_behind.0.saturating_sub(ANSWER_WRITE_TIME.as_micros())))
    }
}
