//! The order of what the store says.
//!
//! Revisions grow within one era. When the store returns from a copy, its history goes back
//! to the copy and a new era begins, in which revisions are given out again. So a
//! [`Position`] is an era and a revision, and what is newer is decided by positions alone.
//!
//! A new era begins with the state of the copy, which is older than what was confirmed
//! since. Between eras, objects are therefore ordered by what their writers say of them: a
//! configuration by its version.

use std::num::ParseIntError;
use std::str::FromStr;

use derive_more::Display;

/// A point in the store's history. Positions are ordered by era first.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{era}.{revision}")]
pub(crate) struct Position {
    /// Number of the era, 0 for a store that doesn't say.
    pub(crate) era: u64,
    pub(crate) revision: u64,
}

impl Position {
    pub(crate) const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl FromStr for Position {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, revision) = text.split_once('.').unwrap_or(("0", text));
        Ok(Self::new(era.parse()?, revision.parse()?))
    }
}

/// How far a kind of objects is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Cursor {
    /// Where to continue; `None` if the kind must be listed.
    pub(crate) next: Option<Position>,
    /// Last position that was applied.
    applied: Position,
}

impl Cursor {
    /// Returns whether an answer at this position is at least as new as all that was
    /// applied, also if the kind must be listed again: a relay may be behind.
    pub(crate) fn accepts(self, position: Position) -> bool {
        position >= self.applied
    }

    /// Continues after changes, or after a list of a relay.
    pub(crate) fn advance(&mut self, position: Position) {
        self.applied = self.applied.max(position);
        self.next = Some(self.applied);
    }

    /// Continues after a list of the store itself. Returns `false` if the list is of an
    /// earlier era and says nothing.
    pub(crate) fn reset(&mut self, position: Position) -> bool {
        let current = position.era >= self.applied.era;
        if current {
            self.applied = position;
            self.next = Some(position);
        }
        current
    }
}

/// Where the configuration in force comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConfigurationOrigin {
    pub(crate) position: Position,
    /// Version that the operators gave it.
    pub(crate) version: u64,
}

impl ConfigurationOrigin {
    /// Returns whether a configuration of this origin replaces the one in force. The first
    /// ones of a new era may be older.
    pub(crate) fn replaces(self, in_force: Self) -> bool {
        match self.position.era == in_force.position.era {
            true => self.position.revision > in_force.position.revision,
            false => self.position.era > in_force.position.era && self.version >= in_force.version,
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/history.rs"]
mod tests;
