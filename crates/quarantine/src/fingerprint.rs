use super::*;

/// Hashes several byte strings. Their lengths are hashed too, so that splitting the same bytes at another
/// place gives another fingerprint.
#[must_use]
pub fn fingerprint(parts: &[&[u8]]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    Fingerprint::from_le_bytes(bytes)
}
