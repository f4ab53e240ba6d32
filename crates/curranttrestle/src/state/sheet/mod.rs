//! The sheet: the customers, operations and endpoints that operators submit each morning.

mod diff;
mod digest;
mod model;
mod object;
mod reader;
mod rows;
mod write;

pub use diff::{DiffError, DiffReport, RowsDiff, SheetDiff};
pub use model::{Customer, Endpoint, EndpointKind, KeyDigest, Operation, Sheet};
pub use object::{ObjectError, SheetObject, SheetStamp};
pub use reader::{MAX_SHEET_BYTES, read_sheet};
pub use rows::RecordKind;
pub use write::write_csv;
