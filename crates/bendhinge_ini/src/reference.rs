//! Generation of reference pages from schemas.

use std::fmt::Write as _;

use crate::schema::Schema;

/// Renders the reference page of a schema as Markdown.
#[must_use]
pub fn markdown_reference(schema: &Schema) -> String {
    let mut page = format!("## {}\n", schema.title);
    for section in schema.sections {
        let name = if section.named { ".NAME" } else { "" };
        // Writing to a String cannot fail.
        let _ = write!(page, "\n### `[{}{name}]`\n\n{}\n\n", section.kind, section.help);
        page.push_str("| Key | Form | Default | What it sets |\n| --- | --- | --- | --- |\n");
        for key in section.keys {
            let default = match key.default {
                None => "required".to_owned(),
                Some("") => "none".to_owned(),
                Some(text) => format!("`{text}`"),
            };
            let _ = writeln!(page, "| `{}` | {} | {default} | {} |", key.name, key.form, key.help);
        }
    }
    page
}
