// The soak: series of signals, restarts, losses and changes that overlap, drawn by a seed.
#include "fleet/system/draw.hpp"

namespace petrelpond::range {

namespace {

// Troubles end so long before the play does: recovery, and what must hold after it.
const Span kCalmAtTheEnd = Span::seconds(17);

// What waits for an acknowledgement may strike so long after its stretch.
const Span kLateTroubles = Span::millis(4500);

// In which the disks of the same cores are lost, where these change.
const Span kStretch = Span::seconds(9);

// Sets the seeds of the refusals apart from those of everything else.
constexpr uint64_t kRefusalSeed = 1000000007;

// Which series a play has.
enum class Shape {
    senders,  // none at the cores: all rules hold throughout
    cores,    // one loss after the other, which overlap
    all,      // both, and losses beyond what is borne; disks are lost as borne
};

class Soak {
  public:
    explicit Soak(const SoakPlan& asked)
        : plan_(quietPlan("soak", asked.seed, asked.edges, asked.cores)), draw_(asked.seed),
          cores_(coreNames(1, asked.cores)), shape_(static_cast<Shape>(asked.seed % 3)) {
        plan_.faithful = 0.5;
        plan_.lasts = Span::seconds(asked.seconds);
        plan_.clients = std::max(plan_.clients, 8 * asked.edges);
        begin_ = plan_.settle + Span::seconds(1);
        end_ = plan_.lasts - kCalmAtTheEnd;
        moves_ = asked.seed / 3 % 2 == 1;
        addLongCalls();
        addUnlimitedFunction();
    }

    Plan drawn() {
        drawChanges();
        drawRefusals();
        if (shape_ != Shape::cores)
            for (int edge = 1; edge <= plan_.edges; ++edge) drawSender("edge-" + std::to_string(edge));
        if (shape_ != Shape::senders) drawStretches();
        if (shape_ == Shape::all) drawClosing();
        return std::move(plan_);
    }

  private:
    // Calls that last longer than what is left of a grace period, and clients that leave before they end.
    void addLongCalls() {
        GroupPlan group;
        group.name = "long", group.count = 2, group.slots = 2, group.boot = Span::millis(400);
        plan_.groups.push_back(group);
        FlowPlan once;
        once.name = "long-once", once.group = static_cast<int>(plan_.groups.size()) - 1;
        once.repeatable = false, once.attempts = 1, once.rate = 5;
        once.work = Span::millis(1500), once.workSpread = 0.4;
        once.aim = Span::seconds(5), once.deadline = Span::seconds(8);
        FlowPlan often = once;
        often.name = "long-often", often.repeatable = true, often.attempts = 2;
        often.leaves = 0.5, often.halfCloses = 0.2;
        plan_.flows.push_back(once), plan_.flows.push_back(often);
    }

    // A function without a limit, beside those with one. Its once-only requests may be tried at three
    // endpoints.
    void addUnlimitedFunction() {
        GroupPlan group;
        group.name = "unlimited", group.count = 2, group.slots = kUnlimitedSlots,
        group.boot = Span::millis(400);
        plan_.groups.push_back(group);
        unlimited_ = static_cast<int>(plan_.groups.size()) - 1;
        FlowPlan once;
        once.name = "unlimited-once", once.group = unlimited_, once.repeatable = false;
        once.attempts = 3, once.rate = 8, once.work = Span::millis(300), once.workSpread = 0.4;
        once.aim = Span::seconds(2), once.deadline = Span::seconds(6);
        plan_.flows.push_back(once);
    }

    // Its endpoints turn requests away and say so twice. Its own chance: the rest of a seed's play stays as
    // it is.
    void drawRefusals() {
        Draw draw(plan_.seed + kRefusalSeed);
        for (Span at = begin_ + draw.millis(0, 4000); at < end_; at = at + draw.millis(5000, 6000)) {
            FaultPlan& fault = add(plan_, Kind::refusedTwice, at, draw.millis(300, 1200), {});
            fault.group = unlimited_, fault.share = 0.5;
        }
    }

    void drawChanges() {
        const int gap = draw_.of(std::vector<int>{150, 300, 600});
        for (Span at = begin_; at < plan_.lasts - Span::seconds(4); at = at + draw_.millis(gap / 2, gap)) {
            const int kind = draw_.below(20);
            add(plan_,
                kind < 3    ? Kind::configRace
                : kind == 3 ? Kind::badConfig
                : kind == 4 ? Kind::oldConfig
                            : Kind::configChange,
                at, Span(), {});
        }
        for (Span at = begin_ + Span::seconds(2); at < plan_.lasts - Span::seconds(4);
             at = at + draw_.millis(1500, 2500))
            add(plan_, Kind::readConfig, at, Span(), {});
    }

