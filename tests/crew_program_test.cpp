// Links between senders as the program has them: off unless told, one member over a replacement, what it keeps, what
// `petrelpond members` shows.
#include <signal.h>
#include <sys/wait.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "src/crewroom/room.hpp"
#include "src/program/members_tool.hpp"
#include "tests/helpers.hpp"

using namespace petrelpond;

namespace {

// The crew's part of a sender's configuration.
std::string crewAt(const std::string& listen, const std::string& seed, const std::string& more = "") {
    return "{\"name\":\"test\",\"listen\":\"" + listen + "\",\"seeds\":[\"" + seed + "\"],\"round_ms\":200,\"ack_ms\":80," +
           "\"seek_ms\":400" + more + "}";
}

// A second sender in its own folder, with another name.
struct Other : Program {
    Other(const std::string& platform, const std::string& crewOf) : Program(platform, member("e1", freeAddress(), 7), 3, 1024, freeAddress()) {
        stop(SIGKILL);
        name = "u", crew = crewOf;
        configure(platform);
        start();
    }
};

std::string states(const Program& of) {
    std::string line = of.order("members\n"), out;
    for (size_t at = 0; (at = line.find("\"name\":\"", at)) != std::string::npos;) {
        at += 8;
        std::string who = line.substr(at, line.find('"', at) - at);
        size_t state = line.find("\"state\":\"", at), next = line.find('}', at);
        if (state == std::string::npos || state > next) continue;
        out += who + " " + line.substr(state + 9, line.find('"', state + 9) - state - 9) + ";";
    }
    return out;
}

int tool(const std::vector<std::string>& words, std::string& out, std::string& err) {
    std::ostringstream o, e;
    int code = membersTool(words, o, e);
    out = o.str(), err = e.str();
    return code;
}

}  // namespace

TEST_CASE("crew: without peers in the configuration there is no thread, descriptor or counter of it") {
    Platform platform;
    std::string at = freeAddress();
    Program without(platform.peer.address, member("e1", freeAddress(), 7), 3, 1024, freeAddress());
    Program with(platform.peer.address, member("e1", freeAddress(), 7), 3, 1024, freeAddress(), crewAt(at, freeAddress()));
    REQUIRE(without.up);
    REQUIRE(with.up);
    CHECK(eventually([&] { return with.counter("crew.alive") == 1; }));
    CHECK(without.get("/counters").find("crew.") == std::string::npos);
    CHECK(without.order("status\n") == "SUCCESS serving\n");
    CHECK(with.order("status\n") == "SUCCESS serving, of the crew 1 there, in\n");
    CHECK(without.order("members\n") == "FAILURE this sender is told of no crew\n");
    // A thread; a socket for datagrams, one for streams, and what wakes them. What is under way for others comes and
    // goes beside it.
    CHECK(eventually([&] { return with.held("task") == without.held("task") + 1; }));
    CHECK(eventually([&] { return with.held("fd") == without.held("fd") + 3; }));
}

TEST_CASE("crew: a sender that is replaced is one member, and its count grows; one that ends has left") {
    Platform platform;
    std::string first = freeAddress(), second = freeAddress();
    Program one(platform.peer.address, member("e1", freeAddress(), 7), 3, 1024, freeAddress(), crewAt(first, second));
    Other two(platform.peer.address, crewAt(second, first));
    REQUIRE(eventually([&] { return states(two) == "t alive;u alive;"; }));
    std::string problem;
    uint64_t before = keptIncarnation(one.state(), problem);
    CHECK(before > 0);
    // With the platform's listener, so that one process takes over from the other.
    one.stop(SIGTERM);
    CHECK(eventually([&] { return states(two) == "t left;u alive;"; }));
    std::string why;
    Socket held = listenAt(*Address::parse(one.address), why);
    one.inherits = held.descriptor();
    one.start();
    REQUIRE(one.up);
    REQUIRE(eventually([&] { return states(two) == "t alive;u alive;"; }));
    uint64_t held1 = keptIncarnation(one.state(), problem);
    CHECK(held1 > before);
    pid_t old = one.beside(freeAddress());
    CHECK(eventually([&] { return one.order("status\n").rfind("SUCCESS", 0) == 0; }));
    ::kill(old, SIGTERM);
    bool gone = false;
    for (int i = 0; i < 40; ++i) gone = gone || states(two).find("t dead") != std::string::npos || states(two).find("t left") != std::string::npos, pause(25);
    waitpid(old, nullptr, 0);
    CHECK(!gone);
    CHECK(eventually([&] { return states(one) == "t alive;u alive;"; }));
    CHECK(eventually([&] { return keptIncarnation(one.state(), problem) > held1; }));
    CHECK(states(two) == "t alive;u alive;");
}

