#include "system/proxy/dispatch.hpp"

#include <algorithm>
#include <cmath>

namespace petrelpond::proxy {

namespace {

constexpr double kUnknownMean = 0.1;          // seconds; of a kind never answered
const Span kReportEvery = Span::millis(100);  // what is not urgent gathers for so long
constexpr size_t kCrowdOfServices = 5;        // for so many requests wait here: a crowd
const Span kCrowdEvery = Span::millis(30);    // its reports
const Span kUrgentAgain = Span::millis(150);  // a want that was not met is said again
const Span kProbeEvery = Span::millis(60);
const Span kRest = Span::millis(250);  // of an instance that just refused a connection
const Span kDeadAgain = Span::millis(200);
const Span kUnheard = Span::millis(400);   // thought to pass until the holder's first word
const Span kPassedOn = Span::millis(100);  // a slot from another sender: two round trips between regions
const Span kSweep = Span::millis(50);
const Span kRemember = Span::seconds(30);  // an instance of which we have no slot any more
constexpr size_t kMostFormers = 8;         // such instances of a service
constexpr double kHoldShare = 0.45;        // of the time that a request had; then it is told

}  // namespace

// What may have run is decided here alone. Unsure is run.
bool mayHaveRun(Ending e) {
    switch (e) {
        case Ending::notRun:
        case Ending::misdirected:
        case Ending::unconnected:
        case Ending::unsent:
            return false;
        default:
            return true;
    }
}

Dispatch::Dispatch(Instant now, Options options)
    : options_(std::move(options)), chance_{std::mt19937(options_.chance)}, bornAt_(now), reportedAt_(now),
      wakeAt_(now), sweepAt_(now) {}

uint32_t Dispatch::serviceOf(const std::string& name) {
    auto [at, fresh] = serviceByName_.try_emplace(name, static_cast<uint32_t>(services_.size()));
    if (fresh) services_.emplace_back().spec.name = name;
    return at->second;
}

uint32_t Dispatch::kindOf(const Arrival& a) {
    std::array<int64_t, 4> key = {a.repeatable, a.priority, a.target.inMicros(), a.timeout.inMicros()};
    auto [at, fresh] = kindByKey_.try_emplace(key, static_cast<uint32_t>(kinds_.size()));
    if (fresh) kinds_.emplace_back();
    return at->second;
}

void Dispatch::configured(Instant now, const std::vector<ServiceSpec>& all) {
    for (Service& s : services_) s.known = false;
    for (const ServiceSpec& spec : all) {
        Service& s = services_[serviceOf(spec.name)];
        s.spec = spec, s.known = true;
    }
    for (uint32_t i = 0; i < services_.size(); ++i) run(now, i);
}

void Dispatch::standing(Instant now, uint64_t term, bool linked, uint32_t senders) {
    senders_ = std::max(1u, senders);
    if (senders_ >= mostSenders_)
        mostSenders_ = senders_, fewerSince_ = Instant::never();
    else if (fewerSince_ == Instant::never())
        fewerSince_ = now;
    bool anew = linked && (term != term_ || !linked_);
    if (term < term_) return;  // an old holder's word, or one that was passed on late
    term_ = term, linked_ = linked;
    if (anew) report(now, true);
}

void Dispatch::granted(Instant now, const scaler::Grants& grants) {
    // A holder that was overtaken, as one that slept, decides nothing here. What was granted under a higher
    // term shows that as well as the standing does.
    if (grants.term < std::max(term_, grantedTerm_)) return;
    grantedTerm_ = grants.term;
    if (grants.isFull) {
        for (auto& i : instances_)
            if (i && !i->dropped) {
                bool named = std::any_of(grants.grants.begin(), grants.grants.end(),
                                         [&](const scaler::Grant& g) { return g.instance == i->view.id; });
                if (!named && i->slots > 0) i->slots = 0, noteHeld(*i);
            }
    }
    std::vector<uint32_t> touched, grown;  // grown: more slots than before
    std::vector<InstanceIx> raised;
    bool lowered = false;
    for (const scaler::Grant& g : grants.grants) {
        auto found = instanceById_.find(g.instance);
        if (found == instanceById_.end()) {
            if (g.slots == 0) {  // not known here: so nothing is held of it
                lowered = true;
                if (g.isEnding)
                    for (Service& each : services_) forget(each, g.instance);
                heldChanges_[g.instance] = {g.instance, g.service, g.address, 0, 0};
                continue;
            }
            const uint32_t service = serviceOf(g.service);
            forget(services_[service], g.instance);
            const InstanceIx ix = makeInstance(now, {g.instance, g.address, g.zone}, service);
            Instance& made = *instances_[ix];
            made.up = g.upInMs == 0;
            made.upAt = now + Span::millis(g.upInMs);
            // Starts vary by a third or more: looked at from two thirds of the time on.
            made.probeAt = now + Span::millis(g.upInMs) * 0.6;
            found = instanceById_.find(g.instance);
        }
        Instance& i = *instances_[found->second];
        if (g.upInMs == 0 && !i.up) i.up = true, i.restsUntil = Instant::longAgo();
        if (g.slots == 0 && i.misses > 0) i.deadTold = false;
        bool more = g.slots > i.slots;
        lowered |= g.slots < i.slots || g.slots == 0;
        i.slots = g.slots;
        i.ends = g.isEnding;
        if (i.slots > 0) i.dropped = false;
        if (more) raised.push_back(found->second);
        // Every number is answered, a higher one too: the holder lowers none that it has not seen arrive.
        // Unanswered, a slot that lay idle here could not be asked back for three seconds while others waited
        // for it.
        noteHeld(i);
        services_[i.service].fleetSlots = g.fleetSlots;
        (more ? grown : touched).push_back(i.service);
    }
    for (uint32_t s : grown) raise(now, services_[s]), touched.push_back(s);
    std::sort(touched.begin(), touched.end());
    touched.erase(std::unique(touched.begin(), touched.end()), touched.end());
    for (uint32_t s : touched) run(now, s);
    for (InstanceIx ix = 0; ix < instances_.size(); ++ix) {
        Instance* i = instances_[ix].get();
        if (i && i->slots == 0 && i->busy == 0) dropInstance(now, ix);
    }
    // Somebody waits for what is taken back, and what lies idle may be asked back once its number is
    // answered. Of slots that are in use at once the answer goes with the end of the call, or the next report
    // that gathers: a word less for each call. Harm: a call that ends meanwhile frees its slot a round trip
    // later.
    const bool idle = std::any_of(raised.begin(), raised.end(), [this](InstanceIx ix) {
        const Instance* i = instances_[ix].get();
        return i && i->busy < i->slots;
    });
    if (lowered || idle || grants.isFull)
        report(now, false);
    else if (!heldChanges_.empty())
        wakeBy(reportedAt_ + kReportEvery);
}

// What is still held of an instance after fewer slots were granted, or after a slot that was asked back
// ended.
void Dispatch::noteHeld(Instance& i) {
    uint32_t held = std::max(i.slots, i.busy);
    heldChanges_[i.view.id] = {i.view.id, services_[i.service].spec.name, i.view.address, held, i.busy};
}

InstanceIx Dispatch::makeInstance(Instant now, const InstanceView& view, uint32_t service) {
    InstanceIx ix;
    if (!freeIx_.empty()) {
        ix = freeIx_.back(), freeIx_.pop_back();
    } else {
        ix = static_cast<InstanceIx>(instances_.size());
        instances_.emplace_back();
    }
    auto made = std::make_unique<Instance>();
    made->view = view;
    made->service = service;
    made->idleSince = made->upAt = now;
    services_[service].instances.push_back(ix);
    instances_[ix] = std::move(made);
    instanceById_[view.id] = ix;
    return ix;
}

void Dispatch::remember(Instant now, const Instance& i) {
    Service& s = services_[i.service];
    forget(s, i.view.id);
    if (i.ends || i.misses > 0 || i.deadTold || !i.up) return;
    s.formers.push_back({i.view, now + kRemember});
    if (s.formers.size() > kMostFormers) s.formers.erase(s.formers.begin());
}

void Dispatch::forget(Service& s, const std::string& instance) {
    std::erase_if(s.formers, [&](const Former& each) { return each.view.id == instance; });
}

void Dispatch::holderSilent(Instant now, bool is) {
    if (silent_ == is) return;
    silent_ = is;
    if (!silent_) return;
    const std::vector<uint32_t> all(hungry_.begin(), hungry_.end());
    for (uint32_t service : all) run(now, service);
}

// An instance for a request that has no slot here while nobody grants any, as after a loss of the cores: one
// that had a slot of ours not long ago. As a rule it has room, and where it is full it says so and has run
// nothing: then others of the service are left alone for a while, and the request goes the way of all that
// are turned away. One call at an instance at a time, one such send a request, paced by the bucket. Harm:
// the calls of others that hold its slots may be turned away in its place.
bool Dispatch::mayBorrow(Instant now, Service& s, const Request& r) {
    if (!silent_ || r.attempts > 0) return false;
    std::erase_if(s.formers, [now](const Former& each) { return now >= each.until; });
    if (s.formers.empty()) return false;
    if (now >= s.borrowAt && s.bucket.hasToken(now, 0, chance_)) return true;
    wakeBy(std::max(s.borrowAt, s.bucket.nextTokenAt));
    return false;
}

// The one in our zone, else the one that was used longest ago.
InstanceIx Dispatch::borrow(Instant now, uint32_t service) {
    Service& s = services_[service];
    ++counters_.borrowed;
    auto best = std::find_if(s.formers.begin(), s.formers.end(),
                             [this](const Former& each) { return each.view.zone == options_.zone; });
    if (best == s.formers.end()) best = s.formers.begin();
    const InstanceView view = best->view;
    forget(s, view.id);
    const InstanceIx ix = makeInstance(now, view, service);
    instances_[ix]->up = true;
    return ix;
}

void Dispatch::dropInstance(Instant now, InstanceIx ix) {
    Instance& i = *instances_[ix];
    remember(now, i);
    out_.push_back(Drop{ix, connectionsKept(i)});
    auto& all = services_[i.service].instances;
    all.erase(std::remove(all.begin(), all.end(), ix), all.end());
    instanceById_.erase(i.view.id);
    instances_[ix].reset();
    freeIx_.push_back(ix);
}

// Slots go from sender to sender and come back within seconds: a connection that stays open spares the next
// call a round trip and a small instance another connection. Harm: all senders' idle connections together
// must not use up what the instance takes, so each keeps its even part only.
size_t Dispatch::connectionsKept(const Instance& i) const {
    constexpr double kPartForIdle = 0.9;
    if (i.misses > 0 || i.deadTold) return 0;
    return static_cast<size_t>(kPartForIdle * services_[i.service].spec.maxConnections / senders_);
}

const InstanceView* Dispatch::instance(InstanceIx ix) const {
    return ix < instances_.size() && instances_[ix] ? &instances_[ix]->view : nullptr;
}

bool Dispatch::waits(RequestId id) const {
    auto found = requests_.find(id);
    return found != requests_.end() && !found->second.out;
}

double Dispatch::slice(const Service& s) const {
    double mean = s.mean > 0 ? s.mean : kUnknownMean;
    double own = 0;
    for (InstanceIx ix : s.instances) own += instances_[ix]->slots;
    // The fleet's rate over the senders told; a sender that was granted more than its even part uses that,
    // as traffic is uneven.
    double even = s.fleetSlots / static_cast<double>(senders_);
    return std::max(std::max(own, even) / mean, 1.0);
}

Span Dispatch::callTime(const Service& s, const Request& r) const {
    double mean = kinds_[r.kind].mean;
    if (mean <= 0) mean = s.mean;
    return Span::seconds(mean > 0 ? mean : kUnknownMean);
}

// How long a request that comes now would wait behind `ahead` others.
Span Dispatch::expectedWait(Instant now, const Service& s, size_t ahead, bool passedOn) const {
    Instant first = Instant::never();
    double slots = 0;
    for (InstanceIx ix : s.instances) {
        const Instance& i = *instances_[ix];
        if (i.slots == 0) continue;
        slots += i.slots;
        first = std::min(first, i.up ? std::max(now, i.restsUntil) : std::max(now, i.upAt));
    }
    double mean = s.mean > 0 ? s.mean : kUnknownMean;
    // Without a word of the holder yet only this sender's slots are unknown; the instances may well run.
    if (slots == 0 && (!linked_ || grantedTerm_ < term_)) return kUnheard;
    // The fleet has slots, though none is here: one is passed on sooner than an instance boots. Against
    // requests that come once more with less time left than a boot takes, and were told at once that there is
    // none. Harm: where all are busy, or gone since the holder's last word, one waits for a part of its time
    // in vain.
    if (slots == 0 && passedOn && s.fleetSlots > 0)
        return kPassedOn + Span::seconds(mean * static_cast<double>(ahead) / 4);
    if (slots == 0)
        return s.spec.boot + Span::millis(150) + Span::seconds(mean * static_cast<double>(ahead) / 4);
    return (first - now) + Span::seconds(mean * static_cast<double>(ahead) / slots);
}

void Dispatch::arrived(Instant now, const Arrival& a) {
    ++counters_.arrived;
    uint32_t ix = serviceOf(a.service);
    uint32_t kind = kindOf(a);
    Request& r = requests_[a.id];
    r.is = a, r.cameAt = now, r.service = ix, r.kind = kind, r.order = ++order_;
    r.holdUntil = std::min(now + (a.deadline - now) * kHoldShare, a.deadline);
    Service& s = services_[ix];
    s.budget.request(now, options_.budgetWindow);
    ++s.arrived;
    if (!s.changed) s.changed = true, changed_.push_back(ix);
    queue(r);
    run(now, ix);
    auto still = requests_.find(a.id);
    if (still == requests_.end() || still->second.out) return;
    // It waits. Where it surely can't be had in time it is told now, with when to come back.
    size_t behind = 0;  // of lower priority: it is the last of its own
    for (auto at = s.waiting.rbegin(); at != s.waiting.rend() && at->first.first > a.priority; ++at) ++behind;
    size_t ahead = s.waiting.size() - behind - 1;
    Span wait = expectedWait(now, s, ahead, true);
    if (held_ > mostHeld_ || now + wait + callTime(s, still->second) > a.deadline)
        return refuse(now, still->second, true);
    holds_.emplace(r.holdUntil, a.id);
    wakeBy(std::max(r.holdUntil, sweepAt_));
}

void Dispatch::queue(Request& r) {
    Service& s = services_[r.service];
    s.waiting[{r.is.priority, r.order}] = r.is.id;
    ++held_;
    hungry_.insert(r.service);
    s.peak = std::max(s.peak, s.busy + static_cast<uint32_t>(s.waiting.size()));
}

void Dispatch::unqueue(Request& r) {
    Service& s = services_[r.service];
    if (s.waiting.erase({r.is.priority, r.order})) --held_;
    if (s.waiting.empty()) hungry_.erase(r.service);
}

void Dispatch::withdrawn(Instant, RequestId id) {
    auto found = requests_.find(id);
    if (found == requests_.end() || found->second.out) return;
    unqueue(found->second);
    close(found->second);
}

std::optional<InstanceIx> Dispatch::pick(Instant now, const Service& s, const Request& r) const {
    std::optional<InstanceIx> best;
    double most = 0;
    for (InstanceIx ix : s.instances) {
        const Instance& i = *instances_[ix];
        if (!i.up || i.busy >= i.slots || now < i.restsUntil) continue;
        double room = (i.slots - i.busy) / static_cast<double>(i.slots);
        if (i.view.zone == options_.zone) room += 0.4;  // bytes between zones are dear, and it is nearer
        if (i.misses > 0) room /= 4;
        if (ix == r.avoid) room /= 100;
        if (!best || room > most) best = ix, most = room;
    }
    return best;
}

void Dispatch::tellNow(Instant now) {
    urgent_ = true;
    wakeBy(urgentAt(now));
}

// When what is urgent is reported: at once, but in a crowd a few times a tenth of a second. Against a holder
// that falls behind by the reports of all senders when, after a loss, requests for many services wait at each
// of them. Harm: a want is heard so much later while many others wait.
Instant Dispatch::urgentAt(Instant now) const {
    return hungry_.size() < kCrowdOfServices ? now : std::max(now, reportedAt_ + kCrowdEvery);
}

// More slots are a higher rate at once, and a wait reckoned by the old rate is shortened in step: bound while
// it had no slot at all, a sender would else let one call a second go, however many slots it was given since.
void Dispatch::raise(Instant now, Service& s) {
    double rate = slice(s);
    if (!s.bucket.limited || s.bucket.rate >= rate) return;
    if (s.bucket.nextTokenAt > now)
        s.bucket.nextTokenAt = now + (s.bucket.nextTokenAt - now) * (s.bucket.rate / rate);
    s.bucket.rate = rate;
}

// A request is held: the service's concurrency is taken, or its instance boots. From here on the bucket
// binds.
void Dispatch::hold(Instant now, Service& s) {
    bool fresh = !s.bucket.limited;
    s.bucket.startLimiting(now, slice(s), chance_);
    // The source's bucket starts full: with no call out the first one held owes no wait.
    if (fresh && s.busy == 0) s.bucket.tokens = 1;
    if (!s.wanting || now - s.wantedAt > kUrgentAgain) {
        s.wanting = true, s.wantedAt = now;
        tellNow(now);
    }
    if (!s.changed) s.changed = true, changed_.push_back(static_cast<uint32_t>(&s - services_.data()));
}

void Dispatch::run(Instant now, uint32_t ix) {
    Service& s = services_[ix];
    while (!s.waiting.empty()) {
        Request& r = requests_.at(s.waiting.begin()->second);
        if (now >= r.is.deadline) {
            refuse(now, r, false);
            continue;
        }
        auto at = pick(now, s, r);
        if (!at && mayBorrow(now, s, r)) at = borrow(now, ix);
        if (!at) {
            hold(now, s);
            for (InstanceIx each : s.instances) {
                Instance& i = *instances_[each];
                if (!i.up && i.slots > 0) probe(now, i, each);
                if (i.up && i.busy < i.slots && now < i.restsUntil) wakeBy(i.restsUntil);
            }
            return;
        }
        if (!s.bucket.hasToken(now, 0, chance_)) return wakeBy(s.bucket.nextTokenAt);
        if (s.bucket.limited) s.bucket.tokens -= 1;
        unqueue(r);
        send(now, r, *at);
    }
    s.wanting = false;
}

void Dispatch::probe(Instant now, Instance& i, InstanceIx ix) {
    if (i.probing) return;
    if (now < i.probeAt) return wakeBy(i.probeAt);
    i.probing = true, ++counters_.probes;
    out_.push_back(Probe{ix});
}

void Dispatch::probed(Instant now, InstanceIx ix, bool up) {
    if (ix >= instances_.size() || !instances_[ix]) return;
    Instance& i = *instances_[ix];
    i.probing = false;
    if (up && !i.up) {
        i.up = true;
        up_.push_back(i.view.id);
    }
    if (!up) {
        i.probeAt = now + kProbeEvery;
        // Long over its time and still refusing: it is not there.
        if (now > i.upAt + Span::seconds(3) && !i.deadTold) dead_.push_back(i.view.id), i.deadTold = true;
    }
    run(now, i.service);
}

void Dispatch::send(Instant now, Request& r, InstanceIx ix) {
    Service& s = services_[r.service];
    Instance& i = *instances_[ix];
    ++i.busy, ++s.busy, ++counters_.sent;
    s.peak = std::max(s.peak, s.busy + static_cast<uint32_t>(s.waiting.size()));
    if (!s.changed) s.changed = true, changed_.push_back(r.service);
    ++r.attempts;
    promise(r, false);
    if (r.attempts > 1) s.budget.further(now, options_.budgetWindow), ++counters_.again;
    r.out = true, r.at = ix, r.sentAt = now;
    // An answer may be lost and the connection stay silent. What may run again is given up once it is far
    // beyond what this kind takes, while there is time for another; else it is waited for to its deadline.
    // Harm: an endpoint that suddenly got that slow has its work thrown away once.
    Span patience;
    const auto& times = kinds_[r.kind].times;
    if (r.is.repeatable && r.attempts < r.is.maxAttempts && times.count >= 8 && r.last != Ending::silent) {
        Span cut = Span::seconds(std::max({2.5 * times.highQuantile, 1.5 * times.slowestDelivered, 0.15}));
        if (now + cut + callTime(s, r) * 2 < r.is.deadline && mayGoFurther(now, s)) patience = cut;
    }
    out_.push_back(SendTo{r.is.id, ix, patience});
}

void Dispatch::freeSlot(Instant now, Instance& i) {
    if (i.busy > 0) --i.busy;
    Service& s = services_[i.service];
    if (s.busy > 0) --s.busy;
    if (i.busy == 0) i.idleSince = now;
    if (!s.changed) s.changed = true, changed_.push_back(i.service);
    if (i.busy >= i.slots) noteHeld(i), tellNow(now);  // it was asked back and is free now
    // Its number is not answered yet. Where others wait here it is in use again at once.
    if (s.waiting.empty() && heldChanges_.count(i.view.id)) noteHeld(i), tellNow(now);
}

void Dispatch::missed(Instant now, Instance& i, InstanceIx) {
    ++i.misses;
    i.restsUntil = std::max(i.restsUntil, now + kRest * std::min(i.misses, 4));
    wakeBy(i.restsUntil);
    // Told again at each further miss: one sender's second word counts for the holder, and a word may be
    // lost.
    if (i.misses >= 2 && now - i.deadToldAt > kDeadAgain) {
        i.deadTold = true, i.deadToldAt = now;
        tellNow(now);
        dead_.push_back(i.view.id);
    }
}

void Dispatch::ended(Instant now, RequestId id, Ending how) {
    auto found = requests_.find(id);
    if (found == requests_.end() || !found->second.out) return;
    Request& r = found->second;
    r.out = false, r.last = how;
    Instance* i = instances_[r.at].get();
    Service& s = services_[r.service];
    bool answered = how == Ending::passed || how == Ending::failed;
    Span took = now - r.sentAt;
    if (answered) {
        Kind& kind = kinds_[r.kind];
        kind.times.add(took, true);
        kind.mean = kind.mean == 0 ? took.inSeconds() : 0.95 * kind.mean + 0.05 * took.inSeconds();
        s.mean = s.mean == 0 ? took.inSeconds() : 0.9 * s.mean + 0.1 * took.inSeconds();
        s.bucket.onDelivered(now, slice(s), 2 * slice(s), 1);
    }
    if (how == Ending::notRun) {
        ++counters_.full;
        s.bucket.onRejected(now, r.sentAt, slice(s), slice(s), true, chance_);
    }
    if (mayHaveRun(how)) r.mayHaveRun = true;
    InstanceIx at = r.at;
    uint32_t service = r.service;
    if (i) {
        freeSlot(now, *i);
        switch (how) {
            case Ending::passed:
            case Ending::failed:
                i->misses = 0, i->deadTold = false;
                break;
            case Ending::notRun:
                // Somebody else has its slots, or a call that we gave up still runs there.
                if (i->slots == 0) {
                    ++counters_.borrowedFull;
                    s.borrowAt = now + Span::seconds(chance_.uniform(0.1, 0.3));
                }
                i->restsUntil = std::max(i->restsUntil, now + Span::millis(40));
                wakeBy(i->restsUntil);
                break;
            case Ending::misdirected:
                ++counters_.misdirected, ++i->misses;
                missed(now, *i, at);
                break;
            case Ending::unconnected:
                ++counters_.unconnected;
                missed(now, *i, at);
                break;
            case Ending::broken:
                ++counters_.broken;
                break;
            case Ending::silent:
                ++counters_.silent;
                i->restsUntil = std::max(i->restsUntil, now + Span::millis(40));
                wakeBy(i->restsUntil);
                break;
            case Ending::unsent:
                break;
        }
        if (i->slots == 0 && i->busy == 0) dropInstance(now, at);
    }
    if (answered && (how == Ending::passed || !r.is.repeatable || r.attempts >= r.is.maxAttempts)) {
        ++counters_.passed;
        out_.push_back(PassOn{id});
        requests_.erase(found);
    } else {
        again(now, r);
    }
    run(now, service);
}

// Whether this sender may send one more request for a further time. Half of the slack is shared by the
// senders: by the most that there were within a window, as an agent that has just started knows nobody yet
// and tells of one. A sender that was started again has forgotten what it used: its part of the slack comes
// back to it over one window, so that many short lives together use no more than one long life. Harm: after
// a start the first answers that are lost are not made good here, but by their clients.
bool Dispatch::mayGoFurther(Instant now, Service& s) {
    if (now - options_.budgetWindow > fewerSince_) mostSenders_ = senders_, fewerSince_ = Instant::never();
    double part = options_.budgetSlack / mostSenders_ / 2;
    if (options_.forgot && now - bornAt_ < options_.budgetWindow)
        part *= (now - bornAt_).inSeconds() / options_.budgetWindow.inSeconds();
    // What was allowed and waits for a slot counts already: else a whole crowd that failed at once while no
    // slot was free would be allowed one by one and sent together.
    return s.budget.allows(now, options_.budgetWindow, options_.budgetRatio, part - s.promised);
}

// Many are sent while the budget has room for one further send; the others wait on. Given up all the same,
// they would end with a failure while their endpoint is at work and their client has time.
bool Dispatch::mayGiveUp(Instant now, RequestId id) {
    auto found = requests_.find(id);
    if (found == requests_.end() || !found->second.out) return true;
    Service& s = services_[found->second.service];
    return now + callTime(s, found->second) < found->second.is.deadline && mayGoFurther(now, s);
}

void Dispatch::promise(Request& r, bool is) {
    if (r.promised == is) return;
    r.promised = is;
    services_[r.service].promised += is ? 1 : -1;
}

// A request that was not answered: once more elsewhere, told that it has not run, or given up.
void Dispatch::again(Instant now, Request& r) {
    Service& s = services_[r.service];
    bool sent = r.last != Ending::unconnected && r.last != Ending::unsent;
    if (!sent) --r.attempts;  // no endpoint has seen it
    bool mayRunAgain = r.is.repeatable || !r.mayHaveRun;
    bool time = now + callTime(s, r) < r.is.deadline;
    bool paid = !sent || (r.attempts < r.is.maxAttempts && mayGoFurther(now, s));
    if (mayRunAgain && time && paid) {
        if (r.attempts > 0) promise(r, true);
        r.avoid = r.at;
        r.holdUntil = std::max(now, std::min(r.holdUntil, r.is.deadline));
        queue(r);
        Instant until = std::min(std::max(r.holdUntil, now + Span::millis(200)), r.is.deadline);
        holds_.emplace(until, r.is.id);
        wakeBy(until);
        return;
    }
    if (!r.mayHaveRun) return refuse(now, r, false);
    ++counters_.gaveUp;
    if (r.last == Ending::failed) {
        out_.push_back(PassOn{r.is.id});
    } else {
        out_.push_back(GiveUp{r.is.id, r.last == Ending::silent ? 504 : 502});
    }
    close(r);
}

void Dispatch::close(Request& r) {
    RequestId id = r.is.id;
    promise(r, false);
    requests_.erase(id);
}

void Dispatch::refuse(Instant now, Request& r, bool atOnce) {
    if (r.mayHaveRun) {  // the promise can't be given
        unqueue(r);
        ++counters_.gaveUp;
        if (r.last == Ending::failed)
            out_.push_back(PassOn{r.is.id});
        else
            out_.push_back(GiveUp{r.is.id, r.last == Ending::silent ? 504 : 502});
        return close(r);
    }
    ++(atOnce ? counters_.refusedAtOnce : counters_.refusedHeld);
    Service& s = services_[r.service];
    unqueue(r);
    Span wait = expectedWait(now, s, s.waiting.size() / 2, false);
    wait = wait + Span::seconds(chance_.uniform(0.05, 0.25));  // the design's random extra on every wait
    out_.push_back(
        Refuse{r.is.id, 503, std::min(wait, std::max((r.is.deadline - now) * 0.33, Span::millis(50)))});
    close(r);
}

void Dispatch::leaving(Instant now) {
    leaving_ = true;
    report(now, true);
}

void Dispatch::turnAway(Instant now) {
    std::vector<RequestId> all;
    for (uint32_t i : hungry_)
        for (const auto& [key, id] : services_[i].waiting) all.push_back(id);
    for (RequestId id : all) refuse(now, requests_.at(id), false);
}

void Dispatch::report(Instant now, bool whole) {
    urgent_ = false;
    if (!linked_) {  // nobody hears; what is still so is told to the next holder
        reportedAt_ = now;
        return;
    }
    scaler::Report out;
    out.term = term_, out.isFull = whole, out.isLeaving = leaving_;
    out.intervalMs = static_cast<uint32_t>((now - reportedAt_).inMicros() / 1000);
    reportedAt_ = now;
    if (whole) {
        changed_.clear();
        for (uint32_t i = 0; i < services_.size(); ++i)
            if (services_[i].changed || services_[i].busy > 0 || !services_[i].waiting.empty())
                changed_.push_back(i);
        heldChanges_.clear();
        for (auto& i : instances_)
            if (i) {
                noteHeld(*i);
                // Another holder has not heard what was told to the one before.
                if (i->deadTold && std::find(dead_.begin(), dead_.end(), i->view.id) == dead_.end())
                    dead_.push_back(i->view.id);
                if (i->up && !i->deadTold) up_.push_back(i->view.id);
            }
    }
    for (uint32_t ix : changed_) {
        Service& s = services_[ix];
        s.changed = false;
        out.demands.push_back({s.spec.name, static_cast<uint32_t>(s.waiting.size()), s.busy, s.peak,
                               s.arrived, static_cast<uint32_t>(s.mean * 1e6)});
        s.peak = s.busy + static_cast<uint32_t>(s.waiting.size()), s.arrived = 0;
        for (InstanceIx i : s.instances) {
            Instance& each = *instances_[i];
            if (heldChanges_.count(each.view.id) == 0)
                heldChanges_[each.view.id] = {each.view.id, "", "", std::max(each.slots, each.busy),
                                              each.busy};
        }
    }
    changed_.clear();
    for (auto& [id, held] : heldChanges_) {
        // The holder that has had a whole report knows them by their ids.
        if (!whole) held.service.clear(), held.address.clear();
        out.held.push_back(std::move(held));
    }
    heldChanges_.clear();
    out.unreachable.swap(dead_), out.up.swap(up_);
    ++counters_.reports;
    out_.push_back(Tell{std::move(out)});
}

void Dispatch::sweep(Instant now) {
    sweepAt_ = now + kSweep;
    while (!holds_.empty() && holds_.begin()->first <= now) {
        RequestId id = holds_.begin()->second;
        holds_.erase(holds_.begin());
        auto found = requests_.find(id);
        if (found == requests_.end() || found->second.out) continue;
        refuse(now, found->second, false);
    }
}

void Dispatch::tick(Instant now) {
    wakeAt_ = now + Span::millis(250);
    if (now >= sweepAt_) sweep(now);
    if (!holds_.empty()) wakeBy(std::max(holds_.begin()->first, sweepAt_));
    if (!hungry_.empty()) {
        std::vector<uint32_t> all(hungry_.begin(), hungry_.end());
        for (uint32_t i : all) run(now, i);
    }
    bool anything = !changed_.empty() || !heldChanges_.empty() || !dead_.empty() || !up_.empty();
    const bool urgentDue = urgent_ && now >= urgentAt(now);
    if (urgent_ && !urgentDue) wakeBy(urgentAt(now));
    if (urgentDue || (anything && now - reportedAt_ >= kReportEvery))
        report(now, false);
    else if (anything)
        wakeBy(reportedAt_ + kReportEvery);
    if (held_ > 0) wakeBy(now + kUrgentAgain);
}

std::optional<Output> Dispatch::next() {
    if (out_.empty()) return std::nullopt;
    Output first = std::move(out_.front());
    out_.pop_front();
    return first;
}

}  // namespace petrelpond::proxy
