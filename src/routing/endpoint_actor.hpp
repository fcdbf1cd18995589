// The actors of the endpoints, all on one thread: each owns the connections to its endpoint. A call takes a
// thread for as long as it lasts; a connection that lies idle has none. They connect, reuse, time out and call
// off, and decide nothing.
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "petrelpond/sender.hpp"
#include "src/protocol/messages.hpp"
#include "src/routing/mailbox.hpp"
#include "src/routing/report.hpp"
#include "src/transport/buffers.hpp"
#include "src/transport/ending.hpp"

namespace petrelpond {

struct Call {
    std::vector<TextIndex> texts;
    std::vector<Parcel> parcels;  // of the same texts
    Instant until;                // given up then
};

struct CallEnd {
    EndpointIndex endpoint;
    std::vector<TextIndex> texts;
    Ending ending = Ending::noMeans;
    Answer answer;       // a verdict for each text where the ending is an answer
    bool fresh = false;  // a connection was made for it
};

// How many connections all endpoints together may have, by descriptors.
struct Lines {
    std::atomic<int> left;
};

class EndpointActor;

// The thread that all endpoints share. With one for each, and one for each connection that lies idle, a sender
// among thirty endpoints held thirty threads at rest, and a machine with hundreds of senders has no more to give.
class EndpointLoop {
  public:
    void run();  // for ever; the caller's thread

  private:
    friend class EndpointActor;
    class Line;
    struct Mail {
        enum class What { call, cancel, closeIdle, holdBack, retire, done } what;
        std::shared_ptr<EndpointActor> to;
        Call call;
        TextIndex text;
        std::shared_ptr<Line> line;
        CallEnd end;
    };
    Mailbox<Mail> mailbox_{4096};
    std::set<std::pair<Instant, std::shared_ptr<EndpointActor>>> dues_;  // of each the next, if it has one
};

class EndpointActor : public std::enable_shared_from_this<EndpointActor> {
  public:
    struct Ways {  // what all endpoints share
        EndpointLoop* loop;
        Buffers* buffers;
        Lines* lines;
        Report* report;
        ReportNames reports;
        Span connectWithin, idle;
        std::function<void(CallEnd)> ended;
    };
    EndpointActor(EndpointIndex endpoint, const std::string& address, Ways ways)
        : endpoint_(endpoint), address_(address), ways_(std::move(ways)) {}

    // False where the mailbox is full: the call has not left.
    [[nodiscard]] bool call(Call call);
    void cancel(TextIndex text);
    void closeIdle();
    void holdBack();  // calls of which nothing has left are ended so, as nothing new may go for now
    void retire();    // ends once no call is out

  private:
    friend class EndpointLoop;
    using Line = EndpointLoop::Line;
    using Mail = EndpointLoop::Mail;

    void post(Mail::What what, TextIndex text = TextIndex());
    // The loop's thread alone, as all that follows.
    void take(Mail& mail);
    void begin(Call call);
    void finish(Mail& mail);
    void endIdle(bool all);
    Instant settle(Instant now);  // ends what is due, and tells when to look again

    EndpointIndex endpoint_;
    std::string address_;
    Ways ways_;
    std::list<std::shared_ptr<Line>> busy_, idle_;  // idle: the last used first
    bool retiring_ = false;
    Instant due_ = Instant::never();  // as it stands in the loop's order
};

}  // namespace petrelpond
