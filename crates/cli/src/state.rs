//! The state that a daemon's operators' endpoint serves.
//!
//! It is read field by field: a daemon of another release may lack fields or have further ones, and
//! a field that is missing or of another type shows as `-`.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::error::CliError;
use crate::http::exchange;

const STATE_LIMIT: Duration = Duration::from_secs(10);

/// A JSON value of the state.
#[derive(Debug, Clone, Copy)]
pub(crate) struct View<'a>(&'a Value);

/// The whole state.
#[derive(Debug)]
pub(crate) struct State(Value);

impl State {
    pub(crate) fn value(&self) -> &Value {
        &self.0
    }

    pub(crate) fn view(&self) -> View<'_> {
        View(&self.0)
    }
}

/// Reads the state from a daemon.
pub(crate) async fn fetch(operator: SocketAddr) -> Result<State, CliError> {
    let path = "/state";
    let answer = exchange(operator, path, None, STATE_LIMIT).await?;
    if answer.status != 200 {
        return Err(CliError::Status {
            address: operator,
            path,
            status: answer.status,
            body: crate::http::quote(answer.body.to_string().as_bytes()),
        });
    }
    Ok(State(answer.body))
}

impl<'a> View<'a> {
    pub(crate) fn new(value: &'a Value) -> Self {
        Self(value)
    }

    pub(crate) fn value(self) -> &'a Value {
        self.0
    }

    /// Returns a member; a missing one reads as null.
    pub(crate) fn get(self, key: &str) -> Self {
        Self(self.0.get(key).unwrap_or(&Value::Null))
    }

    /// Returns the items of a list; anything else has none.
    pub(crate) fn items(self) -> impl Iterator<Item = Self> {
        self.0.as_array().into_iter().flatten().map(Self)
    }

    /// Returns a member as text; `-` if it is missing.
    pub(crate) fn text(self, key: &str) -> String {
        self.get(key).to_text()
    }

    /// Returns a member as a number; 0 if it is missing.
    pub(crate) fn number(self, key: &str) -> u64 {
        self.get(key).0.as_u64().unwrap_or(0)
    }

    pub(crate) fn flag(self, key: &str) -> bool {
        self.get(key).0.as_bool().unwrap_or(false)
    }

    /// Returns whether a member has this text.
    pub(crate) fn is(self, key: &str, text: &str) -> bool {
        self.get(key).0.as_str() == Some(text)
    }

    /// Returns the value as text: a list as its items, a missing value as `-`.
    pub(crate) fn to_text(self) -> String {
        match self.0 {
            Value::Null => "-".to_owned(),
            Value::String(text) => text.clone(),
            Value::Bool(true) => "yes".to_owned(),
            Value::Bool(false) => "no".to_owned(),
            Value::Array(_) => {
                let items: Vec<String> = self.items().map(View::to_text).collect();
                items.join(", ")
            }
            other => other.to_string(),
        }
    }
}

/// Formats a time in milliseconds for people.
pub(crate) fn duration_text(view: View<'_>) -> String {
    let Some(ms) = view.value().as_u64() else {
        return "-".to_owned();
    };
    let seconds = ms / 1_000;
    match seconds {
        0 => format!("{ms} ms"),
        1..60 => format!("{seconds}.{} s", ms % 1_000 / 100),
        60..3_600 => format!("{} min {} s", seconds / 60, seconds % 60),
        _ => format!("{} h {} min", seconds / 3_600, seconds % 3_600 / 60),
    }
}
