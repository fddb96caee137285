//! Documents packed for the way to another process.
//!
//! A body is compressed against an earlier revision that the receiver holds, where both hold the same
//! one, so that only what changed travels. Of a configuration of 1,600 routes (0.5 MB) one changed route
//! travels as some 100 bytes.

use bytes::Bytes;
use displaydoc::Display;
use zstd::bulk::{Compressor, Decompressor};
use zstd::zstd_safe::{CParameter, DParameter};

/// Level of compression: the fastest. A configuration of 1,600 routes takes 2 ms of a whole core.
const LEVEL: i32 = 1;

/// Distance over which repetitions are found, as a power of two: 16 MiB, the largest body and the one
/// it is packed against together.
const WINDOW_LOG: u32 = 24;

/// Bounds of the size of the table that repetitions are found by, as powers of two: of 16 KiB to 4 MiB.
const HASH_LOGS: std::ops::RangeInclusive<u32> = 12..=20;

/// Why a body can't be packed or unpacked.
#[derive(Debug, Display)]
pub enum PackError {
    /// the document can't be packed: {0}
    Pack(std::io::Error),
    /// the packed document can't be read: {0}; ask another process
    Unpack(std::io::Error),
}

impl std::error::Error for PackError {}

/// Packs a body against an earlier one; an empty earlier one stands for none.
pub(crate) fn pack(body: &[u8], against: &[u8]) -> Result<Bytes, PackError> {
    let packed = || {
        let mut compressor = Compressor::with_dictionary(LEVEL, against)?;
        compressor.set_parameter(CParameter::WindowLog(WINDOW_LOG))?;
        compressor.set_parameter(CParameter::HashLog(hash_log(against.len())))?;
        compressor.compress(body)
    };
    packed().map(Bytes::from).map_err(PackError::Pack)
}

/// Size of a table with an entry for each second byte of an earlier body, as a power of two. With fewer,
/// long stretches that didn't change are missed.
fn hash_log(bytes: usize) -> u32 {
    let entries = (bytes / 2).max(1);
    entries.ilog2().clamp(*HASH_LOGS.start(), *HASH_LOGS.end())
}

/// Unpacks a body of at most `limit` bytes that was packed against an earlier one.
pub(crate) fn unpack(packed: &[u8], against: &[u8], limit: usize) -> Result<Bytes, PackError> {
    let unpacked = || {
        let mut decompressor = Decompressor::with_dictionary(against)?;
        decompressor.set_parameter(DParameter::WindowLogMax(WINDOW_LOG))?;
        decompressor.decompress(packed, limit)
    };
    unpacked().map(Bytes::from).map_err(PackError::Unpack)
}
