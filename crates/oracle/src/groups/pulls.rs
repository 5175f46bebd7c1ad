//! The second entry, which has only the evidence that the first one relays.

use bulrushhoist_core::RelayedEvidence;

use super::{EVIDENCE_WINDOW, GroupSimulation};

impl GroupSimulation {
    /// Answers an open pull with the groups that the first entry may use.
    pub(super) fn answer_pull(&mut self) {
        let mut evidence = Vec::new();
        for group in &self.allocation.groups {
            if let Ok(valid_until) = self.first_entry.serving_until(self.now, group) {
                let age = (self.now + EVIDENCE_WINDOW).since(valid_until);
                evidence.push((self.replica_key(group), group.composition, age));
            }
        }
        if let Some(pull) = self.pulls.iter_mut().find(|p| p.evidence.is_none()) {
            pull.evidence = Some(evidence);
        }
    }

    /// Delivers an answered pull to the second entry.
    ///
    /// Ages count from the time the pull was sent, which overestimates them by
    /// up to the round trip.
    pub(super) fn deliver_pull(&mut self) {
        let Some(index) = self.pulls.iter().position(|p| p.evidence.is_some()) else {
            return;
        };
        let pull = self.pulls.swap_remove(index);
        for (key, composition, age) in pull.evidence.unwrap_or_default() {
            let evidence = RelayedEvidence {
                composition,
                as_of: pull.sent - age,
            };
            self.second_entry.record_relayed(&key, evidence);
        }
    }
}
