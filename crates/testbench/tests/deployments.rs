//! Each deployment on sockets: a real proxy before the stand-in's ledger sets and discovery, under faults.

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

/// A primary's death, a drain and lag under load, over either protocol: every rule is tried and none is broken.
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
    rig.proxy.end().await.expect("a good end");
    for (rule, tried, broken) in &verdict.rules {
        assert_eq!(*broken, 0, "{rule}: {:?}", verdict.breaches);
        let always = matches!(rule, Rule::Answer | Rule::Value | Rule::Drain | Rule::Stale | Rule::Key);
        assert!(*tried > 0 || !always, "{rule} was never tried");
    }
    for class in &classes {
        let served = class.served as f64 / class.offered.max(1) as f64;
        // A set without a primary takes no writes and has no data that is fresh, for up to 7 of the 8 s.
        assert!(served > 0.5, "{}: {served:.2} of {} served", class.name, class.offered);
    }
}
