// Points in time and durations, both in whole microseconds. They are separate types, so that adding two points in
// time does not compile.
#pragma once

#include <compare>
#include <cstdint>
#include <limits>

namespace petrelpond {

// A duration; may be negative.
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

// A point in time on the host's clock. The clock's origin is the host's choice.
class Instant {
  public:
    constexpr Instant() = default;
    static constexpr Instant atMicros(int64_t us) { return Instant(us); }
    // Sentinels before and after every value of a host's clock. A quarter of the range leaves room for arithmetic.
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
