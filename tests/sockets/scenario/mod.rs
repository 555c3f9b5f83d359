//! A small language for conversations with the proxy: who, then `send`, `expect`, `close` or `wait`.
//!
//! Those who speak are clients (`c1`, `c2`, ...), ledger hosts (`h1`, ...), discovery (`list`) and the
//! `proxy` itself, which is the program started for the scenario. Hosts answer probes by themselves: `h1` as
//! the primary, the others as replicas that stand at the present. A `#` starts a remark.
//!
//! ```text
//! c1 send startup | ssl | cancel | sync | terminate | raw HEX | text SQL | read ID D [KEY] | write ID D [KEY] | own ID D [KEY]
//! c1 send part BYTES (so many of a long message);  c2 send cancel c1 (with the key that c1 was greeted with)
//! c1 expect ready | empty | value V | error CODE [DETAIL] | N | closed | gone (whatever comes before) | silence MS;  c1 close | close half | close reset
//! c1 expect answer (one, whatever it says)
//! c1 expect within MS ...: the same, but no later than that
//! h1 expect WORDS (a query holding them all) | closed | silence MS;  h1 close | close reset
//! h1 expect again WORDS (a query that has come before and has no answer: what follows is about that one)
//! h1 send hold (new connections hear nothing until `h1 send release`);  h1 expect knock (one has come)
//! h1 send value V [ROLE AHEAD_MS] | parts LETTERS V (an answer of those messages) | error CODE | raw HEX
//! of LETTERS, `p` and `r` tell the role of a primary and of a replica, `a` a position at the present, and `w` is error 25006
//! h1 try value V (the same, where the proxy may close before all of it is written)
//! h1 send serve MS BYTES (answers each query by itself from then on, after so long, with so many bytes)
//! h1 send load TEXT (what it reports from then on; `true` for the truth)
//! list send NAME STATUS | chunk TEXT (as it stands, but for `@h1`, the address of h1, and `\n`);  list close
//! list send mute (calls that come hear nothing) | speak (later ones do again) | answer (also the last of those) | first (also the first of those)
//! list send fail (calls that come hear 503 until `list send speak`)
//! list send plain (answers have no length from then on: they end with their connection);  list close reset
//! list expect open (a call was answered, and its watch is open);  list expect WORDS (a request holding them all) | within MS WORDS (no later than that)
//! proxy send unread (nobody reads its log until `proxy send read`)
//! proxy send TERM | HUP | STOP (it gets no turn until CONT: what comes meanwhile comes in one);  proxy expect exit CODE [by MS from SIGTERM on] | log WORDS | figures WORDS (among its counters, sooner or later)
//! new send start (a second program beside the first: the same addresses, its own console) | TERM | HUP | STOP
//! new expect exit CODE | log WORDS
//! proxy expect descriptors N (it never held more, and never lacked one): where it was started with so many
//! silent send N (so many connections to the console that say nothing)
//! operator send health | stats | quiesce | resume (a call at the console);  operator expect WORDS (in its answer)
//! file send moved (discovery at a new address, which `list` is from then on) | text TEXT
//! file send renamed A B (the same file, where class A is called B)
//! t1, t2, ...: clients that speak TDS, in `play_tds`, where the hosts do too; see `tds.rs` for their words
//! t1 send prelogin ENCRYPTION | login VERSION | text SQL | read, own, write ID D | call ID D | attention | raw HEX
//! t1 expect prelogin | ready VERSION | value V | error NUMBER | done | attention | closed | silence MS
//! c1-9 ...: the same for each of them, its number for `@`
//! c1 start: `send startup`, `expect ready`
//! h1 take c1 read q1 2900: `c1 send read q1 2900`, `h1 expect id=q1`
//! h1 answer c1 V ROLE: `h1 send value V ROLE`, `c1 expect value V`
//! h1 serve c1 read q1 2900 = V ROLE: both
//! any expect WORDS: the query comes to whatever host, which `any` stands for from then on
//! ```

#[path = "../../../crates/testbench/src/soak/run_queue.rs"]
mod run_queue;
mod shorthand;
mod tds;

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use run_queue::{DelayBaseline, Delays};
pub use run_queue::{ProcessorTime, TimerLateness};
use serde_json::Value;
use std::cell::Cell;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::str::FromStr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PATIENCE: Duration = Duration::from_secs(8);
/// How often it is looked whether a program has ended.
const LOOK: Duration = Duration::from_millis(10);
/// Lines of a program's log that are shown when a scenario fails.
const LAST_LINES: usize = 40;

pub fn settings() -> String {
    let grade = |name: &str, more: &str| {
        format!(r#"{{"name":"{name}","credit":1,"onTime":0.4,"deadline":3.0,"lateWorth":0.2,{more}}}"#)
    };
    let grades = [
        grade("any", r#""repeat":"pure""#),
        grade("own", r#""repeat":"pure""#),
        grade("write", r#""repeat":"token","group":"cell","window":3.0"#),
    ];
    format!(
        r#"{{"balancers":1,"areas":["z"],"locality":0,"tick":0.005,"discovery":"pushed","grades":[{}],
        "customers":[{{"name":"acme","quotaPerS":100,"share":1}}],
        "familyInfo":{{"answersStamped":true,"freshness":["any","session","write"],"writeMarks":"remembered",
        "whenBehind":"wait","wait":0.02,"roleInList":"off"}},"guarantees":{{"cold":18,"coldFrom":0.15,"fall":3,
        "fallMultiple":3}},"limits":{{"connectTimeout":0.25,"keepalive":1.5,"maxAttempts":8,"maxRetryAfter":0.5,
        "mayCancel":true,"probes":true,"retryAfter":true,"secondCopies":true,"mostHeld":1000}},
        "report":{{"how":"on_probe","fields":["x0","x1","cpu"]}}}}"#,
        grades.join(",")
    )
}

/// The same with something changed.
pub fn settings_with(change: impl FnOnce(&mut Value)) -> String {
    let mut all = serde_json::from_str(&settings()).unwrap();
    change(&mut all);
    all.to_string()
}

/// A loopback address of the scenario's own: of 127.0.0.1 another conversation might get the port in between.
fn own_address() -> SocketAddr {
    static SCENARIOS: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, high | 128, low, SCENARIOS.fetch_add(1, Relaxed)], 0))
}

/// Held while a port is looked for and while a program is started: between its fork and its exec a child holds all
/// sockets of its parent, and a port that another scenario has just let go of would still be taken.
static STARTS: Mutex<()> = Mutex::new(());

