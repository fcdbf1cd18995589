// A schedule of losses within what a deployment must tolerate: never more than Options::machineLosses members
// are lost at a time, counted as operators count them. A machine counts as lost while it is down, cut off or
// frozen and for kCatchUpMillis after its return; one that is replaced permanently counts until its successor
// has run for kCatchUpMillis. All machines may lose power together at any moment.
#pragma once

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <vector>

#include "system/consensus/world_for_test.hpp"

namespace petrelpond::consensus::sim {

class LossSchedule {
  public:
    static constexpr int64_t kCatchUpMillis = 4000;
    static constexpr int64_t kPowerLossMillis = 2000;  // the longest downtime of a machine after a power loss
    static constexpr int64_t kHandOverMillis = 300;    // until a leaving voter has been replaced
    static constexpr int64_t kGraceMillis = 5000;      // from the order to shut down to the kill
    // Of any plan; a core with at most so many blocked links is not cut off.
    static constexpr int kMaxLosses = 2;

    explicit LossSchedule(World& world) : world_(world), nextSpare_(static_cast<size_t>(world.plan_.cores)) {
        for (size_t i = nextSpare_; i < world_.nodes_.size(); ++i) world_.nodes_[i].removed = true;
        world_.beginLosses_ = [this] {
            later(World::millis(3000 + world_.below(3000)), [this] { injectLoss(); });
        };
        later(0, [this] { checkReserve(); });
        if (world_.plan_.diskFaults) later(World::millis(4000), [this] { disturbDisk(); });
        world_.onVotersChange_ = [this](const auto& before, const auto& after) {
            for (const NodeId& node : before) {
                if (!World::contains(after, node)) countReplaced(node);
            }
        };
        world_.onAcknowledged_ = [this] {
            if (!world_.chance(0.02)) return;
            later(0, [this] { world_.chance(0.5) ? loseDisk() : losePower(); });
        };
    }
    int replaced() const { return replaced_; }
    int disksLost() const { return disksLost_; }
    int disksDisturbed() const { return disksDisturbed_; }
    // Voters that were replaced although they were running: cut off, frozen or recently restarted; and voters
    // that were replaced without any fault at all.
    int pausedVotersReplaced() const { return pausedVotersReplaced_; }
    int healthyVotersReplaced() const { return healthyVotersReplaced_; }

  private:
    void later(int64_t delay, std::function<void()> f) {
        world_.at(delay, [this, f = std::move(f)] {
            if (!world_.healed_) f();
        });
    }
    int activeLosses() const {
        return static_cast<int>(std::count_if(lossEnds_.begin(), lossEnds_.end(),
                                              [this](int64_t end) { return end > world_.now_; }));
    }
    bool mayLoseAnother() const {
        return !world_.voterSets_.empty() && world_.now_ > allBackAt_ && activeLosses() < world_.plan_.losses;
    }
    // All machines lose power; each counts as lost until it has caught up.
    void losePower() {
        world_.powerLoss();
        allBackAt_ = world_.now_ + World::millis(kPowerLossMillis + kCatchUpMillis);
    }
    void countLoss(int64_t backAfter) {
        lossEnds_.push_back(world_.now_ + backAfter + World::millis(kCatchUpMillis));
    }
    // A random machine that is present and not leaving.
    size_t victim() {
        std::vector<size_t> there;
        for (size_t i = 0; i < world_.nodes_.size(); ++i) {
            if (!world_.nodes_[i].removed && !isLeaving(i)) there.push_back(i);
        }
        return there[static_cast<size_t>(world_.below(static_cast<int64_t>(there.size())))];
    }
    bool isLeaving(size_t i) const {
        return std::find(leaving_.begin(), leaving_.end(), i) != leaving_.end();
    }

    void injectLoss() {
        const int64_t kind = world_.below(100);
        if (kind < 35) {
            replace();
        } else if (kind < 57) {
            loseDisk();
        } else if (kind < 70) {
            cutOff();
        } else if (kind < 80) {
            freeze();
        } else if (kind < 87) {
            restart();
        } else {
            losePower();
        }
        later(World::millis(world_.chance(0.3) ? world_.below(100) : world_.below(5000)),
              [this] { injectLoss(); });
    }

