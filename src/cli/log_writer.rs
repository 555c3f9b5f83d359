//! Writes the log to standard error without blocking the only thread that serves clients: a write to a full
//! pipe whose reader has stalled would block (pipe(7)).
//!
//! A separate thread writes the lines from a bounded buffer. While the buffer is full further lines are
//! dropped, and their number is logged once there is room. If standard error is a regular file, which has no
//! reader, lines are written directly, so that none is lost if the process is killed.

use std::io::{self, Write};
use std::mem;
use std::os::fd::AsFd;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;
use tracing_subscriber::fmt::MakeWriter;

/// Capacity of the buffer, in bytes.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Capacity in bytes to which the buffer is shrunk once it is written.
const MAX_RETAINED_BYTES: usize = 64 * 1024;
/// Time that the process waits at exit for lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// Destination of log lines.
#[derive(Clone, Debug)]
pub(super) enum LogWriter {
    /// Lines are written by the thread that logs them.
    Direct,
    /// Lines are buffered and written by the writer thread.
    Buffered(Arc<LineBuffer>),
}

impl LogWriter {
    /// Returns a writer to standard error. Starts the writer thread if standard error is not a regular file.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn start() -> io::Result<Self> {
        if is_regular_file(&io::stderr()) {
            return Ok(Self::Direct);
        }
        let lines = Arc::new(LineBuffer::new(MAX_BUFFERED_BYTES));
        let source = Arc::clone(&lines);
        thread::Builder::new().name("log".to_owned()).spawn(move || source.write_all_to(io::stderr()))?;
        Ok(Self::Buffered(lines))
    }

    /// Waits until all lines are written, for at most [`FLUSH_TIMEOUT`] in case the reader has stalled.
    pub fn flush_at_exit(&self) {
        if let Self::Buffered(lines) = self {
            lines.wait_until_written(FLUSH_TIMEOUT);
        }
    }
}

fn is_regular_file(stream: &impl AsFd) -> bool {
    let metadata = stream.as_fd().try_clone_to_owned().and_then(|file| std::fs::File::from(file).metadata());
    metadata.is_ok_and(|metadata| metadata.is_file())
}

impl MakeWriter<'_> for LogWriter {
    type Writer = Self;

    fn make_writer(&self) -> Self {
        self.clone()
    }
}

impl Write for LogWriter {
    /// Writes one complete line.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self {
            Self::Direct => io::stderr().write(line),
            Self::Buffered(lines) => {
                lines.push(line);
                Ok(line.len())
            }
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Bounded buffer of lines for the writer thread.
#[derive(Debug)]
pub(super) struct LineBuffer {
    max_bytes: usize,
    state: Mutex<BufferState>,
    /// Notified when there are lines to write.
    has_lines: Condvar,
    /// Notified when all lines are written.
    is_written: Condvar,
}

#[derive(Debug, Default)]
struct BufferState {
    lines: Vec<u8>,
    /// Number of lines that were dropped and not reported yet.
    dropped: u64,
    /// Whether the thread waits for lines, having written all earlier ones.
    is_waiting: bool,
}

impl LineBuffer {
    fn new(max_bytes: usize) -> Self {
        let state = Mutex::default();
        Self { max_bytes, state, has_lines: Condvar::new(), is_written: Condvar::new() }
    }

    fn lock(&self) -> MutexGuard<'_, BufferState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a line, or drops it if there is no room. Never waits for a write.
    fn push(&self, line: &[u8]) {
        let mut state = self.lock();
        if state.lines.len() + line.len() > self.max_bytes {
            state.dropped += 1;
            return;
        }
        state.lines.extend_from_slice(line);
        if mem::take(&mut state.is_waiting) {
            self.has_lines.notify_one();
        }
    }

    /// Writes lines to `output`. Never returns.
    fn write_all_to(&self, mut output: impl Write) {
        let mut lines = Vec::new();
        loop {
            let dropped = self.take_lines(&mut lines);
            // A failed write to the log cannot be reported anywhere.
            let _ = output.write_all(&lines);
            lines.clear();
            lines.shrink_to(MAX_RETAINED_BYTES);
            if dropped > 0 {
                tracing::warn!(lines = dropped, "log lines dropped");
            }
        }
    }

    /// Waits for lines and swaps them with an empty buffer. Returns the number of lines that were dropped
    /// after them.
    fn take_lines(&self, empty: &mut Vec<u8>) -> u64 {
        let mut state = self.lock();
        while state.lines.is_empty() {
            state.is_waiting = true;
            self.is_written.notify_all();
            state = self.has_lines.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        mem::swap(&mut state.lines, empty);
        mem::take(&mut state.dropped)
    }

    /// Waits until all lines are written, for at most `timeout`. Returns whether they are.
    fn wait_until_written(&self, timeout: Duration) -> bool {
        let is_pending = |state: &mut BufferState| !(state.is_waiting && state.lines.is_empty());
        let waited = self.is_written.wait_timeout_while(self.lock(), timeout, is_pending);
        !waited.unwrap_or_else(PoisonError::into_inner).1.timed_out()
    }
}

#[cfg(test)]
mod tests;
