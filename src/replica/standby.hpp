// The standby's side: keeps what its primary sends in a store of its own, until somebody promotes it.
#pragma once

#include <atomic>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "src/replica/lineage.hpp"
#include "src/replica/stream.hpp"
#include "src/store/store.hpp"
#include "src/transport/socket.hpp"

namespace petrelpond::replica {

constexpr const char* kMark = "standby";  // a file in the folder: no sender may start on it

class Standby {
  public:
    using Say = std::function<void(bool warning, const std::string& words)>;
    // The store is written by nobody else. folder: the same, for the mark.
    Standby(Store& store, std::string folder, uint64_t leastEpoch, Say say);
    ~Standby();
    // Until it was promoted, or stop(); false where it can't listen.
    bool serve(const std::string& listen);
    void stop();
    bool promoted();
    uint64_t epoch();

  private:
    void attend(int connection, Socket socket);
    bool take(const Frame& frame, int connection, std::string& answer);

    Store& store_;
    std::string folder_;
    Say say_;
    std::mutex mutex_;
    Lineage lineage_;
    int following_ = 0;  // the connection that is followed; 0: none
    uint64_t session_ = 0, kept_ = 0;
    bool wholeNow_ = false, stop_ = false;
    std::set<std::string> stale_;  // not yet named again by the primary
    std::set<int> open_;           // descriptors
    Socket listener_;
    std::vector<std::thread> threads_;
};

// Marks a folder as a standby's, and takes the mark away. What it says: whether the standby is whole.
bool mark(const std::string& folder, bool whole);
std::optional<bool> marked(const std::string& folder);
bool unmark(const std::string& folder);

// Asks the standby at that address to take over: its new epoch, or why not in `problem`.
std::optional<uint64_t> promoteAt(const std::string& address, std::string& problem);

}  // namespace petrelpond::replica
