// The listener of the platform's readiness check.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "system/network/http_server.hpp"

namespace petrelpond::proxy {

// Answers GET /readiness with 200 or 503, as the proxy says.
class ReadinessServer final : public network::HttpHost {
  public:
    ReadinessServer(network::Loop& loop, std::function<bool()> ready)
        : loop_(loop), isReady_(std::move(ready)) {}
    // Returns false with a message in `error` if the address cannot be opened.
    bool listen(network::Address, std::string& error);
    void asked(network::HttpVisit&, network::HttpRequest&&) override;
    void left(network::HttpVisit&) override;
    const network::HttpLimits& limits() const override { return limits_; }
    void closeTimedOut();  // closes connections that are idle for too long; to be called periodically

  private:
    network::Loop& loop_;
    std::function<bool()> isReady_;
    network::HttpLimits limits_;
    std::unique_ptr<network::Listener> listener_;
    std::unordered_map<uint64_t, std::unique_ptr<network::HttpVisit>> visits_;
    uint64_t nextVisitId_ = 1;
};

}  // namespace petrelpond::proxy
