// The module's actor: sole owner of the Sender, the store and the table of texts. It turns mail into inputs
// and decisions into mail, and never waits on a peer.
#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "petrelpond/sender.hpp"
#include "src/protocol/messages.hpp"
#include "src/protocol/settings.hpp"
#include "src/routing/endpoint_actor.hpp"
#include "src/routing/mailbox.hpp"
#include "src/routing/recording.hpp"
#include "src/routing/report.hpp"
#include "src/store/store.hpp"
#include "src/succession/succession.hpp"

namespace petrelpond {

// What a client is told of its text.
struct Reception {
    enum class What { taken, nacked, undeliverable, unusable } what = What::nacked;
    Span pause;
};
using ReceptionBox = Mailbox<Reception>;

struct ArrivedMail {
    Handed text;
    Instant at;
    std::shared_ptr<const std::string> body;
    std::shared_ptr<ReceptionBox> reply;
    uint64_t ticket = 0;  // of this request; ids are the clients' own, and two may use one
};
struct WithdrawnMail {
    std::string id;
    uint64_t ticket = 0;
};
struct ListMail {
    MemberList list;
    bool old = false;  // as last held, before discovery was heard
};
struct ToldMail {  // notices that the platform has
    std::vector<std::string> ids;
};
struct OrdersMail {  // endpoints that an operator has taken out, all of them
    std::set<std::string> out;
};
struct HandOverMail {  // another process takes over: no call starts from now on
    std::function<void(const std::string& lines)> put;  // what was learned, now and with each end that teaches
    std::function<void()> done;                         // all of it is put
};
struct HeritageMail {  // from the process before this one
    std::vector<succession::Line> learned;
    bool mayStart = false;  // nobody else starts calls
    succession::Number number = 0;
    std::shared_ptr<Store> store;  // of that generation, once that process has ended
    bool last = false;             // nothing more comes
};
struct SafeMail {};   // the store has got more of what was written safe
struct LeavingMail {  // the process ends then; done sooner where nothing is held
    Instant by;
    std::function<void()> done;
};
using ModuleMail =
    std::variant<ArrivedMail, WithdrawnMail, CallEnd, ListMail, ToldMail, OrdersMail, HandOverMail,
                 HeritageMail, SafeMail, LeavingMail>;
using ModuleBox = Mailbox<ModuleMail>;

// A standby without which nothing is taken on, sent or answered; what it has kept is as safe as it gets.
class StandbyLink {
  public:
    virtual ~StandbyLink() = default;
    virtual uint64_t acked() const = 0;
    virtual bool inStep() const = 0;
    virtual bool fenced() const = 0;      // another is primary; final
    virtual void feed(Store& store) = 0;  // hands on a part of what is open, where that is wanted
};

class ModuleActor {
  public:
    struct Ways {
        std::shared_ptr<ModuleBox> inbox;
        EndpointActor::Ways endpoints;
        std::function<void(Notice)> notify;
        std::function<void(std::set<std::string>)> listed;  // the ids, each time that they change; null: nobody asks
        // A store taken over in which nothing is open any more; not called on the last owner's thread to wait.
        std::function<void(succession::Number, std::shared_ptr<Store>)> emptied;
        int64_t diskMost = 0;  // bytes that the stores of all generations may take together
        std::function<int64_t()> elsewhere;  // bytes of those that another process still holds
        std::function<void()> ready;  // what was open before the restart is with the module
        Report* report;
        Recording* recording = nullptr;      // where what comes and ends is recorded
        std::function<void()> tidy = [] {};  // much was given back
        StandbyLink* standby = nullptr;
    };
    using Stores = std::map<succession::Number, std::shared_ptr<Store>>;
    // own: the store that new texts go to; others hold what is still open of earlier generations.
    struct Stock {
        std::unique_ptr<Store> store;
        succession::Number own = 0;
        Stores taken;
        succession::Heir heir{{}};
    };
    ModuleActor(const Settings& settings, uint64_t seed, Stock stock, Ways ways);
    int callsOut() const { return callsOut_; }
    // Rounds, for ever; the first takes up what the store holds.
    void run();

  private:
    struct Row {
        std::string id;
        Parcel parcel;
        Instant validUntil, until;  // until: of the submit that is out
        EndpointIndex at;
        int submits = 0;
        bool out = false, over = false, spoilt = false;  // spoilt: its body can't be read any more
        uint64_t ticket = 0;                     // of the one request that may withdraw it; 0: none may
        std::shared_ptr<ReceptionBox> reply;     // until the client has been told
        std::shared_ptr<EndpointActor> carrier;  // of that submit
        DestinationIndex destination;
        std::string product, key;
        Instant cameAt, sentAt;
    };
    void record(Instant now, const Row& row, const char* end);

