//! Settings of the memory for buffers.

use bendhinge_codes::ResultCode;
use bendhinge_ini::Section;

use super::SettingsReader;
use super::values::BufferShare;

/// Memory for buffers.
#[derive(Clone, Copy, Debug)]
pub struct MemorySettings {
    /// The maximum size of all buffers together, in bytes.
    pub max_buffer_bytes: usize,
}

impl SettingsReader<'_> {
    pub(super) fn memory(&self, section: &Section) -> Option<MemorySettings> {
        const BYTES_PER_MEGABYTE: f64 = 1_000_000.0;
        /// With less, a few requests use up the memory.
        const MIN_BUFFER_BYTES: f64 = 1_000_000.0;
        let limit = self.0.positive_number(section, "limit_mb");
        let share = self.0.value::<BufferShare>(section, "buffer_share");
        let max_buffer_bytes = limit? * BYTES_PER_MEGABYTE * share?.0;
        if max_buffer_bytes < MIN_BUFFER_BYTES {
            let message = format!(
                "'limit_mb' times 'buffer_share' gives {max_buffer_bytes:.0} bytes for buffers, less than {MIN_BUFFER_BYTES}"
            );
            self.0.add_fault_at(section, "limit_mb", ResultCode::InvalidValue, message);
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive number; larger ones than the address space saturate"
        )]
        Some(MemorySettings { max_buffer_bytes: max_buffer_bytes as usize })
    }
}
