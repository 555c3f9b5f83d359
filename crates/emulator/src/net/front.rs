//! A host's listener and its connections, in either protocol. They pass requests to the world's actor and
//! write its replies.

use super::actor::{Answer, WorldMessage};
use super::postgres::Postgres;
use super::tds::Tds;
use super::{Clock, Tickets, Wire};
use crate::host::Delivery;
use crate::spec::Spec;
use crate::world::{Query, Reply};
use crate::MS;
use bytes::BytesMut;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use wheelpier_pgwire::KvStatement;

/// The host that a listener belongs to, and the access to the world's actor.
#[derive(Clone, Debug)]
pub(super) struct HostContext {
    pub host: usize,
    pub wire: Wire,
    pub clock: Clock,
    pub mailbox: mpsc::Sender<WorldMessage>,
    pub tickets: Tickets,
    pub classes: Arc<Spec>,
}

/// Message from a client or proxy to a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ClientMessage {
    /// A part of the handshake. The host answers it unless it hangs.
    Handshake,
    /// A statement, in the form of PostgreSQL's protocol 3.
    Statement(String),
    /// A request for the load report.
    LoadReport,
    /// A command without an effect, which is answered at once.
    NoOp,
    /// A statement that is not supported.
    Unsupported,
    /// The end of the session.
    Terminate,
}

/// A host's side of a database protocol.
pub(super) trait HostProtocol: Send {
    /// Parses the next message from `read`, or returns none if it is incomplete. The answer to a handshake
    /// message is written to `out`.
    ///
    /// # Errors
    /// Fails if the message is malformed; the connection ends then.
    fn next_message(&mut self, read: &mut BytesMut, out: &mut BytesMut) -> Result<Option<ClientMessage>, ()>;

    /// Writes the reply to a statement.
    fn reply(&mut self, reply: &Reply, out: &mut BytesMut);

    /// Writes a row with one text value.
    fn text(&mut self, text: &str, out: &mut BytesMut);

    /// Writes the answer to a command without an effect.
    fn no_op(&mut self, out: &mut BytesMut);

    /// Writes the error for a statement that is not supported.
    fn unsupported(&mut self, out: &mut BytesMut);
}

/// Listens on a port while the host accepts connections. The port stays the same after an interruption.
pub(super) async fn listen(
    address: SocketAddr,
    context: HostContext,
    is_up: watch::Receiver<bool>,
    shutdown: watch::Receiver<()>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    tokio::spawn(run_listener(Some(listener), address, context, is_up, shutdown));
    Ok(address)
}

