// Runs the planner while this core holds the startup duty: its calls to the platform and the agents' reports.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "system/configuration/configuration.hpp"
#include "system/configuration/settings.hpp"
#include "system/control_plane/pass_monitor.hpp"
#include "system/network/http_caller.hpp"
#include "system/network/loop.hpp"
#include "system/scaler/planner.hpp"

namespace petrelpond::control_plane {

class ScalerHost {
  public:
    using SendGrants = std::function<void(const std::string& sender, const scaler::Grants&)>;
    ScalerHost(network::Loop&, const configuration::Settings&, uint64_t term, uint32_t randomSeed,
               SendGrants);
    ~ScalerHost();
    void onConfiguration(const configuration::Configuration&);
    void onTermRenewed(uint64_t term);
    void onSenderLinked(const std::string& sender, const std::string& zone);
    void onReport(const std::string& sender, const scaler::Report&);
    void onSenderUnlinked(const std::string& sender, bool closed);
    void onReportBacklog() {
        planner_.onReportBacklog(loop_.now());
    }  // unread reports are queued on this core
    uint64_t term() const { return term_; }
    const scaler::Planner& planner() const { return planner_; }
    const PassMonitor& passMonitor() const { return passMonitor_; }
    void logCounters() const;

  private:
    void schedulePump();
    void pump();
    void tick();
    void recordPass(Instant startedAt, uint64_t searchesBefore);
    void requestLists();
    void requestEndpoints(const std::string& page, std::vector<scaler::ListedInstance> collected);
    void requestWorkers();
    void sendStart(const scaler::StartCall&);
    void sendStop(const scaler::StopCall&);
    std::string dutyHeaders() const;

    network::Loop& loop_;
    const configuration::Settings settings_;
    uint64_t term_;
    SendGrants sendGrants_;
    scaler::Planner planner_;
    PassMonitor passMonitor_;
    std::unique_ptr<network::HttpCaller> listCaller_, startStopCaller_;
    bool isPumpScheduled_ = false, isListingEndpoints_ = false, isListingWorkers_ = false,
         isReadyLogged_ = false;
    Instant wonAt_;
    network::TimerId timer_ = 0;
    Instant nextEndpointListAt_, nextWorkerListAt_, armedFor_ = Instant::never();
    Span listInterval_ = Span::millis(800);
    uint64_t listCalls_ = 0, listFailures_ = 0, startCalls_ = 0, stopCalls_ = 0;
    std::shared_ptr<bool> alive_;
};

}  // namespace petrelpond::control_plane
