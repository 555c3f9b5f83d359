//! A client that speaks PostgreSQL's protocol 3: one actor a connection.

use super::{Answer, Door, Mail, Request, Statement};
use crate::interface::{RequestId, SessionId, Time};
use crate::net::core::{Arrival, Event};
use crate::pgwire::{self, Comment, FrontendMessage, Startup, WireError};
use bytes::{Bytes, BytesMut};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout, Instant};

/// A client that has connected and says nothing is cut off after this time.
const STARTUP: Duration = Duration::from_secs(10);
/// So much is read ahead while an answer is awaited: enough to see the client leave, little to hold.
const READ_AHEAD: usize = 16 * 1024;
/// When connections run short those that have been idle for longer than this go.
const IDLE: Duration = Duration::from_millis(1_000);
/// A client that waits longer is taken to wait so long: timers cannot be set for any time to come.
const MOST_WAIT: Duration = Duration::from_secs(3_600);
/// A connection that comes during a drain is given this long to bring its request.
const LAST_REQUEST: Duration = Duration::from_millis(500);
/// A client that takes nothing of its answer for so long is given up.
const WRITE: Duration = Duration::from_secs(10);

/// Why the conversation is over.
enum Over {
    /// Nothing to say about it.
    Closed,
    /// The client broke the protocol: the SQLSTATE and what is wrong.
    Broken(&'static str, String),
}

impl From<io::Error> for Over {
    fn from(_: io::Error) -> Self {
        Self::Closed
    }
}

impl From<WireError> for Over {
    fn from(problem: WireError) -> Self {
        let code = if problem == WireError::TooLong { "54000" } else { "08P01" };
        Self::Broken(code, problem.to_string())
    }
}

struct Client<I> {
    stream: TcpStream,
    door: Door,
    id: I,
    mailbox: mpsc::Receiver<Mail>,
    address: mpsc::Sender<Mail>,
    read: BytesMut,
    out: BytesMut,
    /// The client has ended its side.
    ended: bool,
    /// Whether it has asked anything since it came.
    asked: bool,
    /// It came when all seats were taken: its requests are refused while they are.
    over: bool,
    /// Held for as long as the client is here.
    seat: Arc<()>,
    /// In a run of extended messages after an error: all is skipped up to Sync.
    skipping: bool,
}

/// Serves one client until it leaves.
pub(super) async fn serve(
    stream: TcpStream,
    door: Door,
    id: impl Fn() -> RequestId,
    squeezed: watch::Receiver<()>,
    seat: Arc<()>,
) {
    let _ = stream.set_nodelay(true);
    // One request at a time, one answer each: the mailbox is never full.
    let (address, mailbox) = mpsc::channel(2);
    let (read, out) = (BytesMut::with_capacity(1024), BytesMut::with_capacity(1024));
    let (ended, asked, skipping) = (false, false, false);
    let over = taken(&seat) > door.limit;
    let mut client =
        Client { stream, door, id, mailbox, address, read, out, ended, asked, over, seat, skipping };
    if let Err(Over::Broken(code, problem)) = client.talk(squeezed).await {
        client.door.counters.malformed();
        pgwire::error(&mut client.out, "FATAL", code, &problem, None);
        let _ = client.flush().await;
    }
    let _ = client.stream.shutdown().await;
}

impl<I: Fn() -> RequestId> Client<I> {
    async fn talk(&mut self, mut squeezed: watch::Receiver<()>) -> Result<(), Over> {
        let mut draining = self.door.draining.clone();
        // Who stays silent must not hold up the end of a drain.
        let mut drained = draining.clone();
        let last_call = async {
            let _ = drained.wait_for(|draining| *draining).await;
            sleep(LAST_REQUEST).await;
        };
        tokio::select! {
            started = timeout(STARTUP, self.startup()) => started.map_err(|_| Over::Closed)??,
            () = last_call => return Ok(()),
        }
        loop {
            while let Some((message, length)) = FrontendMessage::parse(&self.read)? {
                let query = match message {
                    FrontendMessage::Query(text) => Some(text.len()),
                    FrontendMessage::Terminate => return Ok(()),
                    FrontendMessage::Unknown(kind) => {
                        return Err(Over::Broken("08P01", format!("unknown message type {kind}")));
                    }
                    FrontendMessage::Extended if !self.skipping => {
                        self.skipping = true;
                        self.error("0A000", "only simple queries are served");
                        None
                    }
                    FrontendMessage::Sync => {
                        self.skipping = false;
                        pgwire::ready(&mut self.out);
                        None
                    }
                    FrontendMessage::Extended | FrontendMessage::Copy => None,
                };
                let mut bytes = self.read.split_to(length);
                match query.filter(|_| !self.skipping) {
                    Some(length) => {
                        let text = bytes.split_off(5).freeze().slice(..length);
                        self.query(text).await?;
                    }
                    None => self.flush().await?,
                }
            }
            if self.ended || (self.full() && self.asked) {
                return Ok(());
            }
            let drains = *draining.borrow();
            // What came during the drain may still bring its first request, or the rest of one.
            let idle = self.asked && self.read.is_empty();
            let patience = if idle { Duration::ZERO } else { LAST_REQUEST };
            let idle_since = Instant::now();
            tokio::select! {
                biased;
                read = self.stream.read_buf(&mut self.read) => self.ended = read? == 0,
                () = sleep(patience), if drains => return Ok(()),
                Ok(()) = draining.changed() => {}
                Ok(()) = squeezed.changed() => {
                    if idle_since.elapsed() >= IDLE {
                        return Ok(());
                    }
                }
            }
        }
    }

