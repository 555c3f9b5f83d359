//! Clients whose behavior makes it hard to close their connection during a drain, on real sockets.

use crate::scenario::{client_message, tds_client_message, ProcessorTime, TimerLateness};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, OnceLock};
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};

/// How long after the trigger a client gives up waiting for the end of its connection.
pub const GIVE_UP_AFTER: Duration = Duration::from_secs(7);

/// Wire protocol of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    Postgres,
    Tds,
}

/// Behavior of a client on its connection, from before the trigger (the signal or console call that starts a
/// drain) until the connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Sends a request every 10 ms, so that one is always unanswered.
    SteadyRequests,
    /// Sends the next request as soon as it has the response to the previous one.
    BackToBack,
    /// Sends twenty requests about ten times a second, without waiting for responses.
    Bursts,
    /// Sends requests and never reads a response.
    NeverReads,
    /// Sends one statement a byte at a time.
    SlowStatement,
    /// Sends each statement in two halves, the second together with the first half of the next statement.
    SplitStatements,
    /// Sends invalid statements.
    InvalidStatements,
    /// Logs in and sends only Sync messages, which request nothing.
    OnlySync,
    /// Sends empty queries, two at a time.
    EmptyQueries,
    /// Sends one request and then stays idle.
    IdleAfterRequest,
    /// Logs in and never sends a request.
    IdleAfterLogin,
    /// Sends a request and shuts down the sending side of its connection.
    HalfClosed,
    /// Connects after the trigger and sends its startup message a byte at a time.
    SlowStartup,
    /// Sends bytes of no valid message and never reads a response.
    Garbage,
}

impl Behavior {
    /// Whether the client starts this behavior only after the trigger: if it started earlier, the proxy would
    /// close its connection before the trigger.
    fn starts_after_trigger(self) -> bool {
        matches!(
            self,
            Self::SlowStartup
                | Self::Garbage
                | Self::InvalidStatements
                | Self::SlowStatement
                | Self::HalfClosed
        )
    }

    fn never_reads(self) -> bool {
        matches!(self, Self::NeverReads | Self::Garbage)
    }
}

/// How a client's connection ended, with evidence on the client's own delays.
pub struct Outcome {
    /// Behavior of the client.
    pub behavior: Behavior,
    /// Time from the trigger to the end; `None` if the connection was still open when the client gave up.
    pub closed_after: Option<Duration>,
    /// Number of requests that were answered.
    pub answers: u64,
    /// Whether a request is unanswered and the last one was sent less than 2 s after the trigger, so that 4 s
    /// after the trigger everything sent is older than 2 s.
    pub awaits_old_request: bool,
    /// Time that the client's thread waited for a processor since the trigger, if the system reports it.
    pub cpu_wait: Option<Duration>,
    /// Total lateness of the client's own pauses.
    pub timers_late: Duration,
}

impl Outcome {
    /// Whether operators would find the connection still open at `most` after the trigger.
    pub fn is_held_open(&self, most: Duration) -> bool {
        self.closed_after.is_none_or(|after| after >= most) && !self.awaits_old_request
    }
}

/// A client on one connection.
pub struct Client {
    protocol: Protocol,
    behavior: Behavior,
    deadline_ms: u64,
    name: String,
    stream: TcpStream,
    unparsed: Vec<u8>,
    requests_sent: u64,
    last_sent: Instant,
    answers: u64,
    is_closed: bool,
    /// Lateness of its own pauses.
    timers: TimerLateness,
}

impl Client {
    /// Connects, with the smallest receive buffer if the client never reads. `name` begins the ids of its
    /// requests.
    fn connect(
        address: SocketAddr,
        protocol: Protocol,
        behavior: Behavior,
        deadline_ms: u64,
        name: &str,
    ) -> Self {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        if behavior.never_reads() {
            socket.set_recv_buffer_size(4096).unwrap();
        }
        socket.connect(&address.into()).unwrap();
        let stream = TcpStream::from(socket);
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
        stream.set_write_timeout(Some(Duration::from_millis(2))).unwrap();
        let (unparsed, last_sent) = (Vec::new(), Instant::now());
        let name = name.to_owned();
        let timers = TimerLateness::default();
        Self {
            protocol,
            behavior,
            deadline_ms,
            name,
            stream,
            unparsed,
            requests_sent: 0,
            last_sent,
            answers: 0,
            is_closed: false,
            timers,
        }
    }

