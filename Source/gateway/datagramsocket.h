#pragma once

#include "core/counters.h"
#include "core/result.h"
#include "fleet/gossip.h"

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace Lycheewall
{

/**
 * Sends and receives the UDP datagrams between instances.
 * Thread safety: none; used on the thread of the request loop.
 */
class DatagramSocket : public DatagramSender
{
public:
    using ReceiveCallback = std::function<void(const std::string &bytes)>;

    /// Binds to @p address ("ip:port") and calls @p receive for each datagram. Errors: std::errc::invalid_argument for
    /// a bad address, else those of the socket.
    static Result<std::unique_ptr<DatagramSocket>>
    create(boost::asio::io_context &io, const std::string &address, Counters &counters, ReceiveCallback receive);

    void send(const std::string &address, const std::string &bytes) override;

private:
    DatagramSocket(boost::asio::io_context &io, Counters &counters, ReceiveCallback receive);
    void receiveNext();

    boost::asio::ip::udp::socket socket;
    Counters &counters;
    ReceiveCallback receive;
    std::vector<char> buffer;
    boost::asio::ip::udp::endpoint sender;
};

}
