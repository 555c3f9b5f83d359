//! The content of one datagram or stream between processes.
//!
//! The encoding is positional: the order of variants and fields is part of the protocol.

use crate::membership::member::MemberMessage;
use crate::membership::view::{Identity, Name};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a frame carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A message between members.
    Member(MemberMessage),
    /// Asks a process that is not known to prove that it is alive now.
    Challenge {
        /// A number that nobody could foresee.
        nonce: u64,
    },
    /// Answers a challenge.
    ChallengeResponse {
        /// The number from the challenge.
        nonce: u64,
    },
    /// Asks for the address of a member.
    AddressQuery(Name),
    /// Answers an address query.
    AddressAnswer(Name, SocketAddr),
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    pub from: Identity,
    /// The receiver: this incarnation alone, or any of the name if its number is 0.
    pub to: Identity,
    /// The number that the sending process drew at its start.
    pub incarnation_nonce: u64,
    /// The number of this frame among all that the process has sent.
    pub sequence: u64,
    /// The message.
    pub message: Message,
}
