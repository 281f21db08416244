//! Measures how the costs of a daemon's work grow with size, on the shipped code and one machine.
//!
//! Each quantity is measured at three sizes or more and fitted with a straight line, so that the
//! page can compute the cost at the design size and show how well a line describes it.

mod error;
mod fixtures;
mod leaf_exchange;
mod leafs;
mod membership;
mod memory;
mod ownership;
mod page;
mod periodic;
mod queries;
mod rpc;
mod rpc_connections;
mod settings;
mod slope;
#[cfg(test)]
mod tests;
mod timing;
mod wire_batches;

use bpaf::Bpaf;

pub use error::CapacityError;
use slope::Slope;
use timing::Timer;

/// Options of the capacity measurement.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Fails if the table in docs/CAPACITY.md has other rows or mechanisms; figures may differ
    check: bool,
    /// Replaces the table in docs/CAPACITY.md
    write: bool,
}

/// Measures all slopes, prints them and compares or replaces the page's table.
///
/// # Errors
///
/// Fails if a measurement cannot run, or if the page differs or cannot be written.
pub fn run(options: &Options) -> Result<(), CapacityError> {
    // The check compares no figures, so one run of each measurement is enough.
    let timer = Timer::new(if options.check { 1 } else { 9 });
    let slopes = measure_all(timer, !options.check)?;
    let table = page::table(&slopes);
    print!("{table}");
    if options.check {
        page::check(&slopes)?;
    }
    if options.write {
        page::write(&table)?;
    }
    Ok(())
}

fn measure_all(timer: Timer, compares_figures: bool) -> Result<Vec<Slope>, CapacityError> {
    // Memory is measured first: memory that other measurements have freed would be reused
    // uncounted.
    let mut slopes = memory::measure()?;
    slopes.extend(membership::measure(compares_figures)?);
    slopes.extend(settings::measure(timer)?);
    slopes.extend(ownership::measure(timer));
    slopes.extend(queries::measure(timer)?);
    slopes.extend(leafs::measure(timer));
    slopes.extend(wire_batches::measure(timer)?);
    slopes.extend(periodic::measure(timer)?);
    slopes.push(rpc_connections::calls()?);
    slopes.push(leaf_exchange::measure()?);
    Ok(slopes)
}
