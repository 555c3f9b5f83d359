//! Writes a router's actions as messages to the simulator.

use super::instance::Instance;
use std::fmt::Write;
use wheelpier_decisions::Action;

/// Number of microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Appends the message of an action to the reply, and updates the instance's requests.
pub fn write(reply: &mut String, router: &str, instance: &mut Instance, action: Action) {
    // Writing to a string cannot fail.
    let _ = write_message(reply, router, instance, &action);
    match action {
        Action::Forward { id, .. } => instance.attempt_sent(id),
        Action::Reject { id, .. } | Action::Fail { id } => {
            instance.request_finished(id);
            instance.forget_if_done(id);
        }
        _ => {}
    }
}

fn write_message(reply: &mut String, router: &str, instance: &Instance, action: &Action) -> std::fmt::Result {
    match action {
        Action::Forward { id, host, timeout, .. } => {
            let (name, host) = (instance.request_name(*id), instance.host_name(*host));
            let timeout = timeout.map_or("0".to_owned(), |timeout| seconds(timeout.0).to_string());
            writeln!(reply, "attempt\t{router}\t{name}\t{host}\t{timeout}")
        }
        Action::Reject { id, retry_after } => {
            let wait = retry_after.map_or(0.0, |wait| seconds(wait.0));
            writeln!(reply, "say_no\t{router}\t{}\t{wait}", instance.request_name(*id))
        }
        Action::Fail { id } => writeln!(reply, "fail\t{router}\t{}", instance.request_name(*id)),
        Action::CancelAttempt { id, attempt } => {
            writeln!(reply, "drop_attempt\t{router}\t{}\t{attempt}", instance.request_name(*id))
        }
        // The protocol has no such messages: in the simulator an attempt reaches its host at once, and each
        // proxy is one process.
        Action::WithdrawAttempt { .. } | Action::ShareWrite(_) => Ok(()),
        Action::HealthCheck { host } => writeln!(reply, "check\t{router}\t{}", instance.host_name(*host)),
        Action::CloseIdleConnections { host } => {
            writeln!(reply, "let_go\t{router}\t{}", instance.host_name(*host))
        }
        Action::SetTimer { at, token } => writeln!(reply, "wake_at\t{router}\t{}\t{token}", seconds(at.0)),
        Action::WatchEndpoints(on) => writeln!(reply, "listen\t{router}\t{}", u8::from(*on)),
        Action::FetchEndpoints => writeln!(reply, "query_all\t{router}"),
        Action::Log(line) => writeln!(reply, "print\t{router}\t{line}"),
    }
}

fn seconds(micros: i64) -> f64 {
    micros as f64 / MICROS_PER_SECOND
}
