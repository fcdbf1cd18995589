#include "fleet/system/machines.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace petrelpond::range {

namespace {

const Span kOwnEndPause = Span::millis(500);  // before what ended by itself is started again
const Span kDeafening = Span::millis(60);     // until the others are deaf to one without power
constexpr int kMostOwnEnds = 5;               // of one machine; then it stays down

int64_t millis(Span s) { return s.inMicros() / 1000; }

}  // namespace

bool Machine::running() const {
    return !frozen &&
           std::all_of(processes.begin(), processes.end(), [](const Process& p) { return p.pid > 0; });
}

Machines::Machines(network::Loop& loop, Judge& judge, const Plan& plan, std::string programs,
                   std::string folder, uint32_t network, std::vector<std::string> zones)
    : loop_(loop), judge_(judge), plan_(plan), programs_(std::move(programs)), folder_(std::move(folder)),
      network_(network), zones_(std::move(zones)) {
    auto add = [&](bool core, int n) {
        Machine m;
        m.core = core, m.name = (core ? "core-" : "edge-") + std::to_string(n + 1);
        m.zone = zones_[static_cast<size_t>(n) % zones_.size()];
        m.ip = ip(core ? 2 : 1, static_cast<uint32_t>(n + 1)), m.folder = folder_ + "/" + m.name;
        for (const char* program : {"petrel-proxy", "petrel-agent", "petrel-control-plane"})
            if ((std::string(program) == "petrel-control-plane") == core)
                m.processes.push_back({program, -1, false, 0});
        machines_.push_back(std::move(m));
    };
    for (int i = 0; i < plan.edges; ++i) add(false, i);
    for (int i = 0; i < plan.cores + plan.spares; ++i) add(true, i);
    for (size_t i = machines_.size() - static_cast<size_t>(plan.spares); i < machines_.size(); ++i) {
        machines_[i].out = true;
        machines_[i].bootstrap = false;
    }
    std::vector<std::string> ips, folders;
    for (const Machine& m : machines_) ips.push_back(m.ip), folders.push_back(m.folder);
    weather_ = std::make_unique<Weather>(ips, folders, [this](int n) {
        for (auto& p : machines_[static_cast<size_t>(n)].processes)
            if (p.pid > 0) ::kill(p.pid, SIGWINCH);
    });
    chance_.seed(plan.seed * 7 + 5);
}

Machines::~Machines() {
    for (Machine& m : machines_)
        for (auto& p : m.processes) end(p);
}

std::string Machines::ip(uint32_t block, uint32_t host) const {
    std::string text = network::Address{network_ | block << 8 | host, 1}.text();
    return text.substr(0, text.find(':'));
}

int Machines::number(const std::string& name) const {
    for (size_t i = 0; i < machines_.size(); ++i)
        if (machines_[i].name == name) return static_cast<int>(i);
    return -1;
}

