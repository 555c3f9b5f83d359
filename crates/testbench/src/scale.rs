//! Measures the traffic and the delays of fleet membership by the number of members, in virtual time.

use crate::members::{FleetFault, VirtualFleet};
use crate::{table, TestbenchError};
use plotters::prelude::*;
use std::path::PathBuf;
use wheelpier_emulator::SECOND;

/// The arguments of `scale`.
#[derive(Debug, clap::Args)]
pub struct Scale {
    /// Numbers of members; each number is measured in a fleet of its own.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 300])]
    members: Vec<usize>,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Length of each traffic measurement in virtual seconds.
    #[arg(long, default_value_t = 20)]
    seconds: i64,
    /// Number of members that are killed one after the other.
    #[arg(long, default_value_t = 5)]
    kills: usize,
    /// Writes a chart of the traffic and the delays to this SVG file.
    #[arg(long)]
    chart: Option<PathBuf>,
}

/// The measured results of one fleet.
struct FleetResult {
    members: usize,
    /// Time until all members had the same view after the start.
    formed_ms: i64,
    /// Traffic without faults.
    calm: Traffic,
    /// Traffic while a fifth of all messages is lost.
    lossy: Traffic,
    /// Median and maximum of the time from a kill to the first view without the member.
    eviction_ms: (i64, i64),
    /// Longest time from such a view until all living members had adopted it.
    spread_ms: i64,
    /// Evictions of members that had not failed.
    wrongly_evicted: usize,
}

/// Traffic that a member sends per second, on average.
#[derive(Clone, Copy)]
struct Traffic {
    bytes: f64,
    messages: f64,
}

/// The number of members from which the traffic goal applies.
const LARGE_FLEET: usize = 300;
/// The most bytes per second that a member may send: without faults, and while a fifth of all messages is
/// lost.
const TRAFFIC_GOAL: (f64, f64) = (2_048.0, 10_240.0);

impl Scale {
    /// Measures each fleet and prints the results. Returns whether the goals are met.
    ///
    /// # Errors
    /// Fails if the chart cannot be written.
    pub fn run(&self) -> Result<bool, TestbenchError> {
        let mut results = Vec::new();
        for members in &self.members {
            results.push(self.measure(*members));
            eprintln!("{members} members: done");
        }
        let cells = |result: &FleetResult| {
            vec![
                result.members.to_string(),
                result.formed_ms.to_string(),
                format!("{:.0}", result.calm.bytes),
                format!("{:.1}", result.calm.messages),
                format!("{:.0}", result.lossy.bytes),
                format!("{:.1}", result.lossy.messages),
                result.eviction_ms.0.to_string(),
                result.eviction_ms.1.to_string(),
                result.spread_ms.to_string(),
                result.wrongly_evicted.to_string(),
            ]
        };
        let rows: Vec<Vec<String>> = results.iter().map(cells).collect();
        let head = [
            "members",
            "formed ms",
            "calm B/s",
            "msg/s",
            "lossy B/s",
            "msg/s",
            "evict p50 ms",
            "max ms",
            "spread ms",
            "wrongly evicted",
        ];
        println!("{}", table::lay_out(&head, &rows));
        if let Some(path) = &self.chart {
            draw(path, &results)
                .map_err(|error| TestbenchError::Io(std::io::Error::other(error.to_string())))?;
        }
        let wrongly_evicted: usize = results.iter().map(|result| result.wrongly_evicted).sum();
        let within_goal = results
            .iter()
            .filter(|result| result.members >= LARGE_FLEET)
            .all(|result| result.calm.bytes <= TRAFFIC_GOAL.0 && result.lossy.bytes <= TRAFFIC_GOAL.1);
        println!(
            "scale: wrongly evicted {wrongly_evicted}, traffic {}",
            if within_goal { "within the goal" } else { "beyond the goal" }
        );
        Ok(wrongly_evicted == 0 && within_goal)
    }