async fn run_listener(
    mut listener: Option<TcpListener>,
    address: SocketAddr,
    context: HostContext,
    mut is_up: watch::Receiver<bool>,
    mut shutdown: watch::Receiver<()>,
) {
    loop {
        let accept = async {
            match &listener {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            accepted = accept => if let Ok((stream, _)) = accepted {
                tokio::spawn(serve(stream, context.clone(), is_up.clone(), shutdown.clone()));
            },
            changed = is_up.changed() => {
                if changed.is_err() {
                    return;
                }
                let accepts_connections = *is_up.borrow_and_update();
                listener = match accepts_connections {
                    true => TcpListener::bind(address).await.ok(),
                    false => None,
                };
            }
            Err(_) = shutdown.changed() => return,
        }
    }
}

async fn serve(
    stream: TcpStream,
    context: HostContext,
    mut is_up: watch::Receiver<bool>,
    mut shutdown: watch::Receiver<()>,
) {
    let _ = stream.set_nodelay(true);
    // With a linger time of zero, connections are reset when they are dropped, as by a process that dies.
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    let protocol: Box<dyn HostProtocol> = match context.wire {
        Wire::Postgres => Box::new(Postgres::default()),
        Wire::Tds => Box::new(Tds::default()),
    };
    let (read, out) = (BytesMut::with_capacity(512), BytesMut::new());
    let connection = Connection { stream, context, protocol, read, out, last_request: None };
    tokio::select! {
        _ = connection.run() => {}
        _ = is_up.wait_for(|up| !up) => {}
        Err(_) = shutdown.changed() => {}
    }
}

struct Connection {
    stream: TcpStream,
    context: HostContext,
    protocol: Box<dyn HostProtocol>,
    read: BytesMut,
    out: BytesMut,
    /// The id of the last request on the connection.
    last_request: Option<String>,
}

impl Connection {
    async fn run(mut self) -> io::Result<()> {
        loop {
            match self.protocol.next_message(&mut self.read, &mut self.out) {
                Ok(Some(message)) => {
                    if !self.handle(message).await? {
                        return Ok(());
                    }
                    let out = self.out.split();
                    self.stream.write_all(&out).await?;
                }
                Ok(None) => {
                    if self.stream.read_buf(&mut self.read).await? == 0 {
                        return Ok(());
                    }
                }
                Err(()) => return Ok(()),
            }
        }
    }

    /// Returns whether an answer is delivered. If it is lost, the connection ends at once, or stays silent
    /// until the peer closes it.
    async fn is_delivered(&mut self, delivery: Delivery) -> io::Result<bool> {
        match delivery {
            Delivery::Complete => return Ok(true),
            Delivery::Silence => while self.stream.read_buf(&mut self.read).await? > 0 {},
            Delivery::Reset => {}
        }
        Ok(false)
    }

    /// Handles a message and returns whether the session continues.
    async fn handle(&mut self, message: ClientMessage) -> io::Result<bool> {
        match message {
            ClientMessage::Handshake => {
                let host = self.context.host;
                self.ask(|answer| WorldMessage::Handshake(host, answer)).await?;
            }
            ClientMessage::LoadReport if !self.context.classes.reports => {
                self.protocol.unsupported(&mut self.out)
            }
            ClientMessage::LoadReport => {
                let (host, id) = (self.context.host, self.last_request.clone());
                let (report, delivery) = self.ask(|answer| WorldMessage::Load(host, id, answer)).await?;
                self.protocol.text(&report, &mut self.out);
                return self.is_delivered(delivery).await;
            }
            ClientMessage::Statement(text) => match self.query(&text) {
                Some(query) => {
                    let (reply, delivery) = self.forward(query).await?;
                    self.protocol.reply(&reply, &mut self.out);
                    return self.is_delivered(delivery).await;
                }
                None => self.protocol.unsupported(&mut self.out),
            },
            ClientMessage::NoOp => self.protocol.no_op(&mut self.out),
            ClientMessage::Unsupported => self.protocol.unsupported(&mut self.out),
            ClientMessage::Terminate => return Ok(false),
        }
        Ok(true)
    }

    fn query(&self, text: &str) -> Option<Query> {
        let KvStatement { key, comment, .. } = KvStatement::parse(text).ok()?;
        let class = self.context.classes.class(&comment.class)?;
        let until = self.context.clock.now() + (comment.timeout_ms * MS as f64) as i64;
        Some(Query { id: comment.id, class, session: key.to_owned(), key: comment.key, until })
    }

    async fn forward(&mut self, query: Query) -> io::Result<Answer<Reply>> {
        let (host, ticket) = (self.context.host, self.context.tickets.next());
        self.last_request = Some(query.id.clone());
        let reply = self.ask(|answer| WorldMessage::Query(host, ticket, query, answer)).await;
        if reply.is_err() {
            let _ = self.context.mailbox.send(WorldMessage::Cancel(ticket)).await;
        }
        reply
    }

    /// Sends a message to the world's actor and waits for the answer while the peer is connected. If the
    /// actor drops the request, the host stays silent, and this waits until the peer closes the connection.
    async fn ask<T>(&mut self, message: impl FnOnce(oneshot::Sender<T>) -> WorldMessage) -> io::Result<T> {
        let (answer, mut answered) = oneshot::channel();
        let disconnected = || io::Error::from(io::ErrorKind::ConnectionAborted);
        self.context.mailbox.send(message(answer)).await.map_err(|_| disconnected())?;
        let mut is_silent = false;
        loop {
            tokio::select! {
                biased;
                answer = &mut answered, if !is_silent => match answer {
                    Ok(answer) => return Ok(answer),
                    Err(_) => is_silent = true,
                },
                read = self.stream.read_buf(&mut self.read) => if read? == 0 {
                    return Err(disconnected());
                },
            }
        }
    }
}
