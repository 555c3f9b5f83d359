//! Markdown tables with aligned columns, for the output of experiments.

/// Formats a Markdown table. The first column is aligned to the left, the others to the right.
pub fn lay_out(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = head.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let line = |cells: Vec<&str>| {
        let cells: Vec<String> = cells
            .iter()
            .zip(&widths)
            .enumerate()
            .map(
                |(n, (cell, width))| {
                    if n == 0 {
                        format!("{cell:width$}")
                    } else {
                        format!("{cell:>width$}")
                    }
                },
            )
            .collect();
        format!("| {} |\n", cells.join(" | "))
    };
    let separator: Vec<String> = widths
        .iter()
        .enumerate()
        .map(|(n, width)| "-".repeat(*width - usize::from(n > 0)) + if n > 0 { ":" } else { "" })
        .collect();
    let mut table = line(head.to_vec());
    table += &line(separator.iter().map(String::as_str).collect());
    rows.iter().for_each(|row| table += &line(row.iter().map(String::as_str).collect()));
    table
}
