// The thin host round Dispatch: clients' connections, connections to instances, the link to the agent.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "system/configuration/configuration.hpp"
#include "system/configuration/held_text.hpp"
#include "system/configuration/settings.hpp"
#include "system/network/http_answer.hpp"
#include "system/network/http_server.hpp"
#include "system/network/link.hpp"
#include "system/network/loop.hpp"
#include "system/proxy/answer_reading.hpp"
#include "system/proxy/dispatch.hpp"

namespace petrelpond::proxy {

// The platform's readiness check has a listener of its own.
class Readiness final : public network::HttpHost {
  public:
    Readiness(network::Loop& loop, std::function<bool()> ready) : loop_(loop), ready_(std::move(ready)) {}
    bool open(network::Address, std::string& error);
    void asked(network::HttpVisit&, network::HttpRequest&&) override;
    void left(network::HttpVisit&) override;
    const network::HttpLimits& limits() const override { return limits_; }
    void look();

  private:
    network::Loop& loop_;
    std::function<bool()> ready_;
    network::HttpLimits limits_;
    std::unique_ptr<network::Listener> listener_;
    std::unordered_map<uint64_t, std::unique_ptr<network::HttpVisit>> visits_;
    uint64_t nextVisit_ = 1;
};

class Proxy final : public network::HttpHost, public network::LinkOwner {
  public:
    Proxy(network::Loop&, const configuration::Settings&, uint32_t chance,
          std::string loopback = "127.0.0.1");
    ~Proxy() override;
    bool open(std::string& error);
    void leave();  // SIGTERM: ends what is under way, then stops the loop
    void logCounters() const;

    void asked(network::HttpVisit&, network::HttpRequest&&) override;
    void left(network::HttpVisit&) override;
    void hungUp(network::HttpVisit&) override;
    const network::HttpLimits& limits() const override { return limits_; }
    void linkUp(network::Link&) override;
    void frame(network::Link&, network::Kind, std::string_view payload) override;
    void linkDown(network::Link&, bool closed) override;

  private:
    struct Line;
    struct Exchange {
        uint64_t visit = 0;  // 0: its client has gone
        network::HttpRequest request;
        std::string attemptId;
        Instant deadline;
        bool repeatable = false;
        Line* line = nullptr;
        std::unique_ptr<network::HttpAnswer> answer;
        size_t weighs = 0;  // as counted in bytes_
    };
    struct Place {  // of one instance
        network::Address address;
        std::vector<Line*> idle;
    };
    void configure(const network::Config&);
    void pumpSoon();
    void pump();
    void arm();
    void carry(const SendTo&);
    void probe(InstanceIx);
    void drop(const Drop&);
    bool park(Line&, size_t mayKeep);
    Line* takeIdle(std::vector<Line*>& idle, const Exchange&);
    void buryIdleLongest(std::vector<Line*>& idle);
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

    network::Loop& loop_;
    configuration::Settings settings_;
    std::string loopback_;
    Dispatch dispatch_;
    policy::Random chance_;
    network::HttpLimits limits_;
    std::unique_ptr<configuration::RouteTable> routes_;
    configuration::HeldText text_;  // of the configuration in routes_
    std::unique_ptr<network::Listener> listener_;
    Readiness readiness_;
    std::unordered_map<uint64_t, std::unique_ptr<network::HttpVisit>> visits_;
    std::unordered_map<RequestId, Exchange> exchanges_;
    std::unordered_map<uint64_t, std::unique_ptr<Line>> lines_;
    std::vector<Place> places_;
    // Idle connections to instances of which no slot is ours at present, by the instance's id.
    std::unordered_map<std::string, std::vector<Line*>> parked_;
    size_t parkedCount_ = 0, mostParked_ = 0;
    std::unique_ptr<network::Link> agent_;
    uint64_t nextVisit_ = 1, nextRequest_ = 1, nextLine_ = 1;
    bool pumping_ = false, leaving_ = false;
    Instant leavingSince_, lastCame_, logAt_;
    network::TimerId timer_ = 0, sweepTimer_ = 0;
    Instant armedFor_ = Instant::never();
    uint64_t noRoute_ = 0, notReady_ = 0, excess_ = 0, spoilt_ = 0, connects_ = 0, turnedAway_ = 0,
             wholeAsked_ = 0, connectsSpared_ = 0, tooMuch_ = 0;
    size_t mostVisits_ = 1000;
    size_t bytes_ = 0, mostBytes_ = 0;  // of requests and answers under way
};

}  // namespace petrelpond::proxy