void Machines::writeSettings(const Machine& m, size_t firstSeed) const {
    std::ostringstream y;
    auto at = [&](uint16_t port) { return "\"" + m.ip + ":" + std::to_string(port) + "\"\n"; };
    y << "node_name: \"" << m.name << "\"\nrole: \"" << (m.core ? "control" : "carrier")
      << "\"\nmachine_class: \"" << (m.core ? "core" : "edge") << "\"\nserved_role:\n  - \""
      << (m.core ? "control_plane" : "edge") << "\"\nip_address: \"" << m.ip << "\"\nzone: \"" << m.zone
      << "\"\nregion: \"here\"\nzones:\n";
    for (const std::string& zone : zones_) y << "  " << zone << ": \"here\"\n";
    y << "listen_addresses:\n";
    if (m.core)
        y << "  control: " << at(ports.control);
    else
        y << "  front: " << at(ports.front) << "  readiness: " << at(ports.readiness);
    y << "internal_port_range:\n  - " << ports.first << "\n  - " << ports.last << "\nseed_nodes:\n";
    std::vector<std::string> cores;
    for (const Machine& other : machines_)
        if (other.core && !other.out) cores.push_back(other.ip);
    for (size_t i = 0; i < std::min<size_t>(3, cores.size()); ++i)
        y << "  - \"" << cores[(firstSeed + i) % cores.size()] << ":" << ports.control << "\"\n";
    y << "bootstrap: " << (m.bootstrap ? "true" : "false")
      << "\nquorum_member: " << (m.core ? "true" : "false")
      << "\nlimits:\n  cpu_share: 0.5\n  cpu_cores: 1\n  memory_mb: 260\n  file_descriptors: 4100\n"
      << "  link_mbps: 1000.0\n  disk_mb: " << (m.core ? 128 : 0)
      << "\ndata_dir: " << (m.core ? "\"" + m.folder + "/disk\"" : "null")
      << "\ndiscovery: \"platform\"\nheartbeat_ms: 1200\n"
      << "contract_set:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - "
         "\"recover\"\n"
      << "  - \"functions\"\nfault_tolerance:\n  machine_losses: " << (plan_.cores - 1) / 2
      << "\n  zones: 0\n  region_losses: 0\n";
    const Bounds& b = plan_.bounds;
    y << "bounds:\n  seed_lag_s: 3\n  address_reuse_s: " << b.addressReuse.inSeconds()
      << "\n  contact_ms: " << millis(b.contact) << "\n  ack_ms: " << millis(b.ack)
      << "\n  catch_up_s: " << b.catchUp.inSeconds() << "\n  drain_ms: " << millis(b.drain)
      << "\n  grace_s: " << b.grace.inSeconds() << "\n  loss_slack_ms: " << millis(b.lossSlack)
      << "\n  config_apply_ms: " << millis(b.configApply)
      << "\n  rollback_slack_ms: " << millis(b.rollbackSlack)
      << "\n  stretch_max_ms: " << millis(b.stretchMost) << "\n  retry_budget_ratio: " << b.retryRatio
      << "\n  budget_window_s: " << b.budgetWindow.inSeconds() << "\n  retry_slack: " << b.retrySlack
      << "\n  recovery_s: " << b.recovery.inSeconds() << "\n  rejection_slack: " << b.rejectionSlack
      << "\nconfig_mode: \"highest\"\nplatform_api:\n  address: \"" << ip(0, 10) << ":" << ports.platform
      << "\"\n  rate_per_s: " << plan_.listRate
      << "\n  duty_set:\n    - \"startup\"\n  max_lag_ms: " << millis(plan_.lag)
      << "\n  duty_per_s: " << plan_.dutyRate << "\n";
    std::filesystem::create_directories(m.folder + (m.core ? "/disk" : ""));
    std::string path = m.folder + "/boot.yaml";
    std::ofstream(path + ".new") << y.str();
    std::filesystem::rename(path + ".new", path);
}

void Machines::startAll() {
    for (Machine& m : machines_) {
        if (std::filesystem::exists(m.folder)) std::filesystem::remove_all(m.folder);
        writeSettings(m);
    }
    weather_->writeAll();
    for (Machine& m : machines_) {
        if (m.out) continue;
        for (auto& p : m.processes) start(m, p);
        m.bootstrap = false;  // whatever starts again does so on old disks, or on lost ones
    }
}

