// When a place counts as down, and how it is met as it comes back.
#pragma once

#include "petrelpond/sender.hpp"
#include "src/policy/token_bucket.hpp"

namespace petrelpond::policy {

enum class Phase { normal, down, recovering };

// Rule 4. A place that is down shows as calls that end badly, with nothing delivered meanwhile. While down,
// single trial calls; after the first success, a budget that grows as it warms.
struct OutageTracker {
    Phase phase = Phase::normal;
    Instant nextTrialAt;

    void onFailure(Instant now, Instant started, SubmitStatus status, Span wait, double fairShare, bool isLargeGroup,
                const ColdStartRule& cold, Random& random) {
        bool nothingSince = lastDeliveredAt < started;
        failureShare = 0.75 * failureShare + (status == SubmitStatus::overloaded ? 0 : 0.25);
        longFailureShare = 0.95 * longFailureShare + (status == SubmitStatus::overloaded ? 0 : 0.05);
        // Refused for longer than this sender's slice explains, with nothing delivered: the place is shut.
        if (status == SubmitStatus::overloaded && started >= lastFailureAt && nothingSince && overloadRounds++ == 0) overloadedSince = now;
        bool shut = overloadRounds >= 3 && (now - overloadedSince).inSeconds() > std::max(1.5, 3 / fairShare);
        bool wentDown = status == SubmitStatus::overloaded                         ? shut || wait >= cold.overloadWindow
                   : status == SubmitStatus::error || status == SubmitStatus::reset ? failureShare > 0.4
                   : status == SubmitStatus::timeout                    ? nothingSince && ++timeouts >= 2
                                                            : nothingSince;
        lastFailureAt = now;
        if (phase != Phase::down && !wentDown) return;
        if (phase != Phase::down) downSince = now, shareBefore = std::max(fairShare, phase == Phase::normal ? 0 : shareBefore);
        phase = Phase::down;
        // In step with the outage's age; all trials together stay under what a returning place can take.
        double part = coldStartRate(fairShare, cold), least = std::clamp(0.04 / part, 0.4, 6.0);
        double most = isLargeGroup ? std::max(least, 0.9 / part) : std::max(2.0, 0.4 / part);
        double step = isLargeGroup ? std::max(1.0, least) : 0.46;
        double pause = std::clamp(step * (now - downSince).inSeconds(), least, most);
        double spread = wait > Span() ? std::min(2 * std::max(now - downSince, wait).inSeconds(), 1 / part) : 0;
        nextTrialAt = now + std::max(random.jittered(Span::seconds(pause)),
                                 wait + Span::seconds(random.uniform(0, spread)));
    }
    static double coldStartRate(double fairShare, const ColdStartRule& cold) {
        return std::max(std::max(cold.overloadFactor, 1.0) * cold.initialShare * fairShare, 0.001);
    }
    // Known to be cold: its first call is a trial, and of many senders each has a moment of its own.
    void onRestarted(Instant now, double fairShare, bool isLargeGroup, const ColdStartRule& cold, Random& random) {
        shareBefore = std::max(fairShare, shareBefore), phase = Phase::down, downSince = now, lastDeliveredAt = Instant::longAgo();
        double within = isLargeGroup ? std::min(0.04 / coldStartRate(fairShare, cold), 6.0) : 0.1;
        nextTrialAt = now + Span::seconds(random.uniform(0, within));
    }
    void onDelivered(Instant now) {
        bool brief = now - lastDeliveredAt < Span::seconds(1) && longFailureShare < 0.2;
        lastDeliveredAt = now, overloadRounds = timeouts = 0, failureShare *= 0.75, longFailureShare *= 0.95;
        if (phase == Phase::down) phase = brief ? Phase::normal : Phase::recovering, recoveringSince = now;
    }
    // This sender's part of what a returning place may be sent, calls a second; 0 where nothing binds.
    double recoveryRate(Instant now, double fairShare, bool isLargeGroup, const ColdStartRule& cold) {
        if (phase != Phase::recovering) return 0;
        double warmed = cold.warmUpTime > Span() ? (now - recoveringSince).inSeconds() / cold.warmUpTime.inSeconds() : 1;
        if (warmed >= 1) phase = Phase::normal;
        double share = cold.initialShare + (1 - cold.initialShare) * std::min(warmed, 1.0);
        double turn = isLargeGroup ? 1 / std::max(0.5, (recoveringSince - downSince).inSeconds()) : 0;
        return 0.9 * std::max(cold.overloadFactor, 1.0) * share * std::max(fairShare, turn);
    }

    Instant lastDeliveredAt = Instant::longAgo(), lastFailureAt = Instant::longAgo(), overloadedSince, recoveringSince, downSince;
    double failureShare = 0, longFailureShare = 0, shareBefore = 0;  // shareBefore: the slice as it went down
    int overloadRounds = 0, timeouts = 0;
};

}  // namespace petrelpond::policy
