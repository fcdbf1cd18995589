// The program's words, and what holds for the whole process.
#include <malloc.h>
#include <pthread.h>
#include <signal.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "src/program/config.hpp"
#include "src/program/log.hpp"
#include "src/program/members_tool.hpp"
#include "src/program/serving.hpp"
#include "src/program/store_tool.hpp"
#include "src/replica/standby.hpp"
#include "src/transport/thread.hpp"

using namespace petrelpond;

namespace {

Level levelFrom(const char* word) {
    std::string name = word ? word : "";
    return name == "debug"     ? Level::debug
           : name == "warning" ? Level::warning
           : name == "error"   ? Level::error
                               : Level::info;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc > 1) {
        std::vector<std::string> words(argv + 1, argv + argc);
        if (words[0] == "store") return storeTool({words.begin() + 1, words.end()}, std::cout, std::cerr);
        if (words[0] == "standby")
            return standbyProgram({words.begin() + 1, words.end()}, std::cout, std::cerr);
        if (words[0] == "members") return membersTool({words.begin() + 1, words.end()}, std::cout, std::cerr);
        std::cerr << "petrelpond: no such command: " << words[0]
                  << "\nIt takes its configuration from LB_CONFIG; `petrelpond store` looks at a store, "
                     "`petrelpond standby` keeps a copy of another's, `petrelpond members` shows a crew.\n";
        return 2;
    }
    // First of all, as a SIGHUP would else end the process; threads take the mask over.
    sigset_t signals;
    sigemptyset(&signals);
    for (int s : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) sigaddset(&signals, s);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // Every thread would else have an arena of its own.
    mallopt(M_ARENA_MAX, 2);
    signal(SIGPIPE, SIG_IGN);
    if (const char* most = std::getenv("PETRELPOND_THREADS"); most && std::atoi(most) > 0)
        boundThreads(std::max(std::atoi(most), 16));
    Log log(std::cerr, levelFrom(std::getenv("PETRELPOND_LOG")));
    try {
        Config config = readConfig();
        return serveUntilTold(config, log, signals);
    } catch (const std::exception& wrong) {
        log.say(Level::error, wrong.what());
        return 2;
    }
}
