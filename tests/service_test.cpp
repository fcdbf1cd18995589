// The program itself over sockets, among scripted peers.
#include "src/store/store.hpp"
#include "tests/helpers.hpp"

using namespace petrelpond;

namespace {

std::string answer200(const std::string&) { return ok(); }
size_t calls(Peer& endpoint) { return endpoint.count("POST /events"); }
bool healthy(Program& program) {
    return program.log().find("Sanitizer") == std::string::npos && program.runs();
}

}  // namespace

TEST_CASE("a text is taken on, passed on unchanged and counted") {
    Platform platform;
    Peer endpoint(answer200);
    Program program(platform.peer.address, member("e", endpoint.address, 7));
    REQUIRE(program.up);
    std::string body("a\0b\r\n\r\n\xff{}", 11);
    CHECK(program.hand("00aa", "status", 7, 8000, body) == 202);
    REQUIRE(eventually([&] { return calls(endpoint) == 1; }));
    std::string call = endpoint.requests()[0];
    CHECK(call.find("Request-Id: 00aa\r\n") != std::string::npos);
    CHECK(call.substr(call.size() - body.size()) == body);
    CHECK(eventually([&] { return program.counter("delivered") == 1; }));
    CHECK(program.counter("textsTaken") == 1);
    CHECK(platform.peer.count("/v2/finals") == 0);
    CHECK(program.hand("00ab", "nonsense") == 400);
    program.tell(SIGUSR1);
    CHECK(eventually([&] { return program.log().find("delivered 1") != std::string::npos; }));
    CHECK(healthy(program));
}

TEST_CASE("a connection is used again, and one that the endpoint closed meanwhile is not") {
    Platform platform;
    std::atomic<bool> closing = false;
    Peer endpoint([&](const std::string& call) {
        // Without a length the answer ends with the connection, and its first line says enough.
        if (call.find("Request-Id: c3") != std::string::npos) return std::string("HTTP/1.1 200 OK\r\n\r\n");
        return ok("", closing ? "Connection: close\r\n" : "");
    });
    Program program(platform.peer.address, member("e", endpoint.address, 7));
    for (int i = 0; i < 4; ++i) {
        closing = i >= 2;
        CHECK(program.hand("c" + std::to_string(i), "order") == 202);
        bool delivered = eventually([&] { return program.counter("delivered") == i + 1; });
        INFO(program.get("/counters"));
        REQUIRE(delivered);
    }
    INFO(program.get("/counters"));
    CHECK(program.counter("connectionsOpened") == 2);
}

TEST_CASE("a told wait holds the destination, and the text goes after it") {
    Platform platform;
    std::atomic<int> n = 0;
    Peer endpoint(
        [&](const std::string&) { return n++ == 0 ? ok("", "Wait-Ms: 700\r\n", "429 Full") : ok(); });
    Program program(platform.peer.address, member("e", endpoint.address, 7));
    CHECK(program.hand("w1") == 202);
    REQUIRE(eventually([&] { return n == 1; }));
    CHECK(program.hand("w2") == 202);
    pause(600);
    CHECK(n == 1);
    CHECK(eventually([&] { return program.counter("delivered") == 2; }));
}

