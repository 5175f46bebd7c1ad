//! Evidence that the members of a group are up and agree on its composition.
//!
//! Invariant: a group takes new requests only while every member's newest
//! report is fresh and names the expected group, composition, rank, workload
//! and version. A report's age counts from the time at which the probe was
//! sent, on the reader's own clock, so that a slow answer or a pause of the
//! reader can only shorten the report's validity. Another daemon's evidence for
//! a complete group counts as well; its reported age is subtracted from the
//! time at which the query was sent. See `docs/decisions/0003-groups.md` and
//! `0009-shared-probes.md`.

use std::collections::HashMap;
use std::time::Duration;

use derive_more::Display;

use crate::allocation::{Group, GroupPhase, Member};
use crate::ids::{FencingToken, VmName};
use crate::route::ReplicaKey;
use crate::time::Time;
use crate::vm::{VmPhase, VmStatus};

/// Reason for which a group takes no new requests.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum NotServing {
    /// The group is draining.
    #[display("draining")]
    Draining,
    /// The group is waiting to swap a member for its replacement.
    #[display("swapping a member")]
    Swapping,
    /// A member has not answered a probe recently.
    #[display("no fresh report from {_0}")]
    NoFreshReport(VmName),
    /// A member is not ready yet.
    #[display("{_0} is not ready")]
    NotReady(VmName),
    /// A member reports another group, composition, rank, workload or version.
    #[display("{_0} reports another assignment")]
    Mismatch(VmName),
}

/// Another daemon's evidence that every member of a group reported ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayedEvidence {
    /// Composition that every member reported.
    pub composition: FencingToken,
    /// Lower bound of the time of the oldest report, on this daemon's clock.
    pub as_of: Time,
}

#[derive(Clone, Debug)]
struct Report {
    sent: Time,
    status: VmStatus,
}

/// The newest report of each VM and the newest relayed evidence of each group.
#[derive(Debug)]
pub struct EvidenceTable {
    lifetime: Duration,
    reports: HashMap<VmName, Report>,
    /// Time of the last failed request to each VM without a later report.
    failures: HashMap<VmName, Time>,
    relayed: HashMap<ReplicaKey, RelayedEvidence>,
}

impl EvidenceTable {
    /// Creates an empty table whose reports are valid for `lifetime` after
    /// their probes were sent.
    #[must_use]
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            reports: HashMap::new(),
            failures: HashMap::new(),
            relayed: HashMap::new(),
        }
    }

    /// Records a report that answers a probe sent at `sent`.
    ///
    /// The report is ignored if it comes from another VM than the `asked` one,
    /// answers an older probe than the recorded report, or answers a probe that
    /// was not sent after the last failure of the VM.
    pub fn record(&mut self, asked: &VmName, sent: Time, status: VmStatus) {
        if status.vm != *asked {
            return;
        }
        if self.reports.get(asked).is_some_and(|r| r.sent > sent) {
            return;
        }
        if self
            .failures
            .get(asked)
            .is_some_and(|failed| *failed >= sent)
        {
            return;
        }
        self.failures.remove(asked);
        self.reports.insert(asked.clone(), Report { sent, status });
    }

    /// Discards the report of a VM because a request to it failed at `now`.
    ///
    /// Only answers to probes that are sent later count again.
    pub fn invalidate(&mut self, vm: &VmName, now: Time) {
        self.reports.remove(vm);
        self.failures.insert(vm.clone(), now);
    }

    /// Records another daemon's evidence, unless newer evidence is recorded.
    pub fn record_relayed(&mut self, key: &ReplicaKey, evidence: RelayedEvidence) {
        let newest = self.relayed.entry(key.clone()).or_insert(evidence);
        if evidence.as_of > newest.as_of {
            *newest = evidence;
        }
    }

    /// Removes the VMs for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&VmName) -> bool) {
        self.reports.retain(|vm, _| keep(vm));
        self.failures.retain(|vm, _| keep(vm));
    }

    /// Returns the newest report of a VM and the time its probe was sent.
    #[must_use]
    pub fn latest(&self, vm: &VmName) -> Option<(Time, &VmStatus)> {
        self.reports.get(vm).map(|r| (r.sent, &r.status))
    }

    /// Returns a VM's newest report if it is still valid.
    #[must_use]
    pub fn fresh(&self, now: Time, vm: &VmName) -> Option<&VmStatus> {
        let report = self.reports.get(vm)?;
        (now < report.sent + self.lifetime).then_some(&report.status)
    }

    /// Returns the time until which the group may take requests, according to
    /// this daemon's own reports and relayed evidence, or why it may not.
    pub fn serving_until_with_relayed(
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

    /// Returns the time until which the group may take requests according to
    /// relayed evidence.
    ///
    /// Evidence does not count if it is not newer than a failure seen by this
    /// daemon, or if a newer report of a member contradicts it.
    fn relayed_until(&self, now: Time, key: &ReplicaKey, group: &Group) -> Option<Time> {
        let evidence = self.relayed.get(key)?;
        let failed = group
            .members
            .iter()
            .filter_map(|m| self.failures.get(&m.vm))
            .max();
        let contradicted = group.members.iter().any(|m| {
            let report = self.reports.get(&m.vm);
            report.is_some_and(|r| r.sent >= evidence.as_of && !confirms(&r.status, group))
        });
        let valid = evidence.composition == group.composition
            && failed.is_none_or(|at| evidence.as_of > *at)
            && !contradicted;
        let until = evidence.as_of + self.lifetime;
        (valid && now < until).then_some(until)
    }

    /// Returns the time until which the group may take requests, according to
    /// this daemon's own reports alone, or why it may not.
    pub fn serving_until(&self, now: Time, group: &Group) -> Result<Time, NotServing> {
        match group.phase {
            GroupPhase::Active => {}
            GroupPhase::Draining => return Err(NotServing::Draining),
            GroupPhase::Swapping => return Err(NotServing::Swapping),
        }
        let mut until = now + self.lifetime;
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
        let no_report = || NotServing::NoFreshReport(member.vm.clone());
        let report = self.reports.get(&member.vm).ok_or_else(no_report)?;
        let until = report.sent + self.lifetime;
        if until <= now {
            return Err(no_report());
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

/// Returns whether a report confirms its VM as a ready member of the group.
fn confirms(status: &VmStatus, group: &Group) -> bool {
    status.group == Some(group.number)
        && status.composition == group.composition
        && status.phase == VmPhase::Ready
}
