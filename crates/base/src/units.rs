//! Parsing and formatting of durations and byte sizes with units.

use std::time::Duration;

use displaydoc::Display;

/// {0:?} has no known unit; write a number with {1}
#[derive(Debug, Display, PartialEq, Eq)]
pub struct ParseUnitError(String, &'static str);

impl std::error::Error for ParseUnitError {}

const DURATION_UNITS: &str = "ms, s, m or h, such as 250ms";
const BYTES_UNITS: &str = "B, KiB, MiB or GiB, such as 4MiB";

fn split_unit(s: &str) -> (&str, &str) {
    let is_numeric = |c: char| c.is_ascii_digit() || c == '.';
    let at = s.find(|c| !is_numeric(c)).unwrap_or(s.len());
    (&s[..at], s[at..].trim())
}

/// Parses a duration such as `250ms`, `1.5s`, `5m` or `24h`, rounded down to whole milliseconds.
pub fn parse_duration(s: &str) -> Result<Duration, ParseUnitError> {
    let error = || ParseUnitError(s.to_owned(), DURATION_UNITS);
    let (number, unit) = split_unit(s.trim());
    let unit_ms: u64 = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return Err(error()),
    };
    match number.parse::<u64>() {
        Ok(whole) => whole
            .checked_mul(unit_ms)
            .map(Duration::from_millis)
            .ok_or_else(error),
        Err(_) => parse_fraction(number, unit_ms).ok_or_else(error),
    }
}

/// Parses a number with a fraction, rounded down to whole milliseconds; `None` if it is invalid or too large.
fn parse_fraction(number: &str, unit_ms: u64) -> Option<Duration> {
    let ms = number.parse::<f64>().ok()? * unit_ms as f64;
    let fits = ms.is_finite() && ms < u64::MAX as f64;
    fits.then(|| Duration::from_millis(ms as u64))
}

/// Parses a size in bytes such as `512B`, `64KiB`, `4MiB` or `2GiB`.
pub fn parse_bytes(s: &str) -> Result<u64, ParseUnitError> {
    let error = || ParseUnitError(s.to_owned(), BYTES_UNITS);
    let (number, unit) = split_unit(s.trim());
    let number: u64 = number.parse().map_err(|_| error())?;
    let shift = match unit {
        "B" => 0,
        "KiB" => 10,
        "MiB" => 20,
        "GiB" => 30,
        _ => return Err(error()),
    };
    number.checked_mul(1 << shift).ok_or_else(error)
}

/// Formats a duration in the largest unit that divides it.
pub fn format_duration(d: Duration) -> String {
    match d.as_millis() as u64 {
        ms if ms == 0 || ms % 1_000 != 0 => format!("{ms}ms"),
        ms if ms % 3_600_000 == 0 => format!("{}h", ms / 3_600_000),
        ms if ms % 60_000 == 0 => format!("{}m", ms / 60_000),
        ms => format!("{}s", ms / 1_000),
    }
}

/// Formats a size in the largest unit that divides it.
pub fn format_bytes(n: u64) -> String {
    const UNITS: [(u32, &str); 3] = [(30, "GiB"), (20, "MiB"), (10, "KiB")];
    UNITS
        .iter()
        .find(|(shift, _)| n > 0 && n.is_multiple_of(1 << shift))
        .map_or(format!("{n}B"), |(shift, unit)| {
            format!("{}{unit}", n >> shift)
        })
}
