#include "backends/PublishedDirectory.h"

#include <fstream>
#include <sstream>

namespace wasabicroft {

namespace fs = std::filesystem;

namespace {

    constexpr std::string_view manifestFile = "manifest.json";
    constexpr std::string_view servicesDirectory = "services";
    constexpr std::string_view extension = ".json";

    Error readError(const fs::path& path)
    {
        return Error { ErrorKind::SystemCall,
            path.string() + " cannot be read; name a directory that wasabictl compile wrote" };
    }

    Error writeError(const fs::path& path, const std::string& reason)
    {
        return Error { ErrorKind::SystemCall,
            path.string() + " cannot be written (" + reason + "); check the directory's permissions and free space" };
    }

    Result<std::string> readFile(const fs::path& path)
    {
        std::ifstream file(path, std::ios::binary);
        std::ostringstream bytes;
        bytes << file.rdbuf();
        if (!file || !bytes)
            return readError(path);
        return bytes.str();
    }

    Result<bool> replaceFile(const fs::path& path, const std::string& bytes)
    {
        const fs::path temporary = path.string() + ".tmp";
        std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
        file << bytes;
        file.close();
        if (!file)
            return writeError(temporary, "the write failed");
        std::error_code error;
        fs::rename(temporary, path, error);
        if (error)
            return writeError(path, error.message());
        return true;
    }

} // namespace

Result<PublishedConfig> readPublishedDirectory(const fs::path& directory)
{
    PublishedConfig published;
    const Result<std::string> manifest = readFile(directory / manifestFile);
    if (!manifest)
        return manifest.error();
    published.manifest = manifest.value();
    std::error_code error;
    fs::directory_iterator files(directory / servicesDirectory, error);
    if (error)
        return readError(directory / servicesDirectory);
    for (const fs::directory_entry& file : files) {
        if (file.path().extension() != extension)
            continue;
        const Result<std::string> value = readFile(file.path());
        if (!value)
            return value.error();
        published.values[file.path().stem().string()] = value.value();
    }
    return published;
}

Result<bool> writePublishedDirectory(const fs::path& directory, const PublishedConfig& published)
{
    const fs::path services = directory / servicesDirectory;
    std::error_code error;
    fs::create_directories(services, error);
    if (error)
        return writeError(services, error.message());
    for (const auto& [name, value] : published.values) {
        const Result<bool> written = replaceFile(services / (name + std::string(extension)), value);
        if (!written)
            return written;
    }
    const Result<bool> written = replaceFile(directory / manifestFile, published.manifest);
    if (!written)
        return written;
    std::vector<fs::path> obsolete;
    for (const fs::directory_entry& file : fs::directory_iterator(services, error)) {
        if (file.path().extension() == extension && !published.values.contains(file.path().stem().string()))
            obsolete.push_back(file.path());
    }
    for (const fs::path& file : obsolete)
        fs::remove(file, error);
    return true;
}

std::map<std::string, std::string> platformKeys(const PublishedConfig& published)
{
    std::map<std::string, std::string> keys { { std::string(manifestKey), published.manifest } };
    for (const auto& [name, value] : published.values)
        keys[serviceKey(name)] = value;
    return keys;
}

} // namespace wasabicroft
