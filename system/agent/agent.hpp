// The agent next to a proxy: keeps links to the cores, tracks the other agents by gossip, and supplies the
// proxy over loopback. It makes no decisions about requests.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "system/agent/config_request_policy.hpp"
#include "system/agent/known_core.hpp"
#include "system/configuration/held_text.hpp"
#include "system/configuration/settings.hpp"
#include "system/gossip/gossip_node.hpp"
#include "system/network/link.hpp"
#include "system/network/loop.hpp"

namespace petrelpond::agent {

class Agent final : public network::LinkOwner {
  public:
    Agent(network::Loop&, const configuration::Settings&, uint32_t randomSeed,
          std::string loopback = "127.0.0.1");
    ~Agent() override;
    bool open(std::string& error);
    void applySettings(const configuration::Settings&);  // updates the seeds
    void leave();
    void logCounters() const;

    void linkUp(network::Link&) override;
    void frame(network::Link&, network::Kind, std::string_view payload) override;
    void linkDown(network::Link&, bool closed) override;

  private:
    struct CoreLink {
        std::string ip;
        std::unique_ptr<network::Link> link;
        Instant connectTriedAt = Instant::longAgo(), lastHeardAt = Instant::longAgo();
        Instant lastSeenAt;  // last heard while linked; initially when it was announced
        Span connectPause = Span::millis(100);
        std::string zone;  // as announced by the core; empty until then
        network::Beat lastHeartbeat;
    };
    struct OtherLink {  // accepted from another agent or the proxy, or opened for a fetch
        std::unique_ptr<network::Link> link;
        std::string fetchedFrom;  // ip of the other end of a fetch; otherwise empty
    };
    void addCore(const std::string& ip);
    CoreContact contactOf(const CoreLink&) const;
    void removeCore(const std::string& ip);
    void removeSilentCores();
    void connectCores();
    void tick();
    void pump();
    void onHeartbeat(CoreLink&, const network::Beat&);
    void requestConfig(CoreLink&, const network::Beat&);
    bool hasCoreInOwnZone() const;      // a linked one
    network::Beat heldVersion() const;  // the base for a delta; empty if the full text is needed
    void acceptConfig(const network::Config&);
    void onDutyHolder(uint64_t term, const std::string& holder);
    void sendStandingToProxy();
    void sendToProxy(network::Kind, std::string_view payload);
    bool isNewer(int64_t version, uint64_t digest) const;
    bool hasCoreWithNewerConfig() const;  // newer than heldConfig_

    network::Loop& loop_;
    configuration::Settings settings_;
    std::string loopbackIp_;
    uint64_t life_;
    gossip::GossipNode views_;
    ConfigRequestPolicy requestPolicy_;
    std::map<std::string, CoreLink> cores_;
    std::map<uint64_t, OtherLink> otherLinks_;
    std::unique_ptr<network::Listener> ownListener_, loopbackListener_;
    std::unique_ptr<network::Datagrams> datagrams_;
    uint64_t nextTag_ = 1, proxyTag_ = 0;
    configuration::HeldText heldConfig_;
    bool needsFullConfig_ = false;  // a delta could not be applied
    std::string requestedCore_;
    Instant requestedAt_ = Instant::longAgo();
    uint64_t term_ = 0;
    std::string holder_;
    network::Standing lastStanding_;
    bool hasSentStanding_ = false, isLeaving_ = false;
    Instant leavingSince_, nextLogAt_;
    Instant lastHeartbeatAt_ = Instant::longAgo();
    uint64_t fetches_ = 0, configsAccepted_ = 0, coreLinksLost_ = 0, configsRejected_ = 0;
};

}  // namespace petrelpond::agent
