//! The view: an immutable snapshot of the shared objects, parsed and indexed.

use std::collections::{HashMap, HashSet};

use bulrushhoist_core::{
    Allocation, DataCentreService, Deployment, Envelope, Group, Manifest, MemberId, ObjectCache,
    ObjectKey, Problems, Register, ReplicaKey, Revision, SourceFile, VmName, check_files,
};

use crate::node::replica_key;

/// Number of daemons that probe each group on behalf of all; with two, a group stays
/// in use when one of them stops.
const PROBERS_PER_GROUP: usize = 2;

/// A consistent snapshot of the shared objects.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// Generation of the configuration in force.
    pub(crate) generation: Revision,
    pub(crate) deployment: Deployment,
    pub(crate) service: DataCentreService,
    pub(crate) register: Register,
    /// Revision of `register`, by which replicas' limits are divided.
    pub(crate) register_revision: Revision,
    pub(crate) allocations: Vec<Allocation>,
    /// Index of the group that each VM belongs to.
    groups_by_vm: HashMap<VmName, GroupIndex>,
    /// Index of each group.
    groups_by_key: HashMap<ReplicaKey, GroupIndex>,
    /// Groups that this daemon probes on behalf of all.
    probed_groups: HashSet<ReplicaKey>,
}

/// Index of an allocation in `View::allocations`, and of a group in it.
type GroupIndex = (usize, usize);

impl View {
    /// Builds the view of the cached objects.
    ///
    /// The configuration of `before` stays in force while a part of a newer one is
    /// missing, or if the newer one fails its check, whose problems are returned.
    pub(crate) fn read(
        cache: &ObjectCache,
        before: &Self,
        own: MemberId,
    ) -> (Self, Result<(), Problems>) {
        let newer = newer_configuration(cache, before.generation);
        let kept = || (before.generation, before.deployment.clone());
        match newer {
            Ok(found) => (
                Self::with_configuration(cache, found.unwrap_or_else(kept), own),
                Ok(()),
            ),
            Err(problems) => (Self::with_configuration(cache, kept(), own), Err(problems)),
        }
    }

    /// Builds the view with a given configuration and everything else from the cache.
    fn with_configuration(
        cache: &ObjectCache,
        (generation, deployment): (Revision, Deployment),
        own: MemberId,
    ) -> Self {
        let allocations: Vec<Allocation> = deployment
            .data_centres
            .keys()
            .filter_map(|dc| cache.read::<Allocation>(&ObjectKey::allocation(dc)))
            .map(|envelope| envelope.body)
            .collect();
        let service = cache
            .read(&ObjectKey::service())
            .map(|s| s.body)
            .unwrap_or_default();
        let (register_revision, register) = cache
            .read::<Register>(&ObjectKey::register())
            .map(|s| (s.revision, s.body))
            .unwrap_or_default();
        let groups_by_vm = index_by_vm(&allocations);
        let mut view = Self {
            generation,
            deployment,
            service,
            register,
            register_revision,
            allocations,
            groups_by_vm,
            ..Self::default()
        };
        view.index_groups(own);
        view
    }

    /// Indexes the groups and determines which ones this daemon probes.
    fn index_groups(&mut self, own: MemberId) {
        for (at, allocation) in self.allocations.iter().enumerate() {
            for (index, group) in allocation.groups.iter().enumerate() {
                let key = replica_key(allocation, group);
                let ranked = self.register.ranked(&format!("prober/{key}"));
                if ranked.iter().take(PROBERS_PER_GROUP).any(|id| *id == own) {
                    self.probed_groups.insert(key.clone());
                }
                self.groups_by_key.insert(key, (at, index));
            }
        }
    }

    /// Returns whether this daemon probes a group on behalf of all.
    pub(crate) fn is_probed(&self, key: &ReplicaKey) -> bool {
        self.probed_groups.contains(key)
    }

    /// Returns the group with a key, and its allocation.
    pub(crate) fn group(&self, key: &ReplicaKey) -> Option<(&Allocation, &Group)> {
        let (at, index) = *self.groups_by_key.get(key)?;
        let allocation = self.allocations.get(at)?;
        Some((allocation, allocation.groups.get(index)?))
    }

    /// Returns the group that a VM belongs to, and its allocation.
    pub(crate) fn group_of(&self, vm: &VmName) -> Option<(&Allocation, &Group)> {
        let (at, index) = *self.groups_by_vm.get(vm)?;
        let allocation = self.allocations.get(at)?;
        Some((allocation, allocation.groups.get(index)?))
    }

    /// Returns every group with its allocation.
    pub(crate) fn groups(&self) -> impl Iterator<Item = (&Allocation, &Group)> {
        self.allocations
            .iter()
            .flat_map(|a| a.groups.iter().map(move |g| (a, g)))
    }
}

/// Maps each VM to the index of its group.
fn index_by_vm(allocations: &[Allocation]) -> HashMap<VmName, GroupIndex> {
    let mut groups_by_vm = HashMap::new();
    for (at, allocation) in allocations.iter().enumerate() {
        for (index, group) in allocation.groups.iter().enumerate() {
            groups_by_vm.extend(group.members.iter().map(|m| (m.vm.clone(), (at, index))));
        }
    }
    groups_by_vm
}

/// Returns the keys of the parts that a manifest lists.
pub(crate) fn part_keys(manifest: &Manifest) -> impl Iterator<Item = ObjectKey> {
    manifest
        .parts
        .values()
        .map(|digest| ObjectKey::config_file(digest))
}

/// Returns whether the cache holds every part of a stored manifest.
pub(crate) fn has_parts(cache: &ObjectCache, manifest: &str) -> bool {
    let Ok(envelope) = serde_json::from_str::<Envelope<Manifest>>(manifest) else {
        return false;
    };
    part_keys(&envelope.body).all(|key| cache.get(&key).is_some())
}

/// Returns the stored configuration if it is newer than `held` and all its parts are
/// cached.
fn newer_configuration(
    cache: &ObjectCache,
    held: Revision,
) -> Result<Option<(Revision, Deployment)>, Problems> {
    let manifest = cache.read::<Manifest>(&ObjectKey::manifest());
    let Some(newer) = manifest.filter(|m| m.revision > held) else {
        return Ok(None);
    };
    let Some(files) = read_files(cache, &newer.body) else {
        return Ok(None);
    };
    Ok(Some((newer.revision, check_files(&files)?)))
}

/// Reads the files of a manifest; returns `None` if a part is missing.
fn read_files(cache: &ObjectCache, manifest: &Manifest) -> Option<Vec<SourceFile>> {
    let file = |(name, digest): (&String, &String)| {
        let text = cache.read::<String>(&ObjectKey::config_file(digest))?.body;
        Some(SourceFile {
            name: name.clone(),
            text,
        })
    };
    manifest.parts.iter().map(file).collect()
}
