#include "system/scaler/planner.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <tuple>
#include <unordered_map>
#include <unordered_set>

#include "system/scaler/tuning.hpp"

namespace petrelpond::scaler {
namespace {

struct Service;
struct Instance;

// In the order in which they came to be known. By address the order, and with it what is decided, would
// differ from one run of a process to the next, and no schedule that a search finds could be played again.
struct Elder {
    template <class T>
    bool operator()(const T* a, const T* b) const {
        return a->number < b->number;
    }
};

struct Sender {
    SenderId id;
    uint64_t number = 0;
    std::string zone;
    bool linked = false, synced = false, leaving = false;
    Instant freeAt = Instant::never();      // silent: when its slots go to others
    Instant unanswered = Instant::never();  // since when a word of ours has had no word of its
    bool late = false;                      // it says nothing though it was told something
    std::set<Instance*, Elder> holds;
    std::set<Service*, Elder> uses;
    std::vector<Instance*> due;  // whose number it must be told
    bool answers() const { return linked && synced && !late; }
};

// Demand of one sender for one service.
struct Use {
    Sender* who = nullptr;
    uint32_t waiting = 0, busy = 0;
    double rate = 0;  // calls a second, tau of Tuning::fastTau
    Instant rateAt;
    Instant granted = Instant::longAgo();
    uint32_t upCover = 0, bootCover = 0, told = 0;  // scratch of one pass
};

// What one sender may use of one instance. Numbers are absolute and only one direction of change is open at
// a time: a Held that equals the told number then proves that the sender has read it. Else an old Held of
// the same number (told 0, 2, 0: the first 0) would free slots that are in use.
struct Share {
    Sender* who = nullptr;
    Use* use = nullptr;
    uint32_t told = 0, held = 0, busy = 0;
    bool asked = false, rising = false, due = false;
    Instant askedAt, toldAt, idleSince;
    uint32_t reserved() const {
#ifdef CREST_TWIN_FREE_AT_TELL
        return told;  // the mistake that the tests' search must find
#else
        return std::max(told, held);
#endif
    }
    // Asked back and, as far as known, not in use.
    uint32_t lendable() const {
        uint32_t keeps = std::max(told, busy);
        return asked && !rising && held > keeps ? held - keeps : 0;
    }
    bool canRaise() const { return !asked || rising; }
    bool canLower() const { return (!asked || !rising) && who->linked && who->synced; }
};

struct Ghost {
    uint32_t slots;
    Instant until;
};

enum class Phase { booting, up, retiring, stopping, draining, gone };

struct Instance {
    std::string id, address, zone, worker;
    uint64_t number = 0;
    Service* service = nullptr;
    Phase phase = Phase::booting;
    uint32_t slots = 1;
    Instant startedAt, goneAt, stopAt;
    Instant upAt;  // since when it is known to be up; its own id is on the list soon after
    bool listedOnce = false, stopSent = false;
    int missed = 0;
    std::vector<Share> shares;
    std::vector<Ghost> ghosts;  // of ended senders
    Sender* voter = nullptr;
    Instant votedAt = Instant::longAgo();

    bool usable() const { return phase == Phase::booting || phase == Phase::up; }
    uint32_t used() const {
        uint32_t n = 0;
        for (const auto& s : shares) n += s.reserved();
        for (const auto& g : ghosts) n += g.slots;
        return n;
    }
    uint32_t busy() const {
        uint32_t n = 0;
        for (const auto& s : shares) n += s.busy;
        return n;
    }
    uint32_t spare() const {
        uint32_t n = used();
        return usable() && n < slots ? slots - n : 0;
    }
    Share* share(const Sender* who) {
        for (auto& s : shares)
            if (s.who == who) return &s;
        return nullptr;
    }
};

// Services that are configured alike, as far as known how long their calls take.
struct Group {
    double calls = 0, workS = 0;
};

struct Service {
    FunctionSpec spec;
    uint64_t number = 0;
    Group* group = nullptr;  // set by its first call
    double calls = 0;        // that workS rests on
    bool known = false;      // a configuration in force names it
    std::vector<Instance*> instances;
    std::map<Sender*, Use, Elder> uses;
    uint32_t pending = 0;  // starts without an answer
    uint32_t waiting = 0, busy = 0;
    double shortRate = 0, fast = 0, slow = 0, longRate = 0, workS = 0, peakBusy = 0;
    Instant rateAt, peakAt;
    Instant lastCall = Instant::longAgo(), blockedUntil = Instant::longAgo();
    Instant surplusSince = Instant::never();
    Instant warmUntil = Instant::longAgo();  // one is kept till then though nobody has called yet
    bool dirty = false, refill = false;      // refill: it lost instances, the wanted number is due at once
};

struct Start {
    Service* service = nullptr;
    std::string worker;
    Instant at, retryAt = Instant::never();
    int tries = 0;
    bool counted = true;  // among the service's pending
};

struct Node {
    Worker seen;
    Instant fullUntil = Instant::longAgo();
    std::vector<std::pair<Instant, int>> taken;  // MB of starts that the list does not show yet
    int missed = 0;
    int free() const {
        int mb = seen.freeMb;
        for (const auto& t : taken) mb -= t.second;
        return mb;
    }
};

double decay(Instant from, Instant to, double tau) {
    double dt = (to - from).inSeconds();
    return dt <= 0 ? 1 : std::exp(-dt / tau);
}

// What n calls spread over the last span add to a rate that forgets with tau.
double gain(double n, double span, double tau) {
    return span < 0.05 * tau ? n / tau : n * (1 - std::exp(-span / tau)) / span;
}

}  // namespace

struct Planner::State {
    State(Instant now, uint64_t t, uint32_t chance, double duty, Span lag)
        : born(now), term(t), random(chance), listLag(lag), dutyPerS(std::max(duty, 0.1)), lastTick(now) {
        tokens = depth();
        tokensAt = now;
        prefix = std::to_string(term) + "-" + std::to_string(random()) + "-";
    }

    Tuning tuning;
    Instant born;
    uint64_t term;
    std::mt19937 random;
    Span listLag;
    double dutyPerS;
    Instant lastTick, tokensAt;
    double tokens = 0;
    std::string prefix;
    uint64_t nonces = 0, numbers = 0;
    Instant ghostAt = Instant::never();  // when the first slots of ended senders come free
    Instant passAt;                      // of the newest event
    Instant behindAt = Instant::longAgo();
    bool passDue = false;
    bool ready = false, starved = false, configuredOnce = false, listedYet = false;
    std::unordered_map<std::string, std::unique_ptr<Service>> services;
    std::unordered_map<std::string, std::unique_ptr<Instance>> instances;
    std::unordered_map<SenderId, std::unique_ptr<Sender>> senders;
    std::unordered_map<std::string, Node> nodes;
    std::unordered_map<std::string, Start> starts;  // by nonce
    std::map<std::tuple<int, int64_t, int, int64_t>, Group> groups;
    std::vector<Service*> dirty;
    std::vector<Sender*> tellDue;
    std::set<Instance*, Elder> closing;  // retiring, or stopping without an answer, or dropped and listed
    std::deque<Output> out;
    Counts counts;

