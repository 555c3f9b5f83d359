//! Stand-ins for the cases of this review: ledger hosts, discovery and clients on loopback sockets, and the
//! program itself as a separate process. Uses the standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Unix time in milliseconds.
pub fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

// ---- The end of a case -----------------------------------------------------------------------------------

/// How a case ended; the number is its exit status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
}

/// The record of a case, `record.txt` in its folder.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create() -> Self {
        let folder = std::env::var("CASE_FOLDER").unwrap_or_else(|_| ".".to_owned());
        let file = File::create(PathBuf::from(folder).join("record.txt")).expect("record.txt");
        let record = Self { file: Arc::new(Mutex::new(file)), start: Instant::now() };
        record.line(&format!("unix_ms={} trouble={}", unix_ms(), trouble()));
        record
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_micros() as f64 / 1000.0;
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.1} ms  {text}");
    }

    /// Milliseconds since the start, as at the front of each line.
    pub fn at(&self, instant: Instant) -> f64 {
        instant.saturating_duration_since(self.start).as_micros() as f64 / 1000.0
    }
}

/// Whether the disruption is wanted: not with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The longest time that a case may take.
const LONGEST_RUN: Duration = Duration::from_secs(110);

/// Runs a case and ends the process with its verdict. A panic of a stand-in is 'could not run'.
pub fn run_case(case: impl FnOnce(&Record) -> Verdict) -> ! {
    let record = Record::create();
    let watched = record.clone();
    thread::spawn(move || {
        sleep(LONGEST_RUN);
        watched.line("could not run: it takes too long");
        end_all_programs();
        std::process::exit(Verdict::CouldNotRun as i32)
    });
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&record)));
    let verdict = verdict.unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        let text = text.or(panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
        record.line(&format!("could not run: {}", text.unwrap_or_default()));
        Verdict::CouldNotRun
    });
    end_all_programs();
    record.line(&format!("verdict: {verdict:?}"));
    let _ = writeln!(io::stdout(), "{verdict:?}");
    std::process::exit(verdict as i32)
}

// ---- The program -----------------------------------------------------------------------------------------

static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

fn end_all_programs() {
    for pid in RUNNING.lock().unwrap_or_else(|e| e.into_inner()).drain(..) {
        // SAFETY: sends a signal to a process that this one has started and not waited for.
        unsafe { kill(pid, SIGKILL) };
    }
}

/// Root of the repository.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("REPOSITORY").expect("REPOSITORY is set by run.sh"))
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).expect("deploy/balancer.toml");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("`run` in the deploy file");
    line.split('"').nth(1).expect("the command").to_owned()
}

/// A folder for the files of one run, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&path).expect("temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A free address: a port that was free a moment ago, at a loopback address of this process alone.
pub fn free_address() -> SocketAddr {
    let pid = std::process::id();
    let ip = [127, 64 | (pid >> 16) as u8 & 63, (pid >> 8) as u8, pid as u8 | 1];
    let listener = TcpListener::bind(SocketAddr::from((ip, 0))).expect("a free port");
    listener.local_addr().unwrap()
}

pub struct Program {
    pub child: Child,
    name: String,
    record: Record,
    pub ended: bool,
}

impl Program {
    /// Starts the program with this configuration, as the deploy file says.
    pub fn start(record: &Record, folder: &Folder, name: &str, config: &str) -> Self {
        let path = folder.0.join(format!("{name}.json"));
        fs::write(&path, config).expect("configuration");
        let log = File::create(folder.0.join(format!("{name}.log"))).expect("log");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()).current_dir(root());
        for variable in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_CONSOLE", "GW_OPERATOR"] {
            command.env_remove(variable);
        }
        if std::env::var("KEEP_TRACE").is_ok() {
            command.env("GW_TRACE", "true");
        }
        command.env("GW_CONFIG", &path).env("TMPDIR", &folder.0).stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        // The program ends with the case, whatever ends that. (PR_SET_PDEATHSIG; called by the main thread.)
        // SAFETY: prctl(2) may be called between fork and exec.
        unsafe {
            command.pre_exec(|| match prctl(1, SIGKILL as u64) {
                0 => Ok(()),
                _ => Err(io::Error::last_os_error()),
            });
        }
        let child = command.spawn().expect("the program starts");
        RUNNING.lock().unwrap().push(child.id() as i32);
        record.line(&format!("{name}: started"));
        Self { child, name: name.to_owned(), record: record.clone(), ended: false }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        self.record.line(&format!("{}: signal {signal}", self.name));
        // SAFETY: sends a signal to a child that was not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns whether the program has ended, and records how.
    pub fn has_ended(&mut self) -> bool {
        if !self.ended {
            if let Some(status) = self.child.try_wait().expect("status of a child") {
                self.ended = true;
                RUNNING.lock().unwrap().retain(|pid| *pid != self.child.id() as i32);
                let (code, signal) = (status.code(), status.signal());
                self.record.line(&format!("{}: ended, code {code:?}, signal {signal:?}", self.name));
            }
        }
        self.ended
    }

    pub fn end(&mut self) {
        if !self.has_ended() {
            let _ = self.child.kill();
            let _ = self.child.wait();
            RUNNING.lock().unwrap().retain(|pid| *pid != self.child.id() as i32);
            self.ended = true;
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.end();
    }
}

