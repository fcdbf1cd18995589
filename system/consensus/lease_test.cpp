// The lease and contact with a majority, on simulated machines. Each test fails without the safeguard that it
// names.
#include <gtest/gtest.h>

#include "system/consensus/world_for_test.hpp"

namespace petrelpond::consensus {
namespace {

TEST(Core, BeginLeaveHandsTheLeaseOverAtOnce) {
    sim::World w({3, 5, 1, Defect::none, false, 15});
    w.at(sim::World::millis(10000), [&] {
        const int h = w.holder();
        ASSERT_GE(h, 0);
        w.nodes_[static_cast<size_t>(h)].core->beginLeave(w.clock(static_cast<size_t>(h)));
        w.drain(static_cast<size_t>(h));
        EXPECT_EQ(w.holder(), -1);
        w.at(sim::World::millis(400), [&w, h] {  // far less than the leaseDuration of 1200 ms
            EXPECT_GE(w.holder(), 0);
            EXPECT_NE(w.holder(), h);
        });
    });
    EXPECT_EQ(w.run(), "");
}

// After a restart of all cores, only the last holder can be elected before the promises to it expire.
TEST(Core, AfterAFullRestartTheLastHolderRegainsTheLeaseSooner) {
    for (const bool without : {false, true}) {
        sim::World w({7, 5, 1, Defect::none, false, 15});
        w.loss_ = 0;
        w.at(sim::World::millis(10000), [&] {
            const int h = w.holder();
            ASSERT_GE(h, 0);
            for (size_t i = 0; i < w.nodes_.size(); ++i) {
                w.kill(i);
                const bool away = without && static_cast<int>(i) == h;
                const int64_t after = away ? 3000 : 100 + static_cast<int64_t>(i) * 20;
                w.at(sim::World::millis(after), [&w, i] { w.start(i, false); });
            }
            w.at(sim::World::millis(900), [&w, h, without] { EXPECT_EQ(w.holder(), without ? -1 : h); });
            w.at(sim::World::millis(2900), [&w] { EXPECT_GE(w.holder(), 0); });
        });
        EXPECT_EQ(w.run(), "");
    }
}

TEST(Core, AfterAFreezeAHolderFirstReportsTheExpiredLease) {
    sim::World w({4, 5, 1, Defect::none, false, 20});
    w.at(sim::World::millis(10000), [&] {
        const int h = w.holder();
        ASSERT_GE(h, 0);
        sim::World::Node& n = w.nodes_[static_cast<size_t>(h)];
        n.frozenUntil = w.now_ + sim::World::millis(5000);
        w.at(sim::World::millis(4900), [&w, &n, h] {
            EXPECT_TRUE(n.core->lease().held);  // as far as it knows
            EXPECT_GT(w.clock(static_cast<size_t>(h)), n.core->lease().validUntil);
            const auto value = std::make_shared<const Value>(Value{1, 1, "x"});
            n.core->write(w.clock(static_cast<size_t>(h)), 1u << 30, value);
            const auto first = n.core->nextOutput();
            ASSERT_TRUE(first);
            const Lease* d = std::get_if<Lease>(&*first);
            ASSERT_TRUE(d);
            EXPECT_FALSE(d->held);
            while (n.core->nextOutput()) {
            }
            n.frozenUntil = 0;
            bool another = false;
            for (size_t i = 0; i < w.nodes_.size(); ++i) {
                another |= static_cast<int>(i) != h && w.nodes_[i].core->lease().held;
            }
            EXPECT_TRUE(another);
        });
    });
    w.run();
}

// A core that was isolated for long must not depose the active holder when it returns.
TEST(Core, AnIsolatedCoreReturnsWithoutDisturbingTheHolder) {
    sim::World w({5, 5, 1, Defect::none, false, 25});
    int before = -1;
    uint64_t term = 0;
    w.at(sim::World::millis(10000), [&] {
        before = w.holder();
        ASSERT_GE(before, 0);
        term = w.nodes_[static_cast<size_t>(before)].core->lease().term;
        const size_t isolated = before == 0 ? 1 : 0;
        for (size_t i = 0; i < 5; ++i) {
            w.cut_.insert({i, isolated});
            w.cut_.insert({isolated, i});
        }
    });
    w.at(sim::World::millis(18000), [&] { w.cut_.clear(); });
    EXPECT_EQ(w.run(), "");
    EXPECT_EQ(w.holder(), before);
    EXPECT_EQ(w.lastTerm_, term);
}

// A member is isolated for twenty seconds: within two seconds it reports that, it acknowledges nothing, and
// it recovers soon after the cut. The same holds for a cut in one direction, where it hears heartbeats but is
// not heard.
std::string isolateForTwentySeconds(Defect defect, bool oneWay) {
    sim::Plan plan{9, 3, 1, defect, false, 35, false};
    plan.serviceTimings = true;
    sim::World w(plan);
    w.loss_ = 0;
    std::string wrong;
    const auto expect = [&](bool good, const char* what) {
        if (!good && wrong.empty()) wrong = what;
    };
    size_t isolated = 0;
    w.at(sim::World::millis(8000), [&] {
        isolated = (static_cast<size_t>(w.holder()) + 1) % 3;
        expect(w.nodes_[isolated].core->isInContact(w.clock(isolated)), "out of contact at rest");
        for (size_t k = 0; k < 3; ++k) {
            if (k == isolated) continue;
            w.cut_.insert({isolated, k});
            if (!oneWay) w.cut_.insert({k, isolated});
        }
    });
    for (int64_t at = 10500; at < 28000; at += 500) {
        w.at(sim::World::millis(at), [&, at] {
            expect(!w.nodes_[isolated].core->isInContact(w.clock(isolated)), "in contact while cut off");
            if (!oneWay)
                expect(w.nodes_[isolated].core->isCutOff(w.clock(isolated)),
                       "does not know that it is cut off");
            w.writeAt(isolated, w.randomValue(at));
        });
    }
    w.at(sim::World::millis(27990), [&] {
        expect(w.doneWrites() == 0, "confirmed while cut off");
        w.cut_.clear();
    });
    w.at(sim::World::millis(30000), [&] {
        for (size_t i = 0; i < 3; ++i) {
            expect(w.nodes_[i].core->isInContact(w.clock(i)), "not in contact again");
            expect(!w.nodes_[i].core->isCutOff(w.clock(i)), "takes itself for cut off");
        }
    });
    const std::string broken = w.run();
    return wrong.empty() ? broken : wrong;
}
TEST(Core, AnIsolatedMemberKnowsItAndConfirmsNothing) {
    EXPECT_EQ(isolateForTwentySeconds(Defect::none, false), "");
    EXPECT_EQ(isolateForTwentySeconds(Defect::none, true), "");
}
TEST(Core, CatchesCountingEveryHeartbeatAsContact) {
    EXPECT_EQ(isolateForTwentySeconds(Defect::countsEveryHeartbeatAsContact, true),
              "in contact while cut off");
}

// A core that wakes from a freeze is out of contact until a holder has received a new reply; heartbeats that
// arrived during the freeze echo older replies.
bool isInContactOnWakeup(Defect defect) {
    sim::Plan plan{9, 3, 1, defect, false, 20, false};
    plan.serviceTimings = true;
    sim::World w(plan);
    w.loss_ = 0;
    bool inContact = false;
    w.at(sim::World::millis(8000), [&] {
        const size_t frozen = (static_cast<size_t>(w.holder()) + 1) % 3;
        const int64_t wakes = sim::World::millis(5000);
        w.nodes_[frozen].frozenUntil = w.now_ + wakes;
        const auto look = [&w, &inContact, frozen] {
            inContact = inContact || w.nodes_[frozen].core->isInContact(w.clock(frozen));
        };
        w.at(wakes - sim::World::millis(10), look);
        for (int64_t after = 0; after < 3; ++after) w.at(wakes + sim::World::millis(after), look);
        w.at(sim::World::millis(6000),
             [&w, frozen] { EXPECT_TRUE(w.nodes_[frozen].core->isInContact(w.clock(frozen))); });
    });
    EXPECT_EQ(w.run(), "");
    return inContact;
}
TEST(Core, AMemberThatWakesIsOutOfContactUntilItsReplyArrives) {
    EXPECT_FALSE(isInContactOnWakeup(Defect::none));
    EXPECT_TRUE(isInContactOnWakeup(Defect::contactFromReceipt));
}

// The holder sends a heartbeat, freezes for most of its lease, is cut off, and receives the earlier replies
// on waking. Its lease must run from the sending of the heartbeat, so that it expires before the others may
// vote for another core.
std::string sleepThenIsolate(Defect defect) {
    sim::World w({9, 3, 1, defect, false, 20, false});
    w.loss_ = 0;
    bool asleep = false;
    w.dropMessage_ = [&](size_t holder, size_t, const Message& m) {
        if (asleep || m.kind != MessageKind::heartbeat || w.now_ < sim::World::millis(8000)) return false;
        asleep = true;
        const int64_t sleep = sim::World::millis(900);
        w.nodes_[holder].frozenUntil = w.now_ + sleep;
        w.at(sleep - sim::World::millis(10), [&w, holder] {
            for (size_t k = 0; k < 3; ++k) w.cut_.insert({k, holder}), w.cut_.insert({holder, k});
        });
        w.at(sleep + sim::World::millis(5000), [&w] { w.cut_.clear(); });
        return false;
    };
    return w.run();
}
TEST(Core, ALeaseRunsFromWhenTheHeartbeatWasSent) {
    EXPECT_EQ(sleepThenIsolate(Defect::none), "");
    EXPECT_NE(sleepThenIsolate(Defect::leaseFromReply).find("two cores hold the lease"), std::string::npos);
}

}  // namespace
}  // namespace petrelpond::consensus
