//! Tests of a fleet of real routers over one emulated world in virtual time. They compare a hundred proxies
//! with four: the load on the hosts must not grow with the number of proxies, and no rule may be broken.

use rstest::rstest;
use wheelpier_decisions::Settings;
use wheelpier_emulator::checker::Rule;
use wheelpier_emulator::spec::{Spec, WhenBehind};
use wheelpier_emulator::world::HostFault;
use wheelpier_emulator::{Micros, MS, SECOND};
use wheelpier_testbench::fleet::{run_scenario, Burst, ColdPeak, FleetMetrics, Incident, Scenario};

const GROUPS: usize = 10;
const MEMBERS: usize = 6;
const HOSTS: usize = GROUPS * MEMBERS;

/// Returns a scenario of ten seconds at 60 % of the capacity of warm hosts.
fn scenario(routers: usize, seed: u64, incidents: Vec<(Micros, Incident)>) -> Scenario {
    let spec = Spec {
        groups: GROUPS,
        members: MEMBERS,
        cores: 2,
        when_behind: WhenBehind::Wait(20 * MS),
        ..Spec::sapporo()
    };
    let rate = 0.6 * spec.capacity();
    let adjust_settings =
        |settings: &mut Settings| (settings.price_health_check, settings.price_handshake) = (0.08, 0.08);
    Scenario {
        spec,
        routers,
        rate,
        duration: 10 * SECOND,
        seed,
        adjust_settings,
        incidents,
        max_client_retries: 0,
        burst: None,
        first_starts: Vec::new(),
    }
}

/// Kills 70 % of the proxies at once. All of them start again at the same time.
fn release(routers: usize) -> Vec<(Micros, Incident)> {
    let killed = (0..routers * 7 / 10).map(|n| (4 * SECOND, Incident::Restart(n, 1_500 * MS)));
    killed.collect()
}

/// Half of the hosts of each group crash and come back cold.
fn zone(_: usize) -> Vec<(Micros, Incident)> {
    let lost = (0..HOSTS).filter(|host| host % 2 == 1);
    let dies = |host| Incident::World(HostFault::Death { host, span: 3 * SECOND });
    lost.map(|host| (2 * SECOND, dies(host))).collect()
}

/// 60 % of the hosts, primaries included, drain, end and come back cold within 7 s.
fn replacement(_: usize) -> Vec<(Micros, Incident)> {
    let mut all = Vec::new();
    for host in (0..HOSTS).filter(|host| host % 5 < 3) {
        let at = SECOND + (host % 3) as Micros * 1_500 * MS;
        all.push((at, Incident::World(HostFault::Drain { host, span: 20 * SECOND })));
        all.push((at + 1_500 * MS, Incident::World(HostFault::Death { host, span: 500 * MS })));
    }
    all
}

/// One third of the hosts of each group crash and come back cold.
fn third(_: usize) -> Vec<(Micros, Incident)> {
    let lost = (0..HOSTS).filter(|host| host % MEMBERS % 3 == 1);
    let dies = |host| Incident::World(HostFault::Death { host, span: 3 * SECOND });
    lost.map(|host| (2 * SECOND, dies(host))).collect()
}

/// All replicas are replaced at once. A few seconds later the primaries drain, so that cold hosts take over.
fn takeover(_: usize) -> Vec<(Micros, Incident)> {
    let dies = |host| (SECOND, Incident::World(HostFault::Death { host, span: SECOND / 2 }));
    let drains = |host| (5 * SECOND, Incident::World(HostFault::Drain { host, span: 20 * SECOND }));
    (0..HOSTS).map(|host| if host % MEMBERS == 0 { drains(host) } else { dies(host) }).collect()
}

fn none(_: usize) -> Vec<(Micros, Incident)> {
    Vec::new()
}

/// Checks that no rule was broken, no cold host crashed and some requests were answered.
fn assert_rules_kept(metrics: &FleetMetrics) {
    for (rule, (tried, broken)) in &metrics.rules {
        assert_eq!(*broken, 0, "{rule}: {:?}", metrics.breaches);
        let always = matches!(rule, Rule::Answer | Rule::Value | Rule::Drain | Rule::Stale | Rule::Key);
        assert!(*tried > 0 || !always, "{rule} was never tried");
    }
    let answered = metrics.classes.values().any(|outcomes| outcomes.served + outcomes.rejected > 0);
    assert_eq!((metrics.cold_crashes + metrics.unannounced_cold_crashes, answered), (0, true));
}

