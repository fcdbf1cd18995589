// Constants of the planner, each with its reason.
#pragma once

#include "petrelpond/time.hpp"

namespace petrelpond::scaler {

struct Tuning {
    // A new holder only collects reports for this long, and until it has the instance list and a full report
    // of each linked sender: granting earlier would hand out slots that others still use. Senders are linked
    // to all cores already, so reports take one round trip (40 ms between regions) and one turn of their
    // loop.
    Span learningTime = Span::millis(120);
    // A linked sender that does not report delays the others no longer than this.
    Span maxLearningTime = Span::millis(1500);
    // When slots of a sender whose process ended are released: its connections were reset, so endpoints drop
    // the work at once.
    Span freeAfterClose = Span::millis(300);
    // When slots of a silent sender are released. It is dead, or only cut off and still using its slots: then
    // the instance rejects the calls beyond its own slots as not executed.
    Span freeAfterSilence = Span::seconds(5);
    // A sender is unresponsive when a grant gets no report for this long: more than two retransmissions on
    // the longest path between regions, far below the seconds after which its link is known to be dead.
    Span unresponsiveAfter = Span::millis(600);
    // A grant without a matching HeldSlots is sent again: for an agent that lost it, not for a slow link.
    Span resendAfter = Span::seconds(1);
    // A grant is still unconfirmed: far longer than any round trip. An increase then counts as in use; after
    // a decrease the last HeldSlots is accepted if it is below the grant, otherwise calls still run.
    Span acceptHeldAfter = Span::seconds(3);

    // Time constants of the call rate averages, in seconds: fast for increases (2 s: a jump shows within a
    // second), slow for decreases (6 s: a pause in a burst does not stop instances that the next one needs),
    // long (30 s) for calls that are seconds apart.
    double shortTau = 0.4, fastTau = 2, slowTau = 6, longTau = 30;  // seconds
    double maxCallWeight =
        64;  // limits the weight of a service's mean call duration, so that it follows changes
    double maxGroupCallWeight = 512;  // the same for a group of services
    double priorCallWeight = 8;       // calls after which a service's own mean outweighs its group's
    double peakTau = 4;               // seconds; a burst lasts 3 to 4
    // Moving a one-slot instance between senders takes one or two round trips on top of the call.
    Span handoverTime = Span::millis(20);

    double reserveSigmas = 2.5;        // where waiting makes calls late: slots run short 1 time in 150
    double slackReserveSigmas = 0.35;  // where the target latency leaves time for queueing
    double reservePerSender = 0.2;     // slots idle at each sender with demand
    double hotRate = 2;                // calls per second above which a burst costs more than its reserve
    double burstFactor = 2;            // reserve of hot services: calls rise 2 to 3 times before a boot ends
    double burstSigmas = 1.5;
    double surplusFactor = 1.15;   // only instances beyond this are stopped, so that no start follows a stop
    double shortRateFactor = 1.2;  // above 1 so that the queue shrinks once requests wait

    // Costs in GB of instance memory kept for one second: of a start, besides the memory during boot, and of
    // a call that is late for lack of an instance. Halving or doubling either changes the sum of memory and
    // starts little, as instances are stopped where keeping them and starting them again cost the same.
    double startCostGbSeconds = 0.5, lateCallCostGbSeconds = 1.0;
    // How long a service that boots longer than its target latency has one instance before its first call.
    Span prewarmTime = Span::seconds(20);
    double keepMeanGaps = 4;  // mean gaps without a call after which steady traffic counts as ended
    Span maxKeepTime = Span::seconds(20);
    Span unconfiguredKeepTime =
        Span::seconds(5);  // for instances of services that the configuration does not name

    // Time in which the queue is to drain after a boot. hotDrainTime: for services whose calls miss the
    // target latency if they wait for a boot; these are late already and need it fast.
    Span hotDrainTime = Span::millis(500), minDrainTime = Span::millis(150), maxDrainTime = Span::seconds(1);
    double priorCallToTargetRatio =
        0.25;  // call duration / target latency until a call was measured (real ratios: 0.05 to 0.3)

    Span maxPriorCallTime = Span::millis(1250);  // the prior of a target latency of 5 s

    // Boot times vary by 30%: one that takes 3 times the mean has failed. Refused connections before that
    // mean nothing.
    double maxBootFactor = 3;
    Span suspicionTime = Span::seconds(5);  // two failure reports within this time confirm each other
    Span minRepeatReportGap =
        Span::millis(150);  // a second report of the same sender counts only if it tried again
    Span tombstoneTime =
        Span::seconds(30);  // lists name gone instances for seconds; they are not adopted again
    // A sender that has not called a service for this long and holds no slot of it is no longer counted
    // there: its rate has decayed by then.
    Span demandLifetime = Span::seconds(30);
    Span demandSweepInterval = Span::seconds(5);  // of one service; services take turns
    Span stopIfListedAfter =
        Span::seconds(8);  // gone but listed this long: still running and costing memory, so it is stopped

    Span workerFullTime = Span::seconds(2);  // after a 409: longer than the lag of the worker list
    Span retryDelay = Span::millis(250);     // after a call without a response; doubled each time
    int maxAttempts = 6;                     // after that the instance list shows whether it happened
    Span startsBlockedTime =
        Span::seconds(1);  // no worker has room, or the platform answered 429 or an unknown status
    Span unknownServiceBlockedTime = Span::seconds(5);  // 400: the platform does not know the service yet

    // In any second at most rate + depth = 0.9 of what the platform accepts, so that a second caller (an
    // older holder that is ending) does not exceed the limit. A part of the depth is reserved for waiting
    // requests.
    double bucketRateFactor = 0.6, bucketDepthFactor = 0.3, urgentReserveFraction = 0.3;

    Span tickInterval = Span::millis(200);
};

}  // namespace petrelpond::scaler
