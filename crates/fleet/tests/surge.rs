//! Tests of surge groups: spares that serve a model while demand for it is high.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use bulrushhoist_fleet::{
    Demand, Endpoint, GroupPlan, GroupState, HealthMonitor, HealthSettings, LoadLimits, Plan,
    Planner, PlannerAction, PlannerSettings, Roster, Service, VmView, vm_views,
};
use support::{endpoint, member, model, ms, service};

/// Time by which the number of VMs has settled.
const START_MS: u64 = 10_000;
/// VMs of one fabric domain: one more than in the deployments of the work page, so that a
/// surge group fits beside the spares that stay with the other model.
const DOMAIN_SIZE: usize = 38;
/// Slots of one group.
const SLOTS: f64 = 30.0;

/// A service with the models and sizes of the work page.
fn hard_service() -> Service {
    let mut service = service();
    let engine = service.engine.as_mut().unwrap();
    engine.slots = SLOTS as u32;
    engine.models = vec![model("large", 16, 0.5), model("small", 4, 0.5)];
    service
}

/// Settings that leave a domain six spares: by default there are at most five beside groups
/// of these sizes, since another small group is wanted where four more VMs are free.
fn planner_settings() -> PlannerSettings {
    PlannerSettings {
        spares: 2,
        ..PlannerSettings::default()
    }
}

/// A fleet whose VMs execute every plan at once.
struct Fleet {
    roster: Roster,
    monitor: HealthMonitor,
    planner: Planner,
    plan: Plan,
    demand: Option<Demand>,
    traffic_seen: bool,
    now: u64,
}

impl Fleet {
    /// Creates a fleet of two domains, each in a data centre of its own, and plans its first
    /// groups.
    fn new(demand: Option<Demand>) -> Self {
        Self::with_size(DOMAIN_SIZE, demand)
    }

    /// Creates such a fleet with domains of this many VMs.
    fn with_size(size: usize, demand: Option<Demand>) -> Self {
        let mut roster = Roster::default();
        roster.on_store_back(ms(0));
        for i in 0..size * 2 {
            let domain = ["a", "b"][i / size];
            let mut vm = endpoint(&format!("{domain}{i:02}"), domain);
            vm.data_centre = format!("dc-{domain}").as_str().into();
            roster.put(vm);
        }
        let mut fleet = Self {
            roster,
            monitor: HealthMonitor::new(HealthSettings::default()),
            planner: Planner::new(planner_settings()),
            plan: Plan::default(),
            demand,
            traffic_seen: false,
            now: START_MS,
        };
        fleet.settle();
        fleet.now += 1_000;
        fleet.settle();
        fleet.traffic_seen = true;
        fleet
    }

    /// Plans until nothing changes, checking each plan. Returns the number of changes.
    fn settle(&mut self) -> usize {
        for changes in 0..20 {
            let views = vm_views(ms(self.now), "engines", &self.roster, &self.monitor);
            let limits = LoadLimits {
                traffic_seen: self.traffic_seen,
                rate_fraction: 0.9,
            };
            let (now, demand) = (ms(self.now), self.demand.as_ref());
            let action =
                self.planner
                    .step(now, &hard_service(), &self.plan, &views, limits, demand);
            let PlannerAction::Store(plan) = action else {
                return changes;
            };
            self.check(&plan, &views);
            self.plan = plan;
            self.execute();
        }
        panic!("the plan changes for ever: {:#?}", self.plan);
    }

