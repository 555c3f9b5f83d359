//! A shortage of file descriptors: hundreds of idle clients connect to both ports, and others to the console,
//! while discovery is silent. Limits on each kind of connection keep descriptors free, so that the process
//! never runs out.

use crate::scenario::{play_with_descriptor_limit, settings, settings_with};
use rstest::rstest;
use wheelpier::config::{Config, Listener, OperatorSettings, MAX_OVERFLOW_CONNECTIONS};
use wheelpier::protocol::Protocol;

/// Returns a scenario where discovery calls hang, idle clients and callers of the console use up their
/// limits, and all connections to ledger hosts are in use. The console still answers, and the watch of the
/// endpoint list is reopened.
fn all_connection_limits_reached(hosts: u32) -> String {
    let expect_all = "any expect c=any\n".repeat(hosts as usize);
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
        c1-90 send startup                  # idle clients, more than there are slots for
        c91-150 send raw                    # clients without a startup message, at both ports
        t1-60 send prelogin
        c401-412 send raw 0000000400000000  # clients that are disconnected for an invalid message
        silent send 40                      # callers of the console that send nothing
        c501-{last} send read r@ 2900       # all connections to hosts that are allowed
        {expect_all}
        operator send health
        operator expect 200
        c151-250 send raw
        silent send 40
        operator send stats
        operator expect 200 discovered
        proxy send HUP                      # the configuration file is read again
        proxy expect log configuration reloaded
        list send speak                     # discovery returns
        list expect open
        list send h1 draining
        proxy expect figures lists=2
        "
    )
}

#[rstest]
fn discovery_console_and_hosts_get_their_descriptors(#[values((64, 9), (128, 28))] limits: (usize, u32)) {
    let (sockets, upstream) = limits;
    let text = format!("{}\nproxy expect descriptors {sockets}", all_connection_limits_reached(upstream));
    play_with_descriptor_limit(sockets, 3, "", &settings(), &text);
}

/// The same where the endpoint list is polled.
#[rstest]
fn discovery_console_and_hosts_get_their_descriptors_where_discovery_is_polled(
    #[values((64, 9), (128, 28))] limits: (usize, u32),
) {
    let (sockets, upstream) = limits;
    let text = format!("{}\nproxy expect descriptors {sockets}", all_connection_limits_reached(upstream));
    let settings = settings_with(|all| all["discovery"] = "on_request".into());
    play_with_descriptor_limit(sockets, 3, "", &settings, &text);
}

/// All connection limits together stay within the limit on file descriptors. Besides them, standard streams
/// and the runtime hold 9 descriptors, discovery 5, and one is open temporarily within a turn of the event
/// loop.
#[rstest]
fn all_connection_limits_fit_the_descriptor_limit(
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
        + limits.console_connections
        + 2 * limits.peer_streams
        + listeners;
    assert!(9 + 5 + 1 + held <= sockets, "{limits:?}: {held} held of {sockets}");
    assert!(limits.clients >= 8 && limits.upstream >= 8 && limits.console_connections >= 4, "{limits:?}");
    assert_eq!(limits.peer_streams > 0, peers);
}
