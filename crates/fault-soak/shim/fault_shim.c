/* A library for LD_PRELOAD that makes selected system calls of a process fail, or do a part of their work,
 * and that shifts its wall clock. Which calls fail, how often and how is read from a control file, which the
 * harness changes while the process runs. The layout of the file is defined here and in `src/shim.rs`. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/file.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* Kinds of system calls, in the order of `Syscall` in `src/shim.rs`. */
enum syscall { WRITE_FILE, TRUNCATE, RENAME, OPEN_FILE, UNLINK, READ_FILE, LOCK, ACCEPT, SOCKET, CONNECT, RECEIVE, SEND,
               EPOLL_WAIT, CLOCK, SYSCALL_COUNT };

/* How a call fails, as bits of `modes`; for each failing call, one of the bits that are set is drawn. A call that
 * is held is done as usual, but the process is held up right before or right after it. */
enum failure { NOT_DONE = 1, PARTIAL = 2, FALSE_FAILURE = 4, FALSE_SUCCESS = 8, DELAYED = 16, HELD_BEFORE = 32,
               HELD_AFTER = 64 };
/* Number of bits in `enum failure`. */
#define FAILURE_COUNT 7
/* Least time from one hold of the process to the next, in microseconds. */
#define HOLD_INTERVAL_US 400000

/* Maximum number of error numbers in a rule. */
#define MAX_ERRNOS 4
/* Rate at which every call fails; rates are numbers of failing calls per this many calls. */
#define RATE_SCALE 10000

struct failure_rule {
    uint32_t rate; /* how many of RATE_SCALE calls fail */
    uint32_t modes; /* bits of `enum failure` */
    uint32_t errnos[MAX_ERRNOS]; /* error numbers, up to the first 0; EIO is used if there are none. For a delay,
                                    the first is its time in milliseconds; for a hold, one of them is. */
    uint32_t injected; /* number of failures so far */
    uint32_t passes; /* number of calls that are done before the first one fails */
};

struct control {
    int64_t wall_offset_us; /* added to the wall clock, in microseconds */
    struct failure_rule rules[SYSCALL_COUNT];
};

static struct control *control;
static const char *state_folder;
static uint64_t random_state;
/* The next write to this descriptor fails, because the last one was partial; -1 for none. */
static int partially_written_descriptor = -1;

/* Returns a random number below `bound`; 0 if that is 0. */
static uint32_t draw_below(uint32_t bound) {
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return bound ? (uint32_t)(random_state >> 16) % bound : 0;
}

__attribute__((constructor)) static void initialize(void) {
    const char *path = getenv("FAULT_SHIM_CONTROL");
    const char *seed = getenv("FAULT_SHIM_SEED");
    state_folder = getenv("ROUTER_STATE");
    random_state = (seed ? strtoull(seed, NULL, 10) : 1) * 2654435761u + (uint64_t)getpid() + 1;
    if (!path) return;
    int descriptor = open(path, O_RDWR | O_CLOEXEC);
    if (descriptor < 0) return;
    void *mapped = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    close(descriptor);
    if (mapped != MAP_FAILED) control = mapped;
}

/* The function of this name that this library replaces. */
#define NEXT(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

static int next_clock_gettime(clockid_t clock, struct timespec *time) {
    static int (*next)(clockid_t, struct timespec *);
    if (!next) next = NEXT(clock_gettime);
    return next(clock, time);
}

