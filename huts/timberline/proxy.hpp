// The thin host round Dispatch: clients' connections, connections to instances, the link to the agent.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "huts/eagle/http_answer.hpp"
#include "huts/eagle/http_server.hpp"
#include "huts/eagle/link.hpp"
#include "huts/eagle/loop.hpp"
#include "huts/tilly/configuration.hpp"
#include "huts/tilly/settings.hpp"
#include "huts/timberline/dispatch.hpp"

namespace petrelpond::timberline {

// The platform's readiness check has a listener of its own.
class Readiness final : public eagle::HttpHost {
  public:
    Readiness(eagle::Loop& loop, std::function<bool()> ready) : loop_(loop), ready_(std::move(ready)) {}
    bool open(eagle::Address, std::string& error);
    void asked(eagle::HttpVisit&, eagle::HttpRequest&&) override;
    void left(eagle::HttpVisit&) override;
    const eagle::HttpLimits& limits() const override { return limits_; }
    void look();

  private:
    eagle::Loop& loop_;
    std::function<bool()> ready_;
    eagle::HttpLimits limits_;
    std::unique_ptr<eagle::Listener> listener_;
    std::unordered_map<uint64_t, std::unique_ptr<eagle::HttpVisit>> visits_;
    uint64_t nextVisit_ = 1;
};

class Proxy final : public eagle::HttpHost, public eagle::LinkOwner {
  public:
    Proxy(eagle::Loop&, const tilly::Settings&, uint32_t chance, std::string loopback = "127.0.0.1");
    ~Proxy() override;
    bool open(std::string& error);
    void leave();  // SIGTERM: ends what is under way, then stops the loop
    void logCounters() const;

    void asked(eagle::HttpVisit&, eagle::HttpRequest&&) override;
    void left(eagle::HttpVisit&) override;
    void hungUp(eagle::HttpVisit&) override;
    const eagle::HttpLimits& limits() const override { return limits_; }
    void linkUp(eagle::Link&) override;
    void frame(eagle::Link&, eagle::Kind, std::string_view payload) override;
    void linkDown(eagle::Link&, bool closed) override;

  private:
    struct Line;
    struct Exchange {
        uint64_t visit = 0;  // 0: its client has gone
        eagle::HttpRequest request;
        std::string attemptId;
        Instant deadline;
        bool repeatable = false;
        Line* line = nullptr;
        std::unique_ptr<eagle::HttpAnswer> answer;
        size_t weighs = 0;  // as counted in bytes_
    };
    struct Place {  // of one instance
        eagle::Address address;
        std::vector<Line*> idle;
    };
    void configure(const eagle::Config&);
    void pumpSoon();
    void pump();
    void arm();
    void carry(const SendTo&);
    void probe(InstanceIx);
    void drop(InstanceIx);
    void passOn(RequestId);
    void endLine(Line&, Ending how);  // with its request, if any
    void buryLine(Line&);
    bool isStill(const Line&) const;
    void lineAnswered(Line&);
    void lineTimed(Line&);
    std::string requestBytes(const Exchange&, const std::string& instance) const;
    void answerPlain(RequestId, int status, std::string_view fields);
    void connectAgent();
    void weigh(Exchange&);
    void forget(std::unordered_map<RequestId, Exchange>::iterator);
    void sweep();
    void mayEnd();
    Place& place(InstanceIx);

    eagle::Loop& loop_;
    tilly::Settings settings_;
    std::string loopback_;
    Dispatch dispatch_;
    policy::Chance chance_;
    eagle::HttpLimits limits_;
    std::unique_ptr<tilly::RouteTable> routes_;
    uint64_t digest_ = 0;  // of the configuration in routes_
    std::unique_ptr<eagle::Listener> listener_;
    Readiness readiness_;
    std::unordered_map<uint64_t, std::unique_ptr<eagle::HttpVisit>> visits_;
    std::unordered_map<RequestId, Exchange> exchanges_;
    std::unordered_map<uint64_t, std::unique_ptr<Line>> lines_;
    std::vector<Place> places_;
    std::unique_ptr<eagle::Link> agent_;
    uint64_t nextVisit_ = 1, nextRequest_ = 1, nextLine_ = 1;
    bool pumping_ = false, leaving_ = false;
    Instant leavingSince_, lastCame_, logAt_;
    eagle::TimerId timer_ = 0, sweepTimer_ = 0;
    Instant armedFor_ = Instant::never();
    uint64_t noRoute_ = 0, notReady_ = 0, excess_ = 0, spoilt_ = 0, connects_ = 0, turnedAway_ = 0,
             tooMuch_ = 0;
    size_t mostVisits_ = 1000;
    size_t bytes_ = 0, mostBytes_ = 0;  // of requests and answers under way
};

}  // namespace petrelpond::timberline
