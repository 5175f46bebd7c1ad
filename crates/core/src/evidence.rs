//! Evidence that the members of a group are up and belong together.
//!
//! Invariant: a group takes new work only while every member's newest report
//! is fresh and names the expected group, fencing number, rank, workload and
//! version. Freshness counts from the moment the probe was sent, on the
//! reader's own clock, so a slow answer or a pause of the reader can only
//! shorten it. Another daemon's finding about a whole group counts as well,
//! dated by its age before the question was sent. See
//! `docs/decisions/0003-groups.md` and `0009-shared-probes.md`.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;

use crate::allocation::{Group, GroupPhase, Member};
use crate::ids::{FencingToken, VmName};
use crate::route::ReplicaKey;
use crate::time::Time;
use crate::vm::{VmPhase, VmStatus};

/// Why a group takes no new work.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum NotServing {
    /// The group is draining.
    #[display("draining")]
    Draining,
    /// The group is about to swap a member.
    #[display("swapping a member")]
    Swapping,
    /// A member did not answer recently.
    #[display("no fresh report from {_0}")]
    NoFreshReport(VmName),
    /// A member is not ready yet.
    #[display("{_0} is not ready")]
    NotReady(VmName),
    /// A member reports another group, rank, workload or version.
    #[display("{_0} reports another assignment")]
    Mismatch(VmName),
}

/// What another daemon found out about a whole group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayedEvidence {
    /// Composition that every member reported.
    pub composition: FencingToken,
    /// Moment, on this daemon's clock, that the oldest report is no older than.
    pub as_of: Time,
}

#[derive(Clone, Debug)]
struct Report {
    sent: Time,
    status: VmStatus,
}

/// The newest report of each VM.
#[derive(Debug)]
pub struct EvidenceTable {
    life: Duration,
    reports: HashMap<VmName, Report>,
    distrusted: HashMap<VmName, Time>,
    relayed: HashMap<ReplicaKey, RelayedEvidence>,
}

impl EvidenceTable {
    /// An empty book whose reports count for `life` from their sending.
    #[must_use]
    pub fn new(life: Duration) -> Self {
        Self {
            life,
            reports: HashMap::new(),
            distrusted: HashMap::new(),
            relayed: HashMap::new(),
        }
    }

    /// Records a report that answers a probe sent at `sent`.
    ///
    /// A report that answers an older probe than the one on record, or comes
    /// from another VM than the one that was asked, is ignored.
    pub fn record(&mut self, asked: &VmName, sent: Time, status: VmStatus) {
        if status.vm != *asked {
            return;
        }
        if self.reports.get(asked).is_some_and(|r| r.sent > sent) {
            return;
        }
        if self
            .distrusted
            .get(asked)
            .is_some_and(|failed| *failed >= sent)
        {
            return;
        }
        self.distrusted.remove(asked);
        self.reports.insert(asked.clone(), Report { sent, status });
    }

    /// Drops what is known of a VM, since a request to it failed at `now`.
    /// Only probes that are sent later count again.
    pub fn invalidate(&mut self, vm: &VmName, now: Time) {
        self.reports.remove(vm);
        self.distrusted.insert(vm.clone(), now);
    }

    /// Records another daemon's finding, unless a newer one is on record.
    pub fn record_relayed(&mut self, key: &ReplicaKey, evidence: RelayedEvidence) {
        let newest = self.relayed.entry(key.clone()).or_insert(evidence);
        if evidence.as_of > newest.as_of {
            *newest = evidence;
        }
    }

    /// Drops the VMs for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&VmName) -> bool) {
        self.reports.retain(|vm, _| keep(vm));
        self.distrusted.retain(|vm, _| keep(vm));
    }

    /// Returns the newest report of a VM with its probe's sending time.
    #[must_use]
    pub fn latest(&self, vm: &VmName) -> Option<(Time, &VmStatus)> {
        self.reports.get(vm).map(|r| (r.sent, &r.status))
    }

    /// Returns a VM's report if it still counts.
    #[must_use]
    pub fn fresh(&self, now: Time, vm: &VmName) -> Option<&VmStatus> {
        let report = self.reports.get(vm)?;
        (now < report.sent + self.life).then_some(&report.status)
    }

    /// Returns until when the group may take work by this daemon's reports and
    /// by what others found out, or why it may not.
    pub fn serving_until_shared(
        &self,
        now: Time,
        key: &ReplicaKey,
        group: &Group,
    ) -> Result<Time, NotServing> {
        let own = self.serving_until(now, group);
        if group.phase != GroupPhase::Active {
            return own;
        }
        match (own, self.relayed_until(now, key, group)) {
            (Ok(own), Some(relayed)) => Ok(own.max(relayed)),
            (Err(_), Some(relayed)) => Ok(relayed),
            (own, None) => own,
        }
    }

    /// A finding that is not newer than a failure seen here does not count.
    fn relayed_until(&self, now: Time, key: &ReplicaKey, group: &Group) -> Option<Time> {
        let evidence = self.relayed.get(key)?;
        let failed = group
            .members
            .iter()
            .filter_map(|m| self.distrusted.get(&m.vm))
            .max();
        let contradicted = group.members.iter().any(|m| {
            let report = self.reports.get(&m.vm);
            report.is_some_and(|r| r.sent >= evidence.as_of && !agrees(&r.status, group))
        });
        let counts = evidence.composition == group.composition
            && failed.is_none_or(|at| evidence.as_of > *at)
            && !contradicted;
        let until = evidence.as_of + self.life;
        (counts && now < until).then_some(until)
    }

    /// Returns until when the group may take work by this daemon's own reports,
    /// or why it may not.
    pub fn serving_until(&self, now: Time, group: &Group) -> Result<Time, NotServing> {
        match group.phase {
            GroupPhase::Active => {}
            GroupPhase::Draining => return Err(NotServing::Draining),
            GroupPhase::Swapping => return Err(NotServing::Swapping),
        }
        let mut until = now + self.life;
        for (rank, member) in (0u32..).zip(&group.members) {
            until = until.min(self.member_until(now, group, rank, member)?);
        }
        Ok(until)
    }

    fn member_until(
        &self,
        now: Time,
        group: &Group,
        rank: u32,
        member: &Member,
    ) -> Result<Time, NotServing> {
        let silent = || NotServing::NoFreshReport(member.vm.clone());
        let report = self.reports.get(&member.vm).ok_or_else(silent)?;
        let until = report.sent + self.life;
        if until <= now {
            return Err(silent());
        }
        let status = &report.status;
        let assigned = status.group == Some(group.number)
            && status.composition == group.composition
            && status.rank == rank
            && status.workload.as_ref() == Some(&group.workload)
            && status.version.as_ref() == Some(&group.version);
        if !assigned {
            return Err(NotServing::Mismatch(member.vm.clone()));
        }
        if status.phase != VmPhase::Ready {
            return Err(NotServing::NotReady(member.vm.clone()));
        }
        Ok(until)
    }
}

/// Whether a report names the group and composition that it should.
fn agrees(status: &VmStatus, group: &Group) -> bool {
    status.group == Some(group.number)
        && status.composition == group.composition
        && status.phase == VmPhase::Ready
}
