//! Clients of a soak: each has a habit, uses its connection until it is ended, and then opens another where the front sends
//! it.

use super::ledger::Boot;
use super::plan::Habit;
use super::run_queue::DelayBaseline;
use super::{add_evidence, Soak};
use bytes::BytesMut;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout, Instant};
use wheelpier_emulator::net::WorldMessage;
use wheelpier_emulator::schedule::Planned;
use wheelpier_emulator::spec::Freshness;
use wheelpier_emulator::Micros;
use wheelpier_pgwire::{query, startup};

/// A session is open within this time, or its client goes elsewhere.
const OPENS: Duration = Duration::from_secs(3);
/// Between two connections.
const AGAIN: Duration = Duration::from_millis(20);
/// Between two requests of one that does not wait for answers, and most that are out.
const INTERVAL: Duration = Duration::from_millis(15);
const MOST_OUT: usize = 40;
/// Between an answer and the next request of one that asks seldom, at least.
const SELDOM: Duration = Duration::from_millis(750);
/// Between the two pieces of a statement.
const PIECE: Duration = Duration::from_millis(30);
/// Between two messages of a rude one.
const RUDE: Duration = Duration::from_millis(10);

/// A request that is out.
struct Out {
    planned: Planned,
    due: Instant,
    start: DelayBaseline,
}

struct Session {
    soak: Rc<Soak>,
    boot: Boot,
    number: u64,
    stream: TcpStream,
    read: BytesMut,
    out: VecDeque<Out>,
    /// What the answer that is being read has brought.
    value: Option<Vec<u8>>,
    failed: bool,
}

/// Lives until the soak is over.
pub async fn live(soak: Rc<Soak>, habit: Habit, first: usize) {
    let mut at = first;
    while !soak.has_started() && !soak.is_over() {
        sleep(AGAIN).await;
    }
    while !soak.is_over() {
        sleep(AGAIN).await;
        let Some(boot) = soak.front(at) else { continue };
        at += 1;
        let Ok(Ok(mut session)) = timeout(OPENS, Session::open(Rc::clone(&soak), boot)).await else {
            continue;
        };
        let _ = session.go_on(habit).await;
        session.end().await;
    }
}

impl Session {
    async fn open(soak: Rc<Soak>, boot: Boot) -> io::Result<Self> {
        let mut stream = TcpStream::connect(soak.address(boot)).await?;
        stream.set_nodelay(true)?;
        let mut greeting = BytesMut::new();
        startup(&mut greeting, "backend", "store");
        stream.write_all(&greeting).await?;
        let mut read = BytesMut::with_capacity(1024);
        loop {
            match take_message(&mut read) {
                Some((b'Z', _)) => break,
                Some(_) => {}
                None if stream.read_buf(&mut read).await? == 0 => {
                    return Err(io::ErrorKind::UnexpectedEof.into())
                }
                None => {}
            }
        }
        let number = soak.ledger.borrow_mut().opened(boot, Instant::now());
        let out = VecDeque::new();
        Ok(Self { soak, boot, number, stream, read, out, value: None, failed: false })
    }

    /// Follows its habit until the connection ends.
    async fn go_on(&mut self, habit: Habit) -> io::Result<()> {
        match habit {
            Habit::Steady => loop {
                self.ask().await?;
                self.hear_all().await?;
                let think = Duration::from_millis(self.number * 7 % 25);
                self.hear_until(Instant::now() + think).await?;
            },
            Habit::Seldom => loop {
                self.ask().await?;
                self.hear_all().await?;
                let think = SELDOM + Duration::from_millis(self.number * 7 % 250);
                self.hear_until(Instant::now() + think).await?;
            },
            Habit::NoGap => loop {
                self.ask().await?;
                self.hear_all().await?;
            },
            Habit::AlwaysOneMore => loop {
                if self.out.len() < MOST_OUT {
                    self.ask().await?;
                }
                self.hear_until(Instant::now() + INTERVAL).await?;
            },
            Habit::Pieces => {
                let mut next = self.prepare();
                loop {
                    let (planned, bytes) = next;
                    let middle = bytes.len() / 2;
                    self.stream.write_all(&bytes[..middle]).await?;
                    self.hear_until(Instant::now() + PIECE).await?;
                    // The request is whole once the second piece is written.
                    self.sent(planned).await;
                    self.stream.write_all(&bytes[middle..]).await?;
                    next = self.prepare();
                }
            }
            Habit::Rests => {
                self.ask().await?;
                self.hear_until(Instant::now() + Duration::from_secs(3_600)).await
            }
            Habit::Rude => loop {
                let mut bytes = BytesMut::new();
                query(&mut bytes, if self.number.is_multiple_of(2) { b"" } else { b"SELECT nothing" });
                self.soak.ledger.borrow_mut().said(self.number, Instant::now());
                self.stream.write_all(&bytes).await?;
                sleep(RUDE).await;
            },
        }
    }

