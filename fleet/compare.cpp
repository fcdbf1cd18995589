#include "fleet/compare.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <map>
#include <numeric>
#include <random>
#include <sstream>
#include <stdexcept>

namespace petrelpond::fleet {

namespace {

double mean(const std::vector<double>& v) {
    return v.empty() ? 0 : std::accumulate(v.begin(), v.end(), 0.0) / static_cast<double>(v.size());
}

// The 97.5% point of Student's distribution, by degrees of freedom; the usual table.
double student(size_t freedom) {
    static constexpr double table[] = {12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
                                       2.201,  2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086};
    if (freedom == 0) return 1e9;
    if (freedom <= std::size(table)) return table[freedom - 1];
    return 1.96 + 2.5 / static_cast<double>(freedom);
}

}  // namespace

Interval bootstrap(const std::vector<double>& differences, uint32_t seed) {
    double middle = mean(differences);
    if (differences.size() < 3) return {middle, -INFINITY, INFINITY};
    std::mt19937 chance(seed);
    std::uniform_int_distribution<size_t> pick(0, differences.size() - 1);
    std::vector<double> means;
    for (int i = 0; i < 10000; ++i) {
        double sum = 0;
        for (size_t k = 0; k < differences.size(); ++k) sum += differences[pick(chance)];
        means.push_back(sum / static_cast<double>(differences.size()));
    }
    std::sort(means.begin(), means.end());
    return {middle, means[250], means[9749]};
}

Interval nextRun(const std::vector<double>& values) {
    double m = mean(values), square = 0;
    if (values.size() < 3) return {m, -INFINITY, INFINITY};
    for (double v : values) square += (v - m) * (v - m);
    auto n = static_cast<double>(values.size());
    double half = student(values.size() - 1) * std::sqrt(square / (n - 1)) * std::sqrt(1 + 1 / n);
    return {m, m - half, m + half};
}

std::vector<Comparison> compare(const std::vector<RunResult>& a, const std::vector<RunResult>& b) {
    std::map<uint64_t, const RunResult*> first;
    for (const RunResult& r : a) {
        if (r.voidBecause.empty()) first[r.seed] = &r;
    }
    std::vector<std::pair<const RunResult*, const RunResult*>> pairs;
    for (const RunResult& r : b) {
        auto found = first.find(r.seed);
        if (found != first.end() && r.voidBecause.empty()) pairs.emplace_back(found->second, &r);
    }
    if (pairs.empty()) throw std::runtime_error("no seed has a run that counts on both sides");
    std::vector<Comparison> out;
    auto add = [&](const std::string& measure, const char* unit, bool moreIsBetter, auto of) {
        Comparison c{measure, unit, 0, 0, {}, moreIsBetter};
        std::vector<double> differences, left, right;
        for (auto& [x, y] : pairs) {
            left.push_back(of(*x)), right.push_back(of(*y));
            differences.push_back(right.back() - left.back());
        }
        c.a = mean(left), c.b = mean(right), c.difference = bootstrap(differences);
        out.push_back(c);
    };
    add("revenue within and after the SLA time", "%", true,
        [](const RunResult& r) { return 100 * r.service(); });
    add("revenue within the SLA time", "%", true, [](const RunResult& r) { return 100 * r.serviceInTime(); });
    add("calls a text", "", false, [](const RunResult& r) {
        return static_cast<double>(r.calls) / static_cast<double>(std::max(r.texts, 1L));
    });
    add("calls in vain", "%", false, [](const RunResult& r) {
        return 100 * static_cast<double>(r.wastedCalls) / static_cast<double>(std::max(r.calls, 1L));
    });
    add("broken rules", "", false, [](const RunResult& r) { return static_cast<double>(r.breaches.size()); });
    for (size_t p = 0; p < pairs[0].first->products.size(); ++p) {
        const std::string& name = pairs[0].first->products[p].name;
        add(name + ", p99 of delivery", "ms", false,
            [p](const RunResult& r) { return p < r.products.size() ? r.products[p].delivery.p99 : 0; });
    }
    return out;
}

std::string inWords(const std::vector<Comparison>& all, size_t pairs) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << pairs << " pairs, 95% intervals by bootstrap\n";
    for (const Comparison& c : all) {
        out << "  " << c.measure << ": A " << c.a << c.unit << ", B " << c.b << c.unit << ", ";
        if (!c.difference.shows()) {
            out << "no difference shown";
        } else {
            bool better = (c.difference.middle > 0) == c.moreIsBetter;
            out << "B is " << (better ? "better" : "worse") << " by " << std::abs(c.difference.middle)
                << c.unit;
        }
        if (std::isfinite(c.difference.low))
            out << " [" << c.difference.low << ", " << c.difference.high << "]";
        out << "\n";
    }
    return out.str();
}

}  // namespace petrelpond::fleet
