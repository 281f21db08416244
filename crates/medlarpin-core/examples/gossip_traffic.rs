//! Simulates gossip among 500 daemons in memory. Measures the traffic without changes, and the time
//! until all daemons know of a dead daemon and of a new settings revision.
//!
//! Run with `cargo run --release -p medlarpin-core --example gossip_traffic -- SEED`.

use std::error::Error;
use std::net::SocketAddr;

use medlarpin_core::membership::{
    Heartbeat, HeartbeatContent, MemberState, Membership, MembershipSettings,
};
use medlarpin_core::prelude::*;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};

const DAEMONS: usize = 500;
const FAILURE_DOMAINS: usize = 7;
const WATCHERS_PER_DOMAIN: usize = 3;
const PUSH_FANOUT: usize = 4;
const TRIALS: usize = 10;
/// Size of Cap'n Proto's call, return and finish messages around the two heartbeats of an exchange.
const RPC_BYTES: u64 = 248;
/// Size of the Ethernet, IP and TCP headers of three data segments and two acknowledgements.
const PACKET_BYTES: u64 = 5 * 66;

struct Fleet {
    daemons: Vec<Membership>,
    settings: Vec<Revision>,
    running: Vec<bool>,
    now: Instant,
    rng: StdRng,
    /// Total size of heartbeats and RPC messages around them, in bytes.
    rpc_bytes: u64,
    exchanges: u64,
    /// Time spent in the membership code.
    busy: Duration,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let vms = (0..DAEMONS).map(|index| Vm {
            name: name(index),
            rpc_address: SocketAddr::from(([127, 0, 0, 1], 1)),
            failure_domain: domain(index),
            region: Region::new("region"),
            state: VmState::Live,
        });
        let list = VmList::new(Revision(1), vms.collect());
        let daemons = (0..DAEMONS).map(|index| {
            let settings = MembershipSettings::default();
            let incarnation = Incarnation(1 + index as u64);
            let mut daemon = Membership::new(name(index), incarnation, settings);
            daemon.set_list(&list);
            daemon
        });
        Self {
            daemons: daemons.collect(),
            settings: vec![Revision(1); DAEMONS],
            running: vec![true; DAEMONS],
            now: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            rpc_bytes: 0,
            exchanges: 0,
            busy: Duration::ZERO,
        }
    }

    /// Simulates one second: every running daemon probes one member, in random order.
    fn step_second(&mut self) {
        let started = Instant::now();
        self.now += Duration::from_secs(1);
        let mut order: Vec<usize> = (0..DAEMONS).filter(|index| self.running[*index]).collect();
        order.shuffle(&mut self.rng);
        for prober in order {
            self.daemons[prober].expire_suspicions(self.now);
            let probe = self.daemons[prober].next_probe(self.rng.next_u64());
            let extra = self.daemons[prober].next_extra_probe(self.now);
            for peer in probe.into_iter().chain(extra) {
                let updated = self.exchange(prober, index_of(&peer));
                self.push(updated);
            }
        }
        self.busy += started.elapsed();
    }

    /// Exchanges heartbeats; returns the daemon that received a newer settings revision.
    fn exchange(&mut self, from: usize, to: usize) -> Option<usize> {
        if !self.running[to] {
            self.daemons[from].record_failed_probe(&name(to), self.now);
            return None;
        }
        self.rpc_bytes += RPC_BYTES;
        self.exchanges += 1;
        self.send(from, to);
        self.send(to, from);
        let (ours, theirs) = (self.settings[from], self.settings[to]);
        let newest = ours.max(theirs);
        (self.settings[from], self.settings[to]) = (newest, newest);
        match ours.cmp(&theirs) {
            std::cmp::Ordering::Less => Some(from),
            std::cmp::Ordering::Greater => Some(to),
            std::cmp::Ordering::Equal => None,
        }
    }

    fn send(&mut self, from: usize, to: usize) {
        let content = HeartbeatContent {
            vm_list_revision: Revision(1),
            settings_revision: self.settings[from],
            ..Default::default()
        };
        let heartbeat = self.daemons[from].heartbeat(&name(to), content);
        self.rpc_bytes += encoded_bytes(&heartbeat);
        self.daemons[to].record_exchange(&heartbeat, self.now);
    }

    /// Pushes a new revision from each daemon that received it; returns the number of hops.
    fn push(&mut self, updated: impl IntoIterator<Item = usize>) -> usize {
        let mut wave: Vec<usize> = updated.into_iter().collect();
        let mut hops = 0;
        while !wave.is_empty() {
            hops += 1;
            let mut next = Vec::new();
            for from in wave {
                let usable = self.daemons[from].usable_vms();
                let others: Vec<_> = usable.iter().filter(|vm| **vm != name(from)).collect();
                let targets = others.sample(&mut self.rng, PUSH_FANOUT);
                for to in targets.map(|vm| index_of(vm)).collect::<Vec<_>>() {
                    next.extend(self.exchange(from, to));
                }
            }
            wave = next;
        }
        hops
    }

    /// Simulates until all running daemons satisfy the condition; returns the number of seconds.
    fn seconds_until(&mut self, known: impl Fn(&Self, usize) -> bool) -> u32 {
        let mut seconds = 0;
        while (0..DAEMONS).any(|index| self.running[index] && !known(self, index)) {
            self.step_second();
            seconds += 1;
        }
        seconds
    }

    /// Simulates a number of seconds and prints the traffic within them.
    fn measure(&mut self, label: &str, seconds: u32) {
        (self.rpc_bytes, self.exchanges, self.busy) = (0, 0, Duration::ZERO);
        for _ in 0..seconds {
            self.step_second();
        }
        let daemon_seconds = DAEMONS as f64 * f64::from(seconds);
        let rpc = self.rpc_bytes as f64 / daemon_seconds;
        let wire = rpc + (self.exchanges * PACKET_BYTES) as f64 / daemon_seconds;
        let busy_us = self.busy.as_secs_f64() * 1e6 / daemon_seconds;
        println!(
            "{label}: sent per daemon and second {rpc:.0} B of RPC, {wire:.0} B with packet headers \
             (received: the same); {busy_us:.0} us of CPU"
        );
    }
}

