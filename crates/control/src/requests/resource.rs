use super::*;

/// What a request needs a target for. Requests for one resource share a queue.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Resource {
    /// Generation by a model.
    Model(ModelId),
    /// Operation of a service.
    Operation {
        /// Operation.
        operation: Arc<str>,
        /// Service.
        service: ServiceId,
    },
}

impl Resource {
    /// Layer ranges of this resource that a target can run, each with the layers of the whole. A
    /// service runs its operations as one layer.
    #[must_use]
    pub fn layer_ranges(&self, target: &Target) -> Vec<(LayerRange, u32)> {
        let mut ranges = Vec::new();
        match (self, &target.role) {
            (Self::Model(model), ListingRole::Engine { .. }) => {
                for loaded in &target.report.models {
                    if loaded.model == *model && loaded.layers.start < loaded.layers.end {
                        ranges.push((loaded.layers, loaded.layer_count));
                    }
                }
            }
            (
                Self::Operation { operation, service },
                ListingRole::Service {
                    operations,
                    service: offered,
                },
            ) => {
                let has_operation = operations.iter().any(|entry| entry.name == *operation);
                if offered == service && has_operation {
                    ranges.push((LayerRange { start: 0, end: 1 }, 1));
                }
            }
            _ => {}
        }
        ranges
    }
}
