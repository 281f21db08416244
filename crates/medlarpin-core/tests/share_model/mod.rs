//! Simulation of daemons with share ledgers under message faults, clock drift, pauses and changes
//! of the VM list.

use std::net::SocketAddr;

use medlarpin_core::prelude::*;
use medlarpin_core::team_share::{Lease, LeaseRequest, ShareLedger, UnitKind};

const STEP_MS: u64 = 20;
const RUN_MS: u64 = 16_000;
const LIST_CHANGE_MS: u64 = 5_000;

/// The shipped protocol, or a faulty variant that the simulation must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    Shipped,
    /// The borrower measures its lease from the reply instead of the request.
    LeaseFromReply,
    /// A joining daemon does not wait for the acknowledgements of the others.
    JoinWithoutAcknowledgements,
    /// The borrower adds the units of a renewal to those of the renewed lease.
    AddsRenewals,
}

/// Parameters of one run: daemons, faults, and whether a VM joins or is removed during the run.
#[derive(Debug, Clone)]
pub struct World {
    pub daemons: usize,
    pub limit: u64,
    pub kind: UnitKind,
    pub loss_percent: u64,
    pub delay_ms: u64,
    pub joins: bool,
    pub leaves: bool,
    pub seed: u64,
}

#[derive(Debug, Clone)]
enum Message {
    Ask(LeaseRequest),
    Reply(Lease, Instant),
}

struct Daemon {
    ledger: ShareLedger,
    /// Speed of the clock in ten-thousandths of real time.
    clock_rate: u64,
    revision: u64,
    list_known_at_ms: u64,
    acknowledged: u64,
    paused_until_ms: u64,
    demand: u64,
}

struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound.max(1)
    }
}

pub fn name(vm: usize) -> VmName {
    VmName::new(&format!("vm-{vm:02}"))
}

pub fn list(revision: u64, vms: impl IntoIterator<Item = usize>) -> VmList {
    let vm = |vm: usize| Vm {
        name: name(vm),
        rpc_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: "warmia-1".into(),
        region: "warmia".into(),
        state: VmState::Live,
    };
    VmList::new(Revision(revision), vms.into_iter().map(vm).collect())
}

impl World {
    /// Runs the simulation.
    ///
    /// Returns an error with the time in ms, the units in use and the limit once the units exceed
    /// it.
    pub fn run(&self, variant: Variant) -> Result<(), (u64, u64, u64)> {
        let start = Instant::now();
        let mut random = Random(self.seed);
        let lists = [list(1, 0..self.daemons), self.second_list()];
        let mut daemons = self.start(&lists, start, &mut random);
        let mut messages: Vec<(u64, usize, usize, Message)> = vec![];
        for now_ms in (0..RUN_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
            self.change_lists(&mut daemons, &lists, now_ms, start, variant);
            for (from, daemon) in daemons.iter_mut().enumerate() {
                let now = daemon.now(now_ms, start);
                if random.below(400) == 0 {
                    daemon.paused_until_ms = now_ms + random.below(3000);
                }
                if random.below(50) == 0 {
                    daemon.demand = random.below(3) * random.below(self.limit);
                }
                if daemon.paused_until_ms > now_ms || daemon.revision == 0 {
                    continue;
                }
                daemon.ledger.record_demand(daemon.demand, now);
                if let Some(request) = daemon.ledger.next_request(|_| true, now) {
                    let to = (0..=self.daemons)
                        .find(|vm| name(*vm) == request.lender)
                        .unwrap();
                    self.send(
                        &mut messages,
                        (now_ms, from, to),
                        &Message::Ask(request),
                        &mut random,
                    );
                }
            }
            let due = |message: &(u64, usize, usize, Message)| message.0 <= now_ms;
            for message in messages
                .extract_if(.., |message| due(message))
                .collect::<Vec<_>>()
            {
                self.deliver(
                    &mut daemons,
                    &mut messages,
                    message,
                    (now_ms, start),
                    variant,
                    &mut random,
                );
            }
            // A paused daemon counts too, because it uses its units as soon as it resumes.
            let units = |daemon: &Daemon| daemon.ledger.available(daemon.now(now_ms, start));
            let in_use: u64 = daemons.iter().map(units).sum();
            if in_use > self.limit {
                return Err((now_ms, in_use, self.limit));
            }
        }
        Ok(())
    }

