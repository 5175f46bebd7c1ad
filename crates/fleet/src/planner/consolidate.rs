//! Groups over several domains are put together anew, each in one domain.
//!
//! Answers a day of single losses: each takes a spare of some other domain once those
//! of its own are used up, until most groups are slow, although their members together
//! fill several domains.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::formation::{free, member};
use super::{VmView, Vms};
use crate::catalog::{Engine, Model};
use crate::endpoint::Membership;
use crate::plan::{GroupPlan, MemberPlan, Plan};

/// Groups that are put together at once at most.
const MOST_AT_ONCE: usize = 3;
/// Groups over several domains that one search looks at.
const MOST_SEARCHED: usize = 12;
/// Part of a model's groups that may be closed at a time for this.
const CLOSED_PART: f64 = 0.25;

/// What came of a search for better groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Gathered {
    /// No group spans domains, or none of those that do can be put together.
    Nothing,
    /// There are better groups, now or as soon as enough others serve.
    Found,
}

/// Puts groups together anew where that leaves fewer of them over several domains.
pub(super) fn gather(engine: &Engine, service: &str, vms: &Vms<'_>, plan: &mut Plan) -> Gathered {
    let mut found = Gathered::Nothing;
    for model in &engine.models {
        let of_model =
            |g: &GroupPlan| !g.standby && g.service == service && *g.model == *model.name;
        let groups: Vec<&GroupPlan> = plan.groups.iter().filter(|g| of_model(g)).collect();
        let closed = groups.iter().filter(|g| !is_open(vms, g)).count();
        let most = (groups.len() as f64 * CLOSED_PART).ceil() as usize;
        let Some(better) = search(model, vms, plan, &groups) else {
            continue;
        };
        found = Gathered::Found;
        if closed + better.len() > most.max(better.len()) {
            continue;
        }
        for (name, members) in better {
            let epoch = plan.next_epoch();
            plan.remove_standby(&members);
            let old = plan.groups.iter_mut().find(|g| g.name == name);
            let old = old.expect("the search looks at planned groups");
            old.epoch = epoch;
            old.members = members;
        }
    }
    found
}

fn is_open(vms: &Vms<'_>, group: &GroupPlan) -> bool {
    let head = vms.get(group.members[0].id.as_str());
    head.is_some_and(|v| v.is_in(group) && v.membership().is_some_and(Membership::is_serving))
}

/// Returns how many domains the members of a group are in, if all can be used.
fn span(vms: &Vms<'_>, group: &GroupPlan) -> Option<usize> {
    let mut domains: SmallVec<[&str; 8]> = SmallVec::new();
    for member in &group.members {
        let vm = vms.get(member.id.as_str())?;
        if !vm.is_usable() || vm.endpoint.born != member.born {
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

/// Returns the cheapest change that leaves fewer groups over several domains: of the
/// fewest groups.
fn search(model: &Model, vms: &Vms<'_>, plan: &Plan, groups: &[&GroupPlan]) -> Option<Changes> {
    let scattered = groups
        .iter()
        .filter(|g| span(vms, g).is_some_and(|s| s > 1));
    let scattered: Vec<&GroupPlan> = scattered.copied().take(MOST_SEARCHED).collect();
    let mut spares: Vec<&VmView<'_>> = free(vms, plan);
    spares.retain(|v| v.distance_to(&model.name) == 0 && !v.is_loading() && !v.is_slow());
    for count in 1..=MOST_AT_ONCE.min(scattered.len()) {
        let choices = Choices::new(scattered.len(), count);
        let changes = choices.filter_map(|chosen| {
            let chosen: SmallVec<[&GroupPlan; 4]> = chosen.iter().map(|i| scattered[*i]).collect();
            rebuild(model, vms, &chosen, &spares)
        });
        let best = changes.min_by_key(|(far, _)| *far);
        if let Some((_, changes)) = best {
            return Some(changes);
        }
    }
    None
}

/// Returns the groups that change if these are built anew out of their members and
/// the spares, and how many still span domains; `None` if that is no gain.
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
        // A domain without members of these groups offers nothing that spares of the
        // others wouldn't.
        if let Some(members) = pool.get_mut(&*spare.endpoint.domain) {
            members.push(member(spare));
        }
    }
    let mut built: Vec<Vec<MemberPlan>> = Vec::new();
    while built.len() < chosen.len() {
        let fullest = pool.values_mut().max_by_key(|members| members.len())?;
        if fullest.len() < model.group_size {
            break;
        }
        built.push(fullest.drain(..model.group_size).collect());
    }
    let far = chosen.len() - built.len();
    if built.is_empty() {
        return None;
    }
    while built.len() < chosen.len() {
        let mut members = Vec::with_capacity(model.group_size);
        while members.len() < model.group_size {
            let fullest = pool.values_mut().max_by_key(|members| members.len())?;
            if fullest.is_empty() {
                return None;
            }
            let taken = fullest.len().min(model.group_size - members.len());
            members.extend(fullest.drain(..taken));
        }
        built.push(members);
    }
    Some((far, assign(chosen, built)))
}

/// Gives each member list to the group that it shares most members with, so that a
/// head stays one where it can.
fn assign(chosen: &[&GroupPlan], mut built: Vec<Vec<MemberPlan>>) -> Changes {
    let mut changes = Changes::new();
    for group in chosen {
        let shared =
            |members: &&Vec<MemberPlan>| members.iter().filter(|m| group.has_member(&m.id)).count();
        let best = (0..built.len()).max_by_key(|i| shared(&&built[*i]));
        let mut members = built.swap_remove(best.expect("there is one list a group"));
        let head = members.iter().position(|m| m.id == group.members[0].id);
        members.swap(0, head.unwrap_or(0));
        if members != group.members {
            changes.push((group.name.clone(), members));
        }
    }
    changes
}

/// Every choice of some indices out of the first few, in order.
struct Choices {
    of: usize,
    next: Option<SmallVec<[usize; 4]>>,
}

impl Choices {
    fn new(of: usize, count: usize) -> Self {
        let next = (count <= of).then(|| (0..count).collect());
        Self { of, next }
    }
}

impl Iterator for Choices {
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
