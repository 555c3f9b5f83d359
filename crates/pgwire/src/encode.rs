//! What is written, to clients and to ledger hosts.

use bytes::{BufMut, BytesMut};

/// One message: its kind, its length and what `content` puts.
fn message(out: &mut BytesMut, kind: u8, content: impl FnOnce(&mut BytesMut)) {
    out.put_u8(kind);
    let start = out.len();
    out.put_u32(0);
    content(out);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

fn text(out: &mut BytesMut, text: &str) {
    out.put_slice(text.as_bytes());
    out.put_u8(0);
}

/// The startup packet of a session.
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

/// A simple query.
pub fn query(out: &mut BytesMut, statement: &[u8]) {
    message(out, b'Q', |out| {
        out.put_slice(statement);
        out.put_u8(0);
    });
}

/// The whole greeting of a client: no password, its parameters, its key, ready.
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

/// ReadyForQuery, outside a transaction.
pub fn ready(out: &mut BytesMut) {
    message(out, b'Z', |out| out.put_u8(b'I'));
}

/// A row of one column of bytes: its description, itself, and the statement's end.
pub fn single_value_result(out: &mut BytesMut, name: &str, value: &[u8]) {
    message(out, b'T', |out| {
        out.put_u16(1);
        text(out, name);
        // No table, no column of one; bytea of any length, in binary.
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

/// A parameter and its value.
pub fn parameter(out: &mut BytesMut, name: &str, value: &str) {
    message(out, b'S', |out| {
        text(out, name);
        text(out, value);
    });
}

/// The answer to an empty query.
pub fn empty_query(out: &mut BytesMut) {
    message(out, b'I', |_| {});
}

/// The end of a statement that returns nothing.
pub fn command_complete(out: &mut BytesMut, tag: &str) {
    message(out, b'C', |out| text(out, tag));
}

/// An error with its SQLSTATE and, where there is one, a detail.
pub fn error(out: &mut BytesMut, severity: &str, code: &str, problem: &str, detail: Option<&str>) {
    message(out, b'E', |out| {
        let fields = [(b'S', severity), (b'V', severity), (b'C', code), (b'M', problem)];
        for (kind, value) in fields.into_iter().chain(detail.map(|detail| (b'D', detail))) {
            out.put_u8(kind);
            text(out, value);
        }
        out.put_u8(0);
    });
}
