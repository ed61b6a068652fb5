//! Small stand-ins for the platform, engines and services, for tests and the demo.
