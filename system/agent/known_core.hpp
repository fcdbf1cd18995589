// Decides which of the known cores an agent keeps connecting to.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "petrelpond/time.hpp"

namespace petrelpond::agent {

// Silence after which a core is forgotten. Otherwise replaced cores would be tried forever, and once the list
// is full no new core could be added. A core that returns is announced by any live core or by its own lease.
// Drawback: an agent cut off from all cores for longer is left with its seeds and the holder.
inline const Span kForgetCoreAfter = Span::seconds(60);
constexpr size_t kMaxCores = 32;

// State of a core that the decision needs.
struct CoreContact {
    bool isPinned = false;  // a seed from the settings, or the lease holder
    bool isLinked = false;
    Instant lastHeard;  // when it was last heard, or first announced if never heard
};

inline bool canForgetCore(const CoreContact& core, Instant now) {
    return !core.isPinned && !core.isLinked && now - core.lastHeard > kForgetCoreAfter;
}

// Returns the core to forget when the list is full: the longest silent one. Empty if none may be forgotten.
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
