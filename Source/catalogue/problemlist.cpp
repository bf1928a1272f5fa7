#include "catalogue/problemlist.h"

#include <algorithm>
#include <numeric>

namespace Lycheewall
{

namespace
{

/// A hostile file of 1 MB can hold 300,000 wrong items; their messages would need 100 MB.
constexpr std::size_t maxProblems = 1000;
/// Longest part of a wrong text that a message repeats, in bytes.
constexpr std::size_t maxQuoted = 80;
/// Longer words are compared by their beginning only, because the edit distance costs the product of both lengths.
constexpr std::size_t maxCompared = 64;

/// A replaced character costs 2, like a removed and an added one: "idle" is then nearer to "idle-ms" than to "zone".
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

bool continuesCharacter(char byte)
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
    if (this->full()) {
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

bool ProblemList::full() const
{
    return this->problems.size() > maxProblems;
}

std::vector<CatalogueProblem> ProblemList::take()
{
    return std::move(this->problems);
}

std::string quoted(std::string_view text)
{
    if (text.size() <= maxQuoted) {
        return '"' + std::string(text) + '"';
    }
    std::size_t end = maxQuoted;
    while (end > 0 && continuesCharacter(text[end])) {
        --end;
    }
    return '"' + std::string(text.substr(0, end)) + "...\"";
}

std::string itemText(std::string_view kind, std::string_view id)
{
    return std::string(kind) + ' ' + quoted(id);
}

std::string_view nearest(std::string_view word, const std::vector<std::string_view> &candidates)
{
    const std::string_view compared = word.substr(0, maxCompared);
    std::string_view best;
    std::size_t bestDistance = std::string_view::npos;
    for (const std::string_view candidate : candidates) {
        const std::size_t distance = editDistance(compared, candidate.substr(0, maxCompared));
        if (distance < bestDistance) {
            best = candidate;
            bestDistance = distance;
        }
    }
    return best;
}

}
