//! The line protocol: one `Wire` for the process, one router for each instance.

use base64::{engine::general_purpose::STANDARD, Engine};
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use wheelpier_decisions::settings::{self, micros_from_seconds, ReportFormat};
use wheelpier_decisions::{
    Action, AttemptResult, EndpointEntry, EndpointUpdate, Event, HostId, HostState, LoadReport, LogPosition,
    Outcome, Request, RequestId, Role, Router, SessionId, TimeDelta, Timestamp,
};

const MAX_LISTS: u64 = 16;

/// The tab-separated fields of one line, taken in order.
struct Fields<'a> {
    message: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    fn new(line: &'a str) -> Self {
        match line.split_once('\t') {
            Some((message, rest)) => Self { message, rest: Some(rest) },
            None => Self { message: line, rest: None },
        }
    }

    fn wrong(&self, field: &str, problem: &str) -> String {
        format!("{}, field `{field}`: {problem}", self.message)
    }

    fn text(&mut self, field: &str) -> Result<&'a str, String> {
        let rest = self.rest.ok_or_else(|| self.wrong(field, "missing"))?;
        match rest.split_once('\t') {
            Some((text, rest)) => {
                self.rest = Some(rest);
                Ok(text)
            }
            None => {
                self.rest = None;
                Ok(rest)
            }
        }
    }

    /// A field of which `-` and nothing mean that it is absent.
    fn maybe(&mut self, field: &str) -> Result<Option<&'a str>, String> {
        self.text(field).map(|text| Some(text).filter(|text| !matches!(*text, "-" | "")))
    }

    fn last(&mut self, field: &str) -> Result<&'a str, String> {
        self.rest.take().ok_or_else(|| self.wrong(field, "missing"))
    }

    fn done(&self) -> Result<(), String> {
        match self.rest {
            Some(_) => Err(format!("{}: more fields than it has", self.message)),
            None => Ok(()),
        }
    }

    fn whole(&mut self, field: &str) -> Result<u64, String> {
        let text = self.text(field)?;
        text.parse().map_err(|_| self.wrong(field, &format!("`{text}` is not a whole number")))
    }

    fn small(&mut self, field: &str) -> Result<u32, String> {
        let text = self.text(field)?;
        text.parse().map_err(|_| self.wrong(field, &format!("`{text}` is not a small whole number")))
    }

    fn number(&mut self, field: &str) -> Result<f64, String> {
        self.maybe_number(field)?.ok_or_else(|| self.wrong(field, "missing"))
    }

    fn maybe_number(&mut self, field: &str) -> Result<Option<f64>, String> {
        let Some(text) = self.maybe(field)? else { return Ok(None) };
        let number = text.parse::<f64>().ok().filter(|n| n.is_finite());
        number.map(Some).ok_or_else(|| self.wrong(field, &format!("`{text}` is not a number")))
    }

    /// A number that stands for a count: absent counts as 0.
    fn count(&mut self, field: &str) -> Result<u32, String> {
        match self.maybe_number(field)? {
            None => Ok(0),
            Some(n) if (0.0..=f64::from(u32::MAX)).contains(&n) => Ok(n as u32),
            Some(n) => Err(self.wrong(field, &format!("`{n}` is out of range"))),
        }
    }

    fn seconds(&mut self, field: &str) -> Result<TimeDelta, String> {
        self.number(field).map(|s| TimeDelta(micros_from_seconds(s)))
    }

    fn flag(&mut self, field: &str) -> Result<bool, String> {
        match self.maybe(field)? {
            Some("1") => Ok(true),
            Some("0") | None => Ok(false),
            Some(other) => Err(self.wrong(field, &format!("`{other}` is neither 0 nor 1"))),
        }
    }
}

#[derive(Clone)]
struct Row {
    host: String,
    entry: EndpointEntry,
}

/// How long the adapter must still know the name of a request.
struct Name {
    text: String,
    over: bool,
    out: u32,
}

