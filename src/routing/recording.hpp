// What a sender took in and how it ended, a line each, for the fleet model to replay (docs/fleet.md has the
// form). Off unless asked for. It never holds up the sender: what can't be written ends the recording.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "petrelpond/time.hpp"
#include "src/routing/report.hpp"

namespace petrelpond {

class Recording {
  public:
    // Appends to the file, up to so many bytes in this life. One thread's.
    Recording(const std::string& path, size_t mostBytes, Report& report);
    ~Recording();
    Recording(const Recording&) = delete;
    Recording& operator=(const Recording&) = delete;

    void arrived(int64_t unixMicros, std::string_view product, std::string_view destination, Span validity,
                 size_t bytes, std::string_view key);
    // How: delivered, nacked, undeliverable or withdrawn.
    void ended(int64_t unixMicros, std::string_view product, std::string_view destination,
               std::string_view how, Span after, int submits);
    void flushIfDue(Instant now);  // at most once a second
    void flush();

  private:
    void add(std::string line);
    int fd_ = -1;
    size_t left_;
    std::string lines_;
    Instant flushedAt_ = Instant::longAgo();
    Report& report_;
};

}  // namespace petrelpond
