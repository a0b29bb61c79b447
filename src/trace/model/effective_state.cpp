#include "trace/model/effective_state.h"

#include <algorithm>

namespace silverrail::trace::model {

namespace {

constexpr std::uint8_t kGone = 2;  // routing::Condition::gone

void for_each_server(std::uint32_t router_index,
                     const std::map<std::string, OwnedRecord, std::less<>>& servers,
                     const std::function<void(const Record&)>& f) {
    if (servers.empty())
        return;
    Record list;
    list.at = servers.begin()->second.record().at;
    for (const auto& [id, server] : servers)
        list.at = std::max(list.at, server.record().at);
    list.router_index = router_index;
    list.body = ServerListChanged{servers.size(), true};
    f(list);
    for (const auto& [id, server] : servers)
        f(server.record());
}

}  // namespace

EffectiveState::RouterState* EffectiveState::find_or_add_router(std::uint32_t router_index) {
    if (const auto router = routers_.find(router_index); router != routers_.end())
        return &router->second;
    if (routers_.size() >= kMaxRouters) {
        ++evicted_;
        return nullptr;
    }
    return &routers_[router_index];
}

void EffectiveState::update(const Record& record) {
    RouterState* router = find_or_add_router(record.router_index);
    if (!router)
        return;
    std::visit(
        [&](const auto& body) {
            if constexpr (requires { this->apply(*router, record, body); })
                this->apply(*router, record, body);
        },
        record.body);
}

void EffectiveState::apply(RouterState& router, const Record& record, const RouterStarted& start) {
    // A router that starts knows nothing of its previous run.
    router = {};
    router.start = OwnedRecord{record};
    router.clock_offset = start.offset;
}

void EffectiveState::apply(RouterState& router, const Record& record, const ClockSample& clock) {
    router.clock = OwnedRecord{record};
    router.clock_offset = clock.offset;
    evict_expired(router, record.at);
}

void EffectiveState::apply(RouterState& router, const Record& /*record*/, const ServerListChanged& list) {
    if (list.complete)
        router.servers.clear();
}

void EffectiveState::apply(RouterState& router, const Record& record, const ServerListEntry& entry) {
    const auto server = router.servers.find(entry.id);
    if (entry.condition == kGone) {
        if (server != router.servers.end())
            router.servers.erase(server);
    } else if (server != router.servers.end()) {
        server->second = OwnedRecord{record};
    } else if (router.servers.size() < kMaxServers) {
        router.servers.emplace(std::string{entry.id}, OwnedRecord{record});
    } else {
        ++evicted_;
    }
}

void EffectiveState::apply(RouterState& router, const Record& record, const PurgeReceived& /*purge*/) {
    router.purges.emplace_back(record);
    evict_expired(router, record.at);
}

void EffectiveState::apply(RouterState& router, const Record& record, const RequestReceived& received) {
    if (received.request == 0)
        return;
    if (router.requests.size() >= kMaxOpenRequests) {
        router.requests.erase(router.requests.begin());
        ++evicted_;
    }
    OpenRequest& open = router.requests[received.request];
    open = {};
    open.received = OwnedRecord{record};
}

void EffectiveState::apply(RouterState& router, const Record& record, const AttemptSent& sent) {
    const auto request = router.requests.find(sent.request);
    if (request == router.requests.end())
        return;
    if (request->second.open_attempts.size() < kMaxOpenAttempts)
        request->second.open_attempts.emplace_back(record);
    else
        ++evicted_;
}

void EffectiveState::apply(RouterState& router, const Record& /*record*/, const AttemptEnded& ended) {
    const auto request = router.requests.find(ended.request);
    if (request == router.requests.end())
        return;
    OpenRequest& open = request->second;
    std::erase_if(open.open_attempts, [&ended](const OwnedRecord& sent) {
        return std::get<AttemptSent>(sent.record().body).attempt == ended.attempt;
    });
    if (open.closed && open.open_attempts.empty())
        router.requests.erase(request);
}

void EffectiveState::apply(RouterState& router, const Record& record, const ClientClosed& closed) {
    close_request(router, closed.request, record);
}

void EffectiveState::apply(RouterState& router, const Record& record, const ResponseSent& sent) {
    close_request(router, sent.request, record);
}

void EffectiveState::close_request(RouterState& router, std::uint64_t request, const Record& record) {
    const auto open = router.requests.find(request);
    if (open == router.requests.end())
        return;
    if (open->second.open_attempts.empty())
        router.requests.erase(open);
    else if (!open->second.closed)
        open->second.closed = OwnedRecord{record};
}

void EffectiveState::evict_expired(RouterState& router, std::int64_t now) {
    auto& purges = router.purges;
    while (!purges.empty() && purges.front().record().at < now - kPurgeRetentionNs)
        purges.pop_front();
    while (purges.size() > kMaxPurges) {
        purges.pop_front();
        ++evicted_;
    }
    // Request ids increase with time, so the first are the oldest.
    auto& requests = router.requests;
    while (!requests.empty() && requests.begin()->second.received.record().at < now - kRequestRetentionNs)
        requests.erase(requests.begin());
}

void EffectiveState::for_each(const std::function<void(const Record&)>& f) const {
    for (const auto& [router_index, router] : routers_) {
        if (router.start)
            f(router.start.record());
        if (router.clock)
            f(router.clock.record());
        for_each_server(router_index, router.servers, f);
        for (const OwnedRecord& purge : router.purges)
            f(purge.record());
        for (const auto& [id, request] : router.requests) {
            f(request.received.record());
            for (const OwnedRecord& sent : request.open_attempts)
                f(sent.record());
            if (request.closed)
                f(request.closed.record());
        }
    }
}

std::int64_t EffectiveState::unix_ns(std::uint32_t router_index, std::int64_t at) const {
    const auto router = routers_.find(router_index);
    return router == routers_.end() ? at : at + router->second.clock_offset;
}

const RouterStarted* EffectiveState::start(std::uint32_t router_index) const {
    const auto router = routers_.find(router_index);
    return router == routers_.end() ? nullptr
                                    : std::get_if<RouterStarted>(&router->second.start.record().body);
}

const EffectiveState::OpenRequest* EffectiveState::open_request(std::uint32_t router_index,
                                                                std::uint64_t request) const {
    const auto router = routers_.find(router_index);
    if (router == routers_.end())
        return nullptr;
    const auto open = router->second.requests.find(request);
    return open == router->second.requests.end() ? nullptr : &open->second;
}

std::size_t EffectiveState::open_request_count() const {
    std::size_t count = 0;
    for (const auto& [router_index, router] : routers_)
        count += router.requests.size();
    return count;
}

std::size_t EffectiveState::server_count(std::uint32_t router_index) const {
    const auto router = routers_.find(router_index);
    return router == routers_.end() ? 0 : router->second.servers.size();
}

}  // namespace silverrail::trace::model
