// Where the bytes of a trace come from and go to: files, standard streams, memory.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>

#include "trace/codec.h"

namespace silverrail::trace {

struct IoError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class ByteSink {
public:
    virtual ~ByteSink() = default;
    virtual void write(View bytes) = 0;  // all of it; throws IoError
};

class ByteSource {
public:
    virtual ~ByteSource() = default;
    virtual std::uint64_t size() const = 0;
    // Fewer bytes than asked for where the source ends; throws IoError.
    virtual void read(std::uint64_t offset, std::size_t bytes, Bytes& to) const = 0;
};

class MemorySink : public ByteSink {
public:
    void write(View bytes) override {
        bytes_.append(bytes);
    }
    Bytes& bytes() {
        return bytes_;
    }

private:
    Bytes bytes_;
};

class MemorySource : public ByteSource {
public:
    explicit MemorySource(Bytes bytes) : bytes_(std::move(bytes)) {}
    std::uint64_t size() const override {
        return bytes_.size();
    }
    void read(std::uint64_t offset, std::size_t bytes, Bytes& to) const override {
        to = offset < bytes_.size() ? bytes_.substr(offset, bytes) : Bytes{};
    }

private:
    Bytes bytes_;
};

// Creates or empties the file. Nothing is buffered here.
class FileSink : public ByteSink {
public:
    explicit FileSink(const std::string& path);  // throws IoError; `-`: standard output
    ~FileSink() override;
    FileSink(const FileSink&) = delete;
    FileSink& operator=(const FileSink&) = delete;
    void write(View bytes) override;

private:
    int fd_;
    std::string path_;
};

// `-`: standard input, read whole into memory first.
std::unique_ptr<ByteSource> open_source(const std::string& path);  // throws IoError

}  // namespace silverrail::trace