TEST_CASE("crew: a kept count that is spoilt or can't be written is said, and the sender takes part") {
    Platform platform;
    std::string first = freeAddress(), second = freeAddress();
    Program one(platform.peer.address, member("e1", freeAddress(), 7), 3, 1024, freeAddress(), crewAt(first, second));
    Other two(platform.peer.address, crewAt(second, first));
    REQUIRE(eventually([&] { return states(two) == "t alive;u alive;"; }));
    one.stop(SIGKILL);
    std::ofstream(one.state() + "/.crew") << "petrelpond crew 1 7 8\n";
    std::filesystem::create_directory(one.state() + "/.crew.new");  // where the next count would be written
    one.start();
    REQUIRE(eventually([&] { return states(one) == "t alive;u alive;"; }));
    CHECK(one.log().find("crew: " + one.state() + "/.crew can't be read") != std::string::npos);
    CHECK(one.log().find("crew: the incarnation can't be kept") != std::string::npos);
    CHECK(one.counter("crew.notKept") > 0);
    CHECK(eventually([&] { return states(two) == "t alive;u alive;"; }));
}

TEST_CASE("crew: what comes and can't be read is counted by its reason and not logged; streams that are held end") {
    Platform platform;
    std::string at = freeAddress();
    Program one(platform.peer.address, member("e1", freeAddress(), 7), 3, 1024, freeAddress(), crewAt(at, freeAddress()));
    REQUIRE(eventually([&] { return one.counter("crew.alive") == 1; }));
    size_t logged = one.log().size();
    std::string why;
    Socket from = datagramsAt(Address{"127.0.0.1", 0}, why);
    crew::Message m;
    m.crew = "other", m.from = "x";
    // A few at a time, each lot read before the next: a socket's room is bounded, and what overflows it is lost.
    for (int i = 1; i <= 20; ++i) {
        sendDatagram(from, *Address::parse(at), "noise");
        sendDatagram(from, *Address::parse(at), crew::encode(m));
        sendDatagram(from, *Address::parse(at), std::string(5000, 'x'));
        sendDatagram(from, *Address::parse(at), crew::sealed(std::string(1000, '\x81')));
        CHECK(eventually([&] { return one.counter("crew.unreadable.header") == 2 * i && one.counter("crew.unreadable.form") == i; }));
    }
    CHECK(one.counter("crew.unreadable.crew") == 20);
    // More streams than it has room for, silent ones, half a frame, a frame that is too long.
    std::vector<Socket> streams(40);
    for (size_t i = 0; i < streams.size(); ++i) {
        makeSocket(streams[i]);
        connectSocket(*Address::parse(at), Span::seconds(1), streams[i]);
        if (i % 3 == 1) streams[i].sendAll(std::string("\0\0\1", 3));
        if (i % 3 == 2) streams[i].sendAll("\xff\xff\xff\xff");
    }
    CHECK(one.held("fd") < 60);
    pause(2500);
    CHECK(one.order("status\n").rfind("SUCCESS", 0) == 0);
    CHECK(one.log().size() == logged);
    CHECK(one.held("task") < 20);
}

