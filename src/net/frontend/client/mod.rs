//! A client connection: one actor each, whatever protocol it speaks. It owns the connection's place among all, its times
//! and the requests that have no answer yet; what bytes mean is the conversation's.

mod draining;
mod ending;
mod opening;
mod requests;
mod waiting;

use super::cancel::{CancelKey, Registration};
use super::close_reason::CloseReason;
use super::connections::{Activity, ConnectionEntry};
use super::conversation::Conversation;
use super::fault::Fault;
use super::postgres::Postgres;
use super::tds::Tds;
use super::Acceptor;
use crate::budget::{AccountId, Reservation};
use crate::interface::RequestId;
use crate::net::memory::Reclaim;
use crate::net::messages::ClientMessage;
use crate::net::socket::Socket;
use crate::pipeline::{Limits, Pipeline};
use crate::protocol::Protocol;
use bytes::BytesMut;
use draining::DrainSignals;
use requests::{Pending, Reply};
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch, Notify};
use tokio::time::{sleep_until, Instant};
use waiting::Signals;

/// A client that has connected and does not say who it is is cut off after this time.
const STARTUP: Duration = Duration::from_millis(1_200);
/// And one that has brought no whole statement after this time. Whoever brings nothing of use is told so, or
/// cut off, within 3 s of connecting; only a connection that was silent for 2 s may be closed.
const FIRST: Duration = Duration::from_millis(2_200);
/// A message whose first byte has come is whole after this time, or never will be; the first one counts from
/// the connecting. Some clients write slowly, so no less.
const PARTIAL: Duration = Duration::from_millis(2_700);
/// An error is written within this time, whatever stands ahead of it: it is owed within 3 s.
const ERROR_DUE: Duration = Duration::from_millis(2_500);
/// After a statement that made no sense the next is read so much later, the more so the more there were, and
/// after the last one the client has to come again: who repeats at once what was rejected would otherwise
/// take the core from those that ask properly.
const ERROR_BACKOFF: Duration = Duration::from_millis(40);
const MAX_PROTOCOL_ERRORS: u32 = 8;
/// An error that ends a connection may be overtaken by a reset while the client still sends: for so long, and
/// so many bytes, what comes is read and dropped.
const LINGER: Duration = Duration::from_millis(300);
const MAX_LINGER_BYTES: usize = 1 << 20;
/// A buffer that has grown beyond this is given back once it is empty.
const RETAINED_CAPACITY: usize = 4 * 1024;
/// Buffers are accounted for in steps of so many bytes.
const STEP: usize = 1024;
/// So much is read ahead while the pipeline is full: enough to see the client leave, little to hold.
const READ_AHEAD: usize = 16 * 1024;
/// When connections run short those that have been idle for longer than this go.
const IDLE: Duration = Duration::from_millis(2_000);
/// A client that takes nothing of what is written for so long is given up.
const WRITE: Duration = Duration::from_secs(10);

/// Why the conversation is over.
enum Over {
    /// Nothing is said about it.
    Closed(CloseReason),
    /// The client is told.
    Fault(Fault),
    /// The client is told, and its seat is wanted: it does not get the time to read what it still sends.
    Seat(Fault),
    /// Too many statements made no sense. All that was read is answered; only what was sent beyond it hears why.
    ProtocolErrors,
}

impl From<io::Error> for Over {
    fn from(problem: io::Error) -> Self {
        Self::Closed(CloseReason::Io(problem.kind()))
    }
}

impl From<Fault> for Over {
    fn from(fault: Fault) -> Self {
        Self::Fault(fault)
    }
}

/// What a connection was given when it was accepted.
pub(super) struct Admission {
    /// Its seat, for as long as it is here.
    pub seat: Arc<()>,
    /// Until it has said who it is: it may be evicted to make room for others.
    pub unauthenticated: Option<Arc<Notify>>,
    /// Until it has asked for something: the same, if all seats are taken.
    pub idle_new_connection: Option<Arc<Notify>>,
    /// What its connection costs.
    pub _connection: Reservation,
    /// What its buffers cost.
    pub buffers: Reservation,
    /// What the log shows of it.
    pub entry: ConnectionEntry,
    /// Buffers that have to be given back.
    pub reclaims: watch::Receiver<Vec<Arc<Reclaim>>>,
}

