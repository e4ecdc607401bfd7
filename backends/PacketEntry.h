// Entry of the packet path: connects EntryRouter, StoreSync and UpstreamDirectory to the sockets and the store client.
#pragma once

#include "backends/DatagramSocket.h"
#include "backends/HttpClient.h"
#include "backends/PacketDaemon.h"
#include "platform/StoreWire.h"
#include "wasabicroft/EntryRouter.h"
#include "wasabicroft/StoreRefresh.h"

namespace wasabicroft {

class PacketEntry {
public:
    PacketEntry(boost::asio::io_context&, PacketSettings, const Clock&);

    Result<bool> start();
    void onSettings(const PacketSettings&);
    void onTick();
    void handOver(); // Call before the process ends.
    bool isReady() const { return this->router.isServing(); }
    OperatorStatus status() const;
    OperatorAnswer explainFlow(const std::string& target) const; // 404 for an address without a route.
    void exportMetrics(Metrics&) const;

private:
    // Of an answer of the store, in the time of the clock.
    struct AnswerTimes {
        TimePoint headerReceived;
        TimePoint received; // All of it.
    };

    void onClientDatagram(PacketAddress source, std::span<uint8_t>);
    void onHopDatagram(PacketAddress source, std::span<uint8_t>);
    void logInvalid(PacketAddress source, const Error&);
    void flush();

    void readStore();
    void startRead(const StoreRead&);
    void onStoreResponse(const StoreRead&, HttpResult);
    void noteRecovery();
    void onListPage(const StoreRead&, const platform::StoreResponse&);
    void onRoutesPage(const StoreRead&, const platform::StoreResponse&);
    void onWatchEvents(const StoreRead&, const platform::StoreResponse&);
    void applyStoreState();
    void applyEvacuations(const EvacuationState& before, std::string_view source);
    void mergeEvacuations(const platform::StoreResponse&);
    void updateEvacuationConfirmation();
    std::string upstreamsIn(const std::string& failureDomain) const;
    void updateDelegate();
    void applyRoutes(std::shared_ptr<const RoutingTable>, const StoreRead&);
    void logProblems(const platform::StoreResponse&);
    void updateReachability();
    bool mergeUpstreams(const platform::StoreResponse&);

    void onPresence(PacketAddress source, Bytes);
    void applySeeds();
    void updatePeers();
    void sendPresence();
    std::optional<StoreVersions> storeVersions() const;
    void applyProvisionalState();
    bool hasStoreState() const { return this->routes && this->directory.isLoaded(); }

    boost::asio::io_context& context;
    PacketSettings settings;
    const Clock& clock;
    BootClock bootClock;
    DatagramSocket clientSocket;
    DatagramSocket agentSocket;
    StoreSync storeSync;
    UpstreamDirectory directory;
    std::shared_ptr<const RoutingTable> routes;
    EvacuationState evacuations;
    EvacuationConfirmation evacuationConfirmation;
    FleetView fleet;
    StoreRefresh storeRefresh;
    std::optional<UpstreamDirectory> provisionalDirectory; // Upstreams learned from agents, until the store responds.
    EntryRouter router;
    std::array<std::shared_ptr<HttpClient>, storeTopicCount> storeClients;
    std::array<boost::asio::steady_timer, storeTopicCount> storeTimers;
    std::array<AnswerTimes, storeTopicCount> answerTimes; // Of the last answer of each topic.
    std::shared_ptr<const RoutingTable> listedRoutes; // From the pages of a list that is being read.
    std::set<std::string> listedEvacuations; // From the pages of a list that is being read.
    std::vector<UpstreamRecord> listedUpstreams; // Upstreams from the pages of a list that is being read.
    std::vector<uint8_t> hopBuffer;
    InvalidSenderLogLimiter invalidSenderLogLimiter;
    ItemLogLimiter itemLogLimiter;
    bool isStoreReachable = false;
    uint64_t invalidPackets = 0;
    uint64_t invalidHopMessages = 0;
    uint64_t storeReads = 0;
    uint64_t failedReads = 0;
};

} // namespace wasabicroft
