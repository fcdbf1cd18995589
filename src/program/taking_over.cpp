#include "src/program/taking_over.hpp"

#include <filesystem>
#include <thread>
#include <utility>

#include "src/replica/standby.hpp"

namespace petrelpond {

void sleepUntil(Instant at) {
    std::this_thread::sleep_until(
        std::chrono::steady_clock::time_point(std::chrono::microseconds(at.inMicros())));
}

std::unique_ptr<Store> openStore(const Config& config, const std::string& folder, bool own,
                                 std::shared_ptr<ModuleBox> inbox, Log& log, replica::Shipper* shipper) {
    Store::Options options;
    options.most = config.diskMb * 1000000;
    bool grouped = config.durability == Durability::grouped;
    options.durability = grouped && !own ? Durability::each : config.durability, options.gatherFor = config.gatherFor;
    options.reserve = config.reserve && own;
    options.onSafe = [inbox] { inbox->postHeld(SafeMail{}); };
    options.say = [&log](bool warning, const std::string& words) {
        log.say(warning ? Level::warning : Level::info, words);
    };
    if (shipper) {
        options.mirror = [shipper](uint64_t sequence, std::string_view payload) {
            shipper->mirror(sequence, payload);
        };
    }
    std::string problem;
    std::unique_ptr<store::Disk> disk;
    if (replica::marked(config.state)) {
        problem = config.state + " is a standby's: promote it first, petrelpond store promote";
    } else {
        // Whoever looks whether it is held has it for a moment.
        for (int i = 0; i < 5 && !disk; ++i) {
            if (i > 0) std::this_thread::sleep_for(std::chrono::milliseconds(10));
            disk = store::realDisk(folder, true, problem);
        }
        if (disk) generations::Notes::forget(folder);
    }
    if (!disk) log.say(Level::error, problem);
    return std::make_unique<Store>(std::move(disk), std::move(options));
}

Succession::Succession(const Config& config, std::vector<succession::Number> awaits, std::shared_ptr<ModuleBox> inbox,
                       Log& log)
    : config_(config), heir_(awaits), inbox_(std::move(inbox)), log_(log) {
    for (auto n : awaits) tails_.emplace(n, generations::Tail(generations::folderOf(config.state, n)));
}

void Succession::run(const std::function<void()>& serve, const std::function<void()>& alone) {
    bool serves = false;
    for (int round = 0; !heir_.complete(); ++round) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        if (round % 10 == 0) sizeElsewhere();
        for (auto at = tails_.begin(); at != tails_.end();) {
            auto number = at->first;
            HeritageMail mail;
            mail.number = number;
            // Locked first, read then: what it wrote last is read in any case.
            std::string folder = generations::folderOf(config_.state, number), problem;
            auto disk = store::realDisk(folder, true, problem);
            bool gone = disk || !std::filesystem::exists(folder);
            for (succession::Line& line : at->second.more()) {
                if (line.what == succession::Line::What::handed) heir_.handed(number);
                if (line.what == succession::Line::What::learned) mail.learned.push_back(std::move(line));
            }
            if (gone) heir_.gone(number);
            if (disk) {
                disk = nullptr;
                mail.store = openStore(config_, folder, false, inbox_, log_, nullptr);
                if (!mail.store->works()) log_.say(Level::error, "nothing can be taken over from " + folder);
                log_.say(Level::info, folder + " is taken over, " + std::to_string(mail.store->texts().size()) +
                                          " texts open");
            }
            {
                std::lock_guard lock(mutex_);
                at = gone ? tails_.erase(at) : std::next(at);
            }
            if (gone) sizeElsewhere();
            mail.mayStart = heir_.serves(), mail.last = heir_.complete();
            bool says = gone || !mail.learned.empty() || mail.mayStart != serves;
            if (says) inbox_->postHeld(std::move(mail));
            if (heir_.serves() && !std::exchange(serves, heir_.serves())) serve();
        }
    }
    alone();
}

bool Succession::holds(succession::Number number) {
    std::lock_guard lock(mutex_);
    return tails_.count(number) == 0;
}

void Succession::sizeElsewhere() {
    int64_t sum = 0;
    for (const auto& [number, tail] : tails_) {
        sum += generations::bytesOf(generations::folderOf(config_.state, number));
    }
    elsewhere_ = sum;
}

void handOver(Clients& clients, ModuleActor& module, ModuleBox& inbox, std::vector<generations::Notes>& notes,
              Log& log) {
    Instant told = steadyNow();
    succession::Leaver leaver(told);
    clients.handOver();
    auto done = std::make_shared<std::atomic<bool>>(false);
    auto put = [&notes](const std::string& lines) {
        for (generations::Notes& each : notes) each.put(lines);
    };
    inbox.postHeld(HandOverMail{put, [done] { *done = true; }});
    while (true) {
        succession::Leaver::Sight sight;
        sight.accepts = clients.accepting(), sight.starts = !*done;
        sight.calls = module.callsOut(), sight.clients = clients.wanted();
        auto step = leaver.next(steadyNow(), sight);
        if (step == succession::Leaver::Step::end) break;
        if (step == succession::Leaver::Step::handOver) {
            put(succession::handedLine());
            log.say(Level::info, "handed over, " + std::to_string(sight.calls) + " calls are out, " +
                                     std::to_string(sight.clients) + " clients are served");
        }
        clients.letGo();
        sleepUntil(steadyNow() + Span::millis(5));
    }
    auto took = (steadyNow() - told).inMicros() / 1000;
    log.say(Level::info, "ended " + std::to_string(took) + " ms after it was told, with " +
                             std::to_string(module.callsOut()) + " calls out and " +
                             std::to_string(clients.wanted()) + " clients");
}

}  // namespace petrelpond
