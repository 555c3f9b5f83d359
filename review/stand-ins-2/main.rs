//! The cases 6 to 10: `cases NAME FOLDER` plays one, with `record.txt` in FOLDER.

mod behind_value;
mod drained_answer;
mod hung_drain;
mod many_at_once;
mod missing_key;
mod new_settings;
mod slow_value;
mod thrown_away;
#[allow(dead_code)]
mod stand_ins;

use stand_ins::*;
use std::path::{Path, PathBuf};

/// A class as the settings have it; `more` is the rest of its keys.
pub fn grade(name: &str, aim: f64, deadline: f64, more: &str) -> String {
    format!(r#"{{"name":"{name}","credit":1.0,"onTime":{aim},"deadline":{deadline},"lateWorth":0.2,"streamed":false,{more}}}"#)
}

/// Settings of a small deployment: one proxy, one group, figures of the first deployment.
pub fn settings(grades: &[String], freshness: &str, bounds: &str, behind: &str) -> String {
    format!(
        r#"{{"areas":["a"],"balancers":1,"clientHabits":{{"marksRetry":false}},
"customers":[{{"name":"acme","quotaPerS":400.0,"share":1.0}}],"discovery":"pushed","family":"replicas",
"familyInfo":{{"answersStamped":true,"baseTime":0.0,"classBound":{bounds},"commitWaits":false,"freshness":{freshness},
"roleInList":"off","wait":0.02,"whenBehind":"{behind}","writeMarks":"remembered"}},
"grades":[{}],
"guarantees":{{"answerSlack":0.02,"askWithin":10.0,"cold":18.0,"coldFrom":0.15,"drainGrace":2.0,"fall":3.0,"fallMultiple":3.0}},
"kinds":["m2"],"limits":{{"connectTimeout":0.25,"cpuUsPerRequest":0.0,"cpuUsPerS":500000,"keepalive":15.0,"maxAttempts":8,
"maxRetryAfter":0.5,"mayCancel":true,"mayTell":false,"mostHeld":30000,"multiplex":1,"probes":true,"retryAfter":true,"secondCopies":true}},
"locality":0,"me":0,"overShareWorth":0.1,"prices":{{"crossZone":0.027,"handshake":0.0,"probe":0.038,"waste":0.05}},
"report":{{"fields":["x0","x1","cpu"],"how":"on_probe"}},"tick":0.005,"tier":0,"tiers":["till-db"],"weights":"off","worthBy":"request"}}"#,
        grades.join(",")
    )
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().expect("the name of a case");
    let folder = PathBuf::from(arguments.next().expect("the folder of the case"));
    let temporary = PathBuf::from(arguments.next().expect("a temporary folder"));
    open_record(&folder);
    limit_time(100);
    note(format!("case {name}, {}", if trouble() { "with the disruption" } else { "without the disruption" }));
    let play: fn(&Path) -> Verdict = match name.as_str() {
        "behind-value" => behind_value::play,
        "memory-limit" => many_at_once::play_memory_limit,
        "thrown-away" => thrown_away::play,
        "slow-value" => slow_value::play,
        "new-settings" => new_settings::play,
        "drained-answer" => drained_answer::play,
        "hung-drain" => hung_drain::play,
        "missing-key" => missing_key::play,
        other => panic!("no case {other}"),
    };
    let verdict = play(&temporary);
    finish(verdict)
}
