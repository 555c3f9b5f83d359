//! TDS as bytes, both sides of it, without sockets: what a message holds, and how it is written.
//!
//! Sections named are those of the open specification MS-TDS. Spoken are the versions 7.2 to 7.4, which share
//! their token formats. Nothing here allocates by a length that the peer claims: what is kept is bounded by
//! what has come, and that by the limits that the caller gives.
//!
//! ```
//! use bytes::BytesMut;
//! use wheelpier_tds::{put_message, Assembler, PacketType, Status};
//!
//! let mut wire = BytesMut::new();
//! put_message(&mut wire, PacketType::SqlBatch, Status::default(), b"text", 4096);
//! let mut assembler = Assembler::new(1024);
//! let message = assembler.next(&mut wire).unwrap().expect("it is whole");
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
pub use packet::{put_message, Assembler, Message, PacketType, Status, HEADER, PACKET_SIZE, PACKET_SIZES};
pub use prelogin::{Encryption, Prelogin};
pub use request::{
    batch, put_all_headers, rpc, Parameter, Procedure, Rpc, SP_EXECUTESQL, STATEMENT_PARAMETER,
};
pub use text::put as put_text;
pub use token::{
    put_collation, put_columns, put_done, put_environment, put_error, put_info, put_login_ack, put_order,
    put_return_status, put_row, put_row_with_nulls, Column, Done, DoneKind, Environment, LoginAck, Notice,
    Token, Tokens,
};
pub use value::{put_plp, DataType, Value, CHUNK};

/// Versions of the protocol as LOGIN7 and LOGINACK write them (2.2.6.4, 2.2.7.14).
pub mod version {
    /// TDS 7.2, the oldest whose tokens look as they do here.
    pub const V7_2: u32 = 0x7209_0002;
    /// TDS 7.4, the newest that is spoken.
    pub const V7_4: u32 = 0x7400_0004;
}

/// What is wrong with bytes that claim to be TDS.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// A message is longer than the caller takes.
    #[error("a message is longer than is taken here")]
    TooLong,
    /// A packet's header is none: an unknown type, a length that cannot be, a type that changes within.
    #[error("a packet's header makes no sense")]
    Header,
    /// A message's fields make no sense.
    #[error("a message is malformed: {0}")]
    Malformed(&'static str),
    /// A token of a type that is not known, so that its length is not either.
    #[error("unknown token {0:#04x}")]
    UnknownToken(u8),
}
