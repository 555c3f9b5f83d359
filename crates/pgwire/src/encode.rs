//! Encoders of messages to clients and to ledger hosts.

use bytes::{BufMut, BytesMut};

/// Number of bytes of the length field, which counts itself.
const LENGTH_FIELD_BYTES: usize = 4;

/// Writes a message: type, length, and the content that `content` writes.
fn message(output: &mut BytesMut, kind: u8, content: impl FnOnce(&mut BytesMut)) {
    output.put_u8(kind);
    let start = output.len();
    output.put_u32(0);
    content(output);
    let length = (output.len() - start) as u32;
    output[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

/// Writes a string and its terminating zero byte.
fn text(output: &mut BytesMut, text: &str) {
    output.put_slice(text.as_bytes());
    output.put_u8(0);
}

/// Writes the startup packet that opens a session with protocol 3.0.
pub fn startup(output: &mut BytesMut, user: &str, database: &str) {
    let start = output.len();
    output.put_u32(0);
    output.put_u32(3 << 16);
    for part in ["user", user, "database", database, ""] {
        text(output, part);
    }
    let length = (output.len() - start) as u32;
    output[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

/// The byte that ends a text.
pub const TEXT_END: u8 = 0;

/// Writes the start of a simple query whose statement has `length` bytes. The statement and [`TEXT_END`]
/// follow.
pub fn query_start(output: &mut BytesMut, length: usize) {
    output.put_u8(b'Q');
    output.put_u32((length + LENGTH_FIELD_BYTES + 1) as u32);
}

/// Writes a simple query.
pub fn query(output: &mut BytesMut, statement: &[u8]) {
    message(output, b'Q', |output| {
        output.put_slice(statement);
        output.put_u8(0);
    });
}

/// Writes the reply to a startup packet: NegotiateProtocolVersion with minor version 0 if the client
/// requested a newer one, AuthenticationOk, the parameters, the cancel key (process, secret), and
/// ReadyForQuery.
pub fn startup_reply(output: &mut BytesMut, minor: u16, key: (u32, u32)) {
    if minor > 0 {
        message(output, b'v', |output| {
            output.put_u32(0);
            output.put_u32(0);
        });
    }
    message(output, b'R', |output| output.put_u32(0));
    let parameters = [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("standard_conforming_strings", "on"),
        ("integer_datetimes", "on"),
        ("DateStyle", "ISO, MDY"),
    ];
    parameters.iter().for_each(|(name, value)| parameter(output, name, value));
    message(output, b'K', |output| {
        output.put_u32(key.0);
        output.put_u32(key.1);
    });
    ready(output);
}

/// Writes ReadyForQuery, outside a transaction.
pub fn ready(output: &mut BytesMut) {
    message(output, b'Z', |output| output.put_u8(b'I'));
}

/// Writes the result of a statement that returns one bytea value: RowDescription, DataRow and
/// CommandComplete.
pub fn single_value_result(output: &mut BytesMut, name: &str, value: &[u8]) {
    message(output, b'T', |output| {
        output.put_u16(1);
        text(output, name);
        // No table and column number; type bytea (17) of variable length, no modifier, binary format.
        output.put_u32(0);
        output.put_u16(0);
        output.put_u32(17);
        output.put_i16(-1);
        output.put_i32(-1);
        output.put_u16(1);
    });
    message(output, b'D', |output| {
        output.put_u16(1);
        output.put_u32(value.len() as u32);
        output.put_slice(value);
    });
    command_complete(output, "SELECT 1");
}

/// Writes ParameterStatus: the name and value of a run-time parameter.
pub fn parameter(output: &mut BytesMut, name: &str, value: &str) {
    message(output, b'S', |output| {
        text(output, name);
        text(output, value);
    });
}

/// Writes EmptyQueryResponse.
pub fn empty_query(output: &mut BytesMut) {
    message(output, b'I', |_| {});
}

/// Writes CommandComplete with the command tag.
pub fn command_complete(output: &mut BytesMut, tag: &str) {
    message(output, b'C', |output| text(output, tag));
}

/// Writes ErrorResponse with a SQLSTATE and an optional detail.
pub fn error(output: &mut BytesMut, severity: &str, code: &str, message_text: &str, detail: Option<&str>) {
    message(output, b'E', |output| {
        let fields = [(b'S', severity), (b'V', severity), (b'C', code), (b'M', message_text)];
        for (field, value) in fields.into_iter().chain(detail.map(|detail| (b'D', detail))) {
            output.put_u8(field);
            text(output, value);
        }
        output.put_u8(0);
    });
}