    // --- the platform's rate -------------------------------------------------------------------------------

    double depth() const { return std::max(1.0, tuning.dutyDepth * dutyPerS); }
    // Takes one start or stop. What is not urgent leaves a part for requests that wait.
    bool takeToken(Instant now, bool urgent) {
        double dt = std::max(0.0, (now - tokensAt).inSeconds());
        tokens = std::min(depth(), tokens + dt * tuning.dutyRate * dutyPerS);
        tokensAt = std::max(tokensAt, now);
        double least = urgent || depth() < 4 ? 0 : tuning.urgentPart * depth();
        if (tokens - 1 < least) {
            starved = true;
            return false;
        }
        tokens -= 1;
        return true;
    }

    // --- tables --------------------------------------------------------------------------------------------

    void mark(Service* s) {
        if (s->dirty) return;
        s->dirty = true;
        dirty.push_back(s);
    }
    Service* serviceOf(Instant now, const std::string& name) {
        auto& p = services[name];
        if (!p) {
            p = std::make_unique<Service>();
            p->number = ++numbers;
            p->spec.name = name;
            p->spec.boot = Span::seconds(1);
            p->spec.target = Span::seconds(1);
            p->rateAt = p->peakAt = now;
        }
        return p.get();
    }
    Use* useOf(Instant now, Service* s, Sender* who) {
        auto [it, fresh] = s->uses.try_emplace(who);
        if (fresh) {
            it->second.who = who;
            it->second.rateAt = now;
            who->uses.insert(s);
        }
        return &it->second;
    }
    Share* shareOf(Instant now, Instance* i, Sender* who) {
        if (Share* s = i->share(who)) return s;
        Share s;
        s.who = who;
        s.use = useOf(now, i->service, who);
        s.idleSince = now;
        i->shares.push_back(s);
        who->holds.insert(i);
        return &i->shares.back();
    }
    Instance* adopt(Instant now, const std::string& id, const std::string& service,
                    const std::string& address) {
        auto& p = instances[id];
        p = std::make_unique<Instance>();
        p->number = ++numbers;
        p->id = id;
        p->address = address;
        p->service = serviceOf(now, service);
        p->slots = static_cast<uint32_t>(std::max(1, p->service->spec.maxConcurrency));
        p->startedAt = now;
        p->service->instances.push_back(p.get());
        p->service->lastCall = std::max(p->service->lastCall, now);  // idle from now, never stopped at once
        return p.get();
    }
    void forget(Instance* i) {
        for (auto& s : i->shares) {
            s.who->holds.erase(i);
            std::erase(s.who->due, i);
        }
        std::erase(i->service->instances, i);
        closing.erase(i);
        instances.erase(i->id);
    }
    void setUses(Use& u, Service* s, uint32_t waiting, uint32_t busy) {
        s->waiting = s->waiting - u.waiting + waiting;
        s->busy = s->busy - u.busy + busy;
        u.waiting = waiting;
        u.busy = busy;
    }

    // --- telling -------------------------------------------------------------------------------------------

    void due(Instance* i, Share& s) {
        if (s.due || !s.who->linked || !s.who->synced) return;
        s.due = true;
        if (s.who->due.empty()) tellDue.push_back(s.who);
        s.who->due.push_back(i);
    }
    void setTold(Instant now, Instance* i, Share& s, uint32_t n) {
        if (n == s.told && !(n < s.held && !s.asked)) return;
        s.rising = n > s.told;
        s.told = n;
        s.asked = true;
        s.askedAt = s.toldAt = now;
        due(i, s);
    }
    // Ending instances: told at once whatever is still open, since nothing of it is granted again.
    void takeAll(Instant now, Instance* i, bool evenOpen) {
        for (auto& s : i->shares)
            if (s.reserved() > 0 && s.told > 0 && (evenOpen || s.canLower())) setTold(now, i, s, 0);
    }
    void flush(Instant now) {
        for (Sender* who : tellDue) {
            if (who->due.empty()) continue;
            Tell tell;
            tell.to = who->id;
            tell.grants.term = term;
            for (Instance* i : who->due) {
                Share* s = i->share(who);
                if (!s) continue;
                s->due = false;
                Grant g;
                g.instance = i->id;
                g.slots = s->told;
                g.fleetSlots = have(i->service).slots;
                g.ends = !i->usable();
                // What is taken back its sender knows by the id.
                if (s->told > 0) g.service = i->service->spec.name, g.address = i->address, g.zone = i->zone;
                if (i->phase == Phase::booting) {
                    int64_t us = (i->startedAt + i->service->spec.boot - now).inMicros();
                    g.upInMs = static_cast<uint32_t>(std::max<int64_t>(1, us / 1000));
                }
                tell.grants.grants.push_back(std::move(g));
            }
            who->due.clear();
            who->unanswered = std::min(who->unanswered, now);
            ++counts.tells;
            out.emplace_back(std::move(tell));
        }
        tellDue.clear();
    }
    // What was to go over a link that is no more must not go over the next one: its numbers are old.
    void purge(Sender* who) {
        std::erase_if(out, [&](const Output& o) {
            const auto* t = std::get_if<Tell>(&o);
            return t && t->to == who->id;
        });
        for (Instance* i : who->due)
            if (Share* s = i->share(who)) s->due = false;
        who->due.clear();
        std::erase(tellDue, who);
    }

    // --- life of instances ---------------------------------------------------------------------------------

    void cameUp(Instant now, Instance* i) {
        if (i->phase != Phase::booting) return;
        i->phase = Phase::up;
        i->upAt = now;
        mark(i->service);
    }
    void drain(Instant now, Instance* i) {
        if (i->phase == Phase::draining || i->phase == Phase::gone) return;
        i->phase = Phase::draining;
        closing.erase(i);
        takeAll(now, i, true);
        i->service->refill = true;
        ++counts.drained;
        mark(i->service);
    }
    void drop(Instant now, Instance* i, bool lost) {
        if (i->phase == Phase::gone) return;
        i->phase = Phase::gone;
        i->goneAt = now;
        closing.erase(i);
        takeAll(now, i, true);
        if (lost) {
            ++counts.lost;
            i->service->refill = true;
        }
        mark(i->service);
    }
    void askStop(Instant now, Instance* i) {
        if (now < i->stopAt) return;
        if (!takeToken(now, false)) return;
        i->stopSent = true;
        i->stopAt = now + Span::seconds(5);  // no word of stopped(): again
        ++counts.stops;
        out.emplace_back(StopCall{i->id});
    }
    // A slot is in use as long as its sender has not said otherwise: only then the stop.
    void finishClosing(Instant now) {
        for (auto it = closing.begin(); it != closing.end();) {
            Instance* i = *it++;
            if (i->phase == Phase::retiring) {
                takeAll(now, i, false);
                // Not where a slot is only lent: its sender may be cut off from us alone and at work there.
                auto open = [](const Share& s) { return s.asked && !s.rising; };
                if (i->used() > 0 || std::any_of(i->shares.begin(), i->shares.end(), open)) continue;
                i->phase = Phase::stopping;
                i->stopAt = now;
            }
            if (i->phase == Phase::stopping || i->phase == Phase::gone) askStop(now, i);
        }
    }
    void retire(Instant now, Instance* i) {
        i->phase = Phase::retiring;
        closing.insert(i);
        takeAll(now, i, false);
    }

