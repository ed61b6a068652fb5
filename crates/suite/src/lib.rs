//! End-to-end and failure tests over real processes.
