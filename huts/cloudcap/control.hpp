// The control program on a core machine: takes and keeps the configuration with its fellows, brings it to the
// agents, and, while it holds the startup duty, plans instances and slots for the whole fleet.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>

#include "huts/cloudcap/backlog.hpp"
#include "huts/cloudcap/warden.hpp"
#include "huts/eagle/http_server.hpp"
#include "huts/eagle/link.hpp"
#include "huts/eagle/loop.hpp"
#include "huts/muir/core.hpp"
#include "huts/muir/keeper.hpp"
#include "huts/tilly/configuration.hpp"
#include "huts/tilly/settings.hpp"

namespace petrelpond::cloudcap {

// An operator's call, decoded; run from a queue at the end of the round.
struct PutConfiguration {
    uint64_t visit;
    std::string text;
};
struct GetConfiguration {
    uint64_t visit;
};
struct GetStatus {
    uint64_t visit;
};
struct ChangeRoll {  // who counts towards a majority
    uint64_t visit;
    std::vector<std::string> gone, come;  // ips
};
struct Unknown {
    uint64_t visit;
    int status;
};
using Command = std::variant<PutConfiguration, GetConfiguration, GetStatus, ChangeRoll, Unknown>;
Command decode(uint64_t visit, eagle::HttpRequest&&);

class Control final : public eagle::HttpHost, public eagle::LinkOwner, public eagle::Watcher {
  public:
    // twin: broken on purpose, for the range alone.
    Control(eagle::Loop&, const tilly::Settings&, uint32_t chance, muir::Twin twin = muir::Twin::none);
    ~Control() override;
    bool open(std::string& error);
    void newSettings(const tilly::Settings&);
    void leave();
    void logCounters() const;

    void asked(eagle::HttpVisit&, eagle::HttpRequest&&) override;
    void left(eagle::HttpVisit&) override;
    const eagle::HttpLimits& limits() const override { return limits_; }
    void linkUp(eagle::Link&) override;
    void frame(eagle::Link&, eagle::Kind, std::string_view payload) override;
    void linkDown(eagle::Link&, bool closed) override;
    void woke(uint32_t events) override;  // the keeper has results

  private:
    struct Guest {  // an agent's link, or a fellow core's to us
        std::unique_ptr<eagle::Link> link;
        std::string coreIp;
        eagle::Hello hello;
        bool agent = false;
        Instant heardAt;
        int64_t version = 0;  // of the configuration that the agent said it has
    };
    struct Peer {  // our link to a fellow core
        std::unique_ptr<eagle::Link> link;
        Instant triedAt = Instant::longAgo();
        std::deque<std::string> waiting;
    };
    void run(const PutConfiguration&);
    void run(const GetConfiguration&);
    void run(const GetStatus&);
    void run(const ChangeRoll&);
    void run(const Unknown&);
    std::string status() const;  // JSON
    void runCommands();
    void pumpSoon();
    void pump();
    void arm();
    void toPeer(const std::string& ip, const muir::Message&);
    void answered(const muir::Answer&);
    void news(const std::shared_ptr<const muir::Value>&);
    void duty(const muir::Duty&);
    void reportsSoon(Instant at);
    void takeReports();
    void beatAgents();
    void beatAgent(Guest&);
    void beatSoon();
    void welcome(Guest&);
    void sendConfig(eagle::Link&);
    void housekeep();
    void mayEnd();
    const eagle::Config* deflated();

    eagle::Loop& loop_;
    tilly::Settings settings_;
    eagle::HttpLimits limits_;
    int keeperFd_ = -1;
    std::unique_ptr<muir::Keeper> keeper_;
    std::unique_ptr<muir::Core> core_;
    std::unique_ptr<Warden> warden_;
    std::unique_ptr<eagle::Listener> control_, inner_;
    std::unordered_map<uint64_t, std::unique_ptr<eagle::HttpVisit>> visits_;
    std::map<uint64_t, Guest> guests_;
    std::map<std::string, uint64_t> agentByName_;
    std::map<std::string, Peer> peers_;
    std::deque<Command> commands_;
    Backlog reports_;
    bool reporting_ = false;
    struct Ticket {
        uint64_t visit;
        bool put;
        int64_t version;
        std::shared_ptr<const muir::Value> toWrite;  // of a put whose majority is still being read
        bool roll = false;
    };
    std::map<uint64_t, Ticket> tickets_;
    std::shared_ptr<const muir::Value> value_;  // the newest that is known to lie on a majority
    std::shared_ptr<const tilly::Configuration> configuration_;  // of value_
    std::unique_ptr<eagle::Config> deflated_;
    muir::Duty duty_;
    uint64_t nextVisit_ = 1, nextTag_ = 1, nextTicket_ = 1;
    bool pumping_ = false, beating_ = false, leaving_ = false, saveFailedLast_ = false;
    Instant leavingSince_, beatAt_, logAt_;
    eagle::TimerId timer_ = 0;
    Instant armedFor_ = Instant::never();
    uint64_t puts_ = 0, acked_ = 0, invalid_ = 0, noMajority_ = 0, gets_ = 0, agentBreaks_ = 0, saves_ = 0,
             saveFailures_ = 0;
    uint32_t chance_;
    muir::Twin twin_;
};

}  // namespace petrelpond::cloudcap
