//! CPU time of threads, from procfs.

/// Clock ticks per second in `/proc/self/task/*/stat` (`USER_HZ`).
const TICKS_PER_S: f64 = 100.0;
/// Indices of the user and system time fields, counted after the thread's name.
const TIME_FIELDS: [usize; 2] = [11, 12];

/// CPU time in seconds of all threads of this process whose names start with none of
/// `excluded_prefixes`. Zero where procfs is not available.
pub fn cpu_seconds(excluded_prefixes: &[&str]) -> f64 {
    let Ok(threads) = std::fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let stats =
        threads.filter_map(|thread| std::fs::read_to_string(thread.ok()?.path().join("stat")).ok());
    let ticks: f64 = stats
        .filter_map(|stat| ticks_of(&stat, excluded_prefixes))
        .sum();
    ticks / TICKS_PER_S
}

fn ticks_of(stat: &str, excluded_prefixes: &[&str]) -> Option<f64> {
    let (head, rest) = stat.rsplit_once(") ")?;
    let (_, name) = head.split_once('(')?;
    if excluded_prefixes
        .iter()
        .any(|prefix| name.starts_with(prefix))
    {
        return None;
    }
    let fields: Vec<&str> = rest.split(' ').collect();
    let values = TIME_FIELDS.map(|field| fields.get(field)?.parse::<f64>().ok());
    Some(values.into_iter().flatten().sum())
}
