// The folder in which a recorder keeps its files.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "trace/format/byte_stream.h"
#include "trace/model/retention.h"

namespace silverrail::trace {

// All functions throw IoError.
class TraceFolder {
public:
    virtual ~TraceFolder() = default;
    virtual std::unique_ptr<ByteSink> create(const std::string& name) = 0;
    // The recorder's own files.
    virtual std::vector<model::Retention::File> list() = 0;
    virtual void remove(const std::string& name) = 0;
};

// Files of a folder on disk whose names begin with a prefix and end in `.slt`. The folder is created with the
// first file.
class DiskFolder : public TraceFolder {
public:
    DiskFolder(std::string path, std::string prefix) : path_(std::move(path)), prefix_(std::move(prefix)) {}
    std::unique_ptr<ByteSink> create(const std::string& name) override;
    std::vector<model::Retention::File> list() override;  // empty if the folder does not exist
    void remove(const std::string& name) override;

private:
    std::string path_;
    std::string prefix_;
};

}  // namespace silverrail::trace
