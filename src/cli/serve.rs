//! `wheelpier serve`: runs the proxy until SIGTERM.

use crate::config::Config;
use crate::net::{Control, Proxy};
use std::io;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;

/// Number of signals that can be queued.
const MAX_QUEUED_SIGNALS: usize = 4;

/// Serves clients until the proxy has drained.
///
/// # Errors
/// Returns an error if a signal handler or a socket is not available.
pub(super) async fn serve(config: Config) -> io::Result<()> {
    // Handlers are installed first: a signal without a handler would end the process.
    let control = handle_signals()?;
    let name = config.name.clone();
    let proxy = Proxy::bind(config).await?;
    for (protocol, address) in proxy.client_addresses()? {
        tracing::info!(name, %address, %protocol, "listener for clients bound");
    }
    if let Some(address) = proxy.console_address()? {
        tracing::info!(name, %address, "console listener bound");
    }
    proxy.serve(control).await
}

/// Installs signal handlers. Returns the receiver of the commands that the signals stand for.
fn handle_signals() -> io::Result<mpsc::Receiver<Control>> {
    let (sender, control) = mpsc::channel(MAX_QUEUED_SIGNALS);
    let commands = [
        (SignalKind::hangup(), Control::ReloadConfiguration),
        (SignalKind::user_defined1(), Control::LogCounters),
        (SignalKind::terminate(), Control::Drain),
    ];
    for (kind, command) in commands {
        let mut signal = signal(kind)?;
        let sender = sender.clone();
        tokio::spawn(
            async move { while signal.recv().await.is_some() && sender.send(command).await.is_ok() {} },
        );
    }
    Ok(control)
}
