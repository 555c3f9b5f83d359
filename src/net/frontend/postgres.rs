//! The client side of PostgreSQL's protocol 3: simple queries, which may be pipelined.

use super::cancel::CancelKey;
use super::conversation::{ClientEvent, Conversation};
use super::fault::{Fault, ForeignProtocol, Severity};
use crate::net::messages::Value;
use crate::pgwire::{self, FrontendMessage, Startup};
use crate::protocol::Protocol;
use bytes::{Bytes, BytesMut};

/// The first bytes of a TDS client: a packet of type PRELOGIN that is a complete message. A startup packet of
/// PostgreSQL's protocol cannot begin with them: its length would exceed the limit.
const TDS_PRELOGIN: [u8; 2] = [0x12, 0x01];

/// Maximum number of requests for encryption on one connection: one for each kind, TLS and GSSAPI.
const MAX_ENCRYPTION_REQUESTS: u32 = 2;

/// A session of PostgreSQL's protocol.
#[derive(Debug)]
pub(super) struct Postgres {
    /// The key for cancel requests, which the client is sent.
    cancel_key: CancelKey,
    /// Whether the startup is complete.
    is_open: bool,
    /// Number of requests for encryption so far.
    encryption_requests: u32,
    /// Whether messages are skipped up to the next Sync, after a message of the unsupported extended query
    /// protocol.
    is_skipping: bool,
}

impl Postgres {
    /// Returns a session before its startup.
    pub fn new(cancel_key: CancelKey) -> Self {
        Self { cancel_key, is_open: false, encryption_requests: 0, is_skipping: false }
    }

    /// Handles a message of the startup.
    fn handle_startup(
        &mut self,
        input: &mut BytesMut,
        output: &mut BytesMut,
    ) -> Result<Option<ClientEvent>, Fault> {
        if input.starts_with(&TDS_PRELOGIN) {
            return Err(Fault::WrongProtocol(ForeignProtocol::Protocol(Protocol::Tds, Protocol::Postgres)));
        }
        let Some((startup, length)) = Startup::parse(input)? else { return Ok(None) };
        let _ = input.split_to(length);
        match startup {
            Startup::Encryption => {
                self.encryption_requests += 1;
                if self.encryption_requests > MAX_ENCRYPTION_REQUESTS {
                    let problem = "encryption was asked for more than twice";
                    return Err(Fault::ProtocolViolation(problem.to_owned()));
                }
                output.extend_from_slice(b"N");
                Ok(Some(ClientEvent::NoRequest))
            }
            Startup::Cancel(key) => Ok(Some(ClientEvent::CancelRequest(key))),
            Startup::Unsupported => Err(Fault::Unsupported("only protocol 3 is spoken".to_owned())),
            Startup::Session { minor } => {
                pgwire::startup_reply(output, minor, (self.cancel_key.process, self.cancel_key.secret));
                self.is_open = true;
                Ok(Some(ClientEvent::SessionOpened))
            }
        }
    }

    /// Handles the text of a simple query.
    fn handle_query(&mut self, text: BytesMut, output: &mut BytesMut) -> ClientEvent {
        let Ok(statement) = std::str::from_utf8(&text) else {
            return ClientEvent::InvalidStatement(Fault::Encoding);
        };
        if statement.trim_matches(|c: char| c.is_whitespace() || c == ';').is_empty() {
            return ClientEvent::ReadinessCheck;
        }
        match session_command_tag(statement) {
            Some(tag) => {
                pgwire::command_complete(output, tag);
                pgwire::ready(output);
                ClientEvent::Answered
            }
            // A copy: the text would keep the whole read buffer in memory.
            None => ClientEvent::Statement(Bytes::copy_from_slice(&text)),
        }
    }
}

impl Conversation for Postgres {
    fn next_event(
        &mut self,
        input: &mut BytesMut,
        output: &mut BytesMut,
    ) -> Result<Option<ClientEvent>, Fault> {
        if !self.is_open {
            return self.handle_startup(input, output);
        }
        let Some((message, length)) = FrontendMessage::parse(input)? else { return Ok(None) };
        let query = match message {
            FrontendMessage::Query(text) if !self.is_skipping => Some(text.len()),
            FrontendMessage::Terminate => return Ok(Some(ClientEvent::Terminated)),
            FrontendMessage::Unknown(kind) => {
                return Err(Fault::ProtocolViolation(format!("unknown message type {kind}")));
            }
            FrontendMessage::Extended if !self.is_skipping => {
                self.is_skipping = true;
                Fault::Unsupported("only simple queries are served".to_owned())
                    .put_postgres(Severity::Error, output);
                None
            }
            FrontendMessage::Sync => {
                self.is_skipping = false;
                pgwire::ready(output);
                None
            }
            FrontendMessage::Query(_) | FrontendMessage::Extended | FrontendMessage::Copy => None,
        };
        let mut bytes = input.split_to(length);
        Ok(Some(match query {
            Some(length) => {
                // Skips the message's type and length.
                let mut text = bytes.split_off(5);
                text.truncate(length);
                self.handle_query(text, output)
            }
            None => ClientEvent::NoRequest,
        }))
    }

    fn has_partial_message(&self, input: &BytesMut) -> bool {
        !input.is_empty()
    }

    fn buffered_bytes(&self) -> usize {
        0
    }

    fn is_pipelined(&self) -> bool {
        true
    }

    /// Always returns false: cancel requests arrive on separate connections.
    fn take_cancellation(&mut self, _input: &mut BytesMut, _output: &mut BytesMut) -> Result<bool, Fault> {
        Ok(false)
    }

    fn write_ready(&mut self, output: &mut BytesMut) {
        pgwire::empty_query(output);
        pgwire::ready(output);
    }

    fn write_value(&mut self, value: &Value, output: &mut BytesMut) {
        match &value.postgres_messages {
            Some(messages) => output.extend_from_slice(messages),
            None => pgwire::single_value_result(output, "content", &value.content),
        }
        pgwire::ready(output);
    }

    fn encoded_value(&self, value: &Value) -> Option<Bytes> {
        value.postgres_messages.clone()
    }

    fn begin_large_value(&mut self, value: &Value, output: &mut BytesMut) -> bool {
        value.postgres_messages.iter().for_each(|messages| output.extend_from_slice(messages));
        value.postgres_messages.is_some()
    }

    fn end_large_value(&mut self, output: &mut BytesMut) {
        pgwire::ready(output);
    }

    fn write_fault(&mut self, fault: &Fault, output: &mut BytesMut) {
        fault.put_postgres(Severity::Error, output);
        pgwire::ready(output);
    }

    fn write_fatal(&mut self, fault: &Fault, output: &mut BytesMut) {
        match fault {
            Fault::WrongProtocol(foreign) => fault.put_foreign(*foreign, output),
            _ => fault.put_postgres(Severity::Fatal, output),
        }
    }
}

/// Returns the command tag of a statement that only configures a session. Client libraries send such
/// statements; they have no effect here.
fn session_command_tag(statement: &str) -> Option<&'static str> {
    let verb = statement.split_whitespace().next()?.trim_end_matches(';');
    ["SET", "RESET", "DISCARD"].into_iter().find(|tag| verb.eq_ignore_ascii_case(tag))
}
