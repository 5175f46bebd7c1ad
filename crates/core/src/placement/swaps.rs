//! Swapping members for their loaded replacements.

use super::Planner;
use super::input::PlanInput;
use crate::allocation::{Allocation, GroupPhase, Replacement};

impl Planner {
    /// Puts loaded replacements into the places they were loaded for.
    pub(super) fn commit_swaps(&mut self, situation: &PlanInput<'_>, next: &mut Allocation) {
        for at in 0..next.groups.len() {
            let group = next.groups[at].clone();
            // Asked in each pass, since the wait for the entries counts from
            // the first one that finds the group swapping.
            let idle = group.phase == GroupPhase::Swapping && self.is_idle(situation, &group);
            if group.phase == GroupPhase::Draining || group.replacements.is_empty() {
                continue;
            }
            self.drop_needless(situation, next, at);
            let group = &next.groups[at];
            let loaded = |r: &&Replacement| situation.is_loaded(&r.member.vm, group);
            let lost = |r: &Replacement| {
                group
                    .members
                    .get(r.rank as usize)
                    .is_some_and(|m| self.is_dead(situation.now, &m.vm))
            };
            let any_lost = group.replacements.iter().filter(loaded).any(lost);
            let all_loaded = group.replacements.iter().filter(loaded).count()
                == group.replacements.len()
                && !group.replacements.is_empty();
            if any_lost || (all_loaded && idle) {
                self.commit_loaded(situation, next, at);
            } else if all_loaded && group.phase == GroupPhase::Active {
                next.groups[at].phase = GroupPhase::Swapping;
            }
        }
    }

    /// Takes groups with leaving members out of use at once, not only when
    /// the replacements have loaded, and back into use if the members stay.
    pub(super) fn stop_leaving(&mut self, next: &mut Allocation) {
        for group in &mut next.groups {
            let leaving = group.members.iter().any(|m| self.leaving.contains(&m.vm));
            match group.phase {
                GroupPhase::Active if leaving => group.phase = GroupPhase::Swapping,
                GroupPhase::Swapping if !leaving && group.replacements.is_empty() => {
                    group.phase = GroupPhase::Active;
                    self.quiet.remove(&(group.number, group.composition));
                }
                GroupPhase::Active | GroupPhase::Swapping | GroupPhase::Draining => {}
            }
        }
    }

    /// Gives up replacements that died, or whose member works again.
    fn drop_needless(&mut self, situation: &PlanInput<'_>, next: &mut Allocation, at: usize) {
        let group = &mut next.groups[at];
        let replacements = std::mem::take(&mut group.replacements);
        let (kept, dropped): (Vec<_>, Vec<_>) = replacements.into_iter().partition(|r| {
            let member = group.members.get(r.rank as usize);
            let works = member.is_some_and(|m| {
                situation.is_loaded(&m.vm, group) && !self.leaving.contains(&m.vm)
            });
            !works && !self.is_dead(situation.now, &r.member.vm)
        });
        group.replacements = kept.into();
        for replacement in dropped {
            self.settle(situation.now, next, &replacement.member.vm);
        }
    }

    fn commit_loaded(&mut self, situation: &PlanInput<'_>, next: &mut Allocation, at: usize) {
        let composition = next.next_fencing_token();
        let group = &mut next.groups[at];
        let replacements = std::mem::take(&mut group.replacements);
        let (loaded, waiting): (Vec<_>, Vec<_>) = replacements
            .into_iter()
            .partition(|r| situation.is_loaded(&r.member.vm, group));
        group.replacements = waiting.into();
        group.composition = composition;
        group.phase = GroupPhase::Active;
        for Replacement { rank, member } in loaded {
            let place = &mut next.groups[at].members[rank as usize];
            let outgoing = std::mem::replace(place, member);
            self.settle(situation.now, next, &outgoing.vm);
        }
    }
}
