//! The oracle of [`GroupSimulation`].

use std::collections::HashMap;

use bulrushhoist_core::{Group, VmName, VmPhase};

use super::{EVIDENCE_WINDOW, GroupSimulation, PowerState, RECOVERY_TIMEOUT, REPLICAS, Vm};

impl GroupSimulation {
    /// Checks that no VM is in two groups and that every group that an entry may
    /// use is backed by fresh reports.
    ///
    /// Within the evidence window, each member must have been up and have reported
    /// that it is ready with this group, composition and rank.
    pub(super) fn check(&self) -> Result<(), String> {
        if let Some(vm) = self.allocation.duplicate_vm() {
            return Err(format!("VM {vm} is allocated to two groups"));
        }
        let by_name: HashMap<&VmName, &Vm> = self.vms.iter().map(|v| (&v.record.vm, v)).collect();
        for group in &self.allocation.groups {
            let second = self.second_entry.serving_until_with_relayed(
                self.now,
                &self.replica_key(group),
                group,
            );
            if self.first_entry.serving_until(self.now, group).is_err() && second.is_err() {
                continue;
            }
            for (rank, member) in (0u32..).zip(&group.members) {
                let vm = by_name[&member.vm];
                if self.now.since(vm.last_up) >= EVIDENCE_WINDOW {
                    return Err(format!(
                        "group {} serves though its member {} is down",
                        group.number, member.vm
                    ));
                }
                let reported = vm.history.iter().rev().any(|(reported_at, status)| {
                    self.now.since(*reported_at) < EVIDENCE_WINDOW
                        && status.group == Some(group.number)
                        && status.composition == group.composition
                        && status.rank == rank
                        && status.phase == VmPhase::Ready
                });
                if !reported {
                    return Err(format!(
                        "group {} serves without a fresh report of {}",
                        group.number, member.vm
                    ));
                }
            }
        }
        Ok(())
    }

    /// Ends every fault and runs the periodic work for [`RECOVERY_TIMEOUT`].
    ///
    /// An error says how many replicas serve if that is not all of them.
    pub fn recover(&mut self) -> Result<(), String> {
        self.platform_up = true;
        self.delayed_writes.clear();
        for vm in &mut self.vms {
            vm.power = PowerState::Up;
            vm.last_up = self.now;
            vm.record.leaving = false;
        }
        for controller in &mut self.controllers {
            controller.partitioned = false;
        }
        let deadline = self.now + RECOVERY_TIMEOUT;
        while self.now < deadline {
            self.run_round();
            self.check()?;
        }
        let serving = self.serving_groups();
        if serving == REPLICAS {
            Ok(())
        } else {
            Err(format!(
                "{serving} of {REPLICAS} replicas serve after {RECOVERY_TIMEOUT:?}"
            ))
        }
    }

    /// Returns how often the composition of a stored group changed.
    #[must_use]
    pub fn composition_changes(&self) -> usize {
        self.composition_changes
    }

    /// Returns the number of groups that both entries may use.
    #[must_use]
    pub fn serving_groups(&self) -> usize {
        let groups = self.allocation.groups.iter();
        let usable = |g: &&Group| {
            self.first_entry.serving_until(self.now, g).is_ok()
                && self
                    .second_entry
                    .serving_until_with_relayed(self.now, &self.replica_key(g), g)
                    .is_ok()
        };
        groups.filter(usable).count()
    }
}
