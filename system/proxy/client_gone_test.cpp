// What becomes of a request whose client disconnects, or only ends its sending.
#include "system/proxy/dispatch_for_test.hpp"
#include "system/proxy/proxy_for_test.hpp"

namespace petrelpond::proxy {
namespace {

using Clock = std::chrono::steady_clock;

// After this an instance that still works for a client that has left works in vain.
constexpr auto kMaxWorkAfterClose = std::chrono::milliseconds(500);
// Longer than the proxy waits for a sign of a client that has ended its sending.
constexpr auto kLongAfterPeerCheck = std::chrono::milliseconds(450);

enum class Leaving { closes, resets };

class ClientGone : public ProxyTest {
  protected:
    static void leave(TestConnection& client, Leaving how) {
        if (how == Leaving::closes)
            client.close();
        else
            client.reset();
    }
    static void expectClosedSoon(TestConnection& instance) {
        const auto from = Clock::now();
        EXPECT_TRUE(instance.closesWithoutMoreBytes());
        EXPECT_LT(Clock::now() - from, kMaxWorkAfterClose);
    }
};

// Guards against instances that work on for clients that have left (issue 80, GONE): on a new and on a kept
// connection, at once and later, by a close and by a reset.
TEST_F(ClientGone, RepeatableRequestInFlightIsCutOff) {
    TestListener listener;
    configureWithSlots({{&listener, 1}});
    for (Leaving how : {Leaving::closes, Leaving::resets})
        for (bool isKept : {false, true})
            for (int patienceMs : {0, 100}) {
                auto c = client();
                std::unique_ptr<TestConnection> instance;
                if (isKept) {
                    c->send(request("/often/a", "id-1"));
                    instance = listener.accept();
                    instance->readMessage();
                    instance->send(answer("id-1", "first"));
                    ASSERT_EQ(bodyOf(c->readMessage()), "first");
                }
                c->send(request("/often/b", "id-2"));
                if (!instance) instance = listener.accept();
                ASSERT_EQ(field(instance->readMessage(), "X-Attempt-Id"), "id-2");
                std::this_thread::sleep_for(std::chrono::milliseconds(patienceMs));
                leave(*c, how);
                expectClosedSoon(*instance);
                waitUntilProcessed();
                EXPECT_FALSE(listener.hasPendingConnection());  // and is not sent again
            }
}

// Guards against a request that goes to a second instance after its client has left: the first one says that
// it did not run, or breaks off.
TEST_F(ClientGone, NonIdempotentRequestRunsToItsEndAndIsNotSentAgain) {
    TestListener listener, other;
    configureWithSlots({{&listener, 1}, {&other, 1}});
    for (Leaving how : {Leaving::closes, Leaving::resets})
        for (const std::string& outcome :
             {answer("id-1", "full", "X-Not-Executed: 1\r\n", "503 Service Unavailable", false),
              answer("id-1", "done", "Connection: close\r\n"), std::string()}) {
            auto c = client();
            c->send(request("/once/a", "id-1"));
            auto& first = listener.hasPendingConnection() || !other.hasPendingConnection() ? listener : other;
            auto instance = first.accept();
            instance->readMessage();
            leave(*c, how);
            std::this_thread::sleep_for(kLongAfterPeerCheck);
            if (outcome.empty()) {
                instance->close();
            } else {
                instance->send(outcome);  // the connection is still open, and the answer is read
                instance->send(answer("id-0", "closes it"));
                EXPECT_TRUE(instance->closesWithoutMoreBytes());
            }
            waitUntilProcessed();
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            EXPECT_FALSE(listener.hasPendingConnection()) << outcome;
            EXPECT_FALSE(other.hasPendingConnection()) << outcome;
        }
}

// Guards against taking the end of sending for a disconnect: the client still reads. In flight and queued.
TEST_F(ClientGone, ClientThatOnlyEndsItsSendingIsAnswered) {
    TestListener listener;
    configureWithSlots({{&listener, 1}});
    for (const std::string path : {"/often/a", "/once/a"}) {
        auto c = client(), waits = client();
        c->send(request(path, "id-1"));
        auto instance = listener.accept();
        instance->readMessage();
        waits->send(request(path, "id-2"));
        waitUntilProcessed();
        c->finishSending();
        waits->finishSending();
        std::this_thread::sleep_for(kLongAfterPeerCheck);
        instance->send(answer("id-1", "still"));
        const std::string got = c->readMessage();
        EXPECT_EQ(statusOf(got), 200);
        EXPECT_EQ(bodyOf(got), "still");
        EXPECT_TRUE(c->closesWithoutMoreBytes());
        EXPECT_EQ(field(instance->readMessage(), "X-Attempt-Id"), "id-2");
        instance->send(answer("id-2", "and waiting", "Connection: close\r\n"));
        EXPECT_EQ(bodyOf(waits->readMessage()), "and waiting");
    }
}

// Guards against a client that ends its sending first and disconnects later.
TEST_F(ClientGone, ClientThatLeavesAfterEndingItsSendingIsNoticed) {
    TestListener listener;
    configureWithSlots({{&listener, 1}});
    auto c = client();
    c->send(request("/often/a", "id-1"));
    auto instance = listener.accept();
    instance->readMessage();
    c->finishSending();
    std::this_thread::sleep_for(kLongAfterPeerCheck);
    c->reset();
    expectClosedSoon(*instance);
}

// --- Decisions ---

// Guards against a slot that stays in use, and against an attempt that goes on, after its client has left.
TEST(CancelledRequest, SlotOfAnAttemptThatWasCutOffIsUsedAgain) {
    DispatchHarness p;
    p.applyGrants({grant("a", 1)});
    const RequestId one = p.submit(5000, 2, true), two = p.submit(5000, 2, true);
    ASSERT_TRUE(p.dispatch.isQueued(two));
    EXPECT_TRUE(p.dispatch.cancelRequest(p.now, one, AttemptProgress::sent));
    p.collectOutputs();
    EXPECT_TRUE(p.runUntil(p.now + Span::millis(200), [&] { return p.wasSent(two); }));
    p.endAttempt(one, AttemptOutcome::timedOut);  // is unknown by now
    p.advance(6000);
    EXPECT_FALSE(p.findOutput<FailRequest>(one));
    EXPECT_EQ(p.dispatch.counters().cutOff, 1u);
}

// Guards against cutting off what may run once, and against connects whose outcome nobody learns: instances
// that are gone would never be reported if all clients left before the connect fails.
TEST(CancelledRequest, AttemptThatGoesOnIsDroppedAtItsEnd) {
    for (AttemptOutcome outcome : kOutcomes)
        for (bool isIdempotent : {false, true}) {
            DispatchHarness p;
            p.applyGrants({grant("a", 1), grant("b", 1)});
            const RequestId id = p.submit(5000, 2, isIdempotent);
            const AttemptProgress progress =
                isIdempotent ? AttemptProgress::connecting : AttemptProgress::sent;
            EXPECT_FALSE(p.dispatch.cancelRequest(p.now, id, progress));
            p.endAttempt(id, outcome);
            p.advance(6000);
            EXPECT_TRUE(p.findOutput<DropRequest>(id));
            EXPECT_EQ(p.countOutputs<SendRequest>(), 1) << static_cast<int>(outcome);
            EXPECT_EQ(p.countOutputs<RejectRequest>() + p.countOutputs<FailRequest>() +
                          p.countOutputs<ForwardResponse>(),
                      0);
        }
}

TEST(CancelledRequest, FailedConnectStillCountsAgainstItsInstance) {
    DispatchHarness p;
    p.applyGrants({grant("a", 4)});
    for (int i = 0; i < 2; ++i) {
        const RequestId id = p.submit(5000, 2, true);
        ASSERT_TRUE(p.runUntil(p.now + Span::seconds(2), [&] { return p.wasSent(id); }));
        EXPECT_FALSE(p.dispatch.cancelRequest(p.now, id, AttemptProgress::connecting));
        p.endAttempt(id, AttemptOutcome::connectFailed);
    }
    p.advance(10);
    EXPECT_EQ(p.timesReported("a", &scaler::Report::unreachable), 1);
}

// Guards against an instance that does not notice the close and rejects one request after the other as full.
TEST(CancelledRequest, InstanceThatStaysFullAfterACutOffIsTriedLessAndLessOften) {
    DispatchHarness p;
    p.applyGrants({grant("a", 1)});
    const RequestId cut = p.submit(4000, 2, true);
    EXPECT_TRUE(p.dispatch.cancelRequest(p.now, cut, AttemptProgress::sent));
    std::vector<Instant> rejectedAt;
    while (p.now < kStart + Span::seconds(2)) {
        const RequestId id = p.submit(8000, 2, true, 1);
        if (!p.runUntil(p.now + Span::seconds(2), [&] { return p.wasSent(id); })) break;
        rejectedAt.push_back(p.now);
        p.endAttempt(id, AttemptOutcome::notExecuted);
    }
    ASSERT_GE(rejectedAt.size(), 4u);
    EXPECT_LE(rejectedAt.size(), 8u);  // within 2 s; one each 40 ms would be 50
    EXPECT_GE(rejectedAt[3] - rejectedAt[2], Span::millis(300));
}

}  // namespace
}  // namespace petrelpond::proxy
