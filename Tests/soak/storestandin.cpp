#include "storestandin.h"

#include <openssl/evp.h>

namespace Soak
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusGone = 410;
constexpr int statusUnavailable = 503;

std::string encodeBase64(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                     reinterpret_cast<const unsigned char *>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

}

StoreStandin::StoreStandin(boost::asio::io_context &context)
    : io(context)
    , server(context)
    , port(0)
{
    this->server.requestHandler
        = [this](const Standins::ConnectionPointer &connection, const Standins::HttpRequest &request) {
              this->handle(connection, request);
          };
    this->port = this->server.listen(0);
}

void StoreStandin::set(const std::string &key, const std::string &value)
{
    this->state.items[key] = { value, ++this->state.revision };
    this->state.removedAt.erase(key);
    this->writtenSince.insert(key);
    this->completeWatches();
}

void StoreStandin::erase(const std::string &key)
{
    this->state.items.erase(key);
    this->state.removedAt[key] = ++this->state.revision;
    this->writtenSince.insert(key);
    this->completeWatches();
}

void StoreStandin::makeCopy()
{
    this->copy = this->state;
}

void StoreStandin::restoreCopy()
{
    this->lost = std::exchange(this->state, this->copy);
    this->writtenSince.clear();
    ++this->era;
    this->completeWatches();
}

void StoreStandin::rewriteLost()
{
    const auto isLost = [this](const std::string &key, int writtenAt) {
        return writtenAt > this->copy.revision && this->writtenSince.count(key) == 0;
    };
    for (const auto &[key, item] : this->lost.items) {
        if (isLost(key, item.revision)) {
            this->set(key, item.value);
        }
    }
    for (const auto &[key, removedRevision] : this->lost.removedAt) {
        if (isLost(key, removedRevision)) {
            this->erase(key);
        }
    }
}

void StoreStandin::completeWatches()
{
    // The handlers of the cancelled timers reply.
    for (const Watch &watch : this->watches) {
        watch.timer->cancel();
    }
    this->watches.clear();
}

std::string StoreStandin::address() const
{
    return "127.0.0.1:" + std::to_string(this->port);
}

void StoreStandin::setDown(bool down)
{
    this->isDown = down;
}

void StoreStandin::handle(const Standins::ConnectionPointer &connection, const Standins::HttpRequest &request)
{
    const Standins::RequestTarget target(std::string_view(request.target().data(), request.target().size()));
    if (this->isDown) {
        this->reply(connection, Standins::textResponse(statusUnavailable, "down"));
    } else if (target.segment(1) == "kv-watch") {
        this->watch(connection, static_cast<int>(target.number("after", 0)), target.number("WaitTimeoutMs", 0));
    } else {
        this->reply(connection, this->list(target.parameter("Prefix"), target.parameter("after")));
    }
}

void StoreStandin::reply(const Standins::ConnectionPointer &connection, Standins::HttpResponse response) const
{
    response.set("Store-Era", std::to_string(this->era));
    connection->reply(std::move(response));
}

nlohmann::json StoreStandin::encode(const std::string &key, const State::Item &item)
{
    return { { "Key", key },
             { "Value", encodeBase64(item.value) },
             { "Revision", item.revision },
             { "Created", item.revision },
             { "Lease", 0 } };
}

Standins::HttpResponse StoreStandin::list(const std::string &prefix, const std::string &after) const
{
    nlohmann::json listed = nlohmann::json::array();
    for (const auto &[key, item] : this->state.items) {
        if (key.compare(0, prefix.size(), prefix) == 0 && key > after) {
            listed.push_back(encode(key, item));
        }
    }
    return Standins::jsonResponse(statusOk,
                                  { { "items", listed }, { "HasMore", false }, { "At", this->state.revision } });
}

Standins::HttpResponse StoreStandin::changes(int after) const
{
    if (after > this->state.revision) {
        return Standins::textResponse(statusGone, "lost");
    }
    nlohmann::json events = nlohmann::json::array();
    for (const auto &[key, item] : this->state.items) {
        if (item.revision > after) {
            events.push_back(encode(key, item));
        }
    }
    for (const auto &[key, removedRevision] : this->state.removedAt) {
        if (removedRevision > after) {
            events.push_back({ { "Key", key }, { "Revision", removedRevision }, { "Deleted", true } });
        }
    }
    return Standins::jsonResponse(statusOk, { { "events", events }, { "At", this->state.revision } });
}

void StoreStandin::watch(const Standins::ConnectionPointer &connection, int after, double waitMs)
{
    if (this->state.revision != after) {
        this->reply(connection, this->changes(after));
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->io);
    timer->expires_after(std::chrono::milliseconds(static_cast<int>(waitMs)));
    timer->async_wait([this, timer, connection, after](const boost::system::error_code &) {
        this->reply(connection,
                    this->isDown ? Standins::textResponse(statusUnavailable, "down") : this->changes(after));
    });
    this->watches.push_back({ connection, after, timer });
}

}
