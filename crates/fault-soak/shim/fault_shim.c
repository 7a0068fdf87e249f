/* A library for LD_PRELOAD that makes chosen system calls of one process fail, or do part of their work, and
 * that shifts its wall clock. What fails, how often and how is read from a file that the harness rewrites
 * while the process runs; its layout stands twice, here and in `src/shim.rs`. */
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

/* The calls, in the order of `Call` in `src/shim.rs`. */
enum call { WRITE_FILE, TRUNCATE, RENAME, OPEN_FILE, UNLINK, READ_FILE, LOCK, ACCEPT, SOCKET, CONNECT, RECEIVE, SEND,
            EPOLL_WAIT, CALLS };

/* How a call that is chosen to fail does so, as bits of `modes`; one of those that are set is drawn. */
enum mode { FAILS = 1, PARTLY_DONE = 2, DONE_BUT_FAILED = 4, LIES = 8 };

#define MAX_ERRNOS 4
#define RATE_SCALE 10000

struct rule {
    uint32_t rate;
    uint32_t modes;
    uint32_t errnos[MAX_ERRNOS];
    uint32_t injected;
    uint32_t reserved;
};

struct control {
    int64_t wall_offset_us;
    struct rule rules[CALLS];
};

static struct control *control;
static const char *state_folder;
static uint64_t random_state;
/* The next write to this file fails: its predecessor was cut short. */
static int failing_descriptor = -1;

static uint32_t draw(uint32_t bound) {
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return bound ? (uint32_t)(random_state >> 16) % bound : 0;
}

