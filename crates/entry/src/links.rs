//! Idle connections to endpoints.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{Endpoint, Name};

use crate::link::{Link, LinkError};

/// Time within which an endpoint accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which a connection isn't used for a call that must not be
/// repeated: endpoints may close idle connections without notice.
const FRESH: Duration = Duration::from_millis(1_500);
/// Idle time after which a connection is closed.
const IDLE_MOST: Duration = Duration::from_secs(4);
/// Idle connections that are kept for each endpoint.
const IDLE_LINKS: usize = 12;

/// How recently a connection must have been used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// Any connection that is still open.
    Any,
    /// One that was used a moment ago, or a new one.
    Recent,
}

#[derive(Default)]
struct Idle {
    born: u64,
    links: Vec<Link>,
}

/// The idle connections of every endpoint.
#[derive(Default)]
pub(crate) struct Links {
    idle: RefCell<HashMap<Name, Idle>>,
}

impl Links {
    /// Returns an idle connection to an endpoint, or opens one.
    pub(crate) async fn take(
        &self,
        now: Time,
        endpoint: &Endpoint,
        freshness: Freshness,
    ) -> Result<Link, LinkError> {
        if let Some(link) = self.take_idle(now, endpoint, freshness) {
            return Ok(link);
        }
        Link::open(endpoint.address, CONNECT_TIMEOUT, now).await
    }

    fn take_idle(&self, now: Time, endpoint: &Endpoint, freshness: Freshness) -> Option<Link> {
        let limit = match freshness {
            Freshness::Any => IDLE_MOST,
            Freshness::Recent => FRESH,
        };
        let mut all = self.idle.borrow_mut();
        let idle = all
            .get_mut(&endpoint.id)
            .filter(|i| i.born == endpoint.born)?;
        while let Some(link) = idle.links.pop() {
            let expired = link.expires.is_some_and(|t| now >= t);
            if link.is_usable() && !expired && now.since(link.used) < limit {
                return Some(link);
            }
        }
        None
    }

    /// Keeps a connection for the next request.
    pub(crate) fn put(&self, now: Time, endpoint: &Endpoint, mut link: Link) {
        if link.is_closed() {
            return;
        }
        link.used = now;
        let mut all = self.idle.borrow_mut();
        let idle = all.entry(endpoint.id.clone()).or_default();
        if idle.born != endpoint.born {
            *idle = Idle {
                born: endpoint.born,
                links: Vec::new(),
            };
        }
        if idle.links.len() < IDLE_LINKS {
            idle.links.push(link);
        }
    }

    /// Closes the connections to an endpoint.
    pub(crate) fn drop_endpoint(&self, id: &str) {
        self.idle.borrow_mut().remove(id);
    }

    /// Closes connections that have been idle for long.
    pub(crate) fn sweep(&self, now: Time) {
        let mut all = self.idle.borrow_mut();
        for idle in all.values_mut() {
            idle.links
                .retain(|l| !l.is_closed() && now.since(l.used) < IDLE_MOST);
        }
        all.retain(|_, idle| !idle.links.is_empty());
    }
}
