// When one process of a sender takes over from another: which generations of the store it takes, which it waits
// for, who may accept and submit meanwhile, and when the old one may end. No files, no clocks, no threads.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "petrelpond/time.hpp"

namespace petrelpond::succession {

using Number = uint32_t;  // of a generation; 0 is the state folder itself

struct Found {
    Number number = 0;
    bool held = false;  // by another process that lives
};

struct Start {
    bool refused = false;  // another process serves, and this one is not started beside it
    Number own = 0;
    bool makes = false;  // own is not there yet
    std::vector<Number> takes, awaits;
};
// beside: the platform starts this process to take over from one that lives.
Start startOf(const std::vector<Found>& found, bool beside);

// The one that takes over.
class Heir {
  public:
    explicit Heir(const std::vector<Number>& awaits) {
        for (Number n : awaits) before_[n] = State::serves;
    }
    void handed(Number n) {
        if (auto at = before_.find(n); at != before_.end() && at->second == State::serves) at->second = State::handed;
    }
    void gone(Number n) { before_.erase(n); }
    bool awaits(Number n) const { return before_.count(n) > 0; }
    // Once nobody before it accepts or starts a call.
    bool serves() const;
    // A text in order of that generation: once all that were taken on before it are here.
    bool inTurn(Number n) const { return before_.empty() || before_.begin()->first >= n; }
    bool complete() const { return before_.empty(); }

  private:
    enum class State { serves, handed };
    std::map<Number, State> before_;
};

// The one that is told to leave while its successor stands.
class Leaver {
  public:
    explicit Leaver(Instant told) : told_(told) {}
    struct Sight {
        bool accepts = true;  // its thread may still take a connection
        bool starts = true;   // the module may still start a call
        int calls = 0;        // out
        int clients = 0;      // with a request, or ahead of their first
    };
    enum class Step { wait, handOver, end };
    Step next(Instant now, const Sight& sight);

  private:
    Instant told_;
    bool handed_ = false;
};

// Lines of the hand-over file. What a sender has learned of an endpoint goes as numbers that only the module reads.
struct Line {
    enum class What { odd, learned, handed } what = What::odd;
    std::string endpoint;
    std::vector<double> numbers;
};
std::string learnedLine(const std::string& endpoint, const std::vector<double>& numbers);
std::string handedLine();
Line readLine(std::string_view line);  // without its end

}  // namespace petrelpond::succession
