//! Reading of TOML tables that reports all problems at once.
//!
//! A derived deserialiser stops at the first error. Operators need all errors
//! of a directory together, each with its file, line, key, the value found and
//! the values allowed. Tables are therefore read field by field, and problems
//! are collected.

use std::cell::RefCell;
use std::ops::RangeInclusive;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Maximum number of problems that are kept, so that a large malformed file
/// cannot exhaust the memory.
const MAX_PROBLEMS: usize = 1_000;

/// An error in a file.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display("{file}:{line}: {key}: {message}")]
pub struct Problem {
    /// Name of the file, relative to the given directory.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Path of the key, separated by dots.
    pub key: String,
    /// Description of what was found and what is allowed.
    pub message: String,
}

/// All problems that a check found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Problems(#[error(not(source))] pub Vec<Problem>);

impl std::fmt::Display for Problems {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, problem) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            problem.fmt(f)?;
        }
        Ok(())
    }
}

/// Parses a document and passes its root table to `read`.
///
/// Syntax errors are added to `problems`. In this case `read` is not called,
/// because problems with the keys of a malformed document would be misleading.
pub fn parse_document<T>(
    file: &str,
    input: &str,
    problems: &mut Problems,
    read: impl FnOnce(TableReader<'_>) -> Option<T>,
) -> Option<T> {
    let sink = RefCell::new(std::mem::take(problems));
    let source = Source {
        file,
        input,
        sink: &sink,
    };
    let (root, errors) = DeTable::parse_recoverable(input);
    for error in &errors {
        let at = error.span().map_or(0, |s| s.start);
        source.report(at, "", error.message());
    }
    let value = match errors.is_empty() {
        true => read(TableReader::new(source, String::new(), 0, root.get_ref())),
        false => None,
    };
    *problems = sink.into_inner();
    value
}

#[derive(Clone, Copy)]
struct Source<'a> {
    file: &'a str,
    input: &'a str,
    sink: &'a RefCell<Problems>,
}

impl Source<'_> {
    fn line(&self, offset: usize) -> usize {
        let before = self.input.as_bytes().iter().take(offset);
        1 + before.filter(|b| **b == b'\n').count()
    }

    fn report(&self, offset: usize, key: &str, message: impl Into<String>) {
        let line = self.line(offset);
        let mut sink = self.sink.borrow_mut();
        if sink.0.len() < MAX_PROBLEMS {
            let (file, key) = (self.file.to_owned(), key.to_owned());
            sink.0.push(Problem {
                file,
                line,
                key,
                message: message.into(),
            });
        }
    }
}

/// Reader of one table, which collects the problems with its keys.
///
/// Every allowed key must be read before [`Self::finish`], which reports the
/// other ones as unknown.
pub struct TableReader<'a> {
    source: Source<'a>,
    path: String,
    offset: usize,
    table: &'a DeTable<'a>,
    /// Keys that have been read.
    known_keys: Vec<&'a str>,
}

impl<'a> TableReader<'a> {
    fn new(source: Source<'a>, path: String, offset: usize, table: &'a DeTable<'a>) -> Self {
        Self {
            source,
            path,
            offset,
            table,
            known_keys: Vec::new(),
        }
    }

    /// Adds a problem with the table itself.
    pub fn problem(&self, message: impl Into<String>) {
        self.source.report(self.offset, &self.path, message);
    }

    /// Adds a problem with a key of this table.
    pub fn key_problem(&self, key: &str, message: impl Into<String>) {
        let offset = self.table.get(key).map_or(self.offset, |v| v.span().start);
        self.source.report(offset, &self.child_path(key), message);
    }

    /// Returns whether the table has this key.
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// Returns the path of this table, separated by dots.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the name of the file.
    #[must_use]
    pub fn file(&self) -> &str {
        self.source.file
    }

    /// Returns the line number of a key of this table, starting at 1.
    #[must_use]
    pub fn key_line(&self, key: &str) -> usize {
        self.source
            .line(self.table.get(key).map_or(self.offset, |v| v.span().start))
    }

    fn child_path(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn take(&mut self, key: &'a str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known_keys.push(key);
        self.table.get(key)
    }

    fn missing(&self, key: &str, allowed: &str) {
        self.source.report(
            self.offset,
            &self.child_path(key),
            format!("missing; {allowed}"),
        );
    }

    /// Reads an optional string and parses it as `T`.
    pub fn optional<T>(&mut self, key: &'a str) -> Option<T>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        let value = self.take(key)?;
        let Some(text) = value.get_ref().as_str() else {
            self.key_problem(key, unexpected(value, "a string"));
            return None;
        };
        text.parse()
            .map_err(|e: T::Err| self.key_problem(key, e.to_string()))
            .ok()
    }

    /// Reads a string and parses it as `T`.
    pub fn required<T>(&mut self, key: &'a str) -> Option<T>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        if !self.table.contains_key(key) {
            self.missing(key, "a string is required");
        }
        self.optional(key)
    }

