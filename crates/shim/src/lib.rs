//! A library for `LD_PRELOAD` that replaces functions of the C library: system calls fail at random with errors that
//! Linux documents for them, and the wall clock is stepped.
//!
//! Reads and writes are never shortened: on a socket that is watched edge-triggered, a short read or write tells the
//! caller that nothing more is available, and a caller that relies on this would wait forever. Reads and writes never
//! fail either: from outside, such a failure cannot be told from a process that closes a connection that it should keep.
//!
//! The environment variables `CINDERCLEAT_SHIM_FAIL`, `CINDERCLEAT_SHIM_SEED`, `CINDERCLEAT_SHIM_STEP_MS` and
//! `CINDERCLEAT_SHIM_STEP_AFTER_MS` configure the library. Without them it changes nothing.

use libc::{c_int, c_void, sockaddr, socklen_t, timespec};
use std::env;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// The mean number of failures among a thousand calls that may fail.
const FAILURES_PER_THOUSAND: u64 = 15;
/// Calls of `socket` fail only after the process has run for this long. Until then the process creates its socket pairs
/// and listeners. These calls must not fail, because the process cannot start without them.
const SOCKET_FAILURES_BEGIN_MS: i64 = 500;

/// The settings that the environment variables contain.
struct Settings {
    /// Whether system calls fail at random.
    calls_fail: bool,
    /// By how much the wall clock is stepped, cut to whole seconds; negative steps it back.
    step_ms: i64,
    /// How long after the start of the process the wall clock is stepped.
    step_after_ms: i64,
    /// The monotonic time at which the settings were first read.
    started: timespec,
}

/// The state of the generator behind [`draw`]. [`settings`] sets it from the seed.
static RANDOM_STATE: AtomicU64 = AtomicU64::new(0);

/// The integer part of an environment variable; 0 if it is absent or not a number.
fn number_from_environment(name: &str) -> i64 {
    env::var(name)
        .ok()
        .and_then(|text| text.parse::<f64>().ok())
        .unwrap_or(0.0) as i64
}

/// The settings, read from the environment by the first call.
fn settings() -> &'static Settings {
    static SETTINGS: OnceLock<Settings> = OnceLock::new();
    SETTINGS.get_or_init(|| {
        RANDOM_STATE.store(
            number_from_environment("CINDERCLEAT_SHIM_SEED") as u64 | 1,
            Ordering::Relaxed,
        );
        Settings {
            calls_fail: number_from_environment("CINDERCLEAT_SHIM_FAIL") != 0,
            step_ms: number_from_environment("CINDERCLEAT_SHIM_STEP_MS"),
            step_after_ms: number_from_environment("CINDERCLEAT_SHIM_STEP_AFTER_MS"),
            started: monotonic(),
        }
    })
}

/// Draws a number below `bound` with a linear congruential generator.
fn draw(bound: u64) -> u64 {
    let step = |state: u64| {
        state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407)
    };
    let previous = RANDOM_STATE.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |state| {
        Some(step(state))
    });
    (step(previous.unwrap_or_default()) >> 33) % bound
}

/// Draws whether the present call is to fail; never if the settings disable failures.
fn draw_failure() -> bool {
    settings().calls_fail && draw(1000) < FAILURES_PER_THOUSAND
}

/// Sets `errno` to one of these errors, drawn at random, and returns -1.
fn fail(errors: &[c_int]) -> c_int {
    let error = errors[draw(errors.len() as u64) as usize];
    // SAFETY: `__errno_location` returns a valid pointer to this thread's `errno`.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// The C library's function that this library replaces, looked up at the first use.
macro_rules! original {
    ($name:literal, $kind:ty) => {{
        static FOUND: OnceLock<usize> = OnceLock::new();
        // SAFETY: the name is NUL-terminated, and `$kind` is the signature of the C library's function of this name.
        unsafe {
            let found =
                *FOUND.get_or_init(|| libc::dlsym(libc::RTLD_NEXT, $name.as_ptr()) as usize);
            std::mem::transmute::<usize, $kind>(found)
        }
    }};
}

/// The monotonic clock, read by a direct system call: `clock_gettime` itself is replaced by this library.
fn monotonic() -> timespec {
    let mut now = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the pointer refers to a local variable of the type that the system call writes.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &raw mut now) };
    now
}