/// Makes a call to the console; returns whether the answer is 2xx.
pub fn console_says_yes(address: SocketAddr, call: &str) -> bool {
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, ms(500))?;
        stream.set_read_timeout(Some(ms(1000)))?;
        write!(stream, "{call} HTTP/1.1\r\nhost: console\r\nconnection: close\r\n\r\n")?;
        let mut head = [0; 12];
        stream.read_exact(&mut head)?;
        Ok(head.starts_with(b"HTTP/1.1 2"))
    };
    ask().unwrap_or(false)
}

/// Waits until the console's health says yes.
pub fn await_health(record: &Record, console: SocketAddr) {
    let until = Instant::now() + ms(10_000);
    while !console_says_yes(console, "GET /admin/health") {
        assert!(Instant::now() < until, "the program does not become ready");
        sleep(ms(20));
    }
    record.line("console: health says yes");
}

// ---- Discovery -------------------------------------------------------------------------------------------

/// A ledger host in discovery's list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: i64,
}

impl Endpoint {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"m","group":{},"status":"{}","weight":1.0,"since_ms":{}}}"#,
            self.name, self.address, self.zone, self.group, self.status, self.since_ms
        )
    }
}

pub fn list_json(index: u64, snapshot: bool, endpoints: &[Endpoint]) -> String {
    let entries: Vec<String> = endpoints.iter().map(Endpoint::json).collect();
    format!(r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#, entries.join(","))
}

struct DiscoveryState {
    index: u64,
    endpoints: Vec<Endpoint>,
    /// All changes, with the index at which each came.
    changes: Vec<(u64, Endpoint)>,
}

/// Discovery over HTTP/1.1: the whole list, and watches.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<DiscoveryState>>,
}

impl Discovery {
    pub fn start(record: &Record, endpoints: Vec<Endpoint>) -> Self {
        let listener = TcpListener::bind(free_address()).expect("discovery's address");
        let address = listener.local_addr().unwrap();
        let state = DiscoveryState { index: 41, endpoints, changes: Vec::new() };
        let state = Arc::new(Mutex::new(state));
        let discovery = Self { address, state };
        let (serving, record) = (discovery.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (serving, record) = (serving.clone(), record.clone());
                thread::spawn(move || drop(serving.serve(stream, &record)));
            }
        });
        discovery
    }

    /// The list as it stands, for `known` in a configuration.
    pub fn list(&self) -> String {
        let state = self.state.lock().unwrap();
        list_json(state.index, true, &state.endpoints)
    }

    /// Changes one entry, which all watches are told.
    pub fn change(&self, record: &Record, endpoint: Endpoint) {
        record.line(&format!("discovery: {} is {}", endpoint.name, endpoint.status));
        let mut state = self.state.lock().unwrap();
        state.index += 1;
        let index = state.index;
        state.endpoints.retain(|other| other.name != endpoint.name);
        if endpoint.status != "removed" {
            state.endpoints.push(endpoint.clone());
        }
        state.changes.push((index, endpoint));
    }

    fn serve(&self, mut stream: TcpStream, record: &Record) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        record.line(&format!("discovery: {path}"));
        if !path.contains("follow=1") {
            let body = self.list();
            return write!(stream, "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        }
        let since = path.split("since=").nth(1).and_then(|text| text.parse::<u64>().ok());
        let mut told = match since {
            Some(since) => since,
            None => 0,
        };
        write!(stream, "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n")?;
        let chunk = |stream: &mut TcpStream, text: &str| write!(stream, "{:x}\r\n{text}\r\n", text.len());
        let mut is_first = true;
        let mut last = Instant::now();
        loop {
            let line = {
                let state = self.state.lock().unwrap();
                let changed: Vec<Endpoint> = state.changes.iter().filter(|(at, _)| *at > told).map(|(_, e)| e.clone()).collect();
                let line = if is_first && since.is_none() {
                    Some(list_json(state.index, true, &state.endpoints))
                } else if is_first || !changed.is_empty() {
                    Some(list_json(state.index, false, &changed))
                } else {
                    None
                };
                told = state.index;
                line
            };
            if let Some(line) = line {
                chunk(&mut stream, &format!("{line}\n"))?;
                last = Instant::now();
            } else if last.elapsed() >= ms(2000) {
                chunk(&mut stream, "\n")?;
                last = Instant::now();
            }
            is_first = false;
            sleep(ms(5));
        }
    }
}

