//! The operator's file: its settings, and the errors for invalid files.

use rstest::rstest;
use std::process::Command;
use wheelpier::config::OperatorSettings;
use wheelpier::protocol::Protocol;

#[test]
fn the_tds_example_is_valid() {
    let text = std::fs::read_to_string("deploy/operator/tds.yaml").unwrap();
    let operator = OperatorSettings::read(&text, "tds.yaml").unwrap();
    let listeners: Vec<_> =
        operator.listeners.iter().map(|listener| (listener.protocol, listener.address.to_string())).collect();
    assert_eq!(listeners, [(Protocol::Tds, "127.0.0.1:1433".to_owned())]);
    assert_eq!(operator.hosts.protocol("m2-tds"), Protocol::Tds);
    assert_eq!(operator.hosts.protocol("anything else"), Protocol::Postgres);
}

#[test]
fn the_fleet_example_is_valid() {
    let text = std::fs::read_to_string("deploy/operator/fleet.yaml").unwrap();
    let peers = OperatorSettings::read(&text, "fleet.yaml").unwrap().peers.unwrap();
    assert_eq!((peers.fleet.as_str(), peers.founders.len(), peers.second_key), ("north", 3, None));
}

#[rstest]
#[case::empty_fleet_name(
    "{fleet: '', listen: '127.0.0.1:1', founders: {a: '127.0.0.1:1'}, key_files: [K]}",
    "peers.fleet"
)]
#[case::listen_without_port(
    "{fleet: f, listen: here, founders: {a: '127.0.0.1:1'}, key_files: [K]}",
    "peers.listen"
)]
#[case::no_founders("{fleet: f, listen: '127.0.0.1:1', founders: {}, key_files: [K]}", "peers.founders")]
#[case::founder_without_address(
    "{fleet: f, listen: '127.0.0.1:1', founders: {a: there}, key_files: [K]}",
    "peers.founders.a"
)]
#[case::member_without_address(
    "{fleet: f, listen: '127.0.0.1:1', founders: {a: '127.0.0.1:1'}, members: {b: x}, key_files: [K]}",
    "peers.members.b"
)]
#[case::no_key(
    "{fleet: f, listen: '127.0.0.1:1', founders: {a: '127.0.0.1:1'}, key_files: []}",
    "peers.key_files"
)]
#[case::three_keys(
    "{fleet: f, listen: '127.0.0.1:1', founders: {a: '127.0.0.1:1'}, key_files: [K, K, K]}",
    "peers.key_files"
)]
#[case::missing_file(
    "{fleet: f, listen: '127.0.0.1:1', founders: {a: '127.0.0.1:1'}, key_files: [nowhere]}",
    "peers.key_files"
)]
#[case::key_not_hexadecimal(
    "{fleet: f, listen: '127.0.0.1:1', founders: {a: '127.0.0.1:1'}, key_files: [README.md]}",
    "peers.key_files"
)]
fn invalid_fleet_settings_are_rejected_by_key(#[case] peers: &str, #[case] key: &str) {
    let text = format!("peers: {}", peers.replace('K', "deploy/operator/fleet.key.example"));
    let message = OperatorSettings::read(&text, "f").unwrap_err().to_string();
    assert!(message.starts_with(&format!("f:1: {key}: ")) && message.lines().count() == 1, "{message}");
}

#[rstest]
#[case::empty("")]
#[case::comments_only("# nothing\n\n")]
#[case::empty_mapping("{}")]
fn a_file_without_keys_is_the_default(#[case] text: &str) {
    assert_eq!(OperatorSettings::read(text, "f").unwrap(), OperatorSettings::default());
}

#[rstest]
#[case::unknown_key("listener: []", "f:1: file", "unknown field")]
#[case::unknown_nested_key("hosts:\n  defaults: tds", "f:2: file", "unknown field")]
#[case::duplicate_key("hosts: {default: tds}\nhosts: {default: tds}", "f:2: file", "duplicate")]
#[case::unknown_protocol(
    "hosts:\n  types:\n    m2: mysql",
    "f:3: hosts.types.m2",
    "unknown protocol `mysql`: expected postgres or tds"
)]
#[case::protocol_of_no_host(
    "\nlisteners:\n- {protocol: tds, address: '127.0.0.1:1'}",
    "f:3: listeners[0].protocol",
    "no ledger host speaks tds"
)]
#[case::invalid_address(
    "hosts: {default: tds}\nlisteners:\n- protocol: tds\n  address: here",
    "f:4: listeners[0].address",
    "invalid address `here`: expected an IP address with a port"
)]
#[case::duplicate_address(
    "listeners:\n- {protocol: postgres, address: '[::1]:5'}\n- {protocol: postgres, address: '[::1]:5'}",
    "f:3: listeners[1].address",
    "duplicate address [::1]:5"
)]
#[case::unknown_purpose(
    "memory:\n  purposes:\n    sofas: {cap: 1MiB}",
    "f:3: memory.purposes.sofas",
    "expected one of connections,"
)]
#[case::invalid_size("memory: {total: lots}", "f:1: memory.total", "invalid size `lots`")]
#[case::reserve_over_cap(
    "memory: {purposes: {logs: {cap: 1KiB, reserve: 2KiB}}}",
    "f:1: memory.purposes.logs.reserve",
    "must not exceed the cap"
)]
#[case::missing_key("listeners:\n- protocol: postgres", "f:2: file", "missing field `address`")]
#[case::invalid_yaml("listeners: [", "f:1: file", "")]
fn invalid_settings_are_rejected_by_line_and_key(
    #[case] text: &str,
    #[case] place: &str,
    #[case] problem: &str,
) {
    let message = OperatorSettings::read(text, "f").unwrap_err().to_string();
    assert!(
        message.starts_with(place) && message.contains(problem) && message.lines().count() == 1,
        "{message}"
    );
}

#[test]
fn the_program_reports_an_invalid_file_in_one_line() {
    let file = std::env::temp_dir().join(format!("wheelpier-operator-{}.yaml", std::process::id()));
    std::fs::write(&file, "hosts: {default: mysql}").unwrap();
    let program =
        Command::new(env!("CARGO_BIN_EXE_wheelpier")).arg("--operator").arg(&file).output().unwrap();
    let message = String::from_utf8(program.stderr).unwrap();
    assert_eq!(program.status.code(), Some(1), "{message}");
    assert!(
        message.contains(":1: hosts.default: unknown protocol `mysql`") && message.lines().count() == 1,
        "{message}"
    );
}
