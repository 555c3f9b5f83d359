//! Writes of sessions that other processes of the same proxy tell of, and what the router tells of its own.

use crate::world::*;
use wheelpier_decisions::*;

const SESSION: SessionId = SessionId(77);
const SESSION_READ: usize = 1;
const KEYED_WRITE: usize = 5;
const PRIMARY: u32 = 0;
/// The deadline of each class.
const DEADLINE: TimeDelta = TimeDelta(2_000 * MS);

/// Returns a world whose router tracks the writes of sessions, with a primary and two replicas that do not
/// check reads.
fn world() -> World {
    let lag_policy = LagPolicy::ServeStale;
    let settings = Settings {
        write_positions_tracked: true,
        lag_policy,
        load_reports: LoadReports::Off,
        health_checks_allowed: false,
        ..settings()
    };
    World::with_positions(settings, 3)
}

fn tell(world: &mut World, progress: WriteProgress) {
    world.event(Event::WriteShared(SessionWrite { session: SESSION, group: 0, progress }));
}

/// Sends a read of the session. Returns the position that it has to see; `None` if data of any age will do.
fn required(world: &mut World) -> Option<i64> {
    world.now += 1;
    let id = RequestId(900_000 + world.now as u64);
    let request = Request { session: Some(SESSION), ..Request::new(id, SESSION_READ, 0, DEADLINE.0) };
    let actions = world.event(Event::RequestArrived(request));
    let forwarded = actions.iter().find_map(|action| match action {
        Action::Forward { requirement, host, .. } => Some((*requirement, *host)),
        _ => None,
    });
    let (requirement, host) = forwarded.expect("the read is forwarded");
    world.end_attempt(id, 0, host.0, Outcome::Ok, MS);
    match requirement {
        ReadRequirement::AtLeast(position) => Some(position.0),
        _ => None,
    }
}

fn shared(actions: &[Action]) -> Vec<WriteProgress> {
    let progress = |action: &Action| match action {
        Action::ShareWrite(write) => Some(write.progress),
        _ => None,
    };
    actions.iter().filter_map(progress).collect()
}

fn send_write(world: &mut World, id: RequestId) -> Vec<Action> {
    let request = Request { session: Some(SESSION), ..Request::new(id, KEYED_WRITE, 0, 1_500 * MS) };
    world.event(Event::RequestArrived(request))
}

#[test]
fn a_read_has_to_see_what_another_process_committed() {
    let mut world = world();
    assert_eq!(required(&mut world), None);
    let commit = world.now - 5 * MS;
    tell(&mut world, WriteProgress::Committed(LogPosition(commit)));
    assert_eq!(required(&mut world), Some(commit));
    tell(&mut world, WriteProgress::Committed(LogPosition(commit - 3 * MS)));
    assert_eq!(required(&mut world), Some(commit), "an earlier commit that is told later");
}

/// Guards against a position of another clock that no host ever reaches.
#[test]
fn a_commit_ahead_of_the_clock_is_capped() {
    let mut world = world();
    let ahead = world.now + 3_600_000 * MS;
    tell(&mut world, WriteProgress::Committed(LogPosition(ahead)));
    let latest = world.now + 10 * MS;
    assert_eq!(required(&mut world), Some(latest));
    world.event(Event::SharedWritesMissed(LogPosition(ahead)));
    assert!(required(&mut world).unwrap() <= world.now + 10 * MS);
}

/// Guards against a read that misses a write in flight elsewhere, which may be committed already.
#[test]
fn a_read_has_to_see_all_commits_while_a_write_is_in_flight_elsewhere() {
    let mut world = world();
    tell(&mut world, WriteProgress::Sent { may_commit_for: DEADLINE });
    assert_eq!(required(&mut world), Some(world.now));
    tell(&mut world, WriteProgress::Ended { may_commit_for: None });
    assert_eq!(required(&mut world), None, "the write was never executed");
    tell(&mut world, WriteProgress::Sent { may_commit_for: DEADLINE });
    tell(&mut world, WriteProgress::Ended { may_commit_for: Some(DEADLINE) });
    world.now += DEADLINE.0 - 100 * MS;
    assert_eq!(required(&mut world), Some(world.now), "it may still be committed");
    world.now += 200 * MS;
    assert_eq!(required(&mut world), None);
}

/// Guards against a process that was killed and whose writes count as in flight for ever.
#[test]
fn a_write_whose_end_is_never_told_counts_until_it_can_no_longer_be_committed() {
    let mut world = world();
    tell(&mut world, WriteProgress::Sent { may_commit_for: DEADLINE });
    world.now += DEADLINE.0;
    assert_eq!(required(&mut world), None);
    // The next write of the session is not held open by the one that was abandoned.
    tell(&mut world, WriteProgress::Sent { may_commit_for: DEADLINE });
    let commit = world.now;
    tell(&mut world, WriteProgress::Committed(LogPosition(commit)));
    assert_eq!(required(&mut world), Some(commit));
}

#[test]
fn any_session_may_have_made_a_write_that_was_missed() {
    let mut world = world();
    let (earlier, later) = (world.now - 20 * MS, world.now - 15 * MS);
    tell(&mut world, WriteProgress::Committed(LogPosition(earlier)));
    world.event(Event::SharedWritesMissed(LogPosition(later)));
    assert_eq!(required(&mut world), Some(later));
    // A clock whose offset was too large: recorded commits look older than they are.
    let now = Timestamp(world.now);
    world.router.shift_host_clock(now, -2 * MS);
    assert_eq!(required(&mut world), Some(later + 2 * MS));
}

/// Guards against reads beside a process that does not tell of its writes: any session may have written.
#[test]
fn reads_have_to_see_all_commits_while_another_process_tells_nothing() {
    let mut world = world();
    let span = TimeDelta(1_000 * MS);
    world.event(Event::UnsharedWrites(span));
    let told_at = world.now;
    world.now += span.0 / 2;
    assert_eq!(required(&mut world), Some(world.now));
    world.now = told_at + span.0;
    assert_eq!(required(&mut world), Some(told_at));
    let ended_at = world.now;
    world.event(Event::SharedWritesMissed(LogPosition(ended_at)));
    assert_eq!(required(&mut world), Some(ended_at));
}

/// Guards against a write that is sent, or answered, before the other processes are told of it.
#[test]
fn each_attempt_of_a_write_is_told_before_it_is_sent_and_when_it_has_ended() {
    let mut world = world();
    let sent = send_write(&mut world, RequestId(1));
    assert_eq!(shared(&sent), [WriteProgress::Sent { may_commit_for: TimeDelta(1_500 * MS + DEADLINE.0) }]);
    let index = |is_wanted: fn(&Action) -> bool| sent.iter().position(is_wanted).unwrap();
    let told = index(|action| matches!(action, Action::ShareWrite(_)));
    assert!(told < index(|action| matches!(action, Action::Forward { .. })));
    world.now += 50 * MS;
    let ended = world.end_attempt(RequestId(1), 0, PRIMARY, Outcome::Overloaded, 50 * MS);
    assert_eq!(shared(&ended).first(), Some(&WriteProgress::Ended { may_commit_for: None }));
    // Sent again at once, or after a pause.
    let sent = [ended, world.advance_ms(100)].concat();
    assert!(shared(&sent).iter().any(|progress| matches!(progress, WriteProgress::Sent { .. })), "{sent:?}");
    let ended = world.end_attempt(RequestId(1), 1, PRIMARY, Outcome::Reset, 50 * MS);
    assert_eq!(shared(&ended).first(), Some(&WriteProgress::Ended { may_commit_for: Some(DEADLINE) }));
}
