//! Guards against example deployments that the daemon rejects; operators copy them.

use std::fs;
use std::path::{Path, PathBuf};

use settings::prelude::*;

fn files_below(directory: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(files_below(&path));
        } else {
            files.push(path);
        }
    }
    files.sort();
    files
}

fn check_deployment(name: &str, services: &[(&str, usize)]) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name);
    let daemon = fs::read_to_string(root.join("daemon.jsonc")).unwrap();
    parse_daemon(&daemon, "daemon.jsonc").unwrap();
    let mut texts = Vec::new();
    for file in files_below(&root) {
        let path = file.strip_prefix(&root).unwrap().with_extension("");
        if path != Path::new("daemon") {
            texts.push((
                path.display().to_string(),
                fs::read_to_string(&file).unwrap(),
            ));
        }
    }
    assert_eq!(check_tree(&texts), []);
    for (service, leafs) in services {
        let (path, text) = texts
            .iter()
            .find(|(path, _)| *path == format!("services/{service}"))
            .unwrap();
        let Ok(Subtree::Service(parsed)) = parse_subtree(path, text) else {
            panic!("{path} is not a service");
        };
        assert_eq!(parsed.leafs().len(), *leafs, "{path}");
    }
    assert_eq!(
        texts
            .iter()
            .filter(|(path, _)| path.starts_with("services/"))
            .count(),
        services.len()
    );
}

#[test]
fn souss_coast() {
    check_deployment(
        "souss-coast",
        &[
            ("quality-office", 40),
            ("order-desk", 60),
            ("export-agents", 5),
            ("harvest-log", 3),
        ],
    );
}

#[test]
fn warmia() {
    check_deployment(
        "warmia",
        &[
            ("pozwolenia", 40),
            ("subwencje", 60),
            ("sekretariat", 7),
            ("hodowcy", 3),
        ],
    );
}