struct Instance {
    router: Router,
    report_format: ReportFormat,
    hosts: HashMap<String, HostId>,
    host_names: Vec<String>,
    requests: HashMap<String, RequestId>,
    names: HashMap<RequestId, Name>,
    next: u64,
}

impl Instance {
    fn host(&mut self, name: &str) -> HostId {
        if let Some(id) = self.hosts.get(name) {
            return *id;
        }
        let id = HostId(self.host_names.len() as u32);
        self.hosts.insert(name.to_owned(), id);
        self.host_names.push(name.to_owned());
        id
    }

    fn forget(&mut self, id: RequestId) {
        if self.names.get(&id).is_some_and(|name| name.over && name.out == 0) {
            if let Some(name) = self.names.remove(&id) {
                self.requests.remove(&name.text);
            }
        }
    }

    fn report(&self, text: Option<&str>, f: &Fields) -> Result<Option<LoadReport>, String> {
        let Some(text) = text else { return Ok(None) };
        let mut values = Vec::with_capacity(self.report_format.field_count);
        for value in text.split(',') {
            let value = match value {
                "-" | "" => None,
                _ => Some(
                    value
                        .parse::<f64>()
                        .map_err(|_| f.wrong("serverStats", &format!("`{value}` is not a number")))?,
                ),
            };
            values.push(value);
        }
        let value = |place: Option<usize>| place.and_then(|n| values.get(n).copied().flatten());
        // Whole microseconds, rounded down: a position is a lower bound.
        let position = value(self.report_format.position_field)
            .map(|s| LogPosition(self.report_format.position_origin.0 + (s * 1e6).floor() as i64));
        let role =
            value(self.report_format.role_field)
                .map(|x| if x >= 0.5 { Role::Primary } else { Role::Replica });
        Ok(Some(LoadReport { position, role }))
    }
}

/// The state of the conversation.
#[derive(Default)]
pub struct Wire {
    now: Timestamp,
    batch: Option<String>,
    instances: HashMap<String, Instance>,
    lists: BTreeMap<u64, Vec<Row>>,
    filling: Option<(u64, u64)>,
    actions: Vec<Action>,
    out: String,
}

fn outcome(code: u64, f: &Fields) -> Result<Outcome, String> {
    Ok(match code {
        1 => Outcome::Ok,
        0 => Outcome::Error,
        2 => Outcome::Overloaded,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        8 => Outcome::Misdirected,
        other => return Err(f.wrong("outcome", &format!("`{other}` is no known outcome"))),
    })
}

impl Wire {
    /// The reply of the batch that has just ended.
    pub fn reply(&self) -> &str {
        &self.out
    }

    pub fn sent(&mut self) {
        self.out.clear();
    }

    /// The input has ended: fine between two batches.
    pub fn end(&self) -> Result<(), String> {
        match self.batch {
            Some(_) => Err("the input ends inside a batch".to_owned()),
            None => Ok(()),
        }
    }

    /// Takes one line; true when a batch is complete.
    pub fn line(&mut self, line: &str) -> Result<bool, String> {
        let mut f = Fields::new(line);
        if let Some((list, left)) = self.filling {
            if f.message != "row" {
                return Err(format!("`{}` where a list still lacks {left} rows", f.message));
            }
            let row = self.row(&mut f)?;
            self.lists.entry(list).or_default().push(row);
            self.filling = Some((list, left - 1)).filter(|(_, left)| *left > 0);
            return Ok(false);
        }
        if line.is_empty() {
            return Ok(false);
        }
        if f.message == "clock" {
            if self.batch.is_some() {
                return Err("clock: the batch before it has not ended".to_owned());
            }
            self.now = Timestamp(f.seconds("clock")?.0);
            let seq = f.text("seq")?;
            seq.parse::<u64>().map_err(|_| f.wrong("seq", &format!("`{seq}` is not a whole number")))?;
            f.done()?;
            self.batch = Some(seq.to_owned());
            return Ok(false);
        }
        if self.batch.is_none() {
            return Err(format!("`{}` outside a batch", f.message));
        }
        match f.message {
            "flush" => {
                f.done()?;
                let seq = self.batch.take().unwrap_or_default();
                let _ = writeln!(self.out, "eor\t{seq}");
                return Ok(true);
            }
            "list" => self.list(&mut f)?,
            "init" => self.init(&mut f)?,
            "killed" => {
                let name = f.text("router")?;
                f.done()?;
                self.instances.remove(name);
            }
            "roster_change" | "arrival" | "reply" | "checked" | "client_left" | "begun" | "ring"
            | "whisper" => {
                self.event(&mut f)?;
            }
            other => return Err(format!("`{other}` is no known message")),
        }
        Ok(false)
    }

