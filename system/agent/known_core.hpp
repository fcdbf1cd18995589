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
inline const Span kForgetCoreAfter = Span::seconds(60);
constexpr size_t kMaxCores = 32;

// What the choice needs to know of a core.
struct CoreContact {
    bool isPinned = false;  // a seed of the settings, or the holder of the lease
    bool isLinked = false;
    Instant lastHeard;  // it was last heard; where it never was, since it was told of
};

inline bool canForgetCore(const CoreContact& core, Instant now) {
    return !core.isPinned && !core.isLinked && now - core.lastHeard > kForgetCoreAfter;
}

// The one to forget where the list is full: silent for longest. Empty: none may be.
inline std::string findLongestSilentCore(const std::map<std::string, CoreContact>& cores) {
    std::string longest;
    Instant lastHeard = Instant::never();
    for (const auto& [ip, core] : cores) {
        if (core.isPinned || core.isLinked || core.lastHeard >= lastHeard) continue;
        longest = ip, lastHeard = core.lastHeard;
    }
    return longest;
}

}  // namespace petrelpond::agent
