#include "fleet/crew_links.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace petrelpond::fleet {

namespace {

// A port that is free: nobody else is given it while the one who asked has not taken it again.
std::string freeAddress(int host, int sender) {
    Bound probe = listenOn("127.1." + std::to_string(host + sender / 250) + "." + std::to_string(sender % 250 + 1), 0);
    closeNow(probe);
    return probe.address;
}

}  // namespace

CrewLinks::CrewLinks(Loop& loop, const CrewPlan& plan, std::vector<LinkFault> faults, int senders, uint64_t seed)
    : loop_(loop), plan_(plan), links_(std::move(faults), senders, seed) {
    for (int s = 0; s < senders; ++s) listen_.push_back(freeAddress(20, s)), ops_.push_back(freeAddress(30, s));
    relay_ = std::make_unique<Relay>(loop, links_, listen_);
}

std::string CrewLinks::configOf(int s) const {
    nlohmann::json seeds = nlohmann::json::array(), routes = nlohmann::json::object();
    int count = static_cast<int>(listen_.size()), told = 0;
    for (int other = 0; other < count; ++other) {
        if (other == s) continue;
        std::string at = relay_->addressFor(s, other);
        routes["n" + std::to_string(other)] = at;
        if (plan_.seeds == 0 || told++ < plan_.seeds) seeds.push_back(at);
    }
    return nlohmann::json{{"name", "fleet"},
                          {"listen", listen_[static_cast<size_t>(s)]},
                          {"seeds", seeds},
                          {"routes", routes},
                          {"round_ms", plan_.round.inMicros() / 1000},
                          {"ack_ms", plan_.ackWithin.inMicros() / 1000},
                          {"exchange_ms", plan_.exchangeEvery.inMicros() / 1000},
                          {"seek_ms", plan_.seekEvery.inMicros() / 1000}}
        .dump();
}

void CrewLinks::begin() {
    relay_->begin();
    change();
}

void CrewLinks::change() {
    relay_->faultsChanged();
    if (auto at = links_.nextChange(loop_.now())) loop_.at(*at, [this] { change(); });
}

}  // namespace petrelpond::fleet
