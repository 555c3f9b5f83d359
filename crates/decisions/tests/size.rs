//! The module is printed: its size and line width are part of what it promises.

#[test]
fn the_module_stays_printable() {
    let text = include_str!("../src/routing/mod.rs");
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 940, "{lines} lines");
    let wide: Vec<&str> = text.lines().filter(|line| line.chars().count() > 110).collect();
    assert!(wide.is_empty(), "too wide: {wide:?}");
    assert!(text.lines().take(3).any(|line| line.contains("src/interface.rs")));
}
