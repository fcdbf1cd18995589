// The log, one line an entry on standard error, and the counters.
#pragma once

#include <atomic>
#include <functional>
#include <iosfwd>
#include <mutex>

#include "src/routing/report.hpp"

namespace petrelpond {

class Log final : public Report {
  public:
    Log(std::ostream& out, Level least) : out_(out), least_(least) {}
    void add(Count what, long n) override { counts_[static_cast<int>(what)] += n; }
    bool says(Level level) const override { return level >= least_; }
    void say(Level level, std::string_view words) override;
    std::string counters() const override;  // a line each
    void countersToo(std::function<std::string()> more) { more_ = std::move(more); }  // before threads begin

  private:
    std::ostream& out_;
    const Level least_;
    std::function<std::string()> more_;
    std::mutex mutex_;
    std::atomic<long> counts_[static_cast<int>(Count::kinds)] = {};
};

}  // namespace petrelpond
