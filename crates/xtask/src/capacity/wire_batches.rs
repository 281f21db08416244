//! Size, encoding and decoding of batches of leaf requests and of their replies, as RPC messages.

use medlarpin_core::prelude::*;
use wire::peer_capnp::peer::{gather_params, gather_results};
use wire::peer_capnp::{batch, batch_reply};
use wire::{Batch, BatchReply, ShardResult, ShardTask};

use crate::capacity::error::CapacityError;
use crate::capacity::slope::Slope;
use crate::capacity::timing::Timer;
use crate::capacity::{fixtures, rpc};

const TASKS: [u32; 4] = [1, 5, 16, 64];
/// Repetitions in each timed run; a single one is too short for the clock.
const REPEATS: usize = 200;
/// Length of the single row in each shard's reply; the rows of real services vary.
const ROW_BYTES: usize = 64;

/// Measures sizes and times by the number of shard tasks.
pub fn measure(timer: Timer) -> Result<Vec<Slope>, CapacityError> {
    let mut slopes = [
        ("size of a gather call, B", "wire batch"),
        (
            "size of a gather reply, one row of 64 B a shard, B",
            "wire batch",
        ),
        ("encode a batch, us", "wire batch"),
        ("decode a batch, us", "wire batch"),
        ("encode a reply, us", "wire batch"),
        ("decode a reply, us", "wire batch"),
    ]
    .map(|(quantity, mechanism)| Slope {
        quantity,
        mechanism,
        size: "shard tasks",
        points: Vec::new(),
    });
    for tasks in TASKS {
        for (slope, value) in slopes.iter_mut().zip(costs(timer, tasks)?) {
            slope.points.push((f64::from(tasks), value));
        }
    }
    Ok(slopes.to_vec())
}

fn costs(timer: Timer, tasks: u32) -> Result<[f64; 6], CapacityError> {
    let (batch, reply) = (sample_batch(tasks), sample_reply(tasks));
    let call = rpc::call(|content| {
        batch.write(content.init_as::<gather_params::Builder<'_>>().init_batch());
    });
    let answer = rpc::reply(|content| {
        reply.write(
            content
                .init_as::<gather_results::Builder<'_>>()
                .init_reply(),
        );
    });
    let (call_bytes, answer_bytes) = (encode_batch(&batch), encode_reply(&reply));
    // The timed runs discard errors, so messages that cannot be decoded are reported here.
    decode_batch(&call_bytes)?;
    decode_reply(&answer_bytes)?;
    let repeat = |work: &dyn Fn()| {
        timer.time_us(|| (), |()| (0..REPEATS).for_each(|_| work())) / REPEATS as f64
    };
    Ok([
        rpc::bytes(&call) as f64,
        rpc::bytes(&answer) as f64,
        repeat(&|| drop(std::hint::black_box(encode_batch(&batch)))),
        repeat(&|| drop(std::hint::black_box(decode_batch(&call_bytes)))),
        repeat(&|| drop(std::hint::black_box(encode_reply(&reply)))),
        repeat(&|| drop(std::hint::black_box(decode_reply(&answer_bytes)))),
    ])
}

fn sample_batch(tasks: u32) -> Batch {
    let leaf = |index: u32| LeafId::new(&fixtures::leaf_name(index as usize));
    let task = |shard| ShardTask {
        shard: ShardId(shard),
        leaf: leaf(shard),
        alternatives: [leaf(shard + 1_000), leaf(shard + 2_000)]
            .into_iter()
            .collect(),
    };
    Batch {
        request: RequestId(1),
        team: "team-000".into(),
        service: fixtures::SERVICE.into(),
        query: "recall batch 2291 Tiznit".into(),
        version: IndexVersion(7),
        time_left: Duration::from_millis(280),
        idempotent: true,
        canary: false,
        extra: false,
        tasks: (0..tasks).map(task).collect(),
        first_attempt: 0,
    }
}

fn sample_reply(tasks: u32) -> BatchReply {
    let result = |shard| ShardResult {
        shard: ShardId(shard),
        outcome: ShardOutcome::Covered {
            rows: vec!["x".repeat(ROW_BYTES)],
        },
    };
    BatchReply {
        results: (0..tasks).map(result).collect(),
        leaf_requests: tasks,
        ..BatchReply::default()
    }
}

fn encode_batch(batch: &Batch) -> Vec<u8> {
    let mut message = capnp::message::Builder::new_default();
    batch.write(message.init_root::<batch::Builder<'_>>());
    capnp::serialize::write_message_to_words(&message)
}

fn encode_reply(reply: &BatchReply) -> Vec<u8> {
    let mut message = capnp::message::Builder::new_default();
    reply.write(message.init_root::<batch_reply::Builder<'_>>());
    capnp::serialize::write_message_to_words(&message)
}

fn decode_batch(mut encoded: &[u8]) -> Result<Batch, CapacityError> {
    let message = rpc::read(&mut encoded)?;
    Ok(Batch::read(message.get_root::<batch::Reader<'_>>()?)?)
}

fn decode_reply(mut encoded: &[u8]) -> Result<BatchReply, CapacityError> {
    let message = rpc::read(&mut encoded)?;
    Ok(BatchReply::read(
        message.get_root::<batch_reply::Reader<'_>>()?,
    )?)
}