    fn measure(&self, members: usize) -> FleetResult {
        let mut fleet = VirtualFleet::new(members, members.min(5), false, self.seed);
        let formed_ms = fleet.run_until_settled(300 * SECOND) / 1_000;
        fleet.play(Vec::new(), 5 * SECOND);
        let calm = self.measure_traffic(&mut fleet, members, Vec::new());
        let epoch = fleet.epoch();
        let lossy = self.measure_traffic(&mut fleet, members, vec![(0, FleetFault::Loss(0.2))]);
        let wrongly_evicted = fleet.epoch() - epoch;
        fleet.play(vec![(0, FleetFault::Heal)], SECOND);
        fleet.run_until_settled(60 * SECOND);
        let (mut eviction_times, mut spread_times) = (Vec::new(), Vec::new());
        let mut further_evictions = 0;
        for n in 0..self.kills.min(members / 3) {
            let (killed_at, epoch) = (fleet.now, fleet.epoch());
            // Kills voters and other members alternately.
            let victim = if n % 2 == 0 { members - 1 - n } else { n };
            fleet.play(vec![(0, FleetFault::Kill(victim))], 6 * SECOND);
            let name = fleet.names[victim].clone();
            let eviction =
                fleet.views.range(epoch + 1..).find(|(_, view)| view.member_named(&name).is_none());
            let Some((at, first)) = eviction.map(|(at, _)| (*at, fleet.view_adopted_at[at])) else {
                continue;
            };
            eviction_times.push((first - killed_at) / 1_000);
            let last = fleet
                .member_adopted_at
                .range((at, 0)..(at + 1, 0))
                .map(|(_, when)| *when)
                .max()
                .unwrap_or(first);
            spread_times.push((last - first) / 1_000);
            further_evictions += (fleet.epoch() - epoch).saturating_sub(1);
        }
        eviction_times.sort_unstable();
        let median = eviction_times.get(eviction_times.len() / 2).copied().unwrap_or(0);
        FleetResult {
            members,
            formed_ms,
            calm,
            lossy,
            eviction_ms: (median, eviction_times.last().copied().unwrap_or(0)),
            spread_ms: spread_times.into_iter().max().unwrap_or(0),
            wrongly_evicted: (wrongly_evicted + further_evictions) as usize,
        }
    }

    fn measure_traffic(
        &self,
        fleet: &mut VirtualFleet,
        members: usize,
        faults: Vec<(i64, FleetFault)>,
    ) -> Traffic {
        let (bytes, messages) = (fleet.bytes, fleet.messages);
        fleet.play(faults, self.seconds * SECOND);
        let per_member = |sum: u64| sum as f64 / members as f64 / self.seconds as f64;
        Traffic { bytes: per_member(fleet.bytes - bytes), messages: per_member(fleet.messages - messages) }
    }
}

fn draw(path: &std::path::Path, results: &[FleetResult]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, (760, 320)).into_drawing_area();
    area.fill(&WHITE)?;
    let (left, right) = area.split_horizontally(380);
    let max_members = results.iter().map(|result| result.members).max().unwrap_or(10) as f64 * 1.3;
    let series_of = |value: fn(&FleetResult) -> f64| -> Vec<f64> { results.iter().map(value).collect() };
    let panels = [
        (
            &left,
            "bytes per member and second",
            [
                ("calm", series_of(|result| result.calm.bytes)),
                ("a fifth lost", series_of(|result| result.lossy.bytes)),
            ],
        ),
        (
            &right,
            "milliseconds",
            [
                ("kill to first view, p50", series_of(|result| result.eviction_ms.0 as f64)),
                ("first view to last member", series_of(|result| result.spread_ms as f64)),
            ],
        ),
    ];
    for (panel, title, series) in panels {
        let max_value = series.iter().flat_map(|(_, values)| values).copied().fold(1.0, f64::max) * 1.15;
        let mut chart = ChartBuilder::on(panel)
            .caption(title, ("sans-serif", 14))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d((8.0..max_members).log_scale(), 0.0..max_value)?;
        chart.configure_mesh().x_desc("members").draw()?;
        for ((name, values), colour) in series.into_iter().zip([BLUE, RED]) {
            let points: Vec<(f64, f64)> =
                results.iter().map(|result| result.members as f64).zip(values).collect();
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour));
        }
        chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    }
    area.present()?;
    Ok(())
}
