//! The command line: arguments, sub-commands and exit status.

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

/// Exit status of `fleet status` if the proxy is not a member that may act.
const EXIT_CANNOT_ACT: u8 = 2;

// The doc comments of the arguments and sub-commands are the text of `--help`.

/// A proxy that spreads reads over database replicas and lets each session see its own writes.
#[derive(Debug, Parser)]
#[command(name = "wheelpier", version, max_term_width = 100)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    /// Operator's file (YAML): further listeners, protocols of the ledger hosts, memory limits and peers.
    #[arg(long, env = "GW_OPERATOR", value_name = "FILE", global = true)]
    operator: Option<PathBuf>,
    /// Format of the log, which is written to standard error.
    #[arg(long, env = "GW_LOG", value_enum, default_value = "text", global = true)]
    log: LogFormat,
    /// Logs each event that the router handles and each action that it returns, one per line.
    #[arg(long, env = "GW_TRACE", global = true)]
    trace: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Subcommand)]
enum Command {
    /// Serves clients until SIGTERM. This is the default command. Exit status 1 if the configuration is
    /// invalid.
    Serve,
    /// Checks the configuration and prints a summary. Exit status 0 if it is valid, else 1.
    Check,
    /// Queries a proxy about its fleet.
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Error with which the program ends.
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

/// Runs the program with these arguments. The first one is the program's name.
pub fn main_with(arguments: impl Iterator<Item = std::ffi::OsString>) -> ExitCode {
    let arguments = Arguments::parse_from(arguments);
    let mut log = match start_log(arguments.log, arguments.trace) {
        Ok(log) => log,
        Err(error) => {
            eprintln!("wheelpier: cannot start the log: {error}");
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
    let unpark_monitor = Arc::clone(&monitor);
    Builder::new_current_thread()
        .on_thread_park(move || monitor.before_wait())
        .on_thread_unpark(move || unpark_monitor.after_wait())
        .enable_all()
        .build()
}
