//! Metrics after sequences of counted events.

use super::*;

/// Returns the value of the metric `gw.NAME`.
fn metric(counters: &Counters, name: &str) -> Option<u64> {
    let text = counters.format_metrics();
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("gw.{name}=")))?;
    line.parse().ok()
}

#[test]
fn request_ends_are_counted_by_class_under_their_public_names() {
    let counters = Counters::default();
    counters.set_classes(["read", "write"]);
    for (end, class) in [(RequestEnd::Served, 0), (RequestEnd::Served, 0), (RequestEnd::Rejected, 1)] {
        counters.request_accepted();
        counters.request_ended(end, class);
    }
    counters.set_classes(["read", "write", "report"]);
    counters.request_accepted();
    counters.request_ended(RequestEnd::Failed, 2);
    assert_eq!(metric(&counters, "results.read.succeeded"), Some(2));
    assert_eq!(metric(&counters, "results.read.declined"), Some(0));
    assert_eq!(metric(&counters, "results.write.declined"), Some(1));
    assert_eq!(metric(&counters, "results.write.succeeded"), Some(0));
    assert_eq!(metric(&counters, "results.report.aborted"), Some(1));
    assert_eq!(metric(&counters, "outstanding"), Some(0));
}

#[test]
fn accepted_requests_are_outstanding_until_they_end_and_disconnects_are_not_counted_by_class() {
    let counters = Counters::default();
    for _ in 0..3 {
        counters.request_accepted();
    }
    counters.set_classes(["read"]);
    counters.request_ended(RequestEnd::Disconnected, 0);
    assert_eq!(metric(&counters, "outstanding"), Some(2));
    assert_eq!(metric(&counters, "results.read.succeeded"), Some(0));
    assert_eq!(metric(&counters, "results.read.aborted"), Some(0));
}

#[test]
fn attempts_hosts_and_reloads_have_metrics() {
    let counters = Counters::default();
    counters.attempt_written();
    counters.set_listed_hosts(12);
    counters.set_listed_hosts(10);
    counters.set_ejected_hosts(1);
    counters.configuration_reloaded();
    counters.configuration_rejected();
    counters.configuration_rejected();
    let values: Vec<_> = ["forwards", "discovered", "ejected", "sighup_applied", "sighup_rejected"]
        .map(|name| metric(&counters, name))
        .into();
    assert_eq!(values, [Some(1), Some(10), Some(1), Some(1), Some(2)]);
}
