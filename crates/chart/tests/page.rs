//! Guards against a page of state charts that differs from the charts the code interprets.

use {
    chart::{ChartSource, render_markdown},
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

const HEAD: &str = "# State charts

Drawn from the files in `charts`, which the code interprets. Redraw this page after a change with
`REDRAW=1 cargo test -p chart --test page`.

";

fn page() -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../charts");
    let mut files: Vec<PathBuf> = Vec::new();
    for entry in fs::read_dir(folder).into_iter().flatten() {
        files.push(entry.expect("a readable folder").path());
    }
    files.sort();
    let mut page = HEAD.to_owned();
    for file in files {
        let text = fs::read_to_string(&file).expect("a readable chart");
        let source = ChartSource::parse(&text).expect("a chart");
        page.push_str(&render_markdown(&source));
    }
    page.trim_end().to_owned() + "\n"
}

#[test]
fn page_matches_the_charts() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/charts.md");
    let page = page();
    if std::env::var_os("REDRAW").is_some() {
        fs::write(&file, &page).unwrap();
    }
    let current = fs::read_to_string(&file).unwrap_or_default();
    let remedy = "run `REDRAW=1 cargo test -p chart --test page`";
    assert!(current == page, "docs/charts.md is out of date; {remedy}");
}
