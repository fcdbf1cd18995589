// The agent beside the proxy: keeps the link to the cores, knows the other agents, and feeds the proxy over
// loopback. It decides nothing about requests.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "huts/eagle/link.hpp"
#include "huts/eagle/loop.hpp"
#include "huts/silcox/asking.hpp"
#include "huts/tilly/settings.hpp"
#include "huts/wonderland/views.hpp"

namespace petrelpond::silcox {

class Agent final : public eagle::LinkOwner {
  public:
    Agent(eagle::Loop&, const tilly::Settings&, uint32_t chance, std::string loopback = "127.0.0.1");
    ~Agent() override;
    bool open(std::string& error);
    void newSettings(const tilly::Settings&);  // other seeds
    void leave();
    void logCounters() const;

    void linkUp(eagle::Link&) override;
    void frame(eagle::Link&, eagle::Kind, std::string_view payload) override;
    void linkDown(eagle::Link&, bool closed) override;

  private:
    struct CoreLink {
        std::string ip;
        std::unique_ptr<eagle::Link> link;
        Instant triedAt = Instant::longAgo(), heardAt = Instant::longAgo();
        Span pause = Span::millis(100);
        eagle::Beat last;
    };
    struct Guest {  // another agent, or the proxy, at our listener; or a fetch of ours
        std::unique_ptr<eagle::Link> link;
        std::string fetchFrom;  // its ip, where we fetch
    };
    void meetCore(const std::string& ip);
    void connectCores();
    void tick();
    void pump();
    void heardBeat(CoreLink&, const eagle::Beat&);
    void askConfig(CoreLink&, const eagle::Beat&);
    void take(const eagle::Config&);
    void duty(uint64_t term, const std::string& holder);
    void tellProxy();
    void toProxy(eagle::Kind, std::string_view payload);
    bool newer(int64_t version, uint64_t digest) const;
    bool coreTells() const;  // of a newer configuration than ours

    eagle::Loop& loop_;
    tilly::Settings settings_;
    std::string loopbackIp_;
    uint64_t life_;
    wonderland::Views views_;
    Asking asking_;
    std::map<std::string, CoreLink> cores_;
    std::map<uint64_t, Guest> guests_;
    std::unique_ptr<eagle::Listener> own_, loopback_;
    std::unique_ptr<eagle::Datagrams> datagrams_;
    uint64_t nextTag_ = 1, proxy_ = 0;
    std::unique_ptr<eagle::Config> config_;
    std::string askedCore_;
    Instant askedAt_ = Instant::longAgo();
    uint64_t term_ = 0;
    std::string holder_;
    eagle::Standing told_;
    bool toldAny_ = false, leaving_ = false;
    Instant leavingSince_, logAt_;
    Instant beatAt_ = Instant::longAgo();
    uint64_t fetches_ = 0, configs_ = 0, coreBreaks_ = 0;
};

}  // namespace petrelpond::silcox
