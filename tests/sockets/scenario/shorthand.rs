//! Shorthand lines of the scenario language, each of which stands for several steps.

/// Returns the steps that a line stands for. A line that is not one of these stands for itself:
///
/// - `c1 start`: the client starts a session and is greeted
/// - `h1 take c1 read q1 2900`: the client sends a request, which reaches that host
/// - `h1 answer c1 V ROLE`: the host answers its current request, and the client receives the value
/// - `h1 serve c1 read q1 2900 = V ROLE`: both of the previous two
pub fn expand(line: &str) -> Vec<String> {
    let mut words = line.splitn(3, ' ');
    let (who, verb, args) = (words.next().unwrap_or(""), words.next(), words.next().unwrap_or(""));
    let lines = match verb {
        Some("start") => Some(vec![format!("{who} send startup"), format!("{who} expect ready")]),
        Some("take") => take(who, args),
        Some("answer") => answer(who, args),
        Some("serve") => serve(who, args),
        _ => None,
    };
    lines.unwrap_or_else(|| vec![line.to_owned()])
}

fn take(host: &str, args: &str) -> Option<Vec<String>> {
    let (client, request) = args.split_once(' ')?;
    let id = request.split(' ').nth(1)?;
    Some(vec![format!("{client} send {request}"), format!("{host} expect id={id}")])
}

fn answer(host: &str, args: &str) -> Option<Vec<String>> {
    let (client, answer) = args.split_once(' ')?;
    let value = answer.split(' ').next()?;
    Some(vec![format!("{host} send value {answer}"), format!("{client} expect value {value}")])
}

fn serve(host: &str, args: &str) -> Option<Vec<String>> {
    let (request, response) = args.split_once(" = ")?;
    let client = request.split(' ').next()?;
    Some([take(host, request)?, answer(host, &format!("{client} {response}"))?].concat())
}