    // Checked between changes of the voters: the worst losses still allowed leave a majority of the voters,
    // and every majority of the remaining ones contains a voter with the acknowledged value.
    void checkReserve() {
        later(World::millis(50), [this] { checkReserve(); });
        if (world_.voterSets_.empty() || world_.now_ <= allBackAt_ || isVotersChangeActive()) return;
        const auto& voters = world_.voterSets_.rbegin()->second;
        const int majority = static_cast<int>(voters.size()) / 2 + 1;
        const int further = std::max(0, world_.plan_.losses - activeLosses());
        int usable = 0, holding = 0;
        for (size_t i = 0; i < world_.nodes_.size(); ++i) {
            const World::Node& n = world_.nodes_[i];
            if (!World::contains(voters, n.id) || !actsAsVoter(i)) continue;
            ++usable;
            holding += n.disk->value.version >= world_.acknowledged_.version;
        }
        if (usable - further < majority) {
            world_.fail(std::to_string(usable) + " of " + std::to_string(voters.size()) +
                        " voters are whole and " + std::to_string(further) + " more may be lost");
        }
        if (holding <= further || usable - holding >= majority) {
            world_.fail(std::to_string(holding) + " of " + std::to_string(usable) +
                        " whole voters hold version " + std::to_string(world_.acknowledged_.version));
        }
    }
    // Whether it has an intact disk and the others can hear it.
    bool actsAsVoter(size_t i) const {
        const World::Node& n = world_.nodes_[i];
        return !n.removed && n.disk && !n.disk->recovering && !isUnheard(i);
    }
    bool isUnheard(size_t i) const {
        const auto cut = std::count_if(world_.cut_.begin(), world_.cut_.end(),
                                       [i](const auto& pair) { return pair.first == i; });
        return cut > kMaxLosses || world_.now_ < world_.nodes_[i].frozenUntil;
    }
    // Whether a reachable voter has not taken over under the newest voters yet, or a leaving one has not
    // ended yet.
    bool isVotersChangeActive() const {
        const auto& voters = world_.voterSets_.rbegin()->second;
        for (size_t i = 0; i < world_.nodes_.size(); ++i) {
            const World::Node& n = world_.nodes_[i];
            if (n.removed || isUnheard(i) || !World::contains(voters, n.id)) continue;
            if (isLeaving(i)) return true;
            if (n.disk && (n.disk->takeoverState > 0 || n.disk->epoch != world_.newestEpoch_)) return true;
        }
        return false;
    }

    void countReplaced(const NodeId& node) {
        for (size_t i = 0; i < world_.nodes_.size(); ++i) {
            const World::Node& n = world_.nodes_[i];
            if (n.id != node || n.removed || isLeaving(i)) continue;
            const bool well = n.core && !isUnheard(i) && activeLosses() == 0 && world_.now_ > allBackAt_;
            ++(well ? healthyVotersReplaced_ : pausedVotersReplaced_);
        }
    }

    void trace(const char* what, size_t i) const {
        if (std::getenv("CONSENSUS_TRACE"))
            std::printf("%8.3f %s %zu (lost %d)\n", static_cast<double>(world_.now_) / 1e6, what, i,
                        activeLosses());
    }