// ---- PostgreSQL's messages -------------------------------------------------------------------------------

pub fn message(kind: u8, content: &[u8]) -> Vec<u8> {
    [&[kind][..], &(content.len() as u32 + 4).to_be_bytes(), content].concat()
}

pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

pub fn row_description() -> Vec<u8> {
    message(b'T', &[&[0, 1][..], b"content\0", &[0; 6], &17u32.to_be_bytes(), &[255; 6], &[0, 1]].concat())
}

pub fn data_row(value: &[u8]) -> Vec<u8> {
    message(b'D', &[&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat())
}

pub fn complete(is_write: bool) -> Vec<u8> {
    message(b'C', if is_write { b"INSERT 0 1\0" } else { b"SELECT 1\0" })
}

/// A whole answer with one value, the role and the position.
pub fn value_answer(value: &[u8], is_write: bool, role: &str, applied_ms: i64) -> Vec<u8> {
    [
        row_description(),
        data_row(value),
        complete(is_write),
        parameter("role", role),
        parameter("applied_ms", &applied_ms.to_string()),
        ready(),
    ]
    .concat()
}

/// A whole answer with an error, with the role and position of the host.
pub fn error_answer(code: &str, role: &str, applied_ms: i64) -> Vec<u8> {
    let fields = format!("SERROR\0C{code}\0Mturned away\0\0");
    [
        message(b'E', fields.as_bytes()),
        parameter("role", role),
        parameter("applied_ms", &applied_ms.to_string()),
        ready(),
    ]
    .concat()
}

fn read_message(stream: &mut TcpStream) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut content = vec![0; length.saturating_sub(4)];
    stream.read_exact(&mut content)?;
    Ok((head[0], content))
}

// ---- Ledger hosts ----------------------------------------------------------------------------------------

/// A statement that has reached a host.
#[derive(Clone, Debug)]
pub struct Query {
    pub text: String,
    pub is_write: bool,
    /// The quoted key.
    pub key: String,
    /// A write's value, as it stands in the statement.
    pub value: String,
    pub fields: HashMap<String, String>,
    /// When its last byte had come.
    pub received: Instant,
    pub connection: u64,
}

impl Query {
    fn parse(text: String, connection: u64) -> Self {
        let quoted: Vec<&str> = text.split('\'').collect();
        let key = quoted.get(1).map_or(String::new(), |key| (*key).to_owned());
        let value = quoted.get(3).map_or(String::new(), |value| value.trim_start_matches("\\x").to_owned());
        let comment = text.split("/*").nth(1).and_then(|text| text.split("*/").next()).unwrap_or_default();
        let fields = comment.trim().split(',').filter_map(|pair| pair.split_once('='));
        let fields = fields.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
        let is_write = text.starts_with("INSERT");
        Self { is_write, key, value, fields, received: Instant::now(), connection, text }
    }

    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// What a host does; each call runs on the connection's own thread.
pub trait Ledger: Send + Sync + 'static {
    /// A connection was accepted; returns after the time that the greeting takes.
    fn greet(&self, _host: usize) {}
    /// Answers a statement. An error ends the connection.
    fn answer(&self, host: usize, query: &Query, stream: &mut TcpStream) -> io::Result<()>;
    /// The load report, if hosts give one.
    fn report(&self, _host: usize) -> Option<String> {
        None
    }
}

