use std::fmt;
use std::net::SocketAddr;

use medlarpin_core::canary::{LossKind, LossVerdict, LostLeafSign, NeighbourSign};
use medlarpin_core::prelude::Fingerprint;
use medlarpin_core::routing::Source;
use platform::{EntryError, RequestError, StoreError};
use serde::{Serialize, Serializer};

use crate::attempt_result::LeafFailure;
use crate::crash_memory::ReportSource;
use crate::delegation::DelegationError;
use crate::peers::PeerError;
use crate::refusal::Refusal;

/// A decision or observation, logged as one line of JSON. The names of the variants and fields are
/// part of the log format.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum Event<'a> {
    /// The daemon listens on its addresses and starts its tasks.
    Started {
        /// Commit that the program was built from.
        commit: &'a str,
        vm: &'a str,
        failure_domain: &'a str,
        query_address: SocketAddr,
    },
    /// The daemon received a shutdown signal.
    Stopping { connections: usize },
    /// The shutdown is complete; the process exits.
    Stopped {
        connections_cut: usize,
        /// Queries of other daemons that were in progress.
        delegated_cut: usize,
    },
    /// A background task panicked and is started again.
    TaskRestarted { task: &'a str, error: &'a str },
    /// The settings were read again.
    SettingsReloaded { changed: bool },
    /// The settings file cannot be used.
    SettingsUnusable { error: &'a str },
    /// The store answers again, or for the first time.
    StoreReached { after_ms: u128, revision: u64 },
    /// The store's items were loaded from another daemon at startup.
    ItemsFromDaemon {
        daemon: SocketAddr,
        revision: u64,
        items: usize,
    },
    /// The published items are now fetched from another source.
    SourceChanged {
        #[serde(serialize_with = "source_as_text")]
        source: Source,
        is_followed: bool,
        revision: u64,
    },
    /// A followed daemon had no recent answer of the store, or is at an older revision.
    DaemonStale {
        daemon: SocketAddr,
        revision: u64,
        known: u64,
    },
    /// A request is sent to another daemon because this VM does not reach its leafs.
    HandedOver {
        request: &'a str,
        daemon: SocketAddr,
    },
    /// Another daemon did not serve a request; no leaf got it.
    HandoverDeclined {
        request: &'a str,
        daemon: SocketAddr,
    },
    /// A leaf has turned a request away and wants no further ones for a time.
    LeafAskedForPause {
        leaf: &'a str,
        service: &'a str,
        pause_ms: u128,
    },
    /// A run of a leaf has said in an answer, to this or another daemon, that it is leaving.
    LeafStatedDeparture { leaf: &'a str },
    /// A leaf has not answered for so long that it gets no requests until it answers a health check.
    LeafSilent { leaf: &'a str, service: &'a str },
    /// A leaf that was out of reach can be reached again.
    LeafReached { leaf: &'a str, service: &'a str },
    /// The links of this VM have probably failed: leafs that have not answered lately get no requests
    /// until a probe has reached them.
    LinksSuspect {
        unreachable: usize,
        reachable: usize,
    },
    /// The links of this VM are no longer suspect.
    LinksTrusted {
        unreachable: usize,
        reachable: usize,
    },
    /// A query is delegated to another daemon.
    Delegated {
        request: &'a str,
        daemon: SocketAddr,
    },
    /// The daemon that a query was delegated to failed; leafs may have run the query.
    DelegationFailed {
        request: &'a str,
        daemon: SocketAddr,
        #[serde(serialize_with = "as_text")]
        error: &'a DelegationError,
    },
    /// A query that another daemon delegated to this one was gathered or refused.
    GatheredForDaemon {
        request: &'a str,
        refusal: Option<Refusal>,
        after_ms: u128,
    },
    /// The number of daemons among which limits are divided changed.
    DaemonsCounted { before: usize, sharing: usize },
    /// An RPC to another daemon failed.
    DaemonUnreachable {
        daemon: SocketAddr,
        #[serde(serialize_with = "as_text")]
        error: &'a PeerError,
    },
    /// A watch returned a newer revision without a change, or an older revision, so changes were
    /// missed and all items are read again.
    ChangesMissed { known: u64, revision: u64 },
    /// The store was restored from a copy, so that its revisions start from an earlier number.
    StoreRestored {
        era: u64,
        known_era: u64,
        revision: u64,
        known: u64,
    },
    /// A call to the store failed.
    StoreFailed {
        #[serde(serialize_with = "as_text")]
        error: &'a StoreError,
        attempt: u32,
    },
    /// A newer configuration is in force.
    ConfigInForce {
        version: u64,
        previous_version: u64,
        revision: u64,
    },
    /// A newer configuration was fetched from another daemon.
    ConfigFromDaemon { daemon: SocketAddr, version: u64 },
    /// A configuration older than the one in force was ignored.
    ConfigIgnored { version: u64, in_force: u64 },
    /// Some of the store's items cannot be read at all, not even their keys.
    ItemsUnreadable { count: usize, revision: u64 },
    /// A published item cannot be decoded.
    EntryUnusable {
        key: &'a str,
        #[serde(serialize_with = "as_text")]
        error: &'a EntryError,
    },
    /// Failure domains are evacuated: their leafs get no requests.
    DomainsEvacuated {
        /// Names of some of the domains.
        failure_domains: &'a [&'a str],
        count: usize,
        revision: u64,
    },
    /// Evacuated failure domains are back in service.
    DomainsReturned {
        /// Names of some of the domains.
        failure_domains: &'a [&'a str],
        count: usize,
        revision: u64,
    },
    /// Keys of evacuations name no failure domain.
    EvacuationsInvalid {
        count: usize,
        /// The first of these keys, which may be shortened.
        first: &'a str,
        revision: u64,
    },
    /// A daemon was not followed because it does not pass evacuations on.
    DaemonLacksEvacuations { daemon: SocketAddr },
    /// A leaf was published for the first time, or its published entry changed.
    LeafChanged {
        leaf: &'a str,
        service: &'a str,
        is_leaving: bool,
        revision: u64,
    },
    /// A leaf's entry was withdrawn.
    LeafWithdrawn { leaf: &'a str, revision: u64 },
    /// A leaf stated to this or another daemon the rate of requests that it takes from all daemons
    /// together, for the first time or with another value.
    LeafLimitStated {
        leaf: &'a str,
        service: &'a str,
        requests_per_s: f64,
        heard_ms_ago: u128,
    },
    /// A leaf no longer states a limit of its request rate.
    LeafLimitEnded {
        leaf: &'a str,
        service: &'a str,
        heard_ms_ago: u128,
    },
    /// A leaf is cold and gets few requests, from all daemons together at most this rate with the bounds of
    /// the settings.
    LeafCold {
        leaf: &'a str,
        service: &'a str,
        requests_per_s: f64,
        left_ms: u128,
    },
    /// A leaf is no longer cold, or its service no longer limits the requests to cold leafs.
    LeafWarm { leaf: &'a str, service: &'a str },
    /// What a leaf stated about its request rate was not passed on to other daemons.
    LeafRateReportDropped { error: &'a str },
    /// A leaf states a limit of its request rate that is not a number of at least 0; what it stated
    /// before remains in force.
    LeafLimitUnreadable { leaf: &'a str, service: &'a str },
    /// A leaf request failed.
    LeafFailed {
        request: &'a str,
        service: &'a str,
        leaf: &'a str,
        failure: LeafFailure,
        after_ms: u128,
    },
    /// The deadline passed without a successful answer of a leaf.
    LeafsSilent {
        request: &'a str,
        service: &'a str,
        /// Leafs that the request was sent to, in order.
        leafs: &'a [&'a str],
        after_ms: u128,
    },
    /// No leaf of a service was available.
    NoUsableLeaf {
        request: &'a str,
        service: &'a str,
        /// Leafs that are published for the service.
        published: usize,
        /// Leafs that are draining or were withdrawn.
        leaving: usize,
        /// Leafs that get no requests for a back-off time after failures or rejections.
        blocked: usize,
        /// Leafs whose failure domain is evacuated.
        evacuated: usize,
        /// Leafs of whose stated request rate, or limit while they are cold, this daemon has used its share.
        rate_limited: usize,
        /// Leafs that are cold, so that this daemon may send them few requests or none.
        cold: usize,
    },
    /// A hedge was sent to another leaf.
    Hedged {
        request: &'a str,
        service: &'a str,
        leaf: &'a str,
        after_ms: u128,
    },
    /// A retry or hedge was not sent because the retry budget of the service is spent.
    #[serde(rename = "repeat_denied")]
    RetryDenied { request: &'a str, service: &'a str },
    /// A query was refused because too few of its shards have an available leaf.
    ShardsUnreachable {
        request: &'a str,
        reachable: usize,
        needed: usize,
        /// Names of some of the unreachable shards.
        unreachable: &'a [&'a str],
    },
    /// Answers of some shards were missing when a query was answered or refused.
    ShardsMissing {
        request: &'a str,
        covered: usize,
        /// Number of shards of the route.
        asked: usize,
        /// Shards whose requests were still in flight.
        in_flight: usize,
        /// Names of some of the missing shards.
        missing: &'a [&'a str],
    },
    /// A connection to a leaf broke while it may have been running a request that no leaf answered.
    RequestLostLeaf {
        request: &'a str,
        #[serde(serialize_with = "as_text")]
        fingerprint: Fingerprint,
        leaf: &'a str,
        /// True if the other daemons are told.
        is_passed_on: bool,
    },
    /// Leafs of a failure domain were asked whether this VM reaches them, after another one was lost.
    FailureDomainChecked {
        failure_domain: &'a str,
        /// Usable leafs of the domain beside the lost ones.
        others: usize,
        /// Those that were sent a health check; the rest is out of reach, paused or not needed.
        asked: usize,
        is_reached: bool,
    },
    /// A leaf that was lost under a request was judged.
    LossJudged {
        leaf: &'a str,
        #[serde(serialize_with = "as_debug")]
        kind: LossKind,
        #[serde(serialize_with = "as_debug")]
        sign: LostLeafSign,
        #[serde(serialize_with = "as_debug")]
        neighbours: NeighbourSign,
        /// True if the store lists the leaf.
        is_listed: bool,
        #[serde(serialize_with = "as_debug")]
        verdict: LossVerdict,
    },
    /// A lost leaf counts against a request that it may have been running.
    CrashReportLearned {
        #[serde(serialize_with = "as_text")]
        fingerprint: Fingerprint,
        leaf: &'a str,
        source: ReportSource,
        /// Time since the loss.
        age_ms: u128,
    },
    /// A leaf that fell silent under a request is still silent, and may have ended.
    SilentLeafReported {
        #[serde(serialize_with = "as_text")]
        fingerprint: Fingerprint,
        leaf: &'a str,
        source: ReportSource,
        /// Time since the loss.
        age_ms: u128,
        /// Time for which equal requests are refused, if they are.
        withheld_ms: Option<u128>,
    },
    /// A request is sent to one leaf only, because equal ones have lost leafs.
    SentOnSuspicion {
        request: &'a str,
        service: &'a str,
        /// Runs of the leafs that equal requests have lost.
        lost: &'a [&'a str],
    },
    /// A lost leaf does not count: it lives, or this VM's links to the leafs beside it have failed as well.
    CrashReportDismissed {
        #[serde(serialize_with = "as_text")]
        fingerprint: Fingerprint,
        leaf: &'a str,
    },
    /// A request has crashed leafs and is refused from now on.
    Quarantined {
        #[serde(serialize_with = "as_text")]
        fingerprint: Fingerprint,
        for_ms: u128,
    },
    /// A report of a lost leaf was not passed on to other daemons.
    CrashReportDropped { error: &'a str },
    /// A caller got an answer.
    Answered {
        request: &'a str,
        route: &'a str,
        status: u16,
        after_ms: u128,
    },
    /// A caller's request was refused.
    Refused {
        request: &'a str,
        route: &'a str,
        reason: Refusal,
        config_version: u64,
        after_ms: u128,
    },
    /// An answer or refusal would have promised that a request has not run, which is not known.
    PromiseUnproven {
        request: &'a str,
        status: u16,
        /// The refusal; `None` if a leaf or another daemon gave the status.
        reason: Option<Refusal>,
    },
    /// The head of a request is malformed.
    BadRequest {
        #[serde(serialize_with = "as_text")]
        error: &'a RequestError,
    },
    /// A connection could not be accepted.
    AcceptFailed { error: &'a str },
    /// Callers were disconnected or refused within the last second because of memory or connections.
    CallersLimited {
        disconnected: u64,
        connections_refused: u64,
        /// Parts of the memory that were denied.
        denied: u64,
        held_bytes: usize,
        connections: usize,
    },
}

impl Event<'_> {
    /// Logs the event, with its part of the daemon as the log target.
    pub(crate) fn log(&self) {
        let part = self.part();
        match serde_json::to_string(self) {
            Ok(text) => log::info!(target: part, "{text}"),
            Err(error) => log::error!(target: part, "{{\"error\":\"{error}\"}}"),
        }
    }

    /// Returns the name of the part of the daemon that the event belongs to.
    fn part(&self) -> &'static str {
        match self {
            Self::Started { .. }
            | Self::Stopping { .. }
            | Self::Stopped { .. }
            | Self::TaskRestarted { .. }
            | Self::SettingsReloaded { .. }
            | Self::SettingsUnusable { .. } => "lifecycle",
            Self::StoreReached { .. }
            | Self::StoreFailed { .. }
            | Self::StoreRestored { .. }
            | Self::ChangesMissed { .. }
            | Self::ItemsFromDaemon { .. }
            | Self::SourceChanged { .. }
            | Self::DaemonStale { .. }
            | Self::ConfigInForce { .. }
            | Self::ConfigFromDaemon { .. }
            | Self::ConfigIgnored { .. }
            | Self::ItemsUnreadable { .. }
            | Self::DomainsEvacuated { .. }
            | Self::DomainsReturned { .. }
            | Self::EvacuationsInvalid { .. }
            | Self::DaemonLacksEvacuations { .. }
            | Self::EntryUnusable { .. } => "config",
            Self::LeafChanged { .. }
            | Self::LeafWithdrawn { .. }
            | Self::LeafLimitStated { .. }
            | Self::LeafLimitEnded { .. }
            | Self::LeafCold { .. }
            | Self::LeafWarm { .. }
            | Self::LeafLimitUnreadable { .. }
            | Self::LeafRateReportDropped { .. }
            | Self::LeafFailed { .. }
            | Self::LeafAskedForPause { .. }
            | Self::LeafStatedDeparture { .. }
            | Self::LeafSilent { .. }
            | Self::LeafReached { .. }
            | Self::LinksSuspect { .. }
            | Self::LinksTrusted { .. }
            | Self::LeafsSilent { .. }
            | Self::NoUsableLeaf { .. } => "leaf",
            Self::DaemonsCounted { .. } | Self::DaemonUnreachable { .. } => "peer",
            Self::RequestLostLeaf { .. }
            | Self::FailureDomainChecked { .. }
            | Self::LossJudged { .. }
            | Self::CrashReportLearned { .. }
            | Self::SilentLeafReported { .. }
            | Self::SentOnSuspicion { .. }
            | Self::CrashReportDismissed { .. }
            | Self::Quarantined { .. }
            | Self::CrashReportDropped { .. } => "quarantine",
            Self::Hedged { .. }
            | Self::RetryDenied { .. }
            | Self::ShardsUnreachable { .. }
            | Self::ShardsMissing { .. }
            | Self::Delegated { .. }
            | Self::HandedOver { .. }
            | Self::HandoverDeclined { .. }
            | Self::DelegationFailed { .. }
            | Self::GatheredForDaemon { .. } => "gather",
            Self::Answered { .. }
            | Self::Refused { .. }
            | Self::PromiseUnproven { .. }
            | Self::BadRequest { .. }
            | Self::AcceptFailed { .. }
            | Self::CallersLimited { .. } => "entry",
        }
    }
}

fn source_as_text<S: Serializer>(source: &Source, serializer: S) -> Result<S::Ok, S::Error> {
    match source.daemon() {
        None => serializer.serialize_str("store"),
        Some(daemon) => serializer.collect_str(&daemon),
    }
}

fn as_text<S: Serializer>(value: impl fmt::Display, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&value)
}

/// Serializes the value by its name in the code, in lower case.
fn as_debug<S: Serializer>(value: &impl fmt::Debug, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&format!("{value:?}").to_lowercase())
}
