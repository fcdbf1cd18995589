// The agent beside the proxy: keeps the link to the cores, knows the other agents, and feeds the proxy over
// loopback. It decides nothing about requests.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "system/agent/asking.hpp"
#include "system/agent/known_core.hpp"
#include "system/configuration/held_text.hpp"
#include "system/configuration/settings.hpp"
#include "system/gossip/gossip_node.hpp"
#include "system/network/link.hpp"
#include "system/network/loop.hpp"

namespace petrelpond::agent {

class Agent final : public network::LinkOwner {
  public:
    Agent(network::Loop&, const configuration::Settings&, uint32_t chance,
          std::string loopback = "127.0.0.1");
    ~Agent() override;
    bool open(std::string& error);
    void newSettings(const configuration::Settings&);  // other seeds
    void leave();
    void logCounters() const;

    void linkUp(network::Link&) override;
    void frame(network::Link&, network::Kind, std::string_view payload) override;
    void linkDown(network::Link&, bool closed) override;

  private:
    struct CoreLink {
        std::string ip;
        std::unique_ptr<network::Link> link;
        Instant triedAt = Instant::longAgo(), heardAt = Instant::longAgo();
        Instant seenAt;  // heard while it was linked; at first: when it was told of
        Span pause = Span::millis(100);
        std::string zone;  // as it said; empty: not yet
        network::Beat last;
    };
    struct Guest {  // another agent, or the proxy, at our listener; or a fetch of ours
        std::unique_ptr<network::Link> link;
        std::string fetchFrom;  // its ip, where we fetch
    };
    void meetCore(const std::string& ip);
    CoreSeen seen(const CoreLink&) const;
    void forgetCore(const std::string& ip);
    void forgetSilentCores();
    void connectCores();
    void tick();
    void pump();
    void heardBeat(CoreLink&, const network::Beat&);
    void askConfig(CoreLink&, const network::Beat&);
    bool coreInOwnZone() const;  // one is linked
    network::Beat held() const;  // what a change may be made from
    void take(const network::Config&);
    void duty(uint64_t term, const std::string& holder);
    void tellProxy();
    void toProxy(network::Kind, std::string_view payload);
    bool newer(int64_t version, uint64_t digest) const;
    bool coreTells() const;  // of a newer configuration than ours

    network::Loop& loop_;
    configuration::Settings settings_;
    std::string loopbackIp_;
    uint64_t life_;
    gossip::GossipNode views_;
    Asking asking_;
    std::map<std::string, CoreLink> cores_;
    std::map<uint64_t, Guest> guests_;
    std::unique_ptr<network::Listener> own_, loopback_;
    std::unique_ptr<network::Datagrams> datagrams_;
    uint64_t nextTag_ = 1, proxy_ = 0;
    configuration::HeldText config_;
    bool wantsWhole_ = false;  // a change could not be taken
    std::string askedCore_;
    Instant askedAt_ = Instant::longAgo();
    uint64_t term_ = 0;
    std::string holder_;
    network::Standing told_;
    bool toldAny_ = false, leaving_ = false;
    Instant leavingSince_, logAt_;
    Instant beatAt_ = Instant::longAgo();
    uint64_t fetches_ = 0, configs_ = 0, coreBreaks_ = 0, refusedConfigs_ = 0;
};

}  // namespace petrelpond::agent
