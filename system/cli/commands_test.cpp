// The commands against cores that are played on loopback. Pauses are taken down instead of slept.
#include "system/cli/commands.hpp"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

#include "system/network/http_server.hpp"

namespace petrelpond::cli {
namespace {

uint16_t freePort() {
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET, at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    close(fd);
    return ntohs(at.sin_port);
}

struct Said {
    int status = 200;
    std::string body, fields;
    bool silent = false;
};

// A core that says what it was told to: for each method and path a row of answers, the last one for ever.
class PlayedCore final : public network::HttpHost, public network::Watcher {
  public:
    PlayedCore() : wake_(eventfd(0, EFD_NONBLOCK)) {
        std::string error;
        for (int i = 0; i < 50 && !listener_; ++i) {
            address_ = *network::Address::parse("127.0.0.1", freePort());
            listener_ = network::Listener::open(
                loop_, address_,
                [this](int fd, network::Address) {
                    uint64_t id = ++last_;
                    visits_[id] = std::make_unique<network::HttpVisit>(loop_, *this, fd, id);
                },
                error);
        }
        EXPECT_TRUE(listener_) << error;
        loop_.watch(wake_, EPOLLIN, this);
        thread_ = std::thread([this] { loop_.run(); });
    }
    ~PlayedCore() override {
        uint64_t one = 1;
        (void)!write(wake_, &one, sizeof one);
        thread_.join();
        visits_.clear();
        close(wake_);
    }
    void says(const std::string& call, std::vector<Said> row) {
        std::lock_guard lock(mutex_);
        rows_[call] = std::move(row), used_[call] = 0;
    }
    std::vector<std::string> heard(const std::string& call) {
        std::lock_guard lock(mutex_);
        return heard_[call];
    }
    std::string text() const { return address_.text(); }

    void asked(network::HttpVisit& visit, network::HttpRequest&& request) override {
        Said said{404, "", "", false};
        {
            std::lock_guard lock(mutex_);
            std::string call = std::string(request.method()) + " " + std::string(request.target());
            heard_[call].push_back(request.body);
            if (auto row = rows_.find(call); row != rows_.end())
                said = row->second[std::min(used_[call]++, row->second.size() - 1)];
        }
        if (!said.silent) visit.answer(said.status, said.fields, said.body);
    }
    void left(network::HttpVisit& visit) override {
        auto found = visits_.find(visit.id());
        if (found == visits_.end()) return;
        loop_.bury(std::move(found->second));
        visits_.erase(found);
    }
    const network::HttpLimits& limits() const override { return limits_; }
    void woke(uint32_t) override { loop_.stop(); }

