use super::*;

const FRACTION_REMEDY: &str = "write a fraction from 0 to 1, such as 0.1";

impl Check for RegistrationSettings {
    fn check(&self, faults: &mut Faults) {
        let is_valid = !self.id.is_empty() && !self.id.contains(['/', '?', '#', ' ']);
        let problem = "cannot be used as a URL path segment";
        let remedy = "write letters, digits and `-`";
        faults.require(is_valid, "id", &self.id, problem, remedy);
        let remedy =
            "refresh more often than the platform's rows expire, for example every 1000 ms";
        faults.require_in_range("refresh_ms", self.refresh_ms, 10..=60_000, remedy);
    }
}

impl Check for PlatformSettings {
    fn check(&self, faults: &mut Faults) {
        faults.check_nested("log", &self.log);
        check_limits(faults, &self.limits);
        let remedy = "write a time longer than the refresh interval of rows, for example 6000";
        faults.require_in_range("expiry_ms", self.expiry_ms, 100..=3_600_000, remedy);
        let fraction = self.faults.lost_reply_fraction;
        faults.require_in_range(
            "faults.lost_reply_fraction",
            fraction,
            0.0..=1.0,
            FRACTION_REMEDY,
        );
    }
}

impl Check for ServiceSettings {
    fn check(&self, faults: &mut Faults) {
        faults.check_nested("log", &self.log);
        faults.check_nested("place", &self.place);
        check_limits(faults, &self.limits);
        let remedy = "allow at least one concurrent call";
        faults.require_in_range("slot_count", self.slot_count, 1..=u32::MAX, remedy);
    }
}

impl Check for EngineSettings {
    fn check(&self, faults: &mut Faults) {
        faults.check_nested("log", &self.log);
        faults.check_nested("place", &self.place);
        check_limits(faults, &self.limits);
        let remedy = "allow at least one concurrent request";
        faults.require_in_range("slot_count", self.slot_count, 1..=4_096, remedy);
        let fraction = self.cache_event_gap_fraction;
        faults.require_in_range(
            "cache_event_gap_fraction",
            fraction,
            0.0..=1.0,
            FRACTION_REMEDY,
        );
        let remedy = "write 1 for no slowdown";
        let factor = self.faults.slow_factor;
        faults.require_in_range("faults.slow_factor", factor, 0.0..=1e6, remedy);
        for (index, model) in self.models.iter().enumerate() {
            let layers = model.layers;
            let is_valid = layers.start < layers.end && layers.end <= model.layer_count;
            faults.require(
                is_valid,
                &format!("models[{index}].layers"),
                format!("{} to {}", layers.start, layers.end),
                "is not a range of the model's layers",
                "write `start` below `end`, and `end` at most `layer_count`",
            );
        }
    }
}

fn check_limits(faults: &mut Faults, limits: &Limits) {
    // hyper panics on a smaller buffer.
    let remedy = "allow at least 8192 bytes";
    faults.require_in_range(
        "limits.head_bytes",
        limits.head_bytes,
        8_192..=usize::MAX,
        remedy,
    );
}

impl BinarySettings for EngineSettings {
    fn log(&self) -> &LogSettings {
        &self.log
    }
}

impl BinarySettings for PlatformSettings {
    fn log(&self) -> &LogSettings {
        &self.log
    }
}

impl BinarySettings for ServiceSettings {
    fn log(&self) -> &LogSettings {
        &self.log
    }
}
