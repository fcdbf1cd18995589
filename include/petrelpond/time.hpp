// Points in time and spans, kept apart by type: adding two instants does not compile.
#pragma once

#include <compare>
#include <cstdint>
#include <limits>

namespace petrelpond {

class Span {
  public:
    constexpr Span() = default;
    static constexpr Span micros(int64_t us) { return Span(us); }
    static constexpr Span millis(int64_t ms) { return Span(ms * 1000); }
    static constexpr Span seconds(double s) { return Span(static_cast<int64_t>(s * 1e6)); }
    constexpr int64_t inMicros() const { return us_; }
    constexpr double inSeconds() const { return static_cast<double>(us_) / 1e6; }
    constexpr auto operator<=>(const Span&) const = default;
    constexpr Span operator+(Span o) const { return Span(us_ + o.us_); }
    constexpr Span operator-(Span o) const { return Span(us_ - o.us_); }
    constexpr Span operator*(double f) const { return Span(static_cast<int64_t>(us_ * f)); }

  private:
    explicit constexpr Span(int64_t us) : us_(us) {}
    int64_t us_ = 0;
};

class Instant {
  public:
    constexpr Instant() = default;
    static constexpr Instant atMicros(int64_t us) { return Instant(us); }
    // Before and after every instant that a host's clock can show.
    static constexpr Instant longAgo() { return Instant(std::numeric_limits<int64_t>::min() / 4); }
    static constexpr Instant never() { return Instant(std::numeric_limits<int64_t>::max() / 4); }
    constexpr int64_t inMicros() const { return us_; }
    constexpr auto operator<=>(const Instant&) const = default;
    constexpr Instant operator+(Span s) const { return Instant(us_ + s.inMicros()); }
    constexpr Instant operator-(Span s) const { return Instant(us_ - s.inMicros()); }
    constexpr Span operator-(Instant o) const { return Span::micros(us_ - o.us_); }

  private:
    explicit constexpr Instant(int64_t us) : us_(us) {}
    int64_t us_ = 0;
};

}  // namespace petrelpond
