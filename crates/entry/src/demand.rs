//! Samples the demand for the models of a latency-critical service, at the entry that plans.
//!
//! The sums of all entries' requests are in the reports that every entry gets for its choice
//! of leaders, so a sample sends no message. See `docs/design/demand.md`.

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{Demand, Service};

use crate::node::Node;
use crate::state::State;

/// Adds a sample if the next one is due, and exports the demand.
///
/// Only leaders that may get new work count: requests to a data centre that was taken out
/// of service end there, and the next ones show at the other leaders.
pub(crate) fn sample(
    node: &Node,
    state: &State,
    now: Time,
    service: &Service,
    demand: &mut Demand,
) {
    let Some(engine) = service.engine.as_ref().filter(|_| demand.is_due(now)) else {
        return;
    };
    let loads = engine.models.iter().map(|model| {
        let leaders = state.roster.leaders(&service.name, &model.name);
        let requests = leaders.map(|leader| state.batch(now, &leader.id).requests);
        (model.name.clone(), requests.sum::<f64>())
    });
    demand.observe(now, loads);
    for model in &engine.models {
        let leaders = state.roster.leaders(&service.name, &model.name).count();
        let slots = f64::from(engine.slots) * leaders.max(1) as f64;
        let fraction = demand.in_flight(&model.name) / slots;
        node.metrics
            .set_demand(&service.name, &model.name, fraction);
    }
}
