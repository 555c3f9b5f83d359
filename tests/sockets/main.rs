//! The program on sockets: conversations in the language of `scenario`.

mod memory;
mod proxy;
mod scenario;
mod tds;
