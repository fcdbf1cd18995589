#include "system/proxy/readiness_server.hpp"

#include <vector>

namespace petrelpond::proxy {

using network::HttpRequest;
using network::HttpVisit;

bool ReadinessServer::listen(network::Address at, std::string& error) {
    limits_.idleTimeout = Span::seconds(30);
    listener_ = network::Listener::open(
        loop_, at,
        [this](int fd, network::Address) {
            uint64_t id = nextVisitId_++;
            visits_[id] = std::make_unique<HttpVisit>(loop_, *this, fd, id);
        },
        error);
    return listener_ != nullptr;
}

void ReadinessServer::asked(HttpVisit& visit, HttpRequest&& request) {
    if (request.target().substr(0, 10) != "/readiness") return visit.answer(404, "", "");
    bool ready = isReady_();
    visit.answer(ready ? 200 : 503, "", ready ? "ready\n" : "not ready\n");
}

void ReadinessServer::left(HttpVisit& visit) {
    auto found = visits_.find(visit.id());
    if (found == visits_.end()) return;
    loop_.bury(std::move(found->second));
    visits_.erase(found);
}

void ReadinessServer::closeTimedOut() {
    std::vector<HttpVisit*> all;
    for (auto& [id, visit] : visits_) all.push_back(visit.get());
    for (HttpVisit* visit : all) visit->look();
}

}  // namespace petrelpond::proxy
