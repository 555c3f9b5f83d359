//! Emulated clients, which connect, send one request at a time and wait for its answer.

use super::Wire;
use crate::schedule::Planned;
use crate::spec::{Freshness, Spec};
use crate::Micros;
use bytes::BytesMut;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wheelpier_pgwire::{query, startup, BackendMessage};
use wheelpier_tds::{
    numbers, put_message, version, Assembler, DataType, Login, PacketType, Parameter, Prelogin, Procedure,
    Rpc, Status, Token, Tokens, Value, INITIAL_PACKET_BYTES, SP_EXECUTESQL,
};

/// Maximum length of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 128 * 1024;

/// Result of a request for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request was served a value.
    Served(Vec<u8>),
    /// The request was rejected and may be retried safely, after the given number of milliseconds if any is
    /// stated.
    Refused(Option<u64>),
    /// The request failed with another error.
    Failed(String),
}

/// A client's connection, for one request at a time.
#[derive(Debug)]
pub struct Client {
    stream: TcpStream,
    wire: Wire,
    read: BytesMut,
    assembler: Assembler,
}

fn invalid_data(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message.to_owned())
}

impl Client {
    /// Connects and opens a session.
    ///
    /// # Errors
    /// Fails if the connection fails or the session is not accepted.
    pub async fn connect(wire: Wire, address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (read, assembler) = (BytesMut::with_capacity(1024), Assembler::new(MAX_ANSWER_BYTES));
        let mut client = Self { stream, wire, read, assembler };
        match wire {
            Wire::Postgres => {
                let mut out = BytesMut::new();
                startup(&mut out, "backend", "store");
                client.stream.write_all(&out).await?;
                client.postgres_answer().await?;
            }
            Wire::Tds => {
                let mut payload = BytesMut::new();
                Prelogin { version: (9, 0, 0), ..Prelogin::default() }.put(&mut payload);
                client.send(PacketType::Prelogin, &payload).await?;
                Prelogin::parse(&client.next_message().await?)
                    .map_err(|error| invalid_data(&error.to_string()))?;
                let login = Login {
                    version: version::V7_4,
                    packet_size: INITIAL_PACKET_BYTES as u32,
                    user: "backend".to_owned(),
                    database: "store".to_owned(),
                    ..Login::default()
                };
                let mut payload = BytesMut::new();
                login.put(&mut payload);
                client.send(PacketType::Login, &payload).await?;
                let answer = client.next_message().await?;
                let is_accepted = Tokens::new(&answer).any(|token| matches!(token, Ok(Token::LoginAck(_))));
                if !is_accepted {
                    return Err(invalid_data("the login was not accepted"));
                }
            }
        }
        Ok(client)
    }

    /// Returns whether no unprocessed bytes of an answer have been received.
    pub fn has_no_unprocessed_bytes(&self) -> bool {
        self.read.is_empty() && !self.assembler.has_partial_message()
    }

    /// Returns the underlying stream, for tests that violate the protocol.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Sends a request and waits for the answer.
    ///
    /// # Errors
    /// Fails if the connection ends before the answer, or if the answer is malformed.
    pub async fn ask(&mut self, planned: &Planned, spec: &Spec, wait: Micros) -> io::Result<Answer> {
        let statement = planned.statement(spec, wait);
        match self.wire {
            Wire::Postgres => {
                let mut out = BytesMut::with_capacity(statement.len() + 6);
                query(&mut out, statement.as_bytes());
                self.stream.write_all(&out).await?;
                self.postgres_answer().await
            }
            Wire::Tds => {
                let payload = rpc_payload(planned, spec, &statement);
                self.send(PacketType::Rpc, &payload).await?;
                self.tds_answer().await
            }
        }
    }

    async fn read_more(&mut self) -> io::Result<()> {
        match self.stream.read_buf(&mut self.read).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads the answer, up to ReadyForQuery.
    async fn postgres_answer(&mut self) -> io::Result<Answer> {
        let mut answer = Answer::Failed("no answer".to_owned());
        loop {
            let parsed =
                BackendMessage::parse(&self.read).map_err(|error| invalid_data(&error.to_string()))?;
            let Some((message, length)) = parsed else {
                self.read_more().await?;
                continue;
            };
            match message {
                BackendMessage::DataRow(columns) => {
                    let value = columns.first().copied().flatten().unwrap_or_default();
                    answer = Answer::Served(value.to_vec());
                }
                BackendMessage::Error(fields) => {
                    answer = match fields.code {
                        "53300" | "57P03" => Answer::Refused(fields.detail.parse().ok()),
                        code => Answer::Failed(format!("{code} {}", fields.message)),
                    };
                }
                BackendMessage::Ready => {
                    let _ = self.read.split_to(length);
                    return Ok(answer);
                }
                _ => {}
            }
            let _ = self.read.split_to(length);
        }
    }

    async fn send(&mut self, kind: PacketType, payload: &[u8]) -> io::Result<()> {
        let mut out = BytesMut::with_capacity(payload.len() + 64);
        put_message(&mut out, kind, Status::default(), payload, INITIAL_PACKET_BYTES);
        self.stream.write_all(&out).await
    }

    async fn next_message(&mut self) -> io::Result<bytes::Bytes> {
        loop {
            match self.assembler.next(&mut self.read).map_err(|error| invalid_data(&error.to_string()))? {
                Some(message) => return Ok(message.payload),
                None => self.read_more().await?,
            }
        }
    }

    async fn tds_answer(&mut self) -> io::Result<Answer> {
        let payload = self.next_message().await?;
        let mut answer = Answer::Failed("no answer".to_owned());
        for token in Tokens::new(&payload) {
            match token.map_err(|error| invalid_data(&error.to_string()))? {
                Token::Row(mut values) => match values.pop() {
                    Some(Value::Binary(value)) => answer = Answer::Served(value.to_vec()),
                    other => answer = Answer::Failed(format!("{other:?}")),
                },
                Token::Error(notice) => {
                    answer = match notice.number {
                        numbers::BUSY | numbers::UNAVAILABLE => {
                            let words = notice.message.split(' ');
                            Answer::Refused(words.filter_map(|word| word.parse().ok()).next_back())
                        }
                        number => Answer::Failed(format!("{number} {}", notice.message)),
                    };
                }
                _ => {}
            }
        }
        Ok(answer)
    }
}

/// Returns the call of a statement as drivers send it, with the session and a write's value as parameters.
fn rpc_payload(planned: &Planned, spec: &Spec, statement: &str) -> BytesMut {
    let comment = statement.rfind("/*").map_or("", |at| &statement[at..]);
    let parameter = |name: &str, kind, value| {
        let (name, output) = (name.to_owned(), false);
        Parameter { name, output, kind, value }
    };
    let text = |name: &str, text: String| parameter(name, DataType::NVarChar, Value::Text(text));
    let session = text("@P1", planned.session.clone());
    let parameters = match spec.classes[planned.class].freshness {
        Freshness::Write => vec![
            text("", format!("INSERT INTO kv (name, content) VALUES (@P1, @P2) RETURNING content {comment}")),
            text("", "@P1 nvarchar(4000), @P2 varbinary(max)".to_owned()),
            session,
            parameter("@P2", DataType::VarBinaryMax, Value::Binary(planned.value.clone().into())),
        ],
        _ => vec![
            text("", format!("SELECT content FROM kv WHERE name = @P1 {comment}")),
            text("", "@P1 nvarchar(4000)".to_owned()),
            session,
        ],
    };
    let mut payload = BytesMut::new();
    Rpc { procedure: Procedure::Number(SP_EXECUTESQL), options: 0, parameters }.put(&mut payload);
    payload
}
