use std::fmt::Write as _;

use serde_json::Value;

use crate::exit::Exit;

/// Output of a command and its exit code.
#[derive(Debug)]
pub(crate) struct Report {
    text: String,
    exit: Exit,
}

impl Report {
    pub(crate) fn from_text(text: String, exit: Exit) -> Self {
        Self { text, exit }
    }

    pub(crate) fn from_json(value: &Value, exit: Exit) -> Self {
        Self {
            text: format!("{value:#}\n"),
            exit,
        }
    }

    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    pub(crate) fn exit(&self) -> Exit {
        self.exit
    }
}

/// Rows of text in aligned columns.
#[derive(Debug, Default)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn with_header(header: &[&str]) -> Self {
        Self {
            rows: vec![header.iter().map(|&cell| cell.to_owned()).collect()],
        }
    }

    pub(crate) fn push<T: Into<String>>(&mut self, row: impl IntoIterator<Item = T>) {
        let cells = row.into_iter().map(|cell| printable(&cell.into()));
        self.rows.push(cells.collect());
    }

    pub(crate) fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                let _ = write!(line, "{cell:width$}  ");
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}

/// Escapes control characters, because names and rows come from other systems and must not send
/// control sequences to the terminal.
pub(crate) fn printable(text: &str) -> String {
    text.chars()
        .flat_map(|c| {
            let escaped: Vec<char> = if c.is_control() {
                c.escape_default().collect()
            } else {
                vec![c]
            };
            escaped
        })
        .collect()
}
