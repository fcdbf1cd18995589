#include "fleet/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "fleet/parts.hpp"

namespace petrelpond::fleet {

namespace {

using nlohmann::json;

int64_t micros(Span s) { return s.inMicros(); }

// The settings object that the platform would give.
json settingsOf(const Scenario& s, int sender) {
    json lanes = json::array(), kinds = json::array(), batches = json::array(), routes = json::array();
    static const char* effects[] = {"read_like", "idempotency_key", "non_idempotent"};
    for (const ProductPlan& p : s.products) {
        lanes.push_back({{"name", p.name},
                         {"aim", micros(p.rules.sla)},
                         {"deadline", micros(p.rules.validity)},
                         {"effect", effects[static_cast<int>(p.rules.effect)]},
                         {"window", micros(p.rules.dedupWindow)},
                         {"group", "all"},
                         {"worth", p.rules.revenue},
                         {"lateWorth", p.rules.lateRevenueShare},
                         {"fifoByKey", p.rules.inOrder}});
    }
    for (const Group& g : s.groups) {
        kinds.push_back(g.name), batches.push_back(g.batch), routes.push_back(g.separateRoutes);
    }
    SenderParts parts = partsOf(s);
    return {{"balancers", sendersTold(s, sender)},
            {"domain",
             {{"batchByKind", batches},
              {"maxCalls", s.callsOut},
              {"separateRoutes", routes},
              {"decay", "linear"}}},
            {"failureDomains", {"a", "b"}},
            {"kinds", kinds},
            {"lanes", lanes},
            {"limits",
             {{"cancel", s.cancel},
              {"connIdle", micros(parts.links.idleTimeout)},
              {"connectTimeout", 1500000},
              {"maxAttempts", s.submits},
              {"maxRetryAfter", micros(s.longestPause)},
              {"mostHeld", s.held},
              {"retryAfter", s.longestPause > Span()}}},
            {"resolution", micros(s.tick)},
            {"contract",
             {{"cold", micros(parts.cold.warmUpTime)},
              {"coldFrom", parts.cold.initialShare},
              {"fall", micros(parts.cold.overloadWindow)},
              {"tipMultiple", parts.cold.overloadFactor},
              {"orderSettle", micros(parts.links.keyHoldTime)}}},
            {"weights", parts.list.includesRates ? "nominal" : "none"},
            {"zone", "a"}};
}

std::string firstWords(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream out;
    out << file.rdbuf();
    return out.str();
}

// A share counts over so long; one that was over it stands still no longer than this.
constexpr Span kShareOver = Span::millis(100), kHeldUpMost = Span::millis(400);

long countIn(const std::string& folder) {
    std::error_code error;
    auto all = std::filesystem::directory_iterator(folder, error);
    return error ? 0 : static_cast<long>(std::distance(begin(all), end(all)));
}

}  // namespace

SenderProcess::SenderProcess(const Scenario& scenario, int number, std::string folder, Command command)
    : scenario_(scenario), number_(number), folder_(std::move(folder)), command_(std::move(command)) {
    // What an earlier run left there is no part of this one.
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_ + "/state");
}

SenderProcess::~SenderProcess() {
    if (pid_ > 0) kill();
}

void SenderProcess::configure(const std::string& listen, const std::string& discovery,
                              const std::string& members, int64_t revision) {
    listen_ = listen, discovery_ = discovery, members_ = members, revision_ = revision;
    writeConfig();
}

void SenderProcess::loseFolder() {
    std::filesystem::remove_all(folder_ + "/state");
    std::filesystem::create_directories(folder_ + "/state");
}

void SenderProcess::moveDiscovery(const std::string& discovery) {
    discovery_ = discovery;
    writeConfig();
    signal(SIGHUP);
}

void SenderProcess::writeConfig() const {
    json config = {
        {"name", "n" + std::to_string(number_)},
        {"listen", listen_},
        {"discovery", discovery_},
        {"state", folder_ + "/state"},
        {"seed", std::to_string(scenario_.seed * 1000 + static_cast<uint64_t>(number_))},
        {"limits",
         {{"memory_mb", scenario_.memoryMb}, {"sockets", scenario_.sockets}, {"disk_mb", scenario_.diskMb}}},
        {"known", {{"revision", revision_}, {"complete", true}, {"members", json::parse(members_)}}},
        {"settings", settingsOf(scenario_, number_)}};
    if (!crew_.empty()) config["crew"] = json::parse(crew_), config["ops"] = ops_;
    std::string path = folder_ + "/config.json";
    std::ofstream(path + ".new") << config.dump();
    std::filesystem::rename(path + ".new", path);
}