    /// Writes these bytes as far as the connection accepts them without blocking for long.
    fn send(&mut self, bytes: &[u8]) {
        self.last_sent = Instant::now();
        match self.stream.write_all(bytes) {
            Ok(()) => {}
            Err(problem) if matches!(problem.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            // Responses that arrived before the reset can still be read.
            Err(_) => {
                while !self.is_closed && !self.behavior.never_reads() {
                    self.read_available();
                }
                self.is_closed = true;
            }
        }
    }

    /// Reads what has arrived and counts the responses.
    fn read_available(&mut self) {
        let mut bytes = [0; 64 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(0) => self.is_closed = true,
            Ok(length) => self.unparsed.extend_from_slice(&bytes[..length]),
            Err(problem) if matches!(problem.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => self.is_closed = true,
        }
        while let Some((length, is_last)) = self.first_whole_message() {
            self.unparsed.drain(..length);
            self.answers += u64::from(is_last);
        }
    }

    /// Returns the length of the first message that has arrived whole, and whether it ends a response:
    /// ReadyForQuery, or the last packet of a TDS message.
    fn first_whole_message(&self) -> Option<(usize, bool)> {
        let (length, is_last) = match (self.protocol, &self.unparsed[..]) {
            (Protocol::Postgres, [kind, a, b, c, d, ..]) => {
                (u32::from_be_bytes([*a, *b, *c, *d]) as usize + 1, *kind == b'Z')
            }
            (Protocol::Tds, [_, status, a, b, ..]) => {
                (usize::from(u16::from_be_bytes([*a, *b])), status & 1 == 1)
            }
            _ => return None,
        };
        (self.unparsed.len() >= length).then_some((length, is_last))
    }

    /// Logs in. The greeting does not count as a response.
    fn log_in(&mut self) {
        let (greeting, answers) = match self.protocol {
            Protocol::Postgres => (client_message("startup"), 1),
            Protocol::Tds => ([tds_client_message("prelogin"), tds_client_message("login")].concat(), 2),
        };
        self.send(&greeting);
        let until = Instant::now() + GIVE_UP_AFTER;
        while self.answers < answers && Instant::now() < until {
            self.read_available();
        }
        assert_eq!(self.answers, answers, "responses to the login");
        self.answers = 0;
    }

    /// Returns the next request.
    fn request(&mut self) -> Vec<u8> {
        self.requests_sent += 1;
        let id = format!("{}{}", self.name, self.requests_sent);
        let class = if self.behavior.never_reads() { "own" } else { "read" };
        match self.protocol {
            Protocol::Postgres => client_message(&format!("{class} {id} {} {id}", self.deadline_ms)),
            Protocol::Tds => tds_client_message(&format!("{class} {id} {}", self.deadline_ms)),
        }
    }

    fn invalid_statement(&self) -> Vec<u8> {
        match self.protocol {
            Protocol::Postgres => client_message("text SELECT nothing"),
            Protocol::Tds => tds_client_message("text SELECT nothing"),
        }
    }

    /// Carries out one round of the behavior.
    #[expect(clippy::too_many_lines)]
    fn run_once(&mut self, round: usize) {
        match self.behavior {
            Behavior::SteadyRequests => self.request_and_pause(Duration::from_millis(10)),
            Behavior::BackToBack => {
                if self.requests_sent == self.answers {
                    let request = self.request();
                    self.send(&request);
                }
                self.read_available();
            }
            Behavior::Bursts => {
                if round.is_multiple_of(20) {
                    let burst: Vec<u8> = (0..20).flat_map(|_| self.request()).collect();
                    self.send(&burst);
                }
                self.read_available();
            }
            Behavior::NeverReads => {
                let request = self.request();
                self.send(&request);
                self.pause(Duration::from_millis(5));
            }
            Behavior::SlowStatement => match self.protocol {
                Protocol::Postgres => {
                    self.send_one_byte(&[&b"Q\0\0\xff\xff"[..], &[b' '; 200]].concat(), round)
                }
                Protocol::Tds => {
                    self.send_one_byte(&[&b"\x01\x01\x00\xff\0\0\x01\0"[..], &[0; 200]].concat(), round)
                }
            },
            Behavior::SlowStartup => match self.protocol {
                Protocol::Postgres => self.send_one_byte(&[&b"\0\0\x01\0"[..], &[0; 200]].concat(), round),
                Protocol::Tds => {
                    self.send_one_byte(&[&b"\x12\x01\x00\xff\0\0\x01\0"[..], &[0; 200]].concat(), round)
                }
            },
            Behavior::SplitStatements => {
                // The proxy always holds the first half of a statement: its second half arrives together with
                // the first half of the next one.
                let request = self.request();
                let half = request.len() / 2;
                self.send(&request[..half]);
                self.pause(Duration::from_millis(100));
                self.read_available();
                self.send(&request[half..]);
            }
            Behavior::InvalidStatements => {
                let statement = self.invalid_statement();
                self.send(&statement);
                self.pause(Duration::from_millis(20));
                self.read_available();
            }
            Behavior::OnlySync => {
                self.send(&client_message("sync"));
                self.pause(Duration::from_millis(50));
                self.read_available();
            }
            Behavior::EmptyQueries => {
                while self.requests_sent < self.answers + 2 {
                    self.requests_sent += 1;
                    self.send(&client_message("text"));
                }
                self.read_available();
            }
            Behavior::IdleAfterRequest | Behavior::IdleAfterLogin => {
                if self.behavior == Behavior::IdleAfterRequest && self.requests_sent == 0 {
                    let request = self.request();
                    self.send(&request);
                }
                self.read_available();
            }
            Behavior::HalfClosed => {
                if self.requests_sent == 0 {
                    let request = self.request();
                    self.send(&request);
                    let _ = self.stream.shutdown(Shutdown::Write);
                }
                self.read_available();
            }
            Behavior::Garbage => {
                self.send(&[0; 4096]);
                self.pause(Duration::from_millis(5));
            }
        }
    }

    fn request_and_pause(&mut self, pause: Duration) {
        let request = self.request();
        self.send(&request);
        self.pause(pause);
        self.read_available();
    }

    fn pause(&self, duration: Duration) {
        self.timers.timer_set(duration);
        sleep(duration);
        self.timers.timer_fired();
    }

    /// Sends the byte of this round, ten times a second.
    fn send_one_byte(&mut self, bytes: &[u8], round: usize) {
        self.send(&bytes[round % bytes.len()..][..1]);
        self.pause(Duration::from_millis(100));
        self.read_available();
    }

    /// Repeats the behavior until the connection is closed or the client gives up.
    fn run(&mut self, triggered_at: &OnceLock<Instant>) -> Outcome {
        let cpu_wait = || ProcessorTime::of_this_thread().map(|time| time.queued);
        let mut cpu_wait_before = None;
        let gives_up = || triggered_at.get().is_some_and(|at| at.elapsed() > GIVE_UP_AFTER);
        for round in 0.. {
            if self.is_closed || gives_up() {
                break;
            }
            if cpu_wait_before.is_none() && triggered_at.get().is_some() {
                cpu_wait_before = cpu_wait();
            }
            self.run_once(round);
        }
        let counts = !matches!(
            self.behavior,
            Behavior::OnlySync | Behavior::EmptyQueries | Behavior::InvalidStatements
        );
        let at = triggered_at.get().copied();
        Outcome {
            behavior: self.behavior,
            // Zero if the connection ended before the trigger.
            closed_after: self.is_closed.then(|| at.map_or(Duration::ZERO, |at| at.elapsed())),
            answers: if counts { self.answers } else { 0 },
            awaits_old_request: self.requests_sent > self.answers
                && at.is_some_and(|at| self.last_sent < at + Duration::from_secs(2)),
            timers_late: self.timers.total(),
            cpu_wait: cpu_wait().zip(cpu_wait_before).map(|(now, before)| now - before),
        }
    }
}

/// Starts a client with this behavior in a thread of its own. It runs until its connection ends.
/// `triggered_at` is set when the drain starts.
pub fn start(
    address: SocketAddr,
    protocol: Protocol,
    behavior: Behavior,
    deadline_ms: u64,
    triggered_at: &Arc<OnceLock<Instant>>,
) -> JoinHandle<Outcome> {
    let triggered_at = Arc::clone(triggered_at);
    std::thread::spawn(move || {
        // A request id may contain letters and digits only.
        let name = format!("{behavior:?}").to_lowercase();
        while behavior == Behavior::SlowStartup && triggered_at.get().is_none() {
            sleep(Duration::from_millis(1));
        }
        let mut client = Client::connect(address, protocol, behavior, deadline_ms, &name);
        if behavior != Behavior::SlowStartup {
            client.log_in();
        }
        while behavior.starts_after_trigger() && triggered_at.get().is_none() {
            sleep(Duration::from_millis(1));
        }
        client.run(&triggered_at)
    })
}
