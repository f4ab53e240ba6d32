//! The tool as a process, against listeners that answer as scripted.

mod callers;
mod log_lines;
mod operators;
mod support;
mod trial;
