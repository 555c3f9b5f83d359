//! Draining of client connections when the proxy shuts down or is quiesced.
//!
//! | file | contents |
//! | --- | --- |
//! | `shutdown.rs` | the schedule of a graceful shutdown, from SIGTERM to the expected SIGKILL |
//! | `connection.rs` | the effect of drains on one client connection |

pub mod connection;
mod shutdown;

pub use shutdown::ShutdownSchedule;
