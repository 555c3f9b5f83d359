//! Packets: framing, status bits, and how messages are put together from them (2.2.3).

use crate::WireError;
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Length of a packet's header in bytes.
pub const HEADER: usize = 8;
/// The packet size before anything else is agreed, header included.
pub const PACKET_SIZE: usize = 4096;
/// The smallest and the largest packet size that can be agreed (2.2.6.4).
pub const PACKET_SIZES: (usize, usize) = (512, 32_767);

/// What a packet is part of (2.2.3.1.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketType {
    /// A batch of SQL.
    SqlBatch,
    /// A remote procedure call.
    Rpc,
    /// A server's answer.
    Result,
    /// The client gives its open request up.
    Attention,
    /// Rows to load.
    BulkLoad,
    /// A token of a federated login.
    FederatedToken,
    /// A request to the transaction manager.
    Transaction,
    /// LOGIN7.
    Login,
    /// A part of an integrated login.
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
    fn of(byte: u8) -> Option<Self> {
        TYPES.iter().find(|(code, _)| *code == byte).map(|(_, kind)| *kind)
    }

    /// Whether what has come begins with a packet of this type.
    pub fn begins(self, read: &[u8]) -> bool {
        read.first() == Some(&self.code())
    }

    fn code(self) -> u8 {
        TYPES.iter().find(|(_, kind)| *kind == self).map_or(0, |(code, _)| *code)
    }
}

/// The status bits that a message bears besides the end mark (2.2.3.1.2).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// The client has broken the message off: the server drops it.
    pub ignore: bool,
    /// The session is set back to how it was after login, before the request runs.
    pub reset: bool,
}

const END: u8 = 0x01;
const IGNORE: u8 = 0x02;
const RESET: u8 = 0x08;
const RESET_KEEP_TRANSACTION: u8 = 0x10;

/// A whole message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// What it is.
    pub kind: PacketType,
    /// Its status bits.
    pub status: Status,
    /// Its packets' contents, in a row.
    pub payload: Bytes,
}

/// Puts messages together from packets, however these are cut. What it keeps is bounded by the limit given,
/// and by what has come.
#[derive(Debug)]
pub struct Assembler {
    most: usize,
    packet: usize,
    kind: Option<PacketType>,
    status: Status,
    payload: BytesMut,
}

impl Assembler {
    /// Takes messages of at most so many bytes.
    pub fn new(most: usize) -> Self {
        let (kind, status, payload) = (None, Status::default(), BytesMut::new());
        Self { most, packet: PACKET_SIZE, kind, status, payload }
    }

    /// The packet size that was agreed; packets are never longer, but may be as long as before the agreement.
    pub fn set_packet_size(&mut self, packet: usize) {
        self.packet = packet.max(PACKET_SIZE);
    }

    /// Bytes that it keeps of a message that is not yet whole.
    pub fn buffered_bytes(&self) -> usize {
        self.payload.capacity()
    }

    /// Whether a message has begun and not ended.
    pub fn has_partial_message(&self) -> bool {
        self.kind.is_some()
    }

    /// Takes whole packets from the front of what has come; the first message that they complete.
    ///
    /// # Errors
    /// When a header makes no sense or the message is too long: nothing after it can be read either.
    pub fn next(&mut self, read: &mut BytesMut) -> Result<Option<Message>, WireError> {
        while let Some(packet) = self.packet(read)? {
            let kind = *self.kind.get_or_insert(packet.kind);
            if kind != packet.kind {
                return Err(WireError::Header);
            }
            self.status.ignore |= packet.status & IGNORE != 0;
            self.status.reset |= packet.status & (RESET | RESET_KEEP_TRANSACTION) != 0;
            read.advance(HEADER);
            let content = read.split_to(packet.length - HEADER);
            if packet.status & END == 0 {
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

    /// The packet at the front, once it is whole. What cannot be one is said as soon as its header shows it.
    fn packet(&self, read: &BytesMut) -> Result<Option<Packet>, WireError> {
        let Some(first) = read.first() else { return Ok(None) };
        let kind = PacketType::of(*first).ok_or(WireError::Header)?;
        let Some(header) = read.get(..HEADER) else { return Ok(None) };
        let length = usize::from(u16::from_be_bytes([header[2], header[3]]));
        if length < HEADER || length > self.packet {
            return Err(WireError::Header);
        }
        if self.payload.len() + length - HEADER > self.most {
            return Err(WireError::TooLong);
        }
        Ok((read.len() >= length).then_some(Packet { kind, status: header[1], length }))
    }
}

struct Packet {
    kind: PacketType,
    status: u8,
    length: usize,
}

/// Writes a message as packets of at most `size` bytes, header included (2.2.3.1).
pub fn put_message(out: &mut BytesMut, kind: PacketType, status: Status, payload: &[u8], size: usize) {
    let room = size.clamp(PACKET_SIZES.0, PACKET_SIZES.1) - HEADER;
    let packets = payload.len().div_ceil(room).max(1);
    out.reserve(payload.len() + packets * HEADER);
    for number in 0..packets {
        let content = &payload[number * room..payload.len().min((number + 1) * room)];
        let mut bits = 0;
        if number + 1 == packets {
            bits |= END | if status.ignore { IGNORE } else { 0 };
        }
        if number == 0 && status.reset {
            bits |= RESET;
        }
        out.put_u8(kind.code());
        out.put_u8(bits);
        out.put_u16((content.len() + HEADER) as u16);
        out.put_u16(0);
        out.put_u8((number + 1) as u8);
        out.put_u8(0);
        out.put_slice(content);
    }
}
