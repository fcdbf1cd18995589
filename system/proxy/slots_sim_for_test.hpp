// The whole of slots in simulated time: planners at cores between which the duty moves, senders with their
// real dispatch, instances that turn away what is over their slots. Seeded, with all that may go wrong, and a
// judge.
//
// The invariant: no instance is sent more than its slots by senders of which the holder knows. Not counted is
// what a sender of which it can't know still uses (`stray`): one that the holder has heard nothing of for
// longer than the planner's word says (0.6 s where it was told something), one that is not there when another
// takes the duty over, one whose agent ended while its proxy lives. An instance that a stray uses is looked
// at again once the stray has told all it holds and what is too much there was given back. No once-only
// request runs twice; who is told that a request has not run is told the truth; no instance is stopped at
// work.
#pragma once

#include <array>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "system/network/simulation_for_test.hpp"
#include "system/proxy/dispatch.hpp"
#include "system/scaler/planner.hpp"

namespace petrelpond::proxy::slots {

// Broken on purpose; each has to be found.
enum class Defect : uint8_t {
    none,
    givesBackEarly,  // a slot counts as given back while its call still runs
    hastyHolder,     // a new holder does not wait for what the senders hold
    noFence,         // grants of a lower term are taken
    silentIsEnded,   // a sender that is merely silent counts as ended
};

struct Plan {
    uint32_t seed = 1;
    Defect defect = Defect::none;
    double seconds = 30;           // of faults; then all heals
    const char* follow = nullptr;  // an instance of which all is printed
};

class World : public simulation::Simulation {
  public:
    explicit World(Plan plan) : Simulation(plan.seed), plan_(plan) {
        senders_.resize(3 + static_cast<size_t>(below(3)));
        accounts_.resize(senders_.size());
        listLag_ = Span::millis(200 + below(500));
    }

    std::string run() {
        for (size_t c = 0; c < kCores; ++c) at(0, [this, c] { beats(c); });
        for (size_t s = 0; s < senders_.size(); ++s) {
            startSender(s);
            at(millis(below(300)), [this, s] { client(s); });
        }
        at(millis(100), [this] { elect(0); });
        at(millis(2000), [this] { trouble(); });
        const int64_t calm = millis(static_cast<int64_t>(plan_.seconds * 1000)), end = calm + millis(20000);
        at(calm, [this] { heal(); });
        at(calm + millis(15000), [this] {
            calm_ = true;
            for (Sender& x : senders_) x.rate = 5;
        });
        at(end - millis(2000), [this] { open_ = false; });
        runUntil(end);
        if (!broken_.empty()) return broken_;
        if (arrivedCalm_ < 20 || passedCalm_ < arrivedCalm_ * 0.8)
            return "seed " + std::to_string(plan_.seed) + ": " + std::to_string(passedCalm_) + " of " +
                   std::to_string(arrivedCalm_) + " requests served after all has healed";
        return {};
    }
    long ran() const { return ran_; }
    long full() const { return full_; }  // turned away, all of them at instances that a stray used
    long holders() const { return holders_; }
    long strays() const { return strays_; }

  private:
    static constexpr size_t kCores = 3;
    Instant now() const { return Instant::atMicros(now_); }
    template <class... Parts>
    void note(const std::string& id, const char* form, Parts... parts) {
        if (!plan_.follow || (!id.empty() && id != plan_.follow)) return;
        std::printf("%.6f ", static_cast<double>(now_) / 1e6);
        std::printf(form, parts...);
        std::printf("\n");
    }
    // ---- the platform: instances
    struct Service {
        const char* name;
        int slots, boot, target;
    };
    static constexpr std::array<Service, 2> kServices{{{"f", 3, 400, 300}, {"g", 1, 300, 1500}}};
    struct Machine {
        const Service* service = nullptr;
        int64_t upAt = 0, goneAt = -1;
        bool draining = false;
        std::set<uint64_t> inUse;  // calls
    };
    struct Call {
        size_t sender = 0;
        int life = 0;
        RequestId request = 0;
        std::string at;
        bool over = false;  // ended for its sender
    };
    void startInstance(size_t c, int generation, const scaler::StartCall& s) {
        at(millis(5 + below(60)), [this, c, generation, s, term = cores_[c].term] {
            std::string id;
            int status = 200;
            if (term < fence_)
                status = 403;  // the platform's fence
            else if (chance(trouble_ * 0.1))
                status = 409;
            auto before = byNonce_.find(s.nonce);
            if (status == 200 && before != byNonce_.end()) id = before->second;
            if (status == 200 && id.empty()) {
                id = "i" + std::to_string(++made_);
                byNonce_[s.nonce] = id;
                Machine& m = machines_[id];
                for (const Service& each : kServices)
                    if (each.name == s.service) m.service = &each;
                if (!m.service) return fail("a start of a service that nobody has");
                m.upAt = now_ + millis(m.service->boot * (70 + below(60)) / 100);
            }
            if (chance(trouble_ * 0.1)) status = 0;  // no answer, though it may have happened
            at(millis(5 + below(60)), [this, c, generation, s, id, status] {
                toPlanner(c, generation, [s, id, status](scaler::Planner& p, Instant now) {
                    if (status == 200)
                        p.started(now, s.nonce, id, "x:" + id);
                    else
                        p.startFailed(now, s.nonce, status);
                });
            });
        });
    }
    void stopInstance(size_t c, int generation, const std::string& id) {
        note(id, "core %zu term %lu asks for its stop", c, cores_[c].term);
        at(millis(5 + below(60)), [this, c, generation, id, term = cores_[c].term, free = excused(id)] {
            if (term < fence_) return;
            auto m = machines_.find(id);
            if (m != machines_.end() && m->second.goneAt < 0) {
                if (!m->second.inUse.empty() && !free && !excused(id)) fail("stopped " + id + " at work");
                vanish(id);
            }
            at(millis(5 + below(60)), [this, c, generation, id] {
                toPlanner(c, generation, [id](scaler::Planner& p, Instant now) { p.stopped(now, id, 200); });
            });
        });
    }
    void vanish(const std::string& id) {
        Machine& m = machines_[id];
        if (m.goneAt >= 0) return;
        m.goneAt = now_;
        const std::set<uint64_t> all = std::move(m.inUse);
        m.inUse.clear();
        for (uint64_t call : all) endCall(call, AttemptOutcome::connectionBroken, millis(1 + below(10)));
    }
    void list(size_t c, int generation) {
        if (cores_[c].generation != generation || !cores_[c].planner) return;
        std::vector<scaler::Listed> all;
        for (auto& [id, m] : machines_) {
            const bool listed =
                m.goneAt < 0 ? m.upAt <= now_ : now_ < m.goneAt + millis(m.draining ? 0 : 2000);
            if (listed)
                all.push_back({id, m.service->name, "x:" + id, "a", "w1", m.service->slots, m.draining});
        }
        at(below(listLag_.inMicros()), [this, c, generation, all] {
            toPlanner(c, generation, [all](scaler::Planner& p, Instant now) { p.listed(now, all); });
        });
        at(millis(600), [this, c, generation] { list(c, generation); });
    }

