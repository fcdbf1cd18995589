// Simulates slot assignment in simulated time: planners in control-plane members ("cores") between which the
// planner role moves, senders (an agent and its proxy's real Dispatch), and instances that reject calls
// beyond their slots. Schedules are seeded, inject faults, and are checked against an invariant.
//
// Invariant: the senders that the planner knows never send an instance more calls than it has slots. Slots
// used by an untracked sender do not count, as the planner cannot know of them. A sender is untracked when
// the planner has not heard from it for longer than its silence limit (0.6 s for a sender that was told
// something), when it is not connected as another planner takes over, or when its agent ended while its proxy
// lives. An instance used by an untracked sender is checked again once that sender has sent a full report and
// the excess was returned. In addition, no non-idempotent request executes twice, no request is reported as
// not executed after it was executed, and no instance is stopped while it executes a call.
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

// Deliberate defects; the search has to detect each of them.
enum class Defect : uint8_t {
    none,
    returnsSlotsEarly,    // reports a slot as returned while its call still runs
    grantsBeforeReports,  // a new planner does not wait for the senders' full reports
    acceptsStaleTerms,    // grants of a lower term are applied
    treatsSilentAsEnded,  // a sender that is only silent is treated as ended
};

struct SimulationConfig {
    uint32_t seed = 1;
    Defect defect = Defect::none;
    double seconds = 30;                   // duration of fault injection; then all faults are repaired
    const char* tracedInstance = nullptr;  // prints all events of this instance
};

class SlotSimulation : public simulation::Simulation {
  public:
    explicit SlotSimulation(SimulationConfig plan) : Simulation(plan.seed), config_(plan) {
        senders_.resize(3 + static_cast<size_t>(below(3)));
        senderStatuses_.resize(senders_.size());
        listDelay_ = Span::millis(200 + below(500));
    }

    std::string run() {
        for (size_t c = 0; c < kCores; ++c) at(0, [this, c] { sendHeartbeats(c); });
        for (size_t s = 0; s < senders_.size(); ++s) {
            startSender(s);
            at(millis(below(300)), [this, s] { generateRequests(s); });
        }
        at(millis(100), [this] { electPlanner(0); });
        at(millis(2000), [this] { injectFault(); });
        const int64_t calm = millis(static_cast<int64_t>(config_.seconds * 1000)), end = calm + millis(20000);
        at(calm, [this] { heal(); });
        at(calm + millis(15000), [this] {
            isCalm_ = true;
            for (Sender& x : senders_) x.rate = 5;
        });
        at(end - millis(2000), [this] { areClientsActive_ = false; });
        runUntil(end);
        if (!broken_.empty()) return broken_;
        if (receivedWhileCalm_ < 20 || answeredWhileCalm_ < receivedWhileCalm_ * 0.8)
            return "seed " + std::to_string(config_.seed) + ": " + std::to_string(answeredWhileCalm_) +
                   " of " + std::to_string(receivedWhileCalm_) +
                   " requests answered after all faults were repaired";
        return {};
    }
    long executedCount() const { return executedCount_; }
    // Calls rejected as full, all at instances used by an untracked sender.
    long rejectedCount() const { return rejectedCount_; }
    long electionCount() const { return electionCount_; }
    long untrackedCount() const { return untrackedCount_; }

  private:
    static constexpr size_t kCores = 3;
    Instant now() const { return Instant::atMicros(now_); }
    template <class... Parts>
    void trace(const std::string& id, const char* form, Parts... parts) {
        if (!config_.tracedInstance || (!id.empty() && id != config_.tracedInstance)) return;
        std::printf("%.6f ", static_cast<double>(now_) / 1e6);
        std::printf(form, parts...);
        std::printf("\n");
    }
    // ---- Platform: instances
    struct Service {
        const char* name;
        int slots, boot, target;
    };
    static constexpr std::array<Service, 2> kServices{{{"f", 3, 400, 300}, {"g", 1, 300, 1500}}};
    struct SimulatedInstance {
        const Service* service = nullptr;
        int64_t readyAt = 0, terminatedAt = -1;
        bool draining = false;
        std::set<uint64_t> runningCalls;  // ids of calls
    };
    struct Call {
        size_t sender = 0;
        int senderIncarnation = 0;
        RequestId request = 0;
        std::string instance;
        bool isFinished = false;  // ended for its sender
    };
    void startInstance(size_t c, int generation, const scaler::StartCall& s) {
        at(millis(5 + below(60)), [this, c, generation, s, term = cores_[c].term] {
            std::string id;
            int status = 200;
            if (term < fencingTerm_)
                status = 403;  // the platform's fencing of stale terms
            else if (chance(faultRate_ * 0.1))
                status = 409;
            auto before = instanceByNonce_.find(s.nonce);
            if (status == 200 && before != instanceByNonce_.end()) id = before->second;
            if (status == 200 && id.empty()) {
                id = "i" + std::to_string(++createdInstances_);
                instanceByNonce_[s.nonce] = id;
                SimulatedInstance& m = instances_[id];
                for (const Service& each : kServices)
                    if (each.name == s.service) m.service = &each;
                if (!m.service) return fail("started an unknown service");
                m.readyAt = now_ + millis(m.service->boot * (70 + below(60)) / 100);
            }
            if (chance(faultRate_ * 0.1)) status = 0;  // no response, though the start may have happened
            at(millis(5 + below(60)), [this, c, generation, s, id, status] {
                callPlanner(c, generation, [s, id, status](scaler::Planner& p, Instant now) {
                    if (status == 200)
                        p.onStarted(now, s.nonce, id, "x:" + id);
                    else
                        p.onStartFailed(now, s.nonce, status);
                });
            });
        });
    }
    void stopInstance(size_t c, int generation, const std::string& id) {
        trace(id, "core %zu term %lu requests its stop", c, cores_[c].term);
        at(millis(5 + below(60)),
           [this, c, generation, id, term = cores_[c].term, free = isExcessAllowed(id)] {
               if (term < fencingTerm_) return;
               auto m = instances_.find(id);
               if (m != instances_.end() && m->second.terminatedAt < 0) {
                   if (!m->second.runningCalls.empty() && !free && !isExcessAllowed(id))
                       fail("stopped " + id + " while it executes a call");
                   terminateInstance(id);
               }
               at(millis(5 + below(60)), [this, c, generation, id] {
                   callPlanner(c, generation,
                               [id](scaler::Planner& p, Instant now) { p.onStopped(now, id, 200); });
               });
           });
    }
    void terminateInstance(const std::string& id) {
        SimulatedInstance& m = instances_[id];
        if (m.terminatedAt >= 0) return;
        m.terminatedAt = now_;
        const std::set<uint64_t> all = std::move(m.runningCalls);
        m.runningCalls.clear();
        for (uint64_t call : all) endCall(call, AttemptOutcome::connectionBroken, millis(1 + below(10)));
    }
    void pollInstanceList(size_t c, int generation) {
        if (cores_[c].generation != generation || !cores_[c].planner) return;
        std::vector<scaler::ListedInstance> all;
        for (auto& [id, m] : instances_) {
            const bool listed = m.terminatedAt < 0 ? m.readyAt <= now_
                                                   : now_ < m.terminatedAt + millis(m.draining ? 0 : 2000);
            if (listed)
                all.push_back({id, m.service->name, "x:" + id, "a", "w1", m.service->slots, m.draining});
        }
        at(below(listDelay_.inMicros()), [this, c, generation, all] {
            callPlanner(c, generation,
                        [all](scaler::Planner& p, Instant now) { p.onInstanceList(now, all); });
        });
        at(millis(600), [this, c, generation] { pollInstanceList(c, generation); });
    }