    fn list(&mut self, f: &mut Fields) -> Result<(), String> {
        let number = f.whole("buffer")?;
        if number >= MAX_LISTS {
            return Err(f.wrong("buffer", "above 15"));
        }
        let rows = f.whole("members")?;
        f.done()?;
        self.lists.insert(number, Vec::new());
        self.filling = Some((number, rows)).filter(|(_, rows)| *rows > 0);
        Ok(())
    }

    fn row(&self, f: &mut Fields) -> Result<Row, String> {
        let weight = f.maybe_number("nominal")?.unwrap_or(1.0);
        let online_since = f
            .maybe_number("onlineSince")?
            .filter(|at| *at > 0.0)
            .map(|at| Timestamp(micros_from_seconds(at)));
        let _kind = f.maybe("kind")?;
        let zone = f.count("regionPart")?;
        let leader = f.maybe_number("leader")?.is_some_and(|x| x >= 0.5);
        let state = match f.text("phase")? {
            "Running" => HostState::Running,
            "Stopping" => HostState::Draining,
            "Deleted" => HostState::Removed,
            other => return Err(f.wrong("phase", &format!("`{other}` is no known phase"))),
        };
        let group = f.count("db")?;
        let host = f.text("host")?.to_owned();
        if matches!(host.as_str(), "" | "-") {
            return Err(f.wrong("host", "missing"));
        }
        f.done()?;
        let entry = EndpointEntry {
            host: HostId(0),
            group,
            zone,
            weight,
            listed_as_primary: leader,
            state,
            started_at: online_since,
        };
        Ok(Row { host, entry })
    }

    fn init(&mut self, f: &mut Fields) -> Result<(), String> {
        let name = f.text("router")?.to_owned();
        let seed = f.whole("randomSeed")?;
        let (settings, report_format) =
            settings::read(f.last("params")?).map_err(|e| f.wrong("params", &e.to_string()))?;
        let router = Router::new(settings, seed).map_err(|e| f.wrong("params", &e.to_string()))?;
        let instance = Instance {
            router,
            report_format,
            hosts: HashMap::new(),
            host_names: Vec::new(),
            requests: HashMap::new(),
            names: HashMap::new(),
            next: 0,
        };
        self.instances.insert(name, instance);
        Ok(())
    }

    fn event(&mut self, f: &mut Fields) -> Result<(), String> {
        let name = f.text("router")?;
        let instance = self
            .instances
            .get_mut(name)
            .ok_or_else(|| f.wrong("router", &format!("`{name}` has not begun")))?;
        let event = match f.message {
            "roster_change" => Some(roster(f, instance, &self.lists)?),
            "arrival" => Some(arrival(f, instance)?),
            "reply" => reply(f, instance)?,
            "checked" => Some(checked(f, instance)?),
            "client_left" => client_left(f, instance)?,
            "begun" => begun(f, instance)?,
            "ring" => Some(Event::Timer(f.whole("handle")?)),
            _ => Some(whisper(f)?),
        };
        f.done()?;
        if let Some(event) = event {
            let ended = match &event {
                Event::AttemptEnded(reply) => Some(reply.id),
                Event::ClientDisconnected(id) => Some(*id),
                _ => None,
            };
            instance.router.handle(self.now, event, &mut self.actions);
            for action in self.actions.drain(..) {
                write_action(&mut self.out, name, instance, action);
            }
            if let Some(id) = ended {
                instance.forget(id);
            }
        }
        Ok(())
    }
}

