//! The bench of the decisions in virtual time.
