//! Number of cases and seed of property tests. For tests only.

use proptest::test_runner::{Config, RngSeed};

/// Seed used unless `PROPTEST_RNG_SEED` is set.
const DEFAULT_SEED: u64 = 20_261_202;

/// Returns a configuration of `n` cases from a fixed seed, and prints both. `PROPTEST_CASES` and
/// `PROPTEST_RNG_SEED` override them, for longer runs.
pub fn cases(n: u32) -> Config {
    let cases = env_number("PROPTEST_CASES").map_or(n, |n| n as u32);
    let seed = env_number("PROPTEST_RNG_SEED").unwrap_or(DEFAULT_SEED);
    println!("{cases} cases from seed {seed}");
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}
