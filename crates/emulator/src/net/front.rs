//! A host's port: connections under either protocol, and what goes between them and the world's actor.

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

/// Which host a port belongs to, and the way to the world.
#[derive(Clone, Debug)]
pub(super) struct Place {
    pub host: usize,
    pub wire: Wire,
    pub clock: Clock,
    pub mailbox: mpsc::Sender<WorldMessage>,
    pub tickets: Tickets,
    pub classes: Arc<Spec>,
}

/// What somebody says to a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Heard {
    /// A part of the opening. The host answers, unless it hangs.
    Greeting,
    /// A statement in protocol 3's form.
    Statement(String),
    /// The load report is asked for.
    Load,
    /// Something without an effect, to be answered at once.
    Nothing,
    /// Something that is not served.
    Unknown,
    /// The end.
    Leaves,
}

/// A host's side of the conversation.
pub(super) trait Front: Send {
    /// Takes what comes next; what a greeting is answered with goes to `out`.
    ///
    /// # Errors
    /// When it cannot be read: the connection ends.
    fn hear(&mut self, read: &mut BytesMut, out: &mut BytesMut) -> Result<Option<Heard>, ()>;

    /// Answers a statement.
    fn reply(&mut self, reply: &Reply, out: &mut BytesMut);

    /// Answers with a row of one text.
    fn text(&mut self, text: &str, out: &mut BytesMut);

    /// Answers what has no effect.
    fn nothing(&mut self, out: &mut BytesMut);

    /// Says that something is not served.
    fn unknown(&mut self, out: &mut BytesMut);
}

/// Listens, for as long as the host takes connections; the port stays the same.
pub(super) async fn listen(
    address: SocketAddr,
    place: Place,
    link: watch::Receiver<bool>,
    ends: watch::Receiver<()>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    tokio::spawn(keep(Some(listener), address, place, link, ends));
    Ok(address)
}

async fn keep(
    mut listener: Option<TcpListener>,
    address: SocketAddr,
    place: Place,
    mut link: watch::Receiver<bool>,
    mut ends: watch::Receiver<()>,
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
                tokio::spawn(serve(stream, place.clone(), link.clone(), ends.clone()));
            },
            changed = link.changed() => {
                if changed.is_err() {
                    return;
                }
                let up = *link.borrow_and_update();
                listener = match up {
                    true => TcpListener::bind(address).await.ok(),
                    false => None,
                };
            }
            Err(_) = ends.changed() => return,
        }
    }
}

async fn serve(
    stream: TcpStream,
    place: Place,
    mut link: watch::Receiver<bool>,
    mut ends: watch::Receiver<()>,
) {
    let _ = stream.set_nodelay(true);
    // When the process dies its connections are reset.
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    let front: Box<dyn Front> = match place.wire {
        Wire::Postgres => Box::new(Postgres::default()),
        Wire::Tds => Box::new(Tds::default()),
    };
    let (read, out) = (BytesMut::with_capacity(512), BytesMut::new());
    let connection = Connection { stream, place, front, read, out, last_request: None };
    tokio::select! {
        _ = connection.talk() => {}
        _ = link.wait_for(|up| !up) => {}
        Err(_) = ends.changed() => {}
    }
}

struct Connection {
    stream: TcpStream,
    place: Place,
    front: Box<dyn Front>,
    read: BytesMut,
    out: BytesMut,
    /// The last request that came on it.
    last_request: Option<String>,
}

impl Connection {
    async fn talk(mut self) -> io::Result<()> {
        loop {
            match self.front.hear(&mut self.read, &mut self.out) {
                Ok(Some(heard)) => {
                    if !self.heard(heard).await? {
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

    /// Whether an answer is delivered. Of one that is not, the connection ends here or stays silent until the other side
    /// ends it.
    async fn is_delivered(&mut self, delivery: Delivery) -> io::Result<bool> {
        match delivery {
            Delivery::Complete => return Ok(true),
            Delivery::Silence => while self.stream.read_buf(&mut self.read).await? > 0 {},
            Delivery::Reset => {}
        }
        Ok(false)
    }

    /// Whether the conversation goes on.
    async fn heard(&mut self, heard: Heard) -> io::Result<bool> {
        match heard {
            Heard::Greeting => {
                let host = self.place.host;
                self.ask(|answer| WorldMessage::Greet(host, answer)).await?;
            }
            Heard::Load if !self.place.classes.reports => self.front.unknown(&mut self.out),
            Heard::Load => {
                let (host, id) = (self.place.host, self.last_request.clone());
                let (report, delivery) = self.ask(|answer| WorldMessage::Load(host, id, answer)).await?;
                self.front.text(&report, &mut self.out);
                return self.is_delivered(delivery).await;
            }
            Heard::Statement(text) => match self.query(&text) {
                Some(query) => {
                    let (reply, delivery) = self.run(query).await?;
                    self.front.reply(&reply, &mut self.out);
                    return self.is_delivered(delivery).await;
                }
                None => self.front.unknown(&mut self.out),
            },
            Heard::Nothing => self.front.nothing(&mut self.out),
            Heard::Unknown => self.front.unknown(&mut self.out),
            Heard::Leaves => return Ok(false),
        }
        Ok(true)
    }

    fn query(&self, text: &str) -> Option<Query> {
        let KvStatement { key, comment, .. } = KvStatement::parse(text).ok()?;
        let class = self.place.classes.class(&comment.class)?;
        let until = self.place.clock.now() + (comment.timeout_ms * MS as f64) as i64;
        Some(Query { id: comment.id, class, session: key.to_owned(), key: comment.key, until })
    }

    async fn run(&mut self, query: Query) -> io::Result<Answer<Reply>> {
        let (host, ticket) = (self.place.host, self.place.tickets.next());
        self.last_request = Some(query.id.clone());
        let reply = self.ask(|answer| WorldMessage::Query(host, ticket, query, answer)).await;
        if reply.is_err() {
            let _ = self.place.mailbox.send(WorldMessage::Cancel(ticket)).await;
        }
        reply
    }

    /// Asks the world and waits, for as long as the other side is there. Where there is no answer to be had, it
    /// waits all the same: such a host says nothing.
    async fn ask<T>(&mut self, told: impl FnOnce(oneshot::Sender<T>) -> WorldMessage) -> io::Result<T> {
        let (answer, mut answered) = oneshot::channel();
        let gone = || io::Error::from(io::ErrorKind::ConnectionAborted);
        self.place.mailbox.send(told(answer)).await.map_err(|_| gone())?;
        let mut silent = false;
        loop {
            tokio::select! {
                biased;
                answer = &mut answered, if !silent => match answer {
                    Ok(answer) => return Ok(answer),
                    Err(_) => silent = true,
                },
                read = self.stream.read_buf(&mut self.read) => if read? == 0 {
                    return Err(gone());
                },
            }
        }
    }
}
