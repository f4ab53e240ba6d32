//! A short digest that routers use to compare sheets.

use xxhash_rust::xxh3::xxh3_64;

use super::Sheet;

impl Sheet {
    /// Returns the digest of the complete sheet, including its number and the order of its rows.
    ///
    /// ```
    /// use curranttrestle::state::sheet::Sheet;
    /// let first = Sheet::default();
    /// let second = Sheet { number: 1, ..Sheet::default() };
    /// assert_ne!(first.digest(), second.digest());
    /// ```
    #[must_use]
    pub fn digest(&self) -> u64 {
        // postcard supports every type in a sheet, so serialisation fails only if memory runs out.
        postcard::to_stdvec(self).map_or(0, |bytes| xxh3_64(&bytes))
    }
}