fn name(index: usize) -> VmName {
    VmName::new(&format!("vm-{index:08}"))
}

fn index_of(vm: &VmName) -> usize {
    vm.as_str()[3..].parse().unwrap_or(0)
}

fn domain(index: usize) -> FailureDomain {
    FailureDomain::new(&format!("domain-{}", index % FAILURE_DOMAINS))
}

/// Estimates the size of a heartbeat as an unpacked Cap'n Proto structure.
fn encoded_bytes(heartbeat: &Heartbeat) -> u64 {
    // Two data words, one pointer, and the name with its terminator in whole words.
    let update = |vm: &VmName| 24 + (vm.as_str().len() as u64 + 1).next_multiple_of(8);
    let updates: u64 = heartbeat.updates.iter().map(|u| update(&u.vm)).sum();
    let quarantines = heartbeat.quarantines.len() as u64 * 16;
    // Three data words, three pointers, and a tag word for each list.
    let heartbeat_bytes = 24 + 24 + 8 + 8;
    heartbeat_bytes + update(&heartbeat.sender.vm) + updates + quarantines
}

/// Stops one daemon; returns the seconds until all others consider it dead.
fn seconds_to_dead_state(fleet: &mut Fleet, stopped: usize) -> u32 {
    fleet.running[stopped] = false;
    let vm = name(stopped);
    let seconds = fleet.seconds_until(|fleet, index| {
        let member = fleet.daemons[index].member(&vm);
        member.is_some_and(|member| member.state() == MemberState::Dead)
    });
    fleet.running[stopped] = true;
    fleet.seconds_until(|fleet, index| index == stopped || fleet.daemons[index].is_usable(&vm));
    seconds
}

/// Publishes a revision to the watchers.
///
/// Returns the hops of the first push, the number of daemons that it missed, and the seconds until
/// all daemons know the revision.
fn publish_settings(fleet: &mut Fleet, watchers: &[usize]) -> (usize, usize, u32) {
    let revision = Revision(fleet.settings.iter().max().map_or(0, |revision| revision.0) + 1);
    for watcher in watchers {
        fleet.settings[*watcher] = revision;
    }
    let hops = fleet.push(watchers.iter().copied());
    let missed = fleet
        .settings
        .iter()
        .filter(|held| **held < revision)
        .count();
    let seconds = fleet.seconds_until(|fleet, index| fleet.settings[index] == revision);
    (hops, missed, seconds)
}

fn main() -> Result<(), Box<dyn Error>> {
    let seed = std::env::args().nth(1).map_or(Ok(1), |seed| seed.parse())?;
    println!("seed {seed}, {DAEMONS} daemons, {TRIALS} trials of each event");
    let mut fleet = Fleet::new(seed);
    fleet.measure("first 60 s after all daemons started", 60);
    // The claims of 500 new daemons, each sent 24 times by every daemon, are all sent after this
    // time.
    fleet.measure("next 1,500 s", 1500);
    fleet.measure("calm, 60 s", 60);

    let deaths: Vec<u32> = (0..TRIALS)
        .map(|trial| seconds_to_dead_state(&mut fleet, trial * 47))
        .collect();
    println!("seconds until a death is known to all: {deaths:?}");

    let watchers: Vec<usize> = (0..FAILURE_DOMAINS)
        .flat_map(|index| fleet.daemons[0].settings_watchers(&domain(index), WATCHERS_PER_DOMAIN))
        .map(|vm| index_of(&vm))
        .collect();
    for (label, receivers) in [
        ("all watchers", watchers.as_slice()),
        ("one watcher", &watchers[..1]),
    ] {
        let results: Vec<_> = (0..TRIALS)
            .map(|_| publish_settings(&mut fleet, receivers))
            .collect();
        println!("settings learned by {label}: (push hops, daemons missed, seconds) {results:?}");
    }

    fleet.running[3] = false;
    fleet.measure("30 s around a death", 30);
    Ok(())
}
