//! The stored plan, which assigns VMs to groups.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Epochs that are left out when the store returns from a copy: more than are drawn in the
/// time that a copy may lack.
const SKIPPED_EPOCHS: u64 = 1_000;

/// A member of a planned group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberPlan {
    /// Name of the VM.
    pub id: String,
    /// Incarnation of the VM when it was planned. A later one has lost the group's state.
    #[serde(rename = "born")]
    pub incarnation: u64,
}

/// A planned group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GroupPlan {
    /// Name of the group.
    pub name: String,
    /// Service of its VMs.
    pub service: String,
    /// Model that the group serves.
    pub model: String,
    /// Epoch of the orders to join. Each change of the members draws a new one.
    pub epoch: u64,
    /// The members; the first is the leader.
    pub members: Vec<MemberPlan>,
    /// Whether this is a single spare VM that keeps the model loaded and is never
    /// opened. A VM whose last group had the same model joins its next one quickly.
    #[serde(default)]
    pub standby: bool,
    /// Whether the group was formed of spares for a high demand, in addition to the wanted
    /// groups. Builds that don't know the field take such a group for a wanted one.
    #[serde(default, skip_serializing_if = "is_false")]
    pub surge: bool,
}

#[allow(clippy::trivially_copy_pass_by_ref)] // The signature that serde requires.
fn is_false(value: &bool) -> bool {
    !*value
}

impl GroupPlan {
    /// Returns whether the group counts towards the wanted number of its model.
    #[must_use]
    pub const fn is_wanted(&self) -> bool {
        !self.standby && !self.surge
    }

    /// Returns whether a VM is a member.
    #[must_use]
    pub fn has_member(&self, id: &str) -> bool {
        self.members.iter().any(|m| m.id == id)
    }
}

/// Every planned group. It is written by conditional updates only, so that epochs grow
/// whichever entry plans.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct Plan {
    /// Highest epoch that was drawn.
    pub epoch: u64,
    /// Era of the store in which it was written; 0 if it isn't known. In a later one it may
    /// be older than plans that were stored.
    pub era: u64,
    /// Number of groups that each model should have.
    pub wanted: BTreeMap<String, usize>,
    /// The groups, including those on standby.
    pub groups: Vec<GroupPlan>,
}

impl Plan {
    /// Draws an epoch that was never used before.
    pub fn next_epoch(&mut self) -> u64 {
        self.epoch += 1;
        self.epoch
    }

    /// Begins an era of the store. Epochs that lost plans may have drawn are left out.
    pub fn begin_era(&mut self, era: u64) {
        self.era = era;
        if self.epoch > 0 {
            self.epoch += SKIPPED_EPOCHS;
        }
    }

    /// Returns the group that a VM is planned into, not counting standby groups.
    #[must_use]
    pub fn group_of(&self, id: &str) -> Option<&GroupPlan> {
        self.groups.iter().find(|g| !g.standby && g.has_member(id))
    }

    /// Removes the standby groups of VMs that become members of another group.
    pub fn remove_standby(&mut self, members: &[MemberPlan]) {
        let is_taken = |g: &GroupPlan| g.standby && members.iter().any(|m| g.has_member(&m.id));
        self.groups.retain(|g| !is_taken(g));
    }
}
