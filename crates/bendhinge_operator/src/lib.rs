//! Library target without items; the package provides the `bendhinge` binary.