    /// The next request of all clients, and its bytes.
    fn prepare(&self) -> (Planned, BytesMut) {
        let planned = self.soak.next_request(self.boot);
        let wait = self.soak.plan.spec.classes[planned.class].deadline;
        let mut bytes = BytesMut::new();
        query(&mut bytes, planned.statement(&self.soak.plan.spec, wait).as_bytes());
        (planned, bytes)
    }

    async fn ask(&mut self) -> io::Result<()> {
        let (planned, bytes) = self.prepare();
        self.sent(planned).await;
        self.stream.write_all(&bytes).await
    }

    /// Notes a request that is about to be whole at its process.
    async fn sent(&mut self, planned: Planned) {
        let wait = self.soak.plan.spec.classes[planned.class].deadline;
        let until = self.soak.clock.now() + wait;
        let (id, session) = (planned.id.clone(), planned.session.clone());
        let _ = self
            .soak
            .world
            .send(WorldMessage::Asked { id, session, proxy: self.boot.into(), until: until + LATE_US })
            .await;
        let now = Instant::now();
        self.soak.ledger.borrow_mut().sent(self.number, now);
        let start = self.soak.start_of(self.boot.process);
        self.out.push_back(Out { planned, start, due: now + Duration::from_micros(wait as u64) });
    }

    /// Hears until nothing is out.
    async fn hear_all(&mut self) -> io::Result<()> {
        while !self.out.is_empty() {
            self.hear().await?;
        }
        Ok(())
    }

    /// Hears until that moment.
    async fn hear_until(&mut self, moment: Instant) -> io::Result<()> {
        loop {
            tokio::select! {
                biased;
                heard = self.hear() => heard?,
                () = sleep_until(moment) => return Ok(()),
            }
        }
    }

    /// Reads what comes next, and takes the answers that are whole by then.
    async fn hear(&mut self) -> io::Result<()> {
        if self.stream.read_buf(&mut self.read).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        while let Some((kind, content)) = take_message(&mut self.read) {
            match kind {
                b'D' => self.value = content.get(6..).map(<[u8]>::to_vec),
                b'E' => self.failed = true,
                b'Z' => self.answer().await,
                _ => {}
            }
        }
        Ok(())
    }

    async fn answer(&mut self) {
        let (value, failed) = (self.value.take(), std::mem::take(&mut self.failed));
        let Some(Out { planned, due, start }) = self.out.pop_front() else { return };
        self.judge(&planned.id, due, &start);
        let value = value.filter(|_| !failed);
        if value.is_none() {
            self.soak.ledger.borrow_mut().not_served(self.boot);
        }
        let writes = self.soak.plan.spec.classes[planned.class].freshness == Freshness::Write;
        let wrote = (writes && value.is_some()).then(|| planned.session.clone());
        let _ = self.soak.world.send(WorldMessage::Answered { id: planned.id, value, wrote }).await;
    }

    fn judge(&self, id: &str, due: Instant, start: &DelayBaseline) {
        let mut ledger = self.soak.ledger.borrow_mut();
        if ledger.answered(self.number, id, due, Instant::now()) {
            add_evidence(&mut ledger.findings.lost, self.boot, &start.delays(&self.soak.timers));
        }
    }

    /// Its connection is over: what was answered before its end is still there to be read.
    async fn end(mut self) {
        while timeout(AGAIN, self.hear()).await.is_ok_and(|heard| heard.is_ok()) {}
        let ids: Vec<String> = self.out.iter().map(|out| out.planned.id.clone()).collect();
        let is_excused = self.soak.is_excused(self.boot);
        self.soak.ledger.borrow_mut().closed(self.number, &ids, is_excused);
        for id in ids {
            let _ = self.soak.world.send(WorldMessage::Withdrawn(id)).await;
        }
    }
}

/// The world's own checker leaves the time of an answer to the ledger here.
const LATE_US: Micros = 1_000_000;

fn length(read: &BytesMut) -> Option<usize> {
    let head: [u8; 4] = read.get(1..5)?.try_into().ok()?;
    Some(u32::from_be_bytes(head) as usize + 1)
}

/// Takes the first message, if it is there as a whole: its kind, and what follows its length.
pub(super) fn take_message(read: &mut BytesMut) -> Option<(u8, BytesMut)> {
    let length = length(read).filter(|length| read.len() >= *length)?;
    let mut message = read.split_to(length);
    let kind = message[0];
    let content = message.split_off(5);
    Some((kind, content))
}
