//! Costs of the settings tree: transfer between daemons, merge and view.

use std::sync::Arc;

use ::settings::Subtree;
use medlarpin_core::ownership::HandoverGate;
use medlarpin_core::prelude::*;
use medlarpin_core::settings_tree::{SettingsTree, TransferTree};
use wire::peer_capnp::settings_tree;

use crate::capacity::error::CapacityError;
use crate::capacity::fixtures::{self, Tree};
use crate::capacity::rpc;
use crate::capacity::slope::Slope;
use crate::capacity::timing::Timer;

const LEAFS: [usize; 4] = [500, 1_000, 2_000, fixtures::LEAFS];
const TEAMS: [usize; 4] = [10, 50, 100, 200];
/// Changes of the settings a day, at the design size.
const CHANGES_PER_DAY: f64 = 900.0;
const DAY_S: f64 = 86_400.0;

/// Costs of one tree.
#[derive(Debug, Clone, Copy)]
struct Costs {
    bytes: f64,
    change_bytes: f64,
    encode_us: f64,
    decode_us: f64,
    first_merge_us: f64,
    team_merge_us: f64,
    service_merge_us: f64,
    view_us: f64,
    adopt_us: f64,
}

/// Measures the costs of trees with many leafs and with many teams.
pub fn measure(timer: Timer) -> Result<Vec<Slope>, CapacityError> {
    let by_leafs = LEAFS.map(|leafs| (leafs, costs(timer, leafs, fixtures::TEAMS)));
    let by_teams = TEAMS.map(|teams| (teams, costs(timer, 500, teams)));
    let mut slopes = slopes("leafs", by_leafs)?;
    slopes.extend(team_slopes(by_teams)?);
    Ok(slopes)
}

type Measured = [(usize, Result<Costs, CapacityError>); 4];

fn slopes(size: &'static str, measured: Measured) -> Result<Vec<Slope>, CapacityError> {
    let transfer = "wire";
    let tree = "medlarpin-core settings_tree, settings";
    let all = "wire, settings_tree, daemon view, ownership";
    let mut slopes = [
        ("size of the encoded tree, B", transfer),
        ("size of a change of one team as fetched, B", transfer),
        (
            "fetched by one daemon at 900 team changes a day, one fetch each, B/s",
            transfer,
        ),
        ("encode the tree, us", transfer),
        ("decode the tree, us", transfer),
        ("merge the tree into an empty one (start), us", tree),
        ("merge a change of one team, us", tree),
        ("merge a change of the service, us", tree),
        ("build the view, us", "daemon view"),
        ("one change of a team: decode, merge, view, adopt, us", all),
        (
            "one change of the service: decode, merge, view, adopt, us",
            all,
        ),
    ]
    .map(|(quantity, mechanism)| Slope {
        quantity,
        mechanism,
        size,
        points: Vec::new(),
    });
    for (count, costs) in measured {
        let costs = costs?;
        let rest_us = costs.decode_us + costs.view_us + costs.adopt_us;
        let values = [
            costs.bytes,
            costs.change_bytes,
            costs.change_bytes * CHANGES_PER_DAY / DAY_S,
            costs.encode_us,
            costs.decode_us,
            costs.first_merge_us,
            costs.team_merge_us,
            costs.service_merge_us,
            costs.view_us,
            rest_us + costs.team_merge_us,
            rest_us + costs.service_merge_us,
        ];
        for (slope, value) in slopes.iter_mut().zip(values) {
            slope.points.push((count as f64, value));
        }
    }
    Ok(slopes.to_vec())
}

fn team_slopes(measured: Measured) -> Result<Vec<Slope>, CapacityError> {
    let prefixes = ["size of", "decode the", "merge a change of one", "build"];
    let mut slopes = slopes("teams", measured)?;
    slopes.retain(|slope| {
        prefixes
            .iter()
            .any(|prefix| slope.quantity.starts_with(prefix))
    });
    Ok(slopes)
}

fn costs(timer: Timer, leafs: usize, teams: usize) -> Result<Costs, CapacityError> {
    let texts = fixtures::texts(leafs, teams);
    let current = fixtures::tree(1, texts.clone())?;
    let team_tree = change_texts(&current, texts.clone(), |path| path == "teams/team-000")?;
    let team_transfer = team_tree.to_transfer();
    let service_tree = change_texts(&current, texts, |path| path.starts_with("services/"))?;
    let service_transfer = service_tree.to_transfer();
    let list = fixtures::vm_list(1, 0..fixtures::VMS);
    let encoded = encode(&current.to_transfer());
    let mut gate = HandoverGate::new(fixtures::vm_name(0));
    let view = fixtures::view(&current, list.clone());
    let merge = |into: &Tree, peer: &TransferTree| {
        timer.time_us(|| (), |()| into.merge(peer, fixtures::parse).is_ok())
    };
    Ok(Costs {
        bytes: encoded.len() as f64,
        change_bytes: encode(&team_tree.to_transfer_since(current.revision())).len() as f64,
        encode_us: timer.time_us(|| (), |()| encode(&current.to_transfer())),
        decode_us: timer.time_us(|| (), |()| decode(&encoded).is_ok()),
        first_merge_us: merge(&SettingsTree::<Arc<Subtree>>::new(), &current.to_transfer()),
        team_merge_us: merge(&current, &team_transfer),
        service_merge_us: merge(&current, &service_transfer),
        view_us: timer.time_us(|| list.clone(), |list| fixtures::view(&current, list)),
        adopt_us: timer.time_us(
            || (),
            |()| {
                for group in view.services().iter().flat_map(|service| &service.groups) {
                    gate.adopt_list(&group.group, &list, &list);
                }
            },
        ),
    })
}

/// Returns the next revision of a tree, with a space appended to the selected texts.
fn change_texts(
    current: &Tree,
    mut texts: Vec<(String, String)>,
    is_changed: impl Fn(&str) -> bool,
) -> Result<Tree, CapacityError> {
    for (_, text) in texts.iter_mut().filter(|(path, _)| is_changed(path)) {
        text.push(' ');
    }
    Ok(current.apply(Revision(2), texts, fixtures::parse)?)
}

fn encode(tree: &TransferTree) -> Vec<u8> {
    let mut message = capnp::message::Builder::new_default();
    wire::write_settings_tree(tree, message.init_root::<settings_tree::Builder<'_>>());
    capnp::serialize::write_message_to_words(&message)
}

fn decode(mut encoded: &[u8]) -> Result<Option<TransferTree>, CapacityError> {
    let message = rpc::read(&mut encoded)?;
    Ok(wire::read_settings_tree(
        message.get_root::<settings_tree::Reader<'_>>()?,
    )?)
}
