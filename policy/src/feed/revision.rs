//! Revisions of a registry that may be restored from an older copy of itself.
//!
//! A restored registry begins a new era, in which numbers of revisions are given out again. Revisions
//! are therefore ordered by their era first: each holds the era above [`NUMBER_BITS`] bits of its
//! number.

/// Bits of the number within its era.
const NUMBER_BITS: u32 = 44;

/// The revision with a number of an era.
pub fn revision_of(era: u64, number: u64) -> u64 {
    era << NUMBER_BITS | number & ((1 << NUMBER_BITS) - 1)
}

/// Era of a revision.
pub fn era_of(revision: u64) -> u64 {
    revision >> NUMBER_BITS
}

/// Number of a revision within its era.
pub fn number_of(revision: u64) -> u64 {
    revision & ((1 << NUMBER_BITS) - 1)
}
