//! How many cases property tests run, from which seed. For tests only.

use proptest::test_runner::{Config, RngSeed};

/// Seed where `PROPTEST_RNG_SEED` gives none.
const SEED: u64 = 20_261_202;

/// A configuration of `n` cases from a fixed seed, which is printed; `PROPTEST_CASES` and
/// `PROPTEST_RNG_SEED` change them for a longer run.
pub fn cases(n: u32) -> Config {
    let cases = number("PROPTEST_CASES").map_or(n, |n| n as u32);
    let seed = number("PROPTEST_RNG_SEED").unwrap_or(SEED);
    println!("{cases} cases from seed {seed}");
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}
