// Detects outages of a limit group (rule 4) and restricts its load while it recovers.
#pragma once

#include "petrelpond/sender.hpp"
#include "src/policy/token_bucket.hpp"

namespace petrelpond::policy {

enum class Phase { normal, down, recovering };

// Failing calls with no delivery in between are an outage: single trials, and after a success a rate that grows.
struct OutageTracker {
    Phase phase = Phase::normal;
    Instant nextTrialAt;

    void onFailure(Instant now, Instant started, SubmitStatus status, Span wait, double fairShare, bool isLargeGroup,
                   const ColdStartRule& cold, Random& random) {
        bool nothingSince = deliveredAt < started;
        failureShare = 0.75 * failureShare + (status == SubmitStatus::overloaded ? 0 : 0.25);
        longFailureShare = 0.95 * longFailureShare + (status == SubmitStatus::overloaded ? 0 : 0.05);
        // Rejected for longer than this sender's fair share explains, with nothing delivered: an outage as well.
        if (status == SubmitStatus::overloaded && started >= lastFailureAt && nothingSince && overloadRounds++ == 0)
            overloadedSince = now;
        bool rejecting = overloadRounds >= 3 && (now - overloadedSince).inSeconds() > std::max(1.5, 3 / fairShare);
        bool wentDown = status == SubmitStatus::overloaded ? rejecting || wait >= cold.overloadWindow
                        : status == SubmitStatus::error || status == SubmitStatus::reset ? failureShare > 0.4
                        : status == SubmitStatus::timeout ? nothingSince && ++timeouts >= 2
                                                          : nothingSince;
        lastFailureAt = now;
        if (phase != Phase::down && !wentDown) return;
        if (phase != Phase::down)
            downSince = now, shareBefore = std::max(fairShare, phase == Phase::normal ? 0 : shareBefore);
        phase = Phase::down;
        // Trials get rarer as the outage lasts; those of all senders stay below what a cold group can take.
        double coldRate = coldStartRate(fairShare, cold), minPause = std::clamp(0.04 / coldRate, 0.4, 6.0);
        double maxPause = isLargeGroup ? std::max(minPause, 0.9 / coldRate) : std::max(2.0, 0.4 / coldRate);
        double step = isLargeGroup ? std::max(1.0, minPause) : 0.46;
        double pause = std::clamp(step * (now - downSince).inSeconds(), minPause, maxPause);
        double spread = wait > Span() ? std::min(2 * std::max(now - downSince, wait).inSeconds(), 1 / coldRate) : 0;
        nextTrialAt = now + std::max(random.jittered(Span::seconds(pause)),
                                 wait + Span::seconds(random.uniform(0, spread)));
    }
    static double coldStartRate(double fairShare, const ColdStartRule& cold) {
        return std::max(std::max(cold.overloadFactor, 1.0) * cold.initialShare * fairShare, 0.001);
    }
    // Known to be cold: the first call is a trial, and in a large group each sender picks its own moment for it.
    void onRestarted(Instant now, double fairShare, bool isLargeGroup, const ColdStartRule& cold, Random& random) {
        shareBefore = std::max(fairShare, shareBefore), phase = Phase::down, downSince = now,
        deliveredAt = Instant::longAgo();
        double within = isLargeGroup ? std::min(0.04 / coldStartRate(fairShare, cold), 6.0) : 0.1;
        nextTrialAt = now + Span::seconds(random.uniform(0, within));
    }
    void onDelivered(Instant now) {
        bool brief = now - deliveredAt < Span::seconds(1) && longFailureShare < 0.2;
        deliveredAt = now, overloadRounds = timeouts = 0, failureShare *= 0.75, longFailureShare *= 0.95;
        if (phase == Phase::down) phase = brief ? Phase::normal : Phase::recovering, upSince = now;
    }
    // This sender's part of the load that a recovering group may get, in calls per second; 0: not limited.
    double recoveryRate(Instant now, double fairShare, bool isLargeGroup, const ColdStartRule& cold) {
        if (phase != Phase::recovering) return 0;
        double warmed = cold.warmUpTime > Span() ? (now - upSince).inSeconds() / cold.warmUpTime.inSeconds() : 1;
        if (warmed >= 1) phase = Phase::normal;
        double share = cold.initialShare + (1 - cold.initialShare) * std::min(warmed, 1.0);
        double turn = isLargeGroup ? 1 / std::max(0.5, (upSince - downSince).inSeconds()) : 0;
        return 0.9 * std::max(cold.overloadFactor, 1.0) * share * std::max(fairShare, turn);
    }

    Instant deliveredAt = Instant::longAgo(), lastFailureAt = Instant::longAgo(), overloadedSince, upSince, downSince;
    double failureShare = 0, longFailureShare = 0, shareBefore = 0;  // shareBefore: fair share when it went down
    int overloadRounds = 0, timeouts = 0;
};

}  // namespace petrelpond::policy
