/* Makes system calls of a process fail at random with errors that Linux documents, and steps its wall clock.
 *
 * It is loaded into a router with LD_PRELOAD and configured by the environment:
 *   SOAK_SEED         seed of the random numbers
 *   SOAK_PER_MILLION  how many of a million calls fail
 *   SOAK_AFTER        seconds from the start of the process in which no call fails
 *   SOAK_STEPS        steps of the wall clock, as at:seconds,...
 * Only calls on sockets fail. Errors that end a connection are returned only on connections that the process
 * opened itself.
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

#define MAX_DESCRIPTORS 65536
#define MAX_STEPS 16
#define LENGTH(errors) (sizeof(errors) / sizeof((errors)[0]))
#define NEXT(name)                                                                                                     \
    ({                                                                                                                 \
        static __typeof__(&name) function;                                                                             \
        if (!function)                                                                                                 \
            function = (__typeof__(&name))dlsym(RTLD_NEXT, #name);                                                     \
        function;                                                                                                      \
    })

static uint64_t random_state;
static uint32_t per_million;
static double fail_after, started_at;
static struct { double at, seconds; } steps[MAX_STEPS];
static int step_count;
static unsigned char connected[MAX_DESCRIPTORS]; /* descriptors on which connect() was called */

static double monotonic(void) {
    struct timespec now;
    NEXT(clock_gettime)(CLOCK_MONOTONIC, &now);
    return (double)now.tv_sec + now.tv_nsec / 1e9;
}

__attribute__((constructor)) static void read_settings(void) {
    const char *value = getenv("SOAK_SEED");
    random_state = (value ? strtoull(value, NULL, 10) : 1) * 0x9E3779B97F4A7C15ULL ^ (uint64_t)getpid();
    value = getenv("SOAK_PER_MILLION");
    per_million = value ? (uint32_t)strtoul(value, NULL, 10) : 0;
    value = getenv("SOAK_AFTER");
    fail_after = value ? strtod(value, NULL) : 0.0;
    value = getenv("SOAK_STEPS");
    for (char *position = (char *)value; position && *position && step_count < MAX_STEPS; step_count++) {
        steps[step_count].at = strtod(position, &position);
        steps[step_count].seconds = *position == ':' ? strtod(position + 1, &position) : 0.0;
        position += *position == ',';
    }
    started_at = monotonic();
}

static uint32_t next_random(void) {
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (uint32_t)(random_state >> 32);
}

static int is_socket(int descriptor) {
    struct stat status;
    return fstat(descriptor, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int should_fail(int descriptor) {
    return per_million && next_random() % 1000000 < per_million && monotonic() - started_at >= fail_after &&
           is_socket(descriptor);
}

/* Fails a call with a random error, and logs it on standard error, which is the router's log. */
static int fail_call(const char *call, int descriptor, const int *errors, size_t count) {
    int error = errors[next_random() % count];
    dprintf(STDERR_FILENO, "system_faults: %.3f %s(%d) fails with %s\n", monotonic(), call, descriptor,
            strerrorname_np(error));
    errno = error;
    return -1;
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags) {
    static const int errors[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EINTR, EPERM};
    if (should_fail(descriptor))
        return fail_call("accept4", descriptor, errors, LENGTH(errors));
    int accepted = NEXT(accept4)(descriptor, address, length, flags);
    /* An event loop may close a descriptor by a direct system call, which close() below does not see. */
    if (accepted >= 0 && accepted < MAX_DESCRIPTORS)
        connected[accepted] = 0;
    return accepted;
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
    if (per_million && domain == AF_INET && next_random() % 1000000 < per_million &&
        monotonic() - started_at >= fail_after)
        return fail_call("socket", -1, errors, LENGTH(errors));
    return NEXT(socket)(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, ECONNREFUSED, EAGAIN};
    if (descriptor >= 0 && descriptor < MAX_DESCRIPTORS)
        connected[descriptor] = 1;
    if (should_fail(descriptor))
        return fail_call("connect", descriptor, errors, LENGTH(errors));
    return NEXT(connect)(descriptor, address, length);
}

int close(int descriptor) {
    if (descriptor >= 0 && descriptor < MAX_DESCRIPTORS)
        connected[descriptor] = 0;
    return NEXT(close)(descriptor);
}

static int should_break(int descriptor) { return connected[descriptor % MAX_DESCRIPTORS] && next_random() % 4 == 0; }

ssize_t read(int descriptor, void *data, size_t size) {
    static const int errors[] = {ETIMEDOUT, EHOSTUNREACH, ECONNRESET};
    static const int transient[] = {EINTR, EAGAIN};
    if (size > 1 && should_fail(descriptor)) {
        if (should_break(descriptor))
            return fail_call("read", descriptor, errors, LENGTH(errors));
        if (next_random() % 2)
            return fail_call("read", descriptor, transient, LENGTH(transient));
        size = 1 + next_random() % (size < 64 ? size : 64);
    }
    return NEXT(read)(descriptor, data, size);
}

ssize_t recv(int descriptor, void *data, size_t size, int flags) {
    if (size > 1 && should_fail(descriptor))
        size = 1 + next_random() % (size < 64 ? size : 64);
    return NEXT(recv)(descriptor, data, size, flags);
}

ssize_t write(int descriptor, const void *data, size_t size) {
    static const int transient[] = {EINTR, EAGAIN};
    if (size > 1 && should_fail(descriptor)) {
        if (next_random() % 2)
            return fail_call("write", descriptor, transient, LENGTH(transient));
        size = 1 + next_random() % (size - 1);
    }
    return NEXT(write)(descriptor, data, size);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count) {
    if (count > 0 && parts[0].iov_len > 1 && should_fail(descriptor))
        return NEXT(write)(descriptor, parts[0].iov_base, 1 + next_random() % (parts[0].iov_len - 1));
    return NEXT(writev)(descriptor, parts, count);
}

ssize_t send(int descriptor, const void *data, size_t size, int flags) {
    if (size > 1 && should_fail(descriptor))
        size = 1 + next_random() % (size - 1);
    return NEXT(send)(descriptor, data, size, flags);
}

static double clock_offset(void) {
    double elapsed = monotonic() - started_at, sum = 0.0;
    for (int i = 0; i < step_count; i++)
        if (elapsed >= steps[i].at)
            sum += steps[i].seconds;
    return sum;
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = NEXT(clock_gettime)(clock, now);
    if (result == 0 && clock == CLOCK_REALTIME && step_count)
        now->tv_sec += (time_t)clock_offset();
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
    int result = NEXT(gettimeofday)(now, zone);
    if (result == 0 && step_count)
        now->tv_sec += (time_t)clock_offset();
    return result;
}

time_t time(time_t *value) {
    time_t now = NEXT(time)(NULL) + (step_count ? (time_t)clock_offset() : 0);
    if (value)
        *value = now;
    return now;
}
