// Reads and writes a published configuration as files: DIRECTORY/manifest.json and DIRECTORY/services/NAME.json.
#pragma once

#include "wasabicroft/ConfigCodec.h"

#include <filesystem>

namespace wasabicroft {

// Checks only that the files can be read.
Result<PublishedConfig> readPublishedDirectory(const std::filesystem::path&);

// Writes each file under a temporary name and renames it, the manifest last. Then removes the values of services that
// the manifest does not list.
Result<bool> writePublishedDirectory(const std::filesystem::path&, const PublishedConfig&);

// Keys and values as the platform stores them.
std::map<std::string, std::string> platformKeys(const PublishedConfig&);

} // namespace wasabicroft
