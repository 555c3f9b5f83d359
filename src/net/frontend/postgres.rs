//! PostgreSQL's protocol 3 with a client: simple queries, which may be pipelined.

use super::cancel::CancelKey;
use super::conversation::{ClientEvent, Conversation};
use super::fault::{Fault, ForeignProtocol, Severity};
use crate::net::messages::Value;
use crate::pgwire::{self, FrontendMessage, Startup};
use crate::protocol::Protocol;
use bytes::BytesMut;

/// The first bytes of TDS: a packet of type PRELOGIN that is the complete message. Read as a startup packet it would exceed
/// the length limit.
const TDS_PRELOGIN: [u8; 2] = [0x12, 0x01];

/// A session of PostgreSQL's protocol.
#[derive(Debug)]
pub(super) struct Postgres {
    /// The key that cancel requests name.
    cancel_key: CancelKey,
    /// Whether the startup is complete.
    is_open: bool,
    /// Whether all messages up to Sync are skipped, after an error in extended ones.
    is_skipping: bool,
}

impl Postgres {
    /// Returns a session before its startup.
    pub fn new(cancel_key: CancelKey) -> Self {
        Self { cancel_key, is_open: false, is_skipping: false }
    }

    fn startup(&mut self, read: &mut BytesMut, out: &mut BytesMut) -> Result<Option<ClientEvent>, Fault> {
        if read.starts_with(&TDS_PRELOGIN) {
            return Err(Fault::WrongProtocol(ForeignProtocol::Protocol(Protocol::Tds, Protocol::Postgres)));
        }
        let Some((startup, length)) = Startup::parse(read)? else { return Ok(None) };
        let _ = read.split_to(length);
        match startup {
            Startup::Encryption => {
                out.extend_from_slice(b"N");
                Ok(Some(ClientEvent::NoRequest))
            }
            Startup::Cancel(key) => Ok(Some(ClientEvent::CancelRequest(key))),
            Startup::Unsupported => Err(Fault::Unsupported("only protocol 3 is spoken".to_owned())),
            Startup::Session { minor } => {
                pgwire::startup_reply(out, minor, (self.cancel_key.process, self.cancel_key.secret));
                self.is_open = true;
                Ok(Some(ClientEvent::SessionOpened))
            }
        }
    }

    fn query(&mut self, text: BytesMut, out: &mut BytesMut) -> ClientEvent {
        let Ok(words) = std::str::from_utf8(&text) else {
            return ClientEvent::InvalidStatement(Fault::Encoding);
        };
        if words.trim_matches(|c: char| c.is_whitespace() || c == ';').is_empty() {
            return ClientEvent::ReadinessCheck;
        }
        match session_command(words) {
            Some(tag) => {
                pgwire::command_complete(out, tag);
                pgwire::ready(out);
                ClientEvent::Answered
            }
            None => ClientEvent::Statement(text.freeze()),
        }
    }
}

impl Conversation for Postgres {
    fn next_event(&mut self, read: &mut BytesMut, out: &mut BytesMut) -> Result<Option<ClientEvent>, Fault> {
        if !self.is_open {
            return self.startup(read, out);
        }
        let Some((message, length)) = FrontendMessage::parse(read)? else { return Ok(None) };
        let query = match message {
            FrontendMessage::Query(text) if !self.is_skipping => Some(text.len()),
            FrontendMessage::Terminate => return Ok(Some(ClientEvent::Terminated)),
            FrontendMessage::Unknown(kind) => {
                return Err(Fault::ProtocolViolation(format!("unknown message type {kind}")));
            }
            FrontendMessage::Extended if !self.is_skipping => {
                self.is_skipping = true;
                Fault::Unsupported("only simple queries are served".to_owned())
                    .put_postgres(Severity::Error, out);
                None
            }
            FrontendMessage::Sync => {
                self.is_skipping = false;
                pgwire::ready(out);
                None
            }
            FrontendMessage::Query(_) | FrontendMessage::Extended | FrontendMessage::Copy => None,
        };
        let mut bytes = read.split_to(length);
        Ok(Some(match query {
            Some(length) => {
                let mut text = bytes.split_off(5);
                text.truncate(length);
                self.query(text, out)
            }
            None => ClientEvent::NoRequest,
        }))
    }

    fn has_partial_message(&self, read: &BytesMut) -> bool {
        !read.is_empty()
    }

    fn buffered_bytes(&self) -> usize {
        0
    }

    fn is_pipelined(&self) -> bool {
        true
    }

    /// Cancel requests come on a connection of their own.
    fn take_cancellation(&mut self, _read: &mut BytesMut, _out: &mut BytesMut) -> Result<bool, Fault> {
        Ok(false)
    }

    fn write_ready(&mut self, out: &mut BytesMut) {
        pgwire::empty_query(out);
        pgwire::ready(out);
    }

    fn write_value(&mut self, value: &Value, out: &mut BytesMut) {
        match &value.postgres_messages {
            Some(messages) => out.extend_from_slice(messages),
            None => pgwire::single_value_result(out, "content", &value.content),
        }
        pgwire::ready(out);
    }

    fn begin_large_value(&mut self, value: &Value, out: &mut BytesMut) -> bool {
        value.postgres_messages.iter().for_each(|messages| out.extend_from_slice(messages));
        value.postgres_messages.is_some()
    }

    fn end_large_value(&mut self, out: &mut BytesMut) {
        pgwire::ready(out);
    }

    fn write_fault(&mut self, fault: &Fault, out: &mut BytesMut) {
        fault.put_postgres(Severity::Error, out);
        pgwire::ready(out);
    }

    fn write_fatal(&mut self, fault: &Fault, out: &mut BytesMut) {
        match fault {
            Fault::WrongProtocol(foreign) => fault.put_foreign(*foreign, out),
            _ => fault.put_postgres(Severity::Fatal, out),
        }
    }
}

/// Returns the command tag of a statement that only sets up a session. Client libraries send them; they have no effect here.
fn session_command(words: &str) -> Option<&'static str> {
    let verb = words.split_whitespace().next()?.trim_end_matches(';');
    ["SET", "RESET", "DISCARD"].into_iter().find(|tag| verb.eq_ignore_ascii_case(tag))
}
