//! The requests of one client connection whose answers are not written yet: which of them may run now, and by when each
//! has to be answered.
//!
//! Answers are written in the order of their requests (PostgreSQL protocol 3, "Pipelining"), so a slow request delays the
//! answers behind it. Each request therefore has an *effective deadline*: the earliest deadline among its own and those of
//! all requests behind it, less the time that it takes to write the answers in between. A request is given up at its
//! effective deadline and never before, so that it is not sacrificed while the requests behind it can still be met.
//!
//! Requests run concurrently unless they conflict ([`Access::conflicts_with`]): they concern the same key of the same group
//! and at least one of them writes. Conflicting requests run in order, so a read sees the write that was sent ahead of it.
//!
//! No I/O and no clock: the caller reads requests, executes them and writes the answers.
//!
//! | file | decides |
//! | --- | --- |
//! | `mod.rs` | which request runs next, effective deadlines, the order of answers |
//! | `access.rs` | which requests conflict |
//! | `entry.rs` | the state of one request |
//! | `limits.rs` | how much one connection may have in its pipeline |

mod access;
mod entry;
mod limits;

pub use access::Access;
pub use limits::PipelineLimits;

use crate::interface::{RequestId, Timestamp};
use entry::{Entry, EntryState};
use std::collections::VecDeque;

/// A request as the pipeline sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PipelinedRequest {
    /// Its number.
    pub id: RequestId,
    /// What it reads or writes, if it names a key: without one it conflicts with nothing.
    pub access: Option<Access>,
    /// When its client stops waiting for the answer.
    pub deadline: Timestamp,
    /// Bytes that it takes while it waits to run.
    pub bytes: usize,
}

/// A request that is to run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedRequest<R> {
    /// Its number.
    pub id: RequestId,
    /// Whether requests ahead of it have no written answer yet.
    pub is_behind_others: bool,
    /// Its effective deadline as of now.
    pub effective_deadline: Timestamp,
    /// The request itself.
    pub request: R,
}

/// An effective deadline that has become earlier since the request was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShortenedDeadline {
    /// The request.
    pub id: RequestId,
    /// By when its answer is due now.
    pub effective_deadline: Timestamp,
}

/// An answer whose turn has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadyAnswer<A> {
    /// The request that it answers; `None` for what was answered as it was read.
    pub id: Option<RequestId>,
    /// The answer itself.
    pub answer: A,
}

/// The requests of one connection, in the order in which they came; `R` is a request, `A` an answer.
#[derive(Debug)]
pub struct Pipeline<R, A> {
    entries: VecDeque<Entry<R, A>>,
    limits: PipelineLimits,
    /// Requests that were started and have no answer.
    running: usize,
    /// Bytes of the requests that wait to run.
    waiting_bytes: usize,
    /// Whether an entry was added since [`Self::take_shortened_deadlines`] was last called.
    has_grown: bool,
}

impl<R, A> Pipeline<R, A> {
    /// Returns an empty pipeline.
    pub fn new(limits: PipelineLimits) -> Self {
        Self { entries: VecDeque::new(), limits, running: 0, waiting_bytes: 0, has_grown: false }
    }

    /// Returns whether every answer has been taken.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of requests and answers that have not been taken.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether one more request may be read.
    pub fn has_capacity(&self) -> bool {
        self.entries.len() < self.limits.max_entries && self.waiting_bytes < self.limits.max_waiting_bytes
    }

    /// Returns the number of requests that were started and have no answer yet.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the bytes of the requests that wait to run.
    pub fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// Adds a request behind all others.
    pub fn push(&mut self, pipelined: PipelinedRequest, request: R) {
        self.has_grown = true;
        self.waiting_bytes += pipelined.bytes;
        self.entries.push_back(Entry::waiting(pipelined, request));
    }

    /// Adds an answer that is known already, such as an error, to be written in its turn and by that deadline.
    pub fn push_answer(&mut self, answer: A, deadline: Timestamp) {
        self.has_grown = true;
        self.entries.push_back(Entry::answered(answer, deadline));
    }

    /// Starts the first request that may run now. Returns `None` if there is none, or if as many run as the limits allow.
    pub fn start_next(&mut self) -> Option<StartedRequest<R>> {
        let at = self.next_to_start()?;
        let effective_deadline = self.effective_deadline(at);
        let entry = self.entries.get_mut(at)?;
        let state = std::mem::replace(&mut entry.state, EntryState::Running { effective_deadline });
        let EntryState::Waiting(request) = state else { return None };
        self.running += 1;
        self.waiting_bytes -= entry.bytes;
        Some(StartedRequest { id: entry.id?, is_behind_others: at > 0, effective_deadline, request })
    }