/// The whole milliseconds from one monotonic time to a later one.
fn milliseconds_between(from: &timespec, to: &timespec) -> i64 {
    (to.tv_sec - from.tv_sec) * 1000 + (to.tv_nsec - from.tv_nsec) / 1_000_000
}

/// Calls the C library's `clock_gettime`, and steps the result of `CLOCK_REALTIME` as configured.
///
/// # Safety
/// The requirements are those of the C library's `clock_gettime`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, to: *mut timespec) -> c_int {
    let original = original!(
        c"clock_gettime",
        unsafe extern "C" fn(libc::clockid_t, *mut timespec) -> c_int
    );
    let result = unsafe { original(clock, to) };
    if clock == libc::CLOCK_REALTIME && result == 0 {
        let settings = settings();
        let is_stepped =
            milliseconds_between(&settings.started, &monotonic()) >= settings.step_after_ms;
        if is_stepped && !to.is_null() {
            unsafe {
                (*to).tv_sec += settings.step_ms / 1000;
            }
        }
    }
    result
}

/// Calls the C library's `accept4`, or fails at random.
///
/// # Safety
/// The requirements are those of the C library's `accept4`.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    from: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let original = original!(
        c"accept4",
        unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int
    );
    if draw_failure() {
        return fail(&[
            libc::ECONNABORTED,
            libc::ENFILE,
            libc::EMFILE,
            libc::ENOBUFS,
            libc::EPROTO,
            libc::ENETDOWN,
        ]);
    }
    unsafe { original(fd, from, length, flags) }
}

/// Calls the C library's `connect`, or fails at random.
///
/// # Safety
/// The requirements are those of the C library's `connect`.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, to: *const sockaddr, length: socklen_t) -> c_int {
    let original = original!(
        c"connect",
        unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int
    );
    if draw_failure() {
        let errors = [
            libc::EADDRNOTAVAIL,
            libc::ENETUNREACH,
            libc::EHOSTUNREACH,
            libc::ETIMEDOUT,
            libc::ECONNREFUSED,
        ];
        return fail(&errors);
    }
    unsafe { original(fd, to, length) }
}

/// Calls the C library's `socket`, or fails at random for IPv4 sockets once the process has run for 500 ms.
///
/// # Safety
/// The requirements are those of the C library's `socket`.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let original = original!(
        c"socket",
        unsafe extern "C" fn(c_int, c_int, c_int) -> c_int
    );
    if domain == libc::AF_INET
        && milliseconds_between(&settings().started, &monotonic()) > SOCKET_FAILURES_BEGIN_MS
        && draw_failure()
    {
        return fail(&[libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM]);
    }
    unsafe { original(domain, kind, protocol) }
}

/// Calls the C library's `setsockopt`, or fails at random for options of the TCP level.
///
/// # Safety
/// The requirements are those of the C library's `setsockopt`.
#[no_mangle]
pub unsafe extern "C" fn setsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *const c_void,
    length: socklen_t,
) -> c_int {
    let original = original!(
        c"setsockopt",
        unsafe extern "C" fn(c_int, c_int, c_int, *const c_void, socklen_t) -> c_int
    );
    if level == libc::IPPROTO_TCP && draw_failure() {
        return fail(&[libc::EINVAL, libc::ENOBUFS]);
    }
    unsafe { original(fd, level, name, value, length) }
}

/// Calls the C library's `epoll_wait`, or fails at random with `EINTR`.
///
/// # Safety
/// The requirements are those of the C library's `epoll_wait`.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    let original = original!(
        c"epoll_wait",
        unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int
    );
    if draw_failure() {
        return fail(&[libc::EINTR]);
    }
    unsafe { original(fd, events, max_events, timeout) }
}