void SenderProcess::start() {
    std::vector<std::string> words = {command_.program};
    words.insert(words.end(), command_.words.begin(), command_.words.end());
    std::vector<char*> argv;
    for (std::string& w : words) argv.push_back(w.data());
    argv.push_back(nullptr);
    std::string log = folder_ + "/log", config = folder_ + "/config.json", state = folder_ + "/state";
    pid_ = fork();
    if (pid_ < 0) throw std::runtime_error("no process to be had for a sender");
    if (pid_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);  // no sender outlives its stage, however that ends
        // The sender's descriptors are bounded by its configuration; ours are closed by exec.
        int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        if (fd >= 0) dup2(fd, 1), dup2(fd, 2);
        sigset_t none;
        sigemptyset(&none);
        sigprocmask(SIG_SETMASK, &none, nullptr);
        setenv("LB_CONFIG", config.c_str(), 1);
        setenv("LB_STATE", state.c_str(), 1);
        for (const char* name : {"LB_NAME", "LB_LISTEN", "LB_DISCOVERY"}) unsetenv(name);
        for (auto& [name, value] : command_.environment) {
            std::string v = value;
            if (size_t at = v.find("{folder}"); at != std::string::npos) v.replace(at, 8, folder_);
            setenv(name.c_str(), v.c_str(), 1);
        }
        execvp(argv[0], argv.data());
        _exit(127);
    }
    ++used_.starts;
}

void SenderProcess::kill() {
    if (pid_ <= 0) return;
    measure();
    cpuBefore_ = used_.cpuSeconds;
    ::kill(pid_, SIGKILL);
    waitpid(std::exchange(pid_, -1), nullptr, 0);
}

void SenderProcess::signal(int which) {
    if (which == SIGSTOP || which == SIGCONT) stopped_ = which == SIGSTOP;
    if (pid_ > 0) ::kill(pid_, which);
}

void SenderProcess::keepToShare(Instant now, double cores) {
    clockid_t clock;
    timespec t{};
    if (pid_ <= 0 || stopped_ || clock_getcpuclockid(pid_, &clock) != 0 || clock_gettime(clock, &t) != 0) return;
    double used = static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
    auto anew = [&] { sharedBy_ = pid_, sharedFrom_ = now, usedFrom_ = used, overShare_ = false; };
    if (sharedBy_ != pid_) anew();
    // What was not used is not saved up.
    double ahead = used - usedFrom_ - cores * (now - sharedFrom_).inSeconds();
    if (ahead < 0 && !overShare_) return anew();
    if (!overShare_ && ahead > cores * kShareOver.inSeconds()) {
        overShare_ = true, stoppedAt_ = now, ++used_.heldUp;
        ::kill(pid_, SIGSTOP);
    } else if (overShare_ && (ahead <= 0 || now - stoppedAt_ >= kHeldUpMost)) {
        used_.heldUpMost = std::max(used_.heldUpMost, (now - stoppedAt_).inSeconds() * 1e3);
        ::kill(pid_, SIGCONT);
        anew();
    }
}

bool SenderProcess::running() {
    if (pid_ <= 0) return false;
    if (waitpid(pid_, nullptr, WNOHANG) == 0) return true;
    cpuBefore_ = used_.cpuSeconds, pid_ = -1;
    return false;
}

void SenderProcess::measure() {
    if (pid_ <= 0) return;
    std::string at = "/proc/" + std::to_string(pid_);
    std::string stat = firstWords(at + "/stat");
    if (size_t behind = stat.rfind(')'); behind != std::string::npos) {
        std::istringstream words(stat.substr(behind + 2));
        std::vector<std::string> all{std::istream_iterator<std::string>(words), {}};
        if (all.size() > 12) {
            double ticks = std::stod(all[11]) + std::stod(all[12]);
            used_.cpuSeconds = cpuBefore_ + ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
        }
    }
    std::string status = firstWords(at + "/status");
    if (size_t found = status.find("VmHWM:"); found != std::string::npos) {
        used_.memoryMb = std::max(used_.memoryMb, std::atof(status.c_str() + found + 6) / 1000);
    }
    size_t resident = status.find("VmRSS:");
    used_.memoryBySecond.push_back(
        resident == std::string::npos ? 0 : std::atof(status.c_str() + resident + 6) / 1000);
    used_.threadsBySecond.push_back(countIn(at + "/task"));
    used_.threads = std::max(used_.threads, used_.threadsBySecond.back());
    used_.descriptors = std::max(used_.descriptors, countIn(at + "/fd"));
}

}  // namespace petrelpond::fleet
