use std::fmt;

/// Location of a field in a settings text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// File name, or path within the settings tree.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// JSON path of the field, for example `$.leafs[2].slots`.
    pub json_path: String,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            column,
            json_path,
        } = self;
        write!(f, "{file}:{line}:{column}: {json_path}")
    }
}

/// Why a settings text was rejected.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
#[expect(
    clippy::doc_markdown,
    reason = "the doc comments are messages that name fields"
)]
pub enum SettingsError {
    /// {location}: not valid JSON with comments: {reason}; hint: {hint}
    Syntax {
        /// Where the parser stopped.
        location: Box<Location>,
        /// Message of the JSON parser.
        reason: String,
        /// How to correct it.
        hint: String,
    },
    /// {location}: the text is too large, {size_bytes} bytes; hint: {hint}
    TooLarge {
        /// Start of the text.
        location: Box<Location>,
        /// Size of the text.
        size_bytes: usize,
        /// How to correct it.
        hint: String,
    },
    /// {location}: unknown key `{key}`; hint: {hint}
    UnknownKey {
        /// Location of the key.
        location: Box<Location>,
        /// The key as written.
        key: String,
        /// How to correct it.
        hint: String,
    },
    /// {location}: duplicate key `{key}`; hint: {hint}
    DuplicateKey {
        /// Location of the second occurrence.
        location: Box<Location>,
        /// The key.
        key: String,
        /// How to correct it.
        hint: String,
    },
    /// {location}: required key `{key}` is missing; hint: {hint}
    MissingKey {
        /// Location of the object that lacks the key.
        location: Box<Location>,
        /// The key.
        key: &'static str,
        /// How to correct it.
        hint: String,
    },
    /// {location}: found {found} instead of {expected}; hint: {hint}
    WrongType {
        /// Location of the value.
        location: Box<Location>,
        /// Kind of the value found.
        found: &'static str,
        /// Kind of the value expected.
        expected: &'static str,
        /// How to correct it.
        hint: String,
    },
    /// {location}: {value} is out of range; hint: {hint}
    OutOfRange {
        /// Location of the number.
        location: Box<Location>,
        /// The number as written.
        value: String,
        /// How to correct it.
        hint: String,
    },
    /// {location}: `{value}` is not a usable address; hint: {hint}
    InvalidAddress {
        /// Location of the address.
        location: Box<Location>,
        /// The address as written.
        value: String,
        /// How to correct it.
        hint: String,
    },
    /// {location}: `{value}` is not a valid name; hint: {hint}
    InvalidName {
        /// Location of the name.
        location: Box<Location>,
        /// The name as written.
        value: String,
        /// How to correct it.
        hint: String,
    },
    /// {location}: unknown value `{value}`; hint: {hint}
    UnknownValue {
        /// Location of the value.
        location: Box<Location>,
        /// The value as written.
        value: String,
        /// How to correct it.
        hint: String,
    },
    /// {location}: the list is empty; hint: {hint}
    EmptyList {
        /// Location of the list.
        location: Box<Location>,
        /// How to correct it.
        hint: String,
    },
    /// {location}: `{value}` is given twice; hint: {hint}
    DuplicateEntry {
        /// Location of the second occurrence.
        location: Box<Location>,
        /// The repeated value.
        value: String,
        /// How to correct it.
        hint: String,
    },
    /// {location}: the value contradicts `{other}`; hint: {hint}
    Contradiction {
        /// Location of the value.
        location: Box<Location>,
        /// Key whose value it contradicts.
        other: &'static str,
        /// How to correct it.
        hint: String,
    },
    /// {location}: not a path of the settings tree; hint: {hint}
    UnknownPath {
        /// Location of the path.
        location: Box<Location>,
        /// How to correct it.
        hint: String,
    },
    /// {location}: service `{service}` is not in the tree; hint: {hint}
    UnknownService {
        /// Location of the index that names the service.
        location: Box<Location>,
        /// The service.
        service: String,
        /// How to correct it.
        hint: String,
    },
    /// {location}: leaf `{leaf}` is not in service `{service}`; hint: {hint}
    UnknownLeaf {
        /// Location of the entry that names the leaf.
        location: Box<Location>,
        /// The leaf.
        leaf: String,
        /// The service.
        service: String,
        /// How to correct it.
        hint: String,
    },
}

impl SettingsError {
    /// Replaces the path within the settings tree by a file name in the error's location.
    #[must_use]
    pub fn with_file(mut self, file: &str) -> Self {
        file.clone_into(&mut self.location_mut().file);
        self
    }

    /// Returns the location of the error.
    #[must_use]
    pub fn location(&self) -> &Location {
        match self {
            Self::Syntax { location, .. }
            | Self::TooLarge { location, .. }
            | Self::UnknownKey { location, .. }
            | Self::DuplicateKey { location, .. }
            | Self::MissingKey { location, .. }
            | Self::WrongType { location, .. }
            | Self::OutOfRange { location, .. }
            | Self::InvalidAddress { location, .. }
            | Self::InvalidName { location, .. }
            | Self::UnknownValue { location, .. }
            | Self::EmptyList { location, .. }
            | Self::DuplicateEntry { location, .. }
            | Self::Contradiction { location, .. }
            | Self::UnknownPath { location, .. }
            | Self::UnknownService { location, .. }
            | Self::UnknownLeaf { location, .. } => location,
        }
    }

    /// Returns how to correct the error.
    #[must_use]
    pub fn hint(&self) -> &str {
        match self {
            Self::Syntax { hint, .. }
            | Self::TooLarge { hint, .. }
            | Self::UnknownKey { hint, .. }
            | Self::DuplicateKey { hint, .. }
            | Self::MissingKey { hint, .. }
            | Self::WrongType { hint, .. }
            | Self::OutOfRange { hint, .. }
            | Self::InvalidAddress { hint, .. }
            | Self::InvalidName { hint, .. }
            | Self::UnknownValue { hint, .. }
            | Self::EmptyList { hint, .. }
            | Self::DuplicateEntry { hint, .. }
            | Self::Contradiction { hint, .. }
            | Self::UnknownPath { hint, .. }
            | Self::UnknownService { hint, .. }
            | Self::UnknownLeaf { hint, .. } => hint,
        }
    }

    fn location_mut(&mut self) -> &mut Location {
        match self {
            Self::Syntax { location, .. }
            | Self::TooLarge { location, .. }
            | Self::UnknownKey { location, .. }
            | Self::DuplicateKey { location, .. }
            | Self::MissingKey { location, .. }
            | Self::WrongType { location, .. }
            | Self::OutOfRange { location, .. }
            | Self::InvalidAddress { location, .. }
            | Self::InvalidName { location, .. }
            | Self::UnknownValue { location, .. }
            | Self::EmptyList { location, .. }
            | Self::DuplicateEntry { location, .. }
            | Self::Contradiction { location, .. }
            | Self::UnknownPath { location, .. }
            | Self::UnknownService { location, .. }
            | Self::UnknownLeaf { location, .. } => location,
        }
    }
}