    /// Checks that no VM is in two groups, and that a new surge group is made of spares that
    /// have its model loaded.
    fn check(&self, plan: &Plan, views: &[VmView<'_>]) {
        let mut seen = BTreeSet::new();
        for id in plan.groups.iter().flat_map(|g| &g.members).map(|m| &m.id) {
            assert!(seen.insert(id), "{id} is in two groups");
        }
        let old = |g: &GroupPlan| self.plan.groups.iter().any(|o| o.name == g.name);
        for group in plan.groups.iter().filter(|g| g.surge && !old(g)) {
            for vm in &group.members {
                let view = views.iter().find(|v| *v.endpoint.id == *vm.id).unwrap();
                assert_eq!(view.endpoint.model.as_deref(), Some(&*group.model));
                assert_eq!(vm.id[..1], group.members[0].id[..1], "one domain");
            }
        }
    }

    /// Makes the VMs' records show the plan.
    fn execute(&mut self) {
        for group in &self.plan.groups {
            for (rank, planned) in group.members.iter().enumerate() {
                let mut vm: Endpoint = self.roster.get(&planned.id).unwrap().clone();
                let state = match rank {
                    0 if !group.standby => GroupState::Open,
                    _ => GroupState::Ready,
                };
                if vm
                    .membership
                    .as_ref()
                    .is_some_and(|m| m.epoch == group.epoch)
                {
                    continue;
                }
                let rank = u32::try_from(rank).unwrap();
                vm.membership = member(&group.name, group.epoch, rank, state);
                vm.model = Some(group.model.as_str().into());
                vm.staged = [group.model.as_str().into()].into_iter().collect();
                self.roster.put(vm);
            }
        }
    }

    /// Lets time pass at a demand for the small model, in requests in flight.
    fn demand(&mut self, millis: u64, in_flight: impl Fn(u64) -> f64) -> usize {
        let mut changes = 0;
        for _ in (0..millis).step_by(200) {
            self.now += 200;
            let load = ("small".into(), in_flight(self.now));
            self.demand.as_mut().unwrap().observe(ms(self.now), [load]);
            changes += self.settle();
        }
        changes
    }

    fn groups(&self, matches: impl Fn(&GroupPlan) -> bool) -> Vec<&GroupPlan> {
        self.plan.groups.iter().filter(|g| matches(g)).collect()
    }

    fn surge(&self) -> Vec<&GroupPlan> {
        self.groups(|g| g.surge)
    }

    fn wanted_small(&self) -> Vec<&GroupPlan> {
        self.groups(|g| g.is_wanted() && g.model == "small")
    }

    /// Returns the numbers of spares of each model in a domain.
    fn spares(&self, domain: &str) -> BTreeMap<&str, usize> {
        let mut counts = BTreeMap::new();
        for group in self.groups(|g| g.standby && g.members[0].id.starts_with(domain)) {
            *counts.entry(group.model.as_str()).or_default() += 1;
        }
        counts
    }

    fn lose(&mut self, id: &str) {
        for _ in 0..2 {
            let id = id.into();
            self.monitor.on_probe_timeout(ms(self.now), &id, 1);
        }
    }
}

fn critical_fleet() -> Fleet {
    Fleet::new(Some(Demand::default()))
}

/// Returns a demand for the small model of this fraction of the slots of its wanted groups.
fn fraction(fleet: &Fleet, fraction: f64) -> f64 {
    fleet.wanted_small().len() as f64 * SLOTS * fraction
}

#[test]
fn spares_are_preloaded_for_a_surge_group() {
    // With the spares divided by members, no domain has enough of one model for a group.
    let fleet = critical_fleet();
    for domain in ["a", "b"] {
        let spares = fleet.spares(domain);
        assert_eq!((spares["large"], spares["small"]), (2, 4), "{domain}");
    }
}

#[test]
fn small_domains_keep_two_spares_of_the_large_model() {
    // With one spare, a large group that lost a second member was closed for a load.
    let fleet = Fleet::with_size(37, Some(Demand::default()));
    for domain in ["a", "b"] {
        assert!(fleet.spares(domain)["large"] >= 2, "{domain}");
    }
}

#[test]
fn a_surge_group_leaves_two_spares_of_another_model() {
    // One that takes all but one leaves none for the second loss within the time of a load.
    let mut fleet = critical_fleet();
    for group in fleet.plan.groups.clone() {
        let id = &group.members[0].id;
        let mut vm = fleet.roster.get(id).unwrap().clone();
        if group.standby && id.starts_with('a') && group.model == "small" {
            vm.staged.push("large".into());
            fleet.roster.put(vm);
        }
    }
    let spares = fleet.groups(|g| g.standby && g.model == "large");
    let spare = spares
        .into_iter()
        .find(|g| g.members[0].id.starts_with('a'));
    fleet.lose(&spare.unwrap().members[0].id.clone());
    let high = fraction(&fleet, 1.0);
    fleet.demand(2_000, |_| high);
    let surge = fleet.surge();
    assert_eq!(surge.len(), 1);
    assert!(surge[0].members[0].id.starts_with('b'), "{surge:?}");
}

#[test]
fn high_demand_forms_surge_groups_of_spares_at_once() {
    // Spares idled while leaders rejected requests. They serve as soon as demand is above
    // half of the slots, and no more of them than it calls for.
    let mut fleet = critical_fleet();
    let calm = fraction(&fleet, 0.5);
    assert_eq!(fleet.demand(4_000, |_| calm), 0);
    let before = fleet.plan.clone();
    assert_eq!(fleet.demand(200, |_| calm * 2.0), 1);
    assert_eq!(fleet.surge().len(), 1);
    fleet.demand(2_000, |_| calm * 2.0);
    assert_eq!(fleet.surge().len(), 2);
    for group in before.groups.iter().filter(|g| !g.standby) {
        assert!(fleet.plan.groups.contains(group), "{group:?}");
    }
    assert_eq!(before.wanted, fleet.plan.wanted);
    // Each domain keeps its spares of the other model.
    for domain in ["a", "b"] {
        assert_eq!(fleet.spares(domain), BTreeMap::from([("large", 2)]));
    }
}

#[test]
fn a_single_odd_report_forms_no_surge_group() {
    // Reports are old and differ. A group that one of them forms takes spares for nothing.
    let mut fleet = critical_fleet();
    let (calm, odd) = (fraction(&fleet, 0.4), fraction(&fleet, 0.9));
    fleet.demand(4_000, |_| calm);
    assert_eq!(fleet.demand(200, |_| odd), 0);
    assert_eq!(fleet.demand(4_000, |_| calm), 0);
}

#[test]
fn the_last_spare_of_another_model_joins_no_surge_group() {
    // Hosts may have the weights of several models. Without a spare, a group of the other
    // model that loses a member is closed for a load.
    let mut fleet = critical_fleet();
    for group in fleet.plan.groups.iter().filter(|g| g.standby) {
        let mut vm = fleet.roster.get(&group.members[0].id).unwrap().clone();
        if vm.id.starts_with('a') {
            vm.staged = ["small".into()].into_iter().collect();
            if group.model == "small" {
                vm.staged.push("large".into());
            }
            fleet.roster.put(vm);
        }
    }
    let high = fraction(&fleet, 1.0);
    fleet.demand(2_000, |_| high);
    let surge = fleet.surge();
    assert_eq!(surge.len(), 1);
    assert!(surge[0].members[0].id.starts_with('b'), "{surge:?}");
}

#[test]
fn a_surge_group_takes_the_place_of_a_group_that_lost_a_member() {
    // With its spares in a surge group, a domain has none left for repairs: the group would
    // span domains, which makes it slow, or be given up.
    let mut fleet = critical_fleet();
    let wanted = fleet.wanted_small().len();
    let high = fraction(&fleet, 1.0);
    fleet.demand(2_000, |_| high);
    let broken = fleet.wanted_small()[0].clone();
    let domain = broken.members[0].id[..1].to_owned();
    let substitute = fleet.surge().into_iter();
    let mut substitute = substitute.filter(|g| g.members[0].id.starts_with(&domain));
    let substitute = substitute.next().unwrap().clone();
    fleet.lose(&broken.members[1].id);
    fleet.settle();
    assert_eq!(fleet.wanted_small().len(), wanted);
    let kept = GroupPlan {
        surge: false,
        ..substitute
    };
    assert!(fleet.plan.groups.contains(&kept), "{:#?}", fleet.plan);
    assert_eq!(fleet.spares(&domain)["small"], 3);
    // A second loss in the domain is repaired from those spares.
    let second = fleet.wanted_small().into_iter();
    let mut second = second.filter(|g| g.members[0].id.starts_with(&domain));
    let second = second.next().unwrap().clone();
    fleet.lose(&second.members[0].id);
    fleet.settle();
    let repaired = fleet.groups(|g| g.name == second.name)[0];
    let mut members = repaired.members.iter();
    assert!(members.all(|m| m.id.starts_with(&domain)), "{repaired:?}");
    assert_eq!(fleet.spares(&domain)["small"], 2);
}

#[test]
fn a_surge_group_that_loses_a_member_leaves_the_others_as_spares() {
    // It isn't wanted, so its loss must not take the spares of other domains.
    let mut fleet = critical_fleet();
    let high = fraction(&fleet, 1.0);
    fleet.demand(2_000, |_| high);
    let lost = fleet.surge()[0].members[2].id.clone();
    let others = fleet.wanted_small().len();
    fleet.lose(&lost);
    fleet.settle();
    assert_eq!(fleet.surge().len(), 1);
    assert_eq!(fleet.wanted_small().len(), others);
    assert_eq!(fleet.spares(&lost[..1])["small"], 3);
}

#[test]
fn swinging_demand_changes_no_group_twice() {
    // A group that is formed in each wave and given up after it cuts its streams every time.
    let mut fleet = critical_fleet();
    let mean = fraction(&fleet, 0.5);
    let wave = |at: u64| {
        let phase = at as f64 / 15_000.0 * std::f64::consts::TAU;
        mean * (1.0 + 0.55 * phase.sin())
    };
    fleet.demand(15_000, wave);
    let formed = fleet.plan.clone();
    assert!(!fleet.surge().is_empty());
    assert_eq!(fleet.demand(45_000, wave), 0);
    assert_eq!(formed, fleet.plan);
    assert_eq!(fleet.demand(30_000, |_| 0.0), 0);
}

#[test]
fn another_planner_goes_on_from_the_stored_plan() {
    // The plan is all that a planner leaves to the next one. Plans of older builds don't have
    // the mark, and a plan without surge groups must be the same as theirs.
    let mut fleet = critical_fleet();
    let stored = serde_json::to_string(&fleet.plan).unwrap();
    assert!(!stored.contains("surge"));
    let read: Plan = serde_json::from_str(&stored).unwrap();
    assert_eq!(read, fleet.plan);
    let high = fraction(&fleet, 1.0);
    fleet.demand(2_000, |_| high);
    assert_eq!(fleet.surge().len(), 2);
    let stored = serde_json::to_string(&fleet.plan).unwrap();
    fleet.plan = serde_json::from_str(&stored).unwrap();
    fleet.planner = Planner::new(planner_settings());
    fleet.demand = Some(Demand::default());
    assert_eq!(fleet.demand(1_000, |_| high), 0);
    assert_eq!(fleet.surge().len(), 2);
}

#[test]
fn no_surge_group_is_formed_in_a_data_centre_that_is_taken_out() {
    // Its leaders get no requests, so the group would only use up its spares.
    let mut fleet = critical_fleet();
    let before: BTreeSet<String> = fleet.plan.groups.iter().map(|g| g.name.clone()).collect();
    let high = fraction(&fleet, 1.0);
    fleet.roster.evacuate("dc-a".into(), true);
    fleet.demand(4_000, |_| high);
    let formed = fleet.groups(|g| !g.standby && !before.contains(&g.name));
    assert_eq!(formed.len(), 1);
    let mut members = formed.iter().flat_map(|g| &g.members);
    assert!(members.all(|m| m.id.starts_with('b')), "{formed:#?}");
}

#[test]
fn a_data_centre_that_is_back_leaves_no_more_groups_than_wanted() {
    // A group that took the place of one that was out of service holds the spares of its
    // domain, and as a wanted one would never give them back.
    let mut fleet = critical_fleet();
    let wanted = fleet.wanted_small().len();
    let low = fraction(&fleet, 0.2);
    fleet.roster.evacuate("dc-a".into(), true);
    fleet.demand(1_000, |_| low);
    assert_eq!(fleet.wanted_small().len(), wanted + 1);
    fleet.roster.evacuate("dc-a".into(), false);
    fleet.demand(1_000, |_| low);
    assert_eq!(fleet.wanted_small().len(), wanted);
    let surge = fleet.surge();
    assert_eq!(surge.len(), 1);
    assert!(surge[0].members[0].id.starts_with('b'), "{surge:?}");
}

#[test]
fn a_missing_group_takes_over_a_surge_group() {
    // Forming a second group beside a complete surge group would use up spares and time.
    let mut fleet = critical_fleet();
    let high = fraction(&fleet, 1.0);
    fleet.demand(2_000, |_| high);
    let adopted = fleet.surge()[0].clone();
    let lost = fleet.wanted_small()[0].clone();
    for vm in &lost.members {
        fleet.lose(&vm.id);
    }
    fleet.settle();
    let kept = GroupPlan {
        surge: false,
        ..adopted
    };
    assert!(fleet.plan.groups.contains(&kept), "{:#?}", fleet.plan);
}

#[test]
fn a_surge_group_keeps_a_missing_group_of_another_model_from_its_vms() {
    // The large group would stay lost: its domain has enough VMs only with the surge group's.
    let mut fleet = critical_fleet();
    let high = fraction(&fleet, 1.0);
    fleet.demand(2_000, |_| high);
    let large = fleet.groups(|g| g.model == "large" && !g.standby);
    let (count, lost) = (large.len(), large[0].members.clone());
    let domain = lost[0].id[..1].to_owned();
    // Four are replaced by the spares of both domains.
    for member in lost.iter().skip(1).take(5) {
        fleet.lose(&member.id);
        fleet.settle();
    }
    fleet.demand(2_000, |_| 0.0);
    let surge = fleet.surge();
    assert!(
        surge.iter().all(|g| !g.members[0].id.starts_with(&domain)),
        "{surge:?}"
    );
    let large = fleet.groups(|g| g.model == "large" && !g.standby);
    assert_eq!(large.len(), count, "{:#?}", fleet.plan);
}

#[test]
fn other_services_are_planned_as_before() {
    // Without a demand, spares are divided by members and never serve.
    let mut fleet = Fleet::with_size(37, None);
    for domain in ["a", "b"] {
        let spares = fleet.spares(domain);
        assert_eq!((spares["large"], spares["small"]), (2, 3), "{domain}");
    }
    let before = fleet.plan.clone();
    fleet.now += 5_000;
    assert_eq!(fleet.settle(), 0);
    assert_eq!(before, fleet.plan);
}