    // ---- Cores and the planner role
    struct Core {
        std::unique_ptr<scaler::Planner> planner;
        int generation = 0, incarnation = 0;
        bool isUp = true;
        uint64_t term = 0;  // its planner's
        uint64_t knownTerm = 0;
        int knownPlanner = -1;
        int64_t frozenUntil = 0, wakeScheduledFor = -1;
        std::map<size_t, int> linkedSenders;  // link epoch by sender
        std::map<size_t, int> agentIncarnations;
        std::map<size_t, int64_t> lastHeardAt;
        bool hasGranted = false, isBeingReplaced = false;  // isBeingReplaced: another core will be elected
        std::set<size_t> syncedSenders;                    // senders that sent this planner a full report
    };
    // What the current planner knows of a sender.
    struct SenderStatus {
        bool isLinked = false, isSynced = false;
        int64_t expiresAt = -1;  // when the sender's slots are released
        bool hasEnded = false;   // its slots are released shortly, whether or not it connects again
    };
    void runInCore(size_t c, int life, std::function<void(Core&)> f) {
        Core& core = cores_[c];
        if (core.incarnation != life || !core.isUp) return;
        if (now_ < core.frozenUntil)
            return at(core.frozenUntil - now_, [this, c, life, f = std::move(f)] { runInCore(c, life, f); });
        f(core);
    }
    void callPlanner(size_t c, int generation, std::function<void(scaler::Planner&, Instant)> f) {
        runInCore(c, cores_[c].incarnation, [this, c, generation, f = std::move(f)](Core& core) {
            if (!core.planner || core.generation != generation) return;
            f(*core.planner, now());
            drainPlanner(c);
        });
    }
    bool isActivePlanner(size_t c) const {
        return static_cast<int>(c) == planner_ && cores_[c].term == term_;
    }
    void drainPlanner(size_t c) {
        Core& core = cores_[c];
        if (!core.planner) return;
        while (auto o = core.planner->next()) {
            if (auto* s = std::get_if<scaler::StartCall>(&*o)) startInstance(c, core.generation, *s);
            if (auto* s = std::get_if<scaler::StopCall>(&*o)) stopInstance(c, core.generation, s->instance);
            if (auto* t = std::get_if<scaler::GrantsMessage>(&*o)) {
                const size_t s = static_cast<size_t>(std::stoi(t->to));
                bool gives = false;
                for (const auto& g : t->grants.grants) gives |= g.slots > 0;
                if (gives && !core.hasGranted) {
                    core.hasGranted = true;  // its waiting period is over: senders that have not reported by
                                             // now are unknown to it
                    for (size_t k = 0; k < senders_.size(); ++k)
                        if (!core.syncedSenders.count(k)) markUntracked(k);
                }
                for (const auto& g : t->grants.grants)
                    trace(g.instance, "core %zu term %lu grants sender %zu: %u", c, core.term, s, g.slots);
                for (const auto& g : t->grants.grants)
                    if (isActivePlanner(c)) senders_[s].lastTold[g.instance] = g.slots;
                if (isActivePlanner(c) && senders_[s].unansweredSince < 0) senders_[s].unansweredSince = now_;
                if (core.linkedSenders.count(s))
                    sendDown(c, s, core.linkedSenders[s], {0, -1, t->grants, true});
            }
        }
        const int64_t wake = std::max(now_ + millis(2), core.planner->wakeAt().inMicros());
        if (core.wakeScheduledFor > now_ && core.wakeScheduledFor <= wake) return;
        core.wakeScheduledFor = wake;
        at(wake - now_, [this, c, generation = core.generation, wake] {
            if (cores_[c].wakeScheduledFor != wake) return;
            callPlanner(c, generation, [this, c](scaler::Planner& p, Instant now) {
                cores_[c].wakeScheduledFor = -1;
                p.tick(now);
            });
        });
    }
    void electPlanner(size_t c) {
        Core& core = cores_[c];
        if (!core.isUp || now_ < core.frozenUntil) return at(millis(50), [this] { electPlanner(anyCore()); });
        term_ += 1 + static_cast<uint64_t>(below(3));
        fencingTerm_ = term_, planner_ = static_cast<int>(c);
        ++electionCount_;
        for (SenderStatus& a : senderStatuses_) a = {};
        for (size_t s = 0; s < senders_.size(); ++s) onSenderAnswered(s);
        // Every second holder does its passes one service at a time.
        const uint64_t maxRecordsPerPass = term_ % 2 == 0 ? 1 : scaler::kMaxRecordsPerPass;
        core.planner =
            std::make_unique<scaler::Planner>(now(), term_, random_(), 150, listDelay_, maxRecordsPerPass);
        core.term = term_, core.hasGranted = core.isBeingReplaced = false, core.wakeScheduledFor = -1;
        core.syncedSenders.clear();
        const int generation = ++core.generation;
        std::vector<scaler::FunctionSpec> specs;
        for (const Service& s : kServices)
            specs.push_back({s.name, 128, Span::millis(s.boot), s.slots, Span::millis(s.target)});
        core.planner->onConfiguration(now(), specs);
        core.planner->onWorkerList(now(), {{"w1", "a", 9000, 9000, false}, {"w2", "b", 9000, 9000, false}});
        for (auto& [s, epoch] : core.linkedSenders) linkSender(c, s);
        pollInstanceList(c, generation);
        drainPlanner(c);
        trace("", "core %zu elected, term %lu", c, term_);
        announcePlanner();
    }
    void renewTerm() {
        if (planner_ < 0) return;
        const auto c = static_cast<size_t>(planner_);
        if (!isActivePlanner(c) || now_ < cores_[c].frozenUntil) return;
        fencingTerm_ = ++term_, cores_[c].term = term_;
        trace("", "core %zu renewed, term %lu", c, term_);
        for (SenderStatus& a : senderStatuses_) a.isSynced = false;
        cores_[c].planner->onTermRenewed(now(), term_);
        drainPlanner(c);
        announcePlanner();
    }
    void announcePlanner() {
        const uint64_t term = term_;
        const int planner = planner_;
        for (size_t k = 0; k < kCores; ++k) {
            auto learn = [this, k, term, planner](Core& core) {
                if (term < core.knownTerm) return;
                core.knownTerm = term, core.knownPlanner = planner;
                for (auto& [s, epoch] : core.linkedSenders) sendDown(k, s, epoch, {term, planner, {}, false});
            };
            if (static_cast<int>(k) == planner)
                learn(cores_[k]);
            else
                at(millis(below(200)),
                   [this, k, life = cores_[k].incarnation, learn] { runInCore(k, life, learn); });
        }
    }
    void sendHeartbeats(size_t c) {  // also disconnects senders whose agent is silent
        runInCore(c, cores_[c].incarnation, [this, c](Core& core) {
            for (auto& [s, epoch] : core.linkedSenders)
                sendDown(c, s, epoch, {core.knownTerm, core.knownPlanner, {}, false});
            std::vector<size_t> silent;
            for (auto& [s, epoch] : core.linkedSenders)
                if (now_ - core.lastHeardAt[s] > millis(3000)) silent.push_back(s);
            for (size_t s : silent) unlinkSender(c, s, false);
        });
        at(millis(250), [this, c] { sendHeartbeats(c); });
    }
    void stopPlanner(size_t c) {  // the core learns that it is not the planner any more
        Core& core = cores_[c];
        core.planner.reset();
        ++core.generation;
    }
    void linkSender(size_t c, size_t s) {
        Core& core = cores_[c];
        if (!core.planner) return;
        const scaler::SenderId id = std::to_string(s);
        trace("", "core %zu: sender %zu linked", c, s);
        core.planner->onSenderLinked(now(), id, s % 2 ? "a" : "b");
        if (isActivePlanner(c)) {
            onSenderAnswered(s);
            senderStatuses_[s].isLinked = true, senderStatuses_[s].isSynced = false;
            if (senderStatuses_[s].expiresAt >= 0 && !senderStatuses_[s].hasEnded)
                senderStatuses_[s].expiresAt = -1;
        }
        if (config_.defect == Defect::grantsBeforeReports) {
            scaler::Report r;
            r.term = core.term, r.isFull = true;
            if (isActivePlanner(c)) senderStatuses_[s].isSynced = true;
            core.syncedSenders.insert(s);
            core.planner->onReport(now(), id, r);
        }
        drainPlanner(c);
    }
    void unlinkSender(size_t c, size_t s, bool closed) {
        Core& core = cores_[c];
        core.linkedSenders.erase(s);
        trace("", "core %zu: sender %zu disconnected%s", c, s, closed ? ", closed" : "");
        if (!core.planner) return;
        const bool told = closed || config_.defect == Defect::treatsSilentAsEnded;
        core.planner->onSenderUnlinked(now(), std::to_string(s), told);
        if (isActivePlanner(c) && (senderStatuses_[s].isLinked || closed)) {
            senderStatuses_[s].isLinked = senderStatuses_[s].isSynced = false;
            const int64_t until = now_ + (closed ? millis(300) : millis(5000));
            senderStatuses_[s].expiresAt = until, senderStatuses_[s].hasEnded = closed;
            at(until - now_, [this, s, until, which = electionCount_] {
                if (which == electionCount_ && senderStatuses_[s].expiresAt == until &&
                    !senderStatuses_[s].isSynced)
                    markUntracked(s);
            });
        }
        drainPlanner(c);
    }

