// All constants of the planner, each with how it was chosen.
#pragma once

#include "petrelpond/time.hpp"

namespace petrelpond::scaler {

struct Tuning {
    // A new holder only listens so long, and till it has the list and a whole report of each linked sender:
    // granting earlier would hand out slots that others still use. Senders are linked to all cores already,
    // so the reports take a round trip (40 ms between regions) and a pass of their loop.
    Span learningTime = Span::millis(120);
    // But a linked sender that does not report holds all others up no longer than this.
    Span maxLearningTime = Span::millis(1500);
    // Slots of a sender whose process ended: its connections were reset, endpoints drop the work at once.
    Span freeAfterClose = Span::millis(300);
    // Slots of a silent sender: senders without a holder stop using slots before this; else it is dead.
    Span freeAfterSilence = Span::seconds(5);
    // A sender that was told something and says nothing for so long: over two lost packets' repeats on the
    // longest way between regions, and far below the seconds after which its link is known to be dead.
    Span unresponsiveAfter = Span::millis(600);
    // A Grant that no Held answered is told again; covers an agent that lost it, not a slow link.
    Span resendAfter = Span::seconds(1);
    // A Grant that is still unanswered: far over any round trip, so the last Held is taken as it is.
    Span acceptHeldAfter = Span::seconds(3);

    // Time constants of the rate: up fast (tau 2 s, a jump shows within a second), down slowly (6 s, a pause
    // of a burst does not stop what the next one needs), long (30 s) for calls that are seconds apart.
    double shortTau = 0.4, fastTau = 2, slowTau = 6, longTau = 30;  // seconds
    double maxCallWeight = 64;  // calls that a service's mean work rests on, so that it follows a change
    double maxGroupCallWeight = 512;  // the same of services configured alike
    double priorCallWeight = 8;       // own calls that outweigh those
    double peakTau = 4;               // seconds; a burst lasts 3 to 4
    // Passing a one-slot instance between senders takes a round trip or two on top of its work.
    Span handoverTime = Span::millis(20);

    double reserveSigmas = 2.5;        // where waiting costs worth: one slot in 150 moments is short
    double slackReserveSigmas = 0.35;  // where the aim leaves time for a turn in the queue
    double reservePerSender = 0.2;     // slots lying idle at each of many senders, per sender with demand
    double hotRate = 2;                // calls a second from which a burst loses more than its reserve costs
    double burstFactor = 2;  // reserve of hot services: calls jump 2 to 3 times before a boot is over
    double burstSigmas = 1.5;
    double surplusFactor = 1.15;   // stop only what is this much over the wanted: no start follows a stop
    double shortRateFactor = 1.2;  // room over the short rate once requests wait: the queue must shrink

    // What things are held to be worth, in GB of an instance's memory kept for a second: a start, beside the
    // memory of its boot, and a call that comes late for want of an instance. Half and double of either move
    // the sum of memory and starts by little, as each is weighed where the two cost alike.
    double startCostGbSeconds = 0.5, lateCallCostGbSeconds = 1.0;
    // A service that boots longer than its aim has one instance this long before its first call.
    Span prewarmTime = Span::seconds(20);
    double keepMeanGaps = 4;  // mean gaps without a call after which a steady service counts as over
    Span maxKeepTime = Span::seconds(20);
    Span unconfiguredKeepTime =
        Span::seconds(5);  // instances of services that no configuration names (any more)

    // What waits is to be gone so long after a boot; hot services are late already and want it fast.
    Span hotDrainTime = Span::millis(500), minDrainTime = Span::millis(150), maxDrainTime = Span::seconds(1);
    double priorCallToTargetRatio =
        0.25;  // work over target, until a call has been seen (true ratios: 0.05 to 0.3)

    // Boots vary by 30%: one that takes 3 times the mean will not come. Refusals before that say nothing.
    double maxBootFactor = 3;
    Span suspicionTime = Span::seconds(5);  // two refusals count together within this
    Span minRepeatReportGap =
        Span::millis(150);                   // the same sender's second word counts only if it tried again
    Span tombstoneTime = Span::seconds(30);  // the list names the dead for seconds; they are not adopted anew
    Span stopIfListedAfter = Span::seconds(8);  // dropped, yet listed so long: it lives and costs; stop it

    Span workerFullTime = Span::seconds(2);  // after a 409: longer than the list of workers lags
    Span retryDelay = Span::millis(250);     // a call without an answer, doubled each time
    int maxAttempts = 6;                     // then the list will tell whether it happened
    Span startsBlockedTime =
        Span::seconds(1);  // no worker has room, or the platform said 429 or something odd
    Span unknownServiceBlockedTime = Span::seconds(5);  // 400: the platform does not know the service yet

    // In any second at most rate + depth = 0.9 of what the platform takes, so a second caller (an older
    // holder that is ending) does not push us over. A part of the depth is for waiting requests alone.
    double bucketRateFactor = 0.6, bucketDepthFactor = 0.3, urgentReserveFraction = 0.3;

    Span tickInterval = Span::millis(200);
};

}  // namespace petrelpond::scaler
