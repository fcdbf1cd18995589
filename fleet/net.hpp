// One thread, epoll, non-blocking sockets on loopback: tens of thousands of peers in one process. The
// platform's rule on threads binds the sender and not what stands in for its peers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "petrelpond/time.hpp"

namespace petrelpond::fleet {

// Due times in one ordered structure, and descriptors with what to do for them.
class Loop {
  public:
    using Handler = std::function<void(uint32_t events)>;
    using Timer = std::pair<Instant, uint64_t>;

    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    void watch(int fd, uint32_t events, Handler handler);
    void change(int fd, uint32_t events);
    void forget(int fd);  // before the descriptor is closed
    Timer at(Instant when, std::function<void()> what);
    void cancel(const Timer& timer) { timers_.erase(timer); }
    void run();
    // Ends run(), or the next one if none is under way.
    void stop() { stopped_ = true; }

    // Of the clock that does not jump, counted from the loop's start or from zeroNow().
    Instant now() const;
    void zeroNow();

    // How late timers were served: the judge's own lateness.
    double lateAt(double quantile) const;
    void forgetLateness() { late_.clear(); }
    void forgetTimers() { timers_.clear(); }

  private:
    struct Entry {
        uint32_t generation = 0;
        std::shared_ptr<Handler> handler;
    };
    int epoll_ = -1;
    int64_t zero_ = 0;
    bool stopped_ = false;
    uint64_t nextTimer_ = 0;
    std::vector<Entry> entries_;
    std::map<Timer, std::function<void()>> timers_;
    std::vector<float> late_;  // milliseconds
};

struct Message {
    std::string start, head, body;  // first line; all of the head; the body
    Instant firstByte, lastByte;
    std::string_view field(std::string_view name) const;  // empty where there is none
    int status() const;
};

// One connection that carries HTTP/1.1 messages with lengths, either way.
class Conn : public std::enable_shared_from_this<Conn> {
  public:
    std::function<void(Message&&)> onMessage;
    std::function<void(bool reset)> onClosed;  // once, by the other side or by an error; not by close()
    std::function<void()> onFirstByte;         // of each message

    Conn(Loop& loop, int fd) : loop_(loop), fd_(fd) {}
    ~Conn() { close(); }
    void start(bool connecting = false);
    void send(std::string_view bytes);
    void close();  // in order
    void reset();  // the other side sees a reset
    void deaf();   // neither read nor answered from now on, kept open
    void endOnceSent() { endOnceSent_ = true; }
    bool open() const { return fd_ >= 0; }
    int descriptor() const { return fd_; }
    uint64_t note = 0;  // the owner's
    size_t calls = 0;   // messages that came
    Instant idleSince;

  private:
    void handle(uint32_t events);
    void read();
    void parse();
    void flush();
    void broke(bool reset);

    Loop& loop_;
    int fd_;
    std::string in_, out_;
    Instant firstByte_;
    bool connecting_ = false, endOnceSent_ = false, deaf_ = false;
};

struct Bound {
    int fd = -1;
    std::string address;  // host:port
    int port = 0;
};
// Listens at a host of 127.0.0.0/8; port 0 for a free one. Throws std::runtime_error.
Bound listenOn(const std::string& host, int port, int backlog = 1024);
// Listens for all of 127.0.0.0/8 at one port, and only for what comes through the loopback device.
Bound listenOnLoopback(int backlog = 4096);
void closeNow(Bound& bound);  // one that no loop watches
void raiseDescriptors();      // to the machine's bound
std::string hostText(uint32_t host);  // four numbers, of one in host order
int acceptOne(int listener);
// The address of ours that the other side connected to, in host order.
uint32_t localHost(int fd);
int connectTo(const std::string& address);  // begun, non-blocking; -1 where there is no descriptor

// One line said there; what comes back up to its end, or nothing where none came in time. Told once.
void askLine(Loop& loop, const std::string& address, std::string line, Span within,
             std::function<void(std::optional<std::string>)> told);

std::string request(std::string_view method, std::string_view target, std::string_view fields,
                    std::string_view body);
std::string response(int status, std::string_view fields, std::string_view body);

}  // namespace petrelpond::fleet
