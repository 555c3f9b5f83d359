//! The startup of a TDS session: PRELOGIN and LOGIN7.

use super::{put_database, Stage, Tds};
use crate::net::frontend::conversation::ClientEvent;
use crate::net::frontend::fault::Fault;
use bytes::BytesMut;
use wheelpier_tds::{
    put_collation, put_done, put_environment, put_login_ack, version, Done, DoneKind, Encryption,
    Environment, Login, LoginAck, Message, PacketType, Prelogin, INITIAL_PACKET_BYTES,
    NEGOTIABLE_PACKET_BYTES,
};

/// The program name in the login acknowledgement.
const PROGRAM: &str = "wheelpier";

impl Tds {
    /// Answers PRELOGIN: encryption and MARS are not supported.
    pub(super) fn handle_prelogin(
        &mut self,
        message: &Message,
        output: &mut BytesMut,
    ) -> Result<ClientEvent, Fault> {
        if message.kind != PacketType::Prelogin {
            return Err(Fault::ProtocolViolation("PRELOGIN has to come first".to_owned()));
        }
        let client = Prelogin::parse(&message.payload)?;
        let requires_encryption = matches!(client.encryption, Encryption::On | Encryption::Required);
        self.stage = if requires_encryption { Stage::EncryptionRequired } else { Stage::Login };
        let mut payload = BytesMut::new();
        Prelogin { version: (15, 0, 2000), ..Prelogin::default() }.put(&mut payload);
        self.put_packets(&payload, output);
        Ok(ClientEvent::NoRequest)
    }

    /// Answers LOGIN7 and opens the session.
    pub(super) fn handle_login(
        &mut self,
        message: &Message,
        output: &mut BytesMut,
    ) -> Result<ClientEvent, Fault> {
        if message.kind != PacketType::Login {
            return Err(Fault::ProtocolViolation("LOGIN7 has to follow".to_owned()));
        }
        let login =
            Login::parse(&message.payload).map_err(|error| Fault::ProtocolViolation(error.to_string()))?;
        if login.version < version::V7_2 {
            return Err(Fault::Login("TDS 7.2 is the oldest version that is spoken".to_owned()));
        }
        if login.integrated {
            return Err(Fault::Login("integrated logins are not served".to_owned()));
        }
        let packet_size = match login.packet_size as usize {
            0 => INITIAL_PACKET_BYTES,
            size => size.clamp(NEGOTIABLE_PACKET_BYTES.0, NEGOTIABLE_PACKET_BYTES.1),
        };
        let mut payload = BytesMut::new();
        put_database(&mut payload);
        put_collation(&mut payload);
        let ack = LoginAck { version: login.version.min(version::V7_4), program: PROGRAM.to_owned() };
        put_login_ack(&mut payload, &ack);
        put_environment(&mut payload, &Environment::PacketSize(packet_size));
        put_done(&mut payload, DoneKind::Batch, Done::default());
        // This answer is still sent in packets of the initial size.
        self.put_packets(&payload, output);
        self.packet_size = packet_size;
        self.assembler.set_packet_size(packet_size);
        self.stage = Stage::Open;
        Ok(ClientEvent::SessionOpened)
    }
}
