use {
    super::*,
    std::panic::{AssertUnwindSafe, catch_unwind},
};

/// Runs a component that must not stop, and restarts it after `pause` when it panics, so that one
/// unexpected message or answer does not leave the instance without the component. Returns when the
/// component returns.
///
/// State that the component shares with others must remain consistent after a panic. This holds for
/// data behind locks that are held for a single change at a time.
pub fn supervise<T>(name: &str, pause: Duration, mut run: impl FnMut() -> T) -> T {
    loop {
        let panic = match catch_unwind(AssertUnwindSafe(&mut run)) {
            Err(panic) => panic,
            Ok(result) => return result,
        };
        let text = panic.downcast_ref::<&str>().copied();
        let text = text.or(panic.downcast_ref::<String>().map(String::as_str));
        let message = text.unwrap_or("no message");
        tracing::error!(part = name, message, "component panicked, restarting");
        std::thread::sleep(pause);
    }
}
