// Test double of the platform: its read-only configuration service and its instance list.
//
// Readers:   GET /v1/keys/KEY and GET /v1/instances, with the header X-Index in the answer. With ?index=N the answer is
//            304 while the index is still N; with &wait-ms=M the answer is held back up to M ms for a change. Any
//            method other than GET is answered with 405 and counted.
// Tests:     a control port of its own, see controlHelp, or the methods below.
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
    Endpoint endpoint { "127.0.0.1", 0 }; // port 0: any free port
    Endpoint control { "127.0.0.1", 0 };
};

// Calls on the readers' port. A pending watch counts as one call.
struct FakePlatformCounters {
    uint64_t manifestReads = 0;
    uint64_t valueReads = 0;
    uint64_t instanceReads = 0;
    uint64_t watches = 0; // of the above, those that were held back
    uint64_t refusedWrites = 0;
    uint64_t connections = 0; // accepted from readers

    uint64_t calls() const { return this->manifestReads + this->valueReads + this->instanceReads; }
};

extern const std::string controlHelp; // requests of the control port, one a line

//-----------------------------------------------------------------------------
// [SECTION] FakePlatform
//-----------------------------------------------------------------------------

// Runs on a thread of its own. All methods may be called from any thread and take effect before they return.
class FakePlatform {
public:
    explicit FakePlatform(const FakePlatformOptions& options = {}); // listens; throws if an address is in use
    ~FakePlatform();

    FakePlatform(const FakePlatform&) = delete;
    FakePlatform& operator=(const FakePlatform&) = delete;

    Endpoint endpoint() const;
    Endpoint controlEndpoint() const;

    void setKey(const std::string& key, const std::string& bytes);
    void removeKey(const std::string& key);
    void publish(const PublishedConfig&); // all at once; unchanged values keep their index
    Result<bool> publishDirectory(const std::filesystem::path&);

    void setMember(const Member&); // adds or replaces
    void setMembers(const std::vector<Member>&);
    void removeMember(const std::string& name);
    bool markLeaving(const std::string& name, bool leaving); // false if there is no such member

    void setDown(bool); // closes all connections and accepts none
    void setStale(bool); // goes on answering with the state of the moment it became stale
    void setDelay(Milliseconds); // of every answer
    bool rollBack(size_t changes); // restores an older state under new indexes; false if it is no longer known

    FakePlatformCounters counters() const;

private:
    class Server;
    std::unique_ptr<Server> server;
};

} // namespace wasabicroft
