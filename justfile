# Lists the commands.
default:
    @just --list

# Runs everything that CI runs.
ci:
    .ci/run

# Runs the router and its stand-ins on loopback.
demo:
    cargo run

# Formats the sources.
format:
    cargo fmt --all

# Runs the linter.
lint:
    cargo clippy --workspace --all-targets -- -D warnings

# Measures the decision code in virtual time.
measure:
    cargo run --release -p bench -- all --scenario island

# Runs all tests.
test:
    bash .ci/test
