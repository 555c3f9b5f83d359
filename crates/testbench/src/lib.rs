//! `wheelpier-testbench`: load, experiments and demonstrations with the proxy and the emulated database of
//! this repository. Everything runs on loopback.
#![forbid(unsafe_code)]

mod demo;
pub mod fault_script;
pub mod fleet;
pub mod history;
pub mod load;
pub mod members;
mod membership;
mod parity;
pub mod processes;
pub mod rig;
mod scale;
mod soak;
mod starve;
mod table;

use clap::{Parser, Subcommand};
use std::process::ExitCode;
use tracing_subscriber::filter::LevelFilter;

/// Load, experiments and demonstrations with wheelpier and its emulated database.
#[derive(Debug, Parser)]
#[command(name = "wheelpier-testbench", version, max_term_width = 100)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Starts emulated hosts, discovery and a proxy with a port for each protocol, under light load.
    Demo(demo::Demo),
    /// Compares PostgreSQL and TDS under the same requests and faults. Exits with status 0 if the results
    /// agree.
    Parity(parity::Parity),
    /// Adds a crowd of slow clients to the usual load. Exits with status 0 if sale-writes are served as well
    /// as before.
    Starve(starve::Starve),
    /// Measures fleet membership in virtual time: traffic and delays by the number of members. Exits with
    /// status 0 if the goals are met.
    Scale(scale::Scale),
    /// Runs a fleet of real processes under load and under each fault script. Exits with status 0 if the
    /// goals are met.
    Membership(membership::Membership),
    /// Runs random deployments on real processes under random faults, operator calls and signals. Exits with
    /// status 0 if no rule is broken.
    Soak(soak::SoakArguments),
    /// Runs the proxy itself, for experiments with several processes. The arguments are those of the proxy.
    #[command(hide = true, disable_help_flag = true)]
    Proxy {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<std::ffi::OsString>,
    },
}

/// The reason why an experiment failed.
#[derive(Debug, thiserror::Error)]
pub enum TestbenchError {
    /// A socket or file operation failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The proxy rejected its configuration.
    #[error("{0}")]
    Config(#[from] wheelpier::config::ConfigError),
    /// The proxy rejected its operator's file.
    #[error("{0}")]
    Operator(#[from] wheelpier::config::OperatorError),
    /// A fault script is invalid, or a file that the experiment needs is missing.
    #[error("{0}")]
    Script(String),
    /// A thread, task or process ended unexpectedly, or lacks something that it should provide.
    #[error("a part of the experiment ended unexpectedly")]
    Ended,
}

/// Runs the sub-command that the command line names. Returns the exit status of the program.
pub fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) if error.use_stderr() => {
            // Only the first line: the error and the allowed values.
            eprintln!("{}", error.to_string().lines().next().unwrap_or_default());
            return ExitCode::from(2);
        }
        Err(help) => help.exit(),
    };
    if let Command::Proxy { arguments } = arguments.command {
        return wheelpier::cli::main_with(std::iter::once("wheelpier".into()).chain(arguments));
    }
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_max_level(LevelFilter::ERROR).init();
    let outcome = match arguments.command {
        Command::Demo(demo) => demo.run().map(|()| true),
        Command::Parity(parity) => parity.run(),
        Command::Starve(starve) => starve.run(),
        Command::Scale(scale) => scale.run(),
        Command::Membership(membership) => membership.run(),
        Command::Soak(soak) => soak.run(),
        Command::Proxy { .. } => Ok(true),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("wheelpier-testbench: {error}");
            ExitCode::from(2)
        }
    }
}

/// Returns a single-threaded runtime, as the proxy uses.
pub fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

/// Parses a duration such as `20s`, `4h` or `150ms`.
fn parse_duration(text: &str) -> Result<std::time::Duration, String> {
    let wrong =
        || format!("`{text}` is not a duration; expected a number with unit ms, s, m or h, as in 20s");
    let units = [("ms", 0.001), ("s", 1.0), ("m", 60.0), ("h", 3_600.0)];
    let suffix = units.iter().find_map(|(unit, seconds)| Some((text.strip_suffix(unit)?, seconds)));
    let (number, seconds) = suffix.ok_or_else(wrong)?;
    let number: f64 = number.parse().map_err(|_| wrong())?;
    std::time::Duration::try_from_secs_f64(number * seconds).map_err(|_| wrong())
}
