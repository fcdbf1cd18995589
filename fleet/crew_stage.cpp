#include "fleet/crew_stage.hpp"

#include <signal.h>

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "fleet/crew_links.hpp"
#include "fleet/net.hpp"

namespace petrelpond::fleet {

namespace {

using crew::State;

constexpr Span kTogetherWithin = Span::seconds(60), kAnswerWithin = Span::millis(1500);

class Playing {
  public:
    explicit Playing(const CrewPlay& play)
        : play_(play), scenario_(readScenario(
                           "[senders]\ncount = " + std::to_string(std::max(play.members, 1)) +
                               "\n[[product]]\nname = \"status\"\neffect = \"resendable\"\n[[group]]\nname = \"g\"\n",
                           "crew")),
          links_(loop_, play.plan, play.links, play.members, play.seed) {
        scenario_.seed = play.seed;
    }
    CrewRun run();

  private:
    void look();
    void act(const CrewStep& step);
    void read(CrewView& view, const std::string& line) const;
    SenderProcess& at(int member) { return *processes_[static_cast<size_t>(member)]; }

    const CrewPlay& play_;
    Scenario scenario_;
    Loop loop_;
    CrewLinks links_;
    std::vector<std::unique_ptr<SenderProcess>> processes_;
    std::vector<bool> runs_;
    CrewRun result_;
    bool begun_ = false;
    std::string why_ = "nobody was asked yet";
};

void Playing::read(CrewView& view, const std::string& line) const {
    if (!line.starts_with("SUCCESS ")) return;
    auto body = nlohmann::json::parse(line.substr(8), nullptr, false);
    if (!body.is_object()) return;
    view.answered = true, view.phase = body.value("phase", ""), view.health = body.value("health", 0);
    for (const auto& m : body["members"]) {
        std::string name = m.value("name", ""), state = m.value("state", "");
        size_t member = name.size() > 1 ? static_cast<size_t>(atoi(name.c_str() + 1)) : view.states.size();
        if (member >= view.states.size()) continue;
        for (State s : {State::alive, State::doubted, State::dead, State::left}) {
            if (state == wordOf(s)) view.states[member] = s;
        }
        view.says[member] = m.value("says", "");
    }
}

void Playing::look() {
    auto look = std::make_shared<CrewLook>();
    auto n = static_cast<size_t>(play_.members);
    look->at = loop_.now(), look->views.resize(n), look->runs = runs_;
    auto left = std::make_shared<int>(0);
    for (size_t m = 0; m < n; ++m) {
        look->views[m].states.resize(n), look->views[m].says.resize(n);
        *left += runs_[m];
    }
    for (size_t m = 0; m < n; ++m) {
        if (!runs_[m]) continue;
        askLine(loop_, links_.ops(static_cast<int>(m)), "members", kAnswerWithin, [=, this](std::optional<std::string> line) {
            if (line) read(look->views[m], *line);
            if (--*left > 0) return;
            std::string why;
            bool all = look->runs == runs_ && agrees(*look, why);
            if (begun_) result_.looks.push_back(*look);
            why_ = why;
            if (!begun_ && all) result_.allThere = loop_.now(), loop_.stop();
        });
    }
    loop_.at(loop_.now() + play_.lookEvery, [this] { this->look(); });
}

void Playing::act(const CrewStep& step) {
    SenderProcess& process = at(step.member);
    auto m = static_cast<size_t>(step.member);
    switch (step.what) {
        case CrewStep::What::kill:
            process.kill(), runs_[m] = false;
            break;
        case CrewStep::What::startLost:
            process.loseFolder();
            [[fallthrough]];
        case CrewStep::What::start:
            process.start(), runs_[m] = true;
            break;
        case CrewStep::What::stop:
            process.signal(SIGSTOP), runs_[m] = false;
            break;
        case CrewStep::What::go:
            process.signal(SIGCONT), runs_[m] = true;
            break;
        case CrewStep::What::leave:
            process.signal(SIGTERM), runs_[m] = false;
            break;
    }
}

CrewRun Playing::run() {
    raiseDescriptors();
    signal(SIGPIPE, SIG_IGN);
    for (int s = 0; s < play_.members; ++s) {
        processes_.push_back(std::make_unique<SenderProcess>(
            scenario_, s, play_.folder + "/sender-" + std::to_string(s), play_.sender));
        Bound listen = listenOn("127.1." + std::to_string(40 + s / 250) + "." + std::to_string(s % 250 + 1), 0);
        closeNow(listen);
        at(s).joinCrew(links_.configOf(s), links_.ops(s));
        at(s).configure(listen.address, "127.1.1.1:9", "[]", 1);
    }
    runs_.assign(static_cast<size_t>(play_.members), true);
    loop_.zeroNow();
    for (int s = 0; s < play_.members; ++s) at(s).start();
    auto timer = loop_.at(loop_.now() + kTogetherWithin, [this] { loop_.stop(); });
    loop_.at(loop_.now() + Span::millis(300), [this] { look(); });
    loop_.run();
    if (result_.allThere == Instant::never()) throw std::runtime_error("the crew did not come together: " + why_);
    loop_.cancel(timer);
    begun_ = true;
    loop_.forgetLateness();
    // Faults count from here; the looks that were planned are planned anew.
    loop_.forgetTimers();
    loop_.zeroNow();
    links_.begin();
    for (const CrewStep& step : play_.steps) loop_.at(Instant() + step.at, [this, step] { act(step); });
    loop_.at(Instant(), [this] { look(); });
    loop_.at(Instant() + play_.lasts, [this] { loop_.stop(); });
    loop_.run();
    result_.lateP999 = loop_.lateAt(0.999);
    for (auto& p : processes_) p->kill(), result_.used.push_back(p->used());
    result_.sums.resize(static_cast<size_t>(play_.members));
    for (int a = 0; a < play_.members; ++a) {
        for (int b = 0; b < play_.members; ++b) result_.sums[static_cast<size_t>(a)].push_back(links_.links().sum(a, b));
    }
    return std::move(result_);
}

}  // namespace

CrewRun playCrew(const CrewPlay& play) { return Playing(play).run(); }

bool agrees(const CrewLook& look, std::string& why) {
    auto said = [](const std::optional<State>& s) { return s ? std::string(wordOf(*s)) : "unknown"; };
    for (size_t v = 0; v < look.views.size(); ++v) {
        if (!look.runs[v]) continue;
        const CrewView& view = look.views[v];
        std::string name = "n" + std::to_string(v);
        if (!view.answered) return why = name + " gave no answer", false;
        if (view.phase != "in") return why = name + " takes no part: " + view.phase, false;
        for (size_t m = 0; m < look.views.size(); ++m) {
            bool there = view.states[m] == State::alive, gone = !view.states[m] || *view.states[m] >= State::dead;
            if (look.runs[m] ? there : gone) continue;
            why = name + " believes n" + std::to_string(m) + " " + said(view.states[m]) + (look.runs[m] ? ", and it runs" : ", and it does not run");
            return false;
        }
    }
    return true;
}

}  // namespace petrelpond::fleet