    async fn startup(&mut self) -> Result<(), Over> {
        loop {
            while let Some((startup, length)) = Startup::parse(&self.read)? {
                let _ = self.read.split_to(length);
                match startup {
                    Startup::Encryption => self.stream.write_all(b"N").await?,
                    Startup::Cancel => return Err(Over::Closed),
                    Startup::Unsupported => {
                        return Err(Over::Broken("0A000", "only protocol 3 is spoken".to_owned()));
                    }
                    Startup::Session { minor } => {
                        // Queries cannot be cancelled by key: it opens nothing.
                        pgwire::welcome(&mut self.out, minor, (std::process::id(), 0));
                        return Ok(self.flush().await?);
                    }
                }
            }
            if self.stream.read_buf(&mut self.read).await? == 0 {
                return Err(Over::Closed);
            }
        }
    }

    async fn query(&mut self, text: Bytes) -> Result<(), Over> {
        self.asked = true;
        match std::str::from_utf8(&text) {
            Err(_) => self.error("22021", "the statement is not UTF-8"),
            Ok(words) if words.trim_matches(|c: char| c.is_whitespace() || c == ';').is_empty() => {
                if *self.door.ready.borrow() {
                    pgwire::empty_query(&mut self.out);
                } else {
                    self.error("57P03", "the list of ledger hosts has not come yet");
                }
            }
            Ok(words) => match session_command(words) {
                Some(tag) => pgwire::command_complete(&mut self.out, tag),
                None => match self.request(words, text.clone()) {
                    Ok(request) => self.ask(request).await?,
                    Err((code, problem)) => {
                        self.door.counters.malformed();
                        self.error(code, &problem);
                    }
                },
            },
        }
        pgwire::ready(&mut self.out);
        Ok(self.flush().await?)
    }