#[rstest]
#[case::calm(none, 0.93)]
#[case::release(release, 0.85)]
#[case::zone(zone, 0.58)]
#[case::replacement(replacement, 0.53)]
fn load_on_hosts_does_not_grow_with_the_number_of_proxies(
    #[case] incidents: fn(usize) -> Vec<(Micros, Incident)>,
    #[case] least: f64,
) {
    let seed = 7;
    let of =
        |routers| run_scenario(scenario(routers, seed, incidents(routers))).expect("the scenario can be run");
    let (few, many) = (of(4), of(100));
    println!(
        "seed {seed}: 4: {:.3} in time of {}, sent {}, probes {}, connects {}, copies {}, misses {}",
        few.share_in_time(),
        few.asked(),
        few.attempts(),
        few.health_checks,
        few.connects,
        few.overlapping_attempts,
        few.misdirected
    );
    println!(
        "seed {seed}: 100: {:.3} in time of {}, sent {}, probes {}, connects {}, copies {}, misses {}",
        many.share_in_time(),
        many.asked(),
        many.attempts(),
        many.health_checks,
        many.connects,
        many.overlapping_attempts,
        many.misdirected
    );
    println!("4: {:?} 100: {:?}", few.classes, many.classes);
    assert_rules_kept(&few);
    assert_rules_kept(&many);
    assert!(many.share_in_time() >= least, "{:.3}", many.share_in_time());
    assert!(
        many.health_checks <= few.health_checks / 2 + 10,
        "{} health checks, {} with four proxies",
        many.health_checks,
        few.health_checks
    );
    assert!(
        many.attempts() as f64 <= 1.5 * few.attempts() as f64,
        "{} attempts, {} with four proxies",
        many.attempts(),
        few.attempts()
    );
    // One connection for each proxy and host, and as many again for overlapping attempts and broken
    // connections.
    assert!(many.connects <= 2 * 100 * HOSTS as u64, "{} connections opened", many.connects);
    assert!(
        many.overlapping_attempts * 20 <= many.attempts(),
        "{} overlapping attempts",
        many.overlapping_attempts
    );
}

/// Each emulated deployment under a mix of its faults: no rule is broken, and at least 80 % of the requests
/// are served in time.
#[rstest]
#[case::sapporo(Spec::sapporo(), 4, 0.80)]
#[case::tip_ledger(Spec::tip_ledger(), 3, 0.80)]
fn each_deployment_keeps_the_rules_under_faults(
    #[case] spec: Spec,
    #[case] routers: usize,
    #[case] least: f64,
) {
    let members = spec.members;
    let world = |at: Micros, fault: HostFault| (at * SECOND, Incident::World(fault));
    for seed in 1..=5 {
        let incidents = vec![
            world(2, HostFault::FastErrors { host: 1, share: 0.6, span: 5 * SECOND }),
            world(4, HostFault::Drain { host: members, span: 6 * SECOND }),
            world(6, HostFault::Hang { host: 2 * members % (spec.groups * members), span: 4 * SECOND }),
            world(8, HostFault::Lag { host: 2, times: 12.0, span: 4 * SECOND }),
            (9 * SECOND, Incident::Restart(0, SECOND)),
        ];
        let rate = 0.5 * spec.capacity();
        let adjust_settings = |_: &mut Settings| {};
        let scenario = Scenario {
            spec: spec.clone(),
            routers,
            rate,
            duration: 14 * SECOND,
            seed,
            adjust_settings,
            incidents,
            max_client_retries: 0,
            burst: None,
            first_starts: Vec::new(),
        };
        let metrics = run_scenario(scenario).expect("the scenario can be run");
        println!(
            "{} seed {seed}: {:.3} in time, probes {}",
            spec.name,
            metrics.share_in_time(),
            metrics.health_checks
        );
        assert_rules_kept(&metrics);
        assert!(
            metrics.share_in_time() >= least,
            "{} seed {seed}: {:.3}",
            spec.name,
            metrics.share_in_time()
        );
        assert!(
            spec.reports || metrics.health_checks == 0,
            "hosts without load reports get no health checks"
        );
    }
}

