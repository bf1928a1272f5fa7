#pragma once

#include "peer/codec/messages.h"

namespace Lycheewall
{

/// Whether a frame without the field is refused. A field added later is optional, so that older peers stay understood.
enum class Presence { Required, Optional };

/**
 * The type tag and the fields of each message, used for both directions. To add a field, add it to the struct and one
 * line here. Keys are short because small frames dominate.
 */
template<typename Message> struct MessageFields;

template<> struct MessageFields<Hello>
{
    static constexpr const char *tag = "he";
    template<typename Visitor> static void visit(Visitor &visitor)
    {
        visitor("p", &Hello::protocol);
        visitor("i", &Hello::instance);
        visitor("n", &Hello::incarnation);
        visitor("z", &Hello::zone);
        visitor("a", &Hello::callerAddress);
    }
};

template<> struct MessageFields<Ping>
{
    static constexpr const char *tag = "pi";
    template<typename Visitor> static void visit(Visitor &visitor)
    {
        visitor("s", &Ping::sequence);
    }
};

template<> struct MessageFields<Pong>
{
    static constexpr const char *tag = "po";
    template<typename Visitor> static void visit(Visitor &visitor)
    {
        visitor("s", &Pong::sequence);
    }
};

template<> struct MessageFields<Gossip>
{
    static constexpr const char *tag = "go";
    template<typename Visitor> static void visit(Visitor &visitor)
    {
        visitor("s", &Gossip::state);
        visitor("n", &Gossip::incarnation);
        visitor("cv", &Gossip::catalogueVersion);
        visitor("lv", &Gossip::listVersion);
        visitor("a", &Gossip::callerAddress);
        visitor("h", &Gossip::held);
        visitor("c", &Gossip::cold);
        visitor("pa", &Gossip::platformAgeMs);
    }
};

template<> struct MessageFields<ConfigurationRequest>
{
    static constexpr const char *tag = "cq";
    template<typename Visitor> static void visit(Visitor &visitor)
    {
        visitor("n", &ConfigurationRequest::name);
        visitor("v", &ConfigurationRequest::have);
    }
};

template<> struct MessageFields<ConfigurationValue>
{
    static constexpr const char *tag = "cv";
    template<typename Visitor> static void visit(Visitor &visitor)
    {
        visitor("n", &ConfigurationValue::name);
        visitor("v", &ConfigurationValue::version);
        visitor("x", &ConfigurationValue::text);
    }
};

template<> struct MessageFields<LeaseRequest>
{
    static constexpr const char *tag = "lq";
    template<typename Visitor> static void visit(Visitor &visitor)
    {
        visitor("i", &LeaseRequest::id);
        visitor("r", &LeaseRequest::resources);
        visitor("lv", &LeaseRequest::listVersion);
    }
};

template<> struct MessageFields<LeaseRefusal>
{
    template<typename Visitor> static void visit(Visitor &visitor)
    {
        visitor("r", &LeaseRefusal::resource);
        visitor("h", &LeaseRefusal::holder);
        visitor("m", &LeaseRefusal::remainingMs);
    }
};

template<> struct MessageFields<LeaseReply>
{
    static constexpr const char *tag = "lr";
    template<typename Visitor> static void visit(Visitor &visitor)
    {
        visitor("i", &LeaseReply::id);
        visitor("g", &LeaseReply::granted);
        visitor("r", &LeaseReply::refused);
        visitor("lv", &LeaseReply::listVersion);
        visitor("cv", &LeaseReply::catalogueVersion);
    }
};

template<> struct MessageFields<LeaseRelease>
{
    static constexpr const char *tag = "lx";
    template<typename Visitor> static void visit(Visitor &visitor)
    {
        visitor("i", &LeaseRelease::id);
        visitor("r", &LeaseRelease::resources);
    }
};

template<> struct MessageFields<TokenRequest>
{
    static constexpr const char *tag = "tq";
    template<typename Visitor> static void visit(Visitor &visitor)
    {
        visitor("i", &TokenRequest::id);
        visitor("o", &TokenRequest::organisation);
        visitor("w", &TokenRequest::wanted);
        visitor("r", &TokenRequest::returned);
        visitor("rb", &TokenRequest::returnedBatch);
    }
};

template<> struct MessageFields<TokenReply>
{
    static constexpr const char *tag = "tr";
    template<typename Visitor> static void visit(Visitor &visitor)
    {
        visitor("i", &TokenReply::id);
        visitor("o", &TokenReply::organisation);
        visitor("g", &TokenReply::granted);
        visitor("vt", &TokenReply::validMs);
        visitor("ra", &TokenReply::retryAfterMs);
        visitor("r", &TokenReply::reason);
        visitor("h", &TokenReply::holder);
    }
};

template<> struct MessageFields<SubRequest>
{
    static constexpr const char *tag = "sq";
    template<typename Visitor> static void visit(Visitor &visitor)
    {
        visitor("i", &SubRequest::id);
        visitor("q", &SubRequest::request);
        visitor("o", &SubRequest::organisation);
        visitor("p", &SubRequest::pool);
        visitor("v", &SubRequest::snapshot);
        visitor("g", &SubRequest::parts);
        visitor("d", &SubRequest::idempotent);
        visitor("m", &SubRequest::remainingMs);
        visitor("b", &SubRequest::body);
    }
};

template<> struct MessageFields<SubAnswer>
{
    static constexpr const char *tag = "sa";
    template<typename Visitor> static void visit(Visitor &visitor)
    {
        visitor("i", &SubAnswer::id);
        visitor("g", &SubAnswer::part);
        visitor("u", &SubAnswer::outcome);
        visitor("r", &SubAnswer::reason);
        visitor("v", &SubAnswer::snapshot);
        visitor("n", &SubAnswer::documents);
        visitor("b", &SubAnswer::body);
        visitor("e", &SubAnswer::endpoint);
        visitor("hc", &SubAnswer::hedges);
        visitor("rc", &SubAnswer::retries);
        visitor("qt", &SubAnswer::queuedUs);
        visitor("st", &SubAnswer::serviceUs);
        visitor("h", &SubAnswer::holder);
        visitor("ql", &SubAnswer::queueLength);
    }
};

template<> struct MessageFields<SubCancel>
{
    static constexpr const char *tag = "sc";
    template<typename Visitor> static void visit(Visitor &visitor)
    {
        visitor("i", &SubCancel::id);
        visitor("g", &SubCancel::parts);
    }
};

}
