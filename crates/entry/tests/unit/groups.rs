use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{Health, HealthMonitor, HealthSettings, Name};

use super::{MAX_PLANNING_PAUSE, probe_interval};
use crate::control::REPORT_TIMEOUT;

/// Returns how long after a suspicion the members that don't answer count as silent. The
/// planner runs at the suspicion, whenever a probe fails, and after its longest pause.
fn detection_time(critical: bool) -> Duration {
    let (id, mut monitor): (Name, _) = ("vm".into(), HealthMonitor::new(HealthSettings::default()));
    let (start, mut now, mut probed) = (Time::from_millis(10_000), Duration::ZERO, None);
    monitor.on_failure(start, &id, 1);
    loop {
        let interval = probe_interval(true, critical);
        if probed.is_none_or(|t| now - t >= interval) {
            probed = Some(now);
        }
        let failure = probed.unwrap_or_default() + REPORT_TIMEOUT;
        let pause = now + MAX_PLANNING_PAUSE;
        if failure > now && failure <= pause {
            now = failure;
            monitor.on_probe_timeout(start + now, &id, 1);
        } else {
            now = pause;
        }
        if monitor.health(start + now, &id, 1) == Health::Silent {
            return now;
        }
    }
}

/// Guards against a pause of the planner between the two probes of a silent member: its group
/// stalls meanwhile, and the objective is as short as the pause.
#[test]
fn the_second_probe_follows_the_first_at_once() {
    assert_eq!(detection_time(true), REPORT_TIMEOUT * 2);
    assert_eq!(
        detection_time(false),
        REPORT_TIMEOUT * 2 + MAX_PLANNING_PAUSE
    );
    // In calm, a latency-critical service isn't probed more often than others.
    assert_eq!(probe_interval(false, true), probe_interval(false, false));
}
