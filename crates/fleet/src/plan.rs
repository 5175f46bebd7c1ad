//! The stored plan: which VM belongs to which group.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A member as the plan names it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct MemberPlan {
    /// Name of the VM.
    pub id: String,
    /// Incarnation that was planned; another one knows nothing of the group.
    pub born: u64,
}

/// One group as the plan names it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GroupPlan {
    /// Name of the group.
    pub name: String,
    /// Service of its VMs.
    pub service: String,
    /// Its model.
    pub model: String,
    /// Number of the order to join; one list of members has one epoch.
    pub epoch: u64,
    /// The members; the first is the head.
    pub members: Vec<MemberPlan>,
    /// Whether this is a single spare VM that keeps the model loaded and is never
    /// opened: a VM whose last group had the model joins the next one quickly.
    #[serde(default)]
    pub standby: bool,
}

impl GroupPlan {
    /// Returns whether a VM is a member.
    #[must_use]
    pub fn has_member(&self, id: &str) -> bool {
        self.members.iter().any(|m| m.id == id)
    }
}

/// Every group. Changed by conditional updates only, so that epochs grow whoever
/// plans.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct Plan {
    /// Highest epoch that was drawn.
    pub epoch: u64,
    /// Groups that each model should have.
    pub wanted: BTreeMap<String, usize>,
    /// The groups.
    pub groups: Vec<GroupPlan>,
}

impl Plan {
    /// Draws an epoch that was never used.
    pub fn next_epoch(&mut self) -> u64 {
        self.epoch += 1;
        self.epoch
    }

    /// Returns the group that a VM is planned into, other than on standby.
    #[must_use]
    pub fn group_of(&self, id: &str) -> Option<&GroupPlan> {
        self.groups.iter().find(|g| !g.standby && g.has_member(id))
    }

    /// Takes VMs off standby because they become members of a group.
    pub fn remove_standby(&mut self, members: &[MemberPlan]) {
        let taken = |g: &GroupPlan| g.standby && members.iter().any(|m| g.has_member(&m.id));
        self.groups.retain(|g| !taken(g));
    }
}
