//! Errors of the connection to discovery.

use crate::net::json_stream::JsonStreamError;
use std::io;

/// An error of a call to discovery or of a watch.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DiscoveryError {
    /// The connection could not be established.
    #[error("cannot connect to discovery: {0}")]
    Connect(#[from] io::Error),
    /// The connection failed, or discovery broke the protocol.
    #[error("HTTP exchange with discovery failed: {0}")]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error("request to discovery could not be built: {0}")]
    Request(#[from] hyper::http::Error),
    /// Discovery rejected the call.
    #[error("discovery answered with status {0}")]
    Status(hyper::StatusCode),
    /// Discovery sent data that is not a stream of JSON objects.
    #[error("watch of discovery is not a stream of JSON objects: {0}")]
    Stream(#[from] JsonStreamError),
    /// Discovery sent an object that is not an endpoint list.
    #[error("discovery sent an object that is not an endpoint list: {0}")]
    List(#[from] serde_json::Error),
    /// Discovery sent nothing within the silence timeout, or did not answer a call in time.
    #[error("discovery is silent")]
    Silent,
    /// Discovery ended the watch.
    #[error("discovery has ended the watch")]
    Ended,
}