    // --- senders -------------------------------------------------------------------------------------------

    void endSender(Instant now, Sender* who, Span ghostFor) {
        purge(who);
        for (Instance* i : who->holds) {
            Share* s = i->share(who);
            if (s && s->reserved() > 0 && ghostFor > Span()) {
                i->ghosts.push_back({s->reserved(), now + ghostFor});
                ghostAt = std::min(ghostAt, now + ghostFor);
            }
            if (i->voter == who) i->voter = nullptr;
            std::erase_if(i->shares, [&](const Share& x) { return x.who == who; });
            mark(i->service);
        }
        for (Service* s : who->uses) {
            setUses(s->uses[who], s, 0, 0);
            s->uses.erase(who);
            mark(s);
        }
        for (auto& [id, i] : instances)
            if (i->voter == who) i->voter = nullptr;
        senders.erase(SenderId(who->id));
    }

    void heldNow(Instant now, Instance* i, Share& s, uint32_t slots, uint32_t busy, bool sync) {
        if (busy > 0 && i->phase == Phase::booting) cameUp(now, i);
        uint32_t idle = slots > busy ? slots - busy : 0, idleWas = s.held > s.busy ? s.held - s.busy : 0;
        if (idle > 0 && (idleWas == 0 || busy != s.busy)) s.idleSince = now;
        bool fewer = slots < s.reserved();
        s.held = slots;
        s.busy = busy;
        if (sync) {
            s.told = slots;  // nothing that we said before is on its way any more
            s.asked = false;
        } else if (s.asked) {
            if (s.held == s.told && !s.due)
                s.asked = false;  // due: it has not been told yet, so proves nothing
        } else if (s.held < s.told) {
            s.told = s.held;  // given back unasked
        }
        if (s.held > s.told && !s.asked) setTold(now, i, s, s.told);
        if (!i->usable() && i->phase != Phase::retiring && s.told > 0) setTold(now, i, s, 0);
        if (fewer || slots > 0) mark(i->service);
    }

    // More is in use than there is: a holder before us, or we after 5 s of silence, gave it twice.
    void askSurplus(Instant now, Instance* i) {
        uint32_t used = i->used();
        if (used <= i->slots || !i->usable() || !(i->listedOnce || i->service->known)) return;
        uint32_t promised = 0;
        for (const auto& s : i->shares) promised += s.told;
        if (promised <= i->slots) return;  // asked already
        uint32_t over = promised - i->slots;
        ++counts.overheld;
        std::vector<Share*> by;
        for (auto& s : i->shares)
            if (s.told > 0 && s.canLower()) by.push_back(&s);
        std::sort(by.begin(), by.end(),
                  [](Share* a, Share* b) { return int64_t(a->told) - a->busy > int64_t(b->told) - b->busy; });
        for (Share* s : by) {
            uint32_t n = std::min(over, s->told);
            if (n > 0) setTold(now, i, *s, s->told - n);
            over -= n;
        }
    }

    // Against a sender that stands still or has lost power: nothing tells that its link is dead for seconds,
    // and the others waited for slots that lay idle there, and for those that it was asked to give back. What
    // it was asked for and not seen to use is taken as given back: the word waits in its socket, so it reads
    // that first when it wakes. Also catches one that is cut off from us alone: both may then use such a
    // slot, and the instance turns one of two calls away as not run. Harm: that call's further try.
    void findLate(Instant now) {
        // If it was we who slept or are behind, the answers lie in our sockets or our queue, unread.
        bool slept = now - lastTick > tuning.tick * 3.0 || now < behindAt + tuning.lateAfter;
        for (auto& [id, who] : senders) {
            if (slept && who->unanswered != Instant::never()) who->unanswered = now;
            if (!who->linked || !who->synced || now < who->unanswered + tuning.lateAfter) continue;
            if (!who->late)
                for (Service* s : who->uses) mark(s);
            who->late = true;
            for (Instance* i : who->holds) {
                Share& s = *i->share(who.get());
                if (!i->usable() || !s.lendable() || now < s.askedAt + tuning.lateAfter * 0.5) continue;
                counts.lent += s.lendable();
                s.held -= s.lendable();
                mark(i->service);
            }
        }
    }
    // Slots that nobody can have now: of a silent sender all that are not lent.
    uint32_t locked(const Service* s) const {
        uint32_t n = 0;
        for (const Instance* i : s->instances) {
            if (!i->usable()) continue;
            for (const auto& sh : i->shares)
                if (!sh.who->answers()) n += sh.who->late ? std::min(sh.busy, sh.reserved()) : sh.reserved();
        }
        return n;
    }

    void arrived(Instant now, Service* s, Use& u, const Demand& d, double span) {
        if (d.workUs > 0 && d.arrived > 0) {
            double w = d.workUs / 1e6, n = std::min(d.arrived, 16u);
            s->calls = std::min(s->calls + n, tuning.callsKept);
            s->workS += std::min(1.0, n / s->calls) * (w - s->workS);
            if (!s->group) s->group = &groups[groupKey(s->spec)];
            s->group->calls = std::min(s->group->calls + n, tuning.groupCalls);
            s->group->workS += std::min(1.0, n / s->group->calls) * (w - s->group->workS);
        }
        if (d.arrived == 0) return;
        settle(now, s);
        s->shortRate += gain(d.arrived, span, shortTau(s));
        s->fast += gain(d.arrived, span, tuning.fastTau);
        s->slow += gain(d.arrived, span, tuning.slowTau);
        s->longRate += gain(d.arrived, span, tuning.longTau);
        u.rate = u.rate * decay(u.rateAt, now, tuning.fastTau) + gain(d.arrived, span, tuning.fastTau);
        u.rateAt = now;
        s->lastCall = now;
    }
    // A window shorter than the work would take one long call for many.
    double shortTau(const Service* s) const { return std::max(tuning.shortTau, workOf(s)); }
    // Of a service that was called a few times its fellows say more than it does: one long call in three made
    // a rare function look busy, and twice the instances were kept for it.
    double workOf(const Service* s) const {
        const Group* g = groupOf(s);
        double like = g && g->calls >= 1 ? g->workS : tuning.workPrior * s->spec.target.inSeconds();
        return (tuning.callsPrior * like + s->calls * s->workS) / (tuning.callsPrior + s->calls);
    }
    using GroupKey = std::tuple<int, int64_t, int, int64_t>;
    static GroupKey groupKey(const FunctionSpec& f) {
        return {f.memoryMb, f.boot.inMicros(), f.maxConcurrency, f.target.inMicros()};
    }
    const Group* groupOf(const Service* s) const {
        if (s->group) return s->group;
        auto found = groups.find(groupKey(s->spec));
        return found != groups.end() ? &found->second : nullptr;
    }
    void settle(Instant now, Service* s) {
        if (now <= s->rateAt) return;
        s->shortRate *= decay(s->rateAt, now, shortTau(s));
        s->fast *= decay(s->rateAt, now, tuning.fastTau);
        s->slow *= decay(s->rateAt, now, tuning.slowTau);
        s->longRate *= decay(s->rateAt, now, tuning.longTau);
        s->rateAt = now;
    }

