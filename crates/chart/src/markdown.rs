use super::*;

/// Renders a chart as a Markdown section with a Mermaid state diagram and a table.
#[must_use]
pub fn render_markdown(source: &ChartSource) -> String {
    let mut text = format!("## {}\n\n{}\n\n", source.name, source.description);
    text.push_str("```mermaid\nstateDiagram-v2\n");
    text.push_str(&format!("  [*] --> {}\n", source.initial));
    for (name, state) in &source.states {
        for (event, transition) in &state.on {
            text.push_str(&format!("  {name} --> {}: {event}\n", transition.to));
        }
    }
    text.push_str("```\n\n| state | holds | event | actions | next |\n|---|---|---|---|---|\n");
    for (name, state) in &source.states {
        if state.on.is_empty() {
            text.push_str(&format!("| {name} | {} | | | |\n", state.description));
        }
        for (event, transition) in &state.on {
            let actions = transition.actions.join(", ");
            text.push_str(&format!(
                "| {name} | {} | {event} | {actions} | {} |\n",
                state.description, transition.to
            ));
        }
    }
    text.push('\n');
    text
}