    // ---- cores and the duty
    struct Core {
        std::unique_ptr<scaler::Planner> planner;
        int generation = 0, life = 0;
        bool up = true;
        uint64_t term = 0;  // of its planner
        uint64_t knownTerm = 0;
        int knownHolder = -1;
        int64_t frozenUntil = 0, wakeSet = -1;
        std::map<size_t, int> guests;  // sender: epoch of its link
        std::map<size_t, int> guestLife;
        std::map<size_t, int64_t> heardAt;
        bool granted = false, losing = false;  // losing: somebody else will be voted for
        std::set<size_t> knows;                // senders that told its planner all that they hold
    };
    // How the planner of the present holder stands to a sender.
    struct Account {
        bool linked = false, synced = false;
        int64_t freeAt = -1;  // when it counts as gone
        bool ended = false;   // its slots are only kept for a moment, whether it is linked again or not
    };
    void inCore(size_t c, int life, std::function<void(Core&)> f) {
        Core& core = cores_[c];
        if (core.life != life || !core.up) return;
        if (now_ < core.frozenUntil)
            return at(core.frozenUntil - now_, [this, c, life, f = std::move(f)] { inCore(c, life, f); });
        f(core);
    }
    void toPlanner(size_t c, int generation, std::function<void(scaler::Planner&, Instant)> f) {
        inCore(c, cores_[c].life, [this, c, generation, f = std::move(f)](Core& core) {
            if (!core.planner || core.generation != generation) return;
            f(*core.planner, now());
            pull(c);
        });
    }
    bool holds(size_t c) const { return static_cast<int>(c) == holder_ && cores_[c].term == term_; }
    void pull(size_t c) {
        Core& core = cores_[c];
        if (!core.planner) return;
        while (auto o = core.planner->next()) {
            if (auto* s = std::get_if<scaler::StartCall>(&*o)) startInstance(c, core.generation, *s);
            if (auto* s = std::get_if<scaler::StopCall>(&*o)) stopInstance(c, core.generation, s->instance);
            if (auto* t = std::get_if<scaler::Tell>(&*o)) {
                const size_t s = static_cast<size_t>(std::stoi(t->to));
                bool gives = false;
                for (const auto& g : t->grants.grants) gives |= g.slots > 0;
                if (gives && !core.granted) {
                    core.granted = true;  // it has listened: whom it has not heard by now it does not know
                    for (size_t k = 0; k < senders_.size(); ++k)
                        if (!core.knows.count(k)) goStray(k);
                }
                for (const auto& g : t->grants.grants)
                    note(g.instance, "core %zu term %lu tells %zu: %u", c, core.term, s, g.slots);
                for (const auto& g : t->grants.grants)
                    if (holds(c)) senders_[s].told[g.instance] = g.slots;
                if (holds(c) && senders_[s].toldAt < 0) senders_[s].toldAt = now_;
                if (core.guests.count(s)) sendDown(c, s, core.guests[s], {0, -1, t->grants, true});
            }
        }
        const int64_t wake = std::max(now_ + millis(2), core.planner->wakeAt().inMicros());
        if (core.wakeSet > now_ && core.wakeSet <= wake) return;
        core.wakeSet = wake;
        at(wake - now_, [this, c, generation = core.generation, wake] {
            if (cores_[c].wakeSet != wake) return;
            toPlanner(c, generation, [this, c](scaler::Planner& p, Instant now) {
                cores_[c].wakeSet = -1;
                p.tick(now);
            });
        });
    }
    void elect(size_t c) {
        Core& core = cores_[c];
        if (!core.up || now_ < core.frozenUntil) return at(millis(50), [this] { elect(anyCore()); });
        term_ += 1 + static_cast<uint64_t>(below(3));
        fence_ = term_, holder_ = static_cast<int>(c);
        ++holders_;
        for (Account& a : accounts_) a = {};
        for (size_t s = 0; s < senders_.size(); ++s) answered(s);
        core.planner = std::make_unique<scaler::Planner>(now(), term_, random_(), 150, listLag_);
        core.term = term_, core.granted = core.losing = false, core.wakeSet = -1;
        core.knows.clear();
        const int generation = ++core.generation;
        std::vector<scaler::FunctionSpec> specs;
        for (const Service& s : kServices)
            specs.push_back({s.name, 128, Span::millis(s.boot), s.slots, Span::millis(s.target)});
        core.planner->configured(now(), specs);
        core.planner->workers(now(), {{"w1", "a", 9000, 9000, false}, {"w2", "b", 9000, 9000, false}});
        for (auto& [s, epoch] : core.guests) link(c, s);
        list(c, generation);
        pull(c);
        note("", "core %zu elected, term %lu", c, term_);
        tellDuty();
    }
    void renew() {
        if (holder_ < 0) return;
        const auto c = static_cast<size_t>(holder_);
        if (!holds(c) || now_ < cores_[c].frozenUntil) return;
        fence_ = ++term_, cores_[c].term = term_;
        note("", "core %zu renewed, term %lu", c, term_);
        for (Account& a : accounts_) a.synced = false;
        cores_[c].planner->renewed(now(), term_);
        pull(c);
        tellDuty();
    }
    void tellDuty() {
        const uint64_t term = term_;
        const int holder = holder_;
        for (size_t k = 0; k < kCores; ++k) {
            auto learn = [this, k, term, holder](Core& core) {
                if (term < core.knownTerm) return;
                core.knownTerm = term, core.knownHolder = holder;
                for (auto& [s, epoch] : core.guests) sendDown(k, s, epoch, {term, holder, {}, false});
            };
            if (static_cast<int>(k) == holder)
                learn(cores_[k]);
            else
                at(millis(below(200)), [this, k, life = cores_[k].life, learn] { inCore(k, life, learn); });
        }
    }
    void beats(size_t c) {  // and the core's own turn: silent agents
        inCore(c, cores_[c].life, [this, c](Core& core) {
            for (auto& [s, epoch] : core.guests)
                sendDown(c, s, epoch, {core.knownTerm, core.knownHolder, {}, false});
            std::vector<size_t> silent;
            for (auto& [s, epoch] : core.guests)
                if (now_ - core.heardAt[s] > millis(3000)) silent.push_back(s);
            for (size_t s : silent) guestGone(c, s, false);
        });
        at(millis(250), [this, c] { beats(c); });
    }
    void endDuty(size_t c) {  // it learns that it holds no more
        Core& core = cores_[c];
        core.planner.reset();
        ++core.generation;
    }
    void link(size_t c, size_t s) {
        Core& core = cores_[c];
        if (!core.planner) return;
        const scaler::SenderId id = std::to_string(s);
        note("", "core %zu: sender %zu linked", c, s);
        core.planner->linked(now(), id, s % 2 ? "a" : "b");
        if (holds(c)) {
            answered(s);
            accounts_[s].linked = true, accounts_[s].synced = false;
            if (accounts_[s].freeAt >= 0 && !accounts_[s].ended) accounts_[s].freeAt = -1;
        }
        if (plan_.defect == Defect::hastyHolder) {
            scaler::Report r;
            r.term = core.term, r.whole = true;
            if (holds(c)) accounts_[s].synced = true;
            core.knows.insert(s);
            core.planner->reported(now(), id, r);
        }
        pull(c);
    }
    void guestGone(size_t c, size_t s, bool closed) {
        Core& core = cores_[c];
        core.guests.erase(s);
        note("", "core %zu: sender %zu gone%s", c, s, closed ? ", closed" : "");
        if (!core.planner) return;
        const bool told = closed || plan_.defect == Defect::silentIsEnded;
        core.planner->unlinked(now(), std::to_string(s), told);
        if (holds(c) && (accounts_[s].linked || closed)) {
            accounts_[s].linked = accounts_[s].synced = false;
            const int64_t until = now_ + (closed ? millis(300) : millis(5000));
            accounts_[s].freeAt = until, accounts_[s].ended = closed;
            at(until - now_, [this, s, until, which = holders_] {
                if (which == holders_ && accounts_[s].freeAt == until && !accounts_[s].synced) goStray(s);
            });
        }
        pull(c);
    }

