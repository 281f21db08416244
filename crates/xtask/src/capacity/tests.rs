//! Tests of the fit and of the page's table.

use crate::capacity::page;
use crate::capacity::slope::Slope;

const PAGE: &str = "text\n<!-- slopes: begin, written by `cargo xtask capacity --write` -->\n\
                    <!-- slopes: end -->\nmore\n";

fn slope(quantity: &'static str, mechanism: &'static str, base: f64) -> Slope {
    let points = [1.0, 2.0, 4.0].map(|size| (size, base + 3.0 * size));
    Slope {
        quantity,
        mechanism,
        size: "leafs",
        points: points.to_vec(),
    }
}

/// Guards against a fit that does not reproduce the line on which all points lie.
#[test]
fn fits_a_line() {
    let fit = slope("a", "m", 5.0).fit();
    let is_near = |value: f64, expected: f64| (value - expected).abs() < 1e-9;
    assert!(is_near(fit.base, 5.0) && is_near(fit.slope, 3.0) && is_near(fit.relative_error, 0.0));
}

/// Guards against a check that fails on other figures, or passes with other rows or mechanisms.
#[test]
fn page_check_compares_rows_but_not_figures() {
    let rows = [slope("a", "m", 1.0), slope("b", "n", 1.0)];
    let page = page::replace(PAGE, &page::table(&rows)).expect("the page has markers");
    assert!(page.starts_with("text\n") && page.ends_with("more\n"));
    let check = |rows: &[Slope]| page::compare(&page, rows).is_ok();
    assert!(check(&[slope("a", "m", 9.0), slope("b", "n", 7.0)]));
    assert!(!check(&rows[..1]), "a row that nothing measures");
    assert!(!check(&[slope("a", "m", 1.0), slope("b", "other", 1.0)]));
    assert!(!check(&[rows[1].clone(), rows[0].clone()]), "another order");
    assert!(!check(&[
        rows[0].clone(),
        rows[1].clone(),
        slope("c", "n", 1.0)
    ]));
    assert!(page::compare("no markers", &rows).is_err());
}
