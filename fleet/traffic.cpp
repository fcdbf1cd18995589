#include "fleet/traffic.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <numbers>
#include <random>
#include <sstream>

namespace petrelpond::fleet {

namespace {

// Destinations of a group, drawn alike or by Zipf's law.
class Draw {
  public:
    Draw(int count, double skew) : count_(count) {
        if (skew <= 0) return;
        double sum = 0;
        for (int i = 0; i < count; ++i) sums_.push_back(sum += std::pow(i + 1, -skew));
    }
    uint32_t operator()(std::mt19937& chance) const {
        if (sums_.empty()) return chance() % static_cast<uint32_t>(count_);
        double at = std::uniform_real_distribution<double>(0, sums_.back())(chance);
        return static_cast<uint32_t>(std::lower_bound(sums_.begin(), sums_.end(), at) - sums_.begin());
    }

  private:
    int count_;
    std::vector<double> sums_;
};

void planFlow(const Scenario& s, const Flow& f, std::mt19937& chance, std::vector<Planned>& out) {
    if (f.rate <= 0) return;
    Draw draw(s.groups[f.group].count, f.skew);
    uint32_t first = s.firstDestination(f.group);
    auto unit = [&] { return std::uniform_real_distribution<double>(0, 1)(chance); };
    // Clumps come as a Poisson process, thinned from its highest rate.
    double most = f.rate / f.clump * (1 + f.swing) * std::max(1.0, f.surge), t = f.from.inSeconds();
    while (true) {
        t += -std::log(1 - unit()) / most;
        if (t >= std::min(f.until, s.lasts).inSeconds()) return;
        double rate = f.rate / f.clump;
        rate *= 1 + f.swing * std::sin(2 * std::numbers::pi * t / f.swingSpan.inSeconds());
        if (t >= f.surgeFrom.inSeconds() && t < f.surgeUntil.inSeconds()) rate *= f.surge;
        if (unit() * most >= rate) continue;
        int together = 1;
        if (f.clump > 1) together += static_cast<int>(-std::log(1 - unit()) * (f.clump - 1) + 0.5);
        for (int i = 0; i < together; ++i) {
            Planned p;
            p.at = Instant() + Span::seconds(t), p.product = f.product, p.destination = first + draw(chance);
            p.body = f.body;
            if (f.keys > 0) p.key = 1 + chance() % static_cast<uint32_t>(f.keys);
            out.push_back(p);
        }
    }
}

}  // namespace

std::vector<Planned> plan(const Scenario& s, uint64_t seed) {
    if (!s.recording.empty()) return planFromRecording(s, s.recording);
    std::vector<Planned> out;
    for (size_t i = 0; i < s.flows.size(); ++i) {
        std::seed_seq sequence{static_cast<uint32_t>(seed), static_cast<uint32_t>(seed >> 32),
                               static_cast<uint32_t>(i)};
        std::mt19937 chance(sequence);
        planFlow(s, s.flows[i], chance, out);
    }
    std::stable_sort(out.begin(), out.end(), [](const Planned& a, const Planned& b) { return a.at < b.at; });
    return out;
}

std::vector<Planned> planFromRecording(const Scenario& s, const std::string& path) {
    std::ifstream file(path);
    if (!file) throw WrongScenario(path + ": can't be read");
    std::vector<Planned> out;
    std::string line;
    auto wrong = [&](int number, const std::string& words) {
        throw WrongScenario(path + ":" + std::to_string(number) + ": " + words);
    };
    int64_t first = -1;
    for (int number = 1; std::getline(file, line); ++number) {
        if (line.empty() || line[0] != 'a') continue;  // ends are for people and for comparisons
        std::istringstream words(line);
        std::string tag, product, destination;
        int64_t at = 0, validity = 0;
        int body = 0;
        uint64_t key = 0;
        if (!(words >> tag >> at >> product >> destination >> validity >> body >> key)) {
            if (file.eof()) break;  // the last line of a sender that was killed may be half
            wrong(number, "is no arrival (a MICROS PRODUCT DESTINATION VALIDITY_MS BYTES KEY)");
        }
        Planned p;
        auto known =
            std::find_if(s.products.begin(), s.products.end(), [&](auto& x) { return x.name == product; });
        if (known == s.products.end()) wrong(number, "product '" + product + "' is not in the scenario");
        p.product = static_cast<uint32_t>(known - s.products.begin());
        char* end = nullptr;
        unsigned long d = strtoul(destination.c_str(), &end, 10);
        if (*end != 0 || d >= static_cast<unsigned long>(s.destinations())) {
            wrong(number, "destination '" + destination + "' is not in the scenario, which has " +
                              std::to_string(s.destinations()));
        }
        p.destination = static_cast<uint32_t>(d), p.key = key, p.body = std::clamp(body, 0, 60000);
        if (first < 0) first = at;
        p.at = Instant::atMicros(at - first);
        if (p.at - Instant() < s.lasts) out.push_back(p);
    }
    std::stable_sort(out.begin(), out.end(), [](const Planned& a, const Planned& b) { return a.at < b.at; });
    return out;
}

double earned(const Product& p, Span after) {
    if (after <= p.sla) return p.revenue;
    if (after >= p.validity) return 0;
    double part = (after - p.sla).inSeconds() / std::max((p.validity - p.sla).inSeconds(), 1e-9);
    return p.revenue * (1 - (1 - p.lateRevenueShare) * part);
}

Programs::Programs(const Scenario& scenario, std::vector<Planned> plan) : scenario_(scenario) {
    texts_.reserve(plan.size());
    for (Planned& p : plan) texts_.push_back({p, End::open, {}, Instant::never(), 0});
    open_ = static_cast<long>(texts_.size());
}

Instant Programs::validUntil(size_t ix) const {
    return texts_[ix].plan.at + scenario_.products[texts_[ix].plan.product].rules.validity;
}

void Programs::calledFirst(Instant now, size_t ix) {
    texts_[ix].firstCallAt = std::min(texts_[ix].firstCallAt, now);
}

void Programs::over(Instant now, size_t ix, End end) {
    Text& t = texts_[ix];
    if (t.end != End::open) return;
    t.end = end, t.endedAt = now, --open_;
}

std::optional<Instant> Programs::refused(Instant now, size_t ix, Span pause) {
    if (texts_[ix].end != End::open) return std::nullopt;
    Instant again = now + std::max(pause, Span::millis(100));
    if (texts_[ix].tries <= scenario_.clientTries && again < validUntil(ix)) return again;
    over(now, ix, End::refused);
    return std::nullopt;
}

std::optional<Instant> Programs::unheard(Instant now, size_t ix) {
    if (texts_[ix].end != End::open) return std::nullopt;
    Instant again = now + Span::millis(20);
    if (texts_[ix].tries < 20 && again < validUntil(ix)) return again;
    over(now, ix, End::expired);
    return std::nullopt;
}

void Programs::delivered(Instant now, size_t ix) {
    const Text& t = texts_[ix];
    bool inTime = now - t.plan.at <= scenario_.products[t.plan.product].rules.sla;
    over(now, ix, now >= validUntil(ix) ? End::expired : inTime ? End::inTime : End::late);
}

void Programs::finish(Instant now) {
    for (size_t i = 0; i < texts_.size(); ++i) over(now, i, End::expired);
}

}  // namespace petrelpond::fleet
