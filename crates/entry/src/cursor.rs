//! How far an entry knows a kind of objects.

/// How far a kind of objects is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Cursor {
    /// Revision from which to continue; `None` if the kind must be listed.
    pub(crate) revision: Option<u64>,
    /// Highest revision that was applied.
    applied: u64,
}

impl Cursor {
    /// Returns whether an answer of this revision is at least as new as all that was
    /// applied, also if the kind must be listed again: a relay may be behind.
    pub(crate) const fn accepts(self, revision: u64) -> bool {
        revision >= self.applied
    }

    pub(crate) fn advance(&mut self, revision: u64) {
        self.applied = self.applied.max(revision);
        self.revision = Some(self.applied);
    }
}

#[cfg(test)]
#[path = "../tests/unit/cursor.rs"]
mod tests;
