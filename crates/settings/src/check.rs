use super::*;

/// Validation of settings.
pub trait Check {
    /// Adds a fault for each value that is out of range or contradicts another value.
    fn check(&self, faults: &mut Faults);

    /// Returns the paths of fields whose keys are data, such as maps by id and enums with content.
    /// Their keys are not compared with those of the default. A map that is empty by default need
    /// not be listed.
    fn free_form_fields() -> &'static [&'static str] {
        &[]
    }
}
