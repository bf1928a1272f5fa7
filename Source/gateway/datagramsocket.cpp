#include "gateway/datagramsocket.h"

#include "core/log.h"
#include "runtime/socketaddress.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>

namespace Lycheewall
{

namespace asio = boost::asio;
using asio::ip::udp;

namespace
{

constexpr std::size_t maxDatagramSize = std::size_t { 64 } * 1024;

}

Result<std::unique_ptr<DatagramSocket>>
DatagramSocket::create(asio::io_context &io, const std::string &address, Counters &counters, ReceiveCallback receive)
{
    const auto parsed = parseAddress(address);
    if (!parsed) {
        return parsed.error();
    }
    std::unique_ptr<DatagramSocket> created(new DatagramSocket(io, counters, std::move(receive)));
    const udp::endpoint local(parsed.value().address(), parsed.value().port());
    boost::system::error_code error;
    created->socket.open(local.protocol(), error);
    if (!error) {
        created->socket.bind(local, error);
    }
    if (!error) {
        created->socket.non_blocking(true, error);
    }
    if (error) {
        return std::error_code(error);
    }
    created->receiveNext();
    return created;
}

DatagramSocket::DatagramSocket(asio::io_context &io, Counters &socketCounters, ReceiveCallback callback)
    : socket(io)
    , counters(socketCounters)
    , receive(std::move(callback))
    , buffer(maxDatagramSize)
{
}

void DatagramSocket::send(const std::string &address, const std::string &bytes)
{
    const auto parsed = parseAddress(address);
    if (!parsed) {
        this->counters.counter("lycheewall_fleet_send_errors_total").add();
        Log::component("fleet").warn("Could not send a datagram: " + address + " is not a valid peer address.");
        return;
    }
    boost::system::error_code error;
    this->socket.send_to(asio::buffer(bytes), udp::endpoint(parsed.value().address(), parsed.value().port()), 0, error);
    if (error) {
        this->counters.counter("lycheewall_fleet_send_errors_total").add();
        Log::component("fleet").debug("Could not send a datagram to " + address + ": " + error.message() + ".");
    }
}

void DatagramSocket::receiveNext()
{
    this->socket.async_receive_from(
        asio::buffer(this->buffer), this->sender, [this](const boost::system::error_code &error, std::size_t size) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                this->receive(std::string(this->buffer.data(), size));
            }
            this->receiveNext();
        });
}

}
