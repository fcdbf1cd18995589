// What the scripts of review/4 to review/8 share: the system's own programs as processes on loopback, a
// stand-in of the platform with its endpoints, an operator, clients, and the record of what was seen.
// Blocking sockets and one thread for each connection: a case has a few dozen of them.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

// The record: a line for each thing sent, answered or run, with the milliseconds since the start.
void openRecord(const std::string& path);
void note(const char* format, ...) __attribute__((format(printf, 1, 2)));
long nowMs();
void sleepMs(long ms);
[[noreturn]] void finish(int verdict);               // ends all processes, then this one
[[noreturn]] void cannotRun(const std::string& why);  // exit code 2, after all processes were ended
bool trouble();                                       // TROUBLE=0 in the environment: false

// --- HTTP over a blocking socket ---
struct Fields {
    std::string first, second, third;
    std::vector<std::pair<std::string, std::string>> all;
    std::string get(const std::string& name) const;  // empty if there is none
    bool has(const std::string& name) const;
};
class Wire {
  public:
    explicit Wire(int fd) : fd_(fd) {}
    ~Wire();
    Wire(const Wire&) = delete;
    bool readHead(Fields& head);                       // false: the peer ended or reset, or time ran out
    bool readBody(const Fields& head, std::string&);   // by its length
    bool readSome(std::string& into, size_t most);     // what comes next; false at the end
    bool write(const std::string& bytes);
    void timeoutMs(long ms);                           // of reads
    void finish();                                     // ends sending
    void reset();                                      // closes with a reset
    int fd() const { return fd_; }
    std::string buffered;

  private:
    int fd_;
};
struct ConnectOptions {
    int maxSegment = 0, receiveBuffer = 0;  // 0: the system's
    long timeoutMs = 1000;
};
std::unique_ptr<Wire> dial(const std::string& ip, int port, const ConnectOptions& = {});

// --- the platform ---
struct ServicePlan {
    std::string name;
    int slots = 1, memoryMb = 128, maxConnections = 64;
    long bootMs = 300;
};
class Platform;
struct Endpoint {
    Platform* of = nullptr;
    std::string id, service, worker, ip;
    int port = 0, slots = 1;
    long upAt = 0;
    std::atomic<int> busy{0};
    std::atomic<long> lastConnectionAt{-100000};
    std::atomic<bool> stopped{false}, draining{false};
    int listener = -1;
    std::string seal(const std::string& body) const;
};
// A request that arrived at an endpoint. Return false to have the connection closed.
struct Arrival {
    Endpoint& endpoint;
    Wire& wire;
    const Fields& head;
    const std::string& body;
    std::string attempt;
    int ordinal;                        // on its connection, from 0
    long acceptedAt;                    // of its connection
    std::map<std::string, std::string>& kept;  // of this connection, for the case's own use
};
using Serve = std::function<bool(Arrival&)>;
class Platform {
  public:
    Platform(std::string ip, int port, std::string endpointsNet, std::vector<ServicePlan>, Serve);
    int starts() const { return starts_; }
    // Notes that the request began to run. Returns how often this attempt has run by now.
    int ran(const Arrival&);
    int runsOf(const std::string& attempt);
    std::vector<std::shared_ptr<Endpoint>> endpoints();
    std::function<void(const std::string& call, const Fields&, const std::string& body)> onDuty;
    std::atomic<int> maxLagMs{200};

  private:
    void serveApi(int fd);
    void serveEndpoint(std::shared_ptr<Endpoint>);
    void open(std::shared_ptr<Endpoint>);
    std::mutex mutex_;
    std::string ip_, net_;
    int port_, nextHost_ = 1;
    std::vector<ServicePlan> services_;
    Serve serve_;
    std::map<std::string, std::shared_ptr<Endpoint>> byId_;
    std::map<std::string, std::string> byNonce_;
    std::map<std::string, int> runs_;
    std::atomic<int> starts_{0};
};
// What a sound endpoint answers to a request that has run.
std::string answer200(const Endpoint&, const std::string& attempt, const std::string& body);
std::string answerFull(const std::string& attempt);  // 503 with X-Not-Executed

// --- machines ---
struct Machine {
    std::string name, ip, folder, settings;
    bool core = false;
    std::map<std::string, pid_t> pids;  // by program
    bool bootstrap = true;
};
struct Bounds {
    int graceS = 6, retrySlack = 52, configApplyMs = 3000, contactMs = 4000, drainMs = 3000;
};
class Stage {
  public:
    // Starts nothing yet. Takes addresses of a network of its own under 127.0.0.0/8 and free ports.
    Stage(int edges, int cores, std::vector<ServicePlan>, Serve, Bounds = {});
    ~Stage();
    void startAll();
    void start(Machine&);                          // all its programs
    void start(Machine&, const std::string& program);
    void signal(Machine&, int number);             // to all its programs
    void signal(Machine&, const std::string& program, int number);
    bool waitEnded(Machine&, const std::string& program, long ms);
    void endAll();                                 // kills what still runs
    void cleanUp();                                // the same, and removes the temporary folder
    // Every process that ended without having been told to is told of here.
    std::vector<std::string> unexpectedEnds();
    void put(const std::string& json, long forMs = 15000);  // until acknowledged by a core
    // One call to one core. The status, 0: no answer.
    int call(Machine& core, const std::string& method, const std::string& path, const std::string& body,
             std::string& answer, long timeoutMs = 1500);
    void waitReady(long ms = 15000);
    bool ready(Machine& edge);

    std::vector<Machine> edges, cores;
    int front = 0, readiness = 0, control = 0, first = 0, platformPort = 0;
    std::string net;  // "127.a.b."
    std::unique_ptr<Platform> platform;
    Bounds bounds;

  private:
    void writeSettings(Machine&);
    std::string folder_, root_;
    std::map<pid_t, bool> told_;
};

// --- clients ---
struct Reply {
    int status = 0;  // 0: the connection ended without a whole answer
    Fields head;
    std::string body;
    bool began = false;  // some bytes of an answer came
};
std::string request(const std::string& method, const std::string& host, const std::string& target,
                    const std::string& attempt, long remainingMs, const std::string& body = "",
                    const std::string& more = "");
Reply readReply(Wire&);
Reply ask(const std::string& ip, int port, const std::string& bytes, long timeoutMs);
std::string freshAttempt();

// A configuration.
struct RoutePlan {
    std::string prefix, service;
    bool idempotent = true;
    int maxAttempts = 2, priority = 1;
    long timeoutMs = 8000, targetMs = 500;
};
std::string configuration(long version, const std::vector<RoutePlan>&, const std::vector<ServicePlan>&,
                          long idleTimeoutMs = 15000, const std::string& host = "shop.example");

}  // namespace review
