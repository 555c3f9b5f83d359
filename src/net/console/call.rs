//! The calls to the console, by method and path (`docs/operate/console.md`).

use hyper::Method;

/// A call to the console.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Call {
    /// `GET /admin/health`: 200 while ready and not draining, else 503.
    Health,
    /// `GET /admin/stats`: the counters, one `gw.NAME=VALUE` per line.
    Stats,
    /// `GET /admin/fleet`: the fleet as this proxy knows it, in JSON; 404 if this proxy belongs to no fleet.
    Fleet,
    /// `POST /admin/quiesce`: begins a drain that does not end the process.
    Quiesce,
    /// `POST /admin/resume`: ends that drain.
    Resume,
    /// A known path with another method: 405.
    WrongMethod,
    /// Any other path: 404.
    UnknownPath,
}

impl Call {
    /// Returns the call with this method and path. HEAD counts as GET (RFC 9110, section 9.3.2).
    pub fn new(method: &Method, path: &str) -> Self {
        let (expected, call) = match path {
            "/admin/health" => (Method::GET, Self::Health),
            "/admin/stats" => (Method::GET, Self::Stats),
            "/admin/fleet" => (Method::GET, Self::Fleet),
            "/admin/quiesce" => (Method::POST, Self::Quiesce),
            "/admin/resume" => (Method::POST, Self::Resume),
            _ => return Self::UnknownPath,
        };
        let is_head_for_get = *method == Method::HEAD && expected == Method::GET;
        if *method == expected || is_head_for_get {
            call
        } else {
            Self::WrongMethod
        }
    }
}