static int64_t monotonic_us(void) {
    struct timespec now;
    next_clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/* Returns one of the numbers of a rule; 0 if it has none. */
static uint32_t draw_errno(const struct failure_rule *rule) {
    uint32_t errnos = 0;
    while (errnos < MAX_ERRNOS && rule->errnos[errnos]) errnos++;
    return errnos ? rule->errnos[draw_below(errnos)] : 0;
}

/* Holds the process up for one of the times of the rule. */
static void hold(const struct failure_rule *rule) {
    int saved = errno;
    usleep(draw_errno(rule) * 1000);
    errno = saved;
}

/* Whether the process may be held now: holds do not add up to more than one in the interval. */
static int may_hold(void) {
    static int64_t last_hold_us;
    int64_t now = monotonic_us();
    if (last_hold_us && now - last_hold_us < HOLD_INTERVAL_US) return 0;
    last_hold_us = now;
    return 1;
}

/* Draws whether this call fails, and how; returns 0 if it does not. */
static uint32_t draw_failure(enum syscall call) {
    if (!control) return 0;
    struct failure_rule *rule = &control->rules[call];
    uint32_t modes = rule->modes;
    if (!rule->rate || !modes) return 0;
    if (rule->passes) {
        rule->passes--;
        return 0;
    }
    if (draw_below(RATE_SCALE) >= rule->rate) return 0;
    uint32_t mode;
    do mode = 1u << draw_below(FAILURE_COUNT); while (!(modes & mode));
    if ((mode == HELD_BEFORE || mode == HELD_AFTER) && !may_hold()) return 0;
    rule->injected++;
    if (mode == DELAYED) usleep(rule->errnos[0] * 1000);
    if (mode == HELD_BEFORE) {
        hold(rule);
        return 0;
    }
    return mode;
}

/* Holds the process up if this is how its call `fails`, after it was done; returns the result of the call. */
static ssize_t finish(enum syscall call, uint32_t mode, ssize_t result) {
    if (mode == HELD_AFTER) hold(&control->rules[call]);
    return result;
}

/* Sets errno to one of the error numbers of the rule and returns -1. */
static int fail(enum syscall call) {
    uint32_t drawn = draw_errno(&control->rules[call]);
    errno = drawn ? (int)drawn : EIO;
    return -1;
}

static mode_t descriptor_type(int descriptor) {
    struct stat status;
    int saved = errno;
    mode_t type = fstat(descriptor, &status) ? 0 : status.st_mode & S_IFMT;
    errno = saved;
    return type;
}

static int is_state_path(const char *path) {
    return path && state_folder && !strncmp(path, state_folder, strlen(state_folder));
}

/* Files, and reads and writes of sockets. */

static ssize_t write_file(int descriptor, const void *bytes, size_t length) {
    static ssize_t (*next)(int, const void *, size_t);
    if (!next) next = NEXT(write);
    if (partially_written_descriptor == descriptor) {
        partially_written_descriptor = -1;
        return fail(WRITE_FILE);
    }
    switch (draw_failure(WRITE_FILE)) {
    case NOT_DONE: return fail(WRITE_FILE);
    case PARTIAL:
        partially_written_descriptor = descriptor;
        return next(descriptor, bytes, length > 1 ? 1 + draw_below((uint32_t)length - 1) : length);
    case FALSE_FAILURE: next(descriptor, bytes, length); return fail(WRITE_FILE);
    case FALSE_SUCCESS: return (ssize_t)length;
    default: return next(descriptor, bytes, length);
    }
}

static ssize_t send_bytes(int descriptor, const void *bytes, size_t length, int flags) {
    static ssize_t (*next)(int, const void *, size_t, int);
    if (!next) next = NEXT(send);
    uint32_t mode = draw_failure(SEND);
    switch (mode) {
    case NOT_DONE: return fail(SEND);
    case PARTIAL: return next(descriptor, bytes, length > 1 ? 1 + draw_below((uint32_t)length - 1) : length, flags);
    default: return finish(SEND, mode, next(descriptor, bytes, length, flags));
    }
}

ssize_t write(int descriptor, const void *bytes, size_t length) {
    static ssize_t (*next)(int, const void *, size_t);
    if (!next) next = NEXT(write);
    /* Writes to stderr never fail, as it is the log. */
    mode_t type = control && descriptor > STDERR_FILENO ? descriptor_type(descriptor) : 0;
    if (type == S_IFREG) return write_file(descriptor, bytes, length);
    if (type == S_IFSOCK) return send_bytes(descriptor, bytes, length, MSG_NOSIGNAL);
    return next(descriptor, bytes, length);
}

ssize_t send(int descriptor, const void *bytes, size_t length, int flags) {
    return send_bytes(descriptor, bytes, length, flags);
}

ssize_t writev(int descriptor, const struct iovec *vectors, int count) {
    static ssize_t (*next)(int, const struct iovec *, int);
    if (!next) next = NEXT(writev);
    if (descriptor_type(descriptor) == S_IFSOCK) {
        uint32_t mode = draw_failure(SEND);
        switch (mode) {
        case NOT_DONE: return fail(SEND);
        case PARTIAL: return next(descriptor, vectors, 1);
        default: return finish(SEND, mode, next(descriptor, vectors, count));
        }
    }
    return next(descriptor, vectors, count);
}

static ssize_t receive_bytes(int descriptor, void *bytes, size_t length, int flags) {
    static ssize_t (*next)(int, void *, size_t, int);
    if (!next) next = NEXT(recv);
    uint32_t mode = flags & MSG_PEEK ? 0 : draw_failure(RECEIVE);
    switch (mode) {
    case NOT_DONE: return fail(RECEIVE);
    case PARTIAL: return next(descriptor, bytes, length > 1 ? 1 + draw_below(length < 64 ? (uint32_t)length : 64) : length, flags);
    default: return finish(RECEIVE, mode, next(descriptor, bytes, length, flags));
    }
}

ssize_t recv(int descriptor, void *bytes, size_t length, int flags) {
    return receive_bytes(descriptor, bytes, length, flags);
}

ssize_t recvmsg(int descriptor, struct msghdr *message, int flags) {
    static ssize_t (*next)(int, struct msghdr *, int);
    if (!next) next = NEXT(recvmsg);
    uint32_t mode = draw_failure(RECEIVE);
    return mode == NOT_DONE ? fail(RECEIVE) : finish(RECEIVE, mode, next(descriptor, message, flags));
}

ssize_t sendmsg(int descriptor, const struct msghdr *message, int flags) {
    static ssize_t (*next)(int, const struct msghdr *, int);
    if (!next) next = NEXT(sendmsg);
    uint32_t mode = draw_failure(SEND);
    return mode == NOT_DONE ? fail(SEND) : finish(SEND, mode, next(descriptor, message, flags));
}

ssize_t read(int descriptor, void *bytes, size_t length) {
    static ssize_t (*next)(int, void *, size_t);
    if (!next) next = NEXT(read);
    mode_t type = control ? descriptor_type(descriptor) : 0;
    if (type == S_IFSOCK) return receive_bytes(descriptor, bytes, length, 0);
    if (type == S_IFREG) {
        switch (draw_failure(READ_FILE)) {
        case NOT_DONE: return fail(READ_FILE);
        case PARTIAL: return next(descriptor, bytes, length > 1 ? 1 + draw_below((uint32_t)length - 1) : length);
        }
    }
    return next(descriptor, bytes, length);
}

static int open_checked(const char *path, int flags, mode_t mode) {
    static int (*next)(const char *, int, ...);
    if (!next) next = (int (*)(const char *, int, ...))dlsym(RTLD_NEXT, "open64");
    if (is_state_path(path) && draw_failure(OPEN_FILE)) return fail(OPEN_FILE);
    return next(path, flags, mode);
}

static mode_t mode_argument(int flags, va_list arguments) {
    return flags & (O_CREAT | O_TMPFILE) ? va_arg(arguments, mode_t) : 0;
}

int open(const char *path, int flags, ...) {
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = mode_argument(flags, arguments);
    va_end(arguments);
    return open_checked(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = mode_argument(flags, arguments);
    va_end(arguments);
    return open_checked(path, flags, mode);
}

int ftruncate64(int descriptor, off64_t length) {
    static int (*next)(int, off64_t);
    if (!next) next = NEXT(ftruncate64);
    return draw_failure(TRUNCATE) ? fail(TRUNCATE) : next(descriptor, length);
}

int rename(const char *from, const char *to) {
    static int (*next)(const char *, const char *);
    if (!next) next = NEXT(rename);
    switch (draw_failure(RENAME)) {
    case 0: return next(from, to);
    case FALSE_FAILURE: next(from, to); return fail(RENAME);
    default: return fail(RENAME);
    }
}

int unlink(const char *path) {
    static int (*next)(const char *);
    if (!next) next = NEXT(unlink);
    return is_state_path(path) && draw_failure(UNLINK) ? fail(UNLINK) : next(path);
}

int flock(int descriptor, int operation) {
    static int (*next)(int, int);
    if (!next) next = NEXT(flock);
    return draw_failure(LOCK) ? fail(LOCK) : next(descriptor, operation);
}

/* Sockets and epoll. */

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags) {
    static int (*next)(int, struct sockaddr *, socklen_t *, int);
    if (!next) next = NEXT(accept4);
    uint32_t mode = draw_failure(ACCEPT);
    if (mode && mode != HELD_AFTER) return fail(ACCEPT);
    return (int)finish(ACCEPT, mode, next(descriptor, address, length, flags));
}

int socket(int domain, int type, int protocol) {
    static int (*next)(int, int, int);
    if (!next) next = NEXT(socket);
    return draw_failure(SOCKET) ? fail(SOCKET) : next(domain, type, protocol);
}

int socketpair(int domain, int type, int protocol, int descriptors[2]) {
    static int (*next)(int, int, int, int *);
    if (!next) next = (int (*)(int, int, int, int *))dlsym(RTLD_NEXT, "socketpair");
    return draw_failure(SOCKET) ? fail(SOCKET) : next(domain, type, protocol, descriptors);
}

int epoll_create1(int flags) {
    static int (*next)(int);
    if (!next) next = NEXT(epoll_create1);
    return draw_failure(SOCKET) ? fail(SOCKET) : next(flags);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    static int (*next)(int, const struct sockaddr *, socklen_t);
    if (!next) next = NEXT(connect);
    uint32_t mode = draw_failure(CONNECT);
    if (mode && mode != HELD_AFTER) return fail(CONNECT);
    return (int)finish(CONNECT, mode, next(descriptor, address, length));
}

int epoll_wait(int descriptor, struct epoll_event *events, int count, int timeout) {
    static int (*next)(int, struct epoll_event *, int, int);
    if (!next) next = NEXT(epoll_wait);
    uint32_t mode = draw_failure(EPOLL_WAIT);
    if (mode && mode != HELD_AFTER) return fail(EPOLL_WAIT);
    return (int)finish(EPOLL_WAIT, mode, next(descriptor, events, count, timeout));
}

/* Clocks: the wall clock is shifted, the monotonic clock is not. The process may be held up around a reading. */

int clock_gettime(clockid_t clock, struct timespec *time) {
    uint32_t mode = draw_failure(CLOCK);
    int result = (int)finish(CLOCK, mode, next_clock_gettime(clock, time));
    if (!result && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t nanos = (int64_t)time->tv_sec * 1000000000 + time->tv_nsec + control->wall_offset_us * 1000;
        time->tv_sec = nanos / 1000000000;
        time->tv_nsec = nanos % 1000000000;
    }
    return result;
}
