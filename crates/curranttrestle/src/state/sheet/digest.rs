//! A short digest by which routers compare sheets.

use xxhash_rust::xxh3::xxh3_64;

use super::Sheet;

impl Sheet {
    /// The digest of the whole content, number and order included.
    ///
    /// ```
    /// use curranttrestle::state::sheet::Sheet;
    /// let first = Sheet::default();
    /// let second = Sheet { number: 1, ..Sheet::default() };
    /// assert_ne!(first.digest(), second.digest());
    /// ```
    #[must_use]
    pub fn digest(&self) -> u64 {
        // Only running out of memory could make this fail: a sheet has no type that the
        // format lacks.
        postcard::to_stdvec(self).map_or(0, |bytes| xxh3_64(&bytes))
    }
}
