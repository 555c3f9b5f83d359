//! What a fleet's membership costs and how fast it is, by the number of members, in virtual time.

use crate::members::{Fleet, FleetFault};
use crate::{table, TestbenchError};
use plotters::prelude::*;
use std::path::PathBuf;
use wheelpier_emulator::SECOND;

/// Members, seed and chart.
#[derive(Debug, clap::Args)]
pub struct Scale {
    /// How many members, one fleet each.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 300])]
    members: Vec<usize>,
    /// All that is drawn comes from it.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// How long each stretch lasts, in virtual seconds.
    #[arg(long, default_value_t = 20)]
    seconds: i64,
    /// Members that are killed one after the other.
    #[arg(long, default_value_t = 5)]
    kills: usize,
    /// A chart (SVG) of the traffic and of the times.
    #[arg(long)]
    chart: Option<PathBuf>,
}

/// What one fleet did.
struct Line {
    members: usize,
    settled_ms: i64,
    calm: Traffic,
    storm: Traffic,
    /// From a kill to the view without the member.
    out_ms: (i64, i64),
    /// From there until all living members have it.
    spread_ms: i64,
    /// Members put out that nothing was wrong with.
    wrongly_out: usize,
}

#[derive(Clone, Copy)]
struct Traffic {
    bytes: f64,
    messages: f64,
}

/// From so many members on the goal holds.
const LARGE: usize = 300;
/// The most that a calm member may send a second there, and in a storm.
const GOAL: (f64, f64) = (2_048.0, 10_240.0);

impl Scale {
    /// Measures each fleet.
    ///
    /// # Errors
    /// When the chart cannot be written.
    pub fn run(&self) -> Result<bool, TestbenchError> {
        let mut lines = Vec::new();
        for members in &self.members {
            lines.push(self.measure(*members));
            eprintln!("{members} members: done");
        }
        let cells = |line: &Line| {
            vec![
                line.members.to_string(),
                line.settled_ms.to_string(),
                format!("{:.0}", line.calm.bytes),
                format!("{:.1}", line.calm.messages),
                format!("{:.0}", line.storm.bytes),
                format!("{:.1}", line.storm.messages),
                line.out_ms.0.to_string(),
                line.out_ms.1.to_string(),
                line.spread_ms.to_string(),
                line.wrongly_out.to_string(),
            ]
        };
        let rows: Vec<Vec<String>> = lines.iter().map(cells).collect();
        let head = [
            "members",
            "formed ms",
            "calm B/s",
            "msg/s",
            "storm B/s",
            "msg/s",
            "out p50 ms",
            "worst",
            "spread ms",
            "wrongly out",
        ];
        println!("{}", table::lay_out(&head, &rows));
        if let Some(path) = &self.chart {
            draw(path, &lines)
                .map_err(|problem| TestbenchError::Io(std::io::Error::other(problem.to_string())))?;
        }
        let wrongly: usize = lines.iter().map(|line| line.wrongly_out).sum();
        let cheap = lines
            .iter()
            .filter(|line| line.members >= LARGE)
            .all(|line| line.calm.bytes <= GOAL.0 && line.storm.bytes <= GOAL.1);
        println!(
            "scale: wrongly out {wrongly}, traffic {}",
            if cheap { "within the goal" } else { "beyond the goal" }
        );
        Ok(wrongly == 0 && cheap)
    }

    fn measure(&self, members: usize) -> Line {
        let mut fleet = Fleet::new(members, members.min(5), false, self.seed);
        let settled_ms = fleet.run_until_settled(300 * SECOND) / 1_000;
        fleet.play(Vec::new(), 5 * SECOND);
        let calm = self.stretch(&mut fleet, members, Vec::new());
        let epoch = fleet.epoch();
        let storm = self.stretch(&mut fleet, members, vec![(0, FleetFault::Loss(0.2))]);
        let wrongly_out = fleet.epoch() - epoch;
        fleet.play(vec![(0, FleetFault::Heal)], SECOND);
        fleet.run_until_settled(60 * SECOND);
        let (mut outs, mut spreads) = (Vec::new(), Vec::new());
        let mut more = 0;
        for n in 0..self.kills.min(members / 3) {
            let (begin, epoch) = (fleet.now, fleet.epoch());
            // Voters and others in turn.
            let victim = if n % 2 == 0 { members - 1 - n } else { n };
            fleet.play(vec![(0, FleetFault::Kill(victim))], 6 * SECOND);
            let name = fleet.names[victim].clone();
            let out = fleet.views.range(epoch + 1..).find(|(_, view)| view.member_named(&name).is_none());
            let Some((at, first)) = out.map(|(at, _)| (*at, fleet.view_adopted_at[at])) else { continue };
            outs.push((first - begin) / 1_000);
            let last = fleet
                .member_adopted_at
                .range((at, 0)..(at + 1, 0))
                .map(|(_, when)| *when)
                .max()
                .unwrap_or(first);
            spreads.push((last - first) / 1_000);
            more += (fleet.epoch() - epoch).saturating_sub(1);
        }
        outs.sort_unstable();
        let middle = outs.get(outs.len() / 2).copied().unwrap_or(0);
        Line {
            members,
            settled_ms,
            calm,
            storm,
            out_ms: (middle, outs.last().copied().unwrap_or(0)),
            spread_ms: spreads.into_iter().max().unwrap_or(0),
            wrongly_out: (wrongly_out + more) as usize,
        }
    }

    fn stretch(&self, fleet: &mut Fleet, members: usize, faults: Vec<(i64, FleetFault)>) -> Traffic {
        let (bytes, messages) = (fleet.bytes, fleet.messages);
        fleet.play(faults, self.seconds * SECOND);
        let each = |sum: u64| sum as f64 / members as f64 / self.seconds as f64;
        Traffic { bytes: each(fleet.bytes - bytes), messages: each(fleet.messages - messages) }
    }
}

fn draw(path: &std::path::Path, lines: &[Line]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, (760, 320)).into_drawing_area();
    area.fill(&WHITE)?;
    let (left, right) = area.split_horizontally(380);
    let most_members = lines.iter().map(|line| line.members).max().unwrap_or(10) as f64 * 1.3;
    let of = |what: fn(&Line) -> f64| -> Vec<f64> { lines.iter().map(what).collect() };
    let panels = [
        (
            &left,
            "bytes a member a second",
            [("calm", of(|l| l.calm.bytes)), ("a fifth lost", of(|l| l.storm.bytes))],
        ),
        (
            &right,
            "milliseconds",
            [("kill to view, p50", of(|l| l.out_ms.0 as f64)), ("view to all", of(|l| l.spread_ms as f64))],
        ),
    ];
    for (panel, title, series) in panels {
        let most = series.iter().flat_map(|(_, values)| values).copied().fold(1.0, f64::max) * 1.15;
        let mut chart = ChartBuilder::on(panel)
            .caption(title, ("sans-serif", 14))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d((8.0..most_members).log_scale(), 0.0..most)?;
        chart.configure_mesh().x_desc("members").draw()?;
        for ((name, values), colour) in series.into_iter().zip([BLUE, RED]) {
            let points: Vec<(f64, f64)> = lines.iter().map(|l| l.members as f64).zip(values).collect();
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
