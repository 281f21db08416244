//! Guards against messages of a faulty peer that cause a panic or are parsed into a value that no
//! correct peer could have sent.

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize::{read_message_from_flat_slice, write_message_to_words};
use capnp::traits::FromPointerReader;
use medlarpin_core::membership::{Heartbeat, MemberState, MemberUpdate};
use medlarpin_core::prelude::*;
use medlarpin_core::settings_tree::{SettingsText, TransferEntry, TransferTree};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use wire::peer_capnp as schema;
use wire::{
    Batch, BatchReply, CallerAnswer, CallerQuery, HeartbeatMessage, ShardResult, ShardTask,
    WireError, read_heartbeat, read_settings_tree, read_vm_list, write_heartbeat,
    write_settings_tree, write_vm_list,
};

/// Encodes a message of one type, whose fields `write` sets.
macro_rules! encode {
    ($module:ident, $write:expr) => {{
        let mut message = Builder::new_default();
        $write(message.init_root::<schema::$module::Builder<'_>>());
        write_message_to_words(&message)
    }};
}

/// Parses bytes as one message type and returns whether they are accepted; an accepted value must
/// stay the same when it is encoded and parsed again.
macro_rules! check_type {
    ($bytes:expr, $module:ident, $read:expr, $write:expr) => {{
        let read = |bytes: &[u8]| -> Result<_, WireError> {
            let message = read_message_from_flat_slice(&mut &*bytes, ReaderOptions::new())?;
            $read(root::<schema::$module::Reader<'_>>(&message)?)
        };
        let parsed = read($bytes);
        if let Ok(value) = &parsed {
            let encoded = encode!($module, |builder| $write(value, builder));
            assert_eq!(read(&encoded).unwrap(), *value);
        }
        parsed.is_ok()
    }};
}

fn root<'a, R: FromPointerReader<'a>>(
    message: &'a capnp::message::Reader<capnp::serialize::BufferSegments<&'a [u8]>>,
) -> Result<R, WireError> {
    Ok(message.get_root::<R>()?)
}

/// Parses bytes as every message type; returns which types accept them.
fn check_all_types(bytes: &[u8]) -> [bool; 7] {
    [
        check_type!(bytes, batch, Batch::read, Batch::write),
        check_type!(bytes, batch_reply, BatchReply::read, BatchReply::write),
        check_type!(bytes, caller_query, CallerQuery::read, CallerQuery::write),
        check_type!(
            bytes,
            caller_answer,
            CallerAnswer::read,
            CallerAnswer::write
        ),
        check_type!(bytes, heartbeat, read_heartbeat, write_heartbeat),
        check_type!(
            bytes,
            settings_tree,
            |reader| Ok(read_settings_tree(reader)?.unwrap_or_default()),
            write_settings_tree
        ),
        check_type!(
            bytes,
            vm_list,
            |reader| Ok(read_vm_list(reader)?.unwrap_or_default()),
            write_vm_list
        ),
    ]
}

fn request_messages() -> Vec<Vec<u8>> {
    let batch = Batch {
        request: RequestId(u128::MAX - 7),
        team: "orders".into(),
        service: "order-desk".into(),
        query: "dulse é".into(),
        version: IndexVersion(3),
        time_left: Duration::from_millis(250),
        idempotent: true,
        canary: false,
        extra: true,
        tasks: vec![ShardTask {
            shard: ShardId(7),
            leaf: "a".into(),
            alternatives: ["b".into(), "c".into()].into_iter().collect(),
        }],
        first_attempt: 4,
    };
    let uncovered = ShardOutcome::Uncovered {
        reason: UncoveredReason::LeafLost,
        may_have_run: true,
    };
    let rows = vec!["one".to_owned(), String::new()];
    let outcomes = [ShardOutcome::Covered { rows }, uncovered];
    let results = (0..).map(ShardId).zip(outcomes);
    let reply = BatchReply {
        results: results
            .map(|(shard, outcome)| ShardResult { shard, outcome })
            .collect(),
        leaf_requests: 3,
        extra_leaf_requests: 1,
        slow_leafs: vec!["leaf-3".into()],
        version_gone_leafs: vec!["a".into()],
        quarantine: Some((Fingerprint(9), Duration::from_mins(10))),
    };
    let query = CallerQuery {
        request: RequestId(5),
        team: "orders".into(),
        service: "order-desk".into(),
        query: "dulse".to_owned(),
        shards: vec![ShardId(0), ShardId(u32::MAX)],
        time_left: Duration::from_secs(2),
        ticket: "vm-0.1.00000000000000000000000000000001".to_owned(),
    };
    let answer = CallerAnswer {
        http_status: 200,
        body: b"{}".to_vec(),
    };
    vec![
        encode!(batch, |b| batch.write(b)),
        encode!(batch_reply, |b| reply.write(b)),
        encode!(caller_query, |b| query.write(b)),
        encode!(caller_answer, |b| answer.write(b)),
    ]
}

fn fleet_messages() -> Vec<Vec<u8>> {
    let member = MemberUpdate {
        vm: "vm-0".into(),
        incarnation: Incarnation(4),
        refutation: 2,
        state: MemberState::Suspect,
    };
    let heartbeat = HeartbeatMessage {
        heartbeat: Heartbeat {
            sender: member.clone(),
            vm_list_revision: Revision(3),
            settings_revision: Revision(8),
            settings_digest: 77,
            updates: vec![member.clone(), member],
            quarantines: vec![(Fingerprint(1), Duration::from_secs(1))],
        },
        sender_address: "192.0.2.7:9000".parse().unwrap(),
        clear_of_receiver: true,
    };
    let text = |revision, text: &str| SettingsText {
        revision: Revision(revision),
        text: text.to_owned(),
    };
    let tree = TransferTree {
        revision: Revision(8),
        entries: vec![TransferEntry {
            path: "teams/orders".to_owned(),
            in_force: Some(text(7, "{}")),
            rejected: Some(text(8, "{")),
            known_hash: Some(7),
        }],
    };
    let vm = Vm {
        name: "vm-0".into(),
        rpc_address: "192.0.2.7:9000".parse().unwrap(),
        failure_domain: "warmia-1".into(),
        region: "warmia".into(),
        state: VmState::Leaving,
    };
    let list = VmList::new(Revision(3), vec![vm]);
    vec![
        encode!(heartbeat, |b| write_heartbeat(&heartbeat, b)),
        encode!(settings_tree, |b| write_settings_tree(&tree, b)),
        encode!(vm_list, |b| write_vm_list(&list, b)),
    ]
}

/// Guards against property tests without effect: each undamaged message is accepted as its type.
#[test]
fn valid_messages_are_accepted() {
    let messages = request_messages().into_iter().chain(fleet_messages());
    for (index, bytes) in messages.enumerate() {
        assert!(check_all_types(&bytes)[index], "message {index}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_252),
        failure_persistence: None,
        cases: 2_000,
        ..ProptestConfig::default()
    })]

    /// Guards against a panic on arbitrary bytes, and against accepting them as a wrong value.
    #[test]
    fn any_bytes_are_rejected_or_round_trip(words in prop::collection::vec(any::<u64>(), 0..40)) {
        let body: Vec<u8> = words.iter().flat_map(|word| word.to_le_bytes()).collect();
        check_all_types(&body);
        // With the header of a one-segment message, the parser gets as far as the pointers.
        let count = u32::try_from(words.len()).unwrap();
        let framed = [&0_u32.to_le_bytes()[..], &count.to_le_bytes(), &body].concat();
        check_all_types(&framed);
    }

    /// Guards against a panic on valid messages with damaged bytes, and against accepting them as a
    /// wrong value.
    #[test]
    fn damaged_messages_are_rejected_or_round_trip(
        which in 0_usize..7,
        damage in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        cut in prop::option::of(any::<prop::sample::Index>()),
    ) {
        let mut bytes = request_messages().into_iter().chain(fleet_messages()).nth(which).unwrap();
        for (index, byte) in damage {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        if let Some(cut) = cut {
            bytes.truncate(cut.index(bytes.len()));
        }
        check_all_types(&bytes);
    }
}
