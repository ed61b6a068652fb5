use super::*;

/// Engines that serve whole requests among themselves.
#[derive(Clone, Debug)]
pub(crate) struct Group<'a> {
    pub(crate) engines: Vec<&'a Engine>,
    /// Tokens for which each stage keeps memory.
    pub(crate) kept_tokens: f64,
}

impl Group<'_> {
    fn layer_count(&self, shape: &ModelShape, tokens: f64) -> u32 {
        let capacities = self.engines.iter();
        capacities
            .map(|engine| engine.capacity(shape, tokens))
            .sum()
    }

    /// Keeps as much memory as leaves room for each layer, and at most the wished amount.
    fn fit(&mut self, shape: &ModelShape, settings: &LayoutSettings) -> bool {
        let (mut low, mut high) = (settings.least_kept_tokens, settings.kept_tokens);
        if self.layer_count(shape, low) < shape.layer_count {
            return false;
        }
        if self.layer_count(shape, high) >= shape.layer_count {
            low = high;
        }
        // Sixteen halvings find the amount to within two tokens.
        for _ in 0..16 {
            let middle = f64::midpoint(low, high);
            if self.layer_count(shape, middle) >= shape.layer_count {
                low = middle;
            } else {
                high = middle;
            }
        }
        self.kept_tokens = low;
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
    let mut rest = Group {
        engines: Vec::new(),
        kept_tokens: settings.least_kept_tokens,
    };
    for engines in domains.into_values() {
        let mut group = Group {
            engines,
            kept_tokens: settings.least_kept_tokens,
        };
        if group.fit(shape, settings) {
            groups.push(group);
        } else {
            rest.engines.append(&mut group.engines);
        }
    }
    if rest.engines.is_empty() {
        return groups;
    }
    if rest.fit(shape, settings) || groups.is_empty() {
        groups.push(rest);
    } else if let Some(group) = groups.last_mut() {
        group.engines.append(&mut rest.engines);
    }
    groups
}