    // --- slots to those who wait ---------------------------------------------------------------------------

    // Up before own zone: a boot costs a second, another zone a millisecond or twenty. Then where few hold,
    // so an instance need not be asked back from many.
    Instance* bestFree(Service* s, Sender* who, Phase phase) {
        ++counts.searches;
        Instance* best = nullptr;
        int bestScore = 0;
        for (Instance* i : s->instances) {
            if (i->phase != phase || i->spare() == 0 || i->voter) continue;
            Share* own = i->share(who);
            if (own && !own->canRaise()) continue;
            int score = 1000 + (i->zone == who->zone ? 500 : 0) + (own ? 50 : 0);
            score -= 10 * int(i->shares.size());
            if (phase == Phase::up) score += int(std::min(i->spare(), 9u));
            if (score > bestScore) best = i, bestScore = score;
        }
        return best;
    }
    bool give(Instant now, Service* s, Use& u, Phase phase) {
        Instance* i = bestFree(s, u.who, phase);
        if (!i) return false;
        Share* share = shareOf(now, i, u.who);
        setTold(now, i, *share, share->told + 1);
        u.granted = now;
        ++u.told;
        return true;
    }

    void serve(Instant now, Service* s) {
        for (Instance* i : s->instances) askSurplus(now, i);
        if (s->waiting == 0) return;
        std::vector<Use*> want;
        uint32_t demand = 0, slots = 0, coming = 0;
        for (auto& [who, u] : s->uses) {
            u.upCover = u.bootCover = u.told = 0;
            demand += u.waiting + u.busy;
            if (u.waiting > 0 && who->answers()) want.push_back(&u);
        }
        for (Instance* i : s->instances) {
            if (!i->usable()) continue;
            if (i->phase == Phase::up) slots += i->slots;
            for (auto& sh : i->shares) {
                sh.use->told += sh.told;
                if (i->phase == Phase::booting) {
                    sh.use->bootCover += sh.told;
                } else {
                    sh.use->upCover += sh.told > sh.busy ? sh.told - sh.busy : 0;
                    coming += sh.who->answers() ? sh.reserved() - sh.told : sh.lendable();
                }
            }
            if (i->phase == Phase::up)
                for (auto& g : i->ghosts) coming += g.slots;
        }
        // Whoever was given something longest ago goes first, one slot at a time.
        std::sort(want.begin(), want.end(), [](Use* a, Use* b) {
            return a->granted != b->granted ? a->granted < b->granted : a->who->id < b->who->id;
        });
        auto round = [&](auto shortOf, Phase phase) {
            uint32_t unmet = 0, spare = 0;
            std::vector<Use*> open = want;
            // Counted once: where nothing is free each of many wants went through all shares of all
            // instances, and the holder got slower by what waited: after a loss of all cores it never caught
            // up again.
            for (const Instance* i : s->instances)
                if (i->phase == phase && !i->voter) spare += i->spare();
            while (!open.empty()) {
                std::vector<Use*> still;
                for (Use* u : open) {
                    if (shortOf(*u) == 0) continue;
                    if (spare == 0 || !give(now, s, *u, phase)) {
                        unmet += shortOf(*u);
                        continue;
                    }
                    --spare;
                    (phase == Phase::up ? u->upCover : u->bootCover) += 1;
                    still.push_back(u);
                }
                open.swap(still);
            }
            return unmet;
        };
        auto shortOfUp = [](const Use& u) { return u.waiting > u.upCover ? u.waiting - u.upCover : 0; };
        auto shortOfAny = [](const Use& u) {
            uint32_t c = u.upCover + u.bootCover;
            return u.waiting > c ? u.waiting - c : 0;
        };
        uint32_t unmet = round(shortOfUp, Phase::up);
        if (unmet > coming) recall(now, s, want, unmet - coming, slots, demand);
        round(shortOfAny, Phase::booting);
    }

    void recall(Instant now, Service* s, const std::vector<Use*>& want, uint32_t need, uint32_t slots,
                uint32_t demand) {
        struct Idle {
            Instance* i;
            Share* s;
            uint32_t n;
        };
        std::vector<Idle> idle;
        for (Instance* i : s->instances) {
            if (i->phase != Phase::up) continue;
            for (auto& sh : i->shares)
                if (sh.canLower() && sh.told > sh.busy && sh.use->waiting == 0)
                    idle.push_back({i, &sh, sh.told - sh.busy});
        }
        std::sort(idle.begin(), idle.end(), [](const Idle& a, const Idle& b) {
            if (a.s->who->late != b.s->who->late) return b.s->who->late;
            return a.s->idleSince != b.s->idleSince ? a.s->idleSince < b.s->idleSince : a.i->id < b.i->id;
        });
        for (auto& d : idle) {
            if (need == 0) return;
            uint32_t n = std::min(need, d.n);
            setTold(now, d.i, *d.s, d.s->told - n);
            d.s->use->told -= std::min(n, d.s->use->told);
            counts.recalls += n;
            need -= n;
        }
        // All are at work: a sender with little or nothing gets its part as calls end. Against a sender
        // that keeps all slots busy while another starves; harms by a round trip per slot, so damped.
        if (demand == 0 || slots == 0) return;
        auto fair = [&](const Use& u) { return double(slots) * (u.waiting + u.busy) / demand; };
        uint32_t moves = std::min(need, slots / 4 + 1);
        for (Use* u : want) {
            while (moves > 0 && u->waiting > u->upCover && u->told < u->waiting + u->busy &&
                   (u->told == 0 || u->told + 0.5 <= fair(*u))) {
                Instance* from = nullptr;
                Share* best = nullptr;
                double most = u->told == 0 ? 0.3 : 0.5;
                for (Instance* i : s->instances) {
                    if (i->phase != Phase::up) continue;
                    for (auto& sh : i->shares) {
                        if (sh.use == u || sh.told == 0 || !sh.canLower() || sh.who->late) continue;
                        double over = sh.use->told - fair(*sh.use);
                        if (over > most) most = over, best = &sh, from = i;
                    }
                }
                if (!best) break;
                setTold(now, from, *best, best->told - 1);
                --best->use->told;
                ++u->upCover;  // on its way, for this pass
                ++u->told;
                ++counts.recalls;
                --moves;
            }
        }
    }

    // --- how many instances --------------------------------------------------------------------------------

    bool late(const Service* s) const { return s->spec.target < s->spec.boot + Span::seconds(workOf(s)); }