    /// Names become numbers; what a request must have is there.
    fn request(&self, words: &str, text: Bytes) -> Result<Request, (&'static str, String)> {
        let comment = Comment::parse(words).map_err(|e| ("42601", e.to_string()))?;
        let names = &self.door.names;
        let class = names.classes.iter().position(|name| *name == comment.class);
        let class = class.ok_or_else(|| ("22023", format!("there is no class `{}`", comment.class)))?;
        // A tenant that the settings do not name has no share of its own: the module gives it full worth.
        let tenant = comment.tenant.as_ref().map_or(Some(0), |t| names.tenants.iter().position(|n| n == t));
        let group = comment.group.ok_or_else(|| ("42601", "the comment lacks `cluster`".to_owned()))?;
        let now = self.door.clock.now();
        let after = comment.after_ms.filter(|ms| *ms > 0.0).map(|ms| Time((ms * 1e3) as i64));
        // One that stands ahead of the clock was made just now.
        let since_write = after.map(|at| Time((now.0 - at.0).max(1)));
        Ok(Request {
            class,
            tenant: tenant.unwrap_or(names.tenants.len()),
            group,
            session: Comment::quoted_key(words).map(SessionId::of),
            again: comment.again,
            since_write,
            wait: Duration::try_from_secs_f64(comment.wait_ms / 1e3).map_or(MOST_WAIT, |d| d.min(MOST_WAIT)),
            statement: Statement { text, wait_at: comment.wait_at },
        })
    }

    /// Hands a request to the module and writes the answer, unless the client leaves before.
    async fn ask(&mut self, request: Request) -> Result<(), Over> {
        if self.ended {
            // It ended its side after sending this: it may be gone, or only have nothing more to say.
            self.error("57014", "the client has ended the connection");
            return Ok(());
        }
        if self.full() {
            self.error("53300", "too many clients are connected");
            return Ok(());
        }
        let (id, arrived, client) = ((self.id)(), Instant::now(), self.address.clone());
        let arrival = Event::Arrival(Box::new(Arrival { id, request, arrived, client }));
        if self.door.events.send(arrival).await.is_err() {
            return Err(Over::Closed);
        }
        loop {
            let room = self.read.len() < READ_AHEAD;
            tokio::select! {
                biased;
                mail = self.mailbox.recv() => match mail {
                    Some(Mail::Answer(of, answer)) if of == id => {
                        self.answer(answer);
                        return Ok(());
                    }
                    Some(_) => {}
                    None => return Err(Over::Closed),
                },
                read = self.stream.read_buf(&mut self.read), if room && !self.ended => {
                    if matches!(read, Ok(n) if n > 0) {
                        continue;
                    }
                    let _ = self.door.events.send(Event::ClientLeft(id)).await;
                    self.ended = true;
                    read?;
                    self.error("57014", "the client has ended the connection");
                    return Ok(());
                }
            }
        }
    }

    fn full(&self) -> bool {
        self.over && taken(&self.seat) > self.door.limit
    }

    fn answer(&mut self, answer: Answer) {
        match answer {
            Answer::Served(value) => self.out.extend_from_slice(&value),
            Answer::Refused { retry_after } => {
                let wait = retry_after.map(|t| (t.0 / 1000).max(1).to_string());
                let problem = "not now: trying again is harmless";
                pgwire::error(&mut self.out, "ERROR", "53300", problem, wait.as_deref());
            }
            Answer::Failed => self.error("58000", "no ledger host answered in time"),
            Answer::Invalid(problem) => self.error("22023", &problem),
        }
    }

    fn error(&mut self, code: &str, problem: &str) {
        pgwire::error(&mut self.out, "ERROR", code, problem, None);
    }

    /// Writes all that is to be said in one go.
    async fn flush(&mut self) -> io::Result<()> {
        let out = self.out.split();
        if out.is_empty() {
            return Ok(());
        }
        timeout(WRITE, self.stream.write_all(&out)).await.map_err(|_| io::ErrorKind::TimedOut)?
    }
}

/// How many clients are here; the door itself holds one seat.
fn taken(seat: &Arc<()>) -> usize {
    Arc::strong_count(seat) - 1
}

/// The tag of a statement that only sets up a session: libraries send them; they have no effect here.
fn session_command(words: &str) -> Option<&'static str> {
    let verb = words.split_whitespace().next()?.trim_end_matches(';');
    ["SET", "RESET", "DISCARD"].into_iter().find(|tag| verb.eq_ignore_ascii_case(tag))
}
