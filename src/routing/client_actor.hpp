// Clients: who listens for them, the room in which connections wait for their next request, and the actor of
// each connection, which has a thread of its own while a request is under way, and reads and answers it.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

#include "src/routing/module_actor.hpp"
#include "src/transport/socket.hpp"
#include "src/transport/waiting.hpp"

namespace petrelpond {

class Clients {
  public:
    // `busy` is the pause told to whoever is turned away before the module hears of it.
    Clients(Socket listener, int most, Span busy, Buffers& buffers, std::shared_ptr<ModuleBox> module,
            Report& report)
        : listener_(std::move(listener)), most_(most), busy_(busy), buffers_(buffers),
          module_(std::move(module)), report_(report) {}

    void accept();                     // until stopListening(); the caller's thread
    void attend();                     // to those that wait, for ever; the caller's thread
    void ready() { ready_ = true; }    // from now on, /up says so
    // While drained /up says no; who still comes is served with a last answer, and who waits for a further
    // request is let go.
    void drain(bool drained) { drained_ = drained; }
    bool up() const { return ready_ && !leaving_; }  // whether a text that came now would be read
    void leave() { leaving_ = true; }  // /up fails, and each answer is its connection's last
    void stopListening();
    void closeIdle();  // those that wait for a request, and those that dawdle over one
    int open() const { return open_; }

  private:
    class Connection;
    using Held = std::map<uint64_t, std::shared_ptr<Connection>>;
    void serve(uint64_t key);
    void forget(uint64_t key);
    Held::iterator close(Held::iterator at);
    void sweep();
    void makeRoom();  // some connection ends that no good client would miss

    Socket listener_;
    const int most_;
    const Span busy_;
    Buffers& buffers_;
    std::shared_ptr<ModuleBox> module_;
    Report& report_;
    std::atomic<bool> ready_ = false, leaving_ = false, drained_ = false, stopped_ = false;
    std::atomic<int> open_ = 0;
    std::atomic<uint64_t> tickets_ = 0;
    Waiting waiting_;
    std::mutex mutex_;  // of what follows
    Held connections_;
    uint64_t lastKey_ = 0;
};

}  // namespace petrelpond
