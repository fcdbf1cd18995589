// While this core holds the startup duty: the planner, its calls to the platform, and the agents' reports.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "system/configuration/configuration.hpp"
#include "system/configuration/settings.hpp"
#include "system/network/http_caller.hpp"
#include "system/network/loop.hpp"
#include "system/scaler/planner.hpp"

namespace petrelpond::control_plane {

class ScalerHost {
  public:
    using TellSender = std::function<void(const std::string& sender, const scaler::Grants&)>;
    ScalerHost(network::Loop&, const configuration::Settings&, uint64_t term, uint32_t chance, TellSender);
    ~ScalerHost();
    void configured(const configuration::Configuration&);
    void renewed(uint64_t term);
    void linked(const std::string& sender, const std::string& zone);
    void reported(const std::string& sender, const scaler::Report&);
    void unlinked(const std::string& sender, bool closed);
    void behind() { planner_.behind(loop_.now()); }  // reports wait here, unread
    uint64_t term() const { return term_; }
    const scaler::Planner& planner() const { return planner_; }
    void logCounters() const;

  private:
    void pumpSoon();
    void pump();
    void tick();
    void askLists();
    void askEndpoints(const std::string& page, std::vector<scaler::Listed> sofar);
    void askWorkers();
    void start(const scaler::StartCall&);
    void stop(const scaler::StopCall&);
    std::string dutyFields() const;

    network::Loop& loop_;
    const configuration::Settings settings_;
    uint64_t term_;
    TellSender tell_;
    scaler::Planner planner_;
    std::unique_ptr<network::HttpCaller> lists_, duties_;
    bool pumping_ = false, listing_ = false, askingWorkers_ = false, readyTold_ = false;
    Instant wonAt_;
    network::TimerId timer_ = 0;
    Instant listAt_, workersAt_, armedFor_ = Instant::never();
    Span listEvery_ = Span::millis(800);
    uint64_t listCalls_ = 0, listFailures_ = 0, startCalls_ = 0, stopCalls_ = 0;
    std::shared_ptr<bool> alive_;
};

}  // namespace petrelpond::control_plane
