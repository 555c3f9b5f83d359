//! Communication with other proxies of the fleet: off by default, rejected where the settings do not allow
//! it, on with an operator's file.

use crate::scenario::{settings, Program};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;

/// Returns the inodes of a process's sockets.
fn socket_inodes(pid: u32) -> BTreeSet<String> {
    let files = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap();
    let links = files.filter_map(|file| std::fs::read_link(file.ok()?.path()).ok());
    let names = links.filter_map(|link| link.to_str().map(str::to_owned));
    names.filter_map(|name| Some(name.strip_prefix("socket:[")?.trim_end_matches(']').to_owned())).collect()
}

/// Counts the process's sockets in a table of /proc/net whose row satisfies `matches`.
fn count_in_table(pid: u32, table: &str, matches: fn(&[&str]) -> bool) -> usize {
    let text = std::fs::read_to_string(format!("/proc/{pid}/net/{table}")).unwrap_or_default();
    let own = socket_inodes(pid);
    let rows = text.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
    rows.filter(|row| own.contains(row[9]) && matches(row)).count()
}

/// Returns the numbers of UDP sockets and of listening TCP sockets.
fn count_open_sockets(pid: u32) -> (usize, usize) {
    let udp = count_in_table(pid, "udp", |_| true) + count_in_table(pid, "udp6", |_| true);
    let listens = |row: &[&str]| row[3] == "0A";
    (udp, count_in_table(pid, "tcp", listens) + count_in_table(pid, "tcp6", listens))
}

fn config(peers_allowed: bool) -> String {
    let mut settings: Value = serde_json::from_str(&settings()).unwrap();
    settings["limits"]["mayTell"] = json!(peers_allowed);
    json!({"settings": settings}).to_string()
}

fn operator_file_with_peers() -> String {
    let key = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("deploy/operator/fleet.key.example");
    let at = "127.0.0.1:0";
    json!({"peers": {"fleet": "f", "listen": at, "founders": {"n0": at}, "key_files": [key]}}).to_string()
}

#[test]
fn without_peers_in_the_operators_file_no_socket_is_opened_for_them() {
    for operator in [None, Some("memory: {}")] {
        let program =
            Program::start_with_operator_file(&config(true), "127.0.0.1:0", "127.0.0.1:9", operator);
        program.log("listener for clients bound");
        assert_eq!(count_open_sockets(program.id()), (0, 1), "{operator:?}");
    }
}

#[test]
fn with_peers_one_port_is_opened_and_a_fleet_of_one_is_founded() {
    let program = Program::start_with_operator_file(
        &config(true),
        "127.0.0.1:0",
        "127.0.0.1:9",
        Some(&operator_file_with_peers()),
    );
    program.log("joining the fleet");
    assert_eq!(count_open_sockets(program.id()), (1, 2));
    program.log("change n0# LeaseHeld");
}

#[test]
fn status_reads_the_console_and_its_exit_status_says_whether_the_proxy_may_act() {
    let console = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let mut with_console: Value = serde_json::from_str(&config(true)).unwrap();
    with_console["console"] = json!(console);
    let status = |more: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wheelpier"));
        command.args(["fleet", "status", "--console", &console]).args(more).output().unwrap()
    };
    let no_console = status(&[]);
    assert_eq!(no_console.status.code(), Some(1), "no console listens");
    assert_eq!(String::from_utf8_lossy(&no_console.stderr).lines().count(), 1);

    let with_console = with_console.to_string();
    let program = Program::start_with_operator_file(
        &with_console,
        "127.0.0.1:0",
        "127.0.0.1:9",
        Some(&operator_file_with_peers()),
    );
    program.log("change n0# LeaseHeld");
    let running = status(&[]);
    let text = String::from_utf8(running.stdout).unwrap();
    assert_eq!(running.status.code(), Some(0), "{text}");
    assert!(text.starts_with("fleet f, view 1, as n0#") && text.contains("founded the fleet"), "{text}");
    let fleet: Value = serde_json::from_slice(&status(&["--json"]).stdout).unwrap();
    assert_eq!(
        (&fleet["epoch"], &fleet["member"], &fleet["fenced"]),
        (&json!(1), &json!(true), &json!(false))
    );
    drop(program);

    let alone = Program::start_with_operator_file(&with_console, "127.0.0.1:0", "127.0.0.1:9", None);
    alone.log("console listener");
    let no_fleet = status(&[]);
    let message = String::from_utf8(no_fleet.stderr).unwrap();
    assert!(no_fleet.status.code() == Some(1) && message.contains("of no fleet"), "{message}");
}

#[test]
fn where_peers_are_not_allowed_the_start_fails_with_one_line() {
    let mut program = Program::start_with_operator_file(
        &config(false),
        "127.0.0.1:0",
        "127.0.0.1:9",
        Some(&operator_file_with_peers()),
    );
    let line = program.log("configuration key");
    assert!(line.contains("`peers`") && line.contains("settings.limits.mayTell"), "{line}");
    assert_eq!(program.exit(), 1);
}
