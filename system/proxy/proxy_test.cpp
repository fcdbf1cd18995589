#include "system/proxy/proxy_for_test.hpp"

namespace petrelpond::proxy {
namespace {

TEST_F(ProxyTest, NotReadyAndNoNotFoundBeforeTheFirstConfiguration) {
    EXPECT_EQ(statusOf(requestReadiness()), 503);
    for (const char* path : {"/often/a", "/once/a", "/nowhere/"}) {
        std::string got = sendAndReceive(request(path, "x"));
        EXPECT_EQ(statusOf(got), 503) << path;
        EXPECT_NE(field(got, "Retry-After"), "(none)");
    }
    configureWithSlots({});
    EXPECT_EQ(statusOf(requestReadiness()), 200);
    EXPECT_EQ(statusOf(sendAndReceive(request("/nowhere/", "x"))), 404);
}

TEST_F(ProxyTest, ForwardsRequestUnchanged) {
    TestListener listener;
    configureWithSlots({{&listener, 4}});
    auto c = client();
    c->send(request("/often/a%20b/?q=1&r=%2f", "id-1",
                    "X-Own: kept\r\nAccept: */*\r\nConnection: keep-alive, X-Private\r\nX-Private: 1\r\n"
                    "Keep-Alive: timeout=9\r\nTE: trailers\r\nProxy-Authorization: x\r\nUpgrade: h2c\r\n"
                    "X-Target-Endpoint: i-9\r\n"));
    auto e = listener.accept();
    std::string got = e->readMessage();
    auto head = headOf(got);
    EXPECT_EQ(head.first, "GET");
    EXPECT_EQ(head.second, "/often/a%20b/?q=1&r=%2f");
    EXPECT_EQ(field(got, "Host"), "h.example");
    EXPECT_EQ(field(got, "X-Attempt-Id"), "id-1");
    EXPECT_EQ(field(got, "X-Own"), "kept");
    EXPECT_EQ(field(got, "Accept"), "*/*");
    EXPECT_EQ(field(got, "X-Target-Endpoint"), "i-1");
    for (const char* name : {"Connection", "X-Private", "Keep-Alive", "TE", "Proxy-Authorization", "Upgrade",
                             "Transfer-Encoding"})
        EXPECT_EQ(field(got, name), "(none)") << name;
    EXPECT_EQ(std::count_if(head.fields.begin(), head.fields.end(),
                            [](auto& f) { return http::sameName(f.first, "X-Target-Endpoint"); }),
              1);

    e->send(answer("id-1", "body",
                   "X-More: m\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
                   "Keep-Alive: timeout=5\r\n"));
    std::string back = c->readMessage();
    EXPECT_EQ(statusOf(back), 200);
    EXPECT_EQ(bodyOf(back), "body");
    EXPECT_EQ(field(back, "X-Endpoint-Seal"), "1.2.3");
    EXPECT_EQ(field(back, "X-Attempt-Id"), "id-1");
    EXPECT_EQ(field(back, "X-More"), "m");
    for (const char* name : {"Connection", "X-Hop", "Keep-Alive"})
        EXPECT_EQ(field(back, name), "(none)") << name;
}

TEST_F(ProxyTest, HeadResponseIsForwardedWithoutABody) {
    TestListener listener;
    configureWithSlots({{&listener, 1}});
    auto c = client();
    std::string head = request("/often/a", "id-1");
    c->send("HEAD" + head.substr(3));
    auto e = listener.accept();
    EXPECT_EQ(e->readMessage().substr(0, 5), "HEAD ");
    e->send("HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Endpoint-Seal: 1.2.3\r\nContent-Length: 70\r\n\r\n");
    std::string got = c->takeFront([](const std::string& in) { return http::headEnd(in).value_or(0); });
    EXPECT_EQ(statusOf(got), 200);
    EXPECT_EQ(field(got, "Content-Length"), "70");
    c->send(request("/often/a", "id-2"));  // both connections are kept
    EXPECT_EQ(field(e->readMessage(), "X-Attempt-Id"), "id-2");
    e->send(answer("id-2", "body"));
    EXPECT_EQ(bodyOf(c->readMessage()), "body");
}

TEST_F(ProxyTest, ConnectionFieldRemovesNamedFieldsExceptIdAndSeal) {
    TestListener listener;
    configureWithSlots({{&listener, 1}});
    auto c = client();
    c->send(request("/often/a", "id-1",
                    "X-One: 1\r\nX-Two: 2\r\nX-Three: 3\r\nConnection: x-one, X-Attempt-Id\r\n"
                    "Connection: Host,X-Two\r\n"));
    auto e = listener.accept();
    std::string came = e->readMessage();
    EXPECT_EQ(field(came, "X-One"), "(none)");
    EXPECT_EQ(field(came, "X-Two"), "(none)");
    EXPECT_EQ(field(came, "X-Three"), "3");
    EXPECT_EQ(field(came, "X-Attempt-Id"), "id-1");
    EXPECT_EQ(field(came, "Host"), "h.example");
    e->send(answer("id-1", "body", "Connection: X-Endpoint-Seal, X-Four\r\nX-Four: 4\r\n"));
    std::string got = c->readMessage();
    EXPECT_EQ(field(got, "X-Endpoint-Seal"), "1.2.3");
    EXPECT_EQ(field(got, "X-Four"), "(none)");
}

TEST_F(ProxyTest, TimeRemainingDecreases) {
    TestListener listener;
    configureWithSlots({{&listener, 1}});
    auto c = client(), d = client();
    c->send(request("/once/a", "id-1", "", "", 60'000));
    auto e = listener.accept();
    std::string one = e->readMessage();
    auto first = http::wholeNumber(field(one, "X-Time-Remaining"));
    ASSERT_TRUE(first);
    EXPECT_LE(*first, 4000u);  // the route's timeout
    EXPECT_GT(*first, 3000u);
    d->send(request("/once/b", "id-2", "", "", 3000));  // is queued, and its start is paced
    waitUntilProcessed();
    e->send(answer("id-1", ""));
    EXPECT_EQ(statusOf(c->readMessage()), 200);
    std::string two = e->readMessage();
    EXPECT_EQ(field(two, "X-Attempt-Id"), "id-2");
    auto second = http::wholeNumber(field(two, "X-Time-Remaining"));
    ASSERT_TRUE(second);
    EXPECT_LT(*second, 3000u);
    EXPECT_GT(*second, 500u);
}

TEST_F(ProxyTest, RouteTimeoutAppliesWhenClientTimeIsMissingOrInvalid) {
    TestListener listener;
    configureWithSlots({{&listener, 1}});
    std::unique_ptr<TestConnection> e;
    for (const char* told : {"", "X-Time-Remaining: 1e18\r\n", "X-Time-Remaining: soon\r\n",
                             "X-Time-Remaining: -5\r\n", "X-Time-Remaining: 99999999999999999999\r\n"}) {
        auto c = client();
        c->send(std::string("GET /often/a HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id\r\n") + told +
                "\r\n");
        if (!e) e = listener.accept();
        int left = std::stoi("0" + field(e->readMessage(), "X-Time-Remaining"));
        EXPECT_TRUE(left > 0 && left <= 4000) << told << left;
        e->send(answer("id", "body"));
        ASSERT_EQ(statusOf(c->readMessage()), 200) << told;
    }
}

TEST_F(ProxyTest, ForwardsBodiesUnchangedBothWays) {
    TestListener listener;
    configureWithSlots({{&listener, 4}});
    auto c = client();
    std::unique_ptr<TestConnection> e;
    for (size_t length : {size_t{0}, size_t{1}, size_t{70'000}}) {
        std::string up, down;
        for (size_t i = 0; i < length; ++i) {
            up.push_back(static_cast<char>(i * 31 % 256));
            down.push_back(static_cast<char>(i * 17 % 253));
        }
        for (bool chunked : {false, true}) {
            std::string id = std::to_string(length) + (chunked ? "c" : "l");
            std::string head = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\n";
            if (chunked) {
                char size[32];
                std::snprintf(size, sizeof size, "%zx\r\n", length);
                c->send(head + "Transfer-Encoding: chunked\r\n\r\n" + (length > 0 ? size + up + "\r\n" : "") +
                        "0\r\n\r\n");
            } else {
                c->send(head + "Content-Length: " + std::to_string(length) + "\r\n\r\n" + up);
            }
            if (!e) e = listener.accept();  // the connection is kept
            std::string got = e->readMessage();
            ASSERT_EQ(field(got, "X-Attempt-Id"), id);
            EXPECT_EQ(headOf(got).first, "POST");
            EXPECT_EQ(field(got, "Transfer-Encoding"), "(none)");
            EXPECT_TRUE(bodyOf(got) == up) << id;
            std::string out = answer(id, down);
            if (chunked) {
                char size[32];
                std::snprintf(size, sizeof size, "%zx\r\n", length);
                out = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                      "\r\nX-Endpoint-Seal: 1\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n" +
                      (length > 0 ? size + down + "\r\n" : "") + "0\r\n\r\n";
            }
            e->send(out);
            std::string back = c->readMessage();
            EXPECT_EQ(statusOf(back), 200);
            EXPECT_TRUE(bodyOf(back) == down) << id;
        }
    }
    EXPECT_FALSE(listener.hasPendingConnection());
}

TEST_F(ProxyTest, SuccessWithoutTheSealIsRejected) {
    TestListener listener, other;
    configureWithSlots({{&listener, 4}, {&other, 4}});
    int n = 0;
    const std::string withoutId = "HTTP/1.1 200 OK\r\nX-Endpoint-Seal: 1\r\nContent-Length: 1\r\n\r\nx";
    for (const std::string& bad :
         {answer("ID", "x", "", "200 OK", false), answer("ID", "x", "", "204 No Content", false),
          answer("ID", "x", "Content-Encoding: gzip\r\n"), withoutId}) {
        auto c = client();
        c->send(request("/once/a", "ID"));
        auto e = n % 2 == 0 || !other.hasPendingConnection() ? listener.accept() : other.accept();
        e->readMessage();
        e->send(bad);
        EXPECT_EQ(statusOf(c->readMessage()), 502) << bad;
        EXPECT_TRUE(e->closesWithoutMoreBytes());
        EXPECT_FALSE(listener.hasPendingConnection());
        EXPECT_FALSE(other.hasPendingConnection());  // it may have executed, so it is sent once
        ++n;
    }
    auto c = client();
    c->send(request("/often/a", "id-2"));
    auto e = listener.accept();
    e->readMessage();
    e->send(answer("id-2", "x", "", "200 OK", false));
    auto f = other.accept();
    EXPECT_EQ(field(f->readMessage(), "X-Target-Endpoint"), "i-2");
    f->send(answer("id-2", "good"));
    std::string back = c->readMessage();
    EXPECT_EQ(statusOf(back), 200);
    EXPECT_EQ(bodyOf(back), "good");
}

TEST_F(ProxyTest, ResponseToAnotherRequestIsSkippedAndItsConnectionClosed) {
    TestListener listener;
    configureWithSlots({{&listener, 4}});
    auto c = client();
    c->send(request("/once/a", "id-1"));
    auto e = listener.accept();
    e->readMessage();
    e->send(answer("id-0", "not yours"));
    waitUntilProcessed();
    e->send(answer("id-1", "yours"));
    std::string back = c->readMessage();
    EXPECT_EQ(statusOf(back), 200);
    EXPECT_EQ(bodyOf(back), "yours");
    EXPECT_TRUE(e->closesWithoutMoreBytes());

    c->send(request("/once/b", "id-2"));
    auto f = listener.accept();
    EXPECT_EQ(field(f->readMessage(), "X-Attempt-Id"), "id-2");
    f->send(answer("id-1", "again") + answer("id-2", "two"));  // both in one write
    EXPECT_EQ(bodyOf(c->readMessage()), "two");
    EXPECT_TRUE(f->closesWithoutMoreBytes());

    c->send(request("/once/c", "id-3"));
    auto g = listener.accept();
    g->readMessage();
    g->send(answer("id-2", "again"));
    g->close();  // without a response to this request
    EXPECT_EQ(statusOf(c->readMessage()), 502);
}

TEST_F(ProxyTest, ExcessBytesCloseTheConnection) {
    TestListener listener;
    configureWithSlots({{&listener, 4}});
    auto c = client();
    for (const std::string& excess : {std::string("x"), std::string("\r\n"), answer("id-1", "again")}) {
        c->send(request("/once/a", "id-1"));
        auto e = listener.accept();
        e->readMessage();
        e->send(answer("id-1", "one") + excess);
        EXPECT_EQ(bodyOf(c->readMessage()), "one");
        EXPECT_TRUE(e->closesWithoutMoreBytes());

        c->send(request("/once/b", "id-2"));
        auto f = listener.accept();
        f->readMessage();
        f->send(answer("id-2", "two"));
        EXPECT_EQ(bodyOf(c->readMessage()), "two");
        f->send(excess);  // later, while the connection is idle
        EXPECT_TRUE(f->closesWithoutMoreBytes());
    }
    EXPECT_FALSE(listener.hasPendingConnection());
}

TEST_F(ProxyTest, MisdirectedRequestIsRetriedElsewhere) {
    TestListener listener, other;
    configureWithSlots({{&listener, 4}, {&other, 4}});
    auto c = client();
    c->send(request("/once/a", "id-1"));
    auto e = listener.accept();
    EXPECT_EQ(field(e->readMessage(), "X-Target-Endpoint"), "i-1");
    e->send(answer("id-1", "", "X-Not-Executed: 1\r\n", "421 Misdirected Request", false));
    auto f = other.accept();
    std::string got = f->readMessage();
    EXPECT_EQ(field(got, "X-Target-Endpoint"), "i-2");
    EXPECT_EQ(field(got, "X-Attempt-Id"), "id-1");
    f->send(answer("id-1", "here"));
    std::string back = c->readMessage();
    EXPECT_EQ(statusOf(back), 200);
    EXPECT_EQ(bodyOf(back), "here");
    EXPECT_TRUE(waitForReport([](auto& r) { return r.unreachable == std::vector<std::string>{"i-1"}; }));
}

TEST_F(ProxyTest, NotExecutedRejectionIsRetried) {
    TestListener listener, other;
    configureWithSlots({{&listener, 1}});
    auto c = client();
    c->send(request("/once/a", "id-1"));
    auto e = listener.accept();
    e->readMessage();
    e->send(answer("id-1", "full", "X-Not-Executed: 1\r\n", "503 Service Unavailable", false));
    auto f = listener.accept();
    EXPECT_EQ(field(f->readMessage(), "X-Attempt-Id"), "id-1");  // retried, as it has not been executed
    f->send(answer("id-1", "full", "X-Not-Executed: 1\r\n", "503 Service Unavailable", false));
    std::string back = c->readMessage();  // at most two attempts
    EXPECT_EQ(statusOf(back), 503);
    EXPECT_NE(field(back, "Retry-After"), "(none)");
    EXPECT_EQ(bodyOf(back), "");
}

TEST_F(ProxyTest, NotExecutedRejectionWithoutIdIsNotTrusted) {
    TestListener listener;
    configureWithSlots({{&listener, 1}});
    for (const char* status : {"503 Full", "421 Elsewhere"}) {
        auto c = client();
        c->send(request("/once/a", "id-1"));
        auto e = listener.accept();
        e->readMessage();
        e->send(std::string("HTTP/1.1 ") + status + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        EXPECT_EQ(statusOf(c->readMessage()), 502) << status;
        EXPECT_FALSE(listener.hasPendingConnection());
    }
}

TEST_F(ProxyTest, ServerErrorIsForwarded) {
    TestListener listener;
    configureWithSlots({{&listener, 1}});
    auto c = client();
    c->send(request("/once/a", "id-1"));
    auto e = listener.accept();
    e->readMessage();
    e->send(answer("id-1", "own words", "", "500 Internal Server Error"));
    std::string back = c->readMessage();
    EXPECT_EQ(statusOf(back), 500);
    EXPECT_EQ(bodyOf(back), "own words");
    EXPECT_FALSE(listener.hasPendingConnection());
}

TEST_F(ProxyTest, BrokenNonIdempotentRequestIsSentOnceAndGetsBadGateway) {
    TestListener listener, other;
    configureWithSlots({{&listener, 4}, {&other, 4}});
    const std::string whole = answer("ID", "abcdef");
    std::vector<std::function<void(TestConnection&)>> breaks = {
        [](TestConnection& w) { w.close(); },
        [](TestConnection& w) { w.reset(); },
        [&](TestConnection& w) { w.send(whole.substr(0, 20)), w.close(); },
        [&](TestConnection& w) { w.send(whole.substr(0, whole.size() - 1)), w.close(); },
        [&](TestConnection& w) { w.send("\x16\x03\x01 noise\r\n\r\n"); },
        [&](TestConnection& w) {
            w.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Endpoint-Seal: 1\r\n\r\nbody"), w.close();
        },
    };
    for (size_t i = 0; i < breaks.size(); ++i) {
        auto c = client();
        c->send(request("/once/a", "ID", "", "body"));
        auto e = listener.accept();
        EXPECT_EQ(bodyOf(e->readMessage()), "body");
        breaks[i](*e);
        EXPECT_EQ(statusOf(c->readMessage()), 502) << i;
        waitUntilProcessed();
        EXPECT_FALSE(listener.hasPendingConnection()) << i;
        EXPECT_FALSE(other.hasPendingConnection()) << i;
    }
    auto c = client();  // an idempotent request is retried elsewhere
    c->send(request("/often/a", "id-2", "", "body"));
    auto e = listener.accept();
    e->readMessage();
    e->close();
    auto f = other.accept();
    EXPECT_EQ(bodyOf(f->readMessage()), "body");
    f->send(answer("id-2", "good"));
    EXPECT_EQ(bodyOf(c->readMessage()), "good");
}

TEST_F(ProxyTest, SilentInstanceIsAwaitedUntilTheDeadline) {
    TestListener listener;
    configureWithSlots({{&listener, 4}});
    auto c = client();
    c->send(request("/once/a", "id-1", "", "", 200));
    auto e = listener.accept();
    e->readMessage();
    EXPECT_EQ(statusOf(c->readMessage()), 504);
    EXPECT_TRUE(e->closesWithoutMoreBytes());
    EXPECT_FALSE(listener.hasPendingConnection());
}

TEST_F(ProxyTest, FailedConnectGoesToAnotherInstance) {
    TestListener listener, other;
    configureWithSlots({{&listener, 4}, {&other, 4}});
    listener.close();
    auto c = client();
    c->send(request("/once/a", "id-1", "", "body"));
    auto f = other.accept();
    EXPECT_EQ(bodyOf(f->readMessage()), "body");
    f->send(answer("id-1", "good"));
    EXPECT_EQ(bodyOf(c->readMessage()), "good");
}

TEST_F(ProxyTest, IdleConnectionClosedByTheInstanceIsNotReused) {
    TestListener listener;
    configureWithSlots({{&listener, 4}});
    auto c = client();
    c->send(request("/once/a", "id-1"));
    auto e = listener.accept();
    e->readMessage();
    e->send(answer("id-1", "one"));
    EXPECT_EQ(bodyOf(c->readMessage()), "one");
    c->send(request("/once/b", "id-2"));
    EXPECT_EQ(field(e->readMessage(), "X-Attempt-Id"), "id-2");  // kept until now
    e->send(answer("id-2", "two"));
    EXPECT_EQ(bodyOf(c->readMessage()), "two");
    e->close();
    waitUntilProcessed();
    c->send(request("/once/c", "id-3"));
    auto f = listener.accept();
    f->readMessage();
    f->send(answer("id-3", "three", "Connection: close\r\n"));
    EXPECT_EQ(bodyOf(c->readMessage()), "three");
    EXPECT_TRUE(f->closesWithoutMoreBytes());
}

TEST_F(ProxyTest, QueuedRequestOfADisconnectedClientIsNotSent) {
    TestListener listener;
    configureWithSlots({});
    auto gone = client(), half = client();
    gone->send(request("/once/a", "id-1"));
    half->send(request("/once/a", "id-2"));
    waitUntilProcessed();
    gone->close();
    half->reset();
    waitUntilProcessed();
    auto stays = client();
    stays->send(request("/once/b", "id-3"));
    waitUntilProcessed();
    agent_->send(grants({{&listener, 1}}));
    auto e = listener.accept();
    EXPECT_EQ(field(e->readMessage(), "X-Attempt-Id"), "id-3");
    e->send(answer("id-3", "yours"));
    EXPECT_EQ(bodyOf(stays->readMessage()), "yours");
    stays->send(request("/once/c", "id-4"));
    EXPECT_EQ(field(e->readMessage(), "X-Attempt-Id"), "id-4");
    EXPECT_FALSE(listener.hasPendingConnection());
}

TEST_F(ProxyTest, HalfClosedClientWithARequestInFlightIsAnswered) {
    TestListener listener;
    configureWithSlots({{&listener, 1}});
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = loopback(frontPort_);
    ASSERT_EQ(::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    TestConnection c(fd);
    c.send(request("/once/a", "id-1"));
    auto e = listener.accept();
    e->readMessage();
    ::shutdown(fd, SHUT_WR);
    waitUntilProcessed();
    e->send(answer("id-1", "still"));
    EXPECT_EQ(bodyOf(c.readMessage()), "still");
    EXPECT_TRUE(c.closesWithoutMoreBytes());
}

TEST_F(ProxyTest, RevokedSlotFinishesItsCall) {
    TestListener listener;
    configureWithSlots({{&listener, 2}});
    auto c = client();
    c->send(request("/once/a", "id-1"));
    auto e = listener.accept();
    e->readMessage();
    agent_->send(standing(1, 100) + grants({}));  // with 100 proxies none may keep one of 50 connections
    EXPECT_TRUE(waitForReport(
        [](auto& r) { return !r.held.empty() && r.held[0].busy == 1 && r.held[0].slots == 1; }));
    e->send(answer("id-1", "whole"));
    EXPECT_EQ(bodyOf(c->readMessage()), "whole");
    EXPECT_TRUE(e->closesWithoutMoreBytes());  // and is not parked
    EXPECT_TRUE(waitForReport([](auto& r) { return !r.held.empty() && r.held[0].slots == 0; }));
}

// Slots move between proxies and return: the connection of the last call serves the next one.
TEST_F(ProxyTest, ConnectionIsReusedWhenItsSlotReturns) {
    TestListener listener;
    configureWithSlots({{&listener, 1}});
    auto c = client();
    c->send(request("/often/a", "id-1"));
    auto e = listener.accept();
    e->readMessage();
    e->send(answer("id-1", "one"));
    EXPECT_EQ(bodyOf(c->readMessage()), "one");
    agent_->send(grants({}));
    EXPECT_TRUE(waitForReport([](auto& r) { return !r.held.empty() && r.held[0].slots == 0; }));
    agent_->send(grants({{&listener, 1}}));
    c->send(request("/often/b", "id-2"));
    EXPECT_EQ(field(e->readMessage(), "X-Attempt-Id"), "id-2");
    EXPECT_FALSE(listener.hasPendingConnection());
    e->send(answer("id-2", "two"));
    EXPECT_EQ(bodyOf(c->readMessage()), "two");
}

// A connection that the instance closed, or that delivered unexpected bytes, is not reused.
TEST_F(ProxyTest, ParkedConnectionThatEndedIsNotReused) {
    TestListener listener;
    configureWithSlots({{&listener, 1}});
    for (bool closes : {true, false}) {
        auto c = client();
        c->send(request("/often/a", "id-1"));
        auto e = listener.accept();
        e->readMessage();
        e->send(answer("id-1", "one"));
        EXPECT_EQ(bodyOf(c->readMessage()), "one");
        agent_->send(grants({}));
        EXPECT_TRUE(waitForReport([](auto& r) { return !r.held.empty() && r.held[0].slots == 0; }));
        closes ? e->close() : e->send(answer("id-1", "in excess"));
        waitUntilProcessed();
        agent_->send(grants({{&listener, 1}}));
        c->send(request("/often/b", "id-2"));
        auto f = listener.accept();
        EXPECT_EQ(field(f->readMessage(), "X-Attempt-Id"), "id-2");
        f->send(answer("id-2", "two", "Connection: close\r\n"));
        EXPECT_EQ(bodyOf(c->readMessage()), "two");
    }
}

TEST_F(ProxyTest, OlderConfigurationsAreIgnored) {
    const std::string route = R"(,{"name":"c","host_name":"h.example","path_prefix":"/new/",
        "route_type":"idempotent","timeout_ms":1,"target_latency_ms":1,"priority":2,"service":"s",
        "max_attempts":1})";
    agent_->send(configuration(8, route) + configuration(7) + standing());
    ASSERT_TRUE(waitForReport([](auto& r) { return r.isFull; }));
    EXPECT_EQ(statusOf(sendAndReceive(request("/new/a", "id-1"))),
              503);  // the route is known, but there is no slot
    EXPECT_EQ(statusOf(sendAndReceive("GET /new/a HTTP/1.1\r\nHost: h.example\r\n\r\n")),
              400);  // without an attempt id
    agent_->send(configuration(9) + standing(2));
    ASSERT_TRUE(waitForReport([](auto& r) { return r.isFull && r.term == 2; }));
    EXPECT_EQ(statusOf(sendAndReceive(request("/new/a", "id-1"))), 404);
}

// As after a start between two versions: a delta against a text that the proxy does not have cannot be
// applied.
TEST_F(ProxyTest, DeltaAgainstAnUnknownTextRequestsTheFullConfiguration) {
    configuration::HeldText held(2);
    for (int version : {7, 8}) {
        const std::string text = configurationText(version);
        held.adopt({version, configuration::digest(text)}, text);
    }
    const configuration::TextId former{7, configuration::digest(configurationText(7))};
    agent_->send(frame(network::Kind::config, network::packed(held.configFor(former))));
    EXPECT_EQ(readFrame().first, network::Kind::want);
    EXPECT_EQ(statusOf(requestReadiness()), 503);
    agent_->send(frame(network::Kind::config, network::packed(held.plain())) + standing());
    ASSERT_TRUE(waitForReport([](auto& r) { return r.isFull; }));
    EXPECT_EQ(statusOf(requestReadiness()), 200);
}

TEST_F(ProxyTest, DrainingFinishesRequestsInFlightAndExits) {
    TestListener listener;
    configureWithSlots({{&listener, 2}});
    auto idle = client(), c = client();
    idle->send(request("/nowhere/", "x"));
    EXPECT_EQ(statusOf(idle->readMessage()), 404);
    c->send(request("/once/a", "id-1"));
    auto e = listener.accept();
    e->readMessage();
    turning_.ask([this] { proxy_->startDraining(); });
    EXPECT_EQ(statusOf(requestReadiness()), 503);
    EXPECT_TRUE(waitForReport([](auto& r) { return r.isLeaving; }));
    auto late = client();  // still sent by the platform
    late->send(request("/once/b", "id-2"));
    auto f = listener.accept();
    EXPECT_EQ(field(f->readMessage(), "X-Attempt-Id"), "id-2");
    f->send(answer("id-2", "late"));
    for (auto [wire, body] : {std::pair(late.get(), "late"), std::pair(c.get(), "whole")}) {
        if (wire == c.get()) e->send(answer("id-1", "whole"));
        std::string back = wire->readMessage();
        EXPECT_EQ(statusOf(back), 200);
        EXPECT_EQ(bodyOf(back), body);
        EXPECT_EQ(field(back, "Connection"), "close");
        EXPECT_TRUE(wire->closesWithoutMoreBytes());
    }
    EXPECT_TRUE(idle->closesWithoutMoreBytes());
    EXPECT_TRUE(turning_.endsWithin(kReadTimeoutMs));
}

// With few proxies left, the platform sends clients here until the end of the grace period. Every request
// that is read must be answered.
TEST_F(ProxyTest, RequestsLateInTheGracePeriodAreRejected) {
    TestListener listener;
    configureWithSlots({{&listener, 1}});
    auto first = client();
    first->send(request("/often/a", "id-0"));
    auto e = listener.accept();
    e->readMessage();
    e->send(answer("id-0", "first"));
    EXPECT_EQ(statusOf(first->readMessage()), 200);
    turning_.ask([this] { proxy_->startDraining(); });
    std::string last;
    for (int i = 1; i < 100000; ++i) {
        std::string id = "id-" + std::to_string(i);
        auto c = client();
        c->send(request("/nowhere/", id));
        last = c->readMessage();
        ASSERT_TRUE(statusOf(last) == 404 || statusOf(last) == 503) << i << ": " << last;
        EXPECT_TRUE(c->closesWithoutMoreBytes());
        if (statusOf(last) == 503) break;
    }
    EXPECT_EQ(statusOf(last), 503);
    EXPECT_NE(field(last, "Retry-After"), "(none)");
    EXPECT_TRUE(turning_.endsWithin(kReadTimeoutMs));
}

TEST_F(ProxyTest, ConnectionsBeyondTheDescriptorLimitAreClosedUnread) {
    configureWithSlots({});
    std::vector<std::unique_ptr<TestConnection>> all;
    for (int i = 0; i < 64; ++i) {
        all.push_back(client());
        all.back()->send(request("/nowhere/", "x"));
        ASSERT_EQ(statusOf(all.back()->readMessage()), 404) << i;
    }
    auto over = client();
    EXPECT_TRUE(over->closesWithoutMoreBytes());
    all.front()->send(request("/nowhere/", "x"));
    EXPECT_EQ(statusOf(all.front()->readMessage()), 404);
}

TEST_F(ProxyTest, RejectionClosesTheConnectionUnderLoad) {
    configureWithSlots({});
    auto refused = [&] {
        return sendAndReceive(request("/often/a", "x", "", "", 500));
    };  // shorter than any boot
    std::string got = refused();
    EXPECT_EQ(statusOf(got), 503);
    EXPECT_EQ(field(got, "Connection"), "(none)");
    std::vector<std::unique_ptr<TestConnection>> all;
    for (int i = 0; i < 32; ++i) {  // half of the allowed connections are idle
        all.push_back(client());
        all.back()->send(request("/nowhere/", "x"));
        ASSERT_EQ(statusOf(all.back()->readMessage()), 404) << i;
    }
    got = refused();
    EXPECT_EQ(statusOf(got), 503);
    EXPECT_EQ(field(got, "Connection"), "close");
}

TEST_F(ProxyTest, QueuedRequestsLeaveConnectionsForOthers) {
    configureWithSlots({});
    std::vector<std::unique_ptr<TestConnection>> all;
    for (int i = 0; i < 32; ++i) {
        all.push_back(client());
        all.back()->send(request("/often/a", "x"));
    }
    waitUntilProcessed();
    EXPECT_EQ(statusOf(sendAndReceive(request("/often/a", "y"))), 503);  // and is not queued
}

TEST_F(ProxyTest, BufferedBytesAreLimited) {
    TestListener listener;
    configureWithSlots({{&listener, 1}});
    std::string large(260'000, 'x');
    std::vector<std::unique_ptr<TestConnection>> all;
    for (int i = 0; i < 4; ++i) {  // an eighth of 8 MB is slightly less than four bodies
        all.push_back(client());
        all.back()->send(request("/once/a", "id-" + std::to_string(i), "", large));
        if (i < 3) waitUntilProcessed();
    }
    EXPECT_EQ(statusOf(all.back()->readMessage()), 503);
    auto e = listener.accept();
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(bodyOf(e->readMessage()), large);
        e->send(answer("id-" + std::to_string(i), "done"));
        EXPECT_EQ(bodyOf(all[static_cast<size_t>(i)]->readMessage()), "done");
    }
    auto c = client();
    c->send(request("/once/a", "id-9", "", large));  // there is room again
    e->readMessage();
    e->send(answer("id-9", "done"));
    EXPECT_EQ(statusOf(c->readMessage()), 200);
}

}  // namespace
}  // namespace petrelpond::proxy
