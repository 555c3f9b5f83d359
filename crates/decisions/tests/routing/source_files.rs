//! Checks the size of the routing source files, and that the deploy file lists all of them.

use std::path::Path;

const MAX_LINES: usize = 400;
const MAX_COLUMNS: usize = 110;
const FOLDER: &str = "crates/decisions/src/routing";

fn routing_files() -> Vec<(String, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let entries = std::fs::read_dir(root.join(FOLDER)).unwrap();
    let paths = entries.map(|entry| entry.unwrap().path());
    let sources = paths.filter(|path| path.extension().is_some_and(|extension| extension == "rs"));
    let read = |path: std::path::PathBuf| {
        (path.file_name().unwrap().to_string_lossy().into_owned(), std::fs::read_to_string(path).unwrap())
    };
    sources.map(read).collect()
}

#[test]
fn routing_files_stay_short_and_narrow() {
    let files = routing_files();
    assert!(files.len() > 1, "{FOLDER} contains too few source files");
    for (name, text) in files {
        assert!(text.lines().count() <= MAX_LINES, "{name}: {} lines", text.lines().count());
        let wide: Vec<&str> = text.lines().filter(|line| line.chars().count() > MAX_COLUMNS).collect();
        assert!(wide.is_empty(), "{name}, lines too wide: {wide:?}");
    }
}

#[test]
fn the_router_names_the_folder_of_its_events_and_actions_first() {
    let text = include_str!("../../src/routing/mod.rs");
    assert!(text.lines().take(3).any(|line| line.contains("src/interface/")));
}

#[test]
fn the_deploy_file_names_every_routing_file_as_policy() {
    let deploy = include_str!("../../../../deploy/balancer.toml");
    let policy = deploy.lines().find(|line| line.starts_with("policy")).unwrap();
    for (name, _) in routing_files() {
        assert!(policy.contains(&format!("\"{FOLDER}/{name}\"")), "{name} is not listed");
    }
}
