// The weather of one machine, as the range writes it and the range's set of the programs reads it.
#pragma once

#include <cstdint>

namespace petrelpond::range {

constexpr uint32_t kCut = 0xffffffff;
constexpr uint32_t kMostPeers = 256;

struct PeerWeather {
    uint32_t ip = 0;        // of the peer, host order
    uint32_t lossIn = 0;    // share of its packets that never arrive here, of kCut: all of them
    uint32_t delayOut = 0;  // microseconds that what is sent to it lies about first
    uint32_t bytesOut = 0;  // a second, for streams; 0: no bound
};

struct DiskWeather {
    uint32_t slow = 0;  // microseconds more a sync
    uint16_t stalled = 0, full = 0;
};

struct MachineWeather {
    uint32_t own = 0, peers = 0;
    DiskWeather disk;
    PeerWeather peer[kMostPeers];
};

// What is on disk for certain: the newest entry of a file counts. The range forgets the rest at a power loss.
struct SyncedEntry {
    uint64_t file = 0, length = 0;  // file: its inode
};

// In a machine's folder.
constexpr const char* kWeatherFile = "weather";
constexpr const char* kSyncedFile = "synced";
// Names that changed, a line each: "S FOLDER" it was synced; "M FOLDER PATH AFTER" a file was made, "R FOLDER
// FROM PATH BEFORE AFTER" renamed, "U FOLDER PATH BEFORE" removed, "D FOLDER PATH" a folder was made. FOLDER:
// its inode; BEFORE, AFTER: links to what stood there and what stands there now, "-": nothing.
constexpr const char* kNamesFile = "names";
constexpr const char* kGraves = "graves";
constexpr const char* kFolderVariable = "PETRELPOND_WEATHER";

}  // namespace petrelpond::range
