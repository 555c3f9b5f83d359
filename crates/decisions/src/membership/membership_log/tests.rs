use super::*;

fn view(epoch: u64, members: &[(&str, u64)]) -> Output {
    let members = members.iter().map(|(name, incarnation)| Identity::new(name, *incarnation)).collect();
    Output::Consensus(Event::View(View { epoch, members }))
}

fn record(membership_log: &mut MembershipLog, output: Output) -> Vec<(String, Cause)> {
    let me = Identity::new("a", 1);
    let changes = membership_log.record(Timestamp(0), &me, &output);
    changes.into_iter().map(|change| (change.member, change.cause)).collect()
}

#[test]
fn each_change_has_its_cause() {
    let mut membership_log = MembershipLog::default();
    let all = [("a", 1), ("b", 1), ("c", 1), ("d", 1), ("e", 1)];
    let founded = record(&mut membership_log, view(1, &all));
    assert!(founded.len() == 5 && founded.iter().all(|(_, cause)| *cause == Cause::Founded));
    record(&mut membership_log, Output::SuspicionChanged(Identity::new("b", 1), Suspicion::Gone));
    record(&mut membership_log, Output::SuspicionChanged(Identity::new("c", 1), Suspicion::Left));
    record(&mut membership_log, Output::SuspicionChanged(Identity::new("e", 1), Suspicion::Suspect));
    let changed = record(&mut membership_log, view(2, &[("a", 1), ("d", 2), ("f", 1)]));
    let causes_of = |name: &str| {
        changed.iter().filter(|(member, _)| member.starts_with(name)).map(|(_, c)| *c).collect::<Vec<_>>()
    };
    assert_eq!(
        (causes_of("b"), causes_of("c"), causes_of("e")),
        (vec![Cause::Gone], vec![Cause::Left], vec![Cause::CutOff])
    );
    assert_eq!((causes_of("d"), causes_of("f")), (vec![Cause::Replaced, Cause::Joined], vec![Cause::Joined]));
}

#[test]
fn changes_are_kept_latest_first_and_limited_in_number() {
    let mut membership_log = MembershipLog::default();
    for _ in 0..100 {
        record(&mut membership_log, Output::Consensus(Event::Fenced));
        record(&mut membership_log, Output::Consensus(Event::Unfenced));
    }
    assert_eq!(membership_log.changes.len(), MAX_CHANGES);
    assert_eq!(membership_log.changes[0].change.cause, Cause::LeaseHeld);
}
