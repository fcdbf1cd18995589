// Connections on which nothing is under way wait here together, without a thread each.
#pragma once

#include <cstdint>
#include <vector>

#include "petrelpond/time.hpp"

namespace petrelpond {

class Waiting {
  public:
    Waiting();
    ~Waiting();
    Waiting(const Waiting&) = delete;
    Waiting& operator=(const Waiting&) = delete;

    // From any thread. Each is told once, as bytes or its end come; again() makes it wait anew. One that is
    // closed is out by itself.
    bool add(int fd, uint64_t key);
    bool again(int fd, uint64_t key);
    // The keys of those on which something came; waits for the first so long.
    std::vector<uint64_t> ready(Span within);

  private:
    int fd_;
};

}  // namespace petrelpond
