//! Applies a deployment's files atomically.
//!
//! The files are stored first, under their digests. One conditional update of the
//! manifest then makes either all of them the configuration or none.

use std::collections::BTreeMap;

use bulrushhoist_core::{Manifest, ObjectKey, Revision, SourceFile, check_files};
use bulrushhoist_store::{PlatformError, Store, StoreError, Stored};
use derive_more::Display;
use serde::Serialize;

use crate::error::CliError;

/// The result of applying files.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ApplyReport {
    /// Generation of the configuration that consists of the files.
    pub generation: Revision,
    /// Files that differ from the previous configuration.
    pub differences: Vec<FileDifference>,
}

/// The kind of difference of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum FileChange {
    /// The file is new.
    Added,
    /// The file no longer exists.
    Removed,
    /// The file's text differs.
    Changed,
}

/// A file that differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
#[display("{change} {name}")]
pub struct FileDifference {
    /// Name of the file.
    pub name: String,
    /// How it differs.
    pub change: FileChange,
    /// Lines that occur only in the new text.
    pub added: Vec<NumberedLine>,
    /// Lines that occur only in the old text.
    pub removed: Vec<NumberedLine>,
}

/// A line of a file with its number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct NumberedLine {
    /// Number of the line, from 1.
    pub line: usize,
    /// Text of the line.
    pub text: String,
}

/// Reads the stored manifest and its files; there are none before the first apply.
pub async fn stored_files(
    store: &Store,
) -> Result<(Option<Stored<Manifest>>, Vec<SourceFile>), CliError> {
    let manifest = store.read::<Manifest>(&ObjectKey::manifest()).await?;
    let mut files = Vec::new();
    if let Some(manifest) = &manifest {
        for (name, digest) in &manifest.envelope.body.parts {
            let key = ObjectKey::config_file(digest);
            let part = store.read::<String>(&key).await?;
            let part = part.ok_or(CliError::NotFound {
                what: format!("stored part {key} is missing"),
            })?;
            files.push(SourceFile {
                name: name.clone(),
                text: part.envelope.body,
            });
        }
    }
    Ok((manifest, files))
}

/// Compares two sets of files; returns those that differ, in the order of names.
#[must_use]
pub fn differences(before: &[SourceFile], after: &[SourceFile]) -> Vec<FileDifference> {
    let texts = |files: &[SourceFile]| -> BTreeMap<String, String> {
        files
            .iter()
            .map(|f| (f.name.clone(), f.text.clone()))
            .collect()
    };
    let (before, after) = (texts(before), texts(after));
    let names: std::collections::BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let difference = |name: &String| {
        let (old, new) = (before.get(name), after.get(name));
        let change = match (old, new) {
            (None, _) => FileChange::Added,
            (_, None) => FileChange::Removed,
            (Some(old), Some(new)) if old != new => FileChange::Changed,
            _ => return None,
        };
        let (old, new) = (
            old.map_or("", String::as_str),
            new.map_or("", String::as_str),
        );
        let (added, removed) = (missing_lines(new, old), missing_lines(old, new));
        Some(FileDifference {
            name: name.clone(),
            change,
            added,
            removed,
        })
    };
    names.into_iter().filter_map(difference).collect()
}

/// Returns the lines of `text` that do not occur in `other`.
fn missing_lines(text: &str, other: &str) -> Vec<NumberedLine> {
    let other_lines: std::collections::HashSet<&str> = other.lines().collect();
    text.lines()
        .enumerate()
        .filter(|(_, text)| !other_lines.contains(text))
        .map(|(i, text)| NumberedLine {
            line: i + 1,
            text: text.to_owned(),
        })
        .collect()
}

/// Checks files together and makes them the configuration.
///
/// If `base` is given, the stored configuration must still have that generation. Of two
/// concurrent calls the first to store succeeds; the other returns a conflict with the
/// differences, and overwrites nothing.
pub async fn apply_files(
    store: &Store,
    files: &[SourceFile],
    base: Option<Revision>,
) -> Result<ApplyReport, CliError> {
    check_files(files)?;
    let (manifest, before) = stored_files(store).await?;
    let found = manifest
        .as_ref()
        .map_or(Revision::new(0), |m| m.envelope.revision);
    let differences = differences(&before, files);
    if let Some(base) = base
        && base != found
    {
        return Err(conflict(base, found, &differences));
    }
    if differences.is_empty() && manifest.is_some() {
        return Ok(ApplyReport {
            generation: found,
            differences,
        });
    }
    let mut parts = BTreeMap::new();
    for file in files {
        let digest = file.digest();
        store_part(store, &digest, &file.text).await?;
        parts.insert(file.name.clone(), digest);
    }
    let body = Manifest { parts };
    match store
        .replace(&ObjectKey::manifest(), manifest.as_ref(), body)
        .await
    {
        Ok(stored) => Ok(ApplyReport {
            generation: stored.envelope.revision,
            differences,
        }),
        Err(StoreError::Platform(PlatformError::Conflict)) => {
            let (now, theirs) = stored_files(store).await?;
            let now = now.map_or(Revision::new(0), |m| m.envelope.revision);
            Err(conflict(found, now, &self::differences(&theirs, files)))
        }
        Err(error) => Err(error.into()),
    }
}

/// Stores the text of a file under its digest; an existing copy is the same text.
async fn store_part(store: &Store, digest: &str, text: &str) -> Result<(), CliError> {
    let key = ObjectKey::config_file(digest);
    match store.replace(&key, None, text.to_owned()).await {
        Ok(_) | Err(StoreError::Platform(PlatformError::Conflict)) => Ok(()),
        Err(error) => Err(error.into()),
    }
}

/// Builds the error for a configuration that was changed by another operator.
fn conflict(base: Revision, found: Revision, differences: &[FileDifference]) -> CliError {
    let names: Vec<String> = differences.iter().map(ToString::to_string).collect();
    let detail = format!(
        "started from generation {base}, but generation {found} is stored; \
         compared with it, your files differ in: {}",
        if names.is_empty() {
            "nothing".to_owned()
        } else {
            names.join(", ")
        }
    );
    CliError::Conflict { detail }
}
