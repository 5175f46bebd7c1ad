//! Checks files before they are sent.

use bulrushhoist_core::{Problems, SourceFile, check_files, lint_files};
use serde::Serialize;

use crate::error::CliError;

/// Effect of warnings on the result of a check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WarningPolicy {
    /// Warnings are reported, and the check succeeds.
    #[default]
    Report,
    /// Warnings make the check fail.
    Deny,
}

/// Result of the check of valid files.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct CheckReport {
    /// Number of files.
    pub files: usize,
    /// Entries without effect and limits that contradict each other.
    pub warnings: Problems,
}

impl CheckReport {
    /// Returns the lines of text that show the warnings.
    pub fn warning_lines(&self) -> impl Iterator<Item = String> {
        self.warnings.0.iter().map(|w| format!("warning: {w}"))
    }
}

/// Checks the files of a deployment together.
///
/// Fails with all problems if a file is not valid, and with all warnings if there
/// are any and the policy denies them.
pub fn check(files: &[SourceFile], policy: WarningPolicy) -> Result<CheckReport, CliError> {
    let deployment = check_files(files)?;
    let warnings = lint_files(files, &deployment);
    if policy == WarningPolicy::Deny && !warnings.0.is_empty() {
        return Err(CliError::Warnings { warnings });
    }
    Ok(CheckReport {
        files: files.len(),
        warnings,
    })
}