TEST_CASE("crew: a configuration that can't be is one clear line, and the process ends with 2") {
    Platform platform;
    auto said = [&](const std::string& crewOf) {
        Program one(platform.peer.address, member("e1", freeAddress(), 7), 3, 1024, "", "");
        one.stop(SIGKILL);
        one.crew = crewOf;
        one.configure(platform.peer.address);
        std::string folder = one.state().substr(0, one.state().rfind('/'));
        std::string command = "LB_CONFIG=" + folder + "/config.json LB_STATE=" + one.state() + " " PETRELPOND_PROGRAM " 2>" + folder + "/log2";
        int status = std::system(command.c_str());
        CHECK(WEXITSTATUS(status) == 2);
        std::ostringstream out;
        out << std::ifstream(folder + "/log2").rdbuf();
        std::string line = out.str();
        CHECK(std::count(line.begin(), line.end(), '\n') == 1);
        return line;
    };
    CHECK(said("7").find("crew must be an object") != std::string::npos);
    CHECK(said("{}").find("crew.name is missing") != std::string::npos);
    CHECK(said("{\"name\":\"a b\",\"listen\":\"127.0.0.1:9\"}").find("crew.name must be 1 to 64 letters") != std::string::npos);
    CHECK(said("{\"name\":\"a\",\"listen\":\"here\"}").find("crew.listen is no address") != std::string::npos);
    CHECK(said("{\"name\":\"a\",\"listen\":\"127.0.0.1:9\",\"seeds\":[\"x\"]}").find("crew.seeds[0] is no address") != std::string::npos);
    CHECK(said("{\"name\":\"a\",\"listen\":\"127.0.0.1:9\",\"routes\":{\"b\":\"\"}}").find("crew.routes.b is no address") != std::string::npos);
    CHECK(said("{\"name\":\"a\",\"listen\":\"127.0.0.1:9\",\"round_ms\":3}").find("crew.round_ms must be a number from 50") != std::string::npos);
    CHECK(said("{\"name\":\"a\",\"listen\":\"127.0.0.1:9\",\"ack_ms\":900}").find("crew.ack_ms must be below crew.round_ms, 500") != std::string::npos);
    CHECK(said("{\"name\":\"a\",\"listen\":\"127.0.0.1:9\",\"sedes\":[]}").find("crew.sedes is not known") != std::string::npos);
}

TEST_CASE("petrelpond members: the table of one sender, where the views of several differ, and clear words for the rest") {
    Platform platform;
    std::string first = freeAddress(), second = freeAddress(), out, err;
    Program one(platform.peer.address, member("e1", freeAddress(), 7), 3, 1024, freeAddress(), crewAt(first, second));
    Other two(platform.peer.address, crewAt(second, first));
    REQUIRE(eventually([&] { return states(one) == "t alive;u alive;" && states(two) == "t alive;u alive;"; }));
    CHECK(eventually([&] { return tool({one.ops}, out, err) == 0 && out.find("alive") != std::string::npos && out.find("serving") != std::string::npos; }));
    CHECK(out.find("crew test as t sees it (in") == 0);
    CHECK(out.find(second) != std::string::npos);
    CHECK(tool({one.ops, two.ops, "--compare"}, out, err) == 0);
    CHECK(out == "2 views of 2 members are alike\n");
    CHECK(two.order("standby\n").rfind("SUCCESS", 0) == 0);
    CHECK(eventually([&] { return tool({one.ops}, out, err) == 0 && out.find("drained") != std::string::npos; }));
    // One stopped: the other finds it dead, and its own view is not to be had.
    two.tell(SIGSTOP);
    REQUIRE(eventually([&] { return states(one) == "t alive;u dead;"; }, 15000));
    CHECK(tool({one.ops, two.ops, "--compare"}, out, err) == 1);
    CHECK(err.find(two.ops + ": no whole answer within 2 s") != std::string::npos);
    two.tell(SIGCONT);
    // Until it is back, the views differ.
    CHECK(eventually([&] { return tool({one.ops, two.ops, "--compare"}, out, err) == 0; }, 15000));
    CHECK(tool({"nowhere"}, out, err) == 1);
    CHECK(err == "petrelpond members: nowhere: no address of four numbers and a port\n");
    CHECK(tool({freeAddress()}, out, err) == 1);
    CHECK(err.find("can't be reached") != std::string::npos);
    CHECK(tool({}, out, err) == 2);
    CHECK(tool({"--nonsense", one.ops}, out, err) == 2);
    CHECK(tool({"--help"}, out, err) == 0);
    Program alone(platform.peer.address, member("e1", freeAddress(), 7), 3, 1024, freeAddress());
    CHECK(tool({alone.ops}, out, err) == 1);
    CHECK(err.find("says: this sender is told of no crew") != std::string::npos);
    Peer odd([](const std::string&) { return "SUCCESS {\"members\":[7]}\n"; });
    CHECK(tool({odd.address}, out, err) == 1);
}