static CONNECTIONS: AtomicU64 = AtomicU64::new(1);

pub struct Host {
    pub address: SocketAddr,
    open: Arc<Mutex<Vec<(u64, TcpStream)>>>,
    pub down: Arc<AtomicBool>,
}

impl Host {
    pub fn start(index: usize, ledger: Arc<dyn Ledger>) -> Self {
        let listener = TcpListener::bind(free_address()).expect("a host's address");
        let address = listener.local_addr().unwrap();
        let open = Arc::new(Mutex::new(Vec::new()));
        let streams: Arc<Mutex<Vec<(u64, TcpStream)>>> = Arc::clone(&open);
        let down = Arc::new(AtomicBool::new(false));
        let is_down = Arc::clone(&down);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if is_down.load(SeqCst) {
                    continue;
                }
                let number = CONNECTIONS.fetch_add(1, SeqCst);
                streams.lock().unwrap().push((number, stream.try_clone().unwrap()));
                let (ledger, streams) = (Arc::clone(&ledger), Arc::clone(&streams));
                thread::spawn(move || {
                    let _ = serve_host(index, number, stream, &*ledger);
                    streams.lock().unwrap().retain(|(other, _)| *other != number);
                });
            }
        });
        Self { address, open, down }
    }

    /// Resets all connections that are open.
    pub fn reset_all(&self) {
        self.open.lock().unwrap().iter().for_each(|(_, stream)| reset(stream));
    }

    /// Resets one connection.
    pub fn reset(&self, number: u64) {
        for (other, stream) in self.open.lock().unwrap().iter() {
            if *other == number {
                reset(stream);
            }
        }
    }
}

/// Makes the close of a connection a reset, and closes it.
pub fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    #[repr(C)]
    struct Linger {
        onoff: i32,
        linger: i32,
    }
    extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
        fn connect(fd: i32, address: *const u16, length: u32) -> i32;
    }
    let linger = Linger { onoff: 1, linger: 0 };
    // SAFETY: the descriptor is open, and the values outlive the calls. Connecting to AF_UNSPEC resets a TCP
    // connection at once, also while other handles of it are open.
    unsafe {
        setsockopt(stream.as_raw_fd(), 1, 13, &linger, 8);
        let unspecified = [0u16; 8];
        connect(stream.as_raw_fd(), unspecified.as_ptr(), 16);
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn serve_host(host: usize, connection: u64, mut stream: TcpStream, ledger: &dyn Ledger) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut startup = vec![0; u32::from_be_bytes(length) as usize - 4];
    stream.read_exact(&mut startup)?;
    ledger.greet(host);
    stream.write_all(&[message(b'R', &[0; 4]), ready()].concat())?;
    loop {
        let (kind, content) = read_message(&mut stream)?;
        if kind != b'Q' {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&content[..content.len().saturating_sub(1)]).into_owned();
        let verb = text.split_whitespace().next().unwrap_or_default().to_ascii_uppercase();
        if text.trim().is_empty() {
            stream.write_all(&[message(b'I', b""), ready()].concat())?;
        } else if matches!(verb.as_str(), "SET" | "RESET" | "DISCARD") {
            stream.write_all(&[message(b'C', b"SET\0"), ready()].concat())?;
        } else if text == "SELECT 1" {
            stream.write_all(&[row_description(), data_row(b"1"), complete(false), ready()].concat())?;
        } else if text == "SHOW load" {
            let answer = match ledger.report(host) {
                Some(report) => [row_description(), data_row(report.as_bytes()), complete(false), ready()].concat(),
                None => [message(b'E', b"SERROR\0C42501\0Mno reports\0\0"), ready()].concat(),
            };
            stream.write_all(&answer)?;
        } else {
            let query = Query::parse(text, connection);
            ledger.answer(host, &query, &mut stream)?;
        }
    }
}

// ---- Clients ---------------------------------------------------------------------------------------------

/// What a client got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Value(Vec<u8>),
    Empty,
    /// SQLSTATE and the field D.
    Error(String, String),
    /// The connection ended without a whole answer; the text says how.
    Closed(String),
    /// Nothing in time.
    Silent,
}

