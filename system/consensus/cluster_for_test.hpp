// Cores on simulated machines: their clocks, disks, links, starts and ends. Derived classes check the
// results.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "system/consensus/core.hpp"
#include "system/network/simulation_for_test.hpp"

namespace petrelpond::consensus::sim {

struct Plan {
    uint32_t seed = 1;
    int cores = 3;
    int losses = 1;
    Defect defect = Defect::none;
    bool faults = true;
    double seconds = 25;  // of faults; afterwards everything heals and must work
    bool clients = true;
    int spares = 0;  // cores that start later and may become voters
    // Two seeds may lose their disks before the voters are agreed; progress is not required then.
    bool losesSeedDisks = false;
    bool isolatesHolder = false;   // all but the holder restart while it is isolated
    bool serviceTimings = false;   // the shorter timings of the deployed program instead of the defaults
    bool differingClocks = false;  // differing clocks even if `faults` is false
    // For LossSchedule: disks that refuse writes or hang, which do not count as losses.
    bool diskFaults = false;
};

class Cluster : public simulation::Simulation {
  public:
    explicit Cluster(const Plan& plan) : Simulation(plan.seed), plan_(plan) {
        for (int i = 0; i < plan_.cores + plan_.spares; ++i) {
            nodes_.push_back(Node{"10.0.0." + std::to_string(i + 1)});
            // Clocks differ in their offset, and by up to one sixteenth in their rate.
            if (!plan_.faults && !plan_.differingClocks) continue;
            nodes_.back().clockOffset = below(millis(100000));
            nodes_.back().clockDrift = static_cast<double>(below(62500)) / 1e6;
        }
    }

    virtual ~Cluster() = default;

    // Public, so that tests can script the cluster themselves.
    struct Node {
        NodeId id;
        std::unique_ptr<Core> core = nullptr;
        int incarnation = 0;
        std::optional<DurableState> disk = std::nullopt;
        int64_t clockOffset = 0;
        double clockDrift = 0;
        std::vector<SaveRequest> unsynced = {};
        int64_t frozenUntil = 0;
        int64_t wakeScheduledAt = -1;
        bool diskRefusesWrites = false;  // writes fail
        int64_t diskHangsUntil = 0;      // writes complete no earlier
        bool diskLost = false;           // lost its disk and has not rebuilt it yet
        bool removed = false;            // permanently, or not started yet
        int64_t lostAt = 0;
        // By ticket: whether it is a read, and the value that the result must reach.
        std::map<uint64_t, std::pair<bool, Value>> pendingTickets = {};
    };
    // The time that the machine's clock shows, and the simulated time until it shows a given one.
    Instant clock(size_t i) const {
        const Node& n = nodes_[i];
        const auto run = static_cast<int64_t>(static_cast<double>(now_) * (1 + n.clockDrift));
        return Instant::atMicros(n.clockOffset + run);
    }
    int64_t until(size_t i, Instant shown) const {
        const double left = static_cast<double>((shown - clock(i)).inMicros());
        return static_cast<int64_t>(left / (1 + nodes_[i].clockDrift)) + 1;
    }
    static bool contains(const std::vector<NodeId>& all, const NodeId& n) {
        return std::find(all.begin(), all.end(), n) != all.end();
    }

