use super::{group_name, is_standby_name};

/// Legal names of services, some of which look like parts of a group's name.
const SERVICES: [&str; 10] = [
    "engines",
    "walk-standby-in",
    "-standby-",
    "a-standby-1",
    "a-standby-1-standby-2",
    "standby",
    "1",
    "a-1",
    "engines-standby-",
    "\u{e4}-standby-\u{e4}",
];

/// Guards against serving groups that count as spares because of their service's name: their
/// members join other groups while the leader is open.
#[test]
fn a_name_of_a_service_makes_its_groups_spares() {
    for service in SERVICES {
        for epoch in [0, 1, 27, u64::MAX] {
            let serving = format!("{service}-{epoch}");
            assert!(!is_standby_name(service, &serving), "{serving}");
            let spare = group_name(service, epoch);
            assert!(is_standby_name(service, &spare), "{spare}");
        }
    }
}
