//! Max-min fair allocation of a capacity.

/// Allocates `capacity` by weighted max-min fairness: in proportion to `shares`, but to nobody more
/// than its demand.
pub fn fair_allocation(capacity: f64, demands: &[f64], shares: &[f64]) -> Vec<f64> {
    let mut allocation = vec![0.0; demands.len()];
    let mut unsatisfied: Vec<usize> = (0..demands.len()).collect();
    let mut remaining = capacity;
    loop {
        let unsatisfied_shares: f64 = unsatisfied.iter().map(|index| shares[*index]).sum();
        if unsatisfied.is_empty() || unsatisfied_shares <= 0.0 {
            return allocation;
        }
        let level = remaining / unsatisfied_shares;
        let (satisfied, limited): (Vec<usize>, Vec<usize>) = unsatisfied
            .iter()
            .partition(|index| demands[**index] <= level * shares[**index]);
        if satisfied.is_empty() {
            for index in unsatisfied {
                allocation[index] = level * shares[index];
            }
            return allocation;
        }
        for index in satisfied {
            allocation[index] = demands[index];
            remaining -= demands[index];
        }
        unsatisfied = limited;
    }
}
