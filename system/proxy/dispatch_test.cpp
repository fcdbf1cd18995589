#include "system/proxy/dispatch.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <random>
#include <set>

namespace petrelpond::proxy {
namespace {

const Instant kStart = Instant::atMicros(1'000'000'000);

constexpr AttemptOutcome kEndings[] = {AttemptOutcome::answered,         AttemptOutcome::serverError,
                                       AttemptOutcome::notExecuted,      AttemptOutcome::misdirected,
                                       AttemptOutcome::connectFailed,    AttemptOutcome::notSent,
                                       AttemptOutcome::connectionBroken, AttemptOutcome::timedOut};

// What an ending truly means for the request, told here once more: the core is not asked to judge itself.
bool trulyMayHaveRun(AttemptOutcome e) {
    return e == AttemptOutcome::answered || e == AttemptOutcome::serverError ||
           e == AttemptOutcome::connectionBroken || e == AttemptOutcome::timedOut;
}
bool reachedAnEndpoint(AttemptOutcome e) {
    return e != AttemptOutcome::connectFailed && e != AttemptOutcome::notSent;
}

scaler::Grant grant(const std::string& instance, uint32_t slots, uint32_t upInMs = 0) {
    return {instance, "s", "10.0.0.1:80", "here", slots, upInMs};
}

// A core with a clock that goes only where it is told to, and everything that came out of it.
struct Play {
    Instant now = kStart;
    Dispatch core;
    std::vector<std::pair<Instant, Output>> all;
    std::vector<Output> fresh;  // of the last input
    uint64_t nextId = 1;

    explicit Play(Dispatch::Options options = {1, "here"}, int boot = 1000) : core(now, options) {
        core.updateServices(now, {{"s", 8, Span::millis(boot)}});
        core.updatePlannerStatus(now, 1, true, 1);
        take();
    }
    void take() {
        fresh.clear();
        while (auto o = core.next()) fresh.push_back(*o), all.emplace_back(now, *o);
    }
    void grants(std::vector<scaler::Grant> g, bool whole = false, uint64_t term = 1) {
        core.applyGrants(now, {term, whole, std::move(g)});
        take();
    }
    RequestId come(int ms = 5000, int priority = 2, bool repeatable = false, int attempts = 3) {
        IncomingRequest a{
            nextId++,        "s", repeatable, priority, attempts, now + Span::millis(ms), Span::millis(400),
            Span::millis(ms)};
        core.onRequest(now, a);
        take();
        return a.id;
    }
    void end(RequestId id, AttemptOutcome how) {
        core.onAttemptEnded(now, id, how);
        take();
    }
    // The host's round: ticks at each wake-up until `until`, or until the condition holds.
    template <class Done>
    bool go(Instant until, Done done) {
        while (!done()) {
            Instant at = std::max(core.wakeAt(), now);
            if (at > until) return now = until, done();
            now = at;
            core.tick(now);
            take();
        }
        return true;
    }
    void pass(int ms) {
        go(now + Span::millis(ms), [] { return false; });
    }
    std::vector<SendRequest> sends() const {
        std::vector<SendRequest> out;
        for (auto& [at, o] : all)
            if (auto* s = std::get_if<SendRequest>(&o)) out.push_back(*s);
        return out;
    }
    bool sent(RequestId id) const {
        auto s = sends();
        return std::any_of(s.begin(), s.end(), [&](const SendRequest& x) { return x.id == id; });
    }
    template <class T>
    std::optional<std::pair<Instant, T>> got(RequestId id) const {
        for (auto& [at, o] : all)
            if (auto* t = std::get_if<T>(&o); t && t->id == id) return std::pair(at, *t);
        return std::nullopt;
    }
    std::string instanceOf(RequestId id) const {
        std::string name;
        for (auto& s : sends())
            if (s.id == id && core.findInstance(s.instance)) name = core.findInstance(s.instance)->id;
        return name;
    }
    std::vector<scaler::Report> reports() const {
        std::vector<scaler::Report> out;
        for (auto& [at, o] : all)
            if (auto* t = std::get_if<SendReport>(&o)) out.push_back(t->report);
        return out;
    }
    // What the holder was last told of an instance.
    std::optional<scaler::Held> held(const std::string& id) const {
        std::optional<scaler::Held> last;
        for (auto& r : reports()) {
            if (r.whole) last.reset();
            for (auto& h : r.held)
                if (h.instance == id) last = h;
        }
        return last;
    }
    template <class T>
    int count() const {
        auto is = [](auto& o) { return std::holds_alternative<T>(o.second); };
        return static_cast<int>(std::count_if(all.begin(), all.end(), is));
    }
    int told(const std::string& id, std::vector<std::string> scaler::Report::*list) const {
        int n = 0;
        for (auto& r : reports()) n += static_cast<int>(std::count((r.*list).begin(), (r.*list).end(), id));
        return n;
    }
};

TEST(MayHaveRun, UnsureIsRun) {
    for (AttemptOutcome e : kEndings)
        EXPECT_EQ(mayHaveExecuted(e), trulyMayHaveRun(e)) << static_cast<int>(e);
}

TEST(Dispatch, OneSlotIsOneRequest) {
    Play p;
    p.grants({grant("a", 2), grant("b", 1)});
    std::vector<RequestId> ids;
    for (int i = 0; i < 5; ++i) ids.push_back(p.come());
    EXPECT_EQ(p.sends().size(), 3u);
    std::multiset<std::string> used;
    for (auto id : {ids[0], ids[1], ids[2]}) used.insert(p.instanceOf(id));
    EXPECT_EQ(used, (std::multiset<std::string>{"a", "a", "b"}));
    EXPECT_TRUE(p.core.isQueued(ids[3]));
    EXPECT_TRUE(p.core.isQueued(ids[4]));
    EXPECT_EQ(p.core.queuedCount(), 2u);
    p.end(ids[0], AttemptOutcome::answered);
    EXPECT_TRUE(p.got<ForwardResponse>(ids[0]));
    EXPECT_TRUE(p.go(p.now + Span::seconds(1), [&] { return p.sent(ids[3]); }));
    p.pass(300);
    EXPECT_FALSE(p.sent(ids[4]));  // one slot came free, so one went
}

// Less time than a boot takes, but others have slots: it waits for one of those and gets it.
TEST(Dispatch, WithoutASlotHereThoseOfTheFleetCount) {
    Play p;
    scaler::Grant g = grant("a", 0);
    p.grants({grant("a", 1)});
    g.fleetSlots = 8;
    p.grants({g});
    RequestId id = p.come(600);
    EXPECT_TRUE(p.core.isQueued(id));
    p.pass(50);
    p.grants({grant("b", 1)});
    EXPECT_TRUE(p.go(p.now + Span::millis(200), [&] { return p.sent(id); }));
    // Nobody has any: it can't be had in time and is told so at once.
    Play none;
    none.grants({});
    EXPECT_TRUE(none.got<RejectRequest>(none.come(600)));
}

TEST(Dispatch, ASlotAskedBackIsHeldUntilItsCallEnds) {
    Play p;
    p.grants({grant("a", 2)});
    auto one = p.come(), two = p.come();
    ASSERT_EQ(p.sends().size(), 2u);
    p.grants({grant("a", 0)});
    p.pass(150);
    ASSERT_TRUE(p.held("a"));
    EXPECT_EQ(p.held("a")->slots, 2u);
    EXPECT_EQ(p.held("a")->busy, 2u);
    auto waits = p.come();
    EXPECT_FALSE(p.sent(waits));
    p.end(one, AttemptOutcome::answered);
    p.pass(150);
    EXPECT_EQ(p.held("a")->slots, 1u);
    p.end(two, AttemptOutcome::answered);
    p.pass(150);
    EXPECT_EQ(p.held("a")->slots, 0u);
    EXPECT_FALSE(p.sent(waits));  // what was given back is not used again
    EXPECT_EQ(p.count<ReleaseInstance>(), 1);
}

TEST(Dispatch, AFreeSlotAskedBackIsGivenBackAtOnce) {
    Play p;
    p.grants({grant("a", 3)});
    auto one = p.come();
    p.grants({grant("a", 2)});
    p.pass(150);
    EXPECT_EQ(p.held("a")->slots, 2u);
    EXPECT_EQ(p.held("a")->busy, 1u);
    p.grants({grant("unknown", 0)});  // nothing is held of what is not known
    p.pass(150);
    ASSERT_TRUE(p.held("unknown"));
    EXPECT_EQ(p.held("unknown")->slots, 0u);
    p.end(one, AttemptOutcome::answered);
}

TEST(Dispatch, GrantsOfALowerTermAreIgnored) {
    Play p;
    p.grants({grant("a", 1)});
    p.core.updatePlannerStatus(p.now, 3, true, 1);
    p.take();
    p.grants({grant("a", 5), grant("b", 5)}, false, 2);
    p.grants({}, true, 2);
    auto one = p.come(), two = p.come();
    EXPECT_TRUE(p.sent(one));
    EXPECT_EQ(p.instanceOf(one), "a");
    EXPECT_FALSE(p.sent(two));
    p.core.updatePlannerStatus(p.now, 2, false, 9);  // an old holder's standing as well
    p.pass(300);
    EXPECT_GT(p.reports().size(), 1u);
    EXPECT_EQ(p.reports().back().term, 3u);
}

// The grants of a new holder may come before the word of its term.
TEST(Dispatch, GrantsOfALowerTermAreIgnoredAfterThoseOfAHigher) {
    Play p;
    p.grants({grant("a", 1)}, true, 2);
    p.grants({grant("b", 1)}, false, 1);
    auto one = p.come(), two = p.come();
    EXPECT_TRUE(p.sent(one));
    EXPECT_FALSE(p.sent(two)) << "a slot of a holder that was overtaken";
    p.core.updatePlannerStatus(p.now, 2, true, 1);
    p.take();
    ASSERT_FALSE(p.reports().empty());
    EXPECT_TRUE(p.reports().back().whole);
    EXPECT_EQ(p.reports().back().term, 2u);
}

TEST(Dispatch, ANewTermIsToldAllThatIsHeld) {
    Play p;
    p.grants({grant("a", 2), grant("b", 1)});
    p.come();
    p.core.updatePlannerStatus(p.now, 2, true, 1);
    p.take();
    auto reports = p.reports();
    ASSERT_FALSE(reports.empty());
    EXPECT_TRUE(reports.back().whole);
    EXPECT_EQ(reports.back().term, 2u);
    std::set<std::string> named;
    for (auto& h : reports.back().held) named.insert(h.instance);
    EXPECT_EQ(named, (std::set<std::string>{"a", "b"}));
    p.core.onPlannerDisconnected();
    p.core.updatePlannerStatus(p.now, 2, true, 1);  // the same term on a new link
    p.take();
    EXPECT_TRUE(p.reports().back().whole);
    EXPECT_EQ(p.reports().size(), reports.size() + 1);
}

// The holder asks back only what it knows to have arrived.
TEST(Dispatch, EveryGrantIsAnsweredAHigherOneToo) {
    Play p;
    p.grants({grant("a", 1)});
    ASSERT_TRUE(p.held("a"));
    EXPECT_EQ(p.held("a")->slots, 1u);
    p.grants({grant("a", 2)});
    EXPECT_EQ(p.held("a")->slots, 2u);
    EXPECT_EQ(p.held("a")->busy, 0u);
}

// A slot that is in use as soon as it is granted is answered with the end of its call.
TEST(Dispatch, AGrantThatIsUsedAtOnceIsAnsweredWithTheEndOfItsCall) {
    Play p;
    auto one = p.come();
    const size_t before = p.reports().size();
    p.grants({grant("a", 1)});
    ASSERT_TRUE(p.sent(one));
    EXPECT_EQ(p.reports().size(), before);
    p.pass(50);
    p.end(one, AttemptOutcome::answered);
    p.pass(1);
    ASSERT_EQ(p.reports().size(), before + 1);
    EXPECT_EQ(p.held("a")->slots, 1u);
    EXPECT_EQ(p.held("a")->busy, 0u);
    auto two = p.come();  // a long call does not put the answer off
    p.grants({grant("a", 2)});
    p.pass(101);
    EXPECT_EQ(p.held("a")->slots, 2u);
    EXPECT_EQ(p.held("a")->busy, 1u);
    EXPECT_TRUE(p.sent(two));
}

// Instances "a" and "b" had a slot here; both went to others.
Play withFormers(Dispatch::Options options = {1, "here"}) {
    Play p(options);
    scaler::Grant there = grant("b", 1);
    there.zone = "there";
    p.grants({grant("a", 1), there});
    p.grants({grant("a", 0), grant("b", 0)});
    return p;
}

void silence(Play& p, bool is) {
    p.core.setPlannerSilent(p.now, is);
    p.take();
}

TEST(Borrowing, WithoutAWordOfTheHolderARequestGoesWhereASlotWasOursBefore) {
    Play p = withFormers();
    auto one = p.come();
    EXPECT_FALSE(p.sent(one));  // the holder is heard: it grants one, or starts an instance
    silence(p, true);
    p.pass(1);
    ASSERT_TRUE(p.sent(one));
    EXPECT_EQ(p.instanceOf(one), "a");  // of our zone
    p.end(one, AttemptOutcome::answered);
    EXPECT_TRUE(p.got<ForwardResponse>(one));
    EXPECT_EQ(p.core.counters().borrowed, 1u);
}

TEST(Borrowing, OneCallAtAnInstanceAtATime) {
    Play p = withFormers();
    silence(p, true);
    auto one = p.come(), two = p.come();
    p.pass(1000);
    ASSERT_TRUE(p.sent(one) && p.sent(two));
    EXPECT_NE(p.instanceOf(one), p.instanceOf(two));
    auto three = p.come();
    p.pass(200);
    EXPECT_FALSE(p.sent(three));
    p.end(one, AttemptOutcome::answered);
    p.pass(1500);
    EXPECT_TRUE(p.sent(three));
}

TEST(Borrowing, AFullInstanceIsLeftAloneAndAOnceOnlyRequestIsToldThatItHasNotRun) {
    Play p = withFormers();
    silence(p, true);
    auto one = p.come(5000, 2, false, 1);
    ASSERT_TRUE(p.sent(one));
    p.end(one, AttemptOutcome::notExecuted);
    ASSERT_TRUE(p.got<RejectRequest>(one));
    EXPECT_EQ(p.got<RejectRequest>(one)->second.status, 503);
    auto two = p.come();
    p.pass(90);
    EXPECT_FALSE(p.sent(two));
    p.pass(1500);
    EXPECT_TRUE(p.sent(two));
    EXPECT_EQ(p.core.counters().borrowedNotExecuted, 1u);
}

TEST(Borrowing, WhatEndedMissedOrIsLongAgoIsNotBorrowed) {
    Play p = withFormers();
    scaler::Grant ends = grant("a", 0);
    ends.ends = true;
    p.grants({ends});
    silence(p, true);
    auto one = p.come();
    p.pass(1);
    ASSERT_TRUE(p.sent(one));
    EXPECT_EQ(p.instanceOf(one), "b");
    p.end(one, AttemptOutcome::connectFailed);
    p.pass(1000);
    EXPECT_EQ(p.core.counters().borrowed, 1u);
    Play later = withFormers();
    later.pass(30001);
    silence(later, true);
    auto two = later.come();
    later.pass(100);
    EXPECT_FALSE(later.sent(two));
}

TEST(Borrowing, ItEndsWithTheHoldersSilence) {
    Play p = withFormers();
    silence(p, true);
    silence(p, false);
    auto one = p.come();
    p.pass(500);
    EXPECT_FALSE(p.sent(one));
    EXPECT_EQ(p.core.counters().borrowed, 0u);
}

// After a loss requests for many services wait at each sender: its wants go together, not one by one.
TEST(Dispatch, InACrowdWantsAreReportedTogether) {
    Dispatch core(kStart, {1, "here"});
    core.updatePlannerStatus(kStart, 1, true, 1);
    Instant now = kStart;
    size_t reports = 0, wanted = 0;
    const auto pull = [&] {
        while (auto output = core.next())
            if (auto* tell = std::get_if<SendReport>(&*output)) {
                ++reports;
                for (const auto& demand : tell->report.demands) wanted += demand.waiting > 0;
            }
    };
    pull();
    reports = 0;
    for (uint64_t id = 1; id <= 100; ++id) {  // one a millisecond, each for a service of its own
        IncomingRequest a{id,
                          "s" + std::to_string(id),
                          true,
                          2,
                          1,
                          now + Span::seconds(4),
                          Span::millis(400),
                          Span::seconds(4)};
        core.onRequest(now, a);
        if (core.wakeAt() <= now) core.tick(now);
        pull();
        now = now + Span::millis(1);
    }
    EXPECT_LE(reports, 12u);  // four before it is a crowd, then one each 30 ms
    core.tick(now = now + Span::millis(30));
    pull();
    EXPECT_GE(wanted, 100u);
}

// Somebody waits for what is taken back.
TEST(Dispatch, ALowerGrantIsAnsweredAtOnceAndByTheInstancesIdAlone) {
    Play p;
    p.grants({grant("a", 2)});
    p.pass(100);
    const size_t before = p.reports().size();
    p.grants({grant("a", 1)});
    ASSERT_EQ(p.reports().size(), before + 1);
    ASSERT_EQ(p.reports().back().held.size(), 1u);
    EXPECT_EQ(p.reports().back().held[0].instance, "a");
    EXPECT_EQ(p.reports().back().held[0].slots, 1u);
    EXPECT_TRUE(p.reports().back().held[0].service.empty());
    EXPECT_TRUE(p.reports().back().held[0].address.empty());
}

TEST(Dispatch, AWholeGrantTakesBackWhatItDoesNotName) {
    Play p;
    p.grants({grant("a", 1), grant("b", 1), grant("c", 1)});
    auto one = p.come();
    std::string used = p.instanceOf(one);
    p.grants({grant("c", 1)}, true);
    p.pass(150);
    for (const char* id : {"a", "b"}) {
        auto held = p.held(id);
        ASSERT_TRUE(held) << id;
        EXPECT_EQ(held->slots, used == id ? 1u : 0u) << id;
    }
    auto two = p.come(), three = p.come();
    EXPECT_EQ(p.instanceOf(two), used == "c" ? "" : "c");
    EXPECT_FALSE(p.sent(three));
}

// A proxy that just started, or has no holder, knows only that it has no slots: the instances may well run.
TEST(Dispatch, WithoutAWordOfTheHolderNothingIsTakenForABoot) {
    Play p;
    auto id = p.come(900);
    EXPECT_FALSE(p.got<RejectRequest>(id));
    p.grants({grant("a", 1)});
    EXPECT_TRUE(p.sent(id));
}

TEST(Dispatch, WhatCannotBeServedInTimeIsRefusedAtOnce) {
    Play p;
    p.grants({});           // the holder has spoken: there is nothing for us
    auto id = p.come(600);  // a start alone takes a second
    auto refused = p.got<RejectRequest>(id);
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->first, kStart);
    EXPECT_EQ(refused->second.status, 503);
    EXPECT_GT(refused->second.retryAfter, Span());
    EXPECT_LE(refused->second.retryAfter, Span::millis(198));  // clients honour a third of their time
    EXPECT_EQ(p.core.queuedCount(), 0u);
    EXPECT_EQ(p.core.counters().rejectedImmediately, 1u);
}

TEST(Dispatch, NothingIsHeldBeyondItsShareOfTheTime) {
    for (int ms : {300, 1000, 4000}) {
        Play p;
        p.grants({grant("a", 1)});
        p.come(20000);
        auto id = p.come(ms);
        ASSERT_TRUE(p.core.isQueued(id)) << ms;
        p.pass(ms);
        auto refused = p.got<RejectRequest>(id);
        ASSERT_TRUE(refused) << ms;
        Span held = refused->first - kStart;
        EXPECT_GE(held, Span::millis(ms) * 0.45 - Span::millis(1));
        EXPECT_LE(held, Span::millis(ms) * 0.45 + Span::millis(51));  // looked at twenty times a second
        EXPECT_EQ(p.core.counters().rejectedAfterQueueing, 1u);
        EXPECT_LE(refused->second.retryAfter,
                  std::max((Span::millis(ms) - held) * 0.33 + Span::millis(1), Span::millis(50)));
    }
}

TEST(Dispatch, PriorityZeroGoesBeforeTwo) {
    Play p;
    p.grants({grant("a", 1)});
    auto first = p.come();
    auto low = p.come(5000, 2), high = p.come(5000, 0), middle = p.come(5000, 1), highToo = p.come(5000, 0);
    std::vector<RequestId> order;
    auto running = first;
    for (int i = 0; i < 4; ++i) {
        p.now = p.now + Span::millis(20);
        auto before = p.sends().size();
        p.end(running, AttemptOutcome::answered);
        ASSERT_TRUE(p.go(p.now + Span::seconds(1), [&] { return p.sends().size() > before; }));
        order.push_back(running = p.sends().back().id);
    }
    EXPECT_EQ(order, (std::vector<RequestId>{high, highToo, middle, low}));
}

TEST(Dispatch, AWithdrawnRequestIsNeitherSentNorAnswered) {
    Play p;
    p.grants({grant("a", 1)});
    auto one = p.come(), two = p.come(), three = p.come();
    p.core.cancelRequest(p.now, two);
    p.end(one, AttemptOutcome::answered);
    EXPECT_TRUE(p.go(p.now + Span::seconds(1), [&] { return p.sent(three); }));
    p.pass(6000);
    EXPECT_FALSE(p.sent(two));
    EXPECT_FALSE(p.got<RejectRequest>(two));
    EXPECT_FALSE(p.got<FailRequest>(two));
    EXPECT_EQ(p.core.queuedCount(), 0u);
}

TEST(Dispatch, TheBucketBindsWhenARequestIsHeld) {
    Play free;
    free.grants({grant("a", 10)});
    for (int i = 0; i < 10; ++i) free.come();
    EXPECT_EQ(free.sends().size(), 10u);  // nothing was held: nothing is paced
    EXPECT_EQ(free.now, kStart);

    Play p;
    p.grants({grant("a", 1)});
    p.come(20000);
    std::vector<RequestId> rest;
    for (int i = 0; i < 10; ++i) rest.push_back(p.come(20000));
    p.pass(100);
    Instant from = p.now;
    p.grants({grant("a", 11)});
    EXPECT_TRUE(p.go(p.now + Span::seconds(3), [&] { return p.sends().size() == 11; }));
    std::vector<Instant> starts;
    for (auto& [at, o] : p.all)
        if (std::holds_alternative<SendRequest>(o) && at >= from) starts.push_back(at);
    ASSERT_EQ(starts.size(), 10u);
    for (size_t i = 1; i < starts.size(); ++i) EXPECT_GT(starts[i], starts[i - 1]);
    EXPECT_GT(starts.back() - starts.front(), Span::millis(60));  // 11 slots / 0.1 s of a call at most

    // Ten seconds without a hold end it.
    for (auto id : rest) p.end(id, AttemptOutcome::answered);
    p.end(1, AttemptOutcome::answered);
    p.pass(10500);
    auto before = p.sends().size();
    for (int i = 0; i < 8; ++i) p.come(20000);
    EXPECT_EQ(p.sends().size(), before + 8);
}

// Ten slots at a tenth of a second are a hundred calls a second, whatever was had when the bucket bound.
TEST(Dispatch, AGrantRaisesThePace) {
    for (uint32_t first : {0u, 1u}) {
        Play p({1, "here"}, 100);
        if (first > 0) p.grants({grant("a", first)});
        for (int i = 0; i < 10; ++i) p.come(10000);
        p.pass(20);
        p.grants({grant("a", 10)});
        Instant from = p.now;
        EXPECT_TRUE(p.go(p.now + Span::seconds(20), [&] { return p.sends().size() == 10; }));
        EXPECT_LE(p.now - from, Span::millis(500)) << "slots lie idle while requests wait";
    }
}

TEST(Dispatch, FullBindsTheBucketAndGoesElsewhere) {
    Play p;
    p.grants({grant("a", 1), grant("b", 1)});
    auto id = p.come();
    std::string first = p.instanceOf(id);
    p.end(id, AttemptOutcome::notExecuted);
    EXPECT_TRUE(p.go(p.now + Span::seconds(1), [&] { return p.sends().size() == 2; }));
    EXPECT_NE(p.instanceOf(id), first);
    EXPECT_EQ(p.core.counters().notExecuted, 1u);
    p.end(id, AttemptOutcome::answered);
    EXPECT_TRUE(p.got<ForwardResponse>(id));
}

TEST(Dispatch, ABootingInstanceIsProbedAndUsedOnceUp) {
    Play p;
    p.grants({grant("a", 1, 1000)});
    auto id = p.come(6000);
    EXPECT_TRUE(p.core.isQueued(id));
    auto probes = [&] { return p.count<ProbeInstance>(); };
    EXPECT_EQ(probes(), 0);
    EXPECT_TRUE(p.go(p.now + Span::seconds(2), [&] { return probes() == 1; }));
    EXPECT_GE(p.now, kStart + Span::millis(500));
    EXPECT_LE(p.now, kStart + Span::millis(1000));
    p.pass(100);
    EXPECT_EQ(probes(), 1);  // one at a time
    EXPECT_FALSE(p.sent(id));
    p.core.onProbeResult(p.now, 0, false);
    p.take();
    EXPECT_TRUE(p.go(p.now + Span::millis(200), [&] { return probes() == 2; }));
    p.core.onProbeResult(p.now, 0, true);
    p.take();
    EXPECT_TRUE(p.go(p.now + Span::millis(300), [&] { return p.sent(id); }));
    p.pass(300);
    EXPECT_EQ(p.told("a", &scaler::Report::up), 1);
    EXPECT_EQ(probes(), 2);
}

TEST(Dispatch, AnInstanceThatNeverComesUpIsReportedDeadOnce) {
    Play p;
    p.grants({grant("a", 1, 100)});
    for (int i = 0; i < 3; ++i) {  // somebody waits all the while
        p.come(4000);
        Instant until = p.now + Span::millis(1700);
        while (p.now < until) {
            int before = p.count<ProbeInstance>();
            p.go(until, [&] { return p.count<ProbeInstance>() > before; });
            p.core.onProbeResult(p.now, 0, false);
            p.take();
        }
    }
    EXPECT_EQ(p.told("a", &scaler::Report::dead), 1);
}

TEST(Dispatch, ADeadInstanceIsReportedAfterTwoMisses) {
    Play p;
    p.grants({grant("a", 1)});
    auto id = p.come(5000);
    p.end(id, AttemptOutcome::connectFailed);
    p.pass(150);
    EXPECT_EQ(p.told("a", &scaler::Report::dead), 0);
    EXPECT_TRUE(p.go(p.now + Span::seconds(1), [&] { return p.sends().size() == 2; }));
    p.end(id, AttemptOutcome::connectFailed);
    p.pass(250);
    EXPECT_EQ(p.told("a", &scaler::Report::dead), 1);

    Play q;  // an answer between the two
    q.grants({grant("a", 1)});
    for (AttemptOutcome e :
         {AttemptOutcome::connectFailed, AttemptOutcome::answered, AttemptOutcome::connectFailed}) {
        auto before = q.sends().size();
        if (q.core.queuedCount() == 0) q.come(5000);
        ASSERT_TRUE(q.go(q.now + Span::seconds(2), [&] { return q.sends().size() > before; }));
        q.end(q.sends().back().id, e);
    }
    q.pass(300);
    EXPECT_EQ(q.told("a", &scaler::Report::dead), 0);
}

// What the holder can act on is not kept until some later round: within 20 ms of what brought it about.
TEST(Dispatch, WhatIsUrgentIsToldAtOnce) {
    Play p;
    p.grants({grant("a", 1)});
    p.pass(1000);
    auto one = p.come();
    p.pass(1000);
    auto before = p.reports().size();
    auto two = p.come();  // a want
    ASSERT_TRUE(p.core.isQueued(two));
    p.pass(20);
    ASSERT_GT(p.reports().size(), before);
    ASSERT_EQ(p.reports().back().demands.size(), 1u);
    EXPECT_EQ(p.reports().back().demands[0].waiting, 1u);
    p.grants({grant("a", 0)});
    p.pass(1000);
    p.end(one, AttemptOutcome::answered);  // a slot that was asked back
    p.pass(20);
    EXPECT_EQ(p.held("a")->slots, 0u);

    Play q;
    q.grants({grant("a", 1)});
    q.pass(1000);
    auto three = q.come();
    q.end(three, AttemptOutcome::connectFailed);
    ASSERT_TRUE(q.go(q.now + Span::seconds(1), [&] { return q.sends().size() == 2; }));
    q.pass(200);
    q.end(three, AttemptOutcome::connectFailed);
    q.pass(20);
    EXPECT_EQ(q.told("a", &scaler::Report::dead), 1);
}

// A holder that is new knows nothing of what was told to the one before it.
TEST(Dispatch, WhatIsDeadIsToldToANewHolderAsWell) {
    Play p;
    p.grants({grant("a", 1)});
    auto id = p.come(8000);
    for (size_t n = 2; n <= 3; ++n) {
        p.end(id, AttemptOutcome::connectFailed);
        ASSERT_TRUE(p.go(p.now + Span::seconds(2), [&] { return p.sends().size() == n; }));
    }
    ASSERT_EQ(p.told("a", &scaler::Report::dead), 1);
    p.core.updatePlannerStatus(p.now, 2, true, 1);
    p.take();
    EXPECT_EQ(p.told("a", &scaler::Report::dead), 2);
    // And again at a further miss: the holder believes one sender at its second word.
    p.end(id, AttemptOutcome::connectFailed);
    p.pass(1500);
    EXPECT_EQ(p.told("a", &scaler::Report::dead), 3);
}

TEST(Dispatch, ACallFarBeyondItsKindIsGivenUpWhileThereIsTime) {
    Play p;
    p.grants({grant("a", 4), grant("b", 4)});
    for (int i = 0; i < 12; ++i) {
        auto id = p.come(5000, 2, true);
        EXPECT_EQ(p.sends().back().attemptTimeout > Span(), i >= 8) << i;
        p.now = p.now + Span::millis(20);
        p.end(id, AttemptOutcome::answered);
    }
    p.come(5000, 2, false);
    EXPECT_EQ(p.sends().back().attemptTimeout, Span());  // what may run only once is waited for
    p.come(5000, 2, true, 1);
    EXPECT_EQ(p.sends().back().attemptTimeout, Span());  // and so is what has no other attempt
}

TEST(Dispatch, ACallIsNotGivenUpWhereTheBudgetHasNoOtherSend) {
    Dispatch::Options options{1, "here"};
    options.retryBudgetSlack = 2, options.retryBudgetRatio = 0;  // one further send
    Play p(options);
    p.grants({grant("a", 4), grant("b", 4)});
    for (int i = 0; i < 8; ++i) p.end(p.come(5000, 2, true), AttemptOutcome::answered);
    auto first = p.come(5000, 2, true), second = p.come(5000, 2, true);
    EXPECT_GT(p.sends().back().attemptTimeout, Span());
    p.pass(200);
    EXPECT_TRUE(p.core.mayAbandonAttempt(p.now, first));
    p.end(first, AttemptOutcome::timedOut);
    EXPECT_FALSE(p.core.mayAbandonAttempt(p.now, second));
    EXPECT_EQ(p.count<FailRequest>(), 0);
}

TEST(Dispatch, LeavingIsToldWithAllThatIsHeld) {
    Play p;
    p.grants({grant("a", 2)});
    p.come();
    p.core.startDraining(p.now);
    p.take();
    auto last = p.reports().back();
    EXPECT_TRUE(last.leaving);
    EXPECT_TRUE(last.whole);
    ASSERT_EQ(last.held.size(), 1u);
    EXPECT_EQ(last.held[0].busy, 1u);
}

// --- the retry budget ----------------------------------------------------------------------------

TEST(RetryBudget, AllowsHalfOfItsShareAndTheSlack) {
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
    EXPECT_TRUE(b.allowsRetry(kStart + Span::seconds(12), window, 0.2, 2));  // all of it is out of the window
}

// In every window: at most the share of the requests of this window or the one before, and the slack.
TEST(RetryBudget, HoldsInEverySlidingWindow) {
    const Span window = Span::seconds(10);
    const double ratio = 0.2, slack = 5;
    for (uint32_t seed = 0; seed < 40; ++seed) {
        std::mt19937 chance(seed);
        RetryBudget b;
        std::vector<Instant> requests, further;
        Instant now = kStart + Span::micros(chance() % 10'000'000);
        double rate = 1;
        for (int i = 0; i < 3000; ++i) {
            if (i % 150 == 0) rate = std::pow(10.0, static_cast<double>(chance() % 4));  // lulls and bursts
            now = now + Span::micros(static_cast<int64_t>(chance() % 2'000'000 / rate));
            if (chance() % 2)
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

TEST(Dispatch, FurtherSendsKeepToTheBudget) {
    Dispatch::Options options{1, "here"};
    options.retryBudgetSlack = 8;  // half of it is this sender's, as it is alone
    Play p(options);
    p.grants({grant("a", 50), grant("b", 50)});
    int gaveUp = 0;
    for (int i = 0; i < 20; ++i) {
        auto id = p.come(5000, 2, true, 2);
        p.end(id, AttemptOutcome::connectionBroken);
        if (p.got<FailRequest>(id))
            ++gaveUp;
        else
            p.end(id, AttemptOutcome::answered);
    }
    EXPECT_LE(p.sends().size(), 20u + 4u + 2u);
    EXPECT_GE(p.sends().size(), 20u + 4u);
    EXPECT_GE(gaveUp, 14);
}

TEST(Dispatch, FurtherSendsThatWaitForASlotCountAlready) {
    Dispatch::Options options{1, "here"};
    options.retryBudgetSlack = 2;  // one of it is this sender's
    Play p(options);
    p.grants({grant("a", 8)});
    std::vector<RequestId> all;
    for (int i = 0; i < 8; ++i) all.push_back(p.come(5000, 2, true, 2));
    p.grants({grant("a", 0)});
    for (auto id : all) p.end(id, AttemptOutcome::connectionBroken);
    EXPECT_EQ(p.count<FailRequest>(), 7);
    p.grants({grant("b", 8)});
    p.pass(1000);
    EXPECT_EQ(p.sends().size(), 9u);
}

TEST(Dispatch, AWithdrawnFurtherSendIsGivenBack) {
    Dispatch::Options options{1, "here"};
    options.retryBudgetSlack = 2;
    Play p(options);
    for (int i = 0; i < 3; ++i) {
        p.grants({grant("a", 1)});
        auto id = p.come(5000, 2, true, 2);
        p.grants({grant("a", 0)});
        p.end(id, AttemptOutcome::connectionBroken);
        EXPECT_FALSE(p.got<FailRequest>(id)) << i;
        p.core.cancelRequest(p.now, id);
    }
}

// Each life of every sender fails at all that it can. Together they keep to the rule in each window.
TEST(Dispatch, ManyShortLivesKeepToTheBudgetOfOne) {
    const uint32_t senders = 6;
    std::vector<Instant> further;
    for (uint32_t sender = 0; sender < senders; ++sender) {
        Instant born = kStart;
        for (int life = 0; life < 8; ++life, born = born + Span::millis(4100 + 13 * sender)) {
            Dispatch::Options options{sender, "here"};
            options.retryBudgetSlack = 52, options.retryBudgetRatio = 0, options.mayHaveRestarted = true;
            Play p(options);  // told of one sender, as an agent that knows nobody yet does
            p.grants({grant("a", 50), grant("b", 50)});
            p.core.updatePlannerStatus(p.now, 1, true, senders);
            p.core.updatePlannerStatus(p.now, 1, true,
                                       1);  // and once more: its agent alone was started again
            for (int i = 0; i < 400; ++i) {
                p.pass(10);
                auto id = p.come(5000, 2, true, 2);
                p.end(id, AttemptOutcome::connectionBroken);
                if (!p.sent(id) || p.got<FailRequest>(id)) continue;
                further.push_back(born + (p.now - kStart));
                p.end(id, AttemptOutcome::answered);
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

// --- once-only requests: all sequences of endings ------------------------------------------------

TEST(OnceOnly, NeverSentAfterAnythingThatMayHaveRun) {
    std::vector<std::vector<AttemptOutcome>> sequences{{}};
    for (size_t from = 0, length = 0; length < 3; ++length) {
        size_t to = sequences.size();
        for (; from < to; ++from)
            for (AttemptOutcome e : kEndings) {
                auto longer = sequences[from];
                longer.push_back(e);
                sequences.push_back(longer);
            }
    }
    ASSERT_EQ(sequences.size(), 1u + 8 + 64 + 512);
    for (const auto& sequence : sequences) {
        std::string text;
        for (AttemptOutcome e : sequence) text += std::to_string(static_cast<int>(e)) + " ";
        Play p;
        p.grants({grant("a", 1), grant("b", 1), grant("c", 1), grant("d", 1)});
        auto id = p.come(20000, 2, false, 9);
        bool ran = false;
        size_t sent = 0;
        for (AttemptOutcome e : sequence) {
            if (!p.go(p.now + Span::seconds(8), [&] { return p.sends().size() > sent; })) break;
            ASSERT_FALSE(ran) << text;
            sent = p.sends().size();
            ASSERT_EQ(p.sends().back().id, id);
            p.now = p.now + Span::millis(5);
            p.end(id, e);
            ran |= trulyMayHaveRun(e);
        }
        p.pass(21000);
        ASSERT_FALSE(ran && p.sends().size() > sent) << text;
        ASSERT_FALSE(ran && p.got<RejectRequest>(id)) << text;
        ASSERT_TRUE(!ran || p.got<ForwardResponse>(id) || p.got<FailRequest>(id)) << text;
    }
}

// --- random schedules ----------------------------------------------------------------------------

// Cores that are broken on purpose, to show that the checker sees it.
struct Sound {
    static AttemptOutcome told(AttemptOutcome e) { return e; }
    static bool loses() { return false; }
};
struct BlindToBreaks {  // takes a broken connection for an endpoint that said it was full
    static AttemptOutcome told(AttemptOutcome e) {
        return e == AttemptOutcome::connectionBroken ? AttemptOutcome::notExecuted : e;
    }
    static bool loses() { return false; }
};
struct Forgetful {  // drops refusals on the floor
    static AttemptOutcome told(AttemptOutcome e) { return e; }
    static bool loses() { return true; }
};

struct Findings {
    int doubles = 0;        // a once-only request was sent again though it may have run
    int falsePromises = 0;  // told that it has not run though it may have
    int repeated = 0;       // two final outputs, or something after the final one
    int unanswered = 0;     // no final output at all
    int overSlots = 0, overAttempts = 0, heldLong = 0, asleep = 0, late = 0, unknown = 0;
    int sends = 0, refusals = 0, passed = 0, gaveUp = 0, further = 0;
    int wrong() const {
        return doubles + falsePromises + repeated + unanswered + overSlots + overAttempts + heldLong +
               asleep + unknown;
    }
};

template <class Kind>
void playRandomly(uint32_t seed, Findings& f) {
    std::mt19937 chance(seed);
    auto below = [&](uint32_t n) { return static_cast<uint32_t>(chance() % n); };
    struct Known {
        IncomingRequest is;
        Instant cameAt, waitsSince;
        bool mayHaveRun = false, out = false, final = false, withdrawn = false, everSent = false;
        int arrivedEndings = 0;
        std::string at;
    };
    struct Event {
        RequestId id = 0;         // an ending, or
        InstanceIndex probe = 0;  // a probe's outcome
        std::string probed;
        AttemptOutcome how = AttemptOutcome::answered;
        bool up = false;
    };
    std::map<RequestId, Known> known;
    std::map<std::string, uint32_t> slots, busy;  // as granted; as sent and not ended
    std::multimap<Instant, Event> events;
    std::map<InstanceIndex, std::string> nameOf;
    Instant now = kStart + Span::micros(below(1'000'000));
    Dispatch::Options options{seed, "here"};
    options.retryBudgetSlack = 1 + below(60);
    Dispatch core(now, options);
    uint64_t term = 1;
    bool silent = false;  // the holder
    RequestId nextId = 1;
    const uint32_t trouble = below(4);  // of four: how often a call ends badly
    core.updateServices(now, {{"s", 4, Span::millis(300 + below(1500))}, {"t", 2, Span::millis(500)}});
    core.updatePlannerStatus(now, term, true, 1 + below(4));

    auto drain = [&] {
        while (auto output = core.next()) {
            if (auto* s = std::get_if<SendRequest>(&*output)) {
                ++f.sends;
                auto found = known.find(s->id);
                const InstanceInfo* view = core.findInstance(s->instance);
                if (found == known.end() || !view) {
                    ++f.unknown;
                    continue;
                }
                Known& k = found->second;
                if (k.final || k.out || k.withdrawn) ++f.repeated;
                if (k.mayHaveRun && !k.is.isIdempotent) ++f.doubles;
                if (k.arrivedEndings + 1 > k.is.maxAttempts) ++f.overAttempts;
                if (now > k.is.deadline) ++f.late;
                f.further += k.everSent;
                k.out = k.everSent = true, k.at = view->id;
                // While the holder is silent one call may be at an instance of which no slot is ours.
                const uint32_t borrowed = silent ? 1 : 0;
                if (++busy[view->id] > std::max(slots[view->id], borrowed)) ++f.overSlots;
                Event e;
                e.id = s->id;
                Instant when = now + Span::micros(500 + below(1u << (8 + below(13))));
                bool bad = below(4) < trouble;
                e.how = bad ? kEndings[below(8)] : AttemptOutcome::answered;
                Instant most =
                    s->attemptTimeout > Span() ? now + s->attemptTimeout : k.is.deadline + Span::millis(30);
                if (when >= most) e.how = AttemptOutcome::timedOut;
                if (e.how == AttemptOutcome::timedOut) when = std::max(most, now);
                events.emplace(when, e);
            } else if (auto* p = std::get_if<ProbeInstance>(&*output)) {
                const InstanceInfo* view = core.findInstance(p->instance);
                Event e;
                e.probe = p->instance, e.probed = view ? view->id : "", e.up = below(2) == 0;
                events.emplace(now + Span::micros(below(100'000)), e);
            } else if (!std::holds_alternative<ReleaseInstance>(*output) &&
                       !std::holds_alternative<SendReport>(*output)) {
                RequestId id = 0;
                bool refusal = false;
                if (auto* r = std::get_if<RejectRequest>(&*output))
                    id = r->id, refusal = true;
                else if (auto* g = std::get_if<FailRequest>(&*output))
                    id = g->id, ++f.gaveUp;
                else
                    id = std::get<ForwardResponse>(*output).id, ++f.passed;
                if (refusal && Kind::loses()) continue;
                f.refusals += refusal;
                auto found = known.find(id);
                if (found == known.end()) {
                    ++f.unknown;
                    continue;
                }
                Known& k = found->second;
                if (k.final || k.out || k.withdrawn) ++f.repeated;
                if (refusal && k.mayHaveRun) ++f.falsePromises;
                k.final = true;
            }
        }
    };

    Instant nextInput = now, ends = now + Span::seconds(4), stop = ends + Span::seconds(12);
    while (now < stop) {
        // The host wakes at what it was told and at what happens, a little late as hosts are.
        Instant next = std::min(core.wakeAt(), stop);
        if (!events.empty()) next = std::min(next, events.begin()->first);
        if (now < ends) next = std::min(next, nextInput);
        now = std::max(now, next) + Span::micros(below(8) == 0 ? below(3000) : 0);
        while (!events.empty() && events.begin()->first <= now) {
            Event e = events.begin()->second;
            events.erase(events.begin());
            if (e.id != 0) {
                Known& k = known.at(e.id);
                k.out = false, k.waitsSince = now;
                if (trulyMayHaveRun(e.how)) k.mayHaveRun = true;
                if (reachedAnEndpoint(e.how)) ++k.arrivedEndings;
                --busy[k.at];
                core.onAttemptEnded(now, e.id, Kind::told(e.how));
            } else if (const InstanceInfo* v = core.findInstance(e.probe); v && v->id == e.probed) {
                core.onProbeResult(now, e.probe, e.up);
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
                        if (g.whole)
                            for (auto& [name, n] : slots) n = 0;
                        for (auto& x : g.grants) slots[x.instance] = x.slots;
                    }
                    core.applyGrants(now, g);
                    break;
                }
                case 2:
                    if (below(3) == 0) term += 2;
                    core.updatePlannerStatus(now, term, below(5) != 0, 1 + below(4));
                    break;
                case 3: {
                    RequestId id = 1 + below(static_cast<uint32_t>(nextId));
                    auto found = known.find(id);
                    if (found != known.end() && !found->second.final && core.isQueued(id)) {
                        core.cancelRequest(now, id);
                        found->second.withdrawn = true;
                    }
                    break;
                }
                case 4:
                    if (below(4) == 0) core.onPlannerDisconnected();
                    if (below(3) == 0) silent = !silent, core.setPlannerSilent(now, silent);
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
                    Known& k = known[a.id];
                    k.is = a, k.cameAt = k.waitsSince = now;
                    core.onRequest(now, a);
                }
            }
            drain();
        }
        for (int n = 0; n < 3 && now >= core.wakeAt(); ++n) core.tick(now), drain();
        bool anyWaits = false;
        for (auto& [id, k] : known) {
            if (k.final || k.withdrawn || k.out) continue;
            anyWaits = true;
            Span share = (k.is.deadline - k.cameAt) * 0.45;
            Instant most = k.cameAt + share;
            if (k.everSent) most = std::max(most, k.waitsSince + Span::millis(200));
            if (now > most + Span::millis(56)) ++f.heldLong;
        }
        if (anyWaits && (core.wakeAt() <= now || core.wakeAt() > now + Span::millis(251))) ++f.asleep;
        if (now >= ends && !anyWaits && events.empty()) break;
    }
    for (auto& [id, k] : known)
        if (!k.final && !k.withdrawn) ++f.unanswered;
}

// DISPATCH_SCHEDULES=10000 for a long search, DISPATCH_FIRST to begin elsewhere.
uint32_t fromEnvironment(const char* name, uint32_t otherwise) {
    const char* text = std::getenv(name);
    return text ? static_cast<uint32_t>(std::atoi(text)) : otherwise;
}
const uint32_t kSchedules = fromEnvironment("DISPATCH_SCHEDULES", 3000);
const uint32_t kFirst = fromEnvironment("DISPATCH_FIRST", 1);

TEST(RandomSchedules, EveryRequestEndsOnceAndAsPromised) {
    Findings f;
    for (uint32_t seed = kFirst; seed < kFirst + kSchedules; ++seed) {
        playRandomly<Sound>(seed, f);
        ASSERT_EQ(f.wrong(), 0) << "seed " << seed << ": doubles " << f.doubles << ", false promises "
                                << f.falsePromises << ", repeated " << f.repeated << ", unanswered "
                                << f.unanswered << ", over slots " << f.overSlots << ", over attempts "
                                << f.overAttempts << ", held long " << f.heldLong << ", asleep " << f.asleep
                                << ", unknown " << f.unknown;
    }
    // The schedules have come by everything that is looked for.
    EXPECT_GT(f.sends, 10000);
    EXPECT_GT(f.refusals, 1000);
    EXPECT_GT(f.passed, 1000);
    EXPECT_GT(f.gaveUp, 1000);
    EXPECT_GT(f.further, 1000);
}

TEST(RandomSchedules, NothingIsSentAfterItsDeadline) {
    Findings f;
    for (uint32_t seed = kFirst; seed < kFirst + kSchedules && f.late == 0; ++seed) {
        playRandomly<Sound>(seed, f);
        EXPECT_EQ(f.late, 0) << "seed " << seed;
    }
}

TEST(RandomSchedules, TheCheckerSeesADoubleRunAndAFalsePromise) {
    Findings f;
    for (uint32_t seed = 1; seed <= 200; ++seed) playRandomly<BlindToBreaks>(seed, f);
    EXPECT_GT(f.doubles, 0);
    EXPECT_GT(f.falsePromises, 0);
}

TEST(RandomSchedules, TheCheckerSeesARequestWithoutAnAnswer) {
    Findings f;
    for (uint32_t seed = 1; seed <= 50; ++seed) playRandomly<Forgetful>(seed, f);
    EXPECT_GT(f.unanswered, 0);
    EXPECT_GT(f.heldLong, 0);
}

}  // namespace
}  // namespace petrelpond::proxy
