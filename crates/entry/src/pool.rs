//! A pool of idle connections to endpoints.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{Endpoint, Name};

use crate::connection::{Connection, ConnectionError};

/// Timeout for opening a connection to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest idle time of a connection that is used for [`Reuse::Recent`]. Endpoints may
/// close idle connections without notice, and a call that must not be retried could be
/// lost on one of them.
const MAX_RECENT_IDLE: Duration = Duration::from_millis(1_500);
/// Idle time after which a connection is closed.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// Idle connections that are kept for one endpoint at most.
const MAX_IDLE_CONNECTIONS: usize = 12;

/// Which idle connections a request may reuse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// A connection that was used within [`MAX_IDLE`].
    Any,
    /// A connection that was used within [`MAX_RECENT_IDLE`].
    Recent,
}

/// The idle connections to one incarnation of an endpoint.
#[derive(Default)]
struct Idle {
    /// Which incarnation they lead to.
    incarnation: u64,
    connections: Vec<Connection>,
}

/// The idle connections of every endpoint.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<HashMap<Name, Idle>>,
}

impl ConnectionPool {
    /// Takes an idle connection to an endpoint out of the pool, or opens one.
    pub(crate) async fn take(
        &self,
        now: Time,
        endpoint: &Endpoint,
        reuse: Reuse,
    ) -> Result<Connection, ConnectionError> {
        if let Some(connection) = self.take_idle(now, endpoint, reuse) {
            return Ok(connection);
        }
        Connection::open(endpoint.address, CONNECT_TIMEOUT, now).await
    }

    fn take_idle(&self, now: Time, endpoint: &Endpoint, reuse: Reuse) -> Option<Connection> {
        let limit = match reuse {
            Reuse::Any => MAX_IDLE,
            Reuse::Recent => MAX_RECENT_IDLE,
        };
        let mut all = self.idle.borrow_mut();
        let idle = all
            .get_mut(&endpoint.id)
            .filter(|i| i.incarnation == endpoint.incarnation)?;
        while let Some(connection) = idle.connections.pop() {
            let expired = connection.expires.is_some_and(|t| now >= t);
            if connection.is_usable() && !expired && now.since(connection.used) < limit {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after a request.
    pub(crate) fn put(&self, now: Time, endpoint: &Endpoint, mut connection: Connection) {
        if connection.is_closed() {
            return;
        }
        connection.used = now;
        connection.is_new = false;
        let mut all = self.idle.borrow_mut();
        let idle = all.entry(endpoint.id.clone()).or_default();
        if idle.incarnation != endpoint.incarnation {
            *idle = Idle {
                incarnation: endpoint.incarnation,
                connections: Vec::new(),
            };
        }
        if idle.connections.len() < MAX_IDLE_CONNECTIONS {
            idle.connections.push(connection);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub(crate) fn drop_endpoint(&self, id: &str) {
        self.idle.borrow_mut().remove(id);
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn sweep(&self, now: Time) {
        let mut all = self.idle.borrow_mut();
        for idle in all.values_mut() {
            idle.connections
                .retain(|c| !c.is_closed() && now.since(c.used) < MAX_IDLE);
        }
        all.retain(|_, idle| !idle.connections.is_empty());
    }
}
