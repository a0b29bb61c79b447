#include "net/tls.h"

namespace silverrail::net {

std::shared_ptr<asio::ssl::context> server_tls_context(const acme::IssuedCertificate& certificate) {
    using Context = asio::ssl::context;
    auto context = std::make_shared<Context>(Context::tls_server);
    context->set_options(Context::default_workarounds | Context::no_sslv2 | Context::no_sslv3 |
                         Context::no_tlsv1 | Context::no_tlsv1_1);
    context->use_certificate_chain(asio::buffer(certificate.chain_pem));
    context->use_private_key(asio::buffer(certificate.key_pem), Context::pem);
    return context;
}

}  // namespace silverrail::net
