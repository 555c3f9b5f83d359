//! Port groups: all sockets that listen at one address, those of other processes included (SO_REUSEPORT,
//! socket(7)).
//!
//! The kernel numbers the members of a group in the order in which they began to listen; when a member is
//! closed, the last one takes its number. The kernel distributes new connections over all members, unless a
//! BPF program that is attached to the group selects one. The program belongs to the group, and so outlives
//! the process that attached it.

use nix::sys::socket::{setsockopt, sockopt::AttachReusePortCbpf};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::{IpAddr, SocketAddr};
use std::os::fd::AsFd;

/// The state of a listening socket in `/proc/net/tcp` and `/proc/net/tcp6`.
const LISTENING: &str = "0A";
/// Member number that no socket has. A program that returns it leaves the distribution to the kernel.
const NO_MEMBER: u32 = u32::MAX;

/// The number of a member of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::net) struct Member(pub u32);

/// Returns the members of the group at an address, the last one first.
///
/// # Errors
/// Returns an error if the kernel's table of sockets cannot be read.
pub(in crate::net) fn members(address: SocketAddr) -> io::Result<impl Iterator<Item = Member>> {
    let table = if address.is_ipv4() { "/proc/net/tcp" } else { "/proc/net/tcp6" };
    let count = count_listening(BufReader::new(File::open(table)?), &proc_net_address(address))?;
    Ok((0..count).rev().map(Member))
}

/// Directs all new connections of the group to one member. Has no effect if no member has that number.
///
/// # Errors
/// Returns the errors of setsockopt(2).
pub(super) fn direct_to(listener: &impl AsFd, member: Member) -> io::Result<()> {
    attach_program(listener, member.0)
}

/// Leaves the distribution of new connections over all members to the kernel.
///
/// # Errors
/// Returns the errors of setsockopt(2).
pub(super) fn distribute(listener: &impl AsFd) -> io::Result<()> {
    attach_program(listener, NO_MEMBER)
}

/// Attaches to the group a BPF program that returns `number` for each new connection.
fn attach_program(listener: &impl AsFd, number: u32) -> io::Result<()> {
    let code = u16::try_from(libc::BPF_RET | libc::BPF_K).map_err(io::Error::other)?;
    let mut instructions = [libc::sock_filter { code, jt: 0, jf: 0, k: number }];
    let program = libc::sock_fprog { len: 1, filter: instructions.as_mut_ptr() };
    setsockopt(listener, AttachReusePortCbpf, &program).map_err(io::Error::from)
}

/// Formats an address as in `/proc/net/tcp` and `/proc/net/tcp6`: the 32-bit words of the IP address in the
/// machine's byte order, and the port.
fn proc_net_address(address: SocketAddr) -> String {
    let octets = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    let (words, _) = octets.as_chunks::<4>();
    let ip: String = words.iter().map(|word| format!("{:08X}", u32::from_ne_bytes(*word))).collect();
    format!("{ip}:{:04X}", address.port())
}

/// Counts the sockets in a table of `/proc/net` that listen at an address. The table consists of a heading,
/// the listening sockets and all others.
fn count_listening(table: impl BufRead, address: &str) -> io::Result<u32> {
    let mut count = 0;
    for line in table.lines().skip(1) {
        let line = line?;
        let mut columns = line.split_ascii_whitespace().skip(1);
        let (local, _remote, state) = (columns.next(), columns.next(), columns.next());
        if state != Some(LISTENING) {
            break;
        }
        count += u32::from(local == Some(address));
    }
    Ok(count)
}

#[cfg(test)]
mod tests;
