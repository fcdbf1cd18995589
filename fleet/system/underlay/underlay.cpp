// Linked into the range's own set of the programs and into nothing else: the C library's calls for sockets
// and files, with troubles in them. Everything above is object for object what is deployed. Cuts and losses
// are made by the kernel, by a filter on each socket that drops packets by their sender: so time-outs,
// repeats, connections that hang and datagrams that vanish are the kernel's own.
#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "fleet/system/underlay/weather.hpp"

namespace {

using namespace petrelpond::range;
using Clock = std::chrono::steady_clock;

constexpr int kMostFds = 16384;
enum : uint8_t { kNone, kSocket, kFile };
struct Fd {
    std::atomic<uint8_t> kind{kNone};
    std::atomic<uint32_t> peer{0};
    std::atomic<bool> filtered{false}, held{false};
    std::atomic<int> epoll{-1};
};
Fd fds[kMostFds];
MachineWeather slots[2];  // one is read while the other is filled
std::atomic<int> current{0};
std::string folder, disk;  // empty: no weather
int synced = -1, names = -1;
std::atomic<uint64_t> bytesOut{0}, bytesIn{0};  // between machines

const MachineWeather& weather() { return slots[current.load()]; }
bool known(int fd) { return fd >= 0 && fd < kMostFds; }

// Another machine's address: its network is not the endpoints' nor the clients'.
bool machine(uint32_t ip) { return ip != weather().own && (ip ^ weather().own) >> 10 == 0; }

const PeerWeather* towards(uint32_t ip) {
    const MachineWeather& w = weather();
    for (uint32_t i = 0; i < w.peers; ++i)
        if (w.peer[i].ip == ip) return &w.peer[i];
    return nullptr;
}

// From a signal's handler too: no memory is asked for, no lock is taken.
void apply(int fd) {
    static thread_local sock_filter code[2 + 5 * kMostPeers];
    const MachineWeather& w = weather();
    unsigned short n = 0;
    auto say = [&](uint16_t op, uint8_t yes, uint8_t no, uint32_t k) { code[n++] = {op, yes, no, k}; };
    say(BPF_LD | BPF_W | BPF_ABS, 0, 0, static_cast<uint32_t>(SKF_NET_OFF + 12));  // the sender's address
    for (uint32_t i = 0; i < w.peers; ++i) {
        if (w.peer[i].lossIn == 0) continue;
        say(BPF_JMP | BPF_JEQ | BPF_K, 0, 4, w.peer[i].ip);
        say(BPF_LD | BPF_W | BPF_ABS, 0, 0, static_cast<uint32_t>(SKF_AD_OFF + SKF_AD_RANDOM));
        say(BPF_JMP | BPF_JGT | BPF_K, 1, 0, w.peer[i].lossIn);
        say(BPF_RET | BPF_K, 0, 0, 0);
        say(BPF_RET | BPF_K, 0, 0, 0xffffffff);
    }
    int kept = errno, none = 0;
    if (n > 1) {
        say(BPF_RET | BPF_K, 0, 0, 0xffffffff);
        sock_fprog program{n, code};
        setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
        fds[fd].filtered = true;
    } else if (fds[fd].filtered.exchange(false)) {
        setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof none);
    }
    errno = kept;
}

void readWeather() {
    MachineWeather& next = slots[1 - current.load()];
    char path[512];
    snprintf(path, sizeof path, "%s/%s", folder.c_str(), kWeatherFile);
    int fd = static_cast<int>(syscall(SYS_openat, AT_FDCWD, path, O_RDONLY | O_CLOEXEC, 0));
    if (fd < 0) return;
    bool whole = syscall(SYS_read, fd, &next, sizeof next) == static_cast<long>(sizeof next);
    syscall(SYS_close, fd);
    if (whole) current = 1 - current;
}

void told(int) {
    int kept = errno;
    readWeather();
    for (int fd = 0; fd < kMostFds; ++fd)
        if (fds[fd].kind == kSocket) apply(fd);
    char path[512], text[128];  // and what has been said and heard so far
    snprintf(path, sizeof path, "%s/bytes-%d", folder.c_str(), static_cast<int>(getpid()));
    int n = snprintf(text, sizeof text, "%llu %llu\n", static_cast<unsigned long long>(bytesOut),
                     static_cast<unsigned long long>(bytesIn));
    int fd =
        static_cast<int>(syscall(SYS_openat, AT_FDCWD, path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644));
    if (fd >= 0) (void)!syscall(SYS_write, fd, text, n), syscall(SYS_close, fd);
    errno = kept;
}

