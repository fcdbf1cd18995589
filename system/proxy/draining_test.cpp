// How a proxy shuts down: what it still sends, what it rejects, and what its clients get.
#include "system/proxy/dispatch_for_test.hpp"
#include "system/proxy/proxy_for_test.hpp"

namespace petrelpond::proxy {
namespace {

constexpr int kSlowDeadlineMs = 8000, kQuickDeadlineMs = 7000, kUnknownDeadlineMs = 6000;

// A proxy with one slot that knows slow calls (1.5 s) and quick ones (50 ms), and is told to shut down: late
// from 3 s on, complete after 5.6 s. The request classes differ by their route's timeout.
class DrainingDispatch : public ::testing::Test {
  protected:
    DrainingDispatch() {
        p_.applyGrants({grant("a", 1)});
        for (int i = 0; i < 12; ++i) {
            answerAfter(p_.submit(kSlowDeadlineMs), 1500);
            answerAfter(p_.submit(kQuickDeadlineMs), 50);
        }
    }
    RequestId submitSlow(int deadlineMs) {
        const RequestId id = p_.nextId++;
        p_.dispatch.onRequest(p_.now, {id, "s", false, 2, 3, p_.now + Span::millis(deadlineMs),
                                       Span::millis(400), Span::millis(kSlowDeadlineMs)});
        p_.collectOutputs();
        return id;
    }
    void answerAfter(RequestId id, int ms) {
        p_.advance(ms);
        ASSERT_TRUE(p_.wasSent(id));
        p_.endAttempt(id, AttemptOutcome::answered);
    }
    void startDraining() {
        startedAt_ = p_.now;
        p_.dispatch.startDraining(p_.now, {at(3000), at(5600)});
        p_.collectOutputs();
    }
    Instant at(int ms) const { return startedAt_ + Span::millis(ms); }  // after the signal
    void advanceTo(int ms) {
        p_.runUntil(at(ms), [] { return false; });
        p_.now = at(ms);
    }

    DispatchHarness p_;
    Instant startedAt_;
};

// Guards against requests that were taken 3 to 4.4 s after SIGTERM and cut off by the exit while they ran.
TEST_F(DrainingDispatch, LateRequestThatMayNotEndBeforeTheExitIsRejected) {
    startDraining();
    advanceTo(1000);
    answerAfter(p_.submit(kSlowDeadlineMs), 1500);
    advanceTo(3200);
    const RequestId slow = p_.submit(kSlowDeadlineMs), unknown = p_.submit(kUnknownDeadlineMs);
    for (RequestId id : {slow, unknown}) {
        EXPECT_FALSE(p_.wasSent(id));
        const auto rejected = p_.findOutput<RejectRequest>(id);
        ASSERT_TRUE(rejected);
        EXPECT_EQ(rejected->first, at(3200));
        EXPECT_EQ(rejected->second.status, 503);
        EXPECT_LT(rejected->second.retryAfter, Span::millis(100));  // another proxy can take it at once
    }
    answerAfter(p_.submit(kQuickDeadlineMs), 50);
    EXPECT_TRUE(p_.wasSent(p_.submit(2000)));  // unknown, but its deadline comes before the exit
    EXPECT_EQ(p_.dispatch.counters().rejectedForShutdown, 2u);
}

// Guards against requests that waited in the queue until too little time was left, and were sent then.
TEST_F(DrainingDispatch, QueuedRequestIsRejectedOnceItCannotEndBeforeTheExit) {
    const RequestId running = p_.submit(kSlowDeadlineMs), before = submitSlow(20000);
    startDraining();
    advanceTo(1000);
    const RequestId queued = submitSlow(20000);
    ASSERT_TRUE(p_.dispatch.isQueued(before));
    ASSERT_TRUE(p_.dispatch.isQueued(queued));
    advanceTo(4300);
    for (RequestId id : {before, queued}) {
        const auto rejected = p_.findOutput<RejectRequest>(id);
        ASSERT_TRUE(rejected) << id;
        EXPECT_LT(rejected->first, at(4300));
    }
    p_.endAttempt(running, AttemptOutcome::answered);
    advanceTo(5600);
    EXPECT_FALSE(p_.wasSent(before));
    EXPECT_FALSE(p_.wasSent(queued));
}

// Guards against a further attempt that the exit would cut off.
TEST_F(DrainingDispatch, FailedAttemptIsNotRepeatedOnceItCannotEndBeforeTheExit) {
    p_.applyGrants({grant("a", 1), grant("b", 1)});
    startDraining();
    const RequestId id = p_.submit(20000, 2, true);
    ASSERT_TRUE(p_.wasSent(id));
    advanceTo(5590);
    p_.endAttempt(id, AttemptOutcome::connectionBroken);
    EXPECT_TRUE(p_.findOutput<FailRequest>(id));
    EXPECT_EQ(std::count_if(p_.outputs.begin(), p_.outputs.end(),
                            [&](const auto& o) {
                                auto* sent = std::get_if<SendRequest>(&o.second);
                                return sent && sent->id == id;
                            }),
              1);
}

class DrainingProxy : public ProxyTest {
  protected:
    // Eight calls of 0.6 s at the same time, so that the proxy knows how long such calls take.
    void teachSlowCalls(TestListener& listener) {
        std::vector<std::unique_ptr<TestConnection>> clients, instances;
        for (int i = 0; i < 8; ++i) {
            clients.push_back(client());
            clients.back()->send(request("/once/a", "id-" + std::to_string(i)));
            instances.push_back(listener.accept());
        }
        std::vector<std::string> ids;
        for (auto& instance : instances) ids.push_back(field(instance->readMessage(), "X-Attempt-Id"));
        std::this_thread::sleep_for(std::chrono::milliseconds(600));
        for (size_t i = 0; i < ids.size(); ++i) instances[i]->send(answer(ids[i], "taught"));
        for (auto& each : clients) ASSERT_EQ(bodyOf(each->readMessage()), "taught");
    }
    void startDraining() {
        turning_.ask([this] { proxy_->startDraining(); });
        startedAt_ = std::chrono::steady_clock::now();
    }
    void sleepUntil(int ms) { std::this_thread::sleep_until(startedAt_ + std::chrono::milliseconds(ms)); }

