//! The register of daemons.
//!
//! A daemon registers when it starts and leaves when it is stopped as planned.
//! The register contains no heartbeats; gossip tracks liveness. Shares of a
//! replica's limit and majorities are computed from the registered daemons, not
//! from the live ones, so that differing views of liveness cannot make shares
//! exceed the limit or yield two majorities.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, Incarnation, MemberId, stable_hash};

/// Whether a daemon should receive callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DaemonPhase {
    /// The other daemons may not know this one yet, so it takes no requests.
    Joining,
    /// The daemon takes requests.
    Active,
    /// The daemon is stopping.
    Leaving,
}

/// One registered daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RegisteredDaemon {
    /// Identity of the process.
    pub id: MemberId,
    /// Incarnation of the process, which its tickets name.
    pub incarnation: Incarnation,
    /// Data centre of its entry VM.
    pub data_centre: DataCentreName,
    /// Address for callers.
    #[serde(rename = "caller")]
    pub caller_address: SocketAddr,
    /// Address for other daemons.
    #[serde(rename = "peer")]
    pub peer_address: SocketAddr,
    /// Address for operators.
    #[serde(rename = "operator")]
    pub operator_address: SocketAddr,
    /// Whether the daemon should receive callers' requests.
    pub phase: DaemonPhase,
}

/// The registered daemons, by identity.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Register {
    /// Registered daemons in ascending order of identity.
    pub daemons: Vec<RegisteredDaemon>,
    /// Processes that ended without leaving and were replaced at their address.
    /// Their requests may still run at endpoints, so they keep their shares of
    /// replicas until [`Self::release_vanished`].
    #[serde(default)]
    pub vanished: Vec<MemberId>,
}

impl Register {
    /// Returns the daemon with this identity.
    #[must_use]
    pub fn get(&self, id: MemberId) -> Option<&RegisteredDaemon> {
        let found = self.daemons.binary_search_by_key(&id, |d| d.id).ok()?;
        self.daemons.get(found)
    }

    /// Adds a daemon or replaces its record.
    ///
    /// A record with the same caller address belongs to an earlier process on
    /// the same VM. That process cannot run any more, but its requests can, so
    /// it becomes a vanished one.
    pub fn insert(&mut self, daemon: RegisteredDaemon) {
        let earlier = self
            .daemons
            .iter()
            .filter(|d| d.id != daemon.id && d.caller_address == daemon.caller_address);
        self.vanished.extend(earlier.map(|d| d.id));
        self.daemons
            .retain(|d| d.id != daemon.id && d.caller_address != daemon.caller_address);
        let at = self.daemons.partition_point(|d| d.id < daemon.id);
        self.daemons.insert(at, daemon);
    }

    /// Removes a daemon that has left or is long dead; returns whether it was
    /// registered.
    pub fn remove(&mut self, id: MemberId) -> bool {
        let before = self.daemons.len();
        self.daemons.retain(|d| d.id != id);
        self.daemons.len() != before
    }

    /// Frees the shares of a vanished process once its requests have ended.
    pub fn release_vanished(&mut self, id: MemberId) {
        self.vanished.retain(|v| *v != id);
    }

    /// Returns the daemons that have shares of replicas, including vanished
    /// ones.
    pub fn share_holders(&self) -> impl Iterator<Item = MemberId> {
        let daemons = self.daemons.iter().map(|d| d.id);
        daemons.chain(self.vanished.iter().copied())
    }

    /// Returns the daemons that have shares of a replica, ordered by rank.
    #[must_use]
    pub fn ranked_share_holders(&self, replica: &str) -> Vec<MemberId> {
        ranked(self.share_holders().collect(), replica)
    }

    /// Returns the daemons ordered by their rank for `subject`.
    #[must_use]
    pub fn ranked(&self, subject: &str) -> Vec<MemberId> {
        ranked(self.daemons.iter().map(|d| d.id).collect(), subject)
    }

    /// Returns the committee of at most `size` daemons, whose majority decides
    /// freshness.
    #[must_use]
    pub fn committee(&self, size: usize) -> Vec<MemberId> {
        let mut ranked = self.ranked("committee");
        ranked.truncate(size);
        ranked
    }
}

/// Orders members by rendezvous hashing.
fn ranked(mut members: Vec<MemberId>, subject: &str) -> Vec<MemberId> {
    members.sort_by_cached_key(|id| stable_hash([subject.as_bytes(), &id.get().to_be_bytes()[..]]));
    members
}
