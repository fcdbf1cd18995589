// The primary's side: each record of the store goes to the standby, and what the standby has kept comes back.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "src/replica/stream.hpp"
#include "src/routing/module_actor.hpp"
#include "src/store/store.hpp"
#include "src/transport/socket.hpp"

namespace petrelpond::replica {

class Shipper : public StandbyLink {
  public:
    struct Options {
        std::string to;              // host:port of the standby
        uint64_t session = 0;        // drawn for each life of the process
        std::function<void()> wake;  // acked(), inStep() or fenced() has changed, or feed() is wanted
        Report* report = nullptr;
        size_t mostWaiting = 32 * 1024 * 1024;  // bytes not yet acknowledged; above, all is sent anew
    };
    explicit Shipper(Options options);
    ~Shipper() override;
    Shipper(const Shipper&) = delete;
    Shipper& operator=(const Shipper&) = delete;

    void begin(uint64_t epoch);  // connects, from now on
    // These come from the store's owner.
    void mirror(uint64_t sequence, std::string_view payload);
    void feed(Store& store) override;

    uint64_t acked() const override { return acked_; }
    // The standby holds all that is open here; only then may more be taken on.
    bool inStep() const override { return inStep_; }
    bool fenced() const override { return fenced_; }

  private:
    struct Out {
        uint64_t sequence = 0;
        std::string bytes;
    };
    void run();
    bool talk(const Socket& socket);
    void hear(const Socket& socket);
    void push(uint64_t sequence, const Frame& frame);
    void stepped(bool in);
    void trim();

    Options options_;
    uint64_t epoch_ = 0;
    std::atomic<uint64_t> acked_ = 0;
    std::atomic<bool> inStep_ = false, fenced_ = false;
    std::mutex mutex_;
    std::condition_variable come_;
    std::deque<Out> out_;   // sent or not, until they are acknowledged
    size_t sent_ = 0;       // of those
    size_t bytes_ = 0;
    enum class All { none, wanted, going } all_ = All::wanted;
    uint64_t allEnds_ = 0;  // its `end` has that sequence
    bool stop_ = false, broken_ = false, connected_ = false;
    int fd_ = -1;
    // Of feed(): what is still to be handed on.
    std::vector<std::string> ids_;
    size_t fed_ = 0;
    std::thread thread_;
};

}  // namespace petrelpond::replica
