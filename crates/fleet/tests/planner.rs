//! Tests of the planner: one step each for a small fleet in two or three domains.

mod support;

use std::collections::BTreeSet;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{
    Endpoint, GroupPlan, GroupState, HealthMonitor, HealthSettings, LoadLimits, MemberPlan,
    OrderAnswer, Plan, Planner, PlannerAction, PlannerSettings, Roster, vm_views,
};
use support::{endpoint, member, ms, service};

/// Time at which the grace period after the store's return is over and callers have sent
/// requests.
const NOW_MS: u64 = 10_000;

struct Fleet {
    roster: Roster,
    monitor: HealthMonitor,
    plan: Plan,
}

impl Fleet {
    fn new() -> Self {
        let mut roster = Roster::default();
        roster.on_store_back(ms(0));
        Self {
            roster,
            monitor: HealthMonitor::new(HealthSettings::default()),
            plan: Plan::default(),
        }
    }

    /// Adds an open group of these VMs. A VM's domain is the first letter of its name.
    fn group(&mut self, model: &str, members: &[&str]) {
        let epoch = self.plan.next_epoch();
        let name = format!("engines-{epoch}");
        for (rank, id) in members.iter().enumerate() {
            let state = match rank {
                0 => GroupState::Open,
                _ => GroupState::Ready,
            };
            let rank = u32::try_from(rank).unwrap();
            let mut vm = staged(id, model);
            vm.membership = member(&name, epoch, rank, state);
            self.roster.put(vm);
        }
        let members = members.iter().map(|id| MemberPlan {
            id: (*id).to_owned(),
            incarnation: 1,
        });
        *self.plan.wanted.entry(model.to_owned()).or_default() += 1;
        self.plan.groups.push(GroupPlan {
            name,
            service: "engines".to_owned(),
            model: model.to_owned(),
            epoch,
            members: members.collect(),
            standby: false,
            surge: false,
        });
    }

    /// Adds a spare VM that has a model loaded.
    fn spare(&mut self, model: &str, id: &str) {
        let epoch = self.plan.next_epoch();
        let name = format!("engines-standby-{epoch}");
        let mut vm = staged(id, model);
        vm.membership = member(&name, epoch, 0, GroupState::Ready);
        self.roster.put(vm);
        self.plan.groups.push(GroupPlan {
            name,
            service: "engines".to_owned(),
            model: model.to_owned(),
            epoch,
            members: vec![MemberPlan {
                id: id.to_owned(),
                incarnation: 1,
            }],
            standby: true,
            surge: false,
        });
    }

    /// Returns the plan after the next step.
    fn step(&self, now: Time) -> Plan {
        let mut planner = Planner::new(PlannerSettings::default());
        let views = vm_views(now, "engines", &self.roster, &self.monitor);
        let limits = LoadLimits {
            traffic_seen: true,
            rate_fraction: 0.9,
        };
        match planner.step(now, &service(), &self.plan, &views, limits, None) {
            PlannerAction::Store(plan) => plan,
            _ => self.plan.clone(),
        }
    }
}

fn staged(id: &str, model: &str) -> Endpoint {
    let mut vm = endpoint(id, &id[..1]);
    vm.model = Some(model.into());
    vm.staged = [model.into()].into_iter().collect();
    vm
}

fn domains(group: &GroupPlan) -> usize {
    let domains: BTreeSet<&str> = group.members.iter().map(|m| &m.id[..1]).collect();
    domains.len()
}

fn serving(plan: &Plan) -> Vec<&GroupPlan> {
    plan.groups.iter().filter(|g| !g.standby).collect()
}

#[test]
fn two_groups_across_the_same_domains_are_consolidated() {
    // After losses of single members, groups span domains and are slow although their
    // members together are enough for groups in single domains.
    let mut fleet = Fleet::new();
    fleet.group("large", &["a1", "a2", "b1", "b2"]);
    fleet.group("large", &["b3", "b4", "a3", "a4"]);
    let plan = fleet.step(ms(NOW_MS));
    assert_eq!(serving(&plan).len(), 2);
    assert!(serving(&plan).iter().all(|g| domains(g) == 1), "{plan:#?}");
    assert!(serving(&plan).iter().all(|g| g.epoch > 2));
}

#[test]
fn three_groups_are_consolidated_where_no_two_can_be() {
    // A search that exchanges members between pairs of groups only would leave all three
    // groups slow.
    let mut fleet = Fleet::new();
    fleet.group("large", &["a1", "a2", "b1", "c1"]);
    fleet.group("large", &["b2", "b3", "c2", "a3"]);
    fleet.group("large", &["c3", "c4", "a4", "b4"]);
    let plan = fleet.step(ms(NOW_MS));
    assert_eq!(serving(&plan).len(), 3);
    assert!(serving(&plan).iter().all(|g| domains(g) == 1), "{plan:#?}");
}

