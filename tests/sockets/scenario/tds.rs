//! The steps of the scenario language for clients and hosts that speak TDS.

use super::{decode_hex, expect_common, unix_ms};
use bytes::BytesMut;
use std::io::{Read, Write};
use std::net::TcpStream;
use wheelpier_tds::*;

/// Returns the packets of a message of this type.
fn packets(kind: PacketType, payload: &[u8]) -> Vec<u8> {
    let mut out = BytesMut::new();
    put_message(&mut out, kind, Status::default(), payload, INITIAL_PACKET_BYTES);
    out.to_vec()
}

/// Returns the bytes that `put` writes.
fn payload(put: impl FnOnce(&mut BytesMut)) -> BytesMut {
    let mut out = BytesMut::new();
    put(&mut out);
    out
}

/// Reads a message: its type and payload. Returns `None` if the connection ends.
pub fn read_message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut content = Vec::new();
    loop {
        let mut head = [0; HEADER_BYTES];
        stream.read_exact(&mut head).ok()?;
        let at = content.len();
        content.resize(at + usize::from(u16::from_be_bytes([head[2], head[3]])) - HEADER_BYTES, 0);
        stream.read_exact(&mut content[at..]).ok()?;
        if head[1] & 1 == 1 {
            return Some((head[0], content));
        }
    }
}

fn parameter(name: &str, kind: DataType, value: Value) -> Parameter {
    Parameter { name: name.to_owned(), output: false, kind, value }
}

/// Returns a call of `sp_executesql` with this statement and these values.
fn sql_call(text: &str, values: Vec<Parameter>) -> Vec<u8> {
    let words = |text: &str| parameter("", DataType::NVarCharMax, Value::Text(text.to_owned()));
    let mut parameters = vec![words(text), words("@P1 nvarchar(99), @P2 varbinary(max)")];
    parameters.extend(values);
    let call = Rpc { procedure: Procedure::Number(SP_EXECUTESQL), options: 0, parameters };
    packets(PacketType::Rpc, &payload(|out| call.put(out)))
}

/// Returns a SQL batch.
fn batch(text: &str) -> Vec<u8> {
    let content = payload(|out| {
        put_all_headers(out);
        put_text(out, text);
    });
    packets(PacketType::SqlBatch, &content)
}

fn prelogin(encryption: Encryption) -> Vec<u8> {
    packets(PacketType::Prelogin, &payload(|out| Prelogin { encryption, ..Prelogin::default() }.put(out)))
}

fn login(version: u32, integrated: bool) -> Vec<u8> {
    let user = "sa".to_owned();
    let login = Login { version, packet_size: 4096, user, integrated, ..Login::default() };
    packets(PacketType::Login, &payload(|out| login.put(out)))
}

/// Returns the bytes of a client's `send` step.
pub fn client_bytes(args: &str) -> Vec<u8> {
    let (kind, rest) = args.split_once(' ').unwrap_or((args, ""));
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
        "attention" => packets(PacketType::Attention, &[]),
        "transaction" => packets(PacketType::Transaction, &[0; 24]),
        "raw" => decode_hex(rest),
        "text" => batch(rest),
        "read" => batch(&format!("SELECT content FROM kv WHERE name = 'k1' {}", comment("any"))),
        "own" => batch(&format!("SELECT content FROM kv WHERE name = 'k1' {}", comment("own"))),
        "call" => {
            sql_call(&format!("SELECT content FROM kv WHERE name = @P1 {}", comment("any")), vec![key()])
        }
        "write" => {
            let text = "INSERT INTO kv (name, content) VALUES (@P1, @P2) RETURNING content";
            let value = parameter("@P2", DataType::VarBinaryMax, Value::Binary(vec![0, 0xff].into()));
            sql_call(&format!("{text} {}", comment("write")), vec![key(), value])
        }
        "procedure" => {
            let procedure = Procedure::Name(rest.to_owned());
            let call = Rpc { procedure, options: 0, parameters: Vec::new() };
            packets(PacketType::Rpc, &payload(|out| call.put(out)))
        }
        _ => panic!("unknown step of a client: send {args}"),
    }
}

/// Carries out an `expect` step of a client.
pub fn client_expect(stream: &mut TcpStream, args: &str) {
    if expect_common(stream, args, client_expect) {
        return;
    }
    if args == "closed" {
        let end = stream.read(&mut [0]);
        return assert!(
            matches!(end, Ok(0)) || end.is_err_and(|e| e.kind() != std::io::ErrorKind::WouldBlock)
        );
    }
    let (packet, content) =
        read_message(stream).unwrap_or_else(|| panic!("connection closed, expected `{args}`"));
    assert_eq!(packet, 4);
    if args == "prelogin" {
        let server = Prelogin::parse(&content).unwrap();
        return assert_eq!((server.encryption, server.mars), (Encryption::NotSupported, false));
    }
    assert_eq!(describe(&content), args);
}

