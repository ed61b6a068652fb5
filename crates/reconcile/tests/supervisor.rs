//! Guards against an instance that goes on without its control after one unexpected error.

use {reconcile::supervise, std::time::Duration};

#[test]
fn part_that_panics_runs_again_until_it_ends() {
    let mut count = 0;
    let result = supervise("test", Duration::ZERO, || {
        count += 1;
        assert!(count >= 3, "unexpected");
        count
    });
    assert_eq!(result, 3);
}
