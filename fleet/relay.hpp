// Between the senders' processes, on sockets: every sender reaches every other at an address of this relay's that
// is that pair's alone, and what becomes of a message on its way is said by Links.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/links.hpp"
#include "fleet/net.hpp"

namespace petrelpond::fleet {

class Relay {
  public:
    static constexpr int kMost = 1000;  // senders, by the form of the addresses
    // `real`: where each sender listens, host:port. Times of faults count from zero(), as the loop's.
    Relay(Loop& loop, Links& links, std::vector<std::string> real);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    std::string addressFor(int from, int to) const;  // where `from` reaches `to`
    void begin() { begun_ = true; }                  // until then no fault strikes
    // Connections that flow while a fault begins or ends.
    void faultsChanged();
    long unknown() const { return unknown_; }  // that no sender can have sent

  private:
    struct Stream {
        int from = 0, to = 0;
        int fds[2] = {-1, -1};      // the asker's side, the asked one's
        std::string pending[2];     // to be written to that side
        bool ended[2] = {false, false}, shut[2] = {false, false}, connecting = true;
        bool held[2] = {false, false};  // what comes from that side waits
    };
    void datagrams();
    void deliver(int from, int to, const std::string& bytes);
    void accept();
    void comes(const std::shared_ptr<Stream>& stream, int side, uint32_t events);
    void pump(const std::shared_ptr<Stream>& stream, int side);
    void flush(const std::shared_ptr<Stream>& stream, int side);
    void end(const std::shared_ptr<Stream>& stream, bool reset);
    void watch(const std::shared_ptr<Stream>& stream, int side);
    Links::Stream stateOf(const Stream& stream, int side) const;
    Instant now() const { return begun_ ? loop_.now() : Instant::longAgo(); }

    Loop& loop_;
    Links& links_;
    std::vector<std::pair<uint32_t, int>> real_;  // host and port
    int datagrams_ = -1;
    Bound listener_;
    int port_ = 0;
    bool begun_ = false;
    long unknown_ = 0;
    std::list<std::shared_ptr<Stream>> streams_;
};

}  // namespace petrelpond::fleet
