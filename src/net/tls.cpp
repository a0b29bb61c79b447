#include "net/tls.h"

namespace silverrail::net {

std::shared_ptr<asio::ssl::context> tls_context(const acme::Issued& issued) {
    auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
    context->set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_sslv2 |
                         asio::ssl::context::no_sslv3 | asio::ssl::context::no_tlsv1 |
                         asio::ssl::context::no_tlsv1_1);
    context->use_certificate_chain(asio::buffer(issued.chain_pem));
    context->use_private_key(asio::buffer(issued.key_pem), asio::ssl::context::pem);
    return context;
}

}  // namespace silverrail::net
