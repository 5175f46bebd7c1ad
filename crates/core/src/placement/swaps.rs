//! Swapping of members for their loaded replacements.

use super::Planner;
use super::input::PlanInput;
use crate::allocation::{Allocation, GroupPhase, Replacement};

impl Planner {
    /// Swaps members for replacements that have loaded their weights.
    ///
    /// A group with a lost member swaps at once. Any other group first stops
    /// taking requests and finishes those that are running.
    pub(super) fn commit_swaps(&mut self, input: &PlanInput<'_>, next: &mut Allocation) {
        for index in 0..next.groups.len() {
            let group = next.groups[index].clone();
            // Called in each pass, even if the result is not needed, because
            // the quiet period starts with the first call.
            let idle = group.phase == GroupPhase::Swapping && self.is_idle(input, &group);
            if group.phase == GroupPhase::Draining || group.replacements.is_empty() {
                continue;
            }
            self.drop_unneeded(input, next, index);
            let group = &next.groups[index];
            let loaded = |r: &&Replacement| input.is_loaded(&r.member.vm, group);
            let lost = |r: &Replacement| {
                group
                    .members
                    .get(r.rank as usize)
                    .is_some_and(|m| self.is_dead(input.now, &m.vm))
            };
            let any_lost = group.replacements.iter().filter(loaded).any(lost);
            let all_loaded = group.replacements.iter().filter(loaded).count()
                == group.replacements.len()
                && !group.replacements.is_empty();
            if any_lost || (all_loaded && idle) {
                self.commit_loaded(input, next, index);
            } else if all_loaded && group.phase == GroupPhase::Active {
                next.groups[index].phase = GroupPhase::Swapping;
            }
        }
    }

    /// Stops groups with leaving members from taking requests, and resumes
    /// them if the members stay after all.
    ///
    /// The groups stop at once and not only when the replacements have loaded.
    pub(super) fn pause_leaving(&mut self, next: &mut Allocation) {
        for group in &mut next.groups {
            let leaving = group.members.iter().any(|m| self.leaving.contains(&m.vm));
            match group.phase {
                GroupPhase::Active if leaving => group.phase = GroupPhase::Swapping,
                GroupPhase::Swapping if !leaving && group.replacements.is_empty() => {
                    group.phase = GroupPhase::Active;
                    self.quiet_since.remove(&(group.number, group.composition));
                }
                GroupPhase::Active | GroupPhase::Swapping | GroupPhase::Draining => {}
            }
        }
    }

    /// Drops replacements that died or whose member works again.
    fn drop_unneeded(&mut self, input: &PlanInput<'_>, next: &mut Allocation, index: usize) {
        let group = &mut next.groups[index];
        let replacements = std::mem::take(&mut group.replacements);
        let (kept, dropped): (Vec<_>, Vec<_>) = replacements.into_iter().partition(|r| {
            let member = group.members.get(r.rank as usize);
            let works = member
                .is_some_and(|m| input.is_loaded(&m.vm, group) && !self.leaving.contains(&m.vm));
            !works && !self.is_dead(input.now, &r.member.vm)
        });
        group.replacements = kept.into();
        for replacement in dropped {
            self.settle(input.now, next, &replacement.member.vm);
        }
    }

    /// Makes the loaded replacements members, under a new composition.
    fn commit_loaded(&mut self, input: &PlanInput<'_>, next: &mut Allocation, index: usize) {
        let composition = next.next_fencing_token();
        let group = &mut next.groups[index];
        let replacements = std::mem::take(&mut group.replacements);
        let (loaded, waiting): (Vec<_>, Vec<_>) = replacements
            .into_iter()
            .partition(|r| input.is_loaded(&r.member.vm, group));
        group.replacements = waiting.into();
        group.composition = composition;
        group.phase = GroupPhase::Active;
        for Replacement { rank, member } in loaded {
            let current = &mut next.groups[index].members[rank as usize];
            let outgoing = std::mem::replace(current, member);
            self.settle(input.now, next, &outgoing.vm);
        }
    }
}
