//! What endpoints say of themselves in their answers.

use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{Aged, Departure, Endpoint, MAX_PAUSE, Name, NamedLimit};
use hyper::header::{HeaderMap, HeaderName, RETRY_AFTER};
use slog::{info, warn};

use crate::attempt::InFlight;
use crate::connection::Connection;
use crate::node::Node;

/// Value of the header by which an endpoint says that it leaves.
const LEAVING: &str = "1";
/// Time for which a departure is included in the messages to the other entries, so that it
/// arrives though some are lost.
const DEPARTURE_REPORT_TIME: Duration = Duration::from_secs(2);

/// Minimum time between two log lines about notices that aren't usable.
const BAD_NOTICE_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The error of a pause that isn't a number of seconds, is negative, or is given twice with
/// different values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UnusablePause;

/// Returns the pause that an answer asks for, [`MAX_PAUSE`] at most.
fn parse_pause(headers: &HeaderMap) -> Result<Option<Duration>, UnusablePause> {
    let mut values = headers.get_all(RETRY_AFTER).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.any(|v| v != first) {
        return Err(UnusablePause);
    }
    let seconds = first.to_str().ok().and_then(|v| v.trim().parse().ok());
    let seconds: f64 = seconds.ok_or(UnusablePause)?;
    if seconds.is_nan() || seconds < 0.0 {
        return Err(UnusablePause);
    }
    let seconds = seconds.min(MAX_PAUSE.as_secs_f64());
    Ok(Some(Duration::from_secs_f64(seconds)))
}

/// Smallest limit that is understood, in requests a second. A smaller one would stop its
/// endpoint for minutes.
pub(crate) const MIN_LIMIT_PER_S: f64 = 0.05;
/// Largest limit that is understood. It is no limit for any endpoint.
pub(crate) const MAX_LIMIT_PER_S: f64 = 1e6;

/// The error of a limit that isn't a positive number of requests a second, or is given twice
/// with different values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UnusableLimit;

/// Returns the requests a second that an answer names, from [`MIN_LIMIT_PER_S`] to
/// [`MAX_LIMIT_PER_S`].
fn parse_limit(headers: &HeaderMap, name: &HeaderName) -> Result<Option<f64>, UnusableLimit> {
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.any(|v| v != first) {
        return Err(UnusableLimit);
    }
    let per_s = first.to_str().ok().and_then(|v| v.trim().parse().ok());
    let per_s: f64 = per_s.ok_or(UnusableLimit)?;
    match per_s > 0.0 {
        true => Ok(Some(per_s.clamp(MIN_LIMIT_PER_S, MAX_LIMIT_PER_S))),
        false => Err(UnusableLimit),
    }
}

impl Node {
    /// Reads what an endpoint says of itself in an answer to whichever request: the
    /// connection leads to this incarnation. The request was sent at `sent`.
    pub(crate) fn read_notices(&self, endpoint: &Endpoint, headers: &HeaderMap, sent: Time) {
        let leaving = headers.get(&self.dialect.headers().leaving);
        if leaving.is_some_and(|v| v.as_bytes().trim_ascii() == LEAVING.as_bytes()) {
            self.on_departure(&Departure {
                endpoint: endpoint.id.clone(),
                incarnation: endpoint.incarnation,
            });
        }
        match parse_limit(headers, &self.dialect.headers().limit) {
            Ok(per_s) => self.on_limit(endpoint, per_s, sent),
            Err(UnusableLimit) => {
                self.metrics.on_notice("unusable_limit");
                if self.may_log_notice(self.now()) {
                    warn!(self.log, "limit not usable"; "endpoint" => &*endpoint.id, "born" => endpoint.incarnation);
                }
            }
        }
    }

    /// Reads the pause that an endpoint asks for as it refuses a request.
    pub(crate) fn read_pause(&self, endpoint: &Endpoint, headers: &HeaderMap) {
        let now = self.now();
        let time = match parse_pause(headers) {
            Ok(Some(time)) => time,
            Ok(None) => return,
            Err(UnusablePause) => {
                self.metrics.on_notice("unusable_pause");
                if self.may_log_notice(now) {
                    warn!(self.log, "pause not usable"; "endpoint" => &*endpoint.id, "born" => endpoint.incarnation);
                }
                return;
            }
        };
        let mut state = self.state.borrow_mut();
        if !state.pause(now, endpoint, time) {
            return;
        }
        drop(state);
        self.metrics.on_notice("pause");
        info!(self.log, "endpoint pauses"; "endpoint" => &*endpoint.id, "born" => endpoint.incarnation, "for_ms" => time.as_millis() as u64);
    }

