//! How a proxy, as one of many, learns which hosts there are. What the list says is judged by the module.

mod asking;

pub use asking::Asking;