    // ---- Links. Each is ordered. A cut delays messages in transit and drops them once one side closes the
    // link.
    struct DownMessage {  // from a core
        uint64_t term = 0;
        int planner = -1;
        scaler::Grants grants;
        bool isGrants = false;
    };
    struct SimulatedLink {
        int epoch = 0;
        bool isUp = false, isConnecting = false;
        int64_t upCutUntil = 0, downCutUntil = 0;  // end of the cut
        int64_t lastUpArrival = 0, lastDownArrival = 0, lastHeardAt = 0, reconnectDelay = 100000;
    };
    int64_t nextArrivalDelay(int64_t& last, int64_t cut) {
        const int64_t delay = 500 + below(chance(0.05) ? 80000 : 8000);
        last = std::max({last + 1, now_ + delay, cut > now_ ? cut + delay : 0});
        return last - now_;
    }
    void sendDown(size_t c, size_t s, int epoch, DownMessage word) {
        SimulatedLink& w = senders_[s].links[c];
        if (config_.defect == Defect::acceptsStaleTerms && word.isGrants) word.grants.term = 1u << 30;
        const int life = senders_[s].incarnation;
        at(nextArrivalDelay(w.lastDownArrival, w.downCutUntil),
           [this, c, s, epoch, life, word = std::move(word)] {
               runInSender(s, life, [this, c, s, epoch, word](Sender& x) {
                   SimulatedLink& wire = x.links[c];
                   if (!wire.isUp || wire.epoch != epoch) return;
                   wire.lastHeardAt = now_;
                   if (!word.isGrants) return onPlannerAnnounced(s, word.term, word.planner);
                   if (static_cast<int>(c) == x.planner || config_.defect == Defect::acceptsStaleTerms)
                       applyGrants(s, word.grants);
               });
           });
    }
    void sendUp(size_t s, size_t c, std::function<void(Core&)> f) {
        SimulatedLink& w = senders_[s].links[c];
        const int epoch = w.epoch, life = cores_[c].incarnation;
        at(nextArrivalDelay(w.lastUpArrival, w.upCutUntil), [this, s, c, epoch, life, f = std::move(f)] {
            runInCore(c, life, [s, epoch, f, this](Core& core) {
                auto g = core.linkedSenders.find(s);
                if (g == core.linkedSenders.end() || g->second != epoch) return;
                core.lastHeardAt[s] = now_;
                f(core);
            });
        });
    }
    void connect(size_t s, size_t c) {
        SimulatedLink& w = senders_[s].links[c];
        if (w.isUp || w.isConnecting || !senders_[s].isAgentUp) return;
        w.isConnecting = true;
        const int64_t pause = w.reconnectDelay;
        w.reconnectDelay = std::min<int64_t>(w.reconnectDelay * 2, millis(400));
        const bool through = now_ >= w.upCutUntil && now_ >= w.downCutUntil && cores_[c].isUp;
        const int life = senders_[s].incarnation, agentLife = senders_[s].agentIncarnation;
        if (!through) {
            return at(std::max(pause, millis(240)), [this, s, c, life, agentLife] {
                if (senders_[s].incarnation != life || senders_[s].agentIncarnation != agentLife) return;
                senders_[s].links[c].isConnecting = false;
                runInSender(s, life, [this, s, c](Sender&) { connect(s, c); });
            });
        }
        at(1000 + below(16000), [this, s, c, life, agentLife] {
            runInSender(s, life, [this, s, c, agentLife](Sender& x) {
                if (x.agentIncarnation != agentLife || !x.isAgentUp) return;
                SimulatedLink& wire = x.links[c];
                wire.isConnecting = false, wire.isUp = true, wire.lastHeardAt = now_,
                wire.reconnectDelay = millis(100);
                const int epoch = ++lastEpoch_;
                wire.epoch = epoch;
                at(nextArrivalDelay(wire.lastUpArrival, wire.upCutUntil),
                   [this, s, c, epoch, agent = x.agentIncarnation, life = cores_[c].incarnation] {
                       runInCore(c, life, [this, s, c, epoch, agent](Core& core) {
                           if (core.linkedSenders.count(s))
                               unlinkSender(c, s, core.agentIncarnations[s] != agent);
                           core.linkedSenders[s] = epoch, core.agentIncarnations[s] = agent,
                           core.lastHeardAt[s] = now_;
                           linkSender(c, s);
                           sendDown(c, s, epoch, {core.knownTerm, core.knownPlanner, {}, false});
                       });
                   });
                updateDispatchStatus(s);
            });
        });
    }
    // The agent closes the link, or its end is noticed. Its last packet, if any, tells the core.
    void closeLink(size_t s, size_t c, bool tell) {
        SimulatedLink& w = senders_[s].links[c];
        if (!w.isUp) return;
        trace("", "sender %zu closes link to core %zu, up cut %ld, down cut %ld", s, c, w.upCutUntil - now_,
              w.downCutUntil - now_);
        w.isUp = false;
        const int epoch = w.epoch, life = cores_[c].incarnation;
        if (tell) {
            at(nextArrivalDelay(w.lastUpArrival, w.upCutUntil), [this, s, c, epoch, life] {
                runInCore(c, life, [this, s, c, epoch](Core& core) {
                    auto g = core.linkedSenders.find(s);
                    if (g != core.linkedSenders.end() && g->second == epoch) unlinkSender(c, s, true);
                });
            });
        }
    }

