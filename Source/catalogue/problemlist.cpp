#include "catalogue/problemlist.h"

#include <algorithm>
#include <numeric>

namespace Lycheewall
{

namespace
{

/// A malicious file of 1 MB can hold 300,000 invalid items, whose messages would need 100 MB.
constexpr std::size_t maxProblems = 1000;
/// Maximum length in bytes of the text that a message quotes.
constexpr std::size_t maxQuotedBytes = 80;
/// Only this many bytes of a word are compared, because the edit distance takes time proportional to the product of
/// both lengths.
constexpr std::size_t maxComparedBytes = 64;

/// A substitution costs 2, as much as a deletion and an insertion, so that "idle" is closer to "idle-ms" than to
/// "zone".
std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t { 0 });
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t replaced = diagonal + (left[i] == right[j] ? 0 : 2);
            diagonal = row[j + 1];
            row[j + 1] = std::min({ replaced, row[j] + 1, row[j + 1] + 1 });
        }
    }
    return row.back();
}

bool isContinuationByte(char byte)
{
    return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80U;
}

}

std::string CatalogueProblem::message() const
{
    std::string text = this->file;
    if (this->line > 0) {
        text += ":" + std::to_string(this->line);
    }
    text += ": ";
    if (!this->item.empty()) {
        text += this->item + ": ";
    }
    return text + this->expected;
}

ProblemList::ProblemList(std::string fileName)
    : file(std::move(fileName))
{
}

void ProblemList::add(CatalogueError error, int line, std::string item, std::string expected)
{
    if (this->isFull()) {
        return;
    }
    if (this->problems.size() == maxProblems) {
        error = CatalogueError::TooManyProblems;
        item.clear();
        expected = "more than " + std::to_string(maxProblems) + " problems; the rest is not listed";
    }
    this->problems.push_back({ error, this->file, line, std::move(item), std::move(expected) });
}

bool ProblemList::empty() const
{
    return this->problems.empty();
}

bool ProblemList::isFull() const
{
    return this->problems.size() > maxProblems;
}

std::vector<CatalogueProblem> ProblemList::takeProblems()
{
    return std::move(this->problems);
}

std::string quoted(std::string_view text)
{
    if (text.size() <= maxQuotedBytes) {
        return '"' + std::string(text) + '"';
    }
    std::size_t end = maxQuotedBytes;
    while (end > 0 && isContinuationByte(text[end])) {
        --end;
    }
    return '"' + std::string(text.substr(0, end)) + "...\"";
}

std::string describeItem(std::string_view kind, std::string_view id)
{
    return std::string(kind) + ' ' + quoted(id);
}

std::string_view closestMatch(std::string_view word, const std::vector<std::string_view> &candidates)
{
    const std::string_view compared = word.substr(0, maxComparedBytes);
    std::string_view best;
    std::size_t bestDistance = std::string_view::npos;
    for (const std::string_view candidate : candidates) {
        const std::size_t distance = editDistance(compared, candidate.substr(0, maxComparedBytes));
        if (distance < bestDistance) {
            best = candidate;
            bestDistance = distance;
        }
    }
    return best;
}

}