    /// Reads an optional string that is the text form of one of `all`.
    pub fn choice<T>(&mut self, key: &'a str, all: &[T]) -> Option<T>
    where
        T: Copy + std::fmt::Display,
    {
        let value = self.take(key)?;
        let text = value.get_ref().as_str();
        let found = all
            .iter()
            .copied()
            .find(|t| text == Some(t.to_string().as_str()));
        if found.is_none() {
            let names: Vec<String> = all.iter().map(|t| format!("`{t}`")).collect();
            self.key_problem(
                key,
                unexpected(value, &format!("one of {}", names.join(", "))),
            );
        }
        found
    }

    /// Reads an optional integer within a range.
    pub fn optional_integer(&mut self, key: &'a str, allowed: RangeInclusive<u64>) -> Option<u64> {
        let value = self.take(key)?;
        let number = value
            .get_ref()
            .as_integer()
            .and_then(|i| u64::from_str_radix(i.as_str(), i.radix()).ok())
            .filter(|n| allowed.contains(n));
        if number.is_none() {
            let (low, high) = allowed.into_inner();
            let expected = format!("a whole number from {low} to {high}");
            self.key_problem(key, unexpected(value, &expected));
        }
        number
    }

    /// Reads an integer within a range.
    pub fn integer(&mut self, key: &'a str, allowed: RangeInclusive<u64>) -> Option<u64> {
        if !self.table.contains_key(key) {
            let (low, high) = (allowed.start(), allowed.end());
            self.missing(
                key,
                &format!("a whole number from {low} to {high} is required"),
            );
        }
        self.optional_integer(key, allowed)
    }

    /// Reads an integer within a range; returns `default` if it is absent or
    /// not valid.
    pub fn integer_or(&mut self, key: &'a str, allowed: RangeInclusive<u64>, default: u64) -> u64 {
        self.optional_integer(key, allowed).unwrap_or(default)
    }

    /// Reads an optional boolean.
    pub fn optional_boolean(&mut self, key: &'a str) -> Option<bool> {
        let value = self.take(key)?;
        let found = value.get_ref().as_bool();
        if found.is_none() {
            self.key_problem(key, unexpected(value, "true or false"));
        }
        found
    }

    /// Reads a boolean.
    pub fn boolean(&mut self, key: &'a str) -> Option<bool> {
        if !self.table.contains_key(key) {
            self.missing(key, "true or false is required");
        }
        self.optional_boolean(key)
    }

    /// Reads an optional array of strings and parses each as `T`.
    pub fn list<T>(&mut self, key: &'a str) -> Vec<T>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        let Some(value) = self.take(key) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.key_problem(key, unexpected(value, "a list of strings"));
            return Vec::new();
        };
        let mut found = Vec::new();
        for item in items {
            let Some(text) = item.get_ref().as_str() else {
                self.key_problem(key, unexpected(item, "a string"));
                continue;
            };
            match text.parse::<T>() {
                Ok(parsed) => found.push(parsed),
                Err(e) => self.key_problem(key, e.to_string()),
            }
        }
        found
    }

    /// Reads an optional table.
    pub fn table(&mut self, key: &'a str) -> Option<TableReader<'a>> {
        let value = self.take(key)?;
        self.as_table(key, value)
    }

    fn as_table(&self, key: &str, value: &'a Spanned<DeValue<'a>>) -> Option<TableReader<'a>> {
        let Some(table) = value.get_ref().as_table() else {
            self.key_problem(key, unexpected(value, "a table"));
            return None;
        };
        Some(TableReader::new(
            self.source,
            self.child_path(key),
            value.span().start,
            table,
        ))
    }

    /// Reads an optional array of tables.
    pub fn tables(&mut self, key: &'a str) -> Vec<TableReader<'a>> {
        let Some(value) = self.take(key) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.key_problem(key, unexpected(value, "an array of tables"));
            return Vec::new();
        };
        items
            .iter()
            .filter_map(|item| self.as_table(key, item))
            .collect()
    }

    /// Reads every key as a name of type `T` and its value as a table.
    pub fn named_tables<T>(&mut self) -> Vec<(T, TableReader<'a>)>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        let mut found = Vec::new();
        for (name, value) in self.table {
            let name: &'a str = name.get_ref().as_ref();
            self.known_keys.push(name);
            let Some(table) = self.as_table(name, value) else {
                continue;
            };
            match name.parse::<T>() {
                Ok(parsed) => found.push((parsed, table)),
                Err(e) => self.key_problem(name, e.to_string()),
            }
        }
        found
    }

    /// Reads every key as a name of type `T` and its value as an integer.
    pub fn named_integers<T>(&mut self, allowed: &RangeInclusive<u64>) -> Vec<(T, u64)>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        let names: Vec<&'a str> = self.table.keys().map(|k| k.get_ref().as_ref()).collect();
        let mut found = Vec::new();
        for name in names {
            let number = self.optional_integer(name, allowed.clone());
            match name.parse::<T>() {
                Ok(parsed) => found.extend(number.map(|n| (parsed, n))),
                Err(e) => self.key_problem(name, e.to_string()),
            }
        }
        found
    }

    /// Reports every key that was not read as unknown.
    pub fn finish(self) {
        for (key, _) in self.table {
            let name = key.get_ref().as_ref();
            if self.known_keys.contains(&name) {
                continue;
            }
            let mut allowed = self.known_keys.clone();
            allowed.sort_unstable();
            allowed.dedup();
            let message = format!("unknown key; allowed are {}", allowed.join(", "));
            self.source
                .report(key.span().start, &self.child_path(name), message);
        }
    }
}

/// Formats the message for a value that is not what was expected.
fn unexpected(value: &Spanned<DeValue<'_>>, expected: &str) -> String {
    let found = match value.get_ref() {
        DeValue::String(text) => format!("`{}`", text.chars().take(40).collect::<String>()),
        DeValue::Integer(number) => number.to_string(),
        DeValue::Float(number) => number.to_string(),
        DeValue::Boolean(value) => value.to_string(),
        DeValue::Datetime(value) => value.to_string(),
        DeValue::Array(_) => "a list".into(),
        DeValue::Table(_) => "a table".into(),
    };
    format!("found {found}, expected {expected}")
}
