//! Markdown rendering of the result code table.

use std::fmt::Write as _;

use crate::ResultCode;

/// Renders the contents of `docs/RESULT-CODES.md`.
#[must_use]
pub fn markdown_table() -> String {
    let mut page = String::from(
        "# Result codes\n\n\
         Generated from `crates/bendhinge_codes/src/code.rs` by `bendhinge codes`; CI compares the two.\n\n\
         | Code | HTTP | Was it run? | Retry invited | What it means | What to do |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    for code in ResultCode::ALL {
        write_row(&mut page, *code);
    }
    page
}

fn write_row(page: &mut String, code: ResultCode) {
    let http = match code.http_status() {
        0 => "-".to_owned(),
        status => status.to_string(),
    };
    let ran = code.ran().map_or("-", crate::Ran::as_str);
    let retry = if code.invites_retry() { "yes" } else { "no" };
    let (means, action) = (code.means(), code.action());
    // Writing to a String cannot fail.
    let _ = writeln!(page, "| {code} | {http} | {ran} | {retry} | {means} | {action} |");
}
