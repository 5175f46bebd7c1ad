//! The oracle of the world of groups.

use std::collections::HashMap;

use bulrushhoist_core::{Group, VmName, VmPhase};

use super::{EVIDENCE, GroupWorld, Power, RECOVERY, REPLICAS, Vm};

impl GroupWorld {
    /// Compares what is served with the ledger of what the VMs did.
    pub(super) fn check(&self) -> Result<(), String> {
        if let Some(vm) = self.allocation.duplicate_vm() {
            return Err(format!("{vm} is held twice"));
        }
        let by_name: HashMap<&VmName, &Vm> = self.vms.iter().map(|v| (&v.record.vm, v)).collect();
        for group in &self.allocation.groups {
            let second = self
                .second
                .serving_until_shared(self.now, &self.key(group), group);
            if self.entry.serving_until(self.now, group).is_err() && second.is_err() {
                continue;
            }
            for (rank, member) in (0u32..).zip(&group.members) {
                let vm = by_name[&member.vm];
                if self.now.since(vm.last_up) >= EVIDENCE {
                    return Err(format!(
                        "{} serves while {} is gone",
                        group.number, member.vm
                    ));
                }
                let agreed = vm.history.iter().rev().any(|(at, status)| {
                    self.now.since(*at) < EVIDENCE
                        && status.group == Some(group.number)
                        && status.composition == group.composition
                        && status.rank == rank
                        && status.phase == VmPhase::Ready
                });
                if !agreed {
                    return Err(format!(
                        "{} serves without word of {}",
                        group.number, member.vm
                    ));
                }
            }
        }
        Ok(())
    }

    /// Ends every fault and runs one controller regularly; an error says what
    /// has not recovered in time.
    pub fn recover(&mut self) -> Result<(), String> {
        self.up = true;
        self.late_writes.clear();
        for vm in &mut self.vms {
            vm.power = Power::Up;
            vm.last_up = self.now;
            vm.record.leaving = false;
        }
        for controller in &mut self.controllers {
            controller.partitioned = false;
        }
        let until = self.now + RECOVERY;
        while self.now < until {
            self.round();
            self.check()?;
        }
        let serving = self.serving();
        if serving == REPLICAS {
            Ok(())
        } else {
            Err(format!("{serving} of {REPLICAS} serve"))
        }
    }

    /// Returns how often a group got another composition.
    #[must_use]
    pub fn swaps(&self) -> usize {
        self.swaps
    }

    /// Returns the groups that both entries may send to.
    #[must_use]
    pub fn serving(&self) -> usize {
        let groups = self.allocation.groups.iter();
        let both = |g: &&Group| {
            self.entry.serving_until(self.now, g).is_ok()
                && self
                    .second
                    .serving_until_shared(self.now, &self.key(g), g)
                    .is_ok()
        };
        groups.filter(both).count()
    }
}
