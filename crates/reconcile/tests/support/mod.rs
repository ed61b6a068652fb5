//! Targets and instances for tests.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    fleet::Target,
    reconcile::InstanceRow,
    std::hash::{DefaultHasher, Hash, Hasher},
};

/// Target of a service without layers that has one slot and is not leaving.
pub fn target(id: &str) -> Target {
    Target {
        address: ([10, 0, 0, 2], 80).into(),
        domain: "a".into(),
        hardware: None,
        held: None,
        id: id.into(),
        is_leaving: false,
        service: "s".into(),
        incarnation: 0,
        slot_count: 1,
    }
}

/// Instance whose addresses are derived from a hash of its id.
pub fn row(id: &str, domain: &str, capacity: u32) -> InstanceRow {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    let octets = hasher.finish().to_le_bytes();
    let relay_address = ([10, octets[0], octets[1], octets[2]], 9_000).into();
    InstanceRow {
        address: ([10, octets[0], octets[1], octets[2]], 8_000).into(),
        capacity,
        domain: domain.into(),
        id: id.into(),
        relay_address,
        start: format!("{id}.1").into(),
    }
}
