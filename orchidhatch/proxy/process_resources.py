"""Memory and descriptors of this process, as reported by the operating system."""

import os
import resource

BYTES_PER_KB = 1024


def resident_bytes() -> int | None:
    """Return the resident memory of the process, None if the system does not report it."""
    try:
        with open("/proc/self/statm", "rb") as file:
            resident_pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return None
    return resident_pages * resource.getpagesize()


def peak_resident_bytes() -> int:
    """Return the peak resident memory of the process."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KB


def raise_descriptor_limit(wanted: int) -> int:
    """Raise the soft limit on descriptors if needed; return how many of `wanted` the process may hold."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or wanted <= soft:
        return wanted
    allowed = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))
    except (OSError, ValueError):
        return soft
    return allowed


def open_descriptors() -> int | None:
    """Return how many descriptors the process holds, None if no descriptor is left to list them."""
    try:
        listed = os.listdir("/proc/self/fd")
    except OSError:
        return None
    return len(listed) - 1  # one of them is of the listing itself