    // Slots that requests which wait now call for. A request that gets its turn before a boot is over is not
    // helped by a start, so it is the queue that cannot drain that counts, not each request.
    double needNow(const Service* s, uint32_t upSlots) const {
        double work = workOf(s), drain;
        if (late(s)) {
            drain = tuning.drainHot.inSeconds();
        } else {
            double spare = 0.5 * (s->spec.target.inSeconds() - s->spec.boot.inSeconds() - work);
            drain = std::clamp(spare, tuning.drainLeast.inSeconds(), tuning.drainMost.inSeconds());
            if (upSlots > 0) drain += s->spec.boot.inSeconds();
        }
        double byRate = tuning.shortOver * s->shortRate * work + s->waiting * work / drain;
        return std::clamp(byRate, 1.0, std::max(1.0, double(s->waiting) + s->busy));
    }

    double coldCost(const Service* s) const {
        double gb = s->spec.memoryMb / 1024.0;
        return tuning.startGbS + gb * s->spec.boot.inSeconds() +
               (s->spec.target < s->spec.boot ? tuning.coldGbS : 0);
    }
    // One beyond those wanted: as long as its memory costs less than its next start would.
    Span keepExtra(const Service* s) const {
        double perS = std::max(0.01, s->spec.memoryMb / 1024.0);
        return std::min(Span::seconds(coldCost(s) / perS), tuning.keepMost);
    }
    // Idle time after which an instance has cost what its loss would; longer where calls are so steady that
    // the next one is worth the wait.
    Span keep(const Service* s) const {
        if (!s->known) return tuning.keepUnknown;
        double perS = std::max(0.01, s->spec.memoryMb / 1024.0), cold = coldCost(s);
        if (s->spec.target < s->spec.boot) cold += tuning.coldGbS * s->longRate * s->spec.boot.inSeconds();
        double span = cold / perS;
        if (s->longRate * cold > perS) span = std::max(span, tuning.keepGaps / s->longRate);
        return std::min(Span::seconds(span), tuning.keepMost);
    }
    double wanted(Instant now, const Service* s) const {
        if (!s->known) return 0;
        if (s->waiting + s->busy == 0 && now > s->lastCall + keep(s)) return now < s->warmUntil ? 1 : 0;
        double rate = std::max(s->fast, s->slow), want;
        if (late(s)) {
            double m = rate * workOf(s);
            double users = double(s->uses.size());
            want = m + tuning.sigmas * std::sqrt(m) + tuning.pieces * std::min(users, m);
            if (rate > tuning.hotRate && s->spec.target < s->spec.boot)
                want = std::max(want, tuning.burst * m + tuning.burstSigmas * std::sqrt(m));
        } else {
            // There is time for a turn in the queue, and what waits too long starts more by itself.
            double m = std::min(rate, s->slow) *
                       (workOf(s) + (s->uses.size() > 1 ? tuning.handOver.inSeconds() : 0));
            want = m + tuning.sigmasSlack * std::sqrt(m);
        }
        return std::max(want, 1.0);
    }

    struct Have {
        uint32_t slots = 0, up = 0, count = 0;
    };
    Have have(const Service* s) const {
        Have h;
        for (Instance* i : s->instances) {
            if (!i->usable()) continue;
            ++h.count;
            h.slots += i->slots;
            if (i->phase == Phase::up) h.up += i->slots;
        }
        h.count += s->pending;
        h.slots += s->pending * uint32_t(std::max(1, s->spec.maxConcurrency));
        return h;
    }

    void grow(Instant now, Service* s, double slots, bool urgent) {
        Have h = have(s);
        // Those that are being asked back come first: they are up.
        for (Instance* i : s->instances) {
            if (h.slots >= slots) return;
            if (i->phase != Phase::retiring) continue;
            i->phase = Phase::up;
            closing.erase(i);
            h.slots += i->slots;
        }
        if (!s->known || now < s->blockedUntil) return;
        uint32_t each = uint32_t(std::max(1, s->spec.maxConcurrency));
        while (h.slots < slots) {
            Node* node = place(now, s);
            if (!node) {
                s->blockedUntil = now + tuning.blocked;
                return;
            }
            if (!takeToken(now, urgent)) return;
            Start start;
            start.service = s;
            start.worker = node->seen.name;
            start.at = now;
            node->taken.emplace_back(now, s->spec.memoryMb);
            std::string nonce = prefix + std::to_string(++nonces);
            out.emplace_back(StartCall{s->spec.name, start.worker, nonce});
            starts.emplace(nonce, std::move(start));
            ++s->pending;
            ++counts.starts;
            h.slots += each;
        }
    }

    // Few of the same service on one worker and in one zone (a crash takes a worker), the zone of the
    // demand, then room.
    Node* place(Instant now, Service* s) {
        std::unordered_map<std::string, double> onWorker, inZone, asked;
        double total = 0, count = 0;
        auto add = [&](const std::string& worker, const std::string& zone) {
            onWorker[worker] += 1;
            inZone[zone] += 1;
            count += 1;
        };
        for (Instance* i : s->instances)
            if (i->usable()) add(i->worker, i->zone);
        if (s->pending > 0)
            for (auto& [nonce, st] : starts)
                if (st.service == s && st.counted) {
                    auto n = nodes.find(st.worker);
                    add(st.worker, n == nodes.end() ? "" : n->second.seen.zone);
                }
        for (auto& [who, u] : s->uses) {
            double d = u.rate * decay(u.rateAt, now, tuning.fastTau) + u.waiting;
            asked[who->zone] += d;
            total += d;
        }
        Node* best = nullptr;
        double bestScore = 0;
        for (auto& [name, n] : nodes) {
            if (n.seen.draining || n.missed > 0 || n.fullUntil > now || n.free() < s->spec.memoryMb) continue;
            double share = total > 0 ? asked[n.seen.zone] / total : 0;
            double score = 2 * (share * (count + 1) - inZone[n.seen.zone]) - 1.5 * onWorker[name] +
                           double(n.free()) / std::max(1, n.seen.memoryMb);
            if (!best || score > bestScore || (score == bestScore && name < best->seen.name))
                best = &n, bestScore = score;
        }
        return best;
    }

    void shrink(Instant now, Service* s) {
        Have h = have(s);
        double want = wanted(now, s);
        uint32_t each = uint32_t(std::max(1, s->spec.maxConcurrency));
        double hold = want > 0 ? std::max(want * tuning.keepOver, s->peakBusy) : 0;
        auto least = uint32_t(std::ceil(hold / each));
        // At exactly the edge no 15% more: one instance where one is wanted.
        if (want > 0 && want <= each && s->peakBusy <= each) least = 1;
        if (h.count <= least) {
            s->surplusSince = Instant::never();
            return;
        }
        if (s->surplusSince == Instant::never()) s->surplusSince = now;
        if (want > 0 && now - s->surplusSince < keepExtra(s)) return;
        std::vector<std::pair<uint32_t, Instance*>> by;
        for (Instance* i : s->instances)
            if (i->phase == Phase::up) by.emplace_back(i->busy(), i);
        std::sort(by.begin(), by.end(), [](const auto& a, const auto& b) {
            return a.first != b.first ? a.first < b.first : a.second->id < b.second->id;
        });
        uint32_t over = h.count - least;
        for (auto& [busy, i] : by) {
            if (over == 0) break;
            retire(now, i);
            --over;
        }
    }

