//! A connection to a host, for any protocol.

use super::dialect::{Dialect, Query};
use super::exchange::Exchange;
use super::postgres::Postgres;
use super::tds::Tds;
use super::HostAddress;
use crate::interface::Outcome;
use crate::net::answer_buffers::{ANSWER_BUFFER_BYTES, MAX_UNBUFFERED_BYTES};
use crate::net::clock::sleep_until_some;
use crate::net::local_faults;
use crate::net::messages::Statement;
use crate::net::socket::{peek, Socket};
use crate::protocol::Protocol;
use bytes::{BufMut, Bytes, BytesMut};
use std::io;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{timeout_at, Instant};

/// Capacity in bytes above which a read buffer is released after an answer.
const MAX_RETAINED_BUFFER_BYTES: usize = 4 * 1024;
/// Capacity in bytes of a new connection's read buffer.
const INITIAL_BUFFER_BYTES: usize = 1024;
/// Time after its first byte, and after each further part of its row, within which an answer must be complete. A
/// host may write a value slowly, but does not pause for long.
const ANSWER_COMPLETION_TIMEOUT: Duration = Duration::from_millis(250);

/// Number of the process's next connection. The numbers tell connections apart in log lines.
static NEXT_CONNECTION_ID: AtomicU64 = AtomicU64::new(1);

/// Whether a connection can be reused after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionStatus {
    /// The connection can take another query.
    Reusable,
    /// The connection must be closed.
    Unusable,
}

/// A connection that has logged in. Holds its permit until the connection is closed.
#[derive(Debug)]
pub(super) struct Connection {
    id: u64,
    stream: Socket,
    address: HostAddress,
    dialect: Box<dyn Dialect>,
    read_buffer: BytesMut,
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    /// Connects and logs in, at `deadline` at the latest. Retries after local faults until then.
    ///
    /// # Errors
    /// Returns the attempt's outcome: [`Outcome::NotSent`] for a local fault, which does not count against
    /// the host, and the outcome of the host's fault otherwise.
    pub async fn open(
        address: HostAddress,
        permit: OwnedSemaphorePermit,
        deadline: Instant,
    ) -> Result<Self, Outcome> {
        let connect = || Socket::connect(address.address);
        let connected = local_faults::retry_local_faults(deadline, connect).await;
        let stream = connected.ok_or(Outcome::ConnectFailed)?.map_err(|error| connect_outcome(&error))?;
        let mut connection = Self {
            id: NEXT_CONNECTION_ID.fetch_add(1, Relaxed),
            stream,
            address,
            dialect: new_dialect(address.protocol),
            read_buffer: BytesMut::with_capacity(INITIAL_BUFFER_BYTES),
            _permit: permit,
        };
        timeout_at(deadline, connection.log_in()).await.unwrap_or(Err(Outcome::ConnectFailed))?;
        Ok(connection)
    }

    async fn log_in(&mut self) -> Result<(), Outcome> {
        let failed = |_: io::Error| Outcome::ConnectFailed;
        let mut output = BytesMut::new();
        self.dialect.start_login(&mut output);
        loop {
            if !output.is_empty() {
                self.stream.write_all(&output.split()).await.map_err(failed)?;
            }
            if self.stream.read_buf(&mut self.read_buffer).await.map_err(failed)? == 0 {
                return Err(Outcome::ConnectFailed);
            }
            if self.dialect.continue_login(&mut self.read_buffer, &mut output)? {
                // Bytes after the login would be read as the first query's answer.
                return if self.read_buffer.is_empty() { Ok(()) } else { Err(Outcome::ConnectFailed) };
            }
        }
    }

    /// Returns the connection's number in log lines.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Returns the host's address.
    pub fn address(&self) -> HostAddress {
        self.address
    }