  private:
    network::Loop loop_;
    network::HttpLimits limits_;
    int wake_;
    network::Address address_;
    uint64_t last_ = 0;
    std::map<uint64_t, std::unique_ptr<network::HttpVisit>> visits_;
    std::unique_ptr<network::Listener> listener_;
    std::mutex mutex_;
    std::map<std::string, std::vector<Said>> rows_;
    std::map<std::string, size_t> used_;
    std::map<std::string, std::vector<std::string>> heard_;
    std::thread thread_;
};

std::string configuration(int version, const std::string& more = "") {
    return R"({"config_version":)" + std::to_string(version) +
           R"(,"route_table":[{"name":"r","host_name":"h.example","path_prefix":"/r/",)"
           R"("route_type":"idempotent","timeout_ms":100,"service":"a"}],)"
           R"("service_table":[{"name":"a","max_connections":5}]})" +
           more;
}

class Commands : public ::testing::Test {
  protected:
    Commands() : file_(::testing::TempDir() + "petrelctl-" + std::to_string(getpid()) + ".json") {}
    ~Commands() override { std::remove(file_.c_str()); }
    void write(const std::string& text) { std::ofstream(file_, std::ios::binary) << text; }
    int run(std::vector<std::string> words, const char* control = nullptr) {
        out_.str(""), err_.str(""), pauses_.clear();
        Instant now;
        Surroundings around{out_, err_, [&] { return now; },
                            [&](Span pause) {
                                pauses_.push_back(pause);
                                now = now + pause;
                            },
                            silence_};
        std::vector<const char*> argv{"petrelctl"};
        for (const auto& word : words) argv.push_back(word.c_str());
        argv.push_back(nullptr);
        int code = 0;
        auto orders = readOrders(static_cast<int>(argv.size()) - 1, argv.data(), control, around, code);
        return orders ? cli::run(*orders, around) : code;
    }
    std::string out() const { return out_.str(); }
    std::string err() const { return err_.str(); }
    std::string file_;
    std::ostringstream out_, err_;
    std::vector<Span> pauses_;
    Span silence_ = Span::seconds(5);  // only a failing test waits for so long
};

TEST_F(Commands, WordsThatAreNotUnderstoodAreTwo) {
    const std::vector<std::vector<std::string>> all = {{},
                                                       {"sing"},
                                                       {"check"},
                                                       {"check", "a", "b"},
                                                       {"show"},
                                                       {"status", "x"},
                                                       {"--no-such"},
                                                       {"wait", "x"},
                                                       {"wait", "-1"},
                                                       {"replace", "10.0.0.1"},
                                                       {"replace", "10.0.0.1", "core-4"},
                                                       {"replace", "10.0.0.1", "10.0.0.1"},
                                                       {"show", "--control", "nowhere"},
                                                       {"show", "--control", "10.0.0.1:0"},
                                                       {"show", "--raw", "--json"},
                                                       {"status", "--raw"},
                                                       {"show", "--timeout", "x"},
                                                       {"show", "--timeout", "nan"},
                                                       {"show", "--settings", "/no/such/file"}};
    for (const auto& words : all) {
        EXPECT_EQ(run(words), 2) << (words.empty() ? "" : words[0]);
        EXPECT_TRUE(err().starts_with("petrelctl: ")) << err();
        EXPECT_TRUE(out().empty());
    }
    EXPECT_EQ(run({"show"}, "junk"), 2);
    EXPECT_NE(err().find("PETRELPOND_CONTROL"), std::string::npos);
}

TEST_F(Commands, CheckListsEveryMistake) {
    write(R"({"config_version":1,"route_table":[{"name":"r","host_name":"h","path_prefix":"/r/",)"
          R"("route_type":"idempotent","timeout_ms":0,"service":"x"}],"service_table":[]})");
    EXPECT_EQ(run({"check", file_}), 1);
    EXPECT_EQ(out(), file_ + ": /route_table/0/timeout_ms: must be above 0\n" + file_ +
                         ": /route_table/0/service: names the unknown service x\n");
    EXPECT_EQ(run({"check", file_, "--json"}), 1);
    EXPECT_NE(out().find(R"({"path":"/route_table/0/timeout_ms","what":"must be above 0"})"),
              std::string::npos);
    write(configuration(3));
    EXPECT_EQ(run({"check", file_}), 0);
    EXPECT_EQ(out(), file_ + ": version 3, 1 routes, 1 services: no mistakes\n");
    EXPECT_EQ(run({"check", file_ + ".none"}), 1);
}

TEST_F(Commands, PutMovesOnFollowsAndSaysWhoAcknowledged) {
    PlayedCore one, two, three;
    write(configuration(7));
    one.says("GET /configuration", {{200, configuration(5), "", false}});
    one.says("PUT /configuration", {{503, "", "", false}, {429, "", "", false}});
    two.says("PUT /configuration", {{307, "", "Location: http://" + three.text() + "/elsewhere\r\n", false}});
    three.says("PUT /elsewhere", {{200, R"({"config_version":7})", "", false}});
    EXPECT_EQ(run({"put", file_, "--control", one.text() + "," + two.text()}), 0) << err();
    EXPECT_EQ(out(), three.text() + " acknowledged version 7\n");
    EXPECT_EQ(err(), "petrelctl: put: " + one.text() + ": 503\npetrelctl: put: " + two.text() + ": 307\n");
    EXPECT_EQ(pauses_.size(), 1u);
    EXPECT_EQ(three.heard("PUT /elsewhere"), std::vector<std::string>{configuration(7)});  // byte for byte
}

TEST_F(Commands, PutMovesOnFromSilenceAndFromTheDead) {
    PlayedCore one, two;
    write(configuration(7));
    silence_ = Span::millis(60);
    one.says("PUT /configuration", {{200, "", "", true}});
    two.says("PUT /configuration", {{200, R"({"config_version":9})", "", false}});
    std::string dead = network::Address::parse("127.0.0.1", freePort())->text();
    EXPECT_EQ(run({"put", file_, "--control", dead + "," + one.text() + "," + two.text(), "--json"}), 0)
        << err();
    EXPECT_NE(out().find(R"("acknowledged":true,"sent":7,"core":")" + two.text() + R"(","in_force":9)"),
              std::string::npos)
        << out();
    EXPECT_EQ(pauses_.size() >= 2, true);
}

TEST_F(Commands, ReplaceSaysWhoCountsNowOrWhyNot) {
    PlayedCore one, two;
    const std::string both = one.text() + "," + two.text();
    one.says("POST /voters", {{503, "", "", false}});  // not among the voters itself
    two.says("POST /voters", {{200, R"({"epoch":2,"voters":["10.0.0.1","10.0.0.9"]})", "", false}});
    EXPECT_EQ(run({"replace", "10.0.0.3", "10.0.0.9", "--control", both}), 0) << err();
    EXPECT_EQ(out(), "the voters are 10.0.0.1 10.0.0.9; 10.0.0.3 may be switched off\n");
    EXPECT_EQ(two.heard("POST /voters"),
              std::vector<std::string>{R"({"gone":["10.0.0.3"],"come":["10.0.0.9"]})"});
    two.says("POST /voters", {{409, R"({"cause":"10.0.0.9 is not heard of"})", "", false}});
    EXPECT_EQ(run({"replace", "10.0.0.3", "10.0.0.9", "--control", two.text()}), 1);
    EXPECT_EQ(err(), "petrelctl: replace: refused by " + two.text() + ": 409 10.0.0.9 is not heard of\n");
}

TEST_F(Commands, PutEndsAtOnceWhereItIsRefused) {
    PlayedCore one, two;
    write(configuration(7));
    for (int status : {400, 409, 412, 413, 422}) {
        one.says("PUT /configuration", {{status, R"({"cause":"because"})", "", false}});
        EXPECT_EQ(run({"put", file_, "--control", one.text() + "," + two.text()}), 1);
        EXPECT_NE(err().find("refused by " + one.text() + ": " + std::to_string(status) + " because"),
                  std::string::npos);
    }
    EXPECT_TRUE(two.heard("PUT /configuration").empty());
}

TEST_F(Commands, PutGivesUpWithinItsTimeAndSaysThatItMayHold) {
    PlayedCore one;
    write(configuration(7));
    one.says("PUT /configuration", {{503, "", "", false}});
    EXPECT_EQ(run({"put", file_, "--control", one.text(), "--timeout", "10"}), 1);
    EXPECT_NE(err().find("may take hold all the same"), std::string::npos);
    EXPECT_GE(one.heard("PUT /configuration").size(), 4u);
    EXPECT_LE(one.heard("PUT /configuration").size(), 12u);  // pauses grow
}

TEST_F(Commands, PutWarnsOfVersionsThatAlterNothing) {
    PlayedCore one;
    one.says("GET /configuration", {{200, configuration(7), "", false}});
    one.says("PUT /configuration", {{200, R"({"config_version":7})", "", false}});
    write(configuration(6));
    EXPECT_EQ(run({"put", file_, "--control", one.text()}), 0);
    EXPECT_NE(err().find("version 6 is not higher than 7"), std::string::npos);
    EXPECT_EQ(out(), one.text() + " acknowledged version 6; version 7 is newer and stays in force\n");
    write(configuration(7, "\n"));
    EXPECT_EQ(run({"put", file_, "--control", one.text()}), 0);
    EXPECT_NE(err().find("version 7 is in force with another text"), std::string::npos);
    write(configuration(7));
    EXPECT_EQ(run({"put", file_, "--control", one.text()}), 0);
    EXPECT_EQ(err(), "petrelctl: warning: version 7 is in force already, with this text\n");
    write(configuration(8));
    EXPECT_EQ(run({"put", file_, "--control", one.text()}), 0);
    EXPECT_EQ(err(), "");
    write("{}");
    size_t before = one.heard("PUT /configuration").size();
    EXPECT_EQ(run({"put", file_, "--control", one.text()}), 1);
    EXPECT_EQ(one.heard("PUT /configuration").size(), before);  // what is wrong is not sent
}

TEST_F(Commands, ShowAndDiff) {
    PlayedCore one;
    EXPECT_EQ(run({"show"}, one.text().c_str()), 1);  // 404
    EXPECT_NE(err().find("none yet"), std::string::npos);
    write(configuration(8));
    EXPECT_EQ(run({"diff", file_}, one.text().c_str()), 0);
    EXPECT_NE(out().find("version none -> 8\n"), std::string::npos);
    one.says("GET /configuration", {{200, configuration(7, " \n"), "", false}});
    EXPECT_EQ(run({"show", "--raw"}, one.text().c_str()), 0);
    EXPECT_EQ(out(), configuration(7, " \n"));
    EXPECT_EQ(run({"show"}, one.text().c_str()), 0);
    EXPECT_NE(out().find("route r: h.example/r/ -> a"), std::string::npos);
    EXPECT_EQ(run({"diff", file_}, one.text().c_str()), 0);
    EXPECT_EQ(out(), "version 7 -> 8\n0 added, 0 removed, 0 changed\n");
    one.says("GET /configuration", {{200, "junk", "", false}});
    EXPECT_EQ(run({"show"}, one.text().c_str()), 1);
}

std::string statusOf(const std::string& ip, const std::string& seeds, int64_t agentVersion,
                     bool agents = true) {
    return R"({"name":"n-)" + ip + R"(","ip":")" + ip +
           R"(","configuration":{"on_majority":7,"held":7},"disk":{"counts":true,"is_voter":true},)"
           R"("voters":["127.0.9.1","127.0.9.2","127.0.9.3"],)"
           R"("seeds":[)" +
           seeds + R"(],"duty":{"holder":"127.0.9.1","term":2,"held_here":false},"agents_linked":)" +
           (agents ? "1" : "0") + R"(,"agents":[)" +
           (agents ? R"({"name":"e","ip":"10.0.1.1","heard_s_ago":0.1,"version":)" +
                         std::to_string(agentVersion) + "}"
                   : "") +
           "]}";
}

