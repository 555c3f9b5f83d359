//! One request or answer in a pipeline.

use super::{Access, PipelinedRequest};
use crate::interface::{RequestId, TimeDelta, Timestamp};

/// Time reserved for writing one answer: encoding a value and one system call.
const ANSWER_WRITE_TIME: TimeDelta = TimeDelta(100);

/// How far an entry has come; `R` is a request, `A` an answer.
#[derive(Debug)]
pub(super) enum EntryState<R, A> {
    /// The request was read and has not been started.
    Waiting(R),
    /// The request was started and has to be answered by this effective deadline.
    Running {
        /// The effective deadline as last reported.
        effective_deadline: Timestamp,
    },
    /// The answer is known.
    Answered(A),
}

/// One request or answer, in its place among the others.
#[derive(Debug)]
pub(super) struct Entry<R, A> {
    /// The request's number; `None` for an answer without one.
    pub id: Option<RequestId>,
    /// What the request reads or writes, if it names a key.
    pub access: Option<Access>,
    /// When its client stops waiting.
    pub deadline: Timestamp,
    /// Bytes that it takes while it waits to run.
    pub bytes: usize,
    /// How far it has come.
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

    /// Returns whether it waits to run.
    pub fn is_waiting(&self) -> bool {
        matches!(self.state, EntryState::Waiting(_))
    }

    /// Returns whether it was started and has no answer.
    pub fn is_running(&self) -> bool {
        matches!(self.state, EntryState::Running { .. })
    }

    /// Returns whether its answer is known.
    pub fn is_answered(&self) -> bool {
        matches!(self.state, EntryState::Answered(_))
    }

    /// Returns its effective deadline, where the entry behind it has this one.
    pub fn effective_deadline(&self, behind: Timestamp) -> Timestamp {
        self.deadline.min(Timestamp(behind.0.saturating_sub(ANSWER_WRITE_TIME.as_micros())))
    }
}
