//! Input of a pass of the planner.

use crate::allocation::{Allocation, Group};
use crate::deployment::Deployment;
use crate::evidence::EvidenceTable;
use crate::ids::VmName;
use crate::time::Time;
use crate::vm::{VmPhase, VmRecord, VmStatus};

/// State of a data centre on which a pass of the planner is based.
#[derive(Clone, Copy)]
pub struct PlanInput<'a> {
    /// Time of the pass.
    pub now: Time,
    /// Declared deployment.
    pub deployment: &'a Deployment,
    /// The platform's VM list. The planner gives orders only to VMs of the
    /// allocation's data centre.
    pub vms: &'a [VmRecord],
    /// Reports of the endpoints.
    pub evidence: &'a EvidenceTable,
    /// Stored allocation of the data centre.
    pub allocation: &'a Allocation,
}

impl PlanInput<'_> {
    pub(super) fn status(&self, vm: &VmName) -> Option<&VmStatus> {
        self.evidence.fresh(self.now, vm)
    }

    pub(super) fn is_loaded(&self, vm: &VmName, group: &Group) -> bool {
        self.status(vm).is_some_and(|s| {
            matches!(s.phase, VmPhase::Preloaded | VmPhase::Ready) && has_weights(s, group)
        })
    }

    pub(super) fn is_serving(&self, group: &Group) -> bool {
        self.evidence.serving_until(self.now, group).is_ok()
    }
}

pub(super) fn has_weights(status: &VmStatus, group: &Group) -> bool {
    status.workload.as_ref() == Some(&group.workload)
        && status.version.as_ref() == Some(&group.version)
}
