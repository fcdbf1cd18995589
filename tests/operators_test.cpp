// The operators' calls: what they mean, how they are kept, and the second address over sockets.
#include "tests/helpers.hpp"

#include "src/operators/ledger.hpp"

using namespace petrelpond;
using namespace petrelpond::operators;

namespace {

struct Folder {
    std::string path;
    Folder() {
        char name[] = "/tmp/petrelpond-ops-XXXXXX";
        path = mkdtemp(name);
    }
    ~Folder() { std::filesystem::remove_all(path); }
};

Call read(const std::string& line) {
    Call call;
    std::string problem;
    REQUIRE(readCall(line, call, problem));
    return call;
}

}  // namespace

TEST_CASE("operators: a line is a call or one clear reason why not") {
    CHECK(read("status").verb == Call::Verb::status);
    CHECK(read("  maint-on\te-7 \r").endpoint == "e-7");
    CHECK(read("active").verb == Call::Verb::active);
    Call call;
    for (std::string bad : {"", "   ", "maint-on", "maint-on a b", "status now", "STATUS", "maint-onx y", "st\x01tus"}) {
        std::string problem;
        CHECK_FALSE(readCall(bad, call, problem));
        CHECK(!problem.empty());
        CHECK(lineOf(false, problem).find('\n') == lineOf(false, problem).size() - 1);
    }
    std::string problem;
    CHECK_FALSE(readCall("maint-on " + std::string(kMostLine, 'x'), call, problem));
    std::mt19937 chance(5);
    for (int i = 0; i < 20000; ++i) {
        std::string line(chance() % 600, ' ');
        for (char& c : line) c = static_cast<char>(chance());
        readCall(line, call, problem);
        CHECK(problem.find('\n') == std::string::npos);
    }
}

// A plain model beside it: the last call on an endpoint holds, however often it came.
TEST_CASE("operators: out twice is out, one call back undoes both, unknown ids change nothing") {
    std::mt19937 chance(3);
    Orders orders;
    std::map<std::string, bool> model;
    bool drained = false;
    const std::string ids[] = {"a", "b", "c", "unknown"};
    for (int i = 0; i < 5000; ++i) {
        Call call{static_cast<Call::Verb>(chance() % 5), ids[chance() % 4]};
        bool known = call.endpoint != "unknown";
        bool serves = chance() % 2 == 0;
        Answer answer = answerTo(call, orders, {serves, serves ? "" : "not up", known});
        bool names = call.verb == Call::Verb::outOn || call.verb == Call::Verb::outOff;
        bool yes = call.verb == Call::Verb::status ? serves : !names || known;
        CHECK(answer.yes == yes);
        if (call.verb == Call::Verb::standby) drained = true;
        if (call.verb == Call::Verb::active) drained = false;
        if (yes && names) model[call.endpoint] = call.verb == Call::Verb::outOn;
        if (answer.change) {
            CHECK_FALSE(*answer.change == orders);
            orders = *answer.change;
        }
        CHECK(orders.drained == drained);
        for (auto& [id, out] : model) CHECK((orders.out.count(id) > 0) == out);
        CHECK(readOrders(written(orders)) == orders);
    }
    // One that is out and no longer listed is still known.
    CHECK(answerTo(read("maint-off b"), {{"b"}, false}, {true, "", false}).yes);
}

