//! The command line: what a person types, and what the exit status says.

pub mod fleet;

use crate::budget::PURPOSES;
use crate::config::{ClassName, Config, ConfigError, Names, Operator, OperatorError, Peers};
use crate::membership::MAX_VOTERS;
use crate::net::{self, Control};
use bytesize::ByteSize;
use clap::{Parser, Subcommand, ValueEnum};
use fleet::FleetCommand;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tracing_subscriber::filter::LevelFilter;

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
    log: LogForm,
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
        asked: FleetCommand,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum LogForm {
    /// Lines for people.
    Text,
    /// A JSON object a line.
    Json,
}

/// Why the program ends other than well.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The configuration is at fault.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator's file is at fault.
    #[error(transparent)]
    Operator(#[from] OperatorError),
    /// A socket or a signal could not be had.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Runs the program as its arguments and its environment say.
pub fn main() -> ExitCode {
    main_with(std::env::args_os())
}

/// Runs the program as these arguments, of which the first is its name, and its environment say.
pub fn main_with(arguments: impl Iterator<Item = std::ffi::OsString>) -> ExitCode {
    let arguments = Arguments::parse_from(arguments);
    log(arguments.log, arguments.trace);
    match run(&arguments) {
        Ok(code) => code,
        Err(problem) => {
            eprintln!("wheelpier: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn log(form: LogForm, trace: bool) {
    let lines = tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_max_level(if trace { LevelFilter::TRACE } else { LevelFilter::INFO });
    match form {
        LogForm::Text => lines.init(),
        LogForm::Json => lines.json().init(),
    }
}

fn run(arguments: &Arguments) -> Result<ExitCode, RunError> {
    let runtime = || tokio::runtime::Builder::new_current_thread().enable_all().build();
    if let Some(Command::Fleet { asked: FleetCommand::Status(asked) }) = arguments.command {
        let acts = runtime()?.block_on(fleet::status(asked))?;
        return Ok(if acts { ExitCode::SUCCESS } else { ExitCode::from(2) });
    }
    let operator = arguments.operator.as_deref().map(Operator::from_file).transpose()?.unwrap_or_default();
    let config = Config::from_env(operator)?;
    match arguments.command.unwrap_or(Command::Serve) {
        Command::Check => check(&config),
        Command::Serve | Command::Fleet { .. } => runtime()?.block_on(serve(config))?,
    }
    Ok(ExitCode::SUCCESS)
}

async fn serve(config: Config) -> io::Result<()> {
    // Before all else: without a handler the signals would end the program.
    let control = signals()?;
    let (name, proxy) = (config.name.clone(), net::Proxy::bind(config).await?);
    for (protocol, address) in proxy.addresses()? {
        tracing::info!("{name} listens on {address} ({protocol})");
    }
    if let Some(address) = proxy.console()? {
        tracing::info!("{name}'s console listens on {address}");
    }
    proxy.serve(control).await
}

/// The signals as what they mean.
fn signals() -> io::Result<mpsc::Receiver<Control>> {
    let (sender, control) = mpsc::channel(4);
    let meanings = [
        (SignalKind::hangup(), Control::ReloadConfiguration),
        (SignalKind::user_defined1(), Control::LogCounters),
        (SignalKind::terminate(), Control::Drain),
    ];
    for (kind, meaning) in meanings {
        let (mut signal, sender) = (signal(kind)?, sender.clone());
        tokio::spawn(
            async move { while signal.recv().await.is_some() && sender.send(meaning).await.is_ok() {} },
        );
    }
    Ok(control)
}

fn check(config: &Config) {
    println!("name         {}", config.name);
    for (protocol, address) in config.listeners() {
        println!("listener     {address} ({protocol})");
    }
    println!("discovery    {}", config.discovery);
    match config.console {
        Some(address) => println!("console      {address}"),
        None => println!("console      none"),
    }
    println!("connections  {} of clients, {} to ledger hosts", config.limits.clients, config.limits.upstream);
    println!(
        "requests     {} held at most, {} attempts each",
        config.max_pending_requests, config.max_attempts
    );
    println!("memory       {} accounted for", ByteSize(config.plan.total));
    println!("  {:<18}{:>12}{:>12}", "purpose", "cap", "reserve");
    for (purpose, terms) in PURPOSES.iter().zip(&config.plan.limits) {
        let (cap, reserve) = (ByteSize(terms.cap).to_string(), ByteSize(terms.reserve).to_string());
        println!("  {:<18}{cap:>12}{reserve:>12}", purpose.to_string());
    }
    for class in &config.names.classes {
        let keyed = if class.needs_key { ", keyed" } else { "" };
        println!("class        {}: {}{keyed}", class.name, if class.is_write { "writes" } else { "reads" });
    }
    config.operator.peers.iter().flat_map(peers).for_each(|line| println!("{line}"));
    accepts(&config.names).iter().for_each(|line| println!("{line}"));
}

/// What the fleet is and what it can lose.
fn peers(peers: &Peers) -> Vec<String> {
    let founders = peers.founders.len();
    let keys = if peers.second_key.is_some() { "two keys, of which the first seals" } else { "one key" };
    let names: Vec<&str> = peers.founders.keys().map(AsRef::as_ref).collect();
    let voters = founders.min(MAX_VOTERS);
    let loses = match voters {
        1 => "one founder: votes alone until others join".to_owned(),
        2 => "two voters lose none: when either is lost the other is fenced until it is back, since neither can tell \
              whether it is the other that died or the link; a third proxy mends that, a leave at SIGTERM always works"
            .to_owned(),
        _ => format!("{voters} voters lose {} at once, and as many again after each new view", (voters - 1) / 2),
    };
    vec![
        format!("fleet        {} on {}, {keys}", peers.fleet, peers.listen),
        format!("founders     {}, all of them together", names.join(", ")),
        format!("  {loses}"),
    ]
}

/// What a statement's comment has to say here, by class: whatever lacks it is turned away.
fn accepts(names: &Names) -> Vec<String> {
    let named: Vec<&str> = names.tenants.iter().map(|tenant| tenant.name.as_str()).collect();
    let tenants = match named[..] {
        [] => "none: comments need no `t`".to_owned(),
        _ => format!("{}; each comment needs its `t`", named.join(", ")),
    };
    let comment = |class: &ClassName| {
        let tenant = if names.has_tenants() { ",t=TENANT" } else { "" };
        let key = if class.needs_key { ",k=KEY" } else { "" };
        format!("accepts      /* id=ID,c={}{tenant},d=MS{key},cluster=GROUP */", class.name)
    };
    std::iter::once(format!("tenants      {tenants}")).chain(names.classes.iter().map(comment)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::TenantName;

    fn names(tenants: &[&str]) -> Names {
        let class =
            |name: &str, keyed| ClassName { name: name.to_owned(), needs_key: keyed, ..ClassName::default() };
        let tenants =
            tenants.iter().map(|name| TenantName { name: (*name).to_owned(), is_configured: true }).collect();
        Names { classes: vec![class("look", false), class("pay", true)], tenants, zones: Vec::new() }
    }

    #[test]
    fn check_says_what_a_comment_needs_here() {
        let told = accepts(&names(&[]));
        assert_eq!(told[0], "tenants      none: comments need no `t`");
        assert_eq!(told[1], "accepts      /* id=ID,c=look,d=MS,cluster=GROUP */");
        assert_eq!(told[2], "accepts      /* id=ID,c=pay,d=MS,k=KEY,cluster=GROUP */");
        let told = accepts(&names(&["a", "b"]));
        assert_eq!(told[0], "tenants      a, b; each comment needs its `t`");
        assert_eq!(told[2], "accepts      /* id=ID,c=pay,t=TENANT,d=MS,k=KEY,cluster=GROUP */");
    }
}
