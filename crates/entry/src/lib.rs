//! The entry instance: callers' and operators' interface, control thread and traffic threads.
