//! Encoders of messages to clients and to ledger hosts.

use bytes::{BufMut, BytesMut};

/// Writes a message: type, length, and the content that `content` writes.
fn message(out: &mut BytesMut, kind: u8, content: impl FnOnce(&mut BytesMut)) {
    out.put_u8(kind);
    let start = out.len();
    out.put_u32(0);
    content(out);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

/// Writes a string and its terminating zero byte.
fn text(out: &mut BytesMut, text: &str) {
    out.put_slice(text.as_bytes());
    out.put_u8(0);
}

/// Writes the startup packet that opens a session with protocol 3.0.
pub fn startup(out: &mut BytesMut, user: &str, database: &str) {
    let start = out.len();
    out.put_u32(0);
    out.put_u32(3 << 16);
    for part in ["user", user, "database", database, ""] {
        text(out, part);
    }
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

/// Writes a simple query.
pub fn query(out: &mut BytesMut, statement: &[u8]) {
    message(out, b'Q', |out| {
        out.put_slice(statement);
        out.put_u8(0);
    });
}

/// Writes the reply to a startup packet: NegotiateProtocolVersion with minor version 0 if the client
/// requested a newer one, AuthenticationOk, the parameters, the cancel key (process, secret), and
/// ReadyForQuery.
pub fn startup_reply(out: &mut BytesMut, minor: u16, key: (u32, u32)) {
    if minor > 0 {
        message(out, b'v', |out| {
            out.put_u32(0);
            out.put_u32(0);
        });
    }
    message(out, b'R', |out| out.put_u32(0));
    let parameters = [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("standard_conforming_strings", "on"),
        ("integer_datetimes", "on"),
        ("DateStyle", "ISO, MDY"),
    ];
    parameters.iter().for_each(|(name, value)| parameter(out, name, value));
    message(out, b'K', |out| {
        out.put_u32(key.0);
        out.put_u32(key.1);
    });
    ready(out);
}

/// Writes ReadyForQuery, outside a transaction.
pub fn ready(out: &mut BytesMut) {
    message(out, b'Z', |out| out.put_u8(b'I'));
}

/// Writes the result of a statement that returns one bytea value: RowDescription, DataRow and
/// CommandComplete.
pub fn single_value_result(out: &mut BytesMut, name: &str, value: &[u8]) {
    message(out, b'T', |out| {
        out.put_u16(1);
        text(out, name);
        // No table and column number; type bytea (17) of variable length, no modifier, binary format.
        out.put_u32(0);
        out.put_u16(0);
        out.put_u32(17);
        out.put_i16(-1);
        out.put_i32(-1);
        out.put_u16(1);
    });
    message(out, b'D', |out| {
        out.put_u16(1);
        out.put_u32(value.len() as u32);
        out.put_slice(value);
    });
    command_complete(out, "SELECT 1");
}

/// Writes ParameterStatus: the name and value of a run-time parameter.
pub fn parameter(out: &mut BytesMut, name: &str, value: &str) {
    message(out, b'S', |out| {
        text(out, name);
        text(out, value);
    });
}

/// Writes EmptyQueryResponse.
pub fn empty_query(out: &mut BytesMut) {
    message(out, b'I', |_| {});
}

/// Writes CommandComplete with the command tag.
pub fn command_complete(out: &mut BytesMut, tag: &str) {
    message(out, b'C', |out| text(out, tag));
}

/// Writes ErrorResponse with a SQLSTATE and an optional detail.
pub fn error(out: &mut BytesMut, severity: &str, code: &str, message_text: &str, detail: Option<&str>) {
    message(out, b'E', |out| {
        let fields = [(b'S', severity), (b'V', severity), (b'C', code), (b'M', message_text)];
        for (field, value) in fields.into_iter().chain(detail.map(|detail| (b'D', detail))) {
            out.put_u8(field);
            text(out, value);
        }
        out.put_u8(0);
    });
}