    // ---- links. Each is ordered; a cut delays what is under way, and ends it once a side gives the link up.
    struct Word {  // of a core
        uint64_t term = 0;
        int holder = -1;
        scaler::Grants grants;
        bool isGrants = false;
    };
    struct Wire {
        int epoch = 0;
        bool up = false, trying = false;
        int64_t cutUp = 0, cutDown = 0;  // until when
        int64_t lastUp = 0, lastDown = 0, heardAt = 0, pause = 100000;
    };
    int64_t arrival(int64_t& last, int64_t cut) {
        const int64_t delay = 500 + below(chance(0.05) ? 80000 : 8000);
        last = std::max({last + 1, now_ + delay, cut > now_ ? cut + delay : 0});
        return last - now_;
    }
    void sendDown(size_t c, size_t s, int epoch, Word word) {
        Wire& w = senders_[s].wires[c];
        if (plan_.defect == Defect::noFence && word.isGrants) word.grants.term = 1u << 30;
        const int life = senders_[s].life;
        at(arrival(w.lastDown, w.cutDown), [this, c, s, epoch, life, word = std::move(word)] {
            inSender(s, life, [this, c, s, epoch, word](Sender& x) {
                Wire& wire = x.wires[c];
                if (!wire.up || wire.epoch != epoch) return;
                wire.heardAt = now_;
                if (!word.isGrants) return heardDuty(s, word.term, word.holder);
                if (static_cast<int>(c) == x.holder || plan_.defect == Defect::noFence) take(s, word.grants);
            });
        });
    }
    void sendUp(size_t s, size_t c, std::function<void(Core&)> f) {
        Wire& w = senders_[s].wires[c];
        const int epoch = w.epoch, life = cores_[c].life;
        at(arrival(w.lastUp, w.cutUp), [this, s, c, epoch, life, f = std::move(f)] {
            inCore(c, life, [s, epoch, f, this](Core& core) {
                auto g = core.guests.find(s);
                if (g == core.guests.end() || g->second != epoch) return;
                core.heardAt[s] = now_;
                f(core);
            });
        });
    }
    void connect(size_t s, size_t c) {
        Wire& w = senders_[s].wires[c];
        if (w.up || w.trying || !senders_[s].agentUp) return;
        w.trying = true;
        const int64_t pause = w.pause;
        w.pause = std::min<int64_t>(w.pause * 2, millis(400));
        const bool through = now_ >= w.cutUp && now_ >= w.cutDown && cores_[c].up;
        const int life = senders_[s].life, agentLife = senders_[s].agentLife;
        if (!through) {
            return at(std::max(pause, millis(240)), [this, s, c, life, agentLife] {
                if (senders_[s].life != life || senders_[s].agentLife != agentLife) return;
                senders_[s].wires[c].trying = false;
                inSender(s, life, [this, s, c](Sender&) { connect(s, c); });
            });
        }
        at(1000 + below(16000), [this, s, c, life, agentLife] {
            inSender(s, life, [this, s, c, agentLife](Sender& x) {
                if (x.agentLife != agentLife || !x.agentUp) return;
                Wire& wire = x.wires[c];
                wire.trying = false, wire.up = true, wire.heardAt = now_, wire.pause = millis(100);
                const int epoch = ++epochs_;
                wire.epoch = epoch;
                at(arrival(wire.lastUp, wire.cutUp),
                   [this, s, c, epoch, agent = x.agentLife, life = cores_[c].life] {
                       inCore(c, life, [this, s, c, epoch, agent](Core& core) {
                           if (core.guests.count(s)) guestGone(c, s, core.guestLife[s] != agent);
                           core.guests[s] = epoch, core.guestLife[s] = agent, core.heardAt[s] = now_;
                           link(c, s);
                           sendDown(c, s, epoch, {core.knownTerm, core.knownHolder, {}, false});
                       });
                   });
                stand(s);
            });
        });
    }
    // The agent gives the link up, or its end is seen. Its last packet, if any, tells the core.
    void closeWire(size_t s, size_t c, bool tell) {
        Wire& w = senders_[s].wires[c];
        if (!w.up) return;
        note("", "sender %zu closes to %zu, up cut %ld down cut %ld", s, c, w.cutUp - now_, w.cutDown - now_);
        w.up = false;
        const int epoch = w.epoch, life = cores_[c].life;
        if (tell) {
            at(arrival(w.lastUp, w.cutUp), [this, s, c, epoch, life] {
                inCore(c, life, [this, s, c, epoch](Core& core) {
                    auto g = core.guests.find(s);
                    if (g != core.guests.end() && g->second == epoch) guestGone(c, s, true);
                });
            });
        }
    }