struct Client<C, I> {
    stream: Socket,
    conversation: C,
    acceptor: Acceptor,
    id: I,
    mailbox: mpsc::Receiver<ClientMessage>,
    address: mpsc::Sender<ClientMessage>,
    read: BytesMut,
    out: BytesMut,
    /// Requests whose answers are not written yet.
    pipeline: Pipeline<Pending, Reply>,
    /// Memory for the answers of requests that run behind others.
    answer_room: HashMap<RequestId, Reservation>,
    /// The client has ended its side.
    ended: bool,
    /// Why the connection ends once all requests are answered; nothing further is read then.
    closing: Option<Over>,
    /// Whether it has asked anything since it came.
    asked: bool,
    /// It came when all seats were taken: its requests are refused while they are.
    admitted_over_limit: bool,
    admission: Admission,
    came: Instant,
    /// When bytes were last read.
    read_at: Instant,
    /// Since when nothing has come and no request is open. Being asked to make room does not count.
    quiet: Instant,
    /// When the message that is not yet whole began.
    partial: Option<Instant>,
    /// Statements that made no sense.
    protocol_errors: u32,
    /// Until when no further statement is looked at.
    paused: Option<Instant>,
    /// Whose buffers its own are: the unauthenticated ones' until it has asked for something, then its class's and tenant's.
    account: AccountId,
    /// Told of drains.
    drains: DrainSignals,
    /// Its key, by which what runs here may be called off from another connection.
    registration: Option<Registration>,
}

/// Serves one client until it leaves.
pub(super) async fn serve(
    stream: TcpStream,
    protocol: Protocol,
    acceptor: Acceptor,
    id: impl Fn() -> RequestId,
    connection_pressure: watch::Receiver<()>,
    admission: Admission,
) {
    match protocol {
        Protocol::Postgres => {
            let registration = acceptor.cancellations.register();
            let key = registration.as_ref().map_or(CancelKey::NONE, |registration| registration.key);
            let conversation = Postgres::new(key);
            converse(stream, conversation, acceptor, id, connection_pressure, admission, registration).await;
        }
        Protocol::Tds => {
            converse(stream, Tds::new(), acceptor, id, connection_pressure, admission, None).await
        }
    }
}

async fn converse(
    stream: TcpStream,
    conversation: impl Conversation,
    acceptor: Acceptor,
    id: impl Fn() -> RequestId,
    connection_pressure: watch::Receiver<()>,
    admission: Admission,
    registration: Option<Registration>,
) {
    let _ = stream.set_nodelay(true);
    let limits = if conversation.pipelines() { acceptor.pipeline } else { Limits::SEQUENTIAL };
    // An answer for each request that runs, and for each that was called off or abandoned meanwhile.
    let (address, mailbox) = mpsc::channel(2 * limits.running);
    let (read, out) = (BytesMut::with_capacity(1024), BytesMut::with_capacity(1024));
    let came = Instant::now();
    let admitted_over_limit = taken(&admission.seat) > acceptor.limit;
    let account = acceptor.memory.unidentified_clients();
    let drains = DrainSignals::of(&acceptor);
    let mut client = Client {
        stream: stream.into(),
        conversation,
        acceptor,
        id,
        mailbox,
        address,
        read,
        out,
        pipeline: Pipeline::new(limits),
        answer_room: HashMap::new(),
        ended: false,
        closing: None,
        asked: false,
        admitted_over_limit,
        admission,
        came,
        read_at: came,
        quiet: came,
        partial: None,
        protocol_errors: 0,
        paused: None,
        account,
        drains,
        registration,
    };
    let over = client.talk(connection_pressure).await;
    client.abandon().await;
    client.end(over).await;
}

impl<C: Conversation, I: Fn() -> RequestId> Client<C, I> {
    /// The whole conversation; why it is over.
    async fn talk(&mut self, connection_pressure: watch::Receiver<()>) -> Over {
        match self.open_session().await {
            Ok(()) => self.serve_requests(connection_pressure).await.unwrap_or_else(|over| over),
            Err(over) => over,
        }
    }

