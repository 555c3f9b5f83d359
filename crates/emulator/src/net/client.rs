//! Clients, as tills and office programs are: they connect, ask and wait.

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
    Rpc, Status, Token, Tokens, Value, PACKET_SIZE, SP_EXECUTESQL,
};

/// The longest answer that is read.
const MOST: usize = 128 * 1024;

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// With a value.
    Served(Vec<u8>),
    /// Turned away: trying again is harmless, after so many milliseconds if they are told.
    Refused(Option<u64>),
    /// With an error that says nothing of that kind.
    Failed(String),
}

/// A client's connection; it asks one thing at a time.
#[derive(Debug)]
pub struct Client {
    stream: TcpStream,
    wire: Wire,
    read: BytesMut,
    assembler: Assembler,
}

fn broken(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

impl Client {
    /// Connects and opens a session.
    ///
    /// # Errors
    /// When there is no connection, or the session is not let in.
    pub async fn connect(wire: Wire, address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (read, assembler) = (BytesMut::with_capacity(1024), Assembler::new(MOST));
        let mut client = Self { stream, wire, read, assembler };
        match wire {
            Wire::Postgres => {
                let mut out = BytesMut::new();
                startup(&mut out, "backend", "store");
                client.stream.write_all(&out).await?;
                client.postgres().await?;
            }
            Wire::Tds => {
                let mut payload = BytesMut::new();
                Prelogin { version: (9, 0, 0), ..Prelogin::default() }.put(&mut payload);
                client.send(PacketType::Prelogin, &payload).await?;
                Prelogin::parse(&client.message().await?).map_err(|e| broken(&e.to_string()))?;
                let login = Login {
                    version: version::V7_4,
                    packet_size: PACKET_SIZE as u32,
                    user: "backend".to_owned(),
                    database: "store".to_owned(),
                    ..Login::default()
                };
                let mut payload = BytesMut::new();
                login.put(&mut payload);
                client.send(PacketType::Login, &payload).await?;
                let answer = client.message().await?;
                let let_in = Tokens::new(&answer).any(|token| matches!(token, Ok(Token::LoginAck(_))));
                if !let_in {
                    return Err(broken("the login was not accepted"));
                }
            }
        }
        Ok(client)
    }

    /// Whether nothing has come that was not read as a part of an answer.
    pub fn silent(&self) -> bool {
        self.read.is_empty() && !self.assembler.has_partial_message()
    }

    /// The bare connection, for whoever means to misuse it.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Asks and waits for the answer.
    ///
    /// # Errors
    /// When the connection ends before it, or what comes makes no sense.
    pub async fn ask(&mut self, planned: &Planned, spec: &Spec, wait: Micros) -> io::Result<Answer> {
        let statement = planned.statement(spec, wait);
        match self.wire {
            Wire::Postgres => {
                let mut out = BytesMut::with_capacity(statement.len() + 6);
                query(&mut out, statement.as_bytes());
                self.stream.write_all(&out).await?;
                self.postgres().await
            }
            Wire::Tds => {
                let payload = call(planned, spec, &statement);
                self.send(PacketType::Rpc, &payload).await?;
                self.tds().await
            }
        }
    }

    async fn more(&mut self) -> io::Result<()> {
        match self.stream.read_buf(&mut self.read).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// What comes up to ReadyForQuery.
    async fn postgres(&mut self) -> io::Result<Answer> {
        let mut answer = Answer::Failed("no answer".to_owned());
        loop {
            let parsed = BackendMessage::parse(&self.read).map_err(|e| broken(&e.to_string()))?;
            let Some((message, length)) = parsed else {
                self.more().await?;
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
        put_message(&mut out, kind, Status::default(), payload, PACKET_SIZE);
        self.stream.write_all(&out).await
    }

    async fn message(&mut self) -> io::Result<bytes::Bytes> {
        loop {
            match self.assembler.next(&mut self.read).map_err(|e| broken(&e.to_string()))? {
                Some(message) => return Ok(message.payload),
                None => self.more().await?,
            }
        }
    }

    async fn tds(&mut self) -> io::Result<Answer> {
        let payload = self.message().await?;
        let mut answer = Answer::Failed("no answer".to_owned());
        for token in Tokens::new(&payload) {
            match token.map_err(|e| broken(&e.to_string()))? {
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

/// A statement as drivers send it: its key, and a write's value, as parameters.
fn call(planned: &Planned, spec: &Spec, statement: &str) -> BytesMut {
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
