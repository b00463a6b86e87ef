//! `bendhinge seal-first`: seals the initial configuration of a fleet.

use std::path::Path;

use bendhinge_configuration::{SealKey, parse, parse_document};

use super::CommandError;
use crate::router::{read_file, read_key};

pub(crate) fn run(seal_key_file: &Path, file: &Path) -> Result<(), CommandError> {
    let text = read_file(file)?;
    let name = file.display().to_string();
    parse(&name, &text)?;
    let key = SealKey::new(&read_key(seal_key_file)?);
    print!("{}", key.seal(parse_document(&name, &text)));
    Ok(())
}
