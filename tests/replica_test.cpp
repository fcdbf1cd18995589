// A standby beside the program itself: the primary lost with its disk, left behind alive, cut off.
#include <sstream>

#include "src/program/store_tool.hpp"
#include "src/replica/lineage.hpp"
#include "src/replica/standby.hpp"
#include "src/replica/stream.hpp"
#include "tests/helpers.hpp"

using namespace petrelpond;
using namespace petrelpond::replica;

namespace {

// `petrelpond standby` as a process of its own.
struct Other {
    std::string address = freeAddress(), folder;
    pid_t pid = 0;
    Other() {
        char made[] = "/tmp/petrelpond-standby-XXXXXX";
        folder = mkdtemp(made);
        start();
    }
    void start(const char* least = "0") {
        pid = fork();
        if (pid > 0) return;
        std::freopen((folder + ".log").c_str(), "a", stderr);
        execl(PETRELPOND_PROGRAM, PETRELPOND_PROGRAM, "standby", address.c_str(), folder.c_str(), "--least-epoch", least,
              nullptr);
        _exit(127);
    }
    int end(int signal) {
        if (signal > 0) ::kill(pid, signal);
        int status = 0;
        waitpid(std::exchange(pid, 0), &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    ~Other() {
        if (pid > 0) end(SIGKILL);
        std::filesystem::remove_all(folder);
        std::filesystem::remove(folder + ".log");
    }
};
struct Variable {
    const char* name;
    Variable(const char* n, const std::string& value) : name(n) { setenv(n, value.c_str(), 1); }
    ~Variable() { unsetenv(name); }
};
int promote(const std::string& at) {
    std::ostringstream out, err;
    return storeTool({"promote", at}, out, err);
}

}  // namespace

TEST_CASE("lineage: an epoch is followed until a later one, and none after a promotion") {
    Lineage l(3, 0, false);
    CHECK_FALSE(l.follows(2));
    CHECK(l.follows(3));
    CHECK_FALSE(l.promote());  // it never held everything
    l.becameWhole();
    CHECK(l.follows(5));
    CHECK_FALSE(l.follows(4));
    CHECK(l.promote() == 6u);
    CHECK(l.promote() == 6u);  // asked twice
    CHECK_FALSE(l.follows(6));
    CHECK_FALSE(l.follows(9));
    CHECK_FALSE(Lineage(1, 4, true).follows(3));
}

TEST_CASE("frames come in any parts, and odd bytes end them") {
    std::vector<Frame> sent = {{Frame::What::hello, 4, ~0ull, ""},
                               {Frame::What::record, 7, 0, std::string("a\0b", 3)},
                               {Frame::What::ack, 9, 1, ""}};
    std::string bytes;
    for (const Frame& f : sent) bytes += encode(f);
    for (size_t part = 1; part < 40; ++part) {
        Frames frames;
        size_t got = 0;
        for (size_t at = 0; at < bytes.size(); at += part) {
            frames.add(std::string_view(bytes).substr(at, part));
            while (auto f = frames.next()) {
                REQUIRE(got < sent.size());
                CHECK((f->what == sent[got].what && f->number == sent[got].number));
                CHECK((f->second == sent[got].second && f->payload == sent[got].payload));
                ++got;
            }
        }
        CHECK((got == sent.size() && !frames.odd()));
    }
    std::mt19937 chance(3);
    for (int i = 0; i < 3000; ++i) {
        std::string spoilt = bytes;
        spoilt[chance() % spoilt.size()] ^= static_cast<char>(1 + chance() % 255);
        Frames frames;
        frames.add(spoilt);
        size_t got = 0;
        while (frames.next()) ++got;
        CHECK(got < sent.size());  // the spoilt one, and what is behind it, never comes through
    }
}

TEST_CASE("a primary lost with its folder: all that was acknowledged reaches its end through the standby") {
    Other other;
    Platform platform;
    std::atomic<bool> answering = false;
    Peer endpoint([&](const std::string&) { return answering ? ok() : std::string("silence"); });
    std::optional<Variable> replica;
    replica.emplace("PETRELPOND_REPLICA", other.address);
    Program program(platform.peer.address, member("e", endpoint.address, 7) + "," + noneAt(9));
    REQUIRE(program.up);
    REQUIRE(eventually([&] { return program.hand("held0", "order", 9) == 202; }));
    REQUIRE(program.hand("status-out", "status") == 202);
    REQUIRE(program.hand("order-out", "order") == 202);
    for (int i = 1; i < 20; ++i) REQUIRE(program.hand("held" + std::to_string(i), "order", 9) == 202);
    REQUIRE(eventually([&] { return endpoint.count("POST /events") == 2; }));
    CHECK(program.stop(SIGKILL) == -SIGKILL);
    std::filesystem::remove_all(program.state());
    CHECK(promote(other.address) == 0);
    CHECK(other.end(0) == 0);
    std::filesystem::copy(other.folder, program.state(), std::filesystem::copy_options::recursive);
    replica.reset();
    answering = true;
    program.start();
    REQUIRE(program.up);
    CHECK(program.counter("textsResumed") == 22);
    platform.change(member("f", endpoint.address, 9));
    CHECK(eventually([&] { return program.counter("delivered") == 21; }, 8000));
    CHECK(eventually([&] { return platform.peer.count("\"order-out\",\"result\":\"dead\"") == 1; }));
    CHECK(endpoint.count("Request-Id: order-out") == 1);  // it may have run
    for (int i = 0; i < 20; ++i) CHECK(endpoint.count("Request-Id: held" + std::to_string(i) + "\r\n") == 1);
}

TEST_CASE("a primary that was left behind, alive, can't submit, nor take on, nor answer") {
    Other other;
    Platform platform;
    Peer endpoint([](const std::string&) { return ok(); });
    Variable replica("PETRELPOND_REPLICA", other.address);
    Program program(platform.peer.address, member("e", endpoint.address, 7) + "," + noneAt(9));
    REQUIRE(program.up);
    REQUIRE(eventually([&] { return program.hand("held", "order", 9) == 202; }));
    program.tell(SIGSTOP);
    CHECK(promote(other.address) == 0);
    CHECK(other.end(0) == 0);
    program.tell(SIGCONT);
    platform.change(member("f", endpoint.address, 9));
    // The next standby of the new line, at the same address.
    std::filesystem::remove_all(other.folder);
    std::filesystem::create_directory(other.folder);
    other.start("2");
    REQUIRE(eventually([&] { return program.log().find("another is primary") != std::string::npos; }, 8000));
    CHECK(program.hand("more") == 503);
    pause(300);
    CHECK(endpoint.count("POST /events") == 0);
    CHECK(platform.peer.count("/v2/finals") == 0);
    CHECK(program.runs());
}

TEST_CASE("without its standby a primary refuses at once; when it is back what was held goes on") {
    Other other;
    Platform platform;
    Peer endpoint([](const std::string&) { return ok(); });
    Variable replica("PETRELPOND_REPLICA", other.address);
    Program program(platform.peer.address, member("e", endpoint.address, 7) + "," + noneAt(9));
    REQUIRE(eventually([&] { return program.hand("first", "status") == 202; }));
    REQUIRE(program.hand("held", "status", 9) == 202);
    CHECK(eventually([&] { return program.counter("delivered") == 1; }));
    CHECK(other.end(SIGKILL) == -SIGKILL);
    REQUIRE(eventually([&] { return program.hand("refused") == 503; }));
    platform.change(member("f", endpoint.address, 9));
    pause(300);
    CHECK(endpoint.count("Request-Id: held") == 0);  // its start was not kept by anybody else
    other.start();
    CHECK(eventually([&] { return program.counter("delivered") == 2; }, 8000));
    CHECK(eventually([&] { return program.hand("again") == 202; }));
    // A standby whose process is gone is promoted where its folder lies; a sender does not start on it before.
    CHECK(other.end(SIGKILL) == -SIGKILL);
    CHECK(program.stop(SIGKILL) == -SIGKILL);
    std::filesystem::remove_all(program.state());
    std::filesystem::copy(other.folder, program.state(), std::filesystem::copy_options::recursive);
    unsetenv("PETRELPOND_REPLICA");
    program.start();
    CHECK_FALSE(program.up);
    CHECK(program.log().find("promote it first") != std::string::npos);
    program.stop(SIGKILL);
    CHECK(promote(program.state()) == 0);
    program.start();
    CHECK(program.up);
}

TEST_CASE("a standby that never held everything is not promoted") {
    Other other;
    REQUIRE(eventually([&] { return promote(other.address) == 3; }));
    CHECK(promote(other.address + "1") != 0);
    CHECK(other.end(SIGTERM) == 0);
    CHECK(promote(other.folder) == 3);
}
