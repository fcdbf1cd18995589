// One scenario's play from within: what its files share. Partners, the directory and the platform, the senders and
// the programs have a file each; stage.cpp plays.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "fleet/crew_links.hpp"
#include "fleet/net.hpp"
#include "fleet/stage.hpp"
#include "fleet/world.hpp"

namespace petrelpond::fleet {

std::string idFor(RequestNo no);
std::optional<RequestNo> requestFrom(std::string_view id);
std::string bodyFor(RequestNo no, int size);
// Each sender meets each endpoint at an address of its own, so that the stand-ins know who calls whom.
uint32_t hostOf(int sender, uint32_t endpoint);

class Stage {
  public:
    Stage(const Scenario& scenario, uint64_t seed, const StageOptions& options)
        : scenario_(scenario), options_(options), world_(scenario, seed), judge_(scenario),
          programs_(scenario, plan(scenario, seed)), chance_(static_cast<uint32_t>(seed * 7 + 1)),
          seed_(seed) {}
    ~Stage() {
        for (auto& s : senders_) {
            for (Bound& l : s.listeners) closeListener(l);
            closeListener(s.shared), closeListener(s.directory);
        }
    }
    RunResult play();

  private:
    struct CallOut {
        Judge::CallNo no = 0;
        std::vector<RequestNo> texts;
        Loop::Timer timer;
        bool open = true, timed = false;
    };
    struct Line {  // a sender's connection to an endpoint
        std::shared_ptr<Conn> conn;
        int sender = 0;
        uint32_t endpoint = 0;
        int generation = 0;
        std::shared_ptr<CallOut> call;
        Loop::Timer idle;
        bool idleSet = false;
    };
    struct Sender {
        std::unique_ptr<SenderProcess> process;
        Bound shared, directory;
        std::vector<Bound> listeners;  // by endpoint, where each has its own
        std::string listen;
        std::vector<std::shared_ptr<Conn>> idle;  // of the programs, to it
        std::vector<std::shared_ptr<Conn>> held;  // that asked once
        std::list<std::shared_ptr<Conn>> agents;  // its connections to the directory and the platform
        std::unordered_map<Conn*, std::pair<int64_t, Loop::Timer>> watches;
        int64_t heard = 0;  // revision of the list last written to it
        bool up = false, wanted = true;
        bool silent = false, old = false;  // its directory
        Instant askedAt;
    };
    struct Entry {  // of the directory's log
        int64_t revision = 0;
        uint32_t endpoint = 0;
        int generation = 0;
        ListState state = ListState::active;
    };
    struct Asked {  // a program's request under way
        size_t text = 0;
        RequestNo request = 0;
        int sender = 0;
        Loop::Timer timer;
        bool answered = false, once = false;  // once: its connection carries nothing else
        Instant sentAt;
    };

    // partners
    void listenFor(int sender);
    void openListener(int sender, uint32_t endpoint, int port);
    void closeListener(Bound& bound);
    void acceptCall(int sender, int listener, std::optional<uint32_t> endpoint);
    void lineIsIdle(const std::shared_ptr<Line>& line);
    void callCame(const std::shared_ptr<Line>& line, Message&& message);
    void endCall(const std::shared_ptr<Line>& line, std::shared_ptr<CallOut> call, int status, bool neverRan,
                 Span wait);
    void lineClosed(const std::shared_ptr<Line>& line);
    void happenings();
    void standing(uint32_t endpoint, Standing standing);

    // directory and platform
    std::string memberOf(int sender, const Entry& entry) const;
    std::string listSince(int sender, int64_t after, bool& news);
    void acceptAgent(int sender);
    void agentAsked(int sender, const std::shared_ptr<Conn>& conn, const Message& message);
    void answerWatch(int sender, Conn* conn, int64_t after);
    void listChanged();

    // senders
    void startSender(int sender);
    void pollUp(int sender);
    void senderFault(const Happening& h);

    // programs
    void handIn(size_t text);
    void handTo(size_t text, int sender);
    void handOn(size_t text, int sender, std::shared_ptr<Conn> conn, bool once);
    std::shared_ptr<Conn> connTo(int sender, bool fresh);
    void answered(const std::shared_ptr<Asked>& asked, const std::shared_ptr<Conn>& conn,
                  const Message& message);
    void unheard(const std::shared_ptr<Asked>& asked);
    void again(size_t text, std::optional<Instant> at) {
        if (at) loop_.at(*at, [this, text] { handIn(text); });
    }
    void textEnded(RequestNo request);

    void everySecond();
    void keepToShares();
    void lookAtCrew(size_t second);
    void ping();
    RunResult sum();

    const Scenario& scenario_;
    const StageOptions& options_;
    Loop loop_;
    World world_;
    Judge judge_;
    Programs programs_;
    std::mt19937 chance_;
    uint64_t seed_;
    std::vector<Sender> senders_;
    std::vector<std::unordered_set<std::shared_ptr<Line>>> lines_;  // by endpoint
    std::unordered_map<uint32_t, std::vector<int>> plugs_;          // of vanished endpoints
    std::vector<Entry> log_;
    int64_t revision_ = 1;
    bool ownListeners_ = true, begun_ = false;
    std::vector<size_t> textOf_;   // by request
    std::vector<Instant> sentAt_;  // by request, where samples are taken
    std::unique_ptr<CrewLinks> crew_;  // where the senders have links
    std::shared_ptr<Conn> pinging_;
    Instant pingedAt_;
    std::vector<SecondOf> series_;
    Latencies entry_;
    long tippedPlaces_ = 0, deadCalls_ = 0, deadConnections_ = 0;
    int failedStarts_ = 0;
    std::string trouble_;
    size_t nextText_ = 0;
};

}  // namespace petrelpond::fleet
