//! The host's side of PostgreSQL's protocol 3.

use super::front::{ClientMessage, HostProtocol};
use crate::replication::to_reported_ms;
use crate::world::Reply;
use bytes::BytesMut;
use wheelpier_pgwire::{
    command_complete, empty_query, error, parameter, ready, single_value_result, startup_reply,
    FrontendMessage, Startup,
};

#[derive(Debug, Default)]
pub(super) struct Postgres {
    is_open: bool,
    /// The command tag with which a command without an effect is answered; none for an empty query.
    tag: Option<&'static str>,
}

impl HostProtocol for Postgres {
    fn next_message(&mut self, read: &mut BytesMut, out: &mut BytesMut) -> Result<Option<ClientMessage>, ()> {
        if !self.is_open {
            let Some((startup, length)) = Startup::parse(read).map_err(drop)? else { return Ok(None) };
            let _ = read.split_to(length);
            return match startup {
                Startup::Session { minor } => {
                    startup_reply(out, minor, (1, 1));
                    self.is_open = true;
                    Ok(Some(ClientMessage::Handshake))
                }
                Startup::Encryption => {
                    out.extend_from_slice(b"N");
                    Ok(Some(ClientMessage::Handshake))
                }
                Startup::Cancel(_) | Startup::Unsupported => Err(()),
            };
        }
        let Some((message, length)) = FrontendMessage::parse(read).map_err(drop)? else { return Ok(None) };
        let client_message = match message {
            FrontendMessage::Query(text) => {
                let text = std::str::from_utf8(text).map_err(drop)?.trim();
                self.tag = ["SET", "RESET", "DISCARD"].into_iter().find(|tag| text.starts_with(tag));
                match text {
                    "" => ClientMessage::NoOp,
                    "SHOW load" => ClientMessage::LoadReport,
                    _ if self.tag.is_some() => ClientMessage::NoOp,
                    _ => ClientMessage::Statement(text.to_owned()),
                }
            }
            FrontendMessage::Terminate => ClientMessage::Terminate,
            _ => return Err(()),
        };
        let _ = read.split_to(length);
        Ok(Some(client_message))
    }

    fn reply(&mut self, reply: &Reply, out: &mut BytesMut) {
        match reply {
            Reply::Served { content, position, primary, needed } => {
                single_value_result(out, "content", content.as_bytes());
                parameter(out, "role", if *primary { "primary" } else { "replica" });
                parameter(out, "applied_ms", &to_reported_ms(*position, needed.is_none()).to_string());
            }
            Reply::ReadOnly => error(out, "ERROR", "25006", "this is no primary", None),
            Reply::Behind => error(out, "ERROR", "72000", "too far behind", None),
            Reply::Full => error(out, "ERROR", "53300", "no room", None),
            Reply::Error => error(out, "ERROR", "XX000", "failed", None),
        }
        ready(out);
    }

    fn text(&mut self, text: &str, out: &mut BytesMut) {
        single_value_result(out, "load", text.as_bytes());
        ready(out);
    }

    fn no_op(&mut self, out: &mut BytesMut) {
        match self.tag.take() {
            Some(tag) => command_complete(out, tag),
            None => empty_query(out),
        }
        ready(out);
    }

    fn unsupported(&mut self, out: &mut BytesMut) {
        error(out, "ERROR", "42601", "not served", None);
        ready(out);
    }
}