fn starts() -> std::sync::MutexGuard<'static, ()> {
    STARTS.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A port that is free, at an address of the scenario's own.
fn own_port() -> SocketAddr {
    let alone = starts();
    let listener = TcpListener::bind(own_address()).unwrap();
    let address = listener.local_addr().unwrap();
    // Before the guard: a child that is forked in between would hold the port.
    drop(listener);
    drop(alone);
    address
}

fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64
}

fn message(kind: u8, content: &[u8]) -> Vec<u8> {
    [&[kind][..], &(content.len() as u32 + 4).to_be_bytes(), content].concat()
}

fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// The whole of a row's messages, as they must reach the client to the letter.
fn row(value: &str) -> Vec<u8> {
    let description = [&[0, 1][..], b"content\0", &[0; 6], &17u32.to_be_bytes(), &[255; 6], &[0, 1]].concat();
    let data = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value.as_bytes()].concat();
    [message(b'T', &description), message(b'D', &data), message(b'C', b"SELECT 1\0")].concat()
}

/// The whole answer of a host of that role with a value, applied so many milliseconds ahead of the present.
fn answer(value: &str, role: &str, ahead_ms: i64) -> Vec<u8> {
    let stamp = parameter("applied_ms", &unix_ms().saturating_add(ahead_ms).to_string());
    [row(value), parameter("role", role), stamp, message(b'Z', b"I")].concat()
}

/// One message of an answer by its letter; of a row's messages, that one.
fn part(letter: char, row: &[u8]) -> Vec<u8> {
    let mut rest = row;
    while let [kind, a, b, c, d, ..] = *rest {
        let (one, more) = rest.split_at(u32::from_be_bytes([a, b, c, d]) as usize + 1);
        if kind == letter as u8 {
            return one.to_vec();
        }
        rest = more;
    }
    match letter {
        'p' => parameter("role", "primary"),
        'r' => parameter("role", "replica"),
        'a' => parameter("applied_ms", &unix_ms().to_string()),
        'w' => error("25006"),
        'N' => message(b'D', &[&[0, 1][..], &[255; 4]].concat()), // a row that holds nothing
        _ => message(letter as u8, b"I"),
    }
}

/// The error of this code, without the end of its answer.
fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

fn read_message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let mut content = vec![0; u32::from_be_bytes(head[1..].try_into().unwrap()) as usize - 4];
    stream.read_exact(&mut content).ok()?;
    Some((head[0], content))
}

/// What the ledger hosts of a scenario speak.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Wire {
    Postgres,
    Tds,
}

/// A query that has come to a host, and the connection on which it waits for its answer.
type Query = (String, TcpStream);

/// A ledger host: greets, answers probes and passes queries on to the scenario.
struct Host {
    /// Shut while new connections are to hear nothing.
    gate: Arc<(Mutex<bool>, Condvar)>,
    /// A connection has come.
    knocks: Receiver<()>,
    address: SocketAddr,
    wire: Wire,
    queries: Receiver<Query>,
    current: Option<TcpStream>,
    /// Queries that came before the current one and may have no answer yet.
    earlier: Vec<Query>,
    /// The text of the current one.
    text: String,
    load: Arc<Mutex<Option<String>>>,
    /// How it answers queries by itself, if it does.
    serves: Arc<Mutex<Option<Service>>>,
}

/// How a host answers queries by itself.
#[derive(Clone, Copy)]
struct Service {
    after: Duration,
    bytes: usize,
}

impl Host {
    fn start(wire: Wire, primary: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, queries) = channel();
        let load = Arc::new(Mutex::new(None));
        let told = Arc::clone(&load);
        let (knock, knocks) = channel();
        let gate = Arc::new((Mutex::new(false), Condvar::new()));
        let serves = Arc::new(Mutex::new(None));
        let served = Arc::clone(&serves);
        let shut = Arc::clone(&gate);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (sender, told, shut) = (sender.clone(), Arc::clone(&told), Arc::clone(&shut));
                let served = Arc::clone(&served);
                let _ = knock.send(());
                std::thread::spawn(move || {
                    drop(shut.1.wait_while(shut.0.lock().unwrap(), |shut| *shut).unwrap());
                    match wire {
                        Wire::Postgres => Self::greet(stream, primary, told, sender, &served),
                        Wire::Tds => Self::greet_tds(stream, primary, told, sender, &served),
                    }
                });
            }
        });
        Self {
            gate,
            knocks,
            address,
            wire,
            queries,
            current: None,
            earlier: Vec::new(),
            text: String::new(),
            load,
            serves,
        }
    }

    fn greet(
        mut stream: TcpStream,
        primary: bool,
        told: Arc<Mutex<Option<String>>>,
        sender: Sender<Query>,
        serves: &Mutex<Option<Service>>,
    ) -> Option<()> {
        let mut length = [0; 4];
        stream.read_exact(&mut length).ok()?;
        stream.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4]).ok()?;
        let hello = [message(b'R', &[0; 4]), message(b'Z', b"I")].concat();
        stream.write_all(&hello).ok()?;
        while let Some((b'Q', text)) = read_message(&mut stream) {
            let text = String::from_utf8(text).ok()?;
            if text.starts_with("SHOW load") {
                let load = Self::report(primary, &told);
                stream.write_all(&[row(&load), message(b'Z', b"I")].concat()).ok()?;
            } else if let Some(value) = Self::serve(serves) {
                stream.write_all(&answer(&value, "primary", 0)).ok()?;
            } else {
                sender.send((text, stream.try_clone().ok()?)).ok()?;
            }
        }
        None
    }

    fn greet_tds(
        mut stream: TcpStream,
        primary: bool,
        told: Arc<Mutex<Option<String>>>,
        sender: Sender<Query>,
        serves: &Mutex<Option<Service>>,
    ) -> Option<()> {
        tds::greet(&mut stream)?;
        while let Some((kind, content)) = tds::read(&mut stream) {
            let text = tds::request(kind, &content)?;
            if text.starts_with("SHOW load") {
                stream.write_all(&tds::load(&Self::report(primary, &told))).ok()?;
            } else if let Some(value) = Self::serve(serves) {
                stream.write_all(&tds::host_bytes(&format!("value {value} primary"))).ok()?;
            } else {
                sender.send((text, stream.try_clone().ok()?)).ok()?;
            }
        }
        None
    }

    /// The value of an answer that it gives by itself, once it is time, if it gives one.
    fn serve(serves: &Mutex<Option<Service>>) -> Option<String> {
        let service = (*serves.lock().unwrap())?;
        std::thread::sleep(service.after);
        Some("v".repeat(service.bytes))
    }

    /// What it tells of itself: the truth, unless the scenario says otherwise.
    fn report(primary: bool, told: &Mutex<Option<String>>) -> String {
        let truth = || format!("x0={},x1={},util=0.1", unix_ms() as f64 / 1e3, u8::from(primary));
        told.lock().unwrap().clone().unwrap_or_else(truth)
    }
}

