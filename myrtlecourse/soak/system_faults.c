/* Makes system calls of one process fail now and then as Linux documents, and steps its wall clock.
 *
 * Loaded with LD_PRELOAD into a router. By the environment: SOAK_SEED, SOAK_PER_MILLION (of calls that fail),
 * SOAK_AFTER (seconds from the start in which none does) and SOAK_STEPS (at:seconds,... of the wall clock).
 * Only sockets fail; an error that ends a connection is given only on those that the process opened itself.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MOST_DESCRIPTORS 65536
#define MOST_STEPS 16
#define COUNT(errors) (sizeof(errors) / sizeof((errors)[0]))
#define NEXT(name)                                                                                                     \
    ({                                                                                                                 \
        static __typeof__(&name) found;                                                                                \
        if (!found)                                                                                                    \
            found = (__typeof__(&name))dlsym(RTLD_NEXT, #name);                                                        \
        found;                                                                                                         \
    })

static uint64_t state;
static uint32_t per_million;
static double after, began;
static struct { double at, seconds; } steps[MOST_STEPS];
static int step_count;
static unsigned char opened[MOST_DESCRIPTORS]; /* descriptors on which connect() was called */

static double monotonic(void) {
    struct timespec now;
    NEXT(clock_gettime)(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + now.tv_nsec / 1e9;
}

__attribute__((constructor)) static void begin(void) {
    const char *told = getenv("SOAK_SEED");
    state = (told ? strtoull(told, NULL, 10) : 1) * 0x9E3779B97F4A7C15ULL ^ (uint64_t)getpid();
    told = getenv("SOAK_PER_MILLION");
    per_million = told ? (uint32_t)strtoul(told, NULL, 10) : 0;
    told = getenv("SOAK_AFTER");
    after = told ? strtod(told, NULL) : 0.0;
    told = getenv("SOAK_STEPS");
    for (char *rest = (char *)told; rest && *rest && step_count < MOST_STEPS; step_count++) {
        steps[step_count].at = strtod(rest, &rest);
        steps[step_count].seconds = *rest == ':' ? strtod(rest + 1, &rest) : 0.0;
        rest += *rest == ',';
    }
    began = monotonic();
}

static uint32_t draw(void) {
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return (uint32_t)(state >> 32);
}

static int is_socket(int descriptor) {
    struct stat found;
    return fstat(descriptor, &found) == 0 && S_ISSOCK(found.st_mode);
}

static int due(int descriptor) {
    return per_million && draw() % 1000000 < per_million && monotonic() - began >= after && is_socket(descriptor);
}

/* Fails a call, and tells so on standard error, where the router's log is. */
static int fail(const char *call, int descriptor, const int *errors, size_t count) {
    int error = errors[draw() % count];
    dprintf(STDERR_FILENO, "system_faults: %.3f %s(%d) fails with %s\n", monotonic(), call, descriptor,
            strerrorname_np(error));
    errno = error;
    return -1;
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags) {
    static const int errors[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EINTR, EPERM};
    if (due(descriptor))
        return fail("accept4", descriptor, errors, COUNT(errors));
    int accepted = NEXT(accept4)(descriptor, address, length, flags);
    /* an event loop may close by a system call of its own, which is not seen here */
    if (accepted >= 0 && accepted < MOST_DESCRIPTORS)
        opened[accepted] = 0;
    return accepted;
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
    if (per_million && domain == AF_INET && draw() % 1000000 < per_million && monotonic() - began >= after)
        return fail("socket", -1, errors, COUNT(errors));
    return NEXT(socket)(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, ECONNREFUSED, EAGAIN};
    if (descriptor >= 0 && descriptor < MOST_DESCRIPTORS)
        opened[descriptor] = 1;
    if (due(descriptor))
        return fail("connect", descriptor, errors, COUNT(errors));
    return NEXT(connect)(descriptor, address, length);
}

int close(int descriptor) {
    if (descriptor >= 0 && descriptor < MOST_DESCRIPTORS)
        opened[descriptor] = 0;
    return NEXT(close)(descriptor);
}

static int broken(int descriptor) { return opened[descriptor % MOST_DESCRIPTORS] && draw() % 4 == 0; }

ssize_t read(int descriptor, void *data, size_t size) {
    static const int errors[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};
    static const int passing[] = {EINTR, EAGAIN};
    if (size > 1 && due(descriptor)) {
        if (broken(descriptor))
            return fail("read", descriptor, errors, COUNT(errors));
        if (draw() % 2)
            return fail("read", descriptor, passing, COUNT(passing));
        size = 1 + draw() % (size < 64 ? size : 64);
    }
    return NEXT(read)(descriptor, data, size);
}

ssize_t recv(int descriptor, void *data, size_t size, int flags) {
    if (size > 1 && due(descriptor))
        size = 1 + draw() % (size < 64 ? size : 64);
    return NEXT(recv)(descriptor, data, size, flags);
}

ssize_t write(int descriptor, const void *data, size_t size) {
    static const int passing[] = {EINTR, EAGAIN};
    if (size > 1 && due(descriptor)) {
        if (draw() % 2)
            return fail("write", descriptor, passing, COUNT(passing));
        size = 1 + draw() % (size - 1);
    }
    return NEXT(write)(descriptor, data, size);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count) {
    if (count > 0 && parts[0].iov_len > 1 && due(descriptor))
        return NEXT(write)(descriptor, parts[0].iov_base, 1 + draw() % (parts[0].iov_len - 1));
    return NEXT(writev)(descriptor, parts, count);
}

ssize_t send(int descriptor, const void *data, size_t size, int flags) {
    if (size > 1 && due(descriptor))
        size = 1 + draw() % (size - 1);
    return NEXT(send)(descriptor, data, size, flags);
}

static double stepped(void) {
    double passed = monotonic() - began, sum = 0.0;
    for (int i = 0; i < step_count; i++)
        if (passed >= steps[i].at)
            sum += steps[i].seconds;
    return sum;
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int done = NEXT(clock_gettime)(clock, now);
    if (done == 0 && clock == CLOCK_REALTIME && step_count)
        now->tv_sec += (time_t)stepped();
    return done;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    int done = NEXT(gettimeofday)(now, zone);
    if (done == 0 && step_count)
        now->tv_sec += (time_t)stepped();
    return done;
}

time_t time(time_t *told) {
    time_t now = NEXT(time)(NULL) + (step_count ? (time_t)stepped() : 0);
    if (told)
        *told = now;
    return now;
}
