// The actors that speak to the platform's agent: the list, which watches discovery, and the notices.
#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "src/routing/ask_plan.hpp"
#include "src/routing/module_actor.hpp"
#include "src/transport/socket.hpp"

namespace petrelpond {

// The connection to the platform's agent, whose address may change under whoever waits on it.
class Agent {
  public:
    explicit Agent(std::string address) : address_(std::move(address)) {}
    // From any thread: ends the wait that is going on, and the next connection goes to the new address.
    void moveTo(std::string address);
    // From the actor's: a connection to the address as it stands, the old one where that still serves.
    bool connect();
    void drop();
    int moves();
    std::string address();
    const Socket& socket() const { return socket_; }

  private:
    std::mutex mutex_;  // of what follows; the socket is read and written by the actor's thread alone
    std::string address_;
    Socket socket_;
    int moves_ = 0, madeAt_ = 0;  // madeAt_: the move after which the connection was made
};

// Watches from the list that the sender was started with, on a thread of its own, for ever. Silence and
// breaks are lived through; what was missed comes with the next watch. At a new address the whole list is
// asked for first, as its revisions may be counted otherwise.
class ListActor {
  public:
    // holdsList: the sender was started with one that names endpoints.
    ListActor(std::string agent, int64_t revision, bool holdsList, AskPlan plan, Buffers& buffers,
              std::shared_ptr<ModuleBox> module, Report& report)
        : agent_(std::move(agent)), plan_(std::move(plan)), holdsList_(holdsList), revision_(revision),
          buffers_(buffers), module_(std::move(module)), report_(report) {}
    void run();
    void moveTo(std::string agent) { agent_.moveTo(std::move(agent)), moved_.postHeld(true); }

  private:
    enum class Heard { list, tooMany, nothing };
    Heard ask();

    Agent agent_;
    AskPlan plan_;
    bool holdsList_;
    int moves_ = 0;
    std::optional<int64_t> revision_;  // none: the whole list is wanted
    Buffers& buffers_;
    std::shared_ptr<ModuleBox> module_;
    Report& report_;
    Mailbox<bool> moved_{4};  // ends a pause
};

// Tells the platform of texts that ended otherwise than delivered, again and again until it has heard.
class NoticeActor {
  public:
    NoticeActor(std::string agent, Buffers& buffers, std::shared_ptr<ModuleBox> module, Report& report)
        : agent_(std::move(agent)), buffers_(buffers), module_(std::move(module)), report_(report) {}
    void run();
    void notify(Notice notice) { mailbox_.postHeld(std::move(notice)); }
    void moveTo(std::string agent) { agent_.moveTo(std::move(agent)); }

  private:
    // The status; 0: it was not heard in that time.
    int tell(const std::vector<Notice>& notices, Span within);

    Agent agent_;
    Buffers& buffers_;
    std::shared_ptr<ModuleBox> module_;
    Report& report_;
    Mailbox<Notice> mailbox_{1};
};

}  // namespace petrelpond
