//! Peers: off without a word of them, refused where the platform forbids them, on with a file.

use crate::scenario::{settings, Program};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;

/// The inodes of a process's sockets.
fn sockets(pid: u32) -> BTreeSet<String> {
    let files = std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap();
    let links = files.filter_map(|file| std::fs::read_link(file.ok()?.path()).ok());
    let names = links.filter_map(|link| link.to_str().map(str::to_owned));
    names.filter_map(|name| Some(name.strip_prefix("socket:[")?.trim_end_matches(']').to_owned())).collect()
}

/// How many of them stand in a table of the system, as what `counts` looks for.
fn among(pid: u32, table: &str, counts: fn(&[&str]) -> bool) -> usize {
    let text = std::fs::read_to_string(format!("/proc/{pid}/net/{table}")).unwrap_or_default();
    let own = sockets(pid);
    let rows = text.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<_>>());
    rows.filter(|row| own.contains(row[9]) && counts(row)).count()
}

/// Datagram sockets, and sockets that listen for streams.
fn open(pid: u32) -> (usize, usize) {
    let udp = among(pid, "udp", |_| true) + among(pid, "udp6", |_| true);
    let listens = |row: &[&str]| row[3] == "0A";
    (udp, among(pid, "tcp", listens) + among(pid, "tcp6", listens))
}

fn config(may_tell: bool) -> String {
    let mut settings: Value = serde_json::from_str(&settings()).unwrap();
    settings["limits"]["mayTell"] = json!(may_tell);
    json!({"settings": settings}).to_string()
}

fn peers() -> String {
    let key = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("deploy/operator/fleet.key.example");
    let at = "127.0.0.1:0";
    json!({"peers": {"fleet": "f", "listen": at, "founders": {"n0": at}, "key_files": [key]}}).to_string()
}

#[test]
fn without_peers_in_the_file_no_socket_is_opened_for_them() {
    for operator in [None, Some("memory: {}")] {
        let program =
            Program::start_with_operator_file(&config(true), "127.0.0.1:0", "127.0.0.1:9", operator);
        program.log("listener for clients bound");
        assert_eq!(open(program.id()), (0, 1), "{operator:?}");
    }
}

#[test]
fn with_peers_one_port_is_opened_and_a_fleet_of_one_is_founded() {
    let program =
        Program::start_with_operator_file(&config(true), "127.0.0.1:0", "127.0.0.1:9", Some(&peers()));
    program.log("joining the fleet");
    assert_eq!(open(program.id()), (1, 2));
    program.log("change n0# LeaseHeld");
}

#[test]
fn status_asks_the_console_and_says_by_its_exit_whether_the_proxy_may_act() {
    let console = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let mut with_console: Value = serde_json::from_str(&config(true)).unwrap();
    with_console["console"] = json!(console);
    let status = |more: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wheelpier"));
        command.args(["fleet", "status", "--console", &console]).args(more).output().unwrap()
    };
    let nobody = status(&[]);
    assert_eq!(nobody.status.code(), Some(1), "nobody is there");
    assert_eq!(String::from_utf8_lossy(&nobody.stderr).lines().count(), 1);

    let with_console = with_console.to_string();
    let program =
        Program::start_with_operator_file(&with_console, "127.0.0.1:0", "127.0.0.1:9", Some(&peers()));
    program.log("change n0# LeaseHeld");
    let page = status(&[]);
    let text = String::from_utf8(page.stdout).unwrap();
    assert_eq!(page.status.code(), Some(0), "{text}");
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
    let told = String::from_utf8(no_fleet.stderr).unwrap();
    assert!(no_fleet.status.code() == Some(1) && told.contains("of no fleet"), "{told}");
}

#[test]
fn where_the_platform_forbids_peers_the_start_ends_with_one_line() {
    let mut program =
        Program::start_with_operator_file(&config(false), "127.0.0.1:0", "127.0.0.1:9", Some(&peers()));
    let line = program.log("configuration key");
    assert!(line.contains("`peers`") && line.contains("settings.limits.mayTell"), "{line}");
    assert_eq!(program.exit(), 1);
}
