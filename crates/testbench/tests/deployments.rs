//! Runs each emulated deployment on sockets, with a real proxy in front of emulated hosts and discovery,
//! under faults.

use rstest::rstest;
use std::rc::Rc;
use wheelpier_emulator::checker::Rule;
use wheelpier_emulator::net::{Options, Wire};
use wheelpier_emulator::schedule::plan;
use wheelpier_emulator::script::Script;
use wheelpier_emulator::spec::Spec;
use wheelpier_emulator::SECOND;
use wheelpier_testbench::load::{self, Target};
use wheelpier_testbench::rig::Rig;

const SECONDS: f64 = 8.0;
const SEED: u64 = 11;

/// A primary's death, a drain and lag under load, over each protocol: no rule is broken, and the rules that
/// each run has to exercise are exercised.
#[rstest]
#[case::sapporo(Spec::sapporo(), Wire::Postgres)]
#[case::tip_ledger(Spec::tip_ledger(), Wire::Postgres)]
#[case::tip_ledger_over_tds(Spec::tip_ledger(), Wire::Tds)]
#[tokio::test]
async fn a_deployment_is_served_on_sockets_with_no_rule_broken(#[case] spec: Spec, #[case] wire: Wire) {
    let script = Script::parity(SECONDS, spec.members);
    let rate = 0.2 * spec.capacity();
    let options = Options { spec: spec.clone(), seed: SEED, wires: vec![wire], script, proxies: 1 };
    let rig = Rig::start(options, rate).await.expect("a rig");
    let planned = plan(&spec, SEED, rate, (SECONDS * SECOND as f64) as i64);
    let (world, clock, address) = (rig.installation.mailbox(), rig.clock, rig.port(wire).expect("a port"));
    rig.installation.begin().await;
    let target = Target { wire, address, spec: Rc::new(spec.clone()), clock, world };
    let classes = load::run(target, planned).await;
    let verdict = rig.installation.verdict().await.expect("a verdict");
    println!("{} over {wire}, seed {SEED}: {classes:?}", spec.name);
    rig.proxy.end().await.expect("the proxy ends without an error");
    for (rule, tried, broken) in &verdict.rules {
        assert_eq!(*broken, 0, "{rule}: {:?}", verdict.breaches);
        let always = matches!(rule, Rule::Answer | Rule::Value | Rule::Drain | Rule::Stale | Rule::Key);
        assert!(*tried > 0 || !always, "{rule} was never checked");
    }
    for class in &classes {
        let served = class.served as f64 / class.offered.max(1) as f64;
        // A group without a primary serves neither writes nor fresh reads, for up to 7 of the 8 s.
        assert!(served > 0.5, "{}: {served:.2} of {} served", class.name, class.offered);
    }
}
