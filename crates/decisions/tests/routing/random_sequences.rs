//! Random legal event sequences: nothing panics, and the rules hold on what comes out.

use crate::world::*;
use std::collections::BTreeMap;
use wheelpier_decisions::*;

struct Dice(u64);

impl Dice {
    fn roll(&mut self, sides: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % sides
    }
}

#[derive(Default)]
struct Asked {
    class: usize,
    deadline: i64,
    done: bool,
    attempts: u32,
    out: BTreeMap<u32, (u32, i64)>,
    may_have_run: bool,
}

fn run(seed: u64, change: fn(&mut Settings)) {
    let mut settings = settings();
    change(&mut settings);
    let copies = settings.hedging_allowed;
    let slack = settings.response_deadline_slack.0;
    let mut world = World::known(settings.clone(), 5);
    let mut dice = Dice(seed);
    let mut asked: BTreeMap<RequestId, Asked> = BTreeMap::new();
    let mut drained = [false; 5];
    for step in 0..1_500u64 {
        let mut actions = Vec::new();
        world.now += 10 * MS;
        match dice.roll(8) {
            0..=2 => {
                let class = dice.roll(settings.classes.len() as u64) as usize;
                let since = Some(dice.roll(600) as i64 * MS).filter(|ms| *ms > 0);
                let (id, more) = world.ask(class, since);
                asked.insert(id, Asked { class, deadline: world.now + 2_000 * MS, ..Asked::default() });
                actions.extend(more);
            }
            3 => {
                let host = dice.roll(5) as u32;
                let role = if dice.roll(4) == 0 { Role::Primary } else { Role::Replica };
                let age = dice.roll(900) as i64 * MS;
                actions.extend(world.probed(host, report(world.now - age, role)));
            }
            4 if step % 40 == 0 => {
                let n = dice.roll(5) as usize;
                drained[n] = !drained[n];
                let state = if drained[n] { HostState::Draining } else { HostState::Running };
                let mut entry = EndpointEntry::new(HostId(n as u32), 0, state);
                entry.started_at = Some(Timestamp(world.now));
                actions.extend(world.event(Event::EndpointList(EndpointUpdate::Delta, vec![entry])));
            }
            5..=6 => {
                let open: Vec<(RequestId, u32, u32, i64)> = asked
                    .iter()
                    .flat_map(|(id, a)| a.out.iter().map(move |(n, (host, at))| (*id, *n, *host, *at)))
                    .collect();
                if !open.is_empty() {
                    let (id, attempt, host, sent) = open[dice.roll(open.len() as u64) as usize];
                    let all = [
                        Outcome::Ok,
                        Outcome::Ok,
                        Outcome::Ok,
                        Outcome::Error,
                        Outcome::Overloaded,
                        Outcome::Misdirected,
                    ];
                    let outcome = all[dice.roll(all.len() as u64) as usize];
                    let a = asked.get_mut(&id).unwrap();
                    a.out.remove(&attempt);
                    a.may_have_run |= outcome == Outcome::Error;
                    a.done |= outcome == Outcome::Ok;
                    let closed = a.done;
                    let role = Some(if host == 0 { Role::Primary } else { Role::Replica });
                    let position = Some(LogPosition(world.now - 20 * MS));
                    let (host, latency) = (HostId(host), TimeDelta(world.now - sent));
                    let reply = AttemptResult {
                        id,
                        attempt,
                        host,
                        outcome,
                        latency,
                        request_closed: closed,
                        position,
                        role,
                        report: None,
                    };
                    actions.extend(world.event(Event::AttemptEnded(reply)));
                }
            }
            _ => {}
        }
        // What is out at the deadline times out there.
        let due: Vec<(RequestId, u32, u32, i64)> = asked
            .iter()
            .filter(|(_, a)| a.deadline <= world.now)
            .flat_map(|(id, a)| a.out.iter().map(move |(n, (host, at))| (*id, *n, *host, *at)))
            .collect();
        for (id, attempt, host, sent) in due {
            let a = asked.get_mut(&id).unwrap();
            a.out.remove(&attempt);
            a.may_have_run = true;
            let (host, latency, closed) = (HostId(host), TimeDelta(world.now - sent), a.done);
            let (outcome, position, role) = (Outcome::Timeout, None, None);
            let reply = AttemptResult {
                id,
                attempt,
                host,
                outcome,
                latency,
                request_closed: closed,
                position,
                role,
                report: None,
            };
            actions.extend(world.event(Event::AttemptEnded(reply)));
        }
        actions.extend(world.event(Event::Timer(0)));
        for action in actions {
            match action {
                Action::Forward { id, host, .. } => {
                    let now = world.now;
                    let a = asked.get_mut(&id).unwrap();
                    assert!(!a.done, "sent after its end");
                    assert!(!drained[host.0 as usize], "sent to a draining host");
                    let repeat = settings.classes[a.class].idempotency;
                    assert!(copies || a.out.is_empty(), "two at once");
                    assert!(repeat != Idempotency::NotIdempotent || (a.out.is_empty() && !a.may_have_run));
                    assert!(a.attempts < settings.max_attempts);
                    a.out.insert(a.attempts, (host.0, now));
                    a.attempts += 1;
                }
                Action::Reject { id, .. } => {
                    let a = asked.get_mut(&id).unwrap();
                    let harmless =
                        settings.classes[a.class].idempotency == Idempotency::Idempotent || !a.may_have_run;
                    assert!(!a.done && harmless, "a refusal promises that nothing ran");
                    a.done = true;
                }
                Action::Fail { id } => {
                    let a = asked.get_mut(&id).unwrap();
                    assert!(!a.done, "two answers");
                    a.done = true;
                }
                _ => {}
            }
        }
        for (id, a) in &asked {
            assert!(a.done || world.now <= a.deadline + slack, "{id:?} was lost");
        }
        asked.retain(|_, a| !a.done || !a.out.is_empty());
    }
}

#[test]
fn the_rules_hold_on_random_legal_sequences() {
    for seed in 1..4 {
        run(seed, |_| {});
        run(seed, |s| s.hedging_allowed = false);
        run(seed, |s| s.lag_policy = LagPolicy::WaitThenReject(TimeDelta(100 * MS)));
        run(seed, |s| (s.health_checks_allowed, s.cancellation_allowed) = (false, false));
        run(seed, |s| s.max_attempts = 1);
    }
}
