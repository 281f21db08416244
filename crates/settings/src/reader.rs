//! Typed access to the values of a parsed text; every error names its location.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;

use crate::document::Source;
use crate::error::{Location, SettingsError};
use crate::suggestion::{suggestion, truncate};

/// Maximum number of characters of a value that an error quotes.
pub(crate) const MAX_QUOTED_CHARS: usize = 80;
/// Maximum length of a name; names become metric labels and log fields.
const MAX_NAME_BYTES: usize = 100;

/// A JSON value and its location.
#[derive(Debug)]
pub(crate) struct Field<'a> {
    source: Source<'a>,
    json_path: String,
    /// Key of the value in its object; empty for the root and for items of a list.
    key: &'a str,
    value: &'a Value<'a>,
}

impl<'a> Field<'a> {
    pub(crate) fn root(source: Source<'a>, value: &'a Value<'a>) -> Self {
        Self {
            source,
            json_path: "$".to_owned(),
            key: "",
            value,
        }
    }

    #[expect(
        clippy::unnecessary_box_returns,
        reason = "errors box their location to stay small"
    )]
    pub(crate) fn location(&self) -> Box<Location> {
        self.source.location(self.value.start(), &self.json_path)
    }

    /// Returns the fields of an object; fails on an unknown or duplicate key.
    pub(crate) fn object(
        &self,
        known: &'static [&'static str],
    ) -> Result<Fields<'a>, SettingsError> {
        let Value::Object(object) = self.value else {
            return Err(self.wrong_type("an object", "write { ... } here".to_owned()));
        };
        let mut seen: Vec<&str> = Vec::with_capacity(known.len());
        for property in &object.properties {
            let key = property.name.as_str();
            let location = || {
                let json_path = format!("{}.{}", self.json_path, truncate(key, MAX_QUOTED_CHARS));
                self.source.location(property.name.start(), &json_path)
            };
            if !known.contains(&key) {
                return Err(SettingsError::UnknownKey {
                    location: location(),
                    key: truncate(key, MAX_QUOTED_CHARS),
                    hint: suggestion(key, known),
                });
            }
            if seen.contains(&key) {
                return Err(SettingsError::DuplicateKey {
                    location: location(),
                    key: key.to_owned(),
                    hint: "keep one of the two".to_owned(),
                });
            }
            seen.push(key);
        }
        Ok(Fields {
            source: self.source,
            json_path: self.json_path.clone(),
            object,
        })
    }

    pub(crate) fn is_object(&self) -> bool {
        matches!(self.value, Value::Object(_))
    }

    /// Returns the items of a list.
    pub(crate) fn items(&self) -> Result<impl Iterator<Item = Field<'a>>, SettingsError> {
        let Value::Array(array) = self.value else {
            return Err(self.wrong_type("a list", "write [ ... ] here".to_owned()));
        };
        let (source, json_path) = (self.source, self.json_path.clone());
        Ok(array
            .elements
            .iter()
            .enumerate()
            .map(move |(index, value)| Field {
                source,
                json_path: format!("{json_path}[{index}]"),
                key: "",
                value,
            }))
    }

    /// Returns the items of a list that may not be empty.
    pub(crate) fn non_empty_items(&self) -> Result<impl Iterator<Item = Field<'a>>, SettingsError> {
        let mut items = self.items()?.peekable();
        if items.peek().is_none() {
            return Err(SettingsError::EmptyList {
                location: self.location(),
                hint: "give at least one entry".to_owned(),
            });
        }
        Ok(items)
    }

    pub(crate) fn boolean(&self) -> Result<bool, SettingsError> {
        match self.value {
            Value::BooleanLit(literal) => Ok(literal.value),
            _ => Err(self.wrong_type(
                "a boolean",
                "write true or false, without quotes".to_owned(),
            )),
        }
    }

    pub(crate) fn text(&self) -> Result<&'a str, SettingsError> {
        match self.value {
            Value::StringLit(literal) => Ok(&literal.value),
            _ => Err(self.wrong_type("a string", "write it in double quotes".to_owned())),
        }
    }

    /// Returns a whole number within the range.
    pub(crate) fn integer(&self, range: RangeInclusive<u64>) -> Result<u64, SettingsError> {
        let unit = unit_suffix(self.key);
        let (min, max) = (range.start(), range.end());
        let hint = format!("write a whole number from {min} to {max}{unit}");
        let Value::NumberLit(literal) = self.value else {
            return Err(self.wrong_type("a number", format!("{hint}, without quotes or unit")));
        };
        if let Ok(number) = literal.value.parse::<u64>()
            && range.contains(&number)
        {
            return Ok(number);
        }
        Err(SettingsError::OutOfRange {
            location: self.location(),
            value: truncate(literal.value, MAX_QUOTED_CHARS),
            hint,
        })
    }

    /// Returns a whole number within the range, as the narrower type.
    pub(crate) fn integer_u32(&self, range: RangeInclusive<u32>) -> Result<u32, SettingsError> {
        let wide = u64::from(*range.start())..=u64::from(*range.end());
        let number = self.integer(wide)?;
        Ok(u32::try_from(number).unwrap_or(*range.end()))
    }

    /// Returns a number, possibly with a fraction, from `min` to `max`.
    pub(crate) fn decimal(&self, min: f64, max: f64) -> Result<f64, SettingsError> {
        let hint = format!(
            "write a number from {min} to {max}{}",
            unit_suffix(self.key)
        );
        let Value::NumberLit(literal) = self.value else {
            return Err(self.wrong_type("a number", hint));
        };
        match literal.value.parse::<f64>() {
            Ok(number) if (min..=max).contains(&number) => Ok(number),
            _ => Err(SettingsError::OutOfRange {
                location: self.location(),
                value: truncate(literal.value, MAX_QUOTED_CHARS),
                hint,
            }),
        }
    }

    /// Returns a fraction above 0 and below 1.
    pub(crate) fn fraction(&self) -> Result<f64, SettingsError> {
        let hint = "write a share above 0 and below 1, for example 0.99";
        let Value::NumberLit(literal) = self.value else {
            return Err(self.wrong_type("a number", hint.to_owned()));
        };
        match literal.value.parse::<f64>() {
            Ok(fraction) if fraction > 0.0 && fraction < 1.0 => Ok(fraction),
            _ => Err(SettingsError::OutOfRange {
                location: self.location(),
                value: truncate(literal.value, MAX_QUOTED_CHARS),
                hint: hint.to_owned(),
            }),
        }
    }

    /// Returns a name of ASCII letters, digits and characters of `punctuation`.
    pub(crate) fn name(&self, punctuation: &str) -> Result<&'a str, SettingsError> {
        let text = self.text()?;
        if is_valid_name(text, punctuation) {
            return Ok(text);
        }
        Err(SettingsError::InvalidName {
            location: self.location(),
            value: truncate(text, MAX_QUOTED_CHARS),
            hint: invalid_name_hint(punctuation),
        })
    }

    /// Returns an address to listen on; with port 0 the operating system chooses a port.
    pub(crate) fn listen_address(&self) -> Result<SocketAddr, SettingsError> {
        let text = self.text()?;
        text.parse().map_err(|_error| self.invalid_address(text))
    }

    /// Returns an address to connect to; rejects port 0 and unspecified IP addresses.
    pub(crate) fn remote_address(&self) -> Result<SocketAddr, SettingsError> {
        let text = self.text()?;
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 && !address.ip().is_unspecified() => Ok(address),
            _ => Err(self.invalid_address(text)),
        }
    }

    /// Parses a string that must be one of the names in `known`; returns the value paired with it.
    pub(crate) fn enum_value<T: Copy>(
        &self,
        known: &[(&'static str, T)],
    ) -> Result<T, SettingsError> {
        let names: Vec<&str> = known.iter().map(|(name, _)| *name).collect();
        let Value::StringLit(literal) = self.value else {
            let hint = format!("write one of {}, in double quotes", names.join(", "));
            return Err(self.wrong_type("a string", hint));
        };
        let found = known.iter().find(|(name, _)| *name == literal.value);
        found
            .map(|(_, value)| *value)
            .ok_or_else(|| SettingsError::UnknownValue {
                location: self.location(),
                value: truncate(&literal.value, MAX_QUOTED_CHARS),
                hint: suggestion(&literal.value, &names),
            })
    }

    /// Returns the error for an entry whose `value` must be unique but has occurred before.
    pub(crate) fn duplicate_entry(&self, value: &str, hint: &str) -> SettingsError {
        SettingsError::DuplicateEntry {
            location: self.location(),
            value: value.to_owned(),
            hint: hint.to_owned(),
        }
    }

    fn wrong_type(&self, expected: &'static str, hint: String) -> SettingsError {
        let found = match self.value {
            Value::StringLit(_) => "a string",
            Value::NumberLit(_) => "a number",
            Value::BooleanLit(_) => "a boolean",
            Value::Object(_) => "an object",
            Value::Array(_) => "a list",
            Value::NullKeyword(_) => "null",
        };
        SettingsError::WrongType {
            location: self.location(),
            found,
            expected,
            hint,
        }
    }

    fn invalid_address(&self, text: &str) -> SettingsError {
        SettingsError::InvalidAddress {
            location: self.location(),
            value: truncate(text, MAX_QUOTED_CHARS),
            hint: "write an IP address and a port, for example 192.0.2.7:9000; host names are not \
                   resolved, and a remote address needs a port other than 0"
                .to_owned(),
        }
    }
}

/// An object without unknown or duplicate keys.
#[derive(Debug)]
pub(crate) struct Fields<'a> {
    source: Source<'a>,
    json_path: String,
    object: &'a Object<'a>,
}

