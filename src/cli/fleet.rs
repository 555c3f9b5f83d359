//! `wheelpier fleet status`: the fleet as one of its proxies knows it, asked of that proxy's console.

use crate::membership::failure_detector::Suspicion;
use crate::membership::membership_log::{Cause, Changed, Fleet, Links, Row};
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

/// What is asked of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Subcommand)]
pub(super) enum FleetCommand {
    /// Who is in the fleet, who says so, and what changed lately. Exit status 0 if the proxy asked is a member and
    /// holds its lease, 2 if it does not, 1 if it does not answer.
    Status(Status),
}

#[derive(Args, Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Status {
    /// The console of the proxy that is asked.
    #[arg(long, env = "GW_CONSOLE", value_name = "ADDRESS")]
    console: SocketAddr,
    /// The answer as it came, in JSON.
    #[arg(long)]
    json: bool,
    /// Asks each second until it is stopped.
    #[arg(long)]
    watch: bool,
}

/// A console answers within a second.
const PATIENCE: Duration = Duration::from_secs(2);
const WATCHED: Duration = Duration::from_secs(1);

/// Prints what is asked; whether the proxy is a member that may act.
pub(super) async fn status(asked: Status) -> io::Result<bool> {
    loop {
        let text = get(asked.console, "/admin/fleet").await?;
        let fleet: Fleet = serde_json::from_str(&text).map_err(io::Error::other)?;
        if asked.json {
            println!("{}", text.trim_end());
        } else {
            println!("{}", page(&fleet));
        }
        if !asked.watch {
            return Ok(fleet.member && !fleet.fenced);
        }
        sleep(WATCHED).await;
    }
}

/// What a proxy's console answers to `GET` of a path.
///
/// # Errors
/// When it does not answer within two seconds, or with another status than 200.
pub async fn get(console: SocketAddr, path: &str) -> io::Result<String> {
    let whole = async {
        let stream = TcpStream::connect(console).await?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        tokio::spawn(connection);
        let request = Request::get(path).header("host", console.to_string()).body(Empty::<Bytes>::new());
        let answer =
            sender.send_request(request.map_err(io::Error::other)?).await.map_err(io::Error::other)?;
        let status = answer.status();
        let body = answer.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
        let body = String::from_utf8_lossy(&body).into_owned();
        if status == StatusCode::OK {
            Ok(body)
        } else {
            Err(io::Error::other(format!("{status}: {}", body.trim())))
        }
    };
    let answer = timeout(PATIENCE, whole).await;
    let answer = answer.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    answer.map_err(|e| io::Error::new(e.kind(), format!("the console at {console}: {e}")))
}

/// The fleet for people, within 100 columns.
fn page(fleet: &Fleet) -> String {
    let mut out = String::new();
    let standing = match (fleet.member, fleet.fenced) {
        (true, false) => format!("a member, lease left {} ms", fleet.lease_left_ms),
        (true, true) => "a member without a lease: fenced".to_owned(),
        (false, _) => "no member: fenced".to_owned(),
    };
    let _ =
        writeln!(out, "fleet {}, view {}, as {} knows it ({standing})", fleet.fleet, fleet.epoch, fleet.me);
    let _ = writeln!(out, "  {:<32} {:<6} {:<8} {:>10}  address", "member", "votes", "advice", "heard");
    fleet.members.iter().for_each(|row| member(&mut out, row));
    fleet
        .links
        .iter()
        .filter(|links| links.fenced || !links.deaf_to.is_empty())
        .for_each(|l| link(&mut out, l));
    if !fleet.changes.is_empty() {
        let _ = writeln!(out, "  last changes");
    }
    fleet.changes.iter().take(10).for_each(|change| changed(&mut out, change));
    out
}

fn member(out: &mut String, row: &Row) {
    let votes = if row.votes { "yes" } else { "no" };
    let advice = match row.advice {
        Some(Suspicion::Alive) => "alive",
        Some(Suspicion::Suspect) => "suspect",
        Some(Suspicion::Gone) => "gone",
        Some(Suspicion::Left) => "left",
        None => "not met",
    };
    let heard = row.heard_ms_ago.map_or("-".to_owned(), |ms| format!("{ms} ms"));
    let address = row.address.as_deref().unwrap_or("-");
    let _ = writeln!(out, "  {:<32} {votes:<6} {advice:<8} {heard:>10}  {address}", row.member);
}

fn link(out: &mut String, links: &Links) {
    if links.fenced {
        let _ = writeln!(out, "  {} has no lease", links.voter);
    }
    if !links.deaf_to.is_empty() {
        let _ = writeln!(out, "  {} does not hear {}", links.voter, links.deaf_to.join(", "));
    }
}

fn changed(out: &mut String, change: &Changed) {
    let cause = match change.cause {
        Cause::Founded => "founded the fleet",
        Cause::Joined => "joined",
        Cause::Left => "left",
        Cause::Gone => "out: answered nobody",
        Cause::Replaced => "out: another process of its name took its place",
        Cause::CutOff => "out: most voters did not hear it, or it could not renew its lease",
        Cause::LeaseHeld => "holds its lease",
        Cause::Fenced => "fenced: lost its lease, or is out",
        Cause::Stood => "stood still and distrusts what it knew",
        Cause::Free => "out, and knows it by now: may be replaced",
    };
    let _ = writeln!(out, "    {:>8} ms ago  view {:<4} {} {cause}", change.ms_ago, change.epoch, change.who);
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_page_says_who_is_in_which_links_are_broken_and_what_changed() {
        let row = |name: &str, advice| Row {
            member: name.to_owned(),
            votes: true,
            advice,
            heard_ms_ago: Some(12),
            address: Some("127.0.0.1:7946".to_owned()),
        };
        let links = |voter: &str, deaf: &[&str]| Links {
            voter: voter.into(),
            deaf_to: deaf.iter().map(ToString::to_string).collect(),
            fenced: false,
        };
        let fleet = Fleet {
            fleet: "north".to_owned(),
            me: "a#1".to_owned(),
            epoch: 3,
            member: true,
            fenced: false,
            lease_left_ms: 2_400,
            unwell: 0,
            members: vec![row("a#1", Some(Suspicion::Alive)), row("b#2", Some(Suspicion::Suspect))],
            links: vec![links("a#1", &["b#2"]), links("b#2", &[])],
            changes: vec![Changed { ms_ago: 900, epoch: 3, who: "c#1".to_owned(), cause: Cause::Gone }],
        };
        let page = page(&fleet);
        for words in [
            "view 3, as a#1 knows it (a member, lease left 2400 ms)",
            "b#2                              yes    suspect       12 ms  127.0.0.1:7946",
            "a#1 does not hear b#2",
            "900 ms ago  view 3    c#1 out: answered nobody",
        ] {
            assert!(page.contains(words), "{words} in\n{page}");
        }
        assert!(!page.contains("b#2 does not hear"));
        assert!(page.lines().all(|line| line.len() <= 100));
    }
}
