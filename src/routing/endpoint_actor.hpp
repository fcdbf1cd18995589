// The actor of one endpoint: owner of the connections to it, each with a thread that carries one call at a
// time. It connects, reuses, times out and calls off, and decides nothing.
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "petrelpond/sender.hpp"
#include "src/protocol/messages.hpp"
#include "src/routing/mailbox.hpp"
#include "src/routing/report.hpp"
#include "src/transport/buffers.hpp"
#include "src/transport/ending.hpp"

namespace petrelpond {

struct Call {
    std::vector<TextIx> texts;
    std::vector<Parcel> parcels;  // of the same texts
    Instant until;                // given up then
};

struct CallEnd {
    EndpointIx endpoint;
    std::vector<TextIx> texts;
    Ending ending = Ending::noMeans;
    Answer answer;       // a verdict for each text where the ending is an answer
    bool fresh = false;  // a connection was made for it
};

// How many connections all endpoints together may have, by descriptors.
struct Lines {
    std::atomic<int> left;
};

class EndpointActor {
  public:
    struct Ways {  // what all endpoints share
        Buffers* buffers;
        Lines* lines;
        Report* report;
        ReportNames reports;
        Span connectWithin, idle;
        std::function<void(CallEnd)> ended;
    };
    // Null where no thread is to be had.
    static std::shared_ptr<EndpointActor> start(EndpointIx endpoint, const std::string& address, Ways ways);

    // False where its mailbox is full: the call has not left.
    [[nodiscard]] bool call(Call call);
    void cancel(TextIx text);
    void closeIdle();
    void holdBack();  // calls of which nothing has left are ended so, as nothing new may go for now
    void retire();    // ends once no call is out

  private:
    class Line;
    struct Mail {
        enum class What { call, cancel, closeIdle, holdBack, retire, done } what;
        Call call;
        TextIx text;
        std::shared_ptr<Line> line;
        CallEnd end;
    };

    EndpointActor(EndpointIx endpoint, const std::string& address, Ways ways);
    void run(std::shared_ptr<EndpointActor> self);
    void begin(Call call, const std::shared_ptr<EndpointActor>& self);
    void finish(Mail& mail);
    void endIdle(bool all);
    Instant nextDue() const;

    EndpointIx endpoint_;
    std::string address_;
    Ways ways_;
    Mailbox<Mail> mailbox_{512};
    std::list<std::shared_ptr<Line>> busy_, idle_;  // idle: the last used first
    bool retiring_ = false;
};

}  // namespace petrelpond
