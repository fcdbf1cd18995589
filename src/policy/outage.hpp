// When a place counts as down, and how it is met as it comes back.
#pragma once

#include "petrelpond/sender.hpp"
#include "src/policy/bucket.hpp"

namespace petrelpond::policy {

enum class Phase { clear, down, returning };

// Rule 4. A place that is down shows as calls that end badly, with nothing delivered meanwhile. While down,
// single trial calls; after the first success, a budget that grows as it warms.
struct ReturnGuard {
    Phase phase = Phase::clear;
    Instant trialAt;

    void missed(Instant now, Instant started, SubmitStatus end, Span wait, double slice, bool many,
                const ColdStartRule& cold, Chance& chance) {
        bool nothingSince = deliveredAt < started;
        failing = 0.75 * failing + (end == SubmitStatus::overloaded ? 0 : 0.25);
        failingLong = 0.95 * failingLong + (end == SubmitStatus::overloaded ? 0 : 0.05);
        // Refused for longer than this sender's slice explains, with nothing delivered: the place is shut.
        if (end == SubmitStatus::overloaded && started >= missAt && nothingSince && fullRounds++ == 0) fullSince = now;
        bool shut = fullRounds >= 3 && (now - fullSince).inSeconds() > std::max(1.5, 3 / slice);
        bool out = end == SubmitStatus::overloaded                         ? shut || wait >= cold.overloadWindow
                   : end == SubmitStatus::error || end == SubmitStatus::reset ? failing > 0.4
                   : end == SubmitStatus::timeout                    ? nothingSince && ++silent >= 2
                                                            : nothingSince;
        missAt = now;
        if (phase != Phase::down && !out) return;
        if (phase != Phase::down) downAt = now, before = std::max(slice, phase == Phase::clear ? 0 : before);
        phase = Phase::down;
        // In step with the outage's age; all trials together stay under what a returning place can take.
        double part = coldPart(slice, cold), least = std::clamp(0.04 / part, 0.4, 6.0);
        double most = many ? std::max(least, 0.9 / part) : std::max(2.0, 0.4 / part);
        double step = many ? std::max(1.0, least) : 0.46;
        double pause = std::clamp(step * (now - downAt).inSeconds(), least, most);
        double apart = wait > Span() ? std::min(2 * std::max(now - downAt, wait).inSeconds(), 1 / part) : 0;
        trialAt = now + std::max(chance.about(Span::seconds(pause)),
                                 wait + Span::seconds(chance.between(0, apart)));
    }
    static double coldPart(double slice, const ColdStartRule& cold) {
        return std::max(std::max(cold.overloadFactor, 1.0) * cold.initialShare * slice, 0.001);
    }
    // Known to be cold: its first call is a trial, and of many senders each has a moment of its own.
    void restarted(Instant now, double slice, bool many, const ColdStartRule& cold, Chance& chance) {
        before = std::max(slice, before), phase = Phase::down, downAt = now, deliveredAt = Instant::longAgo();
        double within = many ? std::min(0.04 / coldPart(slice, cold), 6.0) : 0.1;
        trialAt = now + Span::seconds(chance.between(0, within));
    }
    void delivered(Instant now) {
        bool brief = now - deliveredAt < Span::seconds(1) && failingLong < 0.2;
        deliveredAt = now, fullRounds = silent = 0, failing *= 0.75, failingLong *= 0.95;
        if (phase == Phase::down) phase = brief ? Phase::clear : Phase::returning, returnedAt = now;
    }
    // This sender's part of what a returning place may be sent, calls a second; 0 where nothing binds.
    double budget(Instant now, double slice, bool many, const ColdStartRule& cold) {
        if (phase != Phase::returning) return 0;
        double warmed = cold.warmUpTime > Span() ? (now - returnedAt).inSeconds() / cold.warmUpTime.inSeconds() : 1;
        if (warmed >= 1) phase = Phase::clear;
        double share = cold.initialShare + (1 - cold.initialShare) * std::min(warmed, 1.0);
        double turn = many ? 1 / std::max(0.5, (returnedAt - downAt).inSeconds()) : 0;
        return 0.9 * std::max(cold.overloadFactor, 1.0) * share * std::max(slice, turn);
    }

    Instant deliveredAt = Instant::longAgo(), missAt = Instant::longAgo(), fullSince, returnedAt, downAt;
    double failing = 0, failingLong = 0, before = 0;  // before: the slice as it went down
    int fullRounds = 0, silent = 0;
};

}  // namespace petrelpond::policy
