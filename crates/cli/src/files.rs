//! Reads a deployment's directory.

use std::path::Path;

use bulrushhoist_core::SourceFile;

use crate::error::CliError;

/// Reads every `.toml` file of a directory, in the order of names.
pub fn read_directory(directory: &Path) -> Result<Vec<SourceFile>, CliError> {
    let failed = |path: &Path| {
        let path = path.to_owned();
        move |cause| CliError::Read { path, cause }
    };
    let mut files = Vec::new();
    for entry in std::fs::read_dir(directory).map_err(failed(directory))? {
        let path = entry.map_err(failed(directory))?.path();
        if path.extension().is_none_or(|e| e != "toml") {
            continue;
        }
        let text = std::fs::read_to_string(&path).map_err(failed(&path))?;
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        files.push(SourceFile { name, text });
    }
    if files.is_empty() {
        let reason = format!("{} contains no .toml file", directory.display());
        return Err(CliError::Refused { reason });
    }
    files.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(files)
}
