//! The pipeline of one client connection: requests whose answers have not been written yet, which of them may
//! run now, and the time by which each has to be answered.
//!
//! Answers are written in the order of their requests (PostgreSQL protocol 3, "Pipelining"), so a slow
//! request delays the answers behind it. Each request therefore has an *effective deadline*: the earliest
//! deadline among its own and those of all requests behind it, less the time that it takes to write the
//! answers in between. A request is given up at its effective deadline, but never earlier: until then the
//! requests behind it can still be answered in time.
//!
//! Requests run concurrently unless they conflict ([`Access::conflicts_with`]), that is, unless they use the
//! same key of the same group and at least one of them writes. Conflicting requests run in order, so a read
//! sees the write that was sent ahead of it.
//!
//! The module does no I/O and reads no clock: the caller reads requests, executes them and writes the
//! answers.
//!
//! | file | contents |
//! | --- | --- |
//! | `mod.rs` | the request to run next, effective deadlines, the order of answers |
//! | `access.rs` | conflicts between requests |
//! | `entry.rs` | the state of one request or answer |
//! | `limits.rs` | limits on the pipeline of one connection |

mod access;
mod entry;
mod limits;

pub use access::Access;
pub use limits::PipelineLimits;

use crate::interface::{RequestId, Timestamp};
use entry::{Entry, EntryState};
use std::collections::VecDeque;

/// The properties of a request that the pipeline uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PipelinedRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// The key that the request reads or writes; without one it conflicts with no other request.
    pub access: Option<Access>,
    /// Time at which the client stops waiting for the answer.
    pub deadline: Timestamp,
    /// Size of the request in bytes while it waits to run.
    pub bytes: usize,
}

/// A request that the caller has to execute now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedRequest<R> {
    /// Identifier of the request.
    pub id: RequestId,
    /// Whether requests ahead of this one are still in the pipeline.
    pub is_behind_others: bool,
    /// Effective deadline at the start.
    pub effective_deadline: Timestamp,
    /// The request itself.
    pub request: R,
}

/// An effective deadline that has become earlier since the request was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShortenedDeadline {
    /// The request.
    pub id: RequestId,
    /// The new effective deadline.
    pub effective_deadline: Timestamp,
}

/// The next answer to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadyAnswer<A> {
    /// The answered request; `None` for an answer that [`Pipeline::push_answer`] added.
    pub id: Option<RequestId>,
    /// The answer itself.
    pub answer: A,
}

/// The requests of one connection in the order of their arrival; `R` is a request, `A` an answer.
#[derive(Debug)]
pub struct Pipeline<R, A> {
    entries: VecDeque<Entry<R, A>>,
    limits: PipelineLimits,
    /// Number of requests that were started and have no answer yet.
    running: usize,
    /// Size of the requests that wait to run, in bytes.
    waiting_bytes: usize,
    /// Whether an entry was added since the last call of [`Self::take_shortened_deadlines`].
    has_grown: bool,
}

impl<R, A> Pipeline<R, A> {
    /// Returns an empty pipeline.
    pub fn new(limits: PipelineLimits) -> Self {
        Self { entries: VecDeque::new(), limits, running: 0, waiting_bytes: 0, has_grown: false }
    }

    /// Returns whether all answers have been taken.
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

    /// Returns the size of the requests that wait to run, in bytes.
    pub fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// Adds a request behind all others.
    pub fn push(&mut self, pipelined: PipelinedRequest, request: R) {
        self.has_grown = true;
        self.waiting_bytes += pipelined.bytes;
        self.entries.push_back(Entry::waiting(pipelined, request));
    }

    /// Adds an answer that is known already, such as an error, to be written in its turn and by this
    /// deadline.
    pub fn push_answer(&mut self, answer: A, deadline: Timestamp) {
        self.has_grown = true;
        self.entries.push_back(Entry::answered(answer, deadline));
    }

    /// Starts the first request that may run now. Returns `None` if there is none or the limit on running
    /// requests is reached.
    pub fn start_next(&mut self) -> Option<StartedRequest<R>> {
        let index = self.next_to_start()?;
        let effective_deadline = self.effective_deadline(index);
        let entry = self.entries.get_mut(index)?;
        let state = std::mem::replace(&mut entry.state, EntryState::Running { effective_deadline });
        let EntryState::Waiting(request) = state else { return None };
        self.running += 1;
        self.waiting_bytes -= entry.bytes;
        Some(StartedRequest { id: entry.id?, is_behind_others: index > 0, effective_deadline, request })
    }

