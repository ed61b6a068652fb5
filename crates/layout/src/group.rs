use super::*;

/// Engines that serve whole requests among themselves.
#[derive(Clone, Debug)]
pub(crate) struct Group<'a> {
    pub(crate) engines: Vec<&'a Engine>,
    /// Tokens for which each stage keeps memory.
    pub(crate) reserved_tokens: f64,
}

impl Group<'_> {
    fn total_capacity(&self, shape: &ModelShape, tokens: f64) -> u32 {
        let capacities = self.engines.iter();
        capacities
            .map(|engine| engine.max_layers(shape, tokens))
            .sum()
    }

    /// Keeps as much memory as leaves room for each layer, and at most the wished amount.
    fn reserve_memory(&mut self, shape: &ModelShape, settings: &LayoutSettings) -> bool {
        let (mut low, mut high) = (settings.min_reserved_tokens, settings.reserved_tokens);
        if self.total_capacity(shape, low) < shape.layer_count {
            return false;
        }
        if self.total_capacity(shape, high) >= shape.layer_count {
            low = high;
        }
        // Sixteen halvings find the amount to within two tokens.
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

/// Divides engines into groups: one for each domain that can hold the model, and one for the rest.
/// Where the rest cannot hold it, it joins the group of the last domain that can.
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