    // ---- Senders: agent and proxy
    struct Sender {
        std::unique_ptr<Dispatch> dispatch;
        int incarnation = 0, agentIncarnation = 0;
        bool isAgentUp = true;
        int64_t frozenUntil = 0, wakeScheduledFor = -1;
        uint64_t term = 0;
        int planner = -1;
        uint64_t reportedTerm = 0;
        bool reportedLinked = false;
        uint64_t grantTerm = 0;
        std::array<SimulatedLink, kCores> links;
        // Slots as granted and as last sent by the planner; calls in flight.
        std::map<std::string, uint32_t> granted, lastTold, inFlight;
        bool isUntracked = false;
        std::set<std::string> reassignable;  // instances whose slots it was too late to return
        int64_t unansweredSince = -1;        // since when the planner has sent it something without an answer
        double rate = 5;
    };
    struct RequestRecord {
        bool isNonIdempotent = false, hasExecuted = false;
        const char* service = "";
        Instant deadline;
    };
    void runInSender(size_t s, int life, std::function<void(Sender&)> f) {
        Sender& x = senders_[s];
        if (x.incarnation != life || !x.dispatch) return;
        if (now_ < x.frozenUntil)
            return at(x.frozenUntil - now_, [this, s, life, f = std::move(f)] { runInSender(s, life, f); });
        f(x);
        drainDispatch(s);
    }
    void startSender(size_t s) {
        Sender& x = senders_[s];
        ++x.incarnation, x.agentIncarnation = ++lastAgentIncarnation_;
        x.isAgentUp = true, x.frozenUntil = 0, x.wakeScheduledFor = -1;
        x.term = x.reportedTerm = x.grantTerm = 0, x.planner = -1, x.reportedLinked = false;
        x.granted.clear(), x.lastTold.clear(), x.inFlight.clear(), x.reassignable.clear(),
            x.isUntracked = false, x.unansweredSince = -1;
        Dispatch::Options o;
        o.seed = random_(), o.zone = s % 2 ? "a" : "b";
        x.dispatch = std::make_unique<Dispatch>(now(), o);
        std::vector<ServiceSpec> specs;
        for (const Service& each : kServices)
            specs.push_back({each.name, each.slots, Span::millis(each.boot)});
        x.dispatch->updateServices(now(), specs);
        for (size_t c = 0; c < kCores; ++c) {
            x.links[c].isConnecting = x.links[c].isUp = false;
            connect(s, c);
        }
        runAgentTimer(s, x.incarnation);
        drainDispatch(s);
    }
    void killSender(size_t s, bool power) {
        Sender& x = senders_[s];
        if (!x.dispatch) return;
        x.dispatch.reset();
        trace("", "sender %zu killed%s", s, power ? ", power" : "");
        ++x.incarnation;
        for (size_t c = 0; c < kCores; ++c) closeLink(s, c, !power), x.links[c].isConnecting = false;
        for (auto& [id, call] : calls_) {  // instances drop the calls of closed connections
            if (call.sender != s || call.isFinished) continue;
            call.isFinished = true;
            at(power ? millis(below(1500)) : millis(below(200)),
               [this, id = id] { removeCallFromInstance(id); });
        }
        // Its calls in flight run on for a moment, and the planner knows of them only if it was told. After a
        // power loss no connection is reset, so instances execute them for longer than the slots of an ended
        // sender are reserved.
        if (x.isUntracked || power || !senderStatuses_[s].isSynced || x.unansweredSince >= 0 ||
            !x.reassignable.empty())
            for (auto& [id, n] : x.inFlight)
                if (n > 0) oversubscribed_.insert(id);
        x.granted.clear(), x.lastTold.clear(), x.inFlight.clear(), x.reassignable.clear(),
            x.isUntracked = false, x.unansweredSince = -1;
        at(millis(300 + below(3000)), [this, s] { startSender(s); });
    }
    void killAgent(size_t s) {  // the agent alone: its proxy continues with the slots it holds
        Sender& x = senders_[s];
        if (!x.dispatch || !x.isAgentUp || now_ < x.frozenUntil) return;
        x.isAgentUp = false, x.agentIncarnation = ++lastAgentIncarnation_;
        trace("", "agent of sender %zu ends", s);
        for (size_t c = 0; c < kCores; ++c) closeLink(s, c, true), x.links[c].isConnecting = false;
        x.term = 0, x.planner = -1, x.reportedTerm = 0, x.reportedLinked = false;
        x.dispatch->onPlannerDisconnected();
        drainDispatch(s);
        at(millis(100 + below(1500)), [this, s, life = x.incarnation] {
            runInSender(s, life, [this, s](Sender& y) {
                y.isAgentUp = true, y.agentIncarnation = ++lastAgentIncarnation_;
                for (size_t c = 0; c < kCores; ++c) connect(s, c);
            });
        });
    }
    void runAgentTimer(size_t s, int life) {
        at(millis(250), [this, s, life] {
            runInSender(s, life, [this, s, life](Sender& x) {
                for (size_t c = 0; c < kCores && x.isAgentUp; ++c) {
                    SimulatedLink& w = x.links[c];
                    if (w.isUp && now_ - w.lastHeardAt > millis(2200))
                        closeLink(s, c, true), updateDispatchStatus(s);
                    if (!w.isUp) connect(s, c);
                    if (w.isUp) sendUp(s, c, [](Core&) {});
                }
                runAgentTimer(s, life);
            });
        });
    }
    void onPlannerAnnounced(size_t s, uint64_t term, int planner) {
        Sender& x = senders_[s];
        if (term > x.term || (term == x.term && x.planner < 0 && planner >= 0)) {
            x.term = term, x.planner = planner;
            updateDispatchStatus(s);
        }
    }
    void updateDispatchStatus(size_t s) {
        Sender& x = senders_[s];
        const bool linked = x.planner >= 0 && x.links[static_cast<size_t>(x.planner)].isUp;
        if (x.reportedTerm == x.term && x.reportedLinked == linked) return;
        x.reportedTerm = x.term, x.reportedLinked = linked;
        x.dispatch->updatePlannerStatus(now(), x.term, linked, static_cast<uint32_t>(senders_.size()));
        x.grantTerm = std::max(x.grantTerm, x.term);
        drainDispatch(s);
    }
    void applyGrants(size_t s, const scaler::Grants& grants) {
        Sender& x = senders_[s];
        if (grants.term >= x.grantTerm) {
            for (const auto& g : grants.grants)
                trace(g.instance, "sender %zu granted %u (%u in flight), term %lu", s, g.slots,
                      x.inFlight[g.instance], grants.term);
            x.grantTerm =
                std::max(x.grantTerm, config_.defect == Defect::acceptsStaleTerms ? 0 : grants.term);
            for (const auto& g : grants.grants)
                x.granted[g.instance] = g.slots, clearOversubscriptionIfResolved(g.instance);
        }
        x.dispatch->applyGrants(now(), grants);
    }
    void drainDispatch(size_t s) {
        Sender& x = senders_[s];
        if (!x.dispatch) return;
        while (auto o = x.dispatch->next()) {
            if (auto* to = std::get_if<SendRequest>(&*o)) startCall(s, *to);
            if (auto* p = std::get_if<ProbeInstance>(&*o)) probeInstance(s, p->instance);
            if (auto* r = std::get_if<RejectRequest>(&*o)) {
                if (isCalm_)
                    trace("", "sender %zu rejects request %lu of %s", s, r->id,
                          requestRecords_[r->id].service);
                if (requestRecords_[r->id].hasExecuted)
                    fail("rejected a request as not executed that was executed");
            }
            if (std::get_if<ForwardResponse>(&*o) && isCalm_) ++answeredWhileCalm_;
            if (auto* t = std::get_if<SendReport>(&*o)) sendReport(s, std::move(t->report));
        }
        const int64_t wake = std::max(now_ + 500, x.dispatch->wakeAt().inMicros());
        if (x.wakeScheduledFor > now_ && x.wakeScheduledFor <= wake) return;
        x.wakeScheduledFor = wake;
        at(wake - now_, [this, s, life = x.incarnation, wake] {
            if (senders_[s].incarnation != life || senders_[s].wakeScheduledFor != wake) return;
            runInSender(s, life, [this](Sender& y) {
                y.wakeScheduledFor = -1;
                y.dispatch->tick(now());
            });
        });
    }
    void sendReport(size_t s, scaler::Report r) {
        Sender& x = senders_[s];
        if (x.planner < 0 || !x.isAgentUp) return;
        const auto c = static_cast<size_t>(x.planner);
        if (!x.links[c].isUp) return;
        if (config_.defect == Defect::returnsSlotsEarly)
            for (auto& h : r.held) h.slots = x.granted[h.instance], h.busy = std::min(h.busy, h.slots);
        for (const auto& h : r.held)
            trace(h.instance, "sender %zu reports%s %u held %u busy, term %lu", s, r.isFull ? " full" : "",
                  h.slots, h.busy, r.term);
        sendUp(s, c, [this, s, c, r = std::move(r)](Core& core) {
            if (!core.planner) return;
            for (const auto& h : r.held)
                trace(h.instance, "core %zu receives from sender %zu%s %u held %u busy, term %lu", c, s,
                      r.isFull ? " full" : "", h.slots, h.busy, r.term);
            if (r.isFull) trace("", "core %zu receives full report of sender %zu, term %lu", c, s, r.term);
            core.planner->onReport(now(), std::to_string(s), r);
            if (r.isFull && r.term == core.term) core.syncedSenders.insert(s);
            if (isActivePlanner(c) && r.term == term_) onSenderAnswered(s);
            if (isActivePlanner(c) && r.term == term_ && r.isFull && !senderStatuses_[s].isSynced)
                onSenderSynced(s);
            drainPlanner(c);
        });
    }
    void probeInstance(size_t s, InstanceIndex ix) {
        const InstanceInfo* v = senders_[s].dispatch->findInstance(ix);
        if (!v) return;
        at(1000 + below(15000), [this, s, ix, id = v->id, life = senders_[s].incarnation] {
            auto m = instances_.find(id);
            const bool up = m != instances_.end() && m->second.terminatedAt < 0 && m->second.readyAt <= now_;
            runInSender(s, life, [this, ix, id, up](Sender& x) {
                const InstanceInfo* still = x.dispatch->findInstance(ix);
                if (still && still->id == id) x.dispatch->onProbeResult(now(), ix, up);
            });
        });
    }
    void startCall(size_t s, const SendRequest& to) {
        Sender& x = senders_[s];
        const InstanceInfo* v = x.dispatch->findInstance(to.instance);
        if (!v) return fail("sent to an unknown instance");
        const uint64_t id = ++lastCallId_;
        calls_[id] = {s, x.incarnation, to.id, v->id};
        ++x.inFlight[v->id];
        const RequestRecord& record = requestRecords_[to.id];
        const Instant timeoutAt = to.attemptTimeout > Span() ? now() + to.attemptTimeout : record.deadline;
        at(std::max<int64_t>(1, timeoutAt.inMicros() - now_), [this, id] {
            auto found = calls_.find(id);
            if (found == calls_.end() || found->second.isFinished) return;
            if (now_ < senders_[found->second.sender].frozenUntil) return;  // not while it is suspended
            removeCallFromInstance(id);
            endCall(id, AttemptOutcome::timedOut, 0);
        });
        at(500 + below(8000), [this, id] { onCallArrived(id); });
    }
    void onCallArrived(uint64_t id) {
        auto found = calls_.find(id);
        if (found == calls_.end() || found->second.isFinished) return;
        const Call call = found->second;
        auto m = instances_.find(call.instance);
        if (m == instances_.end() || m->second.terminatedAt >= 0 || m->second.readyAt > now_)
            return endCall(id, AttemptOutcome::connectFailed, 500 + below(8000));
        SimulatedInstance& machine = m->second;
        if (static_cast<int>(machine.runningCalls.size()) >= machine.service->slots) {
            ++rejectedCount_;
            trace(call.instance, "call %lu of sender %zu is rejected as full", id, call.sender);
            if (isCalm_ || !isExcessAllowed(call.instance))
                fail(call.instance + " was sent more calls than it has slots");
            return endCall(id, AttemptOutcome::notExecuted, 500 + below(8000));
        }
        RequestRecord& record = requestRecords_[call.request];
        if (record.isNonIdempotent && record.hasExecuted) fail("a non-idempotent request was executed twice");
        record.hasExecuted = true;
        ++executedCount_;
        machine.runningCalls.insert(id);
        trace(call.instance, "call %lu of sender %zu runs, %zu running", id, call.sender,
              machine.runningCalls.size());
        const int64_t work = millis(5 + below(chance(0.1) ? 1200 : 150));
        at(work, [this, id, work] {
            removeCallFromInstance(id);
            const bool lost = chance(faultRate_ * 0.05);  // the response is lost; the connection stays open
            if (lost) return;
            const bool bad = chance(faultRate_ * 0.1);
            endCall(id,
                    !bad          ? AttemptOutcome::answered
                    : chance(0.5) ? AttemptOutcome::serverError
                                  : AttemptOutcome::connectionBroken,
                    500 + below(8000));
        });
    }
    void removeCallFromInstance(uint64_t id) {
        auto found = calls_.find(id);
        if (found == calls_.end()) return;
        auto m = instances_.find(found->second.instance);
        if (m != instances_.end() && m->second.runningCalls.erase(id) > 0)
            trace(found->second.instance, "call %lu of sender %zu done", id, found->second.sender);
    }
    void endCall(uint64_t id, AttemptOutcome how, int64_t delay) {
        at(delay, [this, id, how] {
            auto found = calls_.find(id);
            if (found == calls_.end() || found->second.isFinished) return;
            const Call call = found->second;
            runInSender(call.sender, call.senderIncarnation, [this, id, call, how](Sender& x) {
                auto still = calls_.find(id);
                if (still == calls_.end() || still->second.isFinished) return;
                calls_.erase(still);
                --x.inFlight[call.instance];
                x.dispatch->onAttemptEnded(now(), call.request, how);
                clearOversubscriptionIfResolved(call.instance);
            });
        });
    }
    void generateRequests(size_t s) {
        Sender& x = senders_[s];
        if (x.dispatch && now_ >= x.frozenUntil && areClientsActive_) {
            const RequestId id = ++lastRequestId_;
            static constexpr int kTimes[] = {400, 1000, 3000};
            const Span left = Span::millis(isCalm_ ? 3000 : kTimes[below(3)]);
            IncomingRequest a{id,
                              below(3) ? "f" : "g",
                              below(2) == 0,
                              static_cast<int>(below(3)),
                              1 + static_cast<int>(below(3)),
                              now() + left,
                              Span::millis(400),
                              left};
            RequestRecord& record = requestRecords_[id];
            record.isNonIdempotent = !a.isIdempotent, record.deadline = a.deadline;
            record.service = a.service == "f" ? "f" : "g";
            if (isCalm_) ++receivedWhileCalm_;
            x.dispatch->onRequest(now(), a);
            drainDispatch(s);
        }
        if (chance(0.02) && !isCalm_) x.rate = chance(0.3) ? 25 : 1 + static_cast<double>(below(8));
        at(static_cast<int64_t>(2e6 / x.rate * static_cast<double>(below(1000)) / 1000),
           [this, s] { generateRequests(s); });
    }