void Machines::start(Machine& m, Machine::Process& p) {
    if (ending_) return;
    if (m.starts > 0) writeSettings(m);
    std::string path = programs_ + "/" + p.program, log = m.folder + "/" + p.program + ".log";
    std::string settings = m.folder + "/boot.yaml";
    std::string seed = std::to_string(plan_.seed % 1000000 * 1000 + static_cast<uint64_t>(++m.starts) * 37 +
                                      static_cast<uint64_t>(number(m.name)) + 1);
    seed = std::to_string(std::stoull(seed) % 2000000000 + 1);
    std::vector<std::string> words = {path, "--loopback", m.ip, "--seed", seed};
    std::vector<char*> argv;
    for (std::string& w : words) argv.push_back(w.data());
    argv.push_back(nullptr);
    // Until the child has become the program it holds copies of our descriptors, and the loop would hear of
    // those that we have closed meanwhile. So we wait for that moment: the pipe's other end closes with it.
    int gate[2];
    if (pipe2(gate, O_CLOEXEC) != 0) throw std::runtime_error("no pipe to be had for " + m.name);
    p.pid = fork();
    if (p.pid < 0) throw std::runtime_error("no process to be had for " + m.name);
    if (p.pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);  // nothing outlives the play, however that ends
        int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        if (fd >= 0) dup2(fd, 1), dup2(fd, 2);
        setenv("PETRELPOND_NODE_FILE", settings.c_str(), 1);
        setenv(kFolderVariable, m.folder.c_str(), 1);
        if (!defect.empty()) setenv("PETRELPOND_TWIN", defect.c_str(), 1);
        signal(SIGINT, SIG_DFL), signal(SIGTERM, SIG_DFL);
        execv(argv[0], argv.data());
        _exit(127);
    }
    ::close(gate[1]);
    char none;
    (void)!::read(gate[0], &none, 1);
    ::close(gate[0]);
    p.meant = true;
}

// What a process that has ended used.
void Machines::account(Machine::Process& p, const rusage& used) {
    auto seconds = [](const timeval& t) {
        return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
    };
    p.cpuBefore += seconds(used.ru_utime) + seconds(used.ru_stime);
    mostMemory_ = std::max(mostMemory_, static_cast<double>(used.ru_maxrss) / 1000);
    p.pid = -1;
}

void Machines::end(Machine::Process& p) {
    p.meant = false;
    if (p.pid <= 0) return;
    rusage used{};
    ::kill(p.pid, SIGKILL);
    wait4(p.pid, nullptr, 0, &used);
    account(p, used);
}

void Machines::strikeDead(const std::vector<int>& machines, const std::string& program) {
    for (int n : machines)
        for (auto& p : machines_[static_cast<size_t>(n)].processes)
            if (p.pid > 0 && (program.empty() || p.program == program)) ::kill(p.pid, SIGKILL);
}

void Machines::kill(int n, Span away, bool wipe, const std::string& program) {
    Machine& m = machines_[static_cast<size_t>(n)];
    if (ending_ || m.out) return;
    judge_.down(loop_.now(), n);
    for (auto& p : m.processes)
        if (program.empty() || p.program == program) end(p);
    m.frozen = false;
    if (m.powerless) return;  // comes back when its power does
    if (wipe) loseDisk(m.folder);
    loop_.at(loop_.now() + away, [this, n] { back(n); });
}

void Machines::back(int n) {
    Machine& m = machines_[static_cast<size_t>(n)];
    if (ending_ || m.ending || m.out) return;
    m.powerless = false, weather_->silent(n, false);
    bool newProxy = false;
    for (auto& p : m.processes)
        if (p.pid <= 0) newProxy |= p.program != "petrel-agent", start(m, p);
    judge_.up(loop_.now(), n, newProxy);
}

void Machines::freeze(int n, Span lasts) {
    Machine& m = machines_[static_cast<size_t>(n)];
    if (ending_ || m.frozen || !m.running()) return;
    judge_.down(loop_.now(), n);
    m.frozen = true;
    for (auto& p : m.processes) ::kill(p.pid, SIGSTOP);
    loop_.at(loop_.now() + lasts, [this, n] {
        Machine& again = machines_[static_cast<size_t>(n)];
        if (!again.frozen) return;  // killed meanwhile
        again.frozen = false;
        for (auto& p : again.processes)
            if (p.pid > 0) ::kill(p.pid, SIGCONT);
        judge_.up(loop_.now(), n, false);
    });
}

void Machines::terminate(int n, Span away) {
    Machine& m = machines_[static_cast<size_t>(n)];
    if (ending_ || m.ending || !m.running()) return;
    judge_.down(loop_.now(), n);
    judge_.planned(loop_.now(), n);
    m.ending = true;
    for (auto& p : m.processes) p.meant = false, ::kill(p.pid, SIGTERM);
    loop_.at(loop_.now() + plan_.bounds.grace, [this, n, away] {
        Machine& again = machines_[static_cast<size_t>(n)];
        for (auto& p : again.processes) end(p);
        loop_.at(loop_.now() + away,
                 [this, n] { machines_[static_cast<size_t>(n)].ending = false, back(n); });
    });
}

