//! Shares and refusals.
