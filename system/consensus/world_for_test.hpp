// A simulated cluster of Cores with random clients, faults and invariant checks, all derived from the plan's
// seed.
#pragma once

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "system/consensus/cluster_for_test.hpp"

namespace petrelpond::consensus::sim {

class World : public Cluster {
  public:
    explicit World(const Plan& plan) : Cluster(plan) {}

    // Returns the broken invariant; empty if all held.
    std::string run() {
        const size_t first = static_cast<size_t>(plan_.cores);
        for (size_t i = 0; i < first; ++i) at(below(300) + 1, [this, i] { start(i, true); });
        for (size_t i = first; i < nodes_.size() && !beginLosses_; ++i)
            at(millis(6000 + below(3000)), [this, i] { start(i, false); });
        if (beginLosses_) beginLosses_();
        if (plan_.spares > 0 && plan_.faults) at(millis(7000 + below(3000)), [this] { changeVoters(); });
        if (plan_.clients) at(1, [this] { runClient(); });
        if (plan_.faults) at(millis(500 + below(4000)), [this] { injectFault(); });
        if (plan_.losesSeedDisks) {
            const auto one = static_cast<size_t>(below(3));
            at(millis(below(4000)), [this, one] { loseDisk(one, false); });
            at(millis(below(4000)), [this, one] { loseDisk((one + 1) % 3, false); });
        }
        const int64_t healAt = millis(static_cast<int64_t>(plan_.seconds * 1000));
        at(healAt, [this] { heal(); });
        const int64_t end = healAt + millis(25000);
        at(end - kQuietPeriodMillis * 1000, [this] { quiet_ = true; });
        at(end - millis(6000) - kQuietPeriodMillis * 1000, [this] {
            writesBeforeEnd_ = doneWrites_;
            readsBeforeEnd_ = doneReads_;
        });
        runUntil(end);
        if (std::getenv("CONSENSUS_TRACE")) describe();
        if (!broken_.empty()) return broken_;
        if (seedsLost_.size() > 1)
            return {};  // no core may restart the bootstrap, see Core::restartBootstrap
        if (plan_.clients && doneWrites_ - writesBeforeEnd_ < 3) return "no writes done after all has healed";
        if (plan_.clients && doneReads_ - readsBeforeEnd_ < 3) return "no reads done after all has healed";
        int holders = 0, recovering = 0;
        for (const Node& n : nodes_) {
            holders += n.core && n.core->lease().held;
            recovering += n.core && n.core->isRecovering();
        }
        uint64_t epoch = 0;
        for (const Node& n : nodes_) epoch = std::max(epoch, n.core ? n.core->epoch() : 0);
        for (const Node& n : nodes_) {
            if (n.core && n.core->epoch() != epoch) return "cores in different epochs after all has healed";
        }
        for (const Node& n : nodes_) {
            if (n.core && acknowledged_.version > 0 &&
                (!n.core->newestValue() || n.core->newestValue()->version < acknowledged_.version))
                return n.id + " is behind after changes have paused";
        }
        if (holders != 1) return std::to_string(holders) + " holders after all has healed";
        if (recovering != 0) return "still recovering after all has healed";
        return {};
    }
    void describe() const {
        for (const Node& n : nodes_) {
            if (!n.core) continue;
            std::printf("%s epoch %lu recovering %d entering %d holds %d wiped %d\n", n.id.c_str(),
                        n.core->epoch(), n.core->isRecovering(), n.disk ? n.disk->takeoverState : -1,
                        n.core->lease().held, n.diskLost);
        }
    }
    int doneWrites() const { return doneWrites_; }
    int conflicts() const { return conflicts_; }
    int doneReads() const { return doneReads_; }
    int terms() const { return static_cast<int>(lastTerm_); }
    int disksLost() const { return disksLost_; }
    int changes() const { return static_cast<int>(newestEpoch_) - 1; }
    bool startBlocked() const { return seedsLost_.size() > 1; }
    int holder() const {  // -1: none
        for (size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[i].core && nodes_[i].core->lease().held) return static_cast<int>(i);
        }
        return -1;
    }