    // ---- senders: agent and proxy
    struct Sender {
        std::unique_ptr<Dispatch> dispatch;
        int life = 0, agentLife = 0;
        bool agentUp = true;
        int64_t frozenUntil = 0, wakeSet = -1;
        uint64_t term = 0;
        int holder = -1;
        uint64_t toldTerm = 0;
        bool toldLinked = false;
        uint64_t grantTerm = 0;
        std::array<Wire, kCores> wires;
        std::map<std::string, uint32_t> may, told, busy;  // as granted, as told last by the holder; calls out
        bool stray = false;
        std::set<std::string> lent;  // instances where it was late to give back
        int64_t toldAt = -1;         // since when the holder has told it something and had no word of its
        double rate = 5;
    };
    struct Ask {
        bool onceOnly = false, ran = false;
        const char* service = "";
        Instant deadline;
    };
    void inSender(size_t s, int life, std::function<void(Sender&)> f) {
        Sender& x = senders_[s];
        if (x.life != life || !x.dispatch) return;
        if (now_ < x.frozenUntil)
            return at(x.frozenUntil - now_, [this, s, life, f = std::move(f)] { inSender(s, life, f); });
        f(x);
        drain(s);
    }
    void startSender(size_t s) {
        Sender& x = senders_[s];
        ++x.life, x.agentLife = ++agentLives_;
        x.agentUp = true, x.frozenUntil = 0, x.wakeSet = -1;
        x.term = x.toldTerm = x.grantTerm = 0, x.holder = -1, x.toldLinked = false;
        x.may.clear(), x.told.clear(), x.busy.clear(), x.lent.clear(), x.stray = false, x.toldAt = -1;
        Dispatch::Options o;
        o.seed = random_(), o.zone = s % 2 ? "a" : "b";
        x.dispatch = std::make_unique<Dispatch>(now(), o);
        std::vector<ServiceSpec> specs;
        for (const Service& each : kServices)
            specs.push_back({each.name, each.slots, Span::millis(each.boot)});
        x.dispatch->updateServices(now(), specs);
        for (size_t c = 0; c < kCores; ++c) {
            x.wires[c].trying = x.wires[c].up = false;
            connect(s, c);
        }
        agentTurn(s, x.life);
        drain(s);
    }
    void killSender(size_t s, bool power) {
        Sender& x = senders_[s];
        if (!x.dispatch) return;
        x.dispatch.reset();
        note("", "sender %zu killed%s", s, power ? ", power" : "");
        ++x.life;
        for (size_t c = 0; c < kCores; ++c) closeWire(s, c, !power), x.wires[c].trying = false;
        for (auto& [id, call] : calls_) {  // instances drop the work of connections that end
            if (call.sender != s || call.over) continue;
            call.over = true;
            at(power ? millis(below(1500)) : millis(below(200)), [this, id = id] { leaveInstance(id); });
        }
        // What it had out is still there for a moment; the holder knows of it only if it was told. Without
        // power no connection was reset, so instances work on it longer than an ended sender's slots are
        // kept.
        if (x.stray || power || !accounts_[s].synced || x.toldAt >= 0 || !x.lent.empty())
            for (auto& [id, n] : x.busy)
                if (n > 0) surplus_.insert(id);
        x.may.clear(), x.told.clear(), x.busy.clear(), x.lent.clear(), x.stray = false, x.toldAt = -1;
        at(millis(300 + below(3000)), [this, s] { startSender(s); });
    }
    void killAgent(size_t s) {  // alone: the proxy goes on with what it holds
        Sender& x = senders_[s];
        if (!x.dispatch || !x.agentUp || now_ < x.frozenUntil) return;
        x.agentUp = false, x.agentLife = ++agentLives_;
        note("", "agent of %zu ends", s);
        for (size_t c = 0; c < kCores; ++c) closeWire(s, c, true), x.wires[c].trying = false;
        x.term = 0, x.holder = -1, x.toldTerm = 0, x.toldLinked = false;
        x.dispatch->onPlannerDisconnected();
        drain(s);
        at(millis(100 + below(1500)), [this, s, life = x.life] {
            inSender(s, life, [this, s](Sender& y) {
                y.agentUp = true, y.agentLife = ++agentLives_;
                for (size_t c = 0; c < kCores; ++c) connect(s, c);
            });
        });
    }
    void agentTurn(size_t s, int life) {
        at(millis(250), [this, s, life] {
            inSender(s, life, [this, s, life](Sender& x) {
                for (size_t c = 0; c < kCores && x.agentUp; ++c) {
                    Wire& w = x.wires[c];
                    if (w.up && now_ - w.heardAt > millis(2200)) closeWire(s, c, true), stand(s);
                    if (!w.up) connect(s, c);
                    if (w.up) sendUp(s, c, [](Core&) {});
                }
                agentTurn(s, life);
            });
        });
    }
    void heardDuty(size_t s, uint64_t term, int holder) {
        Sender& x = senders_[s];
        if (term > x.term || (term == x.term && x.holder < 0 && holder >= 0)) {
            x.term = term, x.holder = holder;
            stand(s);
        }
    }
    void stand(size_t s) {
        Sender& x = senders_[s];
        const bool linked = x.holder >= 0 && x.wires[static_cast<size_t>(x.holder)].up;
        if (x.toldTerm == x.term && x.toldLinked == linked) return;
        x.toldTerm = x.term, x.toldLinked = linked;
        x.dispatch->updatePlannerStatus(now(), x.term, linked, static_cast<uint32_t>(senders_.size()));
        x.grantTerm = std::max(x.grantTerm, x.term);
        drain(s);
    }
    void take(size_t s, const scaler::Grants& grants) {
        Sender& x = senders_[s];
        if (grants.term >= x.grantTerm) {
            for (const auto& g : grants.grants)
                note(g.instance, "sender %zu may use %u (out %u), term %lu", s, g.slots, x.busy[g.instance],
                     grants.term);
            x.grantTerm = std::max(x.grantTerm, plan_.defect == Defect::noFence ? 0 : grants.term);
            for (const auto& g : grants.grants) x.may[g.instance] = g.slots, settle(g.instance);
        }
        x.dispatch->applyGrants(now(), grants);
    }
    void drain(size_t s) {
        Sender& x = senders_[s];
        if (!x.dispatch) return;
        while (auto o = x.dispatch->next()) {
            if (auto* to = std::get_if<SendRequest>(&*o)) send(s, *to);
            if (auto* p = std::get_if<ProbeInstance>(&*o)) probe(s, p->instance);
            if (auto* r = std::get_if<RejectRequest>(&*o)) {
                if (calm_) note("", "sender %zu refuses %lu of %s", s, r->id, asks_[r->id].service);
                if (asks_[r->id].ran) fail("told that it has not run, but it has");
            }
            if (std::get_if<ForwardResponse>(&*o) && calm_) ++passedCalm_;
            if (auto* t = std::get_if<SendReport>(&*o)) report(s, std::move(t->report));
        }
        const int64_t wake = std::max(now_ + 500, x.dispatch->wakeAt().inMicros());
        if (x.wakeSet > now_ && x.wakeSet <= wake) return;
        x.wakeSet = wake;
        at(wake - now_, [this, s, life = x.life, wake] {
            if (senders_[s].life != life || senders_[s].wakeSet != wake) return;
            inSender(s, life, [this](Sender& y) {
                y.wakeSet = -1;
                y.dispatch->tick(now());
            });
        });
    }
    void report(size_t s, scaler::Report r) {
        Sender& x = senders_[s];
        if (x.holder < 0 || !x.agentUp) return;
        const auto c = static_cast<size_t>(x.holder);
        if (!x.wires[c].up) return;
        if (plan_.defect == Defect::givesBackEarly)
            for (auto& h : r.held) h.slots = x.may[h.instance], h.busy = std::min(h.busy, h.slots);
        for (const auto& h : r.held)
            note(h.instance, "sender %zu reports%s %u held %u busy, term %lu", s, r.whole ? " whole" : "",
                 h.slots, h.busy, r.term);
        sendUp(s, c, [this, s, c, r = std::move(r)](Core& core) {
            if (!core.planner) return;
            for (const auto& h : r.held)
                note(h.instance, "core %zu hears of %zu%s %u held %u busy, term %lu", c, s,
                     r.whole ? " whole" : "", h.slots, h.busy, r.term);
            if (r.whole) note("", "core %zu hears whole of %zu term %lu", c, s, r.term);
            core.planner->reported(now(), std::to_string(s), r);
            if (r.whole && r.term == core.term) core.knows.insert(s);
            if (holds(c) && r.term == term_) answered(s);
            if (holds(c) && r.term == term_ && r.whole && !accounts_[s].synced) synced(s);
            pull(c);
        });
    }
    void probe(size_t s, InstanceIndex ix) {
        const InstanceInfo* v = senders_[s].dispatch->findInstance(ix);
        if (!v) return;
        at(1000 + below(15000), [this, s, ix, id = v->id, life = senders_[s].life] {
            auto m = machines_.find(id);
            const bool up = m != machines_.end() && m->second.goneAt < 0 && m->second.upAt <= now_;
            inSender(s, life, [this, ix, id, up](Sender& x) {
                const InstanceInfo* still = x.dispatch->findInstance(ix);
                if (still && still->id == id) x.dispatch->onProbeResult(now(), ix, up);
            });
        });
    }
    void send(size_t s, const SendRequest& to) {
        Sender& x = senders_[s];
        const InstanceInfo* v = x.dispatch->findInstance(to.instance);
        if (!v) return fail("sent nowhere");
        const uint64_t id = ++callsMade_;
        calls_[id] = {s, x.life, to.id, v->id};
        ++x.busy[v->id];
        const Ask& ask = asks_[to.id];
        const Instant gaveUp = to.attemptTimeout > Span() ? now() + to.attemptTimeout : ask.deadline;
        at(std::max<int64_t>(1, gaveUp.inMicros() - now_), [this, id] {
            auto found = calls_.find(id);
            if (found == calls_.end() || found->second.over) return;
            if (now_ < senders_[found->second.sender].frozenUntil) return;  // not while it sleeps
            leaveInstance(id);
            endCall(id, AttemptOutcome::timedOut, 0);
        });
        at(500 + below(8000), [this, id] { arrive(id); });
    }
    void arrive(uint64_t id) {
        auto found = calls_.find(id);
        if (found == calls_.end() || found->second.over) return;
        const Call call = found->second;
        auto m = machines_.find(call.at);
        if (m == machines_.end() || m->second.goneAt >= 0 || m->second.upAt > now_)
            return endCall(id, AttemptOutcome::connectFailed, 500 + below(8000));
        Machine& machine = m->second;
        if (static_cast<int>(machine.inUse.size()) >= machine.service->slots) {
            ++full_;
            note(call.at, "call %lu of %zu is turned away", id, call.sender);
            if (calm_ || !excused(call.at)) fail(call.at + " was sent more than its slots");
            return endCall(id, AttemptOutcome::notExecuted, 500 + below(8000));
        }
        Ask& ask = asks_[call.request];
        if (ask.onceOnly && ask.ran) fail("a once-only request ran twice");
        ask.ran = true;
        ++ran_;
        machine.inUse.insert(id);
        note(call.at, "call %lu of %zu runs, %zu", id, call.sender, machine.inUse.size());
        const int64_t work = millis(5 + below(chance(0.1) ? 1200 : 150));
        at(work, [this, id, work] {
            leaveInstance(id);
            const bool lost = chance(trouble_ * 0.05);  // the answer; the connection stays silent
            if (lost) return;
            const bool bad = chance(trouble_ * 0.1);
            endCall(id,
                    !bad          ? AttemptOutcome::answered
                    : chance(0.5) ? AttemptOutcome::serverError
                                  : AttemptOutcome::connectionBroken,
                    500 + below(8000));
        });
    }
    void leaveInstance(uint64_t id) {
        auto found = calls_.find(id);
        if (found == calls_.end()) return;
        auto m = machines_.find(found->second.at);
        if (m != machines_.end() && m->second.inUse.erase(id) > 0)
            note(found->second.at, "call %lu of %zu done", id, found->second.sender);
    }
    void endCall(uint64_t id, AttemptOutcome how, int64_t delay) {
        at(delay, [this, id, how] {
            auto found = calls_.find(id);
            if (found == calls_.end() || found->second.over) return;
            const Call call = found->second;
            inSender(call.sender, call.life, [this, id, call, how](Sender& x) {
                auto still = calls_.find(id);
                if (still == calls_.end() || still->second.over) return;
                calls_.erase(still);
                --x.busy[call.at];
                x.dispatch->onAttemptEnded(now(), call.request, how);
                settle(call.at);
            });
        });
    }
    void client(size_t s) {
        Sender& x = senders_[s];
        if (x.dispatch && now_ >= x.frozenUntil && open_) {
            const RequestId id = ++requests_;
            static constexpr int kTimes[] = {400, 1000, 3000};
            const Span left = Span::millis(calm_ ? 3000 : kTimes[below(3)]);
            IncomingRequest a{id,
                              below(3) ? "f" : "g",
                              below(2) == 0,
                              static_cast<int>(below(3)),
                              1 + static_cast<int>(below(3)),
                              now() + left,
                              Span::millis(400),
                              left};
            Ask& ask = asks_[id];
            ask.onceOnly = !a.isIdempotent, ask.deadline = a.deadline;
            ask.service = a.service == "f" ? "f" : "g";
            if (calm_) ++arrivedCalm_;
            x.dispatch->onRequest(now(), a);
            drain(s);
        }
        if (chance(0.02) && !calm_) x.rate = chance(0.3) ? 25 : 1 + static_cast<double>(below(8));
        at(static_cast<int64_t>(2e6 / x.rate * static_cast<double>(below(1000)) / 1000),
           [this, s] { client(s); });
    }

