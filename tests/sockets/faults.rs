//! System calls fail in the ways that Linux documents (accept4(2), connect(2), socket(2), recv(2), send(2),
//! epoll_wait(2)). A local fault, one of the proxy's own machine, is not counted against a host and affects
//! no other client.

use crate::scenario::{play_with_faults, settings, settings_with};
use rstest::rstest;
use serde_json::json;

/// Returns the default settings with a lax latency objective, so that a slow response causes no hedged
/// request.
fn with_lax_latency_objective() -> String {
    settings_with(|all| {
        all["grades"].as_array_mut().unwrap().iter_mut().for_each(|grade| grade["onTime"] = json!(2.9));
    })
}

/// Returns the lines for this number of consecutive writes of one client. The host closes its connection
/// after each, so that the next one needs a new connection.
fn requests(count: usize) -> String {
    let one = |n| {
        format!(
            "c1 send write q{n} 2900
            h1 expect id=q{n}
            h1 answer c1 v{n} primary
            wait 20
            h1 close\n"
        )
    };
    (0..count).map(one).collect()
}

/// Half of the connection attempts find no local port, buffer or descriptor: the request waits a little, and
/// nothing is counted against its host.
#[rstest]
fn a_local_fault_is_not_counted_against_the_host(
    #[values("connect:host", "socket:")] call: &str,
    #[values("EADDRNOTAVAIL", "ENOBUFS", "EMFILE", "ENFILE", "ENOMEM", "EINTR")] error: &str,
) {
    let text = format!(
        "c1 send startup
        c1 expect ready
        {}
        proxy expect figures served=8 connect_failed=0",
        requests(8)
    );
    play_with_faults(&format!("seed=3;{call}:{error}:1/2"), &with_lax_latency_objective(), 1, &text);
}

/// No connection can be opened at all: requests are rejected in time, with the error for a request that never
/// ran.
#[test]
fn with_a_lasting_local_fault_requests_are_rejected_in_time() {
    let text = "
        c1 start
        c1 send read q1 900
        c1 expect within 900 error 53300
        c1 send write q2 900
        c1 expect within 900 error 53300
        proxy expect figures connect_failed=0 failed=0";
    play_with_faults("connect:host:EADDRNOTAVAIL:1/1", &settings(), 2, text);
}

/// The path to a host is broken: this is counted against the host, and other hosts serve.
#[rstest]
fn a_broken_path_is_counted_against_the_host(
    #[values("ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "ECONNREFUSED")] error: &str,
) {
    let text = "
        c1 start
        any serve c1 read q1 2900 = one replica";
    play_with_faults(&format!("seed=5;connect:host:{error}:1/2"), &settings(), 3, text);
}

/// A connection that is aborted before it is accepted does not mean a shortage: no idle client is evicted.
#[rstest]
fn an_aborted_connection_evicts_nobody(#[values("ECONNABORTED", "EPROTO", "EINTR", "ENETDOWN")] error: &str) {
    let text = "
        c1 start
        c1 send text
        c1 expect empty
        wait 2100
        c2-9 start
        c1 expect silence 100
        h1 serve c1 read q1 2900 = one primary";
    play_with_faults(&format!("seed=4;accept4:client:{error}:1/2"), &settings(), 1, text);
}

/// No connection can be accepted at all: the process still exits in time.
#[rstest]
fn a_process_that_can_accept_no_connection_exits_in_time(
    #[values("EMFILE", "ENFILE", "ENOMEM")] error: &str,
) {
    let text = "
        proxy send TERM
        wait 100
        c1 send startup
        proxy expect exit 0 by 3700";
    play_with_faults(&format!("accept4:client:{error}:1/1"), &settings(), 1, text);
}

/// Calls are interrupted, or transfer fewer bytes than requested.
#[rstest]
fn interrupted_and_short_calls_change_nothing(
    #[values("client", "host", "discovery", "console")] kind: &str,
    #[values("read:KIND:EINTR:1/3", "write:KIND:EINTR:1/3", "read:KIND:short:1/2", "write:KIND:short:1/2")]
    fault: &str,
) {
    let text = format!(
        "operator send health
        operator expect 200
        list expect open
        list send h1 up
        c1 start
        {}
        c1 send read p1 2900
        c1 send read p2 2900 k2
        h1 expect id=p1
        h1 expect id=p2
        h1 send value two primary
        h1 expect again id=p1
        h1 answer c1 one primary
        c1 expect value two
        operator send stats
        operator expect gw.results.write.succeeded=4
        proxy send TERM
        c1 expect closed
        proxy expect exit 0 by 3700",
        requests(4)
    );
    play_with_faults(&fault.replace("KIND", kind), &with_lax_latency_objective(), 1, &text);
}

/// Waits for events are interrupted over and over: timers and drains stay on time.
#[test]
fn interrupted_waits_change_nothing() {
    let text = "
        c1 start
        h1 take c1 read q1 400
        c1 expect within 420 error
        h1 take c1 read q2 2900
        proxy send TERM
        wait 500
        h1 answer c1 two primary
        c1 expect closed
        proxy expect exit 0 by 3700";
    play_with_faults("seed=9;wait::EINTR:1/2", &with_lax_latency_objective(), 1, text);
}

/// The system reports a client's connection as broken: only that connection ends, and its open request is
/// withdrawn.
#[rstest]
fn a_broken_client_connection_affects_that_client_only(
    #[values("ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET")] error: &str,
) {
    let text = "
        c1-6 send startup
        c1-6 send read q@ 2900 k@
        c1-6 expect gone
        proxy expect figures clients=7 taken=0
        operator send health
        operator expect 200";
    play_with_faults(&format!("read:client:{error}:1/1"), &settings(), 1, text);
}

/// Guards against a process that repeats an interrupted call for ever: it served no other client and did not
/// exit.
#[rstest]
#[case::reads_of_clients("read:client")]
#[case::writes_to_clients("write:client")]
fn a_client_whose_calls_are_always_interrupted_holds_up_nobody(#[case] call: &str) {
    let text = "
        c1 send startup
        wait 100
        operator send health
        operator expect 200
        c1 expect within 2500 gone
        proxy send TERM
        proxy expect exit 0 by 3700";
    play_with_faults(&format!("{call}:EINTR:1/1"), &settings(), 1, text);
}

/// The same at a ledger host: its request fails in time.
#[rstest]
fn a_host_whose_calls_are_always_interrupted_holds_up_nobody(
    #[values("read:host", "write:host")] call: &str,
) {
    let text = "
        c1 start
        c1 send read q1 900
        operator send health
        operator expect 200
        c1 expect within 950 error
        proxy send TERM
        proxy expect exit 0 by 3700";
    play_with_faults(&format!("{call}:EINTR:1/1"), &settings(), 1, text);
}
