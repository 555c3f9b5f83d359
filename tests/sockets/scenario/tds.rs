//! TDS for the scenarios, on both sides of the proxy: what a client sends and expects, what a host says.

use super::{expects_either, unhex, unix_ms};
use bytes::BytesMut;
use std::io::{Read, Write};
use std::net::TcpStream;
use wheelpier_tds::*;

fn packed(kind: PacketType, payload: &[u8]) -> Vec<u8> {
    let mut out = BytesMut::new();
    put_message(&mut out, kind, Status::default(), payload, PACKET_SIZE);
    out.to_vec()
}

fn payload(put: impl FnOnce(&mut BytesMut)) -> BytesMut {
    let mut out = BytesMut::new();
    put(&mut out);
    out
}

/// The next message, as its type and payload; none when the connection ends.
pub fn read(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut content = Vec::new();
    loop {
        let mut head = [0; HEADER];
        stream.read_exact(&mut head).ok()?;
        let at = content.len();
        content.resize(at + usize::from(u16::from_be_bytes([head[2], head[3]])) - HEADER, 0);
        stream.read_exact(&mut content[at..]).ok()?;
        if head[1] & 1 == 1 {
            return Some((head[0], content));
        }
    }
}

fn parameter(name: &str, kind: DataType, value: Value) -> Parameter {
    Parameter { name: name.to_owned(), output: false, kind, value }
}

fn call(text: &str, values: Vec<Parameter>) -> Vec<u8> {
    let words = |text: &str| parameter("", DataType::NVarCharMax, Value::Text(text.to_owned()));
    let mut parameters = vec![words(text), words("@P1 nvarchar(99), @P2 varbinary(max)")];
    parameters.extend(values);
    let call = Rpc { procedure: Procedure::Number(SP_EXECUTESQL), options: 0, parameters };
    packed(PacketType::Rpc, &payload(|out| call.put(out)))
}

fn batch(text: &str) -> Vec<u8> {
    let content = payload(|out| {
        put_all_headers(out);
        put_text(out, text);
    });
    packed(PacketType::SqlBatch, &content)
}

fn prelogin(encryption: Encryption) -> Vec<u8> {
    packed(PacketType::Prelogin, &payload(|out| Prelogin { encryption, ..Prelogin::default() }.put(out)))
}

fn login(version: u32, integrated: bool) -> Vec<u8> {
    let user = "sa".to_owned();
    let login = Login { version, packet_size: 4096, user, integrated, ..Login::default() };
    packed(PacketType::Login, &payload(|out| login.put(out)))
}

pub fn client_bytes(what: &str) -> Vec<u8> {
    let (kind, rest) = what.split_once(' ').unwrap_or((what, ""));
    let comment = |class: &str| {
        let (id, d) = rest.split_once(' ').unwrap();
        format!("/* id={id},c={class},t=acme,d={d},k=7,cluster=0 */")
    };
    let key = || parameter("@P1", DataType::NVarChar, Value::Text("k1".to_owned()));
    match kind {
        "prelogin" => prelogin(match rest {
            "" | "off" => Encryption::Off,
            "on" => Encryption::On,
            "required" => Encryption::Required,
            _ => Encryption::NotSupported,
        }),
        "login" if rest == "integrated" => login(version::V7_4, true),
        "login" if rest.is_empty() => login(version::V7_4, false),
        "login" => login(u32::from_str_radix(rest, 16).unwrap(), false),
        "attention" => packed(PacketType::Attention, &[]),
        "transaction" => packed(PacketType::Transaction, &[0; 24]),
        "raw" => unhex(rest),
        "text" => batch(rest),
        "read" => batch(&format!("SELECT content FROM kv WHERE name = 'k1' {}", comment("any"))),
        "own" => batch(&format!("SELECT content FROM kv WHERE name = 'k1' {}", comment("own"))),
        "call" => call(&format!("SELECT content FROM kv WHERE name = @P1 {}", comment("any")), vec![key()]),
        "write" => {
            let text = "INSERT INTO kv (name, content) VALUES (@P1, @P2) RETURNING content";
            let value = parameter("@P2", DataType::VarBinaryMax, Value::Binary(vec![0, 0xff].into()));
            call(&format!("{text} {}", comment("write")), vec![key(), value])
        }
        "procedure" => {
            let procedure = Procedure::Name(rest.to_owned());
            let call = Rpc { procedure, options: 0, parameters: Vec::new() };
            packed(PacketType::Rpc, &payload(|out| call.put(out)))
        }
        _ => panic!("sends what?"),
    }
}