/// The head of a watch, and an empty line.
const WATCH: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n\n\r\n";

/// The head of one without a length, and an empty line.
const PLAIN: &[u8] = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n\n";

/// The answer of one that cannot serve the call.
const UNAVAILABLE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

/// Discovery: keeps the list and the watch that is open.
struct List {
    address: SocketAddr,
    requests: Receiver<String>,
    mute: Arc<AtomicBool>,
    fails: Arc<AtomicBool>,
    plain: Arc<AtomicBool>,
    /// Calls that have heard nothing yet.
    waiting: Arc<Mutex<Vec<TcpStream>>>,
    watch: Arc<Mutex<Option<TcpStream>>>,
    index: u64,
}

impl List {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, requests) = channel();
        let watch = Arc::new(Mutex::new(None));
        let open = Arc::clone(&watch);
        let (mute, waiting) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let (muted, waits) = (Arc::clone(&mute), Arc::clone(&waiting));
        let fails = Arc::new(AtomicBool::new(false));
        let unavailable = Arc::clone(&fails);
        let plain = Arc::new(AtomicBool::new(false));
        let without_length = Arc::clone(&plain);
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let mut first = String::new();
                let mut lines = BufReader::new(stream.try_clone().unwrap()).lines().map_while(Result::ok);
                lines.by_ref().take_while(|line| !line.is_empty()).for_each(|line| first += &(line + " "));
                if unavailable.load(Relaxed) {
                    let _ = stream.write_all(UNAVAILABLE);
                } else if muted.load(Relaxed) {
                    waits.lock().unwrap().push(stream);
                } else {
                    let _ = stream.write_all(if without_length.load(Relaxed) { PLAIN } else { WATCH });
                    *open.lock().unwrap() = Some(stream);
                }
                let _ = sender.send(first);
            }
        });
        Self { address, requests, mute, fails, plain, waiting, watch, index: 1 }
    }

    fn chunk(&mut self, text: &str) {
        let chunk = match self.plain.load(Relaxed) {
            true => text.to_owned(),
            false => format!("{:x}\r\n{text}\r\n", text.len()),
        };
        self.watch.lock().unwrap().as_mut().expect("a watch is open").write_all(chunk.as_bytes()).unwrap();
    }

    /// Answers the call that came last of those that wait, or the first.
    fn answer(&mut self, first: bool) {
        self.mute.store(false, Relaxed);
        let mut waiting = self.waiting.lock().unwrap();
        let one = if first { 0 } else { waiting.len().checked_sub(1).expect("a call that waits") };
        let mut stream = waiting.remove(one);
        stream.write_all(WATCH).unwrap();
        *self.watch.lock().unwrap() = Some(stream);
    }

    fn line(&mut self, entries: &str) {
        self.index += 1;
        let line = format!("{{\"index\":{},\"snapshot\":false,\"endpoints\":[{entries}]}}\n", self.index);
        self.chunk(&line);
    }
}

fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"z","group":0,"status":"{status}","since_ms":0}}"#
    )
}

/// The program itself; ended with the scenario.
pub struct Program {
    child: Child,
    file: PathBuf,
    log: Receiver<String>,
    /// Whether nobody reads its log.
    unread: Arc<AtomicBool>,
    /// When it was last sent SIGTERM.
    told: Cell<Option<Instant>>,
    /// The same moment for the record of where the time went.
    term: Cell<Option<DelayBaseline>>,
    /// How late this test's looks at its end were.
    timers: TimerLateness,
    /// When it was found ended, and where the time went from SIGTERM on.
    ended: Option<(Instant, Option<Delays>)>,
    /// Descriptors that it was seen to hold at the most, if that is watched.
    most: Arc<AtomicUsize>,
    /// Whether its log says that there were none left.
    exhausted: Arc<AtomicBool>,
}

/// Counts the descriptors of a process, over and over until it ends, from when it runs the program: a child that has just
/// been started may still hold those of this process, which the system closes in the course of its exec.
fn count_descriptors(id: u32, most: &AtomicUsize) {
    let all = PathBuf::from(format!("/proc/{id}/fd"));
    let runs = PathBuf::from(format!("/proc/{id}/exe"));
    let program = std::fs::canonicalize(env!("CARGO_BIN_EXE_wheelpier")).unwrap();
    while std::fs::read_link(&runs).is_ok_and(|path| path != program) {
        std::thread::sleep(Duration::from_micros(300));
    }
    while let Ok(entries) = std::fs::read_dir(&all) {
        most.fetch_max(entries.count(), Relaxed);
        std::thread::sleep(Duration::from_micros(300));
    }
}

/// The program, with so many descriptors that the system lets it have.
fn program_command(limit: Option<usize>) -> Command {
    let binary = env!("CARGO_BIN_EXE_wheelpier");
    let Some(limit) = limit else { return Command::new(binary) };
    let mut shell = Command::new("sh");
    shell.args(["-c", &format!("ulimit -n {limit} && exec \"$0\" \"$@\""), binary]);
    shell
}

impl Program {
    pub fn start(config: &str, listen: &str, discovery: &str) -> Self {
        Self::start_with(config, listen, discovery, None)
    }

    /// With an operator's file of that text.
    pub fn start_with(config: &str, listen: &str, discovery: &str, operator: Option<&str>) -> Self {
        Self::start_among(config, listen, discovery, operator, &[], None)
    }