    // ---- who is known, and what that excuses
    // One that says nothing though it was told something may have idle slots that were asked back passed on.
    static constexpr int64_t kLate = 590000;
    bool late(const Sender& x) const { return x.toldAt >= 0 && now_ - x.toldAt >= kLate; }
    void answered(size_t s) {
        Sender& x = senders_[s];
        if (late(x))
            for (auto& [id, m] : machines_)
                if (unread(x, id)) x.lent.insert(id);
        x.toldAt = -1;
    }
    // It may still use what the holder has asked back.
    static bool unread(const Sender& x, const std::string& id) {
        auto told = x.told.find(id);
        return told != x.told.end() && uses(x, id) > told->second;
    }
    void mayBeOver(const Sender& x) {
        for (auto& [id, m] : machines_)
            if (uses(x, id) > 0) surplus_.insert(id), settle(id);
    }
    void goStray(size_t s) {
        Sender& x = senders_[s];
        if (!x.dispatch || x.stray) return;
        x.stray = true;
        note("", "sender %zu is a stray", s);
        ++strays_;
    }
    void synced(size_t s) {
        accounts_[s].synced = true, accounts_[s].freeAt = -1, accounts_[s].ended = false;
        Sender& x = senders_[s];
        for (const std::string& id : x.lent) surplus_.insert(id);
        x.told.clear(), x.lent.clear();
        if (!x.stray) return;
        x.stray = false;
        note("", "sender %zu is known again", s);
        mayBeOver(x);
    }
    static uint32_t uses(const Sender& x, const std::string& id) {
        uint32_t most = 0;
        for (const auto* each : {&x.may, &x.told, &x.busy})
            if (auto found = each->find(id); found != each->end()) most = std::max(most, found->second);
        return most;
    }
    // What was given twice is over once all that may be used fits again.
    void settle(const std::string& id) {
        if (surplus_.empty() || !surplus_.count(id)) return;
        uint32_t sum = 0;
        for (const Sender& x : senders_) sum += uses(x, id);
        for (uint64_t call : machines_[id].inUse)
            if (calls_[call].over) return;  // of a sender that has ended
        if (sum <= static_cast<uint32_t>(machines_[id].service->slots)) surplus_.erase(id);
    }
    bool excused(const std::string& id) {
        settle(id);
        if (surplus_.count(id)) return true;
        for (const Sender& x : senders_)
            if ((x.stray && uses(x, id) > 0) || (late(x) && unread(x, id))) return true;
        for (Sender& x : senders_) {
            if (!x.lent.count(id)) continue;
            if (unread(x, id)) return true;
            x.lent.erase(id), surplus_.insert(id), settle(id);
            if (surplus_.count(id)) return true;
        }
        return false;
    }

