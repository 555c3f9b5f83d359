//! The command line: sub-commands, and the exit status.

mod check;
mod event_loop;
pub mod fleet;
mod log_writer;
mod serve;

use crate::config::{Config, ConfigError, OperatorError, OperatorSettings};
use clap::{Parser, Subcommand, ValueEnum};
use event_loop::EventLoopMonitor;
use fleet::FleetCommand;
use log_writer::LogWriter;
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use thiserror::Error;
use tokio::runtime::{Builder, Runtime};
use tracing_subscriber::filter::LevelFilter;

/// Exit status of `fleet status` if the proxy is no member that may act.
const EXIT_CANNOT_ACT: u8 = 2;

// The doc comments of the arguments and sub-commands are the program's help.

/// A proxy that spreads reads over database replicas and lets each session see its own writes.
#[derive(Debug, Parser)]
#[command(name = "wheelpier", version, max_term_width = 100)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    /// The operator's own file (YAML): further listeners, and what ledger hosts speak.
    #[arg(long, env = "GW_OPERATOR", value_name = "FILE", global = true)]
    operator: Option<PathBuf>,
    /// The form of the log, which goes to standard error.
    #[arg(long, env = "GW_LOG", value_enum, default_value = "text", global = true)]
    log: LogFormat,
    /// Logs each event that the decisions are told and each action they answer with, a line each.
    #[arg(long, env = "GW_TRACE", global = true)]
    trace: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Subcommand)]
enum Command {
    /// Serves until SIGTERM, as without a word. Exit status 1 when the configuration is at fault.
    Serve,
    /// Reads the configuration and says what it comes to. Exit status 0 if the proxy would start, else 1.
    Check,
    /// Asks a proxy for its fleet.
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum LogFormat {
    /// Lines for people.
    Text,
    /// A JSON object a line.
    Json,
}

/// Why the program ends with an error.
#[derive(Debug, Error)]
pub enum RunError {
    /// The platform's configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator's file is invalid.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// A socket or a signal handler is not available.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Runs the program with the arguments of the process.
pub fn main() -> ExitCode {
    main_with(std::env::args_os())
}

/// Runs the program with these arguments, of which the first is its name.
pub fn main_with(arguments: impl Iterator<Item = std::ffi::OsString>) -> ExitCode {
    let arguments = Arguments::parse_from(arguments);
    let mut log = match start_log(arguments.log, arguments.trace) {
        Ok(log) => log,
        Err(error) => {
            eprintln!("wheelpier: the log cannot be started: {error}");
            return ExitCode::FAILURE;
        }
    };
    let code = run(&arguments).unwrap_or_else(|error| {
        let _ = log.write_all(format!("wheelpier: {error}\n").as_bytes());
        ExitCode::FAILURE
    });
    log.flush_at_exit();
    code
}

fn start_log(format: LogFormat, trace: bool) -> io::Result<LogWriter> {
    let writer = LogWriter::start()?;
    let lines = tracing_subscriber::fmt()
        .with_writer(writer.clone())
        .with_ansi(false)
        .with_target(false)
        .with_max_level(if trace { LevelFilter::TRACE } else { LevelFilter::INFO });
    match format {
        LogFormat::Text => lines.init(),
        LogFormat::Json => lines.json().init(),
    }
    Ok(writer)
}

fn run(arguments: &Arguments) -> Result<ExitCode, RunError> {
    if let Some(Command::Fleet { command: FleetCommand::Status(status) }) = arguments.command {
        let can_act = runtime()?.block_on(fleet::status(status))?;
        return Ok(if can_act { ExitCode::SUCCESS } else { ExitCode::from(EXIT_CANNOT_ACT) });
    }
    let operator =
        arguments.operator.as_deref().map(OperatorSettings::from_file).transpose()?.unwrap_or_default();
    let config = Config::from_env(operator)?;
    match arguments.command.unwrap_or(Command::Serve) {
        Command::Check => check::print(&config),
        Command::Serve | Command::Fleet { .. } => runtime()?.block_on(serve::serve(config))?,
    }
    Ok(ExitCode::SUCCESS)
}

fn runtime() -> io::Result<Runtime> {
    let monitor = Arc::new(EventLoopMonitor::new());
    let woken = Arc::clone(&monitor);
    Builder::new_current_thread()
        .on_thread_park(move || monitor.before_wait())
        .on_thread_unpark(move || woken.after_wait())
        .enable_all()
        .build()
}
