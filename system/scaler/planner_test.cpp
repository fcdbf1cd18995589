#include "system/scaler/planner.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <set>

namespace petrelpond::scaler {
namespace {

Span ms(int64_t n) { return Span::millis(n); }

// A planner with a simulated clock, three workers in two zones, two senders, and its outputs collected by
// kind.
struct PlannerFixture {
    Instant now = Instant::atMicros(1'000'000);
    Planner planner{now, 7, 1, 150, ms(800)};
    std::vector<StartCall> starts;
    std::vector<StopCall> stops;
    std::vector<GrantsMessage> tells;
    std::map<std::pair<SenderId, std::string>, uint32_t> told;  // last granted slots by sender and instance

    explicit PlannerFixture(int slots = 2, int targetMs = 400) {
        planner.onConfiguration(now, {{"f", 128, ms(900), slots, ms(targetMs)}});
        planner.onWorkerList(
            now,
            {{"w1", "a", 4096, 4096, false}, {"w2", "b", 4096, 4096, false}, {"w3", "b", 4096, 4096, false}});
        planner.onInstanceList(now, {});
        for (const char* s : {"s1", "s2"}) {
            planner.onSenderLinked(now, s, s == std::string("s1") ? "a" : "b");
            planner.onReport(now, s, whole());
        }
        wait(600);
    }
    Report whole() {
        Report r;
        r.term = 7;
        r.isFull = true;
        r.intervalMs = 100;
        return r;
    }
    void pull() {
        while (auto o = planner.next()) {
            if (auto* s = std::get_if<StartCall>(&*o)) starts.push_back(*s);
            if (auto* s = std::get_if<StopCall>(&*o)) stops.push_back(*s);
            if (auto* t = std::get_if<GrantsMessage>(&*o)) {
                for (auto& g : t->grants.grants) told[{t->to, g.instance}] = g.slots;
                tells.push_back(*t);
            }
        }
    }
    void wait(int64_t millis) {
        for (int64_t t = 0; t < millis; t += 100) {
            now = now + ms(100);
            planner.tick(now);
            pull();
        }
    }
    void list(std::vector<std::pair<std::string, bool>> ids, int slots = 2, const char* worker = "w1") {
        std::vector<ListedInstance> l;
        for (auto& [id, draining] : ids) l.push_back({id, "f", "x:" + id, "a", worker, slots, draining});
        planner.onInstanceList(now, l);
        pull();
    }
    void report(const SenderId& s, uint32_t waiting, uint32_t busy, uint32_t arrived,
                std::vector<HeldSlots> held = {}, std::vector<std::string> dead = {}) {
        Report r;
        r.term = 7;
        r.intervalMs = 100;
        r.demands = {{"f", waiting, busy, waiting + busy, arrived, 80'000}};
        r.held = std::move(held);
        r.unreachable = std::move(dead);
        planner.onReport(now, s, r);
        pull();
    }
    HeldSlots held(const std::string& id, uint32_t slots, uint32_t busy) {
        return {id, "f", "x:" + id, slots, busy};
    }
};

TEST(Planner, aWaitingRequestStartsAnInstanceAndGetsItsSlotsWhileItBoots) {
    PlannerFixture b(2, 1000);
    b.report("s1", 1, 0, 1);
    ASSERT_EQ(b.starts.size(), 1u);
    EXPECT_EQ(b.starts[0].worker, "w1");  // the zone with demand
    EXPECT_LE(b.starts[0].nonce.size(), 64u);
    b.planner.onStarted(b.now, b.starts[0].nonce, "i1", "x:i1");
    b.pull();
    EXPECT_EQ((b.told[{"s1", "i1"}]), 1u);
    ASSERT_FALSE(b.tells.empty());
    EXPECT_GT(b.tells.back().grants.grants[0].upInMs, 500u);
    b.report("s1", 1, 0, 0, {b.held("i1", 1, 0)});
    EXPECT_EQ(b.starts.size(), 1u);  // covered by the booting instance
}

TEST(Planner, manyWaitingAreCoveredInOneStep) {
    PlannerFixture b;
    b.report("s1", 30, 0, 30);
    EXPECT_GE(b.starts.size(), 3u);
}

// Guards against overload by thousands of reports per second on a small machine: reports of one turn cost one
// pass and one message per sender.
TEST(Planner, reportsOfOneTurnAreHandledInOnePass) {
    PlannerFixture b(1, 1500);
    b.list({{"i1", false}, {"i2", false}, {"i3", false}}, 1);
    size_t before = b.tells.size();
    for (uint32_t waiting : {1, 2, 3}) {
        Report r;
        r.term = 7, r.intervalMs = 10;
        r.demands = {{"f", waiting, 0, waiting, 1, 80'000}};
        b.planner.onReport(b.now, "s1", r);
    }
    b.pull();
    ASSERT_EQ(b.tells.size(), before + 1);
    EXPECT_EQ(b.tells.back().grants.grants.size(), 3u);
}

// Guards against a holder that never catches up: when no slot is free, waiting senders must not cause
// searches for one.
TEST(Planner, noSlotIsSearchedForWhenNoneIsFree) {
    PlannerFixture b(1, 1500);
    b.list({{"i1", false}}, 1);
    b.report("s1", 1, 0, 1);
    b.report("s1", 0, 1, 0, {b.held("i1", 1, 1)});
    for (int i = 3; i < 63; ++i) {
        b.planner.onSenderLinked(b.now, "s" + std::to_string(i), "b");
        b.planner.onReport(b.now, "s" + std::to_string(i), b.whole());
    }
    const uint64_t before = b.planner.counters().slotSearches;
    for (int i = 3; i < 63; ++i) b.report("s" + std::to_string(i), 2, 0, 2);
    EXPECT_EQ(b.planner.counters().slotSearches, before);
    b.report("s1", 0, 0, 0, {b.held("i1", 0, 0)});  // a slot that becomes free is found
    EXPECT_GT(b.planner.counters().slotSearches, before);
}

TEST(Planner, anIdleSlotIsRecalledAndGrantedAgainOnlyOnceReturned) {
    PlannerFixture b(1, 1500);
    b.list({{"i1", false}}, 1);
    b.report("s1", 1, 0, 1);
    EXPECT_EQ((b.told[{"s1", "i1"}]), 1u);
    b.report("s1", 0, 0, 0, {b.held("i1", 1, 0)});
    b.report("s2", 1, 0, 1);
    EXPECT_EQ((b.told[{"s1", "i1"}]), 0u);
    EXPECT_EQ((b.told.count({"s2", "i1"})), 0u);
    b.report("s1", 0, 0, 0, {b.held("i1", 0, 0)});
    EXPECT_EQ((b.told[{"s2", "i1"}]), 1u);
    EXPECT_TRUE(b.starts.empty());  // it is served long before a boot would end
}

TEST(Planner, anOutdatedHeldReportOfTheSameNumberDoesNotFreeASlot) {
    PlannerFixture b(1, 1500);
    b.list({{"i1", false}}, 1);
    b.report("s1", 1, 0, 1);                        // granted 1, not yet read
    b.report("s1", 0, 0, 0, {b.held("i1", 0, 0)});  // sent before the grant was read
    b.report("s2", 1, 0, 1);
    EXPECT_EQ((b.told.count({"s2", "i1"})), 0u);
}

TEST(Planner, slotsOfAnEndedSenderAreReleasedSoonAndOfASilentOneLate) {
    for (bool closed : {true, false}) {
        PlannerFixture b(1, 1500);
        b.list({{"i1", false}}, 1);
        b.report("s1", 1, 0, 1);
        b.report("s1", 0, 1, 0, {b.held("i1", 1, 1)});
        b.planner.onSenderUnlinked(b.now, "s1", closed);
        b.report("s2", 1, 0, 1);
        EXPECT_EQ((b.told.count({"s2", "i1"})), 0u);
        b.wait(400);
        EXPECT_EQ((b.told.count({"s2", "i1"})), closed ? 1u : 0u);
        if (closed) continue;
        b.wait(4300);
        EXPECT_EQ((b.told.count({"s2", "i1"})), 0u);
        b.wait(500);
        EXPECT_EQ((b.told.count({"s2", "i1"})), 1u);
    }
}

TEST(Planner, aSlotRecalledFromAnUnresponsiveSenderIsReassignedUnlessItIsInUse) {
    for (uint32_t busy : {0u, 1u}) {
        PlannerFixture b(1, 1500);
        b.list({{"i1", false}}, 1);
        b.report("s1", 1, 0, 1);
        b.report("s1", 0, busy, 0, {b.held("i1", 1, busy)});
        b.report("s2", 1, 0, 1);
        EXPECT_EQ((b.told[{"s1", "i1"}]), 0u);
        b.wait(500);
        EXPECT_EQ((b.told.count({"s2", "i1"})), 0u);
        b.wait(400);
        EXPECT_EQ((b.told.count({"s2", "i1"})), busy ? 0u : 1u);
    }
}

TEST(Planner, anInstanceWithAReassignedSlotIsNotStoppedBeforeItsSenderResponds) {
    PlannerFixture b(1, 1500);
    b.list({{"i1", false}}, 1);
    b.report("s1", 1, 0, 1);
    b.report("s1", 0, 0, 0, {b.held("i1", 1, 0)});
    b.report("s2", 1, 0, 1);
    b.wait(900);
    b.report("s2", 0, 0, 0, {b.held("i1", 1, 0)});
    b.wait(25'000);
    b.report("s2", 0, 0, 0, {b.held("i1", 0, 0)});
    EXPECT_TRUE(b.stops.empty());
    b.report("s1", 0, 0, 0, {b.held("i1", 0, 0)});
    EXPECT_EQ(b.stops.size(), 1u);
}

TEST(Planner, aHolderThatWasSuspendedDoesNotMarkSendersUnresponsive) {
    PlannerFixture b(1, 1500);
    b.list({{"i1", false}}, 1);
    b.report("s1", 1, 0, 1);
    b.report("s1", 0, 0, 0, {b.held("i1", 1, 0)});
    b.report("s2", 1, 0, 1);
    b.now = b.now + ms(2000);
    b.planner.tick(b.now);
    b.pull();
    EXPECT_EQ((b.told.count({"s2", "i1"})), 0u);
    b.report("s1", 0, 0, 0, {b.held("i1", 0, 0)});
    EXPECT_EQ((b.told[{"s2", "i1"}]), 1u);
}

// While reports are queued unread at the holder, senders do not count as unresponsive.
TEST(Planner, aHolderWithAReportBacklogDoesNotMarkSendersUnresponsive) {
    PlannerFixture b(1, 1500);
    b.list({{"i1", false}}, 1);
    b.report("s1", 1, 0, 1);
    b.report("s1", 0, 0, 0, {b.held("i1", 1, 0)});
    b.report("s2", 1, 0, 1);
    for (int i = 0; i < 10; ++i) b.planner.onReportBacklog(b.now), b.wait(100);
    EXPECT_EQ((b.told.count({"s2", "i1"})), 0u);
    b.wait(1500);  // no backlog any more, and still no report
    EXPECT_EQ((b.told[{"s2", "i1"}]), 1u);
}

TEST(Planner, slotsReservedByASilentSenderDoNotCountAsCapacity) {
    PlannerFixture b(2, 1500);
    b.list({{"i1", false}});
    b.report("s1", 2, 0, 2);
    b.report("s1", 0, 2, 0, {b.held("i1", 2, 2)});
    b.planner.onSenderUnlinked(b.now, "s1", false);
    EXPECT_TRUE(b.starts.empty());
    b.report("s2", 1, 0, 1);
    EXPECT_EQ(b.starts.size(), 1u);
}

// Guards against stopping a working instance when the holder was suspended, or gets lists rarely, and the
// report that it is up is still in flight. Two lists without it end it, since a start that never came up
// would cost forever.
TEST(Planner, aStartIsAbandonedByListsAndNotByElapsedTime) {
    PlannerFixture b(2, 1000);
    b.report("s1", 1, 0, 1);
    ASSERT_EQ(b.starts.size(), 1u);
    b.planner.onStarted(b.now, b.starts[0].nonce, "i1", "x:i1");
    b.pull();
    b.report("s1", 0, 0, 0, {b.held("i1", 1, 0)});
    b.wait(9000);  // its boot time is 900 ms
    EXPECT_EQ((b.told[{"s1", "i1"}]), 1u);
    EXPECT_TRUE(b.stops.empty());
    b.list({});
    EXPECT_TRUE(b.stops.empty());  // the list may be older than the end of the boot
    b.list({});
    b.wait(100);
    EXPECT_EQ((b.told[{"s1", "i1"}]), 0u);
    EXPECT_EQ(b.stops.size(), 1u);
}

TEST(Planner, aDrainingInstanceIsRevokedAtOnceAndReplaced) {
    PlannerFixture b;
    b.list({{"i1", false}});
    b.report("s1", 1, 0, 5);
    b.report("s1", 0, 1, 5, {b.held("i1", 1, 1)});
    b.list({{"i1", true}});
    EXPECT_EQ((b.told[{"s1", "i1"}]), 0u);
    EXPECT_GE(b.starts.size(), 1u);
    b.list({{"i1", false}});  // an older list does not undo draining
    b.report("s2", 1, 0, 1);
    EXPECT_EQ((b.told.count({"s2", "i1"})), 0u);
}

// A sender without a holder keeps calling instances whose slots it had. Grants with isEnding tell it which
// ones not to.
TEST(Planner, aRevokingGrantNamesTheInstanceIdAndWhetherItEnds) {
    PlannerFixture b;
    b.list({{"i1", false}});
    b.report("s1", 1, 0, 1);
    b.report("s1", 0, 0, 0, {b.held("i1", 1, 0)});
    const auto last = [&] { return b.tells.back().grants.grants.back(); };
    EXPECT_EQ(last().service, "f");
    EXPECT_FALSE(last().isEnding);
    b.list({{"i1", true}});
    EXPECT_EQ(last().instance, "i1");
    EXPECT_EQ(last().slots, 0u);
    EXPECT_TRUE(last().isEnding);
    EXPECT_TRUE(last().service.empty() && last().address.empty());
}

// A report that names no service does not create an unknown instance.
TEST(Planner, anUnknownInstanceWithoutItsServiceIsNotAdopted) {
    PlannerFixture b;
    b.report("s1", 0, 0, 0, {{"i9", "", "", 1, 1}});
    EXPECT_EQ(b.planner.counters().adopted, 0u);
    b.report("s1", 0, 0, 0, {b.held("i9", 1, 1)});
    EXPECT_EQ(b.planner.counters().adopted, 1u);
}

TEST(Planner, aCrashIsAssumedAfterTwoReportsAndNotWhileBooting) {
    PlannerFixture b;
    b.report("s1", 1, 0, 1);
    b.planner.onStarted(b.now, b.starts.at(0).nonce, "i1", "x:i1");
    b.pull();
    b.report("s1", 1, 0, 0, {b.held("i1", 1, 0)}, {"i1"});
    b.report("s2", 0, 0, 0, {}, {"i1"});
    EXPECT_EQ((b.told[{"s1", "i1"}]), 1u);  // booting instances refuse connections
    b.list({{"i1", false}});
    b.report("s1", 1, 0, 0, {}, {"i1"});
    EXPECT_EQ((b.told[{"s1", "i1"}]), 1u);
    size_t before = b.starts.size();
    b.report("s2", 0, 0, 0, {}, {"i1"});
    EXPECT_EQ((b.told[{"s1", "i1"}]), 0u);
    EXPECT_GT(b.starts.size(), before);
    b.list({{"i1", false}});  // gone instances stay listed for seconds
    b.report("s2", 1, 0, 1);
    EXPECT_EQ((b.told.count({"s2", "i1"})), 0u);
}

TEST(Planner, oneListWithoutAnInstanceDoesNotDropIt) {
    PlannerFixture b;
    b.list({{"i1", false}});
    b.report("s1", 1, 0, 1);
    b.list({});
    b.list({{"i1", false}});
    b.list({});
    EXPECT_EQ((b.told[{"s1", "i1"}]), 1u);
    b.list({});
    EXPECT_EQ((b.told[{"s1", "i1"}]), 0u);
}

TEST(Planner, anOrphanIsAdoptedAndUsedAndStoppedOnlyAfterItsKeepTime) {
    PlannerFixture b(2, 1000);
    b.list({{"i1", false}});
    b.wait(1000);
    EXPECT_TRUE(b.stops.empty());
    b.report("s1", 1, 0, 1);
    EXPECT_EQ((b.told[{"s1", "i1"}]), 1u);
    EXPECT_TRUE(b.starts.empty());
    PlannerFixture idle;
    idle.list({{"i1", false}});
    idle.wait(25'000);
    EXPECT_FALSE(idle.stops.empty());
}

TEST(Planner, anIdleInstanceIsStoppedOnlyOnceAllSlotsAreReturned) {
    PlannerFixture b;
    b.list({{"i1", false}});
    b.report("s1", 1, 0, 1);
    b.report("s1", 0, 0, 0, {b.held("i1", 1, 0)});
    b.wait(25'000);
    EXPECT_EQ((b.told[{"s1", "i1"}]), 0u);
    EXPECT_TRUE(b.stops.empty());
    b.report("s1", 0, 0, 0, {b.held("i1", 0, 0)});
    ASSERT_EQ(b.stops.size(), 1u);
    b.planner.onStopped(b.now, "i1", 200);
    b.wait(6000);
    EXPECT_EQ(b.stops.size(), 1u);
}

TEST(Planner, aFullWorkerIsAvoidedAndAStartWithoutResponseIsRetriedWithTheSameNonce) {
    PlannerFixture b;
    b.report("s1", 1, 0, 1);
    ASSERT_EQ(b.starts.size(), 1u);
    b.planner.onStartFailed(b.now, b.starts[0].nonce, 409);
    b.pull();
    ASSERT_EQ(b.starts.size(), 2u);
    EXPECT_NE(b.starts[0].worker, b.starts[1].worker);
    EXPECT_NE(b.starts[0].nonce, b.starts[1].nonce);
    b.planner.onStartFailed(b.now, b.starts[1].nonce, 0);
    b.wait(500);
    ASSERT_EQ(b.starts.size(), 3u);
    EXPECT_EQ(b.starts[1].nonce, b.starts[2].nonce);
    EXPECT_EQ(b.starts[1].worker, b.starts[2].worker);
}

TEST(Planner, aReportForAnotherTermIsIgnored) {
    PlannerFixture b(2, 1000);
    Report r = b.whole();
    r.term = 6;
    r.demands = {{"f", 5, 0, 5, 5, 0}};
    b.planner.onReport(b.now, "s1", r);
    b.pull();
    EXPECT_TRUE(b.starts.empty());
    EXPECT_EQ(b.planner.counters().wrongTerm, 1u);
}

TEST(Planner, aNewHolderCollectsReportsBeforeItGrants) {
    Instant now = Instant::atMicros(0);
    Planner p(now, 8, 1, 150, ms(800));
    p.onConfiguration(now, {{"f", 128, ms(900), 1, ms(400)}});
    p.onInstanceList(now, {{"i1", "f", "x", "a", "w", 1, false}});
    Report r;
    r.term = 8;
    r.isFull = true;
    r.demands = {{"f", 1, 0, 1, 1, 0}};
    p.onSenderLinked(now, "s1", "a");
    p.onReport(now, "s1", r);
    EXPECT_FALSE(p.next());
    r.demands = {{"f", 0, 1, 1, 1, 0}};
    r.held = {{"i1", "f", "x", 1, 1}};
    p.onSenderLinked(now, "s2", "a");
    p.onReport(now + ms(100), "s2", r);
    p.tick(now + ms(500));
    while (auto o = p.next()) {
        auto* t = std::get_if<GrantsMessage>(&*o);
        if (!t) continue;
        for (auto& g : t->grants.grants) EXPECT_EQ(g.slots, 0u) << t->to;  // only s2 may hold it
    }
}

// An instance adopted from a sender's report that ended before this holder's first list: no list ever names
// it.
TEST(Planner, anInstanceThatDiedBeforeTheDutyChangedHandsIsDroppedByTheLists) {
    Instant now = Instant::atMicros(1'000'000);
    Planner p(now, 7, 1, 150, ms(800));
    p.onConfiguration(now, {{"f", 128, ms(900), 1, ms(1500)}});
    p.onWorkerList(now, {{"w1", "a", 4096, 4096, false}});
    p.onSenderLinked(now, "s1", "a");
    Report r;
    r.term = 7, r.isFull = true, r.intervalMs = 100;
    r.held = {{"dead", "f", "x:1", 1, 0}};
    r.up = {"dead"};
    r.demands = {{"f", 1, 0, 1, 1, 0}};
    p.onReport(now, "s1", r);
    bool takenBack = false, started = false;
    for (int i = 0; i < 4; ++i) {
        p.onInstanceList(now, {});
        p.tick(now);
        while (auto o = p.next()) {
            started |= std::holds_alternative<StartCall>(*o);
            if (auto* t = std::get_if<GrantsMessage>(&*o))
                for (const auto& g : t->grants.grants) takenBack |= g.instance == "dead" && g.slots == 0;
        }
        now = now + ms(800);
    }
    EXPECT_TRUE(takenBack);
    EXPECT_TRUE(started);
}

// The same holder under a higher term keeps its state, but grants nothing before the senders' new full
// reports.
TEST(Planner, aReelectedHolderKeepsItsState) {
    PlannerFixture b(2, 1500);
    b.planner.onInstanceList(b.now, {{"i1", "f", "x:1", "a", "w1", 2, false}});
    b.planner.onTermRenewed(b.now, 9);
    b.tells.clear();
    Report r = b.whole();
    r.demands = {{"f", 1, 0, 1, 1, 0}};
    b.planner.onReport(b.now, "s1", r);  // still of the previous term
    b.wait(10);
    EXPECT_TRUE(b.tells.empty());
    r.term = 9;
    b.planner.onReport(b.now, "s1", r);
    b.wait(10);
    ASSERT_FALSE(b.tells.empty());
    EXPECT_EQ(b.tells.back().grants.term, 9u);
    EXPECT_EQ(b.tells.back().grants.grants.at(0).instance, "i1");
    EXPECT_TRUE(b.starts.empty());
}

TEST(Planner, aServiceThatBootsLongerThanItsAimHasOneInstanceBeforeItsFirstCall) {
    PlannerFixture b(2, 400);
    ASSERT_EQ(b.starts.size(), 1u);
    b.planner.onStarted(b.now, b.starts[0].nonce, "i1", "x:1");
    b.planner.onInstanceList(b.now, {{"i1", "f", "x:1", "a", "w1", 2, false}});
    b.wait(5000);
    EXPECT_EQ(b.starts.size(), 1u);
    EXPECT_TRUE(b.stops.empty());
    PlannerFixture patient(2, 1500);
    patient.wait(5000);
    EXPECT_TRUE(patient.starts.empty());
}

// One long call among few does not make a rarely called function look busy if other functions with the same
// configuration have short calls.
TEST(Planner, callDurationOfARareFunctionIsEstimatedFromItsGroup) {
    Instant now = Instant::atMicros(1'000'000);
    Planner p(now, 7, 1, 150, ms(800));
    p.onConfiguration(now, {{"rare", 128, ms(900), 1, ms(1500)}, {"busy", 128, ms(900), 1, ms(1500)}});
    p.onWorkerList(now, {{"w1", "a", 4096, 4096, false}});
    p.onInstanceList(now,
                     {{"i1", "rare", "x", "a", "w1", 1, false}, {"i2", "busy", "y", "a", "w1", 1, false}});
    p.onSenderLinked(now, "s1", "a");
    Report r;
    r.term = 7, r.isFull = true, r.intervalMs = 100;
    p.onReport(now, "s1", r);
    size_t rareStarts = 0;
    auto run = [&](std::vector<Demand> demands) {
        now = now + ms(200);
        Report each;
        each.term = 7, each.intervalMs = 200, each.demands = std::move(demands);
        p.onReport(now, "s1", each);
        p.tick(now);
        while (auto o = p.next()) {
            if (auto* s = std::get_if<StartCall>(&*o)) rareStarts += s->service == "rare";
        }
    };
    for (int i = 0; i < 20; ++i) run({{"busy", 0, 0, 1, 1, 80'000}});
    for (int i = 0; i < 3; ++i) run({{"rare", 0, 1, 1, 1, 1'500'000}, {"busy", 0, 0, 1, 1, 80'000}});
    EXPECT_EQ(rareStarts, 0u);
}

TEST(Planner, startsStayUnderThePlatformsRate) {
    PlannerFixture b(1, 400);
    std::vector<size_t> at;
    for (int i = 0; i < 40; ++i) {
        b.report("s1", 2000, 0, 200);
        b.wait(100);
        at.push_back(b.starts.size() + b.stops.size());
    }
    for (size_t i = 10; i < at.size(); ++i) EXPECT_LE(at[i] - at[i - 10], 135u + 10u);
    EXPECT_GT(at.back(), 80u);
}

// Random schedules: senders that read late, end, go silent and come back, and holders that are replaced. Each
// step checks what senders do rather than the planner's state: no instance has more slots in use than it has.
struct RandomSchedule {
    struct QueuedGrants {
        Instant at;
        Grants grants;
    };
    struct Agent {
        bool linked = false;
        std::map<std::string, std::pair<uint32_t, uint32_t>>
            has;                              // slots that it may use or still uses, busy
        std::map<std::string, uint32_t> may;  // as last granted
        std::deque<QueuedGrants> inbox;
        std::deque<std::pair<Instant, Report>> outbox;
        std::set<std::string> named;
        bool first = true, heard = false;  // heard: the planner has received its full report
        Instant back = Instant::never(), silentAt = Instant::never(), suspendedUntil = Instant::longAgo();
    };
    uint32_t slots = 3;  // of each instance
    std::mt19937 random;
    Instant now = Instant::atMicros(0);
    uint64_t term = 1;
    std::unique_ptr<Planner> planner;
    std::map<SenderId, Agent> agents;
    std::map<std::string, Instant> live;  // instance: when it is up
    int startedCount = 0, stoppedCount = 0, stopsInUse = 0;
    uint64_t granted = 0;

    bool suspendsSenders = false;  // also simulate senders that are suspended

    explicit RandomSchedule(uint32_t seed, uint32_t slotsEach = 3) : slots(slotsEach), random(seed) {
        newPlanner();
        for (int i = 0; i < 5; ++i) link("s" + std::to_string(i));
    }
    uint32_t below(uint32_t n) { return random() % n; }
    void newPlanner() {
        planner = std::make_unique<Planner>(now, term, random(), 150, ms(300));
        planner->onConfiguration(now, {{"f", 128, ms(400), int(slots), ms(300)}});
        planner->onWorkerList(now, {{"w1", "a", 9000, 9000, false}, {"w2", "b", 9000, 9000, false}});
    }
    void link(const SenderId& id) {
        Agent& a = agents[id];
        a.inbox.clear();
        a.outbox.clear();
        a.linked = a.first = true;
        a.heard = false;
        a.back = a.silentAt = Instant::never();
        planner->onSenderLinked(now, id, id < "s2" ? "a" : "b");
    }
    // Applies a grant; slots in use are returned as calls end.
    static void applyGrant(Agent& a, const Grant& g) {
        auto& h = a.has[g.instance];
        a.named.insert(g.instance);
        h.first = std::max(g.slots, h.second);
        a.may[g.instance] = g.slots;
    }
    void send(Agent& a) {
        Report r;
        r.term = term;
        r.isFull = a.first;
        a.first = false;
        r.intervalMs = 50;
        uint32_t busy = 0;
        for (auto& [id, h] : a.has) {
            busy += h.second;
            bool tell = r.isFull ? h.first > 0 : a.named.count(id) > 0;
            if (tell) r.held.push_back({id, "f", "x", h.first, h.second});
        }
        a.named.clear();
        r.demands = {{"f", below(3) ? 0 : below(4), busy, busy, below(4), 80'000}};
        Instant at = now + ms(1 + below(60));
        if (!a.outbox.empty()) at = std::max(at, a.outbox.back().first);
        a.outbox.emplace_back(at, r);
    }
    void pull() {
        while (auto o = planner->next()) {
            if (auto* s = std::get_if<StartCall>(&*o)) {
                std::string id = "i" + std::to_string(++startedCount);
                live[id] = now + ms(300 + below(200));
                planner->onStarted(now, s->nonce, id, "x");
            } else if (auto* t = std::get_if<GrantsMessage>(&*o)) {
                Agent& a = agents[t->to];
                if (!a.linked) continue;
                Instant at = now + ms(1 + below(60));
                if (!a.inbox.empty()) at = std::max(at, a.inbox.back().at);
                a.inbox.push_back({at, t->grants});
                for (auto& g : t->grants.grants) granted += g.slots;
            } else if (auto* s = std::get_if<StopCall>(&*o)) {
                for (auto& [id, a] : agents)
                    if (a.has.count(s->instance) && a.has[s->instance].second > 0) ++stopsInUse;
                live.erase(s->instance);
                ++stoppedCount;
                planner->onStopped(now, s->instance, 200);
            }
        }
    }
    bool isWithinSlots() const {
        for (auto& [id, up] : live) {
            uint64_t n = 0;
            for (auto& [who, a] : agents)  // a suspended sender starts no calls
                if (auto h = a.has.find(id); h != a.has.end())
                    n += now < a.suspendedUntil ? h->second.second : h->second.first;
            if (n > slots) return false;
        }
        return true;
    }
    void step(int k) {
        now = now + ms(5);
        for (auto& [id, a] : agents) {
            if (now < a.suspendedUntil) continue;
            if (now >= a.back) link(id);
            if (now >= a.silentAt) {  // after this long without a holder it uses no slots
                a.has.clear();
                a.may.clear();
            }
            while (a.linked && !a.inbox.empty() && a.inbox.front().at <= now) {
                if (a.inbox.front().grants.term == term)
                    for (auto& g : a.inbox.front().grants.grants) applyGrant(a, g);
                a.inbox.pop_front();
            }
            for (auto& [inst, h] : a.has) {  // calls start and end
                uint32_t was = h.second, had = h.first, may = a.may[inst];
                if (h.second > 0 && below(8) == 0) --h.second;
                if (h.second < may && below(12) == 0) ++h.second;
                h.first = std::max(h.second, may);
                if (h.first != had || h.second != was) a.named.insert(inst);
            }
            if (a.linked && (a.first || below(8) == 0)) send(a);
            while (a.linked && !a.outbox.empty() && a.outbox.front().first <= now) {
                Report r = a.outbox.front().second;
                a.outbox.pop_front();
                planner->onReport(now, id, r);
                a.heard |= r.isFull && r.term == term;
            }
        }
        uint32_t event = below(400);
        auto victim = agents.begin();
        std::advance(victim, below(uint32_t(agents.size())));
        Agent& a = victim->second;
        // A suspended sender is not cut off as well: it could not read then what was recalled meanwhile.
        bool still = now < a.suspendedUntil + ms(100);
        if (event == 0 && a.linked && !still) {  // killed: holds nothing
            a.linked = false;
            a.has.clear();
            a.may.clear();
            planner->onSenderUnlinked(now, victim->first, true);
            a.back = now + ms(200 + below(800));
        } else if (event == 1 && a.linked && a.heard &&
                   !still) {  // cut off: keeps using its slots for a while
            // Only after its slots were reported: otherwise the holder cannot reserve them, as with a new
            // holder below.
            a.linked = false;
            planner->onSenderUnlinked(now, victim->first, false);
            a.back = now + ms(below(8000));
            a.silentAt = now + ms(4900);
        } else if (event == 2 && k % 4 == 0 && std::none_of(agents.begin(), agents.end(), [&](const auto& x) {
                       return (!x.second.linked && !x.second.has.empty()) || now < x.second.suspendedUntil;
                   })) {
            // A new holder: all links are new and it knows nothing. Not while a sender that is cut off still
            // uses slots: no holder can know of those before the sender is back.
            ++term;
            newPlanner();
            for (auto& [id, x] : agents)
                if (x.linked) link(id);
        }
        // Suspends a sender after its calls were reported.
        if (suspendsSenders && a.linked && now >= a.suspendedUntil && below(100) == 0) {
            send(a);
            for (auto& [at, r] : a.outbox) {
                planner->onReport(now, victim->first, r);
                a.heard |= r.isFull && r.term == term;
            }
            a.outbox.clear();
            a.suspendedUntil = now + ms(100 + below(2400));
        }
        if (k % 20 == 0) {
            std::vector<ListedInstance> l;
            for (auto& [id, up] : live)
                if (up <= now) l.push_back({id, "f", "x", "a", "w1", int(slots), false});
            planner->onInstanceList(now, l);
        }
        if (now >= planner->wakeAt()) planner->tick(now);
        pull();
    }
};

constexpr uint32_t kUnlimitedSlots = std::numeric_limits<int32_t>::max();

// A service with `instances` up, each with `slots`, on which s1 calls twice as often as s2 and nothing waits.
struct SpreadingFixture : PlannerFixture {
    std::vector<std::string> ids;
    int slotsEach;
    SpreadingFixture(int slots, int instances) : PlannerFixture(slots, 1500), slotsEach(slots) {
        for (int i = 0; i < instances; ++i) ids.push_back("i" + std::to_string(i));
        listAll();
    }
    void listAll() {
        std::vector<std::pair<std::string, bool>> all;
        for (const std::string& id : ids) all.emplace_back(id, false);
        list(all, slotsEach);
    }
    // Both senders report as many calls as given, and that they hold what they were granted.
    void reportBoth(uint32_t arrivedAtFirst, uint32_t waiting = 0) {
        for (const SenderId s : {"s1", "s2"}) {
            std::vector<HeldSlots> has;
            for (const std::string& id : ids)
                if (const auto at = told.find({s, id}); at != told.end())
                    has.push_back(held(id, at->second, 0));
            report(s, waiting, 0, s == "s1" ? arrivedAtFirst : arrivedAtFirst / 2, has);
        }
    }
    uint64_t granted(const SenderId& s) const {
        uint64_t sum = 0;
        for (const auto& [key, slots] : told)
            if (key.first == s) sum += slots;
        return sum;
    }
};

// `count` functions that each lack an instance for a request that waits at "s1".
void lackInstances(PlannerFixture& b, int count, int memoryMb) {
    std::vector<FunctionSpec> functions;
    Report report = b.whole();
    for (int i = 0; i < count; ++i) {
        const std::string name = "function" + std::to_string(i);
        functions.push_back({name, memoryMb, ms(900), 1, ms(400)});
        report.demands.push_back({name, 1, 0, 1, 1, 80'000});
    }
    b.planner.onConfiguration(b.now, functions);
    b.planner.onReport(b.now, "s1", report);
    b.pull();
}

// Guards against a holder whose passes and memory grow for as long as it runs: each sender that ever called a
// function was counted there for good (related to review/5).
TEST(Planner, sendersThatNoLongerCallAServiceAreNotCounted) {
    PlannerFixture b(1, 5000);
    std::vector<FunctionSpec> functions;
    for (int i = 0; i < 40; ++i) functions.push_back({"g" + std::to_string(i), 16, ms(900), 1, ms(5000)});
    b.planner.onConfiguration(b.now, functions);
    for (int sender = 0; sender < 50; ++sender) {
        const SenderId id = "many" + std::to_string(sender);
        b.planner.onSenderLinked(b.now, id, "a");
        Report report = b.whole();
        for (const FunctionSpec& f : functions) report.demands.push_back({f.name, 0, 0, 1, 1, 80'000});
        b.planner.onReport(b.now, id, report);
    }
    b.wait(1000);
    EXPECT_EQ(b.planner.counters().demands, 2000u);
    // One goes on calling, and one has a call that lasts.
    for (int second = 0; second < 60; ++second) {
        Report calls = b.whole();
        calls.isFull = false;
        calls.demands = {{"g0", 0, 0, 1, 1, 80'000}};
        b.planner.onReport(b.now, "many0", calls);
        if (second == 0)
            calls.demands = {{"g1", 0, 1, 1, 1, 80'000}}, b.planner.onReport(b.now, "many1", calls);
        b.wait(1000);
    }
    EXPECT_EQ(b.planner.counters().demands, 2u);
}

// Guards against a holder that answers nobody for as long as a pass takes, whatever there is so much of: what
// takes long is done in parts (related to review/5).
TEST(Planner, aPassIsDoneInPartsWhenThereIsMuchToLookAt) {
    PlannerFixture b;
    constexpr int kSenders = 200, kFunctions = 1000;
    std::vector<FunctionSpec> functions;
    Report report = b.whole();
    for (int i = 0; i < kFunctions; ++i) {
        functions.push_back({"g" + std::to_string(i), 16, ms(900), 1, ms(1500)});
        report.demands.push_back({functions.back().name, 1, 0, 1, 1, 80'000});
    }
    b.planner.onConfiguration(b.now, functions);
    // The dearest service: its demands, and as many searches for a slot as senders wait.
    constexpr uint64_t kMostForOneService = 20 * kSenders;
    constexpr uint64_t kMost = 2 * (kMaxRecordsPerPass + kMostForOneService);
    uint64_t before = 0, parts = 0;
    const auto checkPart = [&] {
        const uint64_t visited = b.planner.counters().recordsVisited;
        EXPECT_LE(visited - before, kMost);
        before = visited, ++parts;
    };
    for (int sender = 0; sender < kSenders; ++sender) {
        const SenderId id = "many" + std::to_string(sender);
        b.planner.onSenderLinked(b.now, id, "a");
        b.planner.onReport(b.now, id, report);
    }
    before = b.planner.counters().recordsVisited;
    b.pull();
    checkPart();
    for (int tick = 0; tick < 5; ++tick) {
        b.now = b.now + ms(200);
        const uint64_t atTick = before;
        do {
            b.planner.tick(b.now);
            b.pull();
            checkPart();
        } while (b.planner.wakeAt() <= b.now && parts < 1000);
        // Each service was dealt with, for its waiting requests and in the round.
        EXPECT_GE(before - atTick, 2u * kSenders * kFunctions);
    }
    EXPECT_LT(parts, 1000u);
    EXPECT_GT(b.planner.counters().cutPasses, 0u);
    EXPECT_GT(b.starts.size(), 40u);
}

// Guards against a holder that answers nobody while thousands of functions lack an instance and the
// platform's rate is used up: each of them searched for a worker in each pass (related to review/5).
TEST(Planner, noWorkerIsSearchedForWhileThePlatformsRateIsUsedUp) {
    PlannerFixture b;
    lackInstances(b, 500, 1);
    b.wait(1000);
    EXPECT_GT(b.starts.size(), 40u);
    EXPECT_LT(b.starts.size(), 200u);
    EXPECT_EQ(b.planner.counters().workerSearches, b.starts.size());
}

// Guards against the same while no worker has room.
TEST(Planner, noWorkerIsScoredForAFunctionThatFitsNowhere) {
    PlannerFixture b;
    const size_t starts = b.starts.size();
    const uint64_t searches = b.planner.counters().workerSearches;
    lackInstances(b, 500, 5000);
    b.wait(3000);
    EXPECT_EQ(b.starts.size(), starts);
    EXPECT_EQ(b.planner.counters().workerSearches, searches);
}

// Guards against a holder that answers nobody: the free slots of a function without a limit were granted
// ahead one by one, each with a search (review/5). All numbers that a configuration can have must cost the
// same.
TEST(Planner, aPassDoesNotGrowWithTheSlotsOfAnInstance) {
    for (const int slots : {8, 1'000, 1'000'000, 2'000'000'000, std::numeric_limits<int>::max()})
        for (const int instances : {1, 3, 5}) {
            SpreadingFixture b(slots, instances);
            const uint64_t before = b.planner.counters().slotSearches;
            b.reportBoth(20);
            b.wait(200);
            const uint64_t searches = b.planner.counters().slotSearches - before;
            ASSERT_LE(searches, 2u + 10u * static_cast<uint64_t>(instances))
                << slots << " slots at each of " << instances;
            const double all = static_cast<double>(slots) * instances;
            EXPECT_NEAR(static_cast<double>(b.granted("s1")), all * 2 / 3, all / 10 + 1) << slots;
            EXPECT_NEAR(static_cast<double>(b.granted("s2")), all / 3, all / 10 + 1) << slots;
        }
}

// Guards against sums of slots that go round: three instances without a limit counted as fewer slots than
// one, so more were started and senders were told a wrong number for the whole fleet (review/5).
TEST(Planner, sumsOfSlotsDoNotOverflow) {
    SpreadingFixture b(static_cast<int>(kUnlimitedSlots), 3);
    b.reportBoth(20);
    b.wait(200);
    ASSERT_FALSE(b.tells.empty());
    EXPECT_EQ(b.tells.back().grants.grants.back().fleetSlots, std::numeric_limits<uint32_t>::max());
    const std::vector<ServiceState> states = b.planner.serviceStates();
    ASSERT_EQ(states.size(), 1u);
    EXPECT_EQ(states[0].slots, uint64_t{3} * kUnlimitedSlots);
    // The slots are granted. What waits for a moment nevertheless is served by recalls, and starts nothing.
    b.reportBoth(20, 50);
    b.wait(1000);
    EXPECT_TRUE(b.starts.empty());
}

// Guards against more requests at an instance than it takes connections: the others were reset, and a
// function without a limit was served 327 times of 1,825.
TEST(Planner, noMoreSlotsAreUsedThanAnInstanceTakesConnections) {
    const int unlimited = static_cast<int>(kUnlimitedSlots);
    SpreadingFixture b(unlimited, 2);
    b.planner.onConfiguration(b.now, {{"f", 128, ms(900), unlimited, ms(1500), 16}});
    b.listAll();
    EXPECT_EQ(b.planner.serviceStates()[0].slots, 16u);
    b.reportBoth(20, 500);
    b.wait(200);
    EXPECT_GT(b.granted("s1") + b.granted("s2"), 0u);
    EXPECT_LE(b.granted("s1") + b.granted("s2"), 16u);
    ASSERT_FALSE(
        b.starts.empty());  // the other requests need further instances, also before these are listed
    b.planner.onStarted(b.now, b.starts[0].nonce, "new", "x:new");
    b.pull();
    EXPECT_LE((b.told[{"s1", "new"}] + b.told[{"s2", "new"}]), 8u);
}

TEST(UsableSlots, AreAtLeastOneAndAtMostHalfOfTheConnections) {
    constexpr int most = std::numeric_limits<int>::max();
    EXPECT_EQ(usableSlots(8, 137), 8u);
    EXPECT_EQ(usableSlots(2, 25), 2u);
    EXPECT_EQ(usableSlots(most, 25), 12u);
    EXPECT_EQ(usableSlots(most, 1), 1u);
    EXPECT_EQ(usableSlots(most, 0), uint32_t{most});
    EXPECT_EQ(usableSlots(most, most), uint32_t{most / 2});
    EXPECT_EQ(usableSlots(0, 25), 1u);
    EXPECT_EQ(usableSlots(-5, 25), 1u);
}

// Guards against the same for requests that wait: many of them for an instance with many slots are served in
// few steps, and each sender gets what it waits for.
TEST(Planner, manyWaitingAreGrantedTheirSlotsInFewSteps) {
    SpreadingFixture b(1'000'000, 2);
    const uint64_t before = b.planner.counters().slotSearches;
    b.report("s1", 200'000, 0, 1);
    b.report("s2", 300'000, 0, 1);
    EXPECT_LE(b.planner.counters().slotSearches - before, 60u);
    EXPECT_EQ(b.granted("s1"), 200'000u);
    EXPECT_EQ(b.granted("s2"), 300'000u);
}

// Guards against the extremes of a service's other numbers: none may make the planner hang or compute a time
// outside its range.
TEST(Planner, extremesOfAServiceAreBorne) {
    const Span longest = Span::millis(1'000'000'000'000);
    for (const int memoryMb : {0, 1, 2'000'000'000})
        for (const Span boot : {Span(), longest})
            for (const Span target : {Span(), longest}) {
                PlannerFixture b;
                b.planner.onConfiguration(b.now, {{"f", memoryMb, boot, int(kUnlimitedSlots), target}});
                for (int i = 0; i < 20; ++i) {
                    b.report("s1", 3, 1, 10);
                    b.wait(200);
                    b.list({{"i1", false}, {"i2", false}, {"i3", false}}, int(kUnlimitedSlots));
                }
                b.report("s1", 0, 0, 0);
                b.wait(60'000);
                EXPECT_LE(b.planner.counters().slotSearches, 1000u);
            }
}

// Guards against a function whose route has no latency target to speak of: until a call was measured, a
// quarter of the target counted as its duration, and two calls took the memory of all workers.
TEST(Planner, theFirstCallsOfAFunctionDoNotStartInstancesByTheLengthOfItsTarget) {
    for (const Span boot : {ms(900), Span::millis(1'000'000'000'000)})
        for (const int64_t targetMs : {5'000ll, 60'000ll, 3'600'000ll, 1'000'000'000'000ll}) {
            PlannerFixture b(1, 1500);
            b.planner.onConfiguration(b.now, {{"f", 128, boot, 1, ms(targetMs)}});
            for (int i = 0; i < 10; ++i) {
                Report r;
                r.term = 7, r.intervalMs = 100;
                r.demands = {{"f", 1, 0, 1, i % 5 == 0 ? 1u : 0u, 0}};
                b.planner.onReport(b.now, "s1", r);
                b.wait(200);
            }
            EXPECT_GE(b.starts.size(), 1u);
            EXPECT_LE(b.starts.size(), 4u) << "target " << targetMs << " ms";  // two for each call
        }
}

TEST(Planner, noSlotOfAFunctionWithoutALimitIsUsedTwice) {
    uint64_t granted = 0;
    for (uint32_t seed = 1; seed <= 20; ++seed) {
        RandomSchedule s(seed, seed % 2 == 0 ? kUnlimitedSlots : 2'000);
        s.suspendsSenders = seed > 10;
        for (int k = 0; k < 4000; ++k) {
            s.step(k);
            ASSERT_TRUE(s.isWithinSlots()) << "seed " << seed << " step " << k;
        }
        granted += s.granted;
    }
    EXPECT_GT(granted, 10'000u);
}

TEST(Planner, noSlotIsEverUsedTwice) {
    uint64_t granted = 0, lent = 0;
    int startedCount = 0;
    for (uint32_t seed = 1; seed <= 100; ++seed) {
        RandomSchedule s(seed);
        s.suspendsSenders = seed > 60;
        for (int k = 0; k < 4000; ++k) {
            s.step(k);
            ASSERT_TRUE(s.isWithinSlots()) << "seed " << seed << " step " << k;
        }
        EXPECT_EQ(s.stopsInUse, 0) << "seed " << seed;
        if (s.suspendsSenders) lent += s.planner->counters().reassignedSlots;
        granted += s.granted;
        startedCount += s.startedCount;
    }
    EXPECT_GT(granted, 10'000u);  // otherwise the schedules exercised nothing
    EXPECT_GT(startedCount, 60);
    EXPECT_GT(lent, 40u);
}

}  // namespace
}  // namespace petrelpond::scaler
