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
#include "wire_format.h"

namespace silverrail::routing::adapter {

namespace {

class Session {
public:
    Session(std::istream& in, std::ostream& out) : in_(in), out_(out) {}

    // Throws ProtocolError; line_number() is then the number of the offending line.
    void serve();
    std::size_t line_number() const {
        return line_number_;
    }

private:
    struct Instance {
        std::optional<Router> router;  // absent: the settings were rejected
        ClassIndex classes;
    };

    // Reads the next line that is not empty and splits it into tokens. Returns false at the end of the input.
    bool next_line(Tokens& tokens);
    // Reads the next line inside a batch. `expected` names it in the error message.
    void require_line(Tokens& tokens, const char* expected);
    // Handles one line of a batch. Returns false at the end of the batch.
    bool handle(const Tokens& tokens);
    void open_instance(const Tokens& tokens);
    void read_server_list(const Tokens& tokens);
    void handle_event(const Tokens& tokens);

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
    Tokens tokens;
    while (next_line(tokens)) {
        if (tokens[0] != "BATCH")
            throw ProtocolError("expected BATCH, got '" + std::string{tokens[0]} + "'");
        now_ = Time{Span{MessageFields{tokens, 1}.required_integer(1, "a clock time")}};
        reply_.clear();
        do {
            require_line(tokens, "COMMIT");
        } while (handle(tokens));
        out_ << reply_ << "YIELD\n" << std::flush;
    }
}

bool Session::next_line(Tokens& tokens) {
    while (std::getline(in_, line_)) {
        ++line_number_;
        if (!line_.empty() && line_.back() == '\r')
            line_.pop_back();
        if (line_.empty())
            continue;
        tokens = split(line_, ' ');
        return true;
    }
    return false;
}

void Session::require_line(Tokens& tokens, const char* expected) {
    if (!next_line(tokens))
        throw ProtocolError(std::string{"input ended inside a batch, expected "} + expected);
}

bool Session::handle(const Tokens& tokens) {
    const std::string_view name = tokens[0];
    if (name == "COMMIT")
        return false;
    if (name == "ROSTER")
        read_server_list(tokens);
    else if (name == "OPEN_INSTANCE")
        open_instance(tokens);
    else if (name == "DESTROY")
        instances_.erase(MessageFields{tokens, 1}.required_instance());
    else
        handle_event(tokens);
    return true;
}

void Session::open_instance(const Tokens& tokens) {
    const MessageFields fields{tokens, 2};
    const std::string id = fields.required_instance();
    const auto seed = static_cast<std::uint64_t>(fields.required_integer(2, "a seed"));
    Instance& instance = instances_[id] = Instance{};
    try {
        Settings settings = parse_settings({tokens.begin() + 3, tokens.end()});
        for (std::size_t i = 0; i < settings.classes.size(); ++i)
            instance.classes[settings.classes[i].name] = i;
        instance.router.emplace(std::move(settings), seed);
    } catch (const SettingsError& error) {
        reply_ += "BROKEN " + id + " " + error.what() + "\n";
    }
}

void Session::read_server_list(const Tokens& tokens) {
    const MessageFields fields{tokens, 2};
    std::vector<ListedServer>& servers = server_lists_[fields.required_integer(1, "a list number")];
    servers.clear();
    const auto rows = fields.required_integer(2, "a count of entries");
    Tokens row;
    for (std::int64_t i = 0; i < rows; ++i) {
        require_line(row, "ROW");
        if (row[0] != "ROW")
            throw ProtocolError("expected ROW, got '" + std::string{row[0]} + "'");
        servers.push_back(parse_listed_server(row));
    }
}

void Session::handle_event(const Tokens& tokens) {
    const std::string id = MessageFields{tokens, 1}.required_instance();
    const auto found = instances_.find(id);
    Instance* const instance = found != instances_.end() && found->second.router ? &found->second : nullptr;
    const std::optional<Event> event = parse_event(
        tokens, {.classes = instance ? &instance->classes : nullptr, .server_lists = server_lists_});
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
    } catch (const ProtocolError& error) {
        errors << "line " << session.line_number() << ": " << error.what() << '\n';
        return 2;
    }
}

}  // namespace silverrail::routing::adapter
