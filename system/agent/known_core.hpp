// Which of the cores that it was told of an agent goes on trying to reach.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "petrelpond/time.hpp"

namespace petrelpond::agent {

// Against a list that only grows: each core machine that was replaced would be tried for ever, and at the
// bound no new one would be learned of any more. A core that is back is learned of again from any that lives,
// or by its own lease. Harm: cut off from all for longer than that, an agent is left with its seeds and the
// holder.
inline const Span kForgetCore = Span::seconds(60);
constexpr size_t kMostCores = 32;

// What the choice needs to know of a core.
struct CoreSeen {
    bool kept = false;  // a seed of the settings, or the holder of the lease
    bool linked = false;
    Instant since;  // it was last heard; where it never was, since it was told of
};

inline bool mayForget(const CoreSeen& core, Instant now) {
    return !core.kept && !core.linked && now - core.since > kForgetCore;
}

// The one to forget where the list is full: silent for longest. Empty: none may be.
inline std::string silentLongest(const std::map<std::string, CoreSeen>& cores) {
    std::string longest;
    Instant since = Instant::never();
    for (const auto& [ip, core] : cores) {
        if (core.kept || core.linked || core.since >= since) continue;
        longest = ip, since = core.since;
    }
    return longest;
}

}  // namespace petrelpond::agent