TEST_CASE("once-only: sent again where it never ran, given up at once where it may have run") {
    Platform platform;
    platform.refusals = 2;  // of its notice, which is told again
    std::atomic<int> n = 0;
    std::string bad = GENERATE("", "HTTP/9 what\r\n\r\n", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    Peer endpoint([&](const std::string&) { return n++ == 0 ? ok("", "", "503 Full") : bad; });
    Program program(platform.peer.address, member("e", endpoint.address, 7));
    CHECK(program.hand("0nce", "order") == 202);
    REQUIRE(eventually([&] { return program.counter("noticesTold") == 1; }, 8000));
    CHECK(platform.peer.count("{\"ref\":\"0nce\",\"result\":\"dead\"}\n") == 3);
    CHECK(calls(endpoint) == 2);
    CHECK(program.counter("noticesOdd") == 0);
}

TEST_CASE("resendable: odd bytes and silence end a call, and the text goes again") {
    Platform platform;
    std::atomic<int> n = 0;
    Peer endpoint([&](const std::string&) -> std::string {
        int i = n++;
        return i == 0 ? "\x01\x02nonsense\r\n\r\n" : i == 1 ? "silence" : ok();
    });
    Program program(platform.peer.address, member("e", endpoint.address, 7));
    CHECK(program.hand("r1") == 202);
    REQUIRE(eventually([&] { return program.counter("delivered") == 1; }, 8000));
    CHECK(program.counter("callsOddAnswer") == 1);
    CHECK(program.counter("callsTimedOut") == 1);
    CHECK(endpoint.count("Request-Timeout-Ms: ") == 3);
}

TEST_CASE("a killed sender takes up what it had taken on, and runs nothing twice that may have run") {
    Platform platform;
    std::atomic<bool> answering = false;
    Peer endpoint([&](const std::string&) { return answering ? ok() : std::string("silence"); });
    Program program(platform.peer.address, member("e", endpoint.address, 7) + "," + noneAt(9));
    REQUIRE(program.hand("order-out", "order") == 202);
    REQUIRE(program.hand("status-out", "status") == 202);
    REQUIRE(program.hand("order-held", "order", 9) == 202);  // no endpoint of 9 serves yet
    REQUIRE(eventually([&] { return calls(endpoint) == 2; }));
    CHECK(program.stop(SIGKILL) == -SIGKILL);
    std::ofstream(program.state() + "/log-00000001", std::ios::app) << std::string("\x40\0\0\0torn", 8);
    answering = true;
    program.start();
    REQUIRE(program.up);
    CHECK(program.counter("textsResumed") == 3);
    platform.change(member("f", endpoint.address, 9));
    CHECK(eventually([&] { return program.counter("delivered") == 2; }));
    CHECK(eventually([&] { return platform.peer.count("\"order-out\",\"result\":\"dead\"") == 1; }));
    CHECK(endpoint.count("Request-Id: order-out") == 1);
    CHECK(endpoint.count("Request-Id: status-out") == 2);
    CHECK(endpoint.count("Request-Id: order-held") == 1);
    program.stop(SIGKILL);
    program.start();
    CHECK(program.counter("textsResumed") == 0);
    CHECK(platform.peer.count("/v2/finals") == 1);
}

TEST_CASE("synced in groups or each: answers and calls wait for it, restarts find it; odd words are refused") {
    std::string level = GENERATE("grouped:20", "each");
    setenv("PETRELPOND_STORE", level.c_str(), 1), setenv("PETRELPOND_STORE_RESERVE", "1", 1);
    Platform platform;
    Peer endpoint(answer200);
    Program program(platform.peer.address, member("e", endpoint.address, 7) + "," + noneAt(9), 5);
    REQUIRE(program.up);
    auto began = std::chrono::steady_clock::now();
    REQUIRE(eventually([&] { return program.hand("s0", "status") == 202; }));  // once the reserve is made
    if (level != "each") CHECK(std::chrono::steady_clock::now() - began >= std::chrono::milliseconds(19));
    for (int i = 1; i < 6; ++i) REQUIRE(program.hand("s" + std::to_string(i), "order", i % 2 ? 7 : 9) == 202);
    CHECK(eventually([&] { return program.counter("delivered") == 4; }));
    CHECK(program.stop(SIGKILL) == -SIGKILL);
    program.start();
    CHECK(program.counter("textsResumed") == 2);
    CHECK(endpoint.count("POST /events") == 4);
    CHECK(program.stop(SIGKILL) == -SIGKILL);
    setenv("PETRELPOND_STORE", "sometimes", 1);
    program.start();
    CHECK_FALSE(program.up);
    CHECK(program.log().find("PETRELPOND_STORE must be") != std::string::npos);
    unsetenv("PETRELPOND_STORE"), unsetenv("PETRELPOND_STORE_RESERVE");
}

TEST_CASE("a once-only text whose end record is spoilt is given up, not sent again; the others go on") {
    Platform platform;
    std::atomic<bool> refusing = true;
    Peer endpoint([&](const std::string&) { return refusing ? ok("", "Wait-Ms: 1500\r\n", "503 Full") : ok(); });
    Program program(platform.peer.address, member("e", endpoint.address, 7) + "," + noneAt(9));
    REQUIRE(program.hand("refused", "order") == 202);  // it never ran, and would go again
    REQUIRE(eventually([&] { return program.counter("turnedAway") == 1; }));
    REQUIRE(program.hand("later", "order", 9) == 202);
    CHECK(program.stop(SIGKILL) == -SIGKILL);
    std::string problem, name = "log-00000001";
    int64_t at = 0;
    {
        auto disk = store::realDisk(program.state(), false, problem);
        auto file = disk->open(name);
        store::Reader reader(*file, store::readHeader(*file).header);
        while (auto r = reader.next()) {
            store::Said said = store::read(r->payload);
            if (said.what == store::Said::What::state && said.serial == 1 && !said.state.out) at = r->offset;
        }
    }
    REQUIRE(at > 0);
    std::fstream file(program.state() + "/" + name, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(at + 26).put('\x7f');
    file.close();
    refusing = false;
    program.start();
    REQUIRE(program.up);
    CHECK(program.counter("storeDamaged") == 1);
    CHECK(program.log().find("spoilt bytes") != std::string::npos);
    CHECK(std::filesystem::exists(program.state() + "/damaged-" + name + "-" + std::to_string(at)));
    CHECK(eventually([&] { return platform.peer.count("\"refused\",\"result\":\"dead\"") == 1; }));
    platform.change(member("f", endpoint.address, 9));
    CHECK(eventually([&] { return program.counter("delivered") == 1; }));
    CHECK(endpoint.count("Request-Id: refused") == 1);
    CHECK(endpoint.count("Request-Id: later") == 1);
}

TEST_CASE("after SIGTERM late connections are answered, open calls end and are written down") {
    Platform platform;
    Peer endpoint([&](const std::string&) { return pause(900), ok(); });
    Program program(platform.peer.address, member("e", endpoint.address, 7));
    REQUIRE(program.hand("t1", "order") == 202);
    Socket kept = program.connect();
    auto told = std::chrono::steady_clock::now();
    program.tell(SIGTERM);
    REQUIRE(eventually([&] { return program.get("/up").find(" 503 ") != std::string::npos; }));
    kept.sendAll(Program::request("t2", "order", 7, 8000, "x"));
    std::string rest, answer = readMessage(kept, rest);
    CHECK(answer.find(" 202 ") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(program.stop(0) == 0);
    CHECK(std::chrono::steady_clock::now() - told < std::chrono::milliseconds(3700));
    program.start();
    CHECK(program.counter("textsResumed") == 0);
    CHECK(calls(endpoint) == 2);
}

TEST_CASE("bad requests get their answer and a close, and the sender goes on") {
    Platform platform;
    Program program(platform.peer.address, noneAt(7));
    auto status = [&](const std::string& bytes) { return program.ask(bytes).substr(0, 12); };
    CHECK(status("\x16\x03\x01\x02\r\n\r\n") == "HTTP/1.1 400");
    CHECK(status("POST /status HTTP/1.1\r\nRequest-Id: a\r\n\r\n") == "HTTP/1.1 411");
    CHECK(status("POST /status HTTP/1.1\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n") == "HTTP/1.1 400");
    CHECK(status("POST /status HTTP/1.1\r\nContent-Length: -1\r\n\r\n") == "HTTP/1.1 400");
    CHECK(status("POST /status HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n") == "HTTP/1.1 400");
    CHECK(status("POST /status HTTP/1.1\r\nContent-Length: 65537\r\n\r\n") == "HTTP/1.1 413");
    CHECK(status("GET /" + std::string(17000, 'a') + " HTTP/1.1\r\n\r\n") == "HTTP/1.1 431");
    CHECK(status("GET /up HTTP/1.1\r\n" + std::string(17000, 'a')) == "HTTP/1.1 431");
    CHECK(status("GET /else HTTP/1.1\r\n\r\n") == "HTTP/1.1 404");
    Socket gone = program.connect();
    gone.sendAll(Program::request("half", "status", 7, 8000, "x").substr(0, 60));
    gone = Socket();
    CHECK(program.counter("requestsBad") == 8);
    CHECK(program.hand("fine") == 202);
    CHECK(healthy(program));
}

TEST_CASE("several texts of one round travel in one call, and each has its own end") {
    Platform platform;
    Peer endpoint([&](const std::string& call) -> std::string {
        if (call.find("Request-Id: b0") != std::string::npos) return pause(300), ok();
        if (call.find("/events/bundle") == std::string::npos) return ok();
        std::string body =
            R"([{"id":"b1","state":"accepted"},{"id":"b2","state":"fault"},{"id":"b3","state":"deferred"}])";
        std::ostringstream chunk;
        chunk << std::hex << body.size() << "\r\n" << body << "\r\n0\r\n\r\n";
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk.str();
    });
    Program program(platform.peer.address, member("e", endpoint.address, 7, "ready", "bundled"));
    REQUIRE(program.hand("b0", "order") == 202);
    for (const char* id : {"b1", "b2", "b3"}) REQUIRE(program.hand(id, "order") == 202);
    CHECK(eventually([&] { return program.counter("delivered") == 3; }));
    CHECK(eventually([&] { return platform.peer.count("\"b2\",\"result\":\"dead\"") == 1; }));
    CHECK(endpoint.count("\"id\":\"b3\",\"body\":\"aGVsbG8=\"") == 1);
    CHECK(endpoint.count("Request-Id: b3") == 1);
}

TEST_CASE("the list is watched: a drain stops new calls, and silence is lived through") {
    Platform platform;
    Peer first(answer200), second(answer200);
    Program program(platform.peer.address, member("e", first.address, 7));
    platform.change(member("e", first.address, 7, "draining") + "," + member("f", second.address, 7));
    REQUIRE(eventually([&] { return program.counter("listsRead") >= 1; }));
    pause(300);
    for (int i = 0; i < 5; ++i) CHECK(program.hand("d" + std::to_string(i)) == 202);
    CHECK(eventually([&] { return program.counter("delivered") == 5; }));
    CHECK(calls(first) == 0);
    platform.silent = true;
    pause(300);
    CHECK(program.hand("s1") == 202);
    CHECK(eventually([&] { return program.counter("delivered") == 6; }));
    platform.silent = false;
    platform.change(member("f", second.address, 7, "gone") + "," + member("e", first.address, 7));
    REQUIRE(eventually([&] { return program.hand("n1") == 202 && calls(first) > 0; }, 9000));
}

TEST_CASE("a drain ends a call whose connection has not come up, and the text goes elsewhere") {
    Platform platform;
    Stalled stalled;
    Peer endpoint(answer200);
    Program program(platform.peer.address, member("e", stalled.address, 7));
    REQUIRE(program.hand("late", "order") == 202);
    REQUIRE(eventually([&] { return program.counter("callsStarted") == 1; }));
    platform.change(member("e", stalled.address, 7, "draining") + "," + member("f", endpoint.address, 7));
    CHECK(eventually([&] { return program.counter("delivered") == 1; }));
    CHECK(program.counter("callsCancelledUnsent") == 1);
}

TEST_CASE("texts too large for one body travel apart") {
    Platform platform;
    Peer endpoint(answer200);
    Program program(platform.peer.address, noneAt(7));
    std::string big(30000, 'x');
    for (const char* id : {"l1", "l2"}) REQUIRE(program.hand(id, "status", 7, 8000, big) == 202);
    platform.change(member("e", endpoint.address, 7, "ready", "bundled"));
    CHECK(eventually([&] { return program.counter("delivered") == 2; }));
    CHECK(endpoint.count("/events/bundle") == 0);
}

TEST_CASE("a full store refuses and lives; what it holds is served") {
    Platform platform;
    Program program(platform.peer.address, noneAt(7), 1);
    std::string big(60000, 'x');
    int taken = 0, refused = 0;
    for (int i = 0; i < 12; ++i) {
        int status = program.hand("f" + std::to_string(i), "order", 7, 8000, big);
        taken += status == 202, refused += status == 503;
    }
    CHECK(taken == 7);
    CHECK(refused == 5);
    // Upkeep makes, renames and removes files beside the count: what goes meanwhile has no size.
    uintmax_t bytes = 0;
    std::error_code gone;
    for (std::filesystem::directory_iterator file(program.state(), gone), end; !gone && file != end; file.increment(gone)) {
        std::error_code renamed;
        uintmax_t size = file->file_size(renamed);
        if (!renamed) bytes += size;
    }
    CHECK(bytes < 1000000);
    Peer endpoint(answer200);
    platform.change(member("e", endpoint.address, 7));
    CHECK(eventually([&] { return program.counter("delivered") == taken; }));
    CHECK(program.hand("more", "order", 7, 8000, big) == 202);
}

TEST_CASE("more clients than descriptors: idle ones make room, and nobody goes unanswered") {
    Platform platform;
    Peer endpoint(answer200);
    Program program(platform.peer.address, member("e", endpoint.address, 7), 3, 80);
    std::vector<Socket> idle;
    for (int i = 0; i < 120; ++i) idle.push_back(program.connect());
    for (int i = 0; i < 5; ++i) CHECK(program.hand("m" + std::to_string(i)) == 202);
    CHECK(eventually([&] { return program.counter("delivered") == 5; }));
    CHECK(healthy(program));
}

TEST_CASE("a client that goes before its answer withdraws its text") {
    Platform platform;
    Program program(platform.peer.address, noneAt(7));
    program.tell(SIGSTOP);
    {
        Socket client = program.connect();
        client.sendAll(Program::request("gone", "status", 7, 8000, "x"));
        shutDown(client.descriptor());
    }
    program.tell(SIGCONT);
    CHECK(eventually([&] { return program.counter("textsWithdrawn") == 1; }));
    // One that has only ended its sending still hears its answer, and its text stays.
    Socket half = program.connect();
    half.sendAll(Program::request("half", "status", 7, 8000, "x"));
    half.endSending();
    std::string rest;
    CHECK(readMessage(half, rest).find(" 202 ") != std::string::npos);
    pause(100);
    CHECK(program.counter("textsWithdrawn") == 1);
}

TEST_CASE("what names nothing that there is, or has a wrong length, is never taken on") {
    Platform platform;
    Peer endpoint(answer200);
    Program program(platform.peer.address, member("e", endpoint.address, 7));
    CHECK(program.hand("u1", "nothing") == 400);
    CHECK(program.hand("u2", "status", 8) == 400);
    CHECK(program.hand("u3", "status", 7, 999999999) == 400);
    CHECK(program.hand("u4", "status", 7, -5) == 400);
    CHECK(program.hand("", "status") == 400);
    std::string shorter = Program::request("u5", "status", 7, 8000, "0123456789");
    shorter.replace(shorter.find("Length: 10") + 8, 2, "4");
    CHECK(program.ask(shorter).find("HTTP/1.1 400") == 0);
    // What follows a request that is refused is not read, and does no harm.
    std::string nameless = "POST /status HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
    CHECK(program.ask(nameless + Program::request("u8", "status", 7, 8000, "x")).find("HTTP/1.1 400") == 0);
    CHECK(healthy(program));
    // A request hidden in the body of one with two lengths is never read as one.
    std::string both =
        Program::request("u6", "status", 7, 8000, Program::request("u7", "status", 7, 8000, "x"));
    both.insert(both.find("Envelope"), "Transfer-Encoding: chunked\r\n");
    Socket smuggler = program.connect();
    smuggler.sendAll(both);
    std::string rest;
    CHECK(readMessage(smuggler, rest).find("HTTP/1.1 400") == 0);
    CHECK(readMessage(smuggler, rest).empty());
    CHECK(program.hand("good") == 202);
    CHECK(eventually([&] { return program.counter("delivered") == 1; }));
    CHECK(calls(endpoint) == 1);
    CHECK(program.counter("textsUnusable") == 3);
}

TEST_CASE("an id used again by another client is no leave to withdraw the text") {
    Platform platform;
    Peer endpoint(answer200);
    Program program(platform.peer.address, noneAt(7));
    REQUIRE(program.hand("mine") == 202);
    program.tell(SIGSTOP);
    {
        Socket other = program.connect();
        other.sendAll(Program::request("mine", "status", 7, 8000, "y"));
        shutDown(other.descriptor());
    }
    program.tell(SIGCONT);
    REQUIRE(eventually([&] { return program.counter("textsAgain") == 1; }));
    pause(100);
    platform.change(member("e", endpoint.address, 7));
    CHECK(eventually([&] { return program.counter("delivered") == 1; }));
    CHECK(program.counter("textsWithdrawn") == 0);
}

TEST_CASE("silent and endless clients are ended in time, a body of many megabytes is answered") {
    Platform platform;
    Peer endpoint(answer200);
    Program program(platform.peer.address, member("e", endpoint.address, 7));
    Socket mute = program.connect(), halfHead = program.connect(), halfBody = program.connect();
    halfHead.sendAll("POST /status HTTP/1.1\r\nRequest-Id: h\r\n");
    std::string half = Program::request("b", "status", 7, 8000, "0123456789");
    halfBody.sendAll(half.substr(0, half.size() - 5));
    Socket large = program.connect();
    std::string rest, part(1 << 20, 'x');
    large.sendAll("POST /status HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
    for (int i = 0; i < 57; ++i) CHECK(large.sendAll(part));
    CHECK(readMessage(large, rest).find("HTTP/1.1 413") == 0);
    for (Socket* slow : {&halfHead, &halfBody}) {
        rest.clear();
        CHECK(readMessage(*slow, rest).find("HTTP/1.1 408") == 0);
    }
    char byte;
    mute.waitAtMost(Span::millis(2900));
    CHECK(mute.receive(&byte, 1) == 0);
    CHECK(program.hand("fine") == 202);
}

TEST_CASE("spoilt answers: only a first line that says delivered is believed, and nothing is waited for") {
    Platform platform;
    std::string bad = GENERATE("HTTP/1.1 503 Full\r\nContent-Length: 3000000000\r\n\r\nabc",
                               "HTTP/1.1 429 Full\r\nContent-Length: 40\r\nWait-Ms: 5\r\n\r\nabc",
                               "HTTP/1.1 503 Full\r\nX: y", "HTTP/1.1 503 Full\r\n\x01\x02\r\n\r\n",
                               "\x03noise", "HTTP/1.1 504 No\r\nContent-Length: -1\r\n\r\n");
    std::string good =
        GENERATE("HTTP/1.1 200 OK\r\nX: y", "HTTP/1.1 200 OK\r\n\x01\r\n\r\n",
                 "HTTP/1.1 100 Wait\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nabc",
                 "HTTP/1.1 200 OK\r\nServer-Load: \x01\x02=,x1=oops\r\nContent-Length: 0\r\n\r\n\x05more");
    Peer endpoint([&](const std::string& call) {
        return call.find("Request-Id: s1") != std::string::npos ? bad : good;
    });
    Program program(platform.peer.address, member("e", endpoint.address, 7));
    REQUIRE(program.hand("s1", "order") == 202);
    CHECK(eventually([&] { return platform.peer.count("\"s1\",\"result\":\"dead\"") == 1; }, 2000));
    CHECK(endpoint.count("Request-Id: s1") == 1);
    REQUIRE(program.hand("s2", "order") == 202);
    CHECK(eventually([&] { return program.counter("delivered") == 1; }, 1500));
    CHECK(program.counter("connectionsOpened") == 2);
}

TEST_CASE("SIGHUP: discovery moves at once, a bad file changes nothing, a later start finds the new one") {
    Platform first, second;
    Peer endpoint(answer200);
    Program program(first.peer.address, noneAt(7));
    program.tell(SIGHUP);  // the same address: the whole list is asked for again
    REQUIRE(eventually([&] { return first.peer.count("GET /discovery/hosts HTTP") == 1; }));
    program.configure("nonsense");
    program.tell(SIGHUP);
    REQUIRE(eventually([&] { return program.counter("configsOdd") == 1; }));
    second.change(member("e", endpoint.address, 7));
    program.configure(second.peer.address);
    auto told = std::chrono::steady_clock::now();
    program.tell(SIGHUP);
    REQUIRE(eventually([&] { return second.peer.count("GET /discovery/hosts HTTP") == 1; }));
    CHECK(std::chrono::steady_clock::now() - told < std::chrono::milliseconds(500));
    CHECK(program.hand("h1") == 202);
    CHECK(eventually([&] { return program.counter("delivered") == 1; }));
    CHECK(program.counter("configsReread") == 2);
    size_t before = second.peer.count("GET /discovery/hosts");
    program.stop(SIGKILL);
    program.start();
    CHECK(eventually([&] { return second.peer.count("GET /discovery/hosts") > before; }));
    CHECK(healthy(program));
}

TEST_CASE("endpoints that come and go leave nothing behind") {
    Platform platform;
    Peer endpoint(answer200);
    auto id = [](int i) { return "e" + std::to_string(i); };
    Program program(platform.peer.address, member(id(0), endpoint.address, 7));
    size_t threads = 0, descriptors = 0;
    for (int i = 0; i < 24; ++i) {
        REQUIRE(program.hand("t" + std::to_string(i)) == 202);
        REQUIRE(eventually([&] { return program.counter("delivered") == i + 1; }));
        if (i == 3) threads = program.held("task"), descriptors = program.held("fd");
        platform.change(member(id(i), endpoint.address, 7, "gone") + "," +
                        member(id(i + 1), endpoint.address, 7));
        REQUIRE(eventually([&] { return program.counter("endpointsFreed") == i + 1; }));
    }
    CHECK(program.counter("connectionsOpened") == 24);  // none is inherited
    CHECK(eventually([&] { return program.held("task") <= threads + 2; }));
    CHECK(eventually([&] { return program.held("fd") <= descriptors + 2; }));
}

TEST_CASE("who asks for what can't be is answered at once, and read later and later") {
    Platform platform;
    Program program(platform.peer.address, noneAt(7));
    Socket hasty = program.connect();
    std::string rest, request = Program::request("h", "nothing", 7, 8000, "x");
    auto begun = std::chrono::steady_clock::now();
    for (int i = 0; i < 5; ++i) {
        hasty.sendAll(request);
        REQUIRE(readMessage(hasty, rest).find("HTTP/1.1 400") == 0);
    }
    CHECK(std::chrono::steady_clock::now() - begun > std::chrono::milliseconds(700));
    CHECK(program.hand("fine") == 202);
}

TEST_CASE(
    "connections that wait hold no threads, and waits run out though the process is stopped again and "
    "again") {
    Platform platform;
    Peer endpoint([](const std::string& call) {
        // Its head never ends; nothing else tells that the answer is over but the bound on its rest.
        return call.find("Request-Id: odd") != std::string::npos ? "HTTP/1.1 503 Full\r\nX: y\r\n" : ok();
    });
    Program program(platform.peer.address, member("e", endpoint.address, 7));
    REQUIRE(program.hand("first") == 202);
    size_t threads = program.held("task");
    std::vector<Socket> stay;
    for (int i = 0; i < 40; ++i) {
        stay.push_back(program.connect());
        stay.back().sendAll(Program::request("s" + std::to_string(i), "status", 7, 8000, "x"));
        std::string rest;
        REQUIRE(readMessage(stay.back(), rest).find(" 202 ") != std::string::npos);
    }
    CHECK(eventually([&] { return program.held("task") < threads + 30; }, 1000));
    REQUIRE(program.hand("odd", "order") == 202);
    Socket half = program.connect();
    half.sendAll("POST /status HTTP/1.1\r\n");
    for (int i = 0; i < 60; ++i) {
        program.tell(SIGSTOP), pause(20);
        program.tell(SIGCONT), pause(30);
    }
    CHECK(platform.peer.count("\"odd\",\"result\":\"dead\"") == 1);
    half.waitAtMost(Span::millis(50));
    char byte;
    CHECK(half.receive(&byte, 1) == 1);  // 408
}

TEST_CASE("a client may connect well ahead of its first request") {
    Platform platform;
    Program program(platform.peer.address, noneAt(7));
    Socket early = program.connect();
    pause(1900);
    early.sendAll(Program::request("early", "status", 7, 8000, "x"));
    std::string rest;
    CHECK(readMessage(early, rest).find(" 202 ") != std::string::npos);
}

TEST_CASE("threads follow the calls that are out, not the endpoints or their idle connections") {
    Platform platform;
    std::deque<Peer> partners;
    std::string members;
    for (int i = 0; i < 30; ++i) {
        partners.emplace_back([](const std::string&) { return ok(); });
        members += (i > 0 ? "," : "") + member("e" + std::to_string(i), partners.back().address, i);
    }
    Program sender(platform.peer.address, members);
    REQUIRE(sender.up);
    for (int i = 0; i < 30; ++i) CHECK(sender.hand("t" + std::to_string(i), "status", i) == 202);
    CHECK(eventually([&] { return sender.counter("delivered") == 30; }));
    pause(100);
    CHECK(sender.held("task") < 16);
}

TEST_CASE("a machine that has no thread to give closes on nobody and loses nothing") {
    Platform platform;
    Peer partner([](const std::string&) { return pause(50), ok(); });
    Program sender(platform.peer.address, member("e1", partner.address, 7));
    sender.stop(SIGKILL);
    sender.settings = {"PETRELPOND_THREADS=16"};  // some ten are the process's own
    sender.start();
    REQUIRE(sender.up);
    std::vector<Socket> clients;
    for (int i = 0; i < 60; ++i) clients.push_back(sender.connect());
    for (int i = 0; i < 60; ++i) clients[i].sendAll(Program::request("n" + std::to_string(i), "status", 7, 8000, "x"));
    int taken = 0, answered = 0;
    for (Socket& c : clients) {
        std::string rest, answer = readMessage(c, rest);
        answered += !answer.empty(), taken += answer.find(" 202 ") != std::string::npos;
    }
    CHECK(answered == 60);
    CHECK(eventually([&] { return sender.counter("delivered") + sender.counter("nacked") >= taken; }, 8000));
    CHECK(taken > 0);
}
