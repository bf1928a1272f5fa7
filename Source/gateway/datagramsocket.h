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
 * Datagrams between instances.
 * Thread safety: none; used on the thread of the request loop.
 */
class DatagramSocket : public DatagramSender
{
public:
    using Receive = std::function<void(const std::string &bytes)>;

    /// Binds to @p address. Errors: those of the socket.
    static Result<std::unique_ptr<DatagramSocket>>
    create(boost::asio::io_context &io, const std::string &address, Counters &counters, Receive receive);

    void send(const std::string &address, const std::string &bytes) override;

private:
    DatagramSocket(boost::asio::io_context &io, Counters &counters, Receive receive);
    void receiveNext();

    boost::asio::ip::udp::socket socket;
    Counters &counters;
    Receive receive;
    std::vector<char> buffer;
    boost::asio::ip::udp::endpoint sender;
};

}
