#pragma once

#include "peer/codec/peercodec.h"

#include <random>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/transport/asio/endpoint.hpp>

namespace Lycheewall
{

/// Source of frame masks and handshake keys. The masks protect proxies between browsers and servers; between daemons
/// they need not be secret, and websocketpp's own generator makes a system call per frame.
class MaskGenerator
{
public:
    std::uint32_t operator()()
    {
        return static_cast<std::uint32_t>(this->engine());
    }

private:
    std::mt19937 engine { std::random_device()() };
};

/// One configuration for both roles, so that dialled and accepted connections have one type. The endpoints run on one
/// thread, so all locking is off.
struct PeerEndpointConfig : public websocketpp::config::core
{
    using type = PeerEndpointConfig;
    using concurrency_type = websocketpp::concurrency::none;
    using alog_type = websocketpp::log::stub;
    using elog_type = websocketpp::log::stub;
    using rng_type = MaskGenerator;

    static constexpr bool enable_multithreading = false;
    static constexpr bool drop_on_protocol_error = true;
    static constexpr std::size_t max_message_size = maxPeerFrameBytes;

    struct TransportConfig : public websocketpp::config::core::transport_config
    {
        using concurrency_type = type::concurrency_type;
        using alog_type = type::alog_type;
        using elog_type = type::elog_type;
        using socket_type = websocketpp::transport::asio::basic_socket::endpoint;

        static constexpr bool enable_multithreading = false;
        static constexpr long timeout_connect = 3000;
        static constexpr long timeout_socket_shutdown = 1000;
    };
    using transport_config = TransportConfig;
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
};

}
