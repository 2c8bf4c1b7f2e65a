/*
 * A preloaded library for fault-injection trials: system calls of one process fail, or do less than they were
 * asked to, in ways that Linux documents, and the wall clock of that process is stepped.
 *
 * ORCHIDHATCH_SHIM names a file of 64-bit integers that the trial writes and this library maps; see
 * system_calls.py for their order. Shares are in thousandths of the calls. Without the file nothing is changed.
 *
 *     cc -shared -fPIC -O2 -o shim.so shim.c -ldl
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum slot { WALL_STEP_MS, ACCEPT, SOCKET, CONNECT, SHORT_IO, DISK, SEED, SLOTS = 16 };
enum { COUNTS = SLOTS, CONTROL_SIZE = 4096 };

static volatile int64_t *control;
static uint64_t state;

__attribute__((constructor)) static void map_control(void)
{
    const char *path = getenv("ORCHIDHATCH_SHIM");
    int descriptor = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    void *mapped;

    if (descriptor < 0)
        return;
    mapped = mmap(NULL, CONTROL_SIZE, PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    close(descriptor);
    if (mapped != MAP_FAILED)
        control = mapped;
    state = control ? (uint64_t)control[SEED] ^ ((uint64_t)getpid() << 32) ^ 0x9e3779b97f4a7c15ull : 0;
}

/* xorshift64*: which calls fail is drawn from the trial's seed; threads may share a draw, which is harmless. */
static uint32_t draw(uint32_t below)
{
    state ^= state >> 12;
    state ^= state << 25;
    state ^= state >> 27;
    return (uint32_t)((state * 0x2545f4914f6cdd1dull) >> 33) % below;
}

static int injects(enum slot slot)
{
    if (!control || control[slot] <= 0 || draw(1000) >= (uint32_t)control[slot])
        return 0;
    __atomic_add_fetch(&control[COUNTS + slot], 1, __ATOMIC_RELAXED);
    return 1;
}

static int fails_with(const int *errors, uint32_t count)
{
    errno = errors[draw(count)];
    return -1;
}

#define NEXT(name) \
    static __typeof__(&name) next; \
    if (!next) \
        next = (__typeof__(&name))dlsym(RTLD_NEXT, #name)
#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

static const int ACCEPT_ERRORS[] = {ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO};
static const int SOCKET_ERRORS[] = {ENFILE, EMFILE, ENOBUFS, ENOMEM};
static const int CONNECT_ERRORS[] = {EADDRNOTAVAIL, ENETUNREACH, ECONNABORTED, ENOBUFS};
static const int DISK_ERRORS[] = {ENOSPC, EIO};

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags)
{
    NEXT(accept4);
    if (injects(ACCEPT))
        return fails_with(ACCEPT_ERRORS, COUNT_OF(ACCEPT_ERRORS));
    return next(fd, address, size, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *size)
{
    NEXT(accept);
    if (injects(ACCEPT))
        return fails_with(ACCEPT_ERRORS, COUNT_OF(ACCEPT_ERRORS));
    return next(fd, address, size);
}

int socket(int domain, int type, int protocol)
{
    NEXT(socket);
    if (domain == AF_INET && injects(SOCKET))
        return fails_with(SOCKET_ERRORS, COUNT_OF(SOCKET_ERRORS));
    return next(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size)
{
    NEXT(connect);
    if (address && address->sa_family == AF_INET && injects(CONNECT))
        return fails_with(CONNECT_ERRORS, COUNT_OF(CONNECT_ERRORS));
    return next(fd, address, size);
}

static int is_stream(int fd)
{
    int type = 0;
    socklen_t size = sizeof type;
    int saved = errno;
    int found = !getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) && type == SOCK_STREAM;

    errno = saved;
    return found;
}

/* How many of the bytes to pass on: fewer than asked for, at least one. */
static size_t shortened(int fd, size_t size)
{
    if (size < 2 || !control || control[SHORT_IO] <= 0 || !is_stream(fd) || !injects(SHORT_IO))
        return size;
    return 1 + draw(size < 64 ? (uint32_t)size : 64);
}

ssize_t read(int fd, void *data, size_t size)
{
    NEXT(read);
    return next(fd, data, shortened(fd, size));
}

ssize_t recv(int fd, void *data, size_t size, int flags)
{
    NEXT(recv);
    return next(fd, data, shortened(fd, size), flags);
}

ssize_t write(int fd, const void *data, size_t size)
{
    NEXT(write);
    return next(fd, data, shortened(fd, size));
}

ssize_t send(int fd, const void *data, size_t size, int flags)
{
    NEXT(send);
    return next(fd, data, shortened(fd, size), flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    NEXT(writev);
    if (count > 0 && parts[0].iov_len > 1) {
        size_t size = shortened(fd, parts[0].iov_len);

        if (size < parts[0].iov_len) {
            struct iovec first = {parts[0].iov_base, size};

            return next(fd, &first, 1);
        }
    }
    return next(fd, parts, count);
}

static int is_regular(int fd)
{
    struct stat found;
    int saved = errno;
    int regular = !fstat(fd, &found) && S_ISREG(found.st_mode);

    errno = saved;
    return regular;
}

static int disk_fails(int fd)
{
    return control && control[DISK] > 0 && is_regular(fd) && injects(DISK);
}

ssize_t pwrite(int fd, const void *data, size_t size, off_t at)
{
    NEXT(pwrite);
    if (!disk_fails(fd))
        return next(fd, data, size, at);
    if (size > 1 && draw(2)) /* half done: a part is written, and then there is no room */
        next(fd, data, size / 2, at);
    return fails_with(DISK_ERRORS, COUNT_OF(DISK_ERRORS));
}

ssize_t pwrite64(int fd, const void *data, size_t size, off64_t at)
{
    NEXT(pwrite64);
    if (!disk_fails(fd))
        return next(fd, data, size, at);
    if (size > 1 && draw(2))
        next(fd, data, size / 2, at);
    return fails_with(DISK_ERRORS, COUNT_OF(DISK_ERRORS));
}

int fsync(int fd)
{
    NEXT(fsync);
    if (disk_fails(fd)) {
        errno = EIO;
        return -1;
    }
    return next(fd);
}

int fdatasync(int fd)
{
    NEXT(fdatasync);
    if (disk_fails(fd)) {
        errno = EIO;
        return -1;
    }
    return next(fd);
}

static int64_t step_ms(void)
{
    return control ? control[WALL_STEP_MS] : 0;
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    int result;

    NEXT(clock_gettime);
    result = next(clock, now);
    if (!result && clock == CLOCK_REALTIME)
        now->tv_sec += step_ms() / 1000;
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone)
{
    int result;

    NEXT(gettimeofday);
    result = next(now, zone);
    if (!result)
        now->tv_sec += step_ms() / 1000;
    return result;
}

time_t time(time_t *now)
{
    time_t found;

    NEXT(time);
    found = next(NULL) + step_ms() / 1000;
    if (now)
        *now = found;
    return found;
}
