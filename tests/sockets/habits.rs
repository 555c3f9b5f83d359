//! Clients with habits that make a connection hard to end, on real sockets.

use crate::scenario::{client_message, tds_client_message, ProcessorTime, TimerLateness};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, OnceLock};
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};

/// When a client gives up, from the order to end on.
pub const PATIENCE: Duration = Duration::from_secs(7);

/// The protocol that a client speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wire {
    Postgres,
    Tds,
}

/// What a client does with its connection, from before the order to end on and for as long as it is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// Sends a request every 10 ms, so that one is always out.
    AlwaysOneMore,
    /// Sends a request as soon as it has the answer to the one before.
    NoGap,
    /// Sends twenty requests ten times a second, whatever has been answered.
    Bursts,
    /// Sends requests and takes no answer.
    TakesNothing,
    /// Sends one statement byte by byte.
    OneByOne,
    /// Sends the end of one statement and the beginning of the next, again and again.
    HalfBehindWhole,
    /// Sends statements without sense.
    Senseless,
    /// Has said who it is and sends messages that ask for nothing.
    OnlySync,
    /// Sends empty queries, two at a time.
    EmptyQueries,
    /// Has asked once and rests.
    Rests,
    /// Has said who it is and never asks.
    NeverAsks,
    /// Sends a request and ends its side.
    HalfClosed,
    /// Sends its startup byte by byte, from just after the order on.
    Startup,
    /// Sends bytes that cannot be read and takes no answer.
    Garbage,
}

impl Habit {
    /// What would not last until the order begins right after it.
    fn comes_late(self) -> bool {
        matches!(self, Self::Startup | Self::Garbage | Self::Senseless | Self::OneByOne | Self::HalfClosed)
    }

    fn takes_nothing(self) -> bool {
        matches!(self, Self::TakesNothing | Self::Garbage)
    }
}

/// How a client's connection ended.
pub struct Ending {
    /// Whose it was.
    pub habit: Habit,
    /// When, from the order on; none if it was still open when the client gave up.
    pub after: Option<Duration>,
    /// Answers to requests that it had by then.
    pub answers: u64,
    /// Whether all that it had sent was older than 2 s at 4 s after the order.
    pub waits_for_old: bool,
    /// How long the client's own thread was without a processor since then, if the system tells.
    pub queued: Option<Duration>,
    /// How late its own pauses ended, all together.
    pub timers_late: Duration,
}

impl Ending {
    /// Whether operators would find the connection held, so long after their order.
    pub fn is_held(&self, most: Duration) -> bool {
        self.after.is_none_or(|after| after >= most) && !self.waits_for_old
    }
}

/// A client on one connection.
pub struct Client {
    wire: Wire,
    habit: Habit,
    wait_ms: u64,
    name: String,
    stream: TcpStream,
    read: Vec<u8>,
    sent: u64,
    last_sent: Instant,
    answers: u64,
    is_closed: bool,
    /// How late its own pauses ended.
    timers: TimerLateness,
}

