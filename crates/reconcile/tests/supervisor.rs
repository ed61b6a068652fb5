//! Guards against an instance that continues to run without its control component after one
//! unexpected error.

use {reconcile::supervise, std::time::Duration};

#[test]
fn component_that_panics_is_restarted_until_it_returns() {
    let mut count = 0;
    let result = supervise("test", Duration::ZERO, || {
        count += 1;
        assert!(count >= 3, "simulated failure");
        count
    });
    assert_eq!(result, 3);
}
