#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <thread>

#include "system/network/http_answer.hpp"
#include "system/network/http_server.hpp"
#include "system/network/turning_for_test.hpp"

namespace petrelpond::network {
namespace {

constexpr int kPatience = 5000;  // ms; only a failing test waits for so long

// --- answers -------------------------------------------------------------------------------------

constexpr size_t kMost = 100'000;

std::string answerOf(size_t length) {
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" +
           std::string(length, 'b');
}

Reading take(std::string bytes, bool ended = false) {
    HttpAnswer out;
    return takeAnswer(bytes, ended, kMost, out);
}

TEST(TakeAnswer, WholeWithItsBody) {
    for (size_t length : {size_t{0}, size_t{1}, size_t{70'000}}) {
        std::string in = answerOf(length);
        HttpAnswer out;
        ASSERT_EQ(takeAnswer(in, false, kMost, out), Reading::whole);
        EXPECT_EQ(out.status, 200);
        EXPECT_EQ(out.body, std::string(length, 'b'));
        EXPECT_EQ(out.head.field("x-attempt-id"), "a");
        EXPECT_FALSE(out.closes);
        EXPECT_TRUE(in.empty());
    }
}

TEST(TakeAnswer, CutAnywhereIsNotWhole) {
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n";
    for (const std::string& whole : {answerOf(5), chunked}) {
        for (size_t cut = 0; cut < whole.size(); ++cut) {
            EXPECT_EQ(take(whole.substr(0, cut)), Reading::incomplete) << cut;
            EXPECT_EQ(take(whole.substr(0, cut), true), Reading::malformed) << cut;
        }
        EXPECT_EQ(take(whole), Reading::whole);
        EXPECT_EQ(take(whole, true), Reading::whole);
        std::string in;  // byte by byte
        HttpAnswer out;
        for (size_t i = 0; i + 1 < whole.size(); ++i) {
            in.push_back(whole[i]);
            ASSERT_EQ(takeAnswer(in, false, kMost, out), Reading::incomplete) << i;
        }
        in.push_back(whole.back());
        ASSERT_EQ(takeAnswer(in, false, kMost, out), Reading::whole);
        EXPECT_EQ(out.body.size(), 5u);
        EXPECT_TRUE(in.empty());
    }
}

TEST(TakeAnswer, BytesInExcessStay) {
    std::string in = answerOf(2) + "HTTP/1.1 500 ";
    HttpAnswer out;
    ASSERT_EQ(takeAnswer(in, false, kMost, out), Reading::whole);
    EXPECT_EQ(out.body, "bb");
    EXPECT_EQ(in, "HTTP/1.1 500 ");
    in = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\nnoise";
    ASSERT_EQ(takeAnswer(in, false, kMost, out), Reading::whole);
    EXPECT_EQ(out.body, "x");
    EXPECT_EQ(in, "noise");
}

TEST(TakeAnswer, InterimAnswersAreSkipped) {
    std::string in = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n";
    HttpAnswer out;
    ASSERT_EQ(takeAnswer(in, false, kMost, out), Reading::incomplete);
    in += answerOf(3);
    ASSERT_EQ(takeAnswer(in, false, kMost, out), Reading::whole);
    EXPECT_EQ(out.status, 200);
    EXPECT_EQ(out.body, "bbb");
    EXPECT_FALSE(out.head.field("Link"));
    EXPECT_EQ(take("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"), Reading::malformed);
    EXPECT_EQ(take("HTTP/1.1 100 Continue\r\n\r\n", true), Reading::malformed);
}

TEST(TakeAnswer, NoiseIsSeenAtOnce) {
    for (const char* noise :
         {"garbage", "\r\n", "GET / HTTP/1.1\r\n\r\n", "HTTP/2 200 OK\r\n\r\n", "\x01\x02",
          "HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/1.1 99 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nno colon here\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nbb"})
        EXPECT_EQ(take(noise), Reading::malformed) << noise;
}

TEST(TakeAnswer, WithoutALengthItCannotBeToldFromACutOne) {
    EXPECT_EQ(take("HTTP/1.1 200 OK\r\n\r\nbody", true), Reading::malformed);
    EXPECT_EQ(take("HTTP/1.1 200 OK\r\n\r\nbody"), Reading::malformed);
    EXPECT_EQ(take("HTTP/1.1 204 No Content\r\n\r\n"), Reading::whole);
    EXPECT_EQ(take("HTTP/1.1 304 Not Modified\r\n\r\n"), Reading::whole);
}

TEST(TakeAnswer, LengthsThatContradictAreMalformed) {
    for (const char* fields :
         {"Content-Length: 2\r\nContent-Length: 3", "Content-Length: 2, 2", "Content-Length: -2",
          "Content-Length: +2", "Content-Length: 2\r\nTransfer-Encoding: chunked", "Transfer-Encoding: gzip",
          "Transfer-Encoding: gzip, chunked", "Content-Length: 100001",
          "Content-Length: 99999999999999999999"})
        EXPECT_EQ(take(std::string("HTTP/1.1 200 OK\r\n") + fields + "\r\n\r\n2\r\nbb\r\n0\r\n\r\n"),
                  Reading::malformed)
            << fields;
    for (const char* body :
         {"x\r\nbb", "-2\r\nbb\r\n", "2\r\nbbb\r\n0\r\n\r\n", "fffffffffffffffff\r\n", "186a1\r\n"})
        EXPECT_EQ(take(std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") + body),
                  Reading::malformed)
            << body;
}

TEST(TakeAnswer, TellsWhetherTheConnectionEnds) {
    HttpAnswer out;
    std::string in = "HTTP/1.1 200 OK\r\nconnection: Close\r\nContent-Length: 0\r\n\r\n";
    ASSERT_EQ(takeAnswer(in, false, kMost, out), Reading::whole);
    EXPECT_TRUE(out.closes);
    in = "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n";
    ASSERT_EQ(takeAnswer(in, false, kMost, out), Reading::whole);
    EXPECT_TRUE(out.closes);
}

TEST(TakeAnswer, CloseCountsWhereverItStands) {
    for (auto [fields, closes] : std::initializer_list<std::pair<const char*, bool>>{
             {"Connection: X-Of-This, close", true},
             {"Connection: X-Of-This\r\nConnection: CLOSE ,x", true},
             {"Connection: X-Close, closed", false}}) {
        HttpAnswer out;
        std::string in = std::string("HTTP/1.1 200 OK\r\n") + fields + "\r\nContent-Length: 0\r\n\r\n";
        ASSERT_EQ(takeAnswer(in, false, kMost, out), Reading::whole);
        EXPECT_EQ(out.closes, closes) << fields;
    }
}

TEST(TakeAnswer, WhereNoBodyMayComeNoneIsTaken) {
    const std::string next = answerOf(2);
    for (const char* first : {"HTTP/1.1 204 No Content\r\nContent-Length: 9\r\n\r\n",
                              "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
                              "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
        HttpAnswer out;
        std::string in = first + next;
        ASSERT_EQ(takeAnswer(in, false, kMost, out), Reading::whole) << first;
        EXPECT_EQ(out.body + in, next);
    }
    HttpAnswer out;
    std::string in = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + next;
    ASSERT_EQ(takeAnswer(in, false, kMost, out, true), Reading::whole);
    EXPECT_EQ(out.body + in, next);
}

// --- streams -------------------------------------------------------------------------------------

struct Deaf final : StreamOwner {
    size_t got = 0;
    void data(Stream& s) override { got += s.in().size(), s.in().clear(); }
    void ended(Stream&, int) override {}
};

TEST(Streams, ALargeMessageLeavesNoRoomBehind) {
    Loop loop;
    Deaf owner;
    int ends[2];
    ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends), 0);
    auto stream = Stream::adopt(loop, owner, ends[0], Span());
    std::string large(100'000, 'x');
    ssize_t sent = ::send(ends[1], large.data(), large.size(), 0);
    ASSERT_GT(sent, 50'000);
    while (owner.got < static_cast<size_t>(sent)) stream->woke(EPOLLIN);
    EXPECT_LT(stream->memory(), 20'000u);
    for (int i = 0; i < 50; ++i) stream->send(large);  // more than the way takes at once
    EXPECT_GT(stream->memory(), 1'000'000u);
    while (stream->unsent() > 0) {
        while (::recv(ends[1], large.data(), large.size(), 0) > 0) {
        }
        stream->woke(EPOLLOUT);
    }
    EXPECT_LT(stream->memory(), 20'000u);
    ::close(ends[1]);
}

TEST(Streams, NothingLeavesOnAConnectionThatWasReset) {
    Loop loop;  // does not turn: what the other side did has not been read
    Deaf owner;
    int door = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET, at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ASSERT_EQ(::bind(door, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    ASSERT_EQ(::listen(door, 1), 0);
    socklen_t size = sizeof at;
    ::getsockname(door, reinterpret_cast<sockaddr*>(&at), &size);
    int own = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ASSERT_EQ(::connect(own, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    int peer = ::accept4(door, nullptr, nullptr, SOCK_CLOEXEC);
    ::fcntl(own, F_SETFL, O_NONBLOCK);
    auto stream = Stream::adopt(loop, owner, own, Span());
    stream->sendAnew("first");
    EXPECT_TRUE(stream->anythingSent());
    linger hard{1, 0};
    setsockopt(peer, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::close(peer);
    stream->sendAnew("second");
    EXPECT_FALSE(stream->anythingSent());
    ::close(door);
}

// --- visits --------------------------------------------------------------------------------------

// The client's end of a connection.
class Client {
  public:
    explicit Client(int fd) : fd_(fd) {}
    ~Client() { ::close(fd_); }
    Client(const Client&) = delete;
    void send(std::string_view bytes) {
        while (!bytes.empty()) {
            ssize_t n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0) return;  // the other end has closed, as it may
            bytes.remove_prefix(static_cast<size_t>(n));
        }
    }
    void finish() { ::shutdown(fd_, SHUT_WR); }
    // The other side reset the connection, as it does for bytes that nobody will read.
    bool wasReset() {
        pollfd p{fd_, 0, 0};
        return ::poll(&p, 1, 3000) > 0 && (p.revents & (POLLERR | POLLHUP));
    }
    // One answer, or what came before the end.
    std::string answer() {
        while (true) {
            std::string copy = in_;
            HttpAnswer out;
            if (takeAnswer(copy, false, 1 << 20, out) == Reading::whole) {
                std::string whole = in_.substr(0, in_.size() - copy.size());
                in_ = copy;
                return whole;
            }
            if (!more()) return std::exchange(in_, "");
        }
    }
    std::string some(size_t bytes) {
        while (in_.size() < bytes && more()) {
        }
        std::string out = in_.substr(0, bytes);
        in_.erase(0, out.size());
        return out;
    }
    // All that comes up to the end; nothing if it does not end in time.
    std::optional<std::string> toTheEnd() {
        while (more()) {
        }
        if (!over_) return std::nullopt;
        return std::exchange(in_, "");
    }

  private:
    bool more() {
        pollfd p{fd_, POLLIN, 0};
        if (over_ || ::poll(&p, 1, kPatience) != 1) return false;
        char bytes[65536];
        ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0) return over_ = true, false;
        in_.append(bytes, static_cast<size_t>(n));
        return true;
    }
    int fd_;
    bool over_ = false;
    std::string in_;
};

struct Seen {
    std::string line, host, body;
    uint64_t visit;
};

class Visits : public ::testing::Test, public HttpHost {
  protected:
    Visits() {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        at_.sin_family = AF_INET, at_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::bind(listener_, reinterpret_cast<sockaddr*>(&at_), sizeof at_), 0);
        EXPECT_EQ(::listen(listener_, 16), 0);
        socklen_t size = sizeof at_;
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&at_), &size);
        limits_ = {2000, 3000, Span::seconds(60), Span::seconds(60)};
        turning_.start();
    }
    ~Visits() override {
        turning_.ask([this] {
            for (auto& [id, visit] : visits_) turning_.loop.bury(std::move(visit));
            visits_.clear();
        });
        turning_.end();
        ::close(listener_);
    }
    std::unique_ptr<Client> connect() {
        int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        EXPECT_EQ(::connect(fd, reinterpret_cast<sockaddr*>(&at_), sizeof at_), 0);
        int peer = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        turning_.ask([&] {
            uint64_t id = ++last_;
            visits_[id] = std::make_unique<HttpVisit>(turning_.loop, *this, peer, id);
        });
        return std::make_unique<Client>(fd);
    }
    void setLimits(HttpLimits limits) {
        turning_.ask([&] { limits_ = limits; });
    }
    void holdAnswers() {
        turning_.ask([&] { holds_ = true; });
    }
    void lookOften() {
        turning_.ask([&] { lookAgain(); });
    }
    size_t askedSoFar() {
        size_t n = 0;
        turning_.ask([&] { n = seen_.size(); });
        return n;
    }
    std::vector<Seen> seen() {
        std::vector<Seen> out;
        turning_.ask([&] { out = seen_; });
        return out;
    }
    void untilAsked(size_t n) {
        auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(kPatience);
        while (askedSoFar() < n && std::chrono::steady_clock::now() < until) {
        }
        EXPECT_GE(askedSoFar(), n);
    }
    void answerNow(uint64_t visit, const std::string& body, bool last = false) {
        turning_.ask([&] {
            auto found = visits_.find(visit);
            if (found != visits_.end()) found->second->answer(200, "", body, last);
        });
    }

    void asked(HttpVisit& visit, HttpRequest&& r) override {
        std::string line = std::string(r.method()) + " " + std::string(r.target());
        seen_.push_back({line, std::string(r.head.field("Host").value_or("")), r.body, visit.id()});
        if (!holds_) visit.answer(200, "X-Kept: yes\r\n", line + " " + std::to_string(r.body.size()));
    }
    void left(HttpVisit& visit) override {
        auto found = visits_.find(visit.id());
        if (found == visits_.end()) return;
        turning_.loop.bury(std::move(found->second));
        visits_.erase(found);
    }
    void hungUp(HttpVisit&) override { ++hungUps_; }
    const HttpLimits& limits() const override { return limits_; }

    // Refused with this status, nothing run, and the connection over.
    void expectRefused(const std::string& bytes, int status) {
        size_t before = askedSoFar();
        auto client = connect();
        client->send(bytes);
        auto all = client->toTheEnd();
        ASSERT_TRUE(all) << "still open after " << bytes.substr(0, 300);
        EXPECT_EQ(all->substr(0, 13), "HTTP/1.1 " + std::to_string(status) + " ") << bytes.substr(0, 300);
        EXPECT_NE(all->find("\r\nConnection: close\r\n"), std::string::npos);
        EXPECT_EQ(all->find("HTTP/1.1", 1), std::string::npos) << "more than one answer";
        EXPECT_EQ(askedSoFar(), before) << "run: " << bytes.substr(0, 300);
    }

    std::atomic<int> hungUps_ = 0;

  private:
    void lookAgain() {
        std::vector<HttpVisit*> all;
        for (auto& [id, visit] : visits_) all.push_back(visit.get());
        for (HttpVisit* visit : all) visit->look();
        turning_.loop.at(turning_.loop.now() + Span::millis(5), [this] { lookAgain(); });
    }
    Turning turning_;
    int listener_;
    sockaddr_in at_{};
    HttpLimits limits_;
    bool holds_ = false;
    uint64_t last_ = 0;
    std::map<uint64_t, std::unique_ptr<HttpVisit>> visits_;
    std::vector<Seen> seen_;
};

const std::string kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

bool endsWith(const std::string& text, const std::string& end) {
    return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

TEST_F(Visits, PipelinedRequestsAreAnsweredInOrder) {
    auto client = connect();
    std::string all;
    for (int i = 0; i < 20; ++i)
        all += "POST /" + std::to_string(i) + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(i) +
               "\r\n\r\n" + std::string(static_cast<size_t>(i), 'G');
    client->send(all);
    for (int i = 0; i < 20; ++i) {
        std::string want = "\r\n\r\nPOST /" + std::to_string(i) + " " + std::to_string(i);
        EXPECT_TRUE(endsWith(client->answer(), want)) << i;
    }
    EXPECT_EQ(askedSoFar(), 20u);
}

TEST_F(Visits, ToAHeadTheBodyIsLeftOut) {
    auto client = connect();
    client->send(
        "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n"
        "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    std::string all = client->toTheEnd().value_or("still open");
    EXPECT_NE(all.find("Content-Length: 9\r\n\r\nHTTP/1.1 200"), std::string::npos) << all;
}

TEST_F(Visits, OneAtATime) {
    holdAnswers();
    auto client = connect();
    client->send(kGet + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    untilAsked(1);
    EXPECT_EQ(askedSoFar(), 1u);
    answerNow(1, "one");
    EXPECT_TRUE(endsWith(client->answer(), "\r\n\r\none"));
    untilAsked(2);
    answerNow(1, "two");
    EXPECT_TRUE(endsWith(client->answer(), "\r\n\r\ntwo"));
    EXPECT_EQ(seen()[1].line, "GET /b");
}

TEST_F(Visits, WhatCannotBeToldApartIsRefusedAndClosed) {
    const std::string inner = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string chunked = "5\r\nabcde\r\n0\r\n\r\n";
    auto post = [&](const std::string& fields, const std::string& body) {
        return "POST /x HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n\r\n" + body + inner;
    };
    for (const std::string& bytes :
         {post("Content-Length: 4\r\nTransfer-Encoding: chunked", chunked),
          post("Transfer-Encoding: chunked\r\nContent-Length: 15", chunked),
          post("Transfer-Encoding: chunked\r\ncontent-length: 0", chunked),
          post("Content-Length: 0\r\nContent-Length: 36", ""),
          post("Content-Length: 36\r\nContent-Length: 0", ""),
          post("Content-Length: 0, 36", ""),
          post("Content-Length: +0", ""),
          post("Content-Length: -1", ""),
          post("Content-Length: 0x0", ""),
          post("Content-Length: 99999999999999999999", ""),
          post("Content-Length:", ""),
          post("Transfer-Encoding: gzip", chunked),
          post("Transfer-Encoding: gzip, chunked", chunked),
          post("Transfer-Encoding: chunked, identity", chunked),
          post("Transfer-Encoding: xchunked", chunked),
          post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", chunked),
          post("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity", chunked),
          post("Transfer-Encoding : chunked", chunked),
          post("Transfer-Encoding\t: chunked", chunked),
          post(" Transfer-Encoding: chunked", chunked),
          post("X: y\r\n Transfer-Encoding: chunked", chunked),
          post("X: y\r\n\tfolded", ""),
          post("Transfer-Encoding:\r\n chunked", chunked),
          post("Host: other", ""),
          post("X: a\rContent-Length: 36", ""),
          post(std::string("X: a\0b", 6), ""),
          post("no colon", ""),
          post(": empty name", ""),
          post("Transfer-Encoding: chunked", "5\r\nabcdefg\r\n0\r\n\r\n"),
          post("Transfer-Encoding: chunked", "-5\r\nabcde\r\n0\r\n\r\n"),
          post("Transfer-Encoding: chunked", "0x5\r\nabcde\r\n0\r\n\r\n"),
          post("Transfer-Encoding: chunked", "\r\n\r\n"),
          std::string("GET /x HTTP/1.1 HTTP/1.1\r\nHost: h\r\n\r\n"),
          std::string("GET  /x HTTP/1.1\r\nHost: h\r\n\r\n"),
          std::string("GET /x HTTP/3\r\nHost: h\r\n\r\n"),
          std::string("GET /x\r\nHost: h\r\n\r\n"),
          std::string("G(T /x HTTP/1.1\r\nHost: h\r\n\r\n")})
        expectRefused(bytes, 400);
}

TEST_F(Visits, WhatFollowsARefusalIsNotRun) {
    auto client = connect();
    client->send(kGet + "POST /x HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n" + kGet);
    EXPECT_EQ(client->answer().substr(0, 12), "HTTP/1.1 200");
    EXPECT_EQ(client->answer().substr(0, 12), "HTTP/1.1 400");
    client->send(kGet);
    auto rest = client->toTheEnd();
    ASSERT_TRUE(rest);
    EXPECT_EQ(*rest, "");
    EXPECT_EQ(askedSoFar(), 1u);
}

TEST_F(Visits, HeadsAreBounded) {
    std::string start = "GET /a HTTP/1.1\r\nHost: h\r\nX: ";
    expectRefused(start + std::string(2000, 'x') + "\r\n\r\n", 431);
    expectRefused(start + std::string(2001, 'x'), 431);  // without its end
    expectRefused("GET /" + std::string(3000, 'x'), 431);
    auto client = connect();
    client->send(start + std::string(2000 - start.size() - 4, 'x') + "\r\n\r\n");
    EXPECT_EQ(client->answer().substr(0, 12), "HTTP/1.1 200");
}

TEST_F(Visits, ABoundOfTheConfigurationIsTheBound) {
    setLimits({40'000, 300'000, Span::seconds(60), Span::seconds(60)});
    auto client = connect();
    client->send("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(30'000, 'x') + "\r\n\r\n");
    EXPECT_EQ(client->answer().substr(0, 12), "HTTP/1.1 200");
    auto second = connect();
    second->send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + std::string(300'000, 'x'));
    EXPECT_TRUE(endsWith(second->answer(), "POST /a 300000"));
}

TEST_F(Visits, BodiesAreBounded) {
    const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
    expectRefused(start + "Content-Length: 3001\r\n\r\n", 413);  // before any of it has come
    const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
    expectRefused(chunked + "bb9\r\n" + std::string(3001, 'x') + "\r\n0\r\n\r\n", 413);
    expectRefused(chunked + "7d0\r\n" + std::string(2000, 'x') + "\r\n7d0\r\n" + std::string(2000, 'x'), 413);
    auto client = connect();
    client->send(start + "Content-Length: 3000\r\n\r\n" + std::string(3000, 'x'));
    EXPECT_TRUE(endsWith(client->answer(), "POST /a 3000"));
    client->send(chunked + "bb8\r\n" + std::string(3000, 'x') + "\r\n0\r\n\r\n");
    EXPECT_TRUE(endsWith(client->answer(), "POST /a 3000"));
}

TEST_F(Visits, AChunkThatIsToldTooLongIsTooLongAndNotMalformed) {
    expectRefused("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nbb9\r\n", 413);
}

TEST_F(Visits, ARequestThatDoesNotComeOnEndsWith408) {
    setLimits({2000, 3000, Span::millis(40), Span::seconds(60)});
    lookOften();
    expectRefused("GET /a HTTP/1.1\r\nHo", 408);
    expectRefused("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc", 408);
    expectRefused("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", 408);
}

TEST_F(Visits, AnIdleConnectionEndsWithoutAWord) {
    setLimits({2000, 3000, Span::seconds(60), Span::millis(40)});
    auto client = connect();
    client->send(kGet);
    EXPECT_EQ(client->answer().substr(0, 12), "HTTP/1.1 200");
    lookOften();
    auto rest = client->toTheEnd();
    ASSERT_TRUE(rest);
    EXPECT_EQ(*rest, "");
}

// A request that crosses with the end of an idle connection is not read: its client may send it elsewhere.
TEST_F(Visits, WhatCrossesWithTheEndOfAnIdleConnectionStaysUnread) {
    setLimits({2000, 3000, Span::seconds(60), Span::millis(40)});
    auto client = connect();
    lookOften();
    ASSERT_TRUE(client->toTheEnd());
    client->send(kGet);
    EXPECT_TRUE(client->wasReset());
}

TEST_F(Visits, ARequestUnderWayIsBoundByNeither) {
    setLimits({2000, 3000, Span::millis(20), Span::millis(20)});
    holdAnswers();
    lookOften();
    auto client = connect();
    client->send(kGet);
    untilAsked(1);
    auto other = connect();  // it idles for longer than either bound
    EXPECT_TRUE(other->toTheEnd());
    answerNow(1, "late", true);
    EXPECT_TRUE(endsWith(client->answer(), "late"));
}

TEST_F(Visits, BodiesInChunksAndInPieces) {
    const std::string whole =
        "PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n"
        "5\r\nhello\r\n1;ext=\"1\"\r\n \r\nA\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\n";
    auto client = connect();
    for (char c : whole) client->send(std::string_view(&c, 1));
    EXPECT_TRUE(endsWith(client->answer(), "PUT /c 16"));
    EXPECT_EQ(seen().at(0).body, "hello 0123456789");
    client->send(whole + kGet);
    EXPECT_TRUE(endsWith(client->answer(), "PUT /c 16"));
    EXPECT_TRUE(endsWith(client->answer(), "GET /a 0"));
}

TEST_F(Visits, LargeBodiesStayTheSame) {
    setLimits({2000, 300'000, Span::seconds(60), Span::seconds(60)});
    std::string body;
    for (int i = 0; i < 70'000; ++i) body.push_back(static_cast<char>(i * 31 % 256));
    auto client = connect();
    client->send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n" + body);
    EXPECT_TRUE(endsWith(client->answer(), "POST /a 70000"));
    EXPECT_EQ(seen().at(0).body, body);
}

TEST_F(Visits, ContinueIsSaidToThoseWhoWait) {
    auto client = connect();
    client->send("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    EXPECT_EQ(client->some(25), "HTTP/1.1 100 Continue\r\n\r\n");
    client->send("ab");
    EXPECT_TRUE(endsWith(client->answer(), "POST /a 2"));
}

TEST_F(Visits, AHalfClosingClientIsStillAnswered) {
    holdAnswers();
    auto client = connect();
    client->send(kGet);
    client->finish();
    untilAsked(1);
    auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(kPatience);
    while (hungUps_ == 0 && std::chrono::steady_clock::now() < until) askedSoFar();
    EXPECT_EQ(hungUps_, 1);
    answerNow(1, "still");
    EXPECT_TRUE(endsWith(client->answer(), "still"));
    auto rest = client->toTheEnd();
    ASSERT_TRUE(rest);
    EXPECT_EQ(*rest, "");
}

TEST_F(Visits, AHalfClosingClientIsAnsweredAtOnceToo) {
    auto client = connect();
    client->send(kGet);
    client->finish();
    EXPECT_TRUE(endsWith(client->answer(), "GET /a 0"));
    EXPECT_TRUE(client->toTheEnd());
}

TEST_F(Visits, AHalfClosingClientGetsAllThatItAskedFor) {
    auto client = connect();
    client->send(kGet + kGet + kGet);
    client->finish();
    for (int i = 0; i < 3; ++i) EXPECT_TRUE(endsWith(client->answer(), "GET /a 0")) << i;
    EXPECT_TRUE(client->toTheEnd());
}

TEST_F(Visits, AHalfClosingClientGetsAllThatItAskedForWhileOneIsUnderWay) {
    holdAnswers();
    auto client = connect();
    client->send(kGet + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    client->finish();
    untilAsked(1);
    auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(kPatience);
    while (hungUps_ == 0 && std::chrono::steady_clock::now() < until) askedSoFar();
    answerNow(1, "one");
    EXPECT_TRUE(endsWith(client->answer(), "one"));
    for (int i = 0; i < 100 && askedSoFar() < 2; ++i) {
    }
    ASSERT_EQ(askedSoFar(), 2u);
    answerNow(1, "two");
    EXPECT_TRUE(endsWith(client->answer(), "two"));
    EXPECT_TRUE(client->toTheEnd());
}

// More than the kernel takes at once: what is left goes out although the client has ended its sending, before
// the answer or while it is read.
TEST_F(Visits, AHalfClosingClientGetsAllOfALongAnswer) {
    const std::string body(24u << 20, 'x');
    for (bool before : {true, false}) {
        holdAnswers();
        const size_t earlier = askedSoFar();
        const int hungUpsEarlier = hungUps_;
        auto client = connect();
        client->send(kGet);
        if (before) client->finish();
        untilAsked(earlier + 1);
        auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(kPatience);
        while (before && hungUps_ == hungUpsEarlier && std::chrono::steady_clock::now() < until) askedSoFar();
        answerNow(seen().back().visit, body);
        if (!before) client->finish(), askedSoFar();
        auto all = client->toTheEnd();
        ASSERT_TRUE(all) << before;
        EXPECT_GT(all->size(), body.size()) << before;
    }
}

// A host that asks at once whether a client that has ended its sending still reads.
class CheckingHost final : public HttpHost {
  public:
    explicit CheckingHost(Span patience) : patience_(patience) {}
    void asked(HttpVisit&, HttpRequest&&) override {}
    void left(HttpVisit&) override { ++leftCount; }
    void hungUp(HttpVisit& visit) override { visit.checkPeer(patience_); }
    const HttpLimits& limits() const override { return limits_; }
    int leftCount = 0;

  private:
    Span patience_;
    HttpLimits limits_;
};

// Guards against work for clients whose connection is gone without a reset. On a pair of local sockets bytes
// count as acknowledged once the peer has read them.
TEST(CheckPeer, APeerThatAcknowledgesNothingCountsAsDisconnected) {
    for (const bool reads : {false, true}) {
        int pair[2];
        ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, pair), 0);
        Loop loop;
        CheckingHost host(Span::millis(50));
        HttpVisit visit(loop, host, pair[0], 1);
        ASSERT_EQ(::send(pair[1], kGet.data(), kGet.size(), 0), static_cast<ssize_t>(kGet.size()));
        ::shutdown(pair[1], SHUT_WR);
        std::string got(64, ' ');
        loop.at(loop.now() + Span::millis(20), [&] {
            if (reads)
                got.resize(static_cast<size_t>(std::max<ssize_t>(0, ::recv(pair[1], got.data(), 64, 0))));
        });
        loop.at(loop.now() + Span::millis(150), [&] { loop.stop(); });
        loop.run();
        EXPECT_EQ(host.leftCount, reads ? 0 : 1);
        if (reads) {
            EXPECT_EQ(got, "HTTP/1.1 ");
            visit.answer(200, "", "body");
            std::string rest(200, ' ');
            rest.resize(static_cast<size_t>(std::max<ssize_t>(0, ::recv(pair[1], rest.data(), 200, 0))));
            EXPECT_EQ(rest.substr(0, 6), "200 OK");
        }
        ::close(pair[1]);
    }
}

TEST_F(Visits, CloseIsHonoured) {
    for (const char* first :
         {"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
          "GET /a HTTP/1.1\r\nHost: h\r\nconnection: Close\r\n\r\n", "GET /a HTTP/1.0\r\nHost: h\r\n\r\n"}) {
        size_t before = askedSoFar();
        auto client = connect();
        client->send(first + kGet);
        auto all = client->toTheEnd();
        ASSERT_TRUE(all);
        EXPECT_EQ(all->substr(0, 12), "HTTP/1.1 200");
        EXPECT_NE(all->find("\r\nConnection: close\r\n"), std::string::npos);
        EXPECT_EQ(all->find("HTTP/1.1", 1), std::string::npos);
        EXPECT_EQ(askedSoFar(), before + 1);
    }
}

TEST_F(Visits, TheHostMayEndTheConnectionToo) {
    holdAnswers();
    auto client = connect();
    client->send(kGet + kGet);
    untilAsked(1);
    answerNow(1, "bye", true);
    auto all = client->toTheEnd();
    ASSERT_TRUE(all);
    EXPECT_NE(all->find("\r\nConnection: close\r\n"), std::string::npos);
    EXPECT_TRUE(endsWith(*all, "bye"));
    EXPECT_EQ(askedSoFar(), 1u);
}

TEST_F(Visits, BlankLinesBeforeARequestAreNothing) {
    auto client = connect();
    client->send("\r\n\r\n" + kGet + "\r\n" + kGet);
    for (int i = 0; i < 2; ++i) EXPECT_TRUE(endsWith(client->answer(), "GET /a 0"));
    EXPECT_EQ(seen().at(1).host, "h");
}

}  // namespace
}  // namespace petrelpond::network
