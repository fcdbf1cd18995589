// Tests of the whole control program over loopback: alone as the only voter, and as a group of four, with
// data folders of their own.
#include "system/control_plane/control.hpp"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <rapidjson/document.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <thread>
#include <vector>

#include "system/network/http_answer.hpp"
#include "system/network/turning_for_test.hpp"

namespace petrelpond::control_plane {
namespace {

std::string configuration(int version, const std::string& more = "") {
    return R"({"config_version":)" + std::to_string(version) +
           R"(,"route_table":[{"name":"r","host_name":"h.example","path_prefix":"/r/",)"
           R"("route_type":"idempotent","timeout_ms":100,"service":"f"}],)"
           R"("service_table":[{"name":"f","max_connections":5}]})" +
           more;
}

// Returns a port of this address that is free: bound for a moment and closed again.
uint16_t freePort(const std::string& ip) {
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET, at.sin_addr.s_addr = htonl(network::Address::parse(ip, 1)->ip);
    socklen_t size = sizeof at;
    bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    close(fd);
    return ntohs(at.sin_port);
}

struct Got {
    int status = 0;  // 0: no complete response
    std::string body;
};
// Sends these bytes, shuts down sending, and reads until the connection ends.
Got rawAt(const std::string& ip, uint16_t port, const std::string& bytes) {
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    timeval operationTimeout{5, 0};  // only a failing test waits this long
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &operationTimeout, sizeof operationTimeout);
    sockaddr_in at{};
    at.sin_family = AF_INET, at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(network::Address::parse(ip, 1)->ip);
    std::string in;
    if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0) {
        for (size_t sent = 0; sent < bytes.size();) {
            ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) break;
            sent += static_cast<size_t>(n);
        }
        shutdown(fd, SHUT_WR);
        char some[65536];
        for (ssize_t n; (n = recv(fd, some, sizeof some, 0)) > 0;) in.append(some, static_cast<size_t>(n));
    }
    close(fd);
    network::HttpAnswer answer;
    if (network::takeAnswer(in, true, network::kMostFrame, answer) != network::Reading::whole) return {};
    return {answer.status, answer.body};
}

