#include "fleet/parts.hpp"

#include <algorithm>
#include <cmath>

namespace petrelpond::fleet {

SenderParts partsOf(const Scenario& s) {
    SenderParts parts;
    for (const ProductPlan& p : s.products) parts.products.push_back(p.rules);
    parts.cold = {1, Span(), 0, Span()};
    parts.links = {Span::seconds(3600), Span::millis(500)};
    for (const Group& g : s.groups) {
        parts.kinds.push_back({g.batch, g.separateRoutes});
        // What is told of cold returns holds for all, so the most careful of them.
        parts.cold.initialShare = std::min(parts.cold.initialShare, g.coldShare);
        parts.cold.warmUpTime = std::max(parts.cold.warmUpTime, g.warmUp);
        if (g.tipMultiple > 0) {
            parts.cold.overloadFactor =
                parts.cold.overloadFactor > 0 ? std::min(parts.cold.overloadFactor, g.tipMultiple) : g.tipMultiple;
            parts.cold.overloadWindow = std::max(parts.cold.overloadWindow, g.tipWindow);
        }
        parts.links.idleTimeout = std::min(parts.links.idleTimeout, g.idle);
        parts.list.includesRates = parts.list.includesRates || g.rateListed;
    }
    if (parts.cold.overloadFactor <= 0) parts.cold.overloadFactor = 2;
    parts.crew = {s.senders, ZoneIndex(0u)};
    parts.room = {s.callsOut, s.held, s.submits, s.cancel, s.tick, s.longestPause};
    return parts;
}

int sendersTold(const Scenario& s, int sender) {
    bool other = sender < std::lround(s.otherPart * s.senders);
    return other ? std::max(1, static_cast<int>(std::lround(s.senders * s.otherFactor))) : s.senders;
}

double listedRate(const Group& g) { return g.rateListed ? g.rate / (g.separateRoutes ? g.endpoints : 1) : 0; }

}  // namespace petrelpond::fleet
