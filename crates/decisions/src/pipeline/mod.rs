//! The requests of one client connection whose answers are not written yet: which of them may run now, and by when each
//! has to be answered.
//!
//! Answers are written in the order of their requests (PostgreSQL protocol 3, "Pipelining"), so a slow request holds up
//! the answers behind it. Each request is therefore due at the earliest deadline among its own and those of all requests
//! behind it, less the time that it takes to write the answers in between: the *effective* deadline. A request is given up
//! at its effective deadline and never before, so it is not sacrificed while the requests behind it can still be met.
//!
//! Requests run beside each other unless they conflict, which they do if they concern the same key of the same group and
//! at least one of them writes: then they run in order, and a read sees the write that was sent ahead of it.
//!
//! No I/O and no clock: the caller reads requests, carries them out and writes the answers.

mod limits;

pub use limits::Limits;

use crate::interface::{RequestId, SessionId, Timestamp};
use std::collections::VecDeque;

/// The time that is kept for writing one answer, in microseconds: an encoder's pass over a value and one system call.
const ANSWER_WRITE_US: i64 = 100;

/// What a request reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Access {
    /// The group that holds the key.
    pub group: u32,
    /// The key, as a hash.
    pub key: SessionId,
    /// Whether the request writes it.
    pub write: bool,
}

impl Access {
    /// Whether the effects of two requests depend on which of them runs first.
    pub fn conflicts_with(self, other: Self) -> bool {
        self.group == other.group && self.key == other.key && (self.write || other.write)
    }
}

/// A request as the pipeline sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
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
pub struct Started<R> {
    /// Its number.
    pub id: RequestId,
    /// Whether requests ahead of it have no answer yet.
    pub behind: bool,
    /// Its effective deadline as of now.
    pub due: Timestamp,
    /// The request itself.
    pub request: R,
}

/// An effective deadline that has become earlier since the request was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tightened {
    /// The request.
    pub id: RequestId,
    /// By when its answer is due now.
    pub due: Timestamp,
}

/// An answer whose turn has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready<A> {
    /// The request that it answers; none for what was answered as it was read.
    pub id: Option<RequestId>,
    /// The answer itself.
    pub answer: A,
}

#[derive(Debug)]
enum State<R, A> {
    Waiting(R),
    Running { due: Timestamp },
    Answered(A),
}

#[derive(Debug)]
struct Entry<R, A> {
    id: Option<RequestId>,
    access: Option<Access>,
    deadline: Timestamp,
    bytes: usize,
    state: State<R, A>,
}

impl<R, A> Entry<R, A> {
    fn is_finished(&self) -> bool {
        matches!(self.state, State::Answered(_))
    }

    /// When it is due if what stands behind it is due at that time.
    fn due(&self, behind: Timestamp) -> Timestamp {
        self.deadline.min(Timestamp(behind.0.saturating_sub(ANSWER_WRITE_US)))
    }
}

/// The requests of one connection, in the order in which they came; `R` is a request, `A` an answer.
#[derive(Debug)]
pub struct Pipeline<R, A> {
    entries: VecDeque<Entry<R, A>>,
    limits: Limits,
    running: usize,
    waiting_bytes: usize,
    /// Whether something came behind the others since their deadlines were last looked at.
    has_grown: bool,
}

impl<R, A> Pipeline<R, A> {
    /// A pipeline without requests.
    pub fn new(limits: Limits) -> Self {
        Self { entries: VecDeque::new(), limits, running: 0, waiting_bytes: 0, has_grown: false }
    }

    /// Whether every answer has been taken.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Requests that have come and whose answers have not been taken.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether one more request may be read.
    pub fn has_room(&self) -> bool {
        self.entries.len() < self.limits.entries && self.waiting_bytes < self.limits.bytes
    }

    /// Requests that were started and have no answer yet.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Bytes of the requests that wait to run.
    pub fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// Adds a request behind all others.
    pub fn push(&mut self, demand: Demand, request: R) {
        self.has_grown = true;
        self.waiting_bytes += demand.bytes;
        self.entries.push_back(Entry {
            id: Some(demand.id),
            access: demand.access,
            deadline: demand.deadline,
            bytes: demand.bytes,
            state: State::Waiting(request),
        });
    }

    /// Adds an answer that is known already, such as an error, to be written in its turn and by that time.
    pub fn push_answer(&mut self, answer: A, deadline: Timestamp) {
        self.has_grown = true;
        let state = State::Answered(answer);
        self.entries.push_back(Entry { id: None, access: None, deadline, bytes: 0, state });
    }

