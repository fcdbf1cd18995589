// What a primary and its standby say to each other: frames on one TCP connection. Bytes in, values out.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace petrelpond::replica {

constexpr size_t kMostFrame = 300 * 1024;

struct Frame {
    enum class What : uint8_t {
        hello = 'H',     // primary: its epoch (number), session (second), records sent so far
        welcome = 'W',   // standby: number 1 if it goes on from `second`, the last record of that session it has
        refused = 'R',   // standby: its epoch (number)
        begin = 'B',     // primary: all that is open follows
        record = 'r',    // primary: a record of its store, its sequence (number); 0 in what was asked for by `begin`
        end = 'E',       // primary: that was all, up to sequence (number)
        ack = 'A',       // standby: kept up to that sequence (number); second: 1 once it holds everything
        promote = 'P',   // an operator: take over
        promoted = 'p',  // standby: the new epoch (number)
        still = 'K'      // either: nothing new
    } what = What::still;
    uint64_t number = 0, second = 0;
    std::string payload;
};

std::string encode(const Frame& frame);

// Takes what came in parts; odd bytes end it for good, as nothing behind them can be trusted.
class Frames {
  public:
    void add(std::string_view bytes) { buffer_ += bytes; }
    std::optional<Frame> next();
    bool odd() const { return odd_; }

  private:
    std::string buffer_;
    size_t at_ = 0;
    bool odd_ = false;
};

}  // namespace petrelpond::replica
