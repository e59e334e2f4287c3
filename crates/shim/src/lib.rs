//! Stands in for functions of the C library in a process that is started with it (`LD_PRELOAD`): system calls fail at
//! times as Linux documents that they may, and the wall clock is stepped. Reads and writes are not made short: on a socket
//! that is watched by edges, a short one says that nothing more is there, and whoever heeds that would wait for ever. Nor
//! do they fail, as nobody outside could tell that from a process that closes what it should not.
//!
//! What it does comes from the environment, chance from the seed there. Without a variable it changes nothing.

use libc::{c_int, c_void, sockaddr, socklen_t, timespec};
use std::env;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// Of a thousand calls, so many fail.
const FAIL: u64 = 15;

struct Settings {
    fails: bool,
    step_ms: i64,
    step_after_ms: i64,
    began: timespec,
}

static CHANCE: AtomicU64 = AtomicU64::new(0);

fn number(name: &str) -> i64 {
    env::var(name)
        .ok()
        .and_then(|text| text.parse::<f64>().ok())
        .unwrap_or(0.0) as i64
}

fn settings() -> &'static Settings {
    static SETTINGS: OnceLock<Settings> = OnceLock::new();
    SETTINGS.get_or_init(|| {
        CHANCE.store(
            number("CINDERCLEAT_SHIM_SEED") as u64 | 1,
            Ordering::Relaxed,
        );
        Settings {
            fails: number("CINDERCLEAT_SHIM_FAIL") != 0,
            step_ms: number("CINDERCLEAT_SHIM_STEP_MS"),
            step_after_ms: number("CINDERCLEAT_SHIM_STEP_AFTER_MS"),
            began: monotonic(),
        }
    })
}

/// Draws a number below a bound.
fn draw(bound: u64) -> u64 {
    let step = |state: u64| {
        state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407)
    };
    let before = CHANCE.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |state| {
        Some(step(state))
    });
    (step(before.unwrap_or_default()) >> 33) % bound
}

fn fails() -> bool {
    settings().fails && draw(1000) < FAIL
}

/// Fails a call with one of these numbers.
fn fail(errors: &[c_int]) -> c_int {
    let error = errors[draw(errors.len() as u64) as usize];
    // SAFETY: the C library's pointer to this thread's error number is valid.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// The C library's own function of a name, looked up once.
macro_rules! real {
    ($name:literal, $kind:ty) => {{
        static FOUND: OnceLock<usize> = OnceLock::new();
        // SAFETY: the name ends with a zero byte, and the function found has this type.
        unsafe {
            let found =
                *FOUND.get_or_init(|| libc::dlsym(libc::RTLD_NEXT, $name.as_ptr()) as usize);
            std::mem::transmute::<usize, $kind>(found)
        }
    }};
}

fn monotonic() -> timespec {
    let mut now = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the pointer is to a local of the right type.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &raw mut now) };
    now
}

fn milliseconds_between(from: &timespec, to: &timespec) -> i64 {
    (to.tv_sec - from.tv_sec) * 1000 + (to.tv_nsec - from.tv_nsec) / 1_000_000
}

/// # Safety
/// As the C library's `clock_gettime`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, to: *mut timespec) -> c_int {
    let real = real!(
        c"clock_gettime",
        unsafe extern "C" fn(libc::clockid_t, *mut timespec) -> c_int
    );
    let done = unsafe { real(clock, to) };
    if clock == libc::CLOCK_REALTIME && done == 0 {
        let settings = settings();
        let stepped = milliseconds_between(&settings.began, &monotonic()) >= settings.step_after_ms;
        if stepped && !to.is_null() {
            unsafe {
                (*to).tv_sec += settings.step_ms / 1000;
            }
        }
    }
    done
}

/// # Safety
/// As the C library's `accept4`.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    from: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let real = real!(
        c"accept4",
        unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int
    );
    if fails() {
        return fail(&[
            libc::ECONNABORTED,
            libc::ENFILE,
            libc::EMFILE,
            libc::ENOBUFS,
            libc::EPROTO,
            libc::ENETDOWN,
        ]);
    }
    unsafe { real(fd, from, length, flags) }
}

/// # Safety
/// As the C library's `connect`.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, to: *const sockaddr, length: socklen_t) -> c_int {
    let real = real!(
        c"connect",
        unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int
    );
    if fails() {
        let errors = [
            libc::EADDRNOTAVAIL,
            libc::ENETUNREACH,
            libc::EHOSTUNREACH,
            libc::ETIMEDOUT,
            libc::ECONNREFUSED,
        ];
        return fail(&errors);
    }
    unsafe { real(fd, to, length) }
}

/// # Safety
/// As the C library's `socket`.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let real = real!(
        c"socket",
        unsafe extern "C" fn(c_int, c_int, c_int) -> c_int
    );
    // Not for the pairs and listeners of the start.
    if domain == libc::AF_INET
        && milliseconds_between(&settings().began, &monotonic()) > 500
        && fails()
    {
        return fail(&[libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM]);
    }
    unsafe { real(domain, kind, protocol) }
}

/// # Safety
/// As the C library's `setsockopt`.
#[no_mangle]
pub unsafe extern "C" fn setsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *const c_void,
    length: socklen_t,
) -> c_int {
    let real = real!(
        c"setsockopt",
        unsafe extern "C" fn(c_int, c_int, c_int, *const c_void, socklen_t) -> c_int
    );
    if level == libc::IPPROTO_TCP && fails() {
        return fail(&[libc::EINVAL, libc::ENOBUFS]);
    }
    unsafe { real(fd, level, name, value, length) }
}

/// # Safety
/// As the C library's `epoll_wait`.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut libc::epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    let real = real!(
        c"epoll_wait",
        unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int
    );
    if fails() {
        return fail(&[libc::EINTR]);
    }
    unsafe { real(fd, events, most, timeout) }
}