    std::chrono::steady_clock::time_point startedAt_;
};

// Guards against requests that were taken late after SIGTERM and cut off by the exit (issue 80, LOST). The
// grace period is 4 s: half of it has passed, and the rest is shorter than such a call may take.
TEST_F(DrainingProxy, SlowRequestAfterHalfOfTheGracePeriodIsRejected) {
    TestListener listener;
    configureWithSlots({{&listener, 8}});
    teachSlowCalls(listener);
    startDraining();
    sleepUntil(2100);
    const std::string got = sendAndReceive(request("/once/a", "id-late"));
    EXPECT_EQ(statusOf(got), 503);
    EXPECT_EQ(field(got, "Connection"), "close");
    EXPECT_FALSE(listener.hasPendingConnection());
    EXPECT_TRUE(turning_.endsWithin(kReadTimeoutMs));
}

// Guards against a connection that ends without an answer where the grace period is too short for a call.
TEST_F(DrainingProxy, RequestStillInFlightAtTheExitIsAnswered) {
    TestListener listener;
    configureWithSlots({{&listener, 2}});
    auto once = client(), repeatable = client();
    once->send(request("/once/a", "id-1", "", "", 60'000));
    auto e = listener.accept();
    e->readMessage();
    startDraining();
    repeatable->send(request("/often/a", "id-2", "", "", 60'000));
    auto f = listener.accept();
    f->readMessage();
    for (auto* each : {once.get(), repeatable.get()}) {
        const std::string got = each->readMessage();
        EXPECT_EQ(statusOf(got), 504);
        EXPECT_EQ(field(got, "Connection"), "close");
    }
    EXPECT_FALSE(listener.hasPendingConnection());
    EXPECT_TRUE(turning_.endsWithin(kReadTimeoutMs));
}

// Guards against a long answer that is cut off by the exit while its client reads it: it is more than the
// kernel holds, and the client reads on just before the grace period ends.
TEST_F(DrainingProxy, LongAnswerIsSentWholeBeforeTheExit) {
    TestListener listener;
    configureWithSlots({{&listener, 1}});
    auto slow = client();
    slow->send(request("/once/a", "id-1"));
    auto e = listener.accept();
    e->readMessage();
    const std::string body(15u << 20, 'x');
    e->send(answer("id-1", body));
    startDraining();
    sleepUntil(3500);
    EXPECT_TRUE(bodyOf(slow->readMessage()) == body);
    EXPECT_TRUE(turning_.endsWithin(kReadTimeoutMs));
}

}  // namespace
}  // namespace petrelpond::proxy
