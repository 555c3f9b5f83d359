//! Stand-ins for ledger hosts, discovery and clients, and the start of the proxy, for the cases 6 to 10.
//! The standard library only; threads and blocking sockets, all on loopback.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};
use std::path::{Path, PathBuf};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
    fn ioctl(descriptor: i32, request: u64, value: *mut i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
const PR_SET_PDEATHSIG: i32 = 1;
const SIOCOUTQ: u64 = 0x5411;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const SO_LINGER: i32 = 13;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub fn sleep(milliseconds: u64) {
    thread::sleep(ms(milliseconds));
}

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1e3
}

// ---------------------------------------------------------------- the record and the verdict

struct Record {
    file: Mutex<File>,
    started: Instant,
}

static RECORD: OnceLock<Record> = OnceLock::new();
/// The processes that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the program after this time, whatever it waits for.
pub fn limit_time(seconds: u64) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        finish(Verdict::NotRun(format!("it was not over after {seconds} s")))
    });
}

/// Opens `record.txt` in the folder of the case.
pub fn open_record(folder: &Path) {
    let file = File::create(folder.join("record.txt")).expect("record.txt");
    let _ = RECORD.set(Record { file: Mutex::new(file), started: Instant::now() });
}

/// Writes a line to the record, with the milliseconds since the start.
pub fn note(line: impl AsRef<str>) {
    if let Some(record) = RECORD.get() {
        let at = record.started.elapsed().as_millis();
        let _ = writeln!(record.file.lock().unwrap(), "{at:>7} {}", line.as_ref());
    }
}

/// Whether the case plays its disruption (`TROUBLE=0` leaves it out).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

/// Ends all processes that were started, notes the verdict and ends the program with its status.
pub fn finish(verdict: Verdict) -> ! {
    for process in STARTED.lock().unwrap().drain(..) {
        unsafe { kill(process as i32, SIGKILL) };
    }
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(how) => (1, format!("RULE BROKEN: {how}")),
        Verdict::NotRun(why) => (2, format!("the case could not run: {why}")),
    };
    note(&text);
    println!("{text}");
    std::process::exit(code)
}

// ---------------------------------------------------------------- the proxy

/// The root of the project: the folder that has the deploy file.
pub fn root() -> PathBuf {
    std::env::var_os("ROOT").map(PathBuf::from).expect("ROOT names the root of the project")
}

/// The command under a key of the deploy file.
fn deploy_command(key: &str) -> String {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("deploy file");
    let line = text.lines().find(|line| line.starts_with(&format!("{key} = \""))).expect("key");
    line.split('"').nth(1).unwrap().to_owned()
}

/// A port of a loopback address that was free a moment ago.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub struct Proxy {
    pub child: Child,
    pub listen: SocketAddr,
    pub console: SocketAddr,
    pub config: PathBuf,
    pub log: PathBuf,
}

/// What a proxy is started with.
pub struct Start<'a> {
    pub folder: &'a Path,
    pub label: &'a str,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub limits: &'a str,
    pub settings: &'a str,
}

impl Start<'_> {
    fn config_text(&self, console: SocketAddr) -> String {
        let Self { listen, discovery, limits, settings, .. } = self;
        format!(
            r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","console":"{console}","seed":"8c1f30d27a5be964","limits":{limits},"settings":{settings}}}"#
        )
    }

    pub fn start(&self) -> Proxy {
        let console = free_address();
        let config = self.folder.join(format!("config-{}.json", self.label));
        std::fs::write(&config, self.config_text(console)).unwrap();
        let temporary = self.folder.join("tmp");
        let _ = std::fs::create_dir_all(&temporary);
        let log = self.folder.join(format!("log-{}.txt", self.label));
        let mut command = Command::new("/bin/sh");
        // The process ends with this one, however this one ends.
        unsafe { command.pre_exec(|| if prctl(PR_SET_PDEATHSIG, SIGKILL as u64) == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }) };
        let child = command
            .arg("-c")
            .arg(deploy_command("run"))
            .current_dir(root())
            .env("GW_CONFIG", &config)
            .env("GW_NAME", "n1")
            .env("GW_LISTEN", self.listen.to_string())
            .env("GW_CONSOLE", console.to_string())
            .env("TMPDIR", &temporary)
            .env("GW_LOG", "text")
            .env("GW_TRACE", std::env::var("TRACE").unwrap_or_else(|_| "false".to_owned()))
            .env_remove("GW_DISCOVERY")
            .env_remove("GW_OPERATOR")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log).unwrap())
            .spawn()
            .unwrap_or_else(|error| finish(Verdict::NotRun(format!("the proxy did not start: {error}"))));
        STARTED.lock().unwrap().push(child.id());
        note(format!("proxy {} started, process {}, at {}", self.label, child.id(), self.listen));
        Proxy { child, listen: self.listen, console, config, log }
    }
}

