//! Client requests and their times, drawn in advance and independent of the answers.

use crate::spec::{Freshness, Spec};
use crate::{Micros, MS, SECOND};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Mean time between a write and a later read of the same session.
const MEAN_READ_DELAY: Micros = 300 * MS;
/// Share of session reads that follow a write of the same session.
const READS_AFTER_WRITE: f64 = 0.8;
/// Maximum number of recent writes that are kept for later reads of their sessions.
const MAX_RECENT_WRITES: usize = 256;

/// A planned request.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// The time at which it is sent, counted from the start.
    pub at: Micros,
    /// The request id.
    pub id: String,
    /// The index of the request class.
    pub class: usize,
    /// The index of the tenant; 0 if the deployment has no tenants.
    pub tenant: usize,
    /// A random number to choose a proxy by, if the request does not go to its session's own proxy.
    pub roams: Option<u64>,
    /// The index of the group that holds the data.
    pub group: usize,
    /// The session, which is also the name of the value that is read or written.
    pub session: String,
    /// The idempotency key of a write.
    pub key: Option<String>,
    /// The value of a write.
    pub value: Vec<u8>,
}

/// Draws the requests of a time span, at `rate` requests per second, ordered by time.
pub fn plan(spec: &Spec, seed: u64, rate: f64, span: Micros) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let mut plan: Vec<Planned> = Vec::new();
    // Recent writes: time, session and group.
    let mut recent_writes: Vec<(Micros, String, usize)> = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - random.random::<f64>()).ln() / rate * SECOND as f64;
        if at >= span as f64 {
            return plan;
        }
        let now = at as Micros;
        let class = pick(&mut random, spec.classes.iter().map(|c| c.share));
        let tenant = pick(&mut random, spec.tenants.iter().map(|t| t.1));
        let mut group = random.random_range(0..spec.groups);
        let id = format!("{:016x}", random.next_u64());
        let mut session = format!("s{:012x}", random.next_u64() & 0xffff_ffff_ffff);
        let mut key = None;
        let mut value = Vec::new();
        match spec.classes[class].freshness {
            Freshness::Write => {
                key = Some(format!("{:016x}", random.next_u64()));
                value = (0..random.random_range(8..200)).map(|_| random.random()).collect();
                recent_writes.push((now, session.clone(), group));
                if recent_writes.len() > MAX_RECENT_WRITES {
                    recent_writes.remove(0);
                }
            }
            Freshness::Session if random.random_bool(READS_AFTER_WRITE) => {
                let delay = (-(1.0 - random.random::<f64>()).ln() * MEAN_READ_DELAY as f64) as Micros;
                let last_write =
                    recent_writes.iter().rev().find(|(at, ..)| now - at >= delay.min(2 * SECOND));
                if let Some((_, writer, writer_group)) = last_write {
                    (session, group) = (writer.clone(), *writer_group);
                }
            }
            _ => {}
        }
        let roams =
            (spec.roaming_share > 0.0 && random.random_bool(spec.roaming_share)).then(|| random.next_u64());
        plan.push(Planned { at: now, id, class, tenant, roams, group, session, key, value });
    }
}

/// Draws an index with a probability equal to its share.
fn pick(random: &mut ChaCha8Rng, shares: impl Iterator<Item = f64>) -> usize {
    let mut remaining: f64 = random.random();
    let mut last = 0;
    for (index, share) in shares.enumerate() {
        last = index;
        remaining -= share;
        if remaining < 0.0 {
            break;
        }
    }
    last
}

impl Planned {
    /// Returns the statement in the form of PostgreSQL's protocol 3, for a client that waits for `wait`.
    pub fn statement(&self, spec: &Spec, wait: Micros) -> String {
        let class = &spec.classes[self.class];
        let tenant = spec.tenants.get(self.tenant).map(|(name, _)| format!(",t={name}")).unwrap_or_default();
        let comment = format!(
            "/* id={},c={}{tenant},d={}{},cluster={} */",
            self.id,
            class.name,
            wait / MS,
            self.key.as_ref().map(|key| format!(",k={key}")).unwrap_or_default(),
            self.group
        );
        match class.freshness {
            Freshness::Write => {
                let digits: String = self.value.iter().map(|byte| format!("{byte:02x}")).collect();
                let (session, insert) = (&self.session, "INSERT INTO kv (name, content) VALUES");
                format!("{insert} ('{session}', '\\x{digits}') RETURNING content {comment}")
            }
            _ => format!("SELECT content FROM kv WHERE name = '{}' {comment}", self.session),
        }
    }
}
