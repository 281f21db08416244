//! A model of many daemons that count the leafs which requests end: how many leafs a request ends that crashes all
//! that run it, and whether a harmless one is refused after a crash or a hang that it did not cause.

use std::net::SocketAddr;

use medlarpin_core::canary::{
    Clearance, FingerprintTable, SILENCE_TTL, SilentLoss, SilentLossTable, Strike,
};
use medlarpin_core::ids::stable_hash;
use medlarpin_core::prelude::*;
use medlarpin_core::routing::report_owners;

const ACCOUNT: Fingerprint = Fingerprint(7);
/// Leafs to which a route lets one request go.
const ATTEMPTS: usize = 2;
/// Time for which a leaf runs the request.
const RUN_MS: u64 = 100;
/// Time from a verified loss until the daemons that collect reports have it, and from a quarantine until all
/// daemons know it: reports are collected for 100 ms before each hop.
const REPORT_MS: u64 = 110;
const FLOOD_MS: u64 = 350;
/// From then on, after the third leaf ended, at most three retries may reach leafs.
const NOTICE_MS: u64 = 4_000;

/// A leaf whose entry goes after three heartbeats.
const SILENT: End = End::Silent { listed_ms: 3_600 };
/// A leaf whose withdrawal nobody learns.
const LISTED_FOR_EVER: End = End::Silent {
    listed_ms: FORGOTTEN_MS,
};

/// How the leafs of the model end, with the times until a loss is noticed and until it is judged.
#[derive(Debug, Clone, Copy)]
enum End {
    /// Connections break, and new ones are refused.
    Breaks,
    /// Nothing answers; the store lists the leaf for this long.
    Silent { listed_ms: u64 },
    /// Nothing answers for this long; then the leaf goes on.
    Hangs { for_ms: u64 },
}

/// Time from the end of a leaf until it counts as silent, and then until it has not answered a health check.
const SILENT_AFTER_MS: u64 = 1_200;
const CHECK_MS: u64 = 500;
/// Interval at which a leaf that is silent is reported again.
const RENEWAL_MS: u64 = 2_000;
/// Time after which the report of a leaf that stays silent is dropped.
const FORGOTTEN_MS: u64 = 600_000;

impl End {
    fn noticed_after_ms(self) -> u64 {
        match self {
            Self::Breaks => 0,
            Self::Silent { .. } | Self::Hangs { .. } => SILENT_AFTER_MS,
        }
    }

    /// Returns the time until the leaf is known to have ended, if it has.
    fn judged_after_ms(self) -> Option<u64> {
        match self {
            Self::Breaks => Some(10),
            Self::Silent { listed_ms } => Some(listed_ms + CHECK_MS),
            Self::Hangs { .. } => None,
        }
    }

    /// Returns the times at which the leaf is found to be silent.
    fn silent_after_ms(self) -> impl Iterator<Item = u64> {
        let until_ms = match self {
            Self::Breaks => 0,
            Self::Silent { listed_ms } => listed_ms.min(FORGOTTEN_MS),
            Self::Hangs { for_ms } => for_ms,
        };
        let first_ms = SILENT_AFTER_MS + CHECK_MS;
        (first_ms..until_ms.max(first_ms)).step_by(usize::try_from(RENEWAL_MS).unwrap())
    }
}

/// What a daemon learns of a loss.
#[derive(Debug, Clone)]
enum News {
    Ended(Strike),
    Silent(Strike),
}

/// What one daemon knows, and reports on the way to it.
#[derive(Debug, Default)]
struct Daemon {
    table: FingerprintTable,
    silent: SilentLossTable,
    /// Time from which the request is known to have lost a leaf here, though it may not be judged.
    suspects_from_ms: Option<u64>,
    /// Reports by the time at which they arrive or are judged.
    incoming: Vec<(u64, News)>,
}

