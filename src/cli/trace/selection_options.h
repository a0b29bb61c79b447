// The options that select requests, for `show` and `cut`.
#pragma once

#include <string>
#include <vector>

#include "cli/trace/command.h"
#include "trace/model/selection.h"

namespace silverrail::cli {

class SelectionOptions {
public:
    // The options refer to this object, which must outlive the command line.
    void add_to(CLI::App& command_line);
    // Relative times count from the first record of the trace. Throws UsageError.
    trace::model::Selection selection(const trace::TraceReader& reader) const;

private:
    std::string from_;
    std::string to_;
    std::vector<std::string> classes_;
    std::vector<std::string> outcomes_;
    std::vector<std::string> servers_;
    std::vector<std::string> client_request_ids_;
    std::vector<std::string> objects_;
};

}  // namespace silverrail::cli