    /// Serves requests until the conversation is over.
    async fn serve_requests(&mut self, connection_pressure: watch::Receiver<()>) -> Result<Over, Over> {
        let mut signals = Signals {
            connection_pressure,
            reclaims: self.admission.reclaims.clone(),
            idle_new_connection: self.admission.idle_new_connection.take(),
        };
        // What was taken back before it came is no concern of its.
        signals.reclaims.mark_unchanged();
        loop {
            self.advance().await?;
            if self.pipeline.is_empty() {
                if let Some(over) = self.closing.take() {
                    return Err(over);
                }
            }
            // Nobody is closed on, or asked to leave, who is owed an answer or has sent what was not looked at yet.
            if !self.pipeline.is_empty() || self.paused.is_some() {
                self.wait_for_answers().await?;
            } else if self.ended {
                return Ok(Over::Closed(CloseReason::ClientLeft));
            } else if self.full() && self.asked {
                return Ok(Over::Closed(CloseReason::OverLimit));
            } else if self.is_finishing() {
                // A client that leaves no gap would never be found idle. All that was read is answered; what it has sent
                // since is not read, and comes again on another connection.
                return Ok(Over::Closed(CloseReason::Drained));
            } else {
                self.account_buffers()?;
                self.wait_for_request(&mut signals).await?;
            }
        }
    }

    /// Accounts for the buffers as they are. Where there is no room for them the client has to come again, once it has the
    /// answers that it is owed.
    ///
    /// # Errors
    /// When there is no room and nothing is owed.
    fn account_buffers(&mut self) -> Result<(), Over> {
        if self.read.is_empty() && self.read.capacity() > RETAINED_CAPACITY {
            // Many connections stay for good after one long statement.
            self.read = BytesMut::new();
        }
        let Err(fault) = self.hold() else { return Ok(()) };
        if self.pipeline.is_empty() {
            return Err(fault.into());
        }
        self.read = BytesMut::new();
        self.fail(fault);
        Ok(())
    }

    /// Accounts for the buffers as they are.
    ///
    /// # Errors
    /// When there is no room for them.
    fn hold(&mut self) -> Result<(), Fault> {
        let buffers = self.read.capacity() + self.out.capacity() + self.conversation.held();
        // Buffers shrink a little with each message taken: only whole steps are worth accounting for.
        let bytes = (buffers + self.pipeline.waiting_bytes()).next_multiple_of(STEP) as u64;
        let held = self.acceptor.memory.resize_reservation(&mut self.admission.buffers, self.account, bytes);
        held.map_err(|refused| Fault::Refused(refused.rejection.retry_after))
    }

    fn full(&self) -> bool {
        self.admitted_over_limit && taken(&self.admission.seat) > self.acceptor.limit
    }

    /// Whoever is rejected by no other than this actor is counted here.
    fn rejected(&self, fault: &Fault) {
        if let Some(reason) = fault.reason() {
            self.acceptor.rejections.record(reason, fault.text());
        }
    }

    /// Notes for the log what this actor does now.
    fn describe(&self, activity: Activity) {
        self.admission.entry.update(activity, self.pipeline.len(), self.read.len(), self.read_at);
    }

    /// Writes all that is to be said in one go.
    async fn flush(&mut self) -> io::Result<()> {
        let out = self.out.split();
        if out.is_empty() {
            return Ok(());
        }
        if out.len() > RETAINED_CAPACITY {
            self.out = BytesMut::new();
        }
        self.write(&out).await
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.describe(Activity::Writing);
        // Nearly always the system takes all at once.
        let mut rest = match self.stream.try_write(bytes) {
            Ok(written) => &bytes[written..],
            Err(_) => bytes,
        };
        let mut last_taken = Instant::now();
        while !rest.is_empty() {
            let ends = self.write_ends(last_taken);
            tokio::select! {
                biased;
                written = self.stream.write(rest) => {
                    rest = &rest[written?..];
                    last_taken = Instant::now();
                }
                () = sleep_until(ends) => return Err(io::ErrorKind::TimedOut.into()),
                // How long it may take depends on the drain.
                () = self.drains.changed() => {}
            }
        }
        Ok(())
    }
}

/// How many clients are here; the acceptor itself holds one seat.
fn taken(seat: &Arc<()>) -> usize {
    Arc::strong_count(seat) - 1
}
