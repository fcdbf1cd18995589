// What links do to messages, and the relay on sockets: what it says it lost is what got lost.
#include <arpa/inet.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "fleet/relay.hpp"

using petrelpond::Instant;
using petrelpond::Span;
using namespace petrelpond::fleet;

namespace {

using What = LinkFault::Kind;

LinkFault fault(What kind, double at, double lasts) {
    LinkFault f;
    f.what = kind, f.at = Span::seconds(at), f.lasts = Span::seconds(lasts);
    return f;
}
Instant s(double at) { return Instant() + Span::seconds(at); }

sockaddr_in addressOf(const std::string& at) {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    inet_pton(AF_INET, at.substr(0, at.find(':')).c_str(), &a.sin_addr);
    a.sin_port = htons(static_cast<uint16_t>(atoi(at.c_str() + at.find(':') + 1)));
    return a;
}

// A sender's stand-in: a socket for datagrams that notes what comes, and from where.
struct Ear {
    Loop& loop;
    Bound stream;
    int fd = -1;
    std::vector<std::string> got;
    std::set<std::string> sources;
    explicit Ear(Loop& l) : loop(l) {
        stream = listenOn("127.1.9.1", 0);
        fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockaddr_in a = addressOf(stream.address);
        REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0);
        int bytes = 4 << 20;
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
        loop.watch(fd, EPOLLIN, [this](uint32_t) {
            char part[2000];
            sockaddr_in from{};
            socklen_t size = sizeof from;
            ssize_t n;
            while ((n = recvfrom(fd, part, sizeof part, 0, reinterpret_cast<sockaddr*>(&from), &size)) >= 0) {
                got.emplace_back(part, static_cast<size_t>(n));
                sources.insert(std::string(inet_ntoa(from.sin_addr)) + ":" + std::to_string(ntohs(from.sin_port)));
            }
        });
    }
    ~Ear() {
        loop.forget(fd), ::close(fd);
        if (stream.fd >= 0) loop.forget(stream.fd), closeNow(stream);
    }
    void say(const std::string& to, const std::string& bytes) const {
        sockaddr_in a = addressOf(to);
        sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&a), sizeof a);
    }
};

void runFor(Loop& loop, double seconds) {
    loop.at(loop.now() + Span::seconds(seconds), [&] { loop.stop(); });
    loop.run();
}

}  // namespace

