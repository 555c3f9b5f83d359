//! The content of one datagram or stream between processes.
//!
//! The encoding is positional: the order of variants and fields is part of the protocol.

use crate::membership::member::MemberMessage;
use crate::membership::view::{Identity, Name};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The payload of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A message between members.
    Member(MemberMessage),
    /// Requests proof that the receiver, an unknown process, is alive now.
    Challenge {
        /// An unpredictable number.
        nonce: u64,
    },
    /// Answers a challenge.
    ChallengeResponse {
        /// The nonce of the challenge.
        nonce: u64,
    },
    /// Requests the address of a member.
    AddressQuery(Name),
    /// Answers an address query.
    AddressAnswer(Name, SocketAddr),
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    pub from: Identity,
    /// The receiver: only this incarnation, or any incarnation of the name if the number is 0.
    pub to: Identity,
    /// The random number that the sending process drew at its start.
    pub incarnation_nonce: u64,
    /// The sequence number of this frame among all frames that the process has sent.
    pub sequence: u64,
    /// The message.
    pub message: Message,
}