struct Begin {
    Begin() {
        const char* said = getenv(kFolderVariable);
        if (!said) return;
        folder = said, disk = folder + "/disk";
        synced = static_cast<int>(syscall(SYS_openat, AT_FDCWD, (folder + "/" + kSyncedFile).c_str(),
                                          O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644));
        names = static_cast<int>(syscall(SYS_openat, AT_FDCWD, (folder + "/" + kNamesFile).c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644));
        mkdir((folder + "/" + kGraves).c_str(), 0755);
        // Ignored where it is not handled, so one that comes before this does no harm.
        struct sigaction action {};
        action.sa_handler = told, action.sa_flags = SA_RESTART;
        sigaction(SIGWINCH, &action, nullptr);
        readWeather();
    }
} begin;

void take(int fd, uint32_t peer) {
    if (!known(fd) || folder.empty()) return;
    fds[fd].peer = peer, fds[fd].held = false, fds[fd].epoll = -1;
    fds[fd].filtered = false, fds[fd].kind = kSocket;
    apply(fd);
}

// ---- what lies about before it goes out

struct Held {
    int fd = -1;  // of our own, so that a close here leaves what was said under way
    int from = -1;
    std::string bytes;
    sockaddr_in to{};
    bool datagram = false, ends = false;
};
struct Pump {
    std::mutex mutex;
    std::condition_variable more;
    std::multimap<Clock::time_point, Held> held;
    std::map<int, std::pair<int, Clock::time_point>> lines;  // by the program's descriptor: ours, the last
    bool going = false;

    void work() {
        sigset_t all;
        sigfillset(&all), pthread_sigmask(SIG_BLOCK, &all, nullptr);
        std::unique_lock lock(mutex);
        while (true) {
            if (held.empty()) {
                more.wait(lock);
                continue;
            }
            if (auto due = held.begin()->first; due > Clock::now()) {
                more.wait_until(lock, due);
                continue;
            }
            Held one = std::move(held.extract(held.begin()).mapped());
            lock.unlock();
            if (one.datagram)
                syscall(SYS_sendto, one.fd, one.bytes.data(), one.bytes.size(), MSG_NOSIGNAL, &one.to,
                        sizeof one.to);
            for (size_t at = 0; !one.datagram && at < one.bytes.size();) {
                long n = syscall(SYS_sendto, one.fd, one.bytes.data() + at, one.bytes.size() - at,
                                 MSG_NOSIGNAL, nullptr, 0);
                if (n > 0) at += static_cast<size_t>(n);
                if (n < 0 && errno != EAGAIN && errno != EINTR) break;
                pollfd waits{one.fd, POLLOUT, 0};
                if (n < 0) poll(&waits, 1, 50);
            }
            if (one.ends) syscall(SYS_shutdown, one.fd, SHUT_WR);
            if (one.ends || one.datagram) syscall(SYS_close, one.fd);
            lock.lock();
        }
    }
    // False: it may go out at once.
    bool hold(int fd, const void* bytes, size_t size, const sockaddr_in* to, bool ends) {
        const PeerWeather* peer = towards(to ? ntohl(to->sin_addr.s_addr) : fds[fd].peer.load());
        auto delay = std::chrono::microseconds(peer ? peer->delayOut : 0);
        uint32_t rate = peer && !to ? peer->bytesOut : 0;
        if (delay.count() == 0 && rate == 0 && (to || !fds[fd].held)) return false;
        std::lock_guard lock(mutex);
        auto due = Clock::now() + delay;
        Held one{-1, fd, std::string(static_cast<const char*>(bytes), size), {}, to != nullptr, ends};
        if (to) {
            one.fd = dup(fd), one.to = *to;
        } else {
            auto found = lines.find(fd);
            if (found == lines.end()) {
                if (ends) return false;
                found = lines.emplace(fd, std::pair(dup(fd), due)).first;
            }
            fds[fd].held = true;
            auto takes = std::chrono::microseconds(rate ? uint64_t(size) * 1000000 / rate : 0);
            due = found->second.second = std::max(due, found->second.second) + takes;
            one.fd = found->second.first;
            if (ends) lines.erase(found), fds[fd].held = false;
        }
        held.emplace(due, std::move(one));
        if (!going) going = true, std::thread([this] { work(); }).detach();
        more.notify_one();
        return true;
    }
};
Pump& pump() {
    static Pump* one = new Pump;  // outlives the exit, as its thread does
    return *one;
}