    /// Returns whether an idle connection is open and has nothing to read. Peeks at the socket, since the
    /// runtime may not have noticed yet that it was closed.
    pub fn is_open_and_silent(&self) -> bool {
        matches!(peek(&self.stream), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Writes a query and reads the answer into `exchange`. Calls `on_written` once the query's last byte is
    /// written.
    pub async fn query(
        &mut self,
        query: &Query<'_>,
        exchange: &mut Exchange,
        on_written: impl FnOnce(),
    ) -> ConnectionStatus {
        let status = self.exchange(query, exchange, on_written).await;
        // Hundreds of idle connections must not each keep a buffer for the longest answer. The buffer of a
        // large row is kept until the row is forwarded.
        if self.read_buffer.capacity() > MAX_RETAINED_BUFFER_BYTES && exchange.large_row_bytes.is_none() {
            self.read_buffer = BytesMut::new();
        }
        status
    }

    /// Removes the buffered part of a message of `length` bytes and returns it.
    pub fn take_buffered(&mut self, length: usize) -> BytesMut {
        let buffered = self.read_buffer.len().min(length);
        self.read_buffer.split_to(buffered)
    }

    /// Reads at most `limit` bytes of a message. Returns no bytes once the host has closed the connection.
    pub async fn read_chunk(&mut self, limit: usize) -> io::Result<Bytes> {
        let mut chunk = BytesMut::with_capacity(limit).limit(limit);
        self.stream.read_buf(&mut chunk).await?;
        Ok(chunk.into_inner().freeze())
    }

    /// Reads the part of an answer that follows a forwarded row.
    pub async fn read_remainder(&mut self, exchange: &mut Exchange) -> ConnectionStatus {
        loop {
            if let Some(status) = self.dialect.read_answer(&mut self.read_buffer, exchange) {
                return status;
            }
            if !matches!(self.stream.read_buf(&mut self.read_buffer).await, Ok(1..)) {
                return ConnectionStatus::Unusable;
            }
        }
    }

    async fn exchange(
        &mut self,
        query: &Query<'_>,
        exchange: &mut Exchange,
        on_written: impl FnOnce(),
    ) -> ConnectionStatus {
        let encoded = self.dialect.encode_query(query);
        exchange.write_started_at = Some(Instant::now());
        // The whole message is written at once: a part of it would leave the host waiting for the rest of the
        // query.
        for part in encoded.parts() {
            if self.stream.write_all(part).await.is_err() {
                return ConnectionStatus::Unusable;
            }
        }
        exchange.written_at = Some(Instant::now());
        on_written();
        drop(encoded);
        self.read_answer(exchange).await
    }

    /// Returns whether the encoded form of a statement is long enough to need a buffer.
    pub fn needs_buffer(&self, statement: &Statement) -> bool {
        self.dialect.copies_statements() && statement.text.len() > MAX_UNBUFFERED_BYTES
    }

    /// Makes room for more of an answer: one that is beyond the usual length waits for a buffer. Returns
    /// whether it did.
    async fn make_room(&mut self, exchange: &mut Exchange) -> bool {
        let held = self.read_buffer.capacity() + self.dialect.buffered_bytes();
        if self.read_buffer.len() < self.read_buffer.capacity() || held <= MAX_UNBUFFERED_BYTES / 2 {
            return false;
        }
        let has_waited = exchange.acquire_buffer().await;
        self.read_buffer.reserve(ANSWER_BUFFER_BYTES.saturating_sub(held));
        has_waited
    }

    async fn read_answer(&mut self, exchange: &mut Exchange) -> ConnectionStatus {
        let mut complete_by = None;
        let mut has_begun = false;
        loop {
            if let Some(status) = self.dialect.read_answer(&mut self.read_buffer, exchange) {
                return status;
            }
            let is_within_row = has_begun && self.dialect.is_within_row(&self.read_buffer, exchange);
            let has_waited = self.make_room(exchange).await;
            if is_within_row || has_waited || (has_begun && complete_by.is_none()) {
                complete_by = Some(Instant::now() + ANSWER_COMPLETION_TIMEOUT);
            }
            // While bytes keep arriving the timer below is never polled.
            if complete_by.is_some_and(|complete_by| Instant::now() >= complete_by) {
                return incomplete(exchange);
            }
            tokio::select! {
                biased;
                result = self.stream.read_buf(&mut self.read_buffer) => match result {
                    Ok(0) | Err(_) => return ConnectionStatus::Unusable,
                    Ok(bytes) => {
                        exchange.bytes_read += bytes;
                        has_begun = true;
                    }
                },
                () = sleep_until_some(complete_by) => return incomplete(exchange),
            }
        }
    }
}

/// Ends the reading of an answer that is not complete in time; a result that it has brought counts.
fn incomplete(exchange: &mut Exchange) -> ConnectionStatus {
    if !exchange.has_result() {
        exchange.invalidate();
    }
    ConnectionStatus::Unusable
}

fn connect_outcome(error: &io::Error) -> Outcome {
    if local_faults::is_local_fault(error) {
        Outcome::NotSent
    } else {
        Outcome::ConnectFailed
    }
}

fn new_dialect(protocol: Protocol) -> Box<dyn Dialect> {
    match protocol {
        Protocol::Postgres => Box::new(Postgres),
        Protocol::Tds => Box::new(Tds::new()),
    }
}

#[cfg(test)]
mod tests;
