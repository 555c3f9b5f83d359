//! A connection to a ledger host, in whatever protocol that speaks.

use super::dialect::{Ask, Dialect};
use super::exchange::Exchange;
use super::postgres::Postgres;
use super::tds::Tds;
use crate::interface::Outcome;
use crate::net::local_faults;
use crate::net::socket::peek;
use crate::net::socket::Socket;
use crate::protocol::Protocol;
use bytes::{BufMut, Bytes, BytesMut};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{sleep_until, timeout_at, Instant};

/// A buffer that has grown beyond this is given back after its answer.
const KEPT: usize = 4 * 1024;
/// An answer whose first byte has come is there whole after this time, or never will be: hosts write it at once.
const REST: Duration = Duration::from_millis(250);

/// Where a ledger host is, and what it speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Place {
    pub address: SocketAddr,
    pub protocol: Protocol,
}

#[derive(Debug)]
pub(super) struct Connection {
    stream: Socket,
    place: Place,
    dialect: Box<dyn Dialect>,
    read: BytesMut,
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    /// Opens a connection until that moment; it is ready for its first request. What this machine lacks for it is waited
    /// for, and is no fault of the host's.
    pub async fn open(place: Place, permit: OwnedSemaphorePermit, until: Instant) -> Result<Self, Outcome> {
        let connected = local_faults::retry_local_faults(until, || Socket::connect(place.address)).await;
        let stream = connected.ok_or(Outcome::ConnectFailed)?.map_err(|problem| {
            if local_faults::is_local_fault(&problem) {
                Outcome::NotSent
            } else {
                Outcome::ConnectFailed
            }
        })?;
        let greeted = timeout_at(until, Self::greet(stream, place, permit)).await;
        greeted.unwrap_or(Err(Outcome::ConnectFailed))
    }

    async fn greet(stream: Socket, place: Place, permit: OwnedSemaphorePermit) -> Result<Self, Outcome> {
        let failed = |_: io::Error| Outcome::ConnectFailed;
        let dialect: Box<dyn Dialect> = match place.protocol {
            Protocol::Postgres => Box::new(Postgres),
            Protocol::Tds => Box::new(Tds::new()),
        };
        let mut new = Self { stream, place, dialect, read: BytesMut::with_capacity(1024), _permit: permit };
        let mut out = BytesMut::new();
        new.dialect.greet(&mut out);
        loop {
            if !out.is_empty() {
                new.stream.write_all(&out.split()).await.map_err(failed)?;
            }
            if new.stream.read_buf(&mut new.read).await.map_err(failed)? == 0 {
                return Err(Outcome::ConnectFailed);
            }
            if new.dialect.greeted(&mut new.read, &mut out)? {
                // What comes unasked would be read as the first request's answer.
                return if new.read.is_empty() { Ok(new) } else { Err(Outcome::ConnectFailed) };
            }
        }
    }

    pub fn place(&self) -> Place {
        self.place
    }

    /// Whether an idle connection is still open and silent, as it has to be. Asks the socket itself: the
    /// runtime may not have seen yet that it was closed.
    pub fn stands(&self) -> bool {
        matches!(peek(&self.stream), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Asks, and reads the answer into `exchange`; false if the connection is of no further use. `written` is
    /// told once the question's last byte is written.
    pub async fn ask(&mut self, ask: &Ask<'_>, exchange: &mut Exchange, written: impl FnOnce()) -> bool {
        let good = self.converse(ask, exchange, written).await;
        // What has been read of a row that is passed on belongs to that.
        if self.read.capacity() > KEPT && exchange.large.is_none() {
            // Hundreds of idle connections must not each keep room for the longest answer.
            self.read = BytesMut::new();
        }
        good
    }

    /// Takes what has been read of a message of so many bytes.
    pub fn take_buffered(&mut self, length: usize) -> BytesMut {
        let buffered = self.read.len().min(length);
        self.read.split_to(buffered)
    }

    /// Reads a part of a message, of so many bytes at the most; none once the host has closed.
    pub async fn read_part(&mut self, most: usize) -> io::Result<Bytes> {
        let mut part = BytesMut::with_capacity(most).limit(most);
        self.stream.read_buf(&mut part).await?;
        Ok(part.into_inner().freeze())
    }

    /// Reads what stands behind a row that was passed on.
    pub async fn rest(&mut self, exchange: &mut Exchange) -> bool {
        loop {
            if let Some(good) = self.dialect.heard(&mut self.read, exchange) {
                return good;
            }
            if !matches!(self.stream.read_buf(&mut self.read).await, Ok(1..)) {
                return false;
            }
        }
    }

    async fn converse(&mut self, ask: &Ask<'_>, exchange: &mut Exchange, written: impl FnOnce()) -> bool {
        let mut out = BytesMut::new();
        self.dialect.ask(ask, &mut out);
        // One write for the message: a part of it alone would be a request that never ends.
        if self.stream.write_all(&out).await.is_err() {
            return false;
        }
        exchange.written = Some(Instant::now());
        written();
        drop(out);
        let mut whole_by = None;
        loop {
            if let Some(good) = self.dialect.heard(&mut self.read, exchange) {
                return good;
            }
            let late = async {
                match whole_by {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                read = self.stream.read_buf(&mut self.read) => match read {
                    Ok(0) | Err(_) => return false,
                    Ok(_) => { whole_by.get_or_insert_with(|| Instant::now() + REST); }
                },
                () = late => {
                    // A line with no end: the answer was said whole before it, or never will be.
                    if !exchange.told() {
                        exchange.spoil();
                    }
                    return false;
                }
            }
        }
    }
}