    /// Starts the first request that may run now, if there is one and no more run than may.
    pub fn start_next(&mut self) -> Option<Started<R>> {
        let at = self.next_to_start()?;
        let due = self.effective_deadline(at);
        let entry = self.entries.get_mut(at)?;
        let state = std::mem::replace(&mut entry.state, State::Running { due });
        let State::Waiting(request) = state else { return None };
        self.running += 1;
        self.waiting_bytes -= entry.bytes;
        Some(Started { id: entry.id?, behind: at > 0, due, request })
    }

    /// Puts a request back that could not be started after all: it waits until what is ahead of it has ended.
    pub fn put_back(&mut self, id: RequestId, request: R) {
        let Some(at) = self.position(id) else { return };
        let entry = &mut self.entries[at];
        if matches!(entry.state, State::Running { .. }) {
            entry.state = State::Waiting(request);
            self.running -= 1;
            self.waiting_bytes += entry.bytes;
        }
    }

    /// The started requests whose effective deadlines are earlier than when this was last asked.
    pub fn tightened(&mut self) -> Vec<Tightened> {
        let mut tightened = Vec::new();
        if !std::mem::take(&mut self.has_grown) || self.running == 0 || self.entries.len() < 2 {
            return tightened;
        }
        let mut behind = Timestamp(i64::MAX);
        for entry in self.entries.iter_mut().rev() {
            behind = entry.due(behind);
            let (State::Running { due }, Some(id)) = (&mut entry.state, entry.id) else { continue };
            if behind < *due {
                *due = behind;
                tightened.push(Tightened { id, due: behind });
            }
        }
        tightened
    }

    /// Gives a request its answer, to be written in its turn. Whether the request was still without one.
    pub fn finish(&mut self, id: RequestId, answer: A) -> bool {
        let Some(at) = self.position(id) else { return false };
        let entry = &mut self.entries[at];
        match entry.state {
            State::Answered(_) => return false,
            State::Running { .. } => self.running -= 1,
            State::Waiting(_) => self.waiting_bytes -= entry.bytes,
        }
        entry.state = State::Answered(answer);
        true
    }

    /// Gives the first request without an answer this one, since its client has called it off; its number if it was running.
    pub fn cancel_first(&mut self, answer: A) -> Option<RequestId> {
        let entry = self.entries.iter().find(|entry| !entry.is_finished())?;
        let (id, was_running) = (entry.id?, matches!(entry.state, State::Running { .. }));
        self.finish(id, answer);
        was_running.then_some(id)
    }

    /// Takes all requests out, which their client has called off: none is owed an answer. Those that were running.
    pub fn call_off_all(&mut self) -> Vec<RequestId> {
        let running = self.running_ids();
        self.entries.clear();
        (self.running, self.waiting_bytes) = (0, 0);
        running
    }

    /// Answers all requests that have no answer yet, since nobody waits for theirs any more. Those that were running.
    pub fn abandon(&mut self, mut answer: impl FnMut() -> A) -> Vec<RequestId> {
        let running = self.running_ids();
        for entry in self.entries.iter_mut().filter(|entry| !entry.is_finished()) {
            entry.state = State::Answered(answer());
        }
        (self.running, self.waiting_bytes) = (0, 0);
        running
    }

    /// Takes the next answer if it is known.
    pub fn pop_answer(&mut self) -> Option<Ready<A>> {
        if !self.entries.front()?.is_finished() {
            return None;
        }
        let entry = self.entries.pop_front()?;
        let State::Answered(answer) = entry.state else { return None };
        Some(Ready { id: entry.id, answer })
    }

    /// The first that waits and conflicts with nothing ahead of it that has not ended.
    fn next_to_start(&self) -> Option<usize> {
        if self.running >= self.limits.running {
            return None;
        }
        let waits = |entry: &Entry<R, A>| matches!(entry.state, State::Waiting(_));
        (0..self.entries.len()).find(|at| waits(&self.entries[*at]) && !self.has_conflict_ahead(*at))
    }

    fn has_conflict_ahead(&self, at: usize) -> bool {
        let Some(access) = self.entries[at].access else { return false };
        let unfinished = self.entries.iter().take(at).filter(|entry| !entry.is_finished());
        unfinished.filter_map(|entry| entry.access).any(|ahead| access.conflicts_with(ahead))
    }

    fn effective_deadline(&self, at: usize) -> Timestamp {
        self.entries.iter().skip(at).rev().fold(Timestamp(i64::MAX), |behind, entry| entry.due(behind))
    }

    fn running_ids(&self) -> Vec<RequestId> {
        let running = self.entries.iter().filter(|entry| matches!(entry.state, State::Running { .. }));
        running.filter_map(|entry| entry.id).collect()
    }

    fn position(&self, id: RequestId) -> Option<usize> {
        self.entries.iter().position(|entry| entry.id == Some(id))
    }
}
