//! PostgreSQL's protocol 3 with a client: simple queries, which may be pipelined.

use super::cancel::CancelKey;
use super::conversation::{Conversation, Step};
use super::fault::{Fault, Foreign};
use crate::net::messages::Value;
use crate::pgwire::{self, FrontendMessage, Startup};
use crate::protocol::Protocol;
use bytes::BytesMut;

/// How TDS begins: a packet of type PRELOGIN that is the whole message. As a startup packet it would be far too
/// long.
const TDS: [u8; 2] = [0x12, 0x01];

#[derive(Debug)]
pub(super) struct Postgres {
    /// What the session is known by to those who call off what runs on it.
    key: CancelKey,
    open: bool,
    /// In a run of extended messages after an error: all is skipped up to Sync.
    skipping: bool,
}

impl Postgres {
    /// A conversation that has not begun.
    pub fn new(key: CancelKey) -> Self {
        Self { key, open: false, skipping: false }
    }

    fn startup(&mut self, read: &mut BytesMut, out: &mut BytesMut) -> Result<Option<Step>, Fault> {
        if read.starts_with(&TDS) {
            return Err(Fault::Foreign(Foreign::Protocol(Protocol::Tds, Protocol::Postgres)));
        }
        let Some((startup, length)) = Startup::parse(read)? else { return Ok(None) };
        let _ = read.split_to(length);
        match startup {
            Startup::Encryption => {
                out.extend_from_slice(b"N");
                Ok(Some(Step::Passed))
            }
            Startup::Cancel(key) => Ok(Some(Step::Cancels(key))),
            Startup::Unsupported => Err(Fault::Unsupported("only protocol 3 is spoken".to_owned())),
            Startup::Session { minor } => {
                pgwire::welcome(out, minor, (self.key.process, self.key.secret));
                self.open = true;
                Ok(Some(Step::Opened))
            }
        }
    }

    fn query(&mut self, text: BytesMut, out: &mut BytesMut) -> Step {
        let Ok(words) = std::str::from_utf8(&text) else { return Step::Senseless(Fault::Encoding) };
        if words.trim_matches(|c: char| c.is_whitespace() || c == ';').is_empty() {
            return Step::Ready;
        }
        match session_command(words) {
            Some(tag) => {
                pgwire::command_complete(out, tag);
                pgwire::ready(out);
                Step::Answered
            }
            None => Step::Statement(text.freeze()),
        }
    }
}

impl Conversation for Postgres {
    fn next(&mut self, read: &mut BytesMut, out: &mut BytesMut) -> Result<Option<Step>, Fault> {
        if !self.open {
            return self.startup(read, out);
        }
        let Some((message, length)) = FrontendMessage::parse(read)? else { return Ok(None) };
        let query = match message {
            FrontendMessage::Query(text) if !self.skipping => Some(text.len()),
            FrontendMessage::Terminate => return Ok(Some(Step::Leaves)),
            FrontendMessage::Unknown(kind) => {
                return Err(Fault::Broken(format!("unknown message type {kind}")));
            }
            FrontendMessage::Extended if !self.skipping => {
                self.skipping = true;
                Fault::Unsupported("only simple queries are served".to_owned()).put_postgres("ERROR", out);
                None
            }
            FrontendMessage::Sync => {
                self.skipping = false;
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
            None => Step::Passed,
        }))
    }

    fn begun(&self, read: &BytesMut) -> bool {
        !read.is_empty()
    }

    fn held(&self) -> usize {
        0
    }

    fn pipelines(&self) -> bool {
        true
    }

    /// A cancel comes on a connection of its own.
    fn gives_up(&mut self, _read: &mut BytesMut, _out: &mut BytesMut) -> Result<bool, Fault> {
        Ok(false)
    }

    fn ready(&mut self, out: &mut BytesMut) {
        pgwire::empty_query(out);
        pgwire::ready(out);
    }

    fn served(&mut self, value: &Value, out: &mut BytesMut) {
        match &value.postgres_messages {
            Some(messages) => out.extend_from_slice(messages),
            None => pgwire::row(out, "content", &value.content),
        }
        pgwire::ready(out);
    }

    fn begin_value(&mut self, value: &Value, out: &mut BytesMut) -> bool {
        value.postgres_messages.iter().for_each(|messages| out.extend_from_slice(messages));
        value.postgres_messages.is_some()
    }

    fn end_value(&mut self, out: &mut BytesMut) {
        pgwire::ready(out);
    }

    fn fault(&mut self, fault: &Fault, out: &mut BytesMut) {
        fault.put_postgres("ERROR", out);
        pgwire::ready(out);
    }

    fn end(&mut self, fault: &Fault, out: &mut BytesMut) {
        match fault {
            Fault::Foreign(foreign) => fault.put_foreign(*foreign, out),
            _ => fault.put_postgres("FATAL", out),
        }
    }
}

/// The tag of a statement that only sets up a session: libraries send them; they have no effect here.
fn session_command(words: &str) -> Option<&'static str> {
    let verb = words.split_whitespace().next()?.trim_end_matches(';');
    ["SET", "RESET", "DISCARD"].into_iter().find(|tag| verb.eq_ignore_ascii_case(tag))
}