    // ---- troubles
    size_t anyCore() { return static_cast<size_t>(below(kCores)); }
    size_t anySender() { return static_cast<size_t>(below(static_cast<int64_t>(senders_.size()))); }
    void electLater(int64_t from, int64_t to) {
        const uint64_t term = term_;
        at(millis(from + below(to - from)), [this, term] {
            if (term == term_) elect(anyCore());
        });
    }
    void trouble() {
        if (trouble_ == 0) return;
        const size_t s = anySender();
        const int64_t kind = below(100);
        if (kind < 12) {
            killSender(s, chance(0.3));
        } else if (kind < 18) {
            killAgent(s);
        } else if (kind < 34) {
            freezeSender(s, millis(below(chance(0.3) ? 11000 : 3000)));
        } else if (kind < 52) {
            const int64_t until = now_ + millis(100 + below(chance(0.3) ? 10000 : 3000));
            const int64_t ways = below(3), which = below(2) ? -1 : below(kCores);
            for (size_t c = 0; c < kCores; ++c) {
                if (which >= 0 && which != static_cast<int64_t>(c)) continue;
                if (ways != 1) senders_[s].wires[c].cutUp = until;
                if (ways != 2) senders_[s].wires[c].cutDown = until;
            }
        } else if (kind < 80) {
            moveDuty();
        } else if (!machines_.empty()) {
            auto m = machines_.begin();
            std::advance(m, below(static_cast<int64_t>(machines_.size())));
            if (m->second.goneAt < 0) {
                if (chance(0.5))
                    vanish(m->first);
                else
                    drainInstance(m->first);
            }
        }
        at(millis(chance(0.3) ? below(60) : below(2500)), [this] { trouble(); });
    }
    void drainInstance(const std::string& id) {
        machines_[id].draining = true;
        at(millis(4000), [this, id] { vanish(id); });
    }
    void freezeSender(size_t s, int64_t lasts) {
        Sender& x = senders_[s];
        if (!x.dispatch || now_ < x.frozenUntil) return;
        x.frozenUntil = now_ + lasts;
        note("", "sender %zu sleeps %ld", s, lasts);
        // What it gives up on waking: calls whose time passed while it slept.
        at(lasts + 1, [this, s, life = x.life] {
            if (senders_[s].life != life) return;
            std::vector<uint64_t> late;
            for (auto& [id, call] : calls_)
                if (call.sender == s && !call.over && asks_[call.request].deadline <= now())
                    late.push_back(id);
            for (uint64_t id : late) leaveInstance(id), endCall(id, AttemptOutcome::timedOut, 0);
        });
    }
    void moveDuty() {
        if (holder_ < 0) return;
        const auto c = static_cast<size_t>(holder_);
        Core& core = cores_[c];
        if (!holds(c) || !core.planner || core.losing || now_ < core.frozenUntil) return;
        switch (below(5)) {
            case 0: {  // it ends
                ++core.life;
                endDuty(c);
                core.up = false;
                core.guests.clear();
                for (size_t s = 0; s < senders_.size(); ++s) coreEnded(c, s);
                at(millis(500 + below(2500)), [this, c] { cores_[c].up = true; });
                electLater(700, 1400);
                break;
            }
            case 1:
            case 2: {  // it sleeps, and acts by what it knew before it sees that it holds no more
                const int64_t lasts = millis(chance(0.6) ? 700 + below(1500) : below(6000));
                core.frozenUntil = now_ + lasts;
                if (lasts < millis(700)) break;
                core.losing = true;
                const int64_t other = millis(700 + below(600));
                const uint64_t term = term_;
                at(other, [this, term, c] {
                    if (term == term_) elect((c + 1 + static_cast<size_t>(below(2))) % kCores);
                });
                at(lasts + 1 + below(4000), [this, c, generation = core.generation] {
                    if (cores_[c].generation == generation) endDuty(c);
                });
                break;
            }
            case 3:  // it is not heard by a majority
                endDuty(c);
                electLater(20, 600);
                break;
            default:
                renew();
        }
    }
    void coreEnded(size_t c, size_t s) {
        at(1000 + below(16000), [this, c, s, life = senders_[s].life, epoch = senders_[s].wires[c].epoch] {
            inSender(s, life, [this, c, s, epoch](Sender& x) {
                if (x.wires[c].up && x.wires[c].epoch == epoch) closeWire(s, c, false), stand(s);
            });
        });
    }
    void heal() {
        trouble_ = 0;
        for (Sender& x : senders_)
            for (Wire& w : x.wires) w.cutUp = w.cutDown = 0;
    }

    Plan plan_;
    double trouble_ = 1;
    bool calm_ = false, open_ = true;
    Span listLag_;
    std::map<std::string, Machine> machines_;
    std::map<std::string, std::string> byNonce_;
    int made_ = 0;
    std::array<Core, kCores> cores_;
    std::vector<Account> accounts_;
    uint64_t term_ = 0, fence_ = 0;
    int holder_ = -1;
    std::vector<Sender> senders_;
    int agentLives_ = 0, epochs_ = 0;
    std::map<uint64_t, Call> calls_;
    std::map<RequestId, Ask> asks_;
    uint64_t callsMade_ = 0;
    RequestId requests_ = 0;
    std::set<std::string>
        surplus_;  // instances where more may be used than there is, since a stray came back
    long ran_ = 0, full_ = 0, holders_ = 0, strays_ = 0, arrivedCalm_ = 0, passedCalm_ = 0;
};

}  // namespace petrelpond::proxy::slots
