#include "system/cli/errand.hpp"

#include <algorithm>
#include <optional>
#include <string_view>

namespace petrelpond::cli {

namespace {

const Span kFirstPause = Span::millis(100);
const Span kMostPause = Span::seconds(2);
constexpr int kMostHops = 2;
constexpr int kMostRefusals = 3;
const std::set<int> kFinal = {400, 409, 412, 413, 422};

struct Place {
    std::optional<network::Address> to;  // nothing: the same
    std::string target;
};

// "http://10.0.0.4:8080/path", or "/path". Names of hosts are not looked up: cores are told by numbers.
std::optional<Place> placeOf(std::string_view location) {
    Place out;
    if (location.starts_with("http://")) {
        location.remove_prefix(7);
        size_t slash = std::min(location.find('/'), location.size());
        std::string host(location.substr(0, slash));
        if (host.find(':') == std::string::npos) host += ":80";
        out.to = network::Address::parse(host);
        if (!out.to || out.to->port == 0) return std::nullopt;
        location.remove_prefix(slash);
        if (location.empty()) location = "/";
    }
    if (!location.starts_with('/')) return std::nullopt;
    // A blank or a control character in it would break the request's first line in two.
    for (char c : location)
        if (static_cast<unsigned char>(c) <= 0x20 || c == 0x7f) return std::nullopt;
    out.target = location;
    return out;
}

}  // namespace

Errand::Errand(std::vector<network::Address> cores, std::string target, std::set<int> final)
    : cores_(std::move(cores)), first_(std::move(target)), final_(std::move(final)), to_(cores_.at(0)),
      target_(first_), pause_(kFirstPause) {}

Errand::Verdict Errand::moveOn() {
    at_ = (at_ + 1) % cores_.size();
    to_ = cores_[at_], target_ = first_, hops_ = 0;
    Span pause = pause_;
    pause_ = std::min(pause_ * 2.0, kMostPause);
    return {Next::again, pause};
}

Errand::Verdict Errand::answered(int status, const std::string& location) {
    if (status >= 200 && status < 300) return {Next::done, Span()};
    if (kFinal.count(status) || final_.count(status)) return {Next::refused, Span()};
    if (status == 307 && hops_ < kMostHops) {  // a third is a ring, or a core that does not know either
        if (auto place = placeOf(location)) {
            ++hops_;
            if (place->to) to_ = *place->to;
            target_ = place->target;
            return {Next::again, Span()};
        }
    }
    if (status >= 400 && status < 500 && status != 408 && status != 429 && ++refusals_ >= kMostRefusals)
        return {Next::refused, Span()};
    return moveOn();
}

}  // namespace petrelpond::cli
