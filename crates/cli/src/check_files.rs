//! Finds settings files and their kinds.

use std::fs;
use std::path::{Path, PathBuf};

use settings::{Format, SubtreePath};

use crate::error::CliError;

/// Directories may link to each other in a circle; a settings tree has three levels.
const DEPTH_LIMIT: usize = 8;

/// A settings text and what it is.
#[derive(Debug)]
pub(crate) struct SettingsFile {
    pub(crate) file: PathBuf,
    pub(crate) kind: FileKind,
    pub(crate) text: String,
}

#[derive(Debug)]
pub(crate) enum FileKind {
    Daemon,
    Router,
    /// Path within the settings tree.
    Subtree(String),
}

/// Reads one file; its kind is the given one or follows from its path.
pub(crate) fn read_file(file: &Path, as_kind: Option<Format>) -> Result<SettingsFile, CliError> {
    let text = read_text(file)?;
    let kind = match as_kind {
        Some(format) => kind_as(file, format),
        None => kind_of(file).ok_or_else(|| CliError::UnknownKind {
            path: file.to_owned(),
        })?,
    };
    Ok(SettingsFile {
        file: file.to_owned(),
        kind,
        text,
    })
}

/// Returns all settings files below a directory; files that are not JSON are left out.
pub(crate) fn files_below(root: &Path) -> Result<Vec<PathBuf>, CliError> {
    let mut paths = Vec::new();
    collect(root, 0, &mut paths)?;
    paths.sort();
    if paths.is_empty() {
        return Err(CliError::NoFiles {
            path: root.to_owned(),
        });
    }
    Ok(paths)
}

/// Returns whether a directory is the root of a settings tree.
pub(crate) fn is_tree(root: &Path) -> bool {
    ["teams", "services", "indexes"]
        .iter()
        .any(|part| root.join(part).is_dir())
}

/// Reads a file of a settings tree.
pub(crate) fn read_in_tree(root: &Path, file: &Path) -> Result<SettingsFile, CliError> {
    let inner = file.strip_prefix(root).unwrap_or(file).with_extension("");
    let kind = if inner == Path::new("daemon") {
        FileKind::Daemon
    } else {
        FileKind::Subtree(inner.to_string_lossy().into_owned())
    };
    Ok(SettingsFile {
        file: file.to_owned(),
        kind,
        text: read_text(file)?,
    })
}

fn collect(directory: &Path, depth: usize, paths: &mut Vec<PathBuf>) -> Result<(), CliError> {
    let failed = |source| CliError::ReadFile {
        path: directory.to_owned(),
        source,
    };
    for entry in fs::read_dir(directory).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        if is_hidden(&path) {
            continue;
        }
        if path.is_dir() {
            if depth < DEPTH_LIMIT {
                collect(&path, depth + 1, paths)?;
            }
        } else if is_settings_file(&path) {
            paths.push(path);
        }
    }
    Ok(())
}

fn is_hidden(path: &Path) -> bool {
    let name = path.file_name().unwrap_or_default();
    name.as_encoded_bytes().starts_with(b".")
}

fn is_settings_file(path: &Path) -> bool {
    path.extension()
        .is_some_and(|extension| extension == "jsonc" || extension == "json")
}

fn read_text(file: &Path) -> Result<String, CliError> {
    let bytes = fs::read(file).map_err(|source| CliError::ReadFile {
        path: file.to_owned(),
        source,
    })?;
    String::from_utf8(bytes).map_err(|error| CliError::NotUtf8 {
        path: file.to_owned(),
        valid_bytes: error.utf8_error().valid_up_to(),
    })
}

/// Returns the kind that a path such as `.../teams/clerks.jsonc` implies.
fn kind_of(file: &Path) -> Option<FileKind> {
    // The path may be relative to the directory of its kind.
    let name = std::path::absolute(file).ok()?.with_extension("");
    let parts: Vec<&str> = name.iter().filter_map(|part| part.to_str()).collect();
    let subtree = |count: usize| {
        let path = parts.get(parts.len().checked_sub(count)?..)?.join("/");
        SubtreePath::parse(&path)
            .is_ok()
            .then_some(FileKind::Subtree(path))
    };
    let is_named = |start: &str| parts.last().is_some_and(|name| name.starts_with(start));
    subtree(3)
        .or_else(|| subtree(2))
        .or_else(|| is_named("daemon").then_some(FileKind::Daemon))
        .or_else(|| is_named("router").then_some(FileKind::Router))
}

/// Returns the kind asked for; names that the path does not give are placeholders.
fn kind_as(file: &Path, format: Format) -> FileKind {
    let stem = file.file_stem().unwrap_or_default().to_string_lossy();
    let path = match format {
        Format::Daemon => return FileKind::Daemon,
        Format::Router => return FileKind::Router,
        Format::Team => format!("teams/{stem}"),
        Format::Service => format!("services/{stem}"),
        Format::Index => match kind_of(file) {
            Some(FileKind::Subtree(path)) if path.starts_with("indexes/") => path,
            _ => "indexes/any/0".to_owned(),
        },
    };
    FileKind::Subtree(path)
}
