// Reads the configuration and the instance list from the platform on a control thread of its own.
#pragma once

#include "wasabicroft/ConfigReader.h"

#include <functional>
#include <memory>

namespace wasabicroft {

struct PlatformReaderOptions {
    Endpoint platform;
    std::string self; // name in the instance list
    MemberRole role = MemberRole::Entry;
    std::string failureDomain;
    Milliseconds callTimeout { 5000 }; // beyond the time for which the platform may hold a watch
    ConfigReaderOptions timing; // self and role are taken from above
};

// What status output reports about the reader.
struct PlatformReaderStatus {
    ConfigVersion version; // newest accepted
    bool watches = false;
    uint64_t rejected = 0; // published states refused as invalid
    std::optional<TimePoint> lastContact; // last answer of the platform
};

class PlatformReader {
public:
    // deliver is called on the control thread, only with newer versions and with changed instance lists.
    PlatformReader(PlatformReaderOptions, const Clock&, std::function<void(PlatformUpdate)> deliver);
    ~PlatformReader(); // stops

    PlatformReader(const PlatformReader&) = delete;
    PlatformReader& operator=(const PlatformReader&) = delete;

    void start();
    void stop(); // returns after the control thread has ended

    // The rest may be called from any thread.
    void hint(ConfigVersion); // a newer version was seen elsewhere: fetches at once
    void offer(std::shared_ptr<const Snapshot>); // came from a peer
    PlatformReaderStatus status() const;

private:
    class Loop;
    std::unique_ptr<Loop> loop;
};

} // namespace wasabicroft
