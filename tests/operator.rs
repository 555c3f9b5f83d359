//! The operator's file: what it sets, and what is refused with which words.

use rstest::rstest;
use std::process::Command;
use wheelpier::config::OperatorSettings;
use wheelpier::protocol::Protocol;

#[test]
fn the_example_is_good() {
    let text = std::fs::read_to_string("deploy/operator/tds.yaml").unwrap();
    let operator = OperatorSettings::read(&text, "tds.yaml").unwrap();
    let listeners: Vec<_> = operator.listeners.iter().map(|l| (l.protocol, l.address.to_string())).collect();
    assert_eq!(listeners, [(Protocol::Tds, "127.0.0.1:1433".to_owned())]);
    assert_eq!(operator.hosts.protocol("m2-tds"), Protocol::Tds);
    assert_eq!(operator.hosts.protocol("anything else"), Protocol::Postgres);
}

#[test]
fn the_example_of_a_fleet_is_good_and_check_says_what_it_can_lose() {
    let text = std::fs::read_to_string("deploy/operator/fleet.yaml").unwrap();
    let peers = OperatorSettings::read(&text, "fleet.yaml").unwrap().peers.unwrap();
    assert_eq!((peers.fleet.as_str(), peers.founders.len(), peers.second_key), ("north", 3, None));
}

#[rstest]
#[case::no_fleet(
    "{fleet: '', listen: '127.0.0.1:1', founders: {a: '127.0.0.1:1'}, key_files: [K]}",
    "peers.fleet"
)]
#[case::no_port("{fleet: f, listen: here, founders: {a: '127.0.0.1:1'}, key_files: [K]}", "peers.listen")]
#[case::nobody("{fleet: f, listen: '127.0.0.1:1', founders: {}, key_files: [K]}", "peers.founders")]
#[case::nowhere(
    "{fleet: f, listen: '127.0.0.1:1', founders: {a: there}, key_files: [K]}",
    "peers.founders.a"
)]
#[case::no_member(
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
#[case::no_digits(
    "{fleet: f, listen: '127.0.0.1:1', founders: {a: '127.0.0.1:1'}, key_files: [README.md]}",
    "peers.key_files"
)]
fn a_fleet_that_makes_no_sense_is_refused(#[case] peers: &str, #[case] key: &str) {
    let text = format!("peers: {}", peers.replace('K', "deploy/operator/fleet.key.example"));
    let told = OperatorSettings::read(&text, "f").unwrap_err().to_string();
    assert!(told.starts_with(&format!("f:1: {key}: ")) && told.lines().count() == 1, "{told}");
}

#[rstest]
#[case::empty("")]
#[case::remarks_only("# nothing\n\n")]
#[case::of_no_keys("{}")]
fn what_sets_nothing_is_the_default(#[case] text: &str) {
    assert_eq!(OperatorSettings::read(text, "f").unwrap(), OperatorSettings::default());
}

#[rstest]
#[case::unknown_key("listener: []", "f:1: file", "unknown field")]
#[case::unknown_key_within("hosts:\n  defaults: tds", "f:2: file", "unknown field")]
#[case::duplicate_key("hosts: {default: tds}\nhosts: {default: tds}", "f:2: file", "duplicate")]
#[case::unknown_protocol(
    "hosts:\n  types:\n    m2: mysql",
    "f:3: hosts.types.m2",
    "`mysql` is no protocol; allowed are postgres and tds"
)]
#[case::no_host_speaks_it(
    "\nlisteners:\n- {protocol: tds, address: '127.0.0.1:1'}",
    "f:3: listeners[0].protocol",
    "no ledger host speaks tds"
)]
#[case::no_address(
    "hosts: {default: tds}\nlisteners:\n- protocol: tds\n  address: here",
    "f:4: listeners[0].address",
    "`here` is no address with a port"
)]
#[case::twice(
    "listeners:\n- {protocol: postgres, address: '[::1]:5'}\n- {protocol: postgres, address: '[::1]:5'}",
    "f:3: listeners[1].address",
    "stands twice"
)]
#[case::no_purpose(
    "memory:\n  purposes:\n    sofas: {cap: 1MiB}",
    "f:3: memory.purposes.sofas",
    "allowed are connections,"
)]
#[case::no_size("memory: {total: lots}", "f:1: memory.total", "`lots` is no size")]
#[case::reserve_over_cap(
    "memory: {purposes: {logs: {cap: 1KiB, reserve: 2KiB}}}",
    "f:1: memory.purposes.logs.reserve",
    "at most as large as the cap"
)]
#[case::lacks_a_key("listeners:\n- protocol: postgres", "f:2: file", "missing field `address`")]
#[case::no_yaml("listeners: [", "f:1: file", "")]
fn what_makes_no_sense_is_refused(#[case] text: &str, #[case] place: &str, #[case] problem: &str) {
    let told = OperatorSettings::read(text, "f").unwrap_err().to_string();
    assert!(told.starts_with(place) && told.contains(problem) && told.lines().count() == 1, "{told}");
}

#[test]
fn the_program_ends_with_one_line_on_a_bad_file() {
    let file = std::env::temp_dir().join(format!("wheelpier-operator-{}.yaml", std::process::id()));
    std::fs::write(&file, "hosts: {default: mysql}").unwrap();
    let program =
        Command::new(env!("CARGO_BIN_EXE_wheelpier")).arg("--operator").arg(&file).output().unwrap();
    let told = String::from_utf8(program.stderr).unwrap();
    assert_eq!(program.status.code(), Some(1), "{told}");
    assert!(told.contains(":1: hosts.default: `mysql`") && told.lines().count() == 1, "{told}");
}
