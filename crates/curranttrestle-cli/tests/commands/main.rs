//! The tool as a process, against listeners that answer as scripted.

mod callers;
mod operators;
mod support;
mod trial;
