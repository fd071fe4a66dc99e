//! Prints the JSON Schema; its output is committed as `docs/document.schema.json`.

fn main() {
    print!("{}", siskinbend_document::render_schema());
}
