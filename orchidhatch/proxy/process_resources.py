"""Memory and descriptors of this process, as the system tells them."""

import os
import resource

BYTES_PER_KB = 1024


def resident_bytes() -> int | None:
    """Return the memory that the process holds now; None where the system does not say."""
    try:
        with open("/proc/self/statm", "rb") as file:
            resident_pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return None
    return resident_pages * resource.getpagesize()


def peak_resident_bytes() -> int:
    """Return the most memory that the process has held."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KB


def allow_descriptors(wanted: int) -> int:
    """Raise the process's soft limit on descriptors if need be; return how many of `wanted` it may hold."""
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
    """Return how many descriptors the process holds; None where none is left to look with."""
    try:
        listed = os.listdir("/proc/self/fd")
    except OSError:
        return None
    return len(listed) - 1  # one of them is for the listing itself
