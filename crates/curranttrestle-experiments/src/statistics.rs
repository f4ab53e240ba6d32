//! Percentiles and means.

/// The given percentile by nearest rank; zero for an empty slice.
pub fn percentile(values: &[f64], percent: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1);
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "an index within the list"
    )]
    let index = (percent / 100.0 * float(last as u64)).round() as usize;
    sorted.get(index).copied().unwrap_or_default()
}

/// The arithmetic mean; zero for an empty slice.
pub fn mean(values: &[f64]) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.iter().sum::<f64>() / float(values.len() as u64)
}

/// `value / divisor`, or zero if `divisor` is zero.
pub fn ratio(value: f64, divisor: f64) -> f64 {
    if divisor == 0.0 { 0.0 } else { value / divisor }
}

/// Converts a count to a float.
#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^53")]
pub fn float(count: u64) -> f64 {
    count as f64
}
