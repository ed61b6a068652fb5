//! Targets for tests of lists.

use fleet::Target;

/// Ready target of a plain service.
pub fn target(id: &str) -> Target {
    Target {
        address: ([10, 0, 0, 2], 80).into(),
        domain: "a".into(),
        hardware: None,
        held: None,
        id: id.into(),
        is_leaving: false,
        service: "s".into(),
        slot_count: 1,
    }
}