TEST_F(Commands, StatusAsksThoseItIsToldOfAndWorksWithSomeDown) {
    PlayedCore one, two;
    std::string dead = network::Address::parse("127.0.0.3", freePort())->text();
    one.says("GET /status", {{200, statusOf("127.0.9.1", "\"127.0.0.2:1\"", 7), "", false}});
    two.says("GET /status", {{200, statusOf("127.0.9.2", "", 7), "", false}});
    // What one tells of is dead.
    silence_ = Span::millis(200);
    EXPECT_EQ(run({"status", "--control", one.text() + "," + two.text() + "," + dead}), 0);
    EXPECT_NE(out().find("2 of 3 answered and count, a majority"), std::string::npos) << out();
    EXPECT_NE(out().find("UNKNOWN 127.0.0.2:1: "), std::string::npos) << out();  // told by one
    EXPECT_NE(out().find("UNKNOWN " + dead + ": "), std::string::npos) << out();
    EXPECT_NE(out().find("one was guessed"), std::string::npos) << out();
    EXPECT_EQ(run({"status", "--control", dead}), 1);
    one.says("GET /status", {{200, "junk", "", false}});
    EXPECT_EQ(run({"status", "--control", one.text()}), 1);
    EXPECT_NE(out().find("status can't be read"), std::string::npos);
}