fn roster(f: &mut Fields, instance: &mut Instance, lists: &BTreeMap<u64, Vec<Row>>) -> Result<Event, String> {
    let kind = match f.text("form")? {
        "update" => EndpointUpdate::Delta,
        "replace" => EndpointUpdate::Snapshot,
        "restored" => EndpointUpdate::Cached,
        "unavailable" => EndpointUpdate::Unavailable,
        other => return Err(f.wrong("form", &format!("`{other}` is no known form"))),
    };
    let number = f.maybe("buffer")?;
    let _epoch = f.maybe("epoch")?;
    if kind == EndpointUpdate::Unavailable {
        return Ok(Event::EndpointList(kind, Vec::new()));
    }
    let rows = number.and_then(|n| n.parse::<u64>().ok()).and_then(|n| lists.get(&n));
    let rows = rows.ok_or_else(|| f.wrong("buffer", "names no list"))?;
    let entry = |row: &Row| EndpointEntry { host: instance.host(&row.host), ..row.entry.clone() };
    Ok(Event::EndpointList(kind, rows.iter().map(entry).collect()))
}

fn arrival(f: &mut Fields, instance: &mut Instance) -> Result<Event, String> {
    let handle = f.text("handle")?;
    let class = f.small("lane")? as usize;
    let since = f.maybe_number("sinceWriteMs")?;
    let again = f.flag("againByClient")?;
    let tenant = f.count("userGroup")? as usize;
    let group = f.count("dbNo")?;
    let _write = f.flag("write")?;
    let _cost = f.maybe_number("costGuess")?;
    let ttl = f.seconds("ttl")?;
    let session = f.maybe("clientKey")?.map(SessionId::of);
    if instance.requests.contains_key(handle) {
        return Err(f.wrong("handle", "already in use"));
    }
    let id = RequestId(instance.next);
    instance.next += 1;
    instance.requests.insert(handle.to_owned(), id);
    instance.names.insert(id, Name { text: handle.to_owned(), over: false, out: 0 });
    let since_write = since.filter(|ms| *ms > 0.0).map(|ms| TimeDelta((ms * 1e3).floor() as i64));
    Ok(Event::RequestArrived(Request {
        id,
        class,
        group,
        tenant,
        time_since_write: since_write,
        is_client_retry: again,
        timeout: ttl,
        session,
    }))
}

fn reply(f: &mut Fields, instance: &mut Instance) -> Result<Option<Event>, String> {
    let handle = f.text("handle")?;
    let attempt = f.small("copy")?;
    let host = f.text("host")?;
    let code = f.whole("outcome")?;
    let outcome = outcome(code, f)?;
    let latency = TimeDelta(micros_from_seconds(f.maybe_number("lag")?.unwrap_or(0.0)));
    let closed = f.flag("closed")?;
    let stamp = f.maybe_number("progress")?.unwrap_or(0.0) as i64;
    let stats = f.maybe("serverStats")?;
    let report = instance.report(stats, f)?;
    let role = match stamp & 3 {
        1 => Some(Role::Primary),
        2 => Some(Role::Replica),
        _ => None,
    };
    let position = Some(stamp >> 2)
        .filter(|ms| *ms > 0)
        .map(|ms| LogPosition(instance.report_format.position_origin.0 + ms * 1000));
    let Some(&id) = instance.requests.get(handle) else { return Ok(None) };
    let host = instance.host(host);
    if let Some(name) = instance.names.get_mut(&id) {
        name.out = name.out.saturating_sub(1);
        name.over |= closed;
    }
    Ok(Some(Event::AttemptEnded(AttemptResult {
        id,
        attempt,
        host,
        outcome,
        latency,
        request_closed: closed,
        position,
        role,
        report,
    })))
}

