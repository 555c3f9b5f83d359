//! Protocols that the proxy speaks with clients and hosts.

use serde::Deserialize;
use std::fmt;

/// A protocol between the proxy and its clients or hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// PostgreSQL's frontend/backend protocol, version 3.
    #[default]
    Postgres,
    /// TDS, versions 7.2 to 7.4.
    Tds,
}

/// Bytes that headers and the framing of the procedure call add to a statement in TDS.
const TDS_STATEMENT_OVERHEAD_BYTES: usize = 1024;

impl Protocol {
    /// Returns the largest size of a statement that is accepted from a client, in bytes of this protocol's
    /// encoding.
    pub fn max_statement_bytes(self) -> usize {
        match self {
            Self::Postgres => wheelpier_pgwire::MAX_STATEMENT_BYTES,
            // TDS encodes text as UTF-16.
            Self::Tds => 2 * wheelpier_pgwire::MAX_STATEMENT_BYTES + TDS_STATEMENT_OVERHEAD_BYTES,
        }
    }
}

impl fmt::Display for Protocol {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Postgres => "postgres",
            Self::Tds => "tds",
        })
    }
}