impl Start<'_> {
    /// Replaces the file that a running proxy reads at SIGHUP.
    pub fn rewrite(&self, proxy: &Proxy) {
        let next = proxy.config.with_extension("next");
        std::fs::write(&next, self.config_text(proxy.console)).unwrap();
        std::fs::rename(&next, &proxy.config).unwrap();
    }
}

impl Proxy {
    pub fn signal(&self, signal: i32) {
        note(format!("signal {signal} to process {}", self.child.id()));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits until the console says that the process is ready.
    pub fn await_ready(&self) {
        let until = Instant::now() + ms(10_000);
        while Instant::now() < until {
            if http(self.console, "GET", "/admin/health").is_ok_and(|(status, _)| status == 200) {
                note("the proxy says that it is ready");
                return;
            }
            sleep(20);
        }
        finish(Verdict::NotRun("the proxy was not ready within 10 s".to_owned()))
    }

    pub fn stats(&self) -> String {
        http(self.console, "GET", "/admin/stats").map(|(_, body)| body).unwrap_or_default()
    }

    /// A field of `/proc/PID/status` in KiB.
    pub fn status_kib(&self, field: &str) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with(field)).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|process| *process != self.child.id());
    }
}

/// One call over HTTP/1.1; returns status and body.
pub fn http(address: SocketAddr, method: &str, path: &str) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, ms(1_000))?;
    stream.set_read_timeout(Some(ms(2_000)))?;
    write!(stream, "{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-length: 0\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body).to_owned();
    Ok((status, body))
}

// ---------------------------------------------------------------- discovery

#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        let Self { name, address, group, status, since_ms } = self;
        format!(
            r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m2","group":{group},"status":"{status}","weight":1.0,"since_ms":{since_ms}}}"#
        )
    }
}

#[derive(Default)]
struct Versions {
    index: u64,
    entries: Vec<Entry>,
    changes: Vec<(u64, Entry)>,
}

/// Discovery: whole lists and watches, as the protocol page describes them.
pub struct Discovery {
    pub address: SocketAddr,
    versions: Mutex<Versions>,
    changed: Condvar,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let versions = Versions { index: 41, entries, changes: Vec::new() };
        let discovery = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            versions: Mutex::new(versions),
            changed: Condvar::new(),
        });
        let this = Arc::clone(&discovery);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = Arc::clone(&this);
                thread::spawn(move || drop(this.serve(stream)));
            }
        });
        discovery
    }

    /// Changes the status of a host.
    pub fn set(&self, entry: Entry) {
        note(format!("discovery lists {} as {}", entry.name, entry.status));
        let mut versions = self.versions.lock().unwrap();
        versions.index += 1;
        let index = versions.index;
        versions.entries.retain(|old| old.name != entry.name);
        if entry.status != "removed" {
            versions.entries.push(entry.clone());
        }
        versions.changes.push((index, entry));
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let path = head.split(' ').nth(1).unwrap_or("").to_owned();
        let since = path.split("since=").nth(1).and_then(|text| text.split('&').next()?.parse::<u64>().ok());
        if !path.contains("follow=1") {
            let body = self.whole().1;
            return write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        }
        write!(stream, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")?;
        let mut known = match since {
            Some(since) if since >= 41 => since,
            _ => {
                let (index, body) = self.whole();
                write_chunk(&mut stream, &format!("{body}\n"))?;
                index
            }
        };
        loop {
            let mut versions = self.versions.lock().unwrap();
            if versions.index <= known {
                versions = self.changed.wait_timeout(versions, ms(2_000)).unwrap().0;
            }
            let line = if versions.index > known {
                let changed = versions.changes.iter().filter(|(index, _)| *index > known);
                let entries: Vec<String> = changed.map(|(_, entry)| entry.json()).collect();
                known = versions.index;
                format!(r#"{{"index":{known},"snapshot":false,"endpoints":[{}]}}"#, entries.join(","))
            } else {
                String::new()
            };
            drop(versions);
            write_chunk(&mut stream, &format!("{line}\n"))?;
        }
    }

    fn whole(&self) -> (u64, String) {
        let versions = self.versions.lock().unwrap();
        let entries: Vec<String> = versions.entries.iter().map(Entry::json).collect();
        let index = versions.index;
        (index, format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{}]}}"#, entries.join(",")))
    }
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