std::pair<int, std::string> callAt(const std::string& ip, uint16_t port, const std::string& line,
                                   const std::string& body) {
    Got got = rawAt(ip, port,
                    line + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
    return {got.status, got.body};
}

class ControlTest : public ::testing::Test, public network::Watcher {
  protected:
    ControlTest() : wake_(eventfd(0, EFD_NONBLOCK)) {
        // An address used by this process alone, so that parallel tests do not take its ports.
        ip_ = "127." + std::to_string(1 + getpid() / 254 % 250) + ".7." + std::to_string(1 + getpid() % 254);
        folder_ = std::filesystem::temp_directory_path() / ("control-test-" + std::to_string(getpid()));
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directories(folder_);
        settings_.nodeName = "core-\"1\"", settings_.role = "core", settings_.ip = ip_, settings_.zone = "z";
        settings_.bootstrap = settings_.quorumMember = true;
        settings_.dataDir = folder_.string();
        settings_.control = configuration::Address{ip_, freePort(ip_)};
        settings_.portFirst = freePort(ip_), settings_.portLast = settings_.portFirst + 2;
        settings_.seeds = {*settings_.control};
        begin();
    }
    ~ControlTest() override {
        end();
        close(wake_);
        std::filesystem::remove_all(folder_);
    }
    void begin() {
        loop_ = std::make_unique<network::Loop>();
        loop_->watch(wake_, EPOLLIN, this);
        control_ = std::make_unique<Control>(*loop_, settings_, 7);
        std::string error;
        EXPECT_TRUE(control_->open(error)) << error;
        thread_ = std::thread([this] { loop_->run(); });
    }
    void end() {
        uint64_t one = 1;
        (void)!write(wake_, &one, sizeof one);
        thread_.join();
        control_.reset();
        loop_.reset();
    }
    void woke(uint32_t) override {
        uint64_t count = 0;
        (void)!read(wake_, &count, sizeof count);
        if (leavesNext_.exchange(false)) return control_->leave();
        loop_->stop();
    }
    void leave() {
        leavesNext_ = true;
        uint64_t one = 1;
        (void)!write(wake_, &one, sizeof one);
    }

    Got raw(const std::string& bytes) { return rawAt(ip_, settings_.control->port, bytes); }
    // Retries after a 503, as operators do: the voters have to be agreed on first.
    Got call(const std::string& method, const std::string& target, const std::string& body = "") {
        Got got;
        for (int i = 0; i < 20; ++i) {
            got =
                raw(method + " " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
            if (got.status != 503) break;
        }
        return got;
    }
    Got put(const std::string& body) { return call("PUT", "/configuration", body); }
    Got get() { return call("GET", "/configuration"); }
    rapidjson::Document status() {
        rapidjson::Document d;
        Got got = call("GET", "/status");
        EXPECT_EQ(got.status, 200);
        d.Parse(got.body.c_str(), got.body.size());
        EXPECT_FALSE(d.HasParseError()) << got.body;
        return d;
    }

    int wake_;
    std::atomic<bool> leavesNext_ = false;
    std::string ip_;
    std::filesystem::path folder_;
    configuration::Settings settings_;
    std::unique_ptr<network::Loop> loop_;
    std::unique_ptr<Control> control_;
    std::thread thread_;
};

TEST_F(ControlTest, KeepsTheNewestAsItWasSent) {
    EXPECT_EQ(get().status, 404);
    const std::string seven = configuration(7, " \n\t ");
    Got got = put(seven);
    EXPECT_EQ(got.status, 200);
    EXPECT_EQ(got.body, R"({"config_version":7})");
    EXPECT_EQ(get().body, seven);
    got = put(configuration(5));  // acknowledged, but changes nothing
    EXPECT_EQ(got.status, 200);
    EXPECT_EQ(got.body, R"({"config_version":7})");
    EXPECT_EQ(get().body, seven);
    EXPECT_EQ(put(seven).status, 200);
    // Another text under the current version changes nothing, whatever its digest, and is not acknowledged:
    // otherwise two operators would both believe that theirs is in effect.
    for (const char* space : {"  ", "\n", "\t\t", " \t", "\n\n", "   "}) {
        got = put(configuration(7, space));
        EXPECT_EQ(got.status, 409);
        EXPECT_EQ(got.body, R"({"cause":"version 7 has another text; take a higher one"})");
        EXPECT_EQ(get().body, seven);
    }
    EXPECT_EQ(put(seven).status, 200);  // the current one, sent again
    EXPECT_EQ(put(configuration(20)).status, 200);
    EXPECT_EQ(get().body, configuration(20));
}

TEST_F(ControlTest, WhatIsAcknowledgedOutlastsTheProcess) {
    EXPECT_EQ(put(configuration(7)).status, 200);
    end();
    settings_.bootstrap = false;  // as on a machine that restarts
    begin();
    EXPECT_EQ(get().body, configuration(7));
}

TEST_F(ControlTest, AnInvalidOneIsRefusedWithEveryMistakeAndKeepsNothing) {
    EXPECT_EQ(put(configuration(3)).status, 200);
    Got got = put(R"({"config_version":9,"route_table":[)"
                  R"({"name":"r","host_name":"h","path_prefix":"/r/","route_type":"idempotent",)"
                  R"("timeout_ms":0,"service":"f"},)"
                  R"({"name":"s","host_name":"h","path_prefix":"/r/","route_type":"idempotent",)"
                  R"("timeout_ms":5,"service":"x"}],)"
                  R"("service_table":[{"name":"f","max_connections":5}]})");
    EXPECT_EQ(got.status, 400);
    for (const char* path :
         {"/route_table/0/timeout_ms must", "/route_table/1/service names", "/route_table/1 shares"})
        EXPECT_NE(got.body.find(path), std::string::npos) << path << " in " << got.body;
    rapidjson::Document d;
    EXPECT_FALSE(d.Parse(got.body.c_str()).HasParseError());
    EXPECT_EQ(get().body, configuration(3));
}

TEST_F(ControlTest, GarbageAndCutTextsAreRefused) {
    const std::string whole = configuration(9);
    for (size_t cut = 0; cut < whole.size(); cut += 7)
        EXPECT_EQ(put(whole.substr(0, cut)).status, 400) << cut;
    for (const std::string& odd :
         {std::string("\0\xff\xfe", 3), std::string(100'000, '['), std::string("[]"), whole + "x"})
        EXPECT_EQ(put(odd).status, 400) << odd.substr(0, 20);
    // A body shorter than its Content-Length is not a request: it is not stored, although it is complete
    // JSON.
    Got got =
        raw("PUT /configuration HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(whole.size() + 1) +
            "\r\n\r\n" + whole);
    EXPECT_NE(got.status, 200);
    EXPECT_EQ(raw("PUT /configuration HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n").status, 413);
    EXPECT_EQ(get().status, 404);
}

TEST_F(ControlTest, StatusTellsWhatThisCoreKnows) {
    EXPECT_EQ(put(configuration(7)).status, 200);
    rapidjson::Document d = status();
    EXPECT_STREQ(d["name"].GetString(), "core-\"1\"");
    EXPECT_EQ(d["ip"].GetString(), ip_);
    EXPECT_EQ(d["configuration"]["on_majority"].GetInt64(), 7);
    EXPECT_EQ(d["configuration"]["held"].GetInt64(), 7);
    EXPECT_TRUE(d["disk"]["counts"].GetBool());
    EXPECT_FALSE(d["disk"]["recovering"].GetBool());
    EXPECT_FALSE(d["disk"]["last_save_failed"].GetBool());
    ASSERT_EQ(d["voters"].Size(), 1u);
    EXPECT_EQ(d["voters"][0].GetString(), ip_);
    EXPECT_EQ(d["agents_linked"].GetUint64(), 0u);
    // As the only core it wins the duty; from then on the status contains the planner.
    const Instant until = network::Loop::clock() + Span::seconds(10);
    while (!d["duty"]["held_here"].GetBool() && network::Loop::clock() < until) d = status();
    ASSERT_TRUE(d.HasMember("planner"));  // from the first response that says so
    ASSERT_TRUE(d["duty"]["held_here"].GetBool());
    EXPECT_EQ(d["duty"]["holder"].GetString(), ip_);
    EXPECT_GT(d["duty"]["left_s"].GetDouble(), 0);
    ASSERT_EQ(d["planner"]["services"].Size(), 1u);
    EXPECT_STREQ(d["planner"]["services"][0]["name"].GetString(), "f");
    EXPECT_EQ(d["planner"]["services_known"].GetUint64(), 1u);
}

// Guards against continuous requests delaying the core's own ticks, and against a status that says that the
// duty is held here but lacks the planner.
TEST_F(ControlTest, CallsWithoutAPauseDoNotPutOffTheDuty) {
    EXPECT_EQ(put(configuration(7)).status, 200);
    std::atomic<bool> held = false, lacking = false;
    const Instant until = network::Loop::clock() + Span::seconds(10);
    std::vector<std::thread> askers;
    for (int i = 0; i < 4; ++i)
        askers.emplace_back([&] {
            while (!held && network::Loop::clock() < until) {
                rapidjson::Document d = status();
                bool here = d["duty"]["held_here"].GetBool();
                if (here && !d.HasMember("planner")) lacking = true;
                if (here) held = true;
            }
        });
    for (auto& each : askers) each.join();
    EXPECT_TRUE(held);
    EXPECT_FALSE(lacking);
}

TEST_F(ControlTest, AgentsAreListedWithTheVersionTheySaidAndNamesThatAreNoTextDoNoHarm) {
    EXPECT_EQ(put(configuration(7)).status, 200);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET, at.sin_port = htons(static_cast<uint16_t>(settings_.portFirst));
    at.sin_addr.s_addr = htonl(network::Address::parse(ip_, 1)->ip);
    ASSERT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    auto say = [&](network::Kind kind, const std::string& payload) {
        const uint32_t length = static_cast<uint32_t>(payload.size() + 1);
        std::string frame;
        for (int shift : {0, 8, 16, 24}) frame += static_cast<char>(length >> shift & 255);
        frame += static_cast<char>(kind);
        frame += payload;
        ASSERT_EQ(send(fd, frame.data(), frame.size(), MSG_NOSIGNAL), static_cast<ssize_t>(frame.size()));
    };
    auto versionWhen = [&](auto reached) {
        const Instant until = network::Loop::clock() + Span::seconds(5);
        rapidjson::Document d = status();
        while (!reached(d) && network::Loop::clock() < until) d = status();
        EXPECT_TRUE(reached(d));
        return d;
    };
    say(network::Kind::hello,
        network::packed(network::Hello{"edge\xff" + std::string(500, 'x'), "10.0.0.9", "z", 1, 4}));
    rapidjson::Document d = versionWhen([](const auto& s) { return s["agents"].Size() == 1; });
    ASSERT_EQ(d["agents"].Size(), 1u);
    EXPECT_EQ(d["agents"][0]["version"].GetInt64(), 4);
    EXPECT_EQ(d["agents"][0]["name"].GetString(), "edge?" + std::string(123, 'x'));  // truncated to 128
    say(network::Kind::beat, network::packed(network::Beat{7, 0, 1, "", 0}));
    versionWhen(
        [](const auto& s) { return s["agents"].Size() == 1 && s["agents"][0]["version"].GetInt64() == 7; });
    close(fd);
}

TEST_F(ControlTest, TheVotersThatCannotBeIsRefusedWithWhy) {
    EXPECT_EQ(put(configuration(7)).status, 200);
    Got got = call("POST", "/voters", R"({"gone":[")" + ip_ + R"("],"come":["127.9.9.9"]})");
    EXPECT_EQ(got.status, 409);
    EXPECT_EQ(got.body, R"({"cause":"127.9.9.9 is not a known core that may become a voter"})");
    // A change already in effect is acknowledged again, as after a lost response.
    got = call("POST", "/voters", R"({"gone":["127.9.9.9"],"come":[")" + ip_ + R"("]})");
    EXPECT_EQ(got.status, 200);
    EXPECT_EQ(got.body, R"({"epoch":1,"voters":[")" + ip_ + R"("]})");
    for (const char* odd : {"", "{}", "[]", R"({"gone":"x"})", R"({"come":["core-1"]})", R"({"other":[]})"})
        EXPECT_EQ(call("POST", "/voters", odd).status, 400) << odd;
    EXPECT_EQ(status()["voters_epoch"].GetUint64(), 1u);
}

// Four programs with disks and sockets on loopback; the first three bootstrap the system.
class Controls : public ::testing::Test {
  protected:
    struct One {
        std::unique_ptr<network::Turning> turning = std::make_unique<network::Turning>();
        std::unique_ptr<Control> control;
    };
    Controls() : all_(4) {
        for (size_t i = 0; i < 3; ++i) begin(i);
    }
    ~Controls() override {
        for (size_t i = 0; i < 4; ++i) end(i);
        std::filesystem::remove_all(folder_);
    }
    std::string ip(size_t i) const { return net_ + std::to_string(i + 1); }
    void begin(size_t i) {
        configuration::Settings s;
        s.ip = ip(i), s.nodeName = "core-" + s.ip, s.role = "core", s.zone = "z";
        s.bootstrap = i < 3, s.quorumMember = true;
        s.dataDir = (folder_ / std::to_string(i)).string();
        std::filesystem::create_directories(*s.dataDir);
        s.control = configuration::Address{s.ip, control_};
        s.portFirst = inner_, s.portLast = inner_ + 2;
        for (size_t seed = 0; seed < 3; ++seed) s.seeds.push_back({ip(seed), control_});
        all_[i] = One();
        all_[i].control = std::make_unique<Control>(all_[i].turning->loop, s, static_cast<uint32_t>(7 + i));
        std::string error;
        EXPECT_TRUE(all_[i].control->open(error)) << error;
        all_[i].turning->start();
    }
    void end(size_t i) {
        if (!all_[i].control) return;
        all_[i].turning->end();
        all_[i].control.reset();
    }
    // Repeats the call until the response has this status and contains these words.
    std::string call(size_t i, const std::string& line, const std::string& body, int wanted,
                     const std::string& words = "") {
        const Instant last = network::Loop::clock() + Span::seconds(20);
        int status = 0;
        std::string got;
        while ((status != wanted || got.find(words) == std::string::npos) && network::Loop::clock() < last)
            std::tie(status, got) = callAt(ip(i), control_, line, body);
        EXPECT_EQ(status, wanted) << line << " " << got;
        EXPECT_NE(got.find(words), std::string::npos) << line << " " << got;
        return got;
    }

    const std::string net_ = "127." + std::to_string(1 + getpid() / 254 % 250) + ".8.";
    const std::filesystem::path folder_ =
        std::filesystem::temp_directory_path() / ("controls-test-" + std::to_string(getpid()));
    const uint16_t control_ = freePort(net_ + "1"), inner_ = freePort(net_ + "1");
    std::vector<One> all_;
};

// Three cores agree on the voters, one of them is lost, and the fourth replaces it on an operator's request.
// With one more down, the acknowledged configuration is read and a new one is accepted.
TEST_F(Controls, ACoreThatIsGoneIsReplaced) {
    call(0, "PUT /configuration", configuration(7), 200);
    begin(3);
    end(2);
    const std::string change = R"({"gone":[")" + ip(2) + R"("],"come":[")" + ip(3) + R"("]})";
    const std::string voters = R"("voters":[")" + ip(0) + R"(",")" + ip(1) + R"(",")" + ip(3) + R"("]})";
    EXPECT_EQ(call(0, "POST /voters", change, 200), R"({"epoch":2,)" + voters);
    end(0);  // the new core counts: it and the second are a majority
    EXPECT_EQ(call(3, "GET /configuration", "", 200), configuration(7));
    call(1, "PUT /configuration", configuration(9), 200);
    // As long as the configuration of 17000 functions: it is accepted and reaches the other disks.
    const std::string large = configuration(11, std::string(6400000, ' '));
    call(1, "PUT /configuration", large, 200);
    EXPECT_EQ(call(3, "GET /configuration", "", 200), large);
    EXPECT_EQ(call(1, "POST /voters", change, 200),
              R"({"epoch":2,)" + voters);  // repeated: already in effect
}

// An agent whose link stays up is informed of a core that joins later; otherwise it would know no core once
// all those it knew were replaced.
TEST_F(Controls, ALinkedAgentIsToldOfACoreThatComesLater) {
    call(0, "PUT /configuration", configuration(7), 200);
    network::Turning turning;
    struct Told : network::LinkOwner {
        void linkUp(network::Link& link) override {
            link.say(network::Kind::hello, network::Hello{"edge", "10.0.0.9", "z", 1, 0});
        }
        void frame(network::Link&, network::Kind kind, std::string_view payload) override {
            if (kind != network::Kind::welcome) return;
            const auto welcome = network::unpacked<network::Welcome>(payload);
            if (!welcome) return;
            const std::lock_guard<std::mutex> guard(lock);
            cores = welcome->cores;
        }
        void linkDown(network::Link&, bool) override {}
        bool has(const std::string& ip) {
            const std::lock_guard<std::mutex> guard(lock);
            return std::find(cores.begin(), cores.end(), ip) != cores.end();
        }
        std::mutex lock;
        std::vector<std::string> cores;
    } told;
    auto link =
        network::Link::connect(turning.loop, told, *network::Address::parse(ip(0), inner_), Span::seconds(2));
    ASSERT_TRUE(link);
    turning.start();
    const auto wait = [&](const std::string& core) {
        const Instant until = network::Loop::clock() + Span::seconds(10);
        while (!told.has(core) && network::Loop::clock() < until)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        return told.has(core);
    };
    EXPECT_TRUE(wait(ip(1)));
    EXPECT_FALSE(told.has(ip(3)));
    begin(3);
    EXPECT_TRUE(wait(ip(3)));
    turning.end();
}

// An agent gets a delta from the text it has, and the full text if it has another one.
TEST_F(Controls, AnAgentGetsTheChangeFromWhatItHasAndElseTheWhole) {
    call(0, "PUT /configuration", configuration(7), 200);
    call(0, "PUT /configuration", configuration(8), 200);
    network::Turning turning;
    struct Asker : network::LinkOwner {
        void linkUp(network::Link& link) override {
            link.say(network::Kind::want,
                     network::Beat{7, configuration::digest(configuration(7)), 0, "", 0});
            link.say(network::Kind::want, network::Beat{7, 4711, 0, "", 0});
        }
        void frame(network::Link&, network::Kind kind, std::string_view payload) override {
            if (kind != network::Kind::config) return;
            if (auto config = network::unpacked<network::Config>(payload)) got.put(*config);
        }
        void linkDown(network::Link&, bool) override {}
        struct Got {
            void put(const network::Config& config) {
                const std::lock_guard<std::mutex> guard(lock);
                all.push_back(config);
            }
            std::vector<network::Config> taken() {
                const std::lock_guard<std::mutex> guard(lock);
                return all;
            }
            std::mutex lock;
            std::vector<network::Config> all;
        } got;
    } asker;
    auto link = network::Link::connect(turning.loop, asker, *network::Address::parse(ip(0), inner_),
                                       Span::seconds(2));
    ASSERT_TRUE(link);
    turning.start();
    const Instant until = network::Loop::clock() + Span::seconds(10);
    while (asker.got.taken().size() < 2 && network::Loop::clock() < until)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    turning.end();
    const auto configs = asker.got.taken();
    ASSERT_EQ(configs.size(), 2u);
    EXPECT_EQ(configs[0].packing, static_cast<uint8_t>(network::Packing::change));
    EXPECT_EQ(configs[1].packing, static_cast<uint8_t>(network::Packing::whole));
    configuration::HeldText had, other;
    had.adopt({7, configuration::digest(configuration(7))}, configuration(7));
    EXPECT_EQ(had.take(configs[0]), configuration::Taking::taken);
    EXPECT_EQ(other.take(configs[1]), configuration::Taking::taken);
    EXPECT_EQ(had.text(), configuration(8));
    EXPECT_EQ(other.text(), configuration(8));
}

// The same without an operator's request.
TEST_F(Controls, ACoreThatIsGoneIsReplacedWithoutAWord) {
    call(0, "PUT /configuration", configuration(7), 200);
    end(2);
    begin(3);
    call(3, "GET /status", "", 200, R"("counts":true)");
    call(1, "GET /status", "", 200, R"("voters_epoch":2)");
    // The lost core is no longer a voter; with all three voters whole, one may be lost.
    call(0, "GET /status", "", 200, R"("ip":")" + ip(3) + R"(","votes":true,"catching_up":false)");
    call(0, "GET /status", "", 200, R"("losses_left":1)");
    call(1, "GET /status", "", 200, R"("counts":true)");
    end(0);
    EXPECT_EQ(call(3, "GET /configuration", "", 200), configuration(7));
    call(1, "PUT /configuration", configuration(9), 200);
    call(1, "GET /status", "", 200, R"("in_contact":true)");
}

// Guards against a long answer that is cut off when its core leaves: the caller begins to read once the core
// has nothing else to do.
TEST_F(ControlTest, ALongAnswerIsSentWholeBeforeTheCoreEnds) {
    const std::string text = configuration(7, std::string(7u << 20, ' '));
    ASSERT_EQ(put(text).status, 200);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    timeval operationTimeout{5, 0};  // only a failing test waits this long
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &operationTimeout, sizeof operationTimeout);
    const int smallBuffer = 65536;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &smallBuffer, sizeof smallBuffer);
    sockaddr_in at{};
    at.sin_family = AF_INET, at.sin_port = htons(settings_.control->port);
    at.sin_addr.s_addr = htonl(network::Address::parse(ip_, 1)->ip);
    ASSERT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    const std::string line = "GET /configuration HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    ASSERT_EQ(send(fd, line.data(), line.size(), MSG_NOSIGNAL), static_cast<ssize_t>(line.size()));
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    leave();
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    std::string in;
    std::vector<char> some(65536);
    for (ssize_t n; (n = recv(fd, some.data(), some.size(), 0)) > 0;)
        in.append(some.data(), static_cast<size_t>(n));
    close(fd);
    network::HttpAnswer answer;
    ASSERT_EQ(network::takeAnswer(in, true, network::kMostFrame, answer), network::Reading::whole)
        << in.size() << " bytes came";
    EXPECT_TRUE(answer.body == text);
}

TEST_F(ControlTest, OtherCallsAreToldApart) {
    EXPECT_EQ(call("GET", "/voters").status, 405);
    EXPECT_EQ(call("POST", "/configuration").status, 405);
    EXPECT_EQ(call("PUT", "/status", "{}").status, 405);
    EXPECT_EQ(call("GET", "/other").status, 404);
}

}  // namespace
}  // namespace petrelpond::control_plane
