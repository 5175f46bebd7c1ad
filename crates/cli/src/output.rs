//! Output of results as text or JSON.

use derive_more::{Display, FromStr};
use serde::Serialize;

/// Format of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, FromStr)]
#[display(rename_all = "lowercase")]
pub enum OutputFormat {
    /// Lines of text for a person.
    #[default]
    Text,
    /// One JSON document.
    Json,
}

/// Prints results in the selected format.
#[derive(Clone, Copy, Debug)]
pub struct Printer {
    /// Format of the output.
    pub format: OutputFormat,
    /// Whether text output is suppressed; JSON is always printed.
    pub quiet: bool,
}

impl Printer {
    /// Prints a result: `value` as JSON, or the lines of `text`.
    #[allow(clippy::print_stdout)]
    pub fn print<T: Serialize>(&self, value: &T, text: impl FnOnce() -> Vec<String>) {
        match self.format {
            OutputFormat::Json => {
                let json = serde_json::to_string_pretty(value);
                println!(
                    "{}",
                    json.unwrap_or_else(|e| format!("{{\"error\":\"{e}\"}}"))
                );
            }
            OutputFormat::Text if self.quiet => {}
            OutputFormat::Text => text().iter().for_each(|line| println!("{line}")),
        }
    }
}
