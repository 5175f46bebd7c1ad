//! Division of replicas' limits among the entries.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use smallvec::SmallVec;

use super::{Action, Dispatcher, ReplicaView};
use crate::deployment::Deployment;
use crate::ids::{DataCentreName, MemberId, RequestId};
use crate::limit::{LimitSettings, share_of};
use crate::refusal::Reason;
use crate::register::Register;
use crate::route::{ReplicaKey, ReplicaSpec};
use crate::service::{DataCentreService, ServiceState};

impl Dispatcher {
    /// Builds the router's declaration of a group, or returns `None` if this
    /// entry has no share of it or its workload or data centre is not declared.
    pub(super) fn replica_spec(
        &self,
        deployment: &Deployment,
        service: &DataCentreService,
        register: &Register,
        home: &DataCentreName,
        view: ReplicaView<'_>,
    ) -> Option<ReplicaSpec> {
        let workload = deployment.workloads.get(&view.group.workload)?;
        let data_centre = deployment.data_centres.get(view.data_centre)?;
        let leader = view.group.members.first()?;
        let key = ReplicaKey {
            data_centre: view.data_centre.clone(),
            number: view.group.number,
        };
        let ranked = register.ranked_share_holders(&key.to_string());
        let entries = ranked.len().min(self.settings.max_share_holders);
        let rank = ranked.iter().take(entries).position(|id| *id == self.own)?;
        let one_way_delay = match view.data_centre == home {
            true => Duration::ZERO,
            false => data_centre.one_way_delay,
        };
        Some(ReplicaSpec {
            key,
            workload: workload.name.clone(),
            leader: leader.vm.clone(),
            address: leader.address,
            rank: u32::try_from(rank).ok()?,
            entries: u32::try_from(entries).ok()?,
            in_service: service.state(view.data_centre) == ServiceState::In,
            one_way_delay,
            limits: LimitSettings {
                cold: workload.cold_limit,
                warm: workload.warm_limit,
                ramp: workload.ramp_requests,
                target: workload.first_token,
            },
        })
    }

    /// Returns the entries that share one replica's limit `total`, each with its
    /// share.
    pub fn shares<'a>(
        &self,
        register: &'a Register,
        key: &ReplicaKey,
        total: u32,
    ) -> impl Iterator<Item = (MemberId, u32)> + use<'a> {
        let ranked = register.ranked_share_holders(&key.to_string());
        let entries = ranked.len().min(self.settings.max_share_holders);
        let count = u32::try_from(entries).unwrap_or(u32::MAX);
        let ranked = (0u32..).zip(ranked).take(entries);
        ranked.map(move |(rank, id)| (id, share_of(total, rank, count)))
    }

    /// Takes a request out of the queue because another entry may have a free slot for it.
    ///
    /// Nothing is done if it has started, must not be forwarded or was tried before.
    pub fn release_queued(&mut self, id: RequestId) -> SmallVec<[Action; 2]> {
        let mut actions = SmallVec::new();
        let releasable = |r: &&crate::NewRequest| r.forwardable && r.avoid.is_empty();
        let Some(request) = self.queued.get(&id).filter(releasable) else {
            return actions;
        };
        let workload = request.workload.clone();
        self.queue(&workload).remove(id);
        self.refuse(id, Reason::NoShare, &mut actions);
        actions
    }

    /// Returns the replicas at which this entry has more requests in flight
    /// than its share, as is possible after an entry joined.
    #[must_use]
    pub fn over_share(&self) -> BTreeSet<ReplicaKey> {
        let mut in_flight: HashMap<&ReplicaKey, u32> = HashMap::new();
        for running in self.running.values() {
            *in_flight.entry(&running.replica).or_default() += 1;
        }
        let over_share = in_flight
            .into_iter()
            .filter(|(key, count)| *count > self.router.share(key));
        over_share.map(|(key, _)| key.clone()).collect()
    }
}