// ---------------------------------------------------------------- messages of protocol 3

pub fn message(kind: u8, content: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend((content.len() as u32 + 4).to_be_bytes());
    bytes.extend(content);
    bytes
}

pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

/// RowDescription, DataRow and CommandComplete for one value in binary.
pub fn row(value: &[u8], tag: &str) -> Vec<u8> {
    let mut description = vec![0, 1];
    description.extend(b"content\0");
    description.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1]);
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    let mut bytes = message(b'T', &description);
    bytes.extend(message(b'D', &data));
    bytes.extend(message(b'C', format!("{tag}\0").as_bytes()));
    bytes
}

pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes())
}

/// Reads one message: type and content. `pace` is told the number of bytes of the message read so far before
/// each further read.
fn read_message(
    stream: &mut TcpStream,
    has_type: bool,
    mut pace: impl FnMut(usize),
) -> io::Result<(u8, Vec<u8>)> {
    let mut kind = [0];
    if has_type {
        stream.read_exact(&mut kind)?;
    }
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut content = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4)];
    let mut read = 0;
    while read < content.len() {
        pace(read);
        let end = content.len().min(read + 4096);
        let count = stream.read(&mut content[read..end])?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        read += count;
    }
    Ok((kind[0], content))
}

// ---------------------------------------------------------------- ledger hosts

/// A statement as a host receives it.
#[derive(Clone, Debug, Default)]
pub struct Query {
    pub text: String,
    pub name: String,
    pub is_write: bool,
    pub fields: HashMap<String, String>,
}

