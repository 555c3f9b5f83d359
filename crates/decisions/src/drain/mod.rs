//! Draining: when a proxy that is to end, or that is taken out of rotation, does what.
//!
//! | file | decides |
//! | --- | --- |
//! | `shutdown.rs` | the schedule of a graceful shutdown, from SIGTERM to the expected SIGKILL |
//! | `connection.rs` | what a drain lets one client connection do, and until when |

pub mod connection;
mod shutdown;

pub use shutdown::ShutdownSchedule;
