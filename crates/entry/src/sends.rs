//! Accounts the sends to leaders of latency-critical services and the ends of their streams.
//!
//! It measures what the prediction of loads needs (`docs/design/even-load.md`): how long a
//! model's requests take, and how many this entry starts. Only streams that had begun count
//! as samples, because a rejected request takes no time at the leader.

use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{Engine, Name, Work, published_request_time};

use crate::queues::ModelKey;
use crate::state::State;

/// Returns the model's factor on the engine's published times.
pub(crate) fn time_factor(engine: &Engine, model: &str) -> f64 {
    let mut models = engine.models.iter();
    models
        .find(|m| &*m.name == model)
        .map_or(1.0, |m| m.time_factor)
}

impl State {
    /// Returns the service and model of a leader if its service is latency-critical.
    fn critical_model(&self, id: &Name) -> Option<ModelKey> {
        let leader = self.roster.get(id)?;
        let critical = self.catalog.is_latency_critical(&leader.service);
        let model = leader.model.clone().filter(|_| critical)?;
        Some((leader.service.clone(), model))
    }

    /// Records a send, before it is part of the leader's load.
    pub(crate) fn record_send(&mut self, now: Time, id: &Name, work: Work) {
        let Some(key) = self.critical_model(id) else {
            return;
        };
        let catalog = self.catalog.clone();
        let service = catalog.service(&key.0);
        let (Some(engine), Some(leader)) =
            (service.and_then(|s| s.engine.as_ref()), self.roster.get(id))
        else {
            return;
        };
        let slowdown = self.slowdown(now, engine, leader);
        let (all, own) = (self.batch(now, id), self.own_batch(id));
        let prior = published_request_time(engine, time_factor(engine, &key.1), work);
        let age = self.peers.view_age();
        let times = self.request_times.entry(key).or_default();
        let view = times.view(now, age, prior);
        let others = all.requests - own.requests;
        let load = view.predicted_load(others, own.requests, slowdown);
        self.sends_by_use.record(load, engine.slots);
        times.on_sent(now, work.answer_tokens);
    }

    /// Records the end of a stream that had begun, this long after its send.
    pub(crate) fn record_end(&mut self, id: &Name, took: Duration) {
        let Some(key) = self.critical_model(id) else {
            return;
        };
        self.request_times.entry(key).or_default().on_ended(took);
    }
}
