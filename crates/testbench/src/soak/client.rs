//! Clients of a soak. Each one follows its workload until its connection ends, then opens another connection
//! to the process that the simulated load balancer picks.

use super::ledger::ProcessRun;
use super::plan::Workload;
use super::run_queue::DelayBaseline;
use super::{append_delays, Soak};
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

/// The time within which a session has to open; after it the client tries the next process.
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause before a client opens its next connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// The interval between two requests of `Workload::Pipelined`.
const PIPELINE_INTERVAL: Duration = Duration::from_millis(15);
/// The most requests that `Workload::Pipelined` has outstanding.
const MAX_OUTSTANDING: usize = 40;
/// The shortest pause between an answer and the next request of `Workload::Infrequent`.
const INFREQUENT_PAUSE: Duration = Duration::from_millis(750);
/// The pause between the two pieces of a statement in `Workload::SplitStatements`.
const PIECE_DELAY: Duration = Duration::from_millis(30);
/// The pause between two messages of `Workload::Malformed`.
const MALFORMED_INTERVAL: Duration = Duration::from_millis(10);

/// A request that was sent and has no answer yet.
struct OutstandingRequest {
    planned: Planned,
    due: Instant,
    baseline: DelayBaseline,
}

/// An open connection of a client.
struct Session {
    soak: Rc<Soak>,
    run: ProcessRun,
    number: u64,
    stream: TcpStream,
    buffer: BytesMut,
    outstanding: VecDeque<OutstandingRequest>,
    /// The value in the answer that is being read, if it had one so far.
    value: Option<Vec<u8>>,
    /// Whether the answer that is being read holds an error.
    failed: bool,
}

/// Runs a client until the soak is over; it tries the process `first` first, then the others in turn.
pub async fn run_client(soak: Rc<Soak>, workload: Workload, first: usize) {
    let mut next_process = first;
    while !soak.all_started() && !soak.is_over() {
        sleep(RECONNECT_DELAY).await;
    }
    while !soak.is_over() {
        sleep(RECONNECT_DELAY).await;
        let Some(run) = soak.pick_run(next_process) else { continue };
        next_process += 1;
        let Ok(Ok(mut session)) = timeout(OPEN_TIMEOUT, Session::open(Rc::clone(&soak), run)).await else {
            continue;
        };
        let _ = session.follow(workload).await;
        session.close().await;
    }
}

impl Session {
    async fn open(soak: Rc<Soak>, run: ProcessRun) -> io::Result<Self> {
        let mut stream = TcpStream::connect(soak.address(run)).await?;
        stream.set_nodelay(true)?;
        let mut startup_message = BytesMut::new();
        startup(&mut startup_message, "backend", "store");
        stream.write_all(&startup_message).await?;
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
        let number = soak.checker.borrow_mut().opened(run, Instant::now());
        let outstanding = VecDeque::new();
        Ok(Self { soak, run, number, stream, buffer: read, outstanding, value: None, failed: false })
    }

    /// Follows the workload until the connection ends.
    async fn follow(&mut self, workload: Workload) -> io::Result<()> {
        match workload {
            Workload::Steady => loop {
                self.send_request().await?;
                self.read_all_answers().await?;
                let think = Duration::from_millis(self.number * 7 % 25);
                self.read_until(Instant::now() + think).await?;
            },
            Workload::Infrequent => loop {
                self.send_request().await?;
                self.read_all_answers().await?;
                let think = INFREQUENT_PAUSE + Duration::from_millis(self.number * 7 % 250);
                self.read_until(Instant::now() + think).await?;
            },
            Workload::BackToBack => loop {
                self.send_request().await?;
                self.read_all_answers().await?;
            },
            Workload::Pipelined => loop {
                if self.outstanding.len() < MAX_OUTSTANDING {
                    self.send_request().await?;
                }
                self.read_until(Instant::now() + PIPELINE_INTERVAL).await?;
            },
            Workload::SplitStatements => {
                let mut next = self.prepare();
                loop {
                    let (planned, bytes) = next;
                    let middle = bytes.len() / 2;
                    self.stream.write_all(&bytes[..middle]).await?;
                    self.read_until(Instant::now() + PIECE_DELAY).await?;
                    // The process has the complete request once the second piece is written.
                    self.record_request(planned).await;
                    self.stream.write_all(&bytes[middle..]).await?;
                    next = self.prepare();
                }
            }
            Workload::Idle => {
                self.send_request().await?;
                self.read_until(Instant::now() + Duration::from_secs(3_600)).await
            }
            Workload::Malformed => loop {
                let mut bytes = BytesMut::new();
                query(&mut bytes, if self.number.is_multiple_of(2) { b"" } else { b"SELECT nothing" });
                self.soak.checker.borrow_mut().sent_other(self.number, Instant::now());
                self.stream.write_all(&bytes).await?;
                sleep(MALFORMED_INTERVAL).await;
            },
        }
    }