impl Query {
    fn parse(text: &str) -> Self {
        let comment = text.split("/*").nth(1).unwrap_or("").split("*/").next().unwrap_or("").trim().to_owned();
        let pairs = comment.split(',').filter_map(|pair| pair.split_once('='));
        Self {
            text: text.to_owned(),
            name: text.split('\'').nth(1).unwrap_or("").to_owned(),
            is_write: text.starts_with("INSERT"),
            fields: pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
        }
    }

    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// A connection at a host.
pub struct Connection {
    pub stream: TcpStream,
    /// Number of the connection at its host, from 1.
    pub number: u64,
}

impl Connection {
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Resets the connection.
    pub fn reset(&mut self) {
        let linger = [1, 0];
        unsafe { setsockopt(self.stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
        // The reset is sent as the last descriptor is closed: that of this connection, on return.
    }
}

/// What a host does with a statement. Returns whether the connection stays open.
pub type Handler = dyn Fn(&Host, &mut Connection, &Query) -> io::Result<bool> + Send + Sync;
/// What a host does before it reads on within a message: connection and bytes read so far.
pub type Pace = dyn Fn(u64, usize) + Send + Sync;

pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub is_primary: bool,
    trail_ms: f64,
    copy_age_ms: f64,
    started: Instant,
    connections: AtomicU64,
}

/// Options of a host.
pub struct HostOptions {
    pub is_primary: bool,
    /// How far a replica's data trail the primary's, in milliseconds.
    pub trail_ms: f64,
    /// Age of the copy from which a replica starts, in milliseconds; it catches up one second in a second.
    pub copy_age_ms: f64,
    /// Segment size and receive buffer of its connections; loopback's own if `None`.
    pub segments: Option<(i32, i32)>,
    pub pace: Arc<Pace>,
}

impl Default for HostOptions {
    fn default() -> Self {
        Self { is_primary: true, trail_ms: 20.0, copy_age_ms: 0.0, segments: None, pace: Arc::new(|_, _| {}) }
    }
}

static NEXT_HOST: AtomicU64 = AtomicU64::new(1);

impl Host {
    pub fn start(name: &str, options: HostOptions, handler: Arc<Handler>) -> Arc<Self> {
        // An address of its own: the system remembers window sizes of earlier connections by address.
        let [a, b, c, _] = std::process::id().to_ne_bytes();
        let number = NEXT_HOST.fetch_add(1, SeqCst) as u8;
        let address = std::net::Ipv4Addr::new(127, 1 + a % 250, b ^ c, 1 + number);
        let listener = TcpListener::bind((address, 0)).unwrap();
        let HostOptions { is_primary, trail_ms, copy_age_ms, segments, pace } = options;
        if let Some((segment, buffer)) = segments {
            let socket = listener.as_raw_fd();
            unsafe {
                setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
                setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &buffer, 4);
            }
        }
        let address = listener.local_addr().unwrap();
        let (name, started, connections) = (name.to_owned(), Instant::now(), AtomicU64::new(0));
        let host = Arc::new(Self { name, address, is_primary, trail_ms, copy_age_ms, started, connections });
        let this = Arc::clone(&host);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (this, handler, pace) = (Arc::clone(&this), Arc::clone(&handler), Arc::clone(&pace));
                let number = this.connections.fetch_add(1, SeqCst) + 1;
                thread::spawn(move || {
                    let _ = this.serve(Connection { stream, number }, &*handler, &*pace);
                });
            }
        });
        host
    }

    pub fn entry(&self, group: u32) -> Entry {
        Entry { name: self.name.clone(), address: self.address, group, status: "up", since_ms: 0 }
    }

    fn serve(&self, mut connection: Connection, handler: &Handler, pace: &Pace) -> io::Result<()> {
        connection.stream.set_nodelay(true)?;
        read_message(&mut connection.stream, false, |_| {})?;
        let mut greeting = message(b'R', &[0; 4]);
        greeting.extend(ready());
        connection.send(&greeting)?;
        loop {
            let number = connection.number;
            let (kind, content) = read_message(&mut connection.stream, true, |read| pace(number, read))?;
            let text = String::from_utf8_lossy(&content).trim_end_matches('\0').to_owned();
            if kind != b'Q' {
                return Ok(());
            }
            let is_open = match text.as_str() {
                "SELECT 1" => connection.send(&self.end(row(b"1", "SELECT 1"))).map(|()| true)?,
                "SHOW load" => {
                    let report =
                        format!("x0={:.3},x1={},util=0.1", self.position_ms() / 1e3, u8::from(self.is_primary));
                    connection.send(&self.end(row(report.as_bytes(), "SHOW"))).map(|()| true)?
                }
                _ => handler(self, &mut connection, &Query::parse(&text))?,
            };
            if !is_open {
                return Ok(());
            }
        }
    }

    /// The applied position: the present at a primary, a while ago at a replica.
    pub fn position_ms(&self) -> f64 {
        let trail_ms = self.trail_ms.max(self.copy_age_ms - self.started.elapsed().as_secs_f64() * 1e3);
        unix_ms() - if self.is_primary { 0.0 } else { trail_ms }
    }

    /// Appends what ends every answer: role, position, ReadyForQuery.
    pub fn end(&self, answer: Vec<u8>) -> Vec<u8> {
        self.end_at(answer, self.position_ms().floor())
    }

    /// The same with a given position.
    pub fn end_at(&self, mut answer: Vec<u8>, position_ms: f64) -> Vec<u8> {
        answer.extend(parameter("role", if self.is_primary { "primary" } else { "replica" }));
        answer.extend(parameter("applied_ms", &format!("{position_ms:.0}")));
        answer.extend(ready());
        answer
    }

    /// The whole answer with a value.
    pub fn answer(&self, query: &Query, value: &[u8]) -> Vec<u8> {
        self.end(row(value, if query.is_write { "INSERT 0 1" } else { "SELECT 1" }))
    }
}

// ---------------------------------------------------------------- clients

#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Served(Vec<u8>),
    Refused(String),
    Failed(String),
    /// The connection ended, or nothing came in time; with the number of bytes that came.
    Broken(String, usize),
}

impl Reply {
    pub fn text(&self) -> String {
        match self {
            Self::Served(value) if value.len() > 100 => format!("served, {} bytes", value.len()),
            Self::Served(value) => format!("served `{}`", String::from_utf8_lossy(value)),
            other => format!("{other:?}"),
        }
    }
}

pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    /// Connects and opens a session. `segments`: segment size and receive buffer, loopback's own if `None`.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, ms(2_000))?;
        Self::open(stream)
    }

    /// Connects with a segment size and a receive buffer like those of a link that is no loopback.
    pub fn connect_with(address: SocketAddr, segment: i32, buffer: i32) -> io::Result<Self> {
        let SocketAddr::V4(v4) = address else { return Err(io::ErrorKind::Unsupported.into()) };
        let stream = unsafe {
            let socket = socket(2, 1, 0);
            setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
            setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &buffer, 4);
            TcpStream::from_raw_fd(socket)
        };
        let mut bytes = [0; 16];
        bytes[..2].copy_from_slice(&2u16.to_ne_bytes());
        bytes[2..4].copy_from_slice(&v4.port().to_be_bytes());
        bytes[4..8].copy_from_slice(&v4.ip().octets());
        if unsafe { connect(stream.as_raw_fd(), bytes.as_ptr(), 16) } != 0 {
            return Err(io::Error::last_os_error());
        }
        Self::open(stream)
    }

    pub fn open(mut stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ms(15_000)))?;
        let content = [&[0, 3, 0, 0][..], b"user\0backend\0database\0store\0\0"].concat();
        let mut packet = (content.len() as u32 + 4).to_be_bytes().to_vec();
        packet.extend(content);
        stream.write_all(&packet)?;
        while read_message(&mut stream, true, |_| {})?.0 != b'Z' {}
        Ok(Self { stream })
    }

    /// The number of bytes written here that the other side's machine has not acknowledged.
    pub fn unacknowledged(&self) -> i32 {
        let mut bytes = 0;
        unsafe { ioctl(self.stream.as_raw_fd(), SIOCOUTQ, &mut bytes) };
        bytes
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn send(&mut self, statement: &str) -> io::Result<()> {
        self.stream.write_all(&message(b'Q', format!("{statement}\0").as_bytes()))
    }

    /// Reads the answer to one statement, up to ReadyForQuery. `pace` is told the bytes of a message read so far.
    pub fn receive(&mut self, mut pace: impl FnMut(usize)) -> Reply {
        let (mut value, mut failure, mut bytes) = (None, None, 0);
        loop {
            let mut in_message = 0;
            let read = read_message(&mut self.stream, true, |read| {
                in_message = read;
                pace(read)
            });
            let (kind, content) = match read {
                Ok(read) => read,
                Err(error) => return Reply::Broken(error.to_string(), bytes + in_message),
            };
            bytes += content.len() + 5;
            match kind {
                b'D' => value = Some(content[6..].to_vec()),
                b'E' => {
                    let fields = content.split(|byte| *byte == 0);
                    let code = fields.clone().find(|field| field.first() == Some(&b'C'));
                    let code = String::from_utf8_lossy(&code.unwrap_or(b"C")[1..]).into_owned();
                    let is_fatal = content.starts_with(b"SFATAL\0");
                    failure = Some(match code.as_str() {
                        "53300" | "57P03" => Reply::Refused(code),
                        _ => Reply::Failed(code),
                    });
                    // No ReadyForQuery is needed after a fatal error.
                    if let Some(failure) = failure.take_if(|_| is_fatal) {
                        return failure;
                    }
                }
                b'Z' => {
                    let nothing = Reply::Broken("no value and no error".to_owned(), bytes);
                    return failure.unwrap_or_else(|| value.map_or(nothing, Reply::Served));
                }
                _ => {}
            }
        }
    }

    pub fn ask(&mut self, statement: &str) -> Reply {
        match self.send(statement) {
            Ok(()) => self.receive(|_| {}),
            Err(error) => Reply::Broken(error.to_string(), 0),
        }
    }

    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id for a request.
pub fn new_id() -> String {
    format!("{:016x}", 0x9b1f_0000_0000_0000 + NEXT_ID.fetch_add(1, SeqCst))
}

pub fn read_statement(id: &str, class: &str, name: &str, timeout_ms: u64) -> String {
    format!("SELECT content FROM kv WHERE name = '{name}' /* id={id},c={class},t=acme,d={timeout_ms},cluster=2 */")
}

pub fn write_statement(id: &str, class: &str, name: &str, value: &[u8], key: Option<&str>, timeout_ms: u64) -> String {
    let digits: String = value.iter().map(|byte| format!("{byte:02x}")).collect();
    let key = key.map_or(String::new(), |key| format!(",k={key}"));
    format!(
        "INSERT INTO kv (name, content) VALUES ('{name}', '\\x{digits}') RETURNING content /* id={id},c={class},t=acme,d={timeout_ms}{key},cluster=2 */"
    )
}
