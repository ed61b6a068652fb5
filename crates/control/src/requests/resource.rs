use super::*;

/// What a request needs from a target. Requests for the same resource share queues.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Resource {
    /// Generation with this model.
    Model(ModelId),
    /// Call of a service operation.
    Operation {
        /// Name of the operation.
        operation: Arc<str>,
        /// Service that offers it.
        service: ServiceId,
    },
}

impl Resource {
    /// Layer ranges of this resource that a target can run, each with the layer count of the whole
    /// model. A service operation counts as one layer.
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
