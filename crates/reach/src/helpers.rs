use super::*;

/// Time for which an instance that could not help is not asked again.
const AVOIDANCE_TIME: Duration = Duration::from_secs(2);

/// Instances through which this one reaches targets while it is cut off from them.
#[derive(Clone, Debug, Default)]
pub struct Helpers {
    /// Instances that could not help, and until when they are not asked.
    avoided: HashMap<InstanceId, Duration>,
}

impl Helpers {
    /// Chooses one of the instances, at random so that their load is equal. None if all are avoided.
    pub fn choose<'a>(
        &mut self,
        now: Duration,
        instances: &'a [InstanceId],
        rng: &mut impl Rng,
    ) -> Option<&'a InstanceId> {
        self.avoided.retain(|_, until| now < *until);
        let mut usable = Vec::with_capacity(instances.len());
        for instance in instances {
            if !self.avoided.contains_key(instance) {
                usable.push(instance);
            }
        }
        usable.choose(rng).copied()
    }

    /// Records that an instance did not answer or is cut off itself.
    pub fn record_failure(&mut self, now: Duration, instance: InstanceId) {
        self.avoided.insert(instance, now + AVOIDANCE_TIME);
    }
}
