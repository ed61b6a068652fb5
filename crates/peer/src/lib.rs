//! Messages between entry instances over tarpc.