    fn second_list(&self) -> VmList {
        let first = usize::from(self.leaves);
        list(2, first..self.daemons + usize::from(self.joins))
    }

    fn start(&self, lists: &[VmList; 2], start: Instant, random: &mut Random) -> Vec<Daemon> {
        let first_known_ms = LIST_CHANGE_MS;
        let count = self.daemons + usize::from(self.joins);
        let mut daemons = vec![];
        for vm in 0..count {
            let mut ledger =
                ShareLedger::new("team".into(), name(vm), self.limit, self.kind, start);
            let initial = vm < self.daemons;
            if initial {
                ledger.set_vm_list(&lists[0], true, start);
                ledger.skip_start_delay(start);
            }
            // The removed daemon learns of its removal within the time that the raise delay allows;
            // the daemon with the last index learns first.
            let late_ms = if vm == 0 { 1000 } else { 4000 };
            let is_first = vm + 1 == count;
            daemons.push(Daemon {
                ledger,
                clock_rate: 9900 + random.below(201),
                revision: u64::from(initial),
                list_known_at_ms: first_known_ms + if is_first { 0 } else { random.below(late_ms) },
                acknowledged: u64::from(initial),
                paused_until_ms: 0,
                demand: 0,
            });
        }
        daemons
    }

    fn change_lists(
        &self,
        daemons: &mut [Daemon],
        lists: &[VmList; 2],
        now_ms: u64,
        start: Instant,
        variant: Variant,
    ) {
        if !self.joins && !self.leaves {
            return;
        }
        let listed = |vm: usize| lists[1].get(&name(vm)).is_some();
        let mut others = daemons.iter().enumerate().take(self.daemons);
        let all = others.all(|(vm, daemon)| !listed(vm) || daemon.acknowledged == 2);
        for daemon in daemons.iter_mut() {
            let now = daemon.now(now_ms, start);
            if now_ms < daemon.list_known_at_ms {
                continue;
            }
            let all = all || variant == Variant::JoinWithoutAcknowledgements;
            if daemon.revision == 0 {
                // The joining daemon starts now, but its ledger was created at the start of the
                // run. A new one measures the wait after the start correctly.
                daemon.ledger = ShareLedger::new(
                    "team".into(),
                    name(self.daemons),
                    self.limit,
                    self.kind,
                    now,
                );
            }
            daemon.revision = 2;
            daemon.ledger.set_vm_list(&lists[1], all, now);
            if daemon.ledger.may_acknowledge_vm_list(now) {
                daemon.acknowledged = 2;
            }
        }
    }

    fn deliver(
        &self,
        daemons: &mut [Daemon],
        messages: &mut Vec<(u64, usize, usize, Message)>,
        (_, from, to, message): (u64, usize, usize, Message),
        (now_ms, start): (u64, Instant),
        variant: Variant,
        random: &mut Random,
    ) {
        let daemon = &mut daemons[to];
        if daemon.paused_until_ms > now_ms {
            messages.push((daemon.paused_until_ms, from, to, message));
            return;
        }
        let now = daemon.now(now_ms, start);
        match message {
            Message::Ask(request) => {
                let lease = daemon.ledger.lend(&name(from), request.units, now);
                let reply = Message::Reply(lease, request.asked_at);
                self.send(messages, (now_ms, to, from), &reply, random);
            }
            Message::Reply(mut lease, asked_at) => {
                let counted_from = match variant {
                    Variant::LeaseFromReply => now,
                    _ => asked_at,
                };
                if variant == Variant::AddsRenewals {
                    // With another lender's name the ledger adds the units to the earlier ones.
                    lease.lender = VmName::new(&format!("{}-{now_ms}", lease.lender));
                }
                daemon.ledger.accept(&lease, counted_from, now);
            }
        }
    }

    fn send(
        &self,
        messages: &mut Vec<(u64, usize, usize, Message)>,
        (now_ms, from, to): (u64, usize, usize),
        message: &Message,
        random: &mut Random,
    ) {
        let copies = 1 + usize::from(random.below(20) == 0);
        for _ in 0..copies {
            if random.below(100) >= self.loss_percent {
                let delay_ms = random.below(self.delay_ms) * random.below(2);
                messages.push((now_ms + delay_ms, from, to, message.clone()));
            }
        }
    }
}

impl Daemon {
    fn now(&self, now_ms: u64, start: Instant) -> Instant {
        start + Duration::from_micros(now_ms * self.clock_rate / 10)
    }
}
