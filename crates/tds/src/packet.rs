//! Packets: framing, status bits, and reassembly of messages (2.2.3).

use crate::WireError;
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// The length of a packet's header in bytes.
pub const HEADER_BYTES: usize = 8;
/// The packet size until the login negotiates another one, in bytes, header included.
pub const INITIAL_PACKET_BYTES: usize = 4096;
/// The smallest and the largest packet size that can be negotiated, in bytes (2.2.6.4).
pub const NEGOTIABLE_PACKET_BYTES: (usize, usize) = (512, 32_767);

/// The type of a message, which each of its packets carries (2.2.3.1.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketType {
    /// A batch of SQL.
    SqlBatch,
    /// A remote procedure call.
    Rpc,
    /// A server's response.
    Result,
    /// The client cancels its open request.
    Attention,
    /// Rows of a bulk load.
    BulkLoad,
    /// The token of a federated authentication.
    FederatedToken,
    /// A transaction manager request.
    Transaction,
    /// LOGIN7.
    Login,
    /// SSPI data of an integrated login.
    Sspi,
    /// PRELOGIN, or TLS before the login.
    Prelogin,
}

const TYPES: [(u8, PacketType); 10] = [
    (0x01, PacketType::SqlBatch),
    (0x03, PacketType::Rpc),
    (0x04, PacketType::Result),
    (0x06, PacketType::Attention),
    (0x07, PacketType::BulkLoad),
    (0x08, PacketType::FederatedToken),
    (0x0e, PacketType::Transaction),
    (0x10, PacketType::Login),
    (0x11, PacketType::Sspi),
    (0x12, PacketType::Prelogin),
];

impl PacketType {
    fn from_code(byte: u8) -> Option<Self> {
        TYPES.iter().find(|(code, _)| *code == byte).map(|(_, kind)| *kind)
    }

    /// Whether the received bytes begin with a packet of this type.
    pub fn begins(self, received: &[u8]) -> bool {
        received.first() == Some(&self.code())
    }

    fn code(self) -> u8 {
        TYPES.iter().find(|(_, kind)| *kind == self).map_or(0, |(code, _)| *code)
    }
}

/// The status bits of a message, without the end-of-message bit (2.2.3.1.2).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Whether the client has abandoned the message, so that the server discards it.
    pub ignore: bool,
    /// Whether the session is reset to its state after the login before the request runs.
    pub reset: bool,
}

// The bits of the status byte of a packet (2.2.3.1.2).
const END_OF_MESSAGE: u8 = 0x01;
const IGNORE: u8 = 0x02;
const RESET: u8 = 0x08;
const RESET_KEEP_TRANSACTION: u8 = 0x10;

/// A complete message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The type.
    pub kind: PacketType,
    /// The status bits.
    pub status: Status,
    /// The contents of its packets, concatenated.
    pub payload: Bytes,
}

/// Reassembles messages from packets, however the byte stream is split. Its buffer is bounded by the limit
/// given and by the bytes received.
#[derive(Debug)]
pub struct Assembler {
    max_payload_bytes: usize,
    max_packet_bytes: usize,
    kind: Option<PacketType>,
    status: Status,
    payload: BytesMut,
}

impl Assembler {
    /// Creates an assembler that accepts messages of at most `max_payload_bytes`.
    pub fn new(max_payload_bytes: usize) -> Self {
        let (kind, status, payload) = (None, Status::default(), BytesMut::new());
        Self { max_payload_bytes, max_packet_bytes: INITIAL_PACKET_BYTES, kind, status, payload }
    }

    /// Sets the negotiated packet size, in bytes. Packets of up to [`INITIAL_PACKET_BYTES`] are accepted even
    /// if it is smaller.
    pub fn set_packet_size(&mut self, bytes: usize) {
        self.max_packet_bytes = bytes.max(INITIAL_PACKET_BYTES);
    }

    /// Returns the capacity of the buffer that holds an incomplete message, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.payload.capacity()
    }

    /// Whether a message has begun whose last packet has not been consumed.
    pub fn has_partial_message(&self) -> bool {
        self.kind.is_some()
    }

    /// Consumes complete packets from the front of `received` and returns the first message that they
    /// complete.
    ///
    /// # Errors
    /// Returns an error if a header is invalid or the message is too long. The rest of the stream is
    /// unreadable then.
    pub fn next(&mut self, received: &mut BytesMut) -> Result<Option<Message>, WireError> {
        while let Some(packet) = self.next_packet(received)? {
            let kind = *self.kind.get_or_insert(packet.kind);
            if kind != packet.kind {
                return Err(WireError::Header);
            }
            self.status.ignore |= packet.status & IGNORE != 0;
            self.status.reset |= packet.status & (RESET | RESET_KEEP_TRANSACTION) != 0;
            received.advance(HEADER_BYTES);
            let content = received.split_to(packet.length - HEADER_BYTES);
            if packet.status & END_OF_MESSAGE == 0 {
                self.payload.extend_from_slice(&content);
                continue;
            }
            let payload = if self.payload.is_empty() {
                content
            } else {
                self.payload.extend_from_slice(&content);
                std::mem::take(&mut self.payload)
            };
            let status = std::mem::take(&mut self.status);
            self.kind = None;
            return Ok(Some(Message { kind, status, payload: payload.freeze() }));
        }
        Ok(None)
    }

    /// Returns the packet at the front once it is complete. An invalid header is reported without
    /// waiting for the content.
    fn next_packet(&self, received: &BytesMut) -> Result<Option<Packet>, WireError> {
        let Some(first) = received.first() else { return Ok(None) };
        let kind = PacketType::from_code(*first).ok_or(WireError::Header)?;
        let Some(header) = received.get(..HEADER_BYTES) else { return Ok(None) };
        let length = usize::from(u16::from_be_bytes([header[2], header[3]]));
        if length < HEADER_BYTES || length > self.max_packet_bytes {
            return Err(WireError::Header);
        }
        if self.payload.len() + length - HEADER_BYTES > self.max_payload_bytes {
            return Err(WireError::TooLong);
        }
        Ok((received.len() >= length).then_some(Packet { kind, status: header[1], length }))
    }
}

struct Packet {
    kind: PacketType,
    status: u8,
    length: usize,
}

/// Writes a message as packets of at most `size` bytes, header included (2.2.3.1).
pub fn put_message(output: &mut BytesMut, kind: PacketType, status: Status, payload: &[u8], size: usize) {
    let max_content = size.clamp(NEGOTIABLE_PACKET_BYTES.0, NEGOTIABLE_PACKET_BYTES.1) - HEADER_BYTES;
    let packets = payload.len().div_ceil(max_content).max(1);
    output.reserve(payload.len() + packets * HEADER_BYTES);
    for number in 0..packets {
        let content = &payload[number * max_content..payload.len().min((number + 1) * max_content)];
        let mut bits = 0;
        if number + 1 == packets {
            bits |= END_OF_MESSAGE | if status.ignore { IGNORE } else { 0 };
        }
        if number == 0 && status.reset {
            bits |= RESET;
        }
        output.put_u8(kind.code());
        output.put_u8(bits);
        output.put_u16((content.len() + HEADER_BYTES) as u16);
        output.put_u16(0);
        output.put_u8((number + 1) as u8);
        output.put_u8(0);
        output.put_slice(content);
    }
}