    // The seeds of the first start or, in a schedule of losses, three machines present when the settings are
    // written.
    std::vector<NodeId> seedsFor(size_t i) {
        if (const auto given = seedOverrides_.find(i); given != seedOverrides_.end()) return given->second;
        std::vector<NodeId> seeds;
        if (!beginLosses_ || now_ < millis(3000)) {
            for (size_t s = 0; s < std::min<size_t>(3, static_cast<size_t>(plan_.cores)); ++s)
                seeds.push_back(nodes_[s].id);
            return seeds;
        }
        for (size_t s = 0; s < nodes_.size(); ++s)
            if (s != i && !nodes_[s].removed) seeds.push_back(nodes_[s].id);
        std::shuffle(seeds.begin(), seeds.end(), random_);
        seeds.resize(std::min<size_t>(seeds.size(), 3));
        return seeds;
    }
    void start(size_t i, bool first) {
        Node& n = nodes_[i];
        if (n.core || n.removed) return;
        Options o;
        o.self = n.id;
        o.seeds = seedsFor(i);
        o.bootstrap = first;
        o.machineLosses = plan_.losses;
        o.randomSeed = random_();
        o.defect = plan_.defect;
        if (plan_.serviceTimings)
            o.heartbeatInterval = Span::millis(150), o.leaseDuration = Span::millis(700);
        ++n.incarnation;
        n.frozenUntil = 0;
        n.wakeScheduledAt = -1;
        n.core = std::make_unique<Core>(clock(i), o, n.disk);
        drain(i);
    }
    void kill(size_t i) {
        Node& n = nodes_[i];
        if (!n.core) return;
        n.core.reset();
        ++n.incarnation;
        n.pendingTickets.clear();
        n.unsynced.clear();
    }
    // Runs f in the core's process, after the end of a freeze.
    void runOn(size_t i, int incarnation, std::function<void(Core&)> f) {
        Node& n = nodes_[i];
        if (n.incarnation != incarnation || !n.core) return;
        if (now_ < n.frozenUntil) {
            at(n.frozenUntil - now_ + below(2000),
               [this, i, incarnation, f = std::move(f)] { runOn(i, incarnation, f); });
            return;
        }
        f(*n.core);
        drain(i);
    }
    void drain(size_t i) {
        Node& n = nodes_[i];
        while (auto o = n.core->nextOutput()) {
            if (auto* s = std::get_if<SendRequest>(&*o)) deliver(i, *s);
            if (auto* s = std::get_if<SaveRequest>(&*o)) store(i, std::move(*s));
            if (auto* a = std::get_if<OperationResult>(&*o)) answered(i, *a);
            if (auto* d = std::get_if<Lease>(&*o)) leaseChanged(i, *d);
        }
        stateChanged(i);
        if (n.diskLost && !n.core->isRecovering() && n.disk && !n.disk->recovering) n.diskLost = false;
        const Instant wanted = n.core->nextWakeup();
        const bool near = wanted - clock(i) < Span::seconds(3600);
        const int64_t wake = now_ + (near ? std::max<int64_t>(1, until(i, wanted)) : millis(3600000));
        if (n.wakeScheduledAt > now_ && n.wakeScheduledAt <= wake) return;
        n.wakeScheduledAt = wake;
        at(wake - now_, [this, i, incarnation = n.incarnation, wake] {
            if (nodes_[i].incarnation != incarnation || nodes_[i].wakeScheduledAt != wake) return;
            runOn(i, incarnation, [this, i](Core& c) {
                nodes_[i].wakeScheduledAt = -1;
                c.tick(clock(i));
            });
        });
    }
    // Far more than any schedule that makes progress sends: the highest rate was 24, with three writers at
    // ten writes a second.
    static constexpr int64_t kMaxSendsPerSecondAndPair = 100;
    void limitSends() {
        const auto pairs = static_cast<int64_t>(nodes_.size() * nodes_.size());
        const int64_t seconds = 10 + now_ / 1000000;
        if (++sends_ > kMaxSendsPerSecondAndPair * pairs * seconds) fail("too many messages sent");
    }
    void deliver(size_t from, const SendRequest& s) {
        limitSends();
        size_t to = 0;
        while (to < nodes_.size() && nodes_[to].id != s.to) ++to;
        if (to == nodes_.size() || cut_.count({from, to})) return;
        if (dropMessage_ && dropMessage_(from, to, s.message)) return;
        if (chance(loss_)) return;
        const int copies = chance(loss_ / 2) ? 2 : 1;
        const auto message = std::make_shared<const Message>(s.message);
        for (int c = 0; c < copies; ++c) {
            int64_t delay = 200 + below(2000);
            if (chance(loss_)) delay += below(millis(chance(0.2) ? 4000 : 600));
            at(delay, [this, from, to, message] {
                if (cut_.count({from, to})) return;
                runOn(to, nodes_[to].incarnation, [this, from, to, message](Core& c) {
                    c.receive(clock(to), nodes_[from].id, *message);
                });
            });
        }
    }
    void store(size_t i, SaveRequest save) {
        Node& n = nodes_[i];
        n.unsynced.push_back(std::move(save));
        const uint64_t token = n.unsynced.back().token;
        int64_t delay = 300 + below(3000);
        if (chance(loss_)) delay += below(millis(300));
        delay += std::max<int64_t>(0, n.diskHangsUntil - now_);
        at(delay, [this, i, token, incarnation = n.incarnation] {
            Node& m = nodes_[i];
            if (m.incarnation != incarnation || !m.core) return;
            if (m.diskRefusesWrites) {
                runOn(i, incarnation, [this, i, token](Core& c) { c.handleSaveFailure(clock(i), token); });
                return;
            }
            for (SaveRequest& s : m.unsynced) {
                if (s.token != token) continue;
                const bool older = m.disk && !m.unsynced.empty() && s.token < syncedToken_[i];
                if (!older) {
                    m.disk = s.state;
                    syncedToken_[i] = s.token;
                }
            }
            std::erase_if(m.unsynced, [&](const SaveRequest& s) { return s.token <= token; });
            runOn(i, incarnation, [this, i, token](Core& c) { c.handleSaved(clock(i), token); });
        });
        if (n.incarnation != incarnationOfToken_[i]) {
            incarnationOfToken_[i] = n.incarnation;
            syncedToken_[i] = 0;
        }
    }

    Plan plan_;
    std::vector<Node> nodes_;
    double loss_ = 0.02;                       // share of messages that are lost
    std::set<std::pair<size_t, size_t>> cut_;  // blocked links as (from, to)
    std::function<void()>
        beginLosses_;  // starts an external schedule of losses; see loss_schedule_for_test.hpp
    std::map<size_t, std::vector<NodeId>> seedOverrides_;  // seeds that a test sets explicitly
    std::function<bool(size_t, size_t, const Message&)>
        dropMessage_;  // returns true for messages that a test drops
    long sends_ = 0;

  protected:
    virtual void answered(size_t i, const OperationResult&) = 0;
    virtual void leaseChanged(size_t i, const Lease&) = 0;
    virtual void stateChanged(size_t i) = 0;  // after every input to that core

  private:
    std::map<size_t, uint64_t> syncedToken_;
    std::map<size_t, int> incarnationOfToken_;
};

}  // namespace petrelpond::consensus::sim
