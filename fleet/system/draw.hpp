// What plays that are drawn by a seed share: chance, and the faults and names that they put together.
#pragma once

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "fleet/system/plan.hpp"

namespace petrelpond::range {

class Draw {
  public:
    explicit Draw(uint64_t seed) : random_(seed) {}
    int below(int n) { return static_cast<int>(random_() % static_cast<uint64_t>(n)); }
    bool chance(int percent) { return below(100) < percent; }
    Span millis(int least, int more) { return Span::millis(least + below(more)); }
    template <class T>
    const T& of(const std::vector<T>& all) {
        return all[static_cast<size_t>(below(static_cast<int>(all.size())))];
    }

  private:
    std::mt19937_64 random_;
};

inline FaultPlan& add(Plan& plan, Kind kind, Span at, Span lasts, std::vector<std::string> machines) {
    FaultPlan fault;
    fault.kind = kind, fault.at = at, fault.lasts = lasts, fault.machines = std::move(machines);
    plan.faults.push_back(std::move(fault));
    return plan.faults.back();
}

inline Plan quietPlan(const char* name, uint64_t seed, int edges, int cores) {
    Plan plan = readPlan(demoPlan(), "demo");
    plan.name = name, plan.seed = seed, plan.edges = edges, plan.cores = cores;
    plan.faults.clear();
    return plan;
}

inline std::vector<std::string> coreNames(int first, int count) {
    std::vector<std::string> names;
    for (int i = 0; i < count; ++i) names.push_back("core-" + std::to_string(first + i));
    return names;
}

inline std::vector<std::string> without(std::vector<std::string> all, const std::vector<std::string>& these) {
    std::erase_if(all, [&](const std::string& name) {
        return std::find(these.begin(), these.end(), name) != these.end();
    });
    return all;
}

}  // namespace petrelpond::range
