//! Fault injection for tests: a library that is loaded before the C library (`LD_PRELOAD`) and makes system
//! calls of a process fail in ways that Linux documents: errors, interrupted waits, short transfers, steps of
//! the wall clock, and threads that are delayed after a call.
//!
//! The environment variable [`VARIABLE`] sets which calls are affected, on which kind of descriptor and how
//! often, with a seed, so that a run can be repeated. The proxy does not depend on this crate, and no other
//! crate contains `unsafe` code.

mod calls;
mod descriptors;
mod plan;

pub use plan::{Plan, PlanError, CONSOLE, DISCOVERY, VARIABLE};
