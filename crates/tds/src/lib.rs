//! Parsers and encoders for TDS, the protocol of SQL Server, for clients and servers. No sockets.
//!
//! Section numbers refer to the open specification MS-TDS. Versions 7.2 to 7.4 are supported; they share
//! their token formats. No allocation is sized by a length that the peer claims: buffers are bounded by the
//! bytes received, and those by the limits that the caller sets.
//!
//! ```
//! use bytes::BytesMut;
//! use wheelpier_tds::{put_message, Assembler, PacketType, Status};
//!
//! let mut wire = BytesMut::new();
//! put_message(&mut wire, PacketType::SqlBatch, Status::default(), b"text", 4096);
//! let mut assembler = Assembler::new(1024);
//! let message = assembler.next(&mut wire).unwrap().expect("a complete message");
//! assert_eq!((message.kind, &message.payload[..]), (PacketType::SqlBatch, &b"text"[..]));
//! ```
#![forbid(unsafe_code)]
#![warn(clippy::unwrap_used)]

mod login;
pub mod numbers;
mod packet;
mod prelogin;
mod request;
mod text;
mod token;
mod value;

pub use login::{Login, LoginError};
pub use packet::{
    put_message, Assembler, Message, PacketType, Status, HEADER_BYTES, INITIAL_PACKET_BYTES,
    NEGOTIABLE_PACKET_BYTES,
};
pub use prelogin::{Encryption, Prelogin};
pub use request::{
    parse_batch, parse_rpc, put_all_headers, Parameter, Procedure, Rpc, SP_EXECUTESQL, STATEMENT_PARAMETER,
};
pub use text::put as put_text;
pub use token::{
    put_collation, put_columns, put_done, put_environment, put_error, put_info, put_login_ack, put_order,
    put_return_status, put_row, put_row_with_nulls, Column, Done, DoneKind, Environment, LoginAck, Notice,
    Token, Tokens,
};
pub use value::{put_plp, DataType, Value, MAX_CHUNK_BYTES};

/// Protocol versions as LOGIN7 and LOGINACK encode them (2.2.6.4, 2.2.7.14).
pub mod version {
    /// TDS 7.2, the oldest version with the token formats of this crate.
    pub const V7_2: u32 = 0x7209_0002;
    /// TDS 7.4, the newest supported version.
    pub const V7_4: u32 = 0x7400_0004;
}

/// Reports that received bytes are not valid TDS.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// A message is longer than the caller's limit.
    #[error("a message is longer than is taken here")]
    TooLong,
    /// A packet header is invalid: unknown type, impossible length, or a type other than that of the
    /// message's first packet.
    #[error("a packet's header makes no sense")]
    Header,
    /// The named message or field is malformed.
    #[error("a message is malformed: {0}")]
    Malformed(&'static str),
    /// A token has an unknown type. Its length is unknown too, so the tokens after it cannot be parsed.
    #[error("unknown token {0:#04x}")]
    UnknownToken(u8),
}
