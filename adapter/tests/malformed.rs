//! Valid input is answered. Malformed input ends the adapter with a one-line message that names the line and
//! the field.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const PARAMS: &str = r#"{"balancers":1,"grades":[{"credit":1,"deadline":1,"onTime":0.5,"repeat":"pure"}],"discovery":"pushed","familyInfo":{"freshness":["any"]},"guarantees":{},"limits":{"maxAttempts":3},"report":{"how":"off"},"newKey":[1]}"#;

/// Runs the adapter with this input.
fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_wheelpier-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

/// Returns the error message for malformed input.
fn error_message(input: &str) -> String {
    let output = run(input);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert_eq!(text.lines().count(), 1, "{text}");
    text
}

#[test]
fn each_batch_is_answered_and_a_router_can_be_restarted() {
    let list = "list\t0\t1\nrow\t1\t-\t0\t0\t1\tRunning\t4\thost.a\nroster_change\trouter_1\trestored\t0\t1";
    let arrival = "arrival\trouter_1\tid-1\t0\t-\t0\t-\t4\t0\t-\t1\t-";
    let input = format!(
        "clock\t1\t1\nflush\nclock\t2\t2\ninit\trouter_1\t7\t{PARAMS}\n{list}\n{arrival}\nflush\n\
         clock\t3\t3\nkilled\trouter_1\ninit\trouter_1\t8\t{PARAMS}\n{list}\nflush\n"
    );
    let output = run(&input);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(text.starts_with("eor\t1\n"), "{text}");
    assert!(text.contains("attempt\trouter_1\tid-1\thost.a\t"), "{text}");
    assert!(text.ends_with("eor\t3\n"), "{text}");
}

#[test]
fn errors_name_the_line_and_the_field() {
    let cases = [
        ("bogus\n", "line 1", "bogus"),
        ("clock\tx\t1\n", "line 1", "clock"),
        ("clock\t1\t1\nring\trouter_1\t5\n", "line 2", "router"),
        ("clock\t1\t1\ninit\trouter_1\t7\t{oops\n", "line 2", "params"),
        ("clock\t1\t1\nlist\t0\t1\nrow\t1\t-\t0\t0\t1\tAsleep\t4\thost.a\n", "line 3", "phase"),
        ("clock\t1\t1\nlist\t99\t0\n", "line 2", "buffer"),
        ("clock\t1\t1\nflush\textra\n", "line 2", "flush"),
        ("clock\t1\t1\n", "line 1", "inside a batch"),
    ];
    for (input, line, field) in cases {
        let text = error_message(input);
        assert!(text.contains(line) && text.contains(field), "{input:?}: {text}");
    }
    let zero = PARAMS.replace("\"balancers\":1", "\"balancers\":0");
    let text = error_message(&format!("clock\t1\t1\ninit\trouter_1\t7\t{zero}\n"));
    assert!(text.contains("routers"), "{text}");
}