    // ---- Which senders are tracked, and which excess this allows
    //
    // If a sender that was told something does not answer, its revoked idle slots may be given to others.
    static constexpr int64_t kUnansweredLimitUs = 590000;
    bool isUnansweredTooLong(const Sender& x) const {
        return x.unansweredSince >= 0 && now_ - x.unansweredSince >= kUnansweredLimitUs;
    }
    void onSenderAnswered(size_t s) {
        Sender& x = senders_[s];
        if (isUnansweredTooLong(x))
            for (auto& [id, m] : instances_)
                if (usesMoreThanTold(x, id)) x.reassignable.insert(id);
        x.unansweredSince = -1;
    }
    // Whether it may still use slots that the planner has revoked.
    static bool usesMoreThanTold(const Sender& x, const std::string& id) {
        auto told = x.lastTold.find(id);
        return told != x.lastTold.end() && slotsInUse(x, id) > told->second;
    }
    void markOversubscribed(const Sender& x) {
        for (auto& [id, m] : instances_)
            if (slotsInUse(x, id) > 0) oversubscribed_.insert(id), clearOversubscriptionIfResolved(id);
    }
    void markUntracked(size_t s) {
        Sender& x = senders_[s];
        if (!x.dispatch || x.isUntracked) return;
        x.isUntracked = true;
        trace("", "sender %zu is untracked", s);
        ++untrackedCount_;
    }
    void onSenderSynced(size_t s) {
        senderStatuses_[s].isSynced = true, senderStatuses_[s].expiresAt = -1,
        senderStatuses_[s].hasEnded = false;
        Sender& x = senders_[s];
        for (const std::string& id : x.reassignable) oversubscribed_.insert(id);
        x.lastTold.clear(), x.reassignable.clear();
        if (!x.isUntracked) return;
        x.isUntracked = false;
        trace("", "sender %zu is tracked again", s);
        markOversubscribed(x);
    }
    static uint32_t slotsInUse(const Sender& x, const std::string& id) {
        uint32_t most = 0;
        for (const auto* each : {&x.granted, &x.lastTold, &x.inFlight})
            if (auto found = each->find(id); found != each->end()) most = std::max(most, found->second);
        return most;
    }
    // An oversubscription ends once all slots that may be used fit into the instance again.
    void clearOversubscriptionIfResolved(const std::string& id) {
        if (oversubscribed_.empty() || !oversubscribed_.count(id)) return;
        uint32_t sum = 0;
        for (const Sender& x : senders_) sum += slotsInUse(x, id);
        for (uint64_t call : instances_[id].runningCalls)
            if (calls_[call].isFinished) return;  // of a sender that has ended
        if (sum <= static_cast<uint32_t>(instances_[id].service->slots)) oversubscribed_.erase(id);
    }
    bool isExcessAllowed(const std::string& id) {
        clearOversubscriptionIfResolved(id);
        if (oversubscribed_.count(id)) return true;
        for (const Sender& x : senders_)
            if ((x.isUntracked && slotsInUse(x, id) > 0) ||
                (isUnansweredTooLong(x) && usesMoreThanTold(x, id)))
                return true;
        for (Sender& x : senders_) {
            if (!x.reassignable.count(id)) continue;
            if (usesMoreThanTold(x, id)) return true;
            x.reassignable.erase(id), oversubscribed_.insert(id), clearOversubscriptionIfResolved(id);
            if (oversubscribed_.count(id)) return true;
        }
        return false;
    }

