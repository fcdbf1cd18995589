#include "fleet/system/replacements.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace petrelpond::range {

using nlohmann::json;

namespace {

const Span kLook = Span::millis(20);
const Span kAnswerWithin = Span::millis(500);
const Span kMostTime = Span::seconds(20);  // watched for so long

}  // namespace

struct Replacements::Watch {
    size_t result;
    std::string goneIp, comeIp;
    network::HttpCaller caller;  // of the successor
};

Replacements::Replacements(network::Loop& loop, const Machines& machines)
    : loop_(loop), machines_(machines) {}
Replacements::~Replacements() = default;

void Replacements::watch(int old, int successor, Instant begins, bool planned) {
    const Machine& gone = machines_.all()[static_cast<size_t>(old)];
    const Machine& come = machines_.all()[static_cast<size_t>(successor)];
    results_.push_back({gone.name, come.name, planned, begins, Instant::never()});
    const auto address = *network::Address::parse(come.ip, machines_.ports.control);
    watches_.push_back(std::shared_ptr<Watch>(
        new Watch{results_.size() - 1, gone.ip, come.ip, {loop_, address, 1, kAnswerWithin}}));
    loop_.at(begins, [this, watch = watches_.back()] { ask(watch); });
}

void Replacements::ask(const std::shared_ptr<Watch>& watch) {
    watch->caller.call("GET", "/status", "", "", [this, watch](int status, const std::string& body) {
        if (status == 200) judge(*watch, body);
        const ReplacementResult& r = results_[watch->result];
        if (r.counts != Instant::never() || loop_.now() > r.begins + kMostTime) return;
        loop_.at(loop_.now() + kLook, [this, watch] { ask(watch); });
    });
}

void Replacements::judge(Watch& watch, const std::string& status) {
    const json said = json::parse(status, nullptr, false);
    if (!said.is_object() || !said.contains("disk") || !said.contains("voters")) return;
    const auto& voters = said["voters"];
    const auto votes = [&](const std::string& ip) {
        return std::find(voters.begin(), voters.end(), ip) != voters.end();
    };
    if (votes(watch.comeIp) && !votes(watch.goneIp) && said["disk"].value("counts", false))
        results_[watch.result].counts = loop_.now();
}

std::string inWords(const std::vector<ReplacementResult>& all) {
    if (all.empty()) return {};
    std::string out = "replacements\n";
    std::vector<double> seconds;
    for (const ReplacementResult& r : all) {
        const bool done = r.counts != Instant::never();
        const double took = done ? std::max(0.0, (r.counts - r.begins).inSeconds()) : 0;
        if (done) seconds.push_back(took);
        char line[160];
        std::snprintf(line, sizeof line, "  %s for %s, %s: ", r.come.c_str(), r.gone.c_str(),
                      r.planned ? "planned" : "unplanned");
        out += line;
        std::snprintf(line, sizeof line, "counts %.2f s after %s\n", took,
                      r.planned ? "the old one was told to end" : "its start");
        out += done ? line : "never seen to count\n";
    }
    std::sort(seconds.begin(), seconds.end());
    char line[160];
    if (!seconds.empty()) {
        std::snprintf(line, sizeof line, "  %zu of %zu counted; median %.2f s, longest %.2f s\n\n",
                      seconds.size(), all.size(), seconds[seconds.size() / 2], seconds.back());
        out += line;
    }
    return out;
}

}  // namespace petrelpond::range