fn checked(f: &mut Fields, instance: &mut Instance) -> Result<Event, String> {
    let host = f.text("host")?;
    let code = f.whole("outcome")?;
    let outcome = outcome(code, f)?;
    let latency = TimeDelta(micros_from_seconds(f.maybe_number("lag")?.unwrap_or(0.0)));
    let stats = f.maybe("serverStats")?;
    let report = instance.report(stats, f)?;
    Ok(Event::HealthChecked { host: instance.host(host), outcome, latency, report })
}

fn client_left(f: &mut Fields, instance: &mut Instance) -> Result<Option<Event>, String> {
    let handle = f.text("handle")?;
    let Some(&id) = instance.requests.get(handle) else { return Ok(None) };
    if let Some(name) = instance.names.get_mut(&id) {
        name.over = true;
    }
    Ok(Some(Event::ClientDisconnected(id)))
}

fn begun(f: &mut Fields, instance: &mut Instance) -> Result<Option<Event>, String> {
    let handle = f.text("handle")?;
    let attempt = f.small("copy")?;
    let _host = f.text("host")?;
    let _lag = f.maybe_number("lag")?;
    Ok(instance.requests.get(handle).map(|&id| Event::ResponseStarted { id, attempt }))
}

fn whisper(f: &mut Fields) -> Result<Event, String> {
    let from = f.small("who")?;
    let data = match f.maybe("payload")? {
        None => Vec::new(),
        Some(text) => STANDARD.decode(text).map_err(|e| f.wrong("payload", &e.to_string()))?,
    };
    Ok(Event::PeerMessage { from, data })
}

fn write_action(out: &mut String, router: &str, instance: &mut Instance, action: Action) {
    let seconds = |micros: i64| micros as f64 / 1e6;
    let host = |id: HostId| instance.host_names.get(id.0 as usize).map_or("", String::as_str);
    let name = |id: RequestId| instance.names.get(&id).map_or("", |name| name.text.as_str());
    let mut over = None;
    let _ = match action {
        Action::Forward { id, host: to, timeout, .. } => {
            let timeout = timeout.map_or("0".to_owned(), |delta| seconds(delta.0).to_string());
            let done = writeln!(out, "attempt\t{router}\t{}\t{}\t{timeout}", name(id), host(to));
            if let Some(name) = instance.names.get_mut(&id) {
                name.out += 1;
            }
            done
        }
        Action::Reject { id, retry_after } => {
            over = Some(id);
            let wait = retry_after.map_or(0.0, |delta| seconds(delta.0));
            writeln!(out, "say_no\t{router}\t{}\t{wait}", name(id))
        }
        Action::Fail { id } => {
            over = Some(id);
            writeln!(out, "fail\t{router}\t{}", name(id))
        }
        Action::CancelAttempt { id, attempt } => {
            writeln!(out, "drop_attempt\t{router}\t{}\t{attempt}", name(id))
        }
        Action::HealthCheck { host: to } => writeln!(out, "check\t{router}\t{}", host(to)),
        Action::CloseIdleConnections { host: to } => writeln!(out, "let_go\t{router}\t{}", host(to)),
        Action::SetTimer { at, token } => writeln!(out, "wake_at\t{router}\t{}\t{token}", seconds(at.0)),
        Action::WatchEndpoints(on) => writeln!(out, "listen\t{router}\t{}", u8::from(on)),
        Action::FetchEndpoints => writeln!(out, "query_all\t{router}"),
        Action::Log(line) => writeln!(out, "print\t{router}\t{line}"),
    };
    if let Some(id) = over {
        if let Some(name) = instance.names.get_mut(&id) {
            name.over = true;
        }
        instance.forget(id);
    }
}