    /// Puts a started request back to wait again, because it could not be executed now.
    pub fn requeue(&mut self, id: RequestId, request: R) {
        let Some(index) = self.position(id) else { return };
        let entry = &mut self.entries[index];
        if entry.is_running() {
            entry.state = EntryState::Waiting(request);
            self.running -= 1;
            self.waiting_bytes += entry.bytes;
        }
    }

    /// Returns the running requests whose effective deadlines have become earlier since the last call.
    pub fn take_shortened_deadlines(&mut self) -> Vec<ShortenedDeadline> {
        let mut shortened = Vec::new();
        if !std::mem::take(&mut self.has_grown) || self.running == 0 || self.entries.len() < 2 {
            return shortened;
        }
        let mut earliest = Timestamp(i64::MAX);
        for entry in self.entries.iter_mut().rev() {
            earliest = entry.effective_deadline(earliest);
            let (EntryState::Running { effective_deadline }, Some(id)) = (&mut entry.state, entry.id) else {
                continue;
            };
            if earliest < *effective_deadline {
                *effective_deadline = earliest;
                shortened.push(ShortenedDeadline { id, effective_deadline: earliest });
            }
        }
        shortened
    }

    /// Records the answer to a request, to be written in its turn. Returns `false` if the request is unknown
    /// or has an answer already.
    pub fn finish(&mut self, id: RequestId, answer: A) -> bool {
        let Some(index) = self.position(id) else { return false };
        let entry = &mut self.entries[index];
        match entry.state {
            EntryState::Answered(_) => return false,
            EntryState::Running { .. } => self.running -= 1,
            EntryState::Waiting(_) => self.waiting_bytes -= entry.bytes,
        }
        entry.state = EntryState::Answered(answer);
        true
    }

    /// Ends the first request that has no answer yet with `answer`, because its client has cancelled it.
    /// Returns its identifier if it was running.
    pub fn cancel_first(&mut self, answer: A) -> Option<RequestId> {
        let entry = self.entries.iter().find(|entry| !entry.is_answered())?;
        let (id, was_running) = (entry.id?, entry.is_running());
        self.finish(id, answer);
        was_running.then_some(id)
    }

    /// Removes all requests, because the client has cancelled them: none gets an answer. Returns those that
    /// were running.
    pub fn cancel_all(&mut self) -> Vec<RequestId> {
        let running = self.running_ids();
        self.entries.clear();
        (self.running, self.waiting_bytes) = (0, 0);
        running
    }

    /// Ends each request that has no answer yet with a value of `answer`, because the client has left.
    /// Returns those that were running.
    pub fn abandon(&mut self, mut answer: impl FnMut() -> A) -> Vec<RequestId> {
        let running = self.running_ids();
        for entry in self.entries.iter_mut().filter(|entry| !entry.is_answered()) {
            entry.state = EntryState::Answered(answer());
        }
        (self.running, self.waiting_bytes) = (0, 0);
        running
    }

    /// Takes the next answer in the order of requests; `None` while it is not known.
    pub fn pop_answer(&mut self) -> Option<ReadyAnswer<A>> {
        if !self.entries.front()?.is_answered() {
            return None;
        }
        let entry = self.entries.pop_front()?;
        let EntryState::Answered(answer) = entry.state else { return None };
        Some(ReadyAnswer { id: entry.id, answer })
    }

    /// Returns the index of the first request that waits and conflicts with no unanswered request ahead of
    /// it.
    fn next_to_start(&self) -> Option<usize> {
        if self.running >= self.limits.max_running {
            return None;
        }
        let mut indices = 0..self.entries.len();
        indices.find(|index| self.entries[*index].is_waiting() && !self.has_conflict_ahead(*index))
    }

    fn has_conflict_ahead(&self, index: usize) -> bool {
        let Some(access) = self.entries[index].access else { return false };
        let unanswered = self.entries.iter().take(index).filter(|entry| !entry.is_answered());
        unanswered.filter_map(|entry| entry.access).any(|ahead| access.conflicts_with(ahead))
    }

    fn effective_deadline(&self, index: usize) -> Timestamp {
        let entries = self.entries.iter().skip(index).rev();
        entries.fold(Timestamp(i64::MAX), |earliest, entry| entry.effective_deadline(earliest))
    }

    fn running_ids(&self) -> Vec<RequestId> {
        let running = self.entries.iter().filter(|entry| entry.is_running());
        running.filter_map(|entry| entry.id).collect()
    }

    fn position(&self, id: RequestId) -> Option<usize> {
        self.entries.iter().position(|entry| entry.id == Some(id))
    }
}
