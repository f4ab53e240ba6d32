//! The customers on whose behalf calls are made.

use std::str::FromStr;

/// A customer with its API key and its weight.
#[derive(Clone, Debug)]
pub struct LoadCustomer {
    /// The name shown in the report.
    pub name: String,
    /// The API key.
    pub key: String,
    /// The relative share of calls made on behalf of this customer.
    pub weight: u32,
}

impl FromStr for LoadCustomer {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.split(':');
        let name = fields.next().unwrap_or_default();
        let key = fields.next().unwrap_or_default();
        let weight = fields.next().unwrap_or("1");
        if name.is_empty() || key.is_empty() || fields.next().is_some() {
            return Err("must be NAME:KEY or NAME:KEY:WEIGHT".to_owned());
        }
        let weight = weight
            .parse()
            .ok()
            .filter(|weight| (1..=1_000_000).contains(weight));
        Ok(Self {
            name: name.to_owned(),
            key: key.to_owned(),
            weight: weight.ok_or("WEIGHT must be an integer from 1 to 1000000")?,
        })
    }
}
