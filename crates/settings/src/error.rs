use std::fmt;

/// Position of a field in a settings text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// File name, or path within the settings tree.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// JSON path of the field, for example `$.leafs[2].slots`.
    pub json_path: String,
}

impl fmt::Display for Place {
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

/// Why a settings text was refused.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
#[expect(
    clippy::doc_markdown,
    reason = "the doc comments are messages that name fields"
)]
pub enum SettingsError {
    /// {place}: not valid JSON with comments: {reason}; hint: {hint}
    Syntax {
        /// Where the parser stopped.
        place: Box<Place>,
        /// What the parser met.
        reason: String,
        /// How to correct it.
        hint: String,
    },
    /// {place}: the text is too large, {size_bytes} bytes; hint: {hint}
    TooLarge {
        /// The text.
        place: Box<Place>,
        /// Size of the text.
        size_bytes: usize,
        /// How to correct it.
        hint: String,
    },
    /// {place}: unknown key `{key}`; hint: {hint}
    UnknownKey {
        /// The key.
        place: Box<Place>,
        /// The key as written.
        key: String,
        /// How to correct it.
        hint: String,
    },
    /// {place}: duplicate key `{key}`; hint: {hint}
    DuplicateKey {
        /// The second occurrence.
        place: Box<Place>,
        /// The key.
        key: String,
        /// How to correct it.
        hint: String,
    },
    /// {place}: required key `{key}` is missing; hint: {hint}
    MissingKey {
        /// The object that lacks the key.
        place: Box<Place>,
        /// The key.
        key: &'static str,
        /// How to correct it.
        hint: String,
    },
    /// {place}: found {found} instead of {expected}; hint: {hint}
    WrongType {
        /// The value.
        place: Box<Place>,
        /// Kind of the value found.
        found: &'static str,
        /// Kind of the value expected.
        expected: &'static str,
        /// How to correct it.
        hint: String,
    },
    /// {place}: {value} is out of range; hint: {hint}
    OutOfRange {
        /// The number.
        place: Box<Place>,
        /// The number as written.
        value: String,
        /// How to correct it.
        hint: String,
    },
    /// {place}: `{value}` is not a usable address; hint: {hint}
    InvalidAddress {
        /// The address.
        place: Box<Place>,
        /// The address as written.
        value: String,
        /// How to correct it.
        hint: String,
    },
    /// {place}: `{value}` is not a valid name; hint: {hint}
    InvalidName {
        /// The name.
        place: Box<Place>,
        /// The name as written.
        value: String,
        /// How to correct it.
        hint: String,
    },
    /// {place}: unknown value `{value}`; hint: {hint}
    UnknownValue {
        /// The value.
        place: Box<Place>,
        /// The value as written.
        value: String,
        /// How to correct it.
        hint: String,
    },
    /// {place}: the list is empty; hint: {hint}
    EmptyList {
        /// The list.
        place: Box<Place>,
        /// How to correct it.
        hint: String,
    },
    /// {place}: `{value}` is given twice; hint: {hint}
    DuplicateEntry {
        /// The second occurrence.
        place: Box<Place>,
        /// The repeated value.
        value: String,
        /// How to correct it.
        hint: String,
    },
    /// {place}: the value contradicts `{other}`; hint: {hint}
    Contradiction {
        /// The value.
        place: Box<Place>,
        /// The key that it contradicts.
        other: &'static str,
        /// How to correct it.
        hint: String,
    },
    /// {place}: not a path of the settings tree; hint: {hint}
    UnknownPath {
        /// The path.
        place: Box<Place>,
        /// How to correct it.
        hint: String,
    },
    /// {place}: service `{service}` is not in the tree; hint: {hint}
    UnknownService {
        /// The index that names the service.
        place: Box<Place>,
        /// The service.
        service: String,
        /// How to correct it.
        hint: String,
    },
    /// {place}: leaf `{leaf}` is not in service `{service}`; hint: {hint}
    UnknownLeaf {
        /// The entry that names the leaf.
        place: Box<Place>,
        /// The leaf.
        leaf: String,
        /// The service.
        service: String,
        /// How to correct it.
        hint: String,
    },
}

impl SettingsError {
    /// Names the text by its file instead of its path within the tree.
    #[must_use]
    pub fn with_file(mut self, file: &str) -> Self {
        file.clone_into(&mut self.place_mut().file);
        self
    }

    /// Returns where the error is.
    #[must_use]
    pub fn place(&self) -> &Place {
        match self {
            Self::Syntax { place, .. }
            | Self::TooLarge { place, .. }
            | Self::UnknownKey { place, .. }
            | Self::DuplicateKey { place, .. }
            | Self::MissingKey { place, .. }
            | Self::WrongType { place, .. }
            | Self::OutOfRange { place, .. }
            | Self::InvalidAddress { place, .. }
            | Self::InvalidName { place, .. }
            | Self::UnknownValue { place, .. }
            | Self::EmptyList { place, .. }
            | Self::DuplicateEntry { place, .. }
            | Self::Contradiction { place, .. }
            | Self::UnknownPath { place, .. }
            | Self::UnknownService { place, .. }
            | Self::UnknownLeaf { place, .. } => place,
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

    fn place_mut(&mut self) -> &mut Place {
        match self {
            Self::Syntax { place, .. }
            | Self::TooLarge { place, .. }
            | Self::UnknownKey { place, .. }
            | Self::DuplicateKey { place, .. }
            | Self::MissingKey { place, .. }
            | Self::WrongType { place, .. }
            | Self::OutOfRange { place, .. }
            | Self::InvalidAddress { place, .. }
            | Self::InvalidName { place, .. }
            | Self::UnknownValue { place, .. }
            | Self::EmptyList { place, .. }
            | Self::DuplicateEntry { place, .. }
            | Self::Contradiction { place, .. }
            | Self::UnknownPath { place, .. }
            | Self::UnknownService { place, .. }
            | Self::UnknownLeaf { place, .. } => place,
        }
    }
}
