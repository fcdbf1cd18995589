#include "src/program/log.hpp"

#include <chrono>
#include <iomanip>
#include <ostream>

namespace petrelpond {

void Log::say(Level level, std::string_view words) {
    if (!says(level)) return;
    static constexpr const char* names[] = {"debug", "info", "warning", "error"};
    auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
    std::lock_guard lock(mutex_);
    out_ << ms / 1000 << '.' << std::setw(3) << std::setfill('0') << ms % 1000 << ' '
         << names[static_cast<int>(level)] << ' ' << words << std::endl;
}

std::string Log::counters() const {
    static constexpr const char* names[] = {
#define X(name) #name,
        PETRELPOND_COUNTS(X)
#undef X
    };
    std::string lines;
    for (int i = 0; i < static_cast<int>(Count::kinds); ++i) {
        lines += std::string(names[i]) + " " + std::to_string(counts_[i].load()) + "\n";
    }
    return more_ ? lines + more_() : lines;
}

}  // namespace petrelpond
