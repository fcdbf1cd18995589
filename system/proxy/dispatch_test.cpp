#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <map>
#include <random>
#include <set>

#include "system/proxy/dispatch_for_test.hpp"

namespace petrelpond::proxy {
namespace {

TEST(MayHaveExecuted, UncertainOutcomesCountAsExecuted) {
    for (AttemptOutcome e : kOutcomes)
        EXPECT_EQ(mayHaveExecuted(e), expectedMayHaveExecuted(e)) << static_cast<int>(e);
}

TEST(Dispatch, RunsOneRequestPerSlot) {
    DispatchHarness p;
    p.applyGrants({grant("a", 2), grant("b", 1)});
    std::vector<RequestId> ids;
    for (int i = 0; i < 5; ++i) ids.push_back(p.submit());
    EXPECT_EQ(p.sends().size(), 3u);
    std::multiset<std::string> used;
    for (auto id : {ids[0], ids[1], ids[2]}) used.insert(p.instanceOf(id));
    EXPECT_EQ(used, (std::multiset<std::string>{"a", "a", "b"}));
    EXPECT_TRUE(p.dispatch.isQueued(ids[3]));
    EXPECT_TRUE(p.dispatch.isQueued(ids[4]));
    EXPECT_EQ(p.dispatch.queuedCount(), 2u);
    p.endAttempt(ids[0], AttemptOutcome::answered);
    EXPECT_TRUE(p.findOutput<ForwardResponse>(ids[0]));
    EXPECT_TRUE(p.runUntil(p.now + Span::seconds(1), [&] { return p.wasSent(ids[3]); }));
    p.advance(300);
    EXPECT_FALSE(p.wasSent(ids[4]));  // one slot was freed, so one request was sent
}

// Less time is left than a boot takes, but other proxies have slots: the request waits for one of those and
// gets it.
TEST(Dispatch, QueuesWhenOnlyOtherProxiesHaveSlots) {
    DispatchHarness p;
    scaler::Grant g = grant("a", 0);
    p.applyGrants({grant("a", 1)});
    g.fleetSlots = 8;
    p.applyGrants({g});
    RequestId id = p.submit(600);
    EXPECT_TRUE(p.dispatch.isQueued(id));
    p.advance(50);
    p.applyGrants({grant("b", 1)});
    EXPECT_TRUE(p.runUntil(p.now + Span::millis(200), [&] { return p.wasSent(id); }));
    // Nobody has a slot, so it cannot meet its deadline and is rejected immediately.
    DispatchHarness none;
    none.applyGrants({});
    EXPECT_TRUE(none.findOutput<RejectRequest>(none.submit(600)));
}

TEST(Dispatch, RevokedSlotIsHeldUntilItsCallEnds) {
    DispatchHarness p;
    p.applyGrants({grant("a", 2)});
    auto one = p.submit(), two = p.submit();
    ASSERT_EQ(p.sends().size(), 2u);
    p.applyGrants({grant("a", 0)});
    p.advance(150);
    ASSERT_TRUE(p.lastHeld("a"));
    EXPECT_EQ(p.lastHeld("a")->slots, 2u);
    EXPECT_EQ(p.lastHeld("a")->busy, 2u);
    auto waits = p.submit();
    EXPECT_FALSE(p.wasSent(waits));
    p.endAttempt(one, AttemptOutcome::answered);
    p.advance(150);
    EXPECT_EQ(p.lastHeld("a")->slots, 1u);
    p.endAttempt(two, AttemptOutcome::answered);
    p.advance(150);
    EXPECT_EQ(p.lastHeld("a")->slots, 0u);
    EXPECT_FALSE(p.wasSent(waits));  // a returned slot is not used again
    EXPECT_EQ(p.countOutputs<ReleaseInstance>(), 1);
}

TEST(Dispatch, RevokedIdleSlotIsReturnedImmediately) {
    DispatchHarness p;
    p.applyGrants({grant("a", 3)});
    auto one = p.submit();
    p.applyGrants({grant("a", 2)});
    p.advance(150);
    EXPECT_EQ(p.lastHeld("a")->slots, 2u);
    EXPECT_EQ(p.lastHeld("a")->busy, 1u);
    p.applyGrants({grant("unknown", 0)});  // nothing is held of an unknown instance
    p.advance(150);
    ASSERT_TRUE(p.lastHeld("unknown"));
    EXPECT_EQ(p.lastHeld("unknown")->slots, 0u);
    p.endAttempt(one, AttemptOutcome::answered);
}

// Guards against resets by an instance that takes few connections: what its slots need is not kept idle.
TEST(Dispatch, IdleConnectionsLeaveThoseThatTheSlotsNeed) {
    for (const auto& [maxConcurrency, expected] :
         std::vector<std::pair<int, size_t>>{{8, 5}, {10, 4}, {std::numeric_limits<int>::max(), 4}}) {
        DispatchHarness p;
        p.dispatch.updateServices(p.now, {{"s", maxConcurrency, Span::millis(1000), 20}});
        p.dispatch.updatePlannerStatus(p.now, 1, true, 2);
        p.applyGrants({grant("a", 1)});
        p.applyGrants({grant("a", 0)});
        ASSERT_EQ(p.countOutputs<ReleaseInstance>(), 1);
        for (const auto& [at, output] : p.outputs)
            if (const auto* release = std::get_if<ReleaseInstance>(&output)) {
                EXPECT_EQ(release->maxIdleConnections, expected) << maxConcurrency;
            }
    }
}

TEST(Dispatch, GrantsOfALowerTermAreIgnored) {
    DispatchHarness p;
    p.applyGrants({grant("a", 1)});
    p.dispatch.updatePlannerStatus(p.now, 3, true, 1);
    p.collectOutputs();
    p.applyGrants({grant("a", 5), grant("b", 5)}, false, 2);
    p.applyGrants({}, true, 2);
    auto one = p.submit(), two = p.submit();
    EXPECT_TRUE(p.wasSent(one));
    EXPECT_EQ(p.instanceOf(one), "a");
    EXPECT_FALSE(p.wasSent(two));
    p.dispatch.updatePlannerStatus(p.now, 2, false, 9);  // nor does the status of a former planner count
    p.advance(300);
    EXPECT_GT(p.reports().size(), 1u);
    EXPECT_EQ(p.reports().back().term, 3u);
}

// The grants of a new planner may arrive before the update of its term.
TEST(Dispatch, GrantsOfALowerTermAreIgnoredAfterThoseOfAHigher) {
    DispatchHarness p;
    p.applyGrants({grant("a", 1)}, true, 2);
    p.applyGrants({grant("b", 1)}, false, 1);
    auto one = p.submit(), two = p.submit();
    EXPECT_TRUE(p.wasSent(one));
    EXPECT_FALSE(p.wasSent(two)) << "uses a slot granted by a replaced planner";
    p.dispatch.updatePlannerStatus(p.now, 2, true, 1);
    p.collectOutputs();
    ASSERT_FALSE(p.reports().empty());
    EXPECT_TRUE(p.reports().back().isFull);
    EXPECT_EQ(p.reports().back().term, 2u);
}

TEST(Dispatch, NewTermGetsAFullReport) {
    DispatchHarness p;
    p.applyGrants({grant("a", 2), grant("b", 1)});
    p.submit();
    p.dispatch.updatePlannerStatus(p.now, 2, true, 1);
    p.collectOutputs();
    auto reports = p.reports();
    ASSERT_FALSE(reports.empty());
    EXPECT_TRUE(reports.back().isFull);
    EXPECT_EQ(reports.back().term, 2u);
    std::set<std::string> named;
    for (auto& h : reports.back().held) named.insert(h.instance);
    EXPECT_EQ(named, (std::set<std::string>{"a", "b"}));
    p.dispatch.onPlannerDisconnected();
    p.dispatch.updatePlannerStatus(p.now, 2, true, 1);  // the same term on a new link
    p.collectOutputs();
    EXPECT_TRUE(p.reports().back().isFull);
    EXPECT_EQ(p.reports().size(), reports.size() + 1);
}

// The planner only revokes slots whose grant it knows to have arrived.
TEST(Dispatch, AcknowledgesEveryGrantIncludingIncreases) {
    DispatchHarness p;
    p.applyGrants({grant("a", 1)});
    ASSERT_TRUE(p.lastHeld("a"));
    EXPECT_EQ(p.lastHeld("a")->slots, 1u);
    p.applyGrants({grant("a", 2)});
    EXPECT_EQ(p.lastHeld("a")->slots, 2u);
    EXPECT_EQ(p.lastHeld("a")->busy, 0u);
}

// A slot that is in use as soon as it is granted is acknowledged when its call ends.
TEST(Dispatch, GrantUsedImmediatelyIsAcknowledgedWhenItsCallEnds) {
    DispatchHarness p;
    auto one = p.submit();
    const size_t before = p.reports().size();
    p.applyGrants({grant("a", 1)});
    ASSERT_TRUE(p.wasSent(one));
    EXPECT_EQ(p.reports().size(), before);
    p.advance(50);
    p.endAttempt(one, AttemptOutcome::answered);
    p.advance(1);
    ASSERT_EQ(p.reports().size(), before + 1);
    EXPECT_EQ(p.lastHeld("a")->slots, 1u);
    EXPECT_EQ(p.lastHeld("a")->busy, 0u);
    auto two = p.submit();  // a long call does not delay the acknowledgement
    p.applyGrants({grant("a", 2)});
    p.advance(101);
    EXPECT_EQ(p.lastHeld("a")->slots, 2u);
    EXPECT_EQ(p.lastHeld("a")->busy, 1u);
    EXPECT_TRUE(p.wasSent(two));
}

// Instances "a" and "b" had a slot here that went to other proxies.
DispatchHarness harnessWithFormerInstances(Dispatch::Options options = {1, "here"}) {
    DispatchHarness p(options);
    scaler::Grant there = grant("b", 1);
    there.zone = "there";
    p.applyGrants({grant("a", 1), there});
    p.applyGrants({grant("a", 0), grant("b", 0)});
    return p;
}

void setPlannerSilent(DispatchHarness& p, bool is) {
    p.dispatch.setPlannerSilent(p.now, is);
    p.collectOutputs();
}

TEST(Borrowing, SendsToAFormerInstanceWhileThePlannerIsSilent) {
    DispatchHarness p = harnessWithFormerInstances();
    auto one = p.submit();
    EXPECT_FALSE(p.wasSent(one));  // while the planner is heard, it grants a slot or starts an instance
    setPlannerSilent(p, true);
    p.advance(1);
    ASSERT_TRUE(p.wasSent(one));
    EXPECT_EQ(p.instanceOf(one), "a");  // in the proxy's zone
    p.endAttempt(one, AttemptOutcome::answered);
    EXPECT_TRUE(p.findOutput<ForwardResponse>(one));
    EXPECT_EQ(p.dispatch.counters().borrowed, 1u);
}

TEST(Borrowing, SendsOneCallPerInstanceAtATime) {
    DispatchHarness p = harnessWithFormerInstances();
    setPlannerSilent(p, true);
    auto one = p.submit(), two = p.submit();
    p.advance(1000);
    ASSERT_TRUE(p.wasSent(one) && p.wasSent(two));
    EXPECT_NE(p.instanceOf(one), p.instanceOf(two));
    auto three = p.submit();
    p.advance(200);
    EXPECT_FALSE(p.wasSent(three));
    p.endAttempt(one, AttemptOutcome::answered);
    p.advance(1500);
    EXPECT_TRUE(p.wasSent(three));
}

TEST(Borrowing, FullInstanceIsAvoidedAndNonIdempotentRequestIsRejected) {
    DispatchHarness p = harnessWithFormerInstances();
    setPlannerSilent(p, true);
    auto one = p.submit(5000, 2, false, 1);
    ASSERT_TRUE(p.wasSent(one));
    p.endAttempt(one, AttemptOutcome::notExecuted);
    ASSERT_TRUE(p.findOutput<RejectRequest>(one));
    EXPECT_EQ(p.findOutput<RejectRequest>(one)->second.status, 503);
    auto two = p.submit();
    p.advance(90);
    EXPECT_FALSE(p.wasSent(two));
    p.advance(1500);
    EXPECT_TRUE(p.wasSent(two));
    EXPECT_EQ(p.dispatch.counters().borrowedNotExecuted, 1u);
}

TEST(Borrowing, SkipsTerminatedFailedAndExpiredInstances) {
    DispatchHarness p = harnessWithFormerInstances();
    scaler::Grant ends = grant("a", 0);
    ends.isEnding = true;
    p.applyGrants({ends});
    setPlannerSilent(p, true);
    auto one = p.submit();
    p.advance(1);
    ASSERT_TRUE(p.wasSent(one));
    EXPECT_EQ(p.instanceOf(one), "b");
    p.endAttempt(one, AttemptOutcome::connectFailed);
    p.advance(1000);
    EXPECT_EQ(p.dispatch.counters().borrowed, 1u);
    DispatchHarness later = harnessWithFormerInstances();
    later.advance(30001);
    setPlannerSilent(later, true);
    auto two = later.submit();
    later.advance(100);
    EXPECT_FALSE(later.wasSent(two));
}

TEST(Borrowing, StopsWhenThePlannerIsHeardAgain) {
    DispatchHarness p = harnessWithFormerInstances();
    setPlannerSilent(p, true);
    setPlannerSilent(p, false);
    auto one = p.submit();
    p.advance(500);
    EXPECT_FALSE(p.wasSent(one));
    EXPECT_EQ(p.dispatch.counters().borrowed, 0u);
}

// After a failure requests for many services wait at each proxy. Their demands are reported together instead
// of one by one.
TEST(Dispatch, BatchesReportsWhenManyServicesAreQueued) {
    Dispatch dispatch(kStart, {1, "here"});
    dispatch.updatePlannerStatus(kStart, 1, true, 1);
    Instant now = kStart;
    size_t reports = 0, wanted = 0;
    const auto pull = [&] {
        while (auto output = dispatch.next())
            if (auto* tell = std::get_if<SendReport>(&*output)) {
                ++reports;
                for (const auto& demand : tell->report.demands) wanted += demand.waiting > 0;
            }
    };
    pull();
    reports = 0;
    for (uint64_t id = 1; id <= 100; ++id) {  // one per millisecond, each for a service of its own
        IncomingRequest a{id,
                          "s" + std::to_string(id),
                          true,
                          2,
                          1,
                          now + Span::seconds(4),
                          Span::millis(400),
                          Span::seconds(4)};
        dispatch.onRequest(now, a);
        if (dispatch.wakeAt() <= now) dispatch.tick(now);
        pull();
        now = now + Span::millis(1);
    }
    EXPECT_LE(reports, 12u);  // four before batching starts, then one every 30 ms
    dispatch.tick(now = now + Span::millis(30));
    pull();
    EXPECT_GE(wanted, 100u);
}

// Other proxies wait for slots that are revoked.
TEST(Dispatch, ReducedGrantIsAcknowledgedImmediatelyByInstanceId) {
    DispatchHarness p;
    p.applyGrants({grant("a", 2)});
    p.advance(100);
    const size_t before = p.reports().size();
    p.applyGrants({grant("a", 1)});
    ASSERT_EQ(p.reports().size(), before + 1);
    ASSERT_EQ(p.reports().back().held.size(), 1u);
    EXPECT_EQ(p.reports().back().held[0].instance, "a");
    EXPECT_EQ(p.reports().back().held[0].slots, 1u);
    EXPECT_TRUE(p.reports().back().held[0].service.empty());
    EXPECT_TRUE(p.reports().back().held[0].address.empty());
}

TEST(Dispatch, FullGrantRevokesInstancesItDoesNotName) {
    DispatchHarness p;
    p.applyGrants({grant("a", 1), grant("b", 1), grant("c", 1)});
    auto one = p.submit();
    std::string used = p.instanceOf(one);
    p.applyGrants({grant("c", 1)}, true);
    p.advance(150);
    for (const char* id : {"a", "b"}) {
        auto held = p.lastHeld(id);
        ASSERT_TRUE(held) << id;
        EXPECT_EQ(held->slots, used == id ? 1u : 0u) << id;
    }
    auto two = p.submit(), three = p.submit();
    EXPECT_EQ(p.instanceOf(two), used == "c" ? "" : "c");
    EXPECT_FALSE(p.wasSent(three));
}

// A proxy that has just started or has no planner only knows that it has no slots itself: instances may well
// be running.
TEST(Dispatch, DoesNotAssumeABootBeforeTheFirstGrants) {
    DispatchHarness p;
    auto id = p.submit(900);
    EXPECT_FALSE(p.findOutput<RejectRequest>(id));
    p.applyGrants({grant("a", 1)});
    EXPECT_TRUE(p.wasSent(id));
}

TEST(Dispatch, RejectsImmediatelyWhatCannotMeetItsDeadline) {
    DispatchHarness p;
    p.applyGrants({});        // the planner's first grants: this proxy gets no slots
    auto id = p.submit(600);  // a boot alone takes a second
    auto refused = p.findOutput<RejectRequest>(id);
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->first, kStart);
    EXPECT_EQ(refused->second.status, 503);
    EXPECT_GT(refused->second.retryAfter, Span());
    EXPECT_LE(refused->second.retryAfter,
              Span::millis(198));  // clients wait for at most a third of their time
    EXPECT_EQ(p.dispatch.queuedCount(), 0u);
    EXPECT_EQ(p.dispatch.counters().rejectedImmediately, 1u);
}

TEST(Dispatch, RejectsWhatIsQueuedBeyondItsShareOfTheTime) {
    for (int ms : {300, 1000, 4000}) {
        DispatchHarness p;
        p.applyGrants({grant("a", 1)});
        p.submit(20000);
        auto id = p.submit(ms);
        ASSERT_TRUE(p.dispatch.isQueued(id)) << ms;
        p.advance(ms);
        auto refused = p.findOutput<RejectRequest>(id);
        ASSERT_TRUE(refused) << ms;
        Span held = refused->first - kStart;
        EXPECT_GE(held, Span::millis(ms) * 0.45 - Span::millis(1));
        EXPECT_LE(held, Span::millis(ms) * 0.45 + Span::millis(51));  // checked twenty times per second
        EXPECT_EQ(p.dispatch.counters().rejectedAfterQueueing, 1u);
        EXPECT_LE(refused->second.retryAfter,
                  std::max((Span::millis(ms) - held) * 0.33 + Span::millis(1), Span::millis(50)));
    }
}

TEST(Dispatch, SendsPriorityZeroBeforePriorityTwo) {
    DispatchHarness p;
    p.applyGrants({grant("a", 1)});
    auto first = p.submit();
    auto low = p.submit(5000, 2), high = p.submit(5000, 0), middle = p.submit(5000, 1),
         highToo = p.submit(5000, 0);
    std::vector<RequestId> order;
    auto running = first;
    for (int i = 0; i < 4; ++i) {
        p.now = p.now + Span::millis(20);
        auto before = p.sends().size();
        p.endAttempt(running, AttemptOutcome::answered);
        ASSERT_TRUE(p.runUntil(p.now + Span::seconds(1), [&] { return p.sends().size() > before; }));
        order.push_back(running = p.sends().back().id);
    }
    EXPECT_EQ(order, (std::vector<RequestId>{high, highToo, middle, low}));
}

TEST(Dispatch, CancelledRequestIsNeitherSentNorAnswered) {
    DispatchHarness p;
    p.applyGrants({grant("a", 1)});
    auto one = p.submit(), two = p.submit(), three = p.submit();
    p.dispatch.cancelRequest(p.now, two);
    p.endAttempt(one, AttemptOutcome::answered);
    EXPECT_TRUE(p.runUntil(p.now + Span::seconds(1), [&] { return p.wasSent(three); }));
    p.advance(6000);
    EXPECT_FALSE(p.wasSent(two));
    EXPECT_FALSE(p.findOutput<RejectRequest>(two));
    EXPECT_FALSE(p.findOutput<FailRequest>(two));
    EXPECT_EQ(p.dispatch.queuedCount(), 0u);
}

TEST(Dispatch, PacesOnceARequestIsQueued) {
    DispatchHarness free;
    free.applyGrants({grant("a", 10)});
    for (int i = 0; i < 10; ++i) free.submit();
    EXPECT_EQ(free.sends().size(), 10u);  // nothing was queued, so nothing is paced
    EXPECT_EQ(free.now, kStart);

    DispatchHarness p;
    p.applyGrants({grant("a", 1)});
    p.submit(20000);
    std::vector<RequestId> rest;
    for (int i = 0; i < 10; ++i) rest.push_back(p.submit(20000));
    p.advance(100);
    Instant from = p.now;
    p.applyGrants({grant("a", 11)});
    EXPECT_TRUE(p.runUntil(p.now + Span::seconds(3), [&] { return p.sends().size() == 11; }));
    std::vector<Instant> starts;
    for (auto& [at, o] : p.outputs)
        if (std::holds_alternative<SendRequest>(o) && at >= from) starts.push_back(at);
    ASSERT_EQ(starts.size(), 10u);
    for (size_t i = 1; i < starts.size(); ++i) EXPECT_GT(starts[i], starts[i - 1]);
    EXPECT_GT(starts.back() - starts.front(), Span::millis(60));  // at most 11 slots / 0.1 s per call

    // Pacing ends after ten seconds without queueing.
    for (auto id : rest) p.endAttempt(id, AttemptOutcome::answered);
    p.endAttempt(1, AttemptOutcome::answered);
    p.advance(10500);
    auto before = p.sends().size();
    for (int i = 0; i < 8; ++i) p.submit(20000);
    EXPECT_EQ(p.sends().size(), before + 8);
}

// Ten slots at 0.1 s per call allow a hundred calls per second, however many slots there were when pacing
// started.
TEST(Dispatch, GrantRaisesThePacingRate) {
    for (uint32_t first : {0u, 1u}) {
        DispatchHarness p({1, "here"}, 100);
        if (first > 0) p.applyGrants({grant("a", first)});
        for (int i = 0; i < 10; ++i) p.submit(10000);
        p.advance(20);
        p.applyGrants({grant("a", 10)});
        Instant from = p.now;
        EXPECT_TRUE(p.runUntil(p.now + Span::seconds(20), [&] { return p.sends().size() == 10; }));
        EXPECT_LE(p.now - from, Span::millis(500)) << "slots are idle while requests are queued";
    }
}

TEST(Dispatch, FullInstanceStartsPacingAndRequestGoesElsewhere) {
    DispatchHarness p;
    p.applyGrants({grant("a", 1), grant("b", 1)});
    auto id = p.submit();
    std::string first = p.instanceOf(id);
    p.endAttempt(id, AttemptOutcome::notExecuted);
    EXPECT_TRUE(p.runUntil(p.now + Span::seconds(1), [&] { return p.sends().size() == 2; }));
    EXPECT_NE(p.instanceOf(id), first);
    EXPECT_EQ(p.dispatch.counters().notExecuted, 1u);
    p.endAttempt(id, AttemptOutcome::answered);
    EXPECT_TRUE(p.findOutput<ForwardResponse>(id));
}

TEST(Dispatch, BootingInstanceIsProbedAndUsedOnceReady) {
    DispatchHarness p;
    p.applyGrants({grant("a", 1, 1000)});
    auto id = p.submit(6000);
    EXPECT_TRUE(p.dispatch.isQueued(id));
    auto probes = [&] { return p.countOutputs<ProbeInstance>(); };
    EXPECT_EQ(probes(), 0);
    EXPECT_TRUE(p.runUntil(p.now + Span::seconds(2), [&] { return probes() == 1; }));
    EXPECT_GE(p.now, kStart + Span::millis(500));
    EXPECT_LE(p.now, kStart + Span::millis(1000));
    p.advance(100);
    EXPECT_EQ(probes(), 1);  // one at a time
    EXPECT_FALSE(p.wasSent(id));
    p.dispatch.onProbeResult(p.now, 0, false);
    p.collectOutputs();
    EXPECT_TRUE(p.runUntil(p.now + Span::millis(200), [&] { return probes() == 2; }));
    p.dispatch.onProbeResult(p.now, 0, true);
    p.collectOutputs();
    EXPECT_TRUE(p.runUntil(p.now + Span::millis(300), [&] { return p.wasSent(id); }));
    p.advance(300);
    EXPECT_EQ(p.timesReported("a", &scaler::Report::up), 1);
    EXPECT_EQ(probes(), 2);
}

TEST(Dispatch, InstanceThatNeverBecomesReadyIsReportedDeadOnce) {
    DispatchHarness p;
    p.applyGrants({grant("a", 1, 100)});
    for (int i = 0; i < 3; ++i) {  // so that a request is always queued
        p.submit(4000);
        Instant until = p.now + Span::millis(1700);
        while (p.now < until) {
            int before = p.countOutputs<ProbeInstance>();
            p.runUntil(until, [&] { return p.countOutputs<ProbeInstance>() > before; });
            p.dispatch.onProbeResult(p.now, 0, false);
            p.collectOutputs();
        }
    }
    EXPECT_EQ(p.timesReported("a", &scaler::Report::unreachable), 1);
}

TEST(Dispatch, InstanceIsReportedDeadAfterTwoConnectFailures) {
    DispatchHarness p;
    p.applyGrants({grant("a", 1)});
    auto id = p.submit(5000);
    p.endAttempt(id, AttemptOutcome::connectFailed);
    p.advance(150);
    EXPECT_EQ(p.timesReported("a", &scaler::Report::unreachable), 0);
    EXPECT_TRUE(p.runUntil(p.now + Span::seconds(1), [&] { return p.sends().size() == 2; }));
    p.endAttempt(id, AttemptOutcome::connectFailed);
    p.advance(250);
    EXPECT_EQ(p.timesReported("a", &scaler::Report::unreachable), 1);

    DispatchHarness q;  // with a response between the two failures
    q.applyGrants({grant("a", 1)});
    for (AttemptOutcome e :
         {AttemptOutcome::connectFailed, AttemptOutcome::answered, AttemptOutcome::connectFailed}) {
        auto before = q.sends().size();
        if (q.dispatch.queuedCount() == 0) q.submit(5000);
        ASSERT_TRUE(q.runUntil(q.now + Span::seconds(2), [&] { return q.sends().size() > before; }));
        q.endAttempt(q.sends().back().id, e);
    }
    q.advance(300);
    EXPECT_EQ(q.timesReported("a", &scaler::Report::unreachable), 0);
}

// Whatever the planner can act on is reported within 20 ms and not with the next periodic report.
TEST(Dispatch, SendsUrgentReportsImmediately) {
    DispatchHarness p;
    p.applyGrants({grant("a", 1)});
    p.advance(1000);
    auto one = p.submit();
    p.advance(1000);
    auto before = p.reports().size();
    auto two = p.submit();  // unmet demand
    ASSERT_TRUE(p.dispatch.isQueued(two));
    p.advance(20);
    ASSERT_GT(p.reports().size(), before);
    ASSERT_EQ(p.reports().back().demands.size(), 1u);
    EXPECT_EQ(p.reports().back().demands[0].waiting, 1u);
    p.applyGrants({grant("a", 0)});
    p.advance(1000);
    p.endAttempt(one, AttemptOutcome::answered);  // on a revoked slot
    p.advance(20);
    EXPECT_EQ(p.lastHeld("a")->slots, 0u);

    DispatchHarness q;
    q.applyGrants({grant("a", 1)});
    q.advance(1000);
    auto three = q.submit();
    q.endAttempt(three, AttemptOutcome::connectFailed);
    ASSERT_TRUE(q.runUntil(q.now + Span::seconds(1), [&] { return q.sends().size() == 2; }));
    q.advance(200);
    q.endAttempt(three, AttemptOutcome::connectFailed);
    q.advance(20);
    EXPECT_EQ(q.timesReported("a", &scaler::Report::unreachable), 1);
}

// A new planner does not know what its predecessor was told.
TEST(Dispatch, ReportsDeadInstancesToANewPlanner) {
    DispatchHarness p;
    p.applyGrants({grant("a", 1)});
    auto id = p.submit(8000);
    for (size_t n = 2; n <= 3; ++n) {
        p.endAttempt(id, AttemptOutcome::connectFailed);
        ASSERT_TRUE(p.runUntil(p.now + Span::seconds(2), [&] { return p.sends().size() == n; }));
    }
    ASSERT_EQ(p.timesReported("a", &scaler::Report::unreachable), 1);
    p.dispatch.updatePlannerStatus(p.now, 2, true, 1);
    p.collectOutputs();
    EXPECT_EQ(p.timesReported("a", &scaler::Report::unreachable), 2);
    // Reported again at a further failure: the planner acts on the second report of a single proxy.
    p.endAttempt(id, AttemptOutcome::connectFailed);
    p.advance(1500);
    EXPECT_EQ(p.timesReported("a", &scaler::Report::unreachable), 3);
}

TEST(Dispatch, AttemptTimeoutIsSetOnceLatenciesAreKnown) {
    DispatchHarness p;
    p.applyGrants({grant("a", 4), grant("b", 4)});
    for (int i = 0; i < 12; ++i) {
        auto id = p.submit(5000, 2, true);
        EXPECT_EQ(p.sends().back().attemptTimeout > Span(), i >= 8) << i;
        p.now = p.now + Span::millis(20);
        p.endAttempt(id, AttemptOutcome::answered);
    }
    p.submit(5000, 2, false);
    EXPECT_EQ(p.sends().back().attemptTimeout, Span());  // a non-idempotent request is awaited
    p.submit(5000, 2, true, 1);
    EXPECT_EQ(p.sends().back().attemptTimeout, Span());  // so is a request without another attempt
}

TEST(Dispatch, AttemptIsNotAbandonedWithoutRetryBudget) {
    Dispatch::Options options{1, "here"};
    options.retryBudgetSlack = 2, options.retryBudgetRatio = 0;  // allows one retry
    DispatchHarness p(options);
    p.applyGrants({grant("a", 4), grant("b", 4)});
    for (int i = 0; i < 8; ++i) p.endAttempt(p.submit(5000, 2, true), AttemptOutcome::answered);
    auto first = p.submit(5000, 2, true), second = p.submit(5000, 2, true);
    EXPECT_GT(p.sends().back().attemptTimeout, Span());
    p.advance(200);
    EXPECT_TRUE(p.dispatch.mayAbandonAttempt(p.now, first));
    p.endAttempt(first, AttemptOutcome::timedOut);
    EXPECT_FALSE(p.dispatch.mayAbandonAttempt(p.now, second));
    EXPECT_EQ(p.countOutputs<FailRequest>(), 0);
}

TEST(Dispatch, DrainingSendsAFullReport) {
    DispatchHarness p;
    p.applyGrants({grant("a", 2)});
    p.submit();
    p.dispatch.startDraining(p.now, {p.now + Span::seconds(3), p.now + Span::millis(5600)});
    p.collectOutputs();
    auto last = p.reports().back();
    EXPECT_TRUE(last.isLeaving);
    EXPECT_TRUE(last.isFull);
    ASSERT_EQ(last.held.size(), 1u);
    EXPECT_EQ(last.held[0].busy, 1u);
}

// --- Retry budget ---

TEST(RetryBudget, AllowsHalfTheRatioPlusTheSlack) {
    RetryBudget b;
    Span window = Span::seconds(10);
    for (int i = 0; i < 2; ++i) {
        EXPECT_TRUE(b.allowsRetry(kStart, window, 0.2, 2));
        b.recordRetry(kStart, window);
    }
    EXPECT_FALSE(b.allowsRetry(kStart, window, 0.2, 2));
    for (int i = 0; i < 10; ++i) b.recordRequest(kStart, window);
    EXPECT_TRUE(b.allowsRetry(kStart, window, 0.2, 2));
    b.recordRetry(kStart, window);
    EXPECT_FALSE(b.allowsRetry(kStart, window, 0.2, 2));
    EXPECT_FALSE(b.allowsRetry(kStart + Span::seconds(9), window, 0.2, 2));
    EXPECT_TRUE(b.allowsRetry(kStart + Span::seconds(12), window, 0.2, 2));  // everything has left the window
}

// In each window the retries stay within the ratio of the requests in this window or the one before, plus the
// slack.
TEST(RetryBudget, HoldsInEverySlidingWindow) {
    const Span window = Span::seconds(10);
    const double ratio = 0.2, slack = 5;
    for (uint32_t seed = 0; seed < 40; ++seed) {
        std::mt19937 random(seed);
        RetryBudget b;
        std::vector<Instant> requests, further;
        Instant now = kStart + Span::micros(random() % 10'000'000);
        double rate = 1;
        for (int i = 0; i < 3000; ++i) {
            if (i % 150 == 0)
                rate = std::pow(10.0, static_cast<double>(random() % 4));  // quiet periods and bursts
            now = now + Span::micros(static_cast<int64_t>(random() % 2'000'000 / rate));
            if (random() % 2)
                b.recordRequest(now, window), requests.push_back(now);
            else if (b.allowsRetry(now, window, ratio, slack))
                b.recordRetry(now, window), further.push_back(now);
        }
        auto count = [](const std::vector<Instant>& of, Instant from, Instant to) {  // (from, to]
            return std::upper_bound(of.begin(), of.end(), to) - std::upper_bound(of.begin(), of.end(), from);
        };
        ASSERT_FALSE(further.empty());
        for (Instant to : further) {
            Instant from = to - window, before = from - window;
            auto most = std::max(count(requests, from, to), count(requests, before, from));
            ASSERT_LE(count(further, from, to), ratio * static_cast<double>(most) + slack) << "seed " << seed;
        }
    }
}

TEST(Dispatch, RetriesStayWithinTheBudget) {
    Dispatch::Options options{1, "here"};
    options.retryBudgetSlack = 8;  // half of it is for this proxy, the only one
    DispatchHarness p(options);
    p.applyGrants({grant("a", 50), grant("b", 50)});
    int gaveUp = 0;
    for (int i = 0; i < 20; ++i) {
        auto id = p.submit(5000, 2, true, 2);
        p.endAttempt(id, AttemptOutcome::connectionBroken);
        if (p.findOutput<FailRequest>(id))
            ++gaveUp;
        else
            p.endAttempt(id, AttemptOutcome::answered);
    }
    EXPECT_LE(p.sends().size(), 20u + 4u + 2u);
    EXPECT_GE(p.sends().size(), 20u + 4u);
    EXPECT_GE(gaveUp, 14);
}

TEST(Dispatch, QueuedRetriesCountAgainstTheBudget) {
    Dispatch::Options options{1, "here"};
    options.retryBudgetSlack = 2;  // one of it is for this proxy
    DispatchHarness p(options);
    p.applyGrants({grant("a", 8)});
    std::vector<RequestId> all;
    for (int i = 0; i < 8; ++i) all.push_back(p.submit(5000, 2, true, 2));
    p.applyGrants({grant("a", 0)});
    for (auto id : all) p.endAttempt(id, AttemptOutcome::connectionBroken);
    EXPECT_EQ(p.countOutputs<FailRequest>(), 7);
    p.applyGrants({grant("b", 8)});
    p.advance(1000);
    EXPECT_EQ(p.sends().size(), 9u);
}

TEST(Dispatch, CancelledRetryIsReturnedToTheBudget) {
    Dispatch::Options options{1, "here"};
    options.retryBudgetSlack = 2;
    DispatchHarness p(options);
    for (int i = 0; i < 3; ++i) {
        p.applyGrants({grant("a", 1)});
        auto id = p.submit(5000, 2, true, 2);
        p.applyGrants({grant("a", 0)});
        p.endAttempt(id, AttemptOutcome::connectionBroken);
        EXPECT_FALSE(p.findOutput<FailRequest>(id)) << i;
        p.dispatch.cancelRequest(p.now, id);
    }
}

// Proxies that are restarted often and whose first attempts all fail: together they must stay within the
// budget in each window.
TEST(Dispatch, RestartsDoNotMultiplyTheRetryBudget) {
    const uint32_t senders = 6;
    std::vector<Instant> further;
    for (uint32_t sender = 0; sender < senders; ++sender) {
        Instant born = kStart;
        for (int life = 0; life < 8; ++life, born = born + Span::millis(4100 + 13 * sender)) {
            Dispatch::Options options{sender, "here"};
            options.retryBudgetSlack = 52, options.retryBudgetRatio = 0, options.mayHaveRestarted = true;
            DispatchHarness p(options);  // reports one proxy, as an agent that has just started does
            p.applyGrants({grant("a", 50), grant("b", 50)});
            p.dispatch.updatePlannerStatus(p.now, 1, true, senders);
            p.dispatch.updatePlannerStatus(p.now, 1, true,
                                           1);  // again, as when the agent alone is restarted
            for (int i = 0; i < 400; ++i) {
                p.advance(10);
                auto id = p.submit(5000, 2, true, 2);
                p.endAttempt(id, AttemptOutcome::connectionBroken);
                if (!p.wasSent(id) || p.findOutput<FailRequest>(id)) continue;
                further.push_back(born + (p.now - kStart));
                p.endAttempt(id, AttemptOutcome::answered);
            }
        }
    }
    ASSERT_FALSE(further.empty());
    std::sort(further.begin(), further.end());
    for (Instant to : further) {
        auto from = std::upper_bound(further.begin(), further.end(), to - Span::seconds(10));
        ASSERT_LE(std::upper_bound(further.begin(), further.end(), to) - from, 52);
    }
}

// --- Non-idempotent requests: all sequences of outcomes ---

TEST(NonIdempotent, NeverRetriedAfterAnOutcomeThatMayHaveExecuted) {
    std::vector<std::vector<AttemptOutcome>> sequences{{}};
    for (size_t from = 0, length = 0; length < 3; ++length) {
        size_t to = sequences.size();
        for (; from < to; ++from)
            for (AttemptOutcome e : kOutcomes) {
                auto longer = sequences[from];
                longer.push_back(e);
                sequences.push_back(longer);
            }
    }
    ASSERT_EQ(sequences.size(), 1u + 8 + 64 + 512);
    for (const auto& sequence : sequences) {
        std::string text;
        for (AttemptOutcome e : sequence) text += std::to_string(static_cast<int>(e)) + " ";
        DispatchHarness p;
        p.applyGrants({grant("a", 1), grant("b", 1), grant("c", 1), grant("d", 1)});
        auto id = p.submit(20000, 2, false, 9);
        bool ran = false;
        size_t sent = 0;
        for (AttemptOutcome e : sequence) {
            if (!p.runUntil(p.now + Span::seconds(8), [&] { return p.sends().size() > sent; })) break;
            ASSERT_FALSE(ran) << text;
            sent = p.sends().size();
            ASSERT_EQ(p.sends().back().id, id);
            p.now = p.now + Span::millis(5);
            p.endAttempt(id, e);
            ran |= expectedMayHaveExecuted(e);
        }
        p.advance(21000);
        ASSERT_FALSE(ran && p.sends().size() > sent) << text;
        ASSERT_FALSE(ran && p.findOutput<RejectRequest>(id)) << text;
        ASSERT_TRUE(!ran || p.findOutput<ForwardResponse>(id) || p.findOutput<FailRequest>(id)) << text;
    }
}

// --- Random schedules ---

// Deliberate defects that show that the checker detects them.
struct NoDefect {
    static AttemptOutcome reportedOutcome(AttemptOutcome e) { return e; }
    static bool dropsRejections() { return false; }
};
struct TreatsBrokenAsNotExecuted {  // reports a broken connection as a full instance
    static AttemptOutcome reportedOutcome(AttemptOutcome e) {
        return e == AttemptOutcome::connectionBroken ? AttemptOutcome::notExecuted : e;
    }
    static bool dropsRejections() { return false; }
};
struct DropsRejections {  // discards rejections
    static AttemptOutcome reportedOutcome(AttemptOutcome e) { return e; }
    static bool dropsRejections() { return true; }
};

struct Violations {
    int duplicateExecutions = 0;  // a non-idempotent request was sent again though it may have executed
    int falseRejections = 0;      // rejected as not executed though it may have executed
    int repeatedAnswers = 0;      // two final outputs, or an output after the final one
    int unanswered = 0;           // no final output
    int slotsExceeded = 0, attemptsExceeded = 0, queuedTooLong = 0, missedWakeups = 0, sentAfterDeadline = 0,
        sentAfterDrain = 0, unknown = 0;
    int sends = 0, rejections = 0, forwarded = 0, failed = 0, retries = 0, cutOff = 0;
    int total() const {
        return duplicateExecutions + falseRejections + repeatedAnswers + unanswered + slotsExceeded +
               attemptsExceeded + queuedTooLong + missedWakeups + sentAfterDrain + unknown;
    }
};

// drains: the proxy starts to shut down in the midst of the schedule. clientsLeave: clients disconnect while
// their request is in flight, too.
template <class Defect>
void runRandomSchedule(uint32_t seed, Violations& f, bool drains = false, bool clientsLeave = false) {
    std::mt19937 random(seed);
    auto below = [&](uint32_t n) { return static_cast<uint32_t>(random() % n); };
    struct TrackedRequest {
        IncomingRequest incoming;
        Instant receivedAt, queuedSince;
        bool mayHaveExecuted = false, isInFlight = false, final = false, withdrawn = false, wasSent = false,
             isCutOff = false;
        int endpointOutcomes = 0;
        std::string instance;
    };
    struct Event {
        RequestId id = 0;         // of an attempt that ends, or
        InstanceIndex probe = 0;  // of a probe that ends
        std::string probedInstance;
        AttemptOutcome outcome = AttemptOutcome::answered;
        bool up = false;
    };
    std::map<RequestId, TrackedRequest> known;
    std::map<std::string, uint32_t> slots, busy;  // slots granted; attempts in flight
    std::multimap<Instant, Event> events;
    std::map<InstanceIndex, std::string> nameOf;
    Instant now = kStart + Span::micros(below(1'000'000));
    Dispatch::Options options{seed, "here"};
    options.retryBudgetSlack = 1 + below(60);
    Dispatch dispatch(now, options);
    uint64_t term = 1;
    bool silent = false;  // the planner
    RequestId nextId = 1;
    const uint32_t failureRate = below(4);  // share of attempts that fail, of four
    dispatch.updateServices(now, {{"s", 4, Span::millis(300 + below(1500))}, {"t", 2, Span::millis(500)}});
    dispatch.updatePlannerStatus(now, term, true, 1 + below(4));

    Instant drainsAt =
        drains ? now + Span::millis(200 + static_cast<int64_t>(seed % 1500)) : Instant::never();
    Instant completeBy = Instant::never();

    auto drain = [&] {
        while (auto output = dispatch.next()) {
            if (auto* s = std::get_if<SendRequest>(&*output)) {
                ++f.sends;
                auto found = known.find(s->id);
                const InstanceInfo* view = dispatch.findInstance(s->instance);
                if (found == known.end() || !view) {
                    ++f.unknown;
                    continue;
                }
                TrackedRequest& k = found->second;
                if (k.final || k.isInFlight || k.withdrawn) ++f.repeatedAnswers;
                if (k.mayHaveExecuted && !k.incoming.isIdempotent) ++f.duplicateExecutions;
                if (k.endpointOutcomes + 1 > k.incoming.maxAttempts) ++f.attemptsExceeded;
                if (now > k.incoming.deadline) ++f.sentAfterDeadline;
                if (now > completeBy) ++f.sentAfterDrain;
                f.retries += k.wasSent;
                k.isInFlight = k.wasSent = true, k.instance = view->id;
                // While the planner is silent, one call may be sent to an instance without a slot.
                const uint32_t borrowed = silent ? 1 : 0;
                if (++busy[view->id] > std::max(slots[view->id], borrowed)) ++f.slotsExceeded;
                Event e;
                e.id = s->id;
                Instant when = now + Span::micros(500 + below(1u << (8 + below(13))));
                bool bad = below(4) < failureRate;
                e.outcome = bad ? kOutcomes[below(8)] : AttemptOutcome::answered;
                Instant most = s->attemptTimeout > Span() ? now + s->attemptTimeout
                                                          : k.incoming.deadline + Span::millis(30);
                if (when >= most) e.outcome = AttemptOutcome::timedOut;
                if (e.outcome == AttemptOutcome::timedOut) when = std::max(most, now);
                events.emplace(when, e);
            } else if (auto* p = std::get_if<ProbeInstance>(&*output)) {
                const InstanceInfo* view = dispatch.findInstance(p->instance);
                Event e;
                e.probe = p->instance, e.probedInstance = view ? view->id : "", e.up = below(2) == 0;
                events.emplace(now + Span::micros(below(100'000)), e);
            } else if (auto* dropped = std::get_if<DropRequest>(&*output)) {
                auto found = known.find(dropped->id);
                if (found == known.end() || !found->second.withdrawn) ++f.unknown;
            } else if (!std::holds_alternative<ReleaseInstance>(*output) &&
                       !std::holds_alternative<SendReport>(*output)) {
                RequestId id = 0;
                bool refusal = false;
                if (auto* r = std::get_if<RejectRequest>(&*output))
                    id = r->id, refusal = true;
                else if (auto* g = std::get_if<FailRequest>(&*output))
                    id = g->id, ++f.failed;
                else
                    id = std::get<ForwardResponse>(*output).id, ++f.forwarded;
                if (refusal && Defect::dropsRejections()) continue;
                f.rejections += refusal;
                auto found = known.find(id);
                if (found == known.end()) {
                    ++f.unknown;
                    continue;
                }
                TrackedRequest& k = found->second;
                if (k.final || k.isInFlight || k.withdrawn) ++f.repeatedAnswers;
                if (refusal && k.mayHaveExecuted) ++f.falseRejections;
                k.final = true;
            }
        }
    };

    Instant nextInput = now, ends = now + Span::seconds(4), stop = ends + Span::seconds(12);
    while (now < stop) {
        // The proxy wakes at the requested time and at events, sometimes a little late.
        Instant next = std::min(dispatch.wakeAt(), stop);
        if (!events.empty()) next = std::min(next, events.begin()->first);
        if (now < ends) next = std::min(next, nextInput);
        now = std::max(now, next) + Span::micros(below(8) == 0 ? below(3000) : 0);
        while (!events.empty() && events.begin()->first <= now) {
            Event e = events.begin()->second;
            events.erase(events.begin());
            if (e.id != 0) {
                TrackedRequest& k = known.at(e.id);
                if (k.isCutOff) continue;
                k.isInFlight = false, k.queuedSince = now;
                if (expectedMayHaveExecuted(e.outcome)) k.mayHaveExecuted = true;
                if (reachedEndpoint(e.outcome)) ++k.endpointOutcomes;
                --busy[k.instance];
                dispatch.onAttemptEnded(now, e.id, Defect::reportedOutcome(e.outcome));
            } else if (const InstanceInfo* v = dispatch.findInstance(e.probe);
                       v && v->id == e.probedInstance) {
                dispatch.onProbeResult(now, e.probe, e.up);
            }
            drain();
        }
        if (now < ends && now >= nextInput) {
            nextInput = now + Span::micros(below(below(5) == 0 ? 400'000 : 40'000));
            switch (below(12)) {
                case 0:
                case 1: {
                    scaler::Grants g{term, below(6) == 0, {}};
                    if (below(8) == 0) g.term = term - 1;
                    for (uint32_t n = 1 + below(3); n > 0; --n) {
                        uint32_t i = below(6);
                        std::string name = (i < 4 ? "s" : "t") + std::to_string(i);
                        auto same = [&](auto& x) { return x.instance == name; };
                        if (std::any_of(g.grants.begin(), g.grants.end(), same)) continue;
                        const char* zone = below(2) ? "here" : "there";
                        uint32_t some = below(4), upInMs = below(3) == 0 ? below(1500) : 0;
                        g.grants.push_back({name, name.substr(0, 1), "10.0.0.1:80", zone, some, upInMs});
                    }
                    if (g.term == term) {
                        if (g.isFull)
                            for (auto& [name, n] : slots) n = 0;
                        for (auto& x : g.grants) slots[x.instance] = x.slots;
                    }
                    dispatch.applyGrants(now, g);
                    break;
                }
                case 2:
                    if (below(3) == 0) term += 2;
                    dispatch.updatePlannerStatus(now, term, below(5) != 0, 1 + below(4));
                    break;
                case 3: {
                    RequestId id = 1 + below(static_cast<uint32_t>(nextId));
                    auto found = known.find(id);
                    if (found != known.end() && !found->second.final && dispatch.isQueued(id)) {
                        dispatch.cancelRequest(now, id);
                        found->second.withdrawn = true;
                    }
                    break;
                }
                case 4:
                    if (below(4) == 0) dispatch.onPlannerDisconnected();
                    if (below(3) == 0) silent = !silent, dispatch.setPlannerSilent(now, silent);
                    break;
                default: {
                    static constexpr int kTimes[] = {150, 400, 1000, 3000, 6000};
                    Span left = Span::millis(kTimes[below(5)]);
                    IncomingRequest a{nextId++,
                                      below(4) ? "s" : "t",
                                      below(2) == 0,
                                      static_cast<int>(below(3)),
                                      1 + static_cast<int>(below(3)),
                                      now + left,
                                      Span::millis(400),
                                      left};
                    TrackedRequest& k = known[a.id];
                    k.incoming = a, k.receivedAt = k.queuedSince = now;
                    dispatch.onRequest(now, a);
                }
            }
            drain();
        }
        if (clientsLeave && now < ends && below(6) == 0) {
            const RequestId id = 1 + below(static_cast<uint32_t>(nextId));
            auto found = known.find(id);
            if (found != known.end() && !found->second.final && !found->second.withdrawn) {
                TrackedRequest& k = found->second;
                k.withdrawn = true;
                static constexpr AttemptProgress kStages[] = {
                    AttemptProgress::connecting, AttemptProgress::sending, AttemptProgress::sent};
                const AttemptProgress progress = k.isInFlight ? kStages[below(3)] : AttemptProgress::none;
                const bool isForgotten = dispatch.cancelRequest(now, id, progress);
                if (k.isInFlight && isForgotten) k.isCutOff = true, k.isInFlight = false, --busy[k.instance];
                if (!k.isInFlight && !isForgotten) ++f.unknown;
                f.cutOff += k.isCutOff;
            }
            drain();
        }
        if (now >= drainsAt) {
            drainsAt = Instant::never();
            completeBy = now + Span::millis(2500);
            dispatch.startDraining(now, {now + Span::millis(1200), completeBy});
            drain();
        }
        for (int n = 0; n < 3 && now >= dispatch.wakeAt(); ++n) dispatch.tick(now), drain();
        bool anyQueued = false;
        for (auto& [id, k] : known) {
            if (k.final || k.withdrawn || k.isInFlight) continue;
            anyQueued = true;
            Span share = (k.incoming.deadline - k.receivedAt) * 0.45;
            Instant most = k.receivedAt + share;
            if (k.wasSent) most = std::max(most, k.queuedSince + Span::millis(200));
            if (now > most + Span::millis(56)) ++f.queuedTooLong;
        }
        if (anyQueued && (dispatch.wakeAt() <= now || dispatch.wakeAt() > now + Span::millis(251)))
            ++f.missedWakeups;
        if (now >= ends && !anyQueued && events.empty()) break;
    }
    for (auto& [id, k] : known)
        if (!k.final && !k.withdrawn) ++f.unanswered;
}

// For a long search set DISPATCH_SCHEDULES=10000; DISPATCH_FIRST sets the first seed.
uint32_t numberFromEnvironmentOr(const char* name, uint32_t otherwise) {
    const char* text = std::getenv(name);
    return text ? static_cast<uint32_t>(std::atoi(text)) : otherwise;
}
const uint32_t kScheduleCount = numberFromEnvironmentOr("DISPATCH_SCHEDULES", 3000);
const uint32_t kFirstSeed = numberFromEnvironmentOr("DISPATCH_FIRST", 1);

TEST(RandomSchedules, EveryRequestIsAnsweredOnceAndTruthfully) {
    Violations f;
    for (uint32_t seed = kFirstSeed; seed < kFirstSeed + kScheduleCount; ++seed) {
        runRandomSchedule<NoDefect>(seed, f);
        ASSERT_EQ(f.total(), 0) << "seed " << seed << ": duplicate executions " << f.duplicateExecutions
                                << ", false rejections " << f.falseRejections << ", repeated answers "
                                << f.repeatedAnswers << ", unanswered " << f.unanswered << ", slots exceeded "
                                << f.slotsExceeded << ", attempts exceeded " << f.attemptsExceeded
                                << ", queued too long " << f.queuedTooLong << ", missed wakeups "
                                << f.missedWakeups << ", unknown " << f.unknown;
    }
    // The schedules exercise everything that is checked.
    EXPECT_GT(f.sends, 10000);
    EXPECT_GT(f.rejections, 1000);
    EXPECT_GT(f.forwarded, 1000);
    EXPECT_GT(f.failed, 1000);
    EXPECT_GT(f.retries, 1000);
}

// Guards against requests that a proxy sends on although it exits before they can end.
TEST(RandomSchedules, DrainingAnswersEveryRequestAndSendsNothingOnceItsTimeIsOver) {
    Violations f;
    for (uint32_t seed = kFirstSeed; seed < kFirstSeed + kScheduleCount; ++seed) {
        runRandomSchedule<NoDefect>(seed, f, true);
        ASSERT_EQ(f.total(), 0) << "seed " << seed << ": sent after the drain " << f.sentAfterDrain
                                << ", duplicate executions " << f.duplicateExecutions << ", false rejections "
                                << f.falseRejections << ", unanswered " << f.unanswered
                                << ", queued too long " << f.queuedTooLong << ", missed wakeups "
                                << f.missedWakeups;
    }
    EXPECT_GT(f.sends, 10000);
    EXPECT_GT(f.rejections, 1000);
}

// Guards against requests that are sent, or answered, after their clients have disconnected.
TEST(RandomSchedules, NothingIsSentForAClientThatHasDisconnected) {
    Violations f;
    for (uint32_t seed = kFirstSeed; seed < kFirstSeed + kScheduleCount; ++seed) {
        runRandomSchedule<NoDefect>(seed, f, seed % 2 == 0, true);
        ASSERT_EQ(f.total(), 0) << "seed " << seed << ": sent or answered after its end " << f.repeatedAnswers
                                << ", slots exceeded " << f.slotsExceeded << ", unanswered " << f.unanswered
                                << ", duplicate executions " << f.duplicateExecutions << ", queued too long "
                                << f.queuedTooLong << ", unknown " << f.unknown;
    }
    EXPECT_GT(f.cutOff, 1000);
    EXPECT_GT(f.forwarded, 1000);
}

TEST(RandomSchedules, NothingIsSentAfterItsDeadline) {
    Violations f;
    for (uint32_t seed = kFirstSeed; seed < kFirstSeed + kScheduleCount && f.sentAfterDeadline == 0; ++seed) {
        runRandomSchedule<NoDefect>(seed, f);
        EXPECT_EQ(f.sentAfterDeadline, 0) << "seed " << seed;
    }
}

TEST(RandomSchedules, CheckerDetectsDuplicateExecutionAndFalseRejection) {
    Violations f;
    for (uint32_t seed = 1; seed <= 200; ++seed) runRandomSchedule<TreatsBrokenAsNotExecuted>(seed, f);
    EXPECT_GT(f.duplicateExecutions, 0);
    EXPECT_GT(f.falseRejections, 0);
}

TEST(RandomSchedules, CheckerDetectsUnansweredRequest) {
    Violations f;
    for (uint32_t seed = 1; seed <= 50; ++seed) runRandomSchedule<DropsRejections>(seed, f);
    EXPECT_GT(f.unanswered, 0);
    EXPECT_GT(f.queuedTooLong, 0);
}

}  // namespace
}  // namespace petrelpond::proxy