    /// With further variables, and with so many descriptors that the system lets it have.
    fn start_among(
        config: &str,
        listen: &str,
        discovery: &str,
        operator: Option<&str>,
        more: &[(&str, &str)],
        limit: Option<usize>,
    ) -> Self {
        // Two that start in one moment must not share a file.
        static FILES: AtomicU64 = AtomicU64::new(0);
        let stamp = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos();
        let number = FILES.fetch_add(1, Relaxed);
        let name = format!("wheelpier-{}-{stamp}-{number}.json", std::process::id());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, config).unwrap();
        let mut command = program_command(limit);
        if let Some(text) = operator {
            let operator = file.with_extension("yaml");
            std::fs::write(&operator, text).unwrap();
            command.arg("--operator").arg(operator);
        }
        let alone = starts();
        let mut child = command
            .envs([("GW_NAME", "n0"), ("GW_LISTEN", listen), ("GW_DISCOVERY", discovery)])
            .env("GW_CONFIG", &file)
            .envs(more.iter().copied())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        drop(alone);
        let (sender, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let (most, exhausted) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
        let lacks = Arc::clone(&exhausted);
        let unread = Arc::new(AtomicBool::new(false));
        let is_unread = Arc::clone(&unread);
        std::thread::spawn(move || {
            lines.map_while(Result::ok).try_for_each(|line| {
                lacks.fetch_or(line.contains("Too many open files"), Relaxed);
                let sent = sender.send(line);
                while is_unread.load(Relaxed) {
                    std::thread::sleep(Duration::from_millis(1));
                }
                sent
            })
        });
        if limit.is_some() {
            let (id, most) = (child.id(), Arc::clone(&most));
            std::thread::spawn(move || count_descriptors(id, &most));
        }
        let (told, term, timers) = (Cell::new(None), Cell::new(None), TimerLateness::default());
        Self { child, file, log, unread, told, term, timers, ended: None, most, exhausted }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn wait_until_listening(&self, address: SocketAddr, until: Instant) {
        while TcpStream::connect(address).is_err() {
            let heard = || self.log.try_iter().collect::<Vec<_>>().join("\n");
            assert!(Instant::now() < until, "the proxy does not listen: {}", heard());
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn log(&self, words: &str) -> String {
        let until = Instant::now() + PATIENCE;
        loop {
            match self.log.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(line) if words.split(' ').all(|word| line.contains(word)) => return line,
                Ok(_) => {}
                Err(problem) => panic!("no line in the log holds `{words}`: {problem}"),
            }
        }
    }

    /// Sends it a signal by name: `TERM`, `HUP`. By the system call itself: a program that sends it would take its time
    /// beside other work.
    pub fn signal(&self, name: &str) {
        if name == "TERM" && self.told.get().is_none() {
            self.term.set(Some(self.begin()));
            self.told.set(Some(Instant::now()));
        }
        let signal = Signal::from_str(&format!("SIG{name}")).unwrap();
        kill(Pid::from_raw(self.child.id().try_into().unwrap()), signal).unwrap();
    }

    /// The start of what is judged of this program from now on.
    fn begin(&self) -> DelayBaseline {
        DelayBaseline::now(self.child.id(), &self.timers)
    }

    /// Where the time went from SIGTERM to the last look.
    fn evidence(&self, delays: Option<Delays>) -> String {
        delays.map_or_else(String::new, |delays| format!("; {delays}"))
    }

    /// `exit CODE` or `log WORDS`, as a scenario words it.
    fn expect(&mut self, what: &str) {
        match what.split_once(' ') {
            Some(("exit", code)) => {
                let (code, by) = code.split_once(" by ").unwrap_or((code, "8000"));
                let (ended_with, delays) = self.exit_with_delays();
                assert_eq!(ended_with.to_string(), code);
                let by = Duration::from_millis(by.parse().unwrap());
                let took = self.told.get().map_or(Duration::ZERO, |told| told.elapsed());
                assert!(took <= by, "it took {took:?} from SIGTERM on{}", self.evidence(delays));
            }
            Some(("log", words)) => drop(self.log(words)),
            Some(("descriptors", most)) => {
                let (held, most) = (self.most.load(Relaxed), most.parse().unwrap());
                eprintln!("    {held} descriptors at the most");
                assert!(0 < held && held <= most, "it held {held} descriptors of {most}");
                assert!(!self.exhausted.load(Relaxed), "it lacked descriptors; {held} were counted");
            }
            Some(("figures", words)) => {
                let until = Instant::now() + PATIENCE;
                loop {
                    self.signal("USR1");
                    let line = self.log("counters totals=");
                    let (_, figures) = line.split_once("totals=").expect("counted");
                    if words.split(' ').all(|word| figures.split(' ').any(|figure| figure == word)) {
                        break;
                    }
                    assert!(Instant::now() < until, "`{figures}` lacks of `{words}`");
                    std::thread::sleep(Duration::from_millis(5));
                }
            }
            _ => panic!("what?"),
        }
    }

    pub fn exit(&mut self) -> i32 {
        self.exit_with_delays().0
    }

    /// Its status, and where the time went since SIGTERM, as of just before the look that found it ended.
    fn exit_with_delays(&mut self) -> (i32, Option<Delays>) {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            let delays = self.term.get().map(|start| start.delays(&self.timers));
            if let Some(status) = self.child.try_wait().unwrap() {
                self.ended = Some((Instant::now(), delays));
                return (status.code().expect("ended by itself"), delays);
            }
            self.timers.timer_set(LOOK);
            std::thread::sleep(LOOK);
            self.timers.timer_fired();
        }
        panic!("the program does not end")
    }

    /// Shows the last of its log that nobody has looked at.
    fn show_log(&self) {
        let lines: Vec<String> = self.log.try_iter().collect();
        lines[lines.len().saturating_sub(LAST_LINES)..].iter().for_each(|line| eprintln!("    | {line}"));
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Scenario {
    listen: SocketAddr,
    /// Where clients connect that speak TDS.
    tds: SocketAddr,
    program: Program,
    hosts: Vec<Host>,
    list: List,
    /// Where discovery was before: still there, and silent.
    left: Vec<List>,
    config: String,
    clients: HashMap<String, TcpStream>,
    /// The keys with which sessions may be called upon, by client.
    keys: HashMap<String, String>,
    /// The host that took the last query of `any`.
    any: usize,
    /// Where the operators' console listens, and what it answered last.
    console: SocketAddr,
    called: String,
    /// Callers of the console that say nothing.
    silent: Vec<TcpStream>,
    /// A second program beside the first, as at an upgrade.
    new: Option<Program>,
    /// When the line began that is played.
    line_began: DelayBaseline,
}

/// When a scenario fails: where the time of its last line went, and what the program said last.
impl Drop for Scenario {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("    {}", self.line_began.delays(&self.program.timers));
            self.program.show_log();
        }
    }
}

/// The library that makes system calls fail, built beside these tests as one of their dependencies.
fn faults_library() -> String {
    let directory = std::env::current_exe().unwrap().parent().unwrap().to_owned();
    directory.join("libwheelpier_faults.so").to_str().expect("a path of text").to_owned()
}

/// Descriptors that a scenario's program may have where nothing else is said.
const SOCKETS: usize = 64;

impl Scenario {
    /// A proxy that knows `hosts` ledger hosts of group 0 and is ready.
    /// With more lines in an operator's file, if there are any.
    fn start(wire: Wire, hosts: usize, more: &str, settings: &str) -> Self {
        Self::start_limited(wire, hosts, more, settings, None)
    }

