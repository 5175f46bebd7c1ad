//! What the daemon knows of the shared objects, ready for reading.

use std::collections::HashMap;

use bulrushhoist_core::{
    Allocation, DataCentreService, Deployment, Group, Manifest, ObjectCache, ObjectKey, Problems,
    Register, Revision, SourceFile, Stamped, VmName, check_files,
};

/// One consistent picture of the shared objects.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// Generation of the configuration in force.
    pub(crate) generation: Revision,
    pub(crate) deployment: Deployment,
    pub(crate) service: DataCentreService,
    pub(crate) register: Register,
    pub(crate) allocations: Vec<Allocation>,
    /// Place of each VM's group: its allocation and its index there.
    places: HashMap<VmName, (usize, usize)>,
}

impl View {
    /// Reads the cache. The configuration is taken over from `before` while a
    /// part of the new one is missing.
    pub(crate) fn read(cache: &ObjectCache, before: &Self) -> Result<Self, Problems> {
        let manifest = cache.read::<Manifest>(&ObjectKey::manifest());
        let newer = manifest.filter(|m| m.revision > before.generation);
        let (generation, deployment) = match newer.map(|m| (m.revision, m.body)) {
            Some((revision, manifest)) => match read_files(cache, &manifest) {
                Some(files) => (revision, check_files(&files)?),
                None => (before.generation, before.deployment.clone()),
            },
            None => (before.generation, before.deployment.clone()),
        };
        let allocations: Vec<Allocation> = deployment
            .data_centres
            .keys()
            .filter_map(|dc| cache.read::<Allocation>(&ObjectKey::allocation(dc)))
            .map(|stamped| stamped.body)
            .collect();
        let service = cache
            .read(&ObjectKey::service())
            .map(|s| s.body)
            .unwrap_or_default();
        let register = cache
            .read(&ObjectKey::register())
            .map(|s| s.body)
            .unwrap_or_default();
        let places = places(&allocations);
        Ok(Self {
            generation,
            deployment,
            service,
            register,
            allocations,
            places,
        })
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

fn places(allocations: &[Allocation]) -> HashMap<VmName, (usize, usize)> {
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
        .map(|digest| ObjectKey::part(digest))
}

/// Returns whether the cache holds every part of a stored manifest.
pub(crate) fn has_parts(cache: &ObjectCache, manifest: &str) -> bool {
    let Ok(stamped) = serde_json::from_str::<Stamped<Manifest>>(manifest) else {
        return false;
    };
    part_keys(&stamped.body).all(|key| cache.get(&key).is_some())
}

fn read_files(cache: &ObjectCache, manifest: &Manifest) -> Option<Vec<SourceFile>> {
    let file = |(name, digest): (&String, &String)| {
        let text = cache.read::<String>(&ObjectKey::part(digest))?.body;
        Some(SourceFile {
            name: name.clone(),
            text,
        })
    };
    manifest.parts.iter().map(file).collect()
}
