#include "trace/recorder/trace_folder.h"

#include <filesystem>
#include <system_error>

namespace silverrail::trace {

namespace fs = std::filesystem;

namespace {

constexpr const char* kExtension = ".slt";

}  // namespace

std::unique_ptr<ByteSink> DiskFolder::create(const std::string& name) {
    std::error_code ignored;
    fs::create_directories(path_, ignored);  // opening the file reports the error
    return std::make_unique<FileSink>((fs::path{path_} / name).string());
}

std::vector<model::Retention::File> DiskFolder::list() {
    std::vector<model::Retention::File> files;
    std::error_code error;
    for (fs::directory_iterator at{path_, error}, end; !error && at != end; at.increment(error)) {
        const std::string name = at->path().filename().string();
        if (!name.starts_with(prefix_) || !name.ends_with(kExtension))
            continue;
        std::error_code removed_meanwhile;
        const auto bytes = at->file_size(removed_meanwhile);
        if (!removed_meanwhile)
            files.push_back({name, bytes});
    }
    if (error && error != std::errc::no_such_file_or_directory)
        throw IoError(path_ + ": " + error.message());
    return files;
}

void DiskFolder::remove(const std::string& name) {
    std::error_code error;
    fs::remove(fs::path{path_} / name, error);
    if (error)
        throw IoError(path_ + "/" + name + ": " + error.message());
}

}  // namespace silverrail::trace
