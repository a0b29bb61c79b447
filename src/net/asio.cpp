#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
#include <utility>