__attribute__((constructor)) static void start(void) {
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

/* The mode in which this call fails now; 0 if it does not. */
static uint32_t chosen_mode(enum call call) {
    if (!control) return 0;
    struct rule *rule = &control->rules[call];
    uint32_t modes = rule->modes;
    if (!rule->rate || !modes || draw(RATE_SCALE) >= rule->rate) return 0;
    rule->injected++;
    uint32_t mode;
    do mode = 1u << draw(4); while (!(modes & mode));
    return mode;
}

static int fail(enum call call) {
    uint32_t errnos = 0;
    while (errnos < MAX_ERRNOS && control->rules[call].errnos[errnos]) errnos++;
    errno = errnos ? (int)control->rules[call].errnos[draw(errnos)] : EIO;
    return -1;
}

#define NEXT(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

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

/* Files. */

static ssize_t write_file(int descriptor, const void *bytes, size_t length) {
    static ssize_t (*next)(int, const void *, size_t);
    if (!next) next = NEXT(write);
    if (failing_descriptor == descriptor) {
        failing_descriptor = -1;
        return fail(WRITE_FILE);
    }
    switch (chosen_mode(WRITE_FILE)) {
    case FAILS: return fail(WRITE_FILE);
    case PARTLY_DONE:
        failing_descriptor = descriptor;
        return next(descriptor, bytes, length > 1 ? 1 + draw((uint32_t)length - 1) : length);
    case DONE_BUT_FAILED: next(descriptor, bytes, length); return fail(WRITE_FILE);
    case LIES: return (ssize_t)length;
    default: return next(descriptor, bytes, length);
    }
}

static ssize_t send_bytes(int descriptor, const void *bytes, size_t length, int flags) {
    static ssize_t (*next)(int, const void *, size_t, int);
    if (!next) next = NEXT(send);
    switch (chosen_mode(SEND)) {
    case FAILS: return fail(SEND);
    case PARTLY_DONE: return next(descriptor, bytes, length > 1 ? 1 + draw((uint32_t)length - 1) : length, flags);
    default: return next(descriptor, bytes, length, flags);
    }
}

ssize_t write(int descriptor, const void *bytes, size_t length) {
    static ssize_t (*next)(int, const void *, size_t);
    if (!next) next = NEXT(write);
    /* The log is spared. */
    mode_t type = control && descriptor > STDERR_FILENO ? descriptor_type(descriptor) : 0;
    if (type == S_IFREG) return write_file(descriptor, bytes, length);
    if (type == S_IFSOCK) return send_bytes(descriptor, bytes, length, MSG_NOSIGNAL);
    return next(descriptor, bytes, length);
}

ssize_t send(int descriptor, const void *bytes, size_t length, int flags) {
    return send_bytes(descriptor, bytes, length, flags);
}

ssize_t writev(int descriptor, const struct iovec *slices, int count) {
    static ssize_t (*next)(int, const struct iovec *, int);
    if (!next) next = NEXT(writev);
    if (descriptor_type(descriptor) == S_IFSOCK) {
        switch (chosen_mode(SEND)) {
        case FAILS: return fail(SEND);
        case PARTLY_DONE: return next(descriptor, slices, 1);
        }
    }
    return next(descriptor, slices, count);
}

static ssize_t receive_bytes(int descriptor, void *bytes, size_t length, int flags) {
    static ssize_t (*next)(int, void *, size_t, int);
    if (!next) next = NEXT(recv);
    switch (flags & MSG_PEEK ? 0 : chosen_mode(RECEIVE)) {
    case FAILS: return fail(RECEIVE);
    case PARTLY_DONE: return next(descriptor, bytes, length > 1 ? 1 + draw(length < 64 ? (uint32_t)length : 64) : length, flags);
    default: return next(descriptor, bytes, length, flags);
    }
}

ssize_t recv(int descriptor, void *bytes, size_t length, int flags) {
    return receive_bytes(descriptor, bytes, length, flags);
}

ssize_t recvmsg(int descriptor, struct msghdr *message, int flags) {
    static ssize_t (*next)(int, struct msghdr *, int);
    if (!next) next = NEXT(recvmsg);
    return chosen_mode(RECEIVE) == FAILS ? fail(RECEIVE) : next(descriptor, message, flags);
}

ssize_t sendmsg(int descriptor, const struct msghdr *message, int flags) {
    static ssize_t (*next)(int, const struct msghdr *, int);
    if (!next) next = NEXT(sendmsg);
    return chosen_mode(SEND) == FAILS ? fail(SEND) : next(descriptor, message, flags);
}

ssize_t read(int descriptor, void *bytes, size_t length) {
    static ssize_t (*next)(int, void *, size_t);
    if (!next) next = NEXT(read);
    mode_t type = control ? descriptor_type(descriptor) : 0;
    if (type == S_IFSOCK) return receive_bytes(descriptor, bytes, length, 0);
    if (type == S_IFREG) {
        switch (chosen_mode(READ_FILE)) {
        case FAILS: return fail(READ_FILE);
        case PARTLY_DONE: return next(descriptor, bytes, length > 1 ? 1 + draw((uint32_t)length - 1) : length);
        }
    }
    return next(descriptor, bytes, length);
}

static int open_checked(const char *path, int flags, mode_t mode) {
    static int (*next)(const char *, int, ...);
    if (!next) next = (int (*)(const char *, int, ...))dlsym(RTLD_NEXT, "open64");
    if (is_state_path(path) && chosen_mode(OPEN_FILE)) return fail(OPEN_FILE);
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
    return chosen_mode(TRUNCATE) ? fail(TRUNCATE) : next(descriptor, length);
}

int rename(const char *from, const char *to) {
    static int (*next)(const char *, const char *);
    if (!next) next = NEXT(rename);
    switch (chosen_mode(RENAME)) {
    case 0: return next(from, to);
    case DONE_BUT_FAILED: next(from, to); return fail(RENAME);
    default: return fail(RENAME);
    }
}

int unlink(const char *path) {
    static int (*next)(const char *);
    if (!next) next = NEXT(unlink);
    return is_state_path(path) && chosen_mode(UNLINK) ? fail(UNLINK) : next(path);
}

int flock(int descriptor, int operation) {
    static int (*next)(int, int);
    if (!next) next = NEXT(flock);
    return chosen_mode(LOCK) ? fail(LOCK) : next(descriptor, operation);
}

/* Sockets. */

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags) {
    static int (*next)(int, struct sockaddr *, socklen_t *, int);
    if (!next) next = NEXT(accept4);
    return chosen_mode(ACCEPT) ? fail(ACCEPT) : next(descriptor, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    static int (*next)(int, int, int);
    if (!next) next = NEXT(socket);
    return chosen_mode(SOCKET) ? fail(SOCKET) : next(domain, type, protocol);
}

int socketpair(int domain, int type, int protocol, int descriptors[2]) {
    static int (*next)(int, int, int, int *);
    if (!next) next = (int (*)(int, int, int, int *))dlsym(RTLD_NEXT, "socketpair");
    return chosen_mode(SOCKET) ? fail(SOCKET) : next(domain, type, protocol, descriptors);
}

int epoll_create1(int flags) {
    static int (*next)(int);
    if (!next) next = NEXT(epoll_create1);
    return chosen_mode(SOCKET) ? fail(SOCKET) : next(flags);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
    static int (*next)(int, const struct sockaddr *, socklen_t);
    if (!next) next = NEXT(connect);
    return chosen_mode(CONNECT) ? fail(CONNECT) : next(descriptor, address, length);
}

int epoll_wait(int descriptor, struct epoll_event *events, int count, int timeout) {
    static int (*next)(int, struct epoll_event *, int, int);
    if (!next) next = NEXT(epoll_wait);
    return chosen_mode(EPOLL_WAIT) ? fail(EPOLL_WAIT) : next(descriptor, events, count, timeout);
}

/* Clocks: the wall clock may be stepped, the monotonic one never is. */

int clock_gettime(clockid_t clock, struct timespec *time) {
    static int (*next)(clockid_t, struct timespec *);
    if (!next) next = NEXT(clock_gettime);
    int result = next(clock, time);
    if (!result && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t nanos = (int64_t)time->tv_sec * 1000000000 + time->tv_nsec + control->wall_offset_us * 1000;
        time->tv_sec = nanos / 1000000000;
        time->tv_nsec = nanos % 1000000000;
    }
    return result;
}