void Machines::reload(int n) {
    Machine& m = machines_[static_cast<size_t>(n)];
    if (ending_ || m.ending || !m.running()) return;
    writeSettings(m, chance_() % 3);
    judge_.reloads(loop_.now(), n);
    for (auto& p : m.processes) ::kill(p.pid, SIGHUP);
}

int Machines::takeSpare() {
    for (size_t i = 0; i < machines_.size(); ++i) {
        Machine& m = machines_[i];
        if (!m.out || m.taken || m.starts > 0) continue;
        m.taken = true;
        return static_cast<int>(i);
    }
    return -1;
}

void Machines::bringUp(int n) {
    Machine& m = machines_[static_cast<size_t>(n)];
    if (ending_) return;
    m.out = false;
    writeSettings(m);
    for (auto& p : m.processes) start(m, p);
}

void Machines::endForGood(int n) {
    Machine& m = machines_[static_cast<size_t>(n)];
    for (auto& p : m.processes) end(p);
    m.out = true, m.frozen = false, m.ending = false;
    loseDisk(m.folder);
}

void Machines::lostUntilCaughtUp(int n, Instant successorComes) {
    loop_.at(std::max(loop_.now(), successorComes + plan_.bounds.catchUp),
             [this, n] { judge_.up(loop_.now(), n, false); });
}

int Machines::replace(int old, Span between, bool planned) {
    Machine& m = machines_[static_cast<size_t>(old)];
    if (ending_ || m.out || m.ending) return -1;
    const int successor = takeSpare();
    if (successor < 0) return -1;
    const Instant now = loop_.now();
    if (!planned) {
        judge_.down(now, old);
        endForGood(old);
        loop_.at(now + between, [this, successor] { bringUp(successor); });
        lostUntilCaughtUp(old, now + between);
        return successor;
    }
    bringUp(successor);
    loop_.at(now + between, [this, old, now] {
        Machine& leaver = machines_[static_cast<size_t>(old)];
        if (ending_ || leaver.out) return;
        judge_.down(loop_.now(), old);
        judge_.planned(loop_.now(), old);
        leaver.ending = true;
        for (auto& p : leaver.processes)
            if (p.pid > 0) p.meant = false, ::kill(p.pid, SIGTERM);
        lostUntilCaughtUp(old, now);
        loop_.at(loop_.now() + plan_.bounds.grace, [this, old] { endForGood(old); });
    });
    return successor;
}

// The others are deaf to it before its processes end: a machine without power sends no word that they did.
void Machines::losePower(const std::vector<int>& machines, Span away) {
    if (ending_) return;
    std::vector<int> struck;
    for (int n : machines)
        if (Machine& m = machines_[static_cast<size_t>(n)]; !m.powerless && !m.ending && !m.out)
            struck.push_back(n);
    for (int n : struck)
        for (auto& p : machines_[static_cast<size_t>(n)].processes)
            if (p.pid > 0) ::kill(p.pid, SIGSTOP);
    for (int n : struck) {
        judge_.down(loop_.now(), n);
        machines_[static_cast<size_t>(n)].powerless = true;
        weather_->silent(n, true);
    }
    loop_.at(loop_.now() + kDeafening, [this, struck, away] {
        if (ending_) return;
        for (int n : struck) {
            Machine& m = machines_[static_cast<size_t>(n)];
            judge_.down(loop_.now(), n);  // an earlier kill may have brought it back in between
            for (auto& p : m.processes) end(p);
            m.frozen = false;
            fileLosses_ += forgetUnsynced(m.folder, chance_);
            loop_.at(loop_.now() + away, [this, n] { back(n); });
        }
    });
}

