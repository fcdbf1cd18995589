// Runs many senders behind one line protocol: maps ids to indices for events, and decisions to lines for replies. It
// takes no decision of its own.
#pragma once

#include <iosfwd>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "petrelpond/sender.hpp"
#include "simhost/wire.hpp"

namespace petrelpond {

// A batch is CLOCK, events, and GO; the reply to GO has a line for each decision and ends with OK.
class Host {
  public:
    Host(std::ostream& out, std::ostream& errors) : out_(out), errors_(errors) {}
    virtual ~Host() = default;
    // Handles one line. True if a reply was written. Throws Malformed.
    bool handleLine(std::string_view text);

  protected:
    // Lets a test replace the real sender by its own.
    virtual std::unique_ptr<Sender> wrapSender(std::unique_ptr<Sender> sender) { return sender; }

  private:
    struct TextRow {
        std::string id;
        int submits = 0;
        int open = 0;
        bool over = false;
    };
    struct Instance {
        std::unique_ptr<Sender> sender;
        Names names;
        std::unordered_map<std::string, TextIndex> texts;
        std::unordered_map<uint32_t, TextRow> rows;
        uint32_t nextText = 0;
        ReportFields reports;
    };
    struct ListRow {
        std::string endpoint, site, model, dest;
        ListState state = ListState::active;
        double rate = 0;
    };

    void handleEvent(const wire::Line& line);
    void openInstance(int64_t who, const wire::Line& line);
    void handleArrival(Instance& in, const wire::Line& line);
    void handleResult(Instance& in, const wire::Line& line);
    void handleEndpointList(Instance& in, const wire::Line& line);
    void writeReply();
    void writeDecision(int64_t who, Instance& in, const Decision& decision);
    void removeIfDone(Instance& in, TextIndex text);
    void warn(const std::string& words);

    std::ostream& out_;
    std::ostream& errors_;
    std::map<int64_t, Instance> instances_;
    std::map<int64_t, std::string> failures_;
    std::vector<int64_t> activeSenders_;
    std::vector<ListRow> lists_[16];
    int64_t openList_ = -1, listRowsLeft_ = 0, lineNumber_ = 0;
    bool inBatch_ = false;
    Instant now_;
};

// Handles lines until the end of input. Returns the exit code of the process: 0, or 2 after a malformed line.
int serve(std::istream& in, std::ostream& out, std::ostream& errors);

}  // namespace petrelpond