    void replace() {
        if (!mayLoseAnother() || nextSpare_ >= world_.nodes_.size()) return;
        const size_t old = victim(), successor = nextSpare_++;
        const int64_t between = World::millis(500 + world_.below(4000));
        ++replaced_;
        if (world_.chance(0.5)) {
            countLoss(between);
            trace("gone for good", old);
            end(old);
            later(between, [this, successor] { startSpare(successor); });
            return;
        }
        startSpare(successor);
        // The successor counts as a loss until it has caught up; the leaving machine once it has ended.
        lossEnds_.push_back(world_.now_ + World::millis(kCatchUpMillis));
        leaving_.push_back(old);
        later(between, [this, old] { leaveWhenAllowed(old); });
    }
    void startSpare(size_t i) {
        trace("comes", i);
        world_.nodes_[i].removed = false;
        world_.start(i, false);
    }
    void end(size_t i) {
        world_.kill(i);
        world_.nodes_[i].removed = true;
    }
    // Planned shutdowns wait until other losses are over, as operators do.
    void leaveWhenAllowed(size_t i) {
        if (!mayLoseAnother()) {
            later(World::millis(250), [this, i] { leaveWhenAllowed(i); });
            return;
        }
        leave(i, world_.now_ + World::millis(kGraceMillis));
    }
    void leave(size_t i, int64_t deadline) {
        World::Node& n = world_.nodes_[i];
        trace("leaves", i);
        lossEnds_.push_back(world_.now_ + World::millis(kHandOverMillis));
        if (n.core) {
            n.core->beginLeave(world_.clock(i));
            world_.drain(i);
        }
        awaitHandover(i, deadline);
    }
    void awaitHandover(size_t i, int64_t deadline) {
        World::Node& n = world_.nodes_[i];
        if (n.core && !n.core->mayLeave(world_.clock(i)) && world_.now_ < deadline) {
            later(World::millis(50), [this, i, deadline] { awaitHandover(i, deadline); });
            return;
        }
        trace("left", i);
        end(i);
    }

    void loseDisk() {
        if (!mayLoseAnother()) return;
        const size_t i = victim();
        // A disk that refuses writes or hangs does not get lost as well.
        if (isDiskDisturbed(i)) return;
        const int64_t away = World::millis(world_.below(1500));
        countLoss(away);
        trace("disk lost", i);
        ++disksLost_;
        if (world_.chance(0.5)) losePower();
        world_.kill(i);
        world_.nodes_[i].disk.reset();
        world_.nodes_[i].diskLost = true;
        later(away, [this, i] { world_.start(i, false); });
    }
    bool isDiskDisturbed(size_t i) const {
        return world_.nodes_[i].diskRefusesWrites || world_.now_ < world_.nodes_[i].diskHangsUntil;
    }
    // Makes one disk at a time refuse writes or hang, unless it is being rebuilt. This is no loss; the other
    // losses go on as scheduled.
    void disturbDisk() {
        const size_t i = victim();
        const int64_t span = World::millis(1000 + world_.below(14000));
        if (!world_.nodes_[i].diskLost && !world_.voterSets_.empty()) {
            trace("disk troubled", i);
            ++disksDisturbed_;
            if (world_.chance(0.5)) {
                world_.nodes_[i].diskRefusesWrites = true;
                later(span, [this, i] { world_.nodes_[i].diskRefusesWrites = false; });
            } else {
                world_.nodes_[i].diskHangsUntil = world_.now_ + span;
            }
        }
        later(span + World::millis(world_.below(4000)), [this] { disturbDisk(); });
    }
    void cutOff() {
        if (!mayLoseAnother()) return;
        const size_t i = victim();
        const int64_t span = World::millis(1000 + world_.below(21000));
        countLoss(span);
        trace("cut off", i);
        const bool oneWay = world_.chance(0.3);
        for (size_t k = 0; k < world_.nodes_.size(); ++k) {
            if (k == i) continue;
            world_.cut_.insert({i, k});
            if (!oneWay) world_.cut_.insert({k, i});
        }
        later(span, [this, i] {
            std::erase_if(world_.cut_, [i](const auto& pair) { return pair.first == i || pair.second == i; });
        });
    }
    void restart() {
        if (!mayLoseAnother()) return;
        const size_t i = victim();
        const int64_t away = World::millis(world_.below(3000));
        countLoss(away);
        trace("restarted", i);
        world_.kill(i);
        later(away, [this, i] { world_.start(i, false); });
    }
    void freeze() {
        if (!mayLoseAnother()) return;
        const size_t i = victim();
        trace("frozen", i);
        const int64_t span = World::millis(500 + world_.below(30000));
        countLoss(span);
        world_.nodes_[i].frozenUntil = world_.now_ + span;
    }

    World& world_;
    size_t nextSpare_;
    int64_t allBackAt_ = 0;
    std::vector<int64_t> lossEnds_;
    std::vector<size_t> leaving_;
    int replaced_ = 0, disksLost_ = 0, disksDisturbed_ = 0, pausedVotersReplaced_ = 0,
        healthyVotersReplaced_ = 0;
};

}  // namespace petrelpond::consensus::sim
