//! The functions that replace those of the C library: each applies the plan's effect and calls the original.

use crate::descriptors::{self, Kind};
use crate::plan::{Call, Effect, Plan};
use libc::{
    c_char, c_int, c_void, clockid_t, epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec,
};
use std::mem::{transmute, zeroed};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// Resolves the original function of this name: the next one after this library's in the search order.
macro_rules! real {
    ($name:literal as $type:ty) => {{
        static ADDRESS: OnceLock<usize> = OnceLock::new();
        let address = *ADDRESS.get_or_init(|| {
            // SAFETY: the name ends in NUL; looking a symbol up has no other effect.
            unsafe { libc::dlsym(libc::RTLD_NEXT, concat!($name, "\0").as_ptr().cast::<c_char>()) as usize }
        });
        assert!(address != 0, concat!("no function `", $name, "`"));
        // SAFETY: the C library's function of this name has this type.
        unsafe { transmute::<usize, $type>(address) }
    }};
}

/// Sets errno and returns -1, the result of a failed call.
fn fail(number: i32) -> c_int {
    // SAFETY: the address is this thread's errno.
    unsafe { *libc::__errno_location() = number };
    -1
}

/// Returns the effect on a transfer over a connection. Other descriptors are not affected: the runtime's own,
/// which notify it of signals, never block, and recv(2) is interrupted only when it blocks.
fn transfer_effect(call: Call, descriptor: c_int) -> Option<Effect> {
    let kind = descriptors::kind(descriptor)?;
    Plan::of_process().effect(call, Some(kind))
}

/// Delays the calling thread if the effect says so.
fn hold(effect: Option<Effect>) {
    if let Some(Effect::Hold(span)) = effect {
        std::thread::sleep(span);
    }
}

/// Returns the port of an IPv4 or IPv6 address; both have it at the same offset.
///
/// # Safety
/// The address must be null or point to an address of its family's size.
unsafe fn port(address: *const sockaddr) -> Option<u16> {
    let family = i32::from(unsafe { address.as_ref() }?.sa_family);
    let inet = matches!(family, libc::AF_INET | libc::AF_INET6);
    inet.then(|| u16::from_be(unsafe { (*address.cast::<libc::sockaddr_in>()).sin_port }))
}

/// Returns the local port of a socket.
fn local_port(descriptor: c_int) -> Option<u16> {
    // SAFETY: an all-zero address is valid, of an unspecified family; the length is the buffer's.
    unsafe {
        let mut address: libc::sockaddr_storage = zeroed();
        let mut length = size_of::<libc::sockaddr_storage>() as socklen_t;
        let address = (&raw mut address).cast::<sockaddr>();
        (libc::getsockname(descriptor, address, &raw mut length) == 0).then(|| port(address)).flatten()
    }
}

/// Replaces accept4(2).
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    listener: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let real = real!("accept4" as unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int);
    let kind = local_port(listener).map(descriptors::accepted_at);
    let effect = Plan::of_process().effect(Call::Accept, kind);
    if let Some(Effect::Error(number)) = effect {
        return fail(number);
    }
    let accepted = unsafe { real(listener, address, length, flags) };
    descriptors::set(accepted, kind);
    hold(effect);
    accepted
}

/// Replaces socket(2).
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let real = real!("socket" as unsafe extern "C" fn(c_int, c_int, c_int) -> c_int);
    if let Some(Effect::Error(number)) = Plan::of_process().effect(Call::Socket, None) {
        return fail(number);
    }
    let created = unsafe { real(domain, kind, protocol) };
    descriptors::set(created, None);
    created
}

/// Replaces connect(2).
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let real = real!("connect" as unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int);
    let kind = unsafe { port(address) }.map(descriptors::connected_to);
    descriptors::set(descriptor, kind);
    let effect = Plan::of_process().effect(Call::Connect, kind);
    if let Some(Effect::Error(number)) = effect {
        return fail(number);
    }
    let connected = unsafe { real(descriptor, address, length) };
    hold(effect);
    connected
}