    // Actions on one sender are far enough apart that what planned work must keep is judged; those on
    // different senders overlap as they come.
    void drawSender(const std::string& name) {
        const Span apart = plan_.bounds.contact + Span::millis(500);
        Span at = begin_ + draw_.millis(0, 9000);
        while (at < end_) {
            const Span lasts = draw_.millis(200, 2000);
            switch (draw_.below(8)) {
                case 0:
                case 1:
                    add(plan_, Kind::term, at, lasts, {name});
                    at = at + plan_.bounds.grace;
                    break;
                case 2:
                case 3:
                    for (int i = 1 + draw_.below(4); i > 0; --i)  // several in a row
                        add(plan_, Kind::hup, at + draw_.millis(0, 800), Span(), {name});
                    break;
                case 4:
                    add(plan_, Kind::kill, at, lasts, {name}).program = "petrel-agent";
                    break;
                case 5:
                    add(plan_, Kind::freeze, at, lasts, {name});
                    break;
                case 6:
                    add(plan_, Kind::powerLost, at, lasts, {name});
                    break;
                default:
                    add(plan_, Kind::kill, at, lasts, {name});
            }
            at = at + lasts + apart + draw_.millis(0, 3000);
        }
    }

    std::vector<std::string> someCores() {
        const int borne = std::max(1, (static_cast<int>(cores_.size()) - 1) / 2);
        const int most = shape_ == Shape::all && draw_.chance(25) ? static_cast<int>(cores_.size()) : borne;
        std::vector<std::string> some;
        for (int i = 1 + draw_.below(most); i > 0; --i) some.push_back(draw_.of(without(cores_, some)));
        return some;
    }

    // Disks of these alone are lost: never more than may be, however little of the core is there to rebuild.
    void drawForgetful() {
        const int losses = std::max(1, (static_cast<int>(cores_.size()) - 1) / 2);
        forgetful_.clear();
        for (int i = 0; i < losses; ++i) forgetful_.push_back(draw_.of(without(cores_, forgetful_)));
    }

    // Disks of the same cores are lost all along; or of others in each stretch, after a calm in which those
    // of the stretch before are rebuilt.
    void drawStretches() {
        if (!moves_) {
            drawForgetful();
            return drawCores(begin_, end_);
        }
        const Span calm = plan_.bounds.catchUp + kLateTroubles;
        for (Span from = begin_; from < end_; from = from + kStretch + calm) {
            drawForgetful();
            drawCores(from, std::min(end_, from + kStretch));
        }
    }

    // What begins in this stretch; it has ended with it.
    void drawCores(Span from, Span to) {
        for (Span at = from + draw_.millis(0, 2000); at < to; at = at + draw_.millis(300, 4000)) {
            const Span drawn = draw_.millis(200, 3500);
            const Span lasts = moves_ ? std::min(drawn, (to - at) * 0.5) : drawn;
            switch (draw_.below(12)) {
                case 0:
                    add(plan_, Kind::hup, at, Span(), someCores());
                    break;
                case 1:
                    add(plan_, Kind::term, at, lasts, {draw_.of(cores_)});
                    break;
                case 2:
                    add(plan_, Kind::freeze, at, lasts, someCores());
                    break;
                case 3:
                    add(plan_, Kind::linkCut, at, lasts * 2.0, someCores()).oneWay = draw_.chance(30);
                    break;
                case 4:
                    add(plan_, Kind::afterAckKill, at, lasts, {});
                    break;
                case 5:
                    add(plan_, Kind::afterAckPower, at, lasts, someCores());
                    break;
                case 6:
                    add(plan_, Kind::wipe, at, lasts, {draw_.of(forgetful_)});
                    break;
                case 7:
                    add(plan_, draw_.chance(50) ? Kind::diskStalled : Kind::diskFull, at, lasts, someCores());
                    break;
                case 8:
                    add(plan_, Kind::diskSlow, at, lasts, someCores()).value = draw_.millis(50, 400);
                    break;
                case 9:
                case 10:
                    add(plan_, Kind::powerLost, at, lasts, someCores());
                    break;
                default:
                    add(plan_, Kind::kill, at, lasts, someCores());
            }
        }
    }

    // At the last: power goes everywhere, as some disks are lost or not.
    void drawClosing() {
        const Span lasts = draw_.millis(400, 1200);
        if (draw_.chance(50)) add(plan_, Kind::wipe, end_, lasts, forgetful_);
        add(plan_, Kind::powerLost, end_, lasts, {"all"});
    }

    Plan plan_;
    Draw draw_;
    std::vector<std::string> cores_, forgetful_;
    Shape shape_;
    bool moves_ = false;  // whose disks are lost
    int unlimited_ = 0;   // index of the group of functions without a limit
    Span begin_, end_;
};

}  // namespace

Plan soakPlan(const SoakPlan& asked) { return Soak(asked).drawn(); }

}  // namespace petrelpond::range
