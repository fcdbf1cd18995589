#include "fleet/world.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace petrelpond::fleet {

namespace {

// Troubles in which a place does nothing for anyone, so that what follows is a return.
bool isOutage(Trouble what) {
    return what == Trouble::down || what == Trouble::vanish || what == Trouble::hang ||
           what == Trouble::refuse || what == Trouble::error;
}

}  // namespace

World::World(const Scenario& scenario, uint64_t seed)
    : scenario_(scenario), chance_(static_cast<uint32_t>(seed ^ (seed >> 32) ^ 0x5eedu)) {
    for (uint32_t g = 0; g < scenario.groups.size(); ++g) {
        const Group& group = scenario.groups[g];
        for (int d = 0; d < group.count; ++d) {
            Place p;
            p.first = static_cast<uint32_t>(endpoints_.size()),
            p.count = static_cast<uint32_t>(group.endpoints);
            p.tokens = group.burst;
            for (int e = 0; e < group.endpoints; ++e) {
                Endpoint endpoint;
                endpoint.group = g, endpoint.destination = static_cast<uint32_t>(places_.size());
                for (int w = 0; w < group.workers; ++w) endpoint.busy.push(Instant::longAgo());
                endpoints_.push_back(std::move(endpoint));
            }
            places_.push_back(std::move(p));
        }
    }
    for (size_t i = 0; i < scenario.faults.size(); ++i) {
        Instant at = Instant() + scenario.faults[i].at;
        changes_.push_back({at, i, true});
        changes_.push_back({at + scenario.faults[i].lasts, i, false});
    }
    std::sort(changes_.begin(), changes_.end());
}

std::optional<Instant> World::nextChange() const {
    if (nextChange_ >= changes_.size()) return std::nullopt;
    return changes_[nextChange_].at;
}

void World::advance(Instant now) {
    while (nextChange_ < changes_.size() && changes_[nextChange_].at <= now) {
        apply(now, changes_[nextChange_++]);
    }
}

std::optional<Happening> World::next() {
    if (happenings_.empty()) return std::nullopt;
    Happening h = happenings_.front();
    happenings_.pop_front();
    return h;
}

void World::apply(Instant now, const Change& change) {
    const Fault& f = scenario_.faults[change.fault];
    Happening h;
    h.trouble = f.what, h.begins = change.begins, h.lasts = f.lasts, h.folderLost = f.folderLost;
    bool told = f.what == Trouble::directorySilent || f.what == Trouble::directoryOld;
    if (atSenders(f.what) || told) {
        h.what = told ? Happening::What::directory : Happening::What::sender;
        int share = static_cast<int>(std::lround(f.part * scenario_.senders));
        for (int s = 0; s < scenario_.senders; ++s) {
            if (f.sender >= 0 ? s != f.sender : s >= share) continue;
            h.sender = s;
            happenings_.push_back(h);
        }
        return;
    }
    if (atDirectory(f.what)) {
        h.what = Happening::What::directory;
        return happenings_.push_back(h);
    }
    auto g = static_cast<uint32_t>(f.group);
    const Group& group = scenario_.groups[g];
    uint32_t first = scenario_.firstDestination(g);
    auto struck = static_cast<uint32_t>(std::lround(f.part * group.count));
    for (uint32_t d = first; d < first + struck; ++d) {
        Place& p = places_[d];
        for (uint32_t e = p.first; e < p.first + p.count; ++e) {
            if (f.endpoint >= 0 && e - p.first != static_cast<uint32_t>(f.endpoint)) continue;
            strike(now, e, change.fault, change.begins);
        }
        settle(now, d);
    }
}

