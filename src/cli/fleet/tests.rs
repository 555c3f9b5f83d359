//! The text of a fleet's status.

use super::*;

#[test]
fn the_page_lists_members_broken_links_and_changes() {
    let row = |name: &str, suspicion| MemberStatus {
        member: name.to_owned(),
        votes: true,
        suspicion,
        heard_ms_ago: Some(12),
        address: Some("127.0.0.1:7946".to_owned()),
    };
    let links = |voter: &str, unheard: &[&str]| VoterLinks {
        voter: voter.into(),
        unheard: unheard.iter().map(ToString::to_string).collect(),
        fenced: false,
    };
    let fleet = FleetStatus {
        fleet: "north".to_owned(),
        me: "a#1".to_owned(),
        epoch: 3,
        member: true,
        fenced: false,
        lease_left_ms: 2_400,
        health_penalty: 0,
        members: vec![row("a#1", Some(Suspicion::Alive)), row("b#2", Some(Suspicion::Suspect))],
        links: vec![links("a#1", &["b#2"]), links("b#2", &[])],
        changes: vec![ChangeStatus { ms_ago: 900, epoch: 3, member: "c#1".to_owned(), cause: Cause::Gone }],
    };
    let page = format_status(&fleet);
    for text in [
        "view 3, as a#1 knows it (a member, lease left 2400 ms)",
        "b#2                              yes    suspect       12 ms  127.0.0.1:7946",
        "a#1 does not hear b#2",
        "900 ms ago  view 3    c#1 evicted: answered no member",
    ] {
        assert!(page.contains(text), "{text} in\n{page}");
    }
    assert!(!page.contains("b#2 does not hear"));
    assert!(page.lines().all(|line| line.len() <= 100));
}
