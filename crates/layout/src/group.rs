use super::*;

/// Engines that together hold the whole model, so that requests need not leave the group.
#[derive(Clone, Debug)]
pub(crate) struct Group<'a> {
    pub(crate) engines: Vec<&'a Engine>,
    /// Tokens for which each engine reserves memory.
    pub(crate) reserved_tokens: f64,
}

impl Group<'_> {
    /// Number of layers that the engines can hold if each reserves memory for `tokens` tokens.
    fn total_capacity(&self, shape: &ModelShape, tokens: f64) -> u32 {
        let capacities = self.engines.iter();
        capacities
            .map(|engine| engine.max_layers(shape, tokens))
            .sum()
    }

    /// Sets `reserved_tokens` to the largest amount, up to the setting, with which the group can hold the
    /// whole model. Returns false if it cannot even with the minimum.
    pub(crate) fn reserve_memory(&mut self, shape: &ModelShape, settings: &LayoutSettings) -> bool {
        let (mut low, mut high) = (settings.min_reserved_tokens, settings.reserved_tokens);
        if self.total_capacity(shape, low) < shape.layer_count {
            return false;
        }
        if self.total_capacity(shape, high) >= shape.layer_count {
            low = high;
        }
        // Sixteen bisections find the amount to within two tokens.
        for _ in 0..16 {
            let middle = f64::midpoint(low, high);
            if self.total_capacity(shape, middle) >= shape.layer_count {
                low = middle;
            } else {
                high = middle;
            }
        }
        self.reserved_tokens = low;
        true
    }
}

/// Divides engines into groups: one for each failure domain that can hold the model, and one for all
/// others. If the others cannot hold it together, they join the last group.
pub(crate) fn groups<'a>(
    engines: &'a [Engine],
    shape: &ModelShape,
    settings: &LayoutSettings,
) -> Vec<Group<'a>> {
    let mut domains: BTreeMap<&str, Vec<&Engine>> = BTreeMap::new();
    for engine in engines {
        domains.entry(&engine.domain).or_default().push(engine);
    }
    let mut groups = Vec::new();
    let mut remainder = Group {
        engines: Vec::new(),
        reserved_tokens: settings.min_reserved_tokens,
    };
    for engines in domains.into_values() {
        let mut group = Group {
            engines,
            reserved_tokens: settings.min_reserved_tokens,
        };
        if group.reserve_memory(shape, settings) {
            groups.push(group);
        } else {
            remainder.engines.append(&mut group.engines);
        }
    }
    if remainder.engines.is_empty() {
        return groups;
    }
    if remainder.reserve_memory(shape, settings) || groups.is_empty() {
        groups.push(remainder);
    } else if let Some(group) = groups.last_mut() {
        group.engines.append(&mut remainder.engines);
    }
    groups
}
