// Stand-ins for a small deployment on loopback: the platform with its endpoints, clients that follow the
// pages, and the machines on which the project's programs run as separate processes. Threads and blocking
// sockets; no libraries. What the pages leave open is done as a sound server, client or platform would do it.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace world {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();
inline double now() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline void sleepUntil(double at) {
    while (now() < at) std::this_thread::sleep_for(std::chrono::duration<double>(std::min(0.05, at - now())));
}

// ---- record.txt

inline std::mutex recordMutex;
inline std::ofstream recordFile;
inline void record(const char* format, ...) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(recordMutex);
    char at[32];
    snprintf(at, sizeof at, "%9.3f  ", now());
    recordFile << at << text << "\n" << std::flush;
}

inline uint64_t randomBits() {
    static std::mutex mutex;
    static std::mt19937_64 source(std::random_device{}());
    const std::lock_guard lock(mutex);
    return source();
}
inline double uniform(double from, double to) {
    return from + (to - from) * double(randomBits() >> 11) / 9007199254740992.0;
}
inline std::string hex(uint64_t n) {
    char text[20];
    snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(n));
    return text;
}
// Work times as the site files give them: a mean and a relative spread, with a bound.
inline double workTime(double mean, double spread, double most) {
    const double sigma = std::sqrt(std::log(1 + spread * spread));
    const double normal = std::sqrt(-2 * std::log(uniform(1e-12, 1))) * std::cos(6.283185307 * uniform(0, 1));
    return std::min(most, mean * std::exp(sigma * normal - sigma * sigma / 2));
}

// ---- sockets

inline sockaddr_in socketAddress(const std::string& ip, int port) {
    sockaddr_in a{};
    a.sin_family = AF_INET, a.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
    return a;
}
inline int bindTo(const std::string& ip, int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in a = socketAddress(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) return close(fd), -1;
    return fd;
}
inline int portOf(int fd) {
    sockaddr_in a{};
    socklen_t size = sizeof a;
    getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
    return ntohs(a.sin_port);
}
inline bool waitFor(int fd, short events, double until) {
    pollfd p{fd, events, 0};
    while (true) {
        const int ms = static_cast<int>(std::ceil((until - now()) * 1000));
        const int n = poll(&p, 1, std::max(0, ms));
        if (n > 0) return true;
        if (n == 0 || errno != EINTR) return false;
    }
}
// -1: refused, reset or not up in time.
inline int connectTo(const std::string& ip, int port, double until) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in a = socketAddress(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) {
        int error = errno;
        if (error == EINPROGRESS && waitFor(fd, POLLOUT, until)) {
            socklen_t size = sizeof error;
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        }
        if (error != 0) return close(fd), -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}
inline bool sendAll(int fd, const std::string& bytes) {
    for (size_t at = 0; at < bytes.size();) {
        const ssize_t n = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (n <= 0) return false;
        at += static_cast<size_t>(n);
    }
    return true;
}

// ---- HTTP: one message at a time, with a length

