//! The table of slopes in docs/CAPACITY.md.

use std::fmt::Write;

use crate::capacity::error::CapacityError;
use crate::capacity::slope::Slope;

const BEGIN: &str = "<!-- slopes: begin, written by `cargo xtask capacity --write` -->\n";
const END: &str = "<!-- slopes: end -->";
const HEADER: &str = "| quantity | mechanism | size | values at sizes | base | slope | error |\n\
                      |---|---|---|---|---|---|---|\n";

fn path() -> String {
    concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CAPACITY.md").to_owned()
}

/// Returns the slopes and their fits as a Markdown table.
#[must_use]
pub fn table(slopes: &[Slope]) -> String {
    let mut table = HEADER.to_owned();
    for slope in slopes {
        let fit = slope.fit();
        let points = slope.points.iter();
        let points: Vec<String> = points
            .map(|(size, value)| format!("{size}: {}", format_value(*value)))
            .collect();
        // Writing to a string cannot fail.
        let _ = writeln!(
            table,
            "| {} | `{}` | {} | {} | {} | {} | {:.0}% |",
            slope.quantity,
            slope.mechanism,
            slope.size,
            points.join(", "),
            format_value(fit.base),
            format_value(fit.slope),
            fit.relative_error * 100.0
        );
    }
    table
}

/// Compares the rows and mechanisms of the page's table, but not its figures.
pub fn check(slopes: &[Slope]) -> Result<(), CapacityError> {
    compare(&read()?, slopes)
}

/// Compares the rows and mechanisms of a page's table with the slopes.
pub fn compare(page: &str, slopes: &[Slope]) -> Result<(), CapacityError> {
    let (start, end) = table_range(page)?;
    let published: Vec<String> = page[start..end].lines().skip(2).map(row_key).collect();
    let table = table(slopes);
    let measured: Vec<String> = table.lines().skip(2).map(row_key).collect();
    let missing = measured.iter().find(|row| !published.contains(row));
    if let Some(row) = missing {
        return Err(CapacityError::Differs(format!("it lacks the row {row}")));
    }
    let stale = published.iter().find(|row| !measured.contains(row));
    if let Some(row) = stale {
        return Err(CapacityError::Differs(format!(
            "no measurement produces the row {row}"
        )));
    }
    if published == measured {
        Ok(())
    } else {
        Err(CapacityError::Differs(
            "it repeats rows or has them in another order".to_owned(),
        ))
    }
}

/// Replaces the page's table.
pub fn write(table: &str) -> Result<(), CapacityError> {
    let page = replace(&read()?, table)?;
    std::fs::write(path(), page).map_err(|error| CapacityError::File {
        path: path(),
        error,
    })
}

/// Returns a page with its table replaced.
pub fn replace(page: &str, table: &str) -> Result<String, CapacityError> {
    let (start, end) = table_range(page)?;
    Ok(format!("{}{table}{}", &page[..start], &page[end..]))
}

fn read() -> Result<String, CapacityError> {
    std::fs::read_to_string(path()).map_err(|error| CapacityError::File {
        path: path(),
        error,
    })
}

/// Returns the byte offsets at which the page's table starts and ends.
fn table_range(page: &str) -> Result<(usize, usize), CapacityError> {
    let no_markers = || CapacityError::NoMarkers(path());
    let start = page.find(BEGIN).ok_or_else(no_markers)? + BEGIN.len();
    let length = page[start..].find(END).ok_or_else(no_markers)?;
    Ok((start, start + length))
}

/// Returns the columns that identify a row: quantity, mechanism and size.
fn row_key(row: &str) -> String {
    row.split('|')
        .skip(1)
        .take(3)
        .map(str::trim)
        .collect::<Vec<_>>()
        .join(" | ")
}

/// Formats a value as a whole number from 100 on, with three significant digits below that, and
/// with five decimals below 0.01.
fn format_value(value: f64) -> String {
    let digits = match value.abs() {
        size if size >= 100.0 || size == 0.0 => 0,
        size if size >= 10.0 => 1,
        size if size >= 1.0 => 2,
        size if size >= 0.1 => 3,
        size if size >= 0.01 => 4,
        _ => 5,
    };
    format!("{value:.digits$}")
}
