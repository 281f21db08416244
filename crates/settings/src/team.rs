use medlarpin_core::prelude::{CoverageTarget, TeamName, TeamSettings};

use crate::error::SettingsError;
use crate::reader::Field;

const KEYS: &[&str] = &[
    "weight",
    "rate_limit_per_s",
    "concurrency_limit",
    "deadline_default_ms",
    "deadline_cap_ms",
    "coverage_wanted",
    "repeat_allowed",
];

/// Maximum of a team's default deadline and deadline cap.
const MAX_DEADLINE_MS: u32 = 600_000;

pub(crate) fn read(root: &Field<'_>, name: TeamName) -> Result<TeamSettings, SettingsError> {
    let fields = root.object(KEYS)?;
    let limit = |key, example| fields.required(key, example)?.integer_u32(1..=1_000_000);
    let deadline_default_ms =
        fields.integer_u32_or("deadline_default_ms", 1..=MAX_DEADLINE_MS, 300)?;
    let deadline_cap_ms = match fields.optional("deadline_cap_ms") {
        Some(field) => read_cap(&field, deadline_default_ms)?,
        None => deadline_default_ms.max(10_000),
    };
    Ok(TeamSettings {
        name,
        weight: fields.integer_u32_or("weight", 1..=1_000, 1)?,
        rate_limit_per_s: limit("rate_limit_per_s", "200")?,
        concurrency_limit: limit("concurrency_limit", "50")?,
        deadline_default_ms,
        deadline_cap_ms,
        coverage_target: fields
            .optional("coverage_wanted")
            .map_or(Ok(CoverageTarget::All), |field| read_coverage(&field))?,
        retries_allowed: fields.boolean_or("repeat_allowed", true)?,
    })
}

fn read_cap(field: &Field<'_>, deadline_default_ms: u32) -> Result<u32, SettingsError> {
    let cap_ms = field.integer_u32(1..=MAX_DEADLINE_MS)?;
    if cap_ms < deadline_default_ms {
        return Err(SettingsError::Contradiction {
            location: field.location(),
            other: "deadline_default_ms",
            hint: format!("write at least {deadline_default_ms} (milliseconds)"),
        });
    }
    Ok(cap_ms)
}

fn read_coverage(field: &Field<'_>) -> Result<CoverageTarget, SettingsError> {
    if field.is_object() {
        let fields = field.object(&["least_share"])?;
        let share = fields.required("least_share", "0.99")?.fraction()?;
        return Ok(CoverageTarget::MinShare(share));
    }
    field.enum_value(&[("all", CoverageTarget::All)])
}