struct Message {
    std::string first;
    std::map<std::string, std::string> fields;  // names in lower case
    std::string body;
    std::string field(const std::string& name) const {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    int status() const { return first.size() > 12 ? atoi(first.c_str() + 9) : 0; }
    std::string target() const {
        const size_t a = first.find(' ');
        return first.substr(a + 1, first.find(' ', a + 1) - a - 1);
    }
};
enum class Reading { whole, closed, late };
inline Reading readMessage(int fd, std::string& in, Message& out, double until) {
    while (true) {
        const size_t end = in.find("\r\n\r\n");
        if (end != std::string::npos) {
            out = Message();
            std::istringstream head(in.substr(0, end));
            std::string line;
            std::getline(head, out.first);
            if (!out.first.empty() && out.first.back() == '\r') out.first.pop_back();
            while (std::getline(head, line)) {
                if (!line.empty() && line.back() == '\r') line.pop_back();
                const size_t colon = line.find(':');
                if (colon == std::string::npos) continue;
                std::string name = line.substr(0, colon);
                for (char& c : name) c = static_cast<char>(tolower(c));
                size_t from = colon + 1;
                while (from < line.size() && line[from] == ' ') ++from;
                out.fields[name] = line.substr(from);
            }
            const size_t length = strtoul(out.field("content-length").c_str(), nullptr, 10);
            if (in.size() >= end + 4 + length) {
                out.body = in.substr(end + 4, length);
                in.erase(0, end + 4 + length);
                return Reading::whole;
            }
        }
        if (!waitFor(fd, POLLIN, until)) return Reading::late;
        char bytes[16384];
        const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
        if (n <= 0) return Reading::closed;
        in.append(bytes, static_cast<size_t>(n));
    }
}
inline std::string httpAnswer(int status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string jsonText(const std::string& json, const std::string& name) {
    const size_t at = json.find("\"" + name + "\"");
    if (at == std::string::npos) return "";
    const size_t from = json.find('"', json.find(':', at) + 1);
    return json.substr(from + 1, json.find('"', from + 1) - from - 1);
}

// ---- the platform and its endpoints

// One run of a request at an endpoint.
struct Run {
    std::string attempt, endpoint;
    double begun = 0, ended = 0;  // 0: at work
    double wanted = 0;            // how long it would last
    bool cut = false;             // its connection closed before its end
    bool lost = false;            // it ran, and its answer was lost
};

struct ServicePlan {
    std::string name;
    int memoryMb, bootMs, slots;
    double workMean, workSpread, workMost;  // seconds
};

class Platform {
  public:
    Platform(std::string ip, std::string endpointIp, std::vector<ServicePlan> services, std::string zone)
        : ip_(std::move(ip)), endpointIp_(std::move(endpointIp)), services_(std::move(services)),
          zone_(std::move(zone)) {}
    int open() {
        const int fd = bindTo(ip_, 0);
        listen(fd, 256);
        std::thread([this, fd] {
            while (true) {
                const int c = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (c >= 0) std::thread([this, c] { serveCalls(c); }).detach();
            }
        }).detach();
        return portOf(fd);
    }
    std::vector<Run> runs() {
        const std::lock_guard lock(mutex_);
        std::vector<Run> all;
        for (const auto& run : runs_) all.push_back(*run);
        return all;
    }
    // When a request arrived at an endpoint, by attempt id; those that were turned away too.
    std::vector<std::pair<std::string, double>> arrivals() {
        const std::lock_guard lock(mutex_);
        return arrivals_;
    }
    // Whether the answer to this run is lost: the endpoint runs it and says nothing, and the connection stays
    // open.
    std::function<bool(const std::string& endpoint, const std::string& attempt)> losesAnswer;

  private:
    struct Endpoint {
        std::string id, service, address, worker;
        int slots = 1, fd = -1, busy = 0;
        double upAt = 0;
        bool stopped = false;
        double workMean = 0, workSpread = 0, workMost = 0;
    };
    void serveCalls(int fd) {
        std::string in;
        Message call;
        while (readMessage(fd, in, call, now() + 60) == Reading::whole)
            if (!sendAll(fd, answerCall(call))) break;
        close(fd);
    }
    std::string answerCall(const Message& call) {
        const char* json = "Content-Type: application/json\r\n";
        const std::string path = call.target().substr(0, call.target().find('?'));
        const std::lock_guard lock(mutex_);
        if (path == "/workers") {
            std::string all;
            for (int w = 1; w <= 12; ++w) {
                const std::string name = "w-" + std::to_string(w);
                all += std::string(all.empty() ? "" : ",") + "{\"name\":\"" + name + "\",\"zone\":\"" +
                       zone_ +
                       "\",\"memory_mb\":9303,\"free_memory_mb\":" + std::to_string(9303 - usedMb_[name]) +
                       ",\"endpoint_state\":\"available\"}";
            }
            return httpAnswer(200, json, "{\"worker_set\":[" + all + "]}");
        }
        if (path == "/endpoints") {
            std::string all;
            for (const auto& e : endpoints_) {
                if (e->stopped || now() < e->upAt + 0.3) continue;  // the list lags
                all += std::string(all.empty() ? "" : ",") + "{\"service\":\"" + e->service +
                       "\",\"address\":\"" + e->address + "\",\"zone\":\"" + zone_ +
                       "\",\"config_version\":\"v1\",\"concurrency_slots\":" + std::to_string(e->slots) +
                       ",\"endpoint_state\":\"available\",\"cold_remaining_ms\":0,\"worker_id\":\"" +
                       e->worker + "\",\"endpoint_id\":\"" + e->id + "\"}";
            }
            return httpAnswer(200, json, "{\"endpoints\":[" + all + "],\"next_token\":null}");
        }
        if (path == "/initiate") {
            const std::string service = jsonText(call.body, "service"), nonce = jsonText(call.body, "nonce"),
                              worker = jsonText(call.body, "worker_id");
            const ServicePlan* plan = nullptr;
            for (const ServicePlan& each : services_)
                if (each.name == service) plan = &each;
            if (!plan || nonce.empty() || worker.empty()) return httpAnswer(400, json, "{}");
            std::shared_ptr<Endpoint>& e = byNonce_[service + "/" + nonce];
            if (!e) {
                if (usedMb_[worker] + plan->memoryMb > 9303)
                    return byNonce_.erase(service + "/" + nonce), httpAnswer(409, json, "{}");
                usedMb_[worker] += plan->memoryMb;
                e = std::make_shared<Endpoint>();
                e->id = "i-" + hex(randomBits()).substr(0, 10), e->service = service, e->worker = worker;
                e->slots = plan->slots, e->upAt = now() + plan->bootMs / 1000.0 * uniform(0.85, 1.15);
                e->workMean = plan->workMean, e->workSpread = plan->workSpread, e->workMost = plan->workMost;
                e->fd = bindTo(endpointIp_, 0);
                e->address = endpointIp_ + ":" + std::to_string(portOf(e->fd));
                endpoints_.push_back(e);
                std::thread([this, e] { serveEndpoint(e); }).detach();
            }
            return httpAnswer(200, json,
                              "{\"endpoint_id\":\"" + e->id + "\",\"address\":\"" + e->address + "\"}");
        }
        if (path == "/stop") {
            const std::string id = jsonText(call.body, "endpoint_id");
            for (const auto& e : endpoints_) {
                if (e->id != id) continue;
                if (!e->stopped) {
                    e->stopped = true;
                    shutdown(e->fd, SHUT_RDWR);
                    for (const ServicePlan& each : services_)
                        if (each.name == e->service) usedMb_[e->worker] -= each.memoryMb;
                }
                return httpAnswer(200, json, "{}");
            }
            return httpAnswer(404, json, "{}");
        }
        return httpAnswer(404, json, "{}");
    }
    void serveEndpoint(const std::shared_ptr<Endpoint>& e) {
        sleepUntil(e->upAt);
        if (listen(e->fd, 64) != 0) return;
        while (true) {
            const int c = accept4(e->fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (c < 0) break;
            std::thread([this, e, c] { serveConnection(e, c); }).detach();
        }
        close(e->fd);
    }
    void serveConnection(const std::shared_ptr<Endpoint>& e, int fd) {
        std::string in;
        Message request;
        while (readMessage(fd, in, request, now() + 15) == Reading::whole) {
            const std::string attempt = request.field("x-attempt-id"),
                              id = "X-Attempt-Id: " + attempt + "\r\n";
            const std::string target = request.field("x-target-endpoint");
            if (!target.empty() && target != e->id) {
                if (!sendAll(fd, httpAnswer(421, id, ""))) break;
                continue;
            }
            std::shared_ptr<Run> run;
            {
                const std::lock_guard lock(mutex_);
                arrivals_.emplace_back(attempt, now());
                if (e->busy < e->slots) {
                    ++e->busy;
                    run = std::make_shared<Run>();
                    run->attempt = attempt, run->endpoint = e->id, run->begun = now();
                    run->wanted = workTime(e->workMean, e->workSpread, e->workMost);
                    runs_.push_back(run);
                }
            }
            if (!run) {
                if (!sendAll(fd, httpAnswer(503, id + "X-Not-Executed: 1\r\n", ""))) break;
                continue;
            }
            record("endpoint %s runs %s, work %.0f ms, told %s ms", e->id.c_str(), attempt.c_str(),
                   run->wanted * 1000, request.field("x-time-remaining").c_str());
            const double left = atof(request.field("x-time-remaining").c_str()) / 1000;
            const double until = run->begun + std::min(run->wanted, left > 0 ? left : run->wanted);
            bool cut = false;
            auto closed = [fd] {
                char byte;
                const ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
                return n == 0 || (n < 0 && errno != EAGAIN);
            };
            // It drops a request once its connection closes.
            while (!cut && now() < until) {
                if (!waitFor(fd, POLLIN | POLLRDHUP, until)) continue;
                cut = closed();
                if (!cut) std::this_thread::sleep_for(std::chrono::milliseconds(2));
            }
            const bool lost = !cut && losesAnswer && losesAnswer(e->id, attempt);
            {
                const std::lock_guard lock(mutex_);
                --e->busy;
                run->ended = now(), run->cut = cut, run->lost = lost;
            }
            record("endpoint %s ends %s%s", e->id.c_str(), attempt.c_str(),
                   cut    ? ": its connection was closed"
                   : lost ? ": its answer is lost"
                          : "");
            if (cut) break;
            if (lost) {
                waitFor(fd, POLLIN | POLLRDHUP, now() + 20);
                break;
            }
            const bool inTime = run->wanted <= left || left <= 0;
            if (!sendAll(fd, httpAnswer(inTime ? 200 : 504,
                                        id + "X-Endpoint-Seal: " + e->id + "." + hex(randomBits()) + "\r\n",
                                        std::string(600, 'b'))))
                break;
        }
        close(fd);
    }

    std::string ip_, endpointIp_;
    std::vector<ServicePlan> services_;
    std::string zone_;
    std::mutex mutex_;
    std::vector<std::shared_ptr<Endpoint>> endpoints_;
    std::map<std::string, std::shared_ptr<Endpoint>> byNonce_;
    std::map<std::string, int> usedMb_;
    std::vector<std::shared_ptr<Run>> runs_;
    std::vector<std::pair<std::string, double>> arrivals_;
};

// ---- machines

struct Ports {
    int front, readiness, control, first;
};

struct Machine {
    std::string name, ip, folder;
    bool core = false, bootstrap = true;
    int firstPort = 0;  // of its internal ports, where relays stand between machines; 0: as all machines
    std::vector<std::pair<std::string, pid_t>> processes;  // program, pid; -1: not running
    double terminatedAt = -1;                              // when it last got SIGTERM
    std::atomic<bool> counted{true};                       // among those that receive connections
    int misses = 0;
};

class Deployment {
  public:
    std::vector<std::unique_ptr<Machine>> machines;
    std::vector<Machine*> seeds;  // at most three of the cores, as the settings files name them
    Ports ports{};
    std::string network, zone = "pdx-hall", programs, folder;
    int platformPort = 0;

    Deployment(std::string programFolder, std::string workFolder)
        : programs(std::move(programFolder)), folder(std::move(workFolder)) {
        network =
            "127." + std::to_string(20 + randomBits() % 200) + "." + std::to_string(randomBits() % 250) + ".";
        // Free ports, the same on all machines.
        while (true) {
            ports.first = 20000 + static_cast<int>(randomBits() % 10000);
            ports.front = ports.first + 20, ports.readiness = ports.first + 21,
            ports.control = ports.first + 22;
            bool all = true;
            for (int i = 0; i < 23 && all; ++i) {
                const int fd = bindTo("0.0.0.0", ports.first + i);
                all = fd >= 0;
                if (fd >= 0) close(fd);
            }
            if (all) return;
        }
    }
    ~Deployment() { endAll(); }

    void add(bool core, int n) {
        auto m = std::make_unique<Machine>();
        m->core = core;
        m->name = (core ? "core-pdx-hall-" : "edge-pdx-hall-") + std::to_string(n);
        m->ip = network + std::to_string((core ? 40 : 10) + n);
        m->folder = folder + "/" + m->name;
        for (const char* program : {"petrel-proxy", "petrel-agent", "petrel-control-plane"})
            if ((std::string(program) == "petrel-control-plane") == core)
                m->processes.emplace_back(program, -1);
        machines.push_back(std::move(m));
        if (core && seeds.size() < 3) seeds.push_back(machines.back().get());
    }
    std::vector<Machine*> edges() {
        std::vector<Machine*> all;
        for (auto& m : machines)
            if (!m->core) all.push_back(m.get());
        return all;
    }
    std::vector<Machine*> cores() {
        std::vector<Machine*> all;
        for (auto& m : machines)
            if (m->core) all.push_back(m.get());
        return all;
    }
    void writeSettings(Machine& m) {
        std::ostringstream y;
        auto at = [&](int port) { return "\"" + m.ip + ":" + std::to_string(port) + "\"\n"; };
        y << "node_name: \"" << m.name << "\"\nrole: \"" << (m.core ? "control-plane" : "proxy")
          << "\"\nmachine_class: \"" << (m.core ? "core" : "edge") << "\"\nserved_role:\n  - \""
          << (m.core ? "control_plane" : "edge") << "\"\nip_address: \"" << m.ip << "\"\nzone: \"" << zone
          << "\"\nregion: \"pnw\"\nzones:\n  " << zone << ": \"pnw\"\nlisten_addresses:\n";
        if (m.core)
            y << "  control: " << at(ports.control);
        else
            y << "  front: " << at(ports.front) << "  readiness: " << at(ports.readiness);
        const int first = m.firstPort ? m.firstPort : ports.first;
        y << "internal_port_range:\n  - " << first << "\n  - " << first + 15 << "\nseed_nodes:\n";
        for (Machine* core : seeds) y << "  - \"" << core->ip << ":" << ports.control << "\"\n";
        y << "bootstrap: " << (m.bootstrap ? "true" : "false")
          << "\nquorum_member: " << (m.core ? "true" : "false")
          << "\nlimits:\n  cpu_share: 0.5\n  cpu_cores: 1\n  memory_mb: 260\n  file_descriptors: 4100\n  "
             "link_mbps: 1000.0\n  disk_mb: "
          << (m.core ? 128 : 0) << "\ndata_dir: " << (m.core ? "\"" + m.folder + "/disk\"" : "null")
          << "\ndiscovery: \"platform\"\nentry_type: \"virtual_ip\"\nheartbeat_ms: 1200\ncontract_set:\n  - "
             "\"base\"\n  - \"drain\"\n"
             "  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n  - \"functions\"\n"
             "fault_tolerance:\n  machine_losses: 1\n  zones: 0\n  region_losses: 0\n"
             "bounds:\n  seed_lag_s: 3\n  address_reuse_s: 2\n  contact_ms: 4000\n  ack_ms: 5000\n  "
             "catch_up_s: 4\n  drain_ms: 3000\n"
             "  grace_s: 6\n  loss_slack_ms: 200\n  config_apply_ms: 3000\n  rollback_slack_ms: 250\n  "
             "stretch_max_ms: 12000\n"
             "  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  retry_slack: 52\n  recovery_s: 12\n  "
             "rejection_slack: 10\n"
             "config_mode: \"highest\"\nplatform_api:\n  address: \""
          << network << "5:" << platformPort
          << "\"\n  rate_per_s: 26.0\n  duty_set:\n    - \"startup\"\n  max_lag_ms: 800\n  duty_per_s: "
             "150.0\n";
        std::filesystem::create_directories(m.folder + (m.core ? "/disk" : ""));
        std::ofstream(m.folder + "/boot.yaml") << y.str();
    }
    void start(Machine& m) {
        writeSettings(m);
        m.bootstrap = false;
        const std::string settings = m.folder + "/boot.yaml";
        for (auto& [program, pid] : m.processes) {
            const std::string path = programs + "/" + program, log = m.folder + "/" + program + ".log";
            pid = fork();
            if (pid == 0) {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
                dup2(fd, 1), dup2(fd, 2);
                for (int other = 3; other < 1024; ++other) close(other);
                setenv("PETRELPOND_NODE_FILE", settings.c_str(), 1);
                // All machines share one host here, so each pair of proxy and agent gets a loopback address
                // of its own.
                execl(path.c_str(), path.c_str(), "--loopback", m.ip.c_str(), static_cast<char*>(nullptr));
                _exit(127);
            }
        }
        record("%s starts", m.name.c_str());
    }
    void signalAll(Machine& m, int number) {
        for (auto& [program, pid] : m.processes)
            if (pid > 0) kill(pid, number);
    }
    // As the platform does: SIGTERM, SIGKILL after grace_s, a new start after a short delay.
    void restartInOrder(Machine& m, double grace) {
        m.terminatedAt = now();
        record("%s gets SIGTERM", m.name.c_str());
        signalAll(m, SIGTERM);
        bool killed = false;
        for (bool running = true; running;) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
            if (!killed && now() > m.terminatedAt + grace) {
                killed = true;
                record("%s gets SIGKILL", m.name.c_str());
                signalAll(m, SIGKILL);
            }
            running = false;
            for (auto& [program, pid] : m.processes) {
                if (pid <= 0) continue;
                if (waitpid(pid, nullptr, WNOHANG) == pid) {
                    record("%s: %s has ended, %.2f s after SIGTERM", m.name.c_str(), program.c_str(),
                           now() - m.terminatedAt);
                    pid = -1;
                } else {
                    running = true;
                }
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        start(m);
    }
    void endAll() {
        for (auto& m : machines)
            for (auto& [program, pid] : m->processes)
                if (pid > 0) kill(pid, SIGKILL), waitpid(pid, nullptr, 0), pid = -1;
    }

    // ---- the platform's entry: readiness each second, two misses take a sender out
    void watchReadiness() {
        for (Machine* m : edges())
            std::thread([this, m] {
                for (double at = now();; at += 1) {
                    sleepUntil(at);
                    bool ready = false;
                    const int fd = connectTo(m->ip, ports.readiness, now() + 0.9);
                    if (fd >= 0) {
                        std::string in;
                        Message answer;
                        sendAll(fd, "GET /readiness HTTP/1.1\r\nHost: " + m->ip +
                                        "\r\nConnection: close\r\n\r\n");
                        ready = readMessage(fd, in, answer, now() + 0.9) == Reading::whole &&
                                answer.status() == 200;
                        close(fd);
                    }
                    m->misses = ready ? 0 : m->misses + 1;
                    const bool in = ready || (m->counted && m->misses < 2);
                    if (in != m->counted)
                        record("the platform counts %s as %s", m->name.c_str(), in ? "in" : "out");
                    m->counted = in;
                }
            }).detach();
    }
    // The sender for a new connection: those that are in; all of them where fewer than half are in.
    Machine* senderFor(uint64_t client, const std::set<Machine*>& tried = {}) {
        std::vector<Machine*> all = edges(), in;
        for (Machine* m : all)
            if (m->counted) in.push_back(m);
        if (in.size() * 2 < all.size()) in = all;
        std::vector<Machine*> fresh;
        for (Machine* m : in)
            if (!tried.count(m)) fresh.push_back(m);
        if (fresh.empty()) fresh = in;
        return fresh[client % fresh.size()];
    }

    int putConfiguration(const std::string& body) {
        for (double until = now() + 20; now() < until;) {
            for (Machine* core : cores()) {
                const int fd = connectTo(core->ip, ports.control, now() + 1);
                if (fd < 0) continue;
                std::string in;
                Message answer;
                sendAll(fd,
                        "PUT /configuration HTTP/1.1\r\nHost: control\r\nContent-Type: "
                        "application/json\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body);
                const Reading reading = readMessage(fd, in, answer, now() + 1.5);
                close(fd);
                if (reading == Reading::whole && answer.status() == 200) return 200;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
        return 0;
    }
    bool waitUntilReady(double until) {
        while (now() < until) {
            size_t ready = 0;
            for (Machine* m : edges()) ready += m->counted && m->misses == 0;
            if (ready == edges().size()) return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        return false;
    }
};

}  // namespace world
