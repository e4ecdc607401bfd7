// Command-line arguments of the packet programs in process tests.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace wasabicroft::tests {

namespace packet_ports {
    inline constexpr uint16_t packets = 8172;
    inline constexpr uint16_t ready = 8167;
    inline constexpr uint16_t control = 8166; // Port in the list of seeds.
    inline constexpr uint16_t hop = 7720;
    inline constexpr uint16_t outbound = 8162;
    inline constexpr uint16_t upstream = 8165;
    inline constexpr uint16_t store = 8169;
} // namespace packet_ports

struct PacketProgramConfig {
    std::string name;
    std::string ip;
    std::string seeds; // Endpoints, separated by commas.
    uint16_t packets = packet_ports::packets;

    std::string addressAt(uint16_t port) const { return this->ip + ':' + std::to_string(port); }

    std::vector<std::string> entryArguments(uint16_t hop, const std::string& store) const
    {
        std::vector<std::string> arguments = this->commonArguments();
        arguments.push_back("--hop=" + this->addressAt(hop));
        arguments.push_back("--store=" + store);
        return arguments;
    }

    std::vector<std::string> agentArguments(const std::string& service) const
    {
        std::vector<std::string> arguments = this->commonArguments();
        arguments.push_back("--outbound=" + this->addressAt(packet_ports::outbound));
        arguments.push_back("--upstream=" + this->addressAt(packet_ports::upstream));
        arguments.push_back("--entry-hop-port=" + std::to_string(packet_ports::hop));
        arguments.push_back("--service=" + service);
        return arguments;
    }

private:
    std::vector<std::string> commonArguments() const
    {
        return { "--name=" + this->name, "--failure-domain=z", "--packets=" + this->addressAt(this->packets),
            "--ready=" + this->addressAt(packet_ports::ready), "--seeds=" + this->seeds };
    }
};

} // namespace wasabicroft::tests
