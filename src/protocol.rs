//! The protocols that are spoken, with clients and with ledger hosts.

use serde::Deserialize;
use std::fmt;

/// A protocol.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// PostgreSQL's, version 3.
    #[default]
    Postgres,
    /// TDS, versions 7.2 to 7.4.
    Tds,
}

impl Protocol {
    /// The longest statement that is taken from a client, in bytes as they come.
    pub fn longest_statement(self) -> usize {
        match self {
            Self::Postgres => wheelpier_pgwire::MOST_STATEMENT,
            // The same text takes two bytes a letter; headers and the call's frame take some more.
            Self::Tds => 2 * wheelpier_pgwire::MOST_STATEMENT + 1024,
        }
    }
}

impl fmt::Display for Protocol {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Postgres => "postgres",
            Self::Tds => "tds",
        })
    }
}
