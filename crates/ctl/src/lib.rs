//! Operator's command-line client.