/// Writes exceed the capacity of the primaries. They come from a hundred proxies, each of which learns a
/// primary's state only from an answer every few seconds. The writes that are admitted must be served within
/// their latency objective; without admission control all of them would be late.
#[test]
fn overloaded_primaries_serve_admitted_writes_in_time() {
    let (mut asked, mut in_time, mut served) = (0, 0, 0);
    for seed in 1..=3 {
        let mut scenario = scenario(100, seed, none(100));
        let share = |name: &str| if name == "sale-write" { 0.3 } else { 0.7 / 3.0 };
        scenario.spec.classes.iter_mut().for_each(|class| class.share = share(class.name));
        scenario.rate = 0.75 * scenario.spec.capacity();
        let metrics = run_scenario(scenario).expect("the scenario can be run");
        let writes = metrics.classes[&3];
        (asked, in_time, served) = (asked + writes.asked, in_time + writes.in_time, served + writes.served);
        println!("seed {seed}: {:?}", metrics.classes);
    }
    let (served, in_time) = (served as f64 / asked as f64, in_time as f64 / asked as f64);
    println!("writes: {served:.3} served, {in_time:.3} in time");
    assert!(in_time >= 0.5, "{in_time:.3} in time");
}

/// Ties between equal hosts must not be resolved in favour of the same host in every proxy.
#[test]
fn equal_replicas_get_equal_shares_of_requests() {
    let metrics = run_scenario(scenario(100, 11, none(100))).expect("the scenario can be run");
    for group in 0..GROUPS {
        // The first host of a group is the primary.
        let replicas = (1..MEMBERS).map(|n| metrics.attempts_at(group * MEMBERS + n));
        let (least, most) = replicas.fold((u64::MAX, 0), |(least, most), n| (least.min(n), most.max(n)));
        assert!(most as f64 <= 1.5 * least as f64, "group {group}: {least} to {most}");
    }
}

#[test]
fn the_same_seed_gives_the_same_metrics() {
    let of = |seed| run_scenario(scenario(100, seed, release(100))).expect("the scenario can be run");
    assert_eq!(of(3), of(3));
    assert_ne!(of(3), of(4));
}

/// An overload of cold hosts. Clients retry a rejected request up to three times.
#[derive(Clone, Copy)]
struct Overload {
    name: &'static str,
    routers: usize,
    /// Load as a fraction of the capacity of warm hosts.
    load: f64,
    /// Load as a multiple of `load` during a burst of 4 s that begins when the first hosts come back.
    burst: f64,
    incidents: fn(usize) -> Vec<(Micros, Incident)>,
    /// Whether one host of each group starts for the first time.
    first_starts: bool,
    /// Whether a load of twice its capacity over 1 s crashes a cold host.
    small_window: bool,
    /// Fraction of its capacity that a host starts with. With 0.15, the initial N is 45, or 10 with
    /// `small_window`.
    initial_fraction: f64,
}

/// 60 % of the hosts are replaced within 7 s under a load near the capacity of all hosts.
const REPLACEMENT: Overload = Overload {
    name: "replacement",
    routers: 3,
    load: 0.95,
    burst: 1.0,
    incidents: replacement,
    first_starts: false,
    small_window: false,
    initial_fraction: 0.15,
};
const BURST: Overload = Overload { name: "burst", load: 0.6, burst: 1.5, first_starts: true, ..REPLACEMENT };
const THIRD: Overload = Overload { name: "third", incidents: third, ..BURST };
const TAKEOVER: Overload =
    Overload { name: "takeover", load: 0.4, first_starts: false, incidents: takeover, ..BURST };
/// The initial N is 23, about the smallest of any deployment so far.
const SMALL: Overload = Overload { name: "small N", small_window: true, initial_fraction: 0.35, ..THIRD };
/// The initial N is 10.
const SMALLEST: Overload = Overload { name: "smallest N", initial_fraction: 0.15, ..SMALL };

/// Load of the cold hosts in several scenarios.
#[derive(Clone, Copy, Debug, Default)]
struct ColdHosts {
    worst: ColdPeak,
    sum: f64,
    hosts: usize,
    crashes: u64,
    unannounced_crashes: u64,
    in_time: f64,
}

impl Overload {
    fn scenario(self, seed: u64) -> Scenario {
        let mut scenario = scenario(self.routers, seed, (self.incidents)(self.routers));
        if self.small_window {
            (scenario.spec.slow_start_budget_window, scenario.spec.slow_start_budget_multiple) =
                (SECOND, 2.0);
        }
        scenario.spec.slow_start_initial_fraction = self.initial_fraction;
        (scenario.rate, scenario.max_client_retries, scenario.duration) =
            (self.load * scenario.spec.capacity(), 3, 8 * SECOND);
        scenario.burst = Some(Burst { at: 3 * SECOND, duration: 4 * SECOND, multiplier: self.burst });
        if self.first_starts {
            // Neither a primary nor a host that the incidents stop.
            let stays = |host: &usize| host % 5 >= 3 && host % MEMBERS % 3 != 1;
            let joins = |group| (2..MEMBERS).map(|n| group * MEMBERS + n).find(stays);
            scenario.first_starts = (0..GROUPS).filter_map(joins).map(|host| (host, 2 * SECOND)).collect();
        }
        scenario
    }

