// The operators' address: one line in, one line out, on one thread that waits for all callers together. What a
// call means is said in operators/orders.hpp.
#pragma once

#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "src/operators/ledger.hpp"
#include "src/routing/mailbox.hpp"
#include "src/routing/report.hpp"
#include "src/transport/socket.hpp"

namespace petrelpond {

// Which ids are listed, for those who must not wait for the module.
class ListedIds {
  public:
    void are(std::set<std::string> ids) {
        std::lock_guard lock(mutex_);
        ids_ = std::move(ids);
    }
    bool has(const std::string& id) const {
        std::lock_guard lock(mutex_);
        return ids_.count(id) > 0;
    }
    bool any() const {
        std::lock_guard lock(mutex_);
        return !ids_.empty();
    }

  private:
    mutable std::mutex mutex_;
    std::set<std::string> ids_;
};

class OperatorsActor {
  public:
    static constexpr int kCallers = 32;  // at once
    struct Ways {
        operators::Ledger* ledger;
        const ListedIds* listed;
        std::function<std::string()> whyNot;  // why the process does not serve; empty: it does
        std::function<void(const operators::Orders&)> hold;  // from now on
        Report* report;
        std::function<void(operators::Facts&)> crew;  // fills in what is known of it; may be empty
    };
    OperatorsActor(Socket listener, Ways ways);
    void run();  // for ever; the caller's thread

  private:
    struct Caller {
        Socket socket;
        Instant came;
        bool answered = false;
        size_t have = 0;
        char line[operators::kMostLine];
    };
    void accept(Instant now);
    void serve(Caller& caller, Instant now);
    void answer(Caller& caller, bool yes, std::string_view words);
    void act(Caller& caller, std::string_view line);

    Socket listener_;
    Ways ways_;
    std::vector<Caller> callers_;  // the oldest first
};

}  // namespace petrelpond