TEST_CASE("operators: what is kept comes back; a spoilt byte is seen, never half believed") {
    Orders orders{{"e1", "e2"}, true};
    std::string bytes = written(orders);
    for (size_t i = 0; i < bytes.size(); ++i) {
        std::string spoilt = bytes;
        spoilt[i] = static_cast<char>(spoilt[i] ^ 1);
        CHECK_FALSE(readOrders(spoilt));
        CHECK_FALSE(readOrders(bytes.substr(0, i)));
    }
    Folder folder;
    std::string damaged;
    auto add = [](const char* id) {
        return [id](const Orders& now) { return answerTo(read(std::string("maint-on ") + id), now, {true, "", true}); };
    };
    {
        Ledger one(folder.path, damaged), other(folder.path, damaged);
        CHECK(one.act(add("e1")).yes);
        CHECK(other.act(add("e2")).yes);  // to what stands there, not to what it read at its start
        CHECK(one.look());
        CHECK(one.orders().out == std::set<std::string>{"e1", "e2"});
        CHECK_FALSE(one.look());
    }
    {
        Ledger again(folder.path, damaged);
        CHECK(again.orders().out.size() == 2);
        CHECK(damaged.empty());
        // No way to write: the answer says so and nothing has changed.
        std::filesystem::create_directory(folder.path + "/.orders.new");
        Answer no = again.act(add("e3"));
        CHECK_FALSE(no.yes);
        CHECK(again.orders().out.count("e3") == 0);
        std::filesystem::remove(folder.path + "/.orders.new");
    }
    std::ofstream(folder.path + "/.orders") << "petrelpond orders 1\nout e1\n";
    Ledger spoilt(folder.path, damaged);
    CHECK(!damaged.empty());
    CHECK(spoilt.orders().out.empty());
    CHECK(spoilt.act(add("e4")).yes);
}

TEST_CASE("module: nothing new goes to an endpoint that is out, whatever lists say, until it is given back") {
    Rig rig;
    rig.endpoints(0, 0, 2);
    rig.endpoints(1, 2, 1);
    rig.pull();
    rig.sender->setEndpointDisabled(rig.now, EndpointIndex(0u), true);
    rig.sender->setEndpointDisabled(rig.now, EndpointIndex(2u), true);
    rig.endpoints(0, 0, 2);  // the list names both as active once more
    rig.endpoints(1, 2, 1);
    std::vector<TextIndex> held;
    for (int i = 0; i < 40; ++i) {
        rig.text(0, 0);
        if (i < 5) held.push_back(rig.text(1, 0));
        for (const Submit& s : rig.run(Span::millis(100))) {
            CHECK(s.endpoint == EndpointIndex(1u));
            rig.end(s, SubmitStatus::delivered);
        }
    }
    for (TextIndex t : held) CHECK(rig.rules.rows.at(t).answers == 0);  // they wait for their time
    // Given back: the fellow's return is a trickle, the only one comes back by one trial, then by its budget.
    rig.sender->setEndpointDisabled(rig.now, EndpointIndex(2u), false);
    size_t first = 0;
    for (const Submit& s : rig.run(Span::millis(200))) first += s.endpoint == EndpointIndex(2u);
    CHECK(first == 1);
    rig.sender->setEndpointDisabled(rig.now, EndpointIndex(0u), false);
    int back = 0, all = 0;
    for (int i = 0; i < 20; ++i) {
        rig.text(0, 0);
        for (const Submit& s : rig.run(Span::millis(20))) {
            if (s.endpoint == EndpointIndex(2u)) continue;
            ++all, back += s.endpoint == EndpointIndex(0u);
            rig.end(s, SubmitStatus::delivered);
        }
    }
    CHECK(all >= 20);
    CHECK(back <= 2);
}

TEST_CASE("module: an index that becomes another's leaves its ban behind") {
    Rig rig;
    rig.endpoints(0, 0, 1);
    rig.sender->setEndpointDisabled(rig.now, EndpointIndex(0u), true);
    rig.list({{EndpointIndex(0u), DestinationIndex(0u), ZoneIndex(0u), KindIndex(0u), ListState::removed, 0}});
    rig.endpoints(0, 0, 1);
    rig.text(0, 0);
    CHECK(rig.run(Span::millis(100)).size() == 1);
}

