use super::*;

/// Rendezvous hash of an instance for a key. The live instance with the highest weight owns the
/// key.
pub(crate) fn weight(key: &str, instance: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(instance.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Ranks the instances that may poll a target: those of its failure domain first, then by weight.
pub(crate) fn rank_collectors<'a>(
    target: &Target,
    candidates: impl Iterator<Item = (&'a InstanceId, &'a FailureDomain)>,
) -> Vec<&'a InstanceId> {
    let mut ranked: Vec<_> = candidates
        .map(|(instance, domain)| {
            let is_same_domain = *domain == target.failure_domain;
            (is_same_domain, weight(&target.id, instance), instance)
        })
        .collect();
    ranked.sort_unstable();
    ranked
        .into_iter()
        .rev()
        .map(|(_, _, instance)| instance)
        .collect()
}
