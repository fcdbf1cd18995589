// The control program on a core machine: replicates the configuration with the other cores, distributes it to
// the agents and, while it holds the startup duty, plans instances and slots for the whole fleet.
#pragma once

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>

#include "system/configuration/configuration.hpp"
#include "system/configuration/held_text.hpp"
#include "system/configuration/settings.hpp"
#include "system/consensus/core.hpp"
#include "system/consensus/state_store.hpp"
#include "system/control_plane/report_backlog.hpp"
#include "system/control_plane/scaler_host.hpp"
#include "system/network/http_server.hpp"
#include "system/network/link.hpp"
#include "system/network/loop.hpp"

namespace petrelpond::control_plane {

// Decoded operator requests, queued and run at the end of the loop's turn.
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
struct ChangeVoters {  // changes who counts towards a majority
    uint64_t visit;
    std::vector<std::string> removed, added;  // ips
};
struct InvalidRequest {
    uint64_t visit;
    int status;
};
using Command = std::variant<PutConfiguration, GetConfiguration, GetStatus, ChangeVoters, InvalidRequest>;
Command decodeCommand(uint64_t visit, network::HttpRequest&&);

class Control final : public network::HttpHost, public network::LinkOwner, public network::Watcher {
  public:
    // defect: a deliberate fault, for fault-injection builds only.
    Control(network::Loop&, const configuration::Settings&, uint32_t randomSeed,
            consensus::Defect defect = consensus::Defect::none);
    ~Control() override;
    bool open(std::string& error);
    void applySettings(const configuration::Settings&);
    void leave();
    void logCounters() const;

    void asked(network::HttpVisit&, network::HttpRequest&&) override;
    void left(network::HttpVisit&) override;
    const network::HttpLimits& limits() const override { return limits_; }
    void linkUp(network::Link&) override;
    void frame(network::Link&, network::Kind, std::string_view payload) override;
    void linkDown(network::Link&, bool closed) override;
    void woke(uint32_t events) override;  // the keeper has finished saves

  private:
    struct InboundLink {  // link accepted from an agent or another core
        std::unique_ptr<network::Link> link;
        std::string coreIp;
        network::Hello hello;
        bool isAgent = false;
        Instant lastHeardAt;
        int64_t configVersion = 0;  // configuration version that the agent reported
    };
    struct OutboundLink {  // link opened to another core
        std::unique_ptr<network::Link> link;
        Instant connectTriedAt = Instant::longAgo();
        std::deque<std::string> unsentMessages;
    };
    void run(const PutConfiguration&);
    void run(const GetConfiguration&);
    void run(const GetStatus&);
    void run(const ChangeVoters&);
    void run(const InvalidRequest&);
    std::string statusJson() const;  // JSON
    void writeMembers(rapidjson::Writer<rapidjson::StringBuffer>&, Instant now) const;
    void runCommands();
    void schedulePump();
    void pump();
    void armTimer();
    void sendToCore(const std::string& ip, const consensus::Message&);
    void answerNoMajority(network::HttpVisit&, const char* what);
    void onAnswer(const consensus::OperationResult&);
    void onValue(const std::shared_ptr<const consensus::Value>&);
    void onDuty(const consensus::Lease&);
    void scheduleReports(Instant at);
    void processReports();
    void sendHeartbeats();
    void sendHeartbeat(InboundLink&);
    void scheduleHeartbeats();
    void sendWelcome(InboundLink&);
    void announceCoreChanges();
    std::vector<std::string> knownCores() const;  // ips, including this core's
    void sendConfig(network::Link&, configuration::TextId base);
    void checkContact();
    void checkRebuilding();
    void checkLostVoters();
    void housekeep();
    void stopWhenDone();

    network::Loop& loop_;
    configuration::Settings settings_;
    network::HttpLimits limits_;
    int keeperFd_ = -1;
    std::unique_ptr<consensus::StateStore> keeper_;
    std::unique_ptr<consensus::Core> core_;
    std::unique_ptr<ScalerHost> scalerHost_;
    std::unique_ptr<network::Listener> controlListener_, coreListener_;
    std::unordered_map<uint64_t, std::unique_ptr<network::HttpVisit>> visits_;
    std::map<uint64_t, InboundLink> inboundLinks_;
    std::map<std::string, uint64_t> agentByName_;
    std::map<std::string, OutboundLink> outboundLinks_;
    std::vector<std::string> announcedCores_;  // core list last sent to linked agents
    std::deque<Command> commands_;
    ReportBacklog reportBacklog_;
    bool isReportTurnScheduled_ = false;
    struct PendingOperation {
        uint64_t visit;
        bool put;
        int64_t version;
        bool voters = false;
    };
    std::map<uint64_t, PendingOperation> pendingOperations_;
    std::shared_ptr<const consensus::Value> committedValue_;  // newest value known to be on a majority
    std::shared_ptr<const configuration::Configuration> configuration_;  // parsed from committedValue_
    configuration::HeldText configTexts_;  // text of committedValue_ and of earlier ones
    consensus::Lease duty_;
    uint64_t nextVisit_ = 1, nextTag_ = 1, nextOperation_ = 1;
    bool isPumpScheduled_ = false, isHeartbeatScheduled_ = false, isLeaving_ = false, lastSaveFailed_ = false,
         wasInContact_ = false, wasRebuilding_ = false;
    Instant leavingSince_, lastHeartbeatAt_, nextLogAt_;
    Instant majorityLostSince_ = Instant::never();
    bool isMajorityLossLogged_ = false;
    network::TimerId timer_ = 0;
    Instant armedFor_ = Instant::never();
    uint64_t puts_ = 0, acknowledged_ = 0, invalid_ = 0, conflicts_ = 0, noMajority_ = 0, gets_ = 0,
             agentLinksLost_ = 0, saves_ = 0, saveFailures_ = 0;
    uint32_t randomSeed_;
    consensus::Defect defect_;
};

}  // namespace petrelpond::control_plane
