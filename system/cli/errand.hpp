// One call of an operator, carried from core to core until it has a clear answer: whom to ask next, and when
// to give up. No I/O, no clock.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "petrelpond/time.hpp"
#include "system/network/stream.hpp"

namespace petrelpond::cli {

class Errand {
  public:
    // cores: at least one. final: statuses that end this call besides those that end every call.
    Errand(std::vector<network::Address> cores, std::string target, std::set<int> final = {});

    const network::Address& to() const { return to_; }
    const std::string& target() const { return target_; }

    enum class Next { again, done, refused };
    struct Verdict {
        Next next;
        Span pause;  // before the next try
    };
    // status 0: no answer, so it may have been carried out all the same. location: of a 307, else empty.
    Verdict answered(int status, const std::string& location);

  private:
    Verdict moveOn();
    std::vector<network::Address> cores_;
    const std::string first_;
    const std::set<int> final_;
    size_t at_ = 0;
    network::Address to_;
    std::string target_;
    int hops_ = 0;      // 307s followed in this try
    int refusals_ = 0;  // 4xx that end a call only at the third
    Span pause_;
};

}  // namespace petrelpond::cli
