// An HTTP/1.1 parser that stores no more than its user needs. Beast's own parser stores every field of a
// header, and a short field takes tens of times its bytes.
#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>

#include "net/asio.h"

namespace silverrail::net {

// The names of the header fields that are stored, in any case of letters.
using FieldNames = std::span<const std::string_view>;

template <bool kIsRequest>
class MessageParser : public http::basic_parser<kIsRequest> {
public:
    using Message = http::message<kIsRequest, http::string_body>;
    // Asked before the stored body grows to this many bytes. False: it is discarded, and so is all that
    // follows.
    using MayStore = std::function<bool(std::size_t body_bytes)>;

    // `fields` must outlive the parser.
    explicit MessageParser(FieldNames fields, MayStore may_store = nullptr)
        : fields_(fields), may_store_(std::move(may_store)) {}

    const Message& get() const {
        return message_;
    }
    Message release() {
        return std::move(message_);
    }
    bool has_transfer_encoding() const {
        return has_transfer_encoding_;
    }
    // The message is parsed to its end, but its body is empty.
    bool body_discarded() const {
        return body_discarded_;
    }
    void discard_body() {
        body_discarded_ = true;
        std::string{}.swap(message_.body());
    }

private:
    // A second field of a name shows that the first is ambiguous; more add nothing.
    static constexpr std::size_t kMaxFieldsPerName = 2;

    bool is_stored(std::string_view name) const {
        for (const std::string_view stored : fields_)
            if (beast::iequals({stored.data(), stored.size()}, {name.data(), name.size()}))
                return true;
        return false;
    }
    std::size_t store(beast::string_view bytes) {
        std::string& body = message_.body();
        if (!body_discarded_ && may_store_ && !may_store_(body.size() + bytes.size()))
            discard_body();
        if (!body_discarded_)
            body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_request_impl(http::verb method, beast::string_view method_text, beast::string_view target,
                         int version, error_code& error) override {
        error = {};
        if constexpr (kIsRequest) {
            message_.version(static_cast<unsigned>(version));
            if (method == http::verb::unknown)
                message_.method_string(method_text);
            else
                message_.method(method);
            message_.target(target);
        }
    }
    void on_response_impl(int status, beast::string_view, int version, error_code& error) override {
        error = {};
        if constexpr (!kIsRequest) {
            message_.version(static_cast<unsigned>(version));
            message_.result(static_cast<unsigned>(status));
        }
    }
    void on_field_impl(http::field field, beast::string_view name, beast::string_view value,
                       error_code& error) override {
        error = {};
        if (field == http::field::transfer_encoding)
            has_transfer_encoding_ = true;
        if (is_stored(to_string_view(name)) && message_.count(name) < kMaxFieldsPerName)
            message_.insert(field, name, value);
    }
    void on_header_impl(error_code& error) override {
        error = {};
    }
    // The length is within the limit on bodies. Pages that nothing is written to take no memory.
    void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code& error) override {
        error = {};
        if (length && !body_discarded_)
            message_.body().reserve(static_cast<std::size_t>(*length));
    }
    std::size_t on_body_impl(beast::string_view bytes, error_code& error) override {
        error = {};
        return store(bytes);
    }
    void on_chunk_header_impl(std::uint64_t, beast::string_view, error_code& error) override {
        error = {};
    }
    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view bytes, error_code& error) override {
        error = {};
        return store(bytes);
    }
    void on_finish_impl(error_code& error) override {
        error = {};
    }

    FieldNames fields_;
    MayStore may_store_;
    Message message_;
    bool has_transfer_encoding_ = false;
    bool body_discarded_ = false;
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

}  // namespace silverrail::net
