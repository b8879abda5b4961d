//! A fleet without a network.

mod crowded;
mod fleet;
mod leaving;