pub fn client_expects(stream: &mut TcpStream, what: &str) {
    if expects_either(stream, what, client_expects) {
        return;
    }
    if what == "closed" {
        let end = stream.read(&mut [0]);
        return assert!(
            matches!(end, Ok(0)) || end.is_err_and(|e| e.kind() != std::io::ErrorKind::WouldBlock)
        );
    }
    let (packet, content) = read(stream).unwrap_or_else(|| panic!("closed instead of {what}"));
    assert_eq!(packet, 4);
    if what == "prelogin" {
        let server = Prelogin::parse(&content).unwrap();
        return assert_eq!((server.encryption, server.mars), (Encryption::NotSupported, false));
    }
    assert_eq!(heard(&content), what);
}

/// An answer in a few words: `value V`, `error NUMBER`, `done`, `attention` or `ready` (the login's).
fn heard(content: &[u8]) -> String {
    let mut heard = String::new();
    for token in Tokens::new(content) {
        match token.expect("a token") {
            Token::Row(values) => {
                heard = match &values[..] {
                    [Value::Binary(value)] => format!("value {}", String::from_utf8_lossy(value)),
                    [Value::Int(number)] => format!("number {number}"),
                    other => format!("row {other:?}"),
                }
            }
            Token::Error(notice) => heard = format!("error {}", notice.number),
            Token::LoginAck(ack) => heard = format!("ready {:x}", ack.version),
            Token::Environment(Environment::Reset) => heard = "reset".to_owned(),
            Token::Done(_, done) if done.attention => heard = "attention".to_owned(),
            Token::Done(_, done) if heard.is_empty() && !done.error => heard = "done".to_owned(),
            _ => {}
        }
    }
    heard
}

/// A host's side of a new connection, up to the login.
pub fn greet(stream: &mut TcpStream) -> Option<()> {
    let (0x12, _) = read(stream)? else { return None };
    let answer = payload(|out| Prelogin::default().put(out));
    stream.write_all(&packed(PacketType::Result, &answer)).ok()?;
    let (0x10, _) = read(stream)? else { return None };
    let answer = payload(|out| {
        put_login_ack(out, &LoginAck { version: version::V7_4, program: "host".to_owned() });
        put_done(out, DoneKind::Batch, Done::default());
    });
    stream.write_all(&packed(PacketType::Result, &answer)).ok()
}

/// The text of a request that has come to a host, a write's value in digits behind it.
pub fn request(kind: u8, content: &[u8]) -> Option<String> {
    if kind == 1 {
        return wheelpier_tds::batch(content).ok();
    }
    let call = rpc(content).ok()?;
    match &call.parameters[..] {
        [Parameter { value: Value::Text(text), .. }, _, Parameter { value: Value::Binary(value), .. }] => {
            let digits: String = value.iter().map(|byte| format!("{byte:02x}")).collect();
            Some(format!("{text} 0x{digits}"))
        }
        _ => None,
    }
}

/// The tokens of an answer with its row.
pub fn value(value: &str, role: &str, ahead: i64) -> BytesMut {
    payload(|out| {
        let columns = [Column { name: "content".to_owned(), kind: DataType::VarBinaryMax }];
        put_columns(out, &columns);
        put_row(out, &columns, &[Value::Binary(value.as_bytes().to_vec().into())]);
        let message = format!("role={role} applied_ms={}", unix_ms().saturating_add(ahead));
        put_info(out, &Notice { number: numbers::ROLE_AND_POSITION, state: 1, class: 0, message });
        put_done(out, DoneKind::Batch, Done { has_row_count: true, rows: 1, ..Done::default() });
    })
}

/// What a host sends: `value V [ROLE AHEAD_MS]`, `cut N V` (so many bytes of that), `twice V`, `error NUMBER`,
/// `raw HEX`.
pub fn host_bytes(what: &str) -> Vec<u8> {
    let mut words = what.split(' ');
    let (kind, first) = (words.next().unwrap(), words.next().unwrap());
    match kind {
        "value" => {
            let role = words.next().unwrap_or("replica");
            let ahead = words.next().map_or(0, |ms| ms.parse().unwrap());
            packed(PacketType::Result, &value(first, role, ahead))
        }
        "cut" => {
            let mut whole = packed(PacketType::Result, &value(words.next().unwrap(), "primary", 0));
            whole.truncate(first.parse().unwrap());
            whole
        }
        "twice" => packed(PacketType::Result, &value(first, "primary", 0)).repeat(2),
        "error" => {
            let message = "no".to_owned();
            let notice = Notice { number: first.parse().unwrap(), state: 1, class: 16, message };
            let answer = payload(|out| {
                put_error(out, &notice);
                put_done(out, DoneKind::Batch, Done { error: true, ..Done::default() });
            });
            packed(PacketType::Result, &answer)
        }
        _ => unhex(first),
    }
}

/// A host's load report.
pub fn load(report: &str) -> Vec<u8> {
    packed(PacketType::Result, &value(report, "primary", 0))
}
