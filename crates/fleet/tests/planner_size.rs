//! Tests of the planner with thousands of VMs.

mod support;

use std::time::{Duration, Instant};

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{
    HealthMonitor, HealthSettings, LoadLimits, Plan, Planner, PlannerAction, PlannerSettings,
    Roster, Service, vm_views,
};
use support::{endpoint, model, ms, service};

/// VMs in one fabric domain.
const DOMAIN_SIZE: usize = 37;
/// Time by which the VMs' number counts as settled.
const SETTLED: Duration = Duration::from_secs(4);

fn large_service() -> Service {
    let mut service = service();
    let engine = service.engine.as_mut().unwrap();
    engine.models = vec![model("large", 16, 0.5), model("small", 8, 0.5)];
    service
}

/// Returns a roster of this many VMs in five data centres.
fn roster(vms: usize) -> Roster {
    let mut roster = Roster::default();
    roster.on_store_back(ms(0));
    for i in 0..vms {
        let domain = i / DOMAIN_SIZE;
        let mut vm = endpoint(&format!("vm-{i:05}"), &format!("domain-{domain:03}"));
        vm.data_centre = format!("dc-{}", domain % 5).as_str().into();
        roster.put(vm);
    }
    roster
}

/// Returns the first plan for these VMs.
fn first_plan(roster: &Roster, service: &Service) -> Plan {
    let mut planner = Planner::new(PlannerSettings::default());
    let monitor = HealthMonitor::new(HealthSettings::default());
    let limits = LoadLimits {
        traffic_seen: false,
        rate_fraction: 0.9,
    };
    for now in [Time::ZERO + SETTLED, Time::ZERO + SETTLED * 2] {
        let views = vm_views(now, "engines", roster, &monitor);
        let action = planner.step(now, service, &Plan::default(), &views, limits, None);
        if let PlannerAction::Store(plan) = action {
            return plan;
        }
    }
    panic!("the planner must form groups");
}

/// Guards against a planner that is still forming the first groups when callers arrive: at
/// a start, all of them are planned in one step on half a core.
#[test]
fn the_first_groups_of_three_thousand_vms_are_planned_at_once() {
    let roster = roster(3_000);
    let service = large_service();
    let begin = Instant::now();
    let plan = first_plan(&roster, &service);
    let took = begin.elapsed();
    let groups = plan.groups.iter().filter(|g| !g.standby).count();
    assert!(groups >= 200, "{groups} groups");
    // Debug builds under load are slow; without an index this takes minutes.
    assert!(took < Duration::from_secs(10), "{took:?}");
}

/// Guards against uneven first groups: each data centre gets about the same number, so that
/// the loss of one leaves the others enough.
#[test]
fn the_first_groups_are_spread_over_the_data_centres() {
    let roster = roster(925);
    let plan = first_plan(&roster, &large_service());
    for model in ["large", "small"] {
        let mut counts = [0_usize; 5];
        for group in plan
            .groups
            .iter()
            .filter(|g| !g.standby && g.model == model)
        {
            let leader = roster.get(&group.members[0].id).unwrap();
            let centre = leader.data_centre.strip_prefix("dc-").unwrap();
            counts[centre.parse::<usize>().unwrap()] += 1;
        }
        let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
        assert!(most - least <= 2, "{model}: {counts:?}");
    }
}