impl<'a> Fields<'a> {
    pub(crate) fn optional(&self, key: &'static str) -> Option<Field<'a>> {
        let property = self.object.get(key)?;
        Some(Field {
            source: self.source,
            json_path: format!("{}.{key}", self.json_path),
            key,
            value: &property.value,
        })
    }

    /// Returns a required field; the hint shows `example` if the key is missing.
    pub(crate) fn required(
        &self,
        key: &'static str,
        example: &str,
    ) -> Result<Field<'a>, SettingsError> {
        self.optional(key).ok_or_else(|| SettingsError::MissingKey {
            location: self.source.location(self.object.start(), &self.json_path),
            key,
            hint: format!("add \"{key}\": {example}"),
        })
    }

    /// Returns a whole number within the range, or the default if the key is absent.
    pub(crate) fn integer_or(
        &self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Result<u64, SettingsError> {
        self.optional(key)
            .map_or(Ok(default), |field| field.integer(range))
    }

    /// Returns a whole number within the range, or the default if the key is absent.
    pub(crate) fn integer_u32_or(
        &self,
        key: &'static str,
        range: RangeInclusive<u32>,
        default: u32,
    ) -> Result<u32, SettingsError> {
        self.optional(key)
            .map_or(Ok(default), |field| field.integer_u32(range))
    }

    /// Returns a boolean, or the default if the key is absent.
    pub(crate) fn boolean_or(
        &self,
        key: &'static str,
        default: bool,
    ) -> Result<bool, SettingsError> {
        self.optional(key)
            .map_or(Ok(default), |field| field.boolean())
    }

    /// Parses one of the names in `known`, or returns the default if the key is absent.
    pub(crate) fn enum_value_or<T: Copy>(
        &self,
        key: &'static str,
        known: &[(&'static str, T)],
        default: T,
    ) -> Result<T, SettingsError> {
        self.optional(key)
            .map_or(Ok(default), |field| field.enum_value(known))
    }
}

/// Returns true if the text consists of 1 to 100 ASCII letters, digits and characters of
/// `punctuation`.
pub(crate) fn is_valid_name(text: &str, punctuation: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len())
        && text
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || punctuation.contains(c))
}

/// Returns the hint for an invalid name.
pub(crate) fn invalid_name_hint(punctuation: &str) -> String {
    format!("a name has 1 to {MAX_NAME_BYTES} ASCII letters, digits or any of {punctuation}")
}

fn unit_suffix(key: &str) -> &'static str {
    if key.ends_with("_ms") {
        " (milliseconds)"
    } else if key.ends_with("_bytes") {
        " (bytes)"
    } else if key.ends_with("_per_s") {
        " (per second)"
    } else if key.ends_with("_s") {
        " (seconds)"
    } else {
        ""
    }
}
