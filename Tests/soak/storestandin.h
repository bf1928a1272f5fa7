#pragma once

#include "httpserver.h"

#include <boost/asio/steady_timer.hpp>

namespace Soak
{

/// The platform's store with fixed content: lists and watches without changes. It can be down. Thread safety: only the
/// thread of its io_context.
class StoreStandin
{
public:
    explicit StoreStandin(boost::asio::io_context &io);

    void set(const std::string &key, const std::string &value);
    std::string address() const;

    /// While down, every call gets 503.
    void setDown(bool down);

private:
    void handle(const Standins::ConnectionPointer &connection, const Standins::HttpRequest &request);
    Standins::HttpResponse list(const std::string &prefix, const std::string &after) const;
    void watch(const Standins::ConnectionPointer &connection, double waitMs);

    boost::asio::io_context &io;
    std::map<std::string, std::string> items;
    bool isDown = false;
    Standins::HttpServer server;
    std::uint16_t port;
};

}
