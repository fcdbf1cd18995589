// The I/O around Dispatch: client connections, connections to instances, and the link to the agent.
#pragma once

#include <algorithm>
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
#include "system/proxy/dispatch.hpp"
#include "system/proxy/readiness_server.hpp"
#include "system/proxy/response_reader.hpp"

namespace petrelpond::proxy {

// Accepts requests from clients, asks Dispatch where to send them and forwards the responses.
class Proxy final : public network::HttpHost, public network::LinkOwner {
  public:
    Proxy(network::Loop&, const configuration::Settings&, uint32_t seed, std::string loopback = "127.0.0.1");
    ~Proxy() override;
    // Opens the listeners and connects to the agent; false with a message in `error` if that fails.
    bool start(std::string& error);
    void startDraining();      // on SIGTERM: finishes requests in flight, then stops the loop
    void logCounters() const;  // also logged every ten seconds

    void asked(network::HttpVisit&, network::HttpRequest&&) override;
    void left(network::HttpVisit&) override;
    void hungUp(network::HttpVisit&) override;
    const network::HttpLimits& limits() const override { return limits_; }
    void linkUp(network::Link&) override;
    void frame(network::Link&, network::Kind, std::string_view payload) override;
    void linkDown(network::Link&, bool closed) override;

  private:
    struct InstanceConnection;
    struct Exchange {
        uint64_t visit = 0;  // 0: the client has disconnected
        network::HttpRequest request;
        std::string attemptId;
        Instant deadline, receivedAt;
        Instant sentAt = Instant::never();  // of the latest attempt
        bool isIdempotent = false;
        InstanceConnection* connection = nullptr;
        std::unique_ptr<network::HttpAnswer> response;
        size_t countedBytes = 0;                // its part of bufferedBytes_
        std::vector<uint64_t> usedConnections;  // ids of those on which it was sent
        bool wasSentOn(uint64_t connectionId) const {
            return std::find(usedConnections.begin(), usedConnections.end(), connectionId) !=
                   usedConnections.end();
        }
    };
    struct ConnectionPool {  // of one instance
        network::Address address;
        std::vector<InstanceConnection*> idle;
    };
    void applyConfiguration(const network::Config&);
    void scheduleOutputs();
    void processOutputs();
    void armTimer();
    void sendRequest(const SendRequest&);
    void probeInstance(InstanceIndex);
    void releaseInstance(const ReleaseInstance&);
    bool park(InstanceConnection&, size_t maxIdleConnections);
    InstanceConnection* takeIdleConnection(std::vector<InstanceConnection*>& idle, const Exchange&);
    void closeExpiredIdle(std::vector<InstanceConnection*>& idle);
    void forwardResponse(RequestId);
    void failConnection(InstanceConnection&, AttemptOutcome outcome);  // and ends its request, if any
    void closeConnection(InstanceConnection&);
    bool isCurrent(const InstanceConnection&) const;
    void onResponseData(InstanceConnection&);
    void onConnectionTimer(InstanceConnection&);
    std::string serializeRequest(const Exchange&, const std::string& instance) const;
    void cancelExchange(RequestId);
    AttemptProgress progressOf(const Exchange&) const;
    bool hasClient(RequestId) const;
    void dropRequest(RequestId);
    void answerWithStatus(RequestId, int status, std::string_view fields);
    void connectAgent();
    void updateBufferedBytes(Exchange&);
    void eraseExchange(std::unordered_map<RequestId, Exchange>::iterator);
    void runPeriodicChecks();
    void stopIfDrained();
    void abandonAttempts();
    void logAbandoned(RequestId);
    ConnectionPool& poolOf(InstanceIndex);

    network::Loop& loop_;
    configuration::Settings settings_;
    std::string loopback_;
    Dispatch dispatch_;
    policy::Random random_;
    network::HttpLimits limits_;
    std::unique_ptr<configuration::RouteTable> routes_;
    configuration::HeldText configurationText_;  // the configuration in routes_
    std::unique_ptr<network::Listener> listener_;
    ReadinessServer readiness_;
    std::unordered_map<uint64_t, std::unique_ptr<network::HttpVisit>> visits_;
    std::unordered_map<RequestId, Exchange> exchanges_;
    std::unordered_map<uint64_t, std::unique_ptr<InstanceConnection>> connections_;
    std::vector<ConnectionPool> pools_;
    // Idle connections to instances of which this proxy has no slot at present, by instance id.
    std::unordered_map<std::string, std::vector<InstanceConnection*>> parked_;
    size_t parkedCount_ = 0, maxParked_ = 0;
    std::unique_ptr<network::Link> agentLink_;
    uint64_t nextVisitId_ = 1, nextRequestId_ = 1, nextConnectionId_ = 1;
    bool areOutputsScheduled_ = false, isDraining_ = false;
    Instant drainingSince_, lastAcceptedAt_, nextLogAt_;
    network::TimerId timer_ = 0, sweepTimer_ = 0;
    Instant armedFor_ = Instant::never();
    uint64_t noRoute_ = 0, notReady_ = 0, excessResponses_ = 0, invalidResponses_ = 0, connects_ = 0,
             rejectedConnections_ = 0, fullConfigRequests_ = 0, connectsSaved_ = 0, rejectedForMemory_ = 0;
    uint64_t connectsForRetries_ = 0;     // though connections were idle, as these had carried the request
    uint64_t clientsStoppedSending_ = 0;  // while their request was queued or in flight
    uint64_t clientsGoneInFlight_ = 0;    // disconnected while their request was in flight
    uint64_t abandonedAtExit_ = 0;        // requests still in flight at the end of the grace period
    size_t maxVisits_ = 1000;
    size_t bufferedBytes_ = 0, maxBufferedBytes_ = 0;  // of requests and responses in flight
};

}  // namespace petrelpond::proxy