    /// Puts a request back that could not be started after all: it waits to run again.
    pub fn requeue(&mut self, id: RequestId, request: R) {
        let Some(at) = self.position(id) else { return };
        let entry = &mut self.entries[at];
        if entry.is_running() {
            entry.state = EntryState::Waiting(request);
            self.running -= 1;
            self.waiting_bytes += entry.bytes;
        }
    }

    /// Returns the started requests whose effective deadlines have become earlier since this was last called.
    pub fn take_shortened_deadlines(&mut self) -> Vec<ShortenedDeadline> {
        let mut shortened = Vec::new();
        if !std::mem::take(&mut self.has_grown) || self.running == 0 || self.entries.len() < 2 {
            return shortened;
        }
        let mut behind = Timestamp(i64::MAX);
        for entry in self.entries.iter_mut().rev() {
            behind = entry.effective_deadline(behind);
            let (EntryState::Running { effective_deadline }, Some(id)) = (&mut entry.state, entry.id) else {
                continue;
            };
            if behind < *effective_deadline {
                *effective_deadline = behind;
                shortened.push(ShortenedDeadline { id, effective_deadline: behind });
            }
        }
        shortened
    }

    /// Gives a request its answer, to be written in its turn. Returns whether the request was still without one.
    pub fn finish(&mut self, id: RequestId, answer: A) -> bool {
        let Some(at) = self.position(id) else { return false };
        let entry = &mut self.entries[at];
        match entry.state {
            EntryState::Answered(_) => return false,
            EntryState::Running { .. } => self.running -= 1,
            EntryState::Waiting(_) => self.waiting_bytes -= entry.bytes,
        }
        entry.state = EntryState::Answered(answer);
        true
    }

    /// Gives the first request without an answer this one, since its client has cancelled it. Returns its number if it was
    /// running.
    pub fn cancel_first(&mut self, answer: A) -> Option<RequestId> {
        let entry = self.entries.iter().find(|entry| !entry.is_answered())?;
        let (id, was_running) = (entry.id?, entry.is_running());
        self.finish(id, answer);
        was_running.then_some(id)
    }

    /// Removes all requests, which their client has cancelled: none gets an answer. Returns those that were running.
    pub fn cancel_all(&mut self) -> Vec<RequestId> {
        let running = self.running_ids();
        self.entries.clear();
        (self.running, self.waiting_bytes) = (0, 0);
        running
    }

    /// Gives this answer to all requests without one, since their client has left. Returns those that were running.
    pub fn abandon(&mut self, mut answer: impl FnMut() -> A) -> Vec<RequestId> {
        let running = self.running_ids();
        for entry in self.entries.iter_mut().filter(|entry| !entry.is_answered()) {
            entry.state = EntryState::Answered(answer());
        }
        (self.running, self.waiting_bytes) = (0, 0);
        running
    }

    /// Takes the next answer in the order of requests; `None` while it isn't known.
    pub fn pop_answer(&mut self) -> Option<ReadyAnswer<A>> {
        if !self.entries.front()?.is_answered() {
            return None;
        }
        let entry = self.entries.pop_front()?;
        let EntryState::Answered(answer) = entry.state else { return None };
        Some(ReadyAnswer { id: entry.id, answer })
    }

    /// Returns the position of the first request that waits and conflicts with no unanswered request ahead of it.
    fn next_to_start(&self) -> Option<usize> {
        if self.running >= self.limits.max_running {
            return None;
        }
        let mut positions = 0..self.entries.len();
        positions.find(|at| self.entries[*at].is_waiting() && !self.has_conflict_ahead(*at))
    }

    fn has_conflict_ahead(&self, at: usize) -> bool {
        let Some(access) = self.entries[at].access else { return false };
        let unanswered = self.entries.iter().take(at).filter(|entry| !entry.is_answered());
        unanswered.filter_map(|entry| entry.access).any(|ahead| access.conflicts_with(ahead))
    }

    fn effective_deadline(&self, at: usize) -> Timestamp {
        let entries = self.entries.iter().skip(at).rev();
        entries.fold(Timestamp(i64::MAX), |behind, entry| entry.effective_deadline(behind))
    }

    fn running_ids(&self) -> Vec<RequestId> {
        let running = self.entries.iter().filter(|entry| entry.is_running());
        running.filter_map(|entry| entry.id).collect()
    }

    fn position(&self, id: RequestId) -> Option<usize> {
        self.entries.iter().position(|entry| entry.id == Some(id))
    }
}