TEST_CASE("operators: the second address answers, bounded callers and odd bytes notwithstanding") {
    Platform platform;
    Peer partner([](const std::string&) { return ok(); });
    Program sender(platform.peer.address, member("e1", partner.address, 7), 3, 1024, freeAddress());
    REQUIRE(sender.up);
    CHECK(sender.order("status\n").rfind("SUCCESS", 0) == 0);
    for (std::string bad : {"nonsense\n", "maint-on\n", "maint-on no-such\n", "\n", "status\nstatus\n", "st\xfftus\n"}) {
        std::string answer = sender.order(bad);
        CHECK(answer.rfind("FAILURE ", 0) == 0);
        CHECK(answer.find('\n') == answer.size() - 1);
    }
    CHECK(sender.order("maint-on " + std::string(100000, 'x')).rfind("FAILURE", 0) == 0);
    // More silent callers than there is room for, and some with half a call.
    std::vector<Socket> silent(60);
    for (size_t i = 0; i < silent.size(); ++i) {
        makeSocket(silent[i]);
        connectSocket(*Address::parse(sender.ops), Span::seconds(1), silent[i]);
        if (i % 2 == 0) silent[i].sendAll("maint-");
    }
    int took = 0;
    CHECK(sender.order("status\n", &took).rfind("SUCCESS", 0) == 0);
    CHECK(took < 1000);
    CHECK(sender.held("fd") < 100);
    CHECK(sender.hand("a1") == 202);
    CHECK(eventually([&] { return partner.count("a1") == 1; }));
}

TEST_CASE("operators: an endpoint out gets nothing new, over a kill, and its texts go when it is back") {
    Platform platform;
    Peer partner([](const std::string&) { return ok(); });
    Program sender(platform.peer.address, member("e1", partner.address, 7), 3, 1024, freeAddress());
    REQUIRE(sender.up);
    CHECK(sender.order("maint-on e1\n").rfind("SUCCESS", 0) == 0);
    CHECK(sender.order("maint-on e1\n").rfind("SUCCESS", 0) == 0);
    CHECK(sender.hand("b1") == 202);
    platform.change(member("e1", partner.address, 7));  // which says once more that it is active
    pause(400);
    sender.stop(SIGKILL);
    sender.start();
    REQUIRE(sender.up);
    CHECK(sender.hand("b2") == 202);
    pause(400);
    CHECK(partner.requests().empty());
    CHECK(sender.order("maint-off e1\n").rfind("SUCCESS", 0) == 0);
    CHECK(eventually([&] { return partner.count("b1") == 1 && partner.count("b2") == 1; }));
}

TEST_CASE("operators: drained, a sender says no and lets its clients go; called back, it serves on") {
    Platform platform;
    Peer partner([](const std::string&) { return ok(); });
    Program sender(platform.peer.address, member("e1", partner.address, 7), 3, 1024, freeAddress());
    REQUIRE(sender.up);
    Socket kept = sender.connect(), ahead = sender.connect();
    std::string rest;
    kept.sendAll(Program::request("c1", "status", 7, 8000, "x"));
    CHECK(readMessage(kept, rest).find(" 202 ") != std::string::npos);
    CHECK(sender.order("standby\n").rfind("SUCCESS", 0) == 0);
    CHECK(sender.get("/up").find(" 200 ") == std::string::npos);
    kept.waitAtMost(Span::seconds(1));
    char byte;
    CHECK(kept.receive(&byte, 1) == 0);  // idle after a request: closed
    // Who connected ahead of a first request is waited for, and told that it is the last.
    ahead.sendAll(Program::request("c2", "status", 7, 8000, "x"));
    std::string answer = readMessage(ahead, rest);
    CHECK(answer.find(" 202 ") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(sender.hand("c3") == 202);
    CHECK(eventually([&] { return partner.requests().size() == 3; }));
    CHECK(sender.order("active\n").rfind("SUCCESS", 0) == 0);
    CHECK(sender.get("/up").find(" 200 ") != std::string::npos);
    Socket again = sender.connect();
    again.sendAll(Program::request("c4", "status", 7, 8000, "x"));
    CHECK(readMessage(again, rest).find("Connection: close") == std::string::npos);
}
