//! Exchanges members between groups that span several fabric domains, so that more of
//! them are in a single domain.
//!
//! Each lost member is replaced by a spare of another domain once the spares of its own
//! domain are used up. After many single losses most groups would be slow, although their
//! members together are enough for groups in single domains.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::free::{FreeVms, member};
use super::{VmView, Vms};
use crate::catalog::{Engine, Model};
use crate::endpoint::GroupMembership;
use crate::plan::{GroupPlan, MemberPlan, Plan};

/// Maximum number of groups that exchange members in one change.
const MAX_REBUILT: usize = 3;
/// Maximum number of cross-domain groups that one search considers.
const MAX_SEARCHED: usize = 12;
/// Maximum fraction of a model's groups that may be closed during a change. A change of more
/// groups is made only while all groups of the model are open.
const MAX_CLOSED_FRACTION: f64 = 0.25;

/// Result of the search for groups that can be consolidated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Consolidation {
    /// No group spans domains, or none of those that do can be consolidated.
    Nothing,
    /// Groups are consolidated, or will be as soon as enough others serve.
    Possible,
}

/// Changes the members of groups where that leaves fewer groups that span domains.
pub(super) fn consolidate(
    engine: &Engine,
    service: &str,
    vms: &Vms<'_>,
    plan: &mut Plan,
) -> Consolidation {
    let mut outcome = Consolidation::Nothing;
    for model in &engine.models {
        let of_model =
            |g: &GroupPlan| g.is_wanted() && g.service == service && *g.model == *model.name;
        let groups: Vec<&GroupPlan> = plan.groups.iter().filter(|g| of_model(g)).collect();
        let closed = groups.iter().filter(|g| !is_open(vms, g)).count();
        let max_closed = (groups.len() as f64 * MAX_CLOSED_FRACTION).ceil() as usize;
        let Some(changes) = search(model, vms, plan, &groups) else {
            continue;
        };
        outcome = Consolidation::Possible;
        if closed + changes.len() > max_closed.max(changes.len()) {
            continue;
        }
        for (name, members) in changes {
            let epoch = plan.next_epoch();
            plan.remove_standby(&members);
            let planned = plan.groups.iter_mut().find(|g| g.name == name);
            let planned = planned.expect("the search considers planned groups only");
            planned.epoch = epoch;
            planned.members = members;
        }
    }
    outcome
}

pub(super) fn is_open(vms: &Vms<'_>, group: &GroupPlan) -> bool {
    let leader = vms.get(group.members[0].id.as_str());
    leader
        .is_some_and(|v| v.is_in(group) && v.membership().is_some_and(GroupMembership::is_serving))
}

/// Returns the number of domains that a group spans, or `None` if not all of its members
/// can be used.
fn domain_count(vms: &Vms<'_>, group: &GroupPlan) -> Option<usize> {
    let mut domains: SmallVec<[&str; 8]> = SmallVec::new();
    for member in &group.members {
        let vm = vms.get(member.id.as_str())?;
        if !vm.is_usable() || vm.endpoint.incarnation != member.incarnation {
            return None;
        }
        domains.push(&vm.endpoint.domain);
    }
    domains.sort_unstable();
    domains.dedup();
    Some(domains.len())
}

/// The changed groups by name, with their new members.
type Changes = Vec<(String, Vec<MemberPlan>)>;

/// Returns a change that leaves fewer groups that span domains. Of the possible ones it
/// is one that rebuilds the fewest groups, because these are closed meanwhile.
fn search(model: &Model, vms: &Vms<'_>, plan: &Plan, groups: &[&GroupPlan]) -> Option<Changes> {
    let spanning = groups
        .iter()
        .filter(|g| domain_count(vms, g).is_some_and(|s| s > 1));
    let spanning: Vec<&GroupPlan> = spanning.copied().take(MAX_SEARCHED).collect();
    if spanning.is_empty() {
        return None;
    }
    let mut spares: Vec<&VmView<'_>> = FreeVms::find(vms, plan).iter().collect();
    spares.retain(|v| v.load_rank(&model.name) == 0 && !v.is_loading() && !v.is_slow());
    for count in 1..=MAX_REBUILT.min(spanning.len()) {
        let combinations = Combinations::new(spanning.len(), count);
        let changes = combinations.filter_map(|chosen| {
            let chosen: SmallVec<[&GroupPlan; 4]> = chosen.iter().map(|i| spanning[*i]).collect();
            rebuild(model, vms, &chosen, &spares)
        });
        let best = changes.min_by_key(|(still_spanning, _)| *still_spanning);
        if let Some((_, changes)) = best {
            return Some(changes);
        }
    }
    None
}