TEST_CASE("links: directions, times, sides and chains; what is in is out or lost") {
    LinkFault cut = fault(What::cut, 1, 2);
    cut.from = {0}, cut.to = {1};
    Links one({cut}, 3, 1);
    CHECK(one.hears(s(0.99), 0, 1));
    CHECK(!one.hears(s(1), 0, 1));
    CHECK(one.hears(s(1), 1, 0));
    CHECK(one.hears(s(1), 0, 2));
    CHECK(one.hears(s(3), 0, 1));
    CHECK(!one.opens(s(2), 1, 0));  // its answer would not come back
    CHECK(one.nextChange(s(0)) == s(1));
    CHECK(one.nextChange(s(1)) == s(3));
    CHECK(!one.nextChange(s(3)));

    LinkFault split = fault(What::partition, 0, 1), chain = fault(What::chain, 2, 1);
    split.sides = {{0, 1}, {2}}, chain.sides = {{0}, {1}, {2, 3}};
    Links sides({split, chain}, 4, 1);
    CHECK(sides.hears(s(0), 0, 1));
    CHECK(!sides.hears(s(0), 0, 2));
    CHECK(!sides.hears(s(0), 3, 0));  // on no side
    CHECK(sides.hears(s(2), 0, 1));
    CHECK(sides.hears(s(2), 1, 3));
    CHECK(!sides.hears(s(2), 0, 2));
    CHECK(!sides.hears(s(2), 2, 0));

    LinkFault loss = fault(What::loss, 0, 100), twice = fault(What::twice, 0, 100);
    loss.share = 0.3, twice.share = 0.1;
    Links both({loss, twice}, 2, 5), again({loss, twice}, 2, 5);
    long out = 0;
    for (int i = 0; i < 10000; ++i) {
        auto copies = both.datagram(s(1), 0, 1, 100);
        CHECK(copies.size() == again.datagram(s(1), 0, 1, 100).size());  // one seed, one fate
        out += static_cast<long>(copies.size());
    }
    const Links::Sum& sum = both.sum(0, 1);
    CHECK(sum.in == 10000);
    CHECK(sum.out == out);
    CHECK(sum.in - sum.lost + sum.doubled == sum.out);
    CHECK(sum.lost == Approx(3000).margin(150));
    CHECK(both.sum(1, 0).in == 0);

    LinkFault narrow = fault(What::narrow, 0, 100);
    narrow.bytesPerSecond = 10000;
    Links slow({narrow}, 2, 1);
    CHECK(slow.datagram(s(1), 0, 1, 1000)[0].after == Span::millis(100));
    CHECK(slow.datagram(s(1), 0, 1, 1000)[0].after == Span::millis(200));
    long lost = 0;
    for (int i = 0; i < 20; ++i) lost += slow.datagram(s(1), 0, 1, 1000).empty();
    CHECK(lost == 12);  // it holds a second's worth
    LinkFault late = fault(What::delay, 0, 100);
    late.value = Span::millis(50), late.spread = Span::millis(200);
    Links delayed({late}, 2, 3);
    int over50 = 0, over200 = 0;
    for (int i = 0; i < 2000; ++i) {
        Span after = delayed.datagram(s(1), 0, 1, 1)[0].after;
        over50 += after > Span::millis(50), over200 += after > Span::millis(200);
    }
    CHECK(over50 == Approx(1000).margin(80));
    CHECK(over200 == Approx(20).margin(15));
}

TEST_CASE("the relay on sockets: what it says it lost is what got lost, and answers come by it again") {
    Loop loop;
    Ear a(loop), b(loop);
    LinkFault loss = fault(What::loss, 0, 100), twice = fault(What::twice, 0, 100), spoil = fault(What::spoil, 0, 100),
              late = fault(What::reorder, 0, 100);
    for (LinkFault* f : {&loss, &twice, &spoil, &late}) f->from = {0}, f->to = {1}, f->share = 0.2;
    late.value = Span::millis(5), late.spread = Span::millis(15);
    Links links({loss, twice, spoil, late}, 2, 7);
    Relay relay(loop, links, {a.stream.address, b.stream.address});
    relay.begin();
    loop.zeroNow();
    int said = 0;
    std::function<void()> more = [&] {
        for (int i = 0; i < 20; ++i) {
            std::string bytes = std::to_string(said++) + ":" + std::string(100, 'x');
            a.say(relay.addressFor(0, 1), bytes);
            b.say(relay.addressFor(1, 0), bytes);
        }
        if (said < 1000) loop.at(loop.now() + Span::millis(2), more);
    };
    loop.at(loop.now(), more);
    runFor(loop, 1.5);
    const Links::Sum& out = links.sum(0, 1);
    CHECK(out.in == 1000);
    CHECK(static_cast<long>(b.got.size()) == out.out);
    CHECK(out.lost == Approx(200).margin(60));
    std::map<std::string, int> whole;
    long spoilt = 0;
    bool disordered = false;
    int highest = -1;
    for (const std::string& bytes : b.got) {
        size_t colon = bytes.find(':');
        bool good = colon != std::string::npos && bytes.substr(colon + 1) == std::string(100, 'x') &&
                    bytes.find_first_not_of("0123456789") == colon && atoi(bytes.c_str()) < 1000;
        if (!good) {
            ++spoilt;
            continue;
        }
        ++whole[bytes];
        disordered = disordered || atoi(bytes.c_str()) < highest;
        highest = std::max(highest, atoi(bytes.c_str()));
    }
    CHECK(disordered);
    // A digit spoilt into another digit looks whole here; such are few.
    CHECK(spoilt <= out.spoilt);
    CHECK(spoilt >= out.spoilt * 9 / 10);
    // The way back has no fault, and each comes from the address at which the other is reached.
    CHECK(a.got.size() == 1000);
    CHECK(links.sum(1, 0).lost == 0);
    CHECK(a.sources == std::set<std::string>{relay.addressFor(0, 1)});
    CHECK(b.sources == std::set<std::string>{relay.addressFor(1, 0)});
    a.say(relay.addressFor(0, 0), "to nobody");
    runFor(loop, 0.1);
    CHECK(relay.unknown() == 1);
}