#[derive(Debug)]
struct Model {
    start: Instant,
    daemons: Vec<Daemon>,
    /// Time from which all daemons know of the quarantine.
    quarantined_from_ms: Option<u64>,
    /// Times from and until which all daemons withhold the request.
    withheld_ms: Vec<(u64, u64)>,
    leafs: u64,
}

impl Model {
    fn new(daemons: usize) -> Self {
        Self {
            start: Instant::now(),
            daemons: (0..daemons).map(|_| Daemon::default()).collect(),
            quarantined_from_ms: None,
            withheld_ms: Vec::new(),
            leafs: 0,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn address(daemon: usize) -> SocketAddr {
        let number = u32::try_from(daemon).unwrap();
        SocketAddr::from((number.to_be_bytes(), 7_380))
    }

    /// Adds the reports that have arrived by now.
    fn receive(&mut self, now_ms: u64) {
        for index in 0..self.daemons.len() {
            let incoming = std::mem::take(&mut self.daemons[index].incoming);
            let (mut due, later): (Vec<_>, Vec<_>) = incoming
                .into_iter()
                .partition(|(at_ms, _)| *at_ms <= now_ms);
            self.daemons[index].incoming = later;
            due.sort_by_key(|(at_ms, _)| *at_ms);
            for (at_ms, news) in due {
                match news {
                    News::Ended(strike) => self.add_strike(index, at_ms, strike),
                    News::Silent(strike) => self.add_silent_loss(index, at_ms, strike),
                }
            }
        }
    }

    fn add_strike(&mut self, daemon: usize, at_ms: u64, strike: Strike) {
        let now = self.at(at_ms);
        let quarantine = self.daemons[daemon].table.add_strike(ACCOUNT, strike, now);
        if quarantine.is_some() {
            let known_ms = at_ms + FLOOD_MS;
            let known = self.quarantined_from_ms.unwrap_or(known_ms);
            self.quarantined_from_ms = Some(known.min(known_ms));
        }
    }

    fn add_silent_loss(&mut self, daemon: usize, at_ms: u64, strike: Strike) {
        let now = self.at(at_ms);
        let known = &mut self.daemons[daemon];
        let loss = SilentLoss {
            strike,
            silent_at: now,
        };
        if !known.silent.record(ACCOUNT, loss, now) {
            return;
        }
        let ended: Vec<&Strike> = known.table.strikes(ACCOUNT, now).collect();
        let until = known.silent.withheld_until(ACCOUNT, &ended, now);
        if let Some(until) = until {
            let left = until.saturating_duration_since(now).as_millis();
            let left_ms = u64::try_from(left).unwrap();
            self.withheld_ms.push((at_ms + FLOOD_MS, at_ms + left_ms));
        }
    }

    /// Returns how many leafs a request may go to on a daemon.
    fn leafs_allowed(&self, daemon: usize, now_ms: u64) -> usize {
        let now = self.at(now_ms);
        let known = &self.daemons[daemon];
        let is_known = self.quarantined_from_ms.is_some_and(|at| at <= now_ms);
        let own = known.table.check(ACCOUNT, now);
        let is_suspect = known.suspects_from_ms.is_some_and(|at| at <= now_ms)
            || known.table.strikes(ACCOUNT, now).next().is_some()
            || known.silent.losses(ACCOUNT, now).next().is_some();
        let is_withheld = self.is_withheld(now_ms);
        match own {
            _ if is_known || is_withheld => 0,
            Clearance::Quarantined { .. } => 0,
            _ if is_suspect => 1,
            _ => ATTEMPTS,
        }
    }

    fn is_withheld(&self, now_ms: u64) -> bool {
        let mut spans = self.withheld_ms.iter();
        spans.any(|(from_ms, until_ms)| (*from_ms..*until_ms).contains(&now_ms))
    }

    /// Lets a leaf end under a request of a daemon, which reports it.
    fn lose_leaf(&mut self, daemon: usize, request: u64, sent_ms: u64, ended_ms: u64, end: End) {
        self.leafs += 1;
        let noticed_ms = ended_ms + end.noticed_after_ms();
        let strike = Strike {
            leaf: LeafId::new(&self.leafs.to_string()),
            request: RequestId(request.into()),
            origin: ACCOUNT,
            intact_at: self.at(sent_ms),
            lost_at: self.at(noticed_ms),
        };
        let mut news: Vec<(u64, News)> = Vec::new();
        for after_ms in end.silent_after_ms() {
            news.push((ended_ms + after_ms, News::Silent(strike.clone())));
        }
        if let Some(after_ms) = end.judged_after_ms() {
            news.push((ended_ms + after_ms, News::Ended(strike)));
        }
        let known = &mut self.daemons[daemon];
        known.suspects_from_ms.get_or_insert(noticed_ms);
        known.incoming.extend(news.iter().cloned());
        let all = (0..self.daemons.len()).map(Self::address);
        for owner in report_owners(ACCOUNT, all) {
            let owner = (0..self.daemons.len()).find(|index| Self::address(*index) == owner);
            let owner = owner.unwrap();
            if owner != daemon {
                let arriving = news.iter().cloned();
                let arriving = arriving.map(|(at_ms, news)| (at_ms + REPORT_MS, news));
                self.daemons[owner].incoming.extend(arriving);
            }
        }
    }
}

/// Sends the request that ends leafs at an interval, to a daemon chosen anew each time; returns the leafs that ended
/// and the retries that reached leafs later than allowed.
fn send_killer(daemons: usize, interval_ms: u64, end: End, seed: u64) -> (u64, usize) {
    let mut model = Model::new(daemons);
    let mut third_ended_ms = None;
    let mut late = 0;
    for request in 0..200 {
        let sent_ms = 1_000 + request * interval_ms;
        model.receive(sent_ms);
        let random = stable_hash(&[&seed.to_le_bytes(), &request.to_le_bytes()]);
        let daemon = usize::try_from(random % daemons as u64).unwrap();
        let allowed = model.leafs_allowed(daemon, sent_ms);
        if allowed > 0 && third_ended_ms.is_some_and(|at| sent_ms > at + NOTICE_MS) {
            late += 1;
        }
        for attempt in 0..allowed as u64 {
            let attempt_ms = sent_ms + attempt * RUN_MS;
            let ended_ms = attempt_ms + RUN_MS;
            model.lose_leaf(daemon, request, attempt_ms, ended_ms, end);
            if model.leafs == 3 {
                third_ended_ms = Some(ended_ms);
            }
        }
    }
    (model.leafs, late)
}

/// Guards against a request that ends leafs without end on a large fleet, where each daemon that has not been told sends
/// it to two more.
#[test]
fn a_killer_request_is_refused_everywhere_in_time() {
    println!("daemons interval_ms end leafs(max of 50 seeds) late(max)");
    for daemons in [1, 20, 300] {
        for (interval_ms, end) in [
            (3_000, End::Breaks),
            (1_000, End::Breaks),
            (250, End::Breaks),
            (3_000, SILENT),
            (1_000, SILENT),
            (1_000, End::Silent { listed_ms: 6_600 }),
            (3_000, End::Silent { listed_ms: 13_600 }),
            (1_000, End::Silent { listed_ms: 13_600 }),
            (500, End::Silent { listed_ms: 13_600 }),
            (3_000, LISTED_FOR_EVER),
            (1_000, LISTED_FOR_EVER),
        ] {
            let runs = (0..50).map(|seed| send_killer(daemons, interval_ms, end, seed));
            let (leafs, late): (Vec<u64>, Vec<usize>) = runs.unzip();
            let leafs = leafs.into_iter().max().unwrap();
            let late = late.into_iter().max().unwrap();
            println!("{daemons} {interval_ms} {end:?} {leafs} {late}");
            assert!(late <= 3, "{daemons} {interval_ms} {end:?}: {late}");
        }
    }
}

/// Guards against refusing a harmless query because some or all leafs of a shard end at one moment, each while
/// it runs copies of the query for any of the daemons.
#[test]
fn a_harmless_query_is_not_refused_after_one_crash() {
    println!("daemons leafs crashed, quarantined of 50 seeds");
    for daemons in [1, 20, 300] {
        for crashed in 1..=3 {
            let quarantined = (0..50)
                .filter(|seed| {
                    let mut model = Model::new(daemons);
                    // Copies of the query are running on each leaf, sent in the last 100 ms; each daemon
                    // notices the end at its own moment.
                    for leaf in 0..crashed {
                        for copy in 0..4_u64 {
                            let random = stable_hash(&[
                                &u64::to_le_bytes(*seed),
                                &[leaf],
                                &copy.to_le_bytes(),
                            ]);
                            let daemon = usize::try_from(random % daemons as u64).unwrap();
                            let sent_ms = 900 + random / 1_000 % 100;
                            let noticed_ms = 1_000 + random / 100_000 % 20;
                            let request = u64::from(leaf) * 10 + copy;
                            model.lose_leaf(daemon, request, sent_ms, noticed_ms, End::Breaks);
                        }
                    }
                    model.receive(10_000);
                    model.quarantined_from_ms.is_some()
                })
                .count();
            println!("{daemons} {crashed} {quarantined}");
            assert_eq!(quarantined, 0, "{daemons} daemons, {crashed} leafs");
        }
    }
}

/// Guards against refusing a harmless query for minutes because leafs hang while they run it, and for longer than they
/// hang. Leafs that hang at one moment show nothing of the query.
#[test]
fn a_harmless_query_is_not_refused_after_leafs_hang() {
    println!("daemons hang_ms between_ms, seeds of 50 that were withheld, after the hang(max ms)");
    for daemons in [1, 20, 300] {
        for (hang_ms, between_ms) in [(3_000, 0), (6_500, 0), (6_500, 200), (6_500, 4_000)] {
            let mut withheld = 0;
            let mut after_max_ms = 0;
            for seed in 0..50_u64 {
                let mut model = Model::new(daemons);
                let last_hang_ms = 1_000 + 2 * between_ms;
                for leaf in 0..3_u64 {
                    for copy in 0..4_u64 {
                        let parts = [seed.to_le_bytes(), leaf.to_le_bytes(), copy.to_le_bytes()];
                        let random = stable_hash(&[&parts[0], &parts[1], &parts[2]]);
                        let daemon = usize::try_from(random % daemons as u64).unwrap();
                        let hangs_ms = 1_000 + leaf * between_ms;
                        let sent_ms = hangs_ms - 1 - random / 1_000 % 100;
                        let request = leaf * 10 + copy;
                        let end = End::Hangs { for_ms: hang_ms };
                        model.lose_leaf(daemon, request, sent_ms, hangs_ms, end);
                    }
                }
                for now_ms in (0..60_000).step_by(100) {
                    model.receive(now_ms);
                }
                assert_eq!(model.quarantined_from_ms, None, "seed {seed}");
                withheld += usize::from(!model.withheld_ms.is_empty());
                let until_ms = model.withheld_ms.iter().map(|(_, until_ms)| *until_ms);
                let after_ms = until_ms.max().unwrap_or(0);
                after_max_ms = after_max_ms.max(after_ms.saturating_sub(last_hang_ms + hang_ms));
            }
            println!("{daemons} {hang_ms} {between_ms} {withheld} {after_max_ms}");
            let is_at_one_moment = between_ms < SILENT_AFTER_MS;
            assert!(!is_at_one_moment || withheld == 0, "{withheld} withheld");
            let ttl_ms = u64::try_from(SILENCE_TTL.as_millis()).unwrap();
            assert!(after_max_ms <= ttl_ms, "withheld {after_max_ms} ms longer");
        }
    }
}
