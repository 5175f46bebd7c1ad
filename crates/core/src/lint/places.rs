//! Positions of the keys in the files of a deployment.
//!
//! The checked deployment holds values without their positions and cannot tell
//! a default from a declared value. A warning needs both.

use std::collections::BTreeMap;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::deployment::SourceFile;
use crate::tables::Problem;

/// File and line of every declared key, by the segments of the key's path.
///
/// An element of an array has its index as the last segment. Names may contain
/// dots, so the segments are kept apart.
#[derive(Default)]
pub(super) struct Places<'a> {
    by_path: BTreeMap<Vec<String>, (&'a str, usize)>,
}

impl<'a> Places<'a> {
    /// Finds the keys of all files. A key that several files have, such as
    /// `models`, has its place in the first one.
    pub(super) fn of_files(files: &'a [SourceFile]) -> Self {
        let mut places = Self::default();
        for file in files {
            let (root, _) = DeTable::parse_recoverable(&file.text);
            let newlines: Vec<usize> = file.text.match_indices('\n').map(|(at, _)| at).collect();
            let line = |offset: usize| 1 + newlines.partition_point(|at| *at < offset);
            places.add_table(&file.name, &line, &mut Vec::new(), root.get_ref());
        }
        places
    }

    fn add_table(
        &mut self,
        file: &'a str,
        line: &impl Fn(usize) -> usize,
        path: &mut Vec<String>,
        table: &DeTable<'_>,
    ) {
        for (key, value) in table {
            path.push(key.get_ref().to_string());
            self.add_value(file, line, path, value);
            path.pop();
        }
    }

    fn add_value(
        &mut self,
        file: &'a str,
        line: &impl Fn(usize) -> usize,
        path: &mut Vec<String>,
        value: &Spanned<DeValue<'_>>,
    ) {
        let place = (file, line(value.span().start));
        self.by_path.entry(path.clone()).or_insert(place);
        match value.get_ref() {
            DeValue::Table(table) => self.add_table(file, line, path, table),
            DeValue::Array(items) => {
                for (index, item) in items.iter().enumerate() {
                    path.push(index.to_string());
                    self.add_value(file, line, path, item);
                    path.pop();
                }
            }
            _ => {}
        }
    }

    /// Returns whether a file declares this key.
    pub(super) fn has(&self, path: &[&str]) -> bool {
        self.get(path).is_some()
    }

    fn get(&self, path: &[&str]) -> Option<(&'a str, usize)> {
        let owned: Vec<String> = path.iter().map(|s| (*s).to_owned()).collect();
        self.by_path.get(&owned).copied()
    }

    /// Returns `file:line` of a key, for a message that refers to it.
    pub(super) fn describe(&self, path: &[&str]) -> String {
        self.get(path)
            .map_or_else(String::new, |(file, line)| format!("{file}:{line}"))
    }

    /// Creates a message about a key, at its place.
    pub(super) fn problem(&self, path: &[&str], message: String) -> Problem {
        let (file, line) = self.get(path).unwrap_or(("", 1));
        Problem {
            file: file.to_owned(),
            line,
            key: path.join("."),
            message,
        }
    }
}