    // Free slots lie better where calls come than with us: a burst then needs no word with the holder.
    void spread(Instant now, Service* s) {
        if (s->uses.empty() || s->instances.empty()) return;
        double total = 0;
        uint32_t slots = 0, spare = 0;
        for (auto& [who, u] : s->uses) {
            u.told = 0;
            if (!who->answers() || who->leaving) continue;
            total += u.rate * decay(u.rateAt, now, tuning.fastTau);
        }
        for (Instance* i : s->instances) {
            if (i->phase != Phase::up) continue;
            slots += i->slots;
            spare += i->spare();
            for (auto& sh : i->shares) sh.use->told += sh.told;
        }
        if (total < 0.2 || slots == 0) return;
        auto fair = [&](const Use& u) {
            if (!u.who->answers() || u.who->leaving) return 0.0;
            return slots * u.rate * decay(u.rateAt, now, tuning.fastTau) / total;
        };
        while (spare > 0) {
            Use* neediest = nullptr;
            double most = 0.5;
            for (auto& [who, u] : s->uses) {
                double lack = fair(u) - u.told;
                if (lack > most) most = lack, neediest = &u;
            }
            if (!neediest || !give(now, s, *neediest, Phase::up)) break;
            --spare;
        }
        if (spare > 0 || s->uses.size() < 2) return;
        // One idle slot a tick from who has too many to who has too few; no more, so shares do not swing.
        double lack = 1;
        bool needed = false;
        for (auto& [who, u] : s->uses)
            if (fair(u) - u.told >= lack) needed = true;
        if (!needed) return;
        Share* best = nullptr;
        Instance* from = nullptr;
        double most = 1;
        for (Instance* i : s->instances) {
            if (i->phase != Phase::up) continue;
            for (auto& sh : i->shares) {
                if (!sh.canLower() || sh.told <= sh.busy || sh.who->late) continue;
                double over = sh.use->told - fair(*sh.use);
                if (over >= most) most = over, best = &sh, from = i;
            }
        }
        if (best) {
            setTold(now, from, *best, best->told - 1);
            ++counts.recalls;
        }
    }

    // --- the pass after every event ------------------------------------------------------------------------

    void learn(Instant now) {
        if (ready || now < born + tuning.learn || (!listedYet && now < born + tuning.learnMost)) return;
        if (now < born + tuning.learnMost)
            for (auto& [id, s] : senders)
                if (s->linked && !s->synced) return;
        ready = true;
        for (auto& [name, s] : services) mark(s.get());
    }

    // Events of one round are weighed together when the outputs are pulled: one pass, and one word to a
    // sender. Against a small machine that hears thousands of reports a second, where a pass for each left no
    // time for the duty's own beats. Harm: an event waits for the others of its round.
    void passSoon(Instant now) {
        passDue = true;
        passAt = now;
    }
    void pass(Instant now) {
        passDue = false;
        learn(now);
        if (ready) {
            std::vector<Service*> work;
            work.swap(dirty);
            for (Service* s : work) {
                s->dirty = false;
                settle(now, s);
                if (s->waiting > 0) {
                    Have h = have(s);
                    double need = needNow(s, h.up) + locked(s);
                    if (need > h.slots) grow(now, s, need, true);
                }
                if (s->refill) {
                    s->refill = false;
                    double want = wanted(now, s);
                    if (want > have(s).slots) grow(now, s, want, true);
                }
                serve(now, s);
            }
            finishClosing(now);
        }
        flush(now);
    }

    void tick(Instant now) {
        findLate(now);
        lastTick = now;
        starved = false;
        if (now >= ghostAt) ghostAt = Instant::never();
        expire(now);
        learn(now);
        if (ready) {
            for (auto& [name, p] : services) {
                Service* s = p.get();
                if (s->waiting > 0) mark(s);  // starts for waiting go first: pass() before the rest
            }
            pass(now);
            for (auto& [name, p] : services) {
                Service* s = p.get();
                if (s->instances.empty() && s->pending == 0 && s->waiting == 0 &&
                    now > s->lastCall + tuning.keepMost && now >= s->warmUntil)
                    continue;
                settle(now, s);
                double peak = s->peakBusy * decay(s->peakAt, now, tuning.peakTau);
                s->peakBusy = std::max(double(s->busy), peak);
                s->peakAt = now;
                double want = wanted(now, s);
                if (want > have(s).slots) grow(now, s, want, false);
                spread(now, s);
                shrink(now, s);
            }
        }
        pass(now);
        count();
    }

    // When a start that no list shows and nobody has called up will not come any more.
    Instant bootOver(const Instance* i) const {
        return i->startedAt + i->service->spec.boot * tuning.bootsToDead + listLag;
    }
    void expire(Instant now) {
        std::vector<Sender*> ended;
        for (auto& [id, s] : senders)
            if (!s->linked && now >= s->freeAt) ended.push_back(s.get());
        for (Sender* s : ended) endSender(now, s, Span());
        std::vector<Instance*> old;
        for (auto& [id, p] : instances) {
            Instance* i = p.get();
            auto over = [&](const Ghost& g) { return now >= g.until; };
            if (std::erase_if(i->ghosts, over) > 0) mark(i->service);
            for (const auto& g : i->ghosts) ghostAt = std::min(ghostAt, g.until);
            if (i->phase == Phase::gone) {
                if (now >= i->goneAt + tuning.tombstone) old.push_back(i);
                continue;
            }
            for (auto& s : i->shares) {
                if (!s.asked || !s.who->linked || !s.who->synced) continue;
                if (now >= s.askedAt + tuning.trustHeldAfter && s.held != s.told) {
                    // Upwards it may well use them: they count as taken. Downwards below what was asked:
                    // given back unasked in between. Above: it is still at work.
                    if (s.rising)
                        s.held = s.told, s.asked = false;
                    else if (s.held < s.told)
                        s.told = s.held, s.asked = false;
                    mark(i->service);
                }
                if (s.asked && now >= s.toldAt + tuning.tellAgain) {
                    s.toldAt = now;
                    due(i, s);
                }
            }
            std::erase_if(i->shares, [&](const Share& s) {
                bool empty = s.reserved() == 0 && !s.asked && !s.due;
                if (empty) s.who->holds.erase(i);
                return empty;
            });
            if (i->voter && now >= i->votedAt + tuning.deadVote) i->voter = nullptr;
        }
        for (Instance* i : old) forget(i);
        std::vector<std::string> given;
        for (auto& [nonce, st] : starts) {
            if (st.counted && now >= st.at + st.service->spec.boot * tuning.bootsToDead + tuning.blocked) {
                st.counted = false;
                --st.service->pending;
                mark(st.service);
            }
            if (st.tries >= tuning.tries || now >= st.at + tuning.tombstone) {
                given.push_back(nonce);
            } else if (now >= st.retryAt && takeToken(now, true)) {
                st.retryAt = Instant::never();
                out.emplace_back(StartCall{st.service->spec.name, st.worker, nonce});
            }
        }
        for (const auto& nonce : given) endStart(nonce);
        for (auto it = services.begin(); it != services.end();) {
            Service* s = it->second.get();
            bool idle = !s->known && s->instances.empty() && s->pending == 0 && !s->dirty &&
                        s->waiting + s->busy == 0 && now > s->lastCall + tuning.tombstone &&
                        std::none_of(starts.begin(), starts.end(),
                                     [&](const auto& x) { return x.second.service == s; });
            if (!idle) {
                ++it;
                continue;
            }
            for (auto& [who, u] : s->uses) who->uses.erase(s);
            it = services.erase(it);
        }
    }
    void endStart(const std::string& nonce) {
        auto it = starts.find(nonce);
        if (it == starts.end()) return;
        if (it->second.counted) --it->second.service->pending;
        mark(it->second.service);
        starts.erase(it);
    }

