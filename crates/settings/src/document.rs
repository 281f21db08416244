//! Parsing of a settings text as JSON with comments.

use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::MAX_TEXT_BYTES;
use crate::error::{Location, SettingsError};
use crate::reader::{Field, MAX_QUOTED_CHARS};
use crate::suggestion::truncate;

/// A settings text and its file name, or its path within the settings tree.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Source<'a> {
    pub(crate) file: &'a str,
    pub(crate) text: &'a str,
}

impl Source<'_> {
    /// Returns the location of a byte offset.
    #[expect(
        clippy::unnecessary_box_returns,
        reason = "errors box their location to stay small"
    )]
    pub(crate) fn location(&self, offset: usize, json_path: &str) -> Box<Location> {
        let end = self.text.floor_char_boundary(offset.min(self.text.len()));
        let before = &self.text[..end];
        let line_start = before.rfind('\n').map_or(0, |index| index + 1);
        Box::new(Location {
            file: self.file.to_owned(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            json_path: json_path.to_owned(),
        })
    }
}

/// Parses the text and calls `read` with its root value.
pub(crate) fn read_document<T>(
    source: Source<'_>,
    read: impl FnOnce(&Field<'_>) -> Result<T, SettingsError>,
) -> Result<T, SettingsError> {
    if source.text.len() > MAX_TEXT_BYTES {
        return Err(SettingsError::TooLarge {
            location: source.location(0, "$"),
            size_bytes: source.text.len(),
            hint: format!("a text has at most {MAX_TEXT_BYTES} bytes; remove comments or entries"),
        });
    }
    let syntax = |offset, reason: String, hint: &str| SettingsError::Syntax {
        location: source.location(offset, "$"),
        reason: truncate(&reason, MAX_QUOTED_CHARS),
        hint: hint.to_owned(),
    };
    let parsed = parse_to_ast(
        source.text,
        &CollectOptions::default(),
        &jsonc_parse_options(),
    )
    .map_err(|error| {
        let hint = "check the quotes, commas and brackets here and on the line before";
        syntax(error.range().start, error.kind().to_string(), hint)
    })?;
    let Some(value) = parsed.value else {
        return Err(syntax(
            0,
            "the text is empty".to_owned(),
            "write an object: { ... }",
        ));
    };
    read(&Field::root(source, &value))
}

/// Returns the parse options of all JSONC files of this project: JSON with comments and trailing
/// commas, without any other extension.
#[must_use]
pub fn jsonc_parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}
