//! `wheelpier-testbench`: load, experiments and demonstrations on the stand-ins of this repository. All on loopback.
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

/// Load, experiments and demonstrations on wheelpier's stand-ins.
#[derive(Debug, Parser)]
#[command(name = "wheelpier-testbench", version, max_term_width = 100)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Starts ledger sets, discovery and a proxy with a port for each protocol, under a trickle of load.
    Demo(demo::Demo),
    /// The same arrivals and faults over PostgreSQL and over TDS. Exit status 0 if they fare alike.
    Parity(parity::Parity),
    /// A crowd of slow clients beside the usual load. Exit status 0 if the sale-writes do not notice.
    Starve(starve::Starve),
    /// A fleet's membership in virtual time: traffic and times by the number of members. Exit status 0 within the goals.
    Scale(scale::Scale),
    /// A fleet of real processes under load and under each fault script. Exit status 0 within the goals.
    Membership(membership::Membership),
    /// Drawn deployments on real processes under drawn faults, orders and signals. Exit status 0 if no rule is broken.
    Soak(soak::SoakArguments),
    /// The program itself, for experiments with several processes of it; what follows are its own arguments.
    #[command(hide = true, disable_help_flag = true)]
    Proxy {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<std::ffi::OsString>,
    },
}

/// Why an experiment could not be made.
#[derive(Debug, thiserror::Error)]
pub enum TestbenchError {
    /// A socket or a file could not be had.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The proxy does not take its configuration.
    #[error("{0}")]
    Config(#[from] wheelpier::config::ConfigError),
    /// Nor its operator's file.
    #[error("{0}")]
    Operator(#[from] wheelpier::config::OperatorError),
    /// A fault script is none.
    #[error("{0}")]
    Script(String),
    /// A thread has ended before its time.
    #[error("a part of the experiment has ended before its time")]
    Ended,
}

/// Runs what the command line asks for.
pub fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(problem) if problem.use_stderr() => {
            // One line: what is wrong, and what is allowed.
            eprintln!("{}", problem.to_string().lines().next().unwrap_or_default());
            return ExitCode::from(2);
        }
        Err(help) => help.exit(),
    };
    if let Command::Proxy { arguments } = arguments.command {
        return wheelpier::cli::main_with(std::iter::once("wheelpier".into()).chain(arguments));
    }
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_max_level(LevelFilter::ERROR).init();
    let done = match arguments.command {
        Command::Demo(demo) => demo.run().map(|()| true),
        Command::Parity(parity) => parity.run(),
        Command::Starve(starve) => starve.run(),
        Command::Scale(scale) => scale.run(),
        Command::Membership(membership) => membership.run(),
        Command::Soak(soak) => soak.run(),
        Command::Proxy { .. } => Ok(true),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(problem) => {
            eprintln!("wheelpier-testbench: {problem}");
            ExitCode::from(2)
        }
    }
}

/// A runtime of one thread, as the proxy has it.
pub fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

/// A span as `20s`, `4h` or `150ms`.
fn span(text: &str) -> Result<std::time::Duration, String> {
    let wrong = || format!("`{text}` is no span; allowed are numbers with ms, s, m or h, as 20s");
    let units = [("ms", 0.001), ("s", 1.0), ("m", 60.0), ("h", 3_600.0)];
    let found = units.iter().find_map(|(unit, seconds)| Some((text.strip_suffix(unit)?, seconds)));
    let (number, seconds) = found.ok_or_else(wrong)?;
    let number: f64 = number.parse().map_err(|_| wrong())?;
    std::time::Duration::try_from_secs_f64(number * seconds).map_err(|_| wrong())
}
