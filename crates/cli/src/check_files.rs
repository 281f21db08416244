//! Finds settings files and determines which kind of settings each one holds.

use std::fs;
use std::path::{Path, PathBuf};

use settings::{Format, SubtreePath};

use crate::error::CliError;

/// Maximum depth of the file search, which ends it where symbolic links form a cycle; a settings
/// tree has three levels.
const MAX_DIRECTORY_DEPTH: usize = 8;

/// The text of a settings file, and its kind.
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

/// Reads one file; its kind is that of `format` if given, otherwise it follows from the path.
pub(crate) fn read_file(file: &Path, format: Option<Format>) -> Result<SettingsFile, CliError> {
    let text = read_text(file)?;
    let kind = match format {
        Some(format) => kind_with_format(file, format),
        None => kind_from_path(file).ok_or_else(|| CliError::UnknownFormat {
            path: file.to_owned(),
        })?,
    };
    Ok(SettingsFile {
        file: file.to_owned(),
        kind,
        text,
    })
}

/// Returns the `.json` and `.jsonc` files below a directory, sorted; hidden files and directories
/// are skipped.
pub(crate) fn find_settings_files(root: &Path) -> Result<Vec<PathBuf>, CliError> {
    let mut paths = Vec::new();
    collect_files(root, 0, &mut paths)?;
    paths.sort();
    if paths.is_empty() {
        return Err(CliError::NoSettingsFiles {
            path: root.to_owned(),
        });
    }
    Ok(paths)
}

/// Returns whether a directory looks like the root of a settings tree.
pub(crate) fn is_settings_tree(root: &Path) -> bool {
    ["teams", "services", "indexes"]
        .iter()
        .any(|part| root.join(part).is_dir())
}

/// Reads a file of a settings tree; its path relative to the root determines the kind.
pub(crate) fn read_tree_file(root: &Path, file: &Path) -> Result<SettingsFile, CliError> {
    let subtree_path = file.strip_prefix(root).unwrap_or(file).with_extension("");
    let kind = match subtree_path.to_string_lossy().into_owned() {
        path if path == "daemon" => FileKind::Daemon,
        path if path == "router" => FileKind::Router,
        path => FileKind::Subtree(path),
    };
    Ok(SettingsFile {
        file: file.to_owned(),
        kind,
        text: read_text(file)?,
    })
}

fn collect_files(directory: &Path, depth: usize, paths: &mut Vec<PathBuf>) -> Result<(), CliError> {
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
            if depth < MAX_DIRECTORY_DEPTH {
                collect_files(&path, depth + 1, paths)?;
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
fn kind_from_path(file: &Path) -> Option<FileKind> {
    // A relative path such as `clerks.jsonc` lacks the directory that determines the kind.
    let name = std::path::absolute(file).ok()?.with_extension("");
    let parts: Vec<&str> = name.iter().filter_map(|part| part.to_str()).collect();
    let subtree = |count: usize| {
        let path = parts.get(parts.len().checked_sub(count)?..)?.join("/");
        SubtreePath::parse(&path)
            .is_ok()
            .then_some(FileKind::Subtree(path))
    };
    let starts_with = |prefix: &str| parts.last().is_some_and(|name| name.starts_with(prefix));
    subtree(3)
        .or_else(|| subtree(2))
        .or_else(|| starts_with("daemon").then_some(FileKind::Daemon))
        .or_else(|| starts_with("router").then_some(FileKind::Router))
}

/// Returns the kind for a given format; parts of the subtree path that the file's path does not
/// provide are placeholders.
fn kind_with_format(file: &Path, format: Format) -> FileKind {
    let stem = file.file_stem().unwrap_or_default().to_string_lossy();
    let path = match format {
        Format::Daemon => return FileKind::Daemon,
        Format::Router => return FileKind::Router,
        Format::Team => format!("teams/{stem}"),
        Format::Service => format!("services/{stem}"),
        Format::Index => match kind_from_path(file) {
            Some(FileKind::Subtree(path)) if path.starts_with("indexes/") => path,
            _ => "indexes/any/0".to_owned(),
        },
    };
    FileKind::Subtree(path)
}
