//! What the daemon knows of the shared objects, ready for reading.

use std::collections::{HashMap, HashSet};

use bulrushhoist_core::{
    Allocation, DataCentreService, Deployment, Envelope, Group, Manifest, MemberId, ObjectCache,
    ObjectKey, Problems, Register, ReplicaKey, Revision, SourceFile, VmName, check_files,
};

use crate::node::replica_key;

/// Daemons that probe each group for all. Two, so that a group stays in use
/// when one of them stops.
const PROBERS: usize = 2;

/// One consistent picture of the shared objects.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// Generation of the configuration in force.
    pub(crate) generation: Revision,
    pub(crate) deployment: Deployment,
    pub(crate) service: DataCentreService,
    pub(crate) register: Register,
    /// Revision of the register by which limits are divided.
    pub(crate) shares_by: Revision,
    pub(crate) allocations: Vec<Allocation>,
    /// Place of each VM's group: its allocation and its index there.
    places: HashMap<VmName, Place>,
    /// Place of each group.
    groups: HashMap<ReplicaKey, Place>,
    /// Groups that this daemon probes for all.
    probed: HashSet<ReplicaKey>,
}

/// Index of an allocation, and of a group in it.
type Place = (usize, usize);

impl View {
    /// Reads the cache. The configuration is taken over from `before` while a
    /// part of the new one is missing.
    pub(crate) fn read(
        cache: &ObjectCache,
        before: &Self,
        own: MemberId,
    ) -> (Self, Result<(), Problems>) {
        let newer = newer_configuration(cache, before.generation);
        let kept = || (before.generation, before.deployment.clone());
        match newer {
            Ok(found) => (Self::with(cache, found.unwrap_or_else(kept), own), Ok(())),
            Err(problems) => (Self::with(cache, kept(), own), Err(problems)),
        }
    }

    /// Reads everything but the configuration, which is given.
    fn with(
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
        let (shares_by, register) = cache
            .read::<Register>(&ObjectKey::register())
            .map(|s| (s.revision, s.body))
            .unwrap_or_default();
        let places = places(&allocations);
        let mut view = Self {
            generation,
            deployment,
            service,
            register,
            shares_by,
            allocations,
            places,
            ..Self::default()
        };
        view.index_groups(own);
        view
    }

    fn index_groups(&mut self, own: MemberId) {
        for (at, allocation) in self.allocations.iter().enumerate() {
            for (index, group) in allocation.groups.iter().enumerate() {
                let key = replica_key(allocation, group);
                let ranked = self.register.ranked(&format!("prober/{key}"));
                if ranked.iter().take(PROBERS).any(|id| *id == own) {
                    self.probed.insert(key.clone());
                }
                self.groups.insert(key, (at, index));
            }
        }
    }

    /// Returns whether this daemon probes a group for all.
    pub(crate) fn is_probed(&self, key: &ReplicaKey) -> bool {
        self.probed.contains(key)
    }

    /// Returns a group with its allocation.
    pub(crate) fn group(&self, key: &ReplicaKey) -> Option<(&Allocation, &Group)> {
        let (at, index) = *self.groups.get(key)?;
        let allocation = self.allocations.get(at)?;
        Some((allocation, allocation.groups.get(index)?))
    }

    /// Returns the group that a VM belongs to.
    pub(crate) fn group_of(&self, vm: &VmName) -> Option<(&Allocation, &Group)> {
        let (at, index) = *self.places.get(vm)?;
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

fn places(allocations: &[Allocation]) -> HashMap<VmName, Place> {
    let mut places = HashMap::new();
    for (at, allocation) in allocations.iter().enumerate() {
        for (index, group) in allocation.groups.iter().enumerate() {
            places.extend(group.members.iter().map(|m| (m.vm.clone(), (at, index))));
        }
    }
    places
}

/// Returns the keys of the parts that a manifest names.
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

/// Returns the accepted configuration if it is newer and here whole.
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