void World::strike(Instant now, uint32_t ix, size_t fault, bool begins) {
    Endpoint& e = endpoints_[ix];
    const Fault& f = scenario_.faults[fault];
    if (begins) e.faults.push_back(fault);
    if (!begins) std::erase(e.faults, fault);
    Happening h;
    h.endpoint = ix, h.trouble = f.what, h.begins = begins;
    auto list = [&](ListState state) {
        h.what = Happening::What::listed, h.state = e.listed = state, h.generation = e.generation;
        happenings_.push_back(h);
    };
    auto stand = [&](Standing standing) {
        if (e.standing == standing) return;
        h.what = Happening::What::standing, h.standing = e.standing = standing;
        happenings_.push_back(h);
        if (standing != Standing::up) return;
        // A new process: what it worked on is gone.
        e.busy = {}, e.starts.clear();
        for (int w = 0; w < groupOf(ix).workers; ++w) e.busy.push(now);
    };
    switch (f.what) {
        case Trouble::down:
            return stand(begins ? Standing::down : Standing::up);
        case Trouble::vanish:
            return stand(begins ? Standing::vanished : Standing::up);
        case Trouble::drain:  // told first, then nothing new is taken; comes back as it ends
            e.shut = begins;
            return list(begins ? ListState::draining : ListState::active);
        case Trouble::go:  // told, and its process goes with it; a new one comes under a new id
        case Trouble::replace:
            if (begins) {
                list(ListState::removed);
                if (f.what == Trouble::go) return stand(Standing::down);
            }
            if (!begins && f.what == Trouble::replace) return;
            ++e.generation;
            if (!begins) stand(Standing::up);
            h.what = Happening::What::replaced, h.generation = e.generation,
            h.state = e.listed = ListState::active;
            happenings_.push_back(h);
            return;
        default:
            return;
    }
}

// After an outage that took all of a place, its endpoints come back cold together.
void World::settle(Instant now, uint32_t d) {
    Place& p = places_[d];
    bool isOut = out(d);
    if (p.wasOut && !isOut) p.coldSince = now, p.warmCalls.clear();
    p.wasOut = isOut;
}

bool World::out(uint32_t d) const {
    const Place& p = places_[d];
    if (p.tipped) return true;
    for (uint32_t e = p.first; e < p.first + p.count; ++e) {
        bool outage = endpoints_[e].standing != Standing::up;
        for (size_t f : endpoints_[e].faults) {
            outage = outage || (isOutage(scenario_.faults[f].what) && scenario_.faults[f].share > 0.5);
        }
        if (!outage) return false;
    }
    return true;
}

double World::warmth(Instant now, const Place& p, const Group& g) const {
    if (g.coldShare >= 1 || g.warmUp <= Span()) return 1;
    double part = (now - p.coldSince).inSeconds() / g.warmUp.inSeconds();
    return g.coldShare + (1 - g.coldShare) * std::clamp(part, 0.0, 1.0);
}

bool World::returning(Instant now, uint32_t d) const {
    const Group& g = groupOf(places_[d].first);
    return !places_[d].wasOut && now - places_[d].coldSince < std::max(g.warmUp, g.tipWindow);
}

double World::capability(Instant now, uint32_t d) const {
    const Place& p = places_[d];
    const Group& g = groupOf(p.first);
    if (out(d)) return 0;
    double full = g.rate > 0        ? g.rate
                  : g.countMost > 0 ? g.countMost / g.countSpan.inSeconds()
                                    : g.endpoints * g.workers / g.answerMedian.inSeconds();
    return full * warmth(now, p, g);
}

std::vector<uint32_t> World::takeTipped() { return std::exchange(tipped_, {}); }

Span World::serviceTime(const Group& g) {
    double sigma = std::log(g.answerP99.inSeconds() / g.answerMedian.inSeconds()) / 2.326;
    double z = std::normal_distribution<double>()(chance_);
    return g.answerMedian * std::exp(sigma * z);
}

bool World::takesConnection(uint32_t ix, int open) const {
    return endpoints_[ix].standing == Standing::up && open < groupOf(ix).connections;
}

Span World::idleFor(uint32_t ix) {
    const Group& g = groupOf(ix);
    if (g.idleCloses > 0 && between(0, 1) < g.idleCloses) return g.idle * between(0.1, 1);
    return g.idle;
}

Fate World::called(Instant now, uint32_t ix, int texts, bool reused) {
    Fate fate = decide(now, ix, texts, reused);
    // Waits are told in whole milliseconds.
    fate.wait = Span::millis((fate.wait.inMicros() + 999) / 1000);
    return fate;
}