/// Describes a response in the words of the scenario language: `value V`, `number N`, `error NUMBER`, `done`,
/// `reset`, `attention` or `ready VERSION` (after the login).
fn describe(content: &[u8]) -> String {
    let mut response = String::new();
    for token in Tokens::new(content) {
        match token.expect("a token") {
            Token::Row(values) => {
                response = match &values[..] {
                    [Value::Binary(value)] => format!("value {}", String::from_utf8_lossy(value)),
                    [Value::Int(number)] => format!("number {number}"),
                    other => format!("row {other:?}"),
                }
            }
            Token::Error(notice) => response = format!("error {}", notice.number),
            Token::LoginAck(ack) => response = format!("ready {:x}", ack.version),
            Token::Environment(Environment::Reset) => response = "reset".to_owned(),
            Token::Done(_, done) if done.attention => response = "attention".to_owned(),
            Token::Done(_, done) if response.is_empty() && !done.error => response = "done".to_owned(),
            _ => {}
        }
    }
    response
}

/// Carries out a host's side of the handshake on a new connection, up to the login.
pub fn accept_login(stream: &mut TcpStream) -> Option<()> {
    let (0x12, _) = read_message(stream)? else { return None };
    let answer = payload(|out| Prelogin::default().put(out));
    stream.write_all(&packets(PacketType::Result, &answer)).ok()?;
    let (0x10, _) = read_message(stream)? else { return None };
    let answer = payload(|out| {
        put_login_ack(out, &LoginAck { version: version::V7_4, program: "host".to_owned() });
        put_done(out, DoneKind::Batch, Done::default());
    });
    stream.write_all(&packets(PacketType::Result, &answer)).ok()
}

/// Returns the statement of a request that a host received, followed by the value of a write in hexadecimal
/// digits.
pub fn request_text(kind: u8, content: &[u8]) -> Option<String> {
    if kind == 1 {
        return wheelpier_tds::parse_batch(content).ok();
    }
    let call = parse_rpc(content).ok()?;
    match &call.parameters[..] {
        [Parameter { value: Value::Text(text), .. }, _, Parameter { value: Value::Binary(value), .. }] => {
            let digits: String = value.iter().map(|byte| format!("{byte:02x}")).collect();
            Some(format!("{text} 0x{digits}"))
        }
        _ => None,
    }
}

/// Returns the payload of a response with one row, the role and a position `ahead` milliseconds after the
/// present.
pub fn row_response(value: &str, role: &str, ahead: i64) -> BytesMut {
    payload(|out| {
        let columns = [Column { name: "content".to_owned(), kind: DataType::VarBinaryMax }];
        put_columns(out, &columns);
        put_row(out, &columns, &[Value::Binary(value.as_bytes().to_vec().into())]);
        let message = format!("role={role} applied_ms={}", unix_ms().saturating_add(ahead));
        put_info(out, &Notice { number: numbers::ROLE_AND_POSITION, state: 1, class: 0, message });
        put_done(out, DoneKind::Batch, Done { has_row_count: true, rows: 1, ..Done::default() });
    })
}

/// Returns the bytes of a host's `send` step: `value V [ROLE AHEAD_MS]`, `cut N V` (the first N bytes of that
/// response), `twice V`, `error NUMBER` or `raw HEX`.
pub fn host_bytes(args: &str) -> Vec<u8> {
    let mut words = args.split(' ');
    let (kind, first) = (words.next().unwrap(), words.next().unwrap());
    match kind {
        "value" => {
            let role = words.next().unwrap_or("replica");
            let ahead = words.next().map_or(0, |ms| ms.parse().unwrap());
            packets(PacketType::Result, &row_response(first, role, ahead))
        }
        "cut" => {
            let mut whole = packets(PacketType::Result, &row_response(words.next().unwrap(), "primary", 0));
            whole.truncate(first.parse().unwrap());
            whole
        }
        "twice" => packets(PacketType::Result, &row_response(first, "primary", 0)).repeat(2),
        "error" => {
            let message = "no".to_owned();
            let notice = Notice { number: first.parse().unwrap(), state: 1, class: 16, message };
            let answer = payload(|out| {
                put_error(out, &notice);
                put_done(out, DoneKind::Batch, Done { error: true, ..Done::default() });
            });
            packets(PacketType::Result, &answer)
        }
        _ => decode_hex(first),
    }
}

/// Returns the response to a query for the load report.
pub fn load_report(report: &str) -> Vec<u8> {
    packets(PacketType::Result, &row_response(report, "primary", 0))
}
