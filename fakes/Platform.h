// Test double of the platform: its read-only configuration service and its instance list.
//
// Reader port:   GET /v1/keys/KEY and GET /v1/instances; the answer has the header X-Index. With ?index=N the answer is
//                304 while the index is still N; with &wait-ms=M the server waits up to M ms for a change before it
//                answers (long polling). Methods other than GET are answered with 405 and counted.
// Control port:  requests that change the state and inject faults, see controlHelp; the methods below do the same.
//
// Index
//   [SECTION] Options and counters
//   [SECTION] FakePlatform
#pragma once

#include "wasabicroft/ConfigCodec.h"

#include <filesystem>
#include <map>
#include <memory>
#include <string>

namespace wasabicroft {

//-----------------------------------------------------------------------------
// [SECTION] Options and counters
//-----------------------------------------------------------------------------

struct FakePlatformOptions {
    Endpoint endpoint { "127.0.0.1", 0 }; // reader port; port 0 selects a free port
    Endpoint control { "127.0.0.1", 0 };
};

// Counts calls on the reader port. A pending watch counts as one call.
struct FakePlatformCounters {
    uint64_t manifestReads = 0;
    uint64_t valueReads = 0;
    uint64_t instanceReads = 0;
    uint64_t watches = 0; // of the reads above, those that waited for a change
    uint64_t refusedWrites = 0;
    uint64_t connections = 0; // accepted on the reader port

    uint64_t calls() const { return this->manifestReads + this->valueReads + this->instanceReads; }
};

extern const std::string controlHelp; // requests that the control port accepts, one per line

//-----------------------------------------------------------------------------
// [SECTION] FakePlatform
//-----------------------------------------------------------------------------

// Runs on its own thread. All methods are thread-safe and take effect before they return.
class FakePlatform {
public:
    explicit FakePlatform(const FakePlatformOptions& options = {}); // starts to listen; throws if an address is in use
    ~FakePlatform();

    FakePlatform(const FakePlatform&) = delete;
    FakePlatform& operator=(const FakePlatform&) = delete;

    Endpoint endpoint() const;
    Endpoint controlEndpoint() const;

    void setKey(const std::string& key, const std::string& bytes);
    void removeKey(const std::string& key);
    void publish(const PublishedConfig&); // as one change; unchanged values keep their index
    Result<bool> publishDirectory(const std::filesystem::path&);

    void setMember(const Member&); // adds the instance or replaces the one of that name
    void setMembers(const std::vector<Member>&);
    void removeMember(const std::string& name);
    bool markLeaving(const std::string& name, bool leaving); // false if no instance has this name

    void setDown(bool); // true: closes all reader connections, also new ones
    void setStale(bool); // true: readers keep seeing the state at the time of this call
    void setDelay(Milliseconds); // delay of every answer on the reader port

    // Restores the values before the last changes under a new index. Returns false if the history doesn't reach back
    // that far.
    bool rollBack(size_t changes);

    FakePlatformCounters counters() const;

private:
    class Server;
    std::unique_ptr<Server> server;
};

} // namespace wasabicroft
