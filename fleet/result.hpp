// What a run came to, as people and other tools read it: JSON with a version, and a few lines of words.
#pragma once

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "fleet/judge.hpp"
#include "fleet/traffic.hpp"

namespace petrelpond::fleet {

// Spans in milliseconds over eight decades, each known to 1 in 100 (Boost.Histogram on a logarithmic axis:
// the property that HDR histograms are used for).
class Latencies {
  public:
    Latencies();
    ~Latencies();
    Latencies(Latencies&&) noexcept;
    Latencies& operator=(Latencies&&) noexcept;
    void add(double millis);
    double quantile(double q) const;  // 0 where nothing was added
    long count() const;

  private:
    struct Inside;
    std::unique_ptr<Inside> inside_;
};

struct Quantiles {
    double p50 = 0, p90 = 0, p99 = 0, p999 = 0;
};
Quantiles quantilesOf(const Latencies& latencies);

struct ProductResult {
    std::string name;
    long handed = 0, inTime = 0, late = 0, undeliverable = 0, refused = 0, expired = 0;
    double possible = 0, made = 0, madeInTime = 0;  // revenue
    Quantiles delivery, firstSubmit;                // milliseconds after the planned moment
};

struct SecondOf {  // one second of a run
    double possible = 0, made = 0;
    long arrivals = 0, calls = 0, refusedCalls = 0, open = 0, out = 0;
    std::vector<long> groupCalls;     // by group
    std::vector<double> groupLimits;  // calls a second that they could take, all destinations together
    std::string hears;                // of links between senders: row by row who could hear whom, 1 or 0; empty: none
    std::vector<int> believed;        // by sender: how many of the crew it held to be there; -1: it gave no answer
};

struct SenderResult {
    double cpuSeconds = 0, memoryMb = 0;
    long threads = 0, descriptors = 0, starts = 0;
    std::vector<double> memoryBySecond;  // resident, MB
    std::vector<long> threadsBySecond;
    long heldUp = 0;        // times it was stopped for having used more than its share of the processor
    double heldUpMost = 0;  // the longest of them, milliseconds
};

struct RunResult {
    std::string scenario, kind, program;  // kind: sockets or model
    uint64_t seed = 0;
    double seconds = 0, wallSeconds = 0;
    std::vector<ProductResult> products;
    std::vector<SecondOf> series;
    std::vector<std::string> groups;
    std::vector<SenderResult> senders;
    long texts = 0, calls = 0, wastedCalls = 0, tippedPlaces = 0;
    long deadCalls = 0, deadConnections = 0;  // at places while all their endpoints were out
    double lateP99 = 0, lateP999 = 0, lateMost = 0;  // the judge's own lateness, milliseconds
    double entryMs = 0;                              // median from handing in to 202
    std::string voidBecause;                         // empty: the run counts
    std::vector<Breach> breaches;
    std::array<int, 7> breachCounts{};

    double possible() const, made() const, madeInTime() const;
    double service() const { return possible() > 0 ? made() / possible() : 1; }  // share of revenue made
    double serviceInTime() const {
        return possible() > 0 ? madeInTime() / possible() : 1;
    }  // within the SLA time
    bool clean() const { return voidBecause.empty() && breaches.empty(); }
};

// Fills in what follows from the texts alone.
void account(const Scenario& scenario, const Programs& programs, RunResult& result);
nlohmann::json toJson(const RunResult& result);
RunResult fromJson(const nlohmann::json& value);  // throws std::runtime_error
std::string inWords(const RunResult& result);
void saveRuns(const std::string& path, const std::vector<RunResult>& runs);
std::vector<RunResult> loadRuns(const std::string& path);

}  // namespace petrelpond::fleet
