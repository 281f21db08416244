//! A model of many daemons that count the leafs which requests end: how many leafs a request ends that crashes all
//! that run it, and whether a harmless one is refused after a crash that it did not cause.

use std::net::SocketAddr;

use medlarpin_core::canary::{Clearance, FingerprintTable, Strike};
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

/// How the leafs of the model end, with the times until a loss is noticed and until it is judged.
#[derive(Debug, Clone, Copy)]
enum End {
    /// Connections break, and new ones are refused.
    Breaks,
    /// Nothing answers; the store drops the leaf after three heartbeats.
    Silent,
}

impl End {
    fn noticed_after_ms(self) -> u64 {
        match self {
            Self::Breaks => 0,
            Self::Silent => 1_200,
        }
    }

    fn judged_after_ms(self) -> u64 {
        match self {
            Self::Breaks => 10,
            Self::Silent => 4_100,
        }
    }
}

/// What one daemon knows, and reports on the way to it.
#[derive(Debug, Default)]
struct Daemon {
    table: FingerprintTable,
    /// Time from which the request is known to have lost a leaf here, though it may not be judged.
    suspects_from_ms: Option<u64>,
    /// Reports by the time at which they arrive or are judged.
    incoming: Vec<(u64, Strike)>,
}

#[derive(Debug)]
struct Model {
    start: Instant,
    daemons: Vec<Daemon>,
    /// Time from which all daemons know of the quarantine.
    quarantined_from_ms: Option<u64>,
    leafs: u64,
}

impl Model {
    fn new(daemons: usize) -> Self {
        Self {
            start: Instant::now(),
            daemons: (0..daemons).map(|_| Daemon::default()).collect(),
            quarantined_from_ms: None,
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
            let (due, later): (Vec<_>, Vec<_>) = incoming
                .into_iter()
                .partition(|(at_ms, _)| *at_ms <= now_ms);
            self.daemons[index].incoming = later;
            for (at_ms, strike) in due {
                let now = self.at(at_ms);
                let quarantine = self.daemons[index].table.add_strike(ACCOUNT, strike, now);
                if quarantine.is_some() {
                    let known_ms = at_ms + FLOOD_MS;
                    let known = self.quarantined_from_ms.unwrap_or(known_ms);
                    self.quarantined_from_ms = Some(known.min(known_ms));
                }
            }
        }
    }

    /// Returns how many leafs a request may go to on a daemon.
    fn leafs_allowed(&self, daemon: usize, now_ms: u64) -> usize {
        let now = self.at(now_ms);
        let known = &self.daemons[daemon];
        let is_known = self.quarantined_from_ms.is_some_and(|at| at <= now_ms);
        let own = known.table.check(ACCOUNT, now);
        let is_suspect = known.suspects_from_ms.is_some_and(|at| at <= now_ms)
            || known.table.strikes(ACCOUNT, now).next().is_some();
        match own {
            _ if is_known => 0,
            Clearance::Quarantined { .. } => 0,
            _ if is_suspect => 1,
            _ => ATTEMPTS,
        }
    }

    /// Lets a leaf end under a request of a daemon, which reports it.
    fn lose_leaf(&mut self, daemon: usize, request: u64, sent_ms: u64, ended_ms: u64, end: End) {
        self.leafs += 1;
        let noticed_ms = ended_ms + end.noticed_after_ms();
        let judged_ms = ended_ms + end.judged_after_ms();
        let strike = Strike {
            leaf: LeafId::new(&self.leafs.to_string()),
            request: RequestId(request.into()),
            origin: ACCOUNT,
            intact_at: self.at(sent_ms),
            lost_at: self.at(noticed_ms),
        };
        let known = &mut self.daemons[daemon];
        known.suspects_from_ms.get_or_insert(noticed_ms);
        known.incoming.push((judged_ms, strike.clone()));
        let all = (0..self.daemons.len()).map(Self::address);
        for owner in report_owners(ACCOUNT, all) {
            let owner = (0..self.daemons.len()).find(|index| Self::address(*index) == owner);
            let owner = owner.unwrap();
            if owner != daemon {
                self.daemons[owner]
                    .incoming
                    .push((judged_ms + REPORT_MS, strike.clone()));
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
            (3_000, End::Silent),
            (1_000, End::Silent),
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
