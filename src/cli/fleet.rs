//! `wheelpier fleet status`: gets the status of a fleet from the console of one of its proxies and prints it.

use crate::membership::membership_log::{ChangeStatus, MemberStatus, VoterLinks};
use crate::membership::{Cause, FleetStatus, Suspicion};
use bytes::Bytes;
use clap::{Args, Subcommand};
use http_body_util::{BodyExt, Empty};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time within which a console must answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two requests if `--watch` is given.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of changes that are printed.
const MAX_CHANGES_PRINTED: usize = 10;

/// Commands about a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Subcommand)]
pub(super) enum FleetCommand {
    /// Prints the members of the fleet, broken links and recent changes, as one proxy sees them. Exit status
    /// 0 if that proxy is a member and holds its lease, 2 if not, 1 if it does not answer.
    Status(Status),
}

/// Options of `wheelpier fleet status`.
#[derive(Args, Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Status {
    /// Address of the proxy's console.
    #[arg(long, env = "GW_CONSOLE", value_name = "ADDRESS")]
    console: SocketAddr,
    /// Prints the console's answer unchanged, in JSON.
    #[arg(long)]
    json: bool,
    /// Prints the status every second until interrupted.
    #[arg(long)]
    watch: bool,
}

/// Prints the status of a fleet. Returns whether the proxy is a member that may act.
///
/// # Errors
/// Returns an error if the console does not answer, or its answer is not the status of a fleet.
pub(super) async fn status(options: Status) -> io::Result<bool> {
    loop {
        let text = get(options.console, "/admin/fleet").await?;
        let fleet: FleetStatus = serde_json::from_str(&text).map_err(io::Error::other)?;
        if options.json {
            println!("{}", text.trim_end());
        } else {
            println!("{}", format_status(&fleet));
        }
        if !options.watch {
            return Ok(fleet.member && !fleet.fenced);
        }
        sleep(WATCH_INTERVAL).await;
    }
}

/// Returns the body of a proxy console's answer to `GET` of a path.
///
/// # Errors
/// Returns an error if the console does not answer within two seconds, or answers with another status than
/// 200.
pub async fn get(console: SocketAddr, path: &str) -> io::Result<String> {
    let answer = timeout(REQUEST_TIMEOUT, request(console, path)).await;
    let answer = answer.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    answer.map_err(|error| io::Error::new(error.kind(), format!("the console at {console}: {error}")))
}

async fn request(console: SocketAddr, path: &str) -> io::Result<String> {
    let stream = TcpStream::connect(console).await?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(io::Error::other)?;
    tokio::spawn(connection);
    let request = Request::get(path).header("host", console.to_string()).body(Empty::<Bytes>::new());
    let request = request.map_err(io::Error::other)?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    let body = String::from_utf8_lossy(&body).into_owned();
    if status == StatusCode::OK {
        Ok(body)
    } else {
        Err(io::Error::other(format!("{status}: {}", body.trim())))
    }
}

/// Formats the status as text within 100 columns.
fn format_status(fleet: &FleetStatus) -> String {
    let mut page = String::new();
    let standing = match (fleet.member, fleet.fenced) {
        (true, false) => format!("a member, lease left {} ms", fleet.lease_left_ms),
        (true, true) => "a member without a lease: fenced".to_owned(),
        (false, _) => "not a member: fenced".to_owned(),
    };
    let _ =
        writeln!(page, "fleet {}, view {}, as {} knows it ({standing})", fleet.fleet, fleet.epoch, fleet.me);
    let _ = writeln!(page, "  {:<32} {:<6} {:<8} {:>10}  address", "member", "votes", "advice", "heard");
    fleet.members.iter().for_each(|row| write_member(&mut page, row));
    fleet
        .links
        .iter()
        .filter(|links| links.fenced || !links.unheard.is_empty())
        .for_each(|links| write_links(&mut page, links));
    if !fleet.changes.is_empty() {
        let _ = writeln!(page, "  last changes");
    }
    fleet.changes.iter().take(MAX_CHANGES_PRINTED).for_each(|change| write_change(&mut page, change));
    page
}

fn write_member(page: &mut String, row: &MemberStatus) {
    let votes = if row.votes { "yes" } else { "no" };
    let advice = match row.suspicion {
        Some(Suspicion::Alive) => "alive",
        Some(Suspicion::Suspect) => "suspect",
        Some(Suspicion::Gone) => "gone",
        Some(Suspicion::Left) => "left",
        None => "not met",
    };
    let heard = row.heard_ms_ago.map_or("-".to_owned(), |ms| format!("{ms} ms"));
    let address = row.address.as_deref().unwrap_or("-");
    let _ = writeln!(page, "  {:<32} {votes:<6} {advice:<8} {heard:>10}  {address}", row.member);
}

fn write_links(page: &mut String, links: &VoterLinks) {
    if links.fenced {
        let _ = writeln!(page, "  {} has no lease", links.voter);
    }
    if !links.unheard.is_empty() {
        let _ = writeln!(page, "  {} does not hear {}", links.voter, links.unheard.join(", "));
    }
}

fn write_change(page: &mut String, change: &ChangeStatus) {
    let cause = match change.cause {
        Cause::Founded => "founded the fleet",
        Cause::Joined => "joined",
        Cause::Left => "left",
        Cause::Gone => "evicted: answered no member",
        Cause::Replaced => "evicted: replaced by another process of its name",
        Cause::CutOff => "evicted: not heard by most voters, or could not renew its lease",
        Cause::LeaseHeld => "holds its lease",
        Cause::Fenced => "fenced: lost its lease, or was evicted",
        Cause::Stood => "was suspended and no longer trusts its state",
        Cause::Free => "has noticed its eviction: may be replaced",
    };
    let _ =
        writeln!(page, "    {:>8} ms ago  view {:<4} {} {cause}", change.ms_ago, change.epoch, change.member);
}

#[cfg(test)]
mod tests;