    /// With so many descriptors, by the configuration and by the system, and a port for clients that speak TDS.
    fn start_limited(wire: Wire, hosts: usize, more: &str, settings: &str, limit: Option<usize>) -> Self {
        // By hand the whole suite can be played with any faults.
        let faults = std::env::var("SCENARIO_FAULTS").unwrap_or_default();
        Self::start_faulty(wire, hosts, more, settings, limit, &faults)
    }

    /// With system calls that fail as `crates/faults` words it.
    fn start_faulty(
        wire: Wire,
        hosts: usize,
        more: &str,
        settings: &str,
        limit: Option<usize>,
        faults: &str,
    ) -> Self {
        let library = faults_library();
        let variables = [("LD_PRELOAD", &library[..]), ("WHEELPIER_FAULTS", faults)];
        let variables = if faults.is_empty() { &[][..] } else { &variables };
        Self::start_among(wire, hosts, more, settings, limit, variables)
    }

    /// With further variables.
    fn start_among(
        wire: Wire,
        hosts: usize,
        more: &str,
        settings: &str,
        limit: Option<usize>,
        variables: &[(&str, &str)],
    ) -> Self {
        let hosts: Vec<Host> = (0..hosts).map(|n| Host::start(wire, n == 0)).collect();
        let list = List::start();
        let listen = own_port();
        let tds = own_port();
        let console = own_port();
        let listener = format!("listeners: [{{protocol: tds, address: '{tds}'}}]\n");
        let operator = match wire {
            Wire::Tds => format!("hosts: {{default: tds}}\n{listener}{more}"),
            Wire::Postgres if limit.is_some() => format!("hosts: {{types: {{m9: tds}}}}\n{listener}{more}"),
            Wire::Postgres => more.to_owned(),
        };
        let operator = Some(&operator[..]).filter(|text| !text.is_empty());
        let entries = hosts.iter().enumerate().map(|(n, h)| entry(&format!("h{}", n + 1), h.address, "up"));
        let entries = entries.collect::<Vec<_>>().join(",");
        let known = format!(r#"{{"index":1,"snapshot":true,"endpoints":[{entries}]}}"#);
        let sockets = limit.unwrap_or(SOCKETS);
        let limits = format!(r#"{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}}"#);
        let config = format!(
            r#"{{"seed":"8c1f","console":"{console}","limits":{limits},"known":{known},"settings":{settings}}}"#
        );
        let discovery = list.address.to_string();
        let console_at = console.to_string();
        let console_at = [("GW_CONSOLE", &console_at[..])];
        // Faults are told by it which descriptors are the console's.
        let variables = if variables.is_empty() { Vec::new() } else { [variables, &console_at].concat() };
        let program =
            Program::start_among(&config, &listen.to_string(), &discovery, operator, &variables, limit);
        let until = Instant::now() + PATIENCE;
        program.wait_until_listening(if wire == Wire::Tds { tds } else { listen }, until);
        let (left, clients, line_began) = (Vec::new(), HashMap::new(), program.begin());
        Self {
            listen,
            tds,
            program,
            hosts,
            list,
            left,
            config,
            clients,
            keys: HashMap::new(),
            any: 0,
            console,
            called: String::new(),
            silent: Vec::new(),
            new: None,
            line_began,
        }
    }

    /// A call at the console, as an operator makes it: one a connection.
    fn call(&self, what: &str) -> String {
        let method = if matches!(what, "quiesce" | "resume") { "POST" } else { "GET" };
        let mut stream = TcpStream::connect(self.console).expect("the console listens");
        let call = format!("{method} /admin/{what} HTTP/1.1\r\nHost: proxy\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(call.as_bytes()).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer within 1 s");
        answer
    }

    #[expect(clippy::too_many_lines)]
    fn line(&mut self, line: &str) {
        let mut words = line.splitn(3, ' ');
        let (who, verb, what) = (words.next().unwrap(), words.next().unwrap(), words.next().unwrap_or(""));
        let number = || who[1..].parse::<usize>().unwrap() - 1;
        match (&who[..1], verb) {
            ("w", _) => std::thread::sleep(Duration::from_millis(verb.parse().unwrap())),
            ("s", "send") => {
                let connect = |_| TcpStream::connect(self.console).expect("the console listens");
                self.silent.extend((0..what.parse().unwrap()).map(connect));
            }
            ("o", "send") => self.called = self.call(what),
            ("n", "send") if what == "start" => {
                let console = own_port().to_string();
                let (listen, discovery) = (self.listen.to_string(), self.list.address.to_string());
                let more = [("GW_CONSOLE", &console[..])];
                self.new = Some(Program::start_among(&self.config, &listen, &discovery, None, &more, None));
            }
            ("n", "send") => self.new.as_ref().expect("a second program").signal(what),
            ("n", "expect") => self.new.as_mut().expect("a second program").expect(what),
            ("o", "expect") => {
                assert!(what.split(' ').all(|word| self.called.contains(word)), "{}", self.called);
            }
            ("p", "send") if matches!(what, "unread" | "read") => {
                self.program.unread.store(what == "unread", Relaxed);
            }
            ("p", "send") => self.program.signal(what),
            ("p", "expect") => self.program.expect(what),
            ("f", "send") => {
                let renamed = what.strip_prefix("renamed ").and_then(|names| names.split_once(' '));
                let text = match what.strip_prefix("text ") {
                    Some(text) => text.to_owned(),
                    None if renamed.is_some() => {
                        let (old, new) = renamed.unwrap_or_default();
                        self.config.replace(&format!(r#""name":"{old}""#), &format!(r#""name":"{new}""#))
                    }
                    None => {
                        let index = self.list.index;
                        self.left.push(std::mem::replace(&mut self.list, List { index, ..List::start() }));
                        format!(r#"{{"discovery":"{}",{}"#, self.list.address, &self.config[1..])
                    }
                };
                std::fs::write(&self.program.file, text).unwrap();
            }
            ("l", "send") if what.starts_with("chunk ") => {
                let mut text = what["chunk ".len()..].replace("\\n", "\n");
                for (n, host) in self.hosts.iter().enumerate() {
                    text = text.replace(&format!("@h{}", n + 1), &host.address.to_string());
                }
                self.list.chunk(&text);
            }
            ("l", "send") if matches!(what, "answer" | "first") => self.list.answer(what == "first"),
            ("l", "send") if what == "plain" => self.list.plain.store(true, Relaxed),
            ("l", "send") if matches!(what, "mute" | "speak" | "fail") => {
                self.list.fails.store(what == "fail", Relaxed);
                self.list.mute.store(what == "mute", Relaxed);
            }
            ("l", "send") => {
                let (name, status) = what.split_once(' ').unwrap();
                let address = self.hosts[name[1..].parse::<usize>().unwrap() - 1].address;
                self.list.line(&entry(name, address, status));
            }
            ("l", "expect") if what == "open" => {
                let until = Instant::now() + PATIENCE;
                while self.list.watch.lock().unwrap().is_none() {
                    assert!(Instant::now() < until, "no call was answered");
                    std::thread::sleep(Duration::from_millis(2));
                }
            }
            ("l", "expect") => {
                let within = what.strip_prefix("within ").and_then(|rest| rest.split_once(' '));
                let ms = within.map(|(ms, _)| Duration::from_millis(ms.parse().unwrap()));
                let what = within.map_or(what, |(_, what)| what);
                let request = self.list.requests.recv_timeout(ms.unwrap_or(PATIENCE));
                let request = request.expect("a request for the list");
                assert!(what.split(' ').all(|word| request.contains(word)), "{request}");
            }
            ("l", "close") => {
                let watch = self.list.watch.lock().unwrap().take().expect("a watch is open");
                match what {
                    "reset" => socket2::SockRef::from(&watch).set_linger(Some(Duration::ZERO)).unwrap(),
                    _ => watch.shutdown(Shutdown::Both).unwrap(),
                }
            }
            ("a", "expect") => {
                let until = Instant::now() + PATIENCE;
                let soon = |host: &mut Host| host.take(Duration::from_millis(5));
                let (n, text) = loop {
                    assert!(Instant::now() < until, "no host has a query");
                    let mut hosts = self.hosts.iter_mut().enumerate();
                    if let Some(found) = hosts.find_map(|(n, host)| Some((n, soon(host)?))) {
                        break found;
                    }
                };
                assert!(what.split(' ').all(|word| text.contains(word)), "`{text}` lacks of `{what}`");
                self.any = n;
            }
            ("a", _) => self.hosts[self.any].act(verb, what),
            ("h", _) => self.hosts[number()].act(verb, what),
            ("c" | "t", _) => self.client(who, verb, what),
            _ => panic!("who?"),
        }
    }

    fn client(&mut self, who: &str, verb: &str, what: &str) {
        let speaks_tds = who.starts_with('t');
        let listen = if speaks_tds { self.tds } else { self.listen };
        let stream = self.clients.entry(who.to_owned()).or_insert_with(|| {
            let stream = TcpStream::connect(listen).expect("the proxy takes clients");
            stream.set_read_timeout(Some(PATIENCE)).unwrap();
            stream
        });
        match verb {
            "send" if speaks_tds => stream.write_all(&tds::client_bytes(what)).unwrap(),
            "send" => {
                let key = what.strip_prefix("cancel ").and_then(|whose| self.keys.get(whose));
                let what = key.map_or_else(|| what.to_owned(), |key| format!("cancel {key}"));
                stream.write_all(&client_bytes(&what)).unwrap();
            }
            "close" if what == "half" => stream.shutdown(Shutdown::Write).unwrap(),
            "close" if what == "reset" => {
                let stream = self.clients.remove(who).expect("a client");
                socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            "close" => drop(self.clients.remove(who)),
            "expect" if speaks_tds => tds::client_expects(stream, what),
            "expect" => {
                if what == "ready" && !self.keys.contains_key(who) {
                    self.keys.extend(greeted_with(stream).map(|key| (who.to_owned(), key)));
                }
                client_expects(stream, what);
            }
            _ => panic!("does what?"),
        }
    }
}

impl Host {
    /// Takes the next query, if there is one; its text.
    fn take(&mut self, patience: Duration) -> Option<String> {
        let (text, stream) = self.queries.recv_timeout(patience).ok()?;
        self.turn_to((text.clone(), stream));
        Some(text)
    }

    /// Makes a query the current one; the one before is kept.
    fn turn_to(&mut self, (text, stream): Query) {
        let text = std::mem::replace(&mut self.text, text);
        if let Some(stream) = self.current.replace(stream) {
            self.earlier.push((text, stream));
        }
    }

    fn send(&mut self, what: &str) -> std::io::Result<()> {
        if matches!(what, "hold" | "release") {
            *self.gate.0.lock().unwrap() = what == "hold";
            self.gate.1.notify_all();
            return Ok(());
        }
        if let Some(load) = what.strip_prefix("load ") {
            *self.load.lock().unwrap() = Some(load.to_owned()).filter(|load| load != "true");
            return Ok(());
        }
        if let Some((ms, bytes)) = what.strip_prefix("serve ").and_then(|rest| rest.split_once(' ')) {
            let after = Duration::from_millis(ms.parse().unwrap());
            *self.serves.lock().unwrap() = Some(Service { after, bytes: bytes.parse().unwrap() });
            return Ok(());
        }
        let stream = self.current.as_mut().expect("a query has come");
        let mut words = what.split(' ');
        if self.wire == Wire::Tds {
            return stream.write_all(&tds::host_bytes(what));
        }
        let bytes = match (words.next().unwrap(), words.next().unwrap()) {
            ("value", value) => {
                let role = words.next().unwrap_or("replica");
                let ahead: i64 = words.next().map_or(0, |ms| ms.parse().unwrap());
                answer(value, role, ahead)
            }
            ("parts", letters) => {
                let row = row(words.next().unwrap());
                letters.chars().flat_map(|letter| part(letter, &row)).collect()
            }
            ("error", code) => [error(code), message(b'Z', b"I")].concat(),
            (_, hex) => unhex(hex),
        };
        stream.write_all(&bytes)
    }

    fn act(&mut self, verb: &str, what: &str) {
        match (verb, what.split_once(' ')) {
            ("expect", None) if what == "closed" => {
                let stream = self.current.as_mut().expect("a query has come");
                stream.set_read_timeout(Some(PATIENCE)).unwrap();
                // The thread that greets reads too; whichever of the two sees the end, it is one.
                let end = stream.read(&mut [0]);
                assert!(
                    matches!(end, Ok(0)) || end.is_err_and(|e| e.kind() != std::io::ErrorKind::WouldBlock)
                );
            }
            ("expect", None) if what == "knock" => {
                self.knocks.recv_timeout(PATIENCE).expect("a connection");
            }
            ("expect", Some(("silence", ms))) => {
                let query = self.queries.recv_timeout(Duration::from_millis(ms.parse().unwrap()));
                assert_eq!(query.err(), Some(RecvTimeoutError::Timeout));
            }
            ("expect", Some(("again", words))) => {
                let holds = |text: &str| words.split(' ').all(|word| text.contains(word));
                self.earlier
                    .extend(self.current.take().map(|stream| (std::mem::take(&mut self.text), stream)));
                let at = self.earlier.iter().position(|(text, _)| holds(text)).expect("an earlier query");
                let query = self.earlier.remove(at);
                self.turn_to(query);
            }
            ("expect", _) => {
                let text = self.take(PATIENCE).expect("a query");
                assert!(what.split(' ').all(|word| text.contains(word)), "`{text}` lacks of `{what}`");
            }
            ("close", _) if what == "reset" => {
                let stream = self.current.take().expect("a query");
                let client = stream.peer_addr().unwrap();
                socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                // All handles have to be closed: those of earlier queries, and the one of the thread that greets.
                self.earlier.retain(|(_, earlier)| earlier.peer_addr().ok() != Some(client));
                stream.shutdown(Shutdown::Read).unwrap();
            }
            ("close", _) => self.current.take().expect("a query").shutdown(Shutdown::Both).unwrap(),
            ("send", _) => self.send(what).unwrap(),
            // The proxy may close before all of it is written, and then nothing else is wrong with it.
            ("try", _) => {
                let closed = self.send(what).err().map(|problem| problem.kind());
                assert!(matches!(closed, None | Some(ErrorKind::ConnectionReset | ErrorKind::BrokenPipe)));
            }
            _ => panic!("does what?"),
        }
    }
}

fn unhex(hex: &str) -> Vec<u8> {
    (0..hex.len() / 2).map(|n| u8::from_str_radix(&hex[2 * n..2 * n + 2], 16).unwrap()).collect()
}

/// The key in a greeting that has come and is not read yet (BackendKeyData), in hexadecimal digits.
fn greeted_with(stream: &TcpStream) -> Option<String> {
    let mut bytes = [0; 1024];
    let length = stream.peek(&mut bytes).ok()?;
    let head = [b'K', 0, 0, 0, 12];
    let at = bytes[..length].windows(head.len()).position(|window| window == head)? + head.len();
    Some(bytes.get(at..at + 8)?.iter().map(|byte| format!("{byte:02x}")).collect())
}

fn client_bytes(what: &str) -> Vec<u8> {
    let (kind, rest) = what.split_once(' ').unwrap_or((what, ""));
    let query = |text: &str| message(b'Q', format!("{text}\0").as_bytes());
    let asks = |verb: &str, class: &str| {
        let mut words = rest.split(' ');
        let (id, d) = words.next().zip(words.next()).unwrap();
        let verb = verb.replace("KEY", words.next().unwrap_or("k1"));
        query(&format!("{verb} /* id={id},c={class},t=acme,d={d},k=7,cluster=0 */"))
    };
    let packet = |code: u32, rest: &[u8]| {
        [&(rest.len() as u32 + 8).to_be_bytes()[..], &code.to_be_bytes(), rest].concat()
    };
    match kind {
        "startup" => packet(3 << 16, b"user\0backend\0database\0store\0\0"),
        "ssl" => packet(80_877_103, &[]),
        "cancel" => packet(80_877_102, &unhex(if rest.is_empty() { "0000000000000000" } else { rest })),
        "sync" => message(b'S', &[]),
        "terminate" => message(b'X', &[]),
        "raw" => unhex(rest),
        "part" => [&b"Q\0\x01\xff\xff"[..], &vec![b' '; rest.parse().unwrap()]].concat(),
        "text" => query(rest),
        "read" => asks("SELECT content FROM kv WHERE name = 'KEY'", "any"),
        "own" => asks("SELECT content FROM kv WHERE name = 'KEY'", "own"),
        "write" => asks("INSERT INTO kv (name, content) VALUES ('KEY', '\\x00') RETURNING content", "write"),
        _ => panic!("sends what?"),
    }
}

/// What a client of either protocol may expect: whether it was this, and is as expected. `again` expects the rest.
fn expects_either(stream: &mut TcpStream, what: &str, again: fn(&mut TcpStream, &str)) -> bool {
    let (kind, rest) = what.split_once(' ').unwrap_or((what, ""));
    match kind {
        "bytes" => {
            let mut heard = vec![0; rest.len() / 2];
            stream.read_exact(&mut heard).unwrap();
            assert_eq!(heard, unhex(rest));
        }
        "silence" => {
            stream.set_read_timeout(Some(Duration::from_millis(rest.parse().unwrap()))).unwrap();
            let heard = stream.peek(&mut [0]);
            assert!(heard.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock));
            stream.set_read_timeout(Some(PATIENCE)).unwrap();
        }
        "within" => {
            let (ms, what) = rest.split_once(' ').unwrap();
            stream.set_read_timeout(Some(Duration::from_millis(ms.parse().unwrap()))).unwrap();
            again(stream, what);
            stream.set_read_timeout(Some(PATIENCE)).unwrap();
        }
        _ => return false,
    }
    true
}

fn client_expects(stream: &mut TcpStream, what: &str) {
    if expects_either(stream, what, client_expects) {
        return;
    }
    let (kind, rest) = what.split_once(' ').unwrap_or((what, ""));
    match kind {
        "N" => {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            return assert_eq!(&byte, b"N");
        }
        "closed" => return assert!(read_message(stream).is_none(), "the connection is still open"),
        "gone" => return while read_message(stream).is_some() {},
        _ => {}
    }
    let mut raw = Vec::new();
    let mut heard = String::new();
    loop {
        match read_message(stream) {
            None => panic!("closed after `{heard}` instead of {what}"),
            Some((b'Z', _)) => break,
            Some((b'E', fields)) => {
                let fields: Vec<&str> = std::str::from_utf8(&fields).unwrap().split('\0').collect();
                let field = |kind| fields.iter().find_map(|f| f.strip_prefix::<char>(kind)).unwrap_or("");
                heard = format!("error {} {}", field('C'), field('D')).trim_end().to_owned();
                if field('S') == "FATAL" {
                    break;
                }
            }
            Some((b'I', _)) => heard = "empty".to_owned(),
            Some((kind @ (b'T' | b'D' | b'C'), content)) => raw.extend(message(kind, &content)),
            Some(_) => {}
        }
    }
    match kind {
        "value" => assert_eq!(raw, row(rest), "the value to the letter; heard `{heard}`"),
        "ready" => assert_eq!(heard, ""),
        "answer" => {}
        _ => assert!(heard.starts_with(what), "heard `{heard}` instead of `{what}`"),
    }
}

/// A scenario that a test goes through in code, with single steps in the language.
pub struct Steps(Scenario);

impl Steps {
    /// A proxy with one ledger host in an installation of these settings, whose system calls fail as `crates/faults`
    /// words it; none do where that is empty.
    pub fn start_faulty(settings: &str, faults: &str) -> Self {
        Self(Scenario::start_faulty(Wire::Postgres, 1, "", settings, None, faults))
    }

    /// The same with a host, and a port for clients, that speak TDS.
    pub fn start_tds(settings: &str) -> Self {
        Self(Scenario::start(Wire::Tds, 1, "", settings))
    }

    /// Plays these lines.
    pub fn play(&mut self, text: &str) {
        play_lines(&mut self.0, text);
    }

    /// Where clients connect that speak PostgreSQL's protocol.
    pub fn listen(&self) -> SocketAddr {
        self.0.listen
    }

    /// Where clients connect that speak TDS.
    pub fn listen_tds(&self) -> SocketAddr {
        self.0.tds
    }

    /// The last line of the log that holds these words, once the program has ended.
    pub fn last_line(&self, words: &str) -> String {
        let lines = std::iter::from_fn(|| self.0.program.log.recv_timeout(PATIENCE).ok());
        lines.filter(|line| line.contains(words)).last().unwrap_or_else(|| panic!("no line holds `{words}`"))
    }

    /// When, from that moment on, SIGTERM was sent and the program was found ended, and where the time went meanwhile.
    pub fn end_after(&self, ordered: Instant) -> String {
        let Program { told, ended, .. } = &self.0.program;
        let Some((told, (ended, delays))) = told.get().zip(*ended) else { return String::new() };
        let after = |moment: Instant| moment.saturating_duration_since(ordered).as_millis();
        let (told, ended) = (after(told), after(ended));
        format!("SIGTERM after {told} ms, ended after {ended} ms{}", self.0.program.evidence(delays))
    }

    /// The figures of the console by name.
    pub fn figures(&self) -> HashMap<String, u64> {
        let stats = self.0.call("stats");
        let pairs = stats.lines().filter_map(|line| line.strip_prefix("gw.")?.split_once('='));
        pairs.filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?))).collect()
    }
}

/// The bytes of what a client sends, in the words of the language; empty words for none.
pub fn bytes_of(what: &str) -> Vec<u8> {
    client_bytes(what)
}

/// The bytes of what a client sends that speaks TDS.
pub fn tds_bytes_of(what: &str) -> Vec<u8> {
    tds::client_bytes(what)
}

/// Plays a scenario with so many ledger hosts.
pub fn play(hosts: usize, text: &str) {
    run(Scenario::start(Wire::Postgres, hosts, "", &settings()), text);
}

/// Plays a scenario with so many ledger hosts in an installation of these settings.
pub fn play_in(settings: &str, hosts: usize, text: &str) {
    run(Scenario::start(Wire::Postgres, hosts, "", settings), text);
}

/// The same with hosts and clients that speak TDS.
pub fn play_tds_in(settings: &str, hosts: usize, text: &str) {
    run(Scenario::start(Wire::Tds, hosts, "", settings), text);
}

/// Plays a scenario with so many ledger hosts that speak TDS, and a port for clients that do.
pub fn play_tds(hosts: usize, text: &str) {
    run(Scenario::start(Wire::Tds, hosts, "", &settings()), text);
}

/// Plays a scenario with so many ledger hosts and an operator's file.
pub fn play_with(operator: &str, hosts: usize, text: &str) {
    run(Scenario::start(Wire::Postgres, hosts, operator, &settings()), text);
}

/// Plays a scenario with so many ledger hosts, where system calls fail as `crates/faults` words it.
pub fn play_faulty(faults: &str, settings: &str, hosts: usize, text: &str) {
    run(Scenario::start_faulty(Wire::Postgres, hosts, "", settings, None, faults), text);
}

/// Plays a scenario in a program that logs each event and action.
pub fn play_traced(hosts: usize, text: &str) {
    let variables = [("GW_TRACE", "true")];
    run(Scenario::start_among(Wire::Postgres, hosts, "", &settings(), None, &variables), text);
}

/// Plays a scenario in a program that may have so many descriptors.
pub fn play_limited(sockets: usize, hosts: usize, more: &str, settings: &str, text: &str) {
    run(Scenario::start_limited(Wire::Postgres, hosts, more, settings, Some(sockets)), text);
}

fn run(mut scenario: Scenario, text: &str) {
    play_lines(&mut scenario, text);
}

fn play_lines(scenario: &mut Scenario, text: &str) {
    for (n, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        if !line.is_empty() {
            // Captured: shown when the scenario fails, up to the line that did.
            eprintln!("{:3} {line}", n + 1);
            shorthand::expand(line).iter().for_each(|step| play_step(scenario, step));
        }
    }
}

/// Plays a line; for each of several clients if it names them as `c1-9`.
fn play_step(scenario: &mut Scenario, step: &str) {
    scenario.line_began = scenario.program.begin();
    let range = step.split_once(' ').and_then(|(who, rest)| Some((who.split_once('-')?, rest)));
    let Some(((from, to), rest)) = range else { return scenario.line(step) };
    let (from, to): (u32, u32) = (from[1..].parse().unwrap(), to.parse().unwrap());
    let kind = &step[..1];
    for n in from..=to {
        scenario.line(&format!("{kind}{n} {}", rest.replace('@', &n.to_string())));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a program that finds its port taken by the child of another scenario, which holds the listener that
    /// found the port until its exec.
    #[test]
    fn a_port_that_was_found_is_free() {
        const ROUNDS: usize = 500;
        let searches = || (0..ROUNDS).for_each(|_| drop(TcpListener::bind(own_port()).expect("free")));
        let children = || {
            for _ in 0..ROUNDS {
                let alone = starts();
                let child = Command::new("true").spawn();
                drop(alone);
                assert!(child.unwrap().wait().unwrap().success());
            }
        };
        std::thread::scope(|scope| {
            (0..4).for_each(|_| drop(scope.spawn(searches)));
            (0..4).for_each(|_| drop(scope.spawn(children)));
        });
    }
}
