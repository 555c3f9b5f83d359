//! Compares the proxy's own data structures with general ones: session positions with a hash map, the timer
//! wheel with tokio's `DelayQueue` and a binary heap, and the heavy-hitter sketch with exact counts in a hash
//! map.

use criterion::{criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion, Throughput};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::future::poll_fn;
use std::hint::black_box;
use std::task::Poll;
use std::time::Duration;
use tokio_util::time::DelayQueue;
use wheelpier_decisions::state::heavy_hitters::HeavyHitters;
use wheelpier_decisions::state::session_positions::SessionPositions;
use wheelpier_decisions::state::timer_wheel::TimerWheel;
use wheelpier_decisions::{LogPosition, SessionId, TimeDelta, Timestamp};

const SIZES: [usize; 3] = [1_000, 100_000, 1_000_000];
/// The number of operations in one iteration of a benchmark.
const OPERATIONS: usize = 1_000;

fn random_numbers(count: usize) -> Vec<u64> {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    (0..count).map(|_| random.next_u64()).collect()
}

fn sessions(c: &mut Criterion) {
    let mut group = c.benchmark_group("sessions");
    group.throughput(Throughput::Elements(OPERATIONS as u64));
    for size in SIZES {
        let ids = random_numbers(size);
        // Reads known sessions, and writes new ones, which displace old ones.
        let mut table = SessionPositions::new(size);
        ids.iter().for_each(|id| table.record_commit(SessionId(*id), (*id % 8) as u32, LogPosition(1)));
        let mut next = 0;
        group.bench_function(BenchmarkId::new("generations/read", size), |b| {
            b.iter(|| {
                for _ in 0..OPERATIONS {
                    next = (next + 7919) % size;
                    black_box(table.last_commit(SessionId(ids[next]), 0));
                }
            });
        });
        let mut fresh = 0u64;
        group.bench_function(BenchmarkId::new("generations/write", size), |b| {
            b.iter(|| {
                for _ in 0..OPERATIONS {
                    fresh = fresh.wrapping_add(0x9e37_79b9_7f4a_7c15);
                    table.record_commit(SessionId(fresh), (fresh % 8) as u32, LogPosition(2));
                }
            });
        });
        let mut map: HashMap<u64, (u32, i64)> = ids.iter().map(|id| (*id, (0, 1))).collect();
        group.bench_function(BenchmarkId::new("HashMap/read", size), |b| {
            b.iter(|| {
                for _ in 0..OPERATIONS {
                    next = (next + 7919) % size;
                    black_box(map.get(&ids[next]));
                }
            });
        });
        // Removes a session after each write, so that the map keeps its size. The caller has to know which
        // one.
        let mut oldest = 0;
        group.bench_function(BenchmarkId::new("HashMap/write", size), |b| {
            b.iter(|| {
                for _ in 0..OPERATIONS {
                    fresh = fresh.wrapping_add(0x9e37_79b9_7f4a_7c15);
                    map.insert(fresh, (0, 2));
                    map.remove(&ids[oldest % size]);
                    oldest += 1;
                }
            });
        });
    }
    group.finish();
}

/// Each timer is set for up to five seconds and cancelled before it fires, as the timers of served requests
/// are.
#[expect(clippy::too_many_lines)]
fn timers(c: &mut Criterion) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
    let mut group = c.benchmark_group("waits");
    group.throughput(Throughput::Elements(OPERATIONS as u64));
    group.sample_size(20);
    for size in SIZES {
        let delays: Vec<i64> =
            random_numbers(size + OPERATIONS).iter().map(|n| (n % 5_000_000) as i64 + 10_000).collect();
        group.bench_function(BenchmarkId::new("wheel/set+cancel", size), |b| {
            let mut wheel = TimerWheel::new(TimeDelta(1_000), Timestamp(0));
            delays[..size].iter().for_each(|delay| _ = wheel.set(Timestamp(*delay), 0u64));
            b.iter(|| {
                for delay in &delays[size..] {
                    let key = wheel.set(Timestamp(*delay), 1);
                    black_box(wheel.cancel(key));
                }
            });
        });
        let _context = runtime.enter();
        group.bench_function(BenchmarkId::new("DelayQueue/set+cancel", size), |b| {
            let mut queue = DelayQueue::new();
            let duration = |delay: &i64| Duration::from_micros(*delay as u64 + 3_600_000_000);
            delays[..size].iter().for_each(|delay| _ = queue.insert(0u64, duration(delay)));
            b.iter(|| {
                for delay in &delays[size..] {
                    let key = queue.insert(1, duration(delay));
                    black_box(queue.remove(&key));
                }
            });
        });
        group.bench_function(BenchmarkId::new("BinaryHeap/set+cancel", size), |b| {
            // Cancels lazily, by a set of the ids that are no longer valid.
            let full: BinaryHeap<Reverse<(i64, u64)>> =
                delays[..size].iter().enumerate().map(|(n, delay)| Reverse((*delay, n as u64))).collect();
            b.iter_batched(
                || (full.clone(), HashSet::new()),
                |(mut heap, mut cancelled)| {
                    for (n, delay) in delays[size..].iter().enumerate() {
                        let id = (size + n) as u64;
                        heap.push(Reverse((*delay, id)));
                        cancelled.insert(id);
                    }
                    (heap, cancelled)
                },
                BatchSize::LargeInput,
            );
        });
        group.bench_function(BenchmarkId::new("wheel/end", size), |b| {
            let mut full = TimerWheel::new(TimeDelta(1_000), Timestamp(0));
            delays[..size].iter().for_each(|delay| _ = full.set(Timestamp(*delay), 0u64));
            b.iter_batched(
                || full.clone(),
                |mut wheel| {
                    let mut ended = Vec::with_capacity(size);
                    (1..=100).for_each(|step| wheel.advance(Timestamp(step * 1_000), &mut ended));
                    (wheel, ended)
                },
                BatchSize::LargeInput,
            );
        });
        group.bench_function(BenchmarkId::new("DelayQueue/poll idle", size), |b| {
            let mut queue = DelayQueue::new();
            delays[..size].iter().for_each(|delay| {
                queue.insert(0u64, Duration::from_micros(*delay as u64 + 3_600_000_000));
            });
            b.iter(|| {
                runtime.block_on(poll_fn(|cx| {
                    black_box(queue.poll_expired(cx).is_pending());
                    Poll::Ready(())
                }));
            });
        });
    }
    group.finish();
}

fn heavy_hitters(c: &mut Criterion) {
    let mut group = c.benchmark_group("heavy holders");
    group.throughput(Throughput::Elements(OPERATIONS as u64));
    for size in SIZES {
        let ids = random_numbers(size);
        let mut next = 0;
        let mut sketch = HeavyHitters::new(64);
        group.bench_function(BenchmarkId::new("space-saving, 64 counters", size), |b| {
            b.iter(|| {
                for _ in 0..OPERATIONS {
                    next = (next + 7919) % size;
                    sketch.add(ids[next], 100);
                }
            });
        });
        let mut exact: HashMap<u64, u64> = HashMap::new();
        group.bench_function(BenchmarkId::new("HashMap of all", size), |b| {
            b.iter(|| {
                for _ in 0..OPERATIONS {
                    next = (next + 7919) % size;
                    *exact.entry(ids[next]).or_default() += 100;
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, sessions, timers, heavy_hitters);
criterion_main!(benches);
