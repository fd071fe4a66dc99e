//! Environment document: types, validation, findings, digest, diff and JSON Schema.

mod check;
mod finding;
mod model;
mod schema;

pub use finding::Finding;
pub use finding::Findings;
pub use finding::Problem;
pub use model::Document;
pub use model::Fencing;
pub use model::Group;
pub use model::Label;
pub use model::Method;
pub use model::OnOutage;
pub use model::Organisation;
pub use model::Price;
pub use model::Role;
pub use model::Route;
pub use model::Service;
pub use model::ServiceKind;
pub use model::TokenDigest;
pub use model::ZoneEntry;

/// Returns the JSON Schema of the document, as committed in `docs/document.schema.json`.
pub fn render_schema() -> String {
    let mut text = serde_json::to_string_pretty(&schema::build_schema()).unwrap_or_default();
    text.push('\n');
    text
}

/// Returns a unified diff of two documents, empty if they are equal.
pub fn diff_texts(old: &str, new: &str) -> String {
    similar::TextDiff::from_lines(old, new)
        .unified_diff()
        .context_radius(3)
        .to_string()
}
