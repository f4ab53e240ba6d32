//! The customers in whose name calls are made.

use std::str::FromStr;

/// A customer with its key and its part of the calls.
#[derive(Clone, Debug)]
pub struct LoadCustomer {
    /// Its name, for the report.
    pub name: String,
    /// Its key.
    pub key: String,
    /// Its part of the calls, relative to the others.
    pub part: u32,
}

impl FromStr for LoadCustomer {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.split(':');
        let name = fields.next().unwrap_or_default();
        let key = fields.next().unwrap_or_default();
        let part = fields.next().unwrap_or("1");
        if name.is_empty() || key.is_empty() || fields.next().is_some() {
            return Err("must be NAME:KEY or NAME:KEY:PART".to_owned());
        }
        let part = part
            .parse()
            .ok()
            .filter(|part| (1..=1_000_000).contains(part));
        Ok(Self {
            name: name.to_owned(),
            key: key.to_owned(),
            part: part.ok_or("PART must be a number from 1 to 1000000")?,
        })
    }
}
