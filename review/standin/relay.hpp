// A relay between two machines: it passes connections on, and holds what it is given while the way is cut.
// Nothing is lost by that: what a cut held up arrives when it has healed.
#pragma once

#include "world.hpp"

namespace world {

class Relay {
  public:
    // False: the address is taken.
    bool open(const std::string& ip, int port, const std::string& toIp, int toPort) {
        const int fd = bindTo(ip, port);
        if (fd < 0 || listen(fd, 64) != 0) return false;
        std::thread([this, fd, toIp, toPort] {
            while (true) {
                const int in = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (in >= 0) std::thread([this, in, toIp, toPort] { pass(in, toIp, toPort); }).detach();
            }
        }).detach();
        return true;
    }
    std::atomic<bool> isCut{false};

  private:
    void waitForWay() {
        while (isCut) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    void pass(int in, const std::string& toIp, int toPort) {
        waitForWay();
        const int out = connectTo(toIp, toPort, now() + 1);
        if (out < 0) {  // a dead port resets
            const linger hard{1, 0};
            setsockopt(in, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
            close(in);
            return;
        }
        const int one = 1;
        setsockopt(in, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        std::thread back([this, in, out] { copy(out, in); });
        copy(in, out);
        back.join();
        close(in), close(out);
    }
    void copy(int from, int to) {
        char bytes[16384];
        while (true) {
            if (!waitFor(from, POLLIN, now() + 3600)) continue;
            waitForWay();
            const ssize_t n = recv(from, bytes, sizeof bytes, 0);
            waitForWay();
            if (n <= 0 || !sendAll(to, std::string(bytes, static_cast<size_t>(n)))) break;
        }
        shutdown(from, SHUT_RDWR), shutdown(to, SHUT_RDWR);
    }
};

}  // namespace world
