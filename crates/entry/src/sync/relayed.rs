//! Follows the copy of the store that another entry relays.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushhoist_core::Time;
use bulrushhoist_fleet::{Name, Role, name_key};
use slog::{debug, info};

use super::{Follower, Progress, on_answer};
use crate::connection::ConnectionError;
use crate::dialect::{Change, ObjectKind};
use crate::records::apply_change;
use crate::relay::{self, Origin, RelayError, RelayQuery, RelayUpdate, Relayed};
use crate::store::StoreError;

/// Time for which a relay is not followed after it could not be reached.
const UNREACHABLE_RELAY_BACKOFF: Duration = Duration::from_secs(3);
/// Time for which a relay is not followed after its copy of the store was stale.
const STALE_RELAY_BACKOFF: Duration = Duration::from_millis(600);
/// The same before this entry has a copy of its own: the relay may be starting, too.
const STARTING_RELAY_BACKOFF: Duration = Duration::from_millis(150);
/// Shortest time that a relay has for its answer.
const MIN_RELAY_TIME: Duration = Duration::from_millis(100);
/// The same on entries that follow a hub.
const FOLLOWER_BATCH_PAUSE: Duration = Duration::from_millis(200);
/// Minimum time between two log lines about the same failure of the same relay.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(10);

impl Follower {
    /// Fetches once from a relay and applies the answer. If the relay fails, this entry
    /// avoids it for a while and goes to another one or to the store.
    pub(super) async fn follow_relay(
        &mut self,
        name: Name,
        address: SocketAddr,
    ) -> Result<Progress, StoreError> {
        let (own, role) = {
            let state = self.node.state.borrow();
            (name_key(&self.node.settings.node), state.peers.role())
        };
        let query = RelayQuery {
            kind: self.kind,
            after: self.cursor.next,
            wait: relay::long_poll_timeout(role),
            follower: own,
        };
        let due_at = self.due_at();
        let left = due_at.map(|due| due.since(self.node.now()).max(MIN_RELAY_TIME));
        let limit = left.unwrap_or(Duration::MAX);
        let fetched = relay::fetch(&mut self.connection, address, &query, limit).await;
        let node = &self.node;
        match fetched {
            Ok(relayed) if !self.cursor.accepts(relayed.position) => {
                // The relay's copy is older than what this entry has already applied.
                self.avoided.push((name, node.now() + STALE_RELAY_BACKOFF));
            }
            Ok(relayed) => {
                on_answer(node, "relay", true);
                self.fallback_at = None;
                let origin = Origin {
                    answered_at: node.now() - relayed.age,
                    hops: relayed.hops,
                    relay: Some(name),
                };
                let position = relayed.position;
                let changes = match self.read_omitted(relayed).await {
                    Ok(changes) => changes,
                    Err(error) => {
                        let relay = origin.relay.into_iter();
                        let until = self.node.now() + STALE_RELAY_BACKOFF;
                        self.avoided.extend(relay.map(|name| (name, until)));
                        return Err(error);
                    }
                };
                let any = !changes.is_empty();
                self.age.on_answer(origin.answered_at);
                if self.cursor.next.is_none() {
                    let objects = changes.into_iter().filter_map(Change::into_put);
                    self.cursor.advance(position);
                    self.replace(objects.collect(), position, origin).await;
                } else {
                    self.apply(changes, position, origin);
                }
                if any && role == Role::Follower && self.kind == ObjectKind::Endpoints {
                    tokio::time::sleep(FOLLOWER_BATCH_PAUSE).await;
                }
                return Ok(Progress::Answered);
            }
            Err(RelayError::HistoryGone) => self.cursor.next = None,
            Err(error) => {
                let pause = match error {
                    RelayError::Refused(_) if self.cursor.next.is_none() => STARTING_RELAY_BACKOFF,
                    RelayError::Refused(_) => STALE_RELAY_BACKOFF,
                    // It had less time than it may take while nothing changes.
                    RelayError::NoAnswer(ConnectionError::TimedOut) if limit < query.wait => {
                        STALE_RELAY_BACKOFF
                    }
                    _ => UNREACHABLE_RELAY_BACKOFF,
                };
                let now = node.now();
                self.report_failure(now, &name, &error);
                self.avoided.push((name, now + pause));
            }
        }
        Ok(Progress::Nothing)
    }

    /// Counts a failure of a relay, and logs it unless the same one was logged recently.
    fn report_failure(&mut self, now: Time, relay: &Name, error: &RelayError) {
        let (node, cause) = (&self.node, error.name());
        node.metrics.on_relay_failure(self.kind, cause);
        let logged = self.failure_logged.as_ref();
        let known = logged.is_some_and(|(name, last, at)| {
            name == relay && *last == cause && now.since(*at) < FAILURE_LOG_INTERVAL
        });
        if !known {
            info!(node.log, "relay not followed"; "kind" => %self.kind, "peer" => &**relay, "cause" => %error);
            self.failure_logged = Some((relay.clone(), cause, now));
        }
    }

    /// Reads from the store the objects whose bodies a relay left out. If that fails, what
    /// the relay did send is applied, and the rest is asked for again.
    async fn read_omitted(&self, relayed: Relayed) -> Result<Vec<Change>, StoreError> {
        let mut changes = Vec::with_capacity(relayed.updates.len());
        let mut failure = None;
        for update in relayed.updates {
            match update {
                RelayUpdate::Change(change) => changes.push(change),
                RelayUpdate::Read(name, revision) => {
                    debug!(self.node.log, "object read"; "kind" => %self.kind, "name" => &name, "revision" => revision);
                    let read = self.node.store.read(self.kind, &name).await;
                    self.node.metrics.on_store_call("read", read.is_ok());
                    match read {
                        Ok(answer) if answer.era == relayed.position.era => {
                            changes.push(Change::Put(answer.content));
                        }
                        Ok(_) => failure = Some(StoreError::HistoryGone),
                        Err(error) => failure = Some(error),
                    }
                }
            }
        }
        let Some(error) = failure else {
            return Ok(changes);
        };
        for change in changes {
            apply_change(&self.node, self.kind, relayed.position.era, change);
        }
        Err(error)
    }
}
