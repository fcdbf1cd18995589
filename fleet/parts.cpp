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
        parts.cold.share = std::min(parts.cold.share, g.coldShare);
        parts.cold.warmUp = std::max(parts.cold.warmUp, g.warmUp);
        if (g.tipMultiple > 0) {
            parts.cold.multiple =
                parts.cold.multiple > 0 ? std::min(parts.cold.multiple, g.tipMultiple) : g.tipMultiple;
            parts.cold.window = std::max(parts.cold.window, g.tipWindow);
        }
        parts.links.idle = std::min(parts.links.idle, g.idle);
        parts.list.ratesListed = parts.list.ratesListed || g.rateListed;
    }
    if (parts.cold.multiple <= 0) parts.cold.multiple = 2;
    parts.crew = {s.senders, ZoneIx(0u)};
    parts.room = {s.callsOut, s.held, s.submits, s.cancel, s.tick, s.longestPause};
    return parts;
}

int sendersTold(const Scenario& s, int sender) {
    bool other = sender < std::lround(s.otherPart * s.senders);
    return other ? std::max(1, static_cast<int>(std::lround(s.senders * s.otherFactor))) : s.senders;
}

double listedRate(const Group& g) { return g.rateListed ? g.rate / (g.separateRoutes ? g.endpoints : 1) : 0; }

}  // namespace petrelpond::fleet