pub struct Client {
    pub stream: TcpStream,
    pub answered: usize,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let mut stream = TcpStream::connect_timeout(&address, ms(1000))?;
        stream.set_nodelay(true)?;
        let content = [&196_608u32.to_be_bytes()[..], b"user\0backend\0database\0store\0\0"].concat();
        let packet = [&(content.len() as u32 + 4).to_be_bytes()[..], &content].concat();
        stream.write_all(&packet)?;
        stream.set_read_timeout(Some(ms(2000)))?;
        loop {
            if read_message(&mut stream)?.0 == b'Z' {
                return Ok(Self { stream, answered: 0 });
            }
        }
    }

    pub fn send(&mut self, sql: &str) -> io::Result<()> {
        self.stream.write_all(&message(b'Q', format!("{sql}\0").as_bytes()))
    }

    /// Reads one answer, for as long as `limit`.
    pub fn receive(&mut self, limit: Duration) -> Answer {
        let until = Instant::now() + limit;
        let (mut value, mut error, mut empty, mut complete) = (None, None, false, false);
        loop {
            let left = until.saturating_duration_since(Instant::now()).max(ms(1));
            let _ = self.stream.set_read_timeout(Some(left));
            let (kind, content) = match read_message(&mut self.stream) {
                Ok(message) => message,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Answer::Silent,
                Err(e) => return error.unwrap_or(Answer::Closed(format!("{:?}", e.kind()))),
            };
            match kind {
                b'D' => value = Some(content.get(6..).unwrap_or_default().to_vec()),
                b'C' => complete = true,
                b'I' => empty = true,
                b'E' => {
                    let fields: Vec<&[u8]> = content.split(|byte| *byte == 0).collect();
                    let field = |name: u8| {
                        let found = fields.iter().find(|field| field.first() == Some(&name));
                        found.map_or(String::new(), |field| String::from_utf8_lossy(&field[1..]).into_owned())
                    };
                    error = Some(Answer::Error(field(b'C'), field(b'D')));
                }
                b'Z' => {
                    self.answered += 1;
                    return match (error, value) {
                        (Some(error), _) => error,
                        (None, Some(value)) if complete => Answer::Value(value),
                        _ if empty => Answer::Empty,
                        _ => Answer::Closed("an answer without a value".to_owned()),
                    };
                }
                _ => {}
            }
        }
    }

    pub fn ask(&mut self, sql: &str, limit: Duration) -> Answer {
        match self.send(sql) {
            Ok(()) => self.receive(limit),
            Err(e) => Answer::Closed(format!("{:?}", e.kind())),
        }
    }
}

/// A read's statement. `more` holds further entries of the comment, with a comma in front.
pub fn read_sql(key: &str, id: &str, class: &str, d: u64, more: &str) -> String {
    format!("SELECT content FROM kv WHERE name = '{key}' /* id={id},c={class},d={d},cluster=0{more} */")
}

/// A write's statement; `value` in hexadecimal digits.
pub fn write_sql(key: &str, value: &str, id: &str, class: &str, d: u64, more: &str) -> String {
    format!(
        "INSERT INTO kv (name, content) VALUES ('{key}', '\\x{value}') RETURNING content /* id={id},c={class},d={d}{more},cluster=0 */"
    )
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

// ---- Settings --------------------------------------------------------------------------------------------

/// Settings of fes-tip-ledger for a small deployment, in the simulator's words.
pub fn fes_settings(balancers: u32) -> String {
    format!(
        r#"{{"areas":["batha"],"balancers":{balancers},"locality":0,"me":0,"tick":0.005,"tier":0,"tiers":["ledger-db"],
"clientHabits":{{"marksRetry":false}},"customers":[],"discovery":"on_request","family":"replicas",
"familyInfo":{{"answersStamped":true,"baseTime":0.0,"classBound":[0.5,0.0,0.0],"commitWaits":false,
"freshness":["bounded","session","write"],"notes":"position","reportX0":"","reportX1":"","roleInList":"off","wait":0.0,"whenBehind":"off","writeMarks":"remembered"}},
"goal":{{"whole":0.6,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.2}},
"grades":[
{{"name":"pool-read","credit":2.0,"onTime":0.3,"deadline":1.2,"lateWorth":0.0,"repeat":"pure","group":"all","streamed":false,"window":5.0}},
{{"name":"own-read","credit":2.0,"onTime":0.25,"deadline":0.75,"lateWorth":0.0,"repeat":"pure","group":"all","streamed":false,"window":5.0}},
{{"name":"tip-write","credit":4.0,"onTime":0.75,"deadline":3.0,"lateWorth":0.3,"repeat":"token","group":"cell","streamed":false,"window":3.0}}],
"guarantees":{{"answerSlack":0.02,"askWithin":10.0,"cold":16.0,"coldFrom":0.22,"drainGrace":0.5,"fall":1.5,"fallMultiple":2.5}},
"kinds":["std-5c"],
"limits":{{"connectTimeout":0.25,"cpuUsPerRequest":0.0,"cpuUsPerS":750000,"keepalive":30.0,"maxAttempts":10,"maxRetryAfter":1.0,"mayCancel":true,"mayTell":false,"mostHeld":30000,"multiplex":1,"probes":true,"retryAfter":true,"secondCopies":true}},
"overShareWorth":1.0,"prices":{{"crossZone":0.02,"waste":0.08,"probe":0.02,"lateFail":0.05}},
"report":{{"fields":[],"how":"off"}},"weights":"off","worthBy":"request"}}"#
    )
}

