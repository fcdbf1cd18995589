// The agent beside the proxy: keeps the link to the cores, knows the other agents, and feeds the proxy over
// loopback. It decides nothing about requests.
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
    void applySettings(const configuration::Settings&);  // other seeds
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
        Instant lastSeenAt;  // heard while it was linked; at first: when it was told of
        Span connectPause = Span::millis(100);
        std::string zone;  // as it said; empty: not yet
        network::Beat lastHeartbeat;
    };
    struct OtherLink {  // another agent, or the proxy, at our listener; or a fetch of ours
        std::unique_ptr<network::Link> link;
        std::string fetchedFrom;  // its ip, where we fetch
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
    bool hasCoreInOwnZone() const;      // one is linked
    network::Beat heldVersion() const;  // what a change may be made from
    void acceptConfig(const network::Config&);
    void onDutyHolder(uint64_t term, const std::string& holder);
    void sendStandingToProxy();
    void sendToProxy(network::Kind, std::string_view payload);
    bool isNewer(int64_t version, uint64_t digest) const;
    bool hasCoreWithNewerConfig() const;  // of a newer configuration than ours

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
    bool needsFullConfig_ = false;  // a change could not be taken
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
