#include "catalogue/yamlvalue.h"

#include <sstream>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

namespace Lycheewall
{

namespace
{

/// Maximum nesting depth. The deepest file format, the catalogue, has 7 levels.
constexpr std::size_t maxDepth = 16;

/// Exception that stops yaml-cpp from within an event handler.
struct RejectedYaml
{
    CatalogueError error;
    int line;
    std::string expected;
};

/// Builds a tree of YamlValue from the events of yaml-cpp.
class TreeBuilder : public YAML::EventHandler
{
public:
    YamlValue root;

    void OnDocumentStart(const YAML::Mark &) override
    {
    }
    void OnDocumentEnd() override
    {
    }
    void OnNull(const YAML::Mark &mark, YAML::anchor_t anchor) override
    {
        this->add(YamlValue::Kind::Null, mark, "", anchor);
    }
    void OnAlias(const YAML::Mark &mark, YAML::anchor_t) override
    {
        throw RejectedYaml { CatalogueError::YamlFeature, mark.line + 1, "aliases are not supported" };
    }
    void
    OnScalar(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor, const std::string &value) override
    {
        YamlValue &scalar = this->add(YamlValue::Kind::Scalar, mark, tag, anchor);
        // yaml-cpp gives plain scalars the tag "?" and quoted ones the tag "!". Only plain scalars can be null.
        if (tag == "?" && (value.empty() || value == "~" || value == "null")) {
            scalar.kind = YamlValue::Kind::Null;
            return;
        }
        scalar.text = value;
    }
    void OnSequenceStart(const YAML::Mark &mark,
                         const std::string &tag,
                         YAML::anchor_t anchor,
                         YAML::EmitterStyle::value) override
    {
        this->openCollection(YamlValue::Kind::Sequence, mark, tag, anchor);
    }
    void OnSequenceEnd() override
    {
        this->openCollections.pop_back();
    }
    void OnMapStart(const YAML::Mark &mark,
                    const std::string &tag,
                    YAML::anchor_t anchor,
                    YAML::EmitterStyle::value) override
    {
        this->openCollection(YamlValue::Kind::Map, mark, tag, anchor);
    }
    void OnMapEnd() override
    {
        this->openCollections.pop_back();
    }

private:
    YamlValue &appendValue()
    {
        if (this->openCollections.empty()) {
            return this->root;
        }
        YamlValue &parent = *this->openCollections.back();
        if (parent.kind == YamlValue::Kind::Map && parent.keys.size() == parent.items.size()) {
            return parent.keys.emplace_back();
        }
        return parent.items.emplace_back();
    }

    YamlValue &add(YamlValue::Kind kind, const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor)
    {
        if (anchor != 0) {
            throw RejectedYaml { CatalogueError::YamlFeature, mark.line + 1, "anchors are not supported" };
        }
        if (!tag.empty() && tag != "?" && tag != "!") {
            throw RejectedYaml { CatalogueError::YamlFeature, mark.line + 1, "tags are not supported" };
        }
        YamlValue &value = this->appendValue();
        value.kind = kind;
        value.line = mark.line + 1;
        return value;
    }

    void openCollection(YamlValue::Kind kind, const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor)
    {
        if (this->openCollections.size() >= maxDepth) {
            throw RejectedYaml { CatalogueError::TooDeep,
                                 mark.line + 1,
                                 "values must not nest deeper than " + std::to_string(maxDepth) + " levels" };
        }
        this->openCollections.push_back(&this->add(kind, mark, tag, anchor));
    }

    /// Sequences and maps whose end has not been reached, outermost first. The pointers stay valid because the vectors
    /// of a parent do not grow while one of its entries is open.
    std::vector<YamlValue *> openCollections;
};

/// Length of the UTF-8 sequence at @p at, 0 if it is not well-formed (RFC 3629; Unicode, table 3-7).
std::size_t utf8SequenceLength(const std::string &text, std::size_t at)
{
    const auto byte = [&](std::size_t offset) -> unsigned {
        return at + offset < text.size() ? static_cast<unsigned char>(text[at + offset]) : 0U;
    };
    const auto isContinuation = [&](std::size_t offset, unsigned low = 0x80, unsigned high = 0xBF) {
        return byte(offset) >= low && byte(offset) <= high;
    };
    const unsigned lead = byte(0);
    if (lead < 0x80) {
        return 1;
    }
    if (lead >= 0xC2 && lead <= 0xDF) {
        return isContinuation(1) ? 2 : 0;
    }
    if (lead >= 0xE0 && lead <= 0xEF) {
        const bool second = isContinuation(1, lead == 0xE0 ? 0xA0 : 0x80, lead == 0xED ? 0x9F : 0xBF);
        return second && isContinuation(2) ? 3 : 0;
    }
    if (lead >= 0xF0 && lead <= 0xF4) {
        const bool second = isContinuation(1, lead == 0xF0 ? 0x90 : 0x80, lead == 0xF4 ? 0x8F : 0xBF);
        return second && isContinuation(2) && isContinuation(3) ? 4 : 0;
    }
    return 0;
}

/// yaml-cpp silently replaces malformed bytes and treats U+0004 as the end of the text, so both are rejected
/// beforehand.
bool checkCharacters(const std::string &text, ProblemList &problems)
{
    int line = 1;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t length = utf8SequenceLength(text, at);
        if (length == 0) {
            problems.add(CatalogueError::NotUtf8, line, "", "the text must be UTF-8");
            return false;
        }
        const auto byte = static_cast<unsigned char>(text[at]);
        if ((byte < 0x20 && byte != '\n' && byte != '\r' && byte != '\t') || byte == 0x7F) {
            problems.add(CatalogueError::ControlCharacter,
                         line,
                         "",
                         "control character " + std::to_string(byte) + " is not allowed");
            return false;
        }
        line += byte == '\n' ? 1 : 0;
        at += length;
    }
    return true;
}

}

std::string YamlValue::description() const
{
    switch (this->kind) {
    case Kind::Null:
        return "nothing";
    case Kind::Sequence:
        return "a list";
    case Kind::Map:
        return "a map";
    case Kind::Scalar:
        return quoted(this->text);
    }
    return "nothing";
}

std::optional<YamlValue> readYaml(const std::string &text, ProblemList &problems)
{
    if (text.size() > maxYamlBytes) {
        problems.add(CatalogueError::TooLarge,
                     0,
                     "",
                     "text must be at most " + std::to_string(maxYamlBytes) + " bytes, got "
                         + std::to_string(text.size()));
        return std::nullopt;
    }
    if (!checkCharacters(text, problems)) {
        return std::nullopt;
    }
    try {
        std::istringstream stream(text);
        YAML::Parser parser(stream);
        TreeBuilder builder;
        parser.HandleNextDocument(builder);
        TreeBuilder rest;
        if (parser.HandleNextDocument(rest)) {
            problems.add(CatalogueError::YamlFeature, rest.root.line, "", "the file must hold one document only");
            return std::nullopt;
        }
        return std::move(builder.root);
    } catch (const RejectedYaml &rejection) {
        problems.add(rejection.error, rejection.line, "", rejection.expected);
    } catch (const YAML::Exception &exception) {
        problems.add(CatalogueError::NotYaml, exception.mark.line + 1, "", "not YAML: " + exception.msg);
    } catch (const std::exception &exception) {
        problems.add(CatalogueError::NotYaml, 0, "", std::string("not YAML: ") + exception.what());
    }
    return std::nullopt;
}

}