TEST_F(Commands, WaitsUntilAllLinkedAgentsHaveIt) {
    PlayedCore one;
    const std::string alone = R"("voters":[])";
    auto with = [&](int64_t version, bool agents = true) {
        std::string s = statusOf("127.0.9.1", "", version, agents);
        s.replace(s.find(R"("voters":[)"), s.find(']', s.find(R"("voters":[)")) + 1 - s.find(R"("voters":[)"),
                  alone);
        return Said{200, s, "", false};
    };
    one.says("GET /status", {with(0, false), with(5), with(7), with(8)});
    EXPECT_EQ(run({"wait", "8"}, one.text().c_str()), 0) << err();
    EXPECT_EQ(out(), "version 8: 1 of 1 linked agents have it\n");
    EXPECT_EQ(pauses_.size(), 3u);
    one.says("GET /status", {with(7)});
    EXPECT_EQ(run({"wait", "8", "--timeout", "3"}, one.text().c_str()), 1);
    EXPECT_EQ(out(), "version 8: 0 of 1 linked agents have it\n  without it: e (7)\n");
    Said fewer = with(8);  // it has two agents and lists one
    fewer.body.replace(fewer.body.find(R"("agents_linked":1)"), 17, R"("agents_linked":2)");
    one.says("GET /status", {fewer});
    EXPECT_EQ(run({"wait", "8", "--timeout", "1"}, one.text().c_str()), 1);
    EXPECT_NE(err().find("more agents than it lists"), std::string::npos);
    one.says("GET /status", {with(0, false)});
    EXPECT_EQ(run({"wait", "8", "--timeout", "1", "--json"}, one.text().c_str()), 1);
    EXPECT_NE(err().find("no agent is linked"), std::string::npos);
    EXPECT_NE(out().find(R"("reached":false,"agents":0)"), std::string::npos);
}

}  // namespace
}  // namespace petrelpond::cli