Fate World::decide(Instant now, uint32_t ix, int texts, bool reused) {
    Endpoint& e = endpoints_[ix];
    Place& p = places_[e.destination];
    const Group& g = groupOf(ix);
    Fate fate;
    if (e.standing != Standing::up || p.tipped) return fate.way = Fate::Way::silence, fate;
    fate.takes = Span::micros(300);
    // Everything that reaches a returning place weighs, refused calls too.
    if (g.tipMultiple > 0 && !p.wasOut && now - p.coldSince < g.warmUp + g.tipWindow) {
        while (!p.warmCalls.empty() && now - p.warmCalls.front() > g.tipWindow) p.warmCalls.pop_front();
        p.warmCalls.push_back(now);
        double most = g.tipMultiple * capability(now, e.destination) * g.tipWindow.inSeconds();
        if (static_cast<double>(p.warmCalls.size()) > most + 3 * std::sqrt(most) + 3) {
            p.tipped = true, tipped_.push_back(e.destination);
            return fate.way = Fate::Way::silence, fate;
        }
    }
    // The first trouble that strikes decides.
    Span added;
    std::optional<Fate::Way> odd;
    for (size_t at : e.faults) {
        const Fault& f = scenario_.faults[at];
        if (f.share < 1 && between(0, 1) >= f.share) continue;
        switch (f.what) {
            case Trouble::hang:
                return fate.way = Fate::Way::silence, fate;
            case Trouble::stall:
                added = added + f.value;
                break;
            case Trouble::refuse:
                return fate.status = 503, fate;
            case Trouble::full:
                return fate.status = 429, fate.wait = f.value, fate;
            case Trouble::error:
                return fate.status = 500, fate.runs = between(0, 1) < 0.5, fate;
            case Trouble::resetBefore:
                return fate.way = Fate::Way::resetBefore, fate;
            case Trouble::stale:
                if (reused) return fate.way = Fate::Way::resetBefore, fate;
                break;
            case Trouble::resetDuring:
                odd = Fate::Way::resetDuring;
                break;
            case Trouble::resetAfter:
                odd = Fate::Way::resetAfter;
                break;
            case Trouble::half:
                odd = Fate::Way::half;
                break;
            case Trouble::spoilt:
                odd = Fate::Way::spoilt;
                break;
            case Trouble::lostAnswer:
                odd = Fate::Way::silence;
                break;
            case Trouble::drip:
                odd = Fate::Way::drip;
                break;
            default:
                break;
        }
    }
    if (e.shut) return fate.status = 503, fate;
    double warm = warmth(now, p, g);
    if (g.rate > 0) {
        p.tokens = std::min(g.burst, p.tokens + (now - p.refilledAt).inSeconds() * g.rate * warm);
        p.refilledAt = now;
        if (p.tokens < 1) {
            fate.status = g.tellsWaits ? 429 : 503;
            if (g.tellsWaits) fate.wait = Span::seconds((1 - p.tokens) / (g.rate * warm)) + Span::millis(10);
            return fate;
        }
        p.tokens -= 1;
    } else if (g.countMost > 0) {
        while (!p.spanCalls.empty() && now - p.spanCalls.front() >= g.countSpan) p.spanCalls.pop_front();
        if (static_cast<double>(p.spanCalls.size()) >= g.countMost * warm) {
            fate.status = g.tellsWaits ? 429 : 503;
            if (g.tellsWaits)
                fate.wait = p.spanCalls.empty() ? g.countSpan : p.spanCalls.front() + g.countSpan - now;
            return fate;
        }
        p.spanCalls.push_back(now);
    }
    // So many workers, a queue before them; a cold endpoint has fewer.
    auto asleep = static_cast<int>((1 - warm) * g.workers);
    Instant free = e.busy.top();
    if (asleep > 0) {
        auto busy = e.busy;
        for (int skip = asleep; skip > 0 && busy.size() > 1; --skip) busy.pop();
        free = busy.top();
    }
    while (!e.starts.empty() && e.starts.front() <= now) e.starts.pop_front();
    Instant start = std::max(now, free);
    if (start > now && e.starts.size() >= static_cast<size_t>(g.queue)) return fate.status = 503, fate;
    if (start > now) e.starts.push_back(start);
    Span work = serviceTime(g) * (1 + 0.2 * (texts - 1)) + added;
    e.busy.pop();
    e.busy.push(start + work);
    fate.takes = start + work - now, fate.runs = true;
    if (odd) fate.way = *odd;
    if (fate.way == Fate::Way::resetDuring) fate.runs = false;
    return fate;
}

std::string World::idOf(uint32_t ix) const {
    std::string id = "e" + std::to_string(ix);
    return endpoints_[ix].generation == 0 ? id : id + "-" + std::to_string(endpoints_[ix].generation);
}

}  // namespace petrelpond::fleet