#[test]
fn no_group_is_consolidated_while_too_many_are_closed() {
    // Consolidation closes the groups meanwhile. While another group of the model is closed,
    // too few would serve.
    let mut fleet = Fleet::new();
    fleet.group("large", &["a1", "a2", "b1", "b2"]);
    fleet.group("large", &["b3", "b4", "a3", "a4"]);
    fleet.group("large", &["c1", "c2", "c3", "c4"]);
    let mut leader = staged("c1", "large");
    leader.membership = member("engines-3", 3, 0, GroupState::Ready);
    fleet.roster.put(leader);
    let plan = fleet.step(ms(NOW_MS));
    assert_eq!(plan.groups, fleet.plan.groups);
}

#[test]
fn spare_loads_the_model_that_a_cross_domain_group_needs() {
    // The spares of a domain may all have another model loaded. Unless one of them loads the
    // model of a cross-domain group, the group can never get back into one domain.
    let mut fleet = Fleet::new();
    fleet.group("large", &["a1", "a2", "a3", "b1"]);
    fleet.group("small", &["b2", "b3"]);
    fleet.spare("small", "a4");
    let plan = fleet.step(ms(NOW_MS));
    let standby = plan.groups.iter().find(|g| g.has_member("a4")).unwrap();
    assert_eq!(standby.model, "large");
}

#[test]
fn member_without_a_record_stays_while_it_answers_unlike_a_leader() {
    // A VM that is only cut off from the store still works as a member. Its group must not be
    // rebuilt for that, unless the VM is the leader, which gets no requests without a
    // record.
    let mut fleet = Fleet::new();
    fleet.group("large", &["a1", "a2", "a3", "a4"]);
    fleet.spare("large", "a5");
    fleet.roster.remove(ms(NOW_MS - 2_000), "a3");
    let plan = fleet.step(ms(NOW_MS));
    assert_eq!(plan.groups, fleet.plan.groups, "a3 still answers");
    for _ in 0..2 {
        fleet.monitor.on_probe_timeout(ms(NOW_MS), &"a3".into(), 1);
    }
    let plan = fleet.step(ms(NOW_MS));
    assert!(serving(&plan)[0].has_member("a5"), "a3 is silent");

    let mut fleet = Fleet::new();
    fleet.group("large", &["a1", "a2", "a3", "a4"]);
    fleet.spare("large", "a5");
    fleet.roster.remove(ms(NOW_MS - 2_000), "a1");
    let plan = fleet.step(ms(NOW_MS));
    assert!(
        !serving(&plan)[0].has_member("a1"),
        "a leader gets requests"
    );
    assert!(serving(&plan)[0].has_member("a5"));
}

#[test]
fn no_cross_domain_group_is_formed_while_most_groups_serve() {
    // A cross-domain group is slow and takes the spares that the other groups need for
    // repairs.
    let mut fleet = Fleet::new();
    for domain in ["a", "b"] {
        let vm = |i: u8| format!("{domain}{i}");
        let (one, two, three, four) = (vm(1), vm(2), vm(3), vm(4));
        fleet.group("large", &[&one, &two, &three, &four]);
        fleet.spare("large", &vm(5));
        fleet.spare("large", &vm(6));
    }
    fleet.plan.wanted.insert("large".to_owned(), 3);
    let plan = fleet.step(ms(NOW_MS));
    let large = serving(&plan).into_iter().filter(|g| g.model == "large");
    assert_eq!(large.count(), 2, "{plan:#?}");
}

#[test]
fn wanted_groups_fit_into_single_domains() {
    // With more wanted groups than fit, some would span domains from the start.
    let mut fleet = Fleet::new();
    for domain in ["a", "b", "c"] {
        for i in 0..9 {
            fleet.roster.put(staged(&format!("{domain}{i}"), "large"));
        }
    }
    let mut planner = Planner::new(PlannerSettings::default());
    let limits = LoadLimits {
        traffic_seen: false,
        rate_fraction: 0.9,
    };
    let mut plan = Plan::default();
    for at in [0, 1_000] {
        let views = vm_views(ms(NOW_MS + at), "engines", &fleet.roster, &fleet.monitor);
        let action = planner.step(ms(NOW_MS + at), &service(), &plan, &views, limits, None);
        if let PlannerAction::Store(next) = action {
            plan = next;
        }
    }
    // Of the 9 VMs in each domain, 2 are spares. The others are enough for a large group of
    // 4 and a small one of 2.
    assert_eq!(plan.wanted["large"], 3);
    assert_eq!(plan.wanted["small"], 3);
    assert!(serving(&plan).iter().all(|g| domains(g) == 1), "{plan:#?}");
}

