// An instance sends an answer a second time, late, in the place where the next answer is due. The attempt id
// does not tell the copy apart if the next request on the connection is a retry of the same request.
#include "system/proxy/proxy_for_test.hpp"

namespace petrelpond::proxy {
namespace {

struct RetriedAnswer {
    const char* name;
    const char* path;
    const char* status;
    const char* fields;
};

// Every answer after which a request may be sent again.
const RetriedAnswer kRetriedAnswers[] = {
    {"full, non-idempotent", "/once/a", "503 Service Unavailable", "X-Not-Executed: 1\r\n"},
    {"rate limited, non-idempotent", "/once/a", "429 Too Many Requests", "X-Not-Executed: 1\r\n"},
    {"timed out in the queue, non-idempotent", "/once/a", "408 Request Timeout", "X-Not-Executed: 1\r\n"},
    {"no id was read, non-idempotent", "/once/a", "400 Bad Request", "X-Not-Executed: 1\r\n"},
    {"another instance, non-idempotent", "/once/a", "421 Misdirected Request", ""},
    {"full, idempotent", "/often/a", "503 Service Unavailable", "X-Not-Executed: 1\r\n"},
    {"unconfirmed rejection, idempotent", "/often/a", "503 Service Unavailable", ""},
    {"server error, idempotent", "/often/a", "500 Internal Server Error", ""},
};

class LateCopy : public ProxyTest {
  protected:
    static std::string answerOf(const RetriedAnswer& a, const std::string& id) {
        return answer(id, "again", a.fields, a.status, false);
    }
    TestListener listener_;
};

// Guards against a request that runs twice, or is answered by its earlier attempt: the copy of the first
// answer was taken for the answer to the retry on the same connection (review/4).
TEST_F(LateCopy, RetryDoesNotUseAConnectionThatCarriedTheRequest) {
    configureWithSlots({{&listener_, 1}});
    int number = 0;
    for (const RetriedAnswer& first : kRetriedAnswers) {
        const std::string id = "id-" + std::to_string(++number);
        auto c = client();
        c->send(request(first.path, id));
        auto e = listener_.accept();
        EXPECT_EQ(field(e->readMessage(), "X-Attempt-Id"), id) << first.name;
        e->send(answerOf(first, id));
        auto f = listener_.accept();
        ASSERT_EQ(field(f->readMessage(), "X-Attempt-Id"), id) << first.name;
        e->send(answerOf(first, id));
        f->send(answer(id, "done", "Connection: close\r\n"));
        const std::string back = c->readMessage();
        EXPECT_EQ(statusOf(back), 200) << first.name;
        EXPECT_EQ(bodyOf(back), "done") << first.name;
        EXPECT_FALSE(listener_.hasPendingConnection()) << first.name;
        EXPECT_TRUE(e->closesWithoutMoreBytes()) << first.name;  // replaced by the retry's connection
    }
}

// Guards against the same by way of a connection that is parked while the slot moves to another proxy and
// back.
TEST_F(LateCopy, RetryDoesNotUseAParkedConnectionThatCarriedTheRequest) {
    configureWithSlots({{&listener_, 1}});
    auto c = client();
    c->send(request("/once/a", "id-1"));
    auto e = listener_.accept();
    e->readMessage();
    e->send(answerOf(kRetriedAnswers[0], "id-1"));
    agent_->send(grants({}));
    EXPECT_TRUE(waitForReport([](auto& r) { return !r.held.empty() && r.held[0].slots == 0; }));
    agent_->send(grants({{&listener_, 1}}));
    auto f = listener_.accept();
    ASSERT_EQ(field(f->readMessage(), "X-Attempt-Id"), "id-1");
    e->send(answerOf(kRetriedAnswers[0], "id-1"));
    f->send(answer("id-1", "done"));
    EXPECT_EQ(bodyOf(c->readMessage()), "done");
    EXPECT_FALSE(listener_.hasPendingConnection());
}

// Other requests go on using the connections, so that a rejection costs one connection and no more.
TEST_F(LateCopy, OtherRequestsUseTheConnectionsOfARetriedOne) {
    configureWithSlots({{&listener_, 2}});
    auto c = client();
    c->send(request("/once/a", "id-1"));
    auto e = listener_.accept();
    e->readMessage();
    e->send(answerOf(kRetriedAnswers[0], "id-1"));
    auto f = listener_.accept();
    f->readMessage();
    f->send(answer("id-1", "done"));
    EXPECT_EQ(bodyOf(c->readMessage()), "done");
    c->send(request("/once/b", "id-2"));
    EXPECT_EQ(field(f->readMessage(), "X-Attempt-Id"), "id-2");
    f->send(answer("id-2", "next"));
    EXPECT_EQ(bodyOf(c->readMessage()), "next");
    EXPECT_FALSE(listener_.hasPendingConnection());
}

// A retry takes an idle connection that has not carried its request before it opens one.
TEST_F(LateCopy, RetryUsesAnotherIdleConnection) {
    configureWithSlots({{&listener_, 2}});
    auto c = client(), d = client();
    c->send(request("/often/a", "id-1"));
    auto e = listener_.accept();
    e->readMessage();
    d->send(request("/often/b", "id-2"));
    auto f = listener_.accept();
    f->readMessage();
    e->send(answer("id-1", "one"));
    EXPECT_EQ(bodyOf(c->readMessage()), "one");
    f->send(answer("id-2", "two"));
    EXPECT_EQ(bodyOf(d->readMessage()), "two");
    c->send(request("/once/c", "id-3"));
    EXPECT_EQ(field(f->readMessage(), "X-Attempt-Id"), "id-3");  // the one used last
    f->send(answerOf(kRetriedAnswers[0], "id-3"));
    EXPECT_EQ(field(e->readMessage(), "X-Attempt-Id"), "id-3");
    f->send(answerOf(kRetriedAnswers[0], "id-3"));  // while it is idle: it is closed
    e->send(answer("id-3", "three"));
    EXPECT_EQ(bodyOf(c->readMessage()), "three");
    EXPECT_FALSE(listener_.hasPendingConnection());
}

}  // namespace
}  // namespace petrelpond::proxy