    void resume(Instant now, succession::Number number, Store& store);
    Store& holding(const std::string& id);
    void inherit(Instant now, HeritageMail& mail);
    void handOver(Instant now, HandOverMail& mail);
    void arrive(Instant now, const Arrival& a, succession::Number number);
    void inTurn(Instant now);
    void dropEmptied();
    void shareRoom();
    void take(Instant now, ModuleMail& mail);
    void arrived(Instant now, ArrivedMail& mail);
    void ended(Instant now, CallEnd& end);
    void tell(Instant now, const Row& row, const SubmitResult& e, const CallEnd& call,
              const std::string& before);
    void listed(Instant now, const ListMail& mail);
    void ordered(Instant now, const std::set<std::string>& out);
    void pull(Instant now);
    void receive(Instant now);
    void decide(Instant now, const Decision& decision);
    void answered(Instant now, TextIndex text, Store::Final final, Span pause);
    void dispatch();
    void send(EndpointIndex endpoint, std::vector<TextIndex> texts);
    std::shared_ptr<EndpointActor> actorOf(EndpointIndex endpoint);
    void holdBack(EndpointIndex endpoint);
    void round(std::deque<ModuleMail>& mail);
    void drop(TextIndex text);
    void keep(bool written);

    // Most places lie silent, so each is small: its threads and the names' strings are elsewhere.
    struct Place {
        uint64_t address = 0;  // packed; 0 where there is none
        ZoneIndex zone;
        KindIndex kind;
        DestinationIndex destination;
        int32_t out = 0;  // calls
        bool gone = false;
        std::shared_ptr<EndpointActor> actor;
        Instant usedAt;
    };
    struct Users {  // of a destination's name
        uint32_t places = 0, texts = 0;
    };
    void freeIfGone(EndpointIndex endpoint);
    void leftAlone(Instant now, DestinationIndex destination);
    void rest(Instant now);
    TextIndex freshText();
    void whenSafe(std::function<void()> go, std::function<void()> never = nullptr);
    void release();
    uint64_t safe() const;
    bool mayServe() const { return store_->works() && !(ways_.standby && ways_.standby->fenced()); }
    void lost(Instant now, TextIndex text);

    Names names_;
    std::vector<EndpointKind> kinds_;
    Span busy_, longestValidity_;
    std::unique_ptr<Sender> sender_;
    std::unique_ptr<Store> store_;
    succession::Number own_ = 0;
    Stores taken_;  // of earlier generations
    succession::Heir heir_{{}};
    std::set<std::string> ordered_;  // products whose keys keep their order
    struct Behind {
        Arrival arrival;
        succession::Number number;
    };
    std::vector<Behind> behind_;  // texts in order, taken on here, behind what is still to come over
    bool shares_ = false;  // the own store's room was less than all
    std::function<void(const std::string&)> teach_;  // once it has handed over
    Ways ways_;
    std::unordered_map<std::string, TextIndex> texts_;
    std::unordered_map<uint32_t, Row> rows_;
    std::vector<Place> places_;
    std::set<std::string> bans_;  // ids that an operator has taken out, listed or not
    std::vector<Users> users_;  // by destination
    // In the order of time: endpoints called last then, and destinations of which nothing was left then.
    std::deque<std::pair<Instant, EndpointIndex>> used_;
    std::deque<std::pair<Instant, DestinationIndex>> alone_;
    size_t retired_ = 0;  // since the last tidying up
    Instant retiredAt_;
    std::deque<uint32_t> freeTexts_;  // used again in turn, so that what still names one has long been read
    std::vector<TextIndex> fresh_;       // taken in during this round
    std::vector<std::pair<EndpointIndex, TextIndex>> submits_;  // of this round, in the order pulled
    std::set<Instant> timers_;
    std::function<void()> left_;
    uint32_t nextText_ = 0;
    std::atomic<int> callsOut_ = 0;
    long compactions_ = 0, damages_ = 0;
    struct Waiting {
        uint64_t record = 0;
        std::function<void()> go, never;
    };
    std::deque<Waiting> waiting_;  // what goes out once the record before it is safe
};

}  // namespace petrelpond
