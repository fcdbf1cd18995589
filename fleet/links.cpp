#include "fleet/links.hpp"

#include <algorithm>
#include <cmath>

namespace petrelpond::fleet {

namespace {

using Kind = LinkFault::Kind;

constexpr double kNormal99 = 2.326;  // standard deviations at the 99th percentile
constexpr Span kQueueMost = Span::seconds(1);  // a narrow link holds no more than it carries in that time

bool has(const std::vector<int>& list, int one) {
    return list.empty() || std::find(list.begin(), list.end(), one) != list.end();
}

}  // namespace

Links::Links(std::vector<LinkFault> faults, int members, uint64_t seed)
    : faults_(std::move(faults)), members_(members), chance_(static_cast<uint32_t>(seed * 31 + 5)),
      sums_(static_cast<size_t>(members) * static_cast<size_t>(members)),
      freeAt_(sums_.size(), Instant::longAgo()) {}

bool Links::strikes(const LinkFault& f, Instant now, int from, int to) const {
    Instant begins = Instant() + f.at;
    if (now < begins || now >= begins + f.lasts) return false;
    if (f.what == Kind::partition) {
        for (const auto& side : f.sides) {
            if (!side.empty() && has(side, from) && has(side, to)) return false;
        }
        return true;
    }
    if (f.what == Kind::chain) {  // each side hears itself and its neighbours in the list
        int a = -9, b = -9;
        for (size_t i = 0; i < f.sides.size(); ++i) {
            if (f.sides[i].empty()) continue;
            if (has(f.sides[i], from)) a = static_cast<int>(i);
            if (has(f.sides[i], to)) b = static_cast<int>(i);
        }
        return a < 0 || b < 0 || std::abs(a - b) > 1;
    }
    return (has(f.from, from) && has(f.to, to)) || (f.both && has(f.from, to) && has(f.to, from));
}

bool Links::hears(Instant now, int from, int to) const {
    return std::none_of(faults_.begin(), faults_.end(),
                        [&](const LinkFault& f) { return f.what >= Kind::cut && strikes(f, now, from, to); });
}

// A log-normal one: its median and its 99th percentile are given.
Span Links::drawn(const LinkFault& f) {
    double median = std::max(1e-6, f.value.inSeconds());
    double sigma = std::log(std::max(median, f.spread.inSeconds()) / median) / kNormal99;
    return Span::seconds(median * std::exp(sigma * normal_(chance_)));
}

std::vector<Links::Copy> Links::datagram(Instant now, int from, int to, size_t bytes) {
    Sum& sum = sums_[at(from, to)];
    ++sum.in;
    Copy one;
    bool lost = !hears(now, from, to), twice = false;
    for (const LinkFault& f : faults_) {
        if (lost || f.what >= Kind::stall || !strikes(f, now, from, to)) continue;
        if (f.what == Kind::narrow) {
            Instant& free = freeAt_[at(from, to)];
            free = std::max(free, now) + Span::seconds(static_cast<double>(bytes) / f.bytesPerSecond);
            if (free - now > kQueueMost) lost = true, free = now + kQueueMost;
            one.after = std::max(one.after, free - now);
            continue;
        }
        if (!chance(f.share)) continue;
        if (f.what == Kind::loss) lost = true;
        if (f.what == Kind::delay || f.what == Kind::reorder) one.after = one.after + drawn(f), ++sum.delayed;
        if (f.what == Kind::twice) twice = true;
        if (f.what == Kind::spoil) one.spoilt = true;
    }
    if (lost) return ++sum.lost, std::vector<Copy>();
    one.chance = static_cast<uint32_t>(chance_());
    std::vector<Copy> out = {one};
    if (twice) out.push_back(one), out.back().after = one.after + Span::millis(1), ++sum.doubled;
    sum.out += static_cast<long>(out.size());
    if (one.spoilt) sum.spoilt += static_cast<long>(out.size());
    return out;
}

bool Links::opens(Instant now, int from, int to) {
    Sum& sum = sums_[at(from, to)];
    ++sum.streams;
    // Its answer has to come back, too.
    bool up = hears(now, from, to) && hears(now, to, from);
    if (!up) ++sum.streamsCut;
    return up;
}

Links::Stream Links::stream(Instant now, int from, int to) const {
    if (!hears(now, from, to)) return Stream::stalled;
    Stream is = Stream::flows;
    for (const LinkFault& f : faults_) {
        if (f.what < Kind::stall || f.what > Kind::reset || !strikes(f, now, from, to)) continue;
        Stream so = f.what == Kind::stall ? Stream::stalled : f.what == Kind::reset ? Stream::reset : Stream::halfClosed;
        is = std::max(is, so);
    }
    return is;
}

// Of a stream the losses are made good by its own protocol: they cost time.
Span Links::streamTakes(Instant now, int from, int to, size_t bytes) {
    Span takes;
    for (const LinkFault& f : faults_) {
        if (f.what >= Kind::stall || !strikes(f, now, from, to)) continue;
        if (f.what == Kind::narrow) takes = takes + Span::seconds(static_cast<double>(bytes) / f.bytesPerSecond);
        if (f.what == Kind::delay && chance(f.share)) takes = takes + drawn(f);
        if (f.what == Kind::loss && chance(f.share)) takes = takes + Span::millis(200);
    }
    return takes;
}

std::optional<Instant> Links::nextChange(Instant after) const {
    std::optional<Instant> next;
    for (const LinkFault& f : faults_) {
        for (Instant at : {Instant() + f.at, Instant() + f.at + f.lasts}) {
            if (at > after && (!next || at < *next)) next = at;
        }
    }
    return next;
}

Instant Links::lastEnd() const {
    Instant last;
    for (const LinkFault& f : faults_) last = std::max(last, Instant() + f.at + f.lasts);
    return last;
}

}  // namespace petrelpond::fleet
