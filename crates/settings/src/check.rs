use super::*;

/// Settings that can tell whether their values make sense.
pub trait Check {
    /// Adds a fault for each value that is out of range or contradicts another one.
    fn check(&self, faults: &mut Faults);

    /// Paths of fields whose keys are data, such as maps by id and enums with content. Their keys
    /// are not compared with those of the default. A map that is empty by default needs no entry.
    fn free_form_fields() -> &'static [&'static str] {
        &[]
    }
}
