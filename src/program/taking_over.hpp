// One process after another on one folder: its stores opened, what earlier processes leave brought over, and the
// hand-over to the next. What is decided about it stands in succession/succession.hpp.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "src/program/config.hpp"
#include "src/program/generations.hpp"
#include "src/program/log.hpp"
#include "src/replica/shipper.hpp"
#include "src/routing/client_actor.hpp"
#include "src/routing/module_actor.hpp"

namespace petrelpond {

// own: new texts go there; of the others only ends are written, each safe by itself where that is asked for.
std::unique_ptr<Store> openStore(const Config& config, const std::string& folder, bool own,
                                 std::shared_ptr<ModuleBox> inbox, Log& log, replica::Shipper* shipper);

void sleepUntil(Instant at);

// Waits for the processes before this one, and brings over what they leave. On a thread of its own.
class Succession {
  public:
    Succession(const Config& config, std::vector<succession::Number> awaits, std::shared_ptr<ModuleBox> inbox,
               Log& log);
    // serve: nobody else does from now on; alone: nobody else is there.
    void run(const std::function<void()>& serve, const std::function<void()>& alone);
    bool holds(succession::Number number);  // not with another process any more, if it ever was
    int64_t bytesElsewhere() const { return elsewhere_; }

  private:
    void sizeElsewhere();
    const Config& config_;
    succession::Heir heir_;
    std::shared_ptr<ModuleBox> inbox_;
    Log& log_;
    std::mutex mutex_;  // of the map's shape, which this object's thread alone changes
    std::map<succession::Number, generations::Tail> tails_;
    std::atomic<int64_t> elsewhere_ = 0;
};

// The successor stands and waits: what is out ends, and all else is its.
void handOver(Clients& clients, ModuleActor& module, ModuleBox& inbox, std::vector<generations::Notes>& notes,
              Log& log);

}  // namespace petrelpond
