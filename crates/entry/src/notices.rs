//! What endpoints say of themselves in their answers.

use std::time::Duration;

use bulrushhoist_fleet::{Departure, Endpoint};
use hyper::header::HeaderMap;
use slog::info;

use crate::connection::Connection;
use crate::node::Node;

/// Value of the header by which an endpoint says that it leaves.
const LEAVING: &str = "1";
/// Time for which a departure is included in the messages to the other entries, so that it
/// arrives though some are lost.
const DEPARTURE_REPORT_TIME: Duration = Duration::from_secs(2);

impl Node {
    /// Reads what an endpoint says of itself in an answer to whichever request: the
    /// connection leads to this incarnation.
    pub(crate) fn read_notices(&self, endpoint: &Endpoint, headers: &HeaderMap) {
        let leaving = headers.get(&self.dialect.headers().leaving);
        if leaving.is_some_and(|v| v.as_bytes().trim_ascii() == LEAVING.as_bytes()) {
            self.on_departure(&Departure {
                endpoint: endpoint.id.clone(),
                incarnation: endpoint.incarnation,
            });
        }
    }

    /// Takes an endpoint that leaves out of use, and tells the other entries. Its requests
    /// run on.
    pub(crate) fn on_departure(&self, departure: &Departure) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let (id, incarnation) = (&departure.endpoint, departure.incarnation);
        if !state.roster.set_leaving(id, incarnation) {
            return;
        }
        state.departures.push((departure.clone(), now));
        drop(state);
        self.pool.drop_endpoint(id);
        self.metrics.on_notice("leaving");
        info!(self.log, "endpoint leaves"; "endpoint" => &**id, "born" => incarnation);
        self.planner_wake.notify_one();
    }

    /// Returns the departures to report to the other entries.
    pub(crate) fn recent_departures(&self) -> Vec<Departure> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let departures = &mut state.departures;
        departures.retain(|(_, at)| now.since(*at) < DEPARTURE_REPORT_TIME);
        departures.iter().map(|(d, _)| d.clone()).collect()
    }

    /// Returns whether a request may be sent to an endpoint that was chosen before.
    pub(crate) fn may_send(&self, endpoint: &Endpoint) -> bool {
        let state = self.state.borrow();
        !state.roster.is_leaving(&endpoint.id, endpoint.incarnation)
    }

    /// Keeps a connection for later requests, unless its endpoint gets none.
    pub(crate) fn keep_connection(&self, endpoint: &Endpoint, connection: Connection) {
        if self.may_send(endpoint) {
            self.pool.put(self.now(), endpoint, connection);
        }
    }
}