/// Settings of sapporo-main for a small deployment, in the simulator's words.
pub fn sapporo_settings(balancers: u32) -> String {
    format!(
        r#"{{"areas":["sapporo-1"],"balancers":{balancers},"locality":0,"me":0,"tick":0.005,"tier":0,"tiers":["till-db"],
"clientHabits":{{"marksRetry":false}},
"customers":[{{"name":"kitakaze-ichiba","quotaPerS":351.0,"share":0.57}},{{"name":"minato-asaichi","quotaPerS":160.0,"share":0.26}},{{"name":"yuki-hama-market","quotaPerS":105.0,"share":0.17}}],
"discovery":"pushed","family":"replicas",
"familyInfo":{{"answersStamped":true,"baseTime":0.0,"classBound":[0.2,0.0,0.0,0.0],"commitWaits":false,
"freshness":["bounded","session","any","write"],"notes":"position","reportX0":"position in seconds after zero","reportX1":"1 from a primary","roleInList":"off","wait":0.02,"whenBehind":"wait","writeMarks":"remembered"}},
"goal":{{"whole":0.45,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.25}},
"grades":[
{{"credit":3.0,"deadline":1.2,"group":"all","lateWorth":0.2,"name":"price-lookup","onTime":0.3,"repeat":"pure","streamed":false,"window":5.0}},
{{"credit":1.0,"deadline":1.2,"group":"all","lateWorth":0.0,"name":"own-sales","onTime":0.3,"repeat":"pure","streamed":false,"window":5.0}},
{{"credit":1.0,"deadline":1.0,"group":"all","lateWorth":0.2,"name":"daily-report","onTime":0.4,"repeat":"pure","streamed":false,"window":5.0}},
{{"credit":6.0,"deadline":5.0,"group":"cell","lateWorth":0.3,"name":"sale-write","onTime":0.5,"repeat":"token","streamed":false,"window":3.0}}],
"guarantees":{{"answerSlack":0.02,"askWithin":10.0,"cold":18.0,"coldFrom":0.15,"drainGrace":2.0,"fall":3.0,"fallMultiple":3.0}},
"kinds":["std-5core"],
"limits":{{"connectTimeout":0.25,"cpuUsPerRequest":0.0,"cpuUsPerS":750000,"keepalive":15.0,"maxAttempts":8,"maxRetryAfter":0.5,"mayCancel":true,"mayTell":false,"mostHeld":30000,"multiplex":1,"probes":true,"retryAfter":true,"secondCopies":true}},
"overShareWorth":0.1,"prices":{{"connection":0.0,"crossZone":0.027,"discovery":0.0,"handshake":0.0,"lateFail":0.052,"probe":0.038,"waste":0.05}},
"report":{{"fields":["x0","x1","cpu"],"how":"on_probe"}},"weights":"off","worthBy":"request"}}"#
    )
}

/// The configuration of one proxy.
pub fn config(
    listen: SocketAddr,
    console: SocketAddr,
    discovery: SocketAddr,
    known: &str,
    memory_mb: u32,
    settings: &str,
) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","console":"{console}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":1024}},"known":{known},"settings":{settings}}}"#
    )
}
