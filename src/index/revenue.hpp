// Revenue of a text by the time of its delivery, as the settings define it.
#pragma once

#include <algorithm>
#include <cmath>

#include "petrelpond/sender.hpp"

namespace petrelpond {

inline double revenueAt(const Product& p, Instant validUntil, Instant at, Decay decay) {
    double late = (at - (validUntil - p.validity) - p.sla).inSeconds();
    if (at >= validUntil) return 0;
    if (late <= 0) return p.revenue;
    double span = std::max((decay == Decay::halving ? p.sla : p.validity - p.sla).inSeconds(), 0.001);
    if (decay == Decay::halving) return p.revenue * std::max(p.lateRevenueShare, std::pow(0.5, late / span));
    return p.revenue * (1 - (1 - p.lateRevenueShare) * std::min(1.0, late / span));
}

}  // namespace petrelpond
