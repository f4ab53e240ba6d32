//! Runs the tool as a process against listeners with scripted responses.

mod callers;
mod log_lines;
mod operators;
mod support;
mod trial;
