use {
    super::*,
    std::panic::{AssertUnwindSafe, catch_unwind},
};

/// Runs a part of an instance that must not end, and runs it again after `pause` when it panics, so that
/// one message or answer that nobody expected does not leave the instance without that part. Returns
/// when it ends by itself.
///
/// What it shares with other parts must be sound after a panic, as data behind locks that are taken for
/// single changes is.
pub fn supervise<T>(name: &str, pause: Duration, mut run: impl FnMut() -> T) -> T {
    loop {
        let panic = match catch_unwind(AssertUnwindSafe(&mut run)) {
            Err(panic) => panic,
            Ok(result) => return result,
        };
        let text = panic.downcast_ref::<&str>().copied();
        let text = text.or(panic.downcast_ref::<String>().map(String::as_str));
        let message = text.unwrap_or("no message");
        tracing::error!(
            part = name,
            message,
            "a part of the instance failed, starts anew"
        );
        std::thread::sleep(pause);
    }
}
