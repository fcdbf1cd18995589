// While this core holds the startup duty: the planner, its calls to the platform, and the agents' reports.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "huts/crest/planner.hpp"
#include "huts/eagle/http_caller.hpp"
#include "huts/eagle/loop.hpp"
#include "huts/tilly/configuration.hpp"
#include "huts/tilly/settings.hpp"

namespace petrelpond::cloudcap {

class Warden {
  public:
    using TellSender = std::function<void(const std::string& sender, const crest::Grants&)>;
    Warden(eagle::Loop&, const tilly::Settings&, uint64_t term, uint32_t chance, TellSender);
    ~Warden();
    void configured(const tilly::Configuration&);
    void renewed(uint64_t term);
    void linked(const std::string& sender, const std::string& zone);
    void reported(const std::string& sender, const crest::Report&);
    void unlinked(const std::string& sender, bool closed);
    void behind() { planner_.behind(loop_.now()); }  // reports wait here, unread
    uint64_t term() const { return term_; }
    const crest::Planner& planner() const { return planner_; }
    void logCounters() const;

  private:
    void pumpSoon();
    void pump();
    void tick();
    void askLists();
    void askEndpoints(const std::string& page, std::vector<crest::Listed> sofar);
    void askWorkers();
    void start(const crest::StartCall&);
    void stop(const crest::StopCall&);
    std::string dutyFields() const;

    eagle::Loop& loop_;
    const tilly::Settings settings_;
    uint64_t term_;
    TellSender tell_;
    crest::Planner planner_;
    std::unique_ptr<eagle::HttpCaller> lists_, duties_;
    bool pumping_ = false, listing_ = false, askingWorkers_ = false, readyTold_ = false;
    Instant wonAt_;
    eagle::TimerId timer_ = 0;
    Instant listAt_, workersAt_, armedFor_ = Instant::never();
    Span listEvery_ = Span::millis(800);
    uint64_t listCalls_ = 0, listFailures_ = 0, startCalls_ = 0, stopCalls_ = 0;
    std::shared_ptr<bool> alive_;
};

}  // namespace petrelpond::cloudcap