    // ---- Faults
    size_t anyCore() { return static_cast<size_t>(below(kCores)); }
    size_t anySender() { return static_cast<size_t>(below(static_cast<int64_t>(senders_.size()))); }
    void scheduleElection(int64_t from, int64_t to) {
        const uint64_t term = term_;
        at(millis(from + below(to - from)), [this, term] {
            if (term == term_) electPlanner(anyCore());
        });
    }
    void injectFault() {
        if (faultRate_ == 0) return;
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
                if (ways != 1) senders_[s].links[c].upCutUntil = until;
                if (ways != 2) senders_[s].links[c].downCutUntil = until;
            }
        } else if (kind < 80) {
            disruptPlanner();
        } else if (!instances_.empty()) {
            auto m = instances_.begin();
            std::advance(m, below(static_cast<int64_t>(instances_.size())));
            if (m->second.terminatedAt < 0) {
                if (chance(0.5))
                    terminateInstance(m->first);
                else
                    drainInstance(m->first);
            }
        }
        at(millis(chance(0.3) ? below(60) : below(2500)), [this] { injectFault(); });
    }
    void drainInstance(const std::string& id) {
        instances_[id].draining = true;
        at(millis(4000), [this, id] { terminateInstance(id); });
    }
    void freezeSender(size_t s, int64_t lasts) {
        Sender& x = senders_[s];
        if (!x.dispatch || now_ < x.frozenUntil) return;
        x.frozenUntil = now_ + lasts;
        trace("", "sender %zu is suspended for %ld", s, lasts);
        // Attempts whose deadline passed while the sender was suspended end when it resumes.
        at(lasts + 1, [this, s, life = x.incarnation] {
            if (senders_[s].incarnation != life) return;
            std::vector<uint64_t> late;
            for (auto& [id, call] : calls_)
                if (call.sender == s && !call.isFinished && requestRecords_[call.request].deadline <= now())
                    late.push_back(id);
            for (uint64_t id : late) removeCallFromInstance(id), endCall(id, AttemptOutcome::timedOut, 0);
        });
    }
    void disruptPlanner() {
        if (planner_ < 0) return;
        const auto c = static_cast<size_t>(planner_);
        Core& core = cores_[c];
        if (!isActivePlanner(c) || !core.planner || core.isBeingReplaced || now_ < core.frozenUntil) return;
        switch (below(5)) {
            case 0: {  // the core ends
                ++core.incarnation;
                stopPlanner(c);
                core.isUp = false;
                core.linkedSenders.clear();
                for (size_t s = 0; s < senders_.size(); ++s) closeLinkOfStoppedCore(c, s);
                at(millis(500 + below(2500)), [this, c] { cores_[c].isUp = true; });
                scheduleElection(700, 1400);
                break;
            }
            case 1:
            case 2: {  // the core is suspended, and acts on outdated knowledge before it learns that it is
                       // not the planner
                const int64_t lasts = millis(chance(0.6) ? 700 + below(1500) : below(6000));
                core.frozenUntil = now_ + lasts;
                if (lasts < millis(700)) break;
                core.isBeingReplaced = true;
                const int64_t other = millis(700 + below(600));
                const uint64_t term = term_;
                at(other, [this, term, c] {
                    if (term == term_) electPlanner((c + 1 + static_cast<size_t>(below(2))) % kCores);
                });
                at(lasts + 1 + below(4000), [this, c, generation = core.generation] {
                    if (cores_[c].generation == generation) stopPlanner(c);
                });
                break;
            }
            case 3:  // the core loses its majority
                stopPlanner(c);
                scheduleElection(20, 600);
                break;
            default:
                renewTerm();
        }
    }
    void closeLinkOfStoppedCore(size_t c, size_t s) {
        at(1000 + below(16000),
           [this, c, s, life = senders_[s].incarnation, epoch = senders_[s].links[c].epoch] {
               runInSender(s, life, [this, c, s, epoch](Sender& x) {
                   if (x.links[c].isUp && x.links[c].epoch == epoch)
                       closeLink(s, c, false), updateDispatchStatus(s);
               });
           });
    }
    void heal() {
        faultRate_ = 0;
        for (Sender& x : senders_)
            for (SimulatedLink& w : x.links) w.upCutUntil = w.downCutUntil = 0;
    }

    SimulationConfig config_;
    double faultRate_ = 1;
    bool isCalm_ = false, areClientsActive_ = true;
    Span listDelay_;
    std::map<std::string, SimulatedInstance> instances_;
    std::map<std::string, std::string> instanceByNonce_;
    int createdInstances_ = 0;
    std::array<Core, kCores> cores_;
    std::vector<SenderStatus> senderStatuses_;
    uint64_t term_ = 0, fencingTerm_ = 0;
    int planner_ = -1;
    std::vector<Sender> senders_;
    int lastAgentIncarnation_ = 0, lastEpoch_ = 0;
    std::map<uint64_t, Call> calls_;
    std::map<RequestId, RequestRecord> requestRecords_;
    uint64_t lastCallId_ = 0;
    RequestId lastRequestId_ = 0;
    std::set<std::string> oversubscribed_;  // instances of which more slots may be in use than exist, since
                                            // an untracked sender returned
    long executedCount_ = 0, rejectedCount_ = 0, electionCount_ = 0, untrackedCount_ = 0,
         receivedWhileCalm_ = 0, answeredWhileCalm_ = 0;
};

}  // namespace petrelpond::proxy::slots
