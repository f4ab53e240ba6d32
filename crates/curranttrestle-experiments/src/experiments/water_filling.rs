//! Max-min fair parts of a capacity.

/// Divides `capacity` in proportion to the shares, nobody getting more than it asks for.
pub fn fair_parts(capacity: f64, demands: &[f64], shares: &[f64]) -> Vec<f64> {
    let mut parts = vec![0.0; demands.len()];
    let mut open: Vec<usize> = (0..demands.len()).collect();
    let mut rest = capacity;
    loop {
        let open_shares: f64 = open.iter().map(|index| shares[*index]).sum();
        if open.is_empty() || open_shares <= 0.0 {
            return parts;
        }
        let level = rest / open_shares;
        let (full, wanting): (Vec<usize>, Vec<usize>) = open
            .iter()
            .partition(|index| demands[**index] <= level * shares[**index]);
        if full.is_empty() {
            for index in open {
                parts[index] = level * shares[index];
            }
            return parts;
        }
        for index in full {
            parts[index] = demands[index];
            rest -= demands[index];
        }
        open = wanting;
    }
}
