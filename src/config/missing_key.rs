//! Keys that a reloaded file must have: those of the file in force. Deployments differ in the keys that they
//! have, so a key that may be absent at the start is not optional in general: without it a reload would
//! replace a value in force by a default.
//!
//! An entry of a list must have the keys of the one in force with the same name, and a new entry those that
//! all entries in force have. A class needs the keys that are valid only with idempotency keys if it has
//! these.

use serde_json::{Map, Value};

/// Keys that may be absent whatever the file in force has, by the operators' pages.
const OPTIONAL_KEYS: [&str; 2] = ["settings.grades.aimStretch", "settings.guarantees.removalNotBinding"];
/// The key of the cached endpoint list.
pub(super) const CACHED_ENDPOINTS: &str = "known";
/// Keys that are only used at the start.
const START_KEYS: [&str; 2] = [CACHED_ENDPOINTS, "seed"];
/// The list of the request classes, and the keys of a class that are valid only with idempotency keys.
const CLASSES: &str = "settings.grades";
const IDEMPOTENCY: &str = "repeat";
const WITH_KEY: &str = "token";
const KEYS_WITH_KEY: [&str; 2] = ["group", "window"];
/// The key by which entries of a list are told apart.
const ENTRY_NAME: &str = "name";

/// Returns the path of the first key that `new` lacks, given the file in force.
pub(super) fn first_missing(in_force: &Value, new: &Value) -> Option<String> {
    missing_in_value("", in_force, new)
}

/// Compares two values at the same path.
fn missing_in_value(path: &str, in_force: &Value, new: &Value) -> Option<String> {
    match (in_force, new) {
        (Value::Object(in_force), Value::Object(new)) => missing_in_object(path, in_force, new),
        (Value::Array(in_force), Value::Array(new)) => new.iter().enumerate().find_map(|(index, entry)| {
            let key = missing_in_entry(path, in_force, entry.as_object()?)?;
            Some(format!("{path}[{index}].{key}"))
        }),
        _ => None,
    }
}

fn missing_in_object(path: &str, in_force: &Map<String, Value>, new: &Map<String, Value>) -> Option<String> {
    in_force.iter().find_map(|(key, value)| {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        let is_optional = OPTIONAL_KEYS.contains(&&path[..]) || START_KEYS.contains(&&path[..]);
        match new.get(key) {
            Some(new) => missing_in_value(&path, value, new),
            None => (!is_optional).then_some(path),
        }
    })
}

/// Returns a key that an entry of a list lacks.
fn missing_in_entry<'a>(path: &str, in_force: &'a [Value], new: &Map<String, Value>) -> Option<&'a str> {
    let entries: Vec<&Map<String, Value>> = in_force.iter().filter_map(Value::as_object).collect();
    let same = entries.iter().find(|entry| entry.get(ENTRY_NAME) == new.get(ENTRY_NAME)).copied();
    let mut required = match same {
        Some(same) => same.keys().map(String::as_str).collect(),
        None => common_keys(&entries),
    };
    if path == CLASSES {
        match (same.is_some_and(has_idempotency_keys), has_idempotency_keys(new)) {
            (true, false) => required.retain(|key| !KEYS_WITH_KEY.contains(key)),
            (false, true) => required.extend(KEYS_WITH_KEY),
            _ => {}
        }
    }
    let is_optional = |key: &str| OPTIONAL_KEYS.contains(&&format!("{path}.{key}")[..]);
    required.into_iter().find(|key| !new.contains_key(*key) && !is_optional(key))
}

/// Returns the keys that all entries have.
fn common_keys<'a>(entries: &[&'a Map<String, Value>]) -> Vec<&'a str> {
    let Some((first, others)) = entries.split_first() else { return Vec::new() };
    let is_common = |key: &&str| others.iter().all(|entry| entry.contains_key(*key));
    first.keys().map(String::as_str).filter(is_common).collect()
}

/// Returns whether the requests of a class have idempotency keys.
fn has_idempotency_keys(class: &Map<String, Value>) -> bool {
    class.get(IDEMPOTENCY).and_then(Value::as_str) == Some(WITH_KEY)
}

#[cfg(test)]
mod tests;