    std::vector<NodeId> firstVoters() const {
        return voterSets_.empty() ? std::vector<NodeId>{} : voterSets_.begin()->second;
    }

    // ---- clients: writes of rising versions, and reads, at random cores
    void runClient() {
        if (quiet_) return;
        const size_t i = anyNode();
        Node& n = nodes_[i];
        if (n.core && now_ >= n.frozenUntil) {
            if (chance(0.5)) {
                if (chance(0.85)) version_ += 1 + below(3);
                const int64_t version = std::max<int64_t>(1, version_ - (chance(0.15) ? below(4) : 0));
                const Value first = randomValue(version);
                writeAt(i, first);
                // Another operator at another core, at the same instant or soon after: another value of the
                // same version, or the same write again.
                if (chance(0.2)) {
                    const Value second = chance(0.7) ? randomValue(version) : first;
                    at(chance(0.5) ? 1 : below(millis(300)), [this, second] { writeAt(anyNode(), second); });
                }
            } else {
                const uint64_t ticket = ++ticket_;
                n.pendingTickets[ticket] = {true, acknowledged_};
                n.core->read(clock(i), ticket);
            }
            drain(i);
        }
        at(millis(20) + below(millis(250)), [this] { runClient(); });
    }
    size_t anyNode() {
        size_t i = 0;
        do i = static_cast<size_t>(below(static_cast<int64_t>(nodes_.size())));
        while (nodes_[i].removed);
        return i;
    }
    Value randomValue(int64_t version) {
        Value v;
        v.version = version;
        v.digest = random_();
        v.body = std::to_string(v.version) + ":" + std::to_string(v.digest);
        return v;
    }
    void writeAt(size_t i, const Value& value) {
        Node& n = nodes_[i];
        if (!n.core || now_ < n.frozenUntil) return;
        const uint64_t ticket = ++ticket_;
        n.pendingTickets[ticket] = {false, value};
        n.core->write(clock(i), ticket, std::make_shared<const Value>(value));
        drain(i);
    }
    void answered(size_t i, const OperationResult& a) override {
        const auto it = nodes_[i].pendingTickets.find(a.ticket);
        if (changing_.erase(a.ticket) > 0) return;
        if (it == nodes_[i].pendingTickets.end()) return fail("an answer nobody asked for");
        const auto [reading, wanted] = it->second;
        nodes_[i].pendingTickets.erase(it);
        if (a.outcome != OperationResult::done && a.outcome != OperationResult::conflict) return;
        const Value none;
        const Value& got = a.value ? *a.value : none;
        const bool same = got.version == wanted.version && got.digest == wanted.digest;
        if (got.version < wanted.version) {
            fail(std::string(reading ? "a read" : "a write") + " got " + std::to_string(got.version) +
                 " where " + std::to_string(wanted.version) + " was known before");
        }
        // Each version has one value forever, at every core.
        if (got.version > 0) {
            const uint64_t digest = digests_.emplace(got.version, got.digest).first->second;
            if (digest != got.digest) fail("two values of version " + std::to_string(got.version));
        }
        if (!reading && got.version == wanted.version && same != (a.outcome == OperationResult::done)) {
            fail("a write of version " + std::to_string(got.version) + " got the result of another value");
        }
        if (a.outcome == OperationResult::conflict) {
            ++conflicts_;
            return;
        }
        if (got.version > 0 && got.body != std::to_string(got.version) + ":" + std::to_string(got.digest)) {
            fail("a body that was not written under its version");
        }
        if (got.version > acknowledged_.version) acknowledged_ = got;
        // The worst instant for a power loss: anything acknowledged too early is lost.
        if (plan_.faults && !healed_ && chance(0.01)) at(0, [this] { powerLoss(); });
        if (onAcknowledged_ && !healed_) onAcknowledged_();
        ++(reading ? doneReads_ : doneWrites_);
    }
    void leaseChanged(size_t i, const Lease& d) override {
        if (!d.held) return;
        if (d.term <= lastTerm_) fail("term " + std::to_string(d.term) + " won again by " + nodes_[i].id);
        lastTerm_ = std::max(lastTerm_, d.term);
    }
    void stateChanged(size_t i) override {
        checkHolders();
        checkVoters(i);
    }
    void checkHolders() {
        int valid = 0;
        for (size_t i = 0; i < nodes_.size(); ++i) {
            const auto& core = nodes_[i].core;
            valid += core && core->lease().held && clock(i) < core->lease().validUntil;
        }
        if (valid > 1) fail("two cores hold the lease at once");
    }
    void checkVoters(size_t i) {
        const auto& voters = nodes_[i].core->voters();
        if (voters.empty()) return;
        const uint64_t epoch = nodes_[i].core->epoch();
        const auto& expected = voterSets_.emplace(epoch, voters).first->second;
        if (voters != expected) fail("two sets of voters in one epoch");
        if (epoch > newestEpoch_ && std::getenv("CONSENSUS_TRACE")) {
            std::printf("%8.3f epoch %lu:", static_cast<double>(now_) / 1e6, epoch);
            for (const NodeId& n : voters) std::printf(" %s", n.c_str());
            std::printf("\n");
        }
        if (epoch > newestEpoch_ && onVotersChange_) onVotersChange_(voterSets_[newestEpoch_], voters);
        newestEpoch_ = std::max(newestEpoch_, epoch);
    }
    // Replaces a voter, preferably one that is down, by another core; sometimes two or none.
    void changeVoters() {
        if (healed_) return;
        const size_t i = static_cast<size_t>(below(static_cast<int64_t>(nodes_.size())));
        Node& n = nodes_[i];
        if (n.core && now_ >= n.frozenUntil && !n.core->voters().empty()) {
            std::vector<NodeId> in, out, away;
            for (const Node& each : nodes_) {
                const auto& voters = n.core->voters();
                const bool on = contains(voters, each.id);
                (on ? in : out).push_back(each.id);
                if (on && !each.core) away.push_back(each.id);
            }
            const auto any = [&](const std::vector<NodeId>& of) {
                return of[static_cast<size_t>(below(static_cast<int64_t>(of.size())))];
            };
            std::vector<NodeId> gone = {!away.empty() && chance(0.7) ? any(away) : any(in)}, come;
            for (int k = chance(0.4) ? 2 : 1; k > 0 && !out.empty(); --k) come.push_back(any(out));
            if (chance(0.4)) gone.push_back(any(in));
            if (chance(0.05)) gone.clear();
            changing_.insert(++ticket_);
            n.core->changeVoters(clock(i), ticket_, gone, come);
            drain(i);
        }
        at(millis(200 + below(2500)), [this] { changeVoters(); });
    }