/// Replaces epoll_wait(2).
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    descriptor: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    let real = real!("epoll_wait" as unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int);
    let effect = Plan::of_process().effect(Call::Wait, None);
    if let Some(Effect::Error(number)) = effect {
        return fail(number);
    }
    let ready = unsafe { real(descriptor, events, max_events, timeout) };
    hold(effect);
    ready
}

/// Replaces recv(2).
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn recv(
    descriptor: c_int,
    bytes: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let real = real!("recv" as unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    // MSG_PEEK consumes nothing: it is not a transfer.
    let effect = if flags & libc::MSG_PEEK == 0 { transfer_effect(Call::Read, descriptor) } else { None };
    let length = match effect {
        Some(Effect::Error(number)) => return fail(number) as ssize_t,
        Some(Effect::Short) => length.min(Plan::of_process().draw_short_length()),
        _ => length,
    };
    let read = unsafe { real(descriptor, bytes, length, flags) };
    hold(effect);
    read
}

/// Replaces send(2).
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn send(
    descriptor: c_int,
    bytes: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let real = real!("send" as unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    let effect = transfer_effect(Call::Write, descriptor);
    let length = match effect {
        Some(Effect::Error(number)) => return fail(number) as ssize_t,
        Some(Effect::Short) => length.min(Plan::of_process().draw_short_length()),
        _ => length,
    };
    let written = unsafe { real(descriptor, bytes, length, flags) };
    hold(effect);
    written
}

/// Replaces writev(2).
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn writev(descriptor: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    let real = real!("writev" as unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t);
    let effect = transfer_effect(Call::Write, descriptor);
    let count = match effect {
        Some(Effect::Error(number)) => return fail(number) as ssize_t,
        // Only the first buffer.
        Some(Effect::Short) => count.min(1),
        _ => count,
    };
    let written = unsafe { real(descriptor, parts, count) };
    hold(effect);
    written
}

/// Replaces clock_gettime(2). Steps affect the wall clock; the monotonic clock runs on.
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let real = real!("clock_gettime" as unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int);
    let read = unsafe { real(clock, time) };
    let is_wall = matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE);
    if read == 0 && is_wall && Plan::of_process().steps_clock() {
        let offset_ms = Plan::of_process().clock_offset_ms(since_start());
        // SAFETY: the call above has succeeded and written to it.
        let time = unsafe { &mut *time };
        let nanoseconds =
            time.tv_sec as i128 * 1_000_000_000 + time.tv_nsec as i128 + offset_ms as i128 * 1_000_000;
        time.tv_sec = nanoseconds.div_euclid(1_000_000_000) as libc::time_t;
        time.tv_nsec = nanoseconds.rem_euclid(1_000_000_000) as libc::c_long;
    }
    read
}

/// Returns the time since the first call of this function, which stands for the start of the process.
fn since_start() -> Duration {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed()
}

/// Whether a descriptor is a listening socket.
fn is_listening(descriptor: c_int) -> bool {
    let mut is_listening: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    let value = (&raw mut is_listening).cast::<c_void>();
    // SAFETY: the value and its length are local variables of this function.
    let result = unsafe {
        libc::getsockopt(descriptor, libc::SOL_SOCKET, libc::SO_ACCEPTCONN, value, &raw mut length)
    };
    result == 0 && is_listening != 0
}

/// Replaces close(2). Forgets the descriptor's kind, since the kernel reuses its number.
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn close(descriptor: c_int) -> c_int {
    let real = real!("close" as unsafe extern "C" fn(c_int) -> c_int);
    descriptors::set(descriptor, None::<Kind>);
    let plan = Plan::of_process();
    if plan.delays_listener_close() && is_listening(descriptor) {
        hold(plan.effect(Call::CloseListener, None));
    }
    unsafe { real(descriptor) }
}