    /// Takes the next of the requests that all clients share, and encodes it.
    fn prepare(&self) -> (Planned, BytesMut) {
        let planned = self.soak.next_request(self.run);
        let deadline = self.soak.plan.spec.classes[planned.class].deadline;
        let mut bytes = BytesMut::new();
        query(&mut bytes, planned.statement(&self.soak.plan.spec, deadline).as_bytes());
        (planned, bytes)
    }

    async fn send_request(&mut self) -> io::Result<()> {
        let (planned, bytes) = self.prepare();
        self.record_request(planned).await;
        self.stream.write_all(&bytes).await
    }

    /// Records a request just before its last byte is written.
    async fn record_request(&mut self, planned: Planned) {
        let deadline = self.soak.plan.spec.classes[planned.class].deadline;
        let until = self.soak.clock.now() + deadline;
        let (id, session) = (planned.id.clone(), planned.session.clone());
        let _ = self
            .soak
            .world
            .send(WorldMessage::Asked {
                id,
                session,
                proxy: self.run.into(),
                until: until + CHECKER_SLACK_US,
            })
            .await;
        let now = Instant::now();
        self.soak.checker.borrow_mut().sent(self.number, now);
        let baseline = self.soak.delay_baseline(self.run.process);
        self.outstanding.push_back(OutstandingRequest {
            planned,
            baseline,
            due: now + Duration::from_micros(deadline as u64),
        });
    }

    /// Reads until no request is outstanding.
    async fn read_all_answers(&mut self) -> io::Result<()> {
        while !self.outstanding.is_empty() {
            self.read_answers().await?;
        }
        Ok(())
    }

    /// Reads answers until the given time.
    async fn read_until(&mut self, until: Instant) -> io::Result<()> {
        loop {
            tokio::select! {
                biased;
                result = self.read_answers() => result?,
                () = sleep_until(until) => return Ok(()),
            }
        }
    }

    /// Reads from the connection once, and processes the messages that are complete by then.
    async fn read_answers(&mut self) -> io::Result<()> {
        if self.stream.read_buf(&mut self.buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        while let Some((kind, content)) = take_message(&mut self.buffer) {
            match kind {
                b'D' => self.value = content.get(6..).map(<[u8]>::to_vec),
                b'E' => self.failed = true,
                b'Z' => self.complete_request().await,
                _ => {}
            }
        }
        Ok(())
    }

    /// Records the answer to the oldest outstanding request.
    async fn complete_request(&mut self) {
        let (value, failed) = (self.value.take(), std::mem::take(&mut self.failed));
        let Some(OutstandingRequest { planned, due, baseline }) = self.outstanding.pop_front() else {
            return;
        };
        self.check_answer_time(&planned.id, due, &baseline);
        let value = value.filter(|_| !failed);
        if value.is_none() {
            self.soak.checker.borrow_mut().record_refusal(self.run);
        }
        let writes = self.soak.plan.spec.classes[planned.class].freshness == Freshness::Write;
        let wrote = (writes && value.is_some()).then(|| planned.session.clone());
        let _ = self.soak.world.send(WorldMessage::Answered { id: planned.id, value, wrote }).await;
    }

    /// Checks that an answer came in time. If not, adds the measured delays to the finding.
    fn check_answer_time(&self, id: &str, due: Instant, baseline: &DelayBaseline) {
        let mut checker = self.soak.checker.borrow_mut();
        if checker.answered(self.number, id, due, Instant::now()) {
            append_delays(&mut checker.findings.lost, self.run, &baseline.delays(&self.soak.timers));
        }
    }

    /// Closes the session after its connection ended: reads the answers that arrived before the end, and
    /// records the other requests as unanswered.
    async fn close(mut self) {
        while timeout(RECONNECT_DELAY, self.read_answers()).await.is_ok_and(|result| result.is_ok()) {}
        let ids: Vec<String> = self.outstanding.iter().map(|request| request.planned.id.clone()).collect();
        let is_interrupted = self.soak.is_interrupted(self.run);
        self.soak.checker.borrow_mut().closed(self.number, &ids, is_interrupted);
        for id in ids {
            let _ = self.soak.world.send(WorldMessage::Withdrawn(id)).await;
        }
    }
}

/// Added to the deadlines that the emulator's checker applies, since the time of an answer is checked by
/// `SoakChecker` here.
const CHECKER_SLACK_US: Micros = 1_000_000;

fn message_length(read: &BytesMut) -> Option<usize> {
    let head: [u8; 4] = read.get(1..5)?.try_into().ok()?;
    Some(u32::from_be_bytes(head) as usize + 1)
}

/// Takes the first message off the buffer if it is complete. Returns its type byte and its content after the
/// length.
pub(super) fn take_message(read: &mut BytesMut) -> Option<(u8, BytesMut)> {
    let length = message_length(read).filter(|length| read.len() >= *length)?;
    let mut message = read.split_to(length);
    let kind = message[0];
    let content = message.split_off(5);
    Some((kind, content))
}
