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
    // shared: other processes have the listener too.
    Clients(Socket listener, bool shared, int most, Span busy, Buffers& buffers, std::shared_ptr<ModuleBox> module,
            Report& report)
        : listener_(std::move(listener)), shared_(shared), most_(most), busy_(busy), buffers_(buffers),
          module_(std::move(module)), report_(report) {}

    void accept();                     // until stopListening(); the caller's thread
    void attend();                     // to those that wait, for ever; the caller's thread
    void ready() { ready_ = true; }    // from now on, /up says so
    // While drained /up says no; who still comes is served with a last answer, and who waits for a further
    // request is let go.
    void drain(bool drained) { drained_ = drained; }
    // Another process has the listener from now on: who is here is served with a last answer.
    void handOver() { handing_ = true, stopListening(); }
    void letGo() { sweep(); }
    bool up() const { return ready_ && !leaving_ && !handing_; }  // whether a text that came now would be read
    void leave() { leaving_ = true; }  // /up fails, and each answer is its connection's last
    void stopListening();
    bool accepting() const { return accepting_; }  // a connection may still come in
    void allow(int most) { most_ = most; }
    // Of the connections, those on which a request is under way or a first one is waited for.
    int wanted();
    void closeIdle();  // those that wait for a request, and those that dawdle over one
    int open() const { return open_; }

  private:
    class Connection;
    using Held = std::map<uint64_t, std::shared_ptr<Connection>>;
    bool lasts() const { return leaving_ || drained_ || handing_; }  // each answer is its connection's last
    void acceptUntilStopped();
    void serve(uint64_t key);
    void forget(uint64_t key);
    Held::iterator close(Held::iterator at);
    void sweep();
    void makeRoom();  // some connection ends that no good client would miss

    Socket listener_;
    const bool shared_;
    Wake wake_;
    std::atomic<int> most_;
    const Span busy_;
    Buffers& buffers_;
    std::shared_ptr<ModuleBox> module_;
    Report& report_;
    std::atomic<bool> ready_ = false, leaving_ = false, drained_ = false, handing_ = false, stopped_ = false, accepting_ = false;
    std::atomic<int> open_ = 0;
    std::atomic<uint64_t> tickets_ = 0;
    Waiting waiting_;
    std::mutex mutex_;  // of what follows
    Held connections_;
    uint64_t lastKey_ = 0;
};

}  // namespace petrelpond