TEST_CASE("the relay's streams: carried both ways, held while stalled, half closed, reset, never up while cut") {
    Loop loop;
    Ear a(loop), b(loop);
    LinkFault stall = fault(What::stall, 1, 1), half = fault(What::halfClose, 3, 1), reset = fault(What::reset, 5, 1),
              cut = fault(What::cut, 7, 1);
    for (LinkFault* f : {&stall, &half, &reset, &cut}) f->from = {0}, f->to = {1};
    Links links({stall, half, reset, cut}, 2, 1);
    Relay relay(loop, links, {a.stream.address, b.stream.address});
    std::vector<int> taken;
    loop.watch(b.stream.fd, EPOLLIN, [&](uint32_t) {
        for (int fd; (fd = acceptOne(b.stream.fd)) >= 0;) taken.push_back(fd);
    });
    loop.zeroNow();
    relay.begin();
    for (double at : {1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0}) loop.at(s(at), [&] { relay.faultsChanged(); });
    auto until = [&](double at) { runFor(loop, at - (loop.now() - Instant()).inSeconds()); };
    auto reads = [&](int fd) -> std::string {
        char part[4096];
        ssize_t n = recv(fd, part, sizeof part, MSG_DONTWAIT);
        return n > 0 ? std::string(part, static_cast<size_t>(n)) : n == 0 ? "end" : errno == EAGAIN ? "nothing" : "broken";
    };
    auto write = [](int fd, const std::string& bytes) { send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL); };
    int asker = connectTo(relay.addressFor(0, 1));
    write(asker, "one");
    until(0.3);
    write(asker, "one");
    until(0.5);
    REQUIRE(taken.size() == 1);
    CHECK(reads(taken[0]).starts_with("one"));
    write(taken[0], "two");
    until(0.7);
    CHECK(reads(asker) == "two");
    until(1.2);
    write(asker, "held");
    write(taken[0], "back");
    until(1.8);
    CHECK(reads(taken[0]) == "nothing");
    CHECK(reads(asker) == "back");  // the other direction goes on
    until(2.4);
    CHECK(reads(taken[0]) == "held");
    until(3.2);
    write(asker, "last");
    until(3.6);
    CHECK(reads(taken[0]) == "last");
    CHECK(reads(taken[0]) == "end");
    write(taken[0], "still");
    until(3.9);
    CHECK(reads(asker) == "still");
    until(5.3);
    CHECK(reads(asker) == "broken");
    ::close(asker);
    until(7.3);
    int late = connectTo(relay.addressFor(0, 1));
    until(7.5);
    write(late, "never");
    until(7.9);
    CHECK(taken.size() == 1);
    CHECK(links.sum(0, 1).streamsCut == 1);
    ::close(late);
    for (int fd : taken) ::close(fd);
}

TEST_CASE("the loop: a stop before the run ends it at once, and the next run goes on") {
    Loop loop;
    bool waited = false;
    loop.stop();
    loop.at(loop.now() + Span::millis(200), [&] { waited = true, loop.stop(); });
    loop.run();
    CHECK_FALSE(waited);
    loop.at(loop.now() + Span::millis(400), [&] { loop.stop(); });
    loop.run();
    CHECK(waited);
}
