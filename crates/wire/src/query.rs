//! Queries that an entry daemon forwards to the issuer of their ticket.

use medlarpin_core::prelude::*;

use crate::error::{WireError, check_length};
use crate::peer_capnp::{caller_answer, caller_query};

/// Maximum number of shards that one query may list.
const MAX_SHARDS: u32 = 1 << 20;

/// A caller's query with its ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerQuery {
    /// Request id that the entry daemon assigned.
    pub request: RequestId,
    /// Team of the caller.
    pub team: TeamName,
    /// Service to search.
    pub service: ServiceName,
    /// Query text.
    pub query: String,
    /// Shards to query; empty means all.
    pub shards: Vec<ShardId>,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Ticket as the caller sent it.
    pub ticket: String,
}

impl CallerQuery {
    /// Parses a received message.
    ///
    /// # Errors
    ///
    /// Fails if the message is malformed or too long.
    pub fn read(reader: caller_query::Reader<'_>) -> Result<Self, WireError> {
        let shards = reader.get_shards()?;
        check_length("shards", shards.len(), MAX_SHARDS)?;
        Ok(Self {
            request: join_request_id(reader.get_request_id_high(), reader.get_request_id_low()),
            team: TeamName::new(reader.get_team()?.to_str()?),
            service: ServiceName::new(reader.get_service()?.to_str()?),
            query: reader.get_query()?.to_string()?,
            shards: shards.iter().map(ShardId).collect(),
            time_left: Duration::from_micros(reader.get_time_left_us()),
            ticket: reader.get_ticket()?.to_string()?,
        })
    }

    /// Writes the message.
    pub fn write(&self, mut builder: caller_query::Builder<'_>) {
        let (high, low) = split_request_id(self.request);
        builder.set_request_id_high(high);
        builder.set_request_id_low(low);
        builder.set_team(self.team.as_str());
        builder.set_service(self.service.as_str());
        builder.set_query(&self.query);
        let mut shards = builder.reborrow().init_shards(list_length(&self.shards));
        for (index, shard) in (0..).zip(&self.shards) {
            shards.set(index, shard.0);
        }
        builder.set_time_left_us(saturating_micros(self.time_left));
        builder.set_ticket(&self.ticket);
    }
}

/// The answer to a forwarded query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerAnswer {
    /// HTTP status that the caller receives.
    pub http_status: u16,
    /// JSON body that the caller receives.
    pub body: Vec<u8>,
}

impl CallerAnswer {
    /// Parses a received message.
    ///
    /// # Errors
    ///
    /// Fails if the message is malformed.
    pub fn read(reader: caller_answer::Reader<'_>) -> Result<Self, WireError> {
        Ok(Self {
            http_status: reader.get_http_status(),
            body: reader.get_body()?.to_vec(),
        })
    }

    /// Writes the message.
    pub fn write(&self, mut builder: caller_answer::Builder<'_>) {
        builder.set_http_status(self.http_status);
        builder.set_body(&self.body);
    }
}

pub(crate) fn join_request_id(high: u64, low: u64) -> RequestId {
    RequestId(u128::from(high) << 64 | u128::from(low))
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "splits 128 bits into halves"
)]
pub(crate) fn split_request_id(request: RequestId) -> (u64, u64) {
    ((request.0 >> 64) as u64, request.0 as u64)
}

pub(crate) fn saturating_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

pub(crate) fn saturating_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

pub(crate) fn list_length<T>(items: &[T]) -> u32 {
    u32::try_from(items.len()).unwrap_or(u32::MAX)
}
