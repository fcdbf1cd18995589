// Troubles between machines and of their disks, as underlay/ makes them inside the range's set of the
// programs; and what a loss of power leaves of a disk.
#pragma once

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "fleet/system/underlay/weather.hpp"
#include "petrelpond/time.hpp"

namespace petrelpond::range {

struct LinkTrouble {
    std::vector<int> from, to;  // machines; what `from` says to `to`
    bool bothWays = true;
    double loss = 0;  // share of packets; 1: a cut
    Span delay;
    double bytesPerSecond = 0;  // 0: no bound
    bool operator==(const LinkTrouble&) const = default;
};

class Weather {
  public:
    // changed: the weather of this machine's processes has just been written anew.
    Weather(std::vector<std::string> ips, std::vector<std::string> folders,
            std::function<void(int machine)> changed);
    ~Weather();
    Weather(const Weather&) = delete;
    Weather& operator=(const Weather&) = delete;
    void writeAll();
    void begin(const LinkTrouble&);
    void end(const LinkTrouble&);
    void silent(int machine, bool);  // without power: nobody hears anything of it, not even that it ended
    DiskWeather& disk(int machine) { return disks_[static_cast<size_t>(machine)]; }
    void publish();

  private:
    MachineWeather of(int machine) const;
    void write(int machine, const MachineWeather&);
    std::vector<uint32_t> addresses_;
    std::vector<std::string> folders_;
    std::function<void(int)> changed_;
    std::vector<LinkTrouble> troubles_;
    std::vector<bool> silent_;
    std::vector<DiskWeather> disks_;
    std::vector<std::string> published_;
    std::vector<int> files_;  // descriptors; -1: not open yet
};

// The processes are dead. Of each file in folder/disk stays what was synced; of what was written after that
// all may be gone, a tail, or a piece in its midst. How many files lost something.
void loseDisk(const std::string& folder);
int forgetUnsynced(const std::string& folder, std::mt19937_64& chance);

}  // namespace petrelpond::range