// ---- the disk

bool onDisk(const char* path) { return !disk.empty() && strncmp(path, disk.c_str(), disk.size()) == 0; }

void awaitDisk() {
    while (weather().disk.stalled) usleep(10000);
}

void note(int fd, bool nothing) {
    struct stat now {};
    if (fstat(fd, &now) != 0 || !S_ISREG(now.st_mode)) return;
    SyncedEntry entry{now.st_ino, nothing ? 0 : static_cast<uint64_t>(now.st_size)};
    (void)!syscall(SYS_write, synced, &entry, sizeof entry);
}

void noteName(const std::string& line) { (void)!syscall(SYS_write, names, line.data(), line.size()); }

std::string folderOf(const char* path) {
    struct stat is {};
    return stat(std::string(path, strrchr(path, '/')).c_str(), &is) == 0 ? std::to_string(is.st_ino) : "0";
}

// A link to what stands under this name, as it may have to come back, or to be put there again.
std::string buried(const char* path) {
    static std::atomic<int> count{0};
    std::string grave =
        folder + "/" + kGraves + "/" + std::to_string(getpid()) + "-" + std::to_string(++count);
    return link(path, grave.c_str()) == 0 ? grave : "-";
}

int synchronize(int fd, long call) {
    if (!known(fd) || fds[fd].kind != kFile) return static_cast<int>(syscall(call, fd));
    awaitDisk();
    DiskWeather is = weather().disk;
    struct stat before {};
    fstat(fd, &before);
    if (is.slow > 0) usleep(is.slow);
    awaitDisk();
    // Not passed on: what counts as synced is what the ledger says, and how long it takes is the weather's.
    // The disk below is the host's, and all machines of the play would wait for it together.
    if (S_ISDIR(before.st_mode)) noteName("S " + std::to_string(before.st_ino) + "\n");
    SyncedEntry entry{before.st_ino, static_cast<uint64_t>(before.st_size)};
    if (S_ISREG(before.st_mode)) (void)!syscall(SYS_write, synced, &entry, sizeof entry);
    return 0;
}

}  // namespace

extern "C" {

int connect(int fd, const sockaddr* to, socklen_t size) {
    if (!folder.empty() && to->sa_family == AF_INET && weather().own != 0) {
        // From the machine's own address, by which filters tell machines apart.
        sockaddr_in own{};
        int yes = 1;
        own.sin_family = AF_INET, own.sin_addr.s_addr = htonl(weather().own);
        setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &yes, sizeof yes);
        syscall(SYS_bind, fd, &own, sizeof own);
        take(fd, ntohl(reinterpret_cast<const sockaddr_in*>(to)->sin_addr.s_addr));
    }
    return static_cast<int>(syscall(SYS_connect, fd, to, size));
}

int bind(int fd, const sockaddr* at, socklen_t size) noexcept {
    if (at->sa_family == AF_INET) take(fd, 0);
    return static_cast<int>(syscall(SYS_bind, fd, at, size));
}

int accept4(int fd, sockaddr* from, socklen_t* size, int flags) {
    int taken = static_cast<int>(syscall(SYS_accept4, fd, from, size, flags));
    if (taken >= 0 && from && from->sa_family == AF_INET)
        take(taken, ntohl(reinterpret_cast<sockaddr_in*>(from)->sin_addr.s_addr));
    return taken;
}

int epoll_ctl(int epoll, int op, int fd, epoll_event* event) noexcept {
    if (known(fd) && op == EPOLL_CTL_ADD) fds[fd].epoll = epoll;
    return static_cast<int>(syscall(SYS_epoll_ctl, epoll, op, fd, event));
}

ssize_t send(int fd, const void* bytes, size_t size, int flags) {
    bool ours = known(fd) && fds[fd].kind == kSocket;
    bool away = ours && machine(fds[fd].peer);
    if (ours && pump().hold(fd, bytes, size, nullptr, false)) {
        bytesOut += away ? size : 0;
        return static_cast<ssize_t>(size);
    }
    ssize_t n = syscall(SYS_sendto, fd, bytes, size, flags, nullptr, 0);
    if (n > 0 && away) bytesOut += static_cast<uint64_t>(n);
    return n;
}