#[test]
fn slow_member_is_replaced_only_by_a_spare_of_its_domain() {
    // A slow member slows its whole group. A spare of another domain would make the group slow
    // as well, so the exchange would gain nothing.
    for (spare, replaced) in [("a5", true), ("b1", false)] {
        let mut fleet = Fleet::new();
        fleet.group("large", &["a1", "a2", "a3", "a4"]);
        fleet.spare("large", spare);
        fleet.monitor.on_slowdown(ms(NOW_MS), &"a2".into(), 1, 5.0);
        let plan = fleet.step(ms(NOW_MS));
        assert_eq!(serving(&plan)[0].has_member(spare), replaced, "{spare}");
        assert_eq!(!serving(&plan)[0].has_member("a2"), replaced, "{spare}");
    }
}

#[test]
fn unlisted_vm_outside_of_groups_gets_no_orders() {
    // A removed VM is remembered for a while. Orders to it would never be answered.
    let mut fleet = Fleet::new();
    fleet.group("large", &["a1", "a2", "a3", "a4"]);
    fleet.plan.wanted.insert("small".to_owned(), 1);
    let mut unlisted = staged("a9", "large");
    unlisted.membership = member("engines-0", 0, 0, GroupState::Open);
    fleet.roster.put(unlisted);
    fleet.roster.remove(ms(NOW_MS - 2_000), "a9");
    let mut planner = Planner::new(PlannerSettings::default());
    let views = vm_views(ms(NOW_MS), "engines", &fleet.roster, &fleet.monitor);
    let limits = LoadLimits {
        traffic_seen: true,
        rate_fraction: 0.9,
    };
    let action = planner.step(ms(NOW_MS), &service(), &fleet.plan, &views, limits, None);
    let PlannerAction::Orders(orders) = action else {
        panic!("the plan needs no change: {action:?}");
    };
    assert!(orders.iter().all(|o| &*o.endpoint != "a9"), "{orders:?}");
}

#[test]
fn member_whose_address_was_reused_is_replaced() {
    // Probes of a lost VM may be answered by another one that has its address. If that counts
    // as an answer, the group stays broken.
    let mut fleet = Fleet::new();
    fleet.group("large", &["a1", "a2", "a3", "a4"]);
    fleet.spare("large", "a5");
    fleet.roster.remove(ms(NOW_MS - 2_000), "a3");
    fleet.monitor.on_replaced(ms(NOW_MS), &"a3".into(), 1);
    let plan = fleet.step(ms(NOW_MS));
    assert!(serving(&plan)[0].has_member("a5"), "{plan:#?}");
}

#[test]
fn loads_start_at_most_at_the_published_rate() {
    // Loads from the shared store slow each other down when too many start within a second
    // or run at once.
    let mut fleet = Fleet::new();
    for i in 0..9 {
        let mut vm = endpoint(&format!("a{i}"), "a");
        vm.staged.clear();
        fleet.roster.put(vm);
    }
    let mut planner = Planner::new(PlannerSettings::default());
    let limits = LoadLimits {
        traffic_seen: true,
        rate_fraction: 0.9,
    };
    let (mut plan, mut starts) = (Plan::default(), Vec::new());
    let mut loading = BTreeSet::new();
    for at in (0..5_000).step_by(100) {
        let now = ms(NOW_MS + at);
        let views = vm_views(now, "engines", &fleet.roster, &fleet.monitor);
        match planner.step(now, &service(), &plan, &views, limits, None) {
            PlannerAction::Store(next) => plan = next,
            PlannerAction::Orders(orders) => {
                let joins = orders.iter().filter(|o| o.kind.label() == "join");
                for order in joins {
                    planner.on_answer(order, 1, OrderAnswer::Begun);
                    // The records don't change in this test, so orders are repeated.
                    if loading.insert(order.endpoint.clone()) {
                        starts.push(at);
                    }
                }
            }
            PlannerAction::Reread => panic!("no VM has a newer epoch"),
        }
    }
    assert!(!starts.is_empty());
    let second = |from: u64| {
        starts
            .iter()
            .filter(|t| (from..from + 1_000).contains(t))
            .count()
    };
    let peak = (0..4_000).step_by(100).map(second).max().unwrap();
    // The test's engine allows 4 loads per second, and 6 at once.
    assert!(peak <= 4, "{starts:?}");
    assert_eq!(starts.len(), 6, "{starts:?}");
}

#[test]
fn of_equal_spares_the_one_with_the_lowest_name_replaces_a_member() {
    // The order must not depend on how the planner stores the spares: on a day with a loss
    // every few seconds, another order left groups without members for longer.
    let mut fleet = Fleet::new();
    fleet.group("large", &["a1", "a2", "a3", "a4"]);
    for (id, domain) in [("x1", "z"), ("y1", "b")] {
        fleet.spare("large", id);
        let mut vm = fleet.roster.get(id).unwrap().clone();
        vm.domain = domain.into();
        fleet.roster.put(vm);
    }
    for _ in 0..2 {
        fleet.monitor.on_refused(ms(NOW_MS), &"a2".into(), 1);
    }
    let plan = fleet.step(ms(NOW_MS));
    let group = serving(&plan)[0];
    assert!(
        group.has_member("x1") && !group.has_member("y1"),
        "{group:?}"
    );
}
