//! Descriptors run short: idle clients come by the hundred while discovery is silent, at both ports, and others at the
//! console. What is needed to serve is kept free by count, so that the process never lacks a descriptor.

use crate::scenario::{play_with_descriptor_limit, settings, settings_with};
use rstest::rstest;
use wheelpier::config::{Config, Listener, OperatorSettings, MAX_OVERFLOW_CONNECTIONS};
use wheelpier::protocol::Protocol;

/// Discovery is silent and its calls hang, idle clients and the console's callers fill what they may, all connections to
/// ledger hosts are in use. The console answers, discovery's reopening succeeds, and no descriptor was ever lacking.
fn all_at_their_bounds(hosts: u32) -> String {
    let takes = "any expect c=any\n".repeat(hosts as usize);
    let last = 500 + hosts;
    format!(
        "
        list expect follow
        list send mute
        list close                          # discovery is silent from now on
        list expect follow
        c501-{last} send startup
        c501-{last} expect ready
        c501-{last} send text
        c501-{last} expect empty
        c1-90 send startup                  # idle clients, all seats full and more
        c91-150 send raw                    # others that have not said who they are, at both ports
        t1-60 send prelogin
        c401-412 send raw 0000000400000000  # and such that are closed on for what they say
        silent send 40                      # callers of the console that send nothing
        c501-{last} send read r@ 2900       # and hosts get as many connections as all may have
        {takes}
        operator send health
        operator expect 200
        c151-250 send raw
        silent send 40
        operator send stats
        operator expect 200 discovered
        proxy send HUP                      # the file is read
        proxy expect log configuration reloaded
        list send speak                     # discovery returns
        list expect open
        list send h1 draining
        proxy expect figures lists=2
        "
    )
}

#[rstest]
fn discovery_console_and_hosts_get_theirs(#[values((64, 9), (128, 28))] limits: (usize, u32)) {
    let (sockets, upstream) = limits;
    let text = format!("{}\nproxy expect descriptors {sockets}", all_at_their_bounds(upstream));
    play_with_descriptor_limit(sockets, 3, "", &settings(), &text);
}

/// The same where discovery is asked.
#[rstest]
fn and_where_discovery_is_asked(#[values((64, 9), (128, 28))] limits: (usize, u32)) {
    let (sockets, upstream) = limits;
    let text = format!("{}\nproxy expect descriptors {sockets}", all_at_their_bounds(upstream));
    let settings = settings_with(|all| all["discovery"] = "on_request".into());
    play_with_descriptor_limit(sockets, 3, "", &settings, &text);
}

/// All parts at their bounds together, counted: standard streams and the runtime hold 9, discovery 5, and one is open
/// within a turn.
#[rstest]
fn all_bounds_together_fit(
    #[values(64, 65, 128, 255, 256, 576, 1024, 4096)] sockets: usize,
    #[values(0, 1, 3)] more_listeners: usize,
    #[values(false, true)] peers: bool,
) {
    let text = format!(r#"{{"limits":{{"sockets":{sockets}}},"settings":{}}}"#, settings());
    let config = Config::read(&text, |_| Some("127.0.0.1:1".to_owned())).unwrap();
    let fleet = std::fs::read_to_string("deploy/operator/fleet.yaml").unwrap();
    let mut operator = if peers {
        OperatorSettings::read(&fleet, "fleet.yaml").unwrap()
    } else {
        OperatorSettings::default()
    };
    let listener = Listener { protocol: Protocol::Tds, address: "127.0.0.1:2".parse().unwrap() };
    operator.listeners = vec![listener; more_listeners];
    let limits = config.with_operator(operator).unwrap().limits;
    let listeners = 2 + more_listeners + if peers { 2 } else { 0 };
    let held = limits.clients
        + MAX_OVERFLOW_CONNECTIONS
        + limits.upstream
        + limits.console_callers
        + 2 * limits.peer_streams
        + listeners;
    assert!(9 + 5 + 1 + held <= sockets, "{limits:?}: {held} held of {sockets}");
    assert!(limits.clients >= 8 && limits.upstream >= 8 && limits.console_callers >= 4, "{limits:?}");
    assert_eq!(limits.peer_streams > 0, peers);
}
