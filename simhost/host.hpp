// The host of many senders behind one wire: ids to indices on the way in, decisions to lines on the way
// out. It makes no choice of its own.
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

class Host {
  public:
    Host(std::ostream& out, std::ostream& complaints) : out_(out), complaints_(complaints) {}
    virtual ~Host() = default;
    // Takes one line. True when a reply has been written. Throws wire::Malformed.
    bool take(std::string_view text);

  protected:
    // Where a test puts its own sender in the place of the real one.
    virtual std::unique_ptr<Sender> seat(std::unique_ptr<Sender> sender) { return sender; }

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
    struct SheetRow {
        std::string endpoint, site, model, dest;
        ListState state = ListState::active;
        double rate = 0;
    };

    void event(const wire::Line& line);
    void open(int64_t who, const wire::Line& line);
    void arrival(Instance& in, const wire::Line& line);
    void outcome(Instance& in, const wire::Line& line);
    void fleet(Instance& in, const wire::Line& line);
    void reply();
    void write(int64_t who, Instance& in, const Decision& decision);
    void forgetIfDone(Instance& in, TextIndex text);
    void complain(const std::string& words);

    std::ostream& out_;
    std::ostream& complaints_;
    std::map<int64_t, Instance> instances_;
    std::map<int64_t, std::string> broken_;
    std::vector<int64_t> touched_;
    std::vector<SheetRow> sheets_[16];
    int64_t sheetOpen_ = -1, sheetRows_ = 0, lineNumber_ = 0;
    bool inBatch_ = false;
    Instant now_;
};

// Reads lines until the end of input; the process's exit code.
int serve(std::istream& in, std::ostream& out, std::ostream& complaints);

}  // namespace petrelpond
