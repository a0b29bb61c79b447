#include "trace/model/owned_record.h"

#include <algorithm>

namespace silverrail::trace::model {

namespace {

template <class F>
void for_each_text(Body& body, F&& f) {
    std::visit(
        [&f](auto& fields) {
            using T = std::decay_t<decltype(fields)>;
            T::fields(fields, [&f](const char*, auto& value, Encoding) {
                if constexpr (std::is_same_v<std::decay_t<decltype(value)>, Text>)
                    f(value);
            });
        },
        body);
}

}  // namespace

OwnedRecord::OwnedRecord(const Record& record) : record_(record), has_record_(true) {
    std::size_t bytes = 0;
    for_each_text(record_.body, [&bytes](const Text& text) { bytes += text.size(); });
    if (bytes == 0)
        return;
    texts_ = std::make_unique<char[]>(bytes);
    char* end = texts_.get();
    for_each_text(record_.body, [&end](Text& text) {
        std::copy(text.begin(), text.end(), end);
        text = {end, text.size()};
        end += text.size();
    });
}

}  // namespace silverrail::trace::model
