// How fast the stand-ins are with no sender between them.
#include "fleet/stage_inside.hpp"

#include <sys/epoll.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace petrelpond::fleet {

SelfSpeed measureSelf(int connections, Span lasts) {
    raiseDescriptors();
    Loop loop;
    Bound listener = listenOn("127.1.3.1", 0);
    std::unordered_set<std::shared_ptr<Conn>> served;
    loop.watch(listener.fd, EPOLLIN, [&](uint32_t) {
        for (int fd; (fd = acceptOne(listener.fd)) >= 0;) {
            auto conn = std::make_shared<Conn>(loop, fd);
            served.insert(conn);
            conn->onMessage = [raw = conn.get()](Message&&) { raw->send(response(200, "", "")); };
            conn->start();
        }
    });
    SelfSpeed speed;
    Latencies trips;
    std::vector<std::shared_ptr<Conn>> programs;
    std::vector<Instant> sentAt(static_cast<size_t>(connections));
    rusage before{}, after{};
    getrusage(RUSAGE_SELF, &before);
    Instant start = loop.now();
    RequestNo no = 0;
    for (size_t i = 0; i < sentAt.size(); ++i) {
        int fd = connectTo(listener.address);
        if (fd < 0) throw std::runtime_error("no descriptor for connection " + std::to_string(i));
        auto conn = std::make_shared<Conn>(loop, fd);
        auto next = [&, raw = conn.get(), i] {
            sentAt[i] = loop.now();
            std::string fields = "Request-Id: " + idFor(no) + "\r\nRequest-Timeout-Ms: 4000\r\n";
            raw->send(request("POST", "/events", fields, bodyFor(no, 200)));
            ++no;
        };
        conn->onMessage = [&, next, i](Message&&) {
            trips.add((loop.now() - sentAt[i]).inSeconds() * 1e3);
            ++speed.texts;
            if (loop.now() - start < lasts) return next();
            loop.stop();
        };
        conn->start(true);
        next();
        programs.push_back(conn);
    }
    loop.run();
    getrusage(RUSAGE_SELF, &after);
    auto cpu = [](const rusage& u) {
        return static_cast<double>(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * 1e6 +
               static_cast<double>(u.ru_utime.tv_usec + u.ru_stime.tv_usec);
    };
    double wall = (loop.now() - start).inSeconds();
    speed.textsPerSecond = static_cast<double>(speed.texts) / wall;
    speed.cpuPerText = (cpu(after) - cpu(before)) / static_cast<double>(std::max(speed.texts, 1L));
    speed.roundTrip = quantilesOf(trips);
    for (auto& c : programs) c->onMessage = nullptr;
    loop.forget(listener.fd);
    ::close(listener.fd);
    return speed;
}

}  // namespace petrelpond::fleet
