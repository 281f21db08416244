use std::fmt;

/// Maximum length of a name in a report. Names of routes and services are shorter; a longer one
/// would make the report as large as the configuration for each line that names it.
pub const NAME_CHARS_MAX: usize = 100;

/// A name or path from a configuration, cut to [`NAME_CHARS_MAX`] characters.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShortName(Box<str>);

impl ShortName {
    /// Copies the start of a name; an ellipsis marks one that was cut.
    #[must_use]
    pub fn new(name: &str) -> Self {
        match name.char_indices().nth(NAME_CHARS_MAX) {
            Some((end, _)) => Self(format!("{}…", &name[..end]).into()),
            None => Self(name.into()),
        }
    }

    /// Returns the text of the name.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ShortName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Shows the name in quotes, for messages.
impl fmt::Debug for ShortName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self.as_str(), f)
    }
}
