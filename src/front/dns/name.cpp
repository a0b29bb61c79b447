#include "front/dns/name.h"

#include <algorithm>
#include <cctype>

namespace silverrail::front::dns {

std::string lower_case(std::string_view label) {
    std::string out{label};
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

std::optional<Name> parse_name(std::string_view dotted) {
    Name name;
    if (dotted.ends_with('.'))
        dotted.remove_suffix(1);
    if (dotted.empty())
        return name;
    std::size_t encoded_bytes = 1;  // the root label
    while (true) {
        const auto dot = dotted.find('.');
        const std::string_view label = dotted.substr(0, dot);
        encoded_bytes += label.size() + 1;
        if (label.empty() || label.size() > kMaxLabelBytes || encoded_bytes > kMaxNameBytes)
            return std::nullopt;
        name.push_back(lower_case(label));
        if (dot == std::string_view::npos)
            return name;
        dotted.remove_prefix(dot + 1);
    }
}

std::string encode_name(const Name& name) {
    std::string out;
    for (const std::string& label : name) {
        out += static_cast<char>(label.size());
        out += label;
    }
    return out + '\0';
}

bool ends_with(const Name& name, const Name& suffix) {
    return name.size() >= suffix.size() && std::equal(suffix.rbegin(), suffix.rend(), name.rbegin());
}

}  // namespace silverrail::front::dns
