//! What is known of loads and faults, and how fast that grows old. What follows from it is the module's to decide.

mod crowd;
mod faded;
mod group;
mod pace;
mod rest;

pub use crowd::Crowd;
pub use faded::Faded;
pub use group::Group;
pub use pace::Pace;
pub use rest::Rest;
