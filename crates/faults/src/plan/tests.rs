use super::*;

#[test]
fn rules_affect_their_share_of_the_matching_calls() {
    let plan =
        Plan::parse("seed=7; accept4:client:EMFILE:1/3; read:host:short:1/1; write::hold=2:0/1").unwrap();
    let effects = (0..3_000).filter_map(|_| plan.effect(Call::Accept, Some(Kind::Client)));
    let failed = effects.inspect(|effect| assert_eq!(*effect, Effect::Error(libc::EMFILE))).count();
    assert!((900..1_100).contains(&failed), "{failed}");
    assert_eq!(plan.effect(Call::Accept, Some(Kind::Console)), None);
    assert_eq!(plan.effect(Call::Read, Some(Kind::Host)), Some(Effect::Short));
    assert_eq!(plan.effect(Call::Write, None), None);
}

#[test]
fn equal_seeds_give_equal_draws() {
    let draws = || {
        let plan = Plan::parse("seed=11;wait::EINTR:1/4").unwrap();
        (0..100).map(|_| plan.effect(Call::Wait, None).is_some()).collect::<Vec<_>>()
    };
    assert_eq!(draws(), draws());
}

#[test]
fn the_clock_steps_at_the_configured_time() {
    let plan = Plan::parse("clock::step=-3600000@500:1/1").unwrap();
    assert_eq!(plan.clock_offset_ms(Duration::from_millis(499)), 0);
    assert_eq!(plan.clock_offset_ms(Duration::from_millis(500)), -3_600_000);
}

#[test]
fn invalid_rules_are_named_in_the_error() {
    for text in ["accept4", "accept4:client:EWHAT:1/3", "fork::EINTR:1/2", "read:host:short:1/0", "seed=x"] {
        assert!(Plan::parse(text).unwrap_err().to_string().contains(text), "{text}");
    }
}
