//! A second entry, which lives by the findings of the first.

use bulrushhoist_core::RelayedEvidence;

use super::{EVIDENCE, GroupWorld};

impl GroupWorld {
    /// The first entry answers the oldest question.
    pub(super) fn serve_pull(&mut self) {
        let mut findings = Vec::new();
        for group in &self.allocation.groups {
            if let Ok(until) = self.entry.serving_until(self.now, group) {
                let age = (self.now + EVIDENCE).since(until);
                findings.push((self.key(group), group.composition, age));
            }
        }
        if let Some(pull) = self.pulls.iter_mut().find(|p| p.findings.is_none()) {
            pull.findings = Some(findings);
        }
    }

    /// The oldest answer arrives.
    pub(super) fn arrive_pull(&mut self) {
        let Some(at) = self.pulls.iter().position(|p| p.findings.is_some()) else {
            return;
        };
        let pull = self.pulls.swap_remove(at);
        for (key, composition, age) in pull.findings.unwrap_or_default() {
            let evidence = RelayedEvidence {
                composition,
                as_of: pull.sent - age,
            };
            self.second.record_relayed(&key, evidence);
        }
    }
}
