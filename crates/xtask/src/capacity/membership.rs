//! Gossip of a whole fleet, simulated in memory with encoded messages.

use medlarpin_core::membership::{HeartbeatContent, Membership, MembershipSettings};
use medlarpin_core::prelude::*;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use wire::HeartbeatMessage;
use wire::peer_capnp::peer::{exchange_params, exchange_results};

use crate::capacity::error::CapacityError;
use crate::capacity::slope::Slope;
use crate::capacity::{fixtures, rpc};

const SEED: u64 = 1;
/// Seconds over which the traffic is measured.
const MEASURED_S: u32 = 30;

/// Mean traffic of one daemon in one second.
#[derive(Debug, Clone, Copy)]
struct Traffic {
    /// Bytes sent; the same number is received.
    bytes: f64,
    /// Processor time in microseconds, for the daemon's own exchanges and those of its peers.
    busy_us: f64,
}

/// Measures gossip just after the start of a fleet and in calm, once the claims of the start no
/// longer spread.
///
/// The long wait for calm can be left out if the figures are not used.
pub fn measure(wait_for_calm: bool) -> Result<Vec<Slope>, CapacityError> {
    let mut slopes = [
        slope("bytes sent by one daemon a second, after the start, B"),
        slope("bytes sent by one daemon a second, in calm, B"),
        slope("processor time of one daemon a second, after the start, us"),
        slope("processor time of one daemon a second, in calm, us"),
    ];
    for members in [50, 125, 250, 500] {
        let mut fleet = Fleet::new(members);
        let start = fleet.traffic(MEASURED_S)?;
        if wait_for_calm {
            fleet.settle()?;
        }
        let calm = fleet.traffic(MEASURED_S)?;
        let values = [start.bytes, calm.bytes, start.busy_us, calm.busy_us];
        for (slope, value) in slopes.iter_mut().zip(values) {
            slope.points.push((members as f64, value));
        }
    }
    Ok(slopes.to_vec())
}

fn slope(quantity: &'static str) -> Slope {
    Slope {
        quantity,
        mechanism: "medlarpin-core membership, wire",
        size: "members",
        points: Vec::new(),
    }
}

/// How heartbeats are passed to the peer.
#[derive(Debug, Clone, Copy)]
enum Form {
    /// As RPC messages, whose bytes are counted.
    Encoded,
    /// As values, which is faster and serves the time in which nothing is measured.
    Plain,
}

struct Fleet {
    daemons: Vec<Membership>,
    now: Instant,
    rng: StdRng,
    bytes: usize,
    busy: Duration,
}

impl Fleet {
    fn new(members: usize) -> Self {
        let list = fixtures::vm_list(1, 0..members);
        let daemon = |index| {
            let settings = MembershipSettings::default();
            let incarnation = Incarnation(1 + index as u64);
            let mut daemon = Membership::new(fixtures::vm_name(index), incarnation, settings);
            daemon.set_list(&list);
            daemon
        };
        Self {
            daemons: (0..members).map(daemon).collect(),
            now: Instant::now(),
            rng: StdRng::seed_from_u64(SEED),
            bytes: 0,
            busy: Duration::ZERO,
        }
    }

    /// Advances the time until every daemon has sent the claims of all starts as often as gossip
    /// repeats them.
    fn settle(&mut self) -> Result<(), CapacityError> {
        let members = self.daemons.len();
        let transmissions = 3 * (members.ilog2() as usize + 1);
        // A daemon sends about 16 claims a second: 8 in its own probe and 8 in a reply.
        let seconds = 40 + members * transmissions / 16 * 3 / 2;
        (0..seconds).try_for_each(|_| self.run_second(Form::Plain))
    }

    /// Returns the mean traffic of one daemon in one second, over the next `seconds`.
    fn traffic(&mut self, seconds: u32) -> Result<Traffic, CapacityError> {
        (self.bytes, self.busy) = (0, Duration::ZERO);
        for _ in 0..seconds {
            self.run_second(Form::Encoded)?;
        }
        let daemon_seconds = self.daemons.len() as f64 * f64::from(seconds);
        Ok(Traffic {
            bytes: self.bytes as f64 / daemon_seconds,
            busy_us: self.busy.as_secs_f64() * 1e6 / daemon_seconds,
        })
    }

    /// Advances the time by one second, in which every daemon probes one member, in random order.
    fn run_second(&mut self, form: Form) -> Result<(), CapacityError> {
        self.now += Duration::from_secs(1);
        let mut order: Vec<usize> = (0..self.daemons.len()).collect();
        order.shuffle(&mut self.rng);
        for prober in order {
            let random = self.rng.next_u64();
            let started = Instant::now();
            self.daemons[prober].expire_suspicions(self.now);
            let peer = self.daemons[prober].next_probe(random);
            let peer = peer.map(|vm| vm.as_str()[3..].parse().unwrap_or(0));
            if let Some(peer) = peer {
                match form {
                    Form::Encoded => self.exchange_encoded(prober, peer)?,
                    Form::Plain => self.exchange_plain(prober, peer),
                }
            }
            self.busy += started.elapsed();
        }
        Ok(())
    }

    fn exchange_encoded(&mut self, prober: usize, peer: usize) -> Result<(), CapacityError> {
        let request = self.heartbeat(prober, peer);
        let call = rpc::call(|content| {
            let params = content.init_as::<exchange_params::Builder<'_>>();
            wire::write_heartbeat(&request, params.init_heartbeat());
        });
        let received = rpc::read_call(&call)?;
        self.daemons[peer].record_exchange(&received, self.now);
        let answer = self.heartbeat(peer, prober);
        let reply = rpc::reply(|content| {
            let results = content.init_as::<exchange_results::Builder<'_>>();
            wire::write_heartbeat(&answer, results.init_heartbeat());
        });
        let received = rpc::read_reply(&reply)?;
        self.daemons[prober].record_exchange(&received, self.now);
        self.bytes += rpc::bytes(&call) + rpc::bytes(&reply) + rpc::finish_bytes();
        self.bytes += rpc::PACKET_BYTES;
        Ok(())
    }

    fn exchange_plain(&mut self, prober: usize, peer: usize) {
        let request = self.heartbeat(prober, peer);
        self.daemons[peer].record_exchange(&request.heartbeat, self.now);
        let answer = self.heartbeat(peer, prober);
        self.daemons[prober].record_exchange(&answer.heartbeat, self.now);
    }

    fn heartbeat(&mut self, from: usize, to: usize) -> HeartbeatMessage {
        let content = HeartbeatContent {
            vm_list_revision: Revision(1),
            settings_revision: Revision(1),
            ..HeartbeatContent::default()
        };
        let heartbeat = self.daemons[from].heartbeat(&fixtures::vm_name(to), content);
        HeartbeatMessage {
            heartbeat,
            sender_address: fixtures::address(from, 8081),
            clear_of_receiver: true,
        }
    }
}
