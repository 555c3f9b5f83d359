//! The host's side of TDS 7.4.

use super::front::{ClientMessage, HostProtocol};
use crate::replication::to_reported_ms;
use crate::world::Reply;
use bytes::{Bytes, BytesMut};
use wheelpier_tds::{
    numbers, parse_batch, parse_rpc, put_columns, put_done, put_environment, put_error, put_info,
    put_login_ack, put_message, put_return_status, put_row, version, Assembler, Column, DataType, Done,
    DoneKind, Environment, Login, LoginAck, Message, Notice, PacketType, Prelogin, Rpc, Status, Value,
    INITIAL_PACKET_BYTES, NEGOTIABLE_PACKET_BYTES,
};

/// Maximum length of a request in bytes: a value of 64 KiB as hexadecimal digits, in UTF-16.
const MAX_REQUEST_BYTES: usize = 300 * 1024;

pub(super) struct Tds {
    assembler: Assembler,
    packet_size: usize,
    logged_in: bool,
    is_call: bool,
}

impl Default for Tds {
    fn default() -> Self {
        Self {
            assembler: Assembler::new(MAX_REQUEST_BYTES),
            packet_size: INITIAL_PACKET_BYTES,
            logged_in: false,
            is_call: false,
        }
    }
}

impl Tds {
    fn put_result(&self, payload: &[u8], out: &mut BytesMut) {
        put_message(out, PacketType::Result, Status::default(), payload, self.packet_size);
    }

    fn answer_handshake(&mut self, message: &Message, out: &mut BytesMut) -> Result<(), ()> {
        let mut payload = BytesMut::new();
        match message.kind {
            PacketType::Prelogin => {
                Prelogin::parse(&message.payload).map_err(drop)?;
                Prelogin { version: (15, 0, 0), ..Prelogin::default() }.put(&mut payload);
                self.put_result(&payload, out);
            }
            PacketType::Login => {
                let login = Login::parse(&message.payload).map_err(drop)?;
                let size =
                    (login.packet_size as usize).clamp(NEGOTIABLE_PACKET_BYTES.0, NEGOTIABLE_PACKET_BYTES.1);
                put_environment(&mut payload, &Environment::PacketSize(size));
                let program = "wheelpier-emulator".to_owned();
                put_login_ack(&mut payload, &LoginAck { version: version::V7_4, program });
                put_done(&mut payload, DoneKind::Batch, Done::default());
                self.put_result(&payload, out);
                self.packet_size = size;
                self.assembler.set_packet_size(size);
                self.logged_in = true;
            }
            _ => return Err(()),
        }
        Ok(())
    }

    fn finish(&mut self, mut payload: BytesMut, done: Done, out: &mut BytesMut) {
        if self.is_call {
            put_done(&mut payload, DoneKind::InProc, Done { more: true, ..done });
            put_return_status(&mut payload, i32::from(done.error));
            put_done(&mut payload, DoneKind::Proc, Done { error: done.error, ..Done::default() });
        } else {
            put_done(&mut payload, DoneKind::Batch, done);
        }
        self.put_result(&payload, out);
    }

    fn row(&mut self, value: Bytes, stamp: Option<String>, out: &mut BytesMut) {
        let columns = [Column { name: "content".to_owned(), kind: DataType::VarBinaryMax }];
        let mut payload = BytesMut::new();
        put_columns(&mut payload, &columns);
        put_row(&mut payload, &columns, &[Value::Binary(value)]);
        if let Some(message) = stamp {
            put_info(
                &mut payload,
                &Notice { number: numbers::ROLE_AND_POSITION, state: 1, class: 0, message },
            );
        }
        self.finish(payload, Done { has_row_count: true, rows: 1, ..Done::default() }, out);
    }

    fn error(&mut self, number: i32, message: &str, out: &mut BytesMut) {
        let mut payload = BytesMut::new();
        put_error(&mut payload, &Notice { number, state: 1, class: 16, message: message.to_owned() });
        self.finish(payload, Done { error: true, ..Done::default() }, out);
    }
}

/// Returns the statement of a call with its parameters replaced by literals, in the form of PostgreSQL's
/// protocol 3.
fn inline_parameters(call: &Rpc) -> Option<String> {
    let text = |index: usize| match call.parameters.get(index).map(|parameter| &parameter.value) {
        Some(Value::Text(text)) => Some(text.clone()),
        _ => None,
    };
    let mut statement = text(0).filter(|_| call.executes_sql())?;
    for parameter in call.parameters.iter().skip(2) {
        let literal = match &parameter.value {
            Value::Text(text) => format!("'{text}'"),
            Value::Binary(bytes) => {
                let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
                format!("'\\x{digits}'")
            }
            _ => return None,
        };
        statement = statement.replacen(&parameter.name, &literal, 1);
    }
    Some(statement)
}

impl HostProtocol for Tds {
    fn next_message(&mut self, read: &mut BytesMut, out: &mut BytesMut) -> Result<Option<ClientMessage>, ()> {
        let Some(message) = self.assembler.next(read).map_err(drop)? else { return Ok(None) };
        if !self.logged_in {
            self.answer_handshake(&message, out)?;
            return Ok(Some(ClientMessage::Handshake));
        }
        self.is_call = message.kind == PacketType::Rpc;
        let text = match message.kind {
            PacketType::SqlBatch => parse_batch(&message.payload).map_err(drop)?,
            PacketType::Rpc => match inline_parameters(&parse_rpc(&message.payload).map_err(drop)?) {
                Some(text) => text,
                None => return Ok(Some(ClientMessage::Unsupported)),
            },
            _ => return Err(()),
        };
        Ok(Some(match text.trim() {
            "" => ClientMessage::NoOp,
            "SHOW load" => ClientMessage::LoadReport,
            text if text.starts_with("SET ") => ClientMessage::NoOp,
            text => ClientMessage::Statement(text.to_owned()),
        }))
    }

    fn reply(&mut self, reply: &Reply, out: &mut BytesMut) {
        match reply {
            Reply::Served { content, position, primary, needed } => {
                let role = if *primary { "primary" } else { "replica" };
                let stamp = format!("role={role} applied_ms={}", to_reported_ms(*position, needed.is_none()));
                self.row(content.clone().into(), Some(stamp), out);
            }
            Reply::ReadOnly => self.error(numbers::READ_ONLY, "this is no primary", out),
            Reply::Behind => self.error(numbers::BEHIND, "too far behind", out),
            Reply::Full => self.error(numbers::RESOURCES, "no room", out),
            Reply::Error => self.error(numbers::HOST_ERROR, "failed", out),
        }
    }

    fn text(&mut self, text: &str, out: &mut BytesMut) {
        self.row(text.to_owned().into(), None, out);
    }

    fn no_op(&mut self, out: &mut BytesMut) {
        self.finish(BytesMut::new(), Done::default(), out);
    }

    fn unsupported(&mut self, out: &mut BytesMut) {
        self.error(numbers::SYNTAX, "not served", out);
    }
}