ssize_t sendto(int fd, const void* bytes, size_t size, int flags, const sockaddr* to, socklen_t length) {
    if (known(fd) && fds[fd].kind == kSocket && to) {
        bytesOut += size;
        if (pump().hold(fd, bytes, size, reinterpret_cast<const sockaddr_in*>(to), false))
            return static_cast<ssize_t>(size);
    }
    return syscall(SYS_sendto, fd, bytes, size, flags, to, length);
}

ssize_t recv(int fd, void* bytes, size_t size, int flags) {
    ssize_t n = syscall(SYS_recvfrom, fd, bytes, size, flags, nullptr, nullptr);
    if (n > 0 && known(fd) && machine(fds[fd].peer)) bytesIn += static_cast<uint64_t>(n);
    return n;
}

ssize_t recvfrom(int fd, void* bytes, size_t size, int flags, sockaddr* from, socklen_t* length) {
    ssize_t n = syscall(SYS_recvfrom, fd, bytes, size, flags, from, length);
    if (n > 0) bytesIn += static_cast<uint64_t>(n);
    return n;
}

int shutdown(int fd, int how) noexcept {
    if (known(fd) && fds[fd].held && how == SHUT_WR && pump().hold(fd, "", 0, nullptr, true)) return 0;
    return static_cast<int>(syscall(SYS_shutdown, fd, how));
}

int close(int fd) {
    if (known(fd) && fds[fd].kind != kNone) {
        if (fds[fd].held) {  // our copy would keep it in the round's set
            if (fds[fd].epoll >= 0) syscall(SYS_epoll_ctl, fds[fd].epoll.load(), EPOLL_CTL_DEL, fd, nullptr);
            pump().hold(fd, "", 0, nullptr, true);
        }
        fds[fd].kind = kNone;
    }
    return static_cast<int>(syscall(SYS_close, fd));
}

int open(const char* path, int flags, ...) {
    va_list more;
    va_start(more, flags);
    mode_t mode = flags & O_CREAT ? va_arg(more, mode_t) : 0;
    va_end(more);
    bool ours = onDisk(path), writes = ours && (flags & (O_WRONLY | O_RDWR)) != 0;
    if (ours) awaitDisk();
    struct stat before {};
    bool is = ours && stat(path, &before) == 0;
    if (ours && !is && (flags & O_CREAT) && weather().disk.full) return errno = ENOSPC, -1;
    bool fresh = writes && ((flags & O_TRUNC) || !is);
    int fd = static_cast<int>(syscall(SYS_openat, AT_FDCWD, path, flags, mode));
    if (ours && known(fd)) {
        fds[fd].kind = kFile;
        if (fresh) note(fd, true);
        if (!is && (flags & O_CREAT))
            noteName("M " + folderOf(path) + " " + path + " " + buried(path) + "\n");
    }
    return fd;
}

int rename(const char* from, const char* to) noexcept {
    if (onDisk(to)) {
        awaitDisk();
        noteName("R " + folderOf(to) + " " + from + " " + to + " " + buried(to) + " " + buried(from) + "\n");
    }
    return static_cast<int>(syscall(SYS_renameat2, AT_FDCWD, from, AT_FDCWD, to, 0));
}

int unlink(const char* path) noexcept {
    if (onDisk(path)) {
        awaitDisk();
        noteName("U " + folderOf(path) + " " + path + " " + buried(path) + "\n");
    }
    return static_cast<int>(syscall(SYS_unlinkat, AT_FDCWD, path, 0));
}

int mkdir(const char* path, mode_t mode) noexcept {
    int done = static_cast<int>(syscall(SYS_mkdirat, AT_FDCWD, path, mode));
    if (done == 0 && onDisk(path)) noteName("D " + folderOf(path) + " " + path + "\n");
    return done;
}

ssize_t write(int fd, const void* bytes, size_t size) {
    if (known(fd) && fds[fd].kind == kFile) {
        awaitDisk();
        if (weather().disk.full) {  // what is left of it takes half of this, then no more
            if (size < 2) return errno = ENOSPC, -1;
            size /= 2;
        }
    }
    return syscall(SYS_write, fd, bytes, size);
}

int fdatasync(int fd) { return synchronize(fd, SYS_fdatasync); }
int fsync(int fd) { return synchronize(fd, SYS_fsync); }

}  // extern "C"