    void count() {
        counts.instances = counts.booting = counts.slots = counts.waiting = 0;
        for (auto& [id, i] : instances) {
            if (i->phase == Phase::gone) continue;
            ++counts.instances;
            if (i->phase == Phase::booting) ++counts.booting;
            if (i->usable()) counts.slots += i->slots;
        }
        for (auto& [name, s] : services) counts.waiting += s->waiting;
    }
};

Planner::Planner(Instant now, uint64_t term, uint32_t chance, double dutyPerS, Span listLag)
    : state_(std::make_unique<State>(now, term, chance, dutyPerS, listLag)) {}
Planner::~Planner() = default;
Planner::Planner(Planner&&) noexcept = default;
Planner& Planner::operator=(Planner&&) noexcept = default;

void Planner::configured(Instant now, std::vector<FunctionSpec> functions) {
    State& st = *state_;
    std::unordered_set<std::string> named;
    for (auto& f : functions) {
        Service* s = st.serviceOf(now, f.name);
        // The first calls of a service that boots longer than its aim would all come late: one instance
        // stands ready before they come. Harm: its memory, where nobody calls for so long.
        if (!s->known && s->lastCall == Instant::longAgo() && f.target < f.boot)
            s->warmUntil = now + st.tuning.warm;
        s->known = true;
        if (st.groupKey(s->spec) != st.groupKey(f)) s->group = nullptr;
        s->spec = f;
        named.insert(f.name);
        for (Instance* i : s->instances)
            if (!i->listedOnce) i->slots = uint32_t(std::max(1, f.maxConcurrency));
        st.mark(s);
    }
    for (auto& [name, s] : st.services) {
        if (!s->known || named.count(name)) continue;
        s->known = false;
        s->lastCall = std::max(s->lastCall, now);  // calls that came before the change still run
        st.mark(s.get());
    }
    st.configuredOnce = true;
    st.passSoon(now);
}

void Planner::behind(Instant now) { state_->behindAt = now; }
bool Planner::ready() const { return state_->ready; }

void Planner::renewed(Instant now, uint64_t term) {
    State& st = *state_;
    if (term <= st.term) return;
    st.term = term;
    st.prefix = std::to_string(term) + "-" + std::to_string(st.random()) + "-";
    for (auto& [id, sender] : st.senders) sender->synced = false;  // their whole reports for this term come
    st.passSoon(now);
}

void Planner::linked(Instant now, const SenderId& sender, const std::string& zone) {
    State& st = *state_;
    auto& p = st.senders[sender];
    if (!p) {
        p = std::make_unique<Sender>();
        p->number = ++st.numbers;
        p->id = sender;
    }
    st.purge(p.get());
    p->zone = zone;
    p->linked = true;
    p->unanswered = Instant::never();
    // Its whole report says what it holds; until then all stays reserved.
    p->synced = p->leaving = p->late = false;
    p->freeAt = Instant::never();
    st.passSoon(now);
}

void Planner::reported(Instant now, const SenderId& sender, const Report& report) {
    State& st = *state_;
    if (report.term != st.term) {
        ++st.counts.wrongTerm;
        return;
    }
    auto found = st.senders.find(sender);
    if (found == st.senders.end() || !found->second->linked) return;
    Sender* who = found->second.get();
    if (!who->synced && !report.whole) return;
    bool sync = !who->synced;
    who->synced = true;
    who->late = false;
    who->unanswered = Instant::never();
    who->leaving = report.leaving;
    double span = std::clamp(report.spanMs / 1000.0, 0.0, 10.0);

    std::set<Instance*, Elder> namedHeld;
    for (const auto& h : report.held) {
        auto it = st.instances.find(h.instance);
        Instance* i;
        if (it == st.instances.end()) {
            if (h.slots == 0 || h.service.empty()) continue;
            i = st.adopt(now, h.instance, h.service, h.address);
            ++st.counts.adopted;
        } else {
            i = it->second.get();
        }
        if (h.slots == 0 && !i->share(who)) continue;
        namedHeld.insert(i);
        st.heldNow(now, i, *st.shareOf(now, i, who), h.slots, std::min(h.busy, h.slots), sync);
    }
    if (report.whole) {
        std::vector<Instance*> others;
        for (Instance* i : who->holds)
            if (!namedHeld.count(i)) others.push_back(i);
        for (Instance* i : others) st.heldNow(now, i, *i->share(who), 0, 0, sync);
    }
    std::set<Service*, Elder> namedDemand;
    for (const auto& d : report.demands) {
        Service* s = st.serviceOf(now, d.service);
        Use* u = st.useOf(now, s, who);
        st.arrived(now, s, *u, d, span);
        st.setUses(*u, s, d.waiting, d.busy);
        if (d.waiting + d.busy > 0) s->lastCall = now;
        s->peakBusy = std::max(s->peakBusy, double(s->busy));
        if (report.whole) namedDemand.insert(s);
        if (d.waiting > 0) st.mark(s);
    }
    if (report.whole)
        for (Service* s : who->uses)
            if (!namedDemand.count(s)) st.setUses(s->uses[who], s, 0, 0);
    if (report.leaving)
        for (Instance* i : who->holds) {
            Share* s = i->share(who);
            if (s && s->told > s->busy && s->canLower()) st.setTold(now, i, *s, s->busy);
        }
    for (const auto& id : report.up) {
        auto it = st.instances.find(id);
        if (it == st.instances.end()) continue;
        it->second->voter = nullptr;
        st.cameUp(now, it->second.get());
    }
    for (const auto& id : report.dead) {
        auto it = st.instances.find(id);
        if (it == st.instances.end()) continue;
        Instance* i = it->second.get();
        if (i->phase == Phase::gone) continue;
        // Until it is up a refusal is what a boot looks like; listed() ends boots that last too long.
        if (i->phase == Phase::booting) continue;
        bool again = i->voter && (i->voter != who || now - i->votedAt >= st.tuning.voteGap);
        if (again) {
            st.drop(now, i, true);
        } else if (!i->voter) {
            i->voter = who;
            i->votedAt = now;
        }
    }
    st.passSoon(now);
}

void Planner::unlinked(Instant now, const SenderId& sender, bool closed) {
    State& st = *state_;
    auto it = st.senders.find(sender);
    if (it == st.senders.end()) return;
    Sender* who = it->second.get();
    if (closed) {
        st.endSender(now, who, st.tuning.freeAfterClose);
    } else if (who->linked) {
        st.purge(who);
        who->linked = who->synced = false;
        who->freeAt = now + st.tuning.freeAfterSilence;
        for (Service* s : who->uses) st.setUses(s->uses[who], s, 0, 0);
    }
    st.passSoon(now);
}

void Planner::listed(Instant now, std::vector<Listed> list) {
    State& st = *state_;
    st.listedYet = true;
    std::unordered_set<std::string> named;
    for (auto& l : list) {
        named.insert(l.instance);
        auto it = st.instances.find(l.instance);
        Instance* i;
        if (it == st.instances.end()) {
            i = st.adopt(now, l.instance, l.service, l.address);
            ++st.counts.adopted;
        } else {
            i = it->second.get();
        }
        if (i->service->spec.name != l.service) continue;  // ids are not used again; not ours to guess
        i->zone = l.zone;
        i->worker = l.worker;
        if (l.slots > 0) i->slots = uint32_t(l.slots);
        i->listedOnce = true;
        i->missed = 0;
        if (i->phase == Phase::gone) {
            if (!i->stopSent && now >= i->goneAt + st.tuning.stopIfStillListed) st.closing.insert(i);
            continue;
        }
        if (l.draining)
            st.drain(now, i);
        else
            st.cameUp(now, i);
        st.mark(i->service);
    }
    std::vector<Instance*> lost;
    for (auto& [id, i] : st.instances) {
        if (named.count(id)) continue;
        if (i->phase == Phase::gone) {
            st.closing.erase(i.get());
            continue;
        }
        // One that a sender called up is on the list within its lag. An instance that died as the duty
        // changed hands was adopted from reports and kept for seconds though no list named it, and nothing
        // was started.
        bool due = i->listedOnce ||
                   (i->phase != Phase::booting && now > i->upAt + st.listLag * 1.5 + Span::millis(300)) ||
                   (i->phase == Phase::booting && now >= st.bootOver(i.get()));
        // One list without it may be older than the last one that had it.
        if (due && ++i->missed >= 2) lost.push_back(i.get());
    }
    for (Instance* i : lost) {
        // A start that did not come up is stopped as well, lest it cost without end. The clock alone is no
        // judge: a holder that slept, or whose lists come seldom, stopped instances at work of which it had
        // not heard. Harm: a start that failed without a word is made good a list or two later.
        const bool boots = i->phase == Phase::booting;
        st.drop(now, i, i->phase != Phase::draining && i->phase != Phase::stopping);
        if (boots) st.closing.insert(i), i->stopAt = now;
    }
    st.passSoon(now);
}

void Planner::workers(Instant now, std::vector<Worker> workers) {
    State& st = *state_;
    std::unordered_set<std::string> named;
    for (auto& w : workers) {
        named.insert(w.name);
        Node& n = st.nodes[w.name];
        n.seen = w;
        n.missed = 0;
        std::erase_if(n.taken, [&](const auto& t) { return t.first + st.listLag < now; });
    }
    std::unordered_set<std::string> down;
    for (auto it = st.nodes.begin(); it != st.nodes.end();) {
        if (!named.count(it->first) && ++it->second.missed >= 2) {
            down.insert(it->first);
            it = st.nodes.erase(it);
        } else {
            ++it;
        }
    }
    if (!down.empty())  // a worker that is down has taken its instances with it
        for (auto& [id, i] : st.instances)
            if (i->phase != Phase::gone && down.count(i->worker)) st.drop(now, i.get(), true);
    for (auto& [name, s] : st.services)
        if (s->waiting > 0) st.mark(s.get());
    st.passSoon(now);
}

void Planner::started(Instant now, const std::string& nonce, std::string instance, std::string address) {
    State& st = *state_;
    auto it = st.starts.find(nonce);
    if (it == st.starts.end()) return;  // given up: the list will show it
    Start start = it->second;
    st.endStart(nonce);
    if (!st.instances.count(instance)) {
        Instance* i = st.adopt(now, instance, start.service->spec.name, address);
        i->startedAt = start.at;
        i->worker = start.worker;
        if (auto n = st.nodes.find(start.worker); n != st.nodes.end()) i->zone = n->second.seen.zone;
    }
    st.passSoon(now);
}

void Planner::startFailed(Instant now, const std::string& nonce, int status) {
    State& st = *state_;
    auto it = st.starts.find(nonce);
    if (it == st.starts.end()) return;
    Start& start = it->second;
    Service* s = start.service;
    if (status == 0) {
        // It may have happened: only the same nonce on the same worker cannot make a second one.
        start.retryAt = now + st.tuning.tryAgain * double(1 << std::min(start.tries, 3));
        ++start.tries;
        st.passSoon(now);
        return;
    }
    ++st.counts.startsFailed;
    if (auto n = st.nodes.find(start.worker); n != st.nodes.end()) {
        if (status == 409) n->second.fullUntil = now + st.tuning.workerFull;
        std::erase_if(n->second.taken,
                      [&](const auto& t) { return t.first == start.at && t.second == s->spec.memoryMb; });
    }
    if (status == 429) st.tokens = 0;
    if (status == 400)
        s->blockedUntil = now + st.tuning.blockedUnknown;
    else if (status != 409)
        s->blockedUntil = now + st.tuning.tryAgain;
    st.endStart(nonce);
    st.passSoon(now);
}

void Planner::stopped(Instant now, const std::string& instance, int status) {
    State& st = *state_;
    auto it = st.instances.find(instance);
    if (it == st.instances.end()) return;
    Instance* i = it->second.get();
    if (status == 200 || status == 404) {
        st.closing.erase(i);
        st.drop(now, i, false);
    } else {
        i->stopAt = now + st.tuning.tryAgain;
        i->stopSent = false;
        if (status == 429) st.tokens = 0;
    }
    st.passSoon(now);
}

void Planner::tick(Instant now) { state_->tick(now); }

Instant Planner::wakeAt() const {
    const State& st = *state_;
    // Out of tokens: look again as soon as a few are there, not a whole tick later.
    return std::min(st.lastTick + (st.starved ? st.tuning.tick * 0.25 : st.tuning.tick), st.ghostAt);
}

std::optional<Output> Planner::next() {
    State& st = *state_;
    if (st.passDue) st.pass(st.passAt);
    if (st.out.empty()) return std::nullopt;
    Output o = std::move(st.out.front());
    st.out.pop_front();
    return o;
}

const Counts& Planner::counts() const { return state_->counts; }

std::vector<ServiceState> Planner::services() const {
    std::vector<ServiceState> out;
    for (const auto& [name, s] : state_->services) {
        ServiceState one;
        one.name = name, one.waiting = s->waiting, one.busy = s->busy, one.booting = s->pending;
        for (const Instance* i : s->instances) {
            if (i->phase == Phase::up)
                ++one.up, one.slots += i->slots;
            else if (i->phase == Phase::booting)
                ++one.booting;
            else if (i->phase != Phase::gone)
                ++one.draining;
        }
        out.push_back(std::move(one));
    }
    return out;
}

}  // namespace petrelpond::scaler