impl Client {
    /// Connects; with the least room for answers if it takes none. Its requests are told by the name.
    fn connect(address: SocketAddr, wire: Wire, habit: Habit, wait_ms: u64, name: &str) -> Self {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        if habit.takes_nothing() {
            socket.set_recv_buffer_size(4096).unwrap();
        }
        socket.connect(&address.into()).unwrap();
        let stream = TcpStream::from(socket);
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(2))).unwrap();
        stream.set_write_timeout(Some(Duration::from_millis(2))).unwrap();
        let (read, last_sent) = (Vec::new(), Instant::now());
        let name = name.to_owned();
        let timers = TimerLateness::default();
        Self {
            wire,
            habit,
            wait_ms,
            name,
            stream,
            read,
            sent: 0,
            last_sent,
            answers: 0,
            is_closed: false,
            timers,
        }
    }

    /// Writes what the connection takes of these bytes.
    fn send(&mut self, bytes: &[u8]) {
        self.last_sent = Instant::now();
        match self.stream.write_all(bytes) {
            Ok(()) => {}
            Err(problem) if matches!(problem.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            // What was answered before the connection was reset is still there to be read.
            Err(_) => {
                while !self.is_closed && !self.habit.takes_nothing() {
                    self.hear();
                }
                self.is_closed = true;
            }
        }
    }

    /// Reads what is there and counts the answers.
    fn hear(&mut self) {
        let mut bytes = [0; 64 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(0) => self.is_closed = true,
            Ok(length) => self.read.extend_from_slice(&bytes[..length]),
            Err(problem) if matches!(problem.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => self.is_closed = true,
        }
        while let Some((length, is_last)) = self.first_message() {
            self.read.drain(..length);
            self.answers += u64::from(is_last);
        }
    }

    /// The length of the first message that is there as a whole, and whether it ends an answer: ReadyForQuery, or the last
    /// packet of a message of TDS.
    fn first_message(&self) -> Option<(usize, bool)> {
        let (length, is_last) = match (self.wire, &self.read[..]) {
            (Wire::Postgres, [kind, a, b, c, d, ..]) => {
                (u32::from_be_bytes([*a, *b, *c, *d]) as usize + 1, *kind == b'Z')
            }
            (Wire::Tds, [_, status, a, b, ..]) => {
                (usize::from(u16::from_be_bytes([*a, *b])), status & 1 == 1)
            }
            _ => return None,
        };
        (self.read.len() >= length).then_some((length, is_last))
    }

    /// Opens its session; the greeting is no answer.
    fn open(&mut self) {
        let (greeting, answers) = match self.wire {
            Wire::Postgres => (client_message("startup"), 1),
            Wire::Tds => ([tds_client_message("prelogin"), tds_client_message("login")].concat(), 2),
        };
        self.send(&greeting);
        let until = Instant::now() + PATIENCE;
        while self.answers < answers && Instant::now() < until {
            self.hear();
        }
        assert_eq!(self.answers, answers, "greeted");
        self.answers = 0;
    }

    fn request(&mut self) -> Vec<u8> {
        self.sent += 1;
        let id = format!("{}{}", self.name, self.sent);
        let class = if self.habit.takes_nothing() { "own" } else { "read" };
        match self.wire {
            Wire::Postgres => client_message(&format!("{class} {id} {} {id}", self.wait_ms)),
            Wire::Tds => tds_client_message(&format!("{class} {id} {}", self.wait_ms)),
        }
    }

    fn senseless(&self) -> Vec<u8> {
        match self.wire {
            Wire::Postgres => client_message("text SELECT nothing"),
            Wire::Tds => tds_client_message("text SELECT nothing"),
        }
    }

    /// Does once what its habit is.
    #[expect(clippy::too_many_lines)]
    fn act(&mut self, turn: usize) {
        match self.habit {
            Habit::AlwaysOneMore => self.ask_and_pause(Duration::from_millis(10)),
            Habit::NoGap => {
                if self.sent == self.answers {
                    let request = self.request();
                    self.send(&request);
                }
                self.hear();
            }
            Habit::Bursts => {
                if turn.is_multiple_of(20) {
                    let burst: Vec<u8> = (0..20).flat_map(|_| self.request()).collect();
                    self.send(&burst);
                }
                self.hear();
            }
            Habit::TakesNothing => {
                let request = self.request();
                self.send(&request);
                self.pause(Duration::from_millis(5));
            }
            Habit::OneByOne => match self.wire {
                Wire::Postgres => self.trickle(&[&b"Q\0\0\xff\xff"[..], &[b' '; 200]].concat(), turn),
                Wire::Tds => self.trickle(&[&b"\x01\x01\x00\xff\0\0\x01\0"[..], &[0; 200]].concat(), turn),
            },
            Habit::Startup => match self.wire {
                Wire::Postgres => self.trickle(&[&b"\0\0\x01\0"[..], &[0; 200]].concat(), turn),
                Wire::Tds => self.trickle(&[&b"\x12\x01\x00\xff\0\0\x01\0"[..], &[0; 200]].concat(), turn),
            },
            Habit::HalfBehindWhole => {
                // The first half of a statement is always there, the second comes with the next one's first.
                let request = self.request();
                let half = request.len() / 2;
                self.send(&request[..half]);
                self.pause(Duration::from_millis(100));
                self.hear();
                self.send(&request[half..]);
            }
            Habit::Senseless => {
                let statement = self.senseless();
                self.send(&statement);
                self.pause(Duration::from_millis(20));
                self.hear();
            }
            Habit::OnlySync => {
                self.send(&client_message("sync"));
                self.pause(Duration::from_millis(50));
                self.hear();
            }
            Habit::EmptyQueries => {
                while self.sent < self.answers + 2 {
                    self.sent += 1;
                    self.send(&client_message("text"));
                }
                self.hear();
            }
            Habit::Rests | Habit::NeverAsks => {
                if self.habit == Habit::Rests && self.sent == 0 {
                    let request = self.request();
                    self.send(&request);
                }
                self.hear();
            }
            Habit::HalfClosed => {
                if self.sent == 0 {
                    let request = self.request();
                    self.send(&request);
                    let _ = self.stream.shutdown(Shutdown::Write);
                }
                self.hear();
            }
            Habit::Garbage => {
                self.send(&[0; 4096]);
                self.pause(Duration::from_millis(5));
            }
        }
    }

    fn ask_and_pause(&mut self, pause: Duration) {
        let request = self.request();
        self.send(&request);
        self.pause(pause);
        self.hear();
    }

    fn pause(&self, span: Duration) {
        self.timers.sleeps(span);
        sleep(span);
        self.timers.woke();
    }

    /// Sends the byte whose turn it is, ten times a second.
    fn trickle(&mut self, bytes: &[u8], turn: usize) {
        self.send(&bytes[turn % bytes.len()..][..1]);
        self.pause(Duration::from_millis(100));
        self.hear();
    }

    /// Goes on until its connection is closed, or long after the order.
    fn go_on(&mut self, ordered: &OnceLock<Instant>) -> Ending {
        let queued = || ProcessorTime::of_this_thread().map(|time| time.queued);
        let mut queued_before = None;
        let gives_up = || ordered.get().is_some_and(|at| at.elapsed() > PATIENCE);
        for turn in 0.. {
            if self.is_closed || gives_up() {
                break;
            }
            if queued_before.is_none() && ordered.get().is_some() {
                queued_before = queued();
            }
            self.act(turn);
        }
        let counts = !matches!(self.habit, Habit::OnlySync | Habit::EmptyQueries | Habit::Senseless);
        let at = ordered.get().copied();
        Ending {
            habit: self.habit,
            // It may have ended before the order that counts.
            after: self.is_closed.then(|| at.map_or(Duration::ZERO, |at| at.elapsed())),
            answers: if counts { self.answers } else { 0 },
            waits_for_old: self.sent > self.answers
                && at.is_some_and(|at| self.last_sent < at + Duration::from_secs(2)),
            timers_late: self.timers.total(),
            queued: queued().zip(queued_before).map(|(now, before)| now - before),
        }
    }
}

/// Starts a client of that habit; it goes on until its connection ends, and knows of the order once that is set.
pub fn start(
    address: SocketAddr,
    wire: Wire,
    habit: Habit,
    wait_ms: u64,
    ordered: &Arc<OnceLock<Instant>>,
) -> JoinHandle<Ending> {
    let ordered = Arc::clone(ordered);
    std::thread::spawn(move || {
        // Names of requests may hold letters and digits.
        let name = format!("{habit:?}").to_lowercase();
        while habit == Habit::Startup && ordered.get().is_none() {
            sleep(Duration::from_millis(1));
        }
        let mut client = Client::connect(address, wire, habit, wait_ms, &name);
        if habit != Habit::Startup {
            client.open();
        }
        while habit.comes_late() && ordered.get().is_none() {
            sleep(Duration::from_millis(1));
        }
        client.go_on(&ordered)
    })
}
