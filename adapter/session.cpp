#include "session.h"

#include <istream>
#include <map>
#include <optional>
#include <ostream>
#include <string>

#include "action_writer.h"
#include "event_parser.h"
#include "message_fields.h"
#include "settings.h"
#include "silverrail/routing/router.h"
#include "wire_text.h"

namespace silverrail::routing::adapter {

namespace {

class Session {
public:
    Session(std::istream& in, std::ostream& out) : in_(in), out_(out) {}

    // Throws WireError; `line_number` is then that of the line it is about.
    void serve();
    std::size_t line_number() const {
        return line_number_;
    }

private:
    struct Instance {
        std::optional<Router> router;  // absent: the settings were rejected
        ClassIndex classes;
    };

    // The next line that is not blank, in words; false at the end of the input.
    bool next(Words& words);
    // The next line inside a batch; `expected` names it in the error.
    void require_next(Words& words, const char* expected);
    // False at the end of the batch.
    bool handle(const Words& words);
    void open_instance(const Words& words);
    void read_server_list(const Words& words);
    void handle_event(const Words& words);

    std::istream& in_;
    std::ostream& out_;
    std::string line_;
    std::size_t line_number_ = 0;
    Time now_{};
    std::string reply_;  // to the current batch
    ServerLists server_lists_;
    std::map<std::string, Instance> instances_;
};

void Session::serve() {
    Words words;
    while (next(words)) {
        if (words[0] != "BATCH")
            throw WireError("expected BATCH, got '" + std::string{words[0]} + "'");
        now_ = Time{Span{MessageFields{words, 1}.required_integer(1, "a clock time")}};
        reply_.clear();
        do {
            require_next(words, "COMMIT");
        } while (handle(words));
        out_ << reply_ << "YIELD\n" << std::flush;
    }
}

bool Session::next(Words& words) {
    while (std::getline(in_, line_)) {
        ++line_number_;
        if (!line_.empty() && line_.back() == '\r')
            line_.pop_back();
        if (line_.empty())
            continue;
        words = split(line_, ' ');
        return true;
    }
    return false;
}

void Session::require_next(Words& words, const char* expected) {
    if (!next(words))
        throw WireError(std::string{"input ended inside a batch, expected "} + expected);
}

bool Session::handle(const Words& words) {
    const std::string_view name = words[0];
    if (name == "COMMIT")
        return false;
    if (name == "ROSTER")
        read_server_list(words);
    else if (name == "OPEN_INSTANCE")
        open_instance(words);
    else if (name == "DESTROY")
        instances_.erase(MessageFields{words, 1}.required_instance());
    else
        handle_event(words);
    return true;
}

void Session::open_instance(const Words& words) {
    const MessageFields fields{words, 2};
    const std::string id = fields.required_instance();
    const auto seed = static_cast<std::uint64_t>(fields.required_integer(2, "a seed"));
    Instance& instance = instances_[id] = Instance{};
    try {
        Settings settings = parse_settings({words.begin() + 3, words.end()});
        for (std::size_t i = 0; i < settings.classes.size(); ++i)
            instance.classes[settings.classes[i].name] = i;
        instance.router.emplace(std::move(settings), seed);
    } catch (const SettingsError& error) {
        reply_ += "BROKEN " + id + " " + error.what() + "\n";
    }
}

void Session::read_server_list(const Words& words) {
    const MessageFields fields{words, 2};
    std::vector<ListedServer>& servers = server_lists_[fields.required_integer(1, "a list number")];
    servers.clear();
    const auto rows = fields.required_integer(2, "a count of entries");
    Words row;
    for (std::int64_t i = 0; i < rows; ++i) {
        require_next(row, "ROW");
        if (row[0] != "ROW")
            throw WireError("expected ROW, got '" + std::string{row[0]} + "'");
        servers.push_back(parse_listed_server(row));
    }
}

void Session::handle_event(const Words& words) {
    const std::string id = MessageFields{words, 1}.required_instance();
    const auto found = instances_.find(id);
    Instance* const instance = found != instances_.end() && found->second.router ? &found->second : nullptr;
    const std::optional<Event> event = parse_event(
        words, {.classes = instance ? &instance->classes : nullptr, .server_lists = server_lists_});
    if (!event || !instance)
        return;
    for (const Action& action : instance->router->on(*event, now_))
        append_action(reply_, id, action);
}

}  // namespace

int serve(std::istream& in, std::ostream& out, std::ostream& errors) {
    Session session{in, out};
    try {
        session.serve();
        return 0;
    } catch (const WireError& error) {
        errors << "line " << session.line_number() << ": " << error.what() << '\n';
        return 2;
    }
}

}  // namespace silverrail::routing::adapter
