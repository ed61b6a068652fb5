//! Reads and checks JSON settings and reports all faults at once.
