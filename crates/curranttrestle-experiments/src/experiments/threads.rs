//! The processor time of threads.

/// Ticks of processor time in a second, as the system counts them.
const TICKS_PER_S: f64 = 100.0;
/// The fields of user and of system time, counted from the end of the thread's name.
const TIME_FIELDS: [usize; 2] = [11, 12];

/// Processor time in seconds of all threads of this process whose names begin with none of
/// `excepted`; zero where the system does not tell.
pub fn busy_s(excepted: &[&str]) -> f64 {
    let Ok(threads) = std::fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let stats =
        threads.filter_map(|thread| std::fs::read_to_string(thread.ok()?.path().join("stat")).ok());
    let ticks: f64 = stats.filter_map(|stat| ticks_of(&stat, excepted)).sum();
    ticks / TICKS_PER_S
}

fn ticks_of(stat: &str, excepted: &[&str]) -> Option<f64> {
    let (head, rest) = stat.rsplit_once(") ")?;
    let (_, name) = head.split_once('(')?;
    if excepted.iter().any(|prefix| name.starts_with(prefix)) {
        return None;
    }
    let fields: Vec<&str> = rest.split(' ').collect();
    let values = TIME_FIELDS.map(|field| fields.get(field)?.parse::<f64>().ok());
    Some(values.into_iter().flatten().sum())
}
