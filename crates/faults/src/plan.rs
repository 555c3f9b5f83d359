//! The faults that are injected, read once from the environment of the process.

use crate::descriptors::Kind;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::OnceLock;
use std::time::Duration;

/// The environment variable that holds the plan: rules separated by `;`. If it is unset, no call is affected.
///
/// ```text
/// seed=7                         the seed of the random draws
/// accept4:client:EMFILE:1/3      one call in three on a descriptor of this kind fails with this error
/// read:host:short:1/2            one call in two transfers a few bytes only (`write` likewise)
/// write:client:hold=2:1/1        the thread is delayed for 2 ms after each call
/// close_listener::hold=300:1/1   the thread is delayed for 300 ms before a listening socket is closed
/// clock::step=3600000@2000:1/1   the wall clock is 3600000 ms ahead, beginning 2000 ms after the start
/// ```
///
/// Calls: `accept4`, `socket`, `connect`, `wait`, `read`, `write`, `close_listener` (with `hold` only),
/// `clock`. Kinds of descriptors: `client`, `console`, `host`, `discovery`, or empty for any.
pub const VARIABLE: &str = "WHEELPIER_FAULTS";
/// The environment variable that holds the console's address, which operators connect to.
pub const CONSOLE: &str = "GW_CONSOLE";
/// The environment variable that holds the address of the discovery service, which supplies the endpoint
/// list.
pub const DISCOVERY: &str = "GW_DISCOVERY";

/// A system call that a rule can affect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// accept4(2)
    Accept,
    /// socket(2)
    Socket,
    /// connect(2)
    Connect,
    /// epoll_wait(2)
    Wait,
    /// recv(2), readv(2)
    Read,
    /// send(2), writev(2)
    Write,
    /// close(2) of a listening socket
    CloseListener,
    /// clock_gettime(2) of the wall clock
    Clock,
}

/// The effect of a rule on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The call fails with this error number.
    Error(i32),
    /// The call transfers a few bytes only.
    Short,
    /// The thread is delayed after the call, or before it if it closes a listening socket.
    Hold(Duration),
    /// The wall clock is `ms` milliseconds ahead (behind, if negative) from `from` after the start on.
    Step { ms: i64, from: Duration },
}

/// A rule of a plan: `times` calls in `of` are affected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    call: Call,
    kind: Option<Kind>,
    effect: Effect,
    times: u64,
    of: u64,
}

/// The faults to inject into a process, and the state of its random draws.
#[derive(Debug, Default)]
pub struct Plan {
    rules: Vec<Rule>,
    random_state: AtomicU64,
}

/// Reports a rule that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanError(String);

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{VARIABLE}: `{}` is not a valid rule", self.0)
    }
}

impl std::error::Error for PlanError {}

fn error_number(name: &str) -> Option<i32> {
    Some(match name {
        "ECONNABORTED" => libc::ECONNABORTED,
        "EMFILE" => libc::EMFILE,
        "ENFILE" => libc::ENFILE,
        "ENOBUFS" => libc::ENOBUFS,
        "ENOMEM" => libc::ENOMEM,
        "EPROTO" => libc::EPROTO,
        "EADDRNOTAVAIL" => libc::EADDRNOTAVAIL,
        "ENETUNREACH" => libc::ENETUNREACH,
        "EINTR" => libc::EINTR,
        "ETIMEDOUT" => libc::ETIMEDOUT,
        "EHOSTUNREACH" => libc::EHOSTUNREACH,
        "ECONNREFUSED" => libc::ECONNREFUSED,
        "ECONNRESET" => libc::ECONNRESET,
        "ENETDOWN" => libc::ENETDOWN,
        "EPIPE" => libc::EPIPE,
        _ => return None,
    })
}