/// Rebuilds the chosen groups out of their members and the spares. Returns how many of
/// them still span domains, and those that change; `None` if that is no gain.
fn rebuild(
    model: &Model,
    vms: &Vms<'_>,
    chosen: &[&GroupPlan],
    spares: &[&VmView<'_>],
) -> Option<(usize, Changes)> {
    let mut pool: BTreeMap<&str, Vec<MemberPlan>> = BTreeMap::new();
    for member in chosen.iter().flat_map(|g| &g.members) {
        let domain = &*vms[member.id.as_str()].endpoint.domain;
        pool.entry(domain).or_default().push(member.clone());
    }
    for spare in spares {
        // Spares of a domain without members of these groups are no better than those of
        // the other domains.
        if let Some(members) = pool.get_mut(&*spare.endpoint.domain) {
            members.push(member(spare));
        }
    }
    let mut rebuilt: Vec<Vec<MemberPlan>> = Vec::new();
    while rebuilt.len() < chosen.len() {
        let fullest = pool.values_mut().max_by_key(|members| members.len())?;
        if fullest.len() < model.group_size {
            break;
        }
        rebuilt.push(fullest.drain(..model.group_size).collect());
    }
    let still_spanning = chosen.len() - rebuilt.len();
    if rebuilt.is_empty() {
        return None;
    }
    while rebuilt.len() < chosen.len() {
        let mut members = Vec::with_capacity(model.group_size);
        while members.len() < model.group_size {
            let fullest = pool.values_mut().max_by_key(|members| members.len())?;
            if fullest.is_empty() {
                return None;
            }
            let taken = fullest.len().min(model.group_size - members.len());
            members.extend(fullest.drain(..taken));
        }
        rebuilt.push(members);
    }
    Some((still_spanning, assign(chosen, rebuilt)))
}

/// Assigns each list of members to the group with which it shares the most, so that
/// leaders keep their role where they can.
fn assign(chosen: &[&GroupPlan], mut rebuilt: Vec<Vec<MemberPlan>>) -> Changes {
    let mut changes = Changes::new();
    for group in chosen {
        let shared =
            |members: &&Vec<MemberPlan>| members.iter().filter(|m| group.has_member(&m.id)).count();
        let best = (0..rebuilt.len()).max_by_key(|i| shared(&&rebuilt[*i]));
        let mut members =
            rebuilt.swap_remove(best.expect("there is one list of members per group"));
        let leader = members.iter().position(|m| m.id == group.members[0].id);
        members.swap(0, leader.unwrap_or(0));
        if members != group.members {
            changes.push((group.name.clone(), members));
        }
    }
    changes
}

/// Iterates over the combinations of `count` indices out of `0..of`, in order.
struct Combinations {
    of: usize,
    next: Option<SmallVec<[usize; 4]>>,
}

impl Combinations {
    fn new(of: usize, count: usize) -> Self {
        let next = (count <= of).then(|| (0..count).collect());
        Self { of, next }
    }
}

impl Iterator for Combinations {
    type Item = SmallVec<[usize; 4]>;

    fn next(&mut self) -> Option<Self::Item> {
        let current = self.next.take()?;
        let count = current.len();
        let mut following = current.clone();
        let movable = (0..count)
            .rev()
            .find(|i| following[*i] < self.of - count + i);
        if let Some(i) = movable {
            following[i] += 1;
            for j in i + 1..count {
                following[j] = following[j - 1] + 1;
            }
            self.next = Some(following);
        }
        Some(current)
    }
}