    fn run(self, seeds: u64) -> ColdHosts {
        let mut all = ColdHosts::default();
        for seed in 1..=seeds {
            let metrics = run_scenario(self.scenario(seed)).expect("the scenario can be run");
            for peak in metrics.cold.values() {
                all.worst.attempts = all.worst.attempts.max(peak.attempts);
                all.worst.work = all.worst.work.max(peak.work);
                all.worst.allowance = all.worst.allowance.max(peak.allowance);
                all.sum += peak.attempts;
            }
            all.hosts += metrics.cold.len();
            all.crashes += metrics.cold_crashes;
            all.unannounced_crashes += metrics.unannounced_cold_crashes;
            all.in_time += metrics.share_in_time() / seeds as f64;
        }
        all
    }
}

/// The load on a cold host must stay within the operators' bound of N + 2 √N + 2 requests of mean work from
/// all proxies together, where N is the slow-start budget that the settings allow the host at that moment.
/// The environment variable SEEDS sets the number of seeds for each case.
#[rstest]
#[case::three(REPLACEMENT)]
#[case::seven(Overload { routers: 7, ..REPLACEMENT })]
#[case::twenty(Overload { routers: 20, ..REPLACEMENT })]
#[case::thirty(Overload { routers: 30, ..REPLACEMENT })]
#[case::many(Overload { routers: 300, ..REPLACEMENT })]
#[case::burst_at_twenty(Overload { routers: 20, ..BURST })]
#[case::burst_at_thirty(Overload { routers: 30, burst: 2.5, ..BURST })]
#[case::third_at_three(THIRD)]
#[case::third_at_seven(Overload { routers: 7, ..THIRD })]
#[case::third_at_twenty(Overload { routers: 20, ..THIRD })]
#[case::third_at_thirty(Overload { routers: 30, burst: 2.5, ..THIRD })]
#[case::third_at_many(Overload { routers: 300, ..THIRD })]
#[case::takeover_at_three(TAKEOVER)]
#[case::takeover_at_thirty(Overload { routers: 30, ..TAKEOVER })]
#[case::small_at_three(SMALL)]
#[case::small_at_seven(Overload { routers: 7, ..SMALL })]
#[case::small_at_thirty(Overload { routers: 30, burst: 2.5, ..SMALL })]
#[case::small_at_many(Overload { routers: 300, ..SMALL })]
#[case::smallest_at_three(SMALLEST)]
#[case::smallest_at_thirty(Overload { routers: 30, burst: 2.5, ..SMALLEST })]
#[case::smallest_at_many(Overload { routers: 300, ..SMALLEST })]
fn what_a_storm_of_clients_sends_to_cold_hosts_is_within_what_they_bear(#[case] overload: Overload) {
    let least = if overload.name == REPLACEMENT.name { 2 } else { 1 };
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(least);
    let all = overload.run(seeds);
    let Overload { name, routers, load, burst, .. } = overload;
    println!(
        "{name}, {routers} routers, load {load} x {burst}, {seeds} seeds: worst {:.3}, by work {:.3}, \
         of N {:.3}, mean {:.3} of {} cold hosts, {} crashed, {} unannounced, {:.3} in time",
        all.worst.attempts,
        all.worst.work,
        all.worst.allowance,
        all.sum / all.hosts.max(1) as f64,
        all.hosts,
        all.crashes,
        all.unannounced_crashes,
        all.in_time
    );
    // The emulated world allows a tenth of N for chance, which is a single request where N is 10.
    let crashes = all.crashes + all.unannounced_crashes;
    assert!(crashes == 0 || overload.small_window, "{crashes} cold hosts crashed");
    assert!(all.hosts > 0 && all.worst.attempts < 0.9, "worst {:.3}", all.worst.attempts);
    // Where N is 10, the variance of the drawn work alone is enough to exceed the bound.
    let smallest = overload.small_window && overload.initial_fraction < 0.2;
    assert!(smallest || all.worst.work < 1.0, "worst by work {:.3}", all.worst.work);
}
