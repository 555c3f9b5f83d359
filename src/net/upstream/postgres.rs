//! A connection to a ledger host that speaks PostgreSQL's protocol 3.

use super::Stamp;
use crate::interface::{Outcome, Position, Report, Role};
use crate::pgwire::{self, BackendMessage};
use bytes::BytesMut;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;

const USER: &str = "backend";
const DATABASE: &str = "store";
/// An answer longer than this is none: a value of 64 KiB and its description.
const MOST_ANSWER: usize = 80 * 1024;

#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    address: SocketAddr,
    read: BytesMut,
    _permit: OwnedSemaphorePermit,
}

/// One query and what has come back for it.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    /// The query's last byte has been written.
    pub written: bool,
    /// Row description, row and completion as they came.
    pub value: BytesMut,
    pub position: Option<Stamp>,
    pub role: Option<Role>,
    row: Option<Vec<u8>>,
    complete: bool,
    ready: bool,
    error: Option<Outcome>,
}

impl Exchange {
    /// Whether the host has said how it went.
    pub fn told(&self) -> bool {
        self.error.is_some() || (self.complete && self.row.is_some())
    }

    /// How it went, once nothing more comes.
    pub fn outcome(&self) -> Outcome {
        match self.error {
            Some(outcome) => outcome,
            None if self.told() => Outcome::Ok,
            // It has ended well, but without a row: that is no answer.
            None if self.ready => Outcome::Error,
            None if self.written => Outcome::Reset,
            None => Outcome::ConnectFailed,
        }
    }

    /// The load report in the row.
    pub fn report(&self) -> Option<Report> {
        let text = std::str::from_utf8(self.row.as_deref()?).ok()?;
        let value = |name: &str| {
            let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(n, _)| n.trim() == name).find_map(|(_, v)| v.trim().parse::<f64>().ok())
        };
        let position = value("x0").filter(|s| s.is_finite()).map(|s| Position((s * 1e6).floor() as i64));
        let role = value("x1").map(|x| if x >= 0.5 { Role::Primary } else { Role::Replica });
        Some(Report { position, role })
    }

    fn take(&mut self, raw: &[u8], message: BackendMessage<'_>) {
        match message {
            BackendMessage::Parameter("applied_ms", value) => {
                let ms = value.parse::<f64>().ok().filter(|ms| ms.is_finite() && *ms > 0.0);
                self.position = ms.map(Stamp);
            }
            BackendMessage::Parameter("role", "primary") => self.role = Some(Role::Primary),
            BackendMessage::Parameter("role", "replica") => self.role = Some(Role::Replica),
            BackendMessage::RowDescription => self.value.extend_from_slice(raw),
            BackendMessage::DataRow(columns) => {
                if let [Some(value)] = columns[..] {
                    self.row = Some(value.to_vec());
                }
                self.value.extend_from_slice(raw);
            }
            BackendMessage::CommandComplete => {
                self.complete = true;
                self.value.extend_from_slice(raw);
            }
            BackendMessage::Error(fields) => {
                self.error = Some(match fields.code {
                    "25006" | "72000" => Outcome::Miss,
                    "53300" | "57P03" => Outcome::Full,
                    code => {
                        if code != "XX000" {
                            eprintln!("a ledger host answered {code}: {}", fields.message);
                        }
                        Outcome::Error
                    }
                });
                self.ready = fields.fatal;
            }
            BackendMessage::Ready => self.ready = true,
            _ => {}
        }
    }
}

impl Connection {
    /// Opens a connection; it is ready for its first query.
    pub async fn open(address: SocketAddr, permit: OwnedSemaphorePermit) -> Result<Self, Outcome> {
        let failed = |_: io::Error| Outcome::ConnectFailed;
        let stream = TcpStream::connect(address).await.map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let mut new = Self { stream, address, read: BytesMut::with_capacity(1024), _permit: permit };
        let mut out = BytesMut::new();
        pgwire::startup(&mut out, USER, DATABASE);
        new.stream.write_all(&out).await.map_err(failed)?;
        loop {
            while let Some((message, length)) =
                BackendMessage::parse(&new.read).map_err(|_| Outcome::ConnectFailed)?
            {
                match message {
                    BackendMessage::Error(fields) if fields.code == "53300" => return Err(Outcome::Full),
                    BackendMessage::Error(_) | BackendMessage::Authentication(false) => {
                        return Err(Outcome::ConnectFailed);
                    }
                    _ => {}
                }
                let ready = message == BackendMessage::Ready;
                let _ = new.read.split_to(length);
                if ready {
                    return Ok(new);
                }
            }
            if new.stream.read_buf(&mut new.read).await.map_err(failed)? == 0 {
                return Err(Outcome::ConnectFailed);
            }
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether an idle connection is still open and silent, as it has to be. Asks the socket itself: the
    /// runtime may not have seen yet that it was closed.
    pub fn stands(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut byte);
        matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Writes a query and reads its answer into the exchange; whether the connection can be used again.
    pub async fn ask(&mut self, statement: &[u8], exchange: &mut Exchange) -> bool {
        let mut out = BytesMut::with_capacity(statement.len() + 6);
        pgwire::query(&mut out, statement);
        // One write for the message: a part of it alone would be a request that never ends.
        if self.stream.write_all(&out).await.is_err() {
            return false;
        }
        exchange.written = true;
        loop {
            loop {
                let (message, length) = match BackendMessage::parse(&self.read) {
                    Ok(Some(parsed)) => parsed,
                    Ok(None) => break,
                    Err(problem) => {
                        eprintln!("{}: {problem}", self.address);
                        return false;
                    }
                };
                let fatal = matches!(&message, BackendMessage::Error(fields) if fields.fatal);
                let ready = message == BackendMessage::Ready;
                exchange.take(&self.read[..length], message);
                let _ = self.read.split_to(length);
                if ready || fatal {
                    return ready && self.read.is_empty();
                }
            }
            if exchange.value.len() > MOST_ANSWER {
                return false;
            }
            match self.stream.read_buf(&mut self.read).await {
                Ok(0) | Err(_) => return false,
                Ok(_) => {}
            }
        }
    }
}
