// Of a play: the senders as processes, their starts and what strikes them.
#include "fleet/stage_inside.hpp"

#include <signal.h>

#include <algorithm>

namespace petrelpond::fleet {

namespace {

constexpr Span kUpWithin = Span::seconds(30);

}  // namespace

void Stage::startSender(int s) {
    Sender& sender = senders_[static_cast<size_t>(s)];
    sender.wanted = true, sender.up = false, sender.askedAt = loop_.now();
    sender.process->start();
    judge_.started(loop_.now(), s);
    pollUp(s);
}

void Stage::pollUp(int s) {
    Sender& sender = senders_[static_cast<size_t>(s)];
    if (!sender.wanted || sender.up) return;
    if (!sender.process->running()) {
        trouble_ =
            "sender " + std::to_string(s) + " ended by itself; its log is in " + sender.process->folder();
        if (!begun_) loop_.stop();
        return;
    }
    if (loop_.now() - sender.askedAt > kUpWithin) {
        trouble_ =
            "sender " + std::to_string(s) + " does not come up; its log is in " + sender.process->folder();
        if (!begun_) loop_.stop();
        return;
    }
    loop_.at(loop_.now() + Span::millis(20), [this, s] { pollUp(s); });
    int fd = connectTo(sender.listen);
    if (fd < 0) return;
    auto conn = std::make_shared<Conn>(loop_, fd);
    conn->onMessage = [this, s, keep = conn](Message&& m) {
        Sender& of = senders_[static_cast<size_t>(s)];
        if (m.status() == 200 && !of.up) {
            of.up = true;
            judge_.started(loop_.now(), s);
            // What it was started with says what it knew; what is listed as leaving it hears from the
            // directory.
            bool all = std::all_of(senders_.begin(), senders_.end(), [](const Sender& x) { return x.up; });
            if (all && !begun_) loop_.stop();
        }
        keep->onClosed = nullptr;
        keep->close();
        loop_.at(loop_.now(), [keep] { keep->onMessage = nullptr; });
    };
    std::weak_ptr<Conn> weak = conn;
    conn->onClosed = [this, keep = conn](bool) {
        loop_.at(loop_.now(), [keep] { keep->onMessage = nullptr; });
    };
    conn->start(true);
    conn->send(request("GET", "/up", "", ""));
    loop_.at(loop_.now() + Span::seconds(1), [weak] {
        if (auto c = weak.lock()) c->close(), c->onClosed = nullptr, c->onMessage = nullptr;
    });
}

void Stage::senderFault(const Happening& h) {
    int s = h.sender;
    Sender& sender = senders_[static_cast<size_t>(s)];
    Instant now = loop_.now();
    if (h.trouble == Trouble::senderStop) {
        sender.process->signal(h.begins ? SIGSTOP : SIGCONT);
        return judge_.stopped(now, s, h.begins);
    }
    auto down = [this, s] {
        Sender& of = senders_[static_cast<size_t>(s)];
        judge_.killed(loop_.now(), s);
        of.process->kill();
        of.up = false, of.wanted = false, of.idle.clear(), of.held.clear();
    };
    if (h.trouble == Trouble::senderKill) {
        if (h.begins) return down();
        if (h.folderLost) sender.process->loseFolder();
        return startSender(s);
    }
    // A planned restart: told, killed 3.7 s later, started again 0.6 s after that; `for` lengthens the pause.
    if (!h.begins) return;
    sender.process->signal(SIGTERM);
    loop_.at(now + Span::millis(300), [this, s] { senders_[static_cast<size_t>(s)].up = false; });
    loop_.at(now + Span::millis(3700), [down] { down(); });
    loop_.at(now + Span::millis(4300) + h.lasts, [this, s] { startSender(s); });
}

}  // namespace petrelpond::fleet
