#pragma once

#include "httpserver.h"

#include <boost/asio/steady_timer.hpp>
#include <set>

namespace Soak
{

/// The platform's store: lists and watches. It can be down, and it can come back from an older copy of its items.
/// Thread safety: only the thread of its io_context.
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

    /// Keeps a copy of the present items for restoreCopy().
    void makeCopy();
    /// Goes back to the last copy and enters a new era.
    void restoreCopy();
    /// Writes what the restoration has lost, apart from items that were written since.
    void rewriteLost();

private:
    /// The items and revision at one time.
    struct State
    {
        struct Item
        {
            std::string value;
            int revision = 0;
        };
        std::map<std::string, Item> items;
        /// Revisions at which items were removed.
        std::map<std::string, int> removedAt;
        int revision = 100;
    };

    void completeWatches();
    void handle(const Standins::ConnectionPointer &connection, const Standins::HttpRequest &request);
    Standins::HttpResponse list(const std::string &prefix, const std::string &after) const;
    void watch(const Standins::ConnectionPointer &connection, int after, double waitMs);
    /// The response to a watch: the items that were written after revision @p after, or 410 if that has been lost.
    Standins::HttpResponse changes(int after) const;
    /// Replies with the era.
    void reply(const Standins::ConnectionPointer &connection, Standins::HttpResponse response) const;
    static nlohmann::json encode(const std::string &key, const State::Item &item);

    struct Watch
    {
        Standins::ConnectionPointer connection;
        int after = 0;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    boost::asio::io_context &io;
    State state;
    State copy;
    /// The state before the last restoration, and the keys written since then.
    State lost;
    std::set<std::string> writtenSince;
    int era = 1;
    std::vector<Watch> watches;
    bool isDown = false;
    Standins::HttpServer server;
    std::uint16_t port;
};

}