impl Rule {
    fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(':');
        let (call, kind, effect, share) = (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
        let call = match call {
            "accept4" => Call::Accept,
            "socket" => Call::Socket,
            "connect" => Call::Connect,
            "wait" => Call::Wait,
            "read" => Call::Read,
            "write" => Call::Write,
            "close_listener" => Call::CloseListener,
            "clock" => Call::Clock,
            _ => return None,
        };
        let kind = if kind.is_empty() { None } else { Some(Kind::parse(kind)?) };
        let effect = match effect.split_once('=') {
            None if effect == "short" => Effect::Short,
            None => Effect::Error(error_number(effect)?),
            Some(("hold", ms)) => Effect::Hold(Duration::from_millis(ms.parse().ok()?)),
            Some(("step", step)) => {
                let (ms, from) = step.split_once('@').unwrap_or((step, "0"));
                Effect::Step { ms: ms.parse().ok()?, from: Duration::from_millis(from.parse().ok()?) }
            }
            Some(_) => return None,
        };
        let (times, of) = share.split_once('/')?;
        let (times, of) = (times.parse().ok()?, of.parse().ok()?);
        (of > 0 && parts.next().is_none()).then_some(Self { call, kind, effect, times, of })
    }
}

impl Plan {
    /// Parses a plan.
    ///
    /// # Errors
    /// When a rule cannot be parsed.
    pub fn parse(text: &str) -> Result<Self, PlanError> {
        let mut plan = Self::default();
        for part in text.split(';').map(str::trim).filter(|part| !part.is_empty()) {
            let problem = || PlanError(part.to_owned());
            match part.strip_prefix("seed=") {
                Some(seed) => plan.random_state = AtomicU64::new(seed.parse().map_err(|_| problem())?),
                None => plan.rules.push(Rule::parse(part).ok_or_else(problem)?),
            }
        }
        Ok(plan)
    }

    /// Returns the plan of this process. An invalid plan ends the process, so that no test passes without its
    /// faults.
    pub(crate) fn of_process() -> &'static Self {
        static PLAN: OnceLock<Plan> = OnceLock::new();
        PLAN.get_or_init(|| match Self::parse(&std::env::var(VARIABLE).unwrap_or_default()) {
            Ok(plan) => plan,
            Err(problem) => {
                eprintln!("{problem}");
                std::process::exit(2);
            }
        })
    }

    /// Returns the effect on this call, if any: that of the first matching rule whose random draw hits.
    pub(crate) fn effect(&self, call: Call, kind: Option<Kind>) -> Option<Effect> {
        let matches = |rule: &&Rule| rule.call == call && (rule.kind.is_none() || rule.kind == kind);
        self.rules
            .iter()
            .filter(matches)
            .find(|rule| self.draw() % rule.of < rule.times)
            .map(|rule| rule.effect)
    }

    /// Returns the offset of the wall clock at this time after the start, in milliseconds.
    pub(crate) fn clock_offset_ms(&self, since_start: Duration) -> i64 {
        let steps = self.rules.iter().filter_map(|rule| match rule.effect {
            Effect::Step { ms, from } if from <= since_start => Some(ms),
            _ => None,
        });
        steps.sum()
    }

    /// Whether the plan affects the wall clock.
    pub(crate) fn steps_clock(&self) -> bool {
        self.affects(Call::Clock)
    }

    /// Whether the plan affects the close of listening sockets.
    pub(crate) fn delays_listener_close(&self) -> bool {
        self.affects(Call::CloseListener)
    }

    fn affects(&self, call: Call) -> bool {
        self.rules.iter().any(|rule| rule.call == call)
    }

    /// Draws the length of a short transfer, 1 to 7 bytes.
    pub(crate) fn draw_short_length(&self) -> usize {
        1 + (self.draw() % 7) as usize
    }

    /// Returns the next number of a sequence that the seed determines (SplitMix64).
    fn draw(&self) -> u64 {
        let state = self.random_state.fetch_add(0x9e37_79b9_7f4a_7c15, Relaxed);
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

#[cfg(test)]
mod tests;
