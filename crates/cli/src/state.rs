//! The state that a daemon's operator endpoint serves.
//!
//! Fields are read one by one, because a daemon of another version may lack fields or have
//! additional ones. A missing field is shown as `-`, counted as 0, or read as false or as an empty
//! list.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::error::CliError;
use crate::http::send_request;

const STATE_TIMEOUT: Duration = Duration::from_secs(10);

/// A JSON value with accessors that tolerate missing fields.
#[derive(Debug, Clone, Copy)]
pub(crate) struct JsonView<'a>(&'a Value);

/// The whole state of a daemon.
#[derive(Debug)]
pub(crate) struct DaemonState(Value);

impl DaemonState {
    pub(crate) fn value(&self) -> &Value {
        &self.0
    }

    pub(crate) fn view(&self) -> JsonView<'_> {
        JsonView(&self.0)
    }
}

/// Fetches the state from a daemon's operator endpoint.
pub(crate) async fn fetch_state(operator_address: SocketAddr) -> Result<DaemonState, CliError> {
    let path = "/state";
    let answer = send_request(operator_address, path, None, STATE_TIMEOUT).await?;
    if answer.status != 200 {
        return Err(CliError::UnexpectedStatus {
            address: operator_address,
            path,
            status: answer.status,
            body: crate::http::excerpt(answer.body.to_string().as_bytes()),
        });
    }
    Ok(DaemonState(answer.body))
}

impl<'a> JsonView<'a> {
    pub(crate) fn new(value: &'a Value) -> Self {
        Self(value)
    }

    pub(crate) fn value(self) -> &'a Value {
        self.0
    }

    /// Returns a field; null if it is missing.
    pub(crate) fn get(self, key: &str) -> Self {
        Self(self.0.get(key).unwrap_or(&Value::Null))
    }

    /// Returns the items of a list; no items if the value is not a list.
    pub(crate) fn items(self) -> impl Iterator<Item = Self> {
        self.0.as_array().into_iter().flatten().map(Self)
    }

    /// Returns a field as text; `-` if it is missing.
    pub(crate) fn text(self, key: &str) -> String {
        self.get(key).to_text()
    }

    /// Returns a field as a number; 0 if it is missing or not a whole number.
    pub(crate) fn number(self, key: &str) -> u64 {
        self.get(key).0.as_u64().unwrap_or(0)
    }

    /// Returns a field as a boolean; false if it is missing or not a boolean.
    pub(crate) fn flag(self, key: &str) -> bool {
        self.get(key).0.as_bool().unwrap_or(false)
    }

    /// Returns whether a field is this string.
    pub(crate) fn has_text(self, key: &str, text: &str) -> bool {
        self.get(key).0.as_str() == Some(text)
    }

    /// Returns the value as text: a list as its items separated by commas, null as `-`.
    pub(crate) fn to_text(self) -> String {
        match self.0 {
            Value::Null => "-".to_owned(),
            Value::String(text) => text.clone(),
            Value::Bool(true) => "yes".to_owned(),
            Value::Bool(false) => "no".to_owned(),
            Value::Array(_) => {
                let items: Vec<String> = self.items().map(JsonView::to_text).collect();
                items.join(", ")
            }
            other => other.to_string(),
        }
    }
}

/// Formats a duration in milliseconds for display; `-` if the value is not a number.
pub(crate) fn duration_text(view: JsonView<'_>) -> String {
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