void Machines::harmDisks(const std::vector<int>& machines, Kind kind, Span value, Span lasts) {
    auto set = [this, machines, kind, value](bool on) {
        for (int n : machines) {
            DiskWeather& d = weather_->disk(n);
            if (kind == Kind::diskSlow) d.slow = on ? static_cast<uint32_t>(value.inMicros()) : 0;
            if (kind == Kind::diskStalled) d.stalled = on;
            if (kind == Kind::diskFull) d.full = on;
        }
        weather_->publish();
    };
    for (int n : machines) judge_.harmed(n, loop_.now(), loop_.now() + lasts);
    set(true);
    loop_.at(loop_.now() + lasts, [set] { set(false); });
}

// A cut of fewer than half of the core leaves it settled in between; whoever of the senders can't reach it is
// out of touch.
void Machines::harmLinks(const LinkTrouble& t, Span lasts) {
    Instant now = loop_.now(), until = now + lasts;
    auto cores = [this](const std::vector<int>& all) {
        return std::count_if(all.begin(), all.end(),
                             [this](int n) { return machines_[static_cast<size_t>(n)].core; });
    };
    bool brief = t.loss >= 1 && cores(t.from) * 2 < plan_.cores;
    for (const auto& [these, those] : {std::pair(&t.from, &t.to), std::pair(&t.to, &t.from)})
        for (int n : *these) {
            if (cores(*those) == 0 && t.loss >= 1) continue;
            if (!machines_[static_cast<size_t>(n)].core) {
                bool hears =
                    t.loss >= 1 && these == &t.to && cores(t.to) > 0 && cores(t.from) * 2 <= plan_.cores;
                if (!hears) judge_.harmed(n, now, until);
            } else if (these == &t.from && brief) {
                judge_.harmed(n, now, now), judge_.harmed(n, until, until);
            } else if (these == &t.from) {
                judge_.harmed(n, now, until);
            }
        }
    weather_->begin(t);
    loop_.at(until, [this, t] { weather_->end(t); });
}

void Machines::count() {
    for (Machine& m : machines_)
        for (auto& p : m.processes)
            if (p.pid > 0) ::kill(p.pid, SIGWINCH);
}

std::pair<double, double> Machines::counted() const {
    std::pair<double, double> sum;
    for (const Machine& m : machines_)
        for (const auto& p : m.processes) {
            double out = 0, in = 0;
            if (!m.core && std::ifstream(m.folder + "/bytes-" + std::to_string(p.pid)) >> out >> in)
                sum.first += out, sum.second += in;
        }
    return sum;
}

void Machines::look() {
    for (size_t i = 0; i < machines_.size(); ++i) {
        Machine& m = machines_[i];
        for (auto& p : m.processes) {
            int status = 0;
            rusage used{};
            if (p.pid <= 0 || wait4(p.pid, &status, WNOHANG, &used) != p.pid) continue;
            account(p, used);
            if (!p.meant || ending_) continue;
            p.meant = false;
            ++m.ownEnds;
            std::string how = WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                                                  : "with code " + std::to_string(WEXITSTATUS(status));
            judge_.ownEnd(loop_.now(), static_cast<int>(i),
                          m.name + ": " + p.program + " ended by itself, " + how);
            if (m.ownEnds >= kMostOwnEnds) continue;
            // It counts as running all the while; but a new life of the proxy begins with nothing behind it.
            loop_.at(loop_.now() + kOwnEndPause, [this, n = static_cast<int>(i)] {
                Machine& again = machines_[static_cast<size_t>(n)];
                if (again.ending || ending_) return;
                for (auto& each : again.processes)
                    if (each.pid <= 0) start(again, each);
                judge_.up(loop_.now(), n, true);
            });
        }
    }
}

void Machines::endAll() {
    ending_ = true;
    for (Machine& m : machines_)
        for (auto& p : m.processes) end(p);
}

double Machines::cpuSeconds() const {
    double sum = 0;
    for (const Machine& m : machines_)
        for (const auto& p : m.processes) sum += p.cpuBefore;
    return sum;
}

int Machines::ownEnds() const {
    int n = 0;
    for (const Machine& m : machines_) n += m.ownEnds;
    return n;
}

}  // namespace petrelpond::range
