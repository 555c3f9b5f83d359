//! Lines of the scenario language that stand for several others.

/// Returns the lines that a line stands for: itself, unless it is one of these.
///
/// - `c1 start`: its startup, and the greeting
/// - `h1 take c1 read q1 2900`: its request comes to that host
/// - `h1 answer c1 V ROLE`: the host answers the request that it has taken last; the client gets the value
/// - `h1 serve c1 read q1 2900 = V ROLE`: both
pub fn expand(line: &str) -> Vec<String> {
    let mut words = line.splitn(3, ' ');
    let (who, verb, what) = (words.next().unwrap_or(""), words.next(), words.next().unwrap_or(""));
    let lines = match verb {
        Some("start") => Some(vec![format!("{who} send startup"), format!("{who} expect ready")]),
        Some("take") => take(who, what),
        Some("answer") => answer(who, what),
        Some("serve") => serve(who, what),
        _ => None,
    };
    lines.unwrap_or_else(|| vec![line.to_owned()])
}

fn take(host: &str, what: &str) -> Option<Vec<String>> {
    let (client, request) = what.split_once(' ')?;
    let id = request.split(' ').nth(1)?;
    Some(vec![format!("{client} send {request}"), format!("{host} expect id={id}")])
}

fn answer(host: &str, what: &str) -> Option<Vec<String>> {
    let (client, answer) = what.split_once(' ')?;
    let value = answer.split(' ').next()?;
    Some(vec![format!("{host} send value {answer}"), format!("{client} expect value {value}")])
}

fn serve(host: &str, what: &str) -> Option<Vec<String>> {
    let (asked, answered) = what.split_once(" = ")?;
    let client = asked.split(' ').next()?;
    Some([take(host, asked)?, answer(host, &format!("{client} {answered}"))?].concat())
}