    /// Records the limit that an answer named, or that it named none.
    fn on_limit(&self, endpoint: &Endpoint, per_s: Option<f64>, sent: Time) {
        let now = self.now();
        let said = NamedLimit {
            endpoint: endpoint.id.clone(),
            incarnation: endpoint.incarnation,
            per_s,
        };
        if per_s.is_some() {
            self.metrics.on_notice("limit");
        }
        if self.state.borrow_mut().limits.observe(now, sent, &said) {
            self.on_limit_changed(&said, "answer");
        }
    }

    /// Records a limit that another entry reported.
    pub(crate) fn on_reported_limit(&self, reported: &Aged<NamedLimit>) {
        let now = self.now();
        if self.state.borrow_mut().limits.merge(now, reported) {
            self.on_limit_changed(&reported.item, "peer");
        }
    }

    fn on_limit_changed(&self, said: &NamedLimit, source: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.refresh_limit(now, &said.endpoint);
        let share = state.limits.share(&said.endpoint, said.incarnation);
        drop(state);
        info!(self.log, "endpoint's limit changed"; "endpoint" => &*said.endpoint, "born" => said.incarnation, "per_s" => said.per_s, "share" => share, "source" => source);
    }

    /// Returns whether a line about an unusable notice may be logged: a faulty endpoint may
    /// send one with each answer.
    fn may_log_notice(&self, now: Time) -> bool {
        let last = self.bad_notice_logged.get();
        let due = last.is_none_or(|t| now.since(t) >= BAD_NOTICE_LOG_INTERVAL);
        if due {
            self.bad_notice_logged.set(Some(now));
        }
        due
    }

    /// Returns the time after which a caller may come back that was refused because every
    /// endpoint pauses or has reached its limit, if any still does.
    pub(crate) fn shortest_pause(&self, service: &Name, model: Option<&Name>) -> Option<Duration> {
        let now = self.now();
        let state = self.state.borrow();
        let leaders = model.map(|m| state.roster.leaders(service, m));
        let plain = model.is_none().then(|| state.roster.of_service(service));
        let all = leaders.into_iter().flatten();
        let all = all.chain(plain.into_iter().flatten());
        all.filter_map(|e| state.held_back(now, e).map(|h| h.time()))
            .min()
    }

    /// Takes an endpoint that leaves out of use, and tells the other entries. Its requests
    /// run on.
    pub(crate) fn on_departure(&self, departure: &Departure) {
        if self.retire_endpoint(departure, "notice") {
            let now = self.now();
            let mut state = self.state.borrow_mut();
            state.departures.push((departure.clone(), now));
        }
    }

    /// Takes an endpoint that leaves out of use. Returns whether that wasn't known.
    pub(crate) fn retire_endpoint(&self, departure: &Departure, source: &str) -> bool {
        let (id, incarnation) = (&departure.endpoint, departure.incarnation);
        if !self.state.borrow_mut().roster.set_leaving(id, incarnation) {
            return false;
        }
        self.pool.drop_endpoint(id);
        self.metrics.on_notice("leaving");
        info!(self.log, "endpoint leaves"; "endpoint" => &**id, "born" => incarnation, "source" => source);
        self.planner_wake.notify_one();
        true
    }

    /// Returns the departures to report to the other entries.
    pub(crate) fn recent_departures(&self) -> Vec<Departure> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let departures = &mut state.departures;
        departures.retain(|(_, at)| now.since(*at) < DEPARTURE_REPORT_TIME);
        departures.iter().map(|(d, _)| d.clone()).collect()
    }

    /// Returns whether a request may be sent to the endpoint that was chosen for it before.
    pub(crate) fn may_send(&self, in_flight: &InFlight) -> bool {
        let now = self.now();
        let endpoint = &in_flight.endpoint;
        let mut state = self.state.borrow_mut();
        let (id, incarnation) = (&endpoint.id, endpoint.incarnation);
        let paused = state.pauses.remaining(now, id, incarnation).is_some();
        // The request that tries an unfit leader is the one that it may get.
        let excluded = !in_flight.is_trial && !state.fitness.may_send(now, id, incarnation);
        if paused || excluded || state.roster.is_leaving(id, incarnation) {
            return false;
        }
        // One that was chosen before the limit was known counts, too.
        in_flight.counted || state.limits.take(now, id, incarnation)
    }

    /// Keeps a connection for later requests, unless its endpoint gets none.
    pub(crate) fn keep_connection(&self, endpoint: &Endpoint, connection: Connection) {
        let state = self.state.borrow();
        let leaving = state.roster.is_leaving(&endpoint.id, endpoint.incarnation);
        drop(state);
        if !leaving {
            self.pool.put(self.now(), endpoint, connection);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/notices.rs"]
mod tests;