    // ---- faults
    void injectFault() {
        if (healed_) return;
        const size_t i = static_cast<size_t>(below(static_cast<int64_t>(nodes_.size())));
        if (plan_.isolatesHolder && chance(0.3)) isolateHolder();
        const int64_t kind = below(100);
        if (kind < 20) {
            // Restarts one core or several; a process that ends is often back at once.
            const bool more = chance(0.3);
            const int64_t away = chance(0.4) ? 200 : 3000;
            for (size_t k = 0; k < nodes_.size(); ++k) {
                if (k != i && !(more && chance(0.5))) continue;
                kill(k);
                at(millis(below(away)), [this, k] { start(k, false); });
            }
        } else if (kind < 35) {
            powerLoss();
        } else if (kind < 60) {
            loseDisk(i, chance(0.3));
        } else if (kind < 75) {
            nodes_[i].frozenUntil = now_ + millis(below(4000));
        } else if (kind < 85) {
            cut_.clear();
            const uint32_t side = random_();
            for (size_t a = 0; a < nodes_.size(); ++a) {
                for (size_t b = 0; b < nodes_.size(); ++b) {
                    if ((side >> a & 1) != (side >> b & 1) && !chance(0.1)) cut_.insert({a, b});
                }
            }
            at(millis(500 + below(4000)), [this] { cut_.clear(); });
        } else if (kind < 92) {
            nodes_[i].diskRefusesWrites = true;
            at(millis(below(2500)), [this, i] { nodes_[i].diskRefusesWrites = false; });
        } else {
            loss_ = chance(0.3) ? 0 : static_cast<double>(below(300)) / 1000;
        }
        at(millis(chance(0.3) ? below(60) : below(2500)), [this] { injectFault(); });
    }
    void isolateHolder() {
        if (holder() < 0) return;
        const auto h = static_cast<size_t>(holder());
        for (size_t i = 0; i < nodes_.size(); ++i) {
            if (i == h) continue;
            cut_.insert({i, h});
            cut_.insert({h, i});
            kill(i);
            at(millis(below(300)), [this, i] { start(i, false); });
        }
        at(millis(300 + below(1500)), [this] { cut_.clear(); });
    }
    void powerLoss() {
        if (std::getenv("CONSENSUS_TRACE"))
            std::printf("%8.3f power lost\n", static_cast<double>(now_) / 1e6);
        for (size_t i = 0; i < nodes_.size(); ++i) {
            kill(i);
            at(millis(below(2000)), [this, i] { start(i, false); });
        }
    }
    // Keeps the number of disks lost at a time within the tolerated losses.
    void loseDisk(size_t i, bool andAnother) {
        int away = 0;
        for (const Node& n : nodes_) away += n.diskLost;
        if (away >= plan_.losses || nodes_[i].diskLost) return;
        // A member that has not taken over under the newest voters yet counts as lost too.
        for (const Node& n : nodes_) {
            const bool on =
                plan_.spares > 0 && !voterSets_.empty() && contains(voterSets_.rbegin()->second, n.id);
            if (on && (!n.core || n.core->isRecovering() || n.core->epoch() != newestEpoch_)) ++away;
        }
        if (away >= plan_.losses) return;
        // A set of voters that was agreed on late with too few members tolerates fewer losses.
        if (!voterSets_.empty() &&
            voterSets_.rbegin()->second.size() < 2 * static_cast<size_t>(plan_.losses) + 1)
            return;
        // Losing two of three electors before the voters are agreed is not survivable, see
        // Core::restartBootstrap.
        if (voterSets_.empty() && plan_.losses > 1 && !plan_.losesSeedDisks) return;
        if (voterSets_.empty() && i < 3) seedsLost_.insert(i);
        if (chance(0.3)) powerLoss();
        kill(i);
        nodes_[i].disk.reset();
        nodes_[i].diskLost = true;
        ++disksLost_;
        at(millis(below(1500)), [this, i] { start(i, false); });
        // As many at the same time as may be lost.
        if (andAnother) loseDisk(static_cast<size_t>(below(static_cast<int64_t>(nodes_.size()))), true);
    }
    void heal() {
        healed_ = true;
        loss_ = 0;
        cut_.clear();
        for (size_t i = 0; i < nodes_.size(); ++i) {
            nodes_[i].diskRefusesWrites = false;
            nodes_[i].frozenUntil = 0;
            at(millis(below(100)), [this, i] { start(i, false); });
        }
    }

    static constexpr int64_t kQuietPeriodMillis = 2000;  // without writes at the end, for convergence
    bool quiet_ = false;
    bool healed_ = false;
    uint64_t ticket_ = 0;
    int64_t version_ = 0;
    std::map<int64_t, uint64_t> digests_;  // the reported digest of each version
    int conflicts_ = 0;
    Value acknowledged_;
    uint64_t lastTerm_ = 0;
    std::function<void(const std::vector<NodeId>& before, const std::vector<NodeId>& after)> onVotersChange_;
    std::function<void()> onAcknowledged_;  // a write or a read has just been acknowledged
    std::map<uint64_t, std::vector<NodeId>> voterSets_;
    uint64_t newestEpoch_ = 1;
    std::set<uint64_t> changing_;
    std::set<size_t> seedsLost_;  // before the voters were agreed
    int doneWrites_ = 0, doneReads_ = 0, writesBeforeEnd_ = 0, readsBeforeEnd_ = 0, disksLost_ = 0;
};

}  // namespace petrelpond::consensus::sim
