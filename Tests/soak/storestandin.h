#pragma once

#include "httpserver.h"

#include <boost/asio/steady_timer.hpp>

namespace Soak
{

/// The platform's store: lists and watches. It can be down. Thread safety: only the thread of its io_context.
class StoreStandin
{
public:
    explicit StoreStandin(boost::asio::io_context &io);

    /// Writes an item and completes the watches that wait for a change.
    void set(const std::string &key, const std::string &value);
    /// Removes an item and completes the watches that wait for a change.
    void erase(const std::string &key);
    std::string address() const;

    /// While down, every call gets 503.
    void setDown(bool down);

private:
    void completeWatches();
    void handle(const Standins::ConnectionPointer &connection, const Standins::HttpRequest &request);
    Standins::HttpResponse list(const std::string &prefix, const std::string &after) const;
    void watch(const Standins::ConnectionPointer &connection, int after, double waitMs);
    /// The response to a watch: the items that were written after revision @p after.
    Standins::HttpResponse changes(int after) const;

    struct Item
    {
        std::string value;
        int revision = 0;
    };
    static nlohmann::json encode(const std::string &key, const Item &item);

    struct Watch
    {
        Standins::ConnectionPointer connection;
        int after = 0;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    boost::asio::io_context &io;
    std::map<std::string, Item> items;
    /// Revisions at which items were removed.
    std::map<std::string, int> removedAt;
    int revision = 100;
    std::vector<Watch> watches;
    bool isDown = false;
    Standins::HttpServer server;
    std::uint16_t port;
};

}
