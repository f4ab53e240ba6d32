//! The cost of control at several sizes, coordination only.
