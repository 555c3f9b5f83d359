//! What clients ask and when: drawn ahead, whatever the answers are.

use crate::spec::{Freshness, Spec};
use crate::{Micros, MS, SECOND};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How long after a write its session reads, in the mean.
const GAP: Micros = 300 * MS;
/// Share of the session reads that follow a write.
const FOLLOWS: f64 = 0.8;
/// Sessions that have written lately and may read.
const RECENT: usize = 256;

/// A request.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// When it is sent, counted from the start.
    pub at: Micros,
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: usize,
    /// Its tenant; 0 where there are none.
    pub tenant: usize,
    /// Where it comes to any proxy instead of its session's own: a number to choose by.
    pub roams: Option<u64>,
    /// The set that holds its data.
    pub group: usize,
    /// The session, or what a read reads.
    pub session: String,
    /// A write's key.
    pub key: Option<String>,
    /// A write's value.
    pub value: Vec<u8>,
}

/// Draws the requests of so many seconds at a rate a second, in the order of their times.
pub fn plan(spec: &Spec, seed: u64, rate: f64, span: Micros) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let mut plan: Vec<Planned> = Vec::new();
    // Sessions that have written: when, which, and in which set.
    let mut wrote: Vec<(Micros, String, usize)> = Vec::new();
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
                wrote.push((now, session.clone(), group));
                if wrote.len() > RECENT {
                    wrote.remove(0);
                }
            }
            Freshness::Session if random.random_bool(FOLLOWS) => {
                let gap = (-(1.0 - random.random::<f64>()).ln() * GAP as f64) as Micros;
                let before = wrote.iter().rev().find(|(when, ..)| now - when >= gap.min(2 * SECOND));
                if let Some((_, of, set)) = before {
                    (session, group) = (of.clone(), *set);
                }
            }
            _ => {}
        }
        let roams = (spec.roams > 0.0 && random.random_bool(spec.roams)).then(|| random.next_u64());
        plan.push(Planned { at: now, id, class, tenant, roams, group, session, key, value });
    }
}

/// An index, each as likely as its share.
fn pick(random: &mut ChaCha8Rng, shares: impl Iterator<Item = f64>) -> usize {
    let mut left: f64 = random.random();
    let mut last = 0;
    for (n, share) in shares.enumerate() {
        last = n;
        left -= share;
        if left < 0.0 {
            break;
        }
    }
    last
}

impl Planned {
    /// The statement, in protocol 3's form, for a client that waits so long.
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
                let (session, head) = (&self.session, "INSERT INTO kv (name, content) VALUES");
                format!("{head} ('{session}', '\\x{digits}') RETURNING content {comment}")
            }
            _ => format!("SELECT content FROM kv WHERE name = '{}' {comment}", self.session),
        }
    }
}
