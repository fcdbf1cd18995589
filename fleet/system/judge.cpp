#include "fleet/system/judge.hpp"

#include <algorithm>

namespace petrelpond::range {

namespace {

constexpr size_t kMostWords = 200;  // breaches beyond that are counted alone
// Ends by themselves this soon after trouble of ours count as its outcome.
const Span kAfterTrouble = Span::seconds(1);
// Real sockets do not tell whether a process has read what lies in the kernel. One that has lain there for so
// long in a living process was read, or should have been.
const Span kSurelyRead = Span::seconds(1);
// Who reports says so at least this often, else it did not keep up.
const Span kKeepsUp = Span::millis(150);
const Span kLimitWindow = Span::seconds(5);
constexpr long kMostKeptCut = 3;
// A request sent so soon after the SIGTERM may be cut off once so much of the grace is over.
const Span kTakesOnAfterTerm = Span::seconds(3);
constexpr double kGraceUsed = 5.0 / 6;
// Of a client that has left: work is dropped within this, and no request arrives after it but for a few.
const Span kGoneSlack = Span::millis(500);
constexpr long kMostGoneArrivals = 5;
constexpr long kGoneWorkingShare = 4;  // one in so many may still be at work

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

std::string seconds(Span s) {
    std::string text = std::to_string(s.inSeconds());
    return text.substr(0, text.find('.') + 3) + " s";
}

}  // namespace

std::string_view nameOf(Rule rule) {
    static constexpr std::string_view names[kRules] = {
        "MIXED", "UNASKED", "TWICE",     "REFUSED", "DENIED", "ROUTE", "DRAIN",   "LOST",
        "GONE",  "CONFIG",  "FORGOTTEN", "ACKS",    "BUDGET", "LIMIT", "RECOVER", "ENDS"};
    return names[static_cast<size_t>(rule)];
}

const RouteRule* Version::find(std::string_view host, std::string_view path) const {
    const RouteRule* best = nullptr;
    for (const RouteRule& r : routes) {
        if (r.host != host || path.substr(0, r.prefix.size()) != r.prefix) continue;
        if (!best || r.prefix.size() > best->prefix.size()) best = &r;
    }
    return best;
}

Judge::Judge(Bounds bounds, std::vector<bool> machines, size_t cores)
    : bounds_(bounds), cores_(cores), machines_(machines.size()) {
    for (size_t i = 0; i < machines.size(); ++i) machines_[i].core = machines[i];
    if (cores_ == 0) cores_ = static_cast<size_t>(std::count(machines.begin(), machines.end(), true));
}

int Judge::all() const {
    int n = 0;
    for (int c : counts_) n += c;
    return n;
}

void Judge::breach(Rule rule, Instant at, std::string words) {
    ++counts_[static_cast<size_t>(rule)];
    if (breaches_.size() < kMostWords) breaches_.push_back({rule, at, std::move(words)});
}

std::string Judge::nameOf(const Request& r) const {
    return "try " + r.is.id + " (" + r.is.method + " " + r.is.host + std::string(pathOf(r.is.target)) +
           (r.is.repeatable ? "" : ", once only") + ", machine " + std::to_string(r.is.machine) + ")";
}

// --- who is in touch ---------------------------------------------------------------------------------------

bool Judge::calm(const std::vector<Trouble>& troubles, Instant from, Instant to) const {
    return std::none_of(troubles.begin(), troubles.end(),
                        [&](const Trouble& t) { return t.from <= to && t.until >= from; });
}

bool Judge::settled(Instant from, Instant to) const {
    return std::all_of(machines_.begin(), machines_.end(),
                       [&](const Machine& m) { return !m.core || calm(m.troubles, from, to); });
}

bool Judge::majority(Instant from, Instant to) const {
    std::vector<Instant> moments = {from};
    for (const Machine& m : machines_) {
        if (!m.core) continue;
        for (const Trouble& t : m.troubles)
            if (t.from >= from && t.from <= to) moments.push_back(t.from);
    }
    return std::all_of(moments.begin(), moments.end(), [&](Instant at) {
        size_t away = 0;
        for (const Machine& m : machines_) away += m.core && !calm(m.troubles, at, at);
        return away < cores_ && (cores_ - away) * 2 > cores_;
    });
}

bool Judge::inTouch(int machine, Instant from, Instant to) const {
    Instant since = from - bounds_.contact;
    return calm(machines_[static_cast<size_t>(machine)].troubles, since, to) && settled(since, to);
}

void Judge::down(Instant now, int machine) {
    Machine& m = machines_[static_cast<size_t>(machine)];
    if (m.isDown) return;
    m.isDown = true, m.downAs = m.troubles.size();
    m.troubles.push_back({now, Instant::never()});
}

void Judge::harmed(int machine, Instant from, Instant until) {
    machines_[static_cast<size_t>(machine)].troubles.push_back({from, until});
}

void Judge::up(Instant now, int machine, bool newLife) {
    Machine& m = machines_[static_cast<size_t>(machine)];
    if (m.isDown) m.troubles[m.downAs].until = now;
    m.isDown = false;
    if (newLife) ++m.life, m.effects.clear();
}

void Judge::planned(Instant now, int machine) {
    machines_[static_cast<size_t>(machine)].terms.push_back(now);
}
void Judge::reloads(Instant now, int machine) { machines_[static_cast<size_t>(machine)].hups.push_back(now); }
void Judge::disturbed(Instant from, Instant until) { disturbances_.push_back({from, until}); }

void Judge::ownEnd(Instant now, int machine, const std::string& words) {
    const Machine& m = machines_[static_cast<size_t>(machine)];
    if (calm(m.troubles, now - kAfterTrouble, now))
        breach(Rule::ends, now,
               "machine " + std::to_string(machine) + ": " + words + " with no trouble there");
}

void Judge::platformAway(Instant now, bool away) {
    if (away && !platformIsAway_) platform_.push_back({now, Instant::never()});
    if (!away && platformIsAway_) platform_.back().until = now;
    platformIsAway_ = away;
}

// --- clients -----------------------------------------------------------------------------------------------

void Judge::sent(Instant now, Sent is) {
    Request r;
    r.at = now, r.life = machines_[static_cast<size_t>(is.machine)].life;
    r.is = std::move(is);
    // It counts for each service that any of the versions in question may send it to.
    std::vector<std::string> to;
    for (auto& [number, change] : changes_) {
        if (!change.is.valid) continue;
        if (const RouteRule* rule = change.is.find(r.is.host, pathOf(r.is.target)))
            for (const std::string& s : rule->to)
                if (std::find(to.begin(), to.end(), s) == to.end()) to.push_back(s);
    }
    for (const std::string& s : to) {
        auto& times = services_[s].requests;
        times.push_back(now);
        while (now - times.front() > bounds_.budgetWindow * 3) times.pop_front();
    }
    requests_[r.is.id] = std::move(r);
}

std::optional<int64_t> Judge::floorFor(Instant now, const Request& r) const {
    Instant since = r.at - bounds_.contact;
    if (!calm(machines_[static_cast<size_t>(r.is.machine)].troubles, since, now)) return std::nullopt;
    Span bound = bounds_.configApply;
    if (!settled(since, now)) {
        // With the core unsettled the bound is longer, as long as more than half of it was there.
        bound = bound + bounds_.stretchMost;
        if (!majority(r.at - bound, now)) return std::nullopt;
    }
    std::optional<int64_t> floor;
    for (const auto& [number, change] : changes_)
        if (change.is.valid && change.ackedAt + bound < r.at) floor = number;
    return floor;
}

bool Judge::lacksAnywhere(const Request& r, int64_t floor) const {
    return std::any_of(changes_.begin(), changes_.end(), [&](const auto& each) {
        const Change& c = each.second;
        return each.first >= floor && c.is.valid && !c.is.find(r.is.host, pathOf(r.is.target));
    });
}

// allowing: the versions as which it was handled, ascending.
void Judge::handled(Instant now, Request& r, const std::vector<int64_t>& allowing, bool effect,
                    const std::string& how) {
    if (allowing.empty()) return;
    auto floor = floorFor(now, r);
    if (floor && allowing.back() < *floor)
        breach(Rule::config, now,
               nameOf(r) + " was " + how + ", as only version " + std::to_string(allowing.back()) +
                   " or older allows, though " + std::to_string(*floor) + " had been acknowledged for " +
                   seconds(r.at - changes_[*floor].ackedAt));
    Machine& m = machines_[static_cast<size_t>(r.is.machine)];
    if (r.life != m.life || m.isDown) return;  // that life is over
    for (const auto& [at, version] : m.effects) {
        if (version <= allowing.back() || at + bounds_.rollbackSlack >= r.at) continue;
        breach(Rule::config, now,
               nameOf(r) + " was " + how + ", as only version " + std::to_string(allowing.back()) +
                   " or older allows, after this machine had acted on " + std::to_string(version));
        break;
    }
    if (effect && (m.effects.empty() || m.effects.back().second < allowing.front()))
        m.effects.emplace_back(now, allowing.front());
}

void Judge::ended(Request& r, bool served) {
    if (r.is.owed) outcomes_.emplace_back(r.at, served);
}

void Judge::got(Instant now, const std::string& id, int status, const std::string& seal,
                const std::string& echo, uint64_t body) {
    auto found = requests_.find(id);
    if (found == requests_.end()) return;
    Request& r = found->second;
    ended(r, status >= 200 && status < 300);
    if (!echo.empty() && echo != id)
        return breach(Rule::mixed, now, nameOf(r) + " got the answer to " + echo);
    if (status >= 200 && status < 300) {
        bool whole = false, other = false;
        for (const Given& g : r.given) {
            bool success = g.status >= 200 && g.status < 300;
            whole |= success && g.seal == seal && g.body == body;
            other |= !success;
        }
        if (seal.empty())
            breach(Rule::mixed, now, nameOf(r) + " got a success without a seal");
        else if (!whole)
            breach(Rule::mixed, now,
                   nameOf(r) + (r.given.empty() ? " got a success that no endpoint gave"
                                : other         ? " got a success where the endpoint gave a failure"
                                                : " got a body or seal other than the endpoint's"));
        return;
    }
    bool promise = status == 429 || status == 503 || status == 408 || status == 421;
    if (promise && !r.is.repeatable) {
        r.promised = true;
        if (r.runs > 0)
            breach(Rule::refused, now,
                   nameOf(r) + " was answered " + std::to_string(status) + " though it had run");
    }
    if (promise || status < 300 || status >= 500) return;
    auto floor = floorFor(now, r);
    if (status == 404) {
        std::vector<int64_t> lacking;
        for (const auto& [number, c] : changes_)
            if (c.is.valid && !c.is.find(r.is.host, pathOf(r.is.target))) lacking.push_back(number);
        // Where no version ever lacked the route, the refusal is as only a time before all of them allows.
        if (lacking.empty() && !changes_.empty()) lacking.push_back(0);
        handled(now, r, lacking, false, "refused with 404");
        if (!floor || lacksAnywhere(r, *floor)) return;
    }
    if (inTouch(r.is.machine, r.at, now)) ++denied_;
}

void Judge::stray(Instant now, int machine, int status) {
    if (status >= 200 && status < 300)
        breach(Rule::mixed, now,
               "a success on a connection where no request waits, machine " + std::to_string(machine));
    if (status == 0)
        breach(Rule::mixed, now,
               "bytes that are no answer where no request waits, machine " + std::to_string(machine));
}

void Judge::spoilt(Instant now, const std::string& id) {
    auto found = requests_.find(id);
    if (found == requests_.end()) return;
    if (!found->second.endpointBroke)
        breach(Rule::mixed, now, nameOf(found->second) + " got bytes that are no answer");
    ended(found->second, false);
}

void Judge::broken(Instant now, const std::string& id) {
    auto found = requests_.find(id);
    if (found == requests_.end()) return;
    Request& r = found->second;
    ended(r, false);
    if (now < r.is.deadline && !r.endpointBroke) judgeCut(now, r);
}

void Judge::left(Instant now, const std::string& id) {
    auto found = requests_.find(id);
    if (found == requests_.end()) return;
    found->second.leftAt = now;
}

// Whether its client left over half a second ago, at a machine in touch since then.
bool Judge::isGone(Instant now, const Request& r) const {
    return r.leftAt != Instant::never() && now > r.leftAt + kGoneSlack &&
           inTouch(r.is.machine, r.leftAt, r.leftAt + kGoneSlack);
}

// A run has ended, by itself or dropped, that would have ended at `wouldEnd`.
void Judge::judgeWorkForGone(Instant ended, Instant wouldEnd, const Request& r) {
    if (!r.is.repeatable || !isGone(wouldEnd, r)) return;
    ++goneLasting_;
    goneWorking_ += isGone(ended, r);
}

void Judge::finishGone(Instant now) {
    if (goneArrivals_ > kMostGoneArrivals)
        breach(Rule::gone, now,
               std::to_string(goneArrivals_) + " requests reached an endpoint over " + seconds(kGoneSlack) +
                   " after their client had left");
    if (goneWorking_ * kGoneWorkingShare > goneLasting_)
        breach(Rule::gone, now,
               "endpoints were at work on " + std::to_string(goneWorking_) + " of " +
                   std::to_string(goneLasting_) + " requests " + seconds(kGoneSlack) +
                   " after their client had left");
}

// Whether nothing but this SIGTERM troubled the machine, endpoints or clients from contact_ms before the
// request on.
bool Judge::calmBut(Instant term, const Request& r, Instant now) const {
    const Instant since = r.at - bounds_.contact;
    const Machine& m = machines_[static_cast<size_t>(r.is.machine)];
    return calm(disturbances_, since, now) &&
           std::none_of(m.troubles.begin(), m.troubles.end(), [&](const Trouble& t) {
               return t.from != term && t.from <= now && t.until >= since;
           });
}

bool Judge::wasTakenOn(const Request& r, Instant now) const {
    const Span lay = now - r.at - unwatched(r.at, now);
    return r.runs > 0 || lay > std::max(bounds_.lossSlack, kSurelyRead);
}

void Judge::watching(Instant now) {
    if (watchedAt_ != Instant::never() && now - watchedAt_ > kKeepsUp)
        unwatched_.push_back({watchedAt_, now});
    watchedAt_ = now;
}

Span Judge::unwatched(Instant from, Instant until) const {
    Span sum;
    const auto add = [&](Instant begin, Instant end) {
        begin = std::max(begin, from), end = std::min(end, until);
        if (end > begin) sum = sum + (end - begin);
    };
    for (const Trouble& span : unwatched_) add(span.from, span.until);
    if (watchedAt_ != Instant::never() && until - watchedAt_ > kKeepsUp) add(watchedAt_, until);
    return sum;
}

// Its connection ended without a whole answer.
void Judge::judgeCut(Instant now, const Request& r) {
    const Machine& m = machines_[static_cast<size_t>(r.is.machine)];
    const std::string passedOn = r.runs > 0 ? ", having been passed on" : "";
    for (Instant term : m.terms) {
        if (now < term || now > term + bounds_.grace + Span::seconds(1)) continue;
        if (!calmBut(term, r, now) || !wasTakenOn(r, now)) continue;
        const bool sentInTime = r.at <= term + kTakesOnAfterTerm;
        if (r.open > 0 && sentInTime && now > term + bounds_.grace * kGraceUsed) continue;
        return breach(Rule::lost, now,
                      nameOf(r) + " was cut off " + seconds(now - term) +
                          " after its machine was told to end" + passedOn);
    }
    for (Instant hup : m.hups) {
        if (now < hup || r.at > hup + bounds_.configApply) continue;
        if (!calmBut(Instant::never(), r, now) || !wasTakenOn(r, now)) continue;
        return breach(
            Rule::lost, now,
            nameOf(r) + " was cut off " + seconds(now - hup) + " after its machine's SIGHUP" + passedOn);
    }
    if (!r.is.kept || r.runs == 0 || !inTouch(r.is.machine, r.at, now)) return;
    if (++keptCut_ == kMostKeptCut + 1)
        breach(Rule::lost, now,
               nameOf(r) + " is the " + std::to_string(keptCut_) +
                   "th on a kept connection that was passed on and cut off by a machine in touch");
}

// --- endpoints ---------------------------------------------------------------------------------------------

bool Judge::drainClockRan(Instant shown, Instant now) const {
    Span ran = now - shown;
    for (const Trouble& t : platform_) {
        Instant from = std::max(t.from, shown), until = std::min(t.until, now);
        if (until > from) ran = ran - (until - from);
    }
    return ran > bounds_.drain;
}

void Judge::reached(Instant now, const std::string& id, const std::string& endpoint,
                    const std::string& service, bool misdirected) {
    auto found = requests_.find(id);
    if (found == requests_.end()) return;  // ran() tells
    Request& r = found->second;
    auto leaves = leaving_.find(endpoint);
    if (!misdirected && leaves != leaving_.end() && now > leaves->second &&
        drainClockRan(leaves->second, now) && inTouch(r.is.machine, std::min(r.at, now), now))
        breach(Rule::drain, now,
               nameOf(r) + " reached " + endpoint + " " + seconds(now - leaves->second) +
                   " after the list had shown it as draining");
    goneArrivals_ += isGone(now, r);
    Service& s = services_[service];
    if (++r.arrivals == 1) return;
    Span w = bounds_.budgetWindow;
    s.repeats.push_back(now);
    while (now - s.repeats.front() > w) s.repeats.pop_front();
    auto within = [](const std::deque<Instant>& all, Instant from, Instant to) {
        auto first = std::upper_bound(all.begin(), all.end(), from);
        return std::upper_bound(first, all.end(), to) - first;
    };
    auto most = std::max({within(s.requests, now - w, now), within(s.requests, now - w * 2, now - w),
                          within(s.requests, now - w * 1.5, now - w * 0.5)});
    auto repeats = within(s.repeats, now - w, now);
    double allowed = bounds_.retryRatio * static_cast<double>(most) + bounds_.retrySlack;
    if (static_cast<double>(repeats) > allowed && now - s.budgetToldAt > w) {
        s.budgetToldAt = now;
        breach(Rule::budget, now,
               service + " got " + std::to_string(repeats) + " further arrivals in " + seconds(w) + ", " +
                   std::to_string(static_cast<long>(allowed)) + " allowed");
    }
}

void Judge::turnedAway(Instant now, const std::string& id, const std::string& service) {
    auto found = requests_.find(id);
    if (found == requests_.end()) return;
    const Request& r = found->second;
    // Not while endpoints, clients or front machines are in trouble, nor for a while after.
    Instant since = now - bounds_.contact;
    if (!calm(disturbances_, since, now) || !inTouch(r.is.machine, now, now)) return;
    for (const Machine& m : machines_)
        if (!m.core && !calm(m.troubles, since, now)) return;
    Service& s = services_[service];
    s.rejections.push_back(now);
    while (now - s.rejections.front() > kLimitWindow) s.rejections.pop_front();
    if (static_cast<double>(s.rejections.size()) > bounds_.rejectionSlack &&
        now - s.limitToldAt > kLimitWindow) {
        s.limitToldAt = now;
        breach(Rule::limit, now,
               "instances of " + service + " turned away " + std::to_string(s.rejections.size()) +
                   " requests in " + seconds(kLimitWindow) + ", being full");
    }
}

void Judge::ran(Instant now, const std::string& id, const std::string& service, std::string_view method,
                std::string_view target, uint64_t body) {
    auto found = requests_.find(id);
    if (found == requests_.end())
        return breach(Rule::unasked, now, service + " ran '" + id + "', which no client sent");
    Request& r = found->second;
    ++r.runs, ++r.open;
    if (method != r.is.method || target != r.is.target || body != r.is.body)
        breach(Rule::unasked, now,
               nameOf(r) + " ran changed, as " + std::string(method) + " " + std::string(target));
    if (!r.is.repeatable && r.runs > 1)
        breach(Rule::twice, now, nameOf(r) + " ran " + std::to_string(r.runs) + " times");
    if (r.promised)
        breach(Rule::refused, now, nameOf(r) + " ran after its client was promised that it never would");
    std::vector<int64_t> allowing;
    for (const auto& [number, change] : changes_) {
        if (!change.is.valid) continue;
        const RouteRule* rule = change.is.find(r.is.host, pathOf(r.is.target));
        if (rule && std::find(rule->to.begin(), rule->to.end(), service) != rule->to.end())
            allowing.push_back(number);
    }
    if (allowing.empty())
        return breach(Rule::route, now,
                      nameOf(r) + " ran at " + service + ", where no configuration sends it");
    handled(now, r, allowing, true, "run by " + service);
}

void Judge::answered(Instant now, const std::string& id, int status, const std::string& seal, uint64_t body) {
    auto found = requests_.find(id);
    if (found == requests_.end()) return;
    Request& r = found->second;
    if (r.open > 0) --r.open;
    judgeWorkForGone(now, now, r);
    if (status == 0)
        r.endpointBroke = true;
    else
        r.given.push_back({status, seal, body});
}

void Judge::abandoned(Instant now, const std::string& id, Instant wouldEnd) {
    auto found = requests_.find(id);
    if (found == requests_.end()) return;
    if (found->second.open > 0) --found->second.open;
    judgeWorkForGone(now, wouldEnd, found->second);
}

void Judge::leaves(Instant shown, const std::string& endpoint) { leaving_.emplace(endpoint, shown); }

// --- operators ---------------------------------------------------------------------------------------------

void Judge::offered(Instant now, Version v) {
    int64_t number = v.number;
    // What is invalid is kept under a number of its own, so that it never stands in the place of a valid one.
    if (!v.valid) number = -1 - static_cast<int64_t>(changes_.size());
    changes_.emplace(number, Change{std::move(v), now, Instant::never(), false});
}

void Judge::acknowledged(Instant now, int64_t number) {
    for (auto& [key, change] : changes_) {
        if (change.is.number != number || change.ackedAt != Instant::never()) continue;
        change.ackedAt = now;
        if (!change.is.valid)
            breach(Rule::config, now,
                   "version " + std::to_string(number) + " is invalid and was acknowledged");
        else
            checkAck(now, change);
        return;
    }
}

void Judge::turnedDown(Instant now, int64_t number) {
    for (auto& [key, change] : changes_) {
        if (change.is.number != number) continue;
        change.down = true;
        if (change.is.valid)
            breach(Rule::acks, now, "version " + std::to_string(number) + " is valid and was refused");
        return;
    }
}

// Whether it went without acknowledgement for too long in one stretch in which the core was settled.
void Judge::checkAck(Instant end, const Change& c) {
    Span bound = bounds_.ack + Span::millis(3 * static_cast<int64_t>(c.is.routes.size()));
    std::vector<Instant> starts = {c.offeredAt};
    for (const Machine& m : machines_)
        for (const Trouble& t : m.troubles)
            if (m.core && t.until > c.offeredAt && t.until < end) starts.push_back(t.until + bounds_.contact);
    for (Instant from : starts) {
        if (from + bound >= end || !settled(from - bounds_.contact, from + bound)) continue;
        return breach(Rule::acks, end,
                      "version " + std::to_string(c.is.number) + " had no acknowledgement for over " +
                          seconds(bound) + " with the core settled");
    }
}

void Judge::readBack(Instant now, int64_t number, const std::string& text, Instant asked, bool closing) {
    readBack_ |= closing;
    int64_t newest = 0;
    for (const auto& [key, change] : changes_)
        if (change.is.valid && change.ackedAt <= asked) newest = std::max(newest, change.is.number);
    if (number < newest)
        return breach(Rule::forgotten, now,
                      "version " + std::to_string(number) + " was read back, though " +
                          std::to_string(newest) + " had been acknowledged");
    auto found = changes_.find(number);
    if (found == changes_.end() || found->second.is.text != text)
        breach(Rule::forgotten, now,
               "what was read back as version " + std::to_string(number) +
                   " is not what was sent under that number");
}

void Judge::finish(Instant now) {
    for (const auto& [key, change] : changes_)
        if (change.is.valid && !change.down && change.ackedAt == Instant::never()) checkAck(now, change);
    if (!readBack_ && !changes_.empty()) breach(Rule::forgotten, now, "no configuration could be read back");
    finishGone(now);
    double allowed = 5 + static_cast<double>(requests_.size()) / 500;
    if (static_cast<double>(denied_) > allowed)
        breach(Rule::denied, now,
               std::to_string(denied_) + " proper requests were denied, " +
                   std::to_string(static_cast<int>(allowed)) + " allowed");
    Instant lastUp = Instant::longAgo();
    for (const Machine& m : machines_)
        for (const Trouble& t : m.troubles) lastUp = std::max(lastUp, t.until);
    if (lastUp == Instant::longAgo() || lastUp >= now) return;
    long after = 0, served = 0, before = 0, servedBefore = 0;
    for (const auto& [at, fine] : outcomes_) {
        if (at > lastUp + bounds_.recovery)
            ++after, served += fine;
        else
            ++before, servedBefore += fine;
    }
    if (after >= 20 && served * 4 < after && servedBefore * 4 >= before)
        breach(Rule::recover, now,
               "of " + std::to_string(after) + " requests after all machines were back only " +
                   std::to_string(served) + " were served");
}

}  // namespace petrelpond::range
