//! Leader fitness in an entry: what its rejections and silent streams show of leaders.
//!
//! It acts on latency-critical services only; see `docs/design/leader-fitness.md`. The
//! decisions are in `bulrushhoist-fleet`; this module gathers their inputs and reports what
//! they change.

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{
    CallKind, Endpoint, Engine, Health, Name, Rejection, quiet_time, unbegun_stall_timeout,
};
use hyper::StatusCode;
use slog::info;

use crate::attempt::STALL_CHECK_INTERVAL;
use crate::call::Call;
use crate::node::Node;
use crate::outcome::RetryCause;
use crate::state::State;

impl State {
    /// Records that a leader rejected a request of a latency-critical service. Returns `None`
    /// where the rejection has another reason: the endpoint pauses, leaves or names a limit,
    /// or no longer leads a group of the model, or its status isn't that of an endpoint
    /// without capacity.
    pub(crate) fn on_rejected(
        &mut self,
        now: Time,
        leader: &Endpoint,
        status: StatusCode,
    ) -> Option<Rejection> {
        let (id, incarnation) = (&leader.id, leader.incarnation);
        let explained = self.pauses.remaining(now, id, incarnation).is_some()
            || self.limits.is_limited(id, incarnation)
            || self.roster.is_leaving(id, incarnation);
        let explained = explained || status != StatusCode::SERVICE_UNAVAILABLE;
        if explained || !self.catalog.is_latency_critical(&leader.service) {
            return None;
        }
        let mut leaders = self.roster.leaders(&leader.service, leader.model.as_ref()?);
        leaders.find(|l| l.id == *id && l.incarnation == incarnation)?;
        let slots = self
            .catalog
            .service(&leader.service)?
            .engine
            .as_ref()?
            .slots;
        // The rejected request is still in the load.
        let others = (self.batch(now, id).requests - 1.0).max(0.0);
        let load = match self.peers.is_settled(now) {
            true => others / f64::from(slots.max(1)),
            // Without the other entries' loads a full leader looks idle.
            false => 1.0,
        };
        self.fitness.set_report_interval(self.peers.view_age());
        Some(self.fitness.on_rejected(now, id, incarnation, load))
    }

    /// Records an answer of an endpoint. Returns whether it was unfit. A suspicion that its
    /// rejections caused is disproved, and isn't reported any further.
    pub(crate) fn on_accepted(&mut self, endpoint: &Endpoint) -> bool {
        let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
        let was_unfit = self.fitness.on_accepted(id, incarnation);
        let known = self.suspicions.get(id);
        if was_unfit && known.is_some_and(|s| s.is_rejection && s.incarnation == incarnation) {
            self.suspicions.remove(id);
        }
        was_unfit
    }

    /// Returns whether no begun stream of this entry at a leader has had an event for several
    /// passes of the engine. A leader that is silent for longer than a stall takes to be noticed
    /// and isn't suspected has streams that this entry doesn't read on, as their callers are slow.
    pub(crate) fn is_quiet(
        &self,
        now: Time,
        leader: &Name,
        engine: &Engine,
        time_factor: f64,
    ) -> bool {
        let Some(load) = self.loads.get(leader).filter(|l| l.streaming > 0) else {
            return false;
        };
        let silent = now.since(load.last_active);
        silent >= quiet_time(engine, time_factor)
            && silent < self.stall_timeout(now, leader) + STALL_CHECK_INTERVAL
    }

    /// Returns whether an endpoint with requests has sent nothing for too long. While no
    /// stream has begun and the endpoint is not suspected, the requests may still be in the
    /// endpoint's queue, and the limit is up to twice as high.
    pub(crate) fn is_stalled(&self, now: Time, endpoint: &Name) -> bool {
        let Some(load) = self.loads.get(endpoint).filter(|l| l.requests > 0) else {
            return false;
        };
        let begun = self.stall_timeout(now, endpoint);
        let leader = self.roster.get(endpoint);
        let suspected = leader.is_none_or(|e| self.health(now, e) != Health::Alive);
        let critical = leader.is_some_and(|e| self.catalog.is_latency_critical(&e.service));
        let timeout = match self.engine_times(now, endpoint) {
            _ if load.streaming > 0 || suspected => begun,
            Some((engine, time_factor)) if critical => {
                unbegun_stall_timeout(begun, engine, time_factor, self.batch(now, endpoint))
            }
            _ => begun * 2,
        };
        now.since(load.last_active) >= timeout
    }
}

impl Node {
    /// Records that an endpoint refused a request without running it. Returns why the request
    /// may be sent to another one.
    pub(crate) fn on_rejected(
        &self,
        call: &Call,
        endpoint: &Endpoint,
        status: StatusCode,
    ) -> RetryCause {
        if call.route.kind != CallKind::Stream {
            return RetryCause::Refused;
        }
        let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let was_unfit = state.fitness.is_unfit(id, incarnation);
        let Some(rejection) = state.on_rejected(now, endpoint, status) else {
            return RetryCause::Refused;
        };
        let requests = state.batch(now, id).requests;
        drop(state);
        self.metrics.on_rejection(rejection);
        match rejection {
            Rejection::Full => {
                if was_unfit {
                    self.log_fit(endpoint);
                }
                RetryCause::Refused
            }
            Rejection::Unfit => {
                if !was_unfit {
                    info!(self.log, "leader unfit"; "endpoint" => &**id, "born" => incarnation, "requests" => requests);
                }
                let mut state = self.state.borrow_mut();
                let new = state.monitor.on_failure(now, id, incarnation);
                state.note_suspicion(now, id, incarnation, true);
                drop(state);
                if new {
                    self.report_suspicion(id, incarnation, "rejects without load");
                }
                RetryCause::Unfit
            }
        }
    }

    /// Records an endpoint's answer to a request, which shows that it accepts requests.
    pub(crate) fn on_accepted(&self, endpoint: &Endpoint) {
        if self.state.borrow_mut().on_accepted(endpoint) {
            self.log_fit(endpoint);
        }
    }

    fn log_fit(&self, endpoint: &Endpoint) {
        info!(self.log, "leader fit again"; "endpoint" => &*endpoint.id, "born" => endpoint.incarnation);
    }
}

#[cfg(test)]
#[path = "../tests/unit/fitness.rs"]
mod tests;
